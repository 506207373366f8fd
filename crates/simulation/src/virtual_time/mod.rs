//! A scenario in virtual time: the servers and clients of the model round the routers' sans-I/O
//! cores, without sockets. The same seed gives the same run, to the byte.

mod cluster;
mod quotas;
mod routers;
mod servers;

use crate::cluster::RouterCluster;
use crate::cluster_report::{summarize_views, ViewObservations};
use crate::event_queue::EventQueue;
use crate::load::Clients;
use crate::model::{AttemptResult, ServerModel};
use crate::router_config::{router_config, router_slots, RouterSlot};
use crate::run_result::{DriverCounters, RunResult};
use crate::scenario::{FaultPhase, Scenario};
use crate::time::from_seconds;
use crate::{Time, SEC};
use hollymux_decision::{EndpointId, SettingsError};
use hollymux_protocol::feed_events::FeedMessage;
use hollymux_router::buffers::BufferPool;
use hollymux_router::{AttemptFailure, AttemptId, AttemptRequest, FeedEvent, Input, ListedEndpoint};
use hollymux_router::{RequestSummary, Wake};
use hollymux_server::config::{Config, ConfigError};
use routers::SimulatedRouter;
use servers::AttemptInFlight;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

/// When a run starts, in microseconds of Unix time.
pub const START: Time = 1_760_000_000 * SEC;
/// A message takes this long from one party to another.
const MESSAGE_DELAY: Time = 300;
/// Buffers of a router, as many as a small machine's.
const BUFFERS: usize = 4_096;
/// The port that stands for the first server; the others follow.
const FIRST_SERVER_PORT: u16 = 10_000;

/// Why a scenario can't be played in virtual time.
#[derive(Debug, thiserror::Error)]
pub enum VirtualTimeError {
    /// A router's configuration can't be used.
    #[error("the configuration of router {router} can't be used: {source}")]
    Config {
        /// The router's name.
        router: String,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// A router can't work under its settings.
    #[error("router {router} can't work under its settings: {source}")]
    Settings {
        /// The router's name.
        router: String,
        /// What is wrong with them.
        source: SettingsError,
    },
}

/// What a recording of a router holds: the requests that it ended, and what its endpoint feed
/// carried.
pub enum RouterRecord<'a> {
    /// A request ended.
    RequestEnded(&'a RequestSummary),
    /// The endpoint list changed.
    EndpointsChanged {
        /// When.
        at: Time,
        /// The lines that changed, or all.
        lines: &'a [ListedEndpoint],
    },
    /// Something was purged.
    Purged {
        /// When the router learnt of it.
        at: Time,
        /// The object; none: the whole group.
        object: Option<u64>,
        /// The group.
        group: u32,
    },
}

/// Takes what recordings of routers are to hold, as it happens.
pub type RecordSink<'a> = dyn FnMut(RouterSlot, &RouterRecord<'_>) + 'a;

/// Something that happens at a point in virtual time.
enum TimedEvent {
    /// A router's timer is due.
    RouterWake { router: usize, wake: Wake },
    /// An attempt reaches a server.
    AttemptArrives { router: usize, request: Box<AttemptRequest> },
    /// An answer reaches a router.
    AnswerArrives { id: u64, result: AttemptResult, bytes: u64 },
    /// A router sees that an attempt failed.
    AttemptFails { router: usize, attempt: AttemptId, failure: AttemptFailure },
    /// A probe is answered, or not.
    ProbeEnds { router: usize, endpoint: EndpointId, healthy: Option<bool> },
    /// An event of the endpoint feed reaches a router; the text is that of the sockets.
    FeedEvent { router: usize, text: String },
    /// A fault between or in routers begins or ends.
    Fault { index: usize, phase: FaultPhase },
}

impl TimedEvent {
    /// The router whose process it concerns: it means nothing to that router's next process.
    fn process(&self) -> Option<usize> {
        match self {
            TimedEvent::RouterWake { router, .. }
            | TimedEvent::AttemptArrives { router, .. }
            | TimedEvent::AttemptFails { router, .. }
            | TimedEvent::ProbeEnds { router, .. } => Some(*router),
            TimedEvent::AnswerArrives { .. } | TimedEvent::FeedEvent { .. } | TimedEvent::Fault { .. } => {
                None
            }
        }
    }
}

/// A client's attempt that is open at a router.
struct OpenAttempt {
    router: usize,
    /// Its id on the wire.
    rid: u64,
}

struct Simulation<'a> {
    scenario: Scenario,
    now: Time,
    model: ServerModel,
    clients: Clients,
    routers: Vec<SimulatedRouter>,
    pool: BufferPool,
    timed_events: EventQueue<TimedEvent>,
    /// Routers' attempts at servers, by the id that the model knows them by.
    attempts: BTreeMap<u64, AttemptInFlight>,
    /// The same ids by router and the router's own id.
    attempt_ids: HashMap<(usize, AttemptId), u64>,
    next_attempt_id: u64,
    /// Clients' attempts, by the id of the client's request.
    open: BTreeMap<u64, OpenAttempt>,
    /// Events of the endpoint feed so far.
    feed_events: u64,
    /// The routers' views of each other, where they form a cluster.
    cluster: Option<RouterCluster>,
    /// Attempts whose client stopped waiting while the router stood still, by their id on the wire.
    given_up: BTreeSet<u64>,
    views: ViewObservations,
    counters: DriverCounters,
    next_quota_sample: Time,
    /// Since when all routers concerned know that a server warms up.
    warm_up_known_since: BTreeMap<EndpointId, Time>,
    records: &'a mut RecordSink<'a>,
}

/// The address that stands for a server.
fn server_address(server: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_SERVER_PORT + server as u16))
}

fn server_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_SERVER_PORT)
}

/// The configuration of one router as things are now.
fn read_config(
    scenario: &Scenario,
    model: &ServerModel,
    slot: RouterSlot,
    seed: u64,
) -> Result<Config, VirtualTimeError> {
    let endpoints: Vec<SocketAddr> = (0..model.servers.len()).map(server_address).collect();
    // Nothing connects to the feed here.
    let feed = server_address(0);
    let text = router_config(scenario, model, slot, seed, feed, &endpoints).to_string();
    Config::read(&text).map_err(|source| VirtualTimeError::Config { router: slot.name(), source })
}

/// The configurations of a scenario's routers.
///
/// # Errors
/// One can't be used.
pub fn router_configs(scenario: &Scenario, seed: u64) -> Result<Vec<Config>, VirtualTimeError> {
    let model = ServerModel::new(scenario, START, seed);
    let slots = router_slots(scenario).into_iter();
    slots.map(|slot| read_config(scenario, &model, slot, seed)).collect()
}

/// A router's events of the endpoint feed that its configuration holds.
type InitialList = Vec<FeedEvent>;

/// Starts all routers.
fn start_routers(
    scenario: &Scenario,
    seed: u64,
) -> Result<(Vec<SimulatedRouter>, Vec<InitialList>), VirtualTimeError> {
    let slots = router_slots(scenario).into_iter();
    let configs = router_configs(scenario, seed)?;
    slots.zip(configs).map(|(slot, config)| SimulatedRouter::start(slot, config)).collect()
}

/// Plays a scenario. What recordings of routers are to hold goes to `records` as it happens.
///
/// # Errors
/// A router can't work under the scenario's settings.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    records: &mut RecordSink<'_>,
) -> Result<RunResult, VirtualTimeError> {
    let (routers, initial_lists) = start_routers(scenario, seed)?;
    let mut records = |slot: RouterSlot, record: &RouterRecord<'_>| records(slot, record);
    let mut simulation = Simulation {
        scenario: scenario.clone(),
        now: START,
        model: ServerModel::new(scenario, START, seed),
        clients: Clients::new(scenario, START, seed),
        pool: BufferPool::new(BUFFERS),
        timed_events: EventQueue::default(),
        attempts: BTreeMap::new(),
        attempt_ids: HashMap::new(),
        next_attempt_id: 1,
        open: BTreeMap::new(),
        // The first event is the list that the configuration holds.
        feed_events: 1,
        cluster: scenario.clustered.then(|| RouterCluster::new(routers.len(), seed)),
        routers,
        given_up: BTreeSet::new(),
        views: ViewObservations::default(),
        counters: DriverCounters::default(),
        next_quota_sample: START,
        warm_up_known_since: BTreeMap::new(),
        records: &mut records,
    };
    simulation.start_cluster();
    simulation.schedule_faults();
    for (router, events) in initial_lists.into_iter().enumerate() {
        events.into_iter().for_each(|event| simulation.apply_feed_event(router, event));
    }
    simulation.run();
    Ok(simulation.into_result())
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Time, event: TimedEvent) {
        self.timed_events.push(at.max(self.now), event);
    }

    fn schedule_faults(&mut self) {
        for step in self.scenario.fault_timeline() {
            let event = TimedEvent::Fault { index: step.index, phase: step.phase };
            self.schedule(START + step.after, event);
        }
    }

    fn run(&mut self) {
        let end = START + from_seconds(self.scenario.seconds);
        let accounting_start = START + from_seconds(self.scenario.warm_up_s);
        let mut accounting = false;
        while let Some(next) = self.next_due().filter(|_| self.now < end || self.clients.waiting()) {
            if !accounting && next >= accounting_start {
                accounting = true;
                self.model.start_accounting(accounting_start);
            }
            if self.now < end && next >= end {
                // The use of resources counts while load is offered.
                self.model.advance(end);
                self.model.stop_accounting();
            }
            self.now = next;
            self.step();
        }
    }

    /// When anything happens next.
    fn next_due(&self) -> Option<Time> {
        let due = [self.timed_events.due(), self.model.due(), self.clients.due(), self.cluster_due()];
        due.into_iter().flatten().min()
    }

    /// Does all that is due now.
    fn step(&mut self) {
        self.model.advance(self.now);
        self.clients.advance(self.now);
        self.advance_cluster();
        while let Some((_, event)) = self.timed_events.pop_due(self.now) {
            self.on_timed_event(event);
        }
        self.settle();
        self.sample_quota_use();
    }

    fn on_timed_event(&mut self, event: TimedEvent) {
        match event {
            TimedEvent::RouterWake { router, wake } => self.feed_router(router, Input::Wake(wake)),
            TimedEvent::AttemptArrives { router, request } => self.on_attempt_arrives(router, &request),
            TimedEvent::AnswerArrives { id, result, bytes } => self.on_answer_arrives(id, result, bytes),
            TimedEvent::AttemptFails { router, attempt, failure } => {
                self.feed_router(router, Input::Failed(attempt, failure));
            }
            TimedEvent::ProbeEnds { router, endpoint, healthy } => {
                self.feed_router(router, Input::Probed(endpoint, healthy));
            }
            TimedEvent::FeedEvent { router, text } => self.on_feed_event(router, &text),
            TimedEvent::Fault { index, phase } => self.on_fault(index, phase),
        }
    }

    /// Passes on what the model and the clients want, until they want nothing more.
    fn settle(&mut self) {
        loop {
            let events = std::mem::take(&mut self.model.events);
            let to_send = std::mem::take(&mut self.clients.to_send);
            let to_cancel = std::mem::take(&mut self.clients.to_cancel);
            if events.is_empty() && to_send.is_empty() && to_cancel.is_empty() {
                return;
            }
            events.into_iter().for_each(|event| self.on_model_event(event));
            to_send.into_iter().for_each(|attempt| self.send_client_attempt(&attempt));
            to_cancel.into_iter().for_each(|id| self.cancel_client_attempt(id));
        }
    }

    fn on_feed_event(&mut self, router: usize, text: &str) {
        let message = self.routers[router].config.names.parse_event(text.as_bytes());
        if let Ok(FeedMessage { event: Some(event), .. }) = message {
            self.apply_feed_event(router, event);
        }
    }

    /// Hands a router an event of its endpoint feed, and records it.
    fn apply_feed_event(&mut self, router: usize, event: FeedEvent) {
        let at = self.now;
        let record = match &event {
            FeedEvent::Endpoints { endpoints: lines, .. } => RouterRecord::EndpointsChanged { at, lines },
            FeedEvent::Purge { object, group, .. } => {
                RouterRecord::Purged { at, object: *object, group: *group }
            }
        };
        (self.records)(self.routers[router].slot, &record);
        self.feed_router(router, Input::Feed(event));
    }

    fn into_result(mut self) -> RunResult {
        if self.cluster.is_some() {
            self.counters.cluster = Some(summarize_views(&self.scenario, &self.views));
        }
        RunResult {
            start: START,
            completed: self.clients.completed,
            model: self.model,
            counters: self.counters,
        }
    }
}
