//! Handling of the end of an attempt: what the outcome shows of the endpoint and the fill source,
//! and whether the request is finished, retried or given up.

use crate::interface::{Action, AttemptOutcome, AttemptStatus, CacheStatus, SiblingCaches};
use crate::module::DecisionModule;
use crate::state::EndedAttempt;
use crate::time::Timestamp;

/// After this many errors at different parents and caches, the request itself is presumed to be
/// invalid.
const MAX_ERRORS_PER_REQUEST: usize = 3;

impl DecisionModule {
    /// Handles the outcome of an attempt; ignored if no such attempt is in flight.
    pub(crate) fn on_outcome(&mut self, now: Timestamp, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(ended) = self.end_attempt(now, outcome) else { return };
        self.detect_fault(now, &ended, actions);
        self.observe_origin_load(now, &ended);
        self.update_health(now, &ended);
        self.decide_next_step(now, &ended, actions);
    }

    /// Updates the health of the attempt's endpoint and fill source by the outcome.
    fn update_health(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let (attempt, outcome) = (&ended.attempt, &ended.outcome);
        match outcome.status {
            AttemptStatus::Ok => self.on_response(now, ended),
            AttemptStatus::Miss => {
                self.record_response(now, attempt.endpoint);
                // A miss that joined a fill in flight shows nothing of the source.
                if outcome.cache_status != Some(CacheStatus::Joined) {
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

    /// Records a successful response of the endpoint. It counts as a response of the fill source as
    /// well if the attempt was a fill, or if outcomes do not distinguish hits from fills.
    fn on_response(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let attempt = &ended.attempt;
        self.record_response(now, attempt.endpoint);
        self.attribute_errors(now, attempt);
        let cache_status = ended.outcome.cache_status;
        let was_filled = matches!(cache_status, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin));
        if let Some(source) = attempt.fill_source.filter(|_| was_filled || self.hits_unreported()) {
            self.record_response(now, source);
        }
        self.record_overdue_parent(now, attempt, false);
        self.learn_from_response(now, ended);
    }

    /// Finishes the request, gives it up, or sends a further attempt.
    ///
    /// A request is given up if a retry is hopeless and no attempt is in flight. One retry is still
    /// made if the class has a grace period and only one attempt was made, because a stale copy may
    /// serve it. A cancelled attempt is not replaced while another one is in flight.
    fn decide_next_step(&mut self, now: Timestamp, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let outcome = &ended.outcome;
        let id = outcome.request;
        let Some(open) = self.requests.get(&id) else { return };
        let has_too_many_errors = open.failed_attempts().len() >= MAX_ERRORS_PER_REQUEST;
        let is_hopeless = has_too_many_errors || self.retry_is_hopeless(ended);
        let has_no_grace = self.settings.class(&open.request).grace.is_zero();
        let is_retry = open.attempts.len() > 1;
        let no_stale_copy_expected = has_too_many_errors || has_no_grace || is_retry;
        let is_in_flight = open.in_flight() > 0;
        if outcome.request_finished || outcome.status == AttemptStatus::Ok || open.is_finished {
            self.finish(id, actions);
        } else if is_hopeless && no_stale_copy_expected && !is_in_flight {
            self.give_up(now, id, actions);
        } else if !is_in_flight || outcome.status != AttemptStatus::Cancelled {
            self.advance(now, id, actions);
        }
    }

    /// Whether no other endpoint is likely to serve the request. True in three cases:
    ///
    /// - A parent at capacity refused the fill, and caches of other zones may not fill it: other
    ///   parents would have to fetch from the origin what that parent holds. A refusal without a
    ///   reported cause counts as one if it came within less than a connect timeout.
    /// - The request was to be served from copies alone, and there is no copy.
    /// - The origin failed behind a parent: other parents use the same origin.
    fn retry_is_hopeless(&self, ended: &EndedAttempt) -> bool {
        let (attempt, cache_status) = (&ended.attempt, ended.outcome.cache_status);

        let is_early = ended.outcome.latency < self.settings.connect_timeout;
        let source_refused =
            cache_status == Some(CacheStatus::SourceRefused) || self.is_cause_unreported(ended) && is_early;
        let siblings_excluded = self.settings.sibling_caches != SiblingCaches::Any;
        let fill_is_refused = source_refused && siblings_excluded;

        let had_no_source = attempt.fill_source.is_none() || attempt.only_if_cached;
        let has_no_copy = ended.outcome.status == AttemptStatus::Miss && had_no_source;

        let origin_failed = cache_status == Some(CacheStatus::OriginFailed);

        fill_is_refused || has_no_copy || origin_failed
    }
}
