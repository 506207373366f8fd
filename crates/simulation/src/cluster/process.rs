//! The process of one router in a simulated cluster: its membership view, its leased quotas and its
//! socket.

use crate::Time;
use hollymux_cluster::membership::{Membership, MembershipChange};
use hollymux_cluster::quota::{ActivePeers, QuotaManager};
use hollymux_cluster::{RouterCounts, Transmit};
use hollymux_decision::WarmUpDemand;
use std::collections::VecDeque;

/// Maximum number of datagrams that the socket of a paused process holds; a real socket's buffer
/// holds a few hundred.
pub(super) const MAX_SOCKET_BACKLOG: usize = 256;

/// The process of a router, with what is kept between its starts.
pub(super) struct RouterProcess {
    pub view: Option<Membership>,
    /// The leased quotas; `None` if the process does not run or quotas are not leased.
    pub quotas: Option<QuotaManager>,
    /// The router's present demand for servers that warm up.
    pub demands: Vec<WarmUpDemand>,
    /// The numbers of routers, in all and in the router's zone, that the settings state.
    pub configured: RouterCounts,
    pub paused: bool,
    /// Datagrams that wait in the socket of a paused process.
    pub backlog: VecDeque<Vec<u8>>,
    /// The number of times that the outputs were taken or the process was killed. A scheduled tick
    /// is valid only for the generation that it names.
    pub generation: u64,
    /// The offset of the wall clock from the true time, in microseconds.
    pub clock_offset: i64,
    /// The router's name, its cluster's name and its zone; with `None`, they derive from the
    /// router's index or, for the cluster, are the default.
    pub name: Option<String>,
    pub cluster: Option<String>,
    pub zone: Option<String>,
}

/// The outputs of a process after it has handled its inputs.
pub(super) struct Outputs {
    pub datagrams: Vec<Transmit>,
    pub changes: Vec<MembershipChange>,
    /// The time of the next tick, and the generation that the tick is valid for.
    pub due: Time,
    pub generation: u64,
}

impl RouterProcess {
    /// Creates the process of a router, not started yet, in a cluster of `routers` routers.
    pub fn new(routers: usize) -> RouterProcess {
        RouterProcess {
            view: None,
            quotas: None,
            demands: Vec::new(),
            configured: RouterCounts { all: routers as u32, own_zone: routers as u32 },
            paused: false,
            backlog: VecDeque::new(),
            generation: 0,
            clock_offset: 0,
            name: None,
            cluster: None,
            zone: None,
        }
    }

    /// Handles a datagram, as the real driver does.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        if !QuotaManager::is_quota_datagram(bytes) {
            if let Some(view) = &mut self.view {
                view.handle_datagram(now, bytes);
            }
        } else if let Some(quotas) = &mut self.quotas {
            quotas.update_demand(now, &self.demands);
            quotas.handle_datagram(now, bytes);
        }
    }

    /// Handles the timeouts that are due and returns whether it did; a void tick does nothing.
    pub fn tick(&mut self, now: Time, generation: u64) -> bool {
        if self.paused || self.generation != generation {
            return false;
        }
        let Some(view) = &mut self.view else { return false };
        view.handle_timeout(now);
        if let Some(quotas) = self.quotas.as_mut().filter(|quotas| now >= quotas.next_timeout()) {
            quotas.update_demand(now, &self.demands);
            quotas.handle_timeout(now);
        }
        true
    }

    /// Takes the outputs of the process and begins a new generation; `None` if the process does not
    /// run.
    pub fn take_outputs(&mut self, now: Time) -> Option<Outputs> {
        let view = self.view.as_mut()?;
        let mut datagrams: Vec<Transmit> = std::iter::from_fn(|| view.poll_transmit()).collect();
        let changes: Vec<MembershipChange> = std::iter::from_fn(|| view.poll_change()).collect();
        let mut due = view.next_timeout();
        if let Some(quotas) = &mut self.quotas {
            if !changes.is_empty() {
                quotas.update_peers(now, &ActivePeers::from_membership(view));
            }
            datagrams.extend(std::iter::from_fn(|| quotas.poll_transmit()));
            due = due.min(quotas.next_timeout());
        }
        self.generation += 1;
        Some(Outputs { datagrams, changes, due: due.max(now), generation: self.generation })
    }
}
