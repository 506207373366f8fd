//! Which endpoint a request goes to.

use crate::interface::{DeduplicationScope, Idempotency};
use crate::module::DecisionModule;
use crate::policy::fill_source::MIN_FILL_CAPACITY;
use crate::state::{replica_count, BypassDecision, CandidateCaches, Endpoint, EndpointRole, OpenRequest};
use crate::state::{RouteDecision, LOW_RETENTION, MIDDLE_RETENTION, PASS_THROUGH};
use crate::time::{divide_to_micros, Timestamp};

/// A request leaves its drawn cache for a stand-in with this much spare capacity; it costs a fill.
const MIN_STAND_IN_CAPACITY: f64 = 0.8;
/// One in so many parts of the idempotency window is left for the way to the endpoint.
const WINDOW_MARGIN_DIVISOR: u64 = 10;

impl DecisionModule {
    /// Whether the class's idempotency allows (re)sending this request to this endpoint now.
    fn retry_allowed(&self, now: Timestamp, open: &OpenRequest, endpoint: &Endpoint) -> bool {
        let class = self.settings.class(&open.request);
        let may_have_run = open.first_possible_run.filter(|_| class.idempotency != Idempotency::Idempotent);
        let Some(run) = may_have_run else { return true };
        let first = self.endpoints.get(run.endpoint).map(|first| &first.entry);
        let drops_repeats = match class.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.is_some_and(|first| first.zone == endpoint.entry.zone),
            DeduplicationScope::Cell => first.is_some_and(|first| first.cell == endpoint.entry.cell),
        };
        let margin = divide_to_micros(class.window, WINDOW_MARGIN_DIVISOR);
        let in_window = now + margin < run.sent_at + class.window;
        class.idempotency == Idempotency::WithKey && drops_repeats && in_window
    }

    /// Where the next attempt of a request goes; none: it is rejected, or awaits the attempt in flight.
    pub(crate) fn choose_route(&self, now: Timestamp, open: &OpenRequest) -> Option<RouteDecision> {
        let candidates = self.candidate_caches(now, open);
        if let Some(endpoint) = self.recovery_probe_target(&candidates) {
            let route = self.route_to_cache(&candidates, endpoint, 0);
            return Some(RouteDecision { is_recovery_probe: true, ..route });
        }
        let preferences = self.preference_order(&candidates);
        let cache = |index: usize| candidates.available[index];
        let is_free = |index: usize| self.is_free(&candidates, cache(index));
        let is_untried = |index: usize| !open.avoided.contains(&cache(index).entry.id) && is_free(index);
        let has_capacity = |index: usize| {
            let required = if preferences.first() == Some(&index) { 0.0 } else { MIN_STAND_IN_CAPACITY };
            self.spare_capacity(now, &open.request, cache(index)) >= required
        };
        let route = |index: usize| Some(self.route_to_cache(&candidates, cache(index), index));
        let suitable = preferences.iter().copied().find(|index| is_untried(*index) && has_capacity(*index));
        if let Some(index) = suitable {
            return route(index);
        }
        let untried = preferences.iter().copied().find(|index| is_untried(*index));
        let is_exhausted = !candidates.available.is_empty() && candidates.is_idempotent && untried.is_none();
        // No cache is in, or those that warm up may get no more: past them, if allowed.
        if self.settings.bypass_edge_cache && (candidates.available.is_empty() || is_exhausted) {
            match self.bypass_caches(&candidates, is_exhausted) {
                BypassDecision::Route(route) => return Some(route),
                BypassDecision::AllAtCapacity if candidates.is_idempotent => return None,
                BypassDecision::AllAtCapacity | BypassDecision::NoneUsable => {}
            }
        }
        let free = preferences.iter().copied().find(|index| is_free(*index));
        match untried.or(free) {
            // All that may be tried are at capacity: what may be rejected is.
            Some(_) if untried.is_some() && candidates.is_idempotent => None,
            Some(index) => route(index),
            None => {
                let any = candidates.all.iter().copied().find(|cache| self.is_free(&candidates, cache));
                any.map(|cache| self.route_to_cache(&candidates, cache, 0))
            }
        }
    }

    fn candidate_caches<'a>(&'a self, now: Timestamp, open: &'a OpenRequest) -> CandidateCaches<'a> {
        let mut all = self.hash_order(open.hash_key, EndpointRole::LocalCache);
        all.retain(|cache| self.retry_allowed(now, open, cache));
        let busy = open.attempts.iter().filter(|attempt| attempt.in_flight && !open.response_lost);
        CandidateCaches {
            now,
            open,
            work: self.mean_work(&open.request),
            is_idempotent: self.settings.class(&open.request).idempotency == Idempotency::Idempotent,
            available: all.iter().copied().filter(|cache| cache.is_available()).collect(),
            all,
            busy: busy.map(|attempt| attempt.endpoint).collect(),
        }
    }

    /// An endpoint ahead of the home cache whose ejection is over: the request leads it back in.
    fn recovery_probe_target<'a>(&self, candidates: &CandidateCaches<'a>) -> Option<&'a Endpoint> {
        let ejected_ahead = candidates.all.iter().copied().take_while(|cache| !cache.is_available());
        let mut due = ejected_ahead.filter(|cache| {
            cache.readmission_due(candidates.now) && self.admits(candidates.now, cache, candidates.work)
        });
        due.next().filter(|_| !candidates.open.is_retry() && candidates.is_idempotent)
    }

    fn is_free(&self, candidates: &CandidateCaches, cache: &Endpoint) -> bool {
        !candidates.busy.contains(&cache.entry.id) && self.admits(candidates.now, cache, candidates.work)
    }

    fn route_to_cache(&self, candidates: &CandidateCaches, cache: &Endpoint, index: usize) -> RouteDecision {
        let home = candidates.available.first().copied().filter(|_| index > 0);
        RouteDecision {
            endpoint: cache.entry.id,
            fill_source: self.choose_fill_source(candidates, cache, home),
            retention: self.retention(candidates.open, index),
            is_recovery_probe: false,
        }
    }

    /// Past the caches, to parents with spare capacity; to the origin only where no cache is in.
    fn bypass_caches(&self, candidates: &CandidateCaches, is_exhausted: bool) -> BypassDecision {
        let (now, open) = (candidates.now, candidates.open);
        let origin = self.hash_order(open.hash_key, EndpointRole::Origin);
        let shed = self.shed_for_origin(now, open);
        let mut targets = self.hash_order(open.hash_key, EndpointRole::Parent);
        targets.retain(|parent| parent.is_available());
        targets.extend(origin.iter().filter(|_| !is_exhausted && !shed));
        targets.retain(|target| self.retry_allowed(now, open, target));
        let is_avoided = |target: &Endpoint| open.avoided.contains(&target.entry.id);
        targets.retain(|target| !is_avoided(target) && self.admits(now, target, candidates.work));
        let required = if is_exhausted { MIN_FILL_CAPACITY } else { 0.0 };
        let has_capacity = |target: &&&Endpoint| self.spare_capacity(now, &open.request, target) >= required;
        match targets.iter().find(has_capacity) {
            Some(target) => BypassDecision::Route(RouteDecision {
                endpoint: target.entry.id,
                fill_source: origin.first().filter(|_| !shed).map(|origin| origin.entry.id),
                retention: PASS_THROUGH,
                is_recovery_probe: false,
            }),
            None if targets.is_empty() => BypassDecision::NoneUsable,
            None => BypassDecision::AllAtCapacity,
        }
    }

    /// Retention priority of the copy: lowest for extra copies (DESIGN) and for what was not seen lately
    /// (departure: an object requested once must not push out one that is requested again).
    fn retention(&self, open: &OpenRequest, index: usize) -> u8 {
        let is_extra_copy = index > 0;
        if open.is_write {
            PASS_THROUGH
        } else if is_extra_copy || !self.request_counter.seen_lately(open.hash_key) {
            LOW_RETENTION
        } else {
            MIDDLE_RETENTION
        }
    }

    /// The indices of the available caches in the order in which they are tried: the one drawn among the
    /// replicas (of a lost response the same as before, of another retry the home cache), then the rest of
    /// the hash order as stand-ins; last, those ahead of it.
    fn preference_order(&self, candidates: &CandidateCaches) -> Vec<usize> {
        let open = candidates.open;
        let count = candidates.available.len();
        let repeated = open.attempts.last().filter(|_| open.response_lost);
        let is_same = |cache: &&Endpoint| repeated.is_some_and(|attempt| attempt.endpoint == cache.entry.id);
        let replicas = replica_count(self.request_counter.level(open.hash_key)).min(count).max(1);
        let drawn = (open.random_draw % replicas as u64) as usize;
        let preferred = if open.is_retry() { 0 } else { drawn };
        let first = candidates.available.iter().position(is_same).unwrap_or(preferred);
        (first..count).chain(0..first).collect()
    }
}
