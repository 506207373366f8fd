//! State of each endpoint and of each router in a replay.

use crate::eviction::{LruCache, RetentionPriority};
use crate::network::{EdgeCacheNode, ParentCacheNode};
use crate::replication::ReplicationLevels;
use crate::trace::ChunkId;

/// A time series with one value per second.
#[derive(Debug)]
pub(super) struct SecondSeries {
    values: Vec<f64>,
}

impl SecondSeries {
    /// Creates a series of zeros over the seconds of the load and the one after them.
    fn new(seconds: usize) -> SecondSeries {
        SecondSeries { values: vec![0.0; seconds + 1] }
    }

    /// Adds 1 to the value of a second. Seconds after the end of the load are ignored.
    pub(super) fn increment(&mut self, second: usize) {
        if let Some(value) = self.values.get_mut(second) {
            *value += 1.0;
        }
    }

    /// Raises the value of a second to at least `level`. Seconds after the end of the load are
    /// ignored.
    pub(super) fn raise_to(&mut self, second: usize, level: usize) {
        if let Some(value) = self.values.get_mut(second) {
            *value = value.max(level as f64);
        }
    }

    pub(super) fn values(&self) -> &[f64] {
        &self.values
    }
}

/// An edge cache during a replay: its copies, its running fills, and its usage in each second.
#[derive(Debug)]
pub(super) struct EdgeCacheState {
    pub(super) cache: LruCache,
    /// Number of fills that are running.
    pub(super) active_fills: usize,
    /// Maximum number of concurrent fills in each second.
    pub(super) fill_peaks: SecondSeries,
    /// Number of attempts sent to the edge cache in each second.
    pub(super) attempts: SecondSeries,
    /// Number of attempts at the edge cache that have not ended.
    pub(super) active_attempts: usize,
    /// Moving average of the latency of its responses, in multiples of their objectives; 0 before
    /// the first response.
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

    /// Stores a copy that the cache holds before the load begins. A chunk that is preloaded
    /// repeatedly is retained at the higher priority.
    pub(super) fn preload(&mut self, chunk: ChunkId, bytes: f64) {
        let is_present = self.cache.lookup(chunk, 0, RetentionPriority::High).is_some();
        let priority = if is_present { RetentionPriority::High } else { RetentionPriority::Normal };
        self.cache.insert(chunk, bytes, priority, 0);
    }
}

/// A parent cache during a replay: its copies, its running fetches, and its usage in each second.
#[derive(Debug)]
pub(super) struct ParentCacheState {
    pub(super) cache: LruCache,
    /// Number of fetches from the origin that are running.
    pub(super) active_fetches: usize,
    /// Maximum number of concurrent fetches in each second.
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

/// Availability of an endpoint, and its warm-up budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct Availability {
    /// False during an outage of the endpoint.
    pub(super) is_available: bool,
    /// Time at which the endpoint returned from a loss, in microseconds; `None` if it was never
    /// lost.
    pub(super) returned_us: Option<u64>,
    /// Work sent to the endpoint while it was warming up, in seconds of service time; it decays
    /// exponentially.
    pub(super) recent_work_s: f64,
    /// Time at which `recent_work_s` was last updated, in microseconds.
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

/// State of a router: its replication levels and its open requests.
#[derive(Debug, Default)]
pub(super) struct RouterState {
    pub(super) replication: ReplicationLevels,
    /// Number of requests from clients that have not ended.
    pub(super) open_requests: usize,
    /// Total size of the responses to open requests, in bytes.
    pub(super) held_bytes: f64,
}
