//! Replay of a load over a network, as a discrete event simulation. Every first attempt is placed
//! as the routers place it, served from its edge cache or filled over links that it shares with
//! others, and retried by its client if it is not served. The result is the weight that was served
//! in time by site, class and second, and how much of every resource was used.
//!
//! Time is that of the recording. Links are shared as in [`crate::shared_link`]; a client's
//! transfer starts with the first byte of its fill.

mod admission;
mod endpoints;
mod events;
mod fetch_table;
mod fills;
mod links;
mod outages;
mod outcome;
mod request_table;
mod requests;
mod resources;
mod routing;
mod simulation;
mod topology;

pub use outages::{EndpointRef, Outage};
pub use outcome::{ReplayResult, ServedFrom, Totals};
pub use resources::{Resource, ResourceUsage};

use crate::network::Network;
use crate::trace::Trace;
use simulation::Simulation;

/// What caches hold when the load begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InitialCaches {
    /// What the warm-up requests. What they really held when the recording began is not known, and
    /// a fleet that starts empty under its full load may collapse at a load that it carries when
    /// warm.
    #[default]
    Warm,
    /// Nothing, as after a loss of everything.
    Empty,
}

/// How a load is replayed.
#[derive(Clone, Debug, Default)]
pub struct ReplayOptions {
    /// What caches hold at the beginning.
    pub initial_caches: InitialCaches,
    /// Endpoints that are lost for a while.
    pub outage: Option<Outage>,
    /// From when on classes, hits and bytes are counted, in microseconds.
    pub counted_from_us: u64,
    /// The seed of random numbers.
    pub seed: u64,
    /// Whether the result says where each first attempt was served from.
    pub record_sources: bool,
}

/// Replays a load over a network.
pub fn replay(trace: &Trace, network: &Network, options: &ReplayOptions) -> ReplayResult {
    let mut simulation = Simulation::new(trace, network, options);
    if options.initial_caches == InitialCaches::Warm {
        simulation.fill_initial_caches();
    }
    simulation.schedule_outage();
    simulation.run();
    simulation.into_result()
}
