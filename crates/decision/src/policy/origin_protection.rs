//! Origin protection by adaptive load shedding: decides for which requests this router still has
//! parent caches fetch from the origin.
//!
//! An overloaded origin responds late. Late responses are dropped by parents and clients that have
//! stopped waiting and request again, so that all of its work is wasted. No router sees the sum of
//! all fills, but each sees its own fills come late, and all of them back off by that. Retries are
//! shed first, then requests drawn at random. A shed request is still served what its cache and its
//! parent hold. Writes are never shed. The share of requests that is allowed to cause fetches is
//! estimated in `state::origin_load`.

use crate::module::DecisionModule;
use crate::state::OpenRequest;
use crate::time::Timestamp;

/// Below this allowed share no retry causes a fetch from the origin.
const MIN_SHARE_FOR_RETRIES: f64 = 0.8;

impl DecisionModule {
    /// Whether the request is shed: it may not cause a fetch from the origin, directly or through a
    /// parent. A request is shed if its random draw, read as a fraction, is not below the allowed
    /// share; the draw is made once per request. A retry is also shed if the allowed share is below
    /// [`MIN_SHARE_FOR_RETRIES`]. Writes are not shed.
    pub(crate) fn shed_for_origin(&self, now: Timestamp, open: &OpenRequest) -> bool {
        let allowed_share = self.origin_load.allowed_share(now);
        let draw_fraction = (open.random_draw >> u32::BITS) as f64 / (1u64 << u32::BITS) as f64;
        let is_drawn = draw_fraction >= allowed_share;
        let is_shed_retry = open.is_retry() && allowed_share < MIN_SHARE_FOR_RETRIES;
        !open.is_write && (is_drawn || is_shed_retry)
    }
}
