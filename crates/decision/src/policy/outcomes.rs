//! What comes back from an attempt: what it says of endpoint and source, and what becomes of the request.

use crate::interface::{Action, AttemptOutcome, AttemptStatus, CacheStatus, SiblingCaches};
use crate::module::DecisionModule;
use crate::state::EndedAttempt;
use crate::time::Timestamp;

/// So many errors of one request, at different parents and caches, say that the request itself is the cause.
const MAX_ERRORS_PER_REQUEST: usize = 3;

impl DecisionModule {
    /// An attempt has ended.
    pub(crate) fn on_outcome(&mut self, now: Timestamp, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(ended) = self.end_attempt(now, outcome) else { return };
        self.detect_fault(now, &ended, actions);
        self.observe_origin_load(now, &ended);
        self.judge_endpoints(now, &ended);
        self.decide_next_step(now, &ended, actions);
    }

    /// What the outcome says of the attempt's endpoint and source.
    fn judge_endpoints(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let (attempt, outcome) = (&ended.attempt, &ended.outcome);
        match outcome.status {
            AttemptStatus::Ok => self.on_response(now, ended),
            AttemptStatus::Miss => {
                self.record_response(now, attempt.endpoint);
                if outcome.note != Some(CacheStatus::Joined) {
                    self.avoid(outcome.request, attempt.fill_source);
                }
            }
            AttemptStatus::Full => self.on_refusal(now, ended),
            AttemptStatus::Error => self.on_error(attempt),
            AttemptStatus::Reset | AttemptStatus::ConnectFailed | AttemptStatus::Unreached => {
                self.on_connection_failure(now, ended);
            }
            AttemptStatus::Timeout => {
                self.record_lateness(&ended.request, attempt.endpoint, outcome.latency);
                if !self.attribute_overdue(now, attempt) && !attempt.overdue_recorded {
                    self.record_overdue_parent(now, attempt, true);
                }
            }
            AttemptStatus::Cancelled | AttemptStatus::Moot => {}
        }
    }

    fn on_response(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let attempt = &ended.attempt;
        self.record_response(now, attempt.endpoint);
        self.attribute_errors(now, attempt);
        let note = ended.outcome.note;
        let was_filled = matches!(note, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin));
        if let Some(source) = attempt.fill_source.filter(|_| was_filled || self.hits_unreported()) {
            self.record_response(now, source);
        }
        self.record_overdue_parent(now, attempt, false);
        self.learn_from_response(now, ended);
    }

    /// Ends the request, gives it up, or sends a further attempt.
    fn decide_next_step(&mut self, now: Timestamp, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let outcome = &ended.outcome;
        let id = outcome.request;
        let Some(open) = self.requests.get(&id) else { return };
        let errors = open.failed_attempts().len();
        let has_too_many_errors = errors >= MAX_ERRORS_PER_REQUEST;
        let is_hopeless = has_too_many_errors || self.retry_is_hopeless(ended);
        // After a first failure a stale copy may yet do.
        let has_no_grace = self.settings.class(&open.request).grace.is_zero();
        let is_last = has_too_many_errors || has_no_grace || open.attempts.len() > 1;
        let is_in_flight = open.in_flight() > 0;
        if outcome.ended || outcome.status == AttemptStatus::Ok || open.is_finished {
            self.finish(id, actions);
        } else if is_hopeless && is_last && !is_in_flight {
            self.give_up(now, id, actions);
        } else if !is_in_flight || outcome.status != AttemptStatus::Cancelled {
            self.advance(now, id, actions);
        }
    }

    /// Whether no other endpoint could serve the request either.
    fn retry_is_hopeless(&self, ended: &EndedAttempt) -> bool {
        let (attempt, note) = (&ended.attempt, ended.outcome.note);
        // The parent is at capacity: the others would have to fetch from the origin what it holds.
        let is_early = ended.outcome.latency < self.settings.connect_timeout;
        let source_refused =
            note == Some(CacheStatus::SourceRefused) || self.is_cause_unreported(ended) && is_early;
        let no_sibling = self.settings.sibling_caches != SiblingCaches::Any;
        // It was to be served from copies alone, and there is none.
        let had_no_source = attempt.fill_source.is_none() || attempt.only_if_cached;
        let has_no_copy = ended.outcome.status == AttemptStatus::Miss && had_no_source;
        // The origin failed behind a parent: other parents go to the same one.
        let origin_failed = note == Some(CacheStatus::OriginFailed);
        source_refused && no_sibling || has_no_copy || origin_failed
    }
}
