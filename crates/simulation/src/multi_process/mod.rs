//! Runs a scenario on real sockets: stand-in servers and endpoint feeds on loopback, real router
//! processes, and clients whose arrivals do not wait for answers. One thread drives everything and
//! stops the router processes at the end.

mod clients;
mod connections;
mod endpoint_feed;
mod error;
mod router_process;
mod routers;
mod servers;

pub use error::MultiProcessError;

use crate::cluster_report::{summarize_views, ViewObservations};
use crate::event_queue::EventQueue;
use crate::load::Clients;
use crate::model::ServerModel;
use crate::objects::Purge;
use crate::relay::Relay;
use crate::router_config::router_slots;
use crate::run_result::{DriverCounters, RunResult};
use crate::scenario::Scenario;
use crate::time::from_seconds;
use crate::{Time, MS, SEC};
use clients::OpenAttempt;
use connections::{Connection, ConnectionRole};
use endpoint_feed::EndpointFeed;
use error::Operation;
use hollymux_router::buffers::BufferPool;
use mio::net::TcpListener;
use mio::{Events, Poll};
use router_process::{FailureLog, RouterProcess};
use servers::AttemptInFlight;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time that open requests have to end after clients have stopped sending.
const DRAIN_TIMEOUT: Time = 8 * SEC;
/// Longest wait for sockets; due faults and the routers' views are checked in between.
const MAX_WAIT: Time = 50 * MS;
/// Maximum number of events taken from one poll.
const MAX_EVENTS_PER_WAIT: usize = 1_024;
/// Buffers in the pool of the decoders.
const BUFFERS: usize = 4_096;

/// Options for starting the router processes.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// The path of the hollymux program.
    pub program: PathBuf,
    /// The directory for the routers' configuration files and logs.
    pub dir: PathBuf,
    /// The directory for the routers' traffic recordings.
    pub record: PathBuf,
}

/// The state of the driving thread.
struct Driver {
    scenario: Scenario,
    seed: u64,
    options: RouterOptions,
    /// The start of the run, on the machine's monotonic clock and in microseconds of Unix time.
    started: Instant,
    start: Time,
    now: Time,
    poll: Poll,
    pool: BufferPool,
    connections: HashMap<usize, Connection>,
    next_token: usize,
    model: ServerModel,
    clients: Clients,
    routers: Vec<RouterProcess>,
    /// The addresses of the servers, by index.
    endpoints: Vec<SocketAddr>,
    /// The routers' attempts at servers, by the id that the model uses.
    attempts: HashMap<u64, AttemptInFlight>,
    next_attempt_id: u64,
    /// The clients' open attempts, by the id of the client's request.
    open: HashMap<u64, OpenAttempt>,
    feed: EndpointFeed,
    counters: DriverCounters,
    /// The relay between the routers; `None` if they form no cluster.
    relay: Option<Relay>,
    failure_log: FailureLog,
    views: ViewObservations,
    views_checked: Time,
    /// Beginnings and ends of the scenario's faults that have not been applied yet. Those that only
    /// affect servers or clients are applied by the models.
    faults: EventQueue<crate::scenario::FaultStep>,
}

/// Runs a scenario. It takes at most twenty seconds longer than the scenario's length.
///
/// # Errors
/// A socket can't be created, or a router does not start.
pub fn run(scenario: &Scenario, seed: u64, options: &RouterOptions) -> Result<RunResult, MultiProcessError> {
    let mut driver = Driver::new(scenario, seed, options)?;
    driver.open_servers()?;
    driver.start_routers()?;
    driver.start_scenario();
    driver.run()?;
    Ok(driver.finish())
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn unix_now() -> Time {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or_default()
}

impl Driver {
    fn new(scenario: &Scenario, seed: u64, options: &RouterOptions) -> Result<Driver, MultiProcessError> {
        let start = unix_now();
        let routers = scenario.router_count();
        let relay = match scenario.clustered {
            true => Some(Relay::start(routers, seed).during("start the relay")?),
            false => None,
        };
        Ok(Driver {
            scenario: scenario.clone(),
            seed,
            options: options.clone(),
            started: Instant::now(),
            start,
            now: start,
            poll: Poll::new().during("create the poll")?,
            pool: BufferPool::new(BUFFERS),
            connections: HashMap::new(),
            next_token: 0,
            model: ServerModel::new(scenario, start, seed),
            clients: Clients::new(scenario, start, seed),
            routers: Vec::new(),
            endpoints: Vec::new(),
            attempts: HashMap::new(),
            next_attempt_id: 1,
            open: HashMap::new(),
            feed: EndpointFeed::new(routers),
            counters: DriverCounters::default(),
            relay,
            failure_log: FailureLog::default(),
            views: ViewObservations::default(),
            views_checked: 0,
            faults: EventQueue::default(),
        })
    }

    /// Opens a listening socket for every server.
    fn open_servers(&mut self) -> Result<(), MultiProcessError> {
        for server in 0..self.model.servers.len() {
            let listener = TcpListener::bind(any_loopback_port()).during("listen for a server")?;
            self.endpoints.push(listener.local_addr().during("listen for a server")?);
            self.add_connection(ConnectionRole::ServerListener { listener, server }, None)?;
        }
        Ok(())
    }

    /// Opens a listening socket for every router's endpoint feed, and starts the router.
    fn start_routers(&mut self) -> Result<(), MultiProcessError> {
        for slot in router_slots(&self.scenario) {
            let listener = TcpListener::bind(any_loopback_port()).during("listen for a feed")?;
            self.feed.addresses.push(listener.local_addr().during("listen for a feed")?);
            let role = ConnectionRole::FeedListener { listener, router: slot.index };
            self.add_connection(role, None)?;
            let router = self.start_router(slot.index)?;
            self.routers.push(router);
        }
        Ok(())
    }

    /// Starts the scenario's time, after all routers have started.
    fn start_scenario(&mut self) {
        self.start = self.clock();
        self.started = Instant::now();
        self.model = ServerModel::new(&self.scenario, self.start, self.seed);
        self.clients = Clients::new(&self.scenario, self.start, self.seed);
        for step in self.scenario.fault_timeline() {
            self.faults.push(self.start + step.after, step);
        }
    }

    fn clock(&self) -> Time {
        self.start + u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn run(&mut self) -> Result<(), MultiProcessError> {
        let end = self.start + from_seconds(self.scenario.seconds);
        let accounting_start = self.start + from_seconds(self.scenario.warm_up_s);
        let mut accounting_started = false;
        let mut accounting_stopped = false;
        let mut events = Events::with_capacity(MAX_EVENTS_PER_WAIT);
        loop {
            self.now = self.clock();
            if !accounting_started && self.now >= accounting_start {
                accounting_started = true;
                self.start_accounting();
            }
            if !accounting_stopped && self.now >= end {
                accounting_stopped = true;
                self.stop_accounting();
            }
            if self.now >= end && (!self.clients.waiting() || self.now >= end + DRAIN_TIMEOUT) {
                return Ok(());
            }
            self.process_due_events()?;
            self.wait_for_sockets(&mut events)?;
        }
    }

    fn process_due_events(&mut self) -> Result<(), MultiProcessError> {
        self.apply_due_faults()?;
        self.check_convergence();
        self.model.advance(self.now);
        self.clients.advance(self.now);
        self.send_feed();
        self.drain_outputs()
    }

    fn wait_for_sockets(&mut self, events: &mut Events) -> Result<(), MultiProcessError> {
        let due = [self.model.due(), self.clients.due(), self.feed.due()];
        let next = due.into_iter().flatten().min().unwrap_or(self.now + MAX_WAIT);
        let wait = next.saturating_sub(self.clock()).min(MAX_WAIT);
        match self.poll.poll(events, Some(Duration::from_micros(wait))) {
            Err(error) if error.kind() != ErrorKind::Interrupted => {
                return Err(error).during("wait for sockets")
            }
            _ => {}
        }
        self.now = self.clock();
        for event in events.iter() {
            let readable = event.is_readable() || event.is_read_closed() || event.is_error();
            self.on_socket_event(event.token().0, readable)?;
        }
        Ok(())
    }

    /// Passes on the outputs of the model and of the clients until neither has any more.
    fn drain_outputs(&mut self) -> Result<(), MultiProcessError> {
        loop {
            let events = std::mem::take(&mut self.model.events);
            let to_send = std::mem::take(&mut self.clients.to_send);
            let to_cancel = std::mem::take(&mut self.clients.to_cancel);
            if events.is_empty() && to_send.is_empty() && to_cancel.is_empty() {
                return Ok(());
            }
            for event in events {
                self.on_model_event(event)?;
            }
            for attempt in to_send {
                self.send_client_attempt(&attempt)?;
            }
            for id in to_cancel {
                self.cancel_client_attempt(id);
            }
        }
    }

    fn start_accounting(&mut self) {
        self.model.start_accounting(self.now);
        self.routers.iter_mut().for_each(RouterProcess::start_accounting);
    }

    fn stop_accounting(&mut self) {
        self.model.stop_accounting();
        let accounted_s = self.scenario.seconds - self.scenario.warm_up_s;
        let routers = self.routers.iter().enumerate();
        let cores = routers.map(|(index, router)| router.core_use(index, accounted_s)).collect();
        self.model.add_resource_use(cores);
    }

    /// Shuts the routers down and returns the result of the run.
    fn finish(mut self) -> RunResult {
        if self.relay.is_some() {
            self.collect_view_observations();
            self.counters.cluster = Some(summarize_views(&self.scenario, &self.views));
        }
        router_process::shut_down(std::mem::take(&mut self.routers));
        RunResult {
            start: self.start,
            completed: self.clients.completed,
            model: self.model,
            counters: self.counters,
        }
    }

    fn publish_purge(&mut self, purge: &Purge) {
        let now = self.now;
        let purge = *purge;
        self.feed.publish(now + crate::endpoint_feed::PURGE_FEED_DELAY, |number| {
            crate::endpoint_feed::purge_event(number, &purge)
        });
    }
}
