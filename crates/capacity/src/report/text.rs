//! The plan as text. The text keeps the operators' vocabulary: a box is an edge cache, a hub a
//! parent cache, the library the origin, an office a site, a filing a write, a try an attempt, and
//! worth the priority weight (docs/capacity.md).

use super::{Bottleneck, CapacityPlan, LoadOutcome, LossOutcome, SiteOutcome};
use crate::confidence::{Estimate, Interval};

/// Maximum number of bottlenecks in the text; the JSON form lists all of them.
const MAX_LISTED_BOTTLENECKS: usize = 8;

impl CapacityPlan {
    /// Renders the plan as text: a summary first, and the basis of the plan last.
    pub fn text(&self) -> String {
        let sections = [
            self.summary(),
            self.bottleneck_section(),
            self.load_section(),
            self.sizing_section(),
            self.loss_section(),
            self.site_section(),
            self.basis_section(),
        ];
        let has_lines = |lines: &&Vec<String>| !lines.is_empty();
        let paragraphs: Vec<String> =
            sections.iter().filter(has_lines).map(|lines| lines.join("\n")).collect();
        paragraphs.join("\n\n") + "\n"
    }

    fn summary(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "At {:.2} times the recorded load, {:.0} requests a second, {} of worth is served in \
             time; the goal is {:.1}%.",
            self.scale,
            self.requests_per_s,
            percentage(self.in_time),
            self.goal * 100.0
        )];
        lines.extend(self.bottlenecks.first().map(first_bottleneck_line));
        if let Some(outcome) = self.loads.iter().find(|outcome| outcome.runs_away) {
            lines.push(format!(
                "From {:.2} times on the clients' further tries run away: load has to be shed.",
                outcome.load
            ));
        }
        if self.is_metastable == Some(true) {
            lines.push(
                "With all hubs cold this load stays in a bad state: shed load until they are warm."
                    .into(),
            );
        }
        lines
    }

    fn bottleneck_section(&self) -> Vec<String> {
        let mut lines = vec!["What breaks first, at so many times the recorded load:".to_string()];
        lines.extend(self.bottlenecks.iter().take(MAX_LISTED_BOTTLENECKS).map(bottleneck_line));
        lines
    }

    fn load_section(&self) -> Vec<String> {
        let mut lines = vec!["At other loads:".to_string()];
        lines.extend(self.loads.iter().map(load_line));
        lines
    }

    fn sizing_section(&self) -> Vec<String> {
        let sizing = &self.sizing;
        let mut lines = vec![
            format!("Boxes for {:.1}%:", self.goal * 100.0),
            format!(
                "  the {} there are reach {}",
                sizing.present,
                percentage(sizing.present_reaches)
            ),
            self.allocation_line(),
        ];
        for requirement in &sizing.requirements {
            let site = &requirement.site;
            lines.push(match requirement.edge_caches {
                Some(count) => format!("  {site} alone needs {count}"),
                None => format!("  {site}: boxes don't help, something else is short"),
            });
        }
        lines
    }

    fn allocation_line(&self) -> String {
        let reaches = percentage(self.sizing.reaches);
        let Some(allocation) = &self.sizing.allocation else {
            return format!("  no number of boxes reaches it; the best is {reaches}");
        };
        let total: usize = allocation.iter().map(|site| site.edge_caches).sum();
        let sites: Vec<String> =
            allocation.iter().map(|site| format!("{} {}", site.site, site.edge_caches)).collect();
        format!("  the cheapest mix is {total}: {}; it reaches {reaches}", sites.join(", "))
    }

    fn loss_section(&self) -> Vec<String> {
        if self.losses.is_empty() {
            return Vec::new();
        }
        let title =
            "Losses (worth in time without, during, while its successor is cold; back after):";
        let mut lines = vec![title.to_string()];
        lines.extend(self.losses.iter().map(loss_line));
        lines
    }

    fn site_section(&self) -> Vec<String> {
        let mut lines = vec!["By office and class:".to_string()];
        lines.extend(self.sites.iter().map(site_line));
        let class_lines = self
            .classes
            .iter()
            .map(|class| format!("  {:<16} in time {}", class.name, percentage(class.in_time)));
        lines.extend(class_lines);
        lines
    }

    fn basis_section(&self) -> Vec<String> {
        let quality = &self.quality;
        let mut lines = vec![
            "What this rests on:".to_string(),
            format!(
                "  {:.0} s counted, {} first tries, {:.1}% of what was recorded were further \
                 tries; intervals hold nine times in ten as far as the recording's own spread \
                 tells",
                quality.seconds,
                quality.requests,
                quality.retry_share * 100.0
            ),
        ];
        let notes = self.calibration_notes.iter().chain(&quality.caveats);
        lines.extend(notes.map(|note| format!("  {note}")));
        lines
    }
}

fn first_bottleneck_line(bottleneck: &Bottleneck) -> String {
    let Bottleneck { resource, symptom, .. } = bottleneck;
    match bottleneck.saturates_at {
        Some(load) => {
            format!("First to break: {resource}, at {load:.2} times the recorded load: {symptom}.")
        }
        None => format!("Nothing breaks below 4 times this load; the most used is {resource}."),
    }
}

fn bottleneck_line(bottleneck: &Bottleneck) -> String {
    let Bottleneck { resource, symptom, .. } = bottleneck;
    let saturates_at =
        bottleneck.saturates_at.map_or("beyond 4".to_string(), |load| format!("{load:.2}"));
    let used = bottleneck
        .used
        .map_or(String::new(), |used| format!("{:.0}% used now", used.value * 100.0));
    format!("  {saturates_at:>8}  {resource:<26} {used:<14} {symptom}")
}

fn load_line(outcome: &LoadOutcome) -> String {
    let runaway = if outcome.runs_away { "  clients' further tries run away" } else { "" };
    format!(
        "  {:>5.2}  in time {:<26} hits {:.0}%, {:.2} further tries each{runaway}",
        outcome.load,
        percentage(outcome.in_time),
        outcome.hit_ratio * 100.0,
        outcome.retries_per_request
    )
}

fn loss_line(loss: &LossOutcome) -> String {
    let value = |estimate: Option<Estimate>| {
        estimate.map_or("?".to_string(), |known| format!("{:.1}%", known.value * 100.0))
    };
    let recovery = loss
        .recovered_after_s
        .map_or("not by the end".to_string(), |after| format!("{after:.0} s"));
    format!(
        "  {:<26} {:>7} {:>7} {:>7}   {recovery}",
        loss.endpoints.join(" and "),
        value(loss.without_loss),
        value(loss.during_loss),
        value(loss.during_warm_up)
    )
}

fn site_line(site: &SiteOutcome) -> String {
    format!(
        "  {:<16} {} boxes, in time {}; {:.0}% of bytes its own",
        site.name,
        site.edge_caches,
        percentage(site.in_time),
        site.local_share * 100.0
    )
}

/// Formats an estimated share as a percentage, with its interval if it has one.
fn percentage(estimate: Option<Estimate>) -> String {
    let Some(Estimate { value, interval }) = estimate else { return "not known".into() };
    let value = value * 100.0;
    match interval {
        None => format!("{value:.1}%"),
        Some(Interval { low, high }) => {
            format!("{value:.1}% ({:.1} to {:.1})", low * 100.0, high * 100.0)
        }
    }
}
