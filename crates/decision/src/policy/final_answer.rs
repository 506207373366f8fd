//! The final answer where there is none from an endpoint.

use crate::interface::{Action, DeduplicationScope, Idempotency, RequestId};
use crate::module::DecisionModule;
use crate::state::OpenRequest;
use crate::time::{whole_micros, Timestamp};
use rand_core::RngCore;
use std::time::Duration;

impl DecisionModule {
    /// The final answer, at once: rejected with advice where that is allowed, else failed.
    pub(crate) fn give_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        if self.repeat_is_harmless(open) && now < open.request.deadline {
            let retry_after = self.draw_retry_after();
            actions.push(Action::refuse(id, retry_after));
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.finish(id, actions);
    }

    /// Whether the client may send the request again without running it twice.
    fn repeat_is_harmless(&self, open: &OpenRequest) -> bool {
        let class = self.settings.class(&open.request);
        let never_ran = open.first_possible_run.is_none();
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => never_ran || class.scope == DeduplicationScope::All,
            Idempotency::NotIdempotent => never_ran,
        }
    }

    /// Advice between half of the longest and the longest, drawn so that clients don't come back at once;
    /// zero: no advice. The draw is made in any case: those that follow don't depend on the settings.
    fn draw_retry_after(&mut self) -> Duration {
        let half = whole_micros(self.settings.max_retry_after) / 2;
        let advice = Duration::from_micros(half + self.rng.next_u64() % half.max(1));
        if !self.settings.retry_after || half == 0 {
            return Duration::ZERO;
        }
        advice
    }
}
