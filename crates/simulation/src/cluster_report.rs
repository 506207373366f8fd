//! Figures of the routers' views of their cluster in a run.

use crate::router_faults::{affected_routers, last_router_fault_end, router_indices};
use crate::scenario::{Fault, FaultKind, Scenario};
use serde::Serialize;

/// Time after the end of a fault, in seconds, until which it still counts as affecting routers: a
/// router reported failed has been found again by then. A router must also be down for this long
/// before the others have to report it failed.
const SETTLING_S: f64 = 12.0;

/// The figures of the routers' views of each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ClusterReport {
    /// The seconds from the end of the last fault that affects routers until all running routers
    /// held the same view; `None` if they never did.
    #[serde(rename = "settled_s")]
    pub converged_s: Option<f64>,
    /// The number of reports that a router failed, counted once per reporting router, although no
    /// fault had affected either of the two within the 12 s before.
    #[serde(rename = "false_lost")]
    pub false_positives: u64,
    /// The number of missing reports: a router was killed or paused for at least 12 s, and a router
    /// that no fault affected did not report it failed within 12 s. Each pair of the two counts
    /// once.
    #[serde(rename = "missed_lost")]
    pub missed: u64,
    /// The mean number of bytes that a router sent to other routers, per second.
    pub bytes_per_router_s: f64,
}

/// A report by one router that another one failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureReport {
    /// When the router was reported failed, in seconds since the start of the run.
    pub at_s: f64,
    /// The index of the reporting router.
    pub by: usize,
    /// The index of the router that was reported failed.
    pub of: usize,
}

/// The observations of the routers' views during a run.
#[derive(Clone, Debug, Default)]
pub struct ViewObservations {
    /// The reports of failed routers.
    pub failure_reports: Vec<FailureReport>,
    /// When all running routers were first seen to hold the same view after the last fault, in
    /// seconds since the start of the run; `None` if they never were.
    pub converged_at_s: Option<f64>,
    /// The total size of all datagrams between routers, in bytes.
    pub bytes: u64,
}

/// Computes the figures from the observations of a run.
pub fn summarize_views(scenario: &Scenario, observed: &ViewObservations) -> ClusterReport {
    let fault_end_s = last_router_fault_end(scenario);
    let unfounded = |report: &&FailureReport| {
        let affected = |router| is_affected(scenario, router, report.at_s, report.at_s);
        !affected(report.of) && !affected(report.by)
    };
    let bytes_per_router = observed.bytes as f64 / scenario.router_count().max(1) as f64;
    ClusterReport {
        converged_s: observed.converged_at_s.map(|at_s| (at_s - fault_end_s).max(0.0)),
        false_positives: observed.failure_reports.iter().filter(unfounded).count() as u64,
        missed: scenario.faults.iter().map(|fault| missed_losses(scenario, observed, fault)).sum(),
        bytes_per_router_s: bytes_per_router / scenario.seconds,
    }
}

/// Whether a fault, or the time that routers need to recover from it, affected a router between the
/// two times.
fn is_affected(scenario: &Scenario, router: usize, from_s: f64, to_s: f64) -> bool {
    scenario.faults.iter().any(|fault| {
        let settled_s = fault.for_s.map_or(f64::INFINITY, |seconds| fault.at_s + seconds + SETTLING_S);
        let overlaps = fault.at_s <= to_s && settled_s >= from_s;
        overlaps && affected_routers(scenario, &fault.kind).contains(&router)
    })
}

/// The number of missing reports under this fault. It is 0 for faults that take no router down for
/// long enough.
fn missed_losses(scenario: &Scenario, observed: &ViewObservations, fault: &Fault) -> u64 {
    let (FaultKind::Kill { routers } | FaultKind::Pause { routers }) = &fault.kind else { return 0 };
    let (from_s, to_s) = (fault.at_s, fault.at_s + SETTLING_S);
    if fault.for_s.is_some_and(|seconds| seconds < SETTLING_S) || to_s > scenario.seconds {
        return 0;
    }
    let reported = |by: usize, of: usize| {
        let in_time = |report: &FailureReport| (from_s..=to_s).contains(&report.at_s);
        observed.failure_reports.iter().any(|report| report.by == by && report.of == of && in_time(report))
    };
    let down = router_indices(routers);
    let observers = (0..scenario.router_count()).filter(|by| !is_affected(scenario, *by, from_s, to_s));
    observers.map(|by| down.iter().filter(|of| !reported(by, **of)).count() as u64).sum()
}
