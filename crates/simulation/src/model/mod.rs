//! The simulated servers of a scenario: edge caches, parent caches and the origin, with their
//! caches and the links between them. The model takes attempts and the current time and produces
//! [`ModelEvent`]s; it contains no sockets and no routers, so that it runs the same in real and in
//! virtual time.
//!
//! A transfer occupies each of its links concurrently and ends when the last of them has carried
//! all its bytes. An answer that is passed on from a running fill starts at the fill's first byte
//! and does not end before the fill does.

mod accounting;
mod faults;
mod fills;
mod links;
mod origin;
mod requests;
mod types;
mod warm_up;

pub use accounting::ResourceUse;
pub use faults::PURGE_COMPLETION;
pub use types::{Attempt, AttemptResult, ListedState, ModelEvent, Server, ServerKind, ServerState};
pub use warm_up::{CacheTier, PerTier, WarmUp, EDGE_CACHE_WARM_UP, OVERLOAD_WINDOW, PARENT_CACHE_WARM_UP};

use crate::event_queue::EventQueue;
use crate::lru_cache::LruCache;
use crate::objects::{ChunkKey, Purge};
use crate::scenario::{FaultPhase, Scenario};
use crate::shared_link::{SharedLink, TransferId};
use crate::statistics::Samples;
use crate::{Time, SEC};
use accounting::FinalUse;
use fills::Fill;
use links::{LinkId, ModelLink, TransferOwner};
use origin::OriginAdmission;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use requests::{PendingRequest, WorkItem};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use warm_up::WarmUpLoad;

/// Maximum rate of one fill, as a multiple of a client's full rate.
const FILL_RATE_MULTIPLE: f64 = 3.0;
/// Maximum number of requests that a server holds at once, for each of its cores.
const REQUESTS_PER_CORE: f64 = 40.0;
/// Maximum number of concurrent fills of an edge cache, for each of its cores.
const FILLS_PER_CORE: f64 = 5.0;
/// Cores of a parent cache: so many that they are never the bottleneck.
const PARENT_CACHE_CORES: f64 = 64.0;
/// Separates the model's random numbers from those of the clients, which have the same seed.
const SEED_SALT: u64 = 0x776f_726c;

/// How often each rule was violated, by the rule's name as printed in reports.
pub type Violations = BTreeMap<&'static str, u64>;

/// A future event inside the model.
#[derive(Clone, Copy, Debug)]
enum TimedEvent {
    /// The next transfer of a link ends. The event is void if the link's generation has changed.
    LinkDue { link: LinkId, generation: u64 },
    /// A worker of a server finishes an item of work. The event is void if the server has stopped
    /// since the work started, which changes its incarnation.
    WorkDone { server: usize, work: WorkItem, incarnation: u64 },
    /// The request for a fill, named by its id, reaches the source of the fill.
    FillArrives(u64),
    /// The first-byte timeout of a fill, named by its id, expires.
    FillOverdue(u64),
    /// The capacity of this server is recalculated, as it grows during the warm-up.
    WarmUpStep(usize),
    /// A fault of the scenario, named by its index, begins or ends.
    Fault { index: usize, phase: FaultPhase },
    /// A purge reaches a server, which drops the copies that it covers.
    PurgeArrives { server: usize, purge: Purge },
    /// The next purge is issued.
    OrderPurge,
}

/// The internal state of a server: its outgoing link, its cache, its workers and its counters.
#[derive(Debug)]
struct ServerRuntime {
    outgoing_link: ModelLink,
    cache: LruCache,
    /// The nominal rate of the outgoing link.
    bytes_per_s: f64,
    /// The share of the nominal rate that a `slow` fault leaves; 1 without such a fault.
    slow_factor: f64,
    workers: usize,
    busy_workers: usize,
    queue: VecDeque<WorkItem>,
    max_requests: usize,
    requests: usize,
    max_fills: usize,
    fills: usize,
    peak_fills: usize,
    /// The number of times that the server has stopped. Work that started in an earlier incarnation
    /// has no effect when it finishes.
    incarnation: u64,
    warm_up_load: WarmUpLoad,
    /// Work started since the beginning of the run, and the part of it before accounting started;
    /// both in microseconds of one worker.
    work_done: f64,
    work_before_accounting: f64,
    rejected: u64,
}

/// The parameters from which a server is created.
struct ServerSpec<'a> {
    name: &'a str,
    kind: ServerKind,
    link_flows: f64,
    /// Maximum rate of one outgoing transfer, in bytes per second.
    max_per_transfer: f64,
    cache_bytes: u64,
    cores: f64,
    max_fills: usize,
}

impl ServerSpec<'_> {
    fn listed(&self) -> Server {
        Server {
            name: self.name.to_string(),
            uid: format!("s-{}", self.name),
            kind: self.kind,
            state: ServerState::Up,
            flows: self.link_flows,
            started: 0,
        }
    }

    fn runtime(&self, flow_bytes_per_s: f64) -> ServerRuntime {
        let bytes_per_s = self.link_flows * flow_bytes_per_s;
        ServerRuntime {
            outgoing_link: ModelLink::new(SharedLink::new(bytes_per_s, self.max_per_transfer)),
            cache: LruCache::new(self.cache_bytes),
            bytes_per_s,
            slow_factor: 1.0,
            workers: self.cores.ceil() as usize,
            busy_workers: 0,
            queue: VecDeque::new(),
            max_requests: (self.cores * REQUESTS_PER_CORE) as usize,
            requests: 0,
            max_fills: self.max_fills,
            fills: 0,
            peak_fills: 0,
            incarnation: 0,
            warm_up_load: WarmUpLoad::default(),
            work_done: 0.0,
            work_before_accounting: 0.0,
            rejected: 0,
        }
    }
}

/// All servers of a scenario, in the order edge caches by site, parent caches, origin.
#[derive(Debug)]
pub struct ServerModel {
    scenario: Scenario,
    now: Time,
    rng: Pcg64Mcg,
    /// The servers as the endpoint list describes them. A server is referred to by its index here,
    /// and the origin is the last.
    pub servers: Vec<Server>,
    runtimes: Vec<ServerRuntime>,
    /// The incoming link of each site, by the site's index.
    site_links: Vec<ModelLink>,
    timed_events: EventQueue<TimedEvent>,
    requests: HashMap<u64, PendingRequest>,
    fills: HashMap<u64, Fill>,
    /// The id of the latest fill of each chunk at each server.
    running_fills: HashMap<(usize, ChunkKey), u64>,
    transfers: HashMap<TransferId, TransferOwner>,
    /// The next id of a fill or a transfer.
    next_id: u64,
    origin_admission: OriginAdmission,
    /// Ids of the non-idempotent requests that have been executed, to detect a second execution.
    executed: BTreeSet<u64>,
    /// The objects of recent requests; purges pick from them.
    recent_objects: VecDeque<RecentObject>,
    purges: Vec<Purge>,
    /// The servers that drain, with the time at which all routers know it; `Time::MAX` until the
    /// driver reports that time.
    draining: BTreeMap<usize, Time>,
    /// The time at which all routers know of the latest start of each server.
    start_known_at: BTreeMap<usize, Time>,
    /// Events that the driver has not taken yet, oldest first.
    pub events: Vec<ModelEvent>,
    violations: Violations,
    overloads_before_known: u64,
    warm_up_use: PerTier<Samples>,
    accounting_since: Time,
    final_use: Option<FinalUse>,
}

/// An object that was requested recently, as a candidate for a purge.
#[derive(Clone, Copy, Debug)]
struct RecentObject {
    object: u64,
    group: u32,
}

impl ServerModel {
    /// Creates the servers of a scenario that starts at `start`: all of them warm, with empty
    /// caches.
    pub fn new(scenario: &Scenario, start: Time, seed: u64) -> ServerModel {
        let flow = scenario.flow_bytes_per_s;
        let names = edge_cache_names(scenario);
        let specs = server_specs(scenario, &names);
        let site_link = |link_in_flows: f64| {
            ModelLink::new(SharedLink::new(link_in_flows * flow, FILL_RATE_MULTIPLE * flow))
        };
        let mut model = ServerModel {
            scenario: scenario.clone(),
            now: start,
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            servers: specs.iter().map(ServerSpec::listed).collect(),
            runtimes: specs.iter().map(|spec| spec.runtime(flow)).collect(),
            site_links: scenario.sites.iter().map(|site| site_link(site.link_in_flows)).collect(),
            timed_events: EventQueue::default(),
            requests: HashMap::new(),
            fills: HashMap::new(),
            running_fills: HashMap::new(),
            transfers: HashMap::new(),
            next_id: 1,
            origin_admission: OriginAdmission::default(),
            executed: BTreeSet::new(),
            recent_objects: VecDeque::new(),
            purges: Vec::new(),
            draining: BTreeMap::new(),
            start_known_at: BTreeMap::new(),
            events: Vec::new(),
            violations: Violations::new(),
            overloads_before_known: 0,
            warm_up_use: PerTier::default(),
            accounting_since: start,
            final_use: None,
        };
        model.schedule_scenario(start);
        model
    }

    /// Schedules the scenario's faults and the first purge.
    fn schedule_scenario(&mut self, start: Time) {
        for step in self.scenario.fault_timeline() {
            let event = TimedEvent::Fault { index: step.index, phase: step.phase };
            self.schedule(start + step.after, event);
        }
        if self.scenario.purges_per_s > 0.0 {
            self.schedule(start + SEC, TimedEvent::OrderPurge);
        }
    }

    fn schedule(&mut self, at: Time, event: TimedEvent) {
        self.timed_events.push(at.max(self.now), event);
    }

    fn new_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// The time of the next internal event; `None` if no event is scheduled.
    pub fn due(&self) -> Option<Time> {
        self.timed_events.due()
    }

    /// Processes all internal events up to and including `now`.
    pub fn advance(&mut self, now: Time) {
        while let Some((at, event)) = self.timed_events.pop_due(now) {
            self.now = self.now.max(at);
            self.on_timed_event(event);
        }
        self.now = self.now.max(now);
    }

    fn on_timed_event(&mut self, event: TimedEvent) {
        match event {
            TimedEvent::LinkDue { link, generation } => self.on_link_due(link, generation),
            TimedEvent::WorkDone { server, work, incarnation } => {
                if self.runtimes[server].incarnation == incarnation {
                    self.on_work_done(server, work);
                }
            }
            TimedEvent::FillArrives(fill) => self.on_fill_arrives(fill),
            TimedEvent::FillOverdue(fill) => self.on_fill_overdue(fill),
            TimedEvent::WarmUpStep(server) => self.adjust_capacity(server),
            TimedEvent::Fault { index, phase } => self.on_fault(index, phase),
            TimedEvent::PurgeArrives { server, purge } => self.runtimes[server].cache.purge(&purge),
            TimedEvent::OrderPurge => self.order_purge(),
        }
    }

    /// The index of the origin, which is the last server.
    fn origin(&self) -> usize {
        self.servers.len() - 1
    }

    fn is_parent_cache(&self, server: usize) -> bool {
        matches!(self.servers[server].kind, ServerKind::ParentCache(_))
    }

    fn violate(&mut self, rule: &'static str) {
        *self.violations.entry(rule).or_default() += 1;
    }

    /// The violations detected so far; empty if every rule held.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// The number of servers that were overloaded while they warmed up, mainly by load that was
    /// sent before all routers knew of their start. Routers could not prevent that, so it violates
    /// no rule.
    pub fn overloads_before_known(&self) -> u64 {
        self.overloads_before_known
    }

    /// The load on servers that warm up, relative to what all routers together may send them: the
    /// peak over all windows, and the mean of samples taken every 250 ms at each such server.
    pub fn warm_up_use(&self) -> PerTier<Samples> {
        self.warm_up_use
    }

    /// The number of requests that reached the origin, rejected ones included.
    pub fn origin_requests(&self) -> u64 {
        self.origin_admission.requests
    }

    /// How often the origin stopped for a while because far too many requests reached it.
    pub fn origin_stops(&self) -> u64 {
        self.origin_admission.falls
    }
}

/// The names of the edge caches, by site.
fn edge_cache_names(scenario: &Scenario) -> Vec<Vec<String>> {
    (0..scenario.sites.len()).map(|site| scenario.edge_cache_names(site).collect()).collect()
}

/// The parameters of all servers: edge caches site by site, then parent caches, then the origin.
fn server_specs<'a>(scenario: &'a Scenario, edge_caches: &'a [Vec<String>]) -> Vec<ServerSpec<'a>> {
    let flow = scenario.flow_bytes_per_s;
    let mut specs = Vec::new();
    for (index, (site, names)) in scenario.sites.iter().zip(edge_caches).enumerate() {
        specs.extend(names.iter().map(|name| ServerSpec {
            name,
            kind: ServerKind::EdgeCache(index),
            link_flows: site.cache_link_flows,
            max_per_transfer: flow,
            cache_bytes: site.cache_bytes,
            cores: site.cache_cores,
            max_fills: (site.cache_cores * FILLS_PER_CORE).ceil() as usize,
        }));
    }
    specs.extend(scenario.parent_caches.iter().enumerate().map(|(index, parent)| ServerSpec {
        name: &parent.name,
        kind: ServerKind::ParentCache(index),
        link_flows: parent.link_flows,
        max_per_transfer: FILL_RATE_MULTIPLE * flow,
        cache_bytes: parent.cache_bytes,
        cores: PARENT_CACHE_CORES,
        max_fills: parent.max_fills,
    }));
    specs.push(ServerSpec {
        name: crate::scenario::ORIGIN_NAME,
        kind: ServerKind::Origin,
        link_flows: scenario.origin.link_flows,
        max_per_transfer: FILL_RATE_MULTIPLE * flow,
        cache_bytes: 0,
        cores: scenario.origin.workers as f64,
        max_fills: 0,
    });
    specs
}
