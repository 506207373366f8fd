//! Endpoints many routers' decision modules on the simulator's wire. It translates only.

mod wire;

use hollymux_decision::{DecisionModule, Event};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hollymux-simulator-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Reads into `buf` until it is full; false at a clean end before the first byte.
fn fill(input: &mut impl Read, buf: &mut [u8], at: usize) -> Result<bool, Box<dyn std::error::Error>> {
    let mut have = 0;
    while have < buf.len() {
        match input.read(&mut buf[have..]) {
            Ok(0) if have == 0 && at == 0 => return Ok(false),
            Ok(0) => return Err(format!("frame: input ends at byte {}", at + have).into()),
            Ok(n) => have += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("reading a frame: {e}").into()),
        }
    }
    Ok(true)
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let mut decoder = wire::Decoder::default();
    let mut encoder = wire::Encoder::default();
    let mut instances: BTreeMap<u16, DecisionModule> = BTreeMap::new();
    let mut actions = Vec::new();
    let mut frame = Vec::new();
    loop {
        let mut header = [0; 16];
        if !fill(input, &mut header, 0)? {
            return Ok(());
        }
        let len = wire::frame_len(&header)?;
        frame.clear();
        frame.extend_from_slice(&header);
        frame.resize(len, 0);
        fill(input, &mut frame[header.len()..], header.len())?;
        let batch = decoder.batch(&frame)?;
        for input in batch.inputs {
            match input {
                wire::Input::Create { inst, seed, settings } => {
                    let control =
                        DecisionModule::new(*settings, seed).map_err(|e| format!("instance {inst}: {e}"))?;
                    instances.insert(inst, control);
                }
                wire::Input::PowerOff { inst } => {
                    instances.remove(&inst);
                }
                wire::Input::Event { inst, event } => {
                    let Some(control) = instances.get_mut(&inst) else {
                        return Err(format!("instance {inst}: {} before its start", name(&event)).into());
                    };
                    control.handle(batch.now, event, &mut actions);
                    for action in actions.drain(..) {
                        encoder.action(inst, &action);
                    }
                }
            }
        }
        output.write_all(&encoder.finish())?;
        output.flush()?;
    }
}

fn name(event: &Event) -> &'static str {
    match event {
        Event::EndpointList { .. } | Event::EndpointListFailed => "a host list",
        Event::Request(_) => "a request",
        Event::Started { .. } => "a started stream",
        Event::AttemptOutcome(_) => "an outcome",
        Event::Withdrawn { .. } => "a withdrawal",
        Event::Timer { .. } => "a timer",
        Event::Purged(_) => "a purge",
        Event::Probed { .. } => "a probe's result",
    }
}
