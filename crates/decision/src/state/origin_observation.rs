//! What the end of an attempt says of the load at the sources behind caches and parents: evidence
//! for [`OriginLoad`](crate::state::OriginLoad).

use crate::interface::{AttemptStatus, CacheStatus, CacheStatusReporting, EndpointId};
use crate::module::DecisionModule;
use crate::state::endpoint::EndpointRole;
use crate::state::open_request::EndedAttempt;
use crate::state::origin_load::Refusal;
use crate::time::{secs, Timestamp};
use std::time::Duration;

/// A refusal counts as so many late responses: it says outright what lateness only suggests.
const REFUSAL_WEIGHT: f64 = 2.0;
const LATE_WEIGHT: f64 = 1.0;
/// A write runs at the origin and waits for nothing else. One that took more than this part of its
/// latency objective cuts the load at once, while most writes are in time yet.
const LATE_WRITE_PART: f64 = 0.7;
/// The origin is presumed well for so long after it responded in time: a router of few requests
/// has a write in some seconds. One that is late ends it at once.
const IN_TIME_VALIDITY: Duration = Duration::from_secs(10);

impl DecisionModule {
    /// Records what an attempt's end says of its source, if that is a parent cache or the origin.
    /// An attempt that was to be served from copies alone requested nothing of them.
    pub(crate) fn observe_origin_load(&mut self, now: Timestamp, ended: &EndedAttempt) {
        let attempt = &ended.attempt;
        let source = attempt.fill_source.unwrap_or(attempt.endpoint);
        let role = self.endpoints.get(source).map(|endpoint| endpoint.role);
        if attempt.only_if_cached || !matches!(role, Some(EndpointRole::Parent | EndpointRole::Origin)) {
            return;
        }
        // Another write that the origin answered in time meanwhile acquits it: the way there was
        // slow.
        let is_acquitted = self.origin_load.last_in_time > attempt.sent_at;
        let is_blamed_write = ended.is_write && !is_acquitted;
        match ended.outcome.status {
            AttemptStatus::Ok => self.observe_response(now, ended, is_blamed_write),
            AttemptStatus::Full => self.observe_refusal(now, attempt.endpoint, source, ended.outcome.note),
            AttemptStatus::Timeout | AttemptStatus::Cancelled => {
                let is_overdue = ended.outcome.latency >= self.overdue_after(&ended.request);
                // A client that leaves early says nothing, nor does a cache that is silent
                // altogether.
                if is_overdue && self.endpoints.has_responded_since(attempt.endpoint, attempt.sent_at) {
                    self.observe_overdue(now, is_blamed_write);
                }
            }
            _ => {}
        }
    }

    fn observe_response(&mut self, now: Timestamp, ended: &EndedAttempt, is_blamed_write: bool) {
        let max_latency = LATE_WRITE_PART * self.latency_objective(&ended.request);
        let is_late_write = ended.is_write && secs(ended.outcome.latency) > max_latency;
        if is_late_write && is_blamed_write {
            self.origin_load.record_late_write(now);
            return;
        }
        if ended.is_write && !is_late_write {
            self.origin_load.last_in_time = now;
        }
        self.origin_load.record_in_time(now);
    }

    fn observe_refusal(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        source: EndpointId,
        note: Option<CacheStatus>,
    ) {
        if self.settings.cache_status_reporting == CacheStatusReporting::All {
            if matches!(note, Some(CacheStatus::SourceRefused | CacheStatus::OriginFailed)) {
                self.origin_load.record_late(now, REFUSAL_WEIGHT);
            }
            return;
        }
        // One cache may be full or drain itself, one source be down, but not several of both in
        // turn.
        let is_only_parent = self.endpoints.ready(EndpointRole::Parent).count() < 2;
        let before = self.origin_load.last_refusal.replace(Refusal { endpoint, source });
        let is_elsewhere =
            |before: Refusal| before.endpoint != endpoint && (is_only_parent || before.source != source);
        if before.is_some_and(is_elsewhere) {
            self.origin_load.record_late(now, REFUSAL_WEIGHT);
        }
    }

    /// While the origin answers writes in time, what is overdue waits for something else.
    fn observe_overdue(&mut self, now: Timestamp, is_blamed_write: bool) {
        if is_blamed_write {
            self.origin_load.record_late_write(now);
        } else if now >= self.origin_load.last_in_time + IN_TIME_VALIDITY {
            self.origin_load.record_late(now, LATE_WEIGHT);
        }
    }
}
