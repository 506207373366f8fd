//! Main loop of the adapter: reads batches, applies their inputs to the decision modules of the
//! instances, and writes the replies.

use crate::protocol::{frame_len, Batch, Decoder, Encoder, Input, ProtocolError, BATCH_HEADER_BYTES};
use hollymux_decision::{Action, DecisionModule, Event, SettingsError};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};

/// Error that ends the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Reading from the simulator failed.
    #[error("failed to read a frame: {0}")]
    Read(#[source] io::Error),
    /// Writing to the simulator failed.
    #[error("failed to write a reply: {0}")]
    Write(#[source] io::Error),
    /// The input ends within a frame.
    #[error("frame: input ends at byte {offset}")]
    UnexpectedEnd {
        /// Number of bytes of the frame that were read.
        offset: usize,
    },
    /// A frame or the settings of a new instance are malformed.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The decision module of a new instance rejects its settings.
    #[error("instance {instance}: {source}")]
    Settings {
        /// Number under which the simulator wanted to create the instance.
        instance: u16,
        /// Reason for which the settings are rejected.
        source: SettingsError,
    },
    /// An event is addressed to an instance that does not exist.
    #[error("instance {instance} does not exist: unexpected {event} event")]
    UnknownInstance {
        /// Instance number in the event record.
        instance: u16,
        /// Kind of the event, such as `request` or `timer`.
        event: &'static str,
    },
}

/// Processes batches until the input ends. If a batch is invalid, no part of its reply is written.
///
/// # Errors
/// Returns an error if reading or writing fails, if the input ends within a frame, or if a batch is
/// invalid.
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

/// Reads one frame into `frame`. Returns false if the input ends before the first byte of the
/// frame.
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

/// Fills `buffer`, whose first byte is at `offset` in the frame. Returns false if the input ends
/// before the first byte of the frame.
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

/// All instances of the simulation, with the buffers for their actions and replies.
#[derive(Default)]
struct Instances {
    /// Decision modules by number of the instance.
    modules: BTreeMap<u16, DecisionModule>,
    /// Actions of the current event; empty between events.
    actions: Vec<Action>,
    /// Encoder for the reply to the current batch.
    encoder: Encoder,
}

impl Instances {
    /// Applies the inputs of a batch in order and returns the reply frame with all actions.
    fn apply(&mut self, batch: Batch) -> Result<Vec<u8>, AdapterError> {
        for input in batch.inputs {
            match input {
                Input::Create { instance, seed, settings } => {
                    let module = DecisionModule::new(*settings, seed)
                        .map_err(|source| AdapterError::Settings { instance, source })?;
                    self.modules.insert(instance, module);
                }
                Input::Remove { instance } => {
                    self.modules.remove(&instance);
                }
                Input::Event { instance, event } => {
                    let Some(module) = self.modules.get_mut(&instance) else {
                        return Err(AdapterError::UnknownInstance { instance, event: event_name(&event) });
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

/// Returns the kind of an event for use in error messages.
fn event_name(event: &Event) -> &'static str {
    match event {
        Event::EndpointList { .. } | Event::EndpointListFailed => "endpoint list",
        Event::Request(_) => "request",
        Event::Started { .. } => "stream start",
        Event::AttemptOutcome(_) => "attempt outcome",
        Event::Withdrawn { .. } => "withdrawal",
        Event::Timer { .. } => "timer",
        Event::Purged(_) => "purge",
        Event::Probed { .. } => "probe result",
    }
}
