//! The results of recorded requests, and the reasons for them.

use hollymux_decision::AttemptStatus;
use hollymux_router::{RequestResult, ResultReason};
use serde::{Deserialize, Serialize};

/// How a recorded request ended. The order of the variants is part of the format of recordings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecordedResult {
    /// The client got the bytes of the object.
    Served,
    /// The client was told that its copy is current, without bytes of the object.
    NotModified,
    /// The router rejected the request: the client may send it again without harm. It may have been
    /// executed only if it is idempotent or if every endpoint drops repeats by its idempotency key.
    Rejected,
    /// The client, or the caller of a lookup, got a failure reply, which doesn't tell whether the
    /// request was executed: sending it again may execute it twice. [`RecordedReason::NoEndpoint`]
    /// and [`RecordedReason::InvalidRequest`] show that it was not sent; a reason that tells how
    /// the last attempt ended doesn't exclude that an earlier attempt was executed.
    Failed,
    /// The client cancelled the request.
    Cancelled,
    /// A lookup was answered with the name of an endpoint.
    Routed,
}

impl RecordedResult {
    /// The name of the result in printed reports and JSON, where scripts match it.
    pub fn name(self) -> &'static str {
        match self {
            RecordedResult::Served => "served",
            RecordedResult::NotModified => "unchanged",
            RecordedResult::Rejected => "refused",
            RecordedResult::Failed => "failed",
            RecordedResult::Cancelled => "withdrawn",
            RecordedResult::Routed => "named",
        }
    }
}

impl From<RequestResult> for RecordedResult {
    fn from(result: RequestResult) -> Self {
        match result {
            RequestResult::Served => RecordedResult::Served,
            RequestResult::NotModified => RecordedResult::NotModified,
            RequestResult::Rejected => RecordedResult::Rejected,
            RequestResult::Failed => RecordedResult::Failed,
            RequestResult::Cancelled => RecordedResult::Cancelled,
            RequestResult::Named => RecordedResult::Routed,
        }
    }
}

/// Why a recorded request ended as it did. The order of the variants is part of the format of
/// recordings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecordedReason {
    /// The request was served, or its lookup was answered.
    None,
    /// The router had too many open requests, or its table of pending writes was full.
    TableFull,
    /// The request's id was in use, or its timeout was too long.
    InvalidRequest,
    /// A non-idempotent request with the same id may have been executed.
    MayHaveRun,
    /// There was no endpoint to which an attempt could be sent.
    NoEndpoint,
    /// The last attempt was a cache miss that was not filled.
    Miss,
    /// The endpoint of the last attempt was at capacity, or its fill source was.
    AtCapacity,
    /// The last attempt was not sent.
    NotSent,
    /// The last attempt got no connection to its endpoint.
    Unreachable,
    /// The endpoint of the last attempt returned an error.
    Error,
    /// The endpoint of the last attempt did not respond in time.
    TimedOut,
    /// The connection of the last attempt was closed before a response.
    ConnectionLost,
    /// The last attempt was cancelled.
    Cancelled,
    /// Too much data was pending on the client's connection or in the buffer pool, so the request
    /// was not opened.
    Overloaded,
}

impl RecordedReason {
    /// The name of the reason in printed reports and JSON, where scripts match it.
    pub fn name(self) -> &'static str {
        match self {
            RecordedReason::None => "none",
            RecordedReason::TableFull => "noroom",
            RecordedReason::InvalidRequest => "unusable",
            RecordedReason::MayHaveRun => "mayhaverun",
            RecordedReason::NoEndpoint => "nohost",
            RecordedReason::Miss => "missed",
            RecordedReason::AtCapacity => "full",
            RecordedReason::NotSent => "unsent",
            RecordedReason::Unreachable => "unreached",
            RecordedReason::Error => "error",
            RecordedReason::TimedOut => "silent",
            RecordedReason::ConnectionLost => "broken",
            RecordedReason::Cancelled => "givenup",
            RecordedReason::Overloaded => "crowded",
        }
    }
}

impl From<ResultReason> for RecordedReason {
    fn from(reason: ResultReason) -> Self {
        match reason {
            ResultReason::Completed => RecordedReason::None,
            ResultReason::TableFull => RecordedReason::TableFull,
            ResultReason::InvalidRequest => RecordedReason::InvalidRequest,
            ResultReason::MayHaveRun => RecordedReason::MayHaveRun,
            ResultReason::NoEndpoint => RecordedReason::NoEndpoint,
            ResultReason::Overloaded => RecordedReason::Overloaded,
            ResultReason::Attempt(status) => status.into(),
        }
    }
}

impl From<AttemptStatus> for RecordedReason {
    fn from(status: AttemptStatus) -> Self {
        match status {
            AttemptStatus::Miss => RecordedReason::Miss,
            AttemptStatus::Full => RecordedReason::AtCapacity,
            AttemptStatus::Moot => RecordedReason::NotSent,
            AttemptStatus::ConnectFailed | AttemptStatus::Unreached => RecordedReason::Unreachable,
            AttemptStatus::Error | AttemptStatus::Ok => RecordedReason::Error,
            AttemptStatus::Timeout => RecordedReason::TimedOut,
            AttemptStatus::Reset => RecordedReason::ConnectionLost,
            AttemptStatus::Cancelled => RecordedReason::Cancelled,
        }
    }
}
