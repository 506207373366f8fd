//! What goes into the server model and what comes out of it.

use crate::objects::{ChunkKey, Purge};
use crate::Time;

/// The role of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// An edge cache of the site of this index.
    EdgeCache(usize),
    /// The parent cache of this index.
    ParentCache(usize),
    /// The origin.
    Origin,
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It runs.
    Up,
    /// Its process is gone: connections are reset and refused.
    Down,
    /// Nothing reaches it or comes from it: connections stay open and silent.
    Unreachable,
}

/// A server as the endpoint list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name in the scenario.
    pub name: String,
    /// Its id in the endpoint list; new with each replacement.
    pub uid: String,
    /// Its role.
    pub kind: ServerKind,
    /// Its state.
    pub state: ServerState,
    /// Its listed capacity, in flows.
    pub flows: f64,
    /// When it last started; 0: before the scenario.
    pub started: Time,
}

/// A router's attempt as it reaches a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The class, by its index in the scenario.
    pub class: usize,
    /// What is requested.
    pub key: ChunkKey,
    /// The object's group.
    pub group: u32,
    /// The size of the chunk.
    pub bytes: u64,
    /// The request's id, by which a non-idempotent request that runs twice is found.
    pub rid: u64,
    /// The maximum age of the copy; none: the class's time of freshness.
    pub max_age: Option<Time>,
    /// The retention priority of the copy.
    pub retention: u8,
    /// The server from which a missing copy is filled.
    pub fill_source: Option<usize>,
    /// It may wait for a fill that is already under way.
    pub coalesce: bool,
    /// The source of the fill may serve from its cache only.
    pub only_if_cached: bool,
}

/// A server's answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Served with a copy that the origin gave out at this time.
    Served(Time),
    /// There is no copy, and no source to fill from.
    Miss,
    /// Rejected for lack of capacity.
    AtCapacity,
    /// An error after processing had begun.
    Failed,
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes requests.
    Ready,
    /// It takes no new requests and is about to go.
    Draining,
    /// It is gone.
    Gone,
}

impl ListedState {
    /// The word of the endpoint feed.
    pub fn wire_word(self) -> &'static str {
        match self {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        }
    }
}

/// What the model reports to the driver that plays it.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelEvent {
    /// An attempt is answered.
    Answered {
        /// The attempt's id.
        id: u64,
        /// The answer.
        result: AttemptResult,
        /// Bytes of the answer's body.
        bytes: u64,
    },
    /// A server changed its state; attempts at one that is down are lost.
    StateChanged {
        /// Which server.
        server: usize,
        /// Its new state.
        state: ServerState,
    },
    /// The endpoint feed is to carry this server, as it was at that moment.
    EndpointChanged {
        /// Which server.
        server: usize,
        /// How it was then.
        listed: Box<Server>,
        /// Its state in the list.
        state: ListedState,
    },
    /// The endpoint feed is to carry this purge.
    Purged(Purge),
}
