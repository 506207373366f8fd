//! The order of endpoints for an object, by rendezvous hashing. All routers with the same endpoint
//! list compute the same order.

use crate::interface::ListedWeights;
use crate::module::DecisionModule;
use crate::state::{Endpoint, EndpointRole};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of bits of a hash that are read as a fraction: all that an `f64` represents exactly.
const FRACTION_BITS: u32 = 53;

impl DecisionModule {
    /// The ready endpoints of a role, ejected ones included, in the hash order of `key`. Ties are
    /// broken by endpoint identity.
    ///
    /// The order is weighted by the listed sizes. This departs from the paper (see `policy`):
    /// endpoints differ in size, and equal odds would overload the small ones.
    pub(crate) fn hash_order(&self, key: u64, role: EndpointRole) -> Vec<&Endpoint> {
        let mut scored: Vec<(f64, &Endpoint)> =
            self.endpoints.ready(role).map(|endpoint| (self.hash_score(key, endpoint), endpoint)).collect();
        scored.sort_by(|(score, endpoint), (other_score, other)| {
            score.total_cmp(other_score).then(endpoint.entry.id.cmp(&other.entry.id))
        });
        scored.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// An endpoint's score for a key, at least 0; lower scores come first. The score is
    /// exponentially distributed with the weight as its rate, so that an endpoint's odds of coming
    /// first are proportional to its weight. The weight is 1 where sizes are not listed.
    fn hash_score(&self, key: u64, endpoint: &Endpoint) -> f64 {
        let hash = xxh3_64_with_seed(&endpoint.entry.id.0.to_le_bytes(), key);
        let fraction = ((hash >> (u64::BITS - FRACTION_BITS)) + 1) as f64 / (1u64 << FRACTION_BITS) as f64;
        let is_sized = self.settings.weights == ListedWeights::Size && endpoint.entry.weight > 0.0;
        let weight = if is_sized { endpoint.entry.weight } else { 1.0 };
        -fraction.ln() / weight
    }
}
