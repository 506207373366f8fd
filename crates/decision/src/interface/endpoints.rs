//! The endpoint list.

use crate::time::Timestamp;

/// An opaque endpoint identity, the same at every router. Its value has no meaning; it may be
/// hashed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new requests.
    #[default]
    Ready,
    /// Finishes the requests that it has and takes no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Its identity.
    pub id: EndpointId,
    /// Its cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u16,
    /// Its kind; the settings say which kinds are parent caches and origins.
    pub kind: u16,
    /// Its weight, comparable across endpoints.
    pub weight: f64,
    /// Whether it takes work.
    pub state: EndpointState,
    /// When it last started; [`Timestamp::ZERO`]: long past.
    pub started: Timestamp,
    /// The endpoint whose address it took over: what was sent there since it started reached this
    /// one.
    pub in_place_of: Option<EndpointId>,
}

/// How complete a list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// All endpoints; one that is not in it was removed.
    Full,
    /// All endpoints as this router last had them, perhaps outdated.
    Cached,
}
