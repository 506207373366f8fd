//! One router's process in a simulated cluster: its membership view, its leased quotas and its
//! socket.

use crate::Time;
use hollymux_cluster::membership::{Membership, MembershipChange};
use hollymux_cluster::quota::{ActivePeers, QuotaManager};
use hollymux_cluster::{RouterCounts, Transmit};
use hollymux_decision::WarmUpDemand;
use std::collections::VecDeque;

/// Datagrams that the socket of a paused process holds: a socket's buffer holds some hundred.
pub(super) const MAX_SOCKET_BACKLOG: usize = 256;

/// A router's process, or the place of one that does not run.
pub(super) struct RouterProcess {
    pub view: Option<Membership>,
    /// Its leased quotas, if quotas are leased.
    pub quotas: Option<QuotaManager>,
    /// What is requested of the servers that warm up.
    pub demands: Vec<WarmUpDemand>,
    /// How many routers its settings name, in all and in its zone.
    pub configured: RouterCounts,
    pub paused: bool,
    /// What waits in the socket of a paused process.
    pub backlog: VecDeque<Vec<u8>>,
    /// Ticks that were planned in an earlier generation are void.
    pub generation: u64,
    /// How far its wall clock is off, in microseconds.
    pub clock_offset: i64,
    /// Its name, the name of its cluster and its zone, if not those that its index gives.
    pub name: Option<String>,
    pub cluster: Option<String>,
    pub zone: Option<String>,
}

/// What a process wants after it has worked.
pub(super) struct Outputs {
    pub datagrams: Vec<Transmit>,
    pub changes: Vec<MembershipChange>,
    /// When it is to be ticked next, and the generation of that tick.
    pub due: Time,
    pub generation: u64,
}

impl RouterProcess {
    /// A place in a cluster of so many routers, where nothing runs yet.
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

    /// Reads a datagram, as the driver of a router does.
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

    /// Does what is due, unless the tick is void: whether it did.
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

    /// Takes what the process wants, and begins a new generation; none if nothing runs.
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
