//! Updates of estimates at the end of an attempt, or when an attempt is overdue. The health of
//! endpoints is updated in `policy`.

use crate::interface::{AttemptStatus, CacheStatus, CacheStatusReporting};
use crate::module::DecisionModule;
use crate::state::open_request::{Attempt, EndedAttempt};
use crate::time::Timestamp;

/// Likelihood that the response of a long overdue attempt is lost. It may also be waiting for a
/// fill; only sending the request again would tell.
const OVERDUE_LOST_LIKELIHOOD: f64 = 0.5;

/// Why an attempt is overdue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverdueFinding {
    /// Whether the attempt's endpoint or parent cache has failed.
    pub(crate) is_attributed: bool,
    /// Whether the response is presumed lost.
    pub(crate) is_lost: bool,
    /// Whether the attempt has taken at least twice the time after which it is overdue.
    pub(crate) is_long_overdue: bool,
}

impl DecisionModule {
    /// Updates lateness, service time and the share of lost responses by a response.
    pub(crate) fn learn_from_response(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let (attempt, outcome) = (&ended.attempt, &ended.outcome);
        let endpoint = self.endpoints.get(attempt.endpoint);
        let slowdown = endpoint.map_or(1.0, |endpoint| self.slowdown(now, endpoint));
        self.record_lateness(&ended.request, attempt.endpoint, outcome.latency);
        self.record_service_time(&ended.request, outcome, slowdown);
        let open = self.requests.get(&outcome.request);
        if open.is_some_and(|open| open.response_lost && outcome.attempt > 0) {
            // A hit at a later attempt shows that the first one was served and its response was
            // lost. A fill shows that the first one was still waiting for its fill.
            let was_lost = outcome.cache_status == Some(CacheStatus::Hit);
            self.lost_responses.record(if was_lost { 1.0 } else { 0.0 });
        }
        self.lost_responses.record(0.0);
    }

    /// Updates the latency quantile and the share of lost responses by an overdue attempt, once for
    /// each attempt. Returns whether the attempt counts as overdue for its parent cache.
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

    /// Whether a refusal comes without a cause because the settings say that causes are not
    /// reported.
    pub(crate) fn is_cause_unreported(&self, ended: &EndedAttempt) -> bool {
        ended.outcome.status == AttemptStatus::Full
            && ended.outcome.cache_status.is_none()
            && self.settings.cache_status_reporting != CacheStatusReporting::All
    }

    /// Whether responses do not distinguish hits from fills.
    pub(crate) fn hits_unreported(&self) -> bool {
        self.settings.cache_status_reporting == CacheStatusReporting::None
    }
}
