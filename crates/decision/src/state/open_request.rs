//! Open requests and their attempts. A request stays open until it is finished and all of its
//! attempts have ended.

use crate::interface::{Action, AttemptOutcome, EndpointEntry, EndpointId, Request, RequestId};
use crate::module::DecisionModule;
use crate::state::endpoint::{FILL_LOAD_WINDOW, LOAD_WINDOW};
use crate::state::timer_token::TimerToken;
use crate::time::{divide_to_micros, span_from_secs, Timestamp};
use rand_core::RngCore;
use std::collections::BTreeSet;

/// An attempt that names a parent cache counts as a fill in flight at that parent once it has been
/// in flight for this multiple of its expected sending time. The outcome would tell a hit from a
/// fill only at the end of the attempt, if at all.
const FILL_CHECK_SENDING_TIMES: f64 = 1.0;
/// A recovery probe is overdue after 1/2 of the time after which another attempt would be.
const RECOVERY_PROBE_DIVISOR: u64 = 2;

/// Identifies an attempt by its request and its number, from 0 in the order of sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) attempt: usize,
}

/// An attempt to have an endpoint serve a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) endpoint: EndpointId,
    /// Source of a fill; `None` if the attempt has none or is sent to the source itself.
    pub(crate) fill_source: Option<EndpointId>,
    pub(crate) sent_at: Timestamp,
    /// Whether the outcome is still missing.
    pub(crate) in_flight: bool,
    /// Whether the attempt was recorded as long overdue, or as overdue through a failed endpoint.
    pub(crate) overdue_recorded: bool,
    /// Whether the attempt counts as a fill in flight at its source.
    pub(crate) counted_at_source: bool,
    /// Whether the attempt counts as in flight at its endpoint.
    pub(crate) counted_at_endpoint: bool,
    /// Whether the endpoint is ejected and this attempt decides on its readmission.
    pub(crate) is_recovery_probe: bool,
    /// Whether the attempt returned an error.
    pub(crate) failed: bool,
    /// Whether the attempt ended because its connection broke or was refused, so that the endpoint's
    /// process may have ended.
    pub(crate) process_may_have_ended: bool,
    /// Whether the fill source was to serve only what it holds, without a fetch of its own.
    pub(crate) only_if_cached: bool,
}

/// An attempt that has ended, with its request and its outcome.
#[derive(Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) request: Request,
    pub(crate) is_write: bool,
    pub(crate) attempt: Attempt,
    pub(crate) outcome: AttemptOutcome,
}

/// The endpoint and sending time of a request's first attempt that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub(crate) sent_at: Timestamp,
    pub(crate) endpoint: EndpointId,
}

/// A request that is not finished, or whose attempts have not all ended.
#[derive(Debug, Default)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// Hash of the object and its part; determines the order of endpoints.
    pub(crate) hash_key: u64,
    /// Whether the request or its class is marked as a write.
    pub(crate) is_write: bool,
    /// Random number drawn when the request arrived; selects the replica, and whether the request
    /// is shed.
    pub(crate) random_draw: u64,
    /// Maximum number of attempts: the lower of the limits at acceptance and now.
    pub(crate) max_attempts: u32,
    /// Whether the final answer was given; only outcomes of attempts are still expected.
    pub(crate) is_finished: bool,
    /// Whether a streamed response has begun. The attempt belongs to the client then and is neither
    /// repeated nor cancelled.
    pub(crate) is_streaming: bool,
    /// Whether a copy past its freshness may be served, because a fill source has failed.
    pub(crate) accepts_stale: bool,
    /// Whether a parent cache has refused a fill for lack of capacity.
    pub(crate) fill_refused: bool,
    /// Whether the response of the last attempt is presumed lost, so that the request is sent to
    /// the same endpoint again.
    pub(crate) response_lost: bool,
    /// Attempts by number, ended ones included.
    pub(crate) attempts: Vec<Attempt>,
    /// `None` as long as it is certain that no attempt has run.
    pub(crate) first_possible_run: Option<PossibleRun>,
    /// Endpoints that later attempts use neither as endpoint nor as fill source.
    pub(crate) avoided: BTreeSet<EndpointId>,
}

impl OpenRequest {
    /// Number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// The attempt with the number `index`; `None` if it is not in flight.
    pub(crate) fn in_flight_attempt(&self, index: usize) -> Option<&Attempt> {
        self.attempts.get(index).filter(|attempt| attempt.in_flight)
    }

    /// The number of an attempt in flight other than `index`.
    pub(crate) fn other_in_flight(&self, index: usize) -> Option<usize> {
        (0..self.attempts.len()).find(|other| *other != index && self.attempts[*other].in_flight)
    }

    /// The attempts in flight that are not recorded as overdue.
    pub(crate) fn unrecorded_in_flight(&self) -> Vec<Attempt> {
        let is_unrecorded = |attempt: &&Attempt| attempt.in_flight && !attempt.overdue_recorded;
        self.attempts.iter().filter(is_unrecorded).cloned().collect()
    }

    /// Whether an attempt with this fill source returned an error.
    pub(crate) fn has_failed_with_source(&self, source: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.failed && attempt.fill_source == Some(source))
    }

    /// Whether the process that runs at an endpoint may be another one than at the request's attempts
    /// there: a connection to it broke or was refused, or it was started since.
    pub(crate) fn may_have_new_process(&self, endpoint: &EndpointEntry) -> bool {
        let mut attempts = self.attempts.iter().filter(|attempt| attempt.endpoint == endpoint.id);
        attempts.any(|attempt| attempt.process_may_have_ended || endpoint.started > attempt.sent_at)
    }

    /// The attempts that returned an error.
    pub(crate) fn failed_attempts(&self) -> Vec<Attempt> {
        self.attempts.iter().filter(|attempt| attempt.failed).cloned().collect()
    }

    /// Avoids the parent cache instead of the caches at which attempts with it failed.
    pub(crate) fn avoid_shared_parent(&mut self, parent: EndpointId) {
        let attempts = &self.attempts;
        self.avoided.retain(|avoided| attempts.iter().all(|attempt| attempt.endpoint != *avoided));
        self.avoided.insert(parent);
    }

    /// Whether the next attempt is a retry: an attempt was already sent.
    pub(crate) fn is_retry(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Records that an attempt may have run. Only the first such attempt is kept.
    pub(crate) fn record_possible_run(&mut self, attempt: &Attempt) {
        let run = PossibleRun { sent_at: attempt.sent_at, endpoint: attempt.endpoint };
        self.first_possible_run = self.first_possible_run.or(Some(run));
    }
}

impl DecisionModule {
    /// Registers an accepted request and makes its random draw.
    pub(crate) fn register(&mut self, request: Request, hash_key: u64) {
        let class = usize::from(request.class);
        if let Some(work) = self.settings.known_work(&request) {
            self.service_times[class].record_known_size(work);
        }
        let id = request.id;
        let open = OpenRequest {
            is_write: request.write || self.settings.classes[class].write,
            request,
            hash_key,
            random_draw: self.rng.next_u64(),
            max_attempts: self.settings.max_attempts,
            ..OpenRequest::default()
        };
        self.requests.insert(id, open);
    }

    /// Registers an attempt that is sent, and sets its timers: one for the time at which it is
    /// overdue, and, if its source is a parent cache, one for the time at which it counts as a fill
    /// there.
    pub(crate) fn begin_attempt(&mut self, attempt: Attempt, actions: &mut Vec<Action>) {
        let id = attempt.id;
        let Some(open) = self.requests.get(&id.request) else { return };
        let divisor = if attempt.is_recovery_probe { RECOVERY_PROBE_DIVISOR } else { 1 };
        let overdue_after = divide_to_micros(self.overdue_after(&open.request), divisor);
        actions.push(Action::timer(overdue_after, TimerToken::Overdue(id).encode()));
        if self.endpoints.parent_source(&attempt).is_some() {
            let fill_after = self.expected_work(&open.request) * FILL_CHECK_SENDING_TIMES;
            let token = TimerToken::FillCheck(id).encode();
            actions.push(Action::timer(span_from_secs(fill_after), token));
        }
        let work = self.mean_work(&open.request);
        self.endpoints.begin_attempt(&attempt, self.settings.overload_window, work);
        if let Some(open) = self.requests.get_mut(&id.request) {
            open.attempts.push(attempt);
        }
    }

    /// Records that an overdue attempt may have run, before its request is sent again. If its
    /// response is presumed lost, the attempt no longer counts as load of its endpoint.
    pub(crate) fn release_overdue(&mut self, now: Timestamp, id: AttemptId, is_lost: bool) {
        let Some(open) = self.requests.get_mut(&id.request) else { return };
        let attempt = open.attempts[id.attempt].clone();
        open.record_possible_run(&attempt);
        if is_lost && attempt.counted_at_endpoint {
            open.attempts[id.attempt].counted_at_endpoint = false;
            if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
                endpoint.decrement_in_flight(now, LOAD_WINDOW);
            }
        }
    }

    /// The request if it is open, not answered and not streaming.
    pub(crate) fn unanswered_request(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id).filter(|open| !open.is_finished && !open.is_streaming)
    }

    /// Marks an attempt as ended. Returns `None` if no such attempt is in flight.
    pub(crate) fn end_attempt(&mut self, now: Timestamp, outcome: AttemptOutcome) -> Option<EndedAttempt> {
        let open = self.requests.get_mut(&outcome.request)?;
        let attempt = open.attempts.get_mut(usize::from(outcome.attempt)).filter(|a| a.in_flight)?;
        attempt.in_flight = false;
        attempt.process_may_have_ended = outcome.status.process_may_have_ended();
        let attempt = attempt.clone();
        if !outcome.status.never_ran() {
            open.record_possible_run(&attempt);
        }
        self.endpoints.end_attempt(now, &attempt, &outcome);
        Some(EndedAttempt { request: open.request.clone(), is_write: open.is_write, attempt, outcome })
    }

    /// Marks a request as finished and cancels its attempts in flight, unless the response is
    /// streaming. The request is removed once all of its attempts have ended.
    pub(crate) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if !open.is_finished && self.settings.cancel && !open.is_streaming {
            let in_flight = (0..open.attempts.len()).filter(|index| open.attempts[*index].in_flight);
            actions.extend(in_flight.map(|index| Action::cancel(id, index)));
        }
        open.is_finished = true;
        if open.in_flight() == 0 {
            self.requests.remove(&id);
        }
    }

    /// Records that a streamed response has begun; ignored if the attempt is not in flight.
    pub(crate) fn on_stream_started(&mut self, request: RequestId, attempt: usize) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.is_streaming = open.attempts.get(attempt).is_some_and(|attempt| attempt.in_flight);
        }
    }

    /// Excludes an endpoint, if there is one, from later attempts of the request.
    pub(crate) fn avoid(&mut self, id: RequestId, endpoint: Option<EndpointId>) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.avoided.extend(endpoint);
        }
    }

    /// Counts an attempt as a fill in flight at its source, because it has been in flight for its
    /// expected sending time: it is a fill, or waits as long as one.
    pub(crate) fn on_fill_check(&mut self, now: Timestamp, id: AttemptId) {
        let open = self.requests.get_mut(&id.request);
        let attempt = open.and_then(|open| open.attempts.get_mut(id.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else { return };
        let source = attempt.fill_source.and_then(|source| self.endpoints.get_mut(source));
        if let Some(source) = source {
            attempt.counted_at_source = true;
            source.increment_in_flight(now, FILL_LOAD_WINDOW);
        }
    }
}
