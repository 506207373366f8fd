//! What a plan is to answer.

use crate::error::PlanError;
use crate::network::Network;
use crate::replay::{EndpointRef, InitialCaches, ReplayOptions};
use crate::trace::TraceExcerpt;
use std::ops::RangeInclusive;

/// Loads that can be planned for, in multiples of the recorded one.
const SCALES: RangeInclusive<f64> = 0.05..=20.0;
/// The share of the load that is warm-up unless something else is asked for: one in so many parts.
const DEFAULT_WARM_UP_PARTS: u64 = 4;

/// What to plan for.
#[derive(Clone, Debug)]
pub struct PlanOptions {
    /// The share of the weight that is to be served in time.
    pub goal: f64,
    /// The load, in multiples of the recorded one.
    pub scale: f64,
    /// Losses to judge beside those of single endpoints: endpoints by name, lost together.
    pub losses: Vec<Vec<String>>,
    /// The first seconds of the recording fill the caches and are not counted; none: a quarter of
    /// it.
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
    /// Checks what can be checked without a recording.
    pub(super) fn validate(&self) -> Result<(), PlanError> {
        if !(self.goal > 0.0 && self.goal < 1.0) {
            return Err(PlanError::InvalidGoal);
        }
        if !SCALES.contains(&self.scale) {
            return Err(PlanError::InvalidScale);
        }
        Ok(())
    }

    /// When the warm-up ends, in microseconds: not before that of the excerpt.
    pub(super) fn warm_up_us(&self, excerpt: &TraceExcerpt) -> Result<u64, PlanError> {
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
    pub(super) fn lost_endpoints(
        &self,
        network: &Network,
    ) -> Result<Vec<Vec<EndpointRef>>, PlanError> {
        let find_all = |names: &Vec<String>| {
            names.iter().map(|name| find_endpoint(network, name)).collect::<Result<Vec<_>, _>>()
        };
        self.losses.iter().map(find_all).collect()
    }

    /// How loads are replayed that are counted from a moment on.
    pub(super) fn replay_options(&self, counted_from_us: u64) -> ReplayOptions {
        ReplayOptions {
            initial_caches: self.initial_caches,
            counted_from_us,
            seed: self.seed,
            ..ReplayOptions::default()
        }
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
