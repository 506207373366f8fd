//! The driver: epoll, connections, timers and signals. Only this touches sockets; what the bytes mean is in
//! `hollymux-protocol`, what is done about it in `hollymux-router`.

mod clients;
pub mod config;
mod dns;
mod feed;
mod fleet;
mod handover;
mod operations;
pub mod operator;
mod places;
mod reload;
mod renewal;
mod shelfs;
mod sockets;
mod wheel;

use clients::ClientConn;
use config::Config;
use dns::{DnsConn, Resolver};
use feed::Feed;
use handover::Peer;
use hollymux_capture::{Head, Recorder, Sink};
use hollymux_decision::time::whole_micros;
use hollymux_decision::{EndpointId, Timestamp};
use hollymux_protocol::dns::Name;
use hollymux_router::buffers::{BufferChain, BufferPool, BUFFER};
use hollymux_router::handover_state::HandoverState;
use hollymux_router::lifecycle::{Event, Lifecycle, Phase, CLIENT_CLOSE_TIMEOUT, SHUTDOWN_LINGER};
use hollymux_router::{AttemptId, Command, FeedEvent, Input, RequestSummary, Router, Wake};
use operations::DoorConn;
use operator::Operator;
use places::{fd, Place};
use rand_core::SeedableRng;
use rustix::event::epoll::{self, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use rustix::net::{connect, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use shelfs::ShelfConn;
use signal_hook::consts::{SIGHUP, SIGTERM};
use sockets::{dial, listener, Clock, Stream};
use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};
use wheel::Wheel;

/// What is open at the end has as long as the longest deadline, and this.
const FINISH: Duration = Duration::from_millis(300);
/// How often the driver looks after idle and stuck connections.
const ROUND: Duration = Duration::from_millis(250);
/// A listener that could not be served is asked again after this long.
const PAUSE: Duration = Duration::from_millis(20);
/// Clients that may wait to be taken; what overflows it is asked to come again after a second.
const BACKLOG: i32 = 4_096;
/// Descriptors for all that is neither a client's connection nor a shelf's: standard streams, epoll, signals,
/// listeners, feed, and the operators' connections.
const RESERVED: usize = 16 + operations::DOOR_MOST;
/// Who waits for the control feed at the start waits so long at most: a list that comes late is no reason not to
/// answer.
const BEGIN: Duration = Duration::from_secs(2);
/// Reads of one connection in a row.
const READS: usize = 16;
/// What one wait tells of at the most: every descriptor of a small router. What it leaves out comes with the next one.
const EVENTS: usize = 1_024;
/// A connection with output waiting that takes none for this long is closed.
const STUCK: Duration = Duration::from_secs(8);

/// A connection's place in the driver and its turn there: old news of a place finds another turn.
type Key = u64;

enum Timer {
    Core(Wake),
    Dial(Key),
    Resolve(u16),
    Feed,
    Round,
    Listen,
    /// Connections with nothing open are to be closed.
    Empty,
    /// The control feed was waited for long enough, or has told all; the old process's last word is overdue.
    Begin,
    /// A client's connection may be let go.
    Go(Key),
    Quiet,
    Yours,
    Fleet,
    Over,
}

enum Role {
    Listener(TcpListener),
    Signal(UnixStream, i32),
    Client(ClientConn),
    Shelf(ShelfConn),
    Feed(Feed),
    DnsUdp(UdpSocket),
    DnsListener(TcpListener),
    DnsConn(DnsConn),
    Resolver(UdpSocket),
    DoorListener(TcpListener),
    DoorConn(DoorConn),
    Meeting(UnixListener),
    Heir(Peer),
    Forebear(Peer),
    Fleet(UdpSocket),
}

/// What a connection's handler made of an event.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Keep,
    Close,
    /// A client's connection is shut, and read to its end.
    QuotaShare,
}

/// One request router on its sockets.
pub struct Server {
    poll: OwnedFd,
    clock: Clock,
    now: Timestamp,
    config: Config,
    /// The file that the configuration came from; SIGHUP has it read again.
    path: PathBuf,
    router: Router,
    pool: BufferPool,
    wheel: Wheel<Timer>,
    places: Vec<Place>,
    free: Vec<u32>,
    inbox: VecDeque<Input>,
    commands: Vec<Command>,
    listener: Key,
    /// Listeners that are not asked for now.
    paused: Vec<Key>,
    clients: usize,
    shelfs: HashMap<EndpointId, shelfs::Line>,
    attempts: HashMap<AttemptId, Key>,
    shelf_conns: usize,
    operator: Operator,
    recorder: Option<Recorder>,
    /// The zone of the DNS front; empty without one.
    zone: Name,
    resolver: Resolver,
    feed_at: u64,
    feed_key: Option<Key>,
    feed_wait: Duration,
    lifecycle: Lifecycle,
    /// The operators' listener.
    door: Option<Key>,
    /// Where a process that replaces this one calls; that process; the one that this one replaces.
    meeting: Option<Key>,
    heir: Option<Key>,
    forebear: Option<Key>,
    /// What that one handed over, until this one serves.
    legacy: Option<Box<HandoverState>>,
    /// What this router knows of others, if it is to know them.
    fleet: Option<Box<fleet::Fleet>>,
    /// Limits are shared with one of them.
    shared: bool,
    /// When the control feed told something last.
    feed_told: Timestamp,
    over: bool,
    /// For what routers are not to do in step.
    rng: rand_pcg::Pcg64Mcg,
    scratch: Vec<u8>,
}

impl Server {
    /// Binds the listener, registers the signals and takes what the configuration already knows.
    pub fn new(mut config: Config, path: PathBuf, operator: Operator) -> io::Result<Server> {
        let clock = Clock::start();
        let now = clock.now();
        let follows = operator.dns.as_ref().is_some_and(|d| d.follow.is_some());
        let router = Router::new(config.setup(), follows).map_err(io::Error::other)?;
        let known = std::mem::take(&mut config.known.1);
        let recorder = recorder(&operator, &config, &router)?;
        let pool = BufferPool::new(pool_most(&config));
        let mut driver = Server {
            poll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            clock,
            now,
            router,
            pool,
            wheel: Wheel::new(now),
            places: Vec::new(),
            free: Vec::new(),
            inbox: VecDeque::new(),
            commands: Vec::new(),
            listener: 0,
            paused: Vec::new(),
            clients: 0,
            shelfs: HashMap::new(),
            attempts: HashMap::new(),
            shelf_conns: 0,
            resolver: Resolver::new(config.seed),
            zone: operator.dns.as_ref().map(|d| d.name()).unwrap_or_default(),
            recorder,
            operator,
            feed_at: config.known.0,
            feed_key: None,
            feed_wait: Duration::ZERO,
            lifecycle: Lifecycle::default(),
            door: None,
            meeting: None,
            heir: None,
            forebear: None,
            legacy: None,
            fleet: None,
            shared: false,
            feed_told: Timestamp::ZERO,
            over: false,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(config.seed ^ 0x6665_6564),
            scratch: vec![0; BUFFER],
            config,
            path,
        };
        for signal in [SIGTERM, SIGHUP] {
            let (pipe, sender) = UnixStream::pair()?;
            pipe.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(signal, sender)?;
            driver.place(Role::Signal(pipe, signal))?;
        }
        known.into_iter().for_each(|told| driver.tell(told));
        driver.settle();
        let listen = driver.config.listen;
        let heritage = handover::meeting(listen).map_or(Ok(None), |path| handover::call(&path, listen));
        let heritage = heritage.unwrap_or_else(|e| {
            warn!("the process that serves this address hands nothing over, starting from nothing: {e}");
            None
        });
        driver.now = driver.clock.now();
        let listener = match heritage {
            Some(heritage) => driver.inherit(heritage)?,
            None => listener(listen)?,
        };
        driver.listener = driver.place(Role::Listener(listener))?;
        driver.open_dns()?;
        driver.open_door();
        if let Some(section) = &driver.operator.fleet {
            driver.fleet = Some(Box::new(fleet::Fleet::new(section, &driver.config, driver.now)));
        }
        // One who replaces another is given the address.
        if driver.forebear.is_none() {
            driver.open_fleet();
        }
        driver.wheel.set(now + ROUND, Timer::Round);
        driver.wheel.set(driver.now + BEGIN, Timer::Begin);
        driver.open_feed();
        if driver.forebear.is_none() && driver.router.rotation().listed > 0 {
            driver.began();
        }
        driver.listen_or_not();
        Ok(driver)
    }

    /// Where clients connect.
    pub fn listens_at(&mut self) -> io::Result<SocketAddr> {
        match self.role(self.listener) {
            Some(Role::Listener(l)) => l.local_addr(),
            _ => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Serves until SIGTERM and what is open then is finished.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::with_capacity(EVENTS);
        loop {
            self.now = self.clock.now();
            let ends = self.may_end();
            let wait = if ends { Duration::ZERO } else { self.wheel.wait(self.now).unwrap_or(ROUND) };
            let wait = Timespec {
                tv_sec: i64::try_from(wait.as_secs()).unwrap_or(1),
                tv_nsec: wait.subsec_nanos() as _,
            };
            events.clear();
            match epoll::wait(&self.poll, rustix::buffer::spare_capacity(&mut events), Some(&wait)) {
                Ok(_) | Err(rustix::io::Errno::INTR) => {}
                Err(e) => return Err(e.into()),
            }
            // What has come while it made ready to end may be a request.
            if ends && (self.over || events.is_empty()) {
                break;
            }
            events.sort_by_key(|e| self.turn(e.data.u64()));
            for event in &events {
                self.now = self.clock.now();
                self.on_event(event.data.u64(), event.flags);
            }
            self.now = self.clock.now();
            for timer in self.wheel.due(self.now) {
                self.on_timer(timer);
            }
        }
        self.fleet_leave();
        Ok(())
    }

    fn on_event(&mut self, key: Key, flags: EventFlags) {
        let Some(mut role) = self.take(key) else { return };
        let fate = match &mut role {
            Role::Listener(l) => self.on_accept(key, l),
            Role::Signal(s, signal) => self.on_signal(s, *signal),
            Role::Client(c) => self.on_client(key, c, flags),
            Role::Shelf(s) => self.on_shelf(key, s, flags),
            Role::Feed(f) => self.on_feed(f, flags),
            Role::DnsUdp(s) => self.on_dns_udp(s),
            Role::DnsListener(l) => self.on_dns_accept(key, l),
            Role::DnsConn(c) => self.on_dns_conn(key, c, flags),
            Role::Resolver(s) => self.on_resolver(s),
            Role::DoorListener(l) => self.on_door_accept(l),
            Role::DoorConn(c) => self.on_door_conn(key, c, flags),
            Role::Meeting(l) => self.on_meeting(l),
            Role::Heir(p) => self.on_heir(key, p, flags),
            Role::Forebear(p) => self.on_forebear(key, p, flags),
            Role::Fleet(s) => self.on_fleet(s),
        };
        self.put_back(key, role, fate);
        self.settle();
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Core(wake) => self.inbox.push_back(Input::Wake(wake)),
            Timer::Dial(key) => self.dial_late(key),
            Timer::Resolve(id) => self.resolve_overdue(id),
            Timer::Feed => self.open_feed(),
            Timer::Round => {
                self.wheel.set(self.now + ROUND, Timer::Round);
                self.open_door();
                if self.forebear.is_none() && !self.lifecycle.handed_over() {
                    self.open_fleet();
                }
                // Descriptors are counted for both processes of a replacement together.
                while self.shared && self.clients > self.clients_most() && self.evict() {}
                self.look_after();
            }
            Timer::Listen => self.listen_again(),
            Timer::Empty => {
                if self.lifecycle.lingered(self.now) {
                    self.accept_last();
                    self.close(self.listener);
                }
                self.look_after();
            }
            Timer::Begin => self.begin(true),
            Timer::Go(key) => self.go(key),
            Timer::Quiet => self.begin(false),
            Timer::Yours => self.began(),
            Timer::Fleet => self.fleet_turn(),
            Timer::Over => {
                self.over = true;
                self.inbox.push_back(Input::Shutdown);
            }
        }
        self.settle();
    }

    /// The longest deadline of a class.
    fn longest(&self) -> Duration {
        self.router.settings().classes.iter().map(|c| c.deadline).max().unwrap_or_default()
    }

    /// Tells the lifecycle of an event and does what follows from it; false if it can't be followed.
    fn live(&mut self, event: Event) -> bool {
        let before = self.lifecycle.phase();
        let done = self.lifecycle.apply(self.now, event);
        let after = self.lifecycle.phase();
        if let Some(at) = self.lifecycle.empties_at() {
            self.wheel.set(at, Timer::Empty);
        }
        if before != after {
            info!("{before:?} -> {after:?}");
            self.fleet_phase();
        }
        self.listen_or_not();
        done
    }

    /// Asks the listener for new connections while they are to be taken.
    fn listen_or_not(&mut self) {
        self.ask_listener(self.listener);
    }

    /// Asks a listener for new connections; the clients' one only while they are to be taken.
    fn ask_listener(&self, key: Key) {
        let asked = match self.seen(key) {
            Some(role @ Role::Listener(_)) => Some((role, self.lifecycle.accepts(self.now))),
            Some(role @ Role::DnsListener(_)) => Some((role, true)),
            _ => None,
        };
        if let Some((role, wanted)) = asked {
            let flags = if wanted { EventFlags::IN } else { EventFlags::empty() };
            let _told = epoll::modify(&self.poll, fd(role), epoll::EventData::new_u64(key), flags);
        }
    }

    /// What was counted, in one line.
    pub fn summary(&self) -> String {
        let c = self.router.counters;
        format!(
            "took {} requests: {} served, {} refused, {} failed; {} turned away; {} attempts, {} lookups; invariants broken: {}",
            c.received, c.served, c.rejected, c.failed, c.shed, c.attempts, c.lookups, c.invariant_violations
        )
    }

    /// Stops asking a listener that can't be served now: what waits there would wake the driver for ever.
    fn pause(&mut self, key: Key, listener: &TcpListener) {
        let data = epoll::EventData::new_u64(key);
        if epoll::modify(&self.poll, listener, data, EventFlags::empty()).is_ok() {
            self.paused.push(key);
            self.wheel.set(self.now + PAUSE, Timer::Listen);
        }
    }

    fn listen_again(&mut self) {
        std::mem::take(&mut self.paused).into_iter().for_each(|key| self.ask_listener(key));
    }

    /// Feeds the core until nothing is left to tell it or to do for it.
    fn settle(&mut self) {
        while let Some(input) = self.inbox.pop_front() {
            self.router.handle(self.now, input, &mut self.commands);
            for command in std::mem::take(&mut self.commands) {
                self.carry_out(command);
            }
        }
        self.tell_heir();
    }

    /// Whether nothing is left to do.
    fn may_end(&self) -> bool {
        let gone = self.clients == 0 || self.lifecycle.drops(self.now);
        let done = self.lifecycle.lingered(self.now) && gone && self.router.idle() && !self.any_client_owed();
        self.over || done
    }

    /// The order in which news is taken. After a stall much has come at once: first that an endpoint takes no more work,
    /// then operators, who wait a second at most, then that clients have left, and only then what has work sent.
    fn turn(&self, key: Key) -> u8 {
        match self.seen(key) {
            Some(Role::Feed(_)) => 0,
            Some(Role::DoorListener(_) | Role::DoorConn(_)) => 1,
            Some(Role::Client(_)) => 2,
            Some(Role::Fleet(_)) => 4,
            _ => 3,
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::SendAttempt(order) => self.send(order),
            Command::CancelAttempt { attempt, may_retry: again } => self.quit(attempt, again),
            Command::Lookup(request, wanted) => self.look(request, &wanted),
            Command::Reply(client, reply) => self.answer(client, reply),
            Command::Wake(at, wake) => self.wheel.set(at, Timer::Core(wake)),
            Command::Probe(endpoint, addr) => self.probe(endpoint, addr),
            Command::CloseConnections(endpoint) => self.drop_line(endpoint, Fate::Close),
            Command::StopSending(endpoint) => self.drop_line(endpoint, Fate::Keep),
            Command::AttemptEnded(t) => {
                let (request, number) = (t.attempt.request, t.attempt.number);
                let (shelf, source) = (&*t.endpoint, t.source.as_deref());
                let (status, took_us) = (t.status, whole_micros(t.duration));
                debug!(request, attempt = number, shelf, source, ?status, took_us, "attempt ended");
            }
            Command::RequestEnded(ended) => self.ended(&ended),
            Command::Log(line) => info!("{line}"),
        }
    }

    /// Hands on what the control feed told.
    fn tell(&mut self, told: FeedEvent) {
        if let Some(recorder) = &mut self.recorder {
            match &told {
                FeedEvent::Endpoints { endpoints: lines, .. } => {
                    recorder.members(self.now.as_micros(), lines)
                }
                FeedEvent::Purge { object, group, .. } => {
                    recorder.purge(self.now.as_micros(), *object, *group)
                }
            }
        }
        self.inbox.push_back(Input::Feed(told));
    }

    /// A request is closed: what there is to say of it.
    fn ended(&mut self, e: &RequestSummary) {
        if let Some(recorder) = &mut self.recorder {
            recorder.request(e);
        }
        let class = self.router.classes().name(e.requested.class);
        debug!(
            request = e.request,
            rid = format_args!("{:016x}", e.requested.request_id.unwrap_or_default()),
            class,
            result = ?e.result,
            reason = ?e.reason,
            took_us = whole_micros(e.duration),
            bytes = e.bytes,
            attempts = e.attempts,
            shelf = e.endpoint.as_deref(),
            source = e.source.as_deref(),
            "request closed"
        );
    }

    fn on_signal(&mut self, pipe: &mut UnixStream, signal: i32) -> Fate {
        let mut bytes = [0; 16];
        let _drained = pipe.read(&mut bytes);
        if signal == SIGHUP {
            self.read_again();
        } else if self.lifecycle.phase() != Phase::Stopping {
            self.live(Event::Stop);
            self.wheel.set(self.now + self.longest() + SHUTDOWN_LINGER + FINISH, Timer::Over);
            self.wheel.set(self.now + SHUTDOWN_LINGER, Timer::Empty);
            self.wheel.set(self.now + SHUTDOWN_LINGER + CLIENT_CLOSE_TIMEOUT, Timer::Empty);
            info!("SIGTERM: finishing what is open");
        }
        Fate::Keep
    }

    /// Closes what is idle for too long, stuck, or no longer wanted.
    fn look_after(&mut self) {
        let keys: Vec<Key> = self.roles().map(|(key, _)| key).collect();
        for key in keys {
            let Some(mut role) = self.take(key) else { continue };
            let fate = match &mut role {
                Role::Client(c) => self.client_round(key, c),
                Role::Shelf(s) => self.shelf_round(s),
                Role::Feed(f) => self.feed_round(f),
                Role::DnsConn(c) => self.dns_round(c),
                Role::DoorConn(c) => self.door_round(c),
                Role::Listener(_) | Role::DnsListener(_) | Role::DnsUdp(_) | Role::Resolver(_) => Fate::Keep,
                Role::DoorListener(_) | Role::Signal(..) | Role::Meeting(_) | Role::Forebear(_) => Fate::Keep,
                Role::Fleet(_) => Fate::Keep,
                Role::Heir(p) => self.heir_round(p),
            };
            self.put_back(key, role, fate);
        }
    }
}

/// A third of the memory may lie in buffers; the module and the sockets need the rest.
fn pool_most(config: &Config) -> usize {
    (config.memory_mb as usize) * (1 << 20) / 3 / BUFFER
}

/// What records the load, if the operator wants it recorded.
fn recorder(operator: &Operator, config: &Config, router: &Router) -> io::Result<Option<Recorder>> {
    let Some(r) = &operator.record else { return Ok(None) };
    let names = &config.names;
    let classes: Vec<String> = router.classes().names().map(str::to_string).collect();
    let head = Head::new(&config.name, &names.zones, &names.kinds, &classes, router.settings());
    let sink = Sink::new(&r.dir, head, r.file_mb << 20, r.files)?;
    Recorder::start(sink, r.queue).map(Some)
}
