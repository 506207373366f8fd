//! What the choice of an endpoint goes by and comes to: plain types.

use crate::interface::EndpointId;
use crate::state::endpoint::Endpoint;
use crate::state::open_request::OpenRequest;
use crate::time::Timestamp;

/// Retention priorities of copies, lowest dropped first: none is kept, ...
pub(crate) const PASS_THROUGH: u8 = 0;
/// ...extra copies and objects not seen lately, ...
pub(crate) const LOW_RETENTION: u8 = 1;
/// ...and all others.
pub(crate) const MIDDLE_RETENTION: u8 = 2;

/// Where the next attempt goes, and how it is filled and kept there.
#[derive(Clone, Debug)]
pub(crate) struct RouteDecision {
    pub(crate) endpoint: EndpointId,
    /// Where a miss is filled from; none: it is not filled.
    pub(crate) fill_source: Option<EndpointId>,
    /// One of the retention priorities above.
    pub(crate) retention: u8,
    /// The endpoint is ejected, and this attempt decides on its readmission.
    pub(crate) is_recovery_probe: bool,
}

/// What a request that goes past the caches comes to.
#[derive(Debug)]
pub(crate) enum BypassDecision {
    /// It goes there.
    Route(RouteDecision),
    /// There are parents or origins, but none has capacity.
    AllAtCapacity,
    /// There is none that it may go to.
    NoneUsable,
}

/// The caches of the own zone that a request may go to, in hash order, and what they are checked
/// against.
#[derive(Debug)]
pub(crate) struct CandidateCaches<'a> {
    pub(crate) now: Timestamp,
    pub(crate) open: &'a OpenRequest,
    /// Mean work of the request's class in seconds.
    pub(crate) work: f64,
    pub(crate) is_idempotent: bool,
    pub(crate) all: Vec<&'a Endpoint>,
    /// Those that are not ejected.
    pub(crate) available: Vec<&'a Endpoint>,
    /// Endpoints with an attempt of this request in flight.
    pub(crate) busy: Vec<EndpointId>,
}
