//! Whether a parent is down, where responses don't distinguish hits from fills. There a cache's hit looks
//! like a response of the parent that was named with it, and a fill that was refused may be the cache's own
//! refusal. So neither is believed: refusals in excess raise the fault detector's score, and a probe settles
//! it. A parent whose process is presumed lost comes back by a probe alone, and warms up from then on.
//! Without probes it goes by responses, as it does where hits are reported.

use crate::interface::{Action, AttemptStatus, EndpointId};
use crate::module::DecisionModule;
use crate::policy::health::EJECTION_SCORE;
use crate::state::{EndedAttempt, HealthSignal};
use crate::time::Timestamp;

impl DecisionModule {
    /// An attempt that named a parent has ended. What counts is a response, or a refusal within less than a
    /// connect timeout: one after that is taken for a parent that is silent (see `on_refusal`).
    pub(crate) fn detect_fault(&mut self, now: Timestamp, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let is_early = ended.outcome.latency < self.settings.connect_timeout;
        let is_refused = ended.outcome.status == AttemptStatus::Full && is_early;
        let counts = is_refused || ended.outcome.status == AttemptStatus::Ok;
        let Some(id) = ended.attempt.fill_source.filter(|_| counts) else { return };
        let parent = self.endpoints.get_mut(id).filter(|parent| parent.needs_probe && !parent.process_lost);
        let Some(parent) = parent else { return };
        parent.fault_detector.record(is_refused);
        if parent.fault_detector.is_probe_due(now) {
            parent.fault_detector.begin_spaced_probe(now);
            actions.push(Action::Probe { endpoint: id });
        }
        self.expire_probe(now, id);
    }

    /// A probe that nothing has come back from in time has failed.
    fn expire_probe(&mut self, now: Timestamp, id: EndpointId) {
        let timeout = self.settings.connect_timeout;
        if self.endpoints.get(id).is_some_and(|e| e.fault_detector.is_probe_overdue(now, timeout)) {
            self.on_probed(now, id, AttemptStatus::Timeout);
        }
    }

    /// Probes parents whose process is presumed lost and whose ejection is over.
    pub(crate) fn probe_lost_parents(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for id in self.warming_up.clone() {
            self.expire_probe(now, id);
            let Some(endpoint) = self.endpoints.get_mut(id).filter(|e| e.awaits_probe()) else { continue };
            let ejection_over = endpoint.ejected_until.is_none_or(|until| now >= until);
            if endpoint.fault_detector.is_idle() && ejection_over {
                endpoint.fault_detector.begin_probe(now);
                actions.push(Action::Probe { endpoint: id });
            }
        }
    }

    /// The result of a probe: any response proves life, a refused connection that the process has ended. None
    /// leaves it ejected, and a parent that was only cut off goes on where it was.
    pub(crate) fn on_probed(&mut self, now: Timestamp, id: EndpointId, status: AttemptStatus) {
        let is_well = matches!(status, AttemptStatus::Ok | AttemptStatus::Error);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Some(latency) = endpoint.fault_detector.end_probe(now, is_well) else { return };
        if !is_well {
            let signal = HealthSignal::from_failed_connect(&self.settings, latency);
            self.add_failure(now, id, EJECTION_SCORE, signal);
        } else if endpoint.awaits_probe() {
            self.record_proof_of_life(now, id);
        }
    }
}
