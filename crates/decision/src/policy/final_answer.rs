//! The final answer to a request that no endpoint has served: rejected or failed.

use crate::interface::{Action, DeduplicationScope, Idempotency, RequestId};
use crate::module::DecisionModule;
use crate::state::OpenRequest;
use crate::time::{whole_micros, Timestamp};
use rand_core::RngCore;
use std::time::Duration;

impl DecisionModule {
    /// Answers a request at once and finishes it. The answer is a rejection, with a delay for the
    /// client's retry, if such a retry is harmless and the deadline has not passed; otherwise the
    /// request fails.
    pub(crate) fn give_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        if self.repeat_is_harmless(open) && now < open.request.deadline {
            let retry_after = self.draw_retry_after();
            actions.push(Action::reject(id, retry_after));
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.finish(id, actions);
    }

    /// Whether the client may send the request again without the risk that it runs twice: it is
    /// idempotent, no attempt may have run, or every endpoint drops repeats by its idempotency key.
    fn repeat_is_harmless(&self, open: &OpenRequest) -> bool {
        let class = self.settings.class(&open.request);
        let never_ran = open.first_possible_run.is_none();
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => never_ran || class.scope == DeduplicationScope::All,
            Idempotency::NotIdempotent => never_ran,
        }
    }

    /// The delay that a rejected client is advised to wait before its retry: drawn between half of
    /// the longest delay and the longest, so that rejected clients do not all retry at the same
    /// time. Zero means no advice.
    ///
    /// The random number is drawn even if the settings allow no advice, so that later draws do not
    /// depend on that setting.
    fn draw_retry_after(&mut self) -> Duration {
        let half = whole_micros(self.settings.max_retry_after) / 2;
        let delay = Duration::from_micros(half + self.rng.next_u64() % half.max(1));
        if !self.settings.retry_after || half == 0 {
            return Duration::ZERO;
        }
        delay
    }
}
