//! Handling of overdue attempts and of deadlines: decides whether an attempt without a response is
//! abandoned, and whether the request is sent again to the same endpoint or to another one.

use crate::interface::{Action, Idempotency, RequestId};
use crate::module::DecisionModule;
use crate::state::{Attempt, AttemptId, OverdueFinding, TimerToken};
use crate::time::{divide_to_micros, Timestamp};
use std::time::Duration;

/// Share of lost responses above which the response of an overdue attempt is presumed lost, so that
/// the request is sent to the same endpoint again.
const LOST_THRESHOLD: f64 = 0.04;
/// The same where outcomes do not report hits. It is higher because a slow fill under overload
/// looks like a lost response, and sending the request again would restart the fill.
const LOST_THRESHOLD_HITS_UNREPORTED: f64 = 0.12;
/// An attempt is long overdue after this multiple of the time after which it is overdue.
const LONG_OVERDUE_FACTOR: u32 = 2;
/// An overdue attempt is checked again after half of the time after which it is overdue.
const RECHECK_DIVISOR: u64 = 2;
/// Minimum time to the deadline for which an overdue request is sent again.
const MIN_TIME_TO_RESEND: Duration = Duration::from_millis(50);

impl DecisionModule {
    /// Handles the deadline of a request that is not answered: counts its attempts in flight as
    /// overdue at their parents, and gives the final answer.
    pub(crate) fn on_deadline(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.unanswered_request(id) else { return };
        for attempt in &open.unrecorded_in_flight() {
            self.record_overdue_parent(now, attempt, true);
        }
        self.give_up(now, id, actions);
    }

    /// Handles an attempt that has just become overdue, or is still without a response at a later
    /// check. Ignored if the request is answered or the attempt has ended.
    ///
    /// The request is sent again if the attempt's endpoint or parent has failed and no other
    /// attempt is in flight, or if the response is presumed lost. Non-idempotent requests are never
    /// sent again. Without hedged requests, the attempt is cancelled instead, and its outcome leads
    /// to the next attempt.
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

        let next_check = divide_to_micros(overdue_after, RECHECK_DIVISOR);
        let needs_check = !finding.is_attributed || !self.settings.hedging_allowed;
        if time_left > next_check && needs_check {
            actions.push(Action::timer(next_check, TimerToken::Overdue(id).encode()));
        }

        let has_failed_alone = finding.is_attributed && other_in_flight.is_none();
        let should_resend = has_failed_alone || finding.is_lost;
        if should_resend && may_repeat && time_left > MIN_TIME_TO_RESEND {
            self.release_overdue(now, id, finding.is_lost);
            self.resend(now, id, other_in_flight, actions);
        }
        self.log_ejected(now, actions);
    }

    /// Determines why an attempt is overdue: its endpoint or parent has certainly failed or is
    /// ejected, or else, where enough responses get lost, its response is presumed lost.
    fn examine_overdue(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        is_long_overdue: bool,
    ) -> OverdueFinding {
        let parent = self.endpoints.parent_source(attempt);
        let endpoint_ejected = self.endpoints.is_ejected(attempt.endpoint);
        let uses_ejected = endpoint_ejected || parent.is_some_and(|id| self.endpoints.is_ejected(id));
        let is_attributed = self.attribute_overdue(now, attempt) || uses_ejected;
        let threshold = if self.hits_unreported() { LOST_THRESHOLD_HITS_UNREPORTED } else { LOST_THRESHOLD };
        let is_lost = !is_attributed && self.lost_responses.share > threshold;
        OverdueFinding { is_attributed, is_lost, is_long_overdue }
    }

    /// Sends the request of an overdue attempt again, with at most two attempts in flight. With
    /// hedged requests, `other`, the number of another attempt in flight, is cancelled and the next
    /// attempt is sent. Without them, the overdue attempt is cancelled; its outcome leads to the
    /// next attempt.
    fn resend(&mut self, now: Timestamp, id: AttemptId, other: Option<usize>, actions: &mut Vec<Action>) {
        let hedging_allowed = self.settings.hedging_allowed;
        let to_cancel = if hedging_allowed { other } else { Some(id.attempt) };
        if let Some(index) = to_cancel.filter(|_| self.settings.cancel) {
            actions.push(Action::cancel(id.request, index));
        }
        if hedging_allowed {
            self.advance(now, id.request, actions);
        }
    }
}
