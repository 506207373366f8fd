//! Health of endpoints: when an endpoint is ejected, when it is readmitted, and when its process is
//! presumed lost. Which endpoint a failure counts against is decided in `error_attribution`.

use crate::interface::EndpointId;
use crate::module::DecisionModule;
use crate::state::{Attempt, Endpoint, EndpointRole, HealthSignal, CERTAIN_SILENCE, EJECTION_TIME};
use crate::time::Timestamp;
use std::time::Duration;

/// Error score at which an endpoint is ejected. A response resets the score to 0.
pub(crate) const EJECTION_SCORE: f64 = 2.0;
/// Smoothed share of overdue attempts above which a parent may be ejected.
const OVERDUE_THRESHOLD: f64 = 0.2;
/// A parent is ejected for overdue attempts only if its share is above this multiple of the mean
/// share of the other parents.
const OVERDUE_RATIO: f64 = 3.0;
/// An ejected parent that responds is readmitted at once only if its share of overdue attempts is
/// at most this.
const READMISSION_OVERDUE_THRESHOLD: f64 = OVERDUE_THRESHOLD / 2.0;
/// A cache is ejected when more than this share of its requests return errors that other endpoints
/// do not return.
pub(crate) const ERROR_RATE_THRESHOLD: f64 = 0.4;
/// Longest ejection. Each failed recovery probe doubles the ejection time up to this.
const MAX_EJECTION_TIME: Duration = EJECTION_TIME.saturating_mul(8);
/// Minimum number of lost parents of a zone for which the whole zone is presumed to have restarted.
const MIN_LOST_PARENTS: usize = 2;
/// At least 1/3 of the zone's parents must be lost as well.
const LOST_PARENTS_DIVISOR: usize = 3;
/// If more than 4/5 of all parents would be presumed lost, the origin is presumed to have failed.
const ORIGIN_FAULT_NUMERATOR: usize = 4;
const ORIGIN_FAULT_DENOMINATOR: usize = 5;
/// An endpoint that has responded to no attempt for this long is not merely overloaded.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

impl DecisionModule {
    /// Records for the parent cache that an attempt named whether the attempt was long overdue or
    /// was served, and ejects the parent if its share of overdue attempts is an outlier. Only used
    /// where outcomes do not distinguish hits from fills.
    ///
    /// There each hit at a cache looks like a response of the parent, so that the error score of a
    /// failed parent is reset again and again. The share of overdue attempts is not. It is compared
    /// with that of the other parents, because overload behind the parents affects all of them.
    pub(crate) fn record_overdue_parent(&mut self, now: Timestamp, attempt: &Attempt, is_overdue: bool) {
        let source = self.endpoints.parent_source(attempt);
        let Some(parent) = source.filter(|_| self.hits_unreported()) else { return };
        let others = || self.endpoints.ready(EndpointRole::Parent).filter(|other| other.entry.id != parent);
        let other_available = others().any(Endpoint::is_available);
        let score_sum = others().map(|other| other.overdue_score).sum::<f64>();
        let mean_score = score_sum / others().count().max(1) as f64;
        let Some(endpoint) = self.endpoints.get_mut(parent) else { return };
        endpoint.count_overdue(is_overdue);
        let score = endpoint.overdue_score;
        let is_outlier = score > OVERDUE_THRESHOLD && score > OVERDUE_RATIO * mean_score;
        if is_overdue && other_available && is_outlier {
            self.add_failure(now, parent, EJECTION_SCORE, HealthSignal::Slow);
        }
    }

    /// Records a response from the endpoint. Ignored for an endpoint whose process is presumed lost
    /// and that only a probe can readmit.
    pub(crate) fn record_response(&mut self, now: Timestamp, id: EndpointId) {
        if self.endpoints.get(id).is_some_and(|endpoint| !endpoint.awaits_probe()) {
            self.record_liveness(now, id);
        }
    }

    /// Resets the endpoint's error score and readmits it if it was ejected. An endpoint whose
    /// process was presumed lost warms up from now on.
    ///
    /// An endpoint that fails most of its requests still serves some, so one success is not enough:
    /// while its error rate or its share of overdue attempts is too high, it stays ejected until
    /// further recovery probes succeed.
    pub(crate) fn record_liveness(&mut self, now: Timestamp, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.mark_alive(now);
        if endpoint.is_available() {
            return;
        }
        endpoint.ejection_backoff = EJECTION_TIME;
        let still_failing = endpoint.error_rate > ERROR_RATE_THRESHOLD;
        let still_overdue = endpoint.overdue_score > READMISSION_OVERDUE_THRESHOLD;
        endpoint.ejected_until = (still_failing || still_overdue).then_some(now + EJECTION_TIME);
    }

    /// Adds `weight` to an endpoint's error score, and acts on the result. The origin has no error
    /// score.
    ///
    /// - An available endpoint is ejected when the score reaches [`EJECTION_SCORE`], unless it may
    ///   merely be overloaded.
    /// - An endpoint whose ejection time is over has failed its recovery probe: it is ejected
    ///   again, for twice as long, up to [`MAX_EJECTION_TIME`].
    /// - If the signal shows that its process has ended, a parent begins to warm up at once, and
    ///   another endpoint when the score reaches [`EJECTION_SCORE`].
    pub(crate) fn add_failure(&mut self, now: Timestamp, id: EndpointId, weight: f64, signal: HealthSignal) {
        let Some(endpoint) = self.endpoints.get(id).filter(|e| e.role != EndpointRole::Origin) else {
            return;
        };
        let may_be_overload = signal == HealthSignal::Slow && self.looks_like_overload(now, endpoint);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.error_score += weight;
        let reaches_ejection_score = endpoint.error_score >= EJECTION_SCORE;
        let ejection_over = endpoint.ejected_until.is_some_and(|until| now >= until);
        if endpoint.is_available() && reaches_ejection_score && !may_be_overload {
            endpoint.ejected_until = Some(now + endpoint.ejection_backoff);
        } else if ejection_over {
            endpoint.ejection_backoff = (endpoint.ejection_backoff * 2).min(MAX_EJECTION_TIME);
            endpoint.ejected_until = Some(now + endpoint.ejection_backoff);
        }
        let zone = endpoint.entry.zone;
        let is_parent = endpoint.role == EndpointRole::Parent;
        if signal == HealthSignal::ProcessLost && (is_parent || reaches_ejection_score) {
            self.begin_warm_up(id);
            if is_parent {
                self.check_zone_restart(zone);
            }
        }
    }

    /// Whether an endpoint that is slow must not be ejected, because overload has the same symptoms
    /// as a failure. This holds if the ejection would leave less than half of the endpoints of its
    /// role available. It does not hold for an endpoint that has responded to no attempt for
    /// [`SILENCE_TIMEOUT`] although responses were to be expected, so that all endpoints of a zone
    /// that stops responding can be ejected.
    fn looks_like_overload(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let silence = endpoint.silence_evidence(now, endpoint.last_response);
        let is_silent = now > endpoint.last_response + SILENCE_TIMEOUT && silence > CERTAIN_SILENCE;
        let ejected = self.endpoints.ready(endpoint.role).filter(|peer| !peer.is_available()).count();
        let peers = self.endpoints.ready(endpoint.role).count().max(2);
        !is_silent && (ejected + 1) * 2 > peers
    }

    /// Called when a parent's process is presumed lost: presumes all parents of its zone to have
    /// restarted if enough of them are lost.
    ///
    /// If hardly any of more than three parents would then count as running, the origin behind them
    /// has failed rather than the parents: no parent's process is presumed lost any more.
    fn check_zone_restart(&mut self, zone: u16) {
        let parents = || self.endpoints.ready(EndpointRole::Parent);
        let is_in_zone = |parent: &&Endpoint| parent.entry.zone == zone;
        let is_lost = |parent: &&Endpoint| parent.process_lost;

        let lost_in_zone = parents().filter(is_in_zone).filter(is_lost).count();
        let all_in_zone = parents().filter(is_in_zone).count();
        let zone_restarted =
            lost_in_zone >= MIN_LOST_PARENTS && lost_in_zone * LOST_PARENTS_DIVISOR >= all_in_zone;

        let total = parents().count();
        let restarts_with_zone = |parent: &&Endpoint| zone_restarted && is_in_zone(parent);
        let presumed_lost = parents().filter(|parent| is_lost(parent) || restarts_with_zone(parent)).count();
        let origin_failed = total > LOST_PARENTS_DIVISOR
            && presumed_lost * ORIGIN_FAULT_DENOMINATOR > total * ORIGIN_FAULT_NUMERATOR;

        let affected: Vec<EndpointId> = parents()
            .filter(|parent| origin_failed || restarts_with_zone(parent))
            .map(|parent| parent.entry.id)
            .collect();
        for id in affected {
            if !origin_failed {
                self.begin_warm_up(id);
            } else if let Some(parent) = self.endpoints.get_mut(id) {
                parent.process_lost = false;
            }
        }
    }
}
