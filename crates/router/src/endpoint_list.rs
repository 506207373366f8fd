//! Entries of the endpoint list and events of the endpoint feed, as the router knows them.

use hollymux_decision::{EndpointEntry, EndpointId, Timestamp};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// An entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// What the decision module needs of it.
    pub entry: EndpointEntry,
    /// The endpoint's name in the endpoint protocol.
    pub uid: String,
    /// Where it listens; `None` if the entry doesn't say.
    pub addr: Option<SocketAddr>,
}

/// An event of the endpoint feed.
#[derive(Debug)]
pub enum FeedEvent {
    /// Entries of the endpoint list.
    Endpoints {
        /// Whether `endpoints` is the complete list: endpoints that it leaves out are gone.
        is_full_list: bool,
        /// The entries.
        endpoints: Vec<ListedEndpoint>,
    },
    /// Copies are invalid.
    Purge {
        /// The object; `None`: all objects of the group.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Copies from before this are invalid.
        at: Timestamp,
    },
}

/// The identity of an endpoint in the decision module: the same at every router.
pub fn endpoint_id(uid: &str) -> EndpointId {
    EndpointId(xxh3_64(uid.as_bytes()))
}
