//! Attempts of requests at endpoints: starting, their responses and failures, and their end.

use super::open_request::{AttemptedEndpoint, WaitingClient};
use super::Router;
use crate::hint_follower::LookupResult;
use crate::messages::{
    AttemptFailure, AttemptId, AttemptRequest, AttemptSummary, Command, RequestResult, ResultReason,
    RoutingMode, Target, Wake,
};
use crate::request::{AttemptResponse, Reply};
use hollymux_decision::time::divide_to_micros;
use hollymux_decision::{
    AttemptOutcome, AttemptStatus, CacheFill, CacheStatus, CacheStatusReporting, EndpointId, Event,
    Idempotency, RequestId, Timestamp,
};
use std::time::Duration;

/// An attempt to be started.
#[derive(Debug)]
pub(super) struct NewAttempt {
    pub(super) request: RequestId,
    pub(super) endpoint: EndpointId,
    pub(super) timeout: Duration,
    pub(super) fill: CacheFill,
}

/// Whom an attempt was made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptKind {
    /// This router sends it.
    Sent,
    /// The endpoint was only named to the caller of a lookup. The attempt counts as in flight for a
    /// while, and no response to it will come.
    Named,
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    mode: RoutingMode,
    pub(super) class: u16,
    endpoint: EndpointId,
    source: Option<EndpointId>,
    sent: Timestamp,
    kind: AttemptKind,
}

/// How an attempt ended.
struct AttemptEnd {
    status: AttemptStatus,
    /// How long the transfer of the response took the endpoint, in seconds, as far as it follows
    /// from the size.
    transfer_time_s: Option<f64>,
    /// What the endpoint said of its cache.
    cache_status: Option<CacheStatus>,
}

impl From<AttemptStatus> for AttemptEnd {
    fn from(status: AttemptStatus) -> AttemptEnd {
        AttemptEnd { status, transfer_time_s: None, cache_status: None }
    }
}

impl Router {
    /// Starts an attempt: it is sent, or named to the caller of a lookup. Returns its end if it has
    /// ended already.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        new: NewAttempt,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        let NewAttempt { request, endpoint, timeout, fill } = new;
        let has_attempt_in_flight = self.has_attempt_in_flight(request);
        let Some(open) = self.open_requests.get_mut(&request).filter(|_| !has_attempt_in_flight) else {
            self.counters.invariant_violations += 1;
            debug_assert!(false, "an attempt of request {request} that has ended or has one in flight");
            return None;
        };
        let attempt = AttemptId { request, number: open.attempts };
        open.attempts += 1;
        let in_flight = InFlightAttempt {
            mode: open.mode,
            class: open.requested.class,
            endpoint,
            source: fill.source,
            sent: now,
            kind: if open.client.is_some() { AttemptKind::Sent } else { AttemptKind::Named },
        };
        self.in_flight.insert(attempt, in_flight);
        let Some(target) = self.endpoints.target(endpoint, fill) else {
            // The endpoint or the source is not ready: the attempt can't have run.
            return self.finish_attempt(now, attempt, AttemptStatus::Moot.into(), commands);
        };
        let open = self.open_requests.get_mut(&request)?;
        open.last_endpoint =
            Some(AttemptedEndpoint { uid: target.uid.clone(), source: target.source.clone() });
        match open.client.clone() {
            Some(client) => self.send_attempt(now, attempt, target, timeout, client, commands),
            None => self.answer_lookup(now, attempt, target, commands),
        }
        None
    }

    /// Cancels an attempt that was sent; returns its end.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        if self.in_flight.get(&attempt)?.kind == AttemptKind::Named {
            return None;
        }
        commands.push(self.cancel_command(attempt));
        self.finish_attempt(now, attempt, AttemptStatus::Cancelled.into(), commands)
    }

    /// An endpoint responded to an attempt.
    pub(super) fn on_response(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        response: AttemptResponse,
        cache_status: Option<CacheStatus>,
        commands: &mut Vec<Command>,
    ) {
        let is_awaited = self.in_flight.contains_key(&attempt);
        let is_open = self.open_requests.contains_key(&attempt.request);
        let transfer_time_s = self.transfer_time_s(&response);
        let (status, reply) = classify_response(response);
        if let Some(reply) = reply.filter(|_| is_awaited && is_open) {
            self.reply(now, attempt.request, reply, commands);
        }
        // A cache status that the settings don't announce is not believed.
        let is_announced = self.settings.cache_status_reporting != CacheStatusReporting::None;
        let cache_status = cache_status.filter(|_| is_announced);
        self.end_attempt(now, attempt, AttemptEnd { status, transfer_time_s, cache_status }, commands);
    }

    /// An attempt ended without a response.
    pub(super) fn on_attempt_failure(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        failure: AttemptFailure,
        commands: &mut Vec<Command>,
    ) {
        let status = match failure {
            AttemptFailure::ConnectionRefused => AttemptStatus::ConnectFailed,
            AttemptFailure::ConnectTimeout => AttemptStatus::Unreached,
            AttemptFailure::NotSent => AttemptStatus::Moot,
            AttemptFailure::ConnectionLost => AttemptStatus::Reset,
        };
        self.end_attempt(now, attempt, status.into(), commands);
    }

    /// The timeout of an attempt is over, or the time for which one that was only named counts as
    /// in flight.
    pub(super) fn on_attempt_timer(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        commands: &mut Vec<Command>,
    ) {
        let Some(in_flight) = self.in_flight.get(&attempt) else { return };
        let status = match in_flight.kind {
            AttemptKind::Sent => {
                commands.push(self.cancel_command(attempt));
                AttemptStatus::Timeout
            }
            AttemptKind::Named => AttemptStatus::Cancelled,
        };
        self.end_attempt(now, attempt, status.into(), commands);
    }

    fn has_attempt_in_flight(&self, request: RequestId) -> bool {
        let first = AttemptId { request, number: 0 };
        let last = AttemptId { request, number: u16::MAX };
        self.in_flight.range(first..=last).next().is_some()
    }

    fn send_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        target: Target,
        timeout: Duration,
        client: WaitingClient,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.open_requests.get(&attempt.request) else { return };
        let class = open.requested.class;
        let send_before = self.retry_send_before(class, open.may_have_run_since);
        self.counters.attempts += 1;
        commands.push(Command::Wake(now + timeout, Wake::Attempt(attempt)));
        commands.push(Command::SendAttempt(AttemptRequest {
            attempt,
            target,
            timeout,
            class,
            request: client.request,
            client: client.handle,
            send_before,
        }));
    }

    /// The end of the window in which endpoints recognise a repeat by its idempotency key, if the
    /// request may have run. A tenth of the window is left for the way there, as in the decision
    /// module.
    fn retry_send_before(&self, class: u16, may_have_run_since: Option<Timestamp>) -> Option<Timestamp> {
        let class = &self.settings.classes[usize::from(class)];
        if class.idempotency != Idempotency::WithKey {
            return None;
        }
        let window = divide_to_micros(class.window, 10) * 9;
        may_have_run_since.map(|since| since + window)
    }

    /// Ends a lookup with the endpoint that was chosen. The attempt stays in flight for the latency
    /// objective of the class, as the caller is expected to send the request.
    fn answer_lookup(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        target: Target,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.open_requests.remove(&attempt.request) else { return };
        let (result, reason) = (RequestResult::Named, ResultReason::Completed);
        commands.push(open.summary(attempt.request, now, result, reason, 0));
        let latency_objective = self.settings.classes[usize::from(open.requested.class)].latency_objective;
        commands.push(Command::Wake(now + latency_objective, Wake::Attempt(attempt)));
        self.lookup_result = Some(LookupResult::Endpoint(target));
    }

    fn cancel_command(&self, attempt: AttemptId) -> Command {
        let may_retry = self.open_requests.contains_key(&attempt.request);
        Command::CancelAttempt { attempt, may_retry }
    }

    /// How long the transfer of a response took, by its size.
    fn transfer_time_s(&self, response: &AttemptResponse) -> Option<f64> {
        let AttemptResponse::Data(_, body) = response else { return None };
        Some(body.len() as f64 / self.flow_bytes_per_s).filter(|seconds| seconds.is_finite())
    }

    /// Ends an attempt and lets whoever decides know. Later messages about the attempt are ignored.
    fn end_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        end: AttemptEnd,
        commands: &mut Vec<Command>,
    ) {
        let Some(mode) = self.in_flight.get(&attempt).map(|in_flight| in_flight.mode) else { return };
        if let Some(outcome) = self.finish_attempt(now, attempt, end, commands) {
            self.decide(now, mode, outcome, commands);
        }
    }

    /// Removes an attempt that has ended; returns its outcome as an event.
    fn finish_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        end: AttemptEnd,
        commands: &mut Vec<Command>,
    ) -> Option<Event> {
        let ended = self.in_flight.remove(&attempt)?;
        if let Some(open) = self.open_requests.get_mut(&attempt.request) {
            open.record_attempt_end(ended.sent, end.status);
        }
        let duration = now.saturating_duration_since(ended.sent);
        if ended.kind == AttemptKind::Sent {
            commands.extend(self.attempt_summary(attempt, &ended, end.status, duration));
        }
        Some(Event::AttemptOutcome(AttemptOutcome {
            request: attempt.request,
            attempt: attempt.number,
            endpoint: ended.endpoint,
            latency: duration,
            status: end.status,
            ended: !self.open_requests.contains_key(&attempt.request),
            note: end.cache_status,
            work: end.transfer_time_s,
        }))
    }

    /// The summary of an attempt for the log; `None` if its endpoint is no longer known.
    fn attempt_summary(
        &self,
        attempt: AttemptId,
        ended: &InFlightAttempt,
        status: AttemptStatus,
        duration: Duration,
    ) -> Option<Command> {
        let endpoint = self.endpoints.uid(ended.endpoint)?.clone();
        let source = ended.source.and_then(|source| self.endpoints.uid(source)).cloned();
        Some(Command::AttemptEnded(AttemptSummary { attempt, endpoint, source, status, duration }))
    }
}

/// What a response means for the attempt, and the final reply that it allows.
fn classify_response(response: AttemptResponse) -> (AttemptStatus, Option<Reply>) {
    match response {
        AttemptResponse::Data(digest, body) => (AttemptStatus::Ok, Some(Reply::Served(digest, body))),
        AttemptResponse::NotModified(digest) => (AttemptStatus::Ok, Some(Reply::NotModified(digest))),
        AttemptResponse::Absent => (AttemptStatus::Miss, None),
        AttemptResponse::AtCapacity => (AttemptStatus::Full, None),
        AttemptResponse::Failed | AttemptResponse::ProbeResult(_) => (AttemptStatus::Error, None),
        AttemptResponse::AlreadyCancelled => (AttemptStatus::Moot, None),
    }
}
