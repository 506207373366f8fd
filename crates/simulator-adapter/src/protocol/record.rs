//! Fields of one record, by their byte offsets.

use super::{ProtocolError, BATCH_HEADER_BYTES, EVENT_BYTES};
use hollymux_decision::{AttemptStatus, EndpointId};

/// Bytes of an endpoint's identity in records.
pub(super) const ENDPOINT_ID_BYTES: usize = 6;

/// One record, and its index in the batch. Offsets must lie within the record.
pub(super) struct Record<'a> {
    bytes: &'a [u8],
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

    /// An f32 that stands for a whole number.
    pub(super) fn whole_f32(&self, offset: usize, field: &'static str) -> Result<u32, ProtocolError> {
        let value = self.f32(offset);
        if value.is_finite() && (0.0..=f64::from(u32::MAX)).contains(&value) {
            Ok(value as u32)
        } else {
            Err(self.invalid(field, u64::from(self.u32(offset))))
        }
    }

    pub(super) fn endpoint(&self, offset: usize) -> EndpointId {
        let mut bytes = [0; 8];
        bytes[..ENDPOINT_ID_BYTES].copy_from_slice(&self.array::<ENDPOINT_ID_BYTES>(offset));
        EndpointId(u64::from_le_bytes(bytes))
    }

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

    /// The bytes of the tail that a reference at this offset names: an offset in the tail, and a
    /// number of units of that size.
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

    /// A field whose value is out of its range.
    pub(super) fn invalid(&self, field: &'static str, value: u64) -> ProtocolError {
        ProtocolError::InvalidField { record: self.index, field, value }
    }

    /// A malformed field of an event record.
    pub(super) fn malformed(&self, reason: &'static str, offset: usize) -> ProtocolError {
        let offset = BATCH_HEADER_BYTES + self.index * EVENT_BYTES + offset;
        ProtocolError::Frame { reason, offset }
    }
}
