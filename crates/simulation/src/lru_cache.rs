//! A bounded cache: copies by retention priority, and within a priority by when they were used
//! last.

use crate::objects::{ChunkKey, Purge};
use crate::Time;
use std::collections::{BTreeMap, HashMap};

/// Where a copy stands in the order of eviction: the first in this order goes first.
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

/// What is stored of a copy beside its key.
#[derive(Clone, Copy, Debug)]
pub struct CopyInfo {
    /// Its size.
    pub bytes: u64,
    /// How long it is kept: a lower priority is evicted first, and never evicts a higher one.
    pub retention: u8,
    /// When the origin gave it out.
    pub dated: Time,
    /// The object's group, by which it can be purged.
    pub group: u32,
}

/// A bounded cache.
#[derive(Debug)]
pub struct LruCache {
    capacity: u64,
    used: u64,
    /// Counts uses, in place of a clock.
    uses: u64,
    copies: HashMap<ChunkKey, CachedCopy>,
    by_order: BTreeMap<EvictionOrder, ChunkKey>,
}

impl LruCache {
    /// An empty cache of so many bytes.
    pub fn new(capacity: u64) -> LruCache {
        LruCache { capacity, used: 0, uses: 0, copies: HashMap::new(), by_order: BTreeMap::new() }
    }

    /// The date of a copy, if there is one that the origin gave out no earlier than `oldest`.
    ///
    /// A hit counts as a use and sets the retention priority, unless that is 0.
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

    /// Stores a copy, if there is space or evicting copies of its priority or a lower one makes
    /// enough.
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
