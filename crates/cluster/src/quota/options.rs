//! Configuration of leased quotas, and the expiry times derived from it.

use crate::counters::RouterCounts;
use crate::{Time, MS};
use std::net::SocketAddr;

/// Multiple of the maximum clock drift that a margin covers, see
/// [`LeaseTimings::with_drift_margin`].
const DRIFT_MARGIN_FACTOR: Time = 3;

/// Durations and the clock drift on which the safety of leases depends. `docs/quota-leases.md`
/// gives the reason of each default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimings {
    /// Duration of a lease from a router to a broker. A received lease with a longer duration is
    /// shortened to this.
    pub lease_duration: Time,
    /// Duration of a lease from a broker to another router.
    pub broker_lease_duration: Time,
    /// Interval between exchanges of the local router with its brokers.
    pub exchange_interval: Time,
    /// Length of the window over which usage counts against a limit. Quota of an expired lease may
    /// be used again by the lender only after this window, with a margin for clock drift.
    pub usage_window: Time,
    /// Maximum drift of any router's clock, fast or slow, in thousandths of the elapsed time.
    pub max_clock_drift_per_mille: Time,
}

impl Default for LeaseTimings {
    fn default() -> LeaseTimings {
        LeaseTimings {
            lease_duration: 2_500 * MS,
            broker_lease_duration: 1_200 * MS,
            exchange_interval: 400 * MS,
            usage_window: 1_500 * MS,
            max_clock_drift_per_mille: 10,
        }
    }
}

impl LeaseTimings {
    /// Extends a duration by a margin for clock drift: when the result has elapsed on the local
    /// clock, `duration` has elapsed on every other router's clock.
    ///
    /// In true time a borrower's lease ends at most `duration / (1 - drift)` after the borrower
    /// sent its request. The lender received the request later, and its clock advances at most
    /// `1 + drift` times as fast as true time. A margin of three times the drift covers both.
    pub fn with_drift_margin(&self, duration: Time) -> Time {
        duration + (duration * DRIFT_MARGIN_FACTOR * self.max_clock_drift_per_mille).div_ceil(1_000)
    }

    /// Duration on the local clock for which quota still counts against the limit after it was used
    /// or its lease expired: the usage window with a margin for clock drift.
    pub fn expiry_delay(&self) -> Time {
        self.with_drift_margin(self.usage_window)
    }

    /// Maximum duration on the local clock after which everything that a stopped router lent, used
    /// or borrowed has expired.
    pub fn max_lease_and_usage_lifetime(&self) -> Time {
        let longest_lease = self.lease_duration.max(self.broker_lease_duration);
        self.with_drift_margin(longest_lease) + self.expiry_delay()
    }
}

/// The local router's identity, the cluster's configured size and the lease timings.
#[derive(Clone, Debug)]
pub struct QuotaOptions {
    /// The cluster's name. Datagrams from routers with another cluster name are rejected.
    pub cluster_name: String,
    /// The advertised address, to which other routers send datagrams; it identifies the router.
    pub address: SocketAddr,
    /// Identifies this process: must differ from the number of every other process at this address,
    /// earlier or later, and must not be 0.
    pub instance_id: u64,
    /// Configured numbers of routers; limits are never divided by fewer.
    pub configured_routers: RouterCounts,
    /// Durations of leases and exchanges, and the maximum clock drift.
    pub timings: LeaseTimings,
}
