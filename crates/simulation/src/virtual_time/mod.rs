//! Runs a scenario in virtual time: the models of the servers and the clients, and the routers'
//! sans-I/O cores, without sockets. The same seed gives the same run, to the byte.

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

/// Start of every run, in microseconds of Unix time.
pub const START: Time = 1_760_000_000 * SEC;
/// Delay of a message between a router and a server.
const MESSAGE_DELAY: Time = 300;
/// Buffers in the pool for bodies, which all simulated routers share; as many as one router on a
/// small machine has.
const BUFFERS: usize = 4_096;
/// Port that stands for the first server in the routers' configuration; the other servers have the
/// ports that follow.
const FIRST_SERVER_PORT: u16 = 10_000;

/// The error of a scenario that can't be run in virtual time.
#[derive(Debug, thiserror::Error)]
pub enum VirtualTimeError {
    /// A router's configuration is invalid.
    #[error("the configuration of router {router} is invalid: {source}")]
    Config {
        /// The name of the router whose configuration is invalid.
        router: String,
        /// What is wrong with the configuration.
        source: ConfigError,
    },
    /// A router's core rejects its settings.
    #[error("router {router} rejects its settings: {source}")]
    Settings {
        /// The name of the router whose core rejects the settings.
        router: String,
        /// What is wrong with the settings.
        source: SettingsError,
    },
}

/// An entry for a router's traffic recording: a request that ended, or an event of the endpoint
/// feed.
pub enum RouterRecord<'a> {
    /// The router closed a request with the contained summary.
    RequestEnded(&'a RequestSummary),
    /// The endpoint list changed.
    EndpointsChanged {
        /// When the router learned of the change.
        at: Time,
        /// The changed entries, or the whole list at the router's start.
        lines: &'a [ListedEndpoint],
    },
    /// An object or a group of objects was purged.
    Purged {
        /// When the router learned of the purge.
        at: Time,
        /// The id of the purged object; `None` if the whole group was purged.
        object: Option<u64>,
        /// The group of the object, or the purged group.
        group: u32,
    },
}

/// Receives the entries for the routers' recordings as they occur.
pub type RecordSink<'a> = dyn FnMut(RouterSlot, &RouterRecord<'_>) + 'a;

/// A future event of the simulation.
enum TimedEvent {
    /// A timer that a router has set is due.
    RouterWake { router: usize, wake: Wake },
    /// An attempt reaches a server.
    AttemptArrives { router: usize, request: Box<AttemptRequest> },
    /// The answer to the attempt with this id in the model reaches a router.
    AnswerArrives { id: u64, result: AttemptResult, bytes: u64 },
    /// A router notices that an attempt failed.
    AttemptFails { router: usize, attempt: AttemptId, failure: AttemptFailure },
    /// A probe ends; `healthy` is `None` if it was not answered.
    ProbeEnds { router: usize, endpoint: EndpointId, healthy: Option<bool> },
    /// An event of the endpoint feed reaches a router, with the text that the feed would send on a
    /// socket.
    FeedEvent { router: usize, text: String },
    /// A fault of the scenario begins or ends; here it only affects routers and the links between
    /// them.
    Fault { index: usize, phase: FaultPhase },
}

impl TimedEvent {
    /// The router whose process the event is for; the event is dropped when that process is killed.
    /// `None` for events that outlive a router's process.
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

/// A client's attempt that waits for the router's answer.
struct OpenAttempt {
    router: usize,
    /// The request id on the wire.
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
    /// The routers' attempts at servers, by the id that the model uses.
    attempts: BTreeMap<u64, AttemptInFlight>,
    /// The ids of the same attempts in the model, by router and by the router's own id.
    attempt_ids: HashMap<(usize, AttemptId), u64>,
    next_attempt_id: u64,
    /// The clients' open attempts, by the id of the client's request.
    open: BTreeMap<u64, OpenAttempt>,
    /// The number of events in the endpoint feed so far.
    feed_events: u64,
    /// The routers' membership views and leased quotas; `None` if the routers form no cluster.
    cluster: Option<RouterCluster>,
    /// Request ids on the wire of attempts that were cancelled while the router was paused: it
    /// still answers them when it resumes.
    cancelled_while_paused: BTreeSet<u64>,
    views: ViewObservations,
    counters: DriverCounters,
    next_quota_sample: Time,
    /// The time since which all routers that share the quota know that a server warms up.
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

/// The configuration of one router, with the endpoint list of the present moment.
fn read_config(
    scenario: &Scenario,
    model: &ServerModel,
    slot: RouterSlot,
    seed: u64,
) -> Result<Config, VirtualTimeError> {
    let endpoints: Vec<SocketAddr> = (0..model.servers.len()).map(server_address).collect();
    // No router connects to its feed in virtual time, so any address will do.
    let feed = server_address(0);
    let text = router_config(scenario, model, slot, seed, feed, &endpoints).to_string();
    Config::read(&text).map_err(|source| VirtualTimeError::Config { router: slot.name(), source })
}

/// The configurations of a scenario's routers at the start of a run.
///
/// # Errors
/// A router's configuration is invalid.
pub fn router_configs(scenario: &Scenario, seed: u64) -> Result<Vec<Config>, VirtualTimeError> {
    let model = ServerModel::new(scenario, START, seed);
    let slots = router_slots(scenario).into_iter();
    slots.map(|slot| read_config(scenario, &model, slot, seed)).collect()
}

/// The events of the endpoint feed that a router's configuration contains: its initial endpoint
/// list.
type InitialList = Vec<FeedEvent>;

/// Creates all routers, each with its initial endpoint list.
fn start_routers(
    scenario: &Scenario,
    seed: u64,
) -> Result<(Vec<SimulatedRouter>, Vec<InitialList>), VirtualTimeError> {
    let slots = router_slots(scenario).into_iter();
    let configs = router_configs(scenario, seed)?;
    slots.zip(configs).map(|(slot, config)| SimulatedRouter::start(slot, config)).collect()
}

/// Runs a scenario. Entries for the routers' recordings are passed to `records` as they occur.
///
/// # Errors
/// A router's configuration or its settings are invalid.
pub fn run(
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
        // The first event is the initial list in the routers' configuration.
        feed_events: 1,
        cluster: scenario.clustered.then(|| RouterCluster::new(routers.len(), seed)),
        routers,
        cancelled_while_paused: BTreeSet::new(),
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
                // Resource use is only counted while clients send requests.
                self.model.advance(end);
                self.model.stop_accounting();
            }
            self.now = next;
            self.step();
        }
    }

    /// The time of the next event in any part of the simulation; `None` if there is none.
    fn next_due(&self) -> Option<Time> {
        let due = [self.timed_events.due(), self.model.due(), self.clients.due(), self.cluster_due()];
        due.into_iter().flatten().min()
    }

    /// Processes everything that is due now.
    fn step(&mut self) {
        self.model.advance(self.now);
        self.clients.advance(self.now);
        self.advance_cluster();
        while let Some((_, event)) = self.timed_events.pop_due(self.now) {
            self.on_timed_event(event);
        }
        self.drain_outputs();
        self.sample_quota_use();
    }

    fn on_timed_event(&mut self, event: TimedEvent) {
        match event {
            TimedEvent::RouterWake { router, wake } => self.deliver_input(router, Input::Wake(wake)),
            TimedEvent::AttemptArrives { router, request } => self.on_attempt_arrives(router, &request),
            TimedEvent::AnswerArrives { id, result, bytes } => self.on_answer_arrives(id, result, bytes),
            TimedEvent::AttemptFails { router, attempt, failure } => {
                self.deliver_input(router, Input::Failed(attempt, failure));
            }
            TimedEvent::ProbeEnds { router, endpoint, healthy } => {
                self.deliver_input(router, Input::Probed(endpoint, healthy));
            }
            TimedEvent::FeedEvent { router, text } => self.on_feed_event(router, &text),
            TimedEvent::Fault { index, phase } => self.on_fault(index, phase),
        }
    }

    /// Passes on the outputs of the model and of the clients until neither has any more.
    fn drain_outputs(&mut self) {
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

    /// Records an event of the endpoint feed for a router and hands it to the router.
    fn apply_feed_event(&mut self, router: usize, event: FeedEvent) {
        let at = self.now;
        let record = match &event {
            FeedEvent::Endpoints { endpoints: lines, .. } => RouterRecord::EndpointsChanged { at, lines },
            FeedEvent::Purge { object, group, .. } => {
                RouterRecord::Purged { at, object: *object, group: *group }
            }
        };
        (self.records)(self.routers[router].slot, &record);
        self.deliver_input(router, Input::Feed(event));
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
