//! Counts and rates of a recording, in total and by request class.

use hollymux_capture::{RecordedReason, RecordedRequest, RecordedResult, Recording};
use serde::Serialize;
use std::collections::BTreeMap;

const MICROS_PER_SECOND: f64 = 1e6;

/// Number of requests by the name of an endpoint, result or reason.
pub type Counts = BTreeMap<String, usize>;

/// The summary of a recording. Scripts read its JSON, so the keys and their order are an interface.
#[derive(Debug, Serialize)]
pub struct CaptureSummary {
    /// The names of the routers that recorded.
    pub routers: Vec<String>,
    /// The names of the routers' zones, sorted and without duplicates.
    #[serde(rename = "offices")]
    pub zones: Vec<String>,
    /// Seconds from the arrival of the first request to that of the last one.
    pub seconds: f64,
    /// Number of requests in the recording.
    pub requests: usize,
    /// Requests per second; 0 if `seconds` is 0.
    pub per_second: f64,
    /// Mean number of attempts per request; 0 if there are no requests.
    pub attempts: f64,
    /// Summaries of the request classes, in the order of the settings.
    pub classes: Vec<ClassSummary>,
    /// Number of requests by the endpoint of their last attempt.
    #[serde(rename = "boxes")]
    pub endpoints: Counts,
    /// Number of recorded changes of the endpoint list.
    #[serde(rename = "member_lines")]
    pub endpoint_updates: usize,
    /// Number of recorded purges.
    pub purges: usize,
    /// Bytes of the files that could not be decoded.
    pub lost_bytes: u64,
    /// Missing blocks, as far as gaps in the block numbers show them.
    pub lost_blocks: u64,
    /// Number of entries that the routers dropped while recording.
    pub dropped: u64,
}

/// The summary of one request class. Scripts read its JSON.
#[derive(Debug, Serialize)]
pub struct ClassSummary {
    /// The name of the class in the recordings.
    pub name: String,
    /// Number of requests of the class.
    pub requests: usize,
    /// Number of requests answered with bytes, or by confirming the client's own copy.
    pub served: usize,
    /// Number of served requests that met the class's latency objective.
    pub in_time: usize,
    /// Number of distinct objects that were requested.
    pub objects: usize,
    /// Total size of the response bodies, in bytes.
    pub bytes: u64,
    /// Number of requests by result.
    #[serde(rename = "ends")]
    pub results: Counts,
    /// Number of requests by the reason for not being served.
    pub reasons: Counts,
}

impl CaptureSummary {
    /// Summarizes a recording of one or several routers.
    pub fn of(recording: &Recording) -> CaptureSummary {
        let requests = recording.requests.len();
        let seconds = seconds_recorded(recording);
        let attempts: u64 = recording.requests.iter().map(|request| u64::from(request.attempts)).sum();
        CaptureSummary {
            routers: recording.headers.iter().map(|header| header.router.clone()).collect(),
            zones: zones(recording),
            seconds,
            requests,
            per_second: if seconds > 0.0 { requests as f64 / seconds } else { 0.0 },
            attempts: if requests > 0 { attempts as f64 / requests as f64 } else { 0.0 },
            classes: class_summaries(recording),
            endpoints: requests_by_endpoint(recording),
            endpoint_updates: recording.endpoint_updates.len(),
            purges: recording.purges.len(),
            lost_bytes: recording.loss.bytes,
            lost_blocks: recording.loss.blocks,
            dropped: recording.loss.dropped,
        }
    }

    /// Whether the recording lacks any data.
    pub fn is_incomplete(&self) -> bool {
        self.lost_bytes > 0 || self.lost_blocks > 0 || self.dropped > 0
    }
}

fn seconds_recorded(recording: &Recording) -> f64 {
    match (recording.requests.first(), recording.requests.last()) {
        (Some(first), Some(last)) => (last.arrived - first.arrived) as f64 / MICROS_PER_SECOND,
        _ => 0.0,
    }
}

fn zones(recording: &Recording) -> Vec<String> {
    let mut zones: Vec<String> = recording.headers.iter().map(|header| header.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

fn requests_by_endpoint(recording: &Recording) -> Counts {
    let mut counts = Counts::new();
    for request in recording.requests.iter().filter(|request| request.endpoint != RecordedRequest::NO_NAME) {
        let endpoint = recording.endpoint_name(u32::from(request.endpoint)).to_string();
        *counts.entry(endpoint).or_default() += 1;
    }
    counts
}

/// Loading fails if classes differ between headers, so the first header holds for all requests.
fn class_summaries(recording: &Recording) -> Vec<ClassSummary> {
    let Some(header) = recording.headers.first() else { return Vec::new() };
    let summary = |(number, class): (usize, &hollymux_capture::RecordedClass)| {
        let requests = recording.requests.iter().filter(|request| usize::from(request.class) == number);
        let objective = LatencyObjective {
            base_us: class.latency_objective as f64,
            stretch: class.latency_objective_stretch,
            transfer_bytes_per_s: header.transfer_bytes_per_s,
        };
        class_summary(&class.name, &requests.collect::<Vec<_>>(), &objective)
    };
    header.classes.iter().enumerate().map(summary).collect()
}

fn class_summary(name: &str, requests: &[&RecordedRequest], objective: &LatencyObjective) -> ClassSummary {
    let served = |request: &RecordedRequest| {
        matches!(request.result, RecordedResult::Served | RecordedResult::NotModified)
    };
    let served_in_time = |request: &RecordedRequest| served(request) && objective.is_met_by(request);
    let reasons =
        requests.iter().map(|request| request.reason).filter(|reason| *reason != RecordedReason::None);
    ClassSummary {
        name: name.to_string(),
        requests: requests.len(),
        served: requests.iter().filter(|request| served(request)).count(),
        in_time: requests.iter().filter(|request| served_in_time(request)).count(),
        objects: distinct_objects(requests),
        bytes: requests.iter().map(|request| u64::from(request.bytes)).sum(),
        results: counts_by_name(requests.iter().map(|request| request.result.name())),
        reasons: counts_by_name(reasons.map(RecordedReason::name)),
    }
}

/// The time within which a request must be served to be in time. It grows with the size of the
/// response.
struct LatencyObjective {
    /// The part that does not depend on the response, in microseconds.
    base_us: f64,
    /// The multiple of the transfer time that is added to `base_us`.
    stretch: f64,
    /// Rate of one transfer to a client, in bytes per second; 0 if it is unknown, and no transfer
    /// time is added.
    transfer_bytes_per_s: f64,
}

impl LatencyObjective {
    fn is_met_by(&self, request: &RecordedRequest) -> bool {
        let transfer_s = if self.transfer_bytes_per_s > 0.0 {
            f64::from(request.bytes) / self.transfer_bytes_per_s
        } else {
            0.0
        };
        f64::from(request.duration) <= self.base_us + self.stretch * transfer_s * MICROS_PER_SECOND
    }
}

fn distinct_objects(requests: &[&RecordedRequest]) -> usize {
    let mut objects: Vec<u64> = requests.iter().map(|request| request.object).collect();
    objects.sort_unstable();
    objects.dedup();
    objects.len()
}

fn counts_by_name(names: impl Iterator<Item = &'static str>) -> Counts {
    let mut counts = Counts::new();
    for name in names {
        *counts.entry(name.to_string()).or_default() += 1;
    }
    counts
}
