//! The report as text. It keeps older terms than the code, because scripts may read it.

use super::{ClassReport, QuotaReport, Report};
use crate::cluster_report::ClusterReport;
use std::collections::BTreeMap;

/// The key of edge caches in [`Report::warm_up_quotas`].
pub(crate) const COLD_EDGE_CACHE: &str = "cold box";
/// The key of parent caches in [`Report::warm_up_quotas`].
pub(crate) const COLD_PARENT_CACHE: &str = "cold hub";
/// Number of the most used resources that the text names.
const MAX_RESOURCES: usize = 6;

impl Report {
    /// Renders the report as text, which ends with a line feed.
    pub fn text(&self) -> String {
        let mut lines = vec![self.summary_line(), CLASS_HEADER.to_string()];
        lines.extend(self.classes.iter().map(class_line));
        lines.push(self.resources_line());
        lines.extend(self.reasons_line());
        lines.extend(self.rejections_line());
        lines.push(self.violations_line());
        lines.extend(self.cluster.as_ref().map(cluster_line));
        lines.extend(self.warm_up_quotas.iter().filter_map(|(name, quota)| quota_line(name, quota)));
        lines.extend(self.falls_lines());
        lines.join("\n") + "\n"
    }

    fn summary_line(&self) -> String {
        format!(
            "served worth {:.3} (in time {:.3}) of {:.0} first tries a second; \
             {:.2} tries and {:.2} attempts each; filled {:.2} bytes for each served; library {:.1} calls a second",
            self.earned_share,
            self.in_time_share,
            self.requests_per_s,
            self.client_attempts,
            self.attempts,
            self.filled_per_served,
            self.origin_requests_per_s
        )
    }

    fn resources_line(&self) -> String {
        let most_used = self.resource_use.iter().take(MAX_RESOURCES);
        let most_used: Vec<String> =
            most_used.map(|resource| format!("{} {:.0}%", resource.name, resource.value * 100.0)).collect();
        format!("most used: {}", most_used.join(", "))
    }

    fn reasons_line(&self) -> Option<String> {
        let reasons = counts(&self.reasons)?;
        Some(format!("not served, by class, end and reason: {reasons}"))
    }

    fn rejections_line(&self) -> Option<String> {
        let most = self.rejected_by_server.iter().max_by_key(|server| server.value)?;
        let all: u64 = self.rejected_by_server.iter().map(|server| server.value).sum();
        Some(format!("calls turned away: {all}, most by {} {}", most.name, most.value))
    }

    fn violations_line(&self) -> String {
        let violations = counts(&self.violations);
        format!("rules broken: {}", violations.as_deref().unwrap_or("none"))
    }

    fn falls_lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if self.origin_stops > 0 {
            lines.push(format!("the library stopped, asked for too much, {} times", self.origin_stops));
        }
        if self.overloads_before_known > 0 {
            let falls = self.overloads_before_known;
            lines.push(format!("cold servers that fell before their start was told: {falls}"));
        }
        lines
    }
}

/// The column heads of the lines that [`class_line`] renders.
const CLASS_HEADER: &str =
    "class              asked  in time   late  refused  failed   silent   worth   50% ms   90% ms   99% ms";

fn class_line(class: &ClassReport) -> String {
    let [p50, p90, p99, _] = class.percentiles_ms;
    format!(
        "{:<16} {:>7} {:>8} {:>6} {:>8} {:>7} {:>8} {:>7.3} {p50:>8.0} {p90:>8.0} {p99:>8.0}",
        class.name,
        class.requests,
        class.in_time,
        class.late,
        class.rejected,
        class.failed,
        class.timed_out,
        class.earned_share,
    )
}

/// The names with their counts, separated by commas; `None` if the map is empty.
fn counts(counts: &BTreeMap<String, u64>) -> Option<String> {
    let all: Vec<String> = counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
    (!all.is_empty()).then(|| all.join(", "))
}

fn cluster_line(cluster: &ClusterReport) -> String {
    let converged = match cluster.converged_s {
        Some(seconds) => format!("settled after {seconds:.1} s"),
        None => "did not settle".to_string(),
    };
    format!(
        "fleet's view: {converged}; {} falsely called lost, {} lost and not called so; \
         {:.0} bytes a router a second",
        cluster.false_positives, cluster.missed, cluster.bytes_per_router_s
    )
}

/// The line for the quotas of one tier; `None` if no server of the tier warmed up.
fn quota_line(name: &str, quota: &QuotaReport) -> Option<String> {
    let arrived_mean = quota.arrived_mean?;
    let used_mean = quota.used_mean.map_or("-".into(), |mean| format!("{mean:.2}"));
    Some(format!(
        "{name}: of what all routers may send {used_mean} was used while more was wanted, {:.2} at most; \
         {arrived_mean:.2} came, {:.2} at most",
        quota.used_peak, quota.arrived_peak
    ))
}
