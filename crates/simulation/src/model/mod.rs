//! The servers of a scenario: edge caches, parent caches and the origin, with what they cache and
//! the links between them. The model is fed attempts and time, and knows neither sockets nor
//! routers.
//!
//! A transfer runs over each of its links at once and has ended when all of them have carried it.
//! What is passed on from a fill starts when the fill's first byte is there and ends no sooner than
//! the fill.

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

/// A fill runs at most so many times as fast as a transfer to a client.
const FILL_RATE_MULTIPLE: f64 = 3.0;
/// Requests that an edge cache holds at once, for each of its cores.
const REQUESTS_PER_CORE: f64 = 40.0;
/// Fills that an edge cache has under way at once, for each of its cores.
const FILLS_PER_CORE: f64 = 5.0;
/// Cores of a parent cache: more than it ever needs.
const PARENT_CACHE_CORES: f64 = 64.0;
/// Tells the model's random numbers from those of the clients under the same seed.
const SEED_SALT: u64 = 0x776f_726c;

/// Rules that were seen violated, by name, and how often.
pub type Violations = BTreeMap<&'static str, u64>;

/// What happens in the model by itself.
#[derive(Clone, Copy, Debug)]
enum TimedEvent {
    /// Transfers of a link end, unless its generation has changed.
    LinkDue { link: LinkId, generation: u64 },
    /// A worker of a server has done its work, unless the server has stopped since.
    WorkDone { server: usize, work: WorkItem, life: u64 },
    /// A fill reaches its source.
    FillArrives(u64),
    /// A fill of which nothing has come yet is given up.
    FillOverdue(u64),
    /// The capacity of a server that warms up grows.
    WarmUpStep(usize),
    /// A fault of the scenario, by its index, begins or ends.
    Fault { index: usize, phase: FaultPhase },
    /// A purge reaches a server.
    PurgeArrives { server: usize, purge: Purge },
    /// The next purge is ordered.
    OrderPurge,
}

/// The inside of a server.
#[derive(Debug)]
struct ServerRuntime {
    out: ModelLink,
    cache: LruCache,
    /// The nominal rate of its outgoing link.
    bytes_per_s: f64,
    /// What a fault leaves of that rate.
    slow_factor: f64,
    workers: usize,
    busy_workers: usize,
    queue: VecDeque<WorkItem>,
    max_requests: usize,
    requests: usize,
    max_fills: usize,
    fills: usize,
    peak_fills: usize,
    /// Counts its stops: work that was begun in an earlier life ends in nothing.
    life: u64,
    warm_up_load: WarmUpLoad,
    /// Work done in all, and before accounting started, in microseconds of a worker.
    work_done: f64,
    work_before: f64,
    rejected: u64,
}

/// What a server is made of.
struct ServerSpec<'a> {
    name: &'a str,
    kind: ServerKind,
    link_flows: f64,
    /// Bytes a second of one outgoing transfer at most.
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
            out: ModelLink::new(SharedLink::new(bytes_per_s, self.max_per_transfer)),
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
            life: 0,
            warm_up_load: WarmUpLoad::default(),
            work_done: 0.0,
            work_before: 0.0,
            rejected: 0,
        }
    }
}

/// The servers of a scenario. The origin is the last of them.
#[derive(Debug)]
pub struct ServerModel {
    scenario: Scenario,
    now: Time,
    rng: Pcg64Mcg,
    /// The servers, as the endpoint list names them.
    pub servers: Vec<Server>,
    runtimes: Vec<ServerRuntime>,
    /// The incoming link of each site.
    site_links: Vec<ModelLink>,
    timed_events: EventQueue<TimedEvent>,
    requests: HashMap<u64, PendingRequest>,
    fills: HashMap<u64, Fill>,
    /// The latest fill of each chunk at each server.
    running_fills: HashMap<(usize, ChunkKey), u64>,
    transfers: HashMap<TransferId, TransferOwner>,
    /// Ids of fills and transfers.
    next_id: u64,
    origin_admission: OriginAdmission,
    /// Non-idempotent requests that have run, by their id.
    executed: BTreeSet<u64>,
    /// Objects requested lately, as candidates for purges.
    recent_objects: VecDeque<RecentObject>,
    purges: Vec<Purge>,
    /// Draining servers, and when all routers knew of it.
    draining: BTreeMap<usize, Time>,
    /// When all routers knew of the latest start of each server.
    start_known_at: BTreeMap<usize, Time>,
    /// What the driver has not taken yet.
    pub events: Vec<ModelEvent>,
    violations: Violations,
    falls_before_known: u64,
    warm_up_use: PerTier<Samples>,
    accounting_since: Time,
    final_use: Option<FinalUse>,
}

/// An object that was requested lately.
#[derive(Clone, Copy, Debug)]
struct RecentObject {
    object: u64,
    group: u32,
}

impl ServerModel {
    /// The servers of a scenario that starts then, all warmed up, with empty caches.
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
            falls_before_known: 0,
            warm_up_use: PerTier::default(),
            accounting_since: start,
            final_use: None,
        };
        model.schedule_scenario(start);
        model
    }

    /// Schedules what the scenario has happen.
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

    /// When something happens by itself next.
    pub fn due(&self) -> Option<Time> {
        self.timed_events.due()
    }

    /// Lets time pass up to then.
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
            TimedEvent::WorkDone { server, work, life } => {
                if self.runtimes[server].life == life {
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

    /// The index of the origin.
    fn origin(&self) -> usize {
        self.servers.len() - 1
    }

    fn is_parent_cache(&self, server: usize) -> bool {
        matches!(self.servers[server].kind, ServerKind::ParentCache(_))
    }

    fn violate(&mut self, rule: &'static str) {
        *self.violations.entry(rule).or_default() += 1;
    }

    /// Rules that were violated so far.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Servers that fell over while warming up before routers could know of their start. That
    /// violates no rule.
    pub fn falls_before_known(&self) -> u64 {
        self.falls_before_known
    }

    /// Load on servers that warm up, relative to what all routers together may send them: the peak
    /// over any window, and the mean of samples taken four times a second at each such server.
    pub fn warm_up_use(&self) -> PerTier<Samples> {
        self.warm_up_use
    }

    /// Requests that reached the origin.
    pub fn origin_requests(&self) -> u64 {
        self.origin_admission.requests
    }

    /// How often the origin stopped because far too much was requested of it.
    pub fn origin_falls(&self) -> u64 {
        self.origin_admission.falls
    }
}

/// The names of each site's edge caches.
fn edge_cache_names(scenario: &Scenario) -> Vec<Vec<String>> {
    (0..scenario.sites.len()).map(|site| scenario.edge_cache_names(site).collect()).collect()
}

/// All servers: edge caches site by site, parent caches, the origin.
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
