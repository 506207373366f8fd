//! Planning: what breaks first, how many edge caches a goal needs, what losses do, and where the load
//! runs away.

mod bottlenecks;
mod load_levels;
mod losses;
mod quality;
mod sizing;
mod trial;

use crate::calibration::calibrate;
use crate::confidence::{estimate_served, estimate_served_in_time, Estimate};
use crate::error::PlanError;
use crate::fleet::Fleet;
use crate::network::Network;
use crate::replay::{EndpointRef, InitialCaches, ReplayOptions, ReplayResult};
use crate::report::{CapacityPlan, ClassOutcome, LoadOutcome, SiteOutcome};
use crate::trace::{Trace, TraceExcerpt};
use load_levels::{replay_load_levels, LoadLevel};
use std::ops::RangeInclusive;
use trial::TrialLoad;

/// First attempts of the load that is judged. A longer recording is judged by its busiest stretch.
const MAX_REQUESTS: usize = 200_000;
/// Loads that can be planned for, in multiples of the recorded one.
const SCALES: RangeInclusive<f64> = 0.05..=20.0;
/// The share of the load that is warm-up unless something else is asked for: one in so many parts.
const DEFAULT_WARM_UP_PARTS: u64 = 4;
/// Requests of a class below which nothing is said of it.
const MIN_CLASS_REQUESTS: f64 = 30.0;

/// What to plan for.
#[derive(Clone, Debug)]
pub struct PlanOptions {
    /// The share of the weight that is to be served in time.
    pub goal: f64,
    /// The load, in multiples of the recorded one.
    pub scale: f64,
    /// Losses to judge beside those of single endpoints: endpoints by name, lost together.
    pub losses: Vec<Vec<String>>,
    /// The first seconds of the recording fill the caches and are not counted; none: a quarter of it.
    pub warm_up_s: Option<f64>,
    /// Whether unusually large objects are left out.
    pub without_large_objects: bool,
    /// What caches hold when the load begins.
    pub initial_caches: InitialCaches,
    /// The seed of random numbers.
    pub seed: u64,
}

impl Default for PlanOptions {
    fn default() -> Self {
        PlanOptions {
            goal: 0.95,
            scale: 1.0,
            losses: Vec::new(),
            warm_up_s: None,
            without_large_objects: false,
            initial_caches: InitialCaches::Warm,
            seed: 1,
        }
    }
}

impl PlanOptions {
    fn validate(&self) -> Result<(), PlanError> {
        if !(self.goal > 0.0 && self.goal < 1.0) {
            return Err(PlanError::InvalidGoal);
        }
        if !SCALES.contains(&self.scale) {
            return Err(PlanError::InvalidScale);
        }
        Ok(())
    }

    /// When the warm-up ends, in microseconds: not before that of the excerpt.
    fn warm_up_us(&self, excerpt: &TraceExcerpt) -> Result<u64, PlanError> {
        let duration_us = excerpt.trace.duration_us;
        let wanted_us = match self.warm_up_s {
            Some(warm_up_s) if !(warm_up_s >= 0.0 && warm_up_s * 1e6 < duration_us as f64) => {
                return Err(PlanError::InvalidWarmUp { recorded_s: excerpt.trace.duration_s() });
            }
            Some(warm_up_s) => (warm_up_s * 1e6) as u64,
            None => duration_us / DEFAULT_WARM_UP_PARTS,
        };
        Ok(excerpt.warm_up_ends_us.max(wanted_us))
    }

    /// The endpoints of each loss to judge.
    fn lost_endpoints(&self, network: &Network) -> Result<Vec<Vec<EndpointRef>>, PlanError> {
        let find_all = |names: &Vec<String>| {
            names.iter().map(|name| find_endpoint(network, name)).collect::<Result<Vec<_>, _>>()
        };
        self.losses.iter().map(find_all).collect()
    }

    /// How loads are replayed that are counted from a moment on.
    fn replay_options(&self, counted_from_us: u64) -> ReplayOptions {
        ReplayOptions {
            initial_caches: self.initial_caches,
            counted_from_us,
            seed: self.seed,
            ..ReplayOptions::default()
        }
    }
}

/// What a plan is made from.
struct PlanInput<'a> {
    options: &'a PlanOptions,
    fleet: &'a Fleet,
    /// The whole recording.
    recorded: &'a Trace,
    /// The part of it that is judged.
    trace: Trace,
    /// When the warm-up ends, in microseconds.
    counted_from_us: u64,
    /// The calibrated network.
    network: Network,
}

/// Plans the capacity of a fleet for a recorded load.
///
/// # Errors
/// The options are invalid, or the recording and the fleet do not fit together.
pub fn plan(recorded: &Trace, fleet: &Fleet, options: &PlanOptions) -> Result<CapacityPlan, PlanError> {
    options.validate()?;
    let without_large = options.without_large_objects.then(|| recorded.without_large_objects());
    let load = without_large.as_ref().unwrap_or(recorded);
    if load.requests.is_empty() {
        return Err(PlanError::EmptyRecording);
    }
    let excerpt = load.busiest_excerpt(MAX_REQUESTS);
    let counted_from_us = options.warm_up_us(&excerpt)?;
    let trace = excerpt.trace;
    let mut network = Network::new(fleet, &trace)?;
    calibrate(&trace, &mut network, options.seed);
    let lost_endpoints = options.lost_endpoints(&network)?;
    let input = PlanInput { options, fleet, recorded, trace, counted_from_us, network };
    Ok(input.plan(lost_endpoints))
}

impl PlanInput<'_> {
    fn plan(&self, lost_endpoints: Vec<Vec<EndpointRef>>) -> CapacityPlan {
        let levels = replay_load_levels(self);
        let requested = &levels[0];
        let trial = TrialLoad::new(self, requested.first_trace());
        let sizing = sizing::size_sites(&trial);
        let quality = quality::assess(self, requested);
        CapacityPlan {
            scale: self.options.scale,
            goal: self.options.goal,
            requests_per_s: requested.first_trace().requests_per_s(),
            in_time: estimate_served_in_time(&requested.totals_by_second(), self.options.seed),
            served: estimate_served(&requested.totals_by_second(), self.options.seed),
            hit_ratio: requested.mean(ReplayResult::hit_ratio),
            fill_ratio: requested.mean(ReplayResult::fill_ratio),
            origin_calls_per_s: requested.mean(|result| result.origin_calls) / self.trace.duration_s(),
            sites: self.site_outcomes(requested),
            classes: self.class_outcomes(requested),
            bottlenecks: bottlenecks::find_bottlenecks(&levels, self.fleet, self.options.seed),
            loads: levels.iter().map(|level| self.load_outcome(level)).collect(),
            sizing,
            losses: losses::judge_losses(&trial, lost_endpoints),
            is_metastable: losses::is_metastable(&trial),
            calibration_notes: self.network.calibration_notes.clone(),
            quality,
        }
    }

    fn site_outcomes(&self, level: &LoadLevel) -> Vec<SiteOutcome> {
        let sites = self.network.sites.iter().enumerate();
        let outcome = |(index, site): (usize, &crate::network::SiteNetwork)| SiteOutcome {
            name: site.name.clone(),
            edge_caches: site.edge_caches.len(),
            in_time: estimate_served_in_time(&level.site_totals(index), self.options.seed),
            local_share: if index < self.trace.sites.len() { self.trace.local_share(index) } else { 0.0 },
        };
        sites.map(outcome).collect()
    }

    fn class_outcomes(&self, level: &LoadLevel) -> Vec<ClassOutcome> {
        let classes = self.trace.classes.iter().enumerate();
        let outcome = |(index, class): (usize, &crate::trace::RequestClass)| {
            let totals = level.class_totals(index);
            let has_enough = totals.first_attempts >= MIN_CLASS_REQUESTS;
            let in_time_share = has_enough.then(|| totals.in_time_share());
            ClassOutcome {
                name: class.name.clone(),
                in_time: in_time_share.and_then(Estimate::without_interval),
            }
        };
        classes.map(outcome).collect()
    }

    fn load_outcome(&self, level: &LoadLevel) -> LoadOutcome {
        let seconds = level.totals_by_second();
        LoadOutcome {
            load: level.load,
            in_time: estimate_served_in_time(&seconds, self.options.seed),
            served: estimate_served(&seconds, self.options.seed),
            hit_ratio: level.mean(ReplayResult::hit_ratio),
            retries_per_request: level.mean(retries_per_request),
            runs_away: level.runs_away(),
        }
    }
}

/// Retries per first attempt; 0 without any.
fn retries_per_request(result: &ReplayResult) -> f64 {
    let totals = result.counted_totals();
    if totals.first_attempts > 0.0 {
        totals.retries / totals.first_attempts
    } else {
        0.0
    }
}

/// The endpoint of a name: a parent cache, or an edge cache as SITE-N.
fn find_endpoint(network: &Network, name: &str) -> Result<EndpointRef, PlanError> {
    let parent = network.parent_caches.iter().position(|node| node.name == name);
    if let Some(parent) = parent {
        return Ok(EndpointRef::ParentCache { parent });
    }
    for (index, site) in network.sites.iter().enumerate() {
        let position = site.edge_caches.iter().position(|node| node.name == name);
        if let Some(position) = position {
            return Ok(EndpointRef::EdgeCache { site: index, position });
        }
    }
    Err(PlanError::UnknownEndpoint { name: name.into() })
}
