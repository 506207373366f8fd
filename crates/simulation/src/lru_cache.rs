//! What a box or a hub keeps: copies in ranks, and within a rank by when they were used last.

use crate::Time;
use std::collections::{BTreeMap, HashMap};

/// An object's part.
pub type Key = (u64, u32);

#[derive(Clone, Copy, Debug)]
struct Copy {
    size: u64,
    place: (u8, u64),
    dated: Time,
    group: u32,
}

/// A bounded store of copies.
#[derive(Debug)]
pub struct Cache {
    most: u64,
    used: u64,
    turn: u64,
    copies: HashMap<Key, Copy>,
    order: BTreeMap<(u8, u64), Key>,
}

impl Cache {
    /// An empty one that keeps so many bytes.
    pub fn new(most: u64) -> Cache {
        Cache { most, used: 0, turn: 0, copies: HashMap::new(), order: BTreeMap::new() }
    }

    /// The date of a copy, if there is one that the library gave out no earlier than that. A hit sets the rank.
    pub fn find(&mut self, key: Key, since: Time, rank: u8) -> Option<Time> {
        let turn = self.turn;
        let copy = self.copies.get_mut(&key).filter(|c| c.dated >= since)?;
        self.order.remove(&copy.place);
        copy.place = (if rank > 0 { rank } else { copy.place.0 }, turn);
        self.order.insert(copy.place, key);
        self.turn += 1;
        Some(copy.dated)
    }

    /// Keeps a copy, if there is room or what is of its rank or below can make room.
    pub fn keep(&mut self, key: Key, size: u64, rank: u8, dated: Time, group: u32) {
        self.drop(key);
        while self.used + size > self.most {
            match self.order.first_key_value() {
                Some((place, old)) if place.0 <= rank => {
                    let old = *old;
                    self.drop(old);
                }
                _ => return,
            }
        }
        let place = (rank, self.turn);
        self.turn += 1;
        self.used += size;
        self.copies.insert(key, Copy { size, place, dated, group });
        self.order.insert(place, key);
    }

    fn drop(&mut self, key: Key) {
        if let Some(copy) = self.copies.remove(&key) {
            self.used -= copy.size;
            self.order.remove(&copy.place);
        }
    }

    /// Drops copies of an object, or of a whole group, that are older than that.
    pub fn purge(&mut self, object: Option<u64>, group: u32, before: Time) {
        let hit = |k: &Key, c: &Copy| c.dated < before && object.map_or(c.group == group, |o| k.0 == o);
        let gone: Vec<Key> = self.copies.iter().filter(|(k, c)| hit(k, c)).map(|(k, _)| *k).collect();
        gone.into_iter().for_each(|k| self.drop(k));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn low_ranks_leave_first_and_never_for_a_lower_one() {
        let mut c = Cache::new(30);
        c.keep((1, 0), 10, 2, 5, 0);
        c.keep((2, 0), 10, 1, 5, 0);
        c.keep((3, 0), 10, 1, 5, 1);
        assert_eq!(c.find((2, 0), 0, 0), Some(5));
        // The least lately used of the lowest rank goes.
        c.keep((4, 0), 10, 1, 6, 1);
        assert_eq!((c.find((3, 0), 0, 0), c.find((2, 0), 0, 2)), (None, Some(5)));
        assert_eq!(c.find((1, 0), 6, 0), None, "too old");
        c.keep((5, 0), 30, 1, 6, 1);
        assert!(c.find((5, 0), 0, 0).is_none() && c.find((1, 0), 0, 0).is_some(), "it would need rank 2");
        c.purge(Some(1), 0, 6);
        assert!(c.find((1, 0), 0, 0).is_none());
    }
}
