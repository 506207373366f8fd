//! Which of cache and parent an overdue attempt, a refusal or an error is held against.

use crate::interface::{AttemptStatus, CacheStatus, CacheStatusReporting, EndpointId};
use crate::module::DecisionModule;
use crate::policy::health::{EJECTION_SCORE, ERROR_RATE_THRESHOLD};
use crate::state::{Attempt, EndedAttempt, HealthSignal, CERTAIN_SILENCE};
use crate::time::{divide_to_micros, Timestamp};

/// Weights of failures in the error score: what certainly is one, and what may be another's failure.
const FULL_WEIGHT: f64 = 1.0;
const OVERDUE_SOURCE_WEIGHT: f64 = 0.7;
const UNREACHABLE_WEIGHT: f64 = 0.5;
const RESET_WEIGHT: f64 = 0.4;
const REFUSAL_WEIGHT: f64 = 0.5;

impl DecisionModule {
    /// An attempt took far longer than its like. Whichever of cache and parent has responded to somebody
    /// since it was sent is not to blame; if both have, nobody is. Covers hangs, cuts and long pauses of
    /// either. Returns whether the one to blame has certainly failed.
    pub(crate) fn attribute_overdue(&mut self, now: Timestamp, attempt: &Attempt) -> bool {
        let silence = |id| self.endpoints.silence_evidence(now, id, attempt.sent_at);
        let parent = self.endpoints.parent_source(attempt);
        let (blamed, weight, silence) = match (silence(attempt.endpoint), parent.and_then(silence)) {
            (Some(silence), _) => (attempt.endpoint, FULL_WEIGHT, silence),
            (None, Some(silence)) => (parent.unwrap_or_default(), OVERDUE_SOURCE_WEIGHT, silence),
            (None, None) => return false,
        };
        self.add_failure(now, blamed, weight * silence, HealthSignal::Slow);
        let is_certain = silence >= CERTAIN_SILENCE || self.endpoints.is_ejected(blamed);
        self.avoid(attempt.id.request, Some(blamed).filter(|_| is_certain));
        is_certain
    }

    /// No connection, or one that broke. A bad link breaks connections, and has them come up late: only
    /// refused ones show that the process has ended.
    pub(crate) fn on_connection_failure(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let endpoint = ended.attempt.endpoint;
        let has_responded = self.endpoints.has_responded_since(endpoint, ended.attempt.sent_at);
        let (weight, signal) = match ended.outcome.status {
            // It has responded since: the connection broke, not the endpoint.
            AttemptStatus::Reset if has_responded => return,
            AttemptStatus::Reset => (RESET_WEIGHT, HealthSignal::Slow),
            AttemptStatus::Unreached => (UNREACHABLE_WEIGHT, HealthSignal::Unreachable),
            _ => (FULL_WEIGHT, HealthSignal::from_failed_connect(&self.settings, ended.outcome.latency)),
        };
        self.add_failure(now, endpoint, weight, signal);
        self.avoid(ended.outcome.request, Some(endpoint));
    }

    /// An error: the request itself may be what nobody can use, so that alone is held against no endpoint.
    /// The next attempt goes to another cache; if it fails there too, the parent of both is avoided instead.
    pub(crate) fn on_error(&mut self, failed: &Attempt) {
        let Some(open) = self.requests.get_mut(&failed.id.request) else { return };
        let parent = self.endpoints.parent_source(failed);
        let shared_parent = parent.filter(|parent| open.has_failed_with_source(*parent));
        open.attempts[failed.id.attempt].failed = true;
        if let Some(parent) = shared_parent {
            open.avoid_shared_parent(parent);
        } else {
            open.avoided.insert(failed.endpoint);
        }
    }

    /// A request that met errors was served after all. Who gave them is to blame: the cache if the same
    /// parent, or none, was named where it was served, else the parent. Yet one response in some hundreds is
    /// an error for no reason: only repeated ones show that a parent's process has ended, else each would
    /// have its parent warm up for as long as a restart takes.
    pub(crate) fn attribute_errors(&mut self, now: Timestamp, served: &Attempt) {
        let Some(open) = self.requests.get(&served.id.request) else { return };
        let causes_unreported = self.settings.cache_status_reporting != CacheStatusReporting::All;
        for attempt in open.failed_attempts() {
            let is_other_source = attempt.fill_source != served.fill_source;
            let parent = self.endpoints.parent_source(&attempt);
            if let Some(parent) = parent.filter(|_| causes_unreported && is_other_source) {
                self.record_parent_error(now, parent);
            } else if attempt.endpoint != served.endpoint {
                self.record_cache_error(now, attempt.endpoint);
            }
        }
    }

    fn record_parent_error(&mut self, now: Timestamp, parent: EndpointId) {
        let score = self.endpoints.get(parent).map_or(0.0, |endpoint| endpoint.error_score);
        let is_repeated = score + FULL_WEIGHT >= EJECTION_SCORE;
        let signal = if is_repeated { HealthSignal::ProcessLost } else { HealthSignal::Slow };
        self.add_failure(now, parent, FULL_WEIGHT, signal);
    }

    fn record_cache_error(&mut self, now: Timestamp, cache: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(cache) else { return };
        endpoint.count_error();
        let weight = if endpoint.error_rate > ERROR_RATE_THRESHOLD { EJECTION_SCORE } else { 0.0 };
        self.add_failure(now, cache, weight, HealthSignal::Slow);
    }

    /// Refused: by the cache itself, or by the source of the fill, as far as that is reported. Without a
    /// cause it may be either; the cache has just responded.
    pub(crate) fn on_refusal(&mut self, now: Timestamp, ended: &EndedAttempt) {
        use CacheStatus::{OriginFailed, SourceLacks, SourceRefused, SourceUnreachable};
        let (id, note, attempt) = (ended.outcome.request, ended.outcome.note, &ended.attempt);
        let source_failed =
            matches!(note, Some(SourceRefused | SourceLacks | OriginFailed | SourceUnreachable));
        let unreported = self.is_cause_unreported(ended);
        self.record_response(now, attempt.endpoint);
        if note == Some(SourceUnreachable) || unreported {
            self.record_source_failure(now, ended);
        }
        self.avoid(id, attempt.fill_source.filter(|_| source_failed || unreported));
        self.avoid(id, Some(attempt.endpoint).filter(|_| !source_failed));
        if let Some(open) = self.requests.get_mut(&id) {
            open.accepts_stale |= source_failed;
            open.fill_refused |= note == Some(SourceRefused);
        }
    }

    /// Where the cause is not reported, time tells: about a connect timeout is a source that is down. A
    /// refused connection shows at once; a fill that broke off on its way proves no lost process.
    fn record_source_failure(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let Some(source) = ended.attempt.fill_source else { return };
        let (latency, timeout) = (ended.outcome.latency, self.settings.connect_timeout);
        let is_unreachable = ended.outcome.note == Some(CacheStatus::SourceUnreachable);
        let is_down = latency < 2 * timeout && (is_unreachable || latency >= timeout);
        let broke_off = is_unreachable && (divide_to_micros(timeout, 4)..timeout).contains(&latency);
        let signal = if is_down && !broke_off {
            HealthSignal::from_failed_connect(&self.settings, latency)
        } else {
            HealthSignal::Slow
        };
        let weight = if is_unreachable || is_down { FULL_WEIGHT } else { REFUSAL_WEIGHT };
        self.add_failure(now, source, weight, signal);
    }
}
