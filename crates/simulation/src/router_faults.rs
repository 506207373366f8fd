//! The scenario's faults that affect routers or the links between them.

use crate::link_fault::LinkFault;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::MS;

/// Converts the routers' numbers in a scenario, which start at 1, to indices.
pub fn router_indices(numbers: &[usize]) -> Vec<usize> {
    numbers.iter().map(|number| number.saturating_sub(1)).collect()
}

/// One fault on every link from one group of routers to another.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupFault {
    /// The indices of the sending routers.
    pub from: Vec<usize>,
    /// The indices of the receiving routers.
    pub to: Vec<usize>,
    /// The fault of each link.
    pub fault: LinkFault,
}

/// The link faults between routers that a fault of the scenario causes; empty if it causes none.
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

/// Cuts the routers of one side off from all others, in both directions.
fn partition(scenario: &Scenario, side: &[usize]) -> Vec<GroupFault> {
    let rest: Vec<usize> = (0..scenario.router_count()).filter(|router| !side.contains(router)).collect();
    vec![
        GroupFault { from: side.to_vec(), to: rest.clone(), fault: LinkFault::CUT },
        GroupFault { from: rest, to: side.to_vec(), fault: LinkFault::CUT },
    ]
}

/// The indices of the routers that a fault affects; a router may occur more than once.
pub fn affected_routers(scenario: &Scenario, kind: &FaultKind) -> Vec<usize> {
    match kind {
        FaultKind::Kill { routers } | FaultKind::Pause { routers } => router_indices(routers),
        _ => {
            let faults = link_faults(scenario, kind).into_iter();
            faults.flat_map(|group| group.from.into_iter().chain(group.to)).collect()
        }
    }
}

/// The end of the last fault that affects routers or the links between them, in seconds since the
/// start of the run; 0 without such a fault. For a fault that lasts until the end of the run, its
/// beginning counts.
pub fn last_router_fault_end(scenario: &Scenario) -> f64 {
    let end = |fault: &Fault| fault.at_s + fault.for_s.unwrap_or(0.0);
    let affecting = scenario.faults.iter().filter(|f| !affected_routers(scenario, &f.kind).is_empty());
    affecting.map(end).fold(0.0, f64::max)
}
