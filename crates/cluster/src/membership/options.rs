//! What membership is configured with.

use crate::{Time, MS, SEC};
use std::net::SocketAddr;

/// Intervals and timeouts that trade speed of detection for datagrams. `docs/cluster.md` gives the
/// reason of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTimings {
    /// From one probe to the next.
    pub probe_interval: Time,
    /// Without an acknowledgement within this, other routers are asked to probe the target.
    pub ack_timeout: Time,
    /// From one round of gossip to the next, while there are updates to disseminate.
    pub gossip_interval: Time,
    /// How long a suspicion lasts that enough routers confirm, before the suspect counts as failed.
    pub min_suspicion: Time,
    /// How long a suspicion lasts that no other router confirms.
    pub max_suspicion: Time,
    /// The shortest interval between attempts to reach failed routers and seeds.
    pub reconnect_interval: Time,
}

impl Default for MembershipTimings {
    fn default() -> MembershipTimings {
        MembershipTimings {
            probe_interval: 500 * MS,
            ack_timeout: 150 * MS,
            gossip_interval: 200 * MS,
            min_suspicion: 1_500 * MS,
            max_suspicion: 4_500 * MS,
            reconnect_interval: SEC,
        }
    }
}

/// The local router's identity and whom it contacts first.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// The cluster's name: datagrams of other clusters are dropped.
    pub cluster_name: String,
    /// The router's name for people; its address identifies it.
    pub router_name: String,
    /// The router's zone.
    pub zone: String,
    /// The address that other routers send to.
    pub address: SocketAddr,
    /// Routers to contact at the start, and again while they are unknown.
    pub seeds: Vec<SocketAddr>,
    /// The generation of this start. A greater one is taken if other routers know one of this
    /// address.
    pub generation: u64,
    /// Intervals and timeouts.
    pub timings: MembershipTimings,
    /// Seed of the random choices.
    pub random_seed: u64,
}
