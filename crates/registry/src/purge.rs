//! Purges: their targets, and the record of those that may not be complete yet.

use hollymux_decision::Timestamp;
use std::fmt;

/// The cached copies that a purge deletes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PurgeTarget {
    /// The copies of one object.
    Object {
        /// The object's number.
        object: u64,
        /// The number of the object's group.
        group: u32,
    },
    /// The copies of all objects of a group.
    Group {
        /// The group's number.
        group: u32,
    },
}

impl PurgeTarget {
    /// Whether a purge of this target deletes all copies that a purge of `other` would.
    pub(crate) fn covers(self, other: PurgeTarget) -> bool {
        match (self, other) {
            (
                PurgeTarget::Group { group },
                PurgeTarget::Group { group: other } | PurgeTarget::Object { group: other, .. },
            ) => group == other,
            (PurgeTarget::Object { object, .. }, PurgeTarget::Object { object: other, .. }) => {
                object == other
            }
            (PurgeTarget::Object { .. }, PurgeTarget::Group { .. }) => false,
        }
    }
}

impl fmt::Display for PurgeTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PurgeTarget::Object { object, .. } => write!(formatter, "object {object:016x}"),
            PurgeTarget::Group { group } => write!(formatter, "group {group}"),
        }
    }
}

/// A purge that was ordered and may not be complete yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    /// When the purge command was executed.
    pub at: Timestamp,
    /// The cached copies that the purge deletes.
    pub target: PurgeTarget,
}
