//! Totals of a router since its start, for the log line at its end.

/// Totals of requests, lookups and attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Requests received, except those in `shed`.
    pub received: u64,
    /// Requests answered with what they asked for.
    pub served: u64,
    /// Requests rejected: they never ran.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests rejected before they were opened: too much is pending on their connection or in the
    /// buffers, or the router is stopping or in standby.
    pub shed: u64,
    /// Lookups answered.
    pub lookups: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Actions for something that had ended or that may not be sent; they were not executed. Stays
    /// 0.
    pub invariant_violations: u64,
}
