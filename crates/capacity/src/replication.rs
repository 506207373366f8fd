//! Replication of popular chunks over several edge caches, by the same rule as the decision module.
//! A chunk that receives more than its share of a router's requests is replicated on the first 1,
//! 3, 7, ... endpoints of its hash order: each replication level adds a block of endpoints twice as
//! large as the block before.

use crate::trace::ChunkId;
use std::collections::HashMap;

/// Minimum length of a sampling interval, in microseconds.
const MIN_SAMPLING_INTERVAL_US: u64 = 1_000_000;
/// Minimum number of requests in a sampling interval, unless the interval reaches `LEVEL_DECAY_US`.
const MIN_SAMPLED_REQUESTS: u32 = 40;
/// Time after which a level falls by one if the chunk's count has stayed below its threshold, in
/// microseconds.
const LEVEL_DECAY_US: u64 = 10_000_000;
/// Threshold for raising a level, as a share of the requests that the block added by the level
/// would receive if requests were spread evenly over all endpoints.
const RAISE_SHARE: f64 = 0.5;
/// Number of standard errors by which a chunk's count must exceed the threshold, so that random
/// variation does not raise a level.
const RAISE_STANDARD_ERRORS: f64 = 2.0;
/// Weight of the latest interval in the moving average of the request rate.
const RATE_SMOOTHING: f64 = 0.2;
/// Maximum level used in computations; its block is larger than any site.
const MAX_LEVEL: u32 = 20;

/// The replication level of a replicated chunk.
#[derive(Clone, Copy, Debug)]
struct ChunkLevel {
    level: u32,
    /// Time at which the level was raised, lowered, or last confirmed by the chunk's count, in
    /// microseconds.
    justified_us: u64,
}

/// Replication levels of the chunks that one router has received requests for.
#[derive(Debug, Default)]
pub struct ReplicationLevels {
    interval_began_us: u64,
    sampled_requests: u32,
    requests_per_s: f64,
    sampled_by_chunk: HashMap<ChunkId, u32>,
    levels: HashMap<ChunkId, ChunkLevel>,
}

impl ReplicationLevels {
    /// Counts a request for a chunk and returns the number of endpoints of its hash order that the
    /// chunk is replicated on: at least 1, and at most `endpoint_count`.
    pub fn record_request(&mut self, now_us: u64, chunk: ChunkId, endpoint_count: usize) -> usize {
        let elapsed_us = now_us.saturating_sub(self.interval_began_us);
        let sampled_enough = self.sampled_requests >= MIN_SAMPLED_REQUESTS;
        if elapsed_us >= LEVEL_DECAY_US || elapsed_us >= MIN_SAMPLING_INTERVAL_US && sampled_enough
        {
            self.end_interval(now_us, elapsed_us as f64 / 1e6, endpoint_count.max(1) as f64);
        }
        *self.sampled_by_chunk.entry(chunk).or_default() += 1;
        self.sampled_requests += 1;
        (replica_count(self.level(chunk)) as usize).min(endpoint_count).max(1)
    }

    /// Returns a chunk's replication level; 0 is a single replica.
    pub fn level(&self, chunk: ChunkId) -> u32 {
        self.levels.get(&chunk).map_or(0, |entry| entry.level)
    }

    /// Returns whether no chunk has more than one replica.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Ends the sampling interval: raises and lowers levels by the requests counted in it, and
    /// begins the next one.
    fn end_interval(&mut self, now_us: u64, elapsed_s: f64, endpoint_count: f64) {
        let rate = f64::from(self.sampled_requests) / elapsed_s.max(1e-6);
        self.requests_per_s = if self.requests_per_s == 0.0 {
            rate
        } else {
            (1.0 - RATE_SMOOTHING) * self.requests_per_s + RATE_SMOOTHING * rate
        };
        let expected_requests = self.requests_per_s.max(rate) * elapsed_s;
        let threshold = |level: u32| {
            RAISE_SHARE * f64::from(1u32 << level.min(MAX_LEVEL)) / endpoint_count
                * expected_requests
        };
        for (chunk, count) in std::mem::take(&mut self.sampled_by_chunk) {
            let count = f64::from(count);
            let level = self.level(chunk);
            let can_raise = f64::from(replica_count(level)) < endpoint_count;
            let count_lower_bound = count - RAISE_STANDARD_ERRORS * count.sqrt();
            if can_raise && count_lower_bound > threshold(level + 1) {
                self.levels.insert(chunk, ChunkLevel { level: level + 1, justified_us: now_us });
            } else if level > 0 && count > threshold(level) {
                self.levels.insert(chunk, ChunkLevel { level, justified_us: now_us });
            }
        }
        self.decay_levels(now_us);
        self.interval_began_us = now_us;
        self.sampled_requests = 0;
    }

    fn decay_levels(&mut self, now_us: u64) {
        self.levels.retain(|_, entry| {
            if now_us >= entry.justified_us + LEVEL_DECAY_US {
                entry.level -= 1;
                entry.justified_us = now_us;
            }
            entry.level > 0
        });
    }
}

/// Returns the number of endpoints that a chunk of a level is replicated on: 1, 3, 7, ...
fn replica_count(level: u32) -> u32 {
    (2u32 << level.min(MAX_LEVEL)) - 1
}
