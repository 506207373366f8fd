//! Totals of a router, which are logged when the process ends.

/// Totals of requests, lookups and attempts since the router was created.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Requests that were received, except those counted in `shed`.
    pub received: u64,
    /// Requests in `received` that were served, including those whose client holds a current copy.
    pub served: u64,
    /// Requests in `received` that were rejected.
    pub rejected: u64,
    /// Requests in `received` that failed, including those of an unknown class.
    pub failed: u64,
    /// Requests that were rejected before they were opened: too much is pending on their connection
    /// or in the buffers, or the process is stopping or in standby.
    pub shed: u64,
    /// Lookups that were answered, whatever their result.
    pub lookups: u64,
    /// Attempts that were given to the driver to be sent.
    pub attempts: u64,
    /// Attempts and replies that were dropped because their request is closed or has an attempt in
    /// flight. The value stays 0 unless the program is faulty.
    pub invariant_violations: u64,
}
