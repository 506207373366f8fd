//! Choice of the endpoint for each attempt: among the edge caches of the own zone, or, where these
//! can't take the request, among parent caches and the origin.

use crate::interface::{DeduplicationScope, Idempotency};
use crate::module::DecisionModule;
use crate::policy::fill_source::MIN_FILL_CAPACITY;
use crate::state::{replica_count, BypassDecision, CandidateCaches, Endpoint, EndpointRole, OpenRequest};
use crate::state::{RouteDecision, LOW_RETENTION, MIDDLE_RETENTION, PASS_THROUGH};
use crate::time::{divide_to_micros, Timestamp};

/// Minimum spare capacity of a cache that takes over a request from the preferred cache. The bound
/// is high because the object is usually not cached there, so that the request costs a fill.
const MIN_OVERFLOW_CAPACITY: f64 = 0.8;
/// The last 1/10 of the idempotency window is not used for retries: the retry has to reach the
/// endpoint before the window ends.
const WINDOW_MARGIN_DIVISOR: u64 = 10;

impl DecisionModule {
    /// Whether the class's idempotency allows sending this request to `endpoint` now.
    ///
    /// Always true for idempotent requests and as long as no earlier attempt may have run. After
    /// that, a request with an idempotency key may be retried only at an endpoint that shares its
    /// deduplication scope with the endpoint of the first attempt that may have run, and only
    /// within the idempotency window of that attempt. In a narrower scope than all endpoints, it may
    /// not be retried where another process may have come up at the endpoint's address since, which
    /// need not belong to the scope. Other requests may not be retried.
    fn retry_allowed(&self, now: Timestamp, open: &OpenRequest, endpoint: &Endpoint) -> bool {
        let class = self.settings.class(&open.request);
        if class.idempotency == Idempotency::Idempotent {
            return true;
        }
        let Some(first_run) = open.first_possible_run else { return true };
        let first_entry = self.endpoints.get(first_run.endpoint).map(|first| &first.entry);
        let drops_repeats = match class.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first_entry.is_some_and(|first| first.zone == endpoint.entry.zone),
            DeduplicationScope::Cell => first_entry.is_some_and(|first| first.cell == endpoint.entry.cell),
        };
        let margin = divide_to_micros(class.window, WINDOW_MARGIN_DIVISOR);
        let window_end = first_run.sent_at + class.window;
        let is_in_window = now + margin < window_end;
        let is_same_process =
            class.scope == DeduplicationScope::All || !open.may_have_new_process(&endpoint.entry);
        class.idempotency == Idempotency::WithKey && drops_repeats && is_same_process && is_in_window
    }

    /// Chooses the endpoint and fill source of the request's next attempt. The first of these that
    /// applies:
    ///
    /// 1. an ejected cache that is due for a recovery probe;
    /// 2. the first cache in preference order that the request does not avoid, that is free, and
    ///    that has spare capacity;
    /// 3. if no cache is available, or the request is idempotent and no cache may be tried: a
    ///    parent cache or the origin, where the settings allow bypassing the caches;
    /// 4. for a non-idempotent request, the first free cache that it does not avoid, even at
    ///    capacity;
    /// 5. the first free cache, even one that the request avoids;
    /// 6. the first free cache in hash order, even an ejected one.
    ///
    /// Returns `None` if nothing applies, or if the endpoints that an idempotent request may use
    /// are all at capacity. The caller then rejects the request, or waits for the attempt in
    /// flight.
    pub(crate) fn choose_route(&self, now: Timestamp, open: &OpenRequest) -> Option<RouteDecision> {
        let candidates = self.candidate_caches(now, open);
        if let Some(endpoint) = self.recovery_probe_target(&candidates) {
            let route = self.route_to_cache(&candidates, endpoint, 0);
            return Some(RouteDecision { is_recovery_probe: true, ..route });
        }

        let preferences = self.preference_order(&candidates);
        let cache_at = |index: usize| candidates.available[index];
        let is_free = |index: usize| self.is_free(&candidates, cache_at(index));
        let is_avoided = |index: usize| open.avoided.contains(&cache_at(index).entry.id);
        let may_be_tried = |index: usize| !is_avoided(index) && is_free(index);
        let has_capacity = |index: usize| {
            let is_preferred = preferences.first() == Some(&index);
            let required = if is_preferred { 0.0 } else { MIN_OVERFLOW_CAPACITY };
            self.spare_capacity(now, &open.request, cache_at(index)) >= required
        };
        let route_to = |index: usize| self.route_to_cache(&candidates, cache_at(index), index);

        let with_capacity =
            preferences.iter().copied().find(|index| may_be_tried(*index) && has_capacity(*index));
        if let Some(index) = with_capacity {
            return Some(route_to(index));
        }

        let first_to_try = preferences.iter().copied().find(|index| may_be_tried(*index));
        let has_available = !candidates.available.is_empty();
        let is_exhausted = has_available && candidates.is_idempotent && first_to_try.is_none();
        // No cache is available, or an idempotent request may try none of the available ones: it
        // avoids them, has an attempt in flight there, or exceeds their warm-up budgets.
        if self.settings.bypass_edge_cache && (!has_available || is_exhausted) {
            match self.bypass_caches(&candidates, is_exhausted) {
                BypassDecision::Route(route) => return Some(route),
                BypassDecision::AllAtCapacity if candidates.is_idempotent => return None,
                BypassDecision::AllAtCapacity | BypassDecision::NoneUsable => {}
            }
        }

        let first_free = preferences.iter().copied().find(|index| is_free(*index));
        match first_to_try.or(first_free) {
            // Every cache that may be tried is at capacity. A rejection is harmless here, since the
            // client may repeat an idempotent request.
            Some(_) if first_to_try.is_some() && candidates.is_idempotent => None,
            Some(index) => Some(route_to(index)),
            None => {
                let any_free = candidates.all.iter().copied().find(|cache| self.is_free(&candidates, cache));
                any_free.map(|cache| self.route_to_cache(&candidates, cache, 0))
            }
        }
    }

    /// Collects the caches of the own zone that idempotency allows for this request, in hash order,
    /// and the values that they are checked against.
    ///
    /// An attempt whose response is presumed lost does not make its endpoint busy: the request is
    /// sent to the same endpoint again.
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

    /// The ejected cache that this request probes for recovery: the first one ahead of the home
    /// cache in hash order that is due for readmission and whose warm-up budget admits the request.
    /// `None` for retries and for requests that are not idempotent.
    fn recovery_probe_target<'a>(&self, candidates: &CandidateCaches<'a>) -> Option<&'a Endpoint> {
        let ahead_of_home = candidates.all.iter().copied().take_while(|cache| !cache.is_available());
        let mut due = ahead_of_home.filter(|cache| {
            cache.readmission_due(candidates.now) && self.admits(candidates.now, cache, candidates.work)
        });
        let target = due.next();
        let may_probe = !candidates.open.is_retry() && candidates.is_idempotent;
        target.filter(|_| may_probe)
    }

    /// Whether a cache may take the request now: no other attempt of the request is in flight
    /// there, and its warm-up budget admits the work.
    fn is_free(&self, candidates: &CandidateCaches, cache: &Endpoint) -> bool {
        let is_busy = candidates.busy.contains(&cache.entry.id);
        !is_busy && self.admits(candidates.now, cache, candidates.work)
    }

    /// The route to a cache. `index` is its position among the available caches; at any position
    /// but 0 it is not the home cache, and may be filled from the home cache.
    fn route_to_cache(&self, candidates: &CandidateCaches, cache: &Endpoint, index: usize) -> RouteDecision {
        let home = candidates.available.first().copied().filter(|_| index > 0);
        RouteDecision {
            endpoint: cache.entry.id,
            fill_source: self.choose_fill_source(candidates, cache, home),
            retention: self.retention(candidates.open, index),
            is_recovery_probe: false,
        }
    }

    /// Chooses an endpoint behind the edge caches: the first parent cache in hash order, then the
    /// origin, that idempotency allows, the request does not avoid, a warm-up budget admits and
    /// spare capacity suffices for.
    ///
    /// `is_exhausted` says that caches are available but none may be tried. The origin is then not
    /// used, and parents need spare capacity for a fill. The origin is not used for a shed request
    /// either.
    fn bypass_caches(&self, candidates: &CandidateCaches, is_exhausted: bool) -> BypassDecision {
        let (now, open) = (candidates.now, candidates.open);
        let origins = self.hash_order(open.hash_key, EndpointRole::Origin);
        let shed = self.shed_for_origin(now, open);
        let may_use_origin = !is_exhausted && !shed;

        let mut targets = self.hash_order(open.hash_key, EndpointRole::Parent);
        targets.retain(|parent| parent.is_available());
        targets.extend(origins.iter().filter(|_| may_use_origin));
        targets.retain(|target| self.retry_allowed(now, open, target));
        let is_avoided = |target: &Endpoint| open.avoided.contains(&target.entry.id);
        targets.retain(|target| !is_avoided(target) && self.admits(now, target, candidates.work));

        let required = if is_exhausted { MIN_FILL_CAPACITY } else { 0.0 };
        let has_capacity = |target: &&&Endpoint| self.spare_capacity(now, &open.request, target) >= required;
        match targets.iter().find(has_capacity) {
            Some(target) => BypassDecision::Route(RouteDecision {
                endpoint: target.entry.id,
                fill_source: origins.first().filter(|_| !shed).map(|origin| origin.entry.id),
                retention: PASS_THROUGH,
                is_recovery_probe: false,
            }),
            None if targets.is_empty() => BypassDecision::NoneUsable,
            None => BypassDecision::AllAtCapacity,
        }
    }

    /// Retention priority of the copy at the cache at position `index` of the available caches.
    ///
    /// Writes leave no copy. Copies outside of the home cache have the lowest priority (see
    /// docs/design.md). So have objects that were not requested lately: an object requested once
    /// must not displace one that is requested again. The second rule departs from the paper (see
    /// `policy`).
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

    /// The indices of the available caches in the order in which they are tried.
    ///
    /// The first attempt prefers the replica drawn at random; a retry prefers the home cache; a
    /// retry after a lost response prefers the endpoint of the last attempt, if it is still
    /// available. The preferred cache is followed by the rest of the hash order, and then by the
    /// caches ahead of it.
    fn preference_order(&self, candidates: &CandidateCaches) -> Vec<usize> {
        let open = candidates.open;
        let count = candidates.available.len();
        let last_with_lost_response = open.attempts.last().filter(|_| open.response_lost);
        let lost_response_index = last_with_lost_response
            .and_then(|attempt| candidates.available.iter().position(|c| c.entry.id == attempt.endpoint));
        let replicas = replica_count(self.request_counter.level(open.hash_key)).min(count).max(1);
        let drawn_replica = (open.random_draw % replicas as u64) as usize;
        let preferred = if open.is_retry() { 0 } else { drawn_replica };
        let first = lost_response_index.unwrap_or(preferred);
        (first..count).chain(0..first).collect()
    }
}
