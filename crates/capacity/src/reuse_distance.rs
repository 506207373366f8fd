//! Reuse distances: how many bytes of other chunks were requested between two requests for the same
//! chunk. An LRU cache still has the chunk if it holds more than that, so one pass over the load
//! gives the hit ratio for every cache size (Mattson's stack distances).
//!
//! Exact distances take a tree with one leaf per request. Sampled ones follow only chunks whose
//! hash falls below a bound and scale distances up, which leaves the curve unbiased (SHARDS).

use crate::trace::ChunkId;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The smallest share of chunks that can be sampled.
const MIN_SAMPLE_SHARE: f64 = 1e-6;
/// Taken off a count that was computed from a ratio, so that the ratio finds its own count again
/// despite rounding.
const COUNT_TOLERANCE: f64 = 1e-6;

/// Sums over prefixes of an array that changes one element at a time.
#[derive(Debug)]
struct FenwickTree {
    partial_sums: Vec<f64>,
}

impl FenwickTree {
    fn new(length: usize) -> FenwickTree {
        FenwickTree { partial_sums: vec![0.0; length + 1] }
    }

    fn add(&mut self, index: usize, amount: f64) {
        let mut node = index + 1;
        while node < self.partial_sums.len() {
            self.partial_sums[node] += amount;
            node += node & node.wrapping_neg();
        }
    }

    /// The sum of all elements before `index`.
    fn sum_before(&self, index: usize) -> f64 {
        let mut node = index;
        let mut sum = 0.0;
        while node > 0 {
            sum += self.partial_sums[node];
            node -= node & node.wrapping_neg();
        }
        sum
    }
}

/// A request for a chunk, as a cache sees it.
#[derive(Clone, Copy, Debug)]
pub struct CacheAccess {
    /// When, in microseconds.
    pub at_us: u64,
    /// The chunk.
    pub chunk: ChunkId,
    /// The chunk's size.
    pub bytes: f64,
    /// A copy created before this is not valid: it was purged, or is no longer fresh.
    pub not_before_us: u64,
}

/// The last access to a chunk.
#[derive(Clone, Copy, Debug)]
struct LastAccess {
    index: usize,
    copy_created_us: u64,
    bytes: f64,
}

/// The hit ratio as a function of cache size.
#[derive(Clone, Debug, Default)]
pub struct HitRatioCurve {
    /// Distances of requests that a large enough cache serves, in ascending order.
    distances: Vec<f64>,
    /// Requests for chunks that were followed.
    requests: f64,
    /// Requests that a sample should have followed less those that it did follow. Chunks with most
    /// requests are few, so whether they are in the sample is chance; theirs are short distances.
    sampling_deficit: f64,
}

impl HitRatioCurve {
    /// The share of requests that a cache of so many bytes serves.
    pub fn hit_ratio(&self, cache_bytes: f64) -> f64 {
        let hits = self.distances.partition_point(|distance| *distance <= cache_bytes) as f64;
        let requests = self.requests + self.sampling_deficit;
        if requests > 0.0 {
            ((hits + self.sampling_deficit) / requests).clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// The smallest cache that serves that share of requests; none if no size does.
    pub fn min_size_for(&self, hit_ratio: f64) -> Option<f64> {
        let hits = hit_ratio * (self.requests + self.sampling_deficit);
        let followed_hits =
            (hits - self.sampling_deficit - COUNT_TOLERANCE).ceil().max(0.0) as usize;
        if followed_hits == 0 {
            return Some(0.0);
        }
        self.distances.get(followed_hits - 1).copied()
    }

    /// The hit ratio of an unbounded cache.
    pub fn max_hit_ratio(&self) -> f64 {
        self.hit_ratio(f64::INFINITY)
    }
}

/// The curve of a load that meets one cache. `sample_share` is the share of chunks that are
/// followed; 1 follows all.
pub fn hit_ratio_curve(
    accesses: impl Iterator<Item = CacheAccess>,
    sample_share: f64,
) -> HitRatioCurve {
    let share = sample_share.clamp(MIN_SAMPLE_SHARE, 1.0);
    let hash_bound = (share * u64::MAX as f64) as u64;
    let is_followed = |access: &CacheAccess| {
        sample_share >= 1.0 || xxh3_64(&access.chunk.0.to_le_bytes()) <= hash_bound
    };
    let mut total_requests = 0.0;
    let followed: Vec<CacheAccess> =
        accesses.inspect(|_| total_requests += 1.0).filter(is_followed).collect();
    let mut curve = HitRatioCurve {
        distances: reuse_distances(&followed, share),
        requests: followed.len() as f64,
        sampling_deficit: 0.0,
    };
    curve.sampling_deficit = total_requests * share - curve.requests;
    curve.distances.sort_by(f64::total_cmp);
    curve
}

/// The reuse distance of every access that finds a valid copy in an unbounded cache.
fn reuse_distances(accesses: &[CacheAccess], sample_share: f64) -> Vec<f64> {
    let mut bytes_by_last_access = FenwickTree::new(accesses.len());
    let mut last_access: HashMap<ChunkId, LastAccess> = HashMap::new();
    let mut distances = Vec::new();
    for (index, access) in accesses.iter().enumerate() {
        // A copy is as old as the last request that had to fetch one.
        let mut copy_created_us = access.at_us;
        if let Some(last) = last_access.get(&access.chunk).copied() {
            if last.copy_created_us >= access.not_before_us {
                let between = bytes_by_last_access.sum_before(index)
                    - bytes_by_last_access.sum_before(last.index);
                // The chunk itself takes up space as well.
                distances.push((between - last.bytes).max(0.0) / sample_share + access.bytes);
                copy_created_us = last.copy_created_us;
            }
            bytes_by_last_access.add(last.index, -last.bytes);
        }
        bytes_by_last_access.add(index, access.bytes);
        last_access
            .insert(access.chunk, LastAccess { index, copy_created_us, bytes: access.bytes });
    }
    distances
}
