//! Reader for the fields, names and records of a DNS message.

use super::name::{Name, MAX_NAME_BYTES};
use std::ops::Range;

/// The fields of a resource record.
pub(super) struct RecordFields {
    pub(super) owner: Name,
    pub(super) record_type: u16,
    /// Class field. In an OPT record, it holds the UDP payload size of the sender.
    pub(super) class: u16,
    /// TTL field. In an OPT record, it holds the extended response code, the version and the flags.
    pub(super) ttl: u32,
    /// Range of the message that holds the data of the record.
    pub(super) data: Range<usize>,
}

/// The header of a message (RFC 1035, 4.1.1), without separate counts for the record sections.
pub(super) struct Header {
    pub(super) id: u16,
    pub(super) flags: u16,
    pub(super) question_count: u16,
    /// Total number of answer, authority and additional records.
    pub(super) record_count: usize,
}

/// Cursor over a message. The reading methods advance it and return `None` if the message ends
/// before the field does.
pub(super) struct MessageReader<'a> {
    message: &'a [u8],
    position: usize,
}

impl<'a> MessageReader<'a> {
    pub(super) fn new(message: &'a [u8]) -> MessageReader<'a> {
        MessageReader { message, position: 0 }
    }

    /// Creates a reader for a range of a message. Compression pointers in the range may refer to
    /// earlier parts of the message.
    pub(super) fn of_range(message: &'a [u8], range: &Range<usize>) -> MessageReader<'a> {
        MessageReader { message: &message[..range.end], position: range.start }
    }

    pub(super) fn position(&self) -> usize {
        self.position
    }

    pub(super) fn is_at_end(&self) -> bool {
        self.position == self.message.len()
    }

    pub(super) fn bytes(&mut self, length: usize) -> Option<&'a [u8]> {
        let end = self.position.checked_add(length)?;
        let bytes = self.message.get(self.position..end)?;
        self.position = end;
        Some(bytes)
    }

    pub(super) fn u8(&mut self) -> Option<u8> {
        self.bytes(1).map(|bytes| bytes[0])
    }

    pub(super) fn u16(&mut self) -> Option<u16> {
        self.bytes(2).map(|bytes| u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    pub(super) fn u32(&mut self) -> Option<u32> {
        let high = u32::from(self.u16()?);
        let low = u32::from(self.u16()?);
        Some(high << 16 | low)
    }

    pub(super) fn header(&mut self) -> Option<Header> {
        let id = self.u16()?;
        let flags = self.u16()?;
        let question_count = self.u16()?;
        let mut record_count = 0;
        for _section in 0..3 {
            record_count += usize::from(self.u16()?);
        }
        Some(Header { id, flags, question_count, record_count })
    }

    /// Reads a name and converts it to lower case. Returns `None` if the name is malformed or too
    /// long.
    ///
    /// Each compression pointer must refer to a position before the start of the name and before
    /// the target of the previous pointer. This rules out loops of pointers.
    pub(super) fn name(&mut self) -> Option<Name> {
        let mut labels = Name::new();
        let mut length = 0;
        let mut lowest_position = self.position;
        let mut end_of_name = None;
        loop {
            match self.u8()? {
                0 => break,
                label_length @ 1..=63 => {
                    let label = self.bytes(usize::from(label_length))?.to_ascii_lowercase();
                    length += label.len() + 1;
                    labels.push(label);
                    if length > MAX_NAME_BYTES {
                        return None;
                    }
                }
                pointer_high @ 192.. => {
                    let target = usize::from(pointer_high & 63) << 8 | usize::from(self.u8()?);
                    if target >= lowest_position {
                        return None;
                    }
                    end_of_name = end_of_name.or(Some(self.position));
                    lowest_position = target;
                    self.position = target;
                }
                // The label types with the high bits 01 and 10 are not in use (RFC 1035, 4.1.4).
                64..=191 => return None,
            }
        }
        self.position = end_of_name.unwrap_or(self.position);
        Some(labels)
    }

    /// Reads a record. Its data is skipped and returned as a range.
    pub(super) fn record(&mut self) -> Option<RecordFields> {
        let owner = self.name()?;
        let record_type = self.u16()?;
        let class = self.u16()?;
        let ttl = self.u32()?;
        let data_length = usize::from(self.u16()?);
        let data_start = self.position;
        self.bytes(data_length)?;
        Some(RecordFields { owner, record_type, class, ttl, data: data_start..self.position })
    }
}
