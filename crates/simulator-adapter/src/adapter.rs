//! Reads batches, hands their events to the instances that they are for, and writes the replies.

use crate::protocol::{frame_len, Batch, Decoder, Encoder, Input, ProtocolError, BATCH_HEADER_BYTES};
use hollymux_decision::{Action, DecisionModule, Event, SettingsError};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};

/// Why the adapter ends before its input does.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Reading from the simulator failed.
    #[error("reading a frame: {0}")]
    Read(#[source] io::Error),
    /// Writing to the simulator failed.
    #[error(transparent)]
    Write(io::Error),
    /// The input ends within a frame.
    #[error("frame: input ends at byte {offset}")]
    UnexpectedEnd {
        /// Where in the frame.
        offset: usize,
    },
    /// A frame is malformed.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// An instance is started with impossible settings.
    #[error("instance {instance}: {source}")]
    Settings {
        /// The instance.
        instance: u16,
        /// What is wrong with its settings.
        source: SettingsError,
    },
    /// An event names an instance that is not running.
    #[error("instance {instance}: {event} before its start")]
    NotStarted {
        /// The instance.
        instance: u16,
        /// What kind of event.
        event: &'static str,
    },
}

/// Serves batches until the input ends. Nothing of a batch's reply is written if the batch fails.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut decoder = Decoder::default();
    let mut instances = Instances::default();
    let mut frame = Vec::new();
    while read_frame(input, &mut frame)? {
        let batch = decoder.batch(&frame)?;
        let reply = instances.apply(batch)?;
        output.write_all(&reply).map_err(AdapterError::Write)?;
        output.flush().map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// Reads one frame; false at a clean end of the input.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, AdapterError> {
    let mut header = [0; BATCH_HEADER_BYTES];
    if !read_full(input, &mut header, 0)? {
        return Ok(false);
    }
    frame.clear();
    frame.extend_from_slice(&header);
    frame.resize(frame_len(&header)?, 0);
    read_full(input, &mut frame[header.len()..], header.len())
}

/// Fills the buffer, which begins at that offset of the frame; false at a clean end before the
/// frame's first byte.
fn read_full(input: &mut impl Read, buffer: &mut [u8], offset: usize) -> Result<bool, AdapterError> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 && offset == 0 => return Ok(false),
            Ok(0) => return Err(AdapterError::UnexpectedEnd { offset: offset + filled }),
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::Read(error)),
        }
    }
    Ok(true)
}

/// The decision modules that run, by instance.
#[derive(Default)]
struct Instances {
    modules: BTreeMap<u16, DecisionModule>,
    actions: Vec<Action>,
    encoder: Encoder,
}

impl Instances {
    /// Applies a batch in order and returns the reply frame.
    fn apply(&mut self, batch: Batch) -> Result<Vec<u8>, AdapterError> {
        for input in batch.inputs {
            match input {
                Input::Create { instance, seed, settings } => {
                    let module = DecisionModule::new(*settings, seed)
                        .map_err(|source| AdapterError::Settings { instance, source })?;
                    self.modules.insert(instance, module);
                }
                Input::PowerOff { instance } => {
                    self.modules.remove(&instance);
                }
                Input::Event { instance, event } => {
                    let Some(module) = self.modules.get_mut(&instance) else {
                        return Err(AdapterError::NotStarted { instance, event: event_name(&event) });
                    };
                    module.handle(batch.now, event, &mut self.actions);
                    for action in self.actions.drain(..) {
                        self.encoder.action(instance, &action);
                    }
                }
            }
        }
        Ok(self.encoder.finish())
    }
}

/// The name of an event in messages of errors.
fn event_name(event: &Event) -> &'static str {
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
