//! What the core is told and what it wants done: its inputs and commands, and what they carry.

use crate::ask::{Ask, Reply, Said, Wanted};
use crate::follow::Found;
use crate::members::Told;
use hollymux_decide::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Who is owed an answer: a connection and the tag of a request on it. The core only gives it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Client {
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

/// A host that was chosen, and what it is told of the fill.
#[derive(Clone, Debug)]
pub struct Target {
    /// The host.
    pub host: HostId,
    /// Its name on the sockets.
    pub uid: Rc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// The source of a fill by its name on the sockets.
    pub source: Option<Rc<str>>,
    /// Fill and keep.
    pub fill: Fill,
}

/// An attempt as it is to be sent.
#[derive(Clone, Debug)]
pub struct Order {
    /// Which attempt it is.
    pub attempt: AttemptId,
    /// Where it goes.
    pub target: Target,
    /// Its time-out.
    pub timeout: Duration,
    /// Its class by number.
    pub class: u16,
    /// What is asked.
    pub ask: Rc<Ask>,
    /// Who asks: nothing goes out for one who has left.
    pub client: Client,
    /// It may not go out after this: what may have run before is told apart as a repeat only for so long.
    pub by: Option<Timestamp>,
}

/// What a DNS answer told a follower: a box by name and address, and the fill as texts.
#[derive(Debug)]
pub struct Hint {
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
    pub keep: u8,
    /// The oldest copy that will do.
    pub max_age: Option<Duration>,
    /// Join a fill under way.
    pub join: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub renew: bool,
    /// The source gives only what it holds.
    pub shallow: bool,
}

/// Who decides where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mind {
    /// The decision module.
    Module,
    /// Lookups at another router.
    Follow,
}

/// What wakes the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A timer of the module or of the follower.
    Mind(Mind, u64),
    /// An attempt's time-out.
    Attempt(AttemptId),
}

/// Why an attempt ended with no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// The host refused a connection, so it never ran.
    Refused,
    /// No connection came up while one was waited for, so it never ran.
    Late,
    /// It was never written whole, so it never ran. That tells nothing of the host.
    Unsent,
    /// The connection ended after it was written whole.
    Broken,
}

/// What the core is told.
#[derive(Debug)]
pub enum Input {
    /// A client asks.
    Ask(Client, Ask),
    /// A client stops waiting.
    Undo(Client),
    /// A client's connection ended.
    Left(u64),
    /// A shelf answered an attempt, and what it said of the fill, if that is told.
    Said(AttemptId, Said, Option<Note>),
    /// An attempt ended with no answer.
    Lost(AttemptId, Lost),
    /// A probe ended; none: nothing came back.
    Probed(HostId, Option<bool>),
    /// A lookup for a request ended.
    Found(RequestId, Found<Hint>),
    /// The control feed told something.
    Told(Told),
    /// A timer is due.
    Wake(Wake),
    /// The router ends: whatever is open gets its answer now.
    End,
}

/// How a request was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// Served with bytes.
    Served,
    /// Served: the client's copy is the one.
    Unchanged,
    /// Refused: it never ran.
    Refused,
    /// Failed.
    Failed,
    /// The client stopped waiting.
    Withdrawn,
    /// A lookup was answered with a box.
    Named,
}

/// Why a request was closed as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// As it was asked.
    Asked,
    /// Too much is open, or no further filing can be remembered.
    NoRoom,
    /// Its class, id or budget can't be used.
    Unusable,
    /// A filing of that id may have run.
    MayHaveRun,
    /// No box could be asked.
    NoHost,
    /// The last attempt ended like this.
    Host(Status),
    /// The client's connection or the buffers hold too much; it never came to a decision.
    Crowded,
}

/// What became of a request; told once, when it is closed.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The request; 0 if it was never opened.
    pub request: RequestId,
    /// What was asked for.
    pub wanted: Wanted,
    /// When it came.
    pub arrived: Timestamp,
    /// How long the client would wait.
    pub budget: Duration,
    /// How long it was open.
    pub took: Duration,
    /// How it was closed.
    pub result: Closed,
    /// Why.
    pub why: Why,
    /// Bytes of the answer.
    pub bytes: u64,
    /// Attempts made.
    pub attempts: u16,
    /// The box that was asked last, by name.
    pub host: Option<Rc<str>>,
    /// The source named with it, by name.
    pub source: Option<Rc<str>>,
}

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub struct Tried {
    /// Which it was.
    pub attempt: AttemptId,
    /// The box that was asked, by name.
    pub host: Rc<str>,
    /// The source named with it, by name.
    pub source: Option<Rc<str>>,
    /// How it ended.
    pub status: Status,
    /// How long it was out.
    pub took: Duration,
}

/// What the core wants done.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt.
    Send(Order),
    /// Give an attempt up; `again`: its request is still open and may be sent once more.
    Quit {
        /// Which attempt.
        attempt: AttemptId,
        /// A further attempt may follow.
        again: bool,
    },
    /// Give a client its final answer.
    Reply(Client, Reply),
    /// Wake the core at that time.
    Wake(Timestamp, Wake),
    /// Look up where a request is to go.
    Look(RequestId, Wanted),
    /// Probe a host.
    Probe(HostId, SocketAddr),
    /// Close all connections to a host: its process is no longer there.
    Drop(HostId),
    /// A host takes nothing more: what has not gone out to it must not go.
    Hold(HostId),
    /// An attempt has ended: for the log.
    Tried(Tried),
    /// A request is closed: for the log and the recording.
    Ended(Box<Ended>),
    /// A line for the operator.
    Log(String),
}
