//! Evaluation of ended attempts as evidence of the origin's load; see
//! [`OriginLoad`](crate::state::OriginLoad).

use crate::interface::{AttemptStatus, CacheStatus, CacheStatusReporting, EndpointId};
use crate::module::DecisionModule;
use crate::state::endpoint::EndpointRole;
use crate::state::open_request::EndedAttempt;
use crate::state::origin_load::Refusal;
use crate::time::{secs, Timestamp};
use std::time::Duration;

/// A refusal counts as this many late responses: it shows overload directly.
const REFUSAL_WEIGHT: f64 = 2.0;
/// An overdue attempt counts as this many late responses.
const LATE_WEIGHT: f64 = 1.0;
/// A write that took more than this fraction of its latency objective is late. Writes run at the
/// origin and wait for nothing else, so that a late one shows overload while most writes are still
/// in time.
const LATE_WRITE_PART: f64 = 0.7;
/// The origin is presumed to keep up for this long after a write that it answered in time. A router
/// with few requests has one write in several seconds. A late write ends the presumption at once.
const IN_TIME_VALIDITY: Duration = Duration::from_secs(10);

impl DecisionModule {
    /// Records what the end of an attempt shows of the load at its source, if that is a parent
    /// cache or the origin. An attempt that was to be served from copies alone caused no load
    /// there.
    pub(crate) fn observe_origin_load(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let attempt = &ended.attempt;
        let source = attempt.fill_source.unwrap_or(attempt.endpoint);
        let role = self.endpoints.get(source).map(|endpoint| endpoint.role);
        if attempt.only_if_cached || !matches!(role, Some(EndpointRole::Parent | EndpointRole::Origin)) {
            return;
        }
        // If the origin has answered another write in time since this one was sent, it is not
        // overloaded: this write was delayed on its way to the origin.
        let has_answered_since = self.origin_load.last_in_time > attempt.sent_at;
        let is_write_evidence = ended.is_write && !has_answered_since;
        match ended.outcome.status {
            AttemptStatus::Ok => self.observe_response(now, ended, is_write_evidence),
            AttemptStatus::Full => {
                self.observe_refusal(now, attempt.endpoint, source, ended.outcome.cache_status)
            }
            AttemptStatus::Timeout | AttemptStatus::Cancelled => {
                let is_overdue = ended.outcome.latency >= self.overdue_after(&ended.request);
                // An attempt that is cancelled early shows nothing of the origin, nor does one at a
                // cache that does not respond at all.
                if is_overdue && self.endpoints.has_responded_since(attempt.endpoint, attempt.sent_at) {
                    self.observe_overdue(now, is_write_evidence);
                }
            }
            _ => {}
        }
    }

    /// Records a response, which is evidence of overload only if it belongs to a late write.
    fn observe_response(&mut self, now: Timestamp, ended: &EndedAttempt, is_write_evidence: bool) {
        let max_latency = LATE_WRITE_PART * self.latency_objective(&ended.request);
        let is_late_write = ended.is_write && secs(ended.outcome.latency) > max_latency;
        if is_late_write && is_write_evidence {
            self.origin_load.record_late_write(now);
            return;
        }
        if ended.is_write && !is_late_write {
            self.origin_load.last_in_time = now;
        }
        self.origin_load.record_in_time(now);
    }

    /// Records a refusal. Where causes are reported, it is evidence of overload if the source
    /// refused or the origin failed. Otherwise it is evidence if the previous refusal came from
    /// another endpoint and named another source.
    fn observe_refusal(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        source: EndpointId,
        cache_status: Option<CacheStatus>,
    ) {
        if self.settings.cache_status_reporting == CacheStatusReporting::All {
            if matches!(cache_status, Some(CacheStatus::SourceRefused | CacheStatus::OriginFailed)) {
                self.origin_load.record_late(now, REFUSAL_WEIGHT);
            }
            return;
        }
        // One cache may be at capacity or draining, and one source may be down. Refusals by several
        // caches with several sources in a row have a common cause.
        let is_only_parent = self.endpoints.ready(EndpointRole::Parent).count() < 2;
        let previous = self.origin_load.last_refusal.replace(Refusal { endpoint, source });
        let differs_in_both =
            |other: Refusal| other.endpoint != endpoint && (is_only_parent || other.source != source);
        if previous.is_some_and(differs_in_both) {
            self.origin_load.record_late(now, REFUSAL_WEIGHT);
        }
    }

    /// Records an overdue attempt. While the origin answers writes in time, an attempt that is not
    /// a write must be waiting for something else.
    fn observe_overdue(&mut self, now: Timestamp, is_write_evidence: bool) {
        if is_write_evidence {
            self.origin_load.record_late_write(now);
        } else if now >= self.origin_load.last_in_time + IN_TIME_VALIDITY {
            self.origin_load.record_late(now, LATE_WEIGHT);
        }
    }
}
