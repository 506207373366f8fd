//! The router's inputs and commands, and what they carry.

use crate::endpoint_list::FeedEvent;
use crate::hint_follower::LookupResult;
use crate::request::{AttemptResponse, ClientRequest, Reply, RequestedObject};
use hollymux_decision::{AttemptStatus, CacheFill, CacheStatus, EndpointId, RequestId, Timestamp};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A client's request as its driver knows it: replies carry it back, the router doesn't interpret
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientHandle {
    /// The connection.
    pub conn: u64,
    /// The tag of the request, unique on its connection.
    pub tag: u64,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub number: u16,
}

/// An endpoint that was chosen, and how it is to fill its cache.
#[derive(Clone, Debug)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its name in the endpoint protocol.
    pub uid: Rc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// The name of the fill's source; `None` if there is no source or it is the endpoint itself.
    pub source: Option<Rc<str>>,
    /// How it is to fill its cache, and what it keeps.
    pub fill: CacheFill,
}

/// An attempt that is to be sent.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it goes.
    pub target: Target,
    /// How long a response is waited for.
    pub timeout: Duration,
    /// The class of the request, by number.
    pub class: u16,
    /// The client's request.
    pub request: Rc<ClientRequest>,
    /// The client: nothing is sent for one that has left.
    pub client: ClientHandle,
    /// The attempt may not be sent after this, if it repeats one that may have run: endpoints
    /// recognise a repeat by its idempotency key only until then.
    pub send_before: Option<Timestamp>,
}

/// An endpoint that the DNS response of another router names, and how it is to fill its cache.
#[derive(Debug)]
pub struct RoutingHint {
    /// The endpoint's name, in lower case.
    pub uid: String,
    /// The endpoint's address.
    pub addr: SocketAddr,
    /// The fill.
    pub fill: FillHint,
}

/// A cache fill as a DNS response describes it. Its source is a name that may be unknown here.
#[derive(Debug, Default)]
pub struct FillHint {
    /// The name of the source; `None`: no fill.
    pub source: Option<String>,
    /// The retention priority of the copy, 0 to 3.
    pub retention: u8,
    /// The greatest age of a copy that may be served.
    pub max_age: Option<Duration>,
    /// Join a fill of the same object that is under way.
    pub coalesce: bool,
    /// Serve a stale copy and revalidate it in the background.
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

/// What a timer of the router is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A timer of the decision module or of the hint follower, with its token.
    Decision(RoutingMode, u64),
    /// The timeout of an attempt.
    Attempt(AttemptId),
}

/// Why an attempt ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The endpoint refused a connection, so the attempt never ran.
    ConnectionRefused,
    /// No connection was established in time, so the attempt never ran.
    ConnectTimeout,
    /// It was not written completely, so it never ran. That says nothing about the endpoint.
    NotSent,
    /// The connection ended after the attempt was written completely.
    ConnectionLost,
}

/// An event for the router.
#[derive(Debug)]
pub enum Input {
    /// A client sent a request.
    Request(ClientHandle, ClientRequest),
    /// A client cancelled its request.
    Cancel(ClientHandle),
    /// A client's connection ended.
    ClientClosed(u64),
    /// An endpoint responded to an attempt, with the status of its cache if it reported one.
    Responded(AttemptId, AttemptResponse, Option<CacheStatus>),
    /// An attempt ended without a response.
    Failed(AttemptId, AttemptFailure),
    /// A probe ended: whether the endpoint is healthy, or `None` without a response.
    Probed(EndpointId, Option<bool>),
    /// A lookup for a request ended.
    LookedUp(RequestId, LookupResult<RoutingHint>),
    /// The endpoint feed sent an event.
    Feed(FeedEvent),
    /// A timer expired.
    Wake(Wake),
    /// The process exits: open requests get their replies now.
    Shutdown,
}

/// How a request was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Served with the bytes of the object.
    Served,
    /// Served: the client's copy is current.
    NotModified,
    /// Rejected: it never ran.
    Rejected,
    /// Failed.
    Failed,
    /// The client cancelled it.
    Cancelled,
    /// A lookup was answered with an endpoint.
    Named,
}

/// Why a request was closed as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultReason {
    /// It was served, or its lookup answered.
    Completed,
    /// Too many requests are open, or the table of pending writes is full.
    TableFull,
    /// Its id is in use or its budget too great.
    InvalidRequest,
    /// It is not idempotent, and a request of its id may have run.
    MayHaveRun,
    /// There was no endpoint to send it to.
    NoEndpoint,
    /// Its last attempt ended like this.
    Attempt(AttemptStatus),
    /// Too much is pending on the client's connection or in the buffers: it was not opened.
    Overloaded,
}

/// What became of a request; reported once, when it is closed.
#[derive(Clone, Debug)]
pub struct RequestSummary {
    /// The request; 0 if it was never opened.
    pub request: RequestId,
    /// The object that was asked for.
    pub requested: RequestedObject,
    /// When it arrived.
    pub arrived: Timestamp,
    /// How long the client would wait.
    pub budget: Duration,
    /// How long it was open.
    pub duration: Duration,
    /// How it was closed.
    pub result: RequestResult,
    /// Why.
    pub reason: ResultReason,
    /// The size of the reply's body.
    pub bytes: u64,
    /// The number of attempts.
    pub attempts: u16,
    /// The endpoint of the last attempt, by name.
    pub endpoint: Option<Rc<str>>,
    /// The fill source of the last attempt, by name.
    pub source: Option<Rc<str>>,
}

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub struct AttemptSummary {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its endpoint, by name.
    pub endpoint: Rc<str>,
    /// Its fill source, by name.
    pub source: Option<Rc<str>>,
    /// How it ended.
    pub status: AttemptStatus,
    /// How long it was in flight.
    pub duration: Duration,
}

/// What the router wants done.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt.
    SendAttempt(AttemptRequest),
    /// Cancel an attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Its request is still open, so a further attempt may follow.
        may_retry: bool,
    },
    /// Send a client its final reply.
    Reply(ClientHandle, Reply),
    /// Set a timer.
    Wake(Timestamp, Wake),
    /// Look up at another router where a request is to go.
    Lookup(RequestId, RequestedObject),
    /// Probe the health of an endpoint.
    Probe(EndpointId, SocketAddr),
    /// Close all connections to an endpoint: its process is gone or has restarted.
    CloseConnections(EndpointId),
    /// Send nothing more to an endpoint, not even what was accepted for it but not sent yet.
    StopSending(EndpointId),
    /// An attempt has ended: for the log.
    AttemptEnded(AttemptSummary),
    /// A request was closed: for the log and the capture.
    RequestEnded(Box<RequestSummary>),
    /// A message for the operator.
    Log(String),
}
