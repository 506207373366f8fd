//! An independent implementation of the simulator's protocol: encodes batches and decodes replies
//! by byte offset, and exchanges them with the adapter's process.

use std::io::{Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Path of the adapter's executable. The variable contains the package name, so only this line
/// changes if the package is renamed.
const ADAPTER: &str = env!("CARGO_BIN_EXE_hollymux-simulator-adapter");
/// Size of an event record, in bytes.
const EVENT_BYTES: usize = 48;
/// Size of an action record, in bytes.
const ACTION_BYTES: usize = 32;
/// Number under which every endpoint list is defined.
const LIST: u32 = 0;

/// An entry of the endpoint list.
#[derive(Clone, Copy)]
pub struct ListedEndpoint {
    /// Endpoint id, of which the protocol carries the lower 48 bits.
    pub id: u64,
    pub cell: u16,
    pub zone: u8,
    pub kind: u16,
    pub weight: f32,
    /// Code of the state: 0 for gone, 1 for ready, 2 for draining.
    pub state: u8,
    /// Time of the last start in microseconds; 0 if the endpoint has not restarted.
    pub started: u64,
}

/// Fields of a request record.
pub struct RequestFields {
    pub id: u32,
    /// Size of the chunk in KB; 0 if unknown.
    pub size_kb: f32,
    pub part: f32,
    pub class: u16,
    pub object: u64,
    /// Time at which the client stops waiting, in microseconds.
    pub deadline: u64,
    pub group: f32,
    /// Bit 1 marks a repeat of an earlier request, bit 2 a write.
    pub flags: u8,
}

/// Fields of an attempt outcome record.
pub struct OutcomeFields {
    pub request: u32,
    pub endpoint: u64,
    /// Time since the attempt was sent, in microseconds.
    pub latency: u32,
    pub attempt: u16,
    pub status: u8,
    /// Whether the request is finished, by this or an earlier outcome.
    pub request_finished: bool,
    /// Code of the cache status; 0 for none.
    pub cache_status: u8,
}

/// An action of a reply, with the fields that the simulated world uses.
pub enum Action {
    Attempt(AttemptFields),
    Cancel { request: u32, attempt: u16 },
    Reject { request: u32 },
    Fail { request: u32 },
    Timer { after: u32, token: u64 },
    FetchEndpointList,
    Subscribe,
    Probe { endpoint: u64 },
    Other,
}

/// Fields of an action that sends an attempt.
#[derive(Clone)]
pub struct AttemptFields {
    pub request: u32,
    pub endpoint: u64,
    /// Timeout in microseconds.
    pub timeout: u32,
    /// Fill source; equal to `endpoint` if there is none.
    pub source: u64,
    /// Retention priority of the copy; 0 if the copy is not retained.
    pub keep: u8,
    /// Greatest age in microseconds of a copy that may be served; 0 for fresh copies only.
    pub max_age: u32,
    /// Bit 0 stands for request coalescing, bit 1 for only-if-cached, bit 3 for
    /// stale-while-revalidate.
    pub flags: u8,
}

/// The records and the tail of a batch.
#[derive(Default)]
pub struct Batch {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Batch {
    fn record(&mut self, code: u8, instance: u16, fields: &[(usize, &[u8])]) {
        let mut record = [0; EVENT_BYTES];
        record[0] = code;
        record[1..3].copy_from_slice(&instance.to_le_bytes());
        for (offset, bytes) in fields {
            record[*offset..*offset + bytes.len()].copy_from_slice(bytes);
        }
        self.records.extend(record);
    }

    pub fn create(&mut self, instance: u16, seed: u64, settings: &str) {
        let offset = self.tail.len() as u32;
        self.tail.extend(settings.as_bytes());
        let length = settings.len() as u32;
        let fields: [(usize, &[u8]); 3] =
            [(3, &seed.to_le_bytes()), (11, &offset.to_le_bytes()), (15, &length.to_le_bytes())];
        self.record(70, instance, &fields);
    }

    pub fn power_off(&mut self, instance: u16) {
        self.record(110, instance, &[]);
    }

    /// Adds the definition of an endpoint list and its delivery to the instance. `list_kind` is 0 for
    /// a delta, 1 for a full list and 2 for a cached list.
    pub fn endpoints(&mut self, instance: u16, list_kind: u8, endpoints: &[ListedEndpoint]) {
        let offset = self.tail.len() as u32;
        for endpoint in endpoints {
            self.tail.extend(endpoint.cell.to_le_bytes());
            self.tail.extend(&endpoint.id.to_le_bytes()[..6]);
            self.tail.extend(endpoint.weight.to_le_bytes());
            self.tail.push(endpoint.state);
            self.tail.extend(endpoint.started.to_le_bytes());
            self.tail.push(endpoint.zone);
            self.tail.extend(endpoint.kind.to_le_bytes());
        }
        let count = endpoints.len() as u32;
        let numbered: [(usize, &[u8]); 3] =
            [(1, &LIST.to_le_bytes()), (5, &offset.to_le_bytes()), (9, &count.to_le_bytes())];
        self.record(40, 0, &numbered);
        self.record(50, instance, &[(3, &[list_kind]), (8, &LIST.to_le_bytes())]);
    }

    /// Adds the failure of a request for the endpoint list.
    pub fn endpoint_list_failed(&mut self, instance: u16) {
        self.record(50, instance, &[(3, &[3])]);
    }

    pub fn request(&mut self, instance: u16, request: &RequestFields) {
        let fields: [(usize, &[u8]); 8] = [
            (3, &request.id.to_le_bytes()),
            (7, &request.size_kb.to_le_bytes()),
            (11, &request.part.to_le_bytes()),
            (15, &request.class.to_le_bytes()),
            (17, &request.object.to_le_bytes()),
            (29, &request.deadline.to_le_bytes()),
            (37, &request.group.to_le_bytes()),
            (41, &[request.flags]),
        ];
        self.record(60, instance, &fields);
    }

    pub fn outcome(&mut self, instance: u16, outcome: &OutcomeFields) {
        let fields: [(usize, &[u8]); 7] = [
            (3, &outcome.request.to_le_bytes()),
            (11, &outcome.endpoint.to_le_bytes()[..6]),
            (17, &outcome.latency.to_le_bytes()),
            (21, &outcome.attempt.to_le_bytes()),
            (23, &[outcome.status]),
            (24, &[u8::from(outcome.request_finished)]),
            (25, &[outcome.cache_status]),
        ];
        self.record(100, instance, &fields);
    }

    pub fn started(&mut self, instance: u16, request: u32, attempt: u16) {
        self.record(20, instance, &[(3, &request.to_le_bytes()), (7, &attempt.to_le_bytes())]);
    }

    pub fn withdrawn(&mut self, instance: u16, request: u32) {
        self.record(80, instance, &[(3, &request.to_le_bytes())]);
    }

    pub fn timer(&mut self, instance: u16, token: u64) {
        self.record(30, instance, &[(3, &token.to_le_bytes())]);
    }

    /// Adds a purge that happened `since` microseconds ago. If `object` is 0, it purges the whole
    /// group.
    pub fn purge(&mut self, instance: u16, since: u32, group: u16, object: u64) {
        let fields: [(usize, &[u8]); 3] =
            [(3, &since.to_le_bytes()), (7, &group.to_le_bytes()), (9, &object.to_le_bytes())];
        self.record(10, instance, &fields);
    }

    pub fn probed(&mut self, instance: u16, endpoint: u64, status: u8) {
        self.record(120, instance, &[(3, &endpoint.to_le_bytes()[..6]), (9, &[status])]);
    }

    fn frame(&self, now: u64) -> Vec<u8> {
        let length = 16 + self.records.len() + self.tail.len();
        let mut frame = now.to_le_bytes().to_vec();
        frame.extend((length as u32).to_le_bytes());
        frame.extend(((self.records.len() / EVENT_BYTES) as u32).to_le_bytes());
        frame.extend(&self.records);
        frame.extend(&self.tail);
        frame
    }
}

/// A 64-bit FNV-1a digest over the replies.
pub struct Digest(pub u64);

impl Default for Digest {
    fn default() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A running process of the adapter.
pub struct Adapter {
    child: Child,
    input: ChildStdin,
    output: ChildStdout,
    pub digest: Digest,
}

impl Adapter {
    pub fn start() -> Adapter {
        let mut command = Command::new(ADAPTER);
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("failed to start the adapter");
        let input = child.stdin.take().expect("standard input of the adapter is not a pipe");
        let output = child.stdout.take().expect("standard output of the adapter is not a pipe");
        Adapter { child, input, output, digest: Digest::default() }
    }

    /// Sends a batch with the time `now`, reads the reply and returns its actions.
    pub fn exchange(&mut self, now: u64, batch: &Batch) -> Vec<Action> {
        self.input.write_all(&batch.frame(now)).expect("failed to send a batch to the adapter");
        let mut header = [0; 8];
        self.output.read_exact(&mut header).expect("failed to read the header of a reply");
        let length = number(&header, 0, 4) as usize;
        let count = number(&header, 4, 4) as usize;
        let mut body = vec![0; length - header.len()];
        self.output.read_exact(&mut body).expect("failed to read the body of a reply");
        self.digest.add(&header[4..]);
        let records = body.chunks_exact(ACTION_BYTES).take(count);
        records.map(|record| self.read(record)).collect()
    }

    /// Adds an action record to the digest and decodes it. Of a log line, only the code and the
    /// instance are added, since its wording is not a decision.
    fn read(&mut self, record: &[u8]) -> Action {
        let is_log = record[0] == 40;
        self.digest.add(if is_log { &record[..3] } else { record });
        action(record)
    }

    /// Closes the adapter's input, waits for its successful exit and returns the digest of all
    /// replies.
    pub fn finish(self) -> u64 {
        let Adapter { mut child, input, output, digest } = self;
        drop((input, output));
        assert!(child.wait().expect("failed to wait for the adapter").success());
        digest.0
    }
}

/// Reads a little-endian number of `length` bytes.
fn number(bytes: &[u8], offset: usize, length: usize) -> u64 {
    let mut padded = [0; 8];
    padded[..length].copy_from_slice(&bytes[offset..offset + length]);
    u64::from_le_bytes(padded)
}

/// Decodes an action record.
fn action(record: &[u8]) -> Action {
    let request = number(record, 3, 4) as u32;
    match record[0] {
        60 => Action::Attempt(AttemptFields {
            request,
            endpoint: number(record, 7, 6),
            timeout: number(record, 13, 4) as u32,
            source: number(record, 17, 6),
            keep: record[23],
            max_age: number(record, 24, 4) as u32,
            flags: record[28],
        }),
        30 => Action::Cancel { request, attempt: number(record, 7, 2) as u16 },
        110 => Action::Reject { request },
        100 => Action::Fail { request },
        130 => Action::Timer { after: request, token: number(record, 7, 8) },
        10 => Action::FetchEndpointList,
        70 => Action::Subscribe,
        50 => Action::Probe { endpoint: number(record, 3, 6) },
        _ => Action::Other,
    }
}
