//! Placement of chunks on endpoints, the same as the decision module's: weighted rendezvous hashing
//! (docs/design.md). Every chunk has one hashed order of a site's edge caches, and one of all
//! parent caches.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash bits that fit a double's mantissa, so that a hash becomes a uniform number without
/// rounding.
const UNIFORM_BITS: u32 = 53;

/// An endpoint as placement sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedEndpoint {
    /// The endpoint's identity, see [`endpoint_hash`].
    pub hash: u64,
    /// Its share of the chunks relative to others: its link's capacity in flows.
    pub weight: f64,
}

/// An endpoint with its score for one chunk.
struct ScoredEndpoint {
    score: f64,
    hash: u64,
    position: u16,
}

/// An endpoint's identity in hashed orders, from its unique name in the endpoint list.
pub fn endpoint_hash(uid: &str) -> u64 {
    xxh3_64(uid.as_bytes())
}

/// The seed of a chunk's hashed order.
pub fn placement_seed(object: u64, chunk_index: u32) -> u64 {
    xxh3_64_with_seed(&object.to_le_bytes(), u64::from(chunk_index))
}

/// A chunk's order of the endpoints, as positions in `endpoints`, the preferred one first.
pub fn hash_order(endpoints: &[WeightedEndpoint], seed: u64) -> Vec<u16> {
    let mut scored: Vec<ScoredEndpoint> = (0..)
        .zip(endpoints)
        .map(|(position, endpoint)| ScoredEndpoint {
            score: rendezvous_score(endpoint, seed),
            hash: endpoint.hash,
            position,
        })
        .collect();
    scored.sort_by(|a, b| a.score.total_cmp(&b.score).then(a.hash.cmp(&b.hash)));
    scored.into_iter().map(|endpoint| endpoint.position).collect()
}

/// An exponential variate with the endpoint's weight as its rate: the least one wins, and an
/// endpoint wins in proportion to its weight.
fn rendezvous_score(endpoint: &WeightedEndpoint, seed: u64) -> f64 {
    let uniform_bits = xxh3_64_with_seed(&endpoint.hash.to_le_bytes(), seed) >> (64 - UNIFORM_BITS);
    let uniform = (uniform_bits + 1) as f64 / (1u64 << UNIFORM_BITS) as f64;
    -uniform.ln() / endpoint.weight.max(f64::MIN_POSITIVE)
}
