//! The simulator's binary frames, to and from the types of the interface.

use hollymux_decision::time::MICROSECOND;
use hollymux_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

const HEADER: usize = 16;
const EVENT: usize = 48;
const ACTION: usize = 32;
const ENTRY: usize = 24;
const LISTS: usize = 16;

/// What is wrong with a frame or a settings text, and where.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum WireError {
    #[error("frame: {what} at byte {at}")]
    Frame { what: &'static str, at: usize },
    #[error("record {index}: unknown event code {code}")]
    Code { index: usize, code: u8 },
    #[error("record {index}: {field} has no meaning for value {value}")]
    Value { index: usize, field: &'static str, value: u64 },
    #[error(transparent)]
    Setting(#[from] SettingParseError),
}

/// One event, with the instance it is for.
#[derive(Debug, PartialEq)]
pub enum Input {
    Create { inst: u16, seed: u64, settings: Box<Settings> },
    PowerOff { inst: u16 },
    Event { inst: u16, event: Event },
}

/// A decoded batch.
#[derive(Debug, PartialEq)]
pub struct Batch {
    pub now: Timestamp,
    pub inputs: Vec<Input>,
}

struct Rec<'a> {
    b: &'a [u8],
    index: usize,
}

impl Rec<'_> {
    fn get<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.b[at..at + N]);
        out
    }
    fn u8(&self, at: usize) -> u8 {
        self.b[at]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.get(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.get(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.get(at))
    }
    fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.get(at)))
    }
    fn endpoint(&self, at: usize) -> EndpointId {
        let a: [u8; 6] = self.get(at);
        EndpointId(u64::from_le_bytes([a[0], a[1], a[2], a[3], a[4], a[5], 0, 0]))
    }
    fn bad(&self, field: &'static str, value: u64) -> WireError {
        WireError::Value { index: self.index, field, value }
    }
    /// An f32 that stands for a whole number.
    fn whole(&self, at: usize, field: &'static str) -> Result<u32, WireError> {
        let v = self.f32(at);
        if v.is_finite() && (0.0..=f64::from(u32::MAX)).contains(&v) {
            Ok(v as u32)
        } else {
            Err(self.bad(field, u64::from(self.u32(at))))
        }
    }
    fn status(&self, at: usize) -> Result<AttemptStatus, WireError> {
        Ok(match self.u8(at) {
            0 => AttemptStatus::Ok,
            1 => AttemptStatus::Miss,
            249 => AttemptStatus::Moot,
            250 => AttemptStatus::Cancelled,
            251 => AttemptStatus::Reset,
            252 => AttemptStatus::ConnectFailed,
            253 => AttemptStatus::Timeout,
            254 => AttemptStatus::Full,
            255 => AttemptStatus::Error,
            v => return Err(self.bad("rc", u64::from(v))),
        })
    }
}

/// The bytes of the tail that a field refers to.
fn tail_of<'a>(tail: &'a [u8], rec: &Rec, at: usize, unit: usize) -> Result<&'a [u8], WireError> {
    let (off, n) = (rec.u32(at) as usize, rec.u32(at + 4) as usize);
    let err = WireError::Frame {
        what: "a tail reference reaches past the end",
        at: HEADER + rec.index * EVENT + at,
    };
    let len = n.checked_mul(unit);
    match len.and_then(|l| off.checked_add(l)) {
        Some(end) => tail.get(off..end).ok_or(err),
        None => Err(err),
    }
}

/// Decodes batches; holds the numbered endpoint lists of the process.
#[derive(Default)]
pub struct Decoder {
    lists: [Option<Vec<EndpointEntry>>; LISTS],
}

/// The whole length that a batch header announces.
pub fn frame_len(header: &[u8; HEADER]) -> Result<usize, WireError> {
    let rec = Rec { b: header, index: 0 };
    let (len, count) = (rec.u32(8) as usize, rec.u32(12) as usize);
    if len < HEADER || (len - HEADER) / EVENT < count {
        return Err(WireError::Frame { what: "length too small for its records", at: 8 });
    }
    Ok(len)
}

impl Decoder {
    /// Decodes one whole batch frame.
    pub fn batch(&mut self, frame: &[u8]) -> Result<Batch, WireError> {
        let short = WireError::Frame { what: "truncated", at: frame.len() };
        let Some(header) = frame.first_chunk::<HEADER>() else {
            return Err(short);
        };
        let len = frame_len(header)?;
        if frame.len() < len {
            return Err(short);
        }
        if frame.len() > len {
            return Err(WireError::Frame { what: "bytes past the announced length", at: len });
        }
        let head = Rec { b: header, index: 0 };
        let count = head.u32(12) as usize;
        let (records, tail) = frame[HEADER..].split_at(count * EVENT);
        let mut inputs = Vec::with_capacity(count);
        for (index, b) in records.chunks_exact(EVENT).enumerate() {
            inputs.extend(self.record(&Rec { b, index }, tail)?);
        }
        Ok(Batch { now: Timestamp::from_micros(head.u64(0)), inputs })
    }

    fn record(&mut self, r: &Rec, tail: &[u8]) -> Result<Option<Input>, WireError> {
        let inst = r.u16(1);
        let event = match r.u8(0) {
            70 => {
                let text = tail_of(tail, r, 11, 1)?;
                let text = std::str::from_utf8(text).map_err(|_| WireError::Frame {
                    what: "settings are not UTF-8",
                    at: HEADER + r.index * EVENT + 11,
                })?;
                return Ok(Some(Input::Create { inst, seed: r.u64(3), settings: Box::new(settings(text)?) }));
            }
            110 => return Ok(Some(Input::PowerOff { inst })),
            40 => {
                let n = r.u32(1);
                let slot = self.lists.get_mut(n as usize).ok_or_else(|| r.bad("list", u64::from(n)))?;
                let bytes = tail_of(tail, r, 5, ENTRY)?;
                let entries: Result<Vec<_>, _> =
                    bytes.chunks_exact(ENTRY).map(|b| entry(&Rec { b, index: r.index })).collect();
                *slot = Some(entries?);
                return Ok(None);
            }
            50 => {
                let kind = match r.u8(3) {
                    0 => ListKind::Delta,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => return Ok(Some(Input::Event { inst, event: Event::EndpointListFailed })),
                    v => return Err(r.bad("how", u64::from(v))),
                };
                let n = r.u32(8);
                let entries = self
                    .lists
                    .get(n as usize)
                    .and_then(Option::clone)
                    .ok_or_else(|| r.bad("list", u64::from(n)))?;
                Event::EndpointList { kind, entries }
            }
            60 => {
                let size = r.f32(7);
                Event::Request(Request {
                    id: r.u32(3),
                    size_kb: (size.is_finite() && size > 0.0).then_some(size),
                    part: r.whole(11, "piece")?,
                    class: r.u16(15),
                    object: r.u64(17),
                    deadline: Timestamp::from_micros(r.u64(29)),
                    group: r.whole(37, "labelNo")?,
                    repeat: r.u8(41) & 2 != 0,
                    write: r.u8(41) & 4 != 0,
                })
            }
            20 => Event::Started { request: r.u32(3), attempt: r.u16(7) },
            100 => Event::AttemptOutcome(AttemptOutcome {
                request: r.u32(3),
                endpoint: r.endpoint(11),
                latency: Duration::from_micros(u64::from(r.u32(17))),
                attempt: r.u16(21),
                status: r.status(23)?,
                ended: r.u8(24) != 0,
                work: None,
                note: match r.u8(25) {
                    0 => None,
                    1 => Some(CacheStatus::Hit),
                    2 => Some(CacheStatus::Filled),
                    3 => Some(CacheStatus::FilledByOrigin),
                    4 => Some(CacheStatus::Joined),
                    5 => Some(CacheStatus::Stale),
                    6 => Some(CacheStatus::SourceRefused),
                    7 => Some(CacheStatus::SourceUnreachable),
                    8 => Some(CacheStatus::SourceLacks),
                    9 => Some(CacheStatus::NoFillPlace),
                    10 => Some(CacheStatus::OriginFailed),
                    v => return Err(r.bad("info", u64::from(v))),
                },
            }),
            80 => Event::Withdrawn { request: r.u32(3) },
            30 => Event::Timer { token: r.u64(3) },
            10 => {
                let object = r.u64(9);
                Event::Purged(Purge {
                    since: Duration::from_micros(u64::from(r.u32(3))),
                    group: u32::from(r.u16(7)),
                    object: (object != 0).then_some(object),
                })
            }
            120 => Event::Probed { endpoint: r.endpoint(3), status: r.status(9)? },
            90 => {
                tail_of(tail, r, 7, 1)?;
                return Ok(None);
            }
            code => return Err(WireError::Code { index: r.index, code }),
        };
        Ok(Some(Input::Event { inst, event }))
    }
}

fn entry(r: &Rec) -> Result<EndpointEntry, WireError> {
    Ok(EndpointEntry {
        cell: r.u16(0),
        id: r.endpoint(2),
        weight: r.f32(8),
        state: match r.u8(12) {
            0 => EndpointState::Gone,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            v => return Err(r.bad("state", u64::from(v))),
        },
        started: Timestamp::from_micros(r.u64(13)),
        zone: u16::from(r.u8(21)),
        kind: r.u16(22),
        in_place_of: None,
    })
}

/// Collects the actions of a reply.
#[derive(Default)]
pub struct Encoder {
    records: Vec<u8>,
    tail: Vec<u8>,
}

fn span(t: Duration) -> [u8; 4] {
    u32::try_from(t.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

fn host6(h: EndpointId) -> [u8; 6] {
    let b = h.0.to_le_bytes();
    [b[0], b[1], b[2], b[3], b[4], b[5]]
}

impl Encoder {
    fn text(&mut self, code: u8, inst: u16, text: &str) {
        let off = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.put(code, inst, &[&off.to_le_bytes(), &(text.len() as u32).to_le_bytes()]);
    }

    fn put(&mut self, code: u8, inst: u16, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&inst.to_le_bytes());
        for f in fields {
            self.records.extend_from_slice(f);
        }
        self.records.resize(start + ACTION, 0);
    }

    /// Adds one action of an instance.
    pub fn action(&mut self, inst: u16, action: &Action) {
        match action {
            Action::Attempt { request, endpoint, timeout, fill } => self.put(
                60,
                inst,
                &[
                    &request.to_le_bytes(),
                    &host6(*endpoint),
                    &span(*timeout),
                    &host6(fill.source.unwrap_or(*endpoint)),
                    &[fill.retention],
                    &span(fill.max_age.map_or(Duration::ZERO, |a| a.max(MICROSECOND))),
                    &[u8::from(fill.coalesce)
                        | u8::from(fill.stale_while_revalidate) << 3
                        | u8::from(fill.only_if_cached) << 1],
                ],
            ),
            Action::Cancel { request, attempt } => {
                self.put(30, inst, &[&request.to_le_bytes(), &attempt.to_le_bytes()])
            }
            Action::Refuse { request, retry_after } => {
                self.put(110, inst, &[&request.to_le_bytes(), &span(*retry_after)])
            }
            Action::Fail { request } => self.put(100, inst, &[&request.to_le_bytes()]),
            Action::Timer { after, token } => self.put(130, inst, &[&span(*after), &token.to_le_bytes()]),
            Action::Subscribe => self.put(70, inst, &[&[1]]),
            Action::FetchHosts => self.put(10, inst, &[]),
            Action::Probe { endpoint } => self.put(50, inst, &[&host6(*endpoint)]),
            Action::Log(text) => self.text(40, inst, text),
        }
    }

    /// The reply frame; empties the collection.
    pub fn finish(&mut self) -> Vec<u8> {
        let len = 8 + self.records.len() + self.tail.len();
        let mut out = Vec::with_capacity(len);
        out.extend_from_slice(&(len as u32).to_le_bytes());
        out.extend_from_slice(&((self.records.len() / ACTION) as u32).to_le_bytes());
        out.append(&mut self.records);
        out.append(&mut self.tail);
        out
    }
}

/// Reads the settings text; unknown keys are skipped, absent ones keep their defaults.
pub fn settings(text: &str) -> Result<Settings, WireError> {
    let mut map = BTreeMap::new();
    for line in text.lines().filter(|l| !l.trim().is_empty()) {
        let (k, v) = line
            .split_once('=')
            .ok_or_else(|| SettingParseError { key: line.to_string(), value: String::new() })?;
        map.insert(k.trim().to_string(), v.trim().to_string());
    }
    Ok(parse_settings(&SettingsMap::new(map))?)
}
