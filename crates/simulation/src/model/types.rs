//! Types of the server model's inputs and outputs.

use crate::objects::{ChunkKey, Purge};
use crate::Time;

/// The role of a server in the cache network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// An edge cache, at the site with this index.
    EdgeCache(usize),
    /// The parent cache with this index.
    ParentCache(usize),
    /// The origin, of which a scenario has exactly one.
    Origin,
}

/// Whether a server can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server runs and can be reached.
    Up,
    /// The server's process has ended: its connections are reset, and new ones are refused.
    Down,
    /// The server runs, but nothing is sent to it or received from it: its connections stay open
    /// and silent.
    Unreachable,
}

/// A server as the endpoint list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The server's name in the scenario.
    pub name: String,
    /// The server's uid in the endpoint list; a replacement gets a new one.
    pub uid: String,
    /// The server's role in the cache network.
    pub kind: ServerKind,
    /// Whether the server can be reached.
    pub state: ServerState,
    /// The capacity that the endpoint list states, in flows.
    pub flows: f64,
    /// The time of the latest start during the run; 0 if the server runs since before the run.
    pub started: Time,
}

/// An attempt of a router as it reaches a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The index of the request's class in the scenario.
    pub class: usize,
    /// The object and the chunk that the attempt requests.
    pub key: ChunkKey,
    /// The object's group, for purges of whole groups.
    pub group: u32,
    /// The size of the chunk, in bytes.
    pub bytes: u64,
    /// The request id, which reveals a second execution of a non-idempotent request.
    pub rid: u64,
    /// The maximum age of an acceptable copy; `None` stands for the time for which copies of the
    /// class are fresh.
    pub max_age: Option<Time>,
    /// The retention priority for the copy; 0 does not cache a new copy and leaves an existing one
    /// as it is. Parent caches store new copies with a fixed priority instead.
    pub retention: u8,
    /// The server from which a missing copy is filled. With `None`, a parent cache fills from the
    /// origin, and an edge cache answers with a miss.
    pub fill_source: Option<usize>,
    /// Whether the request may wait for a running fill of the same chunk.
    pub coalesce: bool,
    /// Whether the source of the fill may answer from its cache only.
    pub only_if_cached: bool,
}

/// The result of an attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server answers with a copy that the origin sent at this time.
    Served(Time),
    /// The server has no copy and must not or cannot fill one.
    Miss,
    /// The server rejects the attempt for lack of capacity.
    AtCapacity,
    /// The server fails after it has begun to process the attempt.
    Failed,
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The server accepts requests.
    Ready,
    /// The server must not get new requests and will stop soon.
    Draining,
    /// The server has stopped and is removed from the list.
    Gone,
}

impl ListedState {
    /// The value of `state` in events of the endpoint feed.
    pub fn wire_word(self) -> &'static str {
        match self {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        }
    }
}

/// An event that the model reports to its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelEvent {
    /// An attempt has its final result.
    Answered {
        /// The id under which the driver started the attempt.
        id: u64,
        /// Whether the attempt was served, or why it was not.
        result: AttemptResult,
        /// The size of the answer's body, in bytes; 0 unless the attempt was served.
        bytes: u64,
    },
    /// The state of a server changed. Attempts at a server that goes down are lost: they get no
    /// `Answered` event.
    StateChanged {
        /// The server's index.
        server: usize,
        /// The server's new state.
        state: ServerState,
    },
    /// The endpoint feed has to announce a change of a server.
    EndpointChanged {
        /// The server's index.
        server: usize,
        /// The server as it was at the time of the change.
        listed: Box<Server>,
        /// The server's new state in the endpoint list.
        state: ListedState,
    },
    /// The endpoint feed has to announce a purge.
    Purged(Purge),
}
