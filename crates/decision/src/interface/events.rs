//! Events: what a router hands to its decision module.

use crate::interface::{AttemptOutcome, AttemptStatus, EndpointEntry, EndpointId, ListKind};
use crate::time::Timestamp;
use std::time::Duration;

/// Identifies a request while it is open; never seen twice by one router.
pub type RequestId = u32;

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, by index.
    pub class: u16,
    /// The object requested.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The object's group, as purges may name it.
    pub group: u32,
    /// The part's size in KB, where known.
    pub size_kb: Option<f64>,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// The client marked it as a repeat of an earlier request.
    pub repeat: bool,
    /// It is a write.
    pub write: bool,
}

/// A purge that is announced to this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// How long ago it happened.
    pub since: Duration,
    /// The object with all parts, or `None`: the whole group.
    pub object: Option<u64>,
    /// The group.
    pub group: u32,
}

/// What happens while a router runs.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Entries of the endpoint list.
    EndpointList {
        /// How complete they are.
        kind: ListKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A call for the endpoint list failed; the old list stays in force.
    EndpointListFailed,
    /// A client's request.
    Request(Request),
    /// A streamed response has begun; the attempt belongs to the client from now on.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// An attempt ended.
    AttemptOutcome(AttemptOutcome),
    /// The client has left; no answer is due.
    Withdrawn {
        /// The request.
        request: RequestId,
    },
    /// A timer of the module is due.
    Timer {
        /// Its token.
        token: u64,
    },
    /// A purge.
    Purged(Purge),
    /// A probe came back.
    Probed {
        /// The endpoint probed.
        endpoint: EndpointId,
        /// How the probe ended.
        status: AttemptStatus,
    },
}
