//! Batches of events, from bytes.

use super::record::Record;
use super::{frame_len, ProtocolError, BATCH_HEADER_BYTES, EVENT_BYTES, HEADER_COUNT, HEADER_TIME};
use hollymux_decision::{
    parse_settings, AttemptOutcome, CacheStatus, EndpointEntry, EndpointState, Event, ListKind, Purge,
    Request, SettingParseError, Settings, SettingsMap, Timestamp,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Size of an entry of an endpoint list in the tail.
const ENTRY_BYTES: usize = 24;
/// Numbered endpoint lists that a process may define.
const MAX_LISTS: usize = 16;
/// Offset of the code in an event record, and of the instance in those that have one.
const CODE: usize = 0;
const INSTANCE: usize = 1;
/// Flags of a request.
const FLAG_REPEAT: u8 = 2;
const FLAG_WRITE: u8 = 4;

/// Codes of event records.
mod code {
    pub(super) const PURGED: u8 = 10;
    pub(super) const STARTED: u8 = 20;
    pub(super) const TIMER: u8 = 30;
    pub(super) const DEFINE_LIST: u8 = 40;
    pub(super) const ENDPOINT_LIST: u8 = 50;
    pub(super) const REQUEST: u8 = 60;
    pub(super) const CREATE: u8 = 70;
    pub(super) const WITHDRAWN: u8 = 80;
    pub(super) const TEXT: u8 = 90;
    pub(super) const OUTCOME: u8 = 100;
    pub(super) const POWER_OFF: u8 = 110;
    pub(super) const PROBED: u8 = 120;
}

/// One input, with the instance it is for.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// An instance starts; one of that number is replaced.
    Create {
        /// The instance.
        instance: u16,
        /// The seed of its random draws.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance ends.
    PowerOff {
        /// The instance.
        instance: u16,
    },
    /// An event for an instance.
    Event {
        /// The instance.
        instance: u16,
        /// The event.
        event: Event,
    },
}

/// A decoded batch.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// When all its inputs happen.
    pub now: Timestamp,
    /// The inputs in order.
    pub inputs: Vec<Input>,
}

/// Decodes batches; holds the numbered endpoint lists of the process.
#[derive(Default)]
pub struct Decoder {
    lists: [Option<Vec<EndpointEntry>>; MAX_LISTS],
}

impl Decoder {
    /// Decodes one whole batch frame.
    pub fn batch(&mut self, frame: &[u8]) -> Result<Batch, ProtocolError> {
        let truncated = ProtocolError::Frame { reason: "truncated", offset: frame.len() };
        let Some(header) = frame.first_chunk::<BATCH_HEADER_BYTES>() else { return Err(truncated) };
        let length = frame_len(header)?;
        if frame.len() < length {
            return Err(truncated);
        }
        if frame.len() > length {
            let reason = "bytes past the announced length";
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

    /// Decodes a record; none if it is for no instance.
    fn input(&mut self, record: &Record, tail: &[u8]) -> Result<Option<Input>, ProtocolError> {
        let event = match record.u8(CODE) {
            code::CREATE => return create(record, tail).map(Some),
            code::POWER_OFF => return Ok(Some(Input::PowerOff { instance: record.u16(INSTANCE) })),
            code::DEFINE_LIST => {
                self.define_list(record, tail)?;
                return Ok(None);
            }
            code::TEXT => {
                // Texts of the simulator are checked and dropped.
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

    /// Defines a numbered list, which later records of this and other batches refer to.
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

    /// An instance receives a numbered list, or learns that the list is not to be had.
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

fn outcome(record: &Record) -> Result<Event, ProtocolError> {
    Ok(Event::AttemptOutcome(AttemptOutcome {
        request: record.u32(3),
        endpoint: record.endpoint(11),
        latency: Duration::from_micros(u64::from(record.u32(17))),
        attempt: record.u16(21),
        status: record.status(23)?,
        ended: record.u8(24) != 0,
        work: None,
        note: cache_status(record, 25)?,
    }))
}

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

/// Reads a settings text of `key=value` lines; unknown keys are skipped, absent ones keep their
/// defaults.
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
