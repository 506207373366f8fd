//! Health: what counts against an endpoint, when it is ejected, and what readmits it.

use crate::interface::EndpointId;
use crate::module::DecisionModule;
use crate::state::{Attempt, Endpoint, EndpointRole, HealthSignal, CERTAIN_SILENCE, EJECTION_TIME};
use crate::time::Timestamp;
use std::time::Duration;

/// This error score, without a response between, ejects an endpoint.
pub(crate) const EJECTION_SCORE: f64 = 2.0;
/// A parent is ejected when this part of the last attempts that named it stayed overdue, and that is so many
/// times as much as at other parents.
const OVERDUE_THRESHOLD: f64 = 0.2;
const OVERDUE_RATIO: f64 = 3.0;
/// A cache is ejected when this part of its last requests met errors that others did not give.
pub(crate) const ERROR_RATE_THRESHOLD: f64 = 0.4;
/// Each failed recovery probe request doubles the ejection, up to this.
const MAX_EJECTION_TIME: Duration = EJECTION_TIME.saturating_mul(8);
/// From so many lost parents of a zone, and one in so many of it, on, all of it is presumed restarted.
const MIN_LOST_PARENTS: usize = 2;
const LOST_PARENTS_DIVISOR: usize = 3;
/// An endpoint that has responded to nobody for this long is not merely overloaded.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

impl DecisionModule {
    /// An attempt that named a parent was long overdue, or was served. A hit at the cache says nothing of the
    /// parent, and where hits look like fills each looks like a response of it. So a parent is also ejected
    /// when many more of its attempts stay overdue than of others: overload behind them would show at all.
    pub(crate) fn record_overdue_parent(&mut self, now: Timestamp, attempt: &Attempt, is_overdue: bool) {
        let source = self.endpoints.parent_source(attempt);
        let Some(parent) = source.filter(|_| self.hits_unreported()) else { return };
        let others = || self.endpoints.ready(EndpointRole::Parent).filter(|p| p.entry.id != parent);
        let other_available = others().any(Endpoint::is_available);
        let usual = others().map(|p| p.overdue_score).sum::<f64>() / others().count().max(1) as f64;
        let Some(endpoint) = self.endpoints.get_mut(parent) else { return };
        endpoint.count_overdue(is_overdue);
        let score = endpoint.overdue_score;
        let is_outlier = score > OVERDUE_THRESHOLD && score > OVERDUE_RATIO * usual;
        if is_overdue && other_available && is_outlier {
            self.add_failure(now, parent, EJECTION_SCORE, HealthSignal::Slow);
        }
    }

    /// A response from the endpoint. Where only a probe proves that its process is back, it does not count.
    pub(crate) fn record_response(&mut self, now: Timestamp, id: EndpointId) {
        if self.endpoints.get(id).is_some_and(|endpoint| !endpoint.awaits_probe()) {
            self.record_proof_of_life(now, id);
        }
    }

    /// What was held against the endpoint is void; one whose process was lost warms up from now on.
    pub(crate) fn record_proof_of_life(&mut self, now: Timestamp, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.mark_alive(now);
        if endpoint.is_available() {
            return;
        }
        endpoint.ejection_backoff = EJECTION_TIME;
        // One that fails most requests answers some: it stays ejected until several recovery probes succeed.
        let still_failing = endpoint.error_rate > ERROR_RATE_THRESHOLD;
        let still_overdue = endpoint.overdue_score > OVERDUE_THRESHOLD / 2.0;
        endpoint.ejected_until = (still_failing || still_overdue).then_some(now + EJECTION_TIME);
    }

    /// Adds to an endpoint's error score; enough of it ejects the endpoint until a recovery probe succeeds.
    pub(crate) fn add_failure(&mut self, now: Timestamp, id: EndpointId, weight: f64, signal: HealthSignal) {
        let Some(endpoint) = self.endpoints.get(id).filter(|e| e.role != EndpointRole::Origin) else {
            return;
        };
        let may_be_overload = signal == HealthSignal::Slow && self.looks_like_overload(now, endpoint);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.error_score += weight;
        let is_over = endpoint.error_score >= EJECTION_SCORE;
        if endpoint.is_available() && is_over && !may_be_overload {
            endpoint.ejected_until = Some(now + endpoint.ejection_backoff);
        } else if endpoint.ejected_until.is_some_and(|until| now >= until) {
            endpoint.ejection_backoff = (endpoint.ejection_backoff * 2).min(MAX_EJECTION_TIME);
            endpoint.ejected_until = Some(now + endpoint.ejection_backoff);
        }
        let zone = endpoint.entry.zone;
        let is_parent = endpoint.role == EndpointRole::Parent;
        if signal == HealthSignal::ProcessLost && (is_parent || is_over) {
            self.begin_warm_up(id);
            if is_parent {
                self.check_parent_zone(zone);
            }
        }
    }

    /// Overload looks like failed endpoints: on slowness alone no more than half of a role are ejected, but
    /// an endpoint that has responded to nobody for long is (a whole zone that falls silent).
    fn looks_like_overload(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let silence = endpoint.silence_evidence(now, endpoint.last_response);
        let is_silent = now > endpoint.last_response + SILENCE_TIMEOUT && silence > CERTAIN_SILENCE;
        let ejected = self.endpoints.ready(endpoint.role).filter(|peer| !peer.is_available()).count();
        let peers = self.endpoints.ready(endpoint.role).count().max(2);
        !is_silent && (ejected + 1) * 2 > peers
    }

    /// A zone of which enough parents have lost their process restarts as a whole. Where that would leave
    /// hardly any parent anywhere, none of them does: what is behind them fails.
    fn check_parent_zone(&mut self, zone: u16) {
        let parents = || self.endpoints.ready(EndpointRole::Parent);
        let in_zone = |parent: &&Endpoint| parent.entry.zone == zone;
        let lost = |parent: &&Endpoint| parent.process_lost;
        let lost_in_zone = parents().filter(in_zone).filter(lost).count();
        let zone_lost = lost_in_zone >= MIN_LOST_PARENTS
            && lost_in_zone * LOST_PARENTS_DIVISOR >= parents().filter(in_zone).count();
        let total = parents().count();
        let lost_in_all = parents().filter(|p| lost(p) || zone_lost && in_zone(p)).count();
        let origin_fails = total > LOST_PARENTS_DIVISOR && lost_in_all * 5 > total * 4;
        let affected: Vec<EndpointId> =
            parents().filter(|p| origin_fails || zone_lost && in_zone(p)).map(|p| p.entry.id).collect();
        for id in affected {
            if !origin_fails {
                self.begin_warm_up(id);
            } else if let Some(parent) = self.endpoints.get_mut(id) {
                parent.process_lost = false;
            }
        }
    }
}
