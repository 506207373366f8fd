//! One router's process in a simulated cluster: its membership view, its leased quotas and its socket.

use crate::Time;
use hollymux_cluster::limits::{self, Limits};
use hollymux_cluster::view::{Change, Membership};
use hollymux_decision::WarmUpDemand;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Datagrams that the socket of a paused process holds: a socket's buffer holds some hundred.
pub(super) const MAX_SOCKET_BACKLOG: usize = 256;

/// A router's process, or the place of one that does not run.
pub(super) struct RouterProcess {
    pub view: Option<Membership>,
    /// Its leased quotas, if quotas are leased.
    pub limits: Option<Limits>,
    /// What is requested of the servers that warm up.
    pub demands: Vec<WarmUpDemand>,
    /// How many routers its settings name, in all and in its zone.
    pub configured: (u32, u32),
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
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    pub changes: Vec<Change>,
    /// When it is to be ticked next, and the generation of that tick.
    pub due: Time,
    pub generation: u64,
}

impl RouterProcess {
    /// A place in a cluster of so many routers, where nothing runs yet.
    pub fn new(routers: usize) -> RouterProcess {
        RouterProcess {
            view: None,
            limits: None,
            demands: Vec::new(),
            configured: (routers as u32, routers as u32),
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
        if !Limits::is_for(bytes) {
            if let Some(view) = &mut self.view {
                view.datagram(now, bytes);
            }
        } else if let Some(limits) = &mut self.limits {
            limits.demand(now, &self.demands);
            limits.datagram(now, bytes);
        }
    }

    /// Does what is due, unless the tick is void: whether it did.
    pub fn tick(&mut self, now: Time, generation: u64) -> bool {
        if self.paused || self.generation != generation {
            return false;
        }
        let Some(view) = &mut self.view else { return false };
        view.tick(now);
        if let Some(limits) = self.limits.as_mut().filter(|limits| now >= limits.due()) {
            limits.demand(now, &self.demands);
            limits.tick(now);
        }
        true
    }

    /// Takes what the process wants, and begins a new generation; none if nothing runs.
    pub fn take_outputs(&mut self, now: Time) -> Option<Outputs> {
        let view = self.view.as_mut()?;
        let mut datagrams: Vec<(SocketAddr, Vec<u8>)> = std::iter::from_fn(|| view.outgoing()).collect();
        let changes: Vec<Change> = std::iter::from_fn(|| view.change()).collect();
        let mut due = view.due();
        if let Some(limits) = &mut self.limits {
            if !changes.is_empty() {
                let (members, beyond) = limits::members(view);
                limits.members(now, members, beyond);
            }
            datagrams.extend(std::iter::from_fn(|| limits.outgoing()));
            due = due.min(limits.due());
        }
        self.generation += 1;
        Some(Outputs { datagrams, changes, due: due.max(now), generation: self.generation })
    }
}
