//! Attempts of requests at endpoints: starting an attempt, its response, failure, timeout or
//! cancellation, and its outcome.

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

/// The parameters of an attempt that is to be started.
#[derive(Debug)]
pub(super) struct NewAttempt {
    pub(super) request: RequestId,
    pub(super) endpoint: EndpointId,
    pub(super) timeout: Duration,
    pub(super) fill: CacheFill,
}

/// Whether this router sends an attempt itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptKind {
    /// This router sends the attempt and waits for the response.
    Sent,
    /// A lookup named the endpoint to its caller, which sends the request itself. The attempt
    /// counts as in flight for the latency objective of its class; this router gets no response to
    /// it.
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

/// How an attempt ended, and what its response says about the endpoint.
struct AttemptEnd {
    status: AttemptStatus,
    /// The time that the endpoint spent on the transfer of the response, in seconds, derived from
    /// the size of the body. `None` if the response carries no data or the throughput of a transfer
    /// is unknown.
    transfer_time_s: Option<f64>,
    /// The cache status that the endpoint reported, or `None`.
    cache_status: Option<CacheStatus>,
}

impl From<AttemptStatus> for AttemptEnd {
    fn from(status: AttemptStatus) -> AttemptEnd {
        AttemptEnd { status, transfer_time_s: None, cache_status: None }
    }
}

impl Router {
    /// Starts an attempt: sends it, or names its endpoint to the caller of a lookup. Returns the
    /// outcome if the attempt ended at once because the endpoint or its fill source is not ready.
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
            debug_assert!(false, "attempt for request {request}, which is closed or has one in flight");
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
            // The endpoint or its fill source is not ready, so the attempt is not sent.
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

    /// Cancels an attempt that was sent and returns its outcome. Returns `None` if the attempt has
    /// ended already or was only named to the caller of a lookup.
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

    /// Handles the response to an attempt: replies to the client if the response allows it, and
    /// ends the attempt.
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
        let is_undeliverable = matches!(response, AttemptResponse::Undeliverable { .. });
        let (status, reply) = classify_response(response);
        if is_awaited && is_open {
            if is_undeliverable {
                self.reject_undeliverable(now, attempt.request, commands);
            } else if let Some(reply) = reply {
                self.reply(now, attempt.request, reply, commands);
            }
        }
        // A cache status is ignored if the settings say that endpoints report none.
        let is_announced = self.settings.cache_status_reporting != CacheStatusReporting::None;
        let cache_status = cache_status.filter(|_| is_announced);
        self.end_attempt(now, attempt, AttemptEnd { status, transfer_time_s, cache_status }, commands);
    }

    /// Handles the failure of an attempt that got no response.
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
            AttemptFailure::ResponseDropped => AttemptStatus::Cancelled,
        };
        self.end_attempt(now, attempt, status.into(), commands);
    }

    /// Handles the timer of an attempt. An attempt that was sent has timed out and is cancelled. An
    /// attempt that was only named to the caller of a lookup no longer counts as in flight.
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

    pub(super) fn has_attempt_in_flight(&self, request: RequestId) -> bool {
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

    /// The latest time at which a retry with an idempotency key may be sent, which is nine tenths
    /// of the idempotency window after the first attempt that may have run. Like the decision
    /// module, this leaves the last tenth of the window for the transfer to the endpoint. `None` if
    /// the class has no idempotency key or no attempt may have run.
    fn retry_send_before(&self, class: u16, may_have_run_since: Option<Timestamp>) -> Option<Timestamp> {
        let class = &self.settings.classes[usize::from(class)];
        if class.idempotency != Idempotency::WithKey {
            return None;
        }
        let window = divide_to_micros(class.window, 10) * 9;
        may_have_run_since.map(|since| since + window)
    }

    /// Ends a lookup with the endpoint that was chosen. The attempt stays in flight for the latency
    /// objective of its class, because the caller is expected to send the request to that endpoint.
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

    /// Builds the command that cancels an attempt. A retry may follow if the request is still open.
    fn cancel_command(&self, attempt: AttemptId) -> Command {
        let may_retry = self.open_requests.contains_key(&attempt.request);
        Command::CancelAttempt { attempt, may_retry }
    }

    /// The transfer time of a response in seconds, derived from the size of its body. `None` if the
    /// response carries no data or the throughput of a transfer is unknown.
    fn transfer_time_s(&self, response: &AttemptResponse) -> Option<f64> {
        let bytes = match response {
            AttemptResponse::Data(_, body) => body.len(),
            AttemptResponse::Undeliverable { bytes } => *bytes,
            _ => return None,
        };
        Some(bytes as f64 / self.flow_bytes_per_s).filter(|seconds| seconds.is_finite())
    }

    /// Ends an attempt and passes its outcome to the decision module or the hint follower. Does
    /// nothing if the attempt has ended already, so late messages about an attempt are ignored.
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

    /// Removes an attempt from those in flight and, if it was sent, reports its end. Returns its
    /// outcome as an event, or `None` if the attempt has ended already.
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
        self.release_timers(attempt.request, commands);
        Some(Event::AttemptOutcome(AttemptOutcome {
            request: attempt.request,
            attempt: attempt.number,
            endpoint: ended.endpoint,
            latency: duration,
            status: end.status,
            request_finished: !self.open_requests.contains_key(&attempt.request),
            cache_status: end.cache_status,
            work: end.transfer_time_s,
        }))
    }

    /// Builds the summary of an attempt for the log, or returns `None` if its endpoint is no longer
    /// known.
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

/// The status of an attempt that got this response, and the final reply to the client if the
/// response allows one.
fn classify_response(response: AttemptResponse) -> (AttemptStatus, Option<Reply>) {
    match response {
        AttemptResponse::Data(digest, body) => (AttemptStatus::Ok, Some(Reply::Served(digest, body))),
        AttemptResponse::NotModified(digest) => (AttemptStatus::Ok, Some(Reply::NotModified(digest))),
        AttemptResponse::Undeliverable { .. } => (AttemptStatus::Ok, None),
        AttemptResponse::Absent => (AttemptStatus::Miss, None),
        AttemptResponse::AtCapacity => (AttemptStatus::Full, None),
        AttemptResponse::Failed | AttemptResponse::ProbeResult(_) => (AttemptStatus::Error, None),
        AttemptResponse::AlreadyCancelled => (AttemptStatus::Moot, None),
    }
}
