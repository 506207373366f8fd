//! How attempts end.

use crate::interface::{EndpointId, RequestId};
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Ok,
    /// No usable copy, and none was filled; did not run.
    Miss,
    /// The endpoint returned an error; may have run.
    Error,
    /// Rejected for lack of capacity, or its source refused or was not reached; did not run.
    Full,
    /// No response in time; may have run.
    Timeout,
    /// No connection; did not run.
    ConnectFailed,
    /// No connection came up while one was waited for; did not run. It may yet come up.
    Unreached,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl AttemptStatus {
    /// Whether this outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        use AttemptStatus::{ConnectFailed, Full, Miss, Moot, Unreached};
        matches!(self, Miss | Full | ConnectFailed | Unreached | Moot)
    }
}

/// What an outcome reports of its fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Served from a copy at the endpoint.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Joined a fill in flight; on a miss: there is one.
    Joined,
    /// Served from a copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRefused,
    /// The source was not reached, broke off or was too slow.
    SourceUnreachable,
    /// The source lacks it.
    SourceLacks,
    /// The cache has no capacity for another fill.
    NoFillPlace,
    /// The origin failed behind the parent cache.
    OriginFailed,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0 in the order of sending.
    pub attempt: u16,
    /// The endpoint it went to.
    pub endpoint: EndpointId,
    /// Time since it was sent.
    pub latency: Duration,
    /// How it ended.
    pub status: AttemptStatus,
    /// The request is finished, by this or an earlier outcome.
    pub ended: bool,
    /// What is reported of the fill.
    pub note: Option<CacheStatus>,
    /// Its own sending time in seconds, where what came back shows it.
    pub work: Option<f64>,
}
