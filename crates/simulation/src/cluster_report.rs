//! Days on which routers know each other: which of the day's faults concern them, and what the fleet's view came to.

use crate::cluster::LinkFault;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::MS;
use serde::Serialize;

/// A fault is over for the view this long after its end: whoever was lost has been found again by then. And so long it
/// has to be known by.
const OVER_S: f64 = 12.0;

/// What the view came to on a day.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ClusterReport {
    /// From the end of the last fault between or in routers until all that run held one view; none: they did not.
    pub settled_s: Option<f64>,
    /// Routers called lost, by how many others, that no fault had concerned for 12 s.
    pub false_lost: u64,
    /// Routers that were killed or stood still for 12 s and that others, whom no fault concerned, never called lost.
    pub missed_lost: u64,
    /// Bytes that each router sent in a second.
    pub bytes_per_router_s: f64,
}

/// What was seen of the view, by seconds since the day's start.
#[derive(Clone, Debug, Default)]
pub struct ViewObservations {
    /// Who called whom lost when.
    pub lost: Vec<(f64, usize, usize)>,
    /// When all that ran were first seen to hold one view after the last fault.
    pub agreed: Option<f64>,
    /// Bytes that all routers sent.
    pub bytes: u64,
}

/// The routers of a list that starts at 1, as places.
pub fn places(routers: &[usize]) -> Vec<usize> {
    routers.iter().map(|r| r.saturating_sub(1)).collect()
}

/// What a fault does to links, as groups of routers by place: from, to, and what their links do; none: nothing.
pub fn links(day: &Scenario, what: &FaultKind) -> Vec<(Vec<usize>, Vec<usize>, LinkFault)> {
    let cut = LinkFault { cut: true, ..LinkFault::default() };
    match what {
        FaultKind::Part { routers } => {
            let side = places(routers);
            let rest: Vec<usize> = (0..day.routers()).filter(|r| !side.contains(r)).collect();
            vec![(side.clone(), rest.clone(), cut), (rest, side, cut)]
        }
        FaultKind::Link { from, to, cut, loss, twice, flipped, late_ms, jitter_ms } => {
            let ms = |v: f64| (v * MS as f64) as u64;
            let (cut, loss, twice, flipped) = (*cut, *loss, *twice, *flipped);
            let link = LinkFault { cut, loss, twice, flipped, delay: (ms(*late_ms), ms(*jitter_ms)) };
            vec![(places(from), places(to), link)]
        }
        _ => Vec::new(),
    }
}

/// The routers, by place, that a fault concerns.
pub fn concerned(day: &Scenario, what: &FaultKind) -> Vec<usize> {
    match what {
        FaultKind::Kill { routers } | FaultKind::Pause { routers } => places(routers),
        _ => links(day, what).into_iter().flat_map(|(from, to, _)| from.into_iter().chain(to)).collect(),
    }
}

/// When the last fault between or in routers ends.
pub fn quiet_from(day: &Scenario) -> f64 {
    let ends = |f: &Fault| f.at_s + f.for_s.unwrap_or(0.0);
    day.faults.iter().filter(|f| !concerned(day, &f.what).is_empty()).map(ends).fold(0.0, f64::max)
}

/// Adds up what was seen.
pub fn judge(day: &Scenario, watch: &ViewObservations) -> ClusterReport {
    let concerns = |router: usize, from: f64, to: f64| {
        day.faults.iter().any(|f| {
            let over = f.for_s.map_or(f64::INFINITY, |s| f.at_s + s + OVER_S);
            f.at_s <= to && over >= from && concerned(day, &f.what).contains(&router)
        })
    };
    let falsely = |(t, by, of): &&(f64, usize, usize)| !concerns(*of, *t, *t) && !concerns(*by, *t, *t);
    let mut missed_lost = 0;
    for f in &day.faults {
        let (FaultKind::Kill { routers } | FaultKind::Pause { routers }) = &f.what else { continue };
        if f.for_s.is_some_and(|s| s < OVER_S) || f.at_s + OVER_S > day.seconds {
            continue;
        }
        let (from, to) = (f.at_s, f.at_s + OVER_S);
        let others = (0..day.routers()).filter(|by| !concerns(*by, from, to));
        for by in others {
            let said =
                |of: &usize| watch.lost.iter().any(|l| l.1 == by && l.2 == *of && from <= l.0 && l.0 <= to);
            missed_lost += places(routers).iter().filter(|of| !said(of)).count() as u64;
        }
    }
    ClusterReport {
        settled_s: watch.agreed.map(|t| (t - quiet_from(day)).max(0.0)),
        false_lost: watch.lost.iter().filter(falsely).count() as u64,
        missed_lost,
        bytes_per_router_s: watch.bytes as f64 / day.routers().max(1) as f64 / day.seconds,
    }
}
