//! Types for the choice of an endpoint: its inputs and its results.

use crate::interface::EndpointId;
use crate::state::endpoint::Endpoint;
use crate::state::open_request::OpenRequest;
use crate::time::Timestamp;

/// Retention priority: the copy is not kept. Copies with lower priorities are dropped first.
pub(crate) const PASS_THROUGH: u8 = 0;
/// Retention priority of copies outside of the home cache, and of objects that were not requested
/// lately.
pub(crate) const LOW_RETENTION: u8 = 1;
/// Retention priority of all other copies.
pub(crate) const MIDDLE_RETENTION: u8 = 2;

/// Route of the next attempt: its endpoint, its fill source, and the priority of the copy.
#[derive(Clone, Debug)]
pub(crate) struct RouteDecision {
    pub(crate) endpoint: EndpointId,
    /// Source that a miss is filled from. `None`: a miss is not filled.
    pub(crate) fill_source: Option<EndpointId>,
    /// Retention priority: [`PASS_THROUGH`], [`LOW_RETENTION`] or [`MIDDLE_RETENTION`].
    pub(crate) retention: u8,
    /// Whether the endpoint is ejected and this attempt decides on its readmission.
    pub(crate) is_recovery_probe: bool,
}

/// Result of the attempt to route a request past the edge caches.
#[derive(Debug)]
pub(crate) enum BypassDecision {
    /// The request goes to a parent cache or to the origin.
    Route(RouteDecision),
    /// There are parents or origins that the request may use, but all are at capacity.
    AllAtCapacity,
    /// There is no parent or origin that the request may use.
    NoneUsable,
}

/// The edge caches of the own zone that a request may use, and the values that they are checked
/// against.
#[derive(Debug)]
pub(crate) struct CandidateCaches<'a> {
    pub(crate) now: Timestamp,
    /// The request for which an edge cache is chosen.
    pub(crate) open: &'a OpenRequest,
    /// Mean work of the request's class in seconds.
    pub(crate) work: f64,
    pub(crate) is_idempotent: bool,
    /// In hash order, ejected ones included.
    pub(crate) all: Vec<&'a Endpoint>,
    /// In hash order, without ejected ones. The first one is the home cache.
    pub(crate) available: Vec<&'a Endpoint>,
    /// Endpoints at which an attempt of this request is in flight.
    pub(crate) busy: Vec<EndpointId>,
}
