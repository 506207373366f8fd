//! Replication: when an object's level rises and falls, and with it the blocks of caches that serve it.

use crate::module::DecisionModule;
use crate::state::{replica_count, ClosedInterval, EndpointRole, ReplicationLevel, MAX_LEVEL};
use crate::time::Timestamp;

/// A level rises when the object's share exceeds this times next block / caches (DESIGN's π4). It drops by
/// one after `LEVEL_EXPIRY` below its threshold (the paper's expiry, DESIGN).
const WIDEN_THRESHOLD: f64 = 0.5;
/// Guard against small samples: a count must clear the threshold by this many standard errors.
const MIN_STANDARD_ERRORS: f64 = 2.0;

impl DecisionModule {
    /// Adapts the levels to the requests of a sampling interval.
    pub(crate) fn update_replication(&mut self, now: Timestamp, interval: ClosedInterval) {
        let caches = self.endpoints.ready(EndpointRole::LocalCache).count().max(1) as f64;
        let block_size = |level: u32| f64::from(1u32 << level.min(MAX_LEVEL));
        let threshold = |level: u32| WIDEN_THRESHOLD * block_size(level) / caches * interval.usual_total;
        for (key, count) in interval.counts {
            let count = f64::from(count);
            let level = self.request_counter.level(key);
            let covers_all = replica_count(level) as f64 >= caches;
            let rises = !covers_all && count - MIN_STANDARD_ERRORS * count.sqrt() > threshold(level + 1);
            let stays = level > 0 && count > threshold(level);
            if rises || stays {
                let level = if rises { level + 1 } else { level };
                self.request_counter.levels.insert(key, ReplicationLevel { level, since: now });
            }
        }
        self.request_counter.expire_levels(now);
        self.purges.forget(now.saturating_sub(self.settings.purge_life()));
    }
}
