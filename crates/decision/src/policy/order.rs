//! The shared hashed order of endpoints: the same at every router.

use crate::interface::ListedWeights;
use crate::module::DecisionModule;
use crate::state::{Endpoint, Role};
use xxhash_rust::xxh3::xxh3_64_with_seed;

impl DecisionModule {
    /// The shared hashed order of the endpoints that take work: rendezvous hashing, weighted by listed size
    /// (departure: endpoints differ in size, and equal odds would drown the small ones).
    pub(crate) fn order(&self, key: u64, role: Role) -> Vec<&Endpoint> {
        let score = |h: &Endpoint| {
            let u = xxh3_64_with_seed(&h.entry.id.0.to_le_bytes(), key) >> 11;
            let sized = self.settings.weights == ListedWeights::Size && h.entry.weight > 0.0;
            let w = if sized { h.entry.weight } else { 1.0 };
            -((u + 1) as f64 / (1u64 << 53) as f64).ln() / w
        };
        let mut scored: Vec<_> = self.fleet.alike(role).map(|h| (score(h), h)).collect();
        scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.entry.id.cmp(&b.1.entry.id)));
        scored.into_iter().map(|(_, h)| h).collect()
    }
}
