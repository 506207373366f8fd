//! The keys of requested and cached data: chunks of objects, and purges of objects.

use crate::Time;

/// Identifies one chunk of an object; chunks are the unit of requests and caching.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChunkKey {
    /// The id of the object that contains the chunk.
    pub object: u64,
    /// The number of the chunk within the object, from 0.
    pub chunk: u32,
}

/// A purge of one object or of a whole group of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    /// The time of the purge. Copies that the origin sent earlier must not be served any more.
    pub at: Time,
    /// The id of the purged object; `None` purges the whole group.
    pub object: Option<u64>,
    /// The group of the object, or the purged group.
    pub group: u32,
}

impl Purge {
    /// Whether the purge covers a copy of this object and group which the origin sent at `dated`.
    pub fn covers(&self, object: u64, group: u32, dated: Time) -> bool {
        let named = self.object.map_or(self.group == group, |purged| purged == object);
        named && dated < self.at
    }
}

/// The version tag that servers send with a copy: the time at which the origin sent it, in
/// hexadecimal.
pub(crate) fn copy_digest(dated: Time) -> String {
    format!("{dated:x}")
}

/// The age of a copy by its version tag; 0 if there is no tag or it is not a valid one.
pub(crate) fn copy_age(now: Time, digest: Option<&[u8]>) -> Time {
    let text = digest.and_then(|digest| std::str::from_utf8(digest).ok());
    let dated = text.and_then(|text| Time::from_str_radix(text, 16).ok());
    dated.map_or(0, |dated| now.saturating_sub(dated))
}
