//! The rows of a sweep as a Markdown table. Its column heads keep older terms than the code,
//! because scripts may read them.

use super::{Outage, SweepRow};
use std::collections::BTreeMap;

const HEADER: &str = "| lost | for s | routers | days | rules broken | fell untold | worth, least and mean \
    | back after s, median and most | not back | cold box, most | cold hub, most and mean | library/s, most \
    | attempts, most |\n\
    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// The parameters that one line of the table summarizes runs by.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LineKey {
    outage: Outage,
    duration_ms: u64,
    routers: usize,
}

/// Renders the rows as a table with one line per outage, duration and number of routers, which
/// summarizes the runs over all other parameters.
pub fn table(rows: &[SweepRow]) -> String {
    let mut lines: BTreeMap<LineKey, Vec<&SweepRow>> = BTreeMap::new();
    for row in rows {
        let duration_ms = (row.duration_s * 1_000.0) as u64;
        let key = LineKey { outage: row.outage, duration_ms, routers: row.routers };
        lines.entry(key).or_default().push(row);
    }
    let lines = lines.into_iter().map(|(key, rows)| line(&key, &rows));
    HEADER.to_string() + &lines.collect::<String>()
}

fn line(key: &LineKey, rows: &[&SweepRow]) -> String {
    let min = |value: fn(&SweepRow) -> f64| rows.iter().map(|row| value(row)).fold(f64::INFINITY, f64::min);
    let max = |value: fn(&SweepRow) -> f64| rows.iter().map(|row| value(row)).fold(0.0, f64::max);
    let sum = |value: fn(&SweepRow) -> f64| rows.iter().map(|row| value(row)).sum::<f64>();
    let mut recoveries: Vec<f64> = rows.iter().filter_map(|row| row.recovery_s).collect();
    recoveries.sort_by(f64::total_cmp);
    let violations: u64 = rows.iter().flat_map(|row| row.violations.values()).sum();
    let parent_means: Vec<f64> = rows.iter().filter_map(|row| row.quota_means[1]).collect();
    format!(
        "| {} | {} | {} | {} | {violations} | {} | {:.3} / {:.3} | {} / {} | {} | {:.2} \
         | {:.2} / {} | {:.0} | {:.2} |\n",
        outage_name(key.outage),
        key.duration_ms as f64 / 1_000.0,
        key.routers,
        rows.len(),
        rows.iter().map(|row| row.overloads_before_known).sum::<u64>(),
        min(|row| row.earned_share),
        sum(|row| row.earned_share) / rows.len() as f64,
        seconds(recoveries.get(recoveries.len() / 2)),
        seconds(recoveries.last()),
        rows.len() - recoveries.len(),
        max(|row| row.quota_peaks[0]),
        max(|row| row.quota_peaks[1]),
        mean(&parent_means).map_or("-".to_string(), |mean| format!("{mean:.2}")),
        max(|row| row.origin_requests_per_s),
        max(|row| row.attempts),
    )
}

/// The name of an outage in the sweep file.
fn outage_name(outage: Outage) -> String {
    let json = serde_json::to_string(&outage).expect("an outage serializes to a JSON string");
    json.trim_matches('"').to_string()
}

fn seconds(value: Option<&f64>) -> String {
    value.map_or("-".to_string(), |seconds| format!("{seconds:.1}"))
}

fn mean(values: &[f64]) -> Option<f64> {
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}
