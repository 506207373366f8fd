//! Purges that may still be under way.

use hollymux_decision::Timestamp;
use std::fmt;

/// What is purged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PurgeTarget {
    /// One object.
    Object {
        /// The object.
        object: u64,
        /// Its group.
        group: u32,
    },
    /// All objects of a group.
    Group {
        /// The group.
        group: u32,
    },
}

impl PurgeTarget {
    /// Whether purging this purges the other target too.
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

/// A purge that was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    /// When it was ordered.
    pub at: Timestamp,
    /// What is purged.
    pub target: PurgeTarget,
}
