//! What a module knows that another one at its place would have to learn anew: plain data, handed
//! to the process that replaces this one. Open requests stay here and are no part of it.

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

/// Bounds of what is taken over beside those of the module's own tables: entries of one endpoint's
/// load history, ...
const MAX_LOAD_HISTORY: usize = 10_000;
/// ...scores, counts and seconds of work, ...
const MAX_SCORE: f64 = 1e6;
/// ...requests a second, ...
const MAX_RATE: f64 = 1e9;
/// ...and the share of lost responses, which stays below 1.
const MAX_LOST_SHARE: f64 = 0.9;

/// All that is handed over. The names of the fields are free, their order and types are the format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionSnapshot {
    /// The endpoints of the list.
    pub endpoints: Vec<EndpointSnapshot>,
    /// The classes, by number.
    pub classes: Vec<ClassSnapshot>,
    /// Replication levels: hash key of the object, level, and since when.
    pub levels: Vec<(u64, u32, Timestamp)>,
    /// Requests a second, smoothed.
    pub rate: f64,
    /// Hash keys of the objects requested lately: in the span that has begun last, and in the one
    /// before.
    pub seen: [Vec<u64>; 2],
    /// When the last span began.
    pub seen_since: Timestamp,
    /// Purges: whether of a group, of which object or group, and when.
    pub purges: Vec<(bool, u64, Timestamp)>,
    /// Every object counts as purged then.
    pub floor: Timestamp,
    /// Retries that the budget holds.
    pub retries: f64,
    /// Share of responses that are lost.
    pub lost: f64,
}

/// What is known of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// Its identity.
    pub id: u64,
    /// Since when it may be warming up.
    pub cold_since: Option<Timestamp>,
    /// Error score, error rate, and overdue score as a parent cache.
    pub blame: [f64; 3],
    /// When it responded last.
    pub last_ok: Timestamp,
    /// How often it responds: responses in about ten seconds.
    pub answers: f64,
    /// Ejected until then.
    pub out: Option<Timestamp>,
    /// The next ejection lasts this long.
    #[serde(with = "serde_micros")]
    pub backoff: Duration,
    /// Its process was seen to end.
    pub died: bool,
    /// Part of the latency objective that its responses take.
    pub tardy: f64,
    /// Attempts in flight, smoothed, and as of when.
    pub load: (f64, Timestamp),
    /// Work that was sent to it lately: when, and seconds of sending.
    pub ledger: Vec<(Timestamp, f64)>,
}

/// What is known of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassSnapshot {
    /// Mean work in seconds, and from how many samples.
    pub work: (f64, f64),
    /// Mean sending time of the bytes, in seconds.
    pub sent: Option<f64>,
    /// High quantile of latency, as a multiple of the expected latency.
    pub slow: f64,
}

/// A restored number: 0 if it is not finite, else within 0 and `max`.
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
    /// What another module could go on with.
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

    /// Goes on with what another module knew, after the endpoint list was received. Classes are
    /// this module's own, by number; what is not finite or lies in the future is not taken.
    pub fn restore(&mut self, now: Timestamp, snapshot: &DecisionSnapshot) {
        for known in snapshot.endpoints.iter().take(MAX_REMEMBERED_ENDPOINTS) {
            let id = EndpointId(known.id);
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            known.restore_into(now, endpoint);
            if endpoint.warm_up_started.is_some() || endpoint.process_lost {
                self.warming_up.insert(id);
            }
        }
        for (estimate, known) in self.service_times.iter_mut().zip(&snapshot.classes) {
            known.restore_into(estimate);
        }
        self.request_counter.restore(now, snapshot);
        self.purges.restore(now, &snapshot.purges, snapshot.floor, MAX_TRACKED_OBJECTS);
        self.retry_budget.tokens = sanitize(snapshot.retries, self.retry_budget.tokens);
        self.lost_responses.share = sanitize(snapshot.lost, MAX_LOST_SHARE);
    }
}
