//! Protection of what is behind the parents by adaptive load shedding: how much this router still requests of
//! it. Overloaded, it responds late; what is late is dropped by those who waited and requested again, so that
//! all its work is in vain. Nobody sees the sum of all fills, but each router sees its own come late, and all
//! back off by that: first retries, then fills of requests drawn at random, which still get from their cache
//! and parent what these hold; never writes. The share that is allowed is in `state::origin_load`.

use crate::module::DecisionModule;
use crate::state::OpenRequest;
use crate::time::Timestamp;

/// Below this allowed share no retry has a parent fetch anything.
const MIN_SHARE_FOR_RETRIES: f64 = 0.8;

impl DecisionModule {
    /// Whether nothing is fetched for this request by what is behind the caches and parents.
    pub(crate) fn shed_for_origin(&self, now: Timestamp, open: &OpenRequest) -> bool {
        let allowed_share = self.origin_load.allowed_share(now);
        let drawn_share = (open.random_draw >> u32::BITS) as f64 / (1u64 << u32::BITS) as f64;
        let sheds_retry = open.is_retry() && allowed_share < MIN_SHARE_FOR_RETRIES;
        !open.is_write && (drawn_share >= allowed_share || sheds_retry)
    }
}
