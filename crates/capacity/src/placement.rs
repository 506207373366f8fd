//! Placement of chunks on endpoints by weighted rendezvous hashing, with the same results as the
//! decision module (docs/design.md). Each chunk has one hash order of the edge caches of a site,
//! and one of all parent caches.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of hash bits that are converted to a uniform number: as many as fit the mantissa of an
/// `f64` without rounding.
const UNIFORM_BITS: u32 = 53;

/// An endpoint with its placement weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedEndpoint {
    /// Identity of the endpoint in hash orders, see [`endpoint_hash`].
    pub hash: u64,
    /// Share of the chunks relative to other endpoints: the capacity of the endpoint's link, in
    /// flows.
    pub weight: f64,
}

/// An endpoint with its score for one chunk.
struct ScoredEndpoint {
    score: f64,
    hash: u64,
    position: u16,
}

/// Returns the identity of an endpoint in hash orders, from its unique name in the endpoint list.
pub fn endpoint_hash(uid: &str) -> u64 {
    xxh3_64(uid.as_bytes())
}

/// Returns the seed of a chunk's hash order.
pub fn placement_seed(object: u64, chunk_index: u32) -> u64 {
    xxh3_64_with_seed(&object.to_le_bytes(), u64::from(chunk_index))
}

/// Returns a chunk's hash order as positions in `endpoints`, the preferred endpoint first.
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

/// Returns an exponential variate whose rate is the endpoint's weight. The lowest score is
/// preferred, so each endpoint is the first choice with a probability proportional to its weight.
fn rendezvous_score(endpoint: &WeightedEndpoint, seed: u64) -> f64 {
    let uniform_bits = xxh3_64_with_seed(&endpoint.hash.to_le_bytes(), seed) >> (64 - UNIFORM_BITS);
    let uniform = (uniform_bits + 1) as f64 / (1u64 << UNIFORM_BITS) as f64;
    -uniform.ln() / endpoint.weight.max(f64::MIN_POSITIVE)
}
