//! Capacity planning: the resources that saturate first, the number of edge caches that a goal
//! needs, the effect of losses, and the loads at which retries run away.

mod bottlenecks;
mod load_levels;
mod losses;
mod options;
mod quality;
mod sizing;
mod trial;

pub use options::PlanOptions;

use crate::calibration::calibrate;
use crate::confidence::{estimate_served, estimate_served_in_time, Estimate};
use crate::error::PlanError;
use crate::fleet::Fleet;
use crate::network::{Network, SiteNetwork};
use crate::replay::{EndpointRef, ReplayResult};
use crate::report::{CapacityPlan, ClassOutcome, LoadOutcome, SiteOutcome};
use crate::trace::{RequestClass, Trace};
use load_levels::{replay_load_levels, LoadLevel};
use trial::TrialLoad;

/// Maximum number of first attempts that are evaluated. Of a longer recording, only the busiest
/// excerpt is.
const MAX_REQUESTS: usize = 200_000;
/// Number of first attempts of a class below which its result is withheld.
const MIN_CLASS_REQUESTS: f64 = 30.0;

/// The options, the fleet and the recording that a plan is computed from, and the trace and the
/// network that were derived from them.
struct PlanInput<'a> {
    options: &'a PlanOptions,
    fleet: &'a Fleet,
    /// The whole recording, including unusually large objects.
    recorded: &'a Trace,
    /// The part of the recording that is evaluated.
    trace: Trace,
    /// End of the warm-up, in microseconds from the start of the trace; counting begins there.
    counted_from_us: u64,
    /// The network, with calibrated values.
    network: Network,
}

/// Plans the capacity of a fleet for a recorded load.
///
/// # Errors
/// The options are invalid, no request is left to evaluate, or the recording and the fleet do not
/// fit together.
pub fn plan(
    recorded: &Trace,
    fleet: &Fleet,
    options: &PlanOptions,
) -> Result<CapacityPlan, PlanError> {
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
            origin_calls_per_s: requested.mean(|result| result.origin_calls)
                / self.trace.duration_s(),
            sites: self.site_outcomes(requested),
            classes: self.class_outcomes(requested),
            bottlenecks: bottlenecks::find_bottlenecks(&levels, self.fleet, self.options.seed),
            loads: levels.iter().map(|level| self.load_outcome(level)).collect(),
            sizing,
            losses: losses::evaluate_losses(&trial, lost_endpoints),
            is_metastable: losses::is_metastable(&trial),
            calibration_notes: self.network.calibration_notes.clone(),
            quality,
        }
    }

    fn site_outcomes(&self, level: &LoadLevel) -> Vec<SiteOutcome> {
        let sites = self.network.sites.iter().enumerate();
        sites.map(|(index, site)| self.site_outcome(level, index, site)).collect()
    }

    fn site_outcome(&self, level: &LoadLevel, index: usize, site: &SiteNetwork) -> SiteOutcome {
        // Sites without recorded load follow those of the trace.
        let has_load = index < self.trace.sites.len();
        SiteOutcome {
            name: site.name.clone(),
            edge_caches: site.edge_caches.len(),
            in_time: estimate_served_in_time(&level.site_totals(index), self.options.seed),
            local_share: if has_load { self.trace.local_share(index) } else { 0.0 },
        }
    }

    fn class_outcomes(&self, level: &LoadLevel) -> Vec<ClassOutcome> {
        let classes = self.trace.classes.iter().enumerate();
        classes.map(|(index, class)| class_outcome(level, index, class)).collect()
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

fn class_outcome(level: &LoadLevel, index: usize, class: &RequestClass) -> ClassOutcome {
    let totals = level.class_totals(index);
    let has_enough = totals.first_attempts >= MIN_CLASS_REQUESTS;
    let in_time_share = has_enough.then(|| totals.in_time_share());
    ClassOutcome {
        name: class.name.clone(),
        in_time: in_time_share.and_then(Estimate::without_interval),
    }
}

/// Returns the number of retries per first attempt; 0 without first attempts.
fn retries_per_request(result: &ReplayResult) -> f64 {
    let totals = result.counted_totals();
    if totals.first_attempts > 0.0 {
        totals.retries / totals.first_attempts
    } else {
        0.0
    }
}
