//! What the module learns from the end of an attempt, apart from the health of endpoints.

use crate::interface::{AttemptStatus, CacheStatus, CacheStatusReporting};
use crate::module::DecisionModule;
use crate::state::open_request::{Attempt, EndedAttempt};
use crate::time::Timestamp;

/// Likelihood that a response is lost which is long overdue: lost, or waiting for a fill, only
/// sending again tells.
const OVERDUE_LOST_LIKELIHOOD: f64 = 0.5;

/// What an overdue attempt comes to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverdueFinding {
    /// Its endpoint or source has failed.
    pub(crate) is_attributed: bool,
    /// Its response is presumed lost.
    pub(crate) is_lost: bool,
    /// It is overdue for as long again as it takes to be overdue.
    pub(crate) is_long_overdue: bool,
}

impl DecisionModule {
    /// Learns lateness, service time and lost responses from a response.
    pub(crate) fn learn_from_response(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let (attempt, outcome) = (&ended.attempt, &ended.outcome);
        let endpoint = self.endpoints.get(attempt.endpoint);
        let slowdown = endpoint.map_or(1.0, |endpoint| self.slowdown(now, endpoint));
        self.record_lateness(&ended.request, attempt.endpoint, outcome.latency);
        self.record_service_time(&ended.request, outcome, slowdown);
        let open = self.requests.get(&outcome.request);
        if open.is_some_and(|open| open.response_lost && outcome.attempt > 0) {
            // A hit: the first attempt had been served. A fill: it was still on its way.
            let was_lost = outcome.note == Some(CacheStatus::Hit);
            self.lost_responses.record(if was_lost { 1.0 } else { 0.0 });
        }
        self.lost_responses.record(0.0);
    }

    /// Learns latency and lost responses from an attempt that is overdue, once for each attempt.
    /// Returns whether its parent counts as overdue.
    pub(crate) fn learn_from_overdue(&mut self, attempt: &Attempt, finding: OverdueFinding) -> bool {
        let id = attempt.id;
        let Some(open) = self.requests.get_mut(&id.request) else { return false };
        let class = usize::from(open.request.class);
        open.response_lost = finding.is_lost;
        open.attempts[id.attempt].overdue_recorded |= finding.is_attributed || finding.is_long_overdue;
        if attempt.overdue_recorded {
            return false;
        }
        if finding.is_attributed {
            let tail = self.lost_responses.latency_tail();
            self.service_times[class].adjust_latency_quantile(true, tail);
            return false;
        }
        if finding.is_long_overdue {
            self.lost_responses.record(OVERDUE_LOST_LIKELIHOOD);
        }
        finding.is_long_overdue
    }

    /// Whether a refusal comes without its cause, where causes are not reported.
    pub(crate) fn is_cause_unreported(&self, ended: &EndedAttempt) -> bool {
        ended.outcome.status == AttemptStatus::Full
            && ended.outcome.note.is_none()
            && self.settings.cache_status_reporting != CacheStatusReporting::All
    }

    /// Whether a response does not say if it is a hit or a fill.
    pub(crate) fn hits_unreported(&self) -> bool {
        self.settings.cache_status_reporting == CacheStatusReporting::None
    }
}
