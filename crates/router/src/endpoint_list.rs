//! The member list's lines and what a control feed tells, as the core knows them.

use hollymux_decision::{EndpointEntry, EndpointId, Timestamp};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A line of the member list.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// What the module sees.
    pub entry: EndpointEntry,
    /// Its name on the sockets.
    pub uid: String,
    /// Where it listens; none if not told.
    pub addr: Option<SocketAddr>,
}

/// An event of the control feed.
#[derive(Debug)]
pub enum FeedEvent {
    /// Lines of the member list.
    Endpoints {
        /// Whether `endpoints` is the complete list: endpoints that it leaves out are gone.
        is_full_list: bool,
        /// Their entries.
        endpoints: Vec<ListedEndpoint>,
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
pub fn endpoint_id(uid: &str) -> EndpointId {
    EndpointId(xxh3_64(uid.as_bytes()))
}
