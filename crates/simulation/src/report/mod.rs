//! The report of a run: text for people, JSON for programs, and an HTML page with plots.
//!
//! The keys of the JSON keep older terms than the code, because programs read them.

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

/// Longest latency that the histogram distinguishes; longer ones count as this.
const MAX_LATENCY: u64 = 120 * SEC;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Smallest time by which counts are divided, so that rates stay finite.
const MIN_SECONDS: f64 = 1e-9;

/// A named value, serialized as an array of its name and its value.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, T)", bound = "T: Clone + Serialize")]
pub struct Named<T> {
    /// The name of the resource, link or server.
    pub name: String,
    /// The measured value for the named resource, link or server.
    pub value: T,
}

impl<T> From<Named<T>> for (String, T) {
    fn from(named: Named<T>) -> Self {
        (named.name, named.value)
    }
}

/// The priority weights of one second of the run, serialized as an array of both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct SecondWeights {
    /// The weight earned by the requests whose first attempt was due in this second.
    pub earned: f64,
    /// The most that these requests could earn.
    pub offered: f64,
}

impl From<SecondWeights> for (f64, f64) {
    fn from(second: SecondWeights) -> Self {
        (second.earned, second.offered)
    }
}

/// The figures of one class, over the requests that were due after the warm-up.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// The name of the class in the scenario.
    pub name: String,
    /// The number of clients' requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// The number of requests served within the latency objective.
    pub in_time: u64,
    /// The number of requests served after the latency objective.
    pub late: u64,
    /// The number of requests whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// The number of requests whose last attempt failed or lost its connection.
    pub failed: u64,
    /// The number of requests whose last attempt timed out.
    #[serde(rename = "unanswered")]
    pub timed_out: u64,
    /// The weight earned over the weight offered, from 0 to 1.
    #[serde(rename = "served_worth")]
    pub earned_share: f64,
    /// The 50th, 90th, 99th and 99.9th percentiles of the latency of served requests, in
    /// milliseconds since the first attempt was due.
    pub percentiles_ms: [f64; 4],
}

/// The figures of a run. Figures of requests cover the time after the warm-up unless they say
/// otherwise.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The weight earned over the weight offered, from 0 to 1.
    #[serde(rename = "served_worth")]
    pub earned_share: f64,
    /// The share of the weight offered whose requests were served in time, with fresh or stale
    /// copies.
    #[serde(rename = "in_time_worth")]
    pub in_time_share: f64,
    /// Clients' requests per second.
    #[serde(rename = "asked_per_s")]
    pub requests_per_s: f64,
    /// Attempts of clients per request.
    #[serde(rename = "tries")]
    pub client_attempts: f64,
    /// Attempts that reached servers, per request of a client; both are counted over the whole run.
    pub attempts: f64,
    /// Bytes that the sites' incoming links carried, per byte served.
    #[serde(rename = "filled")]
    pub filled_per_served: f64,
    /// Requests that reached the origin per second, over the whole run.
    #[serde(rename = "library_per_s")]
    pub origin_requests_per_s: f64,
    /// How often the origin stopped because far too many requests reached it.
    #[serde(rename = "library_fell")]
    pub origin_stops: u64,
    /// The figures of each class, in the scenario's order.
    pub classes: Vec<ClassReport>,
    /// The share of each resource that was used, the most used first.
    #[serde(rename = "used")]
    pub resource_use: Vec<Named<f64>>,
    /// The bytes that each link carried between the end of the warm-up and the end of the load.
    #[serde(rename = "carried")]
    pub carried_bytes: Vec<Named<f64>>,
    /// The number of requests to which routers sent no bytes, by class, end and reason. The counts
    /// come from the routers' recordings; [`Report::new`] leaves them empty.
    pub reasons: BTreeMap<String, u64>,
    /// The number of rejected requests, by server; servers that rejected none are left out.
    #[serde(rename = "turned_away")]
    pub rejected_by_server: Vec<Named<u64>>,
    /// The number of violations by rule; empty if every rule held.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<String, u64>,
    /// The number of servers that were overloaded while they warmed up, mainly by load that was
    /// sent before all routers knew of their start.
    #[serde(rename = "fell_untold")]
    pub overloads_before_known: u64,
    /// The load on servers that warm up, by the tier of the server.
    #[serde(rename = "limits")]
    pub warm_up_quotas: BTreeMap<String, QuotaReport>,
    /// The figures of the routers' views of each other; `None` if the routers form no cluster.
    #[serde(rename = "fleet")]
    pub cluster: Option<ClusterReport>,
    /// The weights offered and earned in each second of the run, warm-up included.
    pub seconds: Vec<SecondWeights>,
}

/// The load that all routers together put on the servers of one tier while they warm up. Every
/// figure is a share of what the routers may send within a window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct QuotaReport {
    /// The quota itself, which is always 1.
    pub bound: f64,
    /// The peak of the quota used within a window, by the routers' own accounts and once all of
    /// them know that the server warms up. They charge each request the mean work of its class,
    /// waits included.
    #[serde(rename = "worst")]
    pub used_peak: f64,
    /// The mean of the quota used while demand was at least the whole quota; `None` on sockets, or
    /// if demand was never that high.
    pub used_mean: Option<f64>,
    /// The peak of the load that reached such a server within a window. Each request counts with
    /// the mean size of its class.
    #[serde(rename = "came_worst")]
    pub arrived_peak: f64,
    /// The mean of the load that reached such servers while they warmed up; `None` if none warmed
    /// up.
    #[serde(rename = "came_mean")]
    pub arrived_mean: Option<f64>,
}

/// A selection of requests, with counts and sums over them.
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

/// The quotient of two numbers; 0 if the divisor is 0.
fn ratio(dividend: f64, divisor: f64) -> f64 {
    if divisor > 0.0 {
        dividend / divisor
    } else {
        0.0
    }
}

impl Report {
    /// Computes the figures of a run from the clients' requests, the servers' counters and those of
    /// the driver.
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
            origin_stops: model.origin_stops(),
            classes: class_reports(scenario, &counted),
            resource_use: resource_use(model),
            carried_bytes: carried_bytes(model),
            reasons: BTreeMap::new(),
            rejected_by_server: rejected_by_server(model),
            violations: violations(model, &run.counters),
            overloads_before_known: model.overloads_before_known(),
            warm_up_quotas: quota_reports(model, &run.counters),
            cluster: run.counters.cluster,
            seconds: weights_by_second(scenario, run),
        }
    }

    /// Serializes the report as JSON, which ends with a line feed.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("all map keys of a report are strings") + "\n"
    }
}

fn class_reports(scenario: &Scenario, counted: &Selection<'_>) -> Vec<ClassReport> {
    let requests_of = |index: usize| {
        Selection(counted.0.iter().copied().filter(|request| request.class == index).collect())
    };
    let classes = scenario.classes.iter().enumerate();
    classes.map(|(index, class)| class_report(class, &requests_of(index))).collect()
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
        .expect("histogram bounds and significant digits are within the limits of the library");
    latencies.for_each(|latency| histogram.saturating_record(latency.max(1)));
    [0.5, 0.9, 0.99, 0.999].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1e3)
}

fn resource_use(model: &ServerModel) -> Vec<Named<f64>> {
    let resources = model.resource_use().into_iter();
    let mut resources_by_use: Vec<Named<f64>> =
        resources.map(|resource| Named { name: resource.name, value: resource.share }).collect();
    resources_by_use.sort_by(|one, other| other.value.total_cmp(&one.value).then(one.name.cmp(&other.name)));
    resources_by_use
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
