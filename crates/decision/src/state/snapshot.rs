//! Snapshot of what a decision module has learnt, as plain data for the process that replaces this
//! one. Open requests are not part of it; they stay with this process.

use crate::interface::EndpointId;
use crate::module::DecisionModule;
use crate::state::capacity::MAX_LATENESS;
use crate::state::endpoint::{AssignedWork, Endpoint};
use crate::state::request_counter::{ReplicationLevel, RequestCounter, MAX_LEVEL};
use crate::state::service_time::{clamp_quantile, ServiceTimeEstimate, MAX_LATENCY_QUANTILE};
use crate::state::{MAX_REMEMBERED_ENDPOINTS, MAX_TRACKED_OBJECTS};
use crate::time::{serde_micros, Timestamp};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bounds of restored values, in addition to those of the module's own tables. Maximum number of
/// entries of one endpoint's load history.
const MAX_LOAD_HISTORY: usize = 10_000;
/// Maximum of scores, counts and seconds of work.
const MAX_SCORE: f64 = 1e6;
/// Maximum request rate, in requests per second.
const MAX_RATE: f64 = 1e9;
/// Maximum share of lost responses. It has to stay below 1.
const MAX_LOST_SHARE: f64 = 0.9;

/// State that is handed over to a successor process. The fields are serialized by position: their
/// order and types are the format, their names are not part of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionSnapshot {
    /// The endpoints that are not removed.
    pub endpoints: Vec<EndpointSnapshot>,
    /// The classes, by class number.
    pub classes: Vec<ClassSnapshot>,
    /// Replication levels: hash key of the object and part, level, and time at which the level was
    /// last raised, confirmed or lowered.
    pub levels: Vec<(u64, u32, Timestamp)>,
    /// Requests per second, smoothed.
    pub rate: f64,
    /// Hash keys of the objects requested lately: in the present span, and in the one before.
    pub seen: [Vec<u64>; 2],
    /// Beginning of the present span.
    pub seen_since: Timestamp,
    /// Purges: whether it names a group, the number of the group or object, and the time of the
    /// purge.
    pub purges: Vec<(bool, u64, Timestamp)>,
    /// Every object counts as purged at this time, because older purges were dropped from a full
    /// table.
    pub floor: Timestamp,
    /// Number of retries in the retry budget.
    pub retries: f64,
    /// Share of responses that are lost, 0 to 1.
    pub lost: f64,
}

/// State of one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// The endpoint's identity.
    pub id: u64,
    /// Start of the latest warm-up; `None` if none is known.
    pub cold_since: Option<Timestamp>,
    /// Error score, error rate, and, for a parent cache, overdue score.
    pub blame: [f64; 3],
    /// Time of the last response.
    pub last_ok: Timestamp,
    /// Number of responses in about the last ten seconds before `last_ok`.
    pub answers: f64,
    /// End of the ejection; `None` if the endpoint is not ejected.
    pub out: Option<Timestamp>,
    /// Duration of the next ejection.
    #[serde(with = "serde_micros")]
    pub backoff: Duration,
    /// Whether the endpoint's process is presumed to have ended.
    pub died: bool,
    /// Smoothed ratio of the latency of responses to the latency objective.
    pub tardy: f64,
    /// Smoothed number of attempts in flight, and the time of that value.
    pub load: (f64, Timestamp),
    /// Work that was sent to the endpoint lately: sending time of the attempt, and seconds of work.
    pub ledger: Vec<(Timestamp, f64)>,
}

/// Estimates of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassSnapshot {
    /// Mean service time in seconds, and the number of samples in it.
    pub work: (f64, f64),
    /// Mean sending time of response bytes in seconds; `None` if there were none.
    pub sent: Option<f64>,
    /// High quantile of the latency, as a multiple of the expected latency.
    pub slow: f64,
}

/// Makes a restored number valid: 0 if it is not finite, otherwise limited to 0 to `max`.
fn sanitize(value: f64, max: f64) -> f64 {
    if value.is_finite() {
        value.clamp(0.0, max)
    } else {
        0.0
    }
}

impl EndpointSnapshot {
    fn of(endpoint: &Endpoint) -> EndpointSnapshot {
        EndpointSnapshot {
            id: endpoint.entry.id.0,
            cold_since: endpoint.warm_up_started,
            blame: [endpoint.error_score, endpoint.error_rate, endpoint.overdue_score],
            last_ok: endpoint.last_response,
            answers: endpoint.response_count,
            out: endpoint.ejected_until,
            backoff: endpoint.ejection_backoff,
            died: endpoint.process_lost,
            tardy: endpoint.lateness,
            load: (endpoint.load, endpoint.load_updated_at),
            ledger: endpoint.load_history.iter().map(|sent| (sent.at, sent.work)).collect(),
        }
    }

    /// Sets the state of `endpoint`. Times that must lie in the past are limited to `now`, and
    /// invalid numbers are replaced by valid ones.
    fn restore_into(&self, now: Timestamp, endpoint: &mut Endpoint) {
        let [error_score, error_rate, overdue_score] = self.blame;
        let warm_up_started = self.cold_since.map(|at| at.min(now));
        endpoint.warm_up_started = endpoint.warm_up_started.max(warm_up_started);
        endpoint.error_score = sanitize(error_score, MAX_SCORE);
        endpoint.error_rate = sanitize(error_rate, 1.0);
        endpoint.overdue_score = sanitize(overdue_score, 1.0);
        endpoint.last_response = self.last_ok.min(now);
        endpoint.response_count = sanitize(self.answers, MAX_SCORE);
        endpoint.ejected_until = self.out;
        endpoint.ejection_backoff = self.backoff;
        endpoint.process_lost = self.died;
        endpoint.lateness = sanitize(self.tardy, MAX_LATENESS);
        endpoint.load = sanitize(self.load.0, MAX_SCORE);
        endpoint.load_updated_at = self.load.1.min(now);
        let history = self.ledger.iter().take(MAX_LOAD_HISTORY).filter(|(at, _)| *at <= now);
        let assigned = |&(at, work): &(Timestamp, f64)| AssignedWork {
            at,
            attempt: None,
            work: sanitize(work, MAX_SCORE),
        };
        endpoint.load_history.extend(history.map(assigned));
    }
}

impl ClassSnapshot {
    fn of(estimate: &ServiceTimeEstimate) -> ClassSnapshot {
        ClassSnapshot {
            work: (estimate.work, estimate.samples),
            sent: estimate.sending_time,
            slow: estimate.latency_quantile,
        }
    }

    /// Sets the estimate of a class. Does nothing if the service time is not a positive number.
    fn restore_into(&self, estimate: &mut ServiceTimeEstimate) {
        let (work, samples) = self.work;
        if !work.is_finite() || work <= 0.0 {
            return;
        }
        estimate.work = sanitize(work, MAX_SCORE);
        estimate.samples = sanitize(samples, MAX_SCORE);
        estimate.sending_time = self.sent.filter(|sent| sent.is_finite() && *sent >= 0.0);
        estimate.latency_quantile = clamp_quantile(sanitize(self.slow, MAX_LATENCY_QUANTILE));
    }
}

impl RequestCounter {
    /// Restores levels, request rate and the objects that were requested lately. Times are limited
    /// to `now`.
    fn restore(&mut self, now: Timestamp, snapshot: &DecisionSnapshot) {
        for (key, level, since) in snapshot.levels.iter().take(MAX_TRACKED_OBJECTS) {
            let entry = ReplicationLevel { level: (*level).min(MAX_LEVEL), since: (*since).min(now) };
            self.levels.insert(*key, entry);
        }
        self.rate = sanitize(snapshot.rate, MAX_RATE);
        for (seen, restored) in self.seen.iter_mut().zip(&snapshot.seen) {
            seen.extend(restored.iter().take(MAX_TRACKED_OBJECTS));
        }
        self.seen_since = snapshot.seen_since.min(now);
    }
}

impl DecisionModule {
    /// The state that a successor's module can restore.
    pub fn snapshot(&self) -> DecisionSnapshot {
        let counter = &self.request_counter;
        let (purges, floor) = self.purges.list();
        DecisionSnapshot {
            endpoints: self.endpoints.listed().map(EndpointSnapshot::of).collect(),
            classes: self.service_times.iter().map(ClassSnapshot::of).collect(),
            levels: counter.levels.iter().map(|(key, entry)| (*key, entry.level, entry.since)).collect(),
            rate: counter.rate,
            seen: counter.seen.each_ref().map(|objects| objects.iter().copied().collect()),
            seen_since: counter.seen_since,
            purges,
            floor,
            retries: self.retry_budget.tokens,
            lost: self.lost_responses.share,
        }
    }

    /// Restores the state of a predecessor's module. Called after the endpoint list was received:
    /// endpoints that are not in it are ignored. The estimates of classes are assigned by class
    /// number. Numbers that are not finite and times in the future are not adopted.
    pub fn restore(&mut self, now: Timestamp, snapshot: &DecisionSnapshot) {
        for saved in snapshot.endpoints.iter().take(MAX_REMEMBERED_ENDPOINTS) {
            let id = EndpointId(saved.id);
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            saved.restore_into(now, endpoint);
            if endpoint.warm_up_started.is_some() || endpoint.process_lost {
                self.warming_up.insert(id);
            }
        }
        for (estimate, saved) in self.service_times.iter_mut().zip(&snapshot.classes) {
            saved.restore_into(estimate);
        }
        self.request_counter.restore(now, snapshot);
        self.purges.restore(now, &snapshot.purges, snapshot.floor, MAX_TRACKED_OBJECTS);
        self.retry_budget.tokens = sanitize(snapshot.retries, self.retry_budget.tokens);
        self.lost_responses.share = sanitize(snapshot.lost, MAX_LOST_SHARE);
    }
}
