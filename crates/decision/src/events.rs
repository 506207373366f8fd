//! Events in, actions out: each event goes to the rules that it is for.

use crate::interface::{Action, Discovery, EndpointEntry, EndpointState, Event, ListKind};
use crate::module::DecisionModule;
use crate::state::{TimerToken, MAX_REMEMBERED_ENDPOINTS, MAX_TRACKED_OBJECTS};
use crate::time::Timestamp;
use std::time::Duration;

/// After a call for the endpoint list failed, the next one comes after this long.
const RESUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);
/// Ejected endpoints are logged no more often than this.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl DecisionModule {
    /// Takes one event and appends what is to be done, in order.
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

    /// Logs which endpoints are ejected, at most once in a [`LOG_INTERVAL`].
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
