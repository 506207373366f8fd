//! Attempts: what is sent, how, and whether once more.

use crate::interface::{Action, CacheFill, Request, RequestId};
use crate::module::DecisionModule;
use crate::state::{Attempt, AttemptId, OpenRequest, RouteDecision, TimerToken};
use crate::time::{Timestamp, MICROSECOND};
use xxhash_rust::xxh3::xxh3_64_with_seed;

impl DecisionModule {
    /// A request of a client: it is counted, registered, and its first attempt is sent or it is rejected.
    pub(crate) fn on_request(&mut self, now: Timestamp, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if usize::from(request.class) >= self.settings.classes.len() {
            actions.push(Action::Fail { request: id });
            return;
        }
        let hash_key = xxh3_64_with_seed(&request.object.to_le_bytes(), u64::from(request.part));
        if let Some(interval) = self.request_counter.record(now, hash_key) {
            self.update_replication(now, interval);
        }
        self.advance_admission_slots(now);
        self.probe_lost_parents(now, actions);
        self.retry_budget.earn();
        let time_left = request.deadline.saturating_duration_since(now);
        actions.push(Action::timer(time_left, TimerToken::Deadline(id).encode()));
        self.register(request, hash_key);
        self.advance(now, id, actions);
        self.request_counter.mark_seen(hash_key);
    }

    /// Sends the next attempt of a request, or ends it.
    pub(crate) fn advance(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let is_in_flight = open.in_flight() > 0;
        if open.is_finished || open.is_streaming || (is_in_flight && !self.settings.hedging_allowed) {
            return;
        }
        let is_retry = open.is_retry();
        let is_spent = open.attempts.len() >= open.max_attempts as usize || now >= open.request.deadline;
        let may_send = !is_spent && (!is_retry || self.retry_budget.allows_retry());
        match if may_send { self.choose_route(now, open) } else { None } {
            Some(route) => {
                if is_retry {
                    self.retry_budget.spend();
                }
                self.send(now, id, &route, actions);
            }
            // An attempt that is still in flight may yet be answered.
            None if is_in_flight => {}
            None => self.give_up(now, id, actions),
        }
    }

    fn send(&mut self, now: Timestamp, id: RequestId, route: &RouteDecision, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let fill = self.cache_fill(now, open, route);
        let attempt = Attempt {
            id: AttemptId { request: id, attempt: open.attempts.len() },
            endpoint: route.endpoint,
            fill_source: route.fill_source.filter(|source| *source != route.endpoint),
            sent_at: now,
            in_flight: true,
            counted_at_endpoint: true,
            is_recovery_probe: route.is_recovery_probe,
            only_if_cached: fill.only_if_cached,
            ..Attempt::default()
        };
        let timeout = open.request.deadline.saturating_duration_since(now).max(MICROSECOND);
        actions.push(Action::Attempt { request: id, endpoint: route.endpoint, timeout, fill });
        self.begin_attempt(attempt, actions);
    }

    /// How a miss is filled, and how old a copy may be served.
    fn cache_fill(&self, now: Timestamp, open: &OpenRequest, route: &RouteDecision) -> CacheFill {
        let class = self.settings.class(&open.request);
        let shed = self.shed_for_origin(now, open);
        let expires = !class.fresh.is_zero();
        let stale_bound = (expires && (open.accepts_stale || shed)).then_some(class.fresh + class.grace);
        let purge_bound = self.purge_max_age(now, &open.request);
        let source_is_parent = route.fill_source.is_some_and(|source| self.endpoints.is_parent(source));
        CacheFill {
            source: route.fill_source,
            retention: route.retention,
            max_age: [stale_bound, purge_bound].into_iter().flatten().min(),
            coalesce: self.settings.coalesce_fills,
            stale_while_revalidate: expires && !shed,
            only_if_cached: shed && source_is_parent,
        }
    }
}
