//! Entries of the endpoint list and events of the endpoint feed, independent of the feed's wire
//! format.

use hollymux_decision::{EndpointEntry, EndpointId, Timestamp};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// An entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// The part of the entry that the decision module uses.
    pub entry: EndpointEntry,
    /// The endpoint's name in the endpoint protocol.
    pub uid: String,
    /// The address on which the endpoint listens; `None` if the entry doesn't state it.
    pub addr: Option<SocketAddr>,
}

/// An event of the endpoint feed.
#[derive(Debug)]
pub enum FeedEvent {
    /// An update of the endpoint list.
    Endpoints {
        /// Whether `endpoints` is the complete list; endpoints missing from it are gone.
        is_full_list: bool,
        /// The listed endpoints; in an update that is not complete, only the changed ones.
        endpoints: Vec<ListedEndpoint>,
    },
    /// Copies of an object or of a group were purged.
    Purge {
        /// The purged object; `None` if all objects of the group are purged.
        object: Option<u64>,
        /// The group that is purged, or the group of the object.
        group: u32,
        /// The time of the purge; copies made before it are invalid.
        at: Timestamp,
    },
}

/// Derives an endpoint's id in the decision module from its name, so that all routers use the same
/// id.
pub fn endpoint_id(uid: &str) -> EndpointId {
    EndpointId(xxh3_64(uid.as_bytes()))
}
