//! How many edge caches a chunk is spread over. A chunk that takes more than its share of a
//! router's requests is replicated on the first 1, 3, 7, ... endpoints of its hashed order; each
//! level doubles the block that is added. The rule is the decision module's.

use crate::trace::ChunkId;
use std::collections::HashMap;

/// The shortest time over which requests are counted.
const MIN_SAMPLING_INTERVAL_US: u64 = 1_000_000;
/// The fewest requests that a count is judged by, unless the interval reaches `LEVEL_DECAY_US`.
const MIN_SAMPLED_REQUESTS: u32 = 40;
/// A level falls by one after a chunk's count has stayed below its threshold this long.
const LEVEL_DECAY_US: u64 = 10_000_000;
/// A level rises when a chunk's count exceeds this many times the next block's share of requests.
const WIDEN_SHARE: f64 = 0.5;
/// By how many standard errors a count must exceed its threshold, so that chance widens nothing.
const WIDEN_STANDARD_ERRORS: f64 = 2.0;
/// Weight of the latest interval in the moving average of the request rate.
const RATE_SMOOTHING: f64 = 0.2;
/// The largest level that is computed with; its block is larger than any site.
const MAX_LEVEL: u32 = 20;

/// A replicated chunk.
#[derive(Clone, Copy, Debug)]
struct ChunkLevel {
    level: u32,
    /// When the chunk's count last justified the level.
    justified_us: u64,
}

/// The replication levels that one router keeps.
#[derive(Debug, Default)]
pub struct ReplicationLevels {
    interval_began_us: u64,
    sampled_requests: u32,
    requests_per_s: f64,
    sampled_by_chunk: HashMap<ChunkId, u32>,
    levels: HashMap<ChunkId, ChunkLevel>,
}

impl ReplicationLevels {
    /// Counts a request and returns how many endpoints of its order the chunk is spread over.
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

    /// A chunk's level; 0 is one replica.
    pub fn level(&self, chunk: ChunkId) -> u32 {
        self.levels.get(&chunk).map_or(0, |entry| entry.level)
    }

    /// Whether no chunk is replicated.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Raises and lowers levels by what was counted, and begins another interval.
    fn end_interval(&mut self, now_us: u64, elapsed_s: f64, endpoint_count: f64) {
        let rate = f64::from(self.sampled_requests) / elapsed_s.max(1e-6);
        self.requests_per_s = if self.requests_per_s == 0.0 {
            rate
        } else {
            (1.0 - RATE_SMOOTHING) * self.requests_per_s + RATE_SMOOTHING * rate
        };
        let expected_requests = self.requests_per_s.max(rate) * elapsed_s;
        let threshold = |level: u32| {
            WIDEN_SHARE * f64::from(1u32 << level.min(MAX_LEVEL)) / endpoint_count
                * expected_requests
        };
        for (chunk, count) in std::mem::take(&mut self.sampled_by_chunk) {
            let count = f64::from(count);
            let level = self.level(chunk);
            let can_widen = f64::from(replica_count(level)) < endpoint_count;
            let surely_counted = count - WIDEN_STANDARD_ERRORS * count.sqrt();
            if can_widen && surely_counted > threshold(level + 1) {
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

/// Endpoints that a chunk of that level is spread over: 1, 3, 7, ...
fn replica_count(level: u32) -> u32 {
    (2u32 << level.min(MAX_LEVEL)) - 1
}
