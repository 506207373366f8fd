//! What leased quotas are configured with, and the expiry times that follow from it.

use crate::counters::RouterCounts;
use crate::{Time, MS};
use std::net::SocketAddr;

/// Times that the guarantees follow from. `docs/quota-leases.md` gives the reason of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimings {
    /// How long a router lends to a broker, counted from when the broker asked.
    pub lease_duration: Time,
    /// How long a broker lends to other routers.
    pub broker_lease_duration: Time,
    /// From one exchange with a broker to the next.
    pub exchange_interval: Time,
    /// The window over which usage of a limit counts: a quota that is back may be used again this
    /// much later.
    pub usage_window: Time,
    /// The most by which a router's clock runs fast or slow, in thousandths.
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
    /// A span that is over by the local clock only after `span` is over by any router's clock.
    ///
    /// By true time a borrower's lease ends at most `span / (1 - drift)` after it asked, and the
    /// lender, which was asked later, counts at most `1 + drift` times as much. Three times the
    /// drift covers both.
    pub fn with_drift_margin(&self, span: Time) -> Time {
        span + (span * 3 * self.max_clock_drift_per_mille).div_ceil(1_000)
    }

    /// How long after its use, or the end of its lease, a quota still counts against the limit by
    /// any clock.
    pub fn expiry_delay(&self) -> Time {
        self.with_drift_margin(self.usage_window)
    }

    /// The longest time after which all that a stopped router lent, used or borrowed has expired.
    pub fn max_claim_lifetime(&self) -> Time {
        let longest_lease = self.lease_duration.max(self.broker_lease_duration);
        self.with_drift_margin(longest_lease) + self.expiry_delay()
    }
}

/// The local router's identity and the cluster's configured size.
#[derive(Clone, Debug)]
pub struct QuotaOptions {
    /// The cluster's name: datagrams of other clusters are dropped.
    pub cluster_name: String,
    /// The address that other routers send to.
    pub address: SocketAddr,
    /// The number of this process: no other process at this address ever has the same; never 0.
    pub instance_id: u64,
    /// Routers that are configured: no limit is divided by fewer.
    pub configured_routers: RouterCounts,
    /// Times that the guarantees follow from.
    pub timings: LeaseTimings,
}
