//! Effects of losing endpoints: each parent cache, edge caches, and the losses that the options ask
//! for.

use super::trial::TrialLoad;
use crate::confidence::{estimate_served_in_time, Estimate};
use crate::network::{Network, SiteNetwork};
use crate::replay::{EndpointRef, Outage, ReplayResult};
use crate::report::LossOutcome;
use rayon::prelude::*;

/// Counted time below which losses are not evaluated, in seconds.
pub(super) const MIN_COUNTED_S: f64 = 30.0;
/// Maximum length of an outage, in microseconds.
const MAX_OUTAGE_US: u64 = 20_000_000;
/// Divisor of the counted time: the outage begins after one such part and lasts for at most
/// another.
const OUTAGE_PARTS: u64 = 4;
/// Window over which the weight served in time is compared to detect a recovery, in seconds.
const RECOVERY_WINDOW_S: usize = 5;
/// Maximum decrease of the share of weight served in time, compared with a replay without the loss,
/// at which the fleet counts as recovered.
const RECOVERY_TOLERANCE: f64 = 0.03;
/// Number of edge caches in the fleet up to which the loss of each one is evaluated; in larger
/// fleets, only that of each site's largest is.
const MAX_EDGE_CACHES_EVALUATED: usize = 20;
/// Length of the outage of all parent caches that tests for metastability, in microseconds.
const METASTABILITY_OUTAGE_US: u64 = 1_000_000;
/// Divisor of the counted time: the last such part shows the state that the load ends in.
const METASTABILITY_PARTS: usize = 3;
/// Minimum length of the last part of the counted time, in seconds.
const MIN_METASTABILITY_PART_S: usize = 3;
/// Counted time in addition to a parent cache's warm-up that is needed to test for metastability,
/// in seconds.
const METASTABILITY_MARGIN_S: usize = 10;
/// Decrease of the share of weight served in time, in the last part of the load, above which the
/// load is metastable.
const METASTABILITY_LOSS: f64 = 0.1;

/// Evaluates the requested losses and the default ones. Returns an empty list if the load is too
/// short.
pub(super) fn evaluate_losses(
    trial: &TrialLoad,
    requested: Vec<Vec<EndpointRef>>,
) -> Vec<LossOutcome> {
    if !is_long_enough(trial) {
        return Vec::new();
    }
    let counted_us = trial.trace.duration_us - trial.counted_from_us;
    let part_us = counted_us / OUTAGE_PARTS;
    let from_us = trial.counted_from_us + part_us;
    let to_us = from_us + part_us.min(MAX_OUTAGE_US);
    let without_loss = trial.replay();
    let mut losses = requested;
    losses.extend(default_losses(trial.network));
    losses
        .into_par_iter()
        .map(|endpoints| evaluate_loss(trial, &without_loss, Outage { endpoints, from_us, to_us }))
        .collect()
}

/// Returns whether the load stays in a bad state after a short loss of all parent caches, although
/// a warm fleet carries it (metastability). Returns `None` if the load is too short to tell.
pub(super) fn is_metastable(trial: &TrialLoad) -> Option<bool> {
    if !is_long_enough(trial) {
        return None;
    }
    let parents = 0..trial.network.parent_caches.len();
    let outage = Outage {
        endpoints: parents.map(|parent| EndpointRef::ParentCache { parent }).collect(),
        from_us: trial.counted_from_us,
        to_us: trial.counted_from_us + METASTABILITY_OUTAGE_US,
    };
    let without_loss = trial.replay();
    let with_loss = trial.replay_with_outage(outage);
    let end = without_loss.seconds.len();
    let counted_s = end - trial.counted_from_second();
    let last_part = end.saturating_sub(counted_s / METASTABILITY_PARTS);
    let min_counted_s = trial.network.warm_up.parent_cache_s as usize + METASTABILITY_MARGIN_S;
    if last_part + MIN_METASTABILITY_PART_S > end || counted_s < min_counted_s {
        return None;
    }
    let in_time_share = |result: &ReplayResult| result.totals(last_part, end).in_time_share();
    Some(in_time_share(&with_loss) < in_time_share(&without_loss) - METASTABILITY_LOSS)
}

fn is_long_enough(trial: &TrialLoad) -> bool {
    trial.trace.duration_s() - trial.counted_from_us as f64 / 1e6 >= MIN_COUNTED_S
}

fn evaluate_loss(trial: &TrialLoad, without_loss: &ReplayResult, outage: Outage) -> LossOutcome {
    let endpoints = outage.endpoints.clone();
    let lost_from = (outage.from_us / 1_000_000) as usize;
    let returned = (outage.to_us / 1_000_000) as usize;
    let lost_for_s = (outage.to_us - outage.from_us) as f64 / 1e6;
    let with_loss = trial.replay_with_outage(outage);
    let warm_up_s = warm_up_s(trial.network, &endpoints).ceil() as usize;
    let warm_at = (returned + warm_up_s).min(with_loss.seconds.len());
    let in_time = |result: &ReplayResult, from: usize, to: usize| -> Option<Estimate> {
        estimate_served_in_time(&result.totals_by_second(from, to), trial.options.seed)
    };
    let recovered_at = recovered_at(&with_loss, without_loss, returned);
    LossOutcome {
        endpoints: endpoints.iter().map(|endpoint| name_of(trial.network, *endpoint)).collect(),
        lost_for_s,
        without_loss: in_time(without_loss, lost_from, returned),
        during_loss: in_time(&with_loss, lost_from, returned),
        during_warm_up: in_time(&with_loss, returned, warm_at),
        recovered_after_s: recovered_at.map(|second| (second - returned) as f64),
    }
}

/// Returns the first second, from the endpoints' return on, at which the weight served in time is
/// within [`RECOVERY_TOLERANCE`] of that without the loss; `None` if there is none within the load.
fn recovered_at(
    with_loss: &ReplayResult,
    without_loss: &ReplayResult,
    returned: usize,
) -> Option<usize> {
    let in_time_share = |result: &ReplayResult, from: usize| {
        result.totals(from, from + RECOVERY_WINDOW_S).in_time_share()
    };
    let last_window = with_loss.seconds.len().saturating_sub(RECOVERY_WINDOW_S);
    (returned..last_window).find(|second| {
        let expected = in_time_share(without_loss, *second);
        in_time_share(with_loss, *second) >= expected - RECOVERY_TOLERANCE
    })
}

/// Returns the warm-up time of lost endpoints, in seconds: that of a parent cache if there is one
/// among them.
fn warm_up_s(network: &Network, endpoints: &[EndpointRef]) -> f64 {
    let is_parent = |endpoint: &EndpointRef| matches!(endpoint, EndpointRef::ParentCache { .. });
    if endpoints.iter().any(is_parent) {
        network.warm_up.parent_cache_s
    } else {
        network.warm_up.edge_cache_s
    }
}

/// Returns the losses of single endpoints that every plan evaluates.
fn default_losses(network: &Network) -> Vec<Vec<EndpointRef>> {
    let parents = 0..network.parent_caches.len();
    let mut losses: Vec<Vec<EndpointRef>> =
        parents.map(|parent| vec![EndpointRef::ParentCache { parent }]).collect();
    let evaluates_all = network.edge_cache_count() <= MAX_EDGE_CACHES_EVALUATED;
    for (index, site) in network.sites.iter().enumerate() {
        let positions: Vec<usize> = if evaluates_all {
            (0..site.edge_caches.len()).collect()
        } else {
            largest_edge_cache(site).into_iter().collect()
        };
        let loss = |position| vec![EndpointRef::EdgeCache { site: index, position }];
        losses.extend(positions.into_iter().map(loss));
    }
    losses
}

/// Returns the position of the edge cache with the largest link of a site, the first one of equals.
fn largest_edge_cache(site: &SiteNetwork) -> Option<usize> {
    let link_flows = |position: &usize| site.edge_caches[*position].link_flows;
    let by_link = |left: &usize, right: &usize| {
        // `max_by` returns the last of equal elements, so positions compare in reverse.
        link_flows(left).total_cmp(&link_flows(right)).then(right.cmp(left))
    };
    (0..site.edge_caches.len()).max_by(by_link)
}

fn name_of(network: &Network, endpoint: EndpointRef) -> String {
    match endpoint {
        EndpointRef::EdgeCache { site, position } => {
            network.sites[site].edge_caches[position].name.clone()
        }
        EndpointRef::ParentCache { parent } => network.parent_caches[parent].name.clone(),
    }
}
