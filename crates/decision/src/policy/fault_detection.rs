//! Fault detection for parent caches where outcomes do not distinguish hits from fills.
//!
//! There a hit at an edge cache looks like a response of the parent that was named with the
//! attempt, and the refusal of a fill may be the edge cache's own. Neither proves anything about
//! the parent. So an excess of refusals raises the score of the parent's fault detector, and a
//! probe decides. A parent whose process is presumed lost is readmitted by a successful probe
//! alone, and warms up from then on. Where the settings do not allow probes, responses readmit
//! parents, as they do where hits are reported.

use crate::interface::{Action, AttemptStatus, EndpointId};
use crate::module::DecisionModule;
use crate::policy::health::EJECTION_SCORE;
use crate::state::{EndedAttempt, HealthSignal};
use crate::time::Timestamp;

impl DecisionModule {
    /// Adds an ended attempt to the fault detector of the parent cache that it named, and probes
    /// the parent if the detector's score calls for it.
    ///
    /// Responses and refusals count, but only refusals within less than a connect timeout: a later
    /// one already counts as a failure of a parent that does not answer (see `on_refusal`). Nothing
    /// is recorded for parents that need no probe or whose process is already presumed lost.
    pub(crate) fn detect_fault(&mut self, now: Timestamp, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let is_early = ended.outcome.latency < self.settings.connect_timeout;
        let is_refused = ended.outcome.status == AttemptStatus::Full && is_early;
        let counts = is_refused || ended.outcome.status == AttemptStatus::Ok;
        let Some(id) = ended.attempt.fill_source.filter(|_| counts) else { return };
        let source = self.endpoints.get_mut(id);
        let suspect = source.filter(|endpoint| endpoint.needs_probe && !endpoint.process_lost);
        let Some(parent) = suspect else { return };
        parent.fault_detector.record(is_refused);
        if parent.fault_detector.is_probe_due(now) {
            parent.fault_detector.begin_spaced_probe(now);
            actions.push(Action::Probe { endpoint: id });
        }
        self.expire_probe(now, id);
    }

    /// Counts the endpoint's probe as failed if its result is overdue.
    fn expire_probe(&mut self, now: Timestamp, id: EndpointId) {
        let timeout = self.settings.connect_timeout;
        let is_overdue =
            self.endpoints.get(id).is_some_and(|e| e.fault_detector.is_probe_overdue(now, timeout));
        if is_overdue {
            self.on_probed(now, id, AttemptStatus::Timeout);
        }
    }

    /// Probes the parents whose process is presumed lost, whose ejection period is over and that
    /// have no probe in flight.
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

    /// Applies the result of a probe; ignored if no probe of the endpoint is in flight.
    ///
    /// Any response, even an error, proves that the endpoint is alive, and readmits it if its
    /// process was presumed lost. A refused connection means that its process has ended. No
    /// response at all keeps it ejected without a warm-up: a parent that was only cut off resumes
    /// with its cache intact.
    pub(crate) fn on_probed(&mut self, now: Timestamp, id: EndpointId, status: AttemptStatus) {
        let is_alive = matches!(status, AttemptStatus::Ok | AttemptStatus::Error);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Some(latency) = endpoint.fault_detector.end_probe(now, is_alive) else { return };
        if !is_alive {
            let signal = HealthSignal::from_failed_connect(&self.settings, latency);
            self.add_failure(now, id, EJECTION_SCORE, signal);
        } else if endpoint.awaits_probe() {
            self.record_liveness(now, id);
        }
    }
}
