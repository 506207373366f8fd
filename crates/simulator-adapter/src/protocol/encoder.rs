//! Encoder for replies, which carry the actions of decision modules.

use super::record::ENDPOINT_ID_BYTES;
use hollymux_decision::time::MICROSECOND;
use hollymux_decision::{Action, CacheFill, EndpointId};
use std::time::Duration;

/// Size of the reply header, in bytes: length of the whole frame (4) and number of records (4).
const REPLY_HEADER_BYTES: usize = 8;
/// Size of an action record, in bytes.
const ACTION_BYTES: usize = 32;
/// Argument of [`code::SUBSCRIBE`] that requests changes of the endpoint list.
const SUBSCRIBE_TO_CHANGES: u8 = 1;
/// Bits in the flags of [`code::ATTEMPT`].
const FLAG_COALESCE: u8 = 1;
const FLAG_ONLY_IF_CACHED: u8 = 1 << 1;
const FLAG_STALE_WHILE_REVALIDATE: u8 = 1 << 3;

/// Codes of action records, with the fields that follow the code (1 byte) and the instance (2
/// bytes). Unused bytes of a record are zero.
mod code {
    /// Requests the full endpoint list once. No fields.
    pub(super) const FETCH_LIST: u8 = 10;
    /// Cancels an attempt: request (4 bytes), number of the attempt (2).
    pub(super) const CANCEL: u8 = 30;
    /// Writes a line to the log: reference to the text in the tail (8 bytes).
    pub(super) const LOG: u8 = 40;
    /// Probes the health of an endpoint: endpoint (6 bytes).
    pub(super) const PROBE: u8 = 50;
    /// Sends an attempt: request (4 bytes), endpoint (6), timeout (4), fill source (6), retention
    /// priority (1), greatest age of a copy that may be served (4), flags (1).
    pub(super) const ATTEMPT: u8 = 60;
    /// Subscribes to the endpoint list: argument (1 byte).
    pub(super) const SUBSCRIBE: u8 = 70;
    /// Fails a request: request (4 bytes).
    pub(super) const FAIL: u8 = 100;
    /// Rejects a request: request (4 bytes), delay before a retry (4) or 0 for no advice.
    pub(super) const REFUSE: u8 = 110;
    /// Sets a timer: delay (4 bytes), token (8).
    pub(super) const TIMER: u8 = 130;
}

/// Encoder for one reply at a time.
#[derive(Default)]
pub struct Encoder {
    /// Action records added so far.
    records: Vec<u8>,
    /// Texts to which these records refer.
    tail: Vec<u8>,
}

impl Encoder {
    /// Adds an action of an instance to the reply.
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
            Action::Reject { request, retry_after } => {
                record.u32(*request);
                record.micros(*retry_after);
            }
            Action::Fail { request } => record.u32(*request),
            Action::Timer { after, token } => {
                record.micros(*after);
                record.bytes(&token.to_le_bytes());
            }
            Action::Subscribe => record.bytes(&[SUBSCRIBE_TO_CHANGES]),
            Action::FetchEndpointList => {}
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

    /// Returns the reply frame with all actions added so far and resets the encoder.
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
        Action::Reject { .. } => code::REFUSE,
        Action::Fail { .. } => code::FAIL,
        Action::Timer { .. } => code::TIMER,
        Action::Subscribe => code::SUBSCRIBE,
        Action::FetchEndpointList => code::FETCH_LIST,
        Action::Probe { .. } => code::PROBE,
        Action::Log(_) => code::LOG,
    }
}

/// An action record without its code.
struct ActionRecord {
    instance: u16,
    /// Encoded fields that follow the code and the instance.
    fields: Vec<u8>,
}

impl ActionRecord {
    fn bytes(&mut self, bytes: &[u8]) {
        self.fields.extend_from_slice(bytes);
    }

    fn u32(&mut self, value: u32) {
        self.bytes(&value.to_le_bytes());
    }

    /// Appends a duration as 32-bit microseconds. A longer duration is saturated at the maximum.
    fn micros(&mut self, duration: Duration) {
        self.u32(u32::try_from(duration.as_micros()).unwrap_or(u32::MAX));
    }

    fn endpoint(&mut self, endpoint: EndpointId) {
        self.bytes(&endpoint.0.to_le_bytes()[..ENDPOINT_ID_BYTES]);
    }

    /// Appends the parameters of a cache fill. If the fill has no source, the source is encoded as
    /// the endpoint itself. If it has no greatest age, the age is encoded as 0.
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
