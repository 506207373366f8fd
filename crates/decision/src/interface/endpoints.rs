//! Entries of the endpoint list.

use crate::time::Timestamp;

/// Opaque identity of an endpoint, the same at every router. Its value has no meaning, except that
/// it may be hashed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// Lifecycle state of an endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    #[default]
    Ready,
    /// The endpoint finishes its open requests and accepts no new ones.
    Draining,
    /// The endpoint was removed from the list.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Number that identifies the endpoint in events and actions.
    pub id: EndpointId,
    /// Cell that the endpoint is in; see
    /// [`DeduplicationScope::Cell`](crate::DeduplicationScope::Cell).
    pub cell: u16,
    /// Number of the zone that the endpoint is in; compared with
    /// [`Settings::zone`](crate::Settings::zone).
    pub zone: u16,
    /// Kind of endpoint. The settings define which kinds are parent caches and origins.
    pub kind: u16,
    /// Size of the endpoint, comparable across endpoints; its meaning is set by
    /// [`ListedWeights`](crate::ListedWeights).
    pub weight: f64,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Time at which its process last started; [`Timestamp::ZERO`] if that was long ago.
    pub started: Timestamp,
    /// The endpoint whose address this one took over, if any. Requests that were sent to that
    /// address since `started` have reached this endpoint.
    pub in_place_of: Option<EndpointId>,
}

/// How complete a received list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Delta,
    /// All endpoints; those not in the list were removed.
    Full,
    /// All endpoints as this router last knew them; the list may be outdated.
    Cached,
}
