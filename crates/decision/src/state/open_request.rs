//! Requests that are not accounted for yet, and their attempts.

use crate::interface::{Action, AttemptOutcome, EndpointId, Request, RequestId};
use crate::module::DecisionModule;
use crate::state::endpoint::{FILL_LOAD_WINDOW, LOAD_WINDOW};
use crate::state::timer_token::TimerToken;
use crate::time::{divide_to_micros, span_from_secs, Timestamp};
use rand_core::RngCore;
use std::collections::BTreeSet;

/// Hits are distinguished from fills at their end at the earliest: an attempt that has been in
/// flight for this many of its class's mean sending times counts as a fill in flight at the parent
/// cache that it names.
const FILL_CHECK_SENDING_TIMES: f64 = 1.0;
/// A recovery probe request is checked this many times sooner for being overdue.
const RECOVERY_PROBE_DIVISOR: u64 = 2;

/// Identifies an attempt: its request and its number, from 0 in the order of sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) attempt: usize,
}

/// An attempt at an endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) endpoint: EndpointId,
    pub(crate) fill_source: Option<EndpointId>,
    pub(crate) sent_at: Timestamp,
    /// No outcome has come yet.
    pub(crate) in_flight: bool,
    /// It was overdue for long, and that has been recorded.
    pub(crate) overdue_recorded: bool,
    /// It counts as a fill in flight at its source.
    pub(crate) counted_at_source: bool,
    /// It counts as in flight at its endpoint.
    pub(crate) counted_at_endpoint: bool,
    /// Its endpoint is ejected, and this attempt decides on the readmission.
    pub(crate) is_recovery_probe: bool,
    /// It ended with an error.
    pub(crate) failed: bool,
    /// Its source was to give only what it holds.
    pub(crate) only_if_cached: bool,
}

/// An attempt that has ended, with its request and what came back.
#[derive(Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) request: Request,
    pub(crate) is_write: bool,
    pub(crate) attempt: Attempt,
    pub(crate) outcome: AttemptOutcome,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub(crate) sent_at: Timestamp,
    pub(crate) endpoint: EndpointId,
}

/// A request that is not accounted for yet.
#[derive(Debug, Default)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// Hash of the object and its part.
    pub(crate) hash_key: u64,
    pub(crate) is_write: bool,
    /// The random draw among the replicas that the object's level opens.
    pub(crate) random_draw: u64,
    pub(crate) max_attempts: u32,
    /// The final answer is given; only outcomes are awaited.
    pub(crate) is_finished: bool,
    /// A streamed response has begun; the client owns the attempt.
    pub(crate) is_streaming: bool,
    /// A source failed: a copy past its fresh time is better than none.
    pub(crate) accepts_stale: bool,
    /// A parent cache had no capacity for its fill.
    pub(crate) fill_refused: bool,
    /// The last attempt's response is presumed lost: the request is sent to the same endpoint
    /// again.
    pub(crate) response_lost: bool,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) first_possible_run: Option<PossibleRun>,
    /// Endpoints and sources that this request does not use again.
    pub(crate) avoided: BTreeSet<EndpointId>,
}

impl OpenRequest {
    /// Number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// The attempt of that number, if it is in flight.
    pub(crate) fn in_flight_attempt(&self, index: usize) -> Option<&Attempt> {
        self.attempts.get(index).filter(|attempt| attempt.in_flight)
    }

    /// An attempt in flight beside the one of that number.
    pub(crate) fn other_in_flight(&self, index: usize) -> Option<usize> {
        (0..self.attempts.len()).find(|other| *other != index && self.attempts[*other].in_flight)
    }

    /// Attempts in flight that are not recorded as overdue.
    pub(crate) fn unrecorded_in_flight(&self) -> Vec<Attempt> {
        let is_unrecorded = |attempt: &&Attempt| attempt.in_flight && !attempt.overdue_recorded;
        self.attempts.iter().filter(is_unrecorded).cloned().collect()
    }

    /// Whether an attempt with that source ended with an error.
    pub(crate) fn has_failed_with_source(&self, source: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.failed && attempt.fill_source == Some(source))
    }

    /// Attempts that ended with an error.
    pub(crate) fn failed_attempts(&self) -> Vec<Attempt> {
        self.attempts.iter().filter(|attempt| attempt.failed).cloned().collect()
    }

    /// Both caches that failed may be used again; the parent cache of both is not.
    pub(crate) fn avoid_shared_parent(&mut self, parent: EndpointId) {
        let attempts = &self.attempts;
        self.avoided.retain(|avoided| attempts.iter().all(|attempt| attempt.endpoint != *avoided));
        self.avoided.insert(parent);
    }

    /// Whether attempts are already made.
    pub(crate) fn is_retry(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// The endpoint and time of an attempt that may have run; the first one counts.
    pub(crate) fn record_possible_run(&mut self, attempt: &Attempt) {
        let run = PossibleRun { sent_at: attempt.sent_at, endpoint: attempt.endpoint };
        self.first_possible_run = self.first_possible_run.or(Some(run));
    }
}

impl DecisionModule {
    /// Registers a request of a client.
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

    /// Registers an attempt that is sent, and sets its timers: when it is overdue, and when it
    /// counts as a fill at its source, if that is a parent cache.
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

    /// An overdue attempt that is sent again elsewhere may have run; what is lost is no load.
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

    /// A request that is still to be answered.
    pub(crate) fn unanswered_request(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id).filter(|open| !open.is_finished && !open.is_streaming)
    }

    /// Marks an attempt as ended; none if no such attempt is in flight.
    pub(crate) fn end_attempt(&mut self, now: Timestamp, outcome: AttemptOutcome) -> Option<EndedAttempt> {
        let open = self.requests.get_mut(&outcome.request)?;
        let attempt = open.attempts.get_mut(usize::from(outcome.attempt)).filter(|a| a.in_flight)?;
        attempt.in_flight = false;
        let attempt = attempt.clone();
        if !outcome.status.never_ran() {
            open.record_possible_run(&attempt);
        }
        self.endpoints.end_attempt(now, &attempt, &outcome);
        Some(EndedAttempt { request: open.request.clone(), is_write: open.is_write, attempt, outcome })
    }

    /// Ends a request here; attempts still in flight are cancelled and then only accounted for.
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

    /// A streamed response has begun.
    pub(crate) fn on_stream_started(&mut self, request: RequestId, attempt: usize) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.is_streaming = open.attempts.get(attempt).is_some_and(|attempt| attempt.in_flight);
        }
    }

    /// This request does not use that endpoint or source again.
    pub(crate) fn avoid(&mut self, id: RequestId, endpoint: Option<EndpointId>) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.avoided.extend(endpoint);
        }
    }

    /// The attempt has been in flight for as long as its like take to be sent: it is a fill, or
    /// waits like one.
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
