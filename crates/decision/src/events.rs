//! Dispatch of events to the rules that handle them.

use crate::interface::{Action, Discovery, EndpointEntry, EndpointState, Event, ListKind};
use crate::module::DecisionModule;
use crate::state::{TimerToken, MAX_REMEMBERED_ENDPOINTS, MAX_TRACKED_OBJECTS};
use crate::time::Timestamp;
use std::time::Duration;

/// Delay before the module subscribes to the endpoint list again after a request for the list
/// failed.
const RESUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two log lines about ejected endpoints.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl DecisionModule {
    /// Handles one event that happened at `now`, and appends to `actions` what the router must do,
    /// in order. `now` must not be earlier than that of the event before.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries } => self.on_endpoint_list(kind, entries, actions),
            Event::EndpointListFailed => {
                actions.push(Action::timer(RESUBSCRIBE_INTERVAL, TimerToken::Resubscribe.encode()));
            }
            Event::Request(request) => self.on_request(now, request, actions),
            Event::Started { request, attempt } => self.on_stream_started(request, usize::from(attempt)),
            Event::AttemptOutcome(outcome) => self.on_outcome(now, outcome, actions),
            Event::Withdrawn { request } => self.finish(request, actions),
            Event::Timer { token } => self.on_timer(now, TimerToken::decode(token), actions),
            Event::Purged(purge) => self.purges.add(now, &purge, MAX_TRACKED_OBJECTS),
            Event::Probed { endpoint, status } => self.on_probed(now, endpoint, status),
        }
    }

    fn on_timer(&mut self, now: Timestamp, token: TimerToken, actions: &mut Vec<Action>) {
        match token {
            TimerToken::Resubscribe => actions.push(Action::Subscribe),
            TimerToken::Deadline(request) => self.on_deadline(now, request, actions),
            TimerToken::Overdue(attempt) => self.on_overdue(now, attempt, actions),
            TimerToken::FillCheck(attempt) => self.on_fill_check(now, attempt),
        }
    }

    /// Applies entries of the endpoint list. Endpoints that have started begin to warm up. The
    /// first list makes the module subscribe to changes, if changes have to be subscribed to.
    fn on_endpoint_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>, actions: &mut Vec<Action>) {
        for id in self.endpoints.apply(&self.settings, kind, entries) {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            endpoint.reset_after_start();
            if endpoint.warm_up_started.is_some() {
                self.warming_up.insert(id);
            }
        }
        self.endpoints.forget_removed(MAX_REMEMBERED_ENDPOINTS);
        if self.settings.discovery == Discovery::Ask && !self.is_subscribed {
            self.is_subscribed = true;
            actions.push(Action::Subscribe);
        }
    }

    /// Logs the ready endpoints that are ejected, at most once per [`LOG_INTERVAL`].
    pub(crate) fn log_ejected(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if now < self.last_log + LOG_INTERVAL {
            return;
        }
        self.last_log = now;
        let ejected: Vec<String> = self
            .endpoints
            .listed()
            .filter(|endpoint| endpoint.entry.state == EndpointState::Ready && !endpoint.is_available())
            .map(|endpoint| format!("{:x} ({:.1} failures)", endpoint.entry.id.0, endpoint.error_score))
            .collect();
        if !ejected.is_empty() {
            actions.push(Action::Log(format!("out: {}", ejected.join(", "))));
        }
    }
}
