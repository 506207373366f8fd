//! Requests per object in the present sampling interval, replication levels, and objects seen
//! lately.

use crate::state::MAX_TRACKED_OBJECTS;
use crate::time::{secs, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests are counted per object in intervals of this length (DESIGN), or until so many were
/// counted: at a few a second a share of one second's requests is noise...
const SAMPLING_INTERVAL: Duration = Duration::from_secs(1);
const MIN_SAMPLES: u32 = 40;
/// ...but no longer than this, after which levels expire.
const LEVEL_EXPIRY: Duration = Duration::from_secs(10);
/// What was requested within one to two of these spans counts as seen lately.
const SEEN_SPAN: Duration = Duration::from_secs(20);

/// Levels count up to this: 2^20 caches.
pub(crate) const MAX_LEVEL: u32 = 20;

/// How many caches the blocks up to a level hold.
pub(crate) fn replica_count(level: u32) -> usize {
    (2usize << level.min(MAX_LEVEL)) - 1
}

/// What was counted in a sampling interval.
#[derive(Debug)]
pub(crate) struct ClosedInterval {
    /// Requests by the object's hash key.
    pub(crate) counts: BTreeMap<u64, u32>,
    /// How many requests it would usually have counted, and no less than it has: a share is one of
    /// these, as a few leftovers of one object are no demand.
    pub(crate) usual_total: f64,
}

/// How many blocks of caches serve an object beyond its home cache, and since when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicationLevel {
    pub(crate) level: u32,
    pub(crate) since: Timestamp,
}

/// Requests per object: those of this interval, the levels they led to, and what was requested
/// lately.
#[derive(Debug, Default)]
pub(crate) struct RequestCounter {
    pub(crate) interval_start: Timestamp,
    pub(crate) counts: BTreeMap<u64, u32>,
    pub(crate) total: u32,
    /// Requests a second, smoothed over intervals.
    pub(crate) rate: f64,
    pub(crate) last_request: Timestamp,
    /// A stall before this interval began; its requests have gathered for as long.
    pub(crate) stall: Duration,
    pub(crate) levels: BTreeMap<u64, ReplicationLevel>,
    /// Objects requested since `seen_since`, and those of the span before.
    pub(crate) seen: [BTreeSet<u64>; 2],
    pub(crate) seen_since: Timestamp,
}

impl RequestCounter {
    /// Counts a request; returns the sampling interval before it if that is over.
    pub(crate) fn record(&mut self, now: Timestamp, key: u64) -> Option<ClosedInterval> {
        if self.interval_start == Timestamp::ZERO {
            self.interval_start = now;
        }
        let gap = now.saturating_duration_since(self.last_request);
        self.last_request = now;
        let elapsed = now.duration_since(self.interval_start);
        let is_sampled = elapsed >= SAMPLING_INTERVAL && self.total >= MIN_SAMPLES;
        let is_over = is_sampled || elapsed >= LEVEL_EXPIRY;
        let closed = is_over.then(|| self.close_interval(now, gap));
        self.add(key);
        self.rotate_seen(now);
        closed
    }

    fn close_interval(&mut self, now: Timestamp, gap: Duration) -> ClosedInterval {
        let rate_before = self.rate;
        let elapsed = now.duration_since(self.interval_start) + self.stall;
        let usual_total = self.update_rate(secs(elapsed));
        // What comes after a stall has gathered for as long: its interval counts as so much longer.
        let is_stall = gap > SAMPLING_INTERVAL && secs(gap) * rate_before > f64::from(MIN_SAMPLES);
        self.stall = if is_stall { gap } else { Duration::ZERO };
        self.interval_start = now;
        self.total = 0;
        ClosedInterval { counts: std::mem::take(&mut self.counts), usual_total }
    }

    /// A full table takes no further objects.
    fn add(&mut self, key: u64) {
        self.total += 1;
        if self.counts.len() < MAX_TRACKED_OBJECTS || self.counts.contains_key(&key) {
            *self.counts.entry(key).or_default() += 1;
        }
    }

    /// Starts a new table of what was seen after a span, or when it is full.
    fn rotate_seen(&mut self, now: Timestamp) {
        if now >= self.seen_since + SEEN_SPAN || self.seen[0].len() > MAX_TRACKED_OBJECTS {
            self.seen_since = now;
            self.seen[1] = std::mem::take(&mut self.seen[0]);
        }
    }

    /// Notes that the object was requested.
    pub(crate) fn mark_seen(&mut self, key: u64) {
        self.seen[0].insert(key);
    }

    /// Whether the object was requested lately.
    pub(crate) fn seen_lately(&self, key: u64) -> bool {
        self.seen.iter().any(|objects| objects.contains(&key))
    }

    /// The object's replication level; 0: its home cache alone serves it.
    pub(crate) fn level(&self, key: u64) -> u32 {
        self.levels.get(&key).map_or(0, |entry| entry.level)
    }

    /// Adds the interval's rate to the smoothed one and returns what it would usually have counted.
    fn update_rate(&mut self, elapsed_secs: f64) -> f64 {
        let rate = f64::from(self.total) / elapsed_secs;
        let before = if self.rate == 0.0 { rate } else { self.rate };
        self.rate = 0.8 * before + 0.2 * rate;
        self.rate.max(rate) * elapsed_secs
    }

    /// Lowers the levels that were not confirmed for so long by one.
    pub(crate) fn expire_levels(&mut self, now: Timestamp) {
        self.levels.retain(|_, entry| {
            if now >= entry.since + LEVEL_EXPIRY {
                entry.level -= 1;
                entry.since = now;
            }
            entry.level > 0
        });
    }
}
