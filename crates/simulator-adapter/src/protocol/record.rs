//! Accessors for the fields of a record by byte offset.

use super::{ProtocolError, BATCH_HEADER_BYTES, EVENT_BYTES};
use hollymux_decision::{AttemptStatus, EndpointId};

/// Size of an endpoint id in records, in bytes.
pub(super) const ENDPOINT_ID_BYTES: usize = 6;

/// A view of a record, or of another block of fields such as the batch header. The accessors panic
/// if a field is not entirely within the block.
pub(super) struct Record<'a> {
    bytes: &'a [u8],
    /// Index of the record in the batch, for error messages.
    index: usize,
}

impl<'a> Record<'a> {
    pub(super) fn new(bytes: &'a [u8], index: usize) -> Record<'a> {
        Record { bytes, index }
    }

    pub(super) fn index(&self) -> usize {
        self.index
    }

    fn array<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut array = [0; N];
        array.copy_from_slice(&self.bytes[offset..offset + N]);
        array
    }

    pub(super) fn u8(&self, offset: usize) -> u8 {
        self.bytes[offset]
    }

    pub(super) fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.array(offset))
    }

    pub(super) fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.array(offset))
    }

    pub(super) fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.array(offset))
    }

    pub(super) fn f32(&self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.array(offset)))
    }

    /// Reads a 32-bit floating-point number and truncates it to an integer. Returns an error that
    /// names `field` if the number is not in the range of `u32`.
    pub(super) fn whole_f32(&self, offset: usize, field: &'static str) -> Result<u32, ProtocolError> {
        let value = self.f32(offset);
        if value.is_finite() && (0.0..=f64::from(u32::MAX)).contains(&value) {
            Ok(value as u32)
        } else {
            Err(self.invalid(field, u64::from(self.u32(offset))))
        }
    }

    /// Reads an endpoint id of 6 bytes.
    pub(super) fn endpoint(&self, offset: usize) -> EndpointId {
        let mut bytes = [0; 8];
        bytes[..ENDPOINT_ID_BYTES].copy_from_slice(&self.array::<ENDPOINT_ID_BYTES>(offset));
        EndpointId(u64::from_le_bytes(bytes))
    }

    /// Reads the status of an attempt or a probe. Returns an error if the code is unknown.
    pub(super) fn status(&self, offset: usize) -> Result<AttemptStatus, ProtocolError> {
        Ok(match self.u8(offset) {
            0 => AttemptStatus::Ok,
            1 => AttemptStatus::Miss,
            249 => AttemptStatus::Moot,
            250 => AttemptStatus::Cancelled,
            251 => AttemptStatus::Reset,
            252 => AttemptStatus::ConnectFailed,
            253 => AttemptStatus::Timeout,
            254 => AttemptStatus::Full,
            255 => AttemptStatus::Error,
            code => return Err(self.invalid("rc", u64::from(code))),
        })
    }

    /// Returns the part of the tail that a reference at this offset of the record denotes. A
    /// reference consists of an offset in the tail (4 bytes) and a number of units (4 bytes) of
    /// `unit` bytes each.
    pub(super) fn tail_slice<'t>(
        &self,
        tail: &'t [u8],
        offset: usize,
        unit: usize,
    ) -> Result<&'t [u8], ProtocolError> {
        let start = self.u32(offset) as usize;
        let count = self.u32(offset + 4) as usize;
        let end = count.checked_mul(unit).and_then(|length| start.checked_add(length));
        let slice = end.and_then(|end| tail.get(start..end));
        slice.ok_or_else(|| self.malformed("a tail reference reaches past the end", offset))
    }

    /// Returns an error for a field of this record whose value is out of range.
    pub(super) fn invalid(&self, field: &'static str, value: u64) -> ProtocolError {
        ProtocolError::InvalidField { record: self.index, field, value }
    }

    /// Returns an error for malformed data at an offset of this event record.
    pub(super) fn malformed(&self, reason: &'static str, offset: usize) -> ProtocolError {
        let offset = BATCH_HEADER_BYTES + self.index * EVENT_BYTES + offset;
        ProtocolError::Frame { reason, offset }
    }
}
