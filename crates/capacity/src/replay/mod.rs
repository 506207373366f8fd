//! Replay of a load over a network, as a discrete-event simulation. Each first attempt is placed as
//! the routers place it, served from its edge cache or filled over links that it shares with other
//! transfers, and retried by its client if it is not served. The result is the priority weight
//! served in time by site, class and second, and the use of every resource.
//!
//! The replay runs in the time of the recording. Links are shared as in [`crate::shared_link`]. A
//! response that is filled is passed on to the client from its first byte.

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

/// Content of the caches at the beginning of the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InitialCaches {
    /// The chunks that are requested during the warm-up. The real content at the beginning of the
    /// recording is not known, and a fleet that starts with empty caches under its full load may
    /// collapse at a load that it carries when warm.
    #[default]
    Warm,
    /// Nothing, as after a loss of all caches.
    Empty,
}

/// The initial conditions of a replay, and what its result records.
#[derive(Clone, Debug, Default)]
pub struct ReplayOptions {
    /// Content of the caches at the beginning of the load.
    pub initial_caches: InitialCaches,
    /// Endpoints that are lost for a while; `None` without losses.
    pub outage: Option<Outage>,
    /// Time from which class totals, hits and bytes are counted, in microseconds.
    pub counted_from_us: u64,
    /// Seed of the random numbers that choose replicas and waits before retries.
    pub seed: u64,
    /// Whether the result says where each first attempt was served from, see
    /// [`ReplayResult::sources`].
    pub record_sources: bool,
}

/// Replays a load over a network. The result depends only on the arguments.
pub fn replay(trace: &Trace, network: &Network, options: &ReplayOptions) -> ReplayResult {
    let mut simulation = Simulation::new(trace, network, options);
    if options.initial_caches == InitialCaches::Warm {
        simulation.fill_initial_caches();
    }
    simulation.schedule_outage();
    simulation.run();
    simulation.into_result()
}
