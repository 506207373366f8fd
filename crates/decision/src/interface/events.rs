//! Events: what a router passes to its decision module.

use crate::interface::{AttemptOutcome, AttemptStatus, EndpointEntry, EndpointId, ListKind};
use crate::time::Timestamp;
use std::time::Duration;

/// Number of a request at one router, unique for as long as the router runs.
pub type RequestId = u32;

/// A client's request for one part of an object.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Number under which the router and the module refer to the request while it is open.
    pub id: RequestId,
    /// Number of its class, the index in [`Settings::classes`](crate::Settings::classes).
    pub class: u16,
    /// Number that identifies the requested object.
    pub object: u64,
    /// Number of the requested part of the object.
    pub part: u32,
    /// Group of the object; purges may name it.
    pub group: u32,
    /// Size of the part in KB; `None` if it is not known.
    pub size_kb: Option<f64>,
    /// Time until which the client waits.
    pub deadline: Timestamp,
    /// Whether the client marked it as a repeat of an earlier request.
    pub repeat: bool,
    /// Whether it is a write, in addition to the writes by class.
    pub write: bool,
}

/// A purge of an object or of an object group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// Time since the purge.
    pub since: Duration,
    /// The object, of which all parts are purged. `None`: the whole group is purged.
    pub object: Option<u64>,
    /// The group; ignored if an object is named.
    pub group: u32,
}

/// An event that the router observed.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The router received entries of the endpoint list.
    EndpointList {
        /// How complete the entries are.
        kind: ListKind,
        /// One entry for each listed or changed endpoint.
        entries: Vec<EndpointEntry>,
    },
    /// A request for the endpoint list failed; the last list stays in force.
    EndpointListFailed,
    /// A client sent a request.
    Request(Request),
    /// An attempt's streamed response has begun. From now on the client receives it, and the module
    /// neither repeats nor cancels the attempt.
    Started {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u16,
    },
    /// An attempt has ended with a response, a failure or its cancellation.
    AttemptOutcome(AttemptOutcome),
    /// The client has withdrawn its request; no final answer is sent.
    Withdrawn {
        /// The request that its client no longer waits for.
        request: RequestId,
    },
    /// A timer that the module set has expired.
    Timer {
        /// The token of the [`Action::Timer`](crate::Action::Timer) that set the timer.
        token: u64,
    },
    /// The router received a purge.
    Purged(Purge),
    /// An active health probe has ended.
    Probed {
        /// The endpoint named by the [`Action::Probe`](crate::Action::Probe).
        endpoint: EndpointId,
        /// [`AttemptStatus::Ok`] if the endpoint is healthy; otherwise why the probe failed.
        status: AttemptStatus,
    },
}
