//! Figures of a recording: of all its requests, and of each request class.

use hollymux_capture::{RecordedReason, RecordedRequest, RecordedResult, Recording};
use serde::Serialize;
use std::collections::BTreeMap;

const MICROS_PER_SECOND: f64 = 1e6;

/// How often each thing was recorded, by its name.
pub type Counts = BTreeMap<String, usize>;

/// What recordings hold. Its keys in JSON are a format that scripts read.
#[derive(Debug, Serialize)]
pub struct CaptureSummary {
    /// The routers that recorded.
    pub routers: Vec<String>,
    /// Their zones, each once.
    #[serde(rename = "offices")]
    pub zones: Vec<String>,
    /// From the first request's arrival to the last one's.
    pub seconds: f64,
    /// Requests in all.
    pub requests: usize,
    /// Requests a second; 0 if the time is 0.
    pub per_second: f64,
    /// Attempts of a request on average; 0 if there are no requests.
    pub attempts: f64,
    /// The request classes, in the order of the settings.
    pub classes: Vec<ClassSummary>,
    /// Requests by the last endpoint that they were sent to.
    #[serde(rename = "boxes")]
    pub endpoints: Counts,
    /// Changes of the endpoint list.
    #[serde(rename = "member_lines")]
    pub endpoint_updates: usize,
    /// Purges.
    pub purges: usize,
    /// Bytes of the files that can't be read.
    pub lost_bytes: u64,
    /// Blocks missing, as far as their numbers show.
    pub lost_blocks: u64,
    /// Entries that the routers had to drop.
    pub dropped: u64,
}

/// What recordings hold of one request class.
#[derive(Debug, Serialize)]
pub struct ClassSummary {
    /// The class.
    pub name: String,
    /// Its requests.
    pub requests: usize,
    /// Those that were served, with bytes or by the client's own copy.
    pub served: usize,
    /// Those that were served within the class's latency objective.
    pub in_time: usize,
    /// Different objects.
    pub objects: usize,
    /// Bytes of the answers.
    pub bytes: u64,
    /// Requests by their result.
    #[serde(rename = "ends")]
    pub results: Counts,
    /// Requests by why they were not served.
    pub reasons: Counts,
}

impl CaptureSummary {
    /// Summarises the recordings of one router or several.
    pub fn of(recording: &Recording) -> CaptureSummary {
        let requests = recording.requests.len();
        let seconds = seconds_recorded(recording);
        let attempts: u64 = recording.requests.iter().map(|row| u64::from(row.attempts)).sum();
        CaptureSummary {
            routers: recording.headers.iter().map(|head| head.router.clone()).collect(),
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

    /// Whether anything is missing from the recordings.
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
    let mut zones: Vec<String> = recording.headers.iter().map(|head| head.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

fn requests_by_endpoint(recording: &Recording) -> Counts {
    let mut counts = Counts::new();
    for row in recording.requests.iter().filter(|row| row.endpoint != RecordedRequest::NO_NAME) {
        let endpoint = recording.endpoint_name(u32::from(row.endpoint)).to_string();
        *counts.entry(endpoint).or_default() += 1;
    }
    counts
}

/// Classes are numbered by the first recording's head, as all of its rows are.
fn class_summaries(recording: &Recording) -> Vec<ClassSummary> {
    let Some(head) = recording.headers.first() else { return Vec::new() };
    let summary = |(number, class): (usize, &hollymux_capture::RecordedClass)| {
        let rows = recording.requests.iter().filter(|row| usize::from(row.class) == number);
        let objective = LatencyObjective {
            base_us: class.latency_objective as f64,
            stretch: class.latency_objective_stretch,
            transfer_bytes_per_s: head.transfer_bytes_per_s,
        };
        class_summary(&class.name, &rows.collect::<Vec<_>>(), &objective)
    };
    head.classes.iter().enumerate().map(summary).collect()
}

fn class_summary(name: &str, rows: &[&RecordedRequest], objective: &LatencyObjective) -> ClassSummary {
    let served =
        |row: &RecordedRequest| matches!(row.result, RecordedResult::Served | RecordedResult::NotModified);
    let served_in_time = |row: &RecordedRequest| served(row) && objective.is_met_by(row);
    let reasons = rows.iter().map(|row| row.reason).filter(|reason| *reason != RecordedReason::None);
    ClassSummary {
        name: name.to_string(),
        requests: rows.len(),
        served: rows.iter().filter(|row| served(row)).count(),
        in_time: rows.iter().filter(|row| served_in_time(row)).count(),
        objects: distinct_objects(rows),
        bytes: rows.iter().map(|row| u64::from(row.bytes)).sum(),
        results: counts_by_name(rows.iter().map(|row| row.result.name())),
        reasons: counts_by_name(reasons.map(RecordedReason::name)),
    }
}

/// The time within which a request counts as served in time: it grows with the size of the answer.
struct LatencyObjective {
    base_us: f64,
    /// Multiples of the time that the transfer itself takes, which are added.
    stretch: f64,
    /// Rate of one transfer to a client; 0 if it is not known, which adds nothing.
    transfer_bytes_per_s: f64,
}

impl LatencyObjective {
    fn is_met_by(&self, row: &RecordedRequest) -> bool {
        let transfer_s = if self.transfer_bytes_per_s > 0.0 {
            f64::from(row.bytes) / self.transfer_bytes_per_s
        } else {
            0.0
        };
        f64::from(row.duration) <= self.base_us + self.stretch * transfer_s * MICROS_PER_SECOND
    }
}

fn distinct_objects(rows: &[&RecordedRequest]) -> usize {
    let mut objects: Vec<u64> = rows.iter().map(|row| row.object).collect();
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
