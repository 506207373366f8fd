//! A cluster of routers' membership views in virtual time: routers that are started, killed, paused
//! and restarted, and a fault on each directed link between them. The same seed gives the same run,
//! to the byte.

mod observe;
mod process;

use crate::event_queue::EventQueue;
use crate::link_fault::{LinkFault, TrafficCounters};
use crate::{Time, MS, SEC};
use hollymux_cluster::membership::{
    Membership, MembershipChange, MembershipOptions, MembershipTimings, RouterPhase,
};
use hollymux_cluster::quota::{LeaseTimings, QuotaManager, QuotaOptions};
use hollymux_cluster::{RouterCounts, Transmit};
use hollymux_decision::WarmUpDemand;
use process::{RouterProcess, MAX_SOCKET_BACKLOG};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// When a run starts, in microseconds of the routers' monotonic clocks.
pub const CLOCK_START: Time = 1_000 * SEC;
/// When a run's monotonic clocks are at 0, in microseconds of Unix time.
const UNIX_AT_CLOCK_ZERO: i64 = 1_760_000_000 * SEC as i64;
/// A datagram takes this long at least.
const MIN_NETWORK_DELAY: Time = 300;
/// And up to this much longer.
const MAX_NETWORK_JITTER: Time = 700;
/// A condition over the whole cluster is evaluated this often.
const CONDITION_INTERVAL: Time = 100 * MS;
/// So many routers are everybody's seeds, if no others are named.
pub const DEFAULT_SEEDS: usize = 3;
/// The port of all simulated routers.
const ROUTER_PORT: u16 = 7_946;
/// Tells the cluster's random numbers from others under the same seed.
const SEED_SALT: u64 = 0x666c_6565;

enum TimedEvent {
    /// A view or its quotas are due, unless something else has happened there since.
    Tick { router: usize, generation: u64 },
    /// A datagram reaches a router.
    Datagram { router: usize, bytes: Vec<u8> },
}

/// A change that a router's view reported.
#[derive(Clone, Debug)]
pub struct ObservedChange {
    /// When, on the monotonic clocks.
    pub at: Time,
    /// Whose view it was.
    pub by: usize,
    /// The change.
    pub change: MembershipChange,
}

/// Routers and the links between them.
pub struct RouterCluster {
    /// The present, as all monotonic clocks show it.
    pub now: Time,
    rng: Pcg64Mcg,
    seed: u64,
    processes: Vec<RouterProcess>,
    /// Faults by directed link: sender and receiver.
    pub links: BTreeMap<(usize, usize), LinkFault>,
    /// What every link does that has no fault of its own.
    pub default_link: LinkFault,
    timed_events: EventQueue<TimedEvent>,
    seeds: Vec<SocketAddr>,
    /// The times of leases, for those that start from now on; none: quotas are not leased.
    pub lease_timings: Option<LeaseTimings>,
    /// Routers whose leases may have changed.
    pub lease_changes: BTreeSet<usize>,
    /// What the views have reported.
    pub changes: Vec<ObservedChange>,
    /// What all routers together have sent.
    pub sent: TrafficCounters,
}

/// The address of a router.
pub fn router_address(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (router >> 8) as u8, router as u8], ROUTER_PORT))
}

/// The router at an address.
pub fn router_at(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => Some(usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3])),
        IpAddr::V6(_) => None,
    }
}

impl RouterCluster {
    /// So many routers, none of them started; the first three are everybody's seeds.
    pub fn new(routers: usize, seed: u64) -> RouterCluster {
        RouterCluster {
            now: CLOCK_START,
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            seed,
            processes: (0..routers).map(|_| RouterProcess::new(routers)).collect(),
            links: BTreeMap::new(),
            default_link: LinkFault::default(),
            timed_events: EventQueue::default(),
            seeds: (0..routers.min(DEFAULT_SEEDS)).map(router_address).collect(),
            lease_timings: None,
            lease_changes: BTreeSet::new(),
            changes: Vec::new(),
            sent: TrafficCounters::default(),
        }
    }

    // ---- configuration, for the next start of a router ----

    /// Sets the seeds of all routers.
    pub fn set_seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.iter().map(|seed| router_address(*seed)).collect();
    }

    /// Sets how far a router's wall clock is off, in microseconds. Only the numbers of its starts
    /// come from it.
    pub fn set_clock_offset(&mut self, router: usize, offset: i64) {
        self.processes[router].clock_offset = offset;
    }

    /// Sets a router's name and the name of its cluster.
    pub fn set_names(&mut self, router: usize, name: &str, cluster: &str) {
        let process = &mut self.processes[router];
        process.name = Some(name.to_string());
        process.cluster = Some(cluster.to_string());
    }

    /// Sets a router's zone.
    pub fn set_zone(&mut self, router: usize, zone: &str) {
        self.processes[router].zone = Some(zone.to_string());
    }

    /// Sets how many routers a router's settings name, in all and in its zone.
    pub fn set_router_counts(&mut self, router: usize, counts: RouterCounts) {
        self.processes[router].configured = counts;
    }

    /// Sets what is requested now of the servers that warm up, as a router knows them.
    pub fn set_demands(&mut self, router: usize, demands: Vec<WarmUpDemand>) {
        self.processes[router].demands = demands;
    }

    // ---- processes ----

    /// Starts a router, or starts it anew.
    pub fn start(&mut self, router: usize) {
        let options = self.membership_options(router);
        let quota_options = self.lease_timings.map(|timings| QuotaOptions {
            cluster_name: options.cluster_name.clone(),
            address: options.address,
            instance_id: options.generation,
            configured_routers: self.processes[router].configured,
            timings,
        });
        let process = &mut self.processes[router];
        process.paused = false;
        process.view = Some(Membership::new(options, self.now));
        process.quotas = quota_options.map(|options| QuotaManager::new(options, self.now));
        process.backlog.clear();
        self.drain_outputs(router);
    }

    fn membership_options(&self, router: usize) -> MembershipOptions {
        let process = &self.processes[router];
        let unix = UNIX_AT_CLOCK_ZERO + self.now as i64 + process.clock_offset;
        MembershipOptions {
            cluster_name: process.cluster.clone().unwrap_or_else(|| "lab".into()),
            router_name: process.name.clone().unwrap_or_else(|| format!("n{}", router + 1)),
            zone: process.zone.clone().unwrap_or_else(|| format!("z{}", router % 4)),
            address: router_address(router),
            seeds: self.seeds.clone(),
            generation: unix.max(1) as u64,
            timings: MembershipTimings::default(),
            random_seed: self.seed ^ (router as u64) << 20 ^ self.now,
        }
    }

    /// Kills a router: what its socket holds is gone.
    pub fn kill(&mut self, router: usize) {
        let process = &mut self.processes[router];
        process.view = None;
        process.quotas = None;
        process.generation += 1;
        process.backlog.clear();
    }

    /// Shuts a router down, which announces that it leaves.
    pub fn leave(&mut self, router: usize) {
        let now = self.now;
        if let Some(view) = &mut self.processes[router].view {
            view.set_phase(now, RouterPhase::Stopping);
            view.leave(now);
        }
        self.drain_outputs(router);
        self.kill(router);
    }

    /// Stops a process where it is, as SIGSTOP does; its socket goes on holding what comes, up to a
    /// bound.
    pub fn pause(&mut self, router: usize) {
        self.processes[router].paused = true;
    }

    /// Lets a paused process go on.
    pub fn resume(&mut self, router: usize) {
        let backlog = std::mem::take(&mut self.processes[router].backlog);
        self.processes[router].paused = false;
        // The driver looks at its timers and its socket in one turn.
        let now = self.now;
        if let Some(view) = &mut self.processes[router].view {
            view.handle_timeout(now);
        }
        backlog.iter().for_each(|bytes| self.processes[router].receive(now, bytes));
        self.drain_outputs(router);
    }

    // ---- links ----

    /// Sets one fault on every link from one group to another; the default mends them.
    pub fn set_link_fault(&mut self, from: &[usize], to: &[usize], fault: LinkFault) {
        for sender in from {
            for receiver in to.iter().filter(|receiver| *receiver != sender) {
                if fault == LinkFault::default() {
                    self.links.remove(&(*sender, *receiver));
                } else {
                    self.links.insert((*sender, *receiver), fault);
                }
            }
        }
    }

    /// Cuts two groups off from each other, both ways.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        self.set_link_fault(one, other, LinkFault::CUT);
        self.set_link_fault(other, one, LinkFault::CUT);
    }

    /// Mends all links.
    pub fn heal(&mut self) {
        self.links.clear();
    }

    /// Hands a router a datagram that no router sent.
    pub fn inject_datagram(&mut self, router: usize, bytes: Vec<u8>) {
        self.timed_events.push(self.now, TimedEvent::Datagram { router, bytes });
    }

    // ---- time ----

    /// When something happens next.
    pub fn due(&self) -> Option<Time> {
        self.timed_events.due()
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: Time) {
        let until = self.now + duration;
        self.run_while_not(until, |_| false);
    }

    /// Lets time pass until a condition holds; how long that took, or none if it did not in time.
    pub fn run_until(&mut self, timeout: Time, condition: impl Fn(&RouterCluster) -> bool) -> Option<Time> {
        let from = self.now;
        self.run_while_not(from + timeout, condition).then(|| self.now - from)
    }

    /// Lets time pass up to `until`, or until the condition holds: whether it does.
    fn run_while_not(&mut self, until: Time, condition: impl Fn(&RouterCluster) -> bool) -> bool {
        let mut next_check = self.now;
        loop {
            if self.now >= next_check {
                next_check = self.now + CONDITION_INTERVAL;
                if condition(self) {
                    return true;
                }
            }
            if let Some((at, event)) = self.timed_events.pop_due(next_check.min(until)) {
                self.now = at;
                self.on_timed_event(event);
            } else if next_check >= until {
                self.now = until;
                return false;
            } else {
                self.now = next_check;
            }
        }
    }

    fn on_timed_event(&mut self, event: TimedEvent) {
        match event {
            TimedEvent::Tick { router, generation } => {
                if self.processes[router].tick(self.now, generation) {
                    self.drain_outputs(router);
                }
            }
            TimedEvent::Datagram { router, bytes } => self.on_datagram(router, bytes),
        }
    }

    fn on_datagram(&mut self, router: usize, bytes: Vec<u8>) {
        let process = &mut self.processes[router];
        if process.view.is_none() {
            return;
        }
        if !process.paused {
            process.receive(self.now, &bytes);
            self.drain_outputs(router);
        } else if process.backlog.len() < MAX_SOCKET_BACKLOG {
            process.backlog.push_back(bytes);
        }
    }

    /// Takes what a router's view and quotas want, and plans their next tick.
    fn drain_outputs(&mut self, router: usize) {
        let Some(outputs) = self.processes[router].take_outputs(self.now) else { return };
        let (at, by) = (self.now, router);
        let changes = outputs.changes.into_iter();
        self.changes.extend(changes.map(|change| ObservedChange { at, by, change }));
        if self.processes[router].quotas.is_some() {
            self.lease_changes.insert(router);
        }
        let generation = outputs.generation;
        self.timed_events.push(outputs.due, TimedEvent::Tick { router, generation });
        for Transmit { destination, payload } in outputs.datagrams {
            self.send(router, destination, payload);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        self.sent.count(bytes.len());
        let Some(to) = router_at(to).filter(|to| *to < self.processes.len()) else { return };
        let fault = self.links.get(&(from, to)).copied().unwrap_or(self.default_link);
        for _ in 0..fault.apply(&mut self.rng, &mut bytes) {
            let network = MIN_NETWORK_DELAY + self.rng.random_range(0..=MAX_NETWORK_JITTER);
            let delay = network + fault.draw_delay(&mut self.rng);
            let event = TimedEvent::Datagram { router: to, bytes: bytes.clone() };
            self.timed_events.push(self.now + delay, event);
        }
    }
}
