//! What an operator chooses for a capacity plan: the goal, the load, the losses, the warm-up and
//! the seed. This module validates the choices and resolves the endpoint names in them.

use crate::error::PlanError;
use crate::network::Network;
use crate::replay::{EndpointRef, InitialCaches, ReplayOptions};
use crate::trace::TraceExcerpt;
use std::ops::RangeInclusive;

/// Supported range of the load to plan for, in multiples of the recorded load.
const SCALES: RangeInclusive<f64> = 0.05..=20.0;
/// Divisor of the load's duration that gives the default warm-up: a quarter of it.
const DEFAULT_WARM_UP_PARTS: u64 = 4;

/// The load, the goal and the losses to plan for.
#[derive(Clone, Debug)]
pub struct PlanOptions {
    /// Share of the priority weight that should be served in time, strictly between 0 and 1.
    pub goal: f64,
    /// Load to plan for, in multiples of the recorded load; 0.05 to 20.
    pub scale: f64,
    /// Losses to evaluate in addition to those of single endpoints. Each is a list of endpoint
    /// names that are lost together.
    pub losses: Vec<Vec<String>>,
    /// Length of the warm-up in seconds, which fills the caches and is not counted; `None` for a
    /// quarter of the load.
    pub warm_up_s: Option<f64>,
    /// Whether requests for unusually large objects are left out.
    pub without_large_objects: bool,
    /// Content of the caches at the beginning of the load.
    pub initial_caches: InitialCaches,
    /// Seed of all random numbers; equal options and inputs give equal plans.
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
    /// Checks the options that do not depend on a recording.
    pub(super) fn validate(&self) -> Result<(), PlanError> {
        if !(self.goal > 0.0 && self.goal < 1.0) {
            return Err(PlanError::InvalidGoal);
        }
        if !SCALES.contains(&self.scale) {
            return Err(PlanError::InvalidScale);
        }
        Ok(())
    }

    /// Returns the end of the warm-up in microseconds, not before that of the excerpt itself. Fails
    /// if the requested warm-up is negative or as long as the excerpt.
    pub(super) fn warm_up_us(&self, excerpt: &TraceExcerpt) -> Result<u64, PlanError> {
        let duration_us = excerpt.trace.duration_us;
        let requested_us = match self.warm_up_s {
            Some(warm_up_s) if !(warm_up_s >= 0.0 && warm_up_s * 1e6 < duration_us as f64) => {
                return Err(PlanError::InvalidWarmUp { recorded_s: excerpt.trace.duration_s() });
            }
            Some(warm_up_s) => (warm_up_s * 1e6) as u64,
            None => duration_us / DEFAULT_WARM_UP_PARTS,
        };
        Ok(excerpt.warm_up_ends_us.max(requested_us))
    }

    /// Resolves the endpoint names of each loss. Fails if the network lacks one of them.
    pub(super) fn lost_endpoints(
        &self,
        network: &Network,
    ) -> Result<Vec<Vec<EndpointRef>>, PlanError> {
        let find_all = |names: &Vec<String>| {
            names.iter().map(|name| find_endpoint(network, name)).collect::<Result<Vec<_>, _>>()
        };
        self.losses.iter().map(find_all).collect()
    }

    /// Returns the options of a replay that is counted from `counted_from_us` on.
    pub(super) fn replay_options(&self, counted_from_us: u64) -> ReplayOptions {
        ReplayOptions {
            initial_caches: self.initial_caches,
            counted_from_us,
            seed: self.seed,
            ..ReplayOptions::default()
        }
    }
}

/// Finds an endpoint by name: a parent cache, or an edge cache as SITE-N.
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
