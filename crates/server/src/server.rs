//! The server's state, and its construction at the start of the process.

use crate::clock::Clock;
use crate::cluster::ClusterMember;
use crate::config::operator_file::Operator;
use crate::config::Config;
use crate::dns::Resolver;
use crate::endpoints::EndpointConnections;
use crate::event_loop::INITIAL_LIST_TIMEOUT;
use crate::event_loop::{ConnectionKind, ConnectionTable, ConnectionToken, RequestTimers, Timer, TimerWheel};
use crate::feed::EndpointFeed;
use crate::handover::Handover;
use crate::housekeeping::HOUSEKEEPING_INTERVAL;
use crate::recording::start_recorder;
use crate::{admin, handover, sockets};
use hollymux_capture::Recorder;
use hollymux_decision::Timestamp;
use hollymux_protocol::dns::Name;
use hollymux_router::buffers::{BufferPool, BUFFER_BYTES};
use hollymux_router::lifecycle::Lifecycle;
use hollymux_router::{Command, Input, Router};
use rand_core::SeedableRng;
use rustix::event::epoll;
use rustix::fd::OwnedFd;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::warn;

/// Number of descriptors reserved for everything except connections of clients and to endpoints:
/// standard streams, epoll, signals, listeners, the endpoint feed and admin connections.
pub(crate) const RESERVED_DESCRIPTORS: usize = 16 + admin::MAX_ADMIN_CONNECTIONS;
/// Divisor of the memory limit that gives the memory for buffers. The rest is for the decision
/// module and the sockets.
const BUFFER_MEMORY_DIVISOR: usize = 3;
/// Combined with the router's seed, so that the server's random numbers differ from the router's.
/// The bytes are ASCII "feed".
const SEED_SALT: u64 = 0x6665_6564;

/// A request router with its sockets and its event loop.
pub struct Server {
    pub(crate) epoll: OwnedFd,
    pub(crate) clock: Clock,
    /// The time at which the handling of the current event began.
    pub(crate) now: Timestamp,
    pub(crate) config: Config,
    /// The path of the configuration file, which is read again on SIGHUP.
    pub(crate) config_path: PathBuf,
    /// The operator's file; all sections are absent without one.
    pub(crate) operator: Operator,
    pub(crate) router: Router,
    pub(crate) buffers: BufferPool,
    pub(crate) timers: TimerWheel<Timer>,
    /// The timers in the wheel that belong to a request.
    pub(crate) request_timers: RequestTimers,
    pub(crate) connections: ConnectionTable,
    /// Inputs that have not been passed to the router yet.
    pub(crate) pending_inputs: VecDeque<Input>,
    /// Buffer for the router's commands, kept to reuse its allocation.
    pub(crate) commands: Vec<Command>,
    pub(crate) client_listener: ConnectionToken,
    /// Listeners for which epoll currently reports no events.
    pub(crate) paused_listeners: Vec<ConnectionToken>,
    /// Number of client connections, including DNS clients over TCP.
    pub(crate) client_count: usize,
    /// Client connections that are served at the end of the turn: there is more to read, or requests
    /// are held back.
    pub(crate) busy_clients: VecDeque<ConnectionToken>,
    pub(crate) endpoints: EndpointConnections,
    /// The traffic recording; `None` if the operator's file does not configure one or restarting it
    /// has failed.
    pub(crate) recorder: Option<Recorder>,
    /// The zone for DNS-based routing; empty if that is off.
    pub(crate) dns_zone: Name,
    /// The sockets for DNS queries; empty if they are off, or another process answers the queries.
    pub(crate) dns_sockets: Vec<ConnectionToken>,
    pub(crate) resolver: Resolver,
    pub(crate) feed: EndpointFeed,
    pub(crate) lifecycle: Lifecycle,
    /// The listener of the admin endpoint; `None` if it is not configured or not bound yet.
    pub(crate) admin_listener: Option<ConnectionToken>,
    pub(crate) handover: Handover,
    /// This router's membership in a cluster; `None` if the operator's file does not configure one.
    pub(crate) cluster: Option<Box<ClusterMember>>,
    /// Whether the drain timeout has passed: the process exits even if requests are open.
    pub(crate) drain_timed_out: bool,
    /// Random numbers for jitter in reconnect and silence timeouts, so that routers don't act in
    /// step.
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    /// Buffer for reads from connections.
    pub(crate) read_buffer: Vec<u8>,
}

impl Server {
    /// Creates a server: registers the signals, applies the endpoint events in the configuration,
    /// and opens the sockets. If another process serves the same address, its listener and state
    /// are taken over.
    ///
    /// # Errors
    ///
    /// If the settings can't be used, or a socket that is needed to serve can't be opened.
    pub fn new(mut config: Config, path: PathBuf, operator: Operator) -> io::Result<Server> {
        let known_events = std::mem::take(&mut config.known.1);
        let mut server = Server::unconnected(config, path, operator)?;
        let started = server.now;
        server.register_signals()?;
        for event in known_events {
            server.apply_feed_event(event);
        }
        server.execute_pending();
        server.open_client_listener()?;
        server.open_dns()?;
        server.open_admin_listener();
        server.start_cluster();
        server.timers.set(started + HOUSEKEEPING_INTERVAL, Timer::Housekeeping);
        server.timers.set(server.now + INITIAL_LIST_TIMEOUT, Timer::InitialListTimeout);
        server.open_feed();
        if server.handover.predecessor.is_none() && server.router.rotation().listed > 0 {
            server.begin_serving();
        }
        server.update_client_listener();
        Ok(server)
    }

    /// A server that has opened no socket yet, apart from the epoll instance.
    fn unconnected(config: Config, config_path: PathBuf, operator: Operator) -> io::Result<Server> {
        let clock = Clock::start();
        let now = clock.now();
        let follows_dns = operator.dns.as_ref().is_some_and(|dns| dns.follow.is_some());
        let router = Router::new(config.router_options(), follows_dns).map_err(io::Error::other)?;
        let recorder = start_recorder(&operator, &config, &router)?;
        Ok(Server {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            clock,
            now,
            router,
            buffers: BufferPool::new(max_buffers(&config)),
            timers: TimerWheel::new(now),
            request_timers: RequestTimers::new(),
            connections: ConnectionTable::default(),
            pending_inputs: VecDeque::new(),
            commands: Vec::new(),
            client_listener: ConnectionToken::from_u64(0),
            paused_listeners: Vec::new(),
            client_count: 0,
            busy_clients: VecDeque::new(),
            endpoints: EndpointConnections::default(),
            dns_sockets: Vec::new(),
            resolver: Resolver::new(config.seed),
            dns_zone: operator.dns.as_ref().map(|dns| dns.name()).unwrap_or_default(),
            recorder,
            operator,
            feed: EndpointFeed::new(config.known.0),
            lifecycle: Lifecycle::default(),
            admin_listener: None,
            handover: Handover::default(),
            cluster: None,
            drain_timed_out: false,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(config.seed ^ SEED_SALT),
            read_buffer: vec![0; BUFFER_BYTES],
            config,
            config_path,
        })
    }

    /// Takes the client listener over from the process that serves the address, or opens a new one.
    /// A failed handover is logged; the process then starts without inherited state.
    fn open_client_listener(&mut self) -> io::Result<()> {
        let address = self.config.listen;
        let inherited = match handover::rendezvous_path(address) {
            Some(path) => handover::call_predecessor(&path, address),
            None => Ok(None),
        };
        let inherited = inherited.unwrap_or_else(|error| {
            warn!(%error, "handover failed, starting without inherited state");
            None
        });
        self.now = self.clock.now();
        let listener = match inherited {
            Some(inherited) => self.inherit(inherited)?,
            None => sockets::listen(address)?,
        };
        self.client_listener = self.insert(ConnectionKind::Listener(listener))?;
        Ok(())
    }

    fn start_cluster(&mut self) {
        if let Some(section) = &self.operator.cluster {
            let member = ClusterMember::new(section, &self.config, self.now);
            self.cluster = Some(Box::new(member));
        }
        // The predecessor still owns the cluster's address; it releases the address during the
        // handover.
        if self.handover.predecessor.is_none() {
            self.open_cluster_socket();
        }
    }

    /// The address at which clients connect.
    ///
    /// # Errors
    ///
    /// If the listener is closed.
    pub fn local_address(&mut self) -> io::Result<SocketAddr> {
        match self.connections.get(self.client_listener) {
            Some(ConnectionKind::Listener(listener)) => listener.local_addr(),
            _ => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// The request counters since the start, in one line.
    pub fn summary(&self) -> String {
        let counters = self.router.counters;
        format!(
            "took {} requests: {} served, {} refused, {} failed; {} turned away; {} attempts, {} lookups; \
             invariants broken: {}",
            counters.received,
            counters.served,
            counters.rejected,
            counters.failed,
            counters.shed,
            counters.attempts,
            counters.lookups,
            counters.invariant_violations
        )
    }
}

/// Maximum number of buffers under the memory limit.
pub(crate) fn max_buffers(config: &Config) -> usize {
    let memory = (config.memory_mb as usize) * (1 << 20);
    memory / BUFFER_MEMORY_DIVISOR / BUFFER_BYTES
}
