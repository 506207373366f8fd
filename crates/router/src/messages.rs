//! What the core is told and what it wants done: its inputs and commands, and what they carry.

use crate::endpoint_list::FeedEvent;
use crate::hint_follower::LookupResult;
use crate::request::{AttemptResponse, ClientRequest, Reply, RequestedObject};
use hollymux_decision::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Who is owed an answer: a connection and the tag of a request on it. The core only gives it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientHandle {
    /// The connection.
    pub conn: u64,
    /// The tag.
    pub tag: u64,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its number.
    pub number: u16,
}

/// An endpoint that was chosen, and what it is told of the fill.
#[derive(Clone, Debug)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its name on the sockets.
    pub uid: Rc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// The source of a fill by its name on the sockets.
    pub source: Option<Rc<str>>,
    /// Fill and keep.
    pub fill: CacheFill,
}

/// An attempt as it is to be sent.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Which attempt it is.
    pub attempt: AttemptId,
    /// Where it goes.
    pub target: Target,
    /// Its time-out.
    pub timeout: Duration,
    /// Its class by number.
    pub class: u16,
    /// The client's request.
    pub request: Rc<ClientRequest>,
    /// Who asks: nothing goes out for one who has left.
    pub client: ClientHandle,
    /// It may not go out after this: what may have run before is told apart as a repeat only for so long.
    pub send_before: Option<Timestamp>,
}

/// What a DNS answer told a follower: a box by name and address, and the fill as texts.
#[derive(Debug)]
pub struct RoutingHint {
    /// The box's name on the sockets, in lower case.
    pub uid: String,
    /// The box's address.
    pub addr: SocketAddr,
    /// The fill.
    pub fill: FillHint,
}

/// A fill as a DNS answer tells it: the source is a name that may mean nothing here.
#[derive(Debug, Default)]
pub struct FillHint {
    /// The source by name; none: no fill.
    pub source: Option<String>,
    /// The rank at which the copy is kept, 0 to 3.
    pub retention: u8,
    /// The oldest copy that will do.
    pub max_age: Option<Duration>,
    /// Join a fill under way.
    pub coalesce: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub stale_while_revalidate: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
}

/// Who decides where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingMode {
    /// The decision module.
    Decide,
    /// Lookups at another router.
    FollowHint,
}

/// What wakes the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A timer of the module or of the follower.
    Decision(RoutingMode, u64),
    /// An attempt's time-out.
    Attempt(AttemptId),
}

/// Why an attempt ended with no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The endpoint refused a connection, so it never ran.
    ConnectionRefused,
    /// No connection came up while one was waited for, so it never ran.
    ConnectTimeout,
    /// It was never written whole, so it never ran. That tells nothing of the endpoint.
    NotSent,
    /// The connection ended after it was written whole.
    ConnectionLost,
}

/// What the core is told.
#[derive(Debug)]
pub enum Input {
    /// A client asks.
    Request(ClientHandle, ClientRequest),
    /// A client stops waiting.
    Cancel(ClientHandle),
    /// A client's connection ended.
    ClientClosed(u64),
    /// A shelf answered an attempt, and what it said of the fill, if that is told.
    Responded(AttemptId, AttemptResponse, Option<CacheStatus>),
    /// An attempt ended with no answer.
    Failed(AttemptId, AttemptFailure),
    /// A probe ended; none: nothing came back.
    Probed(EndpointId, Option<bool>),
    /// A lookup for a request ended.
    LookedUp(RequestId, LookupResult<RoutingHint>),
    /// The control feed told something.
    Feed(FeedEvent),
    /// A timer is due.
    Wake(Wake),
    /// The router ends: whatever is open gets its answer now.
    Shutdown,
}

/// How a request was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Served with bytes.
    Served,
    /// Served: the client's copy is the one.
    NotModified,
    /// Refused: it never ran.
    Rejected,
    /// Failed.
    Failed,
    /// The client stopped waiting.
    Cancelled,
    /// A lookup was answered with a box.
    Named,
}

/// Why a request was closed as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultReason {
    /// As it was asked.
    Completed,
    /// Too much is open, or no further filing can be remembered.
    TableFull,
    /// Its class, id or budget can't be used.
    InvalidRequest,
    /// A filing of that id may have run.
    MayHaveRun,
    /// No box could be asked.
    NoEndpoint,
    /// The last attempt ended like this.
    Attempt(AttemptStatus),
    /// The client's connection or the buffers hold too much; it never came to a decision.
    Overloaded,
}

/// What became of a request; told once, when it is closed.
#[derive(Clone, Debug)]
pub struct RequestSummary {
    /// The request; 0 if it was never opened.
    pub request: RequestId,
    /// What was asked for.
    pub requested: RequestedObject,
    /// When it came.
    pub arrived: Timestamp,
    /// How long the client would wait.
    pub budget: Duration,
    /// How long it was open.
    pub duration: Duration,
    /// How it was closed.
    pub result: RequestResult,
    /// Why.
    pub reason: ResultReason,
    /// Bytes of the answer.
    pub bytes: u64,
    /// Attempts made.
    pub attempts: u16,
    /// The box that was asked last, by name.
    pub endpoint: Option<Rc<str>>,
    /// The source named with it, by name.
    pub source: Option<Rc<str>>,
}

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub struct AttemptSummary {
    /// Which it was.
    pub attempt: AttemptId,
    /// The box that was asked, by name.
    pub endpoint: Rc<str>,
    /// The source named with it, by name.
    pub source: Option<Rc<str>>,
    /// How it ended.
    pub status: AttemptStatus,
    /// How long it was out.
    pub duration: Duration,
}

/// What the core wants done.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt.
    SendAttempt(AttemptRequest),
    /// Give an attempt up; `may_retry` if its request is still open.
    CancelAttempt {
        /// Which attempt.
        attempt: AttemptId,
        /// A further attempt may follow.
        may_retry: bool,
    },
    /// Give a client its final answer.
    Reply(ClientHandle, Reply),
    /// Wake the core at that time.
    Wake(Timestamp, Wake),
    /// Look up where a request is to go.
    Lookup(RequestId, RequestedObject),
    /// Probe an endpoint.
    Probe(EndpointId, SocketAddr),
    /// Close all connections to an endpoint: its process is no longer there.
    CloseConnections(EndpointId),
    /// An endpoint takes nothing more: what has not gone out to it must not go.
    StopSending(EndpointId),
    /// An attempt has ended: for the log.
    AttemptEnded(AttemptSummary),
    /// A request is closed: for the log and the recording.
    RequestEnded(Box<RequestSummary>),
    /// A line for the operator.
    Log(String),
}
