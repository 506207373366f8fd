//! A cluster of routers' membership views and leased quotas in virtual time: routers can be
//! started, killed, paused and restarted, and every directed link between them can have a fault.
//! The same seed gives the same run, to the byte.

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

/// Start of a run, in microseconds of the routers' monotonic clocks.
pub const CLOCK_START: Time = 1_000 * SEC;
/// Zero of the monotonic clocks, in microseconds of Unix time.
const UNIX_AT_CLOCK_ZERO: i64 = 1_760_000_000 * SEC as i64;
/// Shortest delay of a datagram.
const MIN_NETWORK_DELAY: Time = 300;
/// Longest random delay that is added to the shortest one.
const MAX_NETWORK_JITTER: Time = 700;
/// Interval at which a condition over the whole cluster is evaluated.
const CONDITION_INTERVAL: Time = 100 * MS;
/// Number of routers that serve as seeds unless others are set.
pub const DEFAULT_SEEDS: usize = 3;
/// Port of all simulated routers.
const ROUTER_PORT: u16 = 7_946;
/// Separates the cluster's random numbers from others that have the same seed.
const SEED_SALT: u64 = 0x666c_6565;

enum TimedEvent {
    /// A timeout of a router's view or quotas is due. The event is void if the router's generation
    /// has changed.
    Tick { router: usize, generation: u64 },
    /// A datagram arrives at a router.
    Datagram { router: usize, bytes: Vec<u8> },
}

/// A change that a router's view reported.
#[derive(Clone, Debug)]
pub struct ObservedChange {
    /// The time of the change, on the monotonic clocks.
    pub at: Time,
    /// The index of the router whose view reported the change.
    pub by: usize,
    /// What changed in that router's view.
    pub change: MembershipChange,
}

/// Routers in virtual time with the links between them. A router is referred to by its index.
pub struct RouterCluster {
    /// The present on the routers' monotonic clocks, which all show the same time.
    pub now: Time,
    rng: Pcg64Mcg,
    seed: u64,
    processes: Vec<RouterProcess>,
    /// Faults of directed links, by the indices of sender and receiver.
    pub links: BTreeMap<(usize, usize), LinkFault>,
    /// The fault of every link that has none in `links`.
    pub default_link: LinkFault,
    timed_events: EventQueue<TimedEvent>,
    seeds: Vec<SocketAddr>,
    /// The timings of leases for routers that start from now on; with `None`, quotas are not
    /// leased.
    pub lease_timings: Option<LeaseTimings>,
    /// The routers whose leases may have changed; the caller empties the set.
    pub lease_changes: BTreeSet<usize>,
    /// The changes that the views reported, oldest first; the caller empties the list.
    pub changes: Vec<ObservedChange>,
    /// The traffic of all routers together, including datagrams that were lost.
    pub sent: TrafficCounters,
}

/// The address of the router with this index.
pub fn router_address(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (router >> 8) as u8, router as u8], ROUTER_PORT))
}

/// The index of the router at an address; `None` for an IPv6 address, which no simulated router
/// has.
pub fn router_at(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => Some(usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3])),
        IpAddr::V6(_) => None,
    }
}

impl RouterCluster {
    /// Creates a cluster of routers that are not started yet. The first three are the seeds of all.
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

    /// Sets the offset of a router's wall clock from the true time, in microseconds. Only the
    /// generation of a start is taken from this clock.
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

    /// Sets the numbers of routers, in all and in the router's zone, that a router's settings
    /// state.
    pub fn set_router_counts(&mut self, router: usize, counts: RouterCounts) {
        self.processes[router].configured = counts;
    }

    /// Sets a router's present demand for servers that warm up.
    pub fn set_demands(&mut self, router: usize, demands: Vec<WarmUpDemand>) {
        self.processes[router].demands = demands;
    }

    // ---- processes ----

    /// Starts a router, or restarts a running one without its state.
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

    /// Kills a router; datagrams waiting at its socket are lost.
    pub fn kill(&mut self, router: usize) {
        let process = &mut self.processes[router];
        process.view = None;
        process.quotas = None;
        process.generation += 1;
        process.backlog.clear();
    }

    /// Shuts a router down in an orderly way: it announces that it leaves, and then stops.
    pub fn leave(&mut self, router: usize) {
        let now = self.now;
        if let Some(view) = &mut self.processes[router].view {
            view.set_phase(now, RouterPhase::Stopping);
            view.leave(now);
        }
        self.drain_outputs(router);
        self.kill(router);
    }

    /// Pauses a router's process, as SIGSTOP does. Its socket still receives datagrams, up to 256.
    pub fn pause(&mut self, router: usize) {
        self.processes[router].paused = true;
    }

    /// Resumes a paused process.
    pub fn resume(&mut self, router: usize) {
        let backlog = std::mem::take(&mut self.processes[router].backlog);
        self.processes[router].paused = false;
        // Like the real driver, the process handles expired timers and waiting datagrams in one
        // turn before it sends anything.
        let now = self.now;
        if let Some(view) = &mut self.processes[router].view {
            view.handle_timeout(now);
        }
        backlog.iter().for_each(|bytes| self.processes[router].receive(now, bytes));
        self.drain_outputs(router);
    }

    // ---- links ----

    /// Sets one fault on every link from one group of routers to another; the default fault clears
    /// them.
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

    /// Cuts two groups of routers off from each other, in both directions.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        self.set_link_fault(one, other, LinkFault::CUT);
        self.set_link_fault(other, one, LinkFault::CUT);
    }

    /// Clears the faults of all links, except the default one.
    pub fn heal(&mut self) {
        self.links.clear();
    }

    /// Delivers a datagram to a router that no router has sent.
    pub fn inject_datagram(&mut self, router: usize, bytes: Vec<u8>) {
        self.timed_events.push(self.now, TimedEvent::Datagram { router, bytes });
    }

    // ---- time ----

    /// The time of the next event; `None` if no event is scheduled.
    pub fn due(&self) -> Option<Time> {
        self.timed_events.due()
    }

    /// Lets virtual time advance by a duration.
    pub fn run(&mut self, duration: Time) {
        let until = self.now + duration;
        self.run_while_not(until, |_| false);
    }

    /// Lets virtual time advance until a condition holds and returns how long that took; `None` if
    /// the timeout came first. The condition is evaluated every 100 ms.
    pub fn run_until(&mut self, timeout: Time, condition: impl Fn(&RouterCluster) -> bool) -> Option<Time> {
        let from = self.now;
        self.run_while_not(from + timeout, condition).then(|| self.now - from)
    }

    /// Lets virtual time advance to `until`, or until the condition holds; returns whether it
    /// holds.
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

    /// Takes the outputs of a router's view and quotas, sends its datagrams and schedules its next
    /// timeout.
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
