//! A size-bounded cache that evicts copies by retention priority, and within one priority the least
//! recently used first.

use crate::objects::{ChunkKey, Purge};
use crate::Time;
use std::collections::{BTreeMap, HashMap};

/// The position of a copy in the order of eviction; the smallest is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionOrder {
    retention: u8,
    last_use: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedCopy {
    bytes: u64,
    order: EvictionOrder,
    dated: Time,
    group: u32,
}

/// The properties of a copy that the cache stores with its key.
#[derive(Clone, Copy, Debug)]
pub struct CopyInfo {
    /// The size in bytes, which counts against the cache's capacity.
    pub bytes: u64,
    /// The retention priority: a lower one is evicted first, and a copy is never evicted for one of
    /// a lower priority.
    pub retention: u8,
    /// The time at which the origin sent the copy.
    pub dated: Time,
    /// The group of the object, for purges of whole groups.
    pub group: u32,
}

/// A cache with a capacity in bytes.
#[derive(Debug)]
pub struct LruCache {
    capacity: u64,
    used: u64,
    /// The number of uses so far, which orders copies by their last use.
    uses: u64,
    copies: HashMap<ChunkKey, CachedCopy>,
    by_order: BTreeMap<EvictionOrder, ChunkKey>,
}

impl LruCache {
    /// Creates an empty cache with a capacity in bytes.
    pub fn new(capacity: u64) -> LruCache {
        LruCache { capacity, used: 0, uses: 0, copies: HashMap::new(), by_order: BTreeMap::new() }
    }

    /// Returns the date of a copy; `None` if there is no copy or the origin sent it before
    /// `oldest`.
    ///
    /// A hit counts as a use. It also sets the copy's retention priority, unless `retention` is 0.
    pub fn find(&mut self, key: ChunkKey, oldest: Time, retention: u8) -> Option<Time> {
        let last_use = self.uses;
        let copy = self.copies.get_mut(&key).filter(|copy| copy.dated >= oldest)?;
        self.by_order.remove(&copy.order);
        let retention = if retention > 0 { retention } else { copy.order.retention };
        copy.order = EvictionOrder { retention, last_use };
        self.by_order.insert(copy.order, key);
        self.uses += 1;
        Some(copy.dated)
    }

    /// Stores a copy and evicts copies of the same or a lower priority until it fits. If that does
    /// not free enough space, the copy is not stored, but the evicted copies stay evicted.
    pub fn insert(&mut self, key: ChunkKey, copy: CopyInfo) {
        self.remove(key);
        while self.used + copy.bytes > self.capacity {
            match self.by_order.first_key_value() {
                Some((order, oldest)) if order.retention <= copy.retention => {
                    let oldest = *oldest;
                    self.remove(oldest);
                }
                _ => return,
            }
        }
        let order = EvictionOrder { retention: copy.retention, last_use: self.uses };
        self.uses += 1;
        self.used += copy.bytes;
        let CopyInfo { bytes, dated, group, .. } = copy;
        self.copies.insert(key, CachedCopy { bytes, order, dated, group });
        self.by_order.insert(order, key);
    }

    /// Drops all copies that a purge covers.
    pub fn purge(&mut self, purge: &Purge) {
        let covered =
            |(key, copy): &(&ChunkKey, &CachedCopy)| purge.covers(key.object, copy.group, copy.dated);
        let purged: Vec<ChunkKey> = self.copies.iter().filter(covered).map(|(key, _)| *key).collect();
        purged.into_iter().for_each(|key| self.remove(key));
    }

    fn remove(&mut self, key: ChunkKey) {
        if let Some(copy) = self.copies.remove(&key) {
            self.used -= copy.bytes;
            self.by_order.remove(&copy.order);
        }
    }
}
