//! The server's state, and how it is built at the start.

use crate::clock::Clock;
use crate::cluster::ClusterMember;
use crate::config::operator_file::Operator;
use crate::config::Config;
use crate::dns::Resolver;
use crate::endpoints::EndpointConnections;
use crate::event_loop::INITIAL_LIST_TIMEOUT;
use crate::event_loop::{ConnectionKind, ConnectionTable, ConnectionToken, Timer, TimerWheel};
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

/// Descriptors for everything that is neither a client's connection nor one to an endpoint:
/// standard streams, epoll, signals, listeners, feed, and connections at the admin endpoint.
pub(crate) const RESERVED_DESCRIPTORS: usize = 16 + admin::MAX_ADMIN_CONNECTIONS;
/// Buffers take a third of the memory limit; the decision module and the sockets need the rest.
const BUFFER_SHARE_OF_MEMORY: usize = 3;
/// Makes the random numbers of the server differ from those of the router, which has the same seed
/// ("feed").
const SEED_SALT: u64 = 0x6665_6564;

/// One request router on its sockets.
pub struct Server {
    pub(crate) epoll: OwnedFd,
    pub(crate) clock: Clock,
    /// The time of the event that is being handled.
    pub(crate) now: Timestamp,
    pub(crate) config: Config,
    /// The file that the configuration came from; SIGHUP has it read again.
    pub(crate) config_path: PathBuf,
    pub(crate) operator: Operator,
    pub(crate) router: Router,
    pub(crate) buffers: BufferPool,
    pub(crate) timers: TimerWheel<Timer>,
    pub(crate) connections: ConnectionTable,
    /// What the router has not been given yet.
    pub(crate) pending_inputs: VecDeque<Input>,
    /// The router's commands while they are executed; kept for its allocation.
    pub(crate) commands: Vec<Command>,
    pub(crate) client_listener: ConnectionToken,
    /// Listeners that are not polled at present.
    pub(crate) paused_listeners: Vec<ConnectionToken>,
    /// Connections of clients, those of DNS clients over TCP included.
    pub(crate) client_count: usize,
    pub(crate) endpoints: EndpointConnections,
    pub(crate) recorder: Option<Recorder>,
    /// The zone of the DNS front; empty without one.
    pub(crate) dns_zone: Name,
    pub(crate) resolver: Resolver,
    pub(crate) feed: EndpointFeed,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) admin_listener: Option<ConnectionToken>,
    pub(crate) handover: Handover,
    /// The view of other routers, where the operator's file has a section for it.
    pub(crate) cluster: Option<Box<ClusterMember>>,
    /// The time to drain is over: the process ends whatever is open.
    pub(crate) drain_timed_out: bool,
    /// For waits that routers must not have in step with each other.
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    /// What connections are read into.
    pub(crate) read_buffer: Vec<u8>,
}

impl Server {
    /// Binds the listener, registers the signals and applies the endpoint events that the
    /// configuration contains. If another process serves the same address, its listener and state
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

    /// A server without any socket but epoll's.
    fn unconnected(config: Config, config_path: PathBuf, operator: Operator) -> io::Result<Server> {
        let clock = Clock::start();
        let now = clock.now();
        let follows_dns = operator.dns.as_ref().is_some_and(|dns| dns.follow.is_some());
        let router = Router::new(config.setup(), follows_dns).map_err(io::Error::other)?;
        let recorder = start_recorder(&operator, &config, &router)?;
        Ok(Server {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            clock,
            now,
            router,
            buffers: BufferPool::new(max_buffers(&config)),
            timers: TimerWheel::new(now),
            connections: ConnectionTable::default(),
            pending_inputs: VecDeque::new(),
            commands: Vec::new(),
            client_listener: ConnectionToken::from_u64(0),
            paused_listeners: Vec::new(),
            client_count: 0,
            endpoints: EndpointConnections::default(),
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

    /// Takes the listener over from the process that serves the address, or opens one.
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
        // A process that replaces another one is given the address by that one.
        if self.handover.predecessor.is_none() {
            self.open_cluster_socket();
        }
    }

    /// Where clients connect.
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

    /// The counters of requests in one line.
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

/// The number of buffers that the memory limit allows.
pub(crate) fn max_buffers(config: &Config) -> usize {
    let memory = (config.memory_mb as usize) * (1 << 20);
    memory / BUFFER_SHARE_OF_MEMORY / BUFFER_BYTES
}
