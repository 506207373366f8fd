//! Which cached copies were invalidated, and when.

use super::{Chunk, RequestClass};
use std::collections::HashMap;

/// Groups that a purge can name: a group is one byte.
const GROUP_COUNT: usize = 256;

/// A purge of an object or of a group of objects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Purge {
    /// When, in microseconds from the start of the trace.
    pub at_us: u64,
    /// The object; none: the whole group.
    pub object: Option<u64>,
    /// The group.
    pub group: u8,
}

/// The purges up to a moment that moves forward through a trace.
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
    /// Applies the purges of one trace up to `now_us`; calls come in order of time.
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

    /// The oldest valid creation time of a copy: an older one was purged, or is no longer fresh.
    pub fn valid_since_us(&self, now_us: u64, chunk: &Chunk, class: &RequestClass) -> u64 {
        let object_us = self.purged_objects_us.get(&chunk.object).copied().unwrap_or(0);
        let group_us = self.purged_groups_us[usize::from(chunk.group)];
        // What was cached when the load began counts as created then.
        let fresh_since_us = match class.fresh_for_us {
            0 => 0,
            fresh_for_us => (now_us + 1).saturating_sub(fresh_for_us),
        };
        object_us.max(group_us).max(fresh_since_us)
    }
}
