//! Passes events to the decision module or the hint follower, and executes the actions that they
//! return.

use super::attempts::NewAttempt;
use super::Router;
use crate::messages::{AttemptId, Command, RoutingMode, Wake};
use crate::request::Reply;
use hollymux_decision::time::whole_micros;
use hollymux_decision::{Action, AttemptStatus, EndpointId, Event, Timestamp};

impl Router {
    /// Passes an event to the decision module or, in the mode [`RoutingMode::FollowHint`], to the
    /// hint follower, and executes the returned actions.
    pub(super) fn decide(
        &mut self,
        now: Timestamp,
        mode: RoutingMode,
        event: Event,
        commands: &mut Vec<Command>,
    ) {
        let mut actions = Vec::new();
        match (mode, &mut self.hint_follower) {
            (RoutingMode::FollowHint, Some(follower)) => follower.handle(now, event, &mut actions),
            _ => self.decision.handle(now, event, &mut actions),
        }
        self.execute_actions(now, mode, actions, commands);
    }

    /// Executes actions in order. An event that an action causes at once, such as the end of an
    /// attempt that can't be sent, is handled after all of the actions.
    pub(super) fn execute_actions(
        &mut self,
        now: Timestamp,
        mode: RoutingMode,
        actions: Vec<Action>,
        commands: &mut Vec<Command>,
    ) {
        let mut events = Vec::new();
        for action in actions {
            events.extend(self.execute(now, mode, action, commands));
        }
        for event in events {
            self.decide(now, mode, event, commands);
        }
        self.request_lookups(commands);
    }

    /// Handles the result of a health probe; `healthy` is `None` if the endpoint did not respond.
    pub(super) fn on_probe_result(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        healthy: Option<bool>,
        commands: &mut Vec<Command>,
    ) {
        let status = match healthy {
            Some(true) => AttemptStatus::Ok,
            Some(false) => AttemptStatus::Error,
            None => AttemptStatus::Timeout,
        };
        self.decide(now, RoutingMode::Decide, Event::Probed { endpoint, status }, commands);
    }

    /// Executes one action. Returns the event that it causes at once, if any.
    fn execute(
        &mut self,
        now: Timestamp,
        mode: RoutingMode,
        action: Action,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        match action {
            Action::Attempt { request, endpoint, timeout, fill } => {
                let new = NewAttempt { request, endpoint, timeout, fill };
                return self.start_attempt(now, new, commands);
            }
            Action::Cancel { request, attempt } => {
                return self.cancel_attempt(now, AttemptId { request, number: attempt }, commands);
            }
            Action::Reject { request, retry_after } => {
                let retry_after_ms = whole_micros(retry_after).div_ceil(1_000);
                self.reply(now, request, Reply::Rejected(retry_after_ms), commands);
            }
            Action::Fail { request } => self.reply(now, request, Reply::Failed, commands),
            Action::Timer { after, token } => {
                commands.push(Command::Wake(now + after, Wake::Decision(mode, token)));
            }
            Action::Probe { endpoint } => {
                let address = self.endpoints.address(endpoint)?;
                commands.push(Command::Probe(endpoint, address));
            }
            // Nothing to do: the router is always subscribed to the endpoint feed, which is always
            // complete.
            Action::Subscribe | Action::FetchEndpointList => {}
            Action::Log(line) => commands.push(Command::Log(line)),
        }
        None
    }

    /// Appends a command for each lookup that the hint follower has queued.
    fn request_lookups(&mut self, commands: &mut Vec<Command>) {
        let Some(follower) = &mut self.hint_follower else { return };
        for request in follower.take_lookups() {
            if let Some(open) = self.open_requests.get(&request) {
                commands.push(Command::Lookup(request, open.requested.clone()));
            }
        }
    }
}
