//! Actions: what the decision module has its router do.

use crate::interface::{EndpointId, RequestId};
use std::time::Duration;

/// How a miss at the endpoint is filled, and how the copy is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheFill {
    /// Where a miss is filled from; `None`: no fill.
    pub source: Option<EndpointId>,
    /// Priority at which the copy is retained, 1 to 3, lowest dropped first; 0: passed through.
    pub retention: u8,
    /// Greatest age of a copy that may be served; `None`: fresh ones only.
    pub max_age: Option<Duration>,
    /// Join a fill in flight.
    pub coalesce: bool,
    /// Serve an ageing copy and fetch it anew in the background.
    pub stale_while_revalidate: bool,
    /// The source gives only what it holds, and fetches nothing.
    pub only_if_cached: bool,
}

/// What the router is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; numbered from 0 per request in the order of sending.
    Attempt {
        /// The request.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// Its timeout.
        timeout: Duration,
        /// How a miss is filled.
        fill: CacheFill,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Final answer: rejected; a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Delay before the retry; zero: no advice.
        retry_after: Duration,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Hand back [`Event::Timer`](crate::Event::Timer).
    Timer {
        /// After this long.
        after: Duration,
        /// With this token.
        token: u64,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Request the whole endpoint list once.
    FetchHosts,
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A line for the log.
    Log(String),
}

impl Action {
    /// An [`Action::Timer`].
    pub fn timer(after: Duration, token: u64) -> Action {
        Action::Timer { after, token }
    }

    /// An [`Action::Cancel`].
    pub fn cancel(request: RequestId, attempt: usize) -> Action {
        let attempt = u16::try_from(attempt).unwrap_or(u16::MAX);
        Action::Cancel { request, attempt }
    }

    /// An [`Action::Refuse`].
    pub fn refuse(request: RequestId, retry_after: Duration) -> Action {
        Action::Refuse { request, retry_after }
    }
}
