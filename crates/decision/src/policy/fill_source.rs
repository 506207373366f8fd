//! Choice of the fill source: the endpoint that a cache fills a miss from.

use crate::interface::{EndpointId, SiblingCaches};
use crate::module::DecisionModule;
use crate::state::{CandidateCaches, Endpoint, EndpointRole, OpenRequest};

/// Minimum spare capacity of a parent cache for a fill. The reserve is needed because the fill
/// reaches the parent only after the request has reached the cache, and because each router learns
/// late what all routers have sent.
pub(crate) const MIN_FILL_CAPACITY: f64 = 0.7;
/// A refused fill is requested from a sibling cache of another zone only while the request has made
/// at most this many attempts.
const MAX_ATTEMPTS_BEFORE_SIBLING: usize = 1;

impl DecisionModule {
    /// Chooses where `cache` fills a miss from. `home` is the object's home cache if `cache` is
    /// another one.
    ///
    /// A write is sent on to the origin. Otherwise the first usable source of these is chosen:
    ///
    /// 1. the home cache, for a replicated object;
    /// 2. a sibling cache of another zone, if a parent refused the fill before;
    /// 3. the first parent cache in hash order that is available or due for readmission;
    /// 4. a sibling cache of another zone;
    /// 5. the origin, or else an ejected parent, unless the request is shed.
    ///
    /// `None` means that the request is served from copies alone: no source is usable, or the
    /// parent of step 3 lacks spare capacity and the home cache can't fill.
    pub(crate) fn choose_fill_source(
        &self,
        candidates: &CandidateCaches,
        cache: &Endpoint,
        home: Option<&Endpoint>,
    ) -> Option<EndpointId> {
        let (now, open) = (candidates.now, candidates.open);
        let origins = self.hash_order(open.hash_key, EndpointRole::Origin);
        if open.is_write && !origins.is_empty() {
            return origins.first().map(|origin| origin.entry.id);
        }
        let is_usable = |source: &&Endpoint| self.is_usable_source(candidates, cache, source);

        let siblings_allowed = self.settings.sibling_caches != SiblingCaches::None;
        let is_replicated = siblings_allowed && self.request_counter.levels.contains_key(&open.hash_key);
        let home = home.filter(|home| is_replicated && is_usable(home));

        let parents = self.hash_order(open.hash_key, EndpointRole::Parent);
        let may_readmit = |parent: &Endpoint| parent.readmission_due(now) && !open.is_retry();
        let may_be_named = |parent: &&Endpoint| parent.is_available() || may_readmit(parent);
        let parent = parents.iter().copied().filter(may_be_named).find(is_usable);

        // A parent without spare capacity would send the fill late and delay other fills that
        // would be in time. The request is then served from copies alone.
        let lacks_capacity = |parent: &Endpoint| {
            parent.is_available() && self.spare_capacity(now, &open.request, parent) < MIN_FILL_CAPACITY
        };
        if home.is_none() && parent.is_some_and(lacks_capacity) {
            return None;
        }

        let usable_sibling = || {
            let siblings = self.remote_siblings(open);
            siblings.into_iter().find(|sibling| sibling.is_available() && is_usable(sibling))
        };
        // A parent at capacity has refused the fill: a cache of another zone may hold the object.
        let may_use_sibling = open.fill_refused && open.attempts.len() <= MAX_ATTEMPTS_BEFORE_SIBLING;
        if home.is_none() && may_use_sibling {
            if let Some(sibling) = usable_sibling() {
                return Some(sibling.entry.id);
            }
        }

        let preferred = home.or(parent).or_else(usable_sibling);
        // The last resort is looked for even if there is a preferred source: the check of each
        // endpoint records the demand that its warm-up budget does not admit.
        let shed = self.shed_for_origin(now, open);
        let mut last_resorts = origins.iter().chain(&parents).copied();
        let last_resort = last_resorts.find(|source| is_usable(source) && !shed);
        preferred.or(last_resort).map(|source| source.entry.id)
    }

    /// Whether `cache` may fill from `source` for this request: it is another endpoint, the request
    /// does not avoid it, and its warm-up budget admits the work.
    fn is_usable_source(&self, candidates: &CandidateCaches, cache: &Endpoint, source: &Endpoint) -> bool {
        let id = source.entry.id;
        let is_excluded = id == cache.entry.id || candidates.open.avoided.contains(&id);
        !is_excluded && self.admits(candidates.now, source, candidates.work)
    }

    /// The edge caches of other zones in hash order, so that the object's home cache there comes
    /// first. Empty for writes and where the settings do not allow filling from other zones.
    fn remote_siblings(&self, open: &OpenRequest) -> Vec<&Endpoint> {
        if self.settings.sibling_caches != SiblingCaches::Any || open.is_write {
            return Vec::new();
        }
        self.hash_order(open.hash_key, EndpointRole::RemoteCache)
    }
}
