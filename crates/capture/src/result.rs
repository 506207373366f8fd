//! How a recorded request ended, and why.

use hollymux_decision::AttemptStatus;
use hollymux_router::{RequestResult, ResultReason};
use serde::{Deserialize, Serialize};

/// How a request ended. The order of the variants is part of the recording's format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecordedResult {
    /// Served with bytes.
    Served,
    /// Served: the client's copy is current.
    NotModified,
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
    /// The client stopped waiting.
    Cancelled,
    /// A lookup was answered with an endpoint.
    Routed,
}

impl RecordedResult {
    /// The name in reports, which scripts read.
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

/// Why a request that was not served has its result. The order of the variants is part of the
/// recording's format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecordedReason {
    /// It was served, or its lookup was answered.
    None,
    /// The router's table of open requests was full.
    TableFull,
    /// Its fields could not be used.
    InvalidRequest,
    /// It may have run before, and is not idempotent.
    MayHaveRun,
    /// No endpoint could take an attempt.
    NoEndpoint,
    /// The last attempt was a cache miss.
    Miss,
    /// The last attempt met an endpoint at capacity.
    AtCapacity,
    /// The last attempt was not sent.
    NotSent,
    /// The last attempt got no connection.
    Unreachable,
    /// The last attempt met an error.
    Error,
    /// The last attempt timed out.
    TimedOut,
    /// The connection of the last attempt broke.
    ConnectionLost,
    /// The last attempt was cancelled.
    Cancelled,
    /// The client's connection or the buffer pool held too much.
    Overloaded,
}

impl RecordedReason {
    /// The name in reports, which scripts read.
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
