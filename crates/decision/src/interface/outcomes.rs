//! How an attempt at an endpoint ended, as the router reports it: status, cache status and timing.

use crate::interface::{EndpointId, RequestId};
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The endpoint served the request.
    Ok,
    /// The endpoint has no usable copy and did not fill the miss. The request did not run.
    Miss,
    /// The endpoint returned an error. The request may have run.
    Error,
    /// The endpoint rejected the request for lack of capacity, or because its fill source refused
    /// or was not reached. The request did not run.
    Full,
    /// No response arrived before the timeout. The request may have run.
    Timeout,
    /// The connection failed. The request did not run.
    ConnectFailed,
    /// No connection was established while the attempt waited for one. The request did not run. The
    /// connection may still be established later.
    Unreached,
    /// The connection broke. The request may have run.
    Reset,
    /// The attempt was cancelled. The request may have run.
    Cancelled,
    /// The attempt was never sent.
    Moot,
}

impl AttemptStatus {
    /// Whether this status proves that the request did not run at the endpoint.
    pub fn never_ran(self) -> bool {
        use AttemptStatus::{ConnectFailed, Full, Miss, Moot, Unreached};
        matches!(self, Miss | Full | ConnectFailed | Unreached | Moot)
    }

    /// Whether the endpoint's process may have ended: a connection to it broke or was refused. One
    /// that is established late or never shows nothing of the process.
    pub(crate) fn process_may_have_ended(self) -> bool {
        matches!(self, AttemptStatus::Reset | AttemptStatus::ConnectFailed)
    }
}

/// What an endpoint reports of the copy or fill behind an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// A copy at the endpoint was served.
    Hit,
    /// The miss was filled from a copy at the fill source.
    Filled,
    /// The miss was filled by way of the origin.
    FilledByOrigin,
    /// The request joined a fill in flight. With [`AttemptStatus::Miss`]: such a fill is in flight.
    Joined,
    /// A stale copy was served.
    Stale,
    /// The fill source refused the fill.
    SourceRefused,
    /// The fill source was not reached, broke off or was too slow.
    SourceUnreachable,
    /// The fill source does not have the object.
    SourceLacks,
    /// The cache has no capacity for another fill.
    NoFillPlace,
    /// The origin failed behind the parent cache.
    OriginFailed,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0 in the order of sending.
    pub attempt: u16,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Time from sending to the end.
    pub latency: Duration,
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// Whether the request is finished, by this or an earlier outcome.
    pub request_finished: bool,
    /// What the endpoint reported of copy or fill; `None` if nothing was reported.
    pub cache_status: Option<CacheStatus>,
    /// Sending time of the response's bytes in seconds; `None` if the response does not show it.
    pub work: Option<f64>,
}
