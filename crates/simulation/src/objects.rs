//! What is requested and cached: chunks of objects, and purges of them.

use crate::Time;

/// One chunk of an object, the unit that is requested and cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChunkKey {
    /// The object's id.
    pub object: u64,
    /// The chunk's number within the object, from 0.
    pub chunk: u32,
}

/// A purge of one object, or of a whole group of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    /// When it was ordered: copies that the origin gave out earlier must not be served any more.
    pub at: Time,
    /// The object; none: the whole group.
    pub object: Option<u64>,
    /// The group.
    pub group: u32,
}

impl Purge {
    /// Whether it covers a copy of that object and group which the origin gave out at `dated`.
    pub fn covers(&self, object: u64, group: u32, dated: Time) -> bool {
        let named = self.object.map_or(self.group == group, |purged| purged == object);
        named && dated < self.at
    }
}

/// The digest that servers give with a copy: its date.
pub(crate) fn copy_digest(dated: Time) -> String {
    format!("{dated:x}")
}

/// How old a copy is, by its digest; 0 if there is none or it can't be read.
pub(crate) fn copy_age(now: Time, digest: Option<&[u8]>) -> Time {
    let text = digest.and_then(|digest| std::str::from_utf8(digest).ok());
    let dated = text.and_then(|text| Time::from_str_radix(text, 16).ok());
    dated.map_or(0, |dated| now.saturating_sub(dated))
}
