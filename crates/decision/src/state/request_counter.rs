//! Request counts per object in the present sampling interval, replication levels, and the objects
//! that were requested lately.

use crate::state::MAX_TRACKED_OBJECTS;
use crate::time::{secs, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum length of a sampling interval (see docs/design.md).
const SAMPLING_INTERVAL: Duration = Duration::from_secs(1);
/// An interval is extended until it has this many requests: at a few requests per second, an
/// object's share of the requests of one second is noise.
const MIN_SAMPLES: u32 = 40;
/// Maximum length of a sampling interval, and the time after which a level that is not confirmed
/// falls by one.
const LEVEL_EXPIRY: Duration = Duration::from_secs(10);
/// Smoothing factor of the request rate.
const RATE_SMOOTHING: f64 = 0.2;
/// Length of the spans in which requested objects are recorded. An object counts as requested
/// lately for one to two spans.
const SEEN_SPAN: Duration = Duration::from_secs(20);

/// Maximum replication level. Block `l` has 2^`l` caches, so that the last block has 2^20.
pub(crate) const MAX_LEVEL: u32 = 20;

/// Number of caches in the blocks 0 to `level`.
pub(crate) fn replica_count(level: u32) -> usize {
    (2usize << level.min(MAX_LEVEL)) - 1
}

/// The counts of a closed sampling interval.
#[derive(Debug)]
pub(crate) struct ClosedInterval {
    /// Number of requests by the hash key of the object and part.
    pub(crate) counts: BTreeMap<u64, u32>,
    /// Number of requests that an interval of this length usually has, and at least the number that
    /// it had. Shares are computed against it, so that a few remaining requests for one object in a
    /// quiet interval do not count as demand.
    pub(crate) usual_total: f64,
}

/// Replication level of an object, and the time at which it was last raised, confirmed or lowered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicationLevel {
    /// The object is served by the caches of the blocks 0 to this; 0 is the home cache alone.
    pub(crate) level: u32,
    pub(crate) since: Timestamp,
}

/// Requests of the present sampling interval, the replication levels, and the objects that were
/// requested lately.
#[derive(Debug, Default)]
pub(crate) struct RequestCounter {
    /// Beginning of the present interval; [`Timestamp::ZERO`] before the first request.
    pub(crate) interval_start: Timestamp,
    /// Requests of the present interval by hash key, for at most [`MAX_TRACKED_OBJECTS`] keys.
    pub(crate) counts: BTreeMap<u64, u32>,
    /// All requests of the present interval.
    pub(crate) total: u32,
    /// Requests per second, smoothed over intervals; 0 before the first interval is closed.
    pub(crate) rate: f64,
    /// Time of the latest request.
    pub(crate) last_request: Timestamp,
    /// Duration of a stall of this router before the present interval, zero if there was none. The
    /// first requests of the interval have accumulated during the stall.
    pub(crate) stall: Duration,
    /// Levels above 0 by hash key.
    pub(crate) levels: BTreeMap<u64, ReplicationLevel>,
    /// Hash keys requested since `seen_since`, and those requested in the span before.
    pub(crate) seen: [BTreeSet<u64>; 2],
    /// Beginning of the present span.
    pub(crate) seen_since: Timestamp,
}

impl RequestCounter {
    /// Counts a request. Returns the interval that it closed, or `None` if the interval goes on.
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

    /// Closes the interval and begins the next one with a request that came `gap` after the last
    /// one.
    fn close_interval(&mut self, now: Timestamp, gap: Duration) -> ClosedInterval {
        let rate_before = self.rate;
        let elapsed = now.duration_since(self.interval_start) + self.stall;
        let usual_total = self.update_rate(secs(elapsed));
        // Requests after a stall have accumulated during it, so that their interval counts as
        // longer by the duration of the stall.
        let is_stall = gap > SAMPLING_INTERVAL && secs(gap) * rate_before > f64::from(MIN_SAMPLES);
        self.stall = if is_stall { gap } else { Duration::ZERO };
        self.interval_start = now;
        self.total = 0;
        ClosedInterval { counts: std::mem::take(&mut self.counts), usual_total }
    }

    /// Counts the request for its object. A full table accepts no new objects.
    fn add(&mut self, key: u64) {
        self.total += 1;
        if self.counts.len() < MAX_TRACKED_OBJECTS || self.counts.contains_key(&key) {
            *self.counts.entry(key).or_default() += 1;
        }
    }

    /// Begins a new span when the present one is over or its table is full.
    fn rotate_seen(&mut self, now: Timestamp) {
        if now >= self.seen_since + SEEN_SPAN || self.seen[0].len() > MAX_TRACKED_OBJECTS {
            self.seen_since = now;
            self.seen[1] = std::mem::take(&mut self.seen[0]);
        }
    }

    /// Records that the object was requested.
    pub(crate) fn mark_seen(&mut self, key: u64) {
        self.seen[0].insert(key);
    }

    /// Whether the object was requested within the last one or two spans.
    pub(crate) fn seen_lately(&self, key: u64) -> bool {
        self.seen.iter().any(|objects| objects.contains(&key))
    }

    /// The object's replication level; 0 means that only its home cache serves it.
    pub(crate) fn level(&self, key: u64) -> u32 {
        self.levels.get(&key).map_or(0, |entry| entry.level)
    }

    /// Adds the interval's request rate to the smoothed rate. Returns `usual_total` of
    /// [`ClosedInterval`].
    fn update_rate(&mut self, elapsed_secs: f64) -> f64 {
        let rate = f64::from(self.total) / elapsed_secs;
        let before = if self.rate == 0.0 { rate } else { self.rate };
        self.rate = (1.0 - RATE_SMOOTHING) * before + RATE_SMOOTHING * rate;
        self.rate.max(rate) * elapsed_secs
    }

    /// Lowers by one each level that was not confirmed for [`LEVEL_EXPIRY`].
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
