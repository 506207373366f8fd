//! Replication: when an object's level rises and falls. The level determines how many blocks of
//! edge caches serve the object.

use crate::module::DecisionModule;
use crate::state::{replica_count, ClosedInterval, EndpointRole, ReplicationLevel, MAX_LEVEL};
use crate::time::Timestamp;

/// An object's level rises when its share of the requests exceeds this factor times the size of the
/// next block divided by the number of caches (see docs/design.md, replication threshold π4). It
/// falls by one after `LEVEL_EXPIRY` below the threshold of its own block (the paper's expiry of
/// levels, see docs/design.md).
const WIDEN_THRESHOLD: f64 = 0.5;
/// A level rises only if the count minus this many standard errors exceeds the threshold, so that
/// it does not rise by chance in a small sample.
const MIN_STANDARD_ERRORS: f64 = 2.0;

impl DecisionModule {
    /// Raises or confirms the level of each object by its requests in a closed sampling interval,
    /// lowers levels that have expired, and drops purges that no longer have an effect.
    pub(crate) fn update_replication(&mut self, now: Timestamp, interval: ClosedInterval) {
        let caches = self.endpoints.ready(EndpointRole::LocalCache).count().max(1) as f64;
        let block_size = |level: u32| f64::from(1u32 << level.min(MAX_LEVEL));
        let threshold = |level: u32| WIDEN_THRESHOLD * block_size(level) / caches * interval.usual_total;
        for (key, requests) in interval.counts {
            let count = f64::from(requests);
            let level = self.request_counter.level(key);
            let covers_all = replica_count(level) as f64 >= caches;
            let certain_count = count - MIN_STANDARD_ERRORS * count.sqrt();
            let rises = !covers_all && certain_count > threshold(level + 1);
            let is_confirmed = level > 0 && count > threshold(level);
            if rises || is_confirmed {
                let new_level = if rises { level + 1 } else { level };
                let entry = ReplicationLevel { level: new_level, since: now };
                self.request_counter.levels.insert(key, entry);
            }
        }
        self.request_counter.expire_levels(now);
        self.purges.forget(now.saturating_sub(self.settings.purge_life()));
    }
}
