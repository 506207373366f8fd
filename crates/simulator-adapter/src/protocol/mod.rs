//! Codec for the simulator's binary protocol: decodes batches of events and encodes replies with
//! actions.
//!
//! - A batch consists of a header of 16 bytes, event records of 48 bytes each, and a tail.
//! - A reply consists of a header of 8 bytes, action records of 32 bytes each, and a tail.
//!
//! The tail holds data of variable length, such as texts. A record refers to a part of it by an
//! offset from the start of the tail and a length. All numbers are little-endian, and all times and
//! durations are in microseconds.

mod decoder;
mod encoder;
mod record;

pub use decoder::{parse_settings_text, Batch, Decoder, Input};
pub use encoder::Encoder;

use hollymux_decision::SettingParseError;
use record::Record;

/// Size of the batch header, in bytes: time (8), length of the whole frame (4) and number of
/// records (4).
pub const BATCH_HEADER_BYTES: usize = 16;
/// Size of an event record, in bytes.
const EVENT_BYTES: usize = 48;
/// Offsets of the fields in the batch header, in bytes.
const HEADER_TIME: usize = 0;
const HEADER_LENGTH: usize = 8;
const HEADER_COUNT: usize = 12;

/// Error in a frame or in a settings text.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ProtocolError {
    /// The frame is truncated or too long, or a reference to its tail or a text in it is invalid.
    #[error("frame: {reason} at byte {offset}")]
    Frame {
        /// What is wrong with the frame, as a phrase for the error message.
        reason: &'static str,
        /// Offset in the frame at which the error was found, in bytes.
        offset: usize,
    },
    /// The event code of a record is unknown.
    #[error("record {record}: unknown event code {code}")]
    UnknownEvent {
        /// Index of the record in the batch, from 0.
        record: usize,
        /// Event code as received.
        code: u8,
    },
    /// The value of a field is out of range.
    #[error("record {record}: invalid value {value} of field {field}")]
    InvalidField {
        /// Index of the record in the batch, from 0.
        record: usize,
        /// Name of the field in the simulator's protocol.
        field: &'static str,
        /// Value as received; for a floating-point field, its bit pattern.
        value: u64,
    },
    /// A line of a settings text is not of the form `key=value`, or its value is invalid.
    #[error(transparent)]
    Setting(#[from] SettingParseError),
}

/// Returns the length of the whole frame from its batch header.
///
/// # Errors
/// Returns [`ProtocolError::Frame`] if the length is too small for the header and its records.
pub fn frame_len(header: &[u8; BATCH_HEADER_BYTES]) -> Result<usize, ProtocolError> {
    let header = Record::new(header, 0);
    let length = header.u32(HEADER_LENGTH) as usize;
    let count = header.u32(HEADER_COUNT) as usize;
    if length < BATCH_HEADER_BYTES || (length - BATCH_HEADER_BYTES) / EVENT_BYTES < count {
        let reason = "length too small for its records";
        return Err(ProtocolError::Frame { reason, offset: HEADER_LENGTH });
    }
    Ok(length)
}
