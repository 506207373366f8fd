//! Reuse distances: the bytes of other chunks that are requested between two requests for the same
//! chunk. An LRU cache still holds the chunk if the cache is larger than that, so one pass over the
//! load gives the hit ratio for every cache size (Mattson's stack distances).
//!
//! Exact distances need a tree with one leaf per request. Sampled distances follow only the chunks
//! whose hash is below a bound, and are scaled up accordingly, which leaves the curve unbiased
//! (SHARDS).

use crate::trace::ChunkId;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Lower bound of the share of chunks that a sample follows.
const MIN_SAMPLE_SHARE: f64 = 1e-6;
/// Subtracted from a hit count that was computed from a hit ratio before it is rounded up, so that
/// rounding errors do not raise it to the next count.
const COUNT_TOLERANCE: f64 = 1e-6;

/// A Fenwick tree: prefix sums of an array whose elements change one at a time.
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

    /// Returns the sum of all elements before `index`.
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

/// A request for a chunk that reaches a cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheAccess {
    /// Time of the request, in microseconds.
    pub at_us: u64,
    /// Chunk that the request is for, as a number of [`crate::trace::Trace::chunks`].
    pub chunk: ChunkId,
    /// Size of the chunk, in bytes.
    pub bytes: f64,
    /// Oldest valid creation time of a copy, in microseconds. A copy created earlier was purged or
    /// is no longer fresh.
    pub not_before_us: u64,
}

/// The most recent access to a chunk.
#[derive(Clone, Copy, Debug)]
struct LastAccess {
    index: usize,
    copy_created_us: u64,
    bytes: f64,
}

/// The hit ratio of an LRU cache as a function of its size.
#[derive(Clone, Debug, Default)]
pub struct HitRatioCurve {
    /// Reuse distances of the followed requests that an unbounded cache serves, in bytes and in
    /// ascending order.
    distances: Vec<f64>,
    /// Number of requests for followed chunks.
    requests: f64,
    /// Expected number of followed requests less the actual number; 0 without sampling. It counts
    /// as hits at any cache size: the deviation is mostly due to the few most requested chunks,
    /// which are in the sample or not by chance and have short distances.
    sampling_deficit: f64,
}

impl HitRatioCurve {
    /// Returns the share of requests that a cache of `cache_bytes` serves.
    pub fn hit_ratio(&self, cache_bytes: f64) -> f64 {
        let hits = self.distances.partition_point(|distance| *distance <= cache_bytes) as f64;
        let requests = self.requests + self.sampling_deficit;
        if requests > 0.0 {
            ((hits + self.sampling_deficit) / requests).clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// Returns the smallest cache size in bytes with at least this hit ratio, or `None` if no size
    /// reaches it.
    pub fn min_size_for(&self, hit_ratio: f64) -> Option<f64> {
        let hits = hit_ratio * (self.requests + self.sampling_deficit);
        let followed_hits =
            (hits - self.sampling_deficit - COUNT_TOLERANCE).ceil().max(0.0) as usize;
        if followed_hits == 0 {
            return Some(0.0);
        }
        self.distances.get(followed_hits - 1).copied()
    }

    /// Returns the hit ratio of an unbounded cache.
    pub fn max_hit_ratio(&self) -> f64 {
        self.hit_ratio(f64::INFINITY)
    }
}

/// Computes the hit ratio curve of the requests that reach one cache, in order of time.
/// `sample_share` is the share of chunks that are followed; 1 follows all.
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

/// Returns the reuse distance of every access that finds a valid copy in an unbounded cache,
/// including the size of the requested chunk itself.
fn reuse_distances(accesses: &[CacheAccess], sample_share: f64) -> Vec<f64> {
    let mut bytes_by_last_access = FenwickTree::new(accesses.len());
    let mut last_access: HashMap<ChunkId, LastAccess> = HashMap::new();
    let mut distances = Vec::new();
    for (index, access) in accesses.iter().enumerate() {
        // A copy dates from the last access that did not find a valid one.
        let mut copy_created_us = access.at_us;
        if let Some(last) = last_access.get(&access.chunk).copied() {
            if last.copy_created_us >= access.not_before_us {
                let between = bytes_by_last_access.sum_before(index)
                    - bytes_by_last_access.sum_before(last.index);
                // The requested chunk itself takes up space in the cache as well.
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
