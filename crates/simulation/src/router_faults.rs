//! Faults of a scenario between and in routers.

use crate::link_fault::LinkFault;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::MS;

/// Indices of routers that a scenario numbers from 1.
pub fn router_indices(numbers: &[usize]) -> Vec<usize> {
    numbers.iter().map(|number| number.saturating_sub(1)).collect()
}

/// The same fault on every link from one group of routers to another.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupFault {
    /// The senders, by index.
    pub from: Vec<usize>,
    /// The receivers, by index.
    pub to: Vec<usize>,
    /// What the links do.
    pub fault: LinkFault,
}

/// What a fault does to the links between routers, if anything.
pub fn link_faults(scenario: &Scenario, kind: &FaultKind) -> Vec<GroupFault> {
    match kind {
        FaultKind::Partition { routers } => partition(scenario, &router_indices(routers)),
        FaultKind::RouterLink { from, to, cut, loss, duplication, corruption, delay_ms, jitter_ms } => {
            let time = |ms: &f64| (ms * MS as f64) as u64;
            let fault = LinkFault {
                cut: *cut,
                loss: *loss,
                duplication: *duplication,
                corruption: *corruption,
                delay: time(delay_ms),
                jitter: time(jitter_ms),
            };
            vec![GroupFault { from: router_indices(from), to: router_indices(to), fault }]
        }
        _ => Vec::new(),
    }
}

/// Cuts some routers off from all others, both ways.
fn partition(scenario: &Scenario, side: &[usize]) -> Vec<GroupFault> {
    let rest: Vec<usize> = (0..scenario.router_count()).filter(|router| !side.contains(router)).collect();
    vec![
        GroupFault { from: side.to_vec(), to: rest.clone(), fault: LinkFault::CUT },
        GroupFault { from: rest, to: side.to_vec(), fault: LinkFault::CUT },
    ]
}

/// The routers that a fault concerns, by index.
pub fn affected_routers(scenario: &Scenario, kind: &FaultKind) -> Vec<usize> {
    match kind {
        FaultKind::Kill { routers } | FaultKind::Pause { routers } => router_indices(routers),
        _ => {
            let faults = link_faults(scenario, kind).into_iter();
            faults.flat_map(|group| group.from.into_iter().chain(group.to)).collect()
        }
    }
}

/// When the last fault between or in routers ends, in seconds since the start.
pub fn last_router_fault_end(scenario: &Scenario) -> f64 {
    let end = |fault: &Fault| fault.at_s + fault.for_s.unwrap_or(0.0);
    let concerning = scenario.faults.iter().filter(|f| !affected_routers(scenario, &f.kind).is_empty());
    concerning.map(end).fold(0.0, f64::max)
}
