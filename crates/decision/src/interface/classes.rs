//! Classes of requests: objectives, priorities, and how far a request may be repeated.

use std::time::Duration;

/// Whether requests of a class may be repeated once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// They may be repeated and rejected at any time.
    Idempotent,
    /// Repeats are dropped by the endpoints of one scope, for a limited time.
    WithKey,
    /// Never once an attempt may have run.
    NotIdempotent,
}

/// Which endpoints recognise repeats of a request with a key together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Any endpoint.
    All,
    /// Endpoints of the same zone.
    Zone,
    /// Endpoints of the same cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time has its full priority weight...
    pub latency_objective: Duration,
    /// ...plus this multiple of the request's own sending time.
    pub latency_objective_stretch: f64,
    /// How long the client waits in all.
    pub deadline: Duration,
    /// Priority of a request against those of other classes.
    pub priority_weight: f64,
    /// Share of the priority weight that a late response still has.
    pub late_weight: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// With [`Idempotency::WithKey`]: which endpoints drop repeats...
    pub scope: DeduplicationScope,
    /// ...and for how long after the first attempt that may have run.
    pub window: Duration,
    /// Responses are streamed.
    pub stream: bool,
    /// Requests run at the origin and leave no copy.
    pub write: bool,
    /// How long a copy is fresh; zero: until purged.
    pub fresh: Duration,
    /// How much older a copy may be where a stale one is accepted.
    pub grace: Duration,
    /// Share of the priority weight that a stale copy has.
    pub stale_weight: f64,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            latency_objective: Duration::ZERO,
            latency_objective_stretch: 0.0,
            deadline: Duration::ZERO,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::NotIdempotent,
            scope: DeduplicationScope::Cell,
            window: Duration::ZERO,
            stream: false,
            write: false,
            fresh: Duration::ZERO,
            grace: Duration::ZERO,
            stale_weight: 1.0,
        }
    }
}
