//! Purges of cached copies, and the oldest valid creation time of copies that results from them.

use super::{Chunk, RequestClass};
use std::collections::HashMap;

/// Number of object groups: a group is one byte.
const GROUP_COUNT: usize = 256;

/// A purge of one object or of an object group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Purge {
    /// Time of the purge, in microseconds from the start of the trace.
    pub at_us: u64,
    /// The purged object; `None` if the whole group is purged.
    pub object: Option<u64>,
    /// The object group; it has no effect if `object` is given.
    pub group: u8,
}

/// The purges of a trace up to a time that advances with the replay.
#[derive(Debug)]
pub struct PurgeLog {
    next_purge: usize,
    purged_objects_us: HashMap<u64, u64>,
    purged_groups_us: [u64; GROUP_COUNT],
}

impl Default for PurgeLog {
    fn default() -> Self {
        PurgeLog {
            next_purge: 0,
            purged_objects_us: HashMap::new(),
            purged_groups_us: [0; GROUP_COUNT],
        }
    }
}

impl PurgeLog {
    /// Applies the purges up to `now_us`. All calls must pass the purges of the same trace, in
    /// order of time.
    pub fn advance(&mut self, purges: &[Purge], now_us: u64) {
        while let Some(purge) = purges.get(self.next_purge).filter(|purge| purge.at_us <= now_us) {
            match purge.object {
                Some(object) => {
                    self.purged_objects_us.insert(object, purge.at_us);
                }
                None => self.purged_groups_us[usize::from(purge.group)] = purge.at_us,
            }
            self.next_purge += 1;
        }
    }

    /// Returns the oldest valid creation time of a chunk's copy, in microseconds: copies created
    /// earlier were purged or are no longer fresh.
    pub fn valid_since_us(&self, now_us: u64, chunk: &Chunk, class: &RequestClass) -> u64 {
        let object_us = self.purged_objects_us.get(&chunk.object).copied().unwrap_or(0);
        let group_us = self.purged_groups_us[usize::from(chunk.group)];
        // Copies that are cached when the load begins count as created at time 0.
        let fresh_since_us = match class.fresh_for_us {
            0 => 0,
            fresh_for_us => (now_us + 1).saturating_sub(fresh_for_us),
        };
        object_us.max(group_us).max(fresh_since_us)
    }
}
