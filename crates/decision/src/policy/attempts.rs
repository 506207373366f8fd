//! Sending of attempts: accepts requests, decides whether a further attempt is sent, and fills in
//! the parameters of each attempt. The endpoint is chosen in `endpoint_choice`.

use crate::interface::{Action, CacheFill, Request, RequestId};
use crate::module::DecisionModule;
use crate::state::{Attempt, AttemptId, OpenRequest, RouteDecision, TimerToken};
use crate::time::{Timestamp, MICROSECOND};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

impl DecisionModule {
    /// Accepts a client's request: counts and registers it, sets its deadline timer, and sends its
    /// first attempt or gives the final answer. A request whose class is not in the settings fails
    /// at once.
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
        // Only after the attempt is sent: its retention priority depends on earlier requests alone.
        self.request_counter.mark_seen(hash_key);
    }

    /// Sends the request's next attempt, or gives the final answer if no further attempt is allowed
    /// and none is in flight. Does nothing for a request that is finished, is streaming, or has an
    /// attempt in flight while hedged requests are not allowed.
    pub(crate) fn advance(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let is_in_flight = open.in_flight() > 0;
        let must_wait = is_in_flight && !self.settings.hedging_allowed;
        if open.is_finished || open.is_streaming || must_wait {
            return;
        }
        let is_retry = open.is_retry();
        let has_used_all_attempts = open.attempts.len() >= open.max_attempts as usize;
        let is_past_deadline = now >= open.request.deadline;
        let is_within_limits = !has_used_all_attempts && !is_past_deadline;
        let may_send = is_within_limits && (!is_retry || self.retry_budget.allows_retry());
        let route = if may_send { self.choose_route(now, open) } else { None };
        match route {
            Some(route) => {
                if is_retry {
                    self.retry_budget.spend();
                }
                self.send(now, id, &route, actions);
            }
            // The attempt in flight may still be answered before the deadline.
            None if is_in_flight => {}
            None => self.give_up(now, id, actions),
        }
    }

    /// Sends an attempt on the chosen route and registers it. Its timeout is the time left until
    /// the request's deadline, and never zero.
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

    /// Decides how the endpoint fills a miss and how old a copy it may serve.
    fn cache_fill(&self, now: Timestamp, open: &OpenRequest, route: &RouteDecision) -> CacheFill {
        let class = self.settings.class(&open.request);
        let shed = self.shed_for_origin(now, open);
        let expires = !class.fresh.is_zero();
        let source_is_parent = route.fill_source.is_some_and(|source| self.endpoints.is_parent(source));
        CacheFill {
            source: route.fill_source,
            retention: route.retention,
            max_age: self.max_copy_age(now, open, shed),
            coalesce: self.settings.coalesce_fills,
            stale_while_revalidate: expires && !shed,
            only_if_cached: shed && source_is_parent,
        }
    }

    /// The greatest age of a copy that may serve the request; `None` for the fresh time of its class,
    /// or for any age if copies of the class don't expire.
    ///
    /// Two bounds hold at once: the fresh time, to which the grace period is added if the request
    /// accepts stale copies or is shed; and the time since the latest purge of the object.
    fn max_copy_age(&self, now: Timestamp, open: &OpenRequest, shed: bool) -> Option<Duration> {
        let class = self.settings.class(&open.request);
        let purge_bound = self.purge_max_age(now, &open.request);
        if class.fresh.is_zero() {
            return purge_bound;
        }
        let accepts_stale = open.accepts_stale || shed;
        let class_bound = if accepts_stale { class.fresh + class.grace } else { class.fresh };
        let strict_purge_bound = purge_bound.filter(|age| *age < class_bound);
        strict_purge_bound.or(accepts_stale.then_some(class_bound))
    }
}
