//! Replies of actions, to bytes.

use super::record::ENDPOINT_ID_BYTES;
use hollymux_decision::time::MICROSECOND;
use hollymux_decision::{Action, CacheFill, EndpointId};
use std::time::Duration;

/// Size of a reply's header: length of the frame (4 bytes), number of records (4).
const REPLY_HEADER_BYTES: usize = 8;
/// Size of an action record.
const ACTION_BYTES: usize = 32;
/// Argument of a subscription to the endpoint list.
const SUBSCRIBE_TO_CHANGES: u8 = 1;
/// Flags of a fill.
const FLAG_COALESCE: u8 = 1;
const FLAG_ONLY_IF_CACHED: u8 = 1 << 1;
const FLAG_STALE_WHILE_REVALIDATE: u8 = 1 << 3;

/// Codes of action records.
mod code {
    pub(super) const FETCH_LIST: u8 = 10;
    pub(super) const CANCEL: u8 = 30;
    pub(super) const LOG: u8 = 40;
    pub(super) const PROBE: u8 = 50;
    pub(super) const ATTEMPT: u8 = 60;
    pub(super) const SUBSCRIBE: u8 = 70;
    pub(super) const FAIL: u8 = 100;
    pub(super) const REFUSE: u8 = 110;
    pub(super) const TIMER: u8 = 130;
}

/// Collects the actions of a reply.
#[derive(Default)]
pub struct Encoder {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Encoder {
    /// Adds one action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        let mut record = ActionRecord { instance, fields: Vec::with_capacity(ACTION_BYTES) };
        match action {
            Action::Attempt { request, endpoint, timeout, fill } => {
                record.u32(*request);
                record.endpoint(*endpoint);
                record.micros(*timeout);
                record.fill(*endpoint, fill);
            }
            Action::Cancel { request, attempt } => {
                record.u32(*request);
                record.bytes(&attempt.to_le_bytes());
            }
            Action::Refuse { request, retry_after } => {
                record.u32(*request);
                record.micros(*retry_after);
            }
            Action::Fail { request } => record.u32(*request),
            Action::Timer { after, token } => {
                record.micros(*after);
                record.bytes(&token.to_le_bytes());
            }
            Action::Subscribe => record.bytes(&[SUBSCRIBE_TO_CHANGES]),
            Action::FetchHosts => {}
            Action::Probe { endpoint } => record.endpoint(*endpoint),
            Action::Log(text) => {
                record.u32(self.tail.len() as u32);
                record.u32(text.len() as u32);
                self.tail.extend_from_slice(text.as_bytes());
            }
        }
        self.push(action_code(action), &record);
    }

    fn push(&mut self, code: u8, record: &ActionRecord) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&record.instance.to_le_bytes());
        self.records.extend_from_slice(&record.fields);
        self.records.resize(start + ACTION_BYTES, 0);
    }

    /// The reply frame; the encoder is empty again.
    pub fn finish(&mut self) -> Vec<u8> {
        let length = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        let count = self.records.len() / ACTION_BYTES;
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&(length as u32).to_le_bytes());
        frame.extend_from_slice(&(count as u32).to_le_bytes());
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        frame
    }
}

fn action_code(action: &Action) -> u8 {
    match action {
        Action::Attempt { .. } => code::ATTEMPT,
        Action::Cancel { .. } => code::CANCEL,
        Action::Refuse { .. } => code::REFUSE,
        Action::Fail { .. } => code::FAIL,
        Action::Timer { .. } => code::TIMER,
        Action::Subscribe => code::SUBSCRIBE,
        Action::FetchHosts => code::FETCH_LIST,
        Action::Probe { .. } => code::PROBE,
        Action::Log(_) => code::LOG,
    }
}

/// The fields of an action record behind its code and instance.
struct ActionRecord {
    instance: u16,
    fields: Vec<u8>,
}

impl ActionRecord {
    fn bytes(&mut self, bytes: &[u8]) {
        self.fields.extend_from_slice(bytes);
    }

    fn u32(&mut self, value: u32) {
        self.bytes(&value.to_le_bytes());
    }

    /// A duration in microseconds, capped at what the field holds.
    fn micros(&mut self, duration: Duration) {
        self.u32(u32::try_from(duration.as_micros()).unwrap_or(u32::MAX));
    }

    fn endpoint(&mut self, endpoint: EndpointId) {
        self.bytes(&endpoint.0.to_le_bytes()[..ENDPOINT_ID_BYTES]);
    }

    /// No source is written as the endpoint itself, and no greatest age as zero.
    fn fill(&mut self, endpoint: EndpointId, fill: &CacheFill) {
        self.endpoint(fill.source.unwrap_or(endpoint));
        self.bytes(&[fill.retention]);
        self.micros(fill.max_age.map_or(Duration::ZERO, |age| age.max(MICROSECOND)));
        let flag = |is_set: bool, flag: u8| if is_set { flag } else { 0 };
        let flags = flag(fill.coalesce, FLAG_COALESCE)
            | flag(fill.only_if_cached, FLAG_ONLY_IF_CACHED)
            | flag(fill.stale_while_revalidate, FLAG_STALE_WHILE_REVALIDATE);
        self.bytes(&[flags]);
    }
}
