//! A bounded cache with priorities: the lower priority is evicted first, and within a priority what
//! was used least recently.

use crate::trace::ChunkId;
use std::collections::{BTreeMap, HashMap};

/// How long a copy is to be retained relative to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetentionPriority {
    /// Evicted before all others.
    Lowest,
    /// A copy that was requested once, or that is one of several replicas.
    #[default]
    Normal,
    /// A copy that was requested again recently.
    High,
}

/// A copy's place in the order of eviction: by priority, then by last use.
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

/// A cache of chunks that is bounded in bytes.
#[derive(Debug)]
pub struct LruCache {
    capacity_bytes: f64,
    used_bytes: f64,
    use_counter: u64,
    copies: HashMap<ChunkId, CachedCopy>,
    eviction_order: BTreeMap<EvictionRank, ChunkId>,
}

impl LruCache {
    /// An empty cache of that many bytes.
    pub fn new(capacity_bytes: f64) -> LruCache {
        LruCache {
            capacity_bytes,
            used_bytes: 0.0,
            use_counter: 0,
            copies: HashMap::new(),
            eviction_order: BTreeMap::new(),
        }
    }

    /// When the copy of a chunk was created, if there is one not older than `not_before_us`. A hit
    /// counts as a use, and raises the copy's priority to `priority`.
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

    /// Stores a copy, unless that would evict copies of a higher priority.
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

    /// The chunk to evict for one of `priority`; none if all that is left is more important.
    fn next_victim(&self, priority: RetentionPriority) -> Option<ChunkId> {
        let (rank, chunk) = self.eviction_order.first_key_value()?;
        (rank.priority <= priority).then_some(*chunk)
    }
}
