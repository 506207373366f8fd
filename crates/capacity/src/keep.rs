//! What a box or hub keeps: two ranks, of which the lower leaves first, and within a rank what was used longest ago.

use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug)]
struct Held {
    at: (u8, u64),
    bytes: f64,
    made: u64,
}

/// A bounded store of parts.
#[derive(Debug)]
pub struct Keep {
    room: f64,
    used: f64,
    turn: u64,
    held: HashMap<u32, Held>,
    by_age: BTreeMap<(u8, u64), u32>,
}

impl Keep {
    /// An empty one.
    pub fn new(room: f64) -> Keep {
        Keep { room, used: 0.0, turn: 0, held: HashMap::new(), by_age: BTreeMap::new() }
    }

    /// When the copy of a part was made, if there is one made since then; it counts as used.
    pub fn look(&mut self, key: u32, since: u64, rank: u8) -> Option<u64> {
        let h = self.held.get_mut(&key).filter(|h| h.made >= since)?;
        self.by_age.remove(&h.at);
        h.at = (rank.max(h.at.0), self.turn);
        self.by_age.insert(h.at, key);
        self.turn += 1;
        Some(h.made)
    }

    /// Puts a copy in, if what is of its rank or below can make room.
    pub fn put(&mut self, key: u32, bytes: f64, rank: u8, made: u64) {
        self.take(key);
        while self.used + bytes > self.room {
            match self.by_age.first_key_value().filter(|(at, _)| at.0 <= rank).map(|(_, k)| *k) {
                Some(old) => self.take(old),
                None => return,
            }
        }
        let at = (rank, self.turn);
        self.turn += 1;
        self.used += bytes;
        self.held.insert(key, Held { at, bytes, made });
        self.by_age.insert(at, key);
    }

    /// Takes a copy out.
    pub fn take(&mut self, key: u32) {
        if let Some(h) = self.held.remove(&key) {
            self.by_age.remove(&h.at);
            self.used -= h.bytes;
        }
    }

    /// Empties it.
    pub fn clear(&mut self) {
        *self = Keep::new(self.room);
    }
}
