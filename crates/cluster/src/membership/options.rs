//! Configuration of the membership protocol.

use crate::{Time, MS, SEC};
use std::net::SocketAddr;

/// Intervals and timeouts of the protocol, all of them durations. Shorter ones detect failures
/// sooner and cost more datagrams. `docs/cluster.md` gives the reason of each default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTimings {
    /// Interval between probes of a healthy router; longer while its local health is degraded.
    pub probe_interval: Time,
    /// Time to wait for an acknowledgement of a direct probe before indirect probes are requested;
    /// longer while the local health is degraded.
    pub ack_timeout: Time,
    /// Interval between gossip rounds while there are updates to disseminate.
    pub gossip_interval: Time,
    /// Suspicion timeout once enough other routers have confirmed the suspicion; then the suspect
    /// is declared failed.
    pub min_suspicion: Time,
    /// Suspicion timeout while no other router has confirmed the suspicion.
    pub max_suspicion: Time,
    /// Minimum interval between attempts to reach failed members and unknown seeds. Each interval
    /// is varied at random by up to half.
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

/// The local router's identity, its seeds and its protocol timings.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// The cluster's name. Datagrams from routers with another cluster name are rejected.
    pub cluster_name: String,
    /// The router's name as shown to operators, at most [`super::MAX_NAME_LEN`] bytes. The address
    /// identifies the router, not its name.
    pub router_name: String,
    /// The name of the router's zone, at most [`super::MAX_NAME_LEN`] bytes.
    pub zone: String,
    /// The advertised address, to which other routers send datagrams; it identifies the router.
    pub address: SocketAddr,
    /// Addresses of routers to contact at the start, and repeatedly while they are not in the
    /// member table. The router's own address in the list is ignored.
    pub seeds: Vec<SocketAddr>,
    /// Generation of this start, normally greater than that of every earlier start at the address.
    /// If another router knows a greater generation of the address, the local router switches to
    /// one that is greater still.
    pub generation: u64,
    /// Intervals and timeouts of the protocol.
    pub timings: MembershipTimings,
    /// Seed of the random choices: probe order, gossip targets, nonces and jitter.
    pub random_seed: u64,
}
