//! Formats the summary of recorded traffic as text.

use super::summary::{CaptureSummary, ClassSummary, Counts};

/// Formats one line on all requests, one for each class, one on endpoints and purges, and one on
/// missing data.
pub fn render(summary: &CaptureSummary) -> String {
    let mut lines = vec![requests_line(summary)];
    lines.extend(summary.classes.iter().map(class_line));
    lines.push(format!(
        "{} boxes asked, {} lines of members, {} purges",
        summary.endpoints.len(),
        summary.endpoint_updates,
        summary.purges
    ));
    lines.push(loss_line(summary));
    lines.join("\n") + "\n"
}

fn requests_line(summary: &CaptureSummary) -> String {
    format!(
        "{} requests in {:.1} s ({:.1} a second), {:.2} attempts each, by {} at {}",
        summary.requests,
        summary.seconds,
        summary.per_second,
        summary.attempts,
        summary.routers.join(", "),
        summary.zones.join(", ")
    )
}

fn class_line(class: &ClassSummary) -> String {
    let results = listed(&class.results);
    let reasons = listed(&class.reasons);
    let reasons = if reasons.is_empty() { reasons } else { format!(" ({reasons})") };
    format!(
        "{:<16} {:>8} requests, {:>8} served, {:>8} in time; {} objects, {} bytes; {results}{reasons}",
        class.name, class.requests, class.served, class.in_time, class.objects, class.bytes,
    )
}

fn listed(counts: &Counts) -> String {
    let each = counts.iter().map(|(name, count)| format!("{name} {count}"));
    each.collect::<Vec<_>>().join(", ")
}

fn loss_line(summary: &CaptureSummary) -> String {
    if !summary.is_incomplete() {
        return "nothing is missing".to_string();
    }
    format!(
        "missing: {} bytes that can't be read, {} blocks by their numbers, {} entries dropped by routers",
        summary.lost_bytes, summary.lost_blocks, summary.dropped
    )
}
