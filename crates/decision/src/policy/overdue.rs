//! What becomes of an attempt that is overdue, and of a request whose deadline has come.

use crate::interface::{Action, Idempotency, RequestId};
use crate::module::DecisionModule;
use crate::state::{Attempt, AttemptId, OverdueFinding, TimerToken};
use crate::time::{divide_to_micros, Timestamp};
use std::time::Duration;

/// From this share of lost responses on, an overdue attempt is sent again to the same endpoint...
const LOST_THRESHOLD: f64 = 0.04;
/// ...and from this on where hits are not reported: a fill under overload looks lost too, and would start
/// anew.
const LOST_THRESHOLD_HITS_UNREPORTED: f64 = 0.12;
/// An attempt is long overdue after this many times the time after which it is overdue.
const LONG_OVERDUE_FACTOR: u32 = 2;
/// An attempt is moved only where the request has more time left than this.
const MIN_TIME_TO_MOVE: Duration = Duration::from_millis(50);

impl DecisionModule {
    /// The deadline of a request has come.
    pub(crate) fn on_deadline(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.unanswered_request(id) else { return };
        for attempt in &open.unrecorded_in_flight() {
            self.record_overdue_parent(now, attempt, true);
        }
        self.give_up(now, id, actions);
    }

    /// An attempt is overdue, or still is.
    pub(crate) fn on_overdue(&mut self, now: Timestamp, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(open) = self.unanswered_request(id.request) else { return };
        let Some(attempt) = open.in_flight_attempt(id.attempt).cloned() else { return };
        let may_repeat = self.settings.class(&open.request).idempotency != Idempotency::NotIdempotent;
        let overdue_after = self.overdue_after(&open.request);
        let other_in_flight = open.other_in_flight(id.attempt);
        let time_left = open.request.deadline.saturating_duration_since(now);
        let is_long_overdue = now >= attempt.sent_at + LONG_OVERDUE_FACTOR * overdue_after;
        let finding = self.examine_overdue(now, &attempt, is_long_overdue);
        if self.learn_from_overdue(&attempt, finding) {
            self.record_overdue_parent(now, &attempt, true);
        }
        let next_check = divide_to_micros(overdue_after, 2);
        if time_left > next_check && (!finding.is_attributed || !self.settings.hedging_allowed) {
            actions.push(Action::timer(next_check, TimerToken::Overdue(id).encode()));
        }
        let should_move = finding.is_attributed && other_in_flight.is_none() || finding.is_lost;
        if should_move && may_repeat && time_left > MIN_TIME_TO_MOVE {
            self.release_overdue(now, id, finding.is_lost);
            self.resend(now, id, other_in_flight, actions);
        }
        self.log_ejected(now, actions);
    }

    fn examine_overdue(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        is_long_overdue: bool,
    ) -> OverdueFinding {
        let source = self.endpoints.parent_source(attempt);
        let uses_ejected = self.endpoints.is_ejected(attempt.endpoint)
            || source.is_some_and(|s| self.endpoints.is_ejected(s));
        let is_attributed = self.attribute_overdue(now, attempt) || uses_ejected;
        let threshold = if self.hits_unreported() { LOST_THRESHOLD_HITS_UNREPORTED } else { LOST_THRESHOLD };
        let is_lost = !is_attributed && self.lost_responses.share > threshold;
        OverdueFinding { is_attributed, is_lost, is_long_overdue }
    }

    /// Sends the request again. Two attempts at most are in flight: the other one, or this one, is cancelled.
    fn resend(&mut self, now: Timestamp, id: AttemptId, other: Option<usize>, actions: &mut Vec<Action>) {
        let hedging_allowed = self.settings.hedging_allowed;
        let cancelled = if hedging_allowed { other } else { Some(id.attempt) };
        if let Some(index) = cancelled.filter(|_| self.settings.cancel) {
            actions.push(Action::cancel(id.request, index));
        }
        if hedging_allowed {
            self.advance(now, id.request, actions);
        }
    }
}
