//! Attribution of failures: decides whether the edge cache or the fill source of an attempt is to
//! blame when the attempt is overdue, is refused, returns an error or loses its connection, and
//! which of them the request avoids from then on. What a failure does to the endpoint's health is
//! decided in `health`.

use crate::interface::{AttemptStatus, CacheStatus, CacheStatusReporting, EndpointId};
use crate::module::DecisionModule;
use crate::policy::health::{EJECTION_SCORE, ERROR_RATE_THRESHOLD};
use crate::state::{Attempt, EndedAttempt, HealthSignal, CERTAIN_SILENCE};
use crate::time::{divide_to_micros, Timestamp};

/// Weight in the error score of a failure that is certainly the endpoint's own.
const FULL_WEIGHT: f64 = 1.0;
/// Weight of an overdue attempt in the error score of its fill source, where the cache has
/// responded meanwhile. It is below 1 because the cause may lie elsewhere.
const OVERDUE_SOURCE_WEIGHT: f64 = 0.7;
/// Weight of a connection that was not established in time. It is below 1 because the link may be
/// the cause.
const UNREACHABLE_WEIGHT: f64 = 0.5;
/// Weight of a connection that broke. It is below 1 because the link may be the cause.
const RESET_WEIGHT: f64 = 0.4;
/// Weight of a refusal without a reported cause in the error score of the fill source. It is below
/// 1 because the cache may have refused the request itself.
const REFUSAL_WEIGHT: f64 = 0.5;
/// A fill that failed after between 1/4 of the connect timeout and the whole of it broke off on its
/// way. Earlier the connection was refused, later it was not established.
const BROKEN_FILL_TIMEOUT_DIVISOR: u64 = 4;

impl DecisionModule {
    /// Attributes an overdue attempt to its cache or to its parent cache, and adds a failure to the
    /// error score of the one at fault. Covers hangs, network partitions and long pauses of either.
    ///
    /// An endpoint that has responded to any attempt since this one was sent is not at fault. If
    /// the cache has not responded, it is at fault; else the parent, if that has not responded;
    /// else neither. The failure is weighted by how many responses the endpoint's silence lacks.
    ///
    /// Returns whether the endpoint at fault has certainly failed; the request avoids it then.
    pub(crate) fn attribute_overdue(&mut self, now: Timestamp, attempt: &Attempt) -> bool {
        let silence_of = |id| self.endpoints.silence_evidence(now, id, attempt.sent_at);
        let parent = self.endpoints.parent_source(attempt);
        let cache_silence = silence_of(attempt.endpoint);
        let parent_silence = parent.and_then(silence_of);
        let (at_fault, weight, silence) = match (cache_silence, parent_silence) {
            (Some(silence), _) => (attempt.endpoint, FULL_WEIGHT, silence),
            (None, Some(silence)) => (parent.unwrap_or_default(), OVERDUE_SOURCE_WEIGHT, silence),
            (None, None) => return false,
        };
        self.add_failure(now, at_fault, weight * silence, HealthSignal::Slow);
        let is_certain = silence >= CERTAIN_SILENCE || self.endpoints.is_ejected(at_fault);
        self.avoid(attempt.id.request, Some(at_fault).filter(|_| is_certain));
        is_certain
    }

    /// Attributes a connection that broke or was not established to the endpoint, and has the
    /// request avoid it. A bad link breaks connections and delays their setup; only a refused
    /// connection shows that the endpoint's process has ended.
    ///
    /// A broken connection to an endpoint that has responded since the attempt was sent is no
    /// failure of the endpoint.
    pub(crate) fn on_connection_failure(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let endpoint = ended.attempt.endpoint;
        let has_responded = self.endpoints.has_responded_since(endpoint, ended.attempt.sent_at);
        let (weight, signal) = match ended.outcome.status {
            AttemptStatus::Reset if has_responded => return,
            AttemptStatus::Reset => (RESET_WEIGHT, HealthSignal::Slow),
            AttemptStatus::Unreached => (UNREACHABLE_WEIGHT, HealthSignal::Unreachable),
            _ => (FULL_WEIGHT, HealthSignal::from_failed_connect(&self.settings, ended.outcome.latency)),
        };
        self.add_failure(now, endpoint, weight, signal);
        self.avoid(ended.outcome.request, Some(endpoint));
    }

    /// Records that an attempt returned an error. The error alone counts against no endpoint, since
    /// the request itself may be invalid.
    ///
    /// The request avoids the cache that returned the error, so that the next attempt goes to
    /// another cache. If an attempt with the same parent cache has already failed, the request
    /// avoids that parent instead, and may use the caches of its attempts again.
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

    /// Attributes the errors of a request that was served in the end: since it could be served, the
    /// errors were not the request's fault.
    ///
    /// An error counts against the attempt's parent cache if the attempt that was served had
    /// another fill source and outcomes do not report the causes of failed fills. Else it counts
    /// against the cache, unless the same cache has now served the request.
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

    /// Adds an error to a parent's error score. About one response in several hundred is an error
    /// without a fault behind it, and a parent that is presumed to have restarted warms up for as
    /// long as a real restart takes. So only the error that reaches the ejection score means that
    /// the parent's process has ended.
    fn record_parent_error(&mut self, now: Timestamp, parent: EndpointId) {
        let score = self.endpoints.get(parent).map_or(0.0, |endpoint| endpoint.error_score);
        let is_repeated = score + FULL_WEIGHT >= EJECTION_SCORE;
        let signal = if is_repeated { HealthSignal::ProcessLost } else { HealthSignal::Slow };
        self.add_failure(now, parent, FULL_WEIGHT, signal);
    }

    /// Adds an error to a cache's error rate. If the rate is above [`ERROR_RATE_THRESHOLD`], also
    /// adds a failure that suffices for the cache's ejection.
    fn record_cache_error(&mut self, now: Timestamp, cache: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(cache) else { return };
        endpoint.count_error();
        let weight = if endpoint.error_rate > ERROR_RATE_THRESHOLD { EJECTION_SCORE } else { 0.0 };
        self.add_failure(now, cache, weight, HealthSignal::Slow);
    }

    /// Attributes a refusal. It counts as a response of the cache, which has just sent it.
    ///
    /// - If the fill source failed, by the reported cause, the request avoids the source and
    ///   accepts stale copies. A source that was not reached also gets a failure; one that refused
    ///   lets a sibling cache be chosen as the next source.
    /// - Where causes are not reported, either may have refused: the source gets a failure whose
    ///   weight depends on the latency, and the request avoids both.
    /// - Otherwise the cache itself refused, and the request avoids the cache.
    pub(crate) fn on_refusal(&mut self, now: Timestamp, ended: &EndedAttempt) {
        use CacheStatus::{OriginFailed, SourceLacks, SourceRefused, SourceUnreachable};
        let (id, cache_status, attempt) = (ended.outcome.request, ended.outcome.cache_status, &ended.attempt);
        let source_failed =
            matches!(cache_status, Some(SourceRefused | SourceLacks | OriginFailed | SourceUnreachable));
        let cause_unreported = self.is_cause_unreported(ended);
        self.record_response(now, attempt.endpoint);
        if cache_status == Some(SourceUnreachable) || cause_unreported {
            self.record_source_failure(now, ended);
        }
        self.avoid(id, attempt.fill_source.filter(|_| source_failed || cause_unreported));
        self.avoid(id, Some(attempt.endpoint).filter(|_| !source_failed));
        if let Some(open) = self.requests.get_mut(&id) {
            open.accepts_stale |= source_failed;
            open.fill_refused |= cache_status == Some(SourceRefused);
        }
    }

    /// Adds a failure to the fill source of a refused attempt; does nothing if it had none.
    ///
    /// Where the cause is not reported, the latency tells: a cache that refuses after one to two
    /// connect timeouts waited for a source that is down. A refused connection to the source shows
    /// at once. A fill that broke off on its way does not show that the source's process has ended.
    fn record_source_failure(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let Some(source) = ended.attempt.fill_source else { return };
        let (latency, timeout) = (ended.outcome.latency, self.settings.connect_timeout);
        let is_unreachable = ended.outcome.cache_status == Some(CacheStatus::SourceUnreachable);
        let is_down = latency < 2 * timeout && (is_unreachable || latency >= timeout);
        let broken_fill_latency = divide_to_micros(timeout, BROKEN_FILL_TIMEOUT_DIVISOR)..timeout;
        let broke_off = is_unreachable && broken_fill_latency.contains(&latency);
        let signal = if is_down && !broke_off {
            HealthSignal::from_failed_connect(&self.settings, latency)
        } else {
            HealthSignal::Slow
        };
        let weight = if is_unreachable || is_down { FULL_WEIGHT } else { REFUSAL_WEIGHT };
        self.add_failure(now, source, weight, signal);
    }
}
