//! Request classes: latency objectives, priorities, and whether requests may be repeated.

use std::time::Duration;

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated and rejected at any time.
    Idempotent,
    /// The request has an idempotency key: the endpoints of one scope drop repeats within the
    /// idempotency window.
    WithKey,
    /// The request must not be sent again after an attempt that may have run.
    NotIdempotent,
}

/// The set of endpoints that recognise repeats of a request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints together.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// Attributes of one class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Fixed part of the latency objective. A response within the latency objective earns the full
    /// priority weight.
    pub latency_objective: Duration,
    /// Part of the latency objective that depends on the size: this multiple of the request's own
    /// sending time.
    pub latency_objective_stretch: f64,
    /// Time that the client waits for a response.
    pub deadline: Duration,
    /// Weight of a request against requests of other classes, at least 0.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a late response earns, 0 to 1.
    pub late_weight: f64,
    /// Whether requests may be sent again after an attempt that may have run.
    pub idempotency: Idempotency,
    /// With [`Idempotency::WithKey`]: the endpoints that drop repeats.
    pub scope: DeduplicationScope,
    /// With [`Idempotency::WithKey`]: the idempotency window, which begins with the first attempt
    /// that may have run.
    pub window: Duration,
    /// Whether responses are streamed to the client.
    pub stream: bool,
    /// Whether requests are writes, which run at the origin and leave no copy.
    pub write: bool,
    /// Time for which a copy is fresh; zero if it is fresh until it is purged.
    pub fresh: Duration,
    /// Grace period: time for which a copy may be served after it has become stale, where stale
    /// copies are accepted.
    pub grace: Duration,
    /// Fraction of the priority weight that a stale copy earns, 0 to 1.
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
