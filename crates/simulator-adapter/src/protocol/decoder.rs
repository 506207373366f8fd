//! Decoder for batches of events.

use super::record::Record;
use super::{frame_len, ProtocolError, BATCH_HEADER_BYTES, EVENT_BYTES, HEADER_COUNT, HEADER_TIME};
use hollymux_decision::{
    parse_settings, AttemptOutcome, CacheStatus, EndpointEntry, EndpointState, Event, ListKind, Purge,
    Request, SettingParseError, Settings, SettingsMap, Timestamp,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Size of an entry of an endpoint list in the tail, in bytes.
const ENTRY_BYTES: usize = 24;
/// Number of endpoint lists that can be defined, with numbers from 0.
const MAX_LISTS: usize = 16;
/// Offset of the code in an event record.
const CODE: usize = 0;
/// Offset of the instance in event records that have one.
const INSTANCE: usize = 1;
/// Bits in the flags of a request.
const FLAG_REPEAT: u8 = 2;
const FLAG_WRITE: u8 = 4;

/// Codes of event records, with the offsets of the fields in the record.
mod code {
    /// Copies were purged: time since the purge (u32) at 3, group (u16) at 7, object (u64) at 9.
    /// The object is 0 if the whole group was purged.
    pub(super) const PURGED: u8 = 10;
    /// A streamed response has started: request (u32) at 3, number of the attempt (u16) at 7.
    pub(super) const STARTED: u8 = 20;
    /// A timer has expired: token (u64) at 3.
    pub(super) const TIMER: u8 = 30;
    /// Defines a numbered endpoint list: number (u32) at 1, reference to the entries in the tail at
    /// 5. The record has no instance.
    pub(super) const DEFINE_LIST: u8 = 40;
    /// An instance receives an endpoint list: kind (u8) at 3, number of the list (u32) at 8. Kind 0
    /// is a delta, 1 a full list, 2 a cached list; with 3, the request for the list has failed.
    pub(super) const ENDPOINT_LIST: u8 = 50;
    /// A client has sent a request; [`super::request`] decodes the fields.
    pub(super) const REQUEST: u8 = 60;
    /// Creates an instance: seed (u64) at 3, reference to the settings text in the tail at 11.
    pub(super) const CREATE: u8 = 70;
    /// A client has cancelled a request: request (u32) at 3.
    pub(super) const WITHDRAWN: u8 = 80;
    /// A text that is not used: reference to the text in the tail at 7.
    pub(super) const TEXT: u8 = 90;
    /// An attempt has ended; [`super::outcome`] decodes the fields.
    pub(super) const OUTCOME: u8 = 100;
    /// Removes an instance. No fields.
    pub(super) const POWER_OFF: u8 = 110;
    /// A health probe has ended: endpoint (6 bytes) at 3, status (u8) at 9.
    pub(super) const PROBED: u8 = 120;
}

/// An input of a batch for one instance.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// Creates an instance. An existing instance with the same number is replaced.
    Create {
        /// Number by which later inputs refer to the instance.
        instance: u16,
        /// Seed of the instance's random number generator.
        seed: u64,
        /// Settings of the instance's decision module.
        settings: Box<Settings>,
    },
    /// Removes an instance; without effect if the instance does not exist.
    Remove {
        /// Number of the instance to remove.
        instance: u16,
    },
    /// Delivers an event to an instance, which must exist.
    Event {
        /// Number of the instance that receives the event.
        instance: u16,
        /// Event for the instance's decision module.
        event: Event,
    },
}

/// A decoded batch: the inputs that the simulator delivers at one virtual time.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// Virtual time of all inputs of the batch.
    pub now: Timestamp,
    /// Inputs in the order in which they must be applied.
    pub inputs: Vec<Input>,
}

/// Decoder for batches. It stores the numbered endpoint lists, which later batches may refer to.
#[derive(Default)]
pub struct Decoder {
    /// Endpoint lists by number; `None` for numbers that have not been defined.
    lists: [Option<Vec<EndpointEntry>>; MAX_LISTS],
}

impl Decoder {
    /// Decodes a batch from a complete frame.
    ///
    /// # Errors
    /// Returns an error if the frame or one of its records is malformed.
    pub fn batch(&mut self, frame: &[u8]) -> Result<Batch, ProtocolError> {
        let truncated = ProtocolError::Frame { reason: "truncated", offset: frame.len() };
        let Some(header) = frame.first_chunk::<BATCH_HEADER_BYTES>() else { return Err(truncated) };
        let length = frame_len(header)?;
        if frame.len() < length {
            return Err(truncated);
        }
        if frame.len() > length {
            let reason = "bytes after the end of the frame";
            return Err(ProtocolError::Frame { reason, offset: length });
        }
        let header = Record::new(header, 0);
        let count = header.u32(HEADER_COUNT) as usize;
        let (records, tail) = frame[BATCH_HEADER_BYTES..].split_at(count * EVENT_BYTES);
        let mut inputs = Vec::with_capacity(count);
        for (index, bytes) in records.chunks_exact(EVENT_BYTES).enumerate() {
            inputs.extend(self.input(&Record::new(bytes, index), tail)?);
        }
        Ok(Batch { now: Timestamp::from_micros(header.u64(HEADER_TIME)), inputs })
    }

    /// Decodes an event record. Returns `None` for records that are not addressed to an instance.
    fn input(&mut self, record: &Record, tail: &[u8]) -> Result<Option<Input>, ProtocolError> {
        let event = match record.u8(CODE) {
            code::CREATE => return create(record, tail).map(Some),
            code::POWER_OFF => return Ok(Some(Input::Remove { instance: record.u16(INSTANCE) })),
            code::DEFINE_LIST => {
                self.define_list(record, tail)?;
                return Ok(None);
            }
            code::TEXT => {
                // Only the reference to the text is validated; the text is ignored.
                record.tail_slice(tail, 7, 1)?;
                return Ok(None);
            }
            code::ENDPOINT_LIST => self.endpoint_list(record)?,
            code::REQUEST => request(record)?,
            code::STARTED => Event::Started { request: record.u32(3), attempt: record.u16(7) },
            code::OUTCOME => outcome(record)?,
            code::WITHDRAWN => Event::Withdrawn { request: record.u32(3) },
            code::TIMER => Event::Timer { token: record.u64(3) },
            code::PURGED => purge(record),
            code::PROBED => Event::Probed { endpoint: record.endpoint(3), status: record.status(9)? },
            code => return Err(ProtocolError::UnknownEvent { record: record.index(), code }),
        };
        Ok(Some(Input::Event { instance: record.u16(INSTANCE), event }))
    }

    /// Defines or redefines a numbered endpoint list. Later records of this batch and of later
    /// batches may refer to it.
    fn define_list(&mut self, record: &Record, tail: &[u8]) -> Result<(), ProtocolError> {
        let number = record.u32(1);
        let list = self.lists.get_mut(number as usize);
        let list = list.ok_or_else(|| record.invalid("list", u64::from(number)))?;
        let bytes = record.tail_slice(tail, 5, ENTRY_BYTES)?;
        let entry = |bytes| endpoint_entry(&Record::new(bytes, record.index()));
        let entries: Result<Vec<EndpointEntry>, ProtocolError> =
            bytes.chunks_exact(ENTRY_BYTES).map(entry).collect();
        *list = Some(entries?);
        Ok(())
    }

    /// Decodes the delivery of a numbered endpoint list to an instance, or the failure of its
    /// request for the list.
    fn endpoint_list(&self, record: &Record) -> Result<Event, ProtocolError> {
        let kind = match record.u8(3) {
            0 => ListKind::Delta,
            1 => ListKind::Full,
            2 => ListKind::Cached,
            3 => return Ok(Event::EndpointListFailed),
            code => return Err(record.invalid("how", u64::from(code))),
        };
        let number = record.u32(8);
        let entries = self.lists.get(number as usize).and_then(Option::clone);
        let entries = entries.ok_or_else(|| record.invalid("list", u64::from(number)))?;
        Ok(Event::EndpointList { kind, entries })
    }
}

fn create(record: &Record, tail: &[u8]) -> Result<Input, ProtocolError> {
    let bytes = record.tail_slice(tail, 11, 1)?;
    let text = std::str::from_utf8(bytes);
    let text = text.map_err(|_| record.malformed("settings are not UTF-8", 11))?;
    let settings = Box::new(parse_settings_text(text)?);
    Ok(Input::Create { instance: record.u16(INSTANCE), seed: record.u64(3), settings })
}

/// Decodes a request: id (u32) at 3, size in KB (f32) at 7, part (f32) at 11, class (u16) at 15,
/// object (u64) at 17, deadline (u64) at 29, group (f32) at 37, flags (u8) at 41. The size is
/// unknown unless it is finite and above 0.
fn request(record: &Record) -> Result<Event, ProtocolError> {
    let size_kb = record.f32(7);
    let flags = record.u8(41);
    Ok(Event::Request(Request {
        id: record.u32(3),
        size_kb: (size_kb.is_finite() && size_kb > 0.0).then_some(size_kb),
        part: record.whole_f32(11, "piece")?,
        class: record.u16(15),
        object: record.u64(17),
        deadline: Timestamp::from_micros(record.u64(29)),
        group: record.whole_f32(37, "labelNo")?,
        repeat: flags & FLAG_REPEAT != 0,
        write: flags & FLAG_WRITE != 0,
    }))
}

/// Decodes the end of an attempt: request (u32) at 3, endpoint (6 bytes) at 11, latency (u32) at
/// 17, number of the attempt (u16) at 21, status (u8) at 23, whether the request is finished (u8)
/// at 24, cache status (u8) at 25.
fn outcome(record: &Record) -> Result<Event, ProtocolError> {
    Ok(Event::AttemptOutcome(AttemptOutcome {
        request: record.u32(3),
        endpoint: record.endpoint(11),
        latency: Duration::from_micros(u64::from(record.u32(17))),
        attempt: record.u16(21),
        status: record.status(23)?,
        request_finished: record.u8(24) != 0,
        work: None,
        cache_status: cache_status(record, 25)?,
    }))
}

/// Decodes a cache status. Returns `None` for code 0, which stands for no status.
fn cache_status(record: &Record, offset: usize) -> Result<Option<CacheStatus>, ProtocolError> {
    Ok(Some(match record.u8(offset) {
        0 => return Ok(None),
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FilledByOrigin,
        4 => CacheStatus::Joined,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRefused,
        7 => CacheStatus::SourceUnreachable,
        8 => CacheStatus::SourceLacks,
        9 => CacheStatus::NoFillPlace,
        10 => CacheStatus::OriginFailed,
        code => return Err(record.invalid("info", u64::from(code))),
    }))
}

fn purge(record: &Record) -> Event {
    let object = record.u64(9);
    Event::Purged(Purge {
        since: Duration::from_micros(u64::from(record.u32(3))),
        group: u32::from(record.u16(7)),
        object: (object != 0).then_some(object),
    })
}

/// Decodes an entry of an endpoint list: cell (u16) at 0, endpoint (6 bytes) at 2, weight (f32) at
/// 8, state (u8) at 12, start time (u64) at 13, zone (u8) at 21, kind (u16) at 22.
fn endpoint_entry(record: &Record) -> Result<EndpointEntry, ProtocolError> {
    Ok(EndpointEntry {
        cell: record.u16(0),
        id: record.endpoint(2),
        weight: record.f32(8),
        state: match record.u8(12) {
            0 => EndpointState::Gone,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            code => return Err(record.invalid("state", u64::from(code))),
        },
        started: Timestamp::from_micros(record.u64(13)),
        zone: u16::from(record.u8(21)),
        kind: record.u16(22),
        in_place_of: None,
    })
}

/// Parses a settings text, which consists of `key=value` lines. Empty lines and unknown keys are
/// ignored. Settings without a line have their default values.
///
/// # Errors
/// Returns [`ProtocolError::Setting`] if a line has no `=` or the value of a known key is invalid.
pub fn parse_settings_text(text: &str) -> Result<Settings, ProtocolError> {
    let mut map = BTreeMap::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let pair = line.split_once('=');
        let (key, value) =
            pair.ok_or_else(|| SettingParseError { key: line.to_string(), value: String::new() })?;
        map.insert(key.trim().to_string(), value.trim().to_string());
    }
    Ok(parse_settings(&SettingsMap::new(map))?)
}
