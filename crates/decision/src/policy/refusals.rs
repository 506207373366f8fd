//! The final answer where there is none from an endpoint.

use crate::interface::*;
use crate::module::DecisionModule;
use rand_core::RngCore;

impl DecisionModule {
    /// The final answer, at once: a refusal with advice where that is allowed, else a failure.
    pub(crate) fn give_up(&mut self, now: Timestamp, id: RequestId, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let c = self.settings.class(&o.r);
        let harmless = match c.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => o.ran.is_none() || c.scope == DeduplicationScope::All,
            Idempotency::NotIdempotent => o.ran.is_none(),
        };
        if harmless && now < o.r.deadline {
            let half = whole_micros(self.settings.max_retry_after) / 2;
            let advice = Duration::from_micros(half + self.rng.next_u64() % half.max(1));
            let told = self.settings.retry_after && half > 0;
            acts.push(Action::refuse(id, if told { advice } else { Duration::ZERO }));
        } else {
            acts.push(Action::Fail { request: id });
        }
        self.finish(id, acts);
    }

    /// Ends a request here; attempts still out are called off and then only accounted for.
    pub(crate) fn finish(&mut self, id: RequestId, acts: &mut Vec<Action>) {
        let cancel = self.settings.cancel;
        let Some(o) = self.open.get_mut(&id) else { return };
        let out = (0..o.tries.len()).filter(|i| o.tries[*i].out);
        if !o.done && cancel && !o.stream {
            acts.extend(out.map(|i| Action::cancel(id, i)));
        }
        o.done = true;
        if o.out() == 0 {
            self.open.remove(&id);
        }
    }
}
