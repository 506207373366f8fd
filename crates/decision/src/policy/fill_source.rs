//! Where a miss is filled from.

use crate::interface::{EndpointId, SiblingCaches};
use crate::module::DecisionModule;
use crate::state::{CandidateCaches, Endpoint, EndpointRole, OpenRequest};

/// A fill goes to parents with this much spare capacity for it: it has a way to go yet, and all routers learn
/// late what all of them sent.
pub(crate) const MIN_FILL_CAPACITY: f64 = 0.7;
/// A refused fill is requested of a sibling elsewhere in this many attempts at most.
const MAX_ATTEMPTS_BEFORE_SIBLING: usize = 1;

impl DecisionModule {
    /// Where a miss at a cache is filled from: the home cache for a replicated object's extra copies, else
    /// the home parent, else what stands in for it. None: it is served from copies alone.
    pub(crate) fn choose_fill_source(
        &self,
        candidates: &CandidateCaches,
        cache: &Endpoint,
        home: Option<&Endpoint>,
    ) -> Option<EndpointId> {
        let (now, open) = (candidates.now, candidates.open);
        let origin = self.hash_order(open.hash_key, EndpointRole::Origin);
        if open.is_write && !origin.is_empty() {
            return origin.first().map(|origin| origin.entry.id);
        }
        let is_usable = |source: &&Endpoint| self.is_usable_source(candidates, cache, source);
        let is_replicated = self.settings.sibling_caches != SiblingCaches::None
            && self.request_counter.levels.contains_key(&open.hash_key);
        let home = home.filter(|home| is_replicated && is_usable(home));
        let parents = self.hash_order(open.hash_key, EndpointRole::Parent);
        let may_lead =
            |parent: &&Endpoint| parent.is_available() || (parent.readmission_due(now) && !open.is_retry());
        let parent = parents.iter().copied().filter(may_lead).find(is_usable);
        let is_full = |parent: &Endpoint| {
            parent.is_available() && self.spare_capacity(now, &open.request, parent) < MIN_FILL_CAPACITY
        };
        // Fills from parents without spare capacity would only come late, and delay those in time. What is
        // held is served without.
        if home.is_none() && parent.is_some_and(is_full) {
            return None;
        }
        let remote = || self.remote_siblings(open).into_iter().find(|c| c.is_available() && is_usable(c));
        // A parent refused the fill: what another zone has comes from there.
        if home.is_none() && open.fill_refused && open.attempts.len() <= MAX_ATTEMPTS_BEFORE_SIBLING {
            if let Some(sibling) = remote() {
                return Some(sibling.entry.id);
            }
        }
        let preferred = home.or(parent).or_else(remote);
        // In any case each is checked, which records the demand that its warm-up budget does not admit.
        let shed = self.shed_for_origin(now, open);
        let last_resort = origin.iter().chain(&parents).copied().find(|s| is_usable(s) && !shed);
        preferred.or(last_resort).map(|source| source.entry.id)
    }

    fn is_usable_source(&self, candidates: &CandidateCaches, cache: &Endpoint, source: &Endpoint) -> bool {
        let id = source.entry.id;
        let is_excluded = id == cache.entry.id || candidates.open.avoided.contains(&id);
        !is_excluded && self.admits(candidates.now, source, candidates.work)
    }

    /// The caches of other zones that may have an object, its home there first; none if not allowed.
    fn remote_siblings(&self, open: &OpenRequest) -> Vec<&Endpoint> {
        if self.settings.sibling_caches != SiblingCaches::Any || open.is_write {
            return Vec::new();
        }
        self.hash_order(open.hash_key, EndpointRole::RemoteCache)
    }
}
