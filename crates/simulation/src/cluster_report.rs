//! What the routers' views of their cluster came to in a scenario.

use crate::router_faults::{affected_routers, last_router_fault_end, router_indices};
use crate::scenario::{Fault, FaultKind, Scenario};
use serde::Serialize;

/// A fault counts for the views until this long after its end: whoever was lost has been found
/// again by then. And so long a router has to be down for the others to have to notice it.
const SETTLING_S: f64 = 12.0;

/// What the views came to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ClusterReport {
    /// From the end of the last fault between or in routers until all that run held one view; none:
    /// they did not.
    #[serde(rename = "settled_s")]
    pub converged_s: Option<f64>,
    /// Routers reported lost, by how many others, that no fault had concerned for 12 s.
    #[serde(rename = "false_lost")]
    pub false_positives: u64,
    /// Routers that were killed or stood still for 12 s and that others, whom no fault concerned,
    /// never reported lost.
    #[serde(rename = "missed_lost")]
    pub missed: u64,
    /// Bytes that each router sent in a second.
    pub bytes_per_router_s: f64,
}

/// A router reported another one lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LostReport {
    /// When, in seconds since the start.
    pub at_s: f64,
    /// Who reported it, by index.
    pub by: usize,
    /// Who was reported lost.
    pub of: usize,
}

/// What was observed of the views.
#[derive(Clone, Debug, Default)]
pub struct ViewObservations {
    /// Reports of lost routers.
    pub lost: Vec<LostReport>,
    /// When all that ran were first seen to hold one view after the last fault, in seconds since
    /// the start.
    pub converged_at_s: Option<f64>,
    /// Bytes that all routers sent.
    pub bytes: u64,
}

/// Adds up what was observed.
pub fn summarize_views(scenario: &Scenario, observed: &ViewObservations) -> ClusterReport {
    let fault_end_s = last_router_fault_end(scenario);
    let unfounded = |report: &&LostReport| {
        let affected = |router| is_affected(scenario, router, report.at_s, report.at_s);
        !affected(report.of) && !affected(report.by)
    };
    let bytes_per_router = observed.bytes as f64 / scenario.router_count().max(1) as f64;
    ClusterReport {
        converged_s: observed.converged_at_s.map(|at_s| (at_s - fault_end_s).max(0.0)),
        false_positives: observed.lost.iter().filter(unfounded).count() as u64,
        missed: scenario.faults.iter().map(|fault| missed_losses(scenario, observed, fault)).sum(),
        bytes_per_router_s: bytes_per_router / scenario.seconds,
    }
}

/// Whether a fault, or what it left behind, concerned a router within that time.
fn is_affected(scenario: &Scenario, router: usize, from_s: f64, to_s: f64) -> bool {
    scenario.faults.iter().any(|fault| {
        let settled_s = fault.for_s.map_or(f64::INFINITY, |seconds| fault.at_s + seconds + SETTLING_S);
        let overlaps = fault.at_s <= to_s && settled_s >= from_s;
        overlaps && affected_routers(scenario, &fault.kind).contains(&router)
    })
}

/// How often an unaffected router did not notice that a router was down under this fault.
fn missed_losses(scenario: &Scenario, observed: &ViewObservations, fault: &Fault) -> u64 {
    let (FaultKind::Kill { routers } | FaultKind::Pause { routers }) = &fault.kind else { return 0 };
    let (from_s, to_s) = (fault.at_s, fault.at_s + SETTLING_S);
    if fault.for_s.is_some_and(|seconds| seconds < SETTLING_S) || to_s > scenario.seconds {
        return 0;
    }
    let reported = |by: usize, of: usize| {
        let in_time = |report: &LostReport| (from_s..=to_s).contains(&report.at_s);
        observed.lost.iter().any(|report| report.by == by && report.of == of && in_time(report))
    };
    let down = router_indices(routers);
    let observers = (0..scenario.router_count()).filter(|by| !is_affected(scenario, *by, from_s, to_s));
    observers.map(|by| down.iter().filter(|of| !reported(by, **of)).count() as u64).sum()
}
