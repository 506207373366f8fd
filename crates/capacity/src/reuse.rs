//! Reuse distances: how many bytes of other parts were asked for between two requests for the same part. A cache that
//! drops what was used longest ago has the part still if it holds more than that. One pass over the load gives the
//! hit ratio for every size of cache.
//!
//! Exact distances take a tree of one leaf a request; sampled ones follow only parts whose hash falls below a bound
//! and scale distances up, which leaves the curve unbiased.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Sums over prefixes, changed one place at a time.
#[derive(Debug)]
struct Sums(Vec<f64>);

impl Sums {
    fn add(&mut self, mut at: usize, by: f64) {
        at += 1;
        while at < self.0.len() {
            self.0[at] += by;
            at += at & at.wrapping_neg();
        }
    }

    /// The sum of all places before that one.
    fn before(&self, mut at: usize) -> f64 {
        let mut sum = 0.0;
        while at > 0 {
            sum += self.0[at];
            at -= at & at.wrapping_neg();
        }
        sum
    }
}

/// A request as distances see it.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    /// When, in microseconds.
    pub at: u64,
    /// The part.
    pub key: u32,
    /// Its size.
    pub bytes: f64,
    /// A copy made before that will not do: it was purged, or is no longer good.
    pub since: u64,
}

/// The hit ratio by size of cache.
#[derive(Clone, Debug, Default)]
pub struct Curve {
    /// Distances of requests that a large enough cache serves, in order.
    reuses: Vec<f64>,
    /// Requests in all, of those followed.
    requests: f64,
    /// Requests that a sample should have followed, less those that it did: the most asked for are few, and whether
    /// they are among those followed is chance. They would be reuses at short distances.
    short: f64,
}

impl Curve {
    /// The part of requests that a cache of so many bytes serves.
    pub fn hits(&self, size: f64) -> f64 {
        let held = self.reuses.partition_point(|r| *r <= size) as f64;
        let all = self.requests + self.short;
        if all > 0.0 {
            ((held + self.short) / all).clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// The least size at which that part of requests is served; none if no size does.
    pub fn size_for(&self, hits: f64) -> Option<f64> {
        // A hair less, so that a ratio made from these counts finds its own count again.
        let n = (hits * (self.requests + self.short) - self.short - 1e-6).ceil().max(0.0) as usize;
        if n == 0 {
            return Some(0.0);
        }
        self.reuses.get(n - 1).copied()
    }

    /// What the largest cache could serve.
    pub fn most(&self) -> f64 {
        self.hits(f64::INFINITY)
    }
}

/// The curve of a load that meets one cache. `sample` is the part of all parts that are followed, 1 for all.
pub fn curve(uses: impl Iterator<Item = Use>, sample: f64) -> Curve {
    let bound = (sample.clamp(1e-6, 1.0) * u64::MAX as f64) as u64;
    let followed = |u: &Use| sample >= 1.0 || xxh3_64(&u.key.to_le_bytes()) <= bound;
    let mut total = 0.0;
    let uses: Vec<Use> = uses.inspect(|_| total += 1.0).filter(followed).collect();
    let mut sums = Sums(vec![0.0; uses.len() + 1]);
    let mut last: HashMap<u32, (usize, u64, f64)> = HashMap::new();
    let mut c = Curve::default();
    for (i, u) in uses.iter().enumerate() {
        c.requests += 1.0;
        // The copy is as old as the last request that had to make one.
        let mut made = u.at;
        if let Some((at, when, bytes)) = last.get(&u.key).copied() {
            if when >= u.since {
                let between = sums.before(i) - sums.before(at);
                // The part itself takes up room as well.
                let distance = (between - bytes).max(0.0) / sample.clamp(1e-6, 1.0) + u.bytes;
                c.reuses.push(distance);
                made = when;
            }
            sums.add(at, -bytes);
        }
        sums.add(i, u.bytes);
        last.insert(u.key, (i, made, u.bytes));
    }
    c.short = total * sample.clamp(1e-6, 1.0) - c.requests;
    c.reuses.sort_by(f64::total_cmp);
    c
}
