//! The simulator's binary protocol, to and from the types of the decision module. A batch is a header,
//! event records of equal size, and a tail that records refer to; a reply is a header, action records
//! and a tail. All numbers are little-endian.

mod decoder;
mod encoder;
mod record;

pub use decoder::{parse_settings_text, Batch, Decoder, Input};
pub use encoder::Encoder;

use hollymux_decision::SettingParseError;
use record::Record;

/// Size of a batch's header: time (8 bytes), length of the frame (4), number of records (4).
pub const BATCH_HEADER_BYTES: usize = 16;
/// Size of an event record.
const EVENT_BYTES: usize = 48;
/// Offsets in a batch's header.
const HEADER_TIME: usize = 0;
const HEADER_LENGTH: usize = 8;
const HEADER_COUNT: usize = 12;

/// What is wrong with a frame or a settings text, and where.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ProtocolError {
    /// The frame as a whole is malformed.
    #[error("frame: {reason} at byte {offset}")]
    Frame {
        /// What is wrong.
        reason: &'static str,
        /// Where in the frame.
        offset: usize,
    },
    /// A record's code is none of those known.
    #[error("record {record}: unknown event code {code}")]
    UnknownEvent {
        /// The record's index.
        record: usize,
        /// The code.
        code: u8,
    },
    /// A field's value is out of its range.
    #[error("record {record}: {field} has no meaning for value {value}")]
    InvalidField {
        /// The record's index.
        record: usize,
        /// The field's name in the protocol.
        field: &'static str,
        /// Its value.
        value: u64,
    },
    /// A setting of a new instance can't be read.
    #[error(transparent)]
    Setting(#[from] SettingParseError),
}

/// The length of the whole frame that a batch header announces.
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
