//! The inputs and effects of the core in types of the test itself.

/// Identifies a client that waits for a reply.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId {
    pub connection: u64,
    pub tag: u64,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    pub request: u32,
    pub number: u16,
}

/// A request as a client sends it. `body` is the size of its body in bytes.
pub struct RequestSpec {
    pub id: u64,
    pub class: &'static str,
    pub object: u64,
    pub chunk: u32,
    pub group: u32,
    pub budget_ms: u64,
    pub holds_copy: bool,
    pub has_key: bool,
    pub body: usize,
}

/// The response of an endpoint to an attempt.
#[derive(Clone, Copy)]
pub enum EndpointResponse {
    Bytes { has_digest: bool, length: usize },
    NotModified,
    Absent,
    AtCapacity,
    Failed,
    AlreadyCancelled,
}

/// The cache status that an endpoint reports with its response.
#[derive(Clone, Copy)]
pub enum FillStatus {
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceUnreachable,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

/// Why an attempt ended without a response.
#[derive(Clone, Copy)]
pub enum AttemptLoss {
    ConnectionRefused,
    ConnectTimeout,
    NotSent,
    ConnectionLost,
}

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

/// An entry of the endpoint list. An entry without a port states no address.
#[derive(Clone)]
pub struct EndpointSpec {
    pub uid: String,
    pub cell: u16,
    pub zone: u16,
    pub kind: u16,
    pub weight: f64,
    pub state: ListedState,
    pub started: u64,
    pub port: Option<u16>,
}

/// The result of a lookup at another router.
pub enum LookupOutcome {
    Endpoint { uid: String, port: u16, source: Option<String>, retention: u8 },
    Rejected,
    Failed,
}

/// An event for the core, or a direct call of it. Times are in microseconds.
pub enum Stimulus {
    Request(ClientId, RequestSpec),
    Cancel(ClientId),
    CloseConnection { connection: u64 },
    Response { attempt: AttemptKey, response: EndpointResponse, fill_status: Option<FillStatus> },
    Failure { attempt: AttemptKey, loss: AttemptLoss },
    Probed { uid: String, healthy: Option<bool> },
    LookedUp { request: u32, outcome: LookupOutcome },
    Wake { handle: usize },
    EndpointList { is_full_list: bool, entries: Vec<EndpointSpec> },
    Purge { object: Option<u64>, group: u32, at: u64 },
    Lookup { class: &'static str, object: u64, chunk: u32, group: u32, id: Option<u64> },
    Settings(&'static str),
    HandOver { last: Option<(ClientId, RequestSpec)> },
    Shutdown,
}

/// What the world does in response to an effect.
pub enum Reaction {
    Sent { attempt: AttemptKey, uid: String },
    Replied(ClientId),
    Wake { at: u64, handle: usize },
    LookUp { request: u32 },
    Probe { uid: String },
    Nothing,
}

/// A command or a call result of the core: its kind, its fields in a line of text, and the world's
/// reaction to it.
pub struct Effect {
    pub kind: &'static str,
    pub line: String,
    pub reaction: Reaction,
}

impl Effect {
    pub fn new(kind: &'static str, line: String) -> Effect {
        Effect { kind, line, reaction: Reaction::Nothing }
    }

    pub fn reacting(self, reaction: Reaction) -> Effect {
        Effect { reaction, ..self }
    }
}
