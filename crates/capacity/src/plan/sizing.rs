//! Sizing: the number of edge caches that each site needs to reach the goal, and the cheapest
//! allocation that reaches it for all sites together.

use super::trial::TrialLoad;
use crate::confidence::{estimate_served_in_time, Estimate};
use crate::network::Network;
use crate::replay::ReplayResult;
use crate::report::{SiteAllocation, SiteRequirement, Sizing};
use rayon::prelude::*;

/// Maximum number of edge caches that is tried at a site, in multiples of the present number. More
/// of them do not help: something else is the bottleneck.
const MAX_GROWTH_FACTOR: usize = 3;
/// Minimum number of additional edge caches up to which a small site is tried.
const MIN_GROWTH: usize = 2;

/// The number of edge caches at each site, with the result of a replay over them.
struct Allocation {
    counts: Vec<usize>,
    result: ReplayResult,
}

impl Allocation {
    fn new(trial: &TrialLoad, counts: Vec<usize>) -> Allocation {
        let network = network_with_counts(trial.network, &counts);
        Allocation { result: trial.replay_over(&network), counts }
    }

    fn in_time_share(&self) -> f64 {
        self.result.counted_totals().in_time_share()
    }

    /// Returns the same allocation with one edge cache less at a site.
    fn with_one_less(&self, trial: &TrialLoad, site: usize) -> Allocation {
        let mut counts = self.counts.clone();
        counts[site] -= 1;
        Allocation::new(trial, counts)
    }
}

/// Computes the edge caches that the goal needs, by site and for all sites together.
pub(super) fn size_sites(trial: &TrialLoad) -> Sizing {
    let network = trial.network;
    let present = trial.replay();
    let required: Vec<Option<usize>> =
        (0..network.sites.len()).into_par_iter().map(|site| required_at(trial, site)).collect();
    let best = cheapest_allocation(trial, &required);
    let reaches_goal = best.in_time_share() >= trial.options.goal;
    let site_names = || network.sites.iter().map(|site| site.name.clone());
    let requirements = site_names()
        .zip(&required)
        .map(|(site, edge_caches)| SiteRequirement { site, edge_caches: *edge_caches });
    let allocation = site_names()
        .zip(&best.counts)
        .map(|(site, edge_caches)| SiteAllocation { site, edge_caches: *edge_caches });
    Sizing {
        present: network.edge_cache_count(),
        present_reaches: estimate_counted(trial, &present),
        requirements: requirements.collect(),
        allocation: reaches_goal.then(|| allocation.collect()),
        reaches: estimate_counted(trial, &best.result),
    }
}

/// Returns the number of edge caches that a site needs to reach the goal by itself, by bisection,
/// or `None` if no number up to the limit of the search is enough.
fn required_at(trial: &TrialLoad, site: usize) -> Option<usize> {
    let present = trial.network.sites[site].edge_caches.len();
    let reaches_goal = |count: usize| {
        let result = trial.replay_over(&trial.network.with_edge_caches(site, count));
        result.site_totals(site).in_time_share() >= trial.options.goal
    };
    let mut low = 1;
    let mut high = (present * MAX_GROWTH_FACTOR).max(present + MIN_GROWTH);
    if !reaches_goal(high) {
        return None;
    }
    while low < high {
        let middle = (low + high) / 2;
        if reaches_goal(middle) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    Some(high)
}

/// Removes edge caches one at a time, each where the removal costs the least weight served in time,
/// as long as the goal is reached. The goal applies to all sites together: a site may miss it if
/// another makes up for it.
fn cheapest_allocation(trial: &TrialLoad, required: &[Option<usize>]) -> Allocation {
    // A site that cannot reach the goal keeps its present edge caches, as more would not help.
    let sites = &trial.network.sites;
    let initial = required.iter().zip(sites).map(|(n, site)| n.unwrap_or(site.edge_caches.len()));
    let mut best = Allocation::new(trial, initial.collect());
    while best.in_time_share() >= trial.options.goal {
        let smaller: Vec<Allocation> = (0..sites.len())
            .into_par_iter()
            .filter(|site| best.counts[*site] > 1)
            .map(|site| best.with_one_less(trial, site))
            .collect();
        let least_costly =
            smaller.into_iter().max_by(|a, b| a.in_time_share().total_cmp(&b.in_time_share()));
        match least_costly.filter(|next| next.in_time_share() >= trial.options.goal) {
            Some(next) => best = next,
            None => break,
        }
    }
    best
}

fn network_with_counts(network: &Network, counts: &[usize]) -> Network {
    let sites = counts.iter().enumerate();
    sites.fold(network.clone(), |network, (site, count)| network.with_edge_caches(site, *count))
}

fn estimate_counted(trial: &TrialLoad, result: &ReplayResult) -> Option<Estimate> {
    let seconds = result.totals_by_second(trial.counted_from_second(), result.seconds.len());
    estimate_served_in_time(&seconds, trial.options.seed)
}
