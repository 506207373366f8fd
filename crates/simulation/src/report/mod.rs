//! What a run came to: figures for people, JSON for programs, a page with plots.
//!
//! The keys of the JSON are older than the terms of the code and stay as they are.

mod page;
mod text;

pub use page::PageError;
pub(crate) use text::{COLD_EDGE_CACHE, COLD_PARENT_CACHE};

use crate::cluster_report::ClusterReport;
use crate::load::{ClientOutcome, CompletedRequest};
use crate::model::ServerModel;
use crate::run_result::{DriverCounters, RunResult};
use crate::scenario::{RequestClass, Scenario};
use crate::statistics::Samples;
use crate::time::from_seconds;
use crate::{Time, SEC};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// The longest latency that a histogram tells from longer ones, in microseconds.
const MAX_LATENCY: u64 = 120 * SEC;
/// Significant figures of latencies.
const LATENCY_DIGITS: u8 = 3;
/// Keeps a rate finite where nothing is counted.
const MIN_SECONDS: f64 = 1e-9;

/// A value with a name; an array of both in JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, T)", bound = "T: Clone + Serialize")]
pub struct Named<T> {
    /// The name.
    pub name: String,
    /// The value.
    pub value: T,
}

impl<T> From<Named<T>> for (String, T) {
    fn from(named: Named<T>) -> Self {
        (named.name, named.value)
    }
}

/// Priority weight within one second of the run; an array of both in JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct SecondWeights {
    /// What requests earned that were due in this second.
    pub earned: f64,
    /// What they could earn at most.
    pub offered: f64,
}

impl From<SecondWeights> for (f64, f64) {
    fn from(second: SecondWeights) -> Self {
        (second.earned, second.offered)
    }
}

/// Figures of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// Requests of clients.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Those served within the latency objective.
    pub in_time: u64,
    /// Those served later.
    pub late: u64,
    /// Those whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Those whose last attempt failed.
    pub failed: u64,
    /// Those whose last attempt timed out.
    #[serde(rename = "unanswered")]
    pub timed_out: u64,
    /// The weight earned over the weight offered.
    #[serde(rename = "served_worth")]
    pub earned_share: f64,
    /// Milliseconds from when the first attempt was due, of what was served: 50, 90, 99, 99.9 per
    /// cent.
    pub percentiles_ms: [f64; 4],
}

/// Figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The weight earned over the weight offered.
    #[serde(rename = "served_worth")]
    pub earned_share: f64,
    /// The part of the weight offered that was served in time, fresh or stale.
    #[serde(rename = "in_time_worth")]
    pub in_time_share: f64,
    /// Requests of clients a second.
    #[serde(rename = "asked_per_s")]
    pub requests_per_s: f64,
    /// Attempts of clients for each request.
    #[serde(rename = "tries")]
    pub client_attempts: f64,
    /// Attempts that reached servers, for each request of a client.
    pub attempts: f64,
    /// Bytes that came in through the sites' links, for each byte served.
    #[serde(rename = "filled")]
    pub filled_per_served: f64,
    /// Requests of the origin a second.
    #[serde(rename = "library_per_s")]
    pub origin_requests_per_s: f64,
    /// How often the origin stopped because far too much was requested of it.
    #[serde(rename = "library_fell")]
    pub origin_falls: u64,
    /// By class.
    pub classes: Vec<ClassReport>,
    /// How much each resource was used, the most used first.
    #[serde(rename = "used")]
    pub resource_use: Vec<Named<f64>>,
    /// Bytes that each link carried after the warm-up.
    #[serde(rename = "carried")]
    pub carried_bytes: Vec<Named<f64>>,
    /// Why routers served requests no bytes, by class, end and reason; from their recordings.
    pub reasons: BTreeMap<String, u64>,
    /// Requests rejected, by server.
    #[serde(rename = "turned_away")]
    pub rejected_by_server: Vec<Named<u64>>,
    /// Rules violated, and how often.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<String, u64>,
    /// Servers that fell over while warming up before routers could know of their start.
    #[serde(rename = "fell_untold")]
    pub falls_before_known: u64,
    /// How much was sent to servers that warm up, by kind of server.
    #[serde(rename = "limits")]
    pub warm_up_quotas: BTreeMap<String, QuotaReport>,
    /// What the routers' views came to; none where routers form no cluster.
    #[serde(rename = "fleet")]
    pub cluster: Option<ClusterReport>,
    /// By second of the run.
    pub seconds: Vec<SecondWeights>,
}

/// What all routers together sent to servers that warm up within a window, as parts of what they
/// may.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct QuotaReport {
    /// The whole.
    pub bound: f64,
    /// The most in any window by the routers' accounts, once all of them know that the server warms
    /// up; they count a class's mean work, waits included.
    #[serde(rename = "worst")]
    pub used_peak: f64,
    /// On average while more was wanted than there is; none on sockets, or if it never was.
    pub used_mean: Option<f64>,
    /// The most that reached such a server, by its size.
    #[serde(rename = "came_worst")]
    pub arrived_peak: f64,
    /// On average while it warmed up; none: none did.
    #[serde(rename = "came_mean")]
    pub arrived_mean: Option<f64>,
}

/// Requests that count, with sums over them.
struct Selection<'a>(Vec<&'a CompletedRequest>);

impl Selection<'_> {
    fn sum(&self, value: impl Fn(&CompletedRequest) -> f64) -> f64 {
        self.0.iter().map(|request| value(request)).sum()
    }

    fn count(&self, which: impl Fn(&CompletedRequest) -> bool) -> u64 {
        self.0.iter().filter(|request| which(request)).count() as u64
    }

    fn offered(&self) -> f64 {
        self.sum(|request| request.weight)
    }

    fn earned_share(&self) -> f64 {
        ratio(self.sum(|request| request.earned), self.offered())
    }

    fn in_time_share(&self) -> f64 {
        let in_time = self.0.iter().filter(|request| request.in_time);
        ratio(in_time.map(|request| request.weight).sum(), self.offered())
    }
}

/// A quotient; 0 where there is nothing to divide by.
fn ratio(dividend: f64, divisor: f64) -> f64 {
    if divisor > 0.0 {
        dividend / divisor
    } else {
        0.0
    }
}

impl Report {
    /// Adds up what clients saw after the warm-up and what the servers counted.
    pub fn new(scenario: &Scenario, run: &RunResult) -> Report {
        let counted_from = run.start + from_seconds(scenario.warm_up_s);
        let counted_s = (scenario.seconds - scenario.warm_up_s).max(MIN_SECONDS);
        let counted = run.completed.iter().filter(|request| request.due >= counted_from);
        let counted = Selection(counted.collect());
        let requests = counted.0.len() as f64;
        let served_bytes: u64 = counted.0.iter().map(|request| request.bytes).sum();
        let model = &run.model;
        Report {
            earned_share: counted.earned_share(),
            in_time_share: counted.in_time_share(),
            requests_per_s: requests / counted_s,
            client_attempts: ratio(counted.sum(|request| f64::from(request.attempts)), requests),
            attempts: ratio(run.counters.attempts as f64, run.completed.len() as f64),
            filled_per_served: ratio(model.filled_bytes(), served_bytes as f64),
            origin_requests_per_s: model.origin_requests() as f64 / scenario.seconds,
            origin_falls: model.origin_falls(),
            classes: class_reports(scenario, &counted),
            resource_use: resource_use(model),
            carried_bytes: carried_bytes(model),
            reasons: BTreeMap::new(),
            rejected_by_server: rejected_by_server(model),
            violations: violations(model, &run.counters),
            falls_before_known: model.falls_before_known(),
            warm_up_quotas: quota_reports(model, &run.counters),
            cluster: run.counters.cluster,
            seconds: weights_by_second(scenario, run),
        }
    }

    /// The figures as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("keys of a report are strings") + "\n"
    }
}

fn class_reports(scenario: &Scenario, counted: &Selection<'_>) -> Vec<ClassReport> {
    let of_class = |index: usize| {
        Selection(counted.0.iter().copied().filter(|request| request.class == index).collect())
    };
    let classes = scenario.classes.iter().enumerate();
    classes.map(|(index, class)| class_report(class, &of_class(index))).collect()
}

fn class_report(class: &RequestClass, requests: &Selection<'_>) -> ClassReport {
    ClassReport {
        name: class.name.clone(),
        requests: requests.0.len() as u64,
        in_time: requests.count(|request| request.in_time),
        late: requests.count(|request| request.latency.is_some() && !request.in_time),
        rejected: requests.count(|request| matches!(request.outcome, ClientOutcome::Rejected { .. })),
        failed: requests.count(|request| {
            matches!(request.outcome, ClientOutcome::Failed | ClientOutcome::ConnectionLost)
        }),
        timed_out: requests.count(|request| request.outcome == ClientOutcome::TimedOut),
        earned_share: requests.earned_share(),
        percentiles_ms: percentiles_ms(requests.0.iter().filter_map(|request| request.latency)),
    }
}

fn percentiles_ms(latencies: impl Iterator<Item = Time>) -> [f64; 4] {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY, LATENCY_DIGITS)
        .expect("the bounds are ordered and the digits at most 5");
    latencies.for_each(|latency| histogram.saturating_record(latency.max(1)));
    [0.5, 0.9, 0.99, 0.999].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1e3)
}

fn resource_use(model: &ServerModel) -> Vec<Named<f64>> {
    let resources = model.resource_use().into_iter();
    let mut used: Vec<Named<f64>> =
        resources.map(|resource| Named { name: resource.name, value: resource.part }).collect();
    used.sort_by(|one, other| other.value.total_cmp(&one.value).then(one.name.cmp(&other.name)));
    used
}

fn carried_bytes(model: &ServerModel) -> Vec<Named<f64>> {
    let resources = model.resource_use().into_iter();
    resources.filter_map(|resource| Some(Named { name: resource.name, value: resource.bytes? })).collect()
}

fn rejected_by_server(model: &ServerModel) -> Vec<Named<u64>> {
    let rejected = model.rejected_by_server().into_iter();
    rejected.map(|(name, value)| Named { name, value }).collect()
}

fn violations(model: &ServerModel, counters: &DriverCounters) -> BTreeMap<String, u64> {
    let by_model = model.violations().iter();
    let mut violations: BTreeMap<String, u64> =
        by_model.map(|(rule, count)| ((*rule).to_string(), *count)).collect();
    if counters.surplus_answers > 0 {
        violations.insert("one final answer".into(), counters.surplus_answers);
    }
    violations
}

fn quota_reports(model: &ServerModel, counters: &DriverCounters) -> BTreeMap<String, QuotaReport> {
    let report = |used: Samples, arrived: Samples| QuotaReport {
        bound: 1.0,
        used_peak: used.peak(),
        used_mean: used.mean(),
        arrived_peak: arrived.peak(),
        arrived_mean: arrived.mean(),
    };
    let (used, arrived) = (counters.quota_use, model.warm_up_use());
    BTreeMap::from([
        (COLD_EDGE_CACHE.to_string(), report(used.edge, arrived.edge)),
        (COLD_PARENT_CACHE.to_string(), report(used.parent, arrived.parent)),
    ])
}

fn weights_by_second(scenario: &Scenario, run: &RunResult) -> Vec<SecondWeights> {
    let mut seconds = vec![SecondWeights::default(); scenario.seconds.ceil() as usize];
    for request in &run.completed {
        let index = (request.due.saturating_sub(run.start) / SEC) as usize;
        if let Some(second) = seconds.get_mut(index) {
            second.earned += request.earned;
            second.offered += request.weight;
        }
    }
    seconds
}
