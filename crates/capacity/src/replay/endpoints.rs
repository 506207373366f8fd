//! What a replay knows of each endpoint and each router.

use crate::eviction::{LruCache, RetentionPriority};
use crate::network::{EdgeCacheNode, ParentCacheNode};
use crate::replication::ReplicationLevels;
use crate::trace::ChunkId;

/// Something that varies with time, by second.
#[derive(Debug)]
pub(super) struct SecondSeries {
    values: Vec<f64>,
}

impl SecondSeries {
    /// A series over the load's seconds and the one after them.
    fn new(seconds: usize) -> SecondSeries {
        SecondSeries { values: vec![0.0; seconds + 1] }
    }

    /// Counts one more in a second; what comes after the load is left out.
    pub(super) fn increment(&mut self, second: usize) {
        if let Some(value) = self.values.get_mut(second) {
            *value += 1.0;
        }
    }

    /// Raises a second's value to `level`; what comes after the load is left out.
    pub(super) fn raise_to(&mut self, second: usize, level: usize) {
        if let Some(value) = self.values.get_mut(second) {
            *value = value.max(level as f64);
        }
    }

    pub(super) fn values(&self) -> &[f64] {
        &self.values
    }
}

/// An edge cache.
#[derive(Debug)]
pub(super) struct EdgeCacheState {
    pub(super) cache: LruCache,
    /// Fills that it runs now.
    pub(super) active_fills: usize,
    /// The most fills that it ran, by second.
    pub(super) fill_peaks: SecondSeries,
    /// Attempts sent to it, by second.
    pub(super) attempts: SecondSeries,
    /// Attempts that are at it now.
    pub(super) active_attempts: usize,
    /// A moving average of its responses' latency, in multiples of their objective.
    pub(super) lateness: f64,
}

impl EdgeCacheState {
    pub(super) fn new(node: &EdgeCacheNode, seconds: usize) -> EdgeCacheState {
        EdgeCacheState {
            cache: LruCache::new(node.cache_bytes),
            active_fills: 0,
            fill_peaks: SecondSeries::new(seconds),
            attempts: SecondSeries::new(seconds),
            active_attempts: 0,
            lateness: 0.0,
        }
    }

    /// Puts in a copy that was there before the load; one that is requested again is retained
    /// longer.
    pub(super) fn preload(&mut self, chunk: ChunkId, bytes: f64) {
        let is_present = self.cache.lookup(chunk, 0, RetentionPriority::High).is_some();
        let priority = if is_present { RetentionPriority::High } else { RetentionPriority::Normal };
        self.cache.insert(chunk, bytes, priority, 0);
    }
}

/// A parent cache.
#[derive(Debug)]
pub(super) struct ParentCacheState {
    pub(super) cache: LruCache,
    /// Fetches from the origin that it runs now.
    pub(super) active_fetches: usize,
    /// The most fetches that it ran, by second.
    pub(super) fetch_peaks: SecondSeries,
}

impl ParentCacheState {
    pub(super) fn new(node: &ParentCacheNode, seconds: usize) -> ParentCacheState {
        ParentCacheState {
            cache: LruCache::new(node.cache_bytes),
            active_fetches: 0,
            fetch_peaks: SecondSeries::new(seconds),
        }
    }
}

/// Whether an endpoint can be used, and how far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Availability {
    pub(super) is_available: bool,
    /// When it returned from a loss, if it was lost.
    pub(super) returned_us: Option<u64>,
    /// Sending time in seconds that was recently offered to it while it warmed up; decays.
    pub(super) recent_work_s: f64,
    /// When `recent_work_s` was last brought up to date.
    pub(super) recent_work_us: u64,
}

impl Default for Availability {
    fn default() -> Self {
        Availability {
            is_available: true,
            returned_us: None,
            recent_work_s: 0.0,
            recent_work_us: 0,
        }
    }
}

/// A router.
#[derive(Debug, Default)]
pub(super) struct RouterState {
    pub(super) replication: ReplicationLevels,
    pub(super) open_requests: usize,
    /// Bytes of the responses to open requests.
    pub(super) held_bytes: f64,
}
