//! Widening: when an object's level rises and falls, and with it the blocks of caches that serve it.

use crate::interface::*;
use crate::module::{DecisionModule, TABLE};
use crate::state::Role;

/// Requests are counted per object in rounds of this length (DESIGN), or until so many were counted: at a
/// few a second a share of one second's requests is noise.
const ROUND: Duration = Duration::from_secs(1);
const SAMPLE: u32 = 40;
/// A level drops by one after this long below its threshold (the paper's expiry, DESIGN).
const DECAY: Duration = Duration::from_secs(10);
/// A level rises when the object's share exceeds this times next block / caches (DESIGN's π4).
const WIDEN: f64 = 0.5;
/// Guard against small samples: a count must clear the threshold by this many standard errors.
const SIGMAS: f64 = 2.0;
/// What was asked for within one to two of these spans is kept at the middle rank, else the lowest.
const SEEN: Duration = Duration::from_secs(20);

impl DecisionModule {
    /// Counts a request, closing the round first where it is over.
    pub(crate) fn count(&mut self, now: Timestamp, key: u64) {
        let (round, rate) = (self.counts.start(now), self.counts.rate);
        let gap = now.saturating_duration_since(std::mem::replace(&mut self.counts.last, now));
        let elapsed = now.duration_since(round);
        if elapsed >= DECAY || elapsed >= ROUND && self.counts.total >= SAMPLE {
            self.close_round(now, secs(elapsed + self.counts.stall));
            // What comes after a stall has gathered for as long as that: its round counts as so much longer.
            let stalled = gap > ROUND && secs(gap) * rate > f64::from(SAMPLE);
            self.counts.stall = if stalled { gap } else { Duration::ZERO };
        }
        self.counts.add(key, TABLE);
        self.counts.turn(now, SEEN, TABLE);
    }

    fn close_round(&mut self, now: Timestamp, elapsed: f64) {
        let caches = self.fleet.alike(Role::Own).count().max(1) as f64;
        let rate = f64::from(self.counts.total) / elapsed;
        let before = if self.counts.rate == 0.0 { rate } else { self.counts.rate };
        self.counts.rate = 0.8 * before + 0.2 * rate;
        // A share is one of no less than the usual rate: a few leftovers of one object are no crowd.
        let usual = self.counts.rate.max(rate) * elapsed;
        let bar = |l: u32| WIDEN * f64::from(1u32 << l.min(20)) / caches * usual;
        for (key, n) in std::mem::take(&mut self.counts.counts) {
            let n = f64::from(n);
            let level = self.counts.levels.get(&key).map_or(0, |l| l.0);
            let covered = f64::from((2u32 << level.min(20)) - 1);
            if covered < caches && n - SIGMAS * n.sqrt() > bar(level + 1) {
                self.counts.levels.insert(key, (level + 1, now));
            } else if level > 0 && n > bar(level) {
                self.counts.levels.insert(key, (level, now));
            }
        }
        self.counts.levels.retain(|_, (level, since)| {
            if now >= *since + DECAY {
                (*level, *since) = (*level - 1, now);
            }
            *level > 0
        });
        self.purges.forget(now.saturating_sub(self.settings.purge_life()));
        (self.counts.round, self.counts.total) = (now, 0);
    }
}
