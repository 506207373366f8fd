//! Where the routers send what: this project's placement, as docs/design.md has it. Each part has one hashed order
//! of an office's boxes, weighted by size; a part that takes more than its share of a router's requests is spread over
//! blocks of 1, 2, 4, ... of that order. Hubs follow the same order over all hubs.

use std::collections::HashMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Requests are counted in rounds of this many microseconds at least, and so many requests.
const ROUND: u64 = 1_000_000;
const SAMPLE: u32 = 40;
/// A level falls after this long below its threshold.
const DECAY: u64 = 10_000_000;
/// A level rises when the part's count clears this times the next block's share by two standard errors.
const WIDEN: f64 = 0.5;

/// A server's identity in the order.
pub fn identity(uid: &str) -> u64 {
    xxh3_64(uid.as_bytes())
}

/// What a part's order is drawn by.
pub fn seed(object: u64, part: u32) -> u64 {
    xxh3_64_with_seed(&object.to_le_bytes(), u64::from(part))
}

/// Servers, by place in the slice, in a part's order.
pub fn order(servers: &[(u64, f64)], seed: u64) -> Vec<u16> {
    let score = |(id, weight): &(u64, f64)| {
        let u = xxh3_64_with_seed(&id.to_le_bytes(), seed) >> 11;
        -((u + 1) as f64 / (1u64 << 53) as f64).ln() / weight.max(f64::MIN_POSITIVE)
    };
    let mut scored: Vec<(f64, u64, u16)> = (0..).zip(servers).map(|(i, s)| (score(s), s.0, i)).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|s| s.2).collect()
}

/// The levels of one router's parts.
#[derive(Debug, Default)]
pub struct Levels {
    began: u64,
    total: u32,
    rate: f64,
    counts: HashMap<u32, u32>,
    levels: HashMap<u32, (u32, u64)>,
}

impl Levels {
    /// Counts a request; returns how many servers of its order the part is spread over.
    pub fn count(&mut self, now: u64, key: u32, servers: usize) -> usize {
        let elapsed = now.saturating_sub(self.began);
        if elapsed >= DECAY || elapsed >= ROUND && self.total >= SAMPLE {
            self.close(now, elapsed as f64 / 1e6, servers.max(1) as f64);
        }
        *self.counts.entry(key).or_default() += 1;
        self.total += 1;
        let level = self.levels.get(&key).map_or(0, |l| l.0);
        ((2usize << level.min(20)) - 1).min(servers).max(1)
    }

    fn close(&mut self, now: u64, elapsed: f64, servers: f64) {
        let rate = f64::from(self.total) / elapsed.max(1e-6);
        self.rate = if self.rate == 0.0 { rate } else { 0.8 * self.rate + 0.2 * rate };
        let usual = self.rate.max(rate) * elapsed;
        let bar = |level: u32| WIDEN * f64::from(1u32 << level.min(20)) / servers * usual;
        for (key, n) in std::mem::take(&mut self.counts) {
            let n = f64::from(n);
            let level = self.levels.get(&key).map_or(0, |l| l.0);
            let covered = f64::from((2u32 << level.min(20)) - 1);
            if covered < servers && n - 2.0 * n.sqrt() > bar(level + 1) {
                self.levels.insert(key, (level + 1, now));
            } else if level > 0 && n > bar(level) {
                self.levels.insert(key, (level, now));
            }
        }
        self.levels.retain(|_, (level, since)| {
            if now >= *since + DECAY {
                (*level, *since) = (*level - 1, now);
            }
            *level > 0
        });
        (self.began, self.total) = (now, 0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_part_asked_for_by_everybody_is_spread_and_drawn_in_again() {
        let mut l = Levels::default();
        let mut spread = 1;
        for n in 0..2_000u64 {
            spread = l.count(n * 10_000, if n % 2 == 0 { 7 } else { n as u32 + 100 }, 8);
            if n % 2 == 0 {
                spread = spread.max(l.count(n * 10_000, 7, 8));
            }
        }
        assert!(spread > 1 || l.levels.get(&7).is_some_and(|x| x.0 > 0));
        for n in 2_000..9_000u64 {
            l.count(n * 10_000, n as u32 + 100, 8);
        }
        assert!(l.levels.is_empty(), "{:?}", l.levels);
    }
}
