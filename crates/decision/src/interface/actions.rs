//! Actions: what the decision module tells its router to do.

use crate::interface::{EndpointId, RequestId};
use std::time::Duration;

/// How an endpoint fills a miss, which copies it may serve, and with which priority it keeps the
/// copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheFill {
    /// The endpoint that a miss is filled from. `None`: a miss is not filled.
    pub source: Option<EndpointId>,
    /// Retention priority of the copy, 1 to 3; copies with lower priorities are dropped first. 0:
    /// the response is passed through without a copy.
    pub retention: u8,
    /// Maximum age of a copy that may be served. `None`: only fresh copies.
    pub max_age: Option<Duration>,
    /// Whether a miss may join a fill of the same object that is in flight (request coalescing).
    pub coalesce: bool,
    /// Whether a stale copy may be served while it is revalidated in the background.
    pub stale_while_revalidate: bool,
    /// Whether the source may serve only what it holds, without a fetch of its own.
    pub only_if_cached: bool,
}

/// An action that the router executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt. The attempts of a request are numbered from 0 in the order of sending.
    Attempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The endpoint that the attempt is sent to.
        endpoint: EndpointId,
        /// Time after which the attempt fails without a response.
        timeout: Duration,
        /// How the endpoint fills a miss.
        fill: CacheFill,
    },
    /// Cancels an attempt in flight.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u16,
    },
    /// Final answer: the request is rejected, and may be sent again without the risk that it runs
    /// twice.
    Reject {
        /// The open request that is rejected.
        request: RequestId,
        /// Delay that the client is advised to wait before it sends the request again; zero for no
        /// advice.
        retry_after: Duration,
    },
    /// Final answer: the request has failed, and may have run.
    Fail {
        /// The open request that has failed.
        request: RequestId,
    },
    /// Sets a timer; when it expires, the router passes [`Event::Timer`](crate::Event::Timer).
    Timer {
        /// Time until the timer expires.
        after: Duration,
        /// Token that the event returns.
        token: u64,
    },
    /// Subscribes to changes of the endpoint list.
    Subscribe,
    /// Requests the complete endpoint list once.
    FetchEndpointList,
    /// Sends an active health probe, whose result arrives as
    /// [`Event::Probed`](crate::Event::Probed).
    Probe {
        /// The endpoint to which the probe is sent.
        endpoint: EndpointId,
    },
    /// Writes a line to the log.
    Log(String),
}

impl Action {
    /// Creates an [`Action::Timer`].
    pub fn timer(after: Duration, token: u64) -> Action {
        Action::Timer { after, token }
    }

    /// Creates an [`Action::Cancel`] for the attempt with this number.
    pub fn cancel(request: RequestId, attempt: usize) -> Action {
        let attempt = u16::try_from(attempt).unwrap_or(u16::MAX);
        Action::Cancel { request, attempt }
    }

    /// Creates an [`Action::Reject`]; a `retry_after` of zero gives no advice.
    pub fn reject(request: RequestId, retry_after: Duration) -> Action {
        Action::Reject { request, retry_after }
    }
}
