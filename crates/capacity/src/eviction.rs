//! A bounded LRU cache with retention priorities: copies of a lower priority are evicted first, and
//! within one priority the least recently used copy.

use crate::trace::ChunkId;
use std::collections::{BTreeMap, HashMap};

/// Retention priority of a cached copy; lower priorities are evicted first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetentionPriority {
    /// Evicted before copies of any other priority.
    Lowest,
    /// For a copy that was requested once, or that is not at the chunk's preferred edge cache.
    #[default]
    Normal,
    /// For a copy that was requested again recently.
    High,
}

/// Position of a copy in the eviction order: by priority, then by last use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    priority: RetentionPriority,
    last_use: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedCopy {
    rank: EvictionRank,
    bytes: f64,
    created_us: u64,
}

/// A cache of chunks whose total size is bounded.
#[derive(Debug)]
pub struct LruCache {
    capacity_bytes: f64,
    used_bytes: f64,
    use_counter: u64,
    copies: HashMap<ChunkId, CachedCopy>,
    eviction_order: BTreeMap<EvictionRank, ChunkId>,
}

impl LruCache {
    /// Creates an empty cache that holds up to `capacity_bytes`.
    pub fn new(capacity_bytes: f64) -> LruCache {
        LruCache {
            capacity_bytes,
            used_bytes: 0.0,
            use_counter: 0,
            copies: HashMap::new(),
            eviction_order: BTreeMap::new(),
        }
    }

    /// Returns the creation time of a chunk's copy, or `None` if there is no copy or it was created
    /// before `not_before_us`. A hit counts as a use, and raises the copy's priority to at least
    /// `priority`.
    pub fn lookup(
        &mut self,
        chunk: ChunkId,
        not_before_us: u64,
        priority: RetentionPriority,
    ) -> Option<u64> {
        let copy = self.copies.get_mut(&chunk).filter(|copy| copy.created_us >= not_before_us)?;
        self.eviction_order.remove(&copy.rank);
        copy.rank =
            EvictionRank { priority: priority.max(copy.rank.priority), last_use: self.use_counter };
        self.eviction_order.insert(copy.rank, chunk);
        self.use_counter += 1;
        Some(copy.created_us)
    }

    /// Stores a copy in place of any older copy of the chunk, and evicts others to make room for
    /// it. If only copies of a higher priority are left to evict, the new copy is not stored.
    pub fn insert(
        &mut self,
        chunk: ChunkId,
        bytes: f64,
        priority: RetentionPriority,
        created_us: u64,
    ) {
        self.remove(chunk);
        while self.used_bytes + bytes > self.capacity_bytes {
            match self.next_victim(priority) {
                Some(victim) => self.remove(victim),
                None => return,
            }
        }
        let rank = EvictionRank { priority, last_use: self.use_counter };
        self.use_counter += 1;
        self.used_bytes += bytes;
        self.copies.insert(chunk, CachedCopy { rank, bytes, created_us });
        self.eviction_order.insert(rank, chunk);
    }

    /// Removes a chunk's copy, if there is one.
    pub fn remove(&mut self, chunk: ChunkId) {
        if let Some(copy) = self.copies.remove(&chunk) {
            self.eviction_order.remove(&copy.rank);
            self.used_bytes -= copy.bytes;
        }
    }

    /// Removes all copies.
    pub fn clear(&mut self) {
        *self = LruCache::new(self.capacity_bytes);
    }

    /// Returns the chunk to evict for a new copy of `priority`, or `None` if the cache is empty or
    /// holds only copies of a higher priority.
    fn next_victim(&self, priority: RetentionPriority) -> Option<ChunkId> {
        let (rank, chunk) = self.eviction_order.first_key_value()?;
        (rank.priority <= priority).then_some(*chunk)
    }
}
