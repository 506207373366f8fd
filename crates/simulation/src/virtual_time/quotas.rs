//! How much of the quotas of servers that warm up all routers together use, by their own accounts.

use super::routers::{ProcessState, SimulatedRouter};
use super::Simulation;
use crate::model::{CacheTier, OVERLOAD_WINDOW};
use crate::{Time, MS};
use hollymux_decision::{EndpointId, QuotaScope, Timestamp};
use std::collections::BTreeMap;

/// From one sample of the routers' accounts to the next.
const SAMPLE_INTERVAL: Time = 250 * MS;
/// A mean is taken over samples at which at least the whole quota was wanted.
const WHOLE_QUOTA: f64 = 1.0;

/// What all routers together use of one server's quota.
struct QuotaSum {
    tier: CacheTier,
    used: f64,
    wanted: f64,
    /// Routers that share the quota and do not know yet that the server warms up.
    unaware: i64,
}

impl Simulation<'_> {
    /// Takes a sample of the routers' accounts, if it is due.
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
            for demand in demands.filter(|demand| demand.sharers != QuotaScope::Elsewhere) {
                let shared_by_all = demand.sharers == QuotaScope::All;
                let sum = sums.entry(demand.endpoint).or_insert_with(|| QuotaSum {
                    // Edge caches are shared by a site's routers, parent caches by all.
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

    /// How many routers that are not dead share a quota with this one.
    fn count_sharers(&self, with: &SimulatedRouter, shared_by_all: bool) -> usize {
        let shares = |router: &&SimulatedRouter| {
            let concerned = shared_by_all || router.slot.site == with.slot.site;
            concerned && !matches!(router.process, ProcessState::Dead)
        };
        self.routers.iter().filter(shares).count()
    }

    fn add_quota_sample(&mut self, endpoint: EndpointId, sum: &QuotaSum) {
        if sum.unaware > 0 {
            self.warm_up_known_since.remove(&endpoint);
            return;
        }
        // What was sent before all knew broke no limit, and counts for a window.
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
