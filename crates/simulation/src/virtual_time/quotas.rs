//! Measures how much of the quotas of servers that warm up all routers together use, by the
//! routers' own accounts.

use super::routers::{ProcessState, SimulatedRouter};
use super::Simulation;
use crate::model::{CacheTier, OVERLOAD_WINDOW};
use crate::{Time, MS};
use hollymux_decision::{EndpointId, QuotaScope, Timestamp};
use std::collections::BTreeMap;

/// Interval between two samples of the routers' accounts.
const SAMPLE_INTERVAL: Time = 250 * MS;
/// Demand from which a sample counts in the mean use: the whole quota.
const WHOLE_QUOTA: f64 = 1.0;

/// The use of one server's quota, summed over all routers that share it.
struct QuotaSum {
    tier: CacheTier,
    used: f64,
    wanted: f64,
    /// The number of routers that share the quota and do not know yet that the server warms up.
    unaware: i64,
}

impl Simulation<'_> {
    /// Takes a sample of the routers' accounts, if one is due.
    pub(super) fn sample_quota_use(&mut self) {
        if self.now < self.next_quota_sample {
            return;
        }
        self.next_quota_sample = self.now + SAMPLE_INTERVAL;
        let sums = self.quota_sums();
        self.warm_up_known_since.retain(|endpoint, _| sums.contains_key(endpoint));
        for (endpoint, sum) in sums {
            self.add_quota_sample(endpoint, &sum);
        }
    }

    fn quota_sums(&self) -> BTreeMap<EndpointId, QuotaSum> {
        let now = Timestamp::from_micros(self.now);
        let mut sums = BTreeMap::new();
        for router in &self.routers {
            let demands = router.core.warm_up_demands(now).into_iter();
            for demand in demands.filter(|demand| demand.sharers != QuotaScope::OtherZone) {
                let shared_by_all = demand.sharers == QuotaScope::All;
                let sum = sums.entry(demand.endpoint).or_insert_with(|| QuotaSum {
                    // The quota of an edge cache is shared by the routers of its site, that of a
                    // parent cache by all routers.
                    tier: if shared_by_all { CacheTier::Parent } else { CacheTier::Edge },
                    used: 0.0,
                    wanted: 0.0,
                    unaware: self.count_sharers(router, shared_by_all) as i64,
                });
                sum.used += demand.used;
                sum.wanted += demand.wanted;
                sum.unaware -= 1;
            }
        }
        sums
    }

    /// The number of routers, except killed ones, that share a quota with this router.
    fn count_sharers(&self, with: &SimulatedRouter, shared_by_all: bool) -> usize {
        let shares = |router: &&SimulatedRouter| {
            let shares_quota = shared_by_all || router.slot.site == with.slot.site;
            shares_quota && !matches!(router.process, ProcessState::Killed)
        };
        self.routers.iter().filter(shares).count()
    }

    fn add_quota_sample(&mut self, endpoint: EndpointId, sum: &QuotaSum) {
        if sum.unaware > 0 {
            self.warm_up_known_since.remove(&endpoint);
            return;
        }
        // Load that was sent before all routers knew of the warm-up violates no quota, but stays in
        // their accounts for one window. The peak counts only after that.
        let known_since = *self.warm_up_known_since.entry(endpoint).or_insert(self.now);
        let quota_use = self.counters.quota_use.get_mut(sum.tier);
        if self.now >= known_since + OVERLOAD_WINDOW {
            quota_use.raise_peak(sum.used);
        }
        if sum.wanted >= WHOLE_QUOTA {
            quota_use.add(sum.used);
        }
    }
}
