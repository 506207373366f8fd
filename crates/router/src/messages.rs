//! The inputs and commands of the router, and the types that they carry.

use crate::endpoint_list::FeedEvent;
use crate::hint_follower::{self, LookupResult};
use crate::request::{AttemptResponse, ClientRequest, Reply, RequestedObject};
use hollymux_decision::request_of_timer;
use hollymux_decision::{AttemptStatus, CacheFill, CacheStatus, EndpointId, RequestId, Timestamp};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Identifies a client's request for the driver. The router returns it with the reply and
/// interprets only the connection, to cancel the requests of a closed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientHandle {
    /// The id of the client's connection.
    pub conn: u64,
    /// The tag of the request, unique on its connection.
    pub tag: u64,
}

/// Identifies an attempt of a request. The driver reports the endpoint's response to the attempt,
/// or the attempt's failure, under this id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The id of the request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt, from 0 in the order of sending.
    pub number: u16,
}

/// The endpoint chosen for a request, and its cache fill.
#[derive(Clone, Debug)]
pub struct Target {
    /// The id under which the decision module and the endpoint table know the endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's name in the endpoint protocol.
    pub uid: Rc<str>,
    /// The address on which the endpoint listens.
    pub addr: SocketAddr,
    /// The name of the fill source; `None` if there is no source or the endpoint is its own source.
    pub source: Option<Rc<str>>,
    /// How the endpoint fills a miss, and how it keeps the copy.
    pub fill: CacheFill,
}

/// An attempt that the driver is to send.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The id under which the driver reports the response or failure.
    pub attempt: AttemptId,
    /// The endpoint to send the attempt to, and its cache fill.
    pub target: Target,
    /// How long the router waits for a response before it cancels the attempt.
    pub timeout: Duration,
    /// The class slot of the request.
    pub class: u16,
    /// The client's request, whose fields are sent to the endpoint.
    pub request: Rc<ClientRequest>,
    /// The client that waits for the reply. The driver sends nothing for a client that has left.
    pub client: ClientHandle,
    /// The latest time at which the attempt may be sent, if it retries a request with an
    /// idempotency key that may have run: endpoints recognise the retry only within the idempotency
    /// window. `None` if there is no limit.
    pub send_before: Option<Timestamp>,
}

/// An endpoint that the DNS response of another router names, and its cache fill.
#[derive(Debug)]
pub struct RoutingHint {
    /// The endpoint's name, matched case-insensitively with the endpoint table.
    pub uid: String,
    /// The endpoint's address. The hint is not used if the endpoint table has another one.
    pub addr: SocketAddr,
    /// How the endpoint fills a miss.
    pub fill: FillHint,
}

/// A cache fill as a DNS response describes it. Its source is a name that may be missing from this
/// router's endpoint table.
#[derive(Debug, Default)]
pub struct FillHint {
    /// The name of the fill source; `None` if there is no fill.
    pub source: Option<String>,
    /// The retention priority of the copy, from 0 (not kept) to 3 (evicted last).
    pub retention: u8,
    /// The greatest age of a copy that may be served; `None` if only fresh copies may be served.
    pub max_age: Option<Duration>,
    /// Whether the request may join a fill of the same object that is in flight.
    pub coalesce: bool,
    /// Whether the endpoint may serve a stale copy and revalidate it in the background.
    pub stale_while_revalidate: bool,
    /// Whether the source returns only a copy that it holds, without a fill of its own.
    pub only_if_cached: bool,
}

/// What chooses the endpoint of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingMode {
    /// The decision module of this router chooses.
    Decide,
    /// The hint follower sends the request where lookups at another router say.
    FollowHint,
}

/// What a timer of the router is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A timer of the decision module or of the hint follower, with the token that it is returned
    /// with.
    Decision(RoutingMode, u64),
    /// The timeout of an attempt that was sent, or the end of the time for which an attempt that
    /// was only named by a lookup counts as in flight.
    Attempt(AttemptId),
}

impl Wake {
    /// The request that the timer belongs to, if any: it can be cancelled by
    /// [`Command::CancelTimers`].
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Wake::Decision(RoutingMode::Decide, token) => request_of_timer(*token),
            Wake::Decision(RoutingMode::FollowHint, token) => Some(hint_follower::request_of_timer(*token)),
            Wake::Attempt(attempt) => Some(attempt.request),
        }
    }
}

/// Why an attempt ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The endpoint refused the connection, so the attempt never ran.
    ConnectionRefused,
    /// No connection was established in time, so the attempt never ran.
    ConnectTimeout,
    /// The attempt was not written completely, so it never ran. This failure says nothing about the
    /// endpoint.
    NotSent,
    /// The connection ended after the attempt was written completely, so the attempt may have run.
    ConnectionLost,
    /// The response was dropped because no buffer was left for its body. The attempt has run. This
    /// failure says nothing about the endpoint.
    ResponseDropped,
}

/// An event that the driver passes to the router.
#[derive(Debug)]
pub enum Input {
    /// A client sent a request.
    Request(ClientHandle, ClientRequest),
    /// A client cancelled its request.
    Cancel(ClientHandle),
    /// A client's connection, given by its id, ended.
    ClientClosed(u64),
    /// An endpoint responded to an attempt, with the cache status if it reported one.
    Responded(AttemptId, AttemptResponse, Option<CacheStatus>),
    /// An attempt ended without a response.
    Failed(AttemptId, AttemptFailure),
    /// A health probe of an endpoint ended with the endpoint's health, or with `None` if it got no
    /// response.
    Probed(EndpointId, Option<bool>),
    /// The lookup of a request at another router ended.
    LookedUp(RequestId, LookupResult<RoutingHint>),
    /// The endpoint feed sent an event.
    Feed(FeedEvent),
    /// A timer set by [`Command::Wake`] expired.
    Wake(Wake),
    /// The process exits: open client requests are failed now.
    Shutdown,
}

/// How a request was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The request was served with the bytes of the object.
    Served,
    /// The request was served without a body, because the client's copy is current.
    NotModified,
    /// The request was rejected: the client may send it again without harm.
    Rejected,
    /// The request failed. It may have run.
    Failed,
    /// The client cancelled the request or closed its connection.
    Cancelled,
    /// The request was a lookup, and an endpoint was named to its caller.
    Named,
}

impl From<&Reply> for RequestResult {
    fn from(reply: &Reply) -> RequestResult {
        match reply {
            Reply::Served(..) => RequestResult::Served,
            Reply::NotModified(_) => RequestResult::NotModified,
            Reply::Rejected(_) => RequestResult::Rejected,
            Reply::Failed => RequestResult::Failed,
        }
    }
}

/// Why a request was closed with its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultReason {
    /// The request was served, or its lookup was answered with an endpoint.
    Completed,
    /// Too many requests are open, or the table of pending writes is full.
    TableFull,
    /// The request's id is in use, or its budget is too long.
    InvalidRequest,
    /// The request is non-idempotent, and a request with its id may have run.
    MayHaveRun,
    /// No attempt was started, for example because no endpoint was available.
    NoEndpoint,
    /// The last attempt of the request ended with this status. A sole attempt that is still in
    /// flight counts as [`AttemptStatus::Timeout`].
    Attempt(AttemptStatus),
    /// The request was rejected before it was opened: too much is pending on its client's
    /// connection or in the buffers, or the process is stopping or in standby. Or it was served,
    /// but its client has too much to read already.
    Overloaded,
}

/// The result of a request, reported once when the request is closed.
#[derive(Clone, Debug)]
pub struct RequestSummary {
    /// The id of the request; 0 if it was never opened.
    pub request: RequestId,
    /// The class, object, chunk and group that the client asked for.
    pub requested: RequestedObject,
    /// When the router received the request, by its monotonic clock.
    pub arrived: Timestamp,
    /// How long the client was willing to wait.
    pub budget: Duration,
    /// How long the request was open.
    pub duration: Duration,
    /// How the request was closed.
    pub result: RequestResult,
    /// Why the request was closed with `result`.
    pub reason: ResultReason,
    /// The size of the reply's body in bytes.
    pub bytes: u64,
    /// The number of attempts that were started.
    pub attempts: u16,
    /// The name of the last attempt's endpoint; `None` if no attempt was sent or named.
    pub endpoint: Option<Rc<str>>,
    /// The name of the last attempt's fill source; `None` if there is none or the endpoint is its
    /// own source.
    pub source: Option<Rc<str>>,
}

/// The result of an attempt, reported once when the attempt has ended.
#[derive(Clone, Debug)]
pub struct AttemptSummary {
    /// The attempt that ended, by the id under which the driver was to report its response.
    pub attempt: AttemptId,
    /// The name of the endpoint that the attempt was sent to.
    pub endpoint: Rc<str>,
    /// The name of the fill source; `None` if there is none or it is no longer known.
    pub source: Option<Rc<str>>,
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// How long the attempt was in flight.
    pub duration: Duration,
}

/// What the driver is to do for the router.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt to its endpoint.
    SendAttempt(AttemptRequest),
    /// Cancel an attempt; no response to it is expected any more.
    CancelAttempt {
        /// The attempt to cancel, by the id of its [`Command::SendAttempt`].
        attempt: AttemptId,
        /// Whether the request is still open, so that a further attempt may follow.
        may_retry: bool,
    },
    /// Send the final reply to a client.
    Reply(ClientHandle, Reply),
    /// Set a timer that expires at this time, and return it as [`Input::Wake`].
    Wake(Timestamp, Wake),
    /// Cancel the timers of a request, as none of them has an effect any more. One that expires
    /// nevertheless does no harm.
    CancelTimers(RequestId),
    /// Look up the endpoint of a request at another router, and return the result as
    /// [`Input::LookedUp`].
    Lookup(RequestId, RequestedObject),
    /// Probe the health of an endpoint, and return the result as [`Input::Probed`].
    Probe(EndpointId, SocketAddr),
    /// Close all connections to an endpoint, because its process is gone or has restarted, or has
    /// moved to another address.
    CloseConnections(EndpointId),
    /// Send nothing more to an endpoint, including attempts that are queued for it.
    StopSending(EndpointId),
    /// Log the end of an attempt.
    AttemptEnded(AttemptSummary),
    /// Log and capture the end of a request.
    RequestEnded(Box<RequestSummary>),
    /// Write a message to the log.
    Log(String),
}
