//! The member list's lines and what a control feed tells, as the core knows them.

use hollymux_decide::{HostEntry, HostId, Timestamp};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A line of the member list.
#[derive(Debug, Clone)]
pub struct Member {
    /// What the module sees.
    pub entry: HostEntry,
    /// Its name on the sockets.
    pub uid: String,
    /// Where it listens; none if not told.
    pub addr: Option<SocketAddr>,
}

/// An event of the control feed.
#[derive(Debug)]
pub enum Told {
    /// Lines of the member list.
    Members {
        /// The whole list.
        all: bool,
        /// The lines.
        lines: Vec<Member>,
    },
    /// A purge.
    Purge {
        /// The object, or `None`: the group.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// When it happened.
        at: Timestamp,
    },
}

/// The identity of a shelf in the module: the same at every request router.
pub fn host_id(uid: &str) -> HostId {
    HostId(xxh3_64(uid.as_bytes()))
}
