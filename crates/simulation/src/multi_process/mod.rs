//! A day on real sockets: stand-in servers and control feeds on loopback, real router processes, clients whose
//! arrivals wait for nothing. One thread plays all of it and ends it by itself.

use crate::cluster_report::{judge, links, places, quiet_from, ViewObservations};
use crate::load::{ClientAttempt, ClientOutcome, Clients};
use crate::model::{secs, Call, CallResult, ModelEvent, ServerModel, ServerState, PURGE_TOLD};
use crate::relay::Relay;
use crate::report::DriverCounters;
use crate::router_config::{config, line, seats};
use crate::scenario::{FaultKind, Scenario};
use crate::virtual_time::{age, RunResult};
use crate::{Time, MS, SEC};
use hollymux_protocol::resp::{
    find_field, parse_decimal, push_array_header, push_bulk_string, Decoder, Frame,
};
use hollymux_router::buffers::BufferPool;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A router says where it listens within this, or the day can't be played.
const READY: Duration = Duration::from_secs(10);
/// Requests open on one client's connection, and connections to one router.
const OPEN_MOST: usize = 24;
const CONNS_MOST: usize = 24;
/// What is open when no more load is offered has this long.
const FINISH: Time = 8 * SEC;
/// A comment keeps a control feed alive this often.
const COMMENT: Time = SEC;
/// An object and the words around it fit in so many bytes.
const BODY_MOST: usize = 240_000;
const ZEROS: [u8; 16_384] = [0; 16_384];

/// How routers are started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The program.
    pub program: PathBuf,
    /// Where configurations and logs are put.
    pub dir: PathBuf,
    /// Where the routers record their load.
    pub record: PathBuf,
}

/// A router process; it ends with this value.
struct Node {
    child: Child,
    addr: SocketAddr,
    /// Where operators are answered, and other routers heard, if they are.
    door: Option<SocketAddr>,
    heard: Option<SocketAddr>,
    /// It was killed by a fault.
    dead: bool,
    conns: Vec<usize>,
    ticks: u64,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

enum Role {
    Listener(TcpListener, usize),
    Feeds(TcpListener, usize),
    Shelf { server: usize, open: HashMap<Vec<u8>, u64> },
    Feed { router: usize, opened: bool, head: Vec<u8> },
    Client { router: usize, open: BTreeMap<u64, u64>, next: u64 },
}

struct Conn {
    role: Role,
    stream: Option<TcpStream>,
    decoder: Decoder,
    out: Vec<u8>,
    sent: usize,
    /// Nothing is read or written any more, and nothing closed.
    mute: bool,
}

struct Lab {
    day: Scenario,
    begun: Instant,
    unix: Time,
    now: Time,
    poll: Poll,
    pool: BufferPool,
    conns: HashMap<usize, Conn>,
    next_token: usize,
    world: ServerModel,
    clients: Clients,
    nodes: Vec<Node>,
    endpoints: Vec<SocketAddr>,
    /// Calls out: their connection and id there.
    calls: HashMap<u64, (usize, Vec<u8>)>,
    next_call: u64,
    /// Clients' requests out: their connection and tag.
    asked: HashMap<u64, (usize, u64)>,
    /// Events of the control feed by number, and what of them each router is told when.
    told: Vec<String>,
    feeds: Vec<Option<usize>>,
    due: BinaryHeap<Reverse<(Time, usize)>>,
    sent_events: usize,
    commented: Time,
    counted: DriverCounters,
    start: Start,
    seed: u64,
    /// Where each router's control feed is.
    feeds_at: Vec<SocketAddr>,
    /// Where routers know each other: what is between them, and what their logs say of who is lost.
    relay: Option<Relay>,
    said: Said,
    watch: ViewObservations,
    looked: Time,
    /// Faults between and in routers that are still to begin or end.
    faults: BinaryHeap<Reverse<(Time, usize, bool)>>,
}

/// What routers' logs say: when, who, and the line.
type Said = Arc<Mutex<Vec<(Instant, usize, String)>>>;

/// Plays a day, with the world's seed. Ends within the day's length and twenty seconds.
///
/// # Errors
/// A socket can't be had, or a router doesn't start.
pub fn play(day: &Scenario, seed: u64, start: &Start) -> io::Result<RunResult> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix = u64::try_from(unix.as_micros()).unwrap_or_default();
    let mut lab = Lab {
        day: day.clone(),
        begun: Instant::now(),
        unix,
        now: unix,
        poll: Poll::new()?,
        pool: BufferPool::new(4_096),
        conns: HashMap::new(),
        next_token: 0,
        world: ServerModel::new(day, unix, seed),
        clients: Clients::new(day, unix, seed),
        nodes: Vec::new(),
        endpoints: Vec::new(),
        calls: HashMap::new(),
        next_call: 1,
        asked: HashMap::new(),
        told: Vec::new(),
        feeds: vec![None; day.routers()],
        due: BinaryHeap::new(),
        sent_events: 0,
        commented: 0,
        counted: DriverCounters::default(),
        start: start.clone(),
        seed,
        feeds_at: Vec::new(),
        relay: if day.fleet { Some(Relay::start(day.routers(), seed)?) } else { None },
        said: Said::default(),
        watch: ViewObservations::default(),
        looked: 0,
        faults: BinaryHeap::new(),
    };
    for server in 0..lab.world.servers.len() {
        let listener = TcpListener::bind(loopback())?;
        lab.endpoints.push(listener.local_addr()?);
        lab.put(Role::Listener(listener, server), None)?;
    }
    for seat in seats(day) {
        let listener = TcpListener::bind(loopback())?;
        let feed = listener.local_addr()?;
        lab.put(Role::Feeds(listener, seat.number), None)?;
        lab.feeds_at.push(feed);
        let node = lab.spawn(seat.number)?;
        lab.nodes.push(node);
    }
    // The day starts once the routers run.
    lab.unix = lab.clock();
    lab.begun = Instant::now();
    lab.world = ServerModel::new(day, lab.unix, seed);
    lab.clients = Clients::new(day, lab.unix, seed);
    for (i, f) in day.faults.iter().enumerate() {
        lab.faults.push(Reverse((lab.unix + secs(f.at_s), i, true)));
        if let Some(long) = f.for_s {
            lab.faults.push(Reverse((lab.unix + secs(f.at_s + long), i, false)));
        }
    }
    lab.run()?;
    lab.counted.fleet = lab.relay.is_some().then(|| {
        lab.hear();
        judge(day, &lab.watch)
    });
    let start = lab.unix;
    finish(std::mem::take(&mut lab.nodes));
    Ok(RunResult { start, done: lab.clients.done, world: lab.world, counted: lab.counted })
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An operator's call for a router's view; none if it does not answer in time.
fn view(door: SocketAddr) -> Option<serde_json::Value> {
    let wait = Duration::from_millis(200);
    let mut socket = std::net::TcpStream::connect_timeout(&door, wait).ok()?;
    socket.set_read_timeout(Some(wait)).ok()?;
    socket.write_all(b"GET /status/fleet HTTP/1.1\r\nHost: lab\r\n\r\n").ok()?;
    let mut text = String::new();
    socket.read_to_string(&mut text).ok()?;
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}

fn spawn(
    start: &Start,
    number: usize,
    config: &str,
    fleet: serde_json::Value,
    said: Said,
) -> io::Result<Node> {
    let path = start.dir.join(format!("n{}.json", number + 1));
    std::fs::write(&path, config)?;
    let mut command = Command::new(&start.program);
    command.arg("serve").arg("--config").arg(&path).arg("--with-parent");
    let operator = start.dir.join(format!("n{}.operator.json5", number + 1));
    let sections = serde_json::json!({"record": {"dir": start.record}, "fleet": fleet});
    std::fs::write(&operator, sections.to_string())?;
    command.arg("--operator").arg(&operator);
    let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
    let lines = BufReader::new(child.stderr.take().ok_or(ErrorKind::BrokenPipe)?);
    let (tx, up) = std::sync::mpsc::channel();
    let log = start.dir.join(format!("n{}.log", number + 1));
    let log = std::fs::File::options().create(true).append(true).open(log)?;
    std::thread::spawn(move || {
        let (mut log, mut at) = (log, [None; 2]);
        for line in lines.lines().map_while(Result::ok) {
            let _kept = writeln!(log, "{line}");
            let addr = |words: &str| line.split_once(words)?.1.trim().parse::<SocketAddr>().ok();
            at[0] = at[0].or_else(|| addr("admin endpoint listening address="));
            at[1] = at[1].or_else(|| addr("cluster socket listening address="));
            if let Some(addr) = addr("listening on ") {
                let _told = tx.send((addr, at));
            }
            if line.contains("cluster: router failed") {
                let mut said = said.lock().unwrap_or_else(PoisonError::into_inner);
                said.push((Instant::now(), number, line));
            }
        }
    });
    // The child ends with the node, also if it never comes up.
    let (door, heard) = (None, None);
    let mut node = Node { child, addr: loopback(), door, heard, dead: false, conns: Vec::new(), ticks: 0 };
    let (addr, [door, heard]) =
        up.recv_timeout(READY).map_err(|_| io::Error::other("a router did not start"))?;
    (node.addr, node.door, node.heard) = (addr, door, heard);
    Ok(node)
}

/// Lets routers end by themselves, so that their recordings are whole; who takes too long is ended.
fn finish(mut nodes: Vec<Node>) {
    for node in &nodes {
        // One that was stopped for good hears nothing.
        signal(node, rustix::process::Signal::CONT);
        signal(node, rustix::process::Signal::TERM);
    }
    let until = Instant::now() + READY;
    while Instant::now() < until && nodes.iter_mut().any(|n| matches!(n.child.try_wait(), Ok(None))) {
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Ticks of processor time that a process has used.
fn ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<u64> = rest.split(' ').map(|f| f.parse().unwrap_or(0)).collect();
    fields.get(11).copied().unwrap_or(0) + fields.get(12).copied().unwrap_or(0)
}

/// Sends a process a signal.
fn signal(node: &Node, signal: rustix::process::Signal) {
    let pid = i32::try_from(node.child.id()).ok().and_then(rustix::process::Pid::from_raw);
    // One that has ended needs none.
    pid.map(|p| rustix::process::kill_process(p, signal));
}

impl Lab {
    // ---- routers, and what goes wrong between and in them ----

    /// Starts a router's process as things are now.
    fn spawn(&self, number: usize) -> io::Result<Node> {
        let Some(seat) = seats(&self.day).into_iter().nth(number) else {
            return Err(io::Error::other("no such router"));
        };
        let feed = self.feeds_at[number];
        let mut text = config(&self.day, &self.world, seat, self.seed, feed, &self.endpoints);
        let mut fleet = serde_json::Value::Null;
        if let Some(relay) = &self.relay {
            text["operator"] = "127.0.0.1:0".into();
            let seeds: Vec<String> = relay.addrs.iter().take(3).map(SocketAddr::to_string).collect();
            fleet = serde_json::json!({"name": "lab", "listen": "127.0.0.1:0", "seeds": seeds,
                                       "advertise": relay.addrs[number].to_string()});
            if self.day.limits {
                fleet["limits"] = serde_json::json!({});
            }
        }
        let node = spawn(&self.start, number, &text.to_string(), fleet, self.said.clone())?;
        if let (Some(relay), Some(heard)) = (&self.relay, node.heard) {
            relay.behind(number, heard);
        }
        Ok(node)
    }

    fn on_faults(&mut self) -> io::Result<()> {
        while self.faults.peek().is_some_and(|Reverse(f)| f.0 <= self.now) {
            let Some(Reverse((_, i, begins))) = self.faults.pop() else { break };
            let what = self.day.faults[i].what.clone();
            for (from, to, link) in links(&self.day, &what) {
                let link = if begins { link } else { Default::default() };
                self.relay.iter().for_each(|r| r.fault(&from, &to, link));
            }
            match what {
                FaultKind::Kill { routers } => {
                    for r in places(&routers) {
                        if begins {
                            self.nodes[r].dead = true;
                            signal(&self.nodes[r], rustix::process::Signal::KILL);
                        } else {
                            self.nodes[r] = self.spawn(r)?;
                        }
                    }
                }
                FaultKind::Pause { routers } => {
                    let sent =
                        if begins { rustix::process::Signal::STOP } else { rustix::process::Signal::CONT };
                    places(&routers).into_iter().for_each(|r| signal(&self.nodes[r], sent));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// After the last fault: whether all that run hold one view by now.
    fn look(&mut self) {
        let since = (self.now - self.unix) as f64 / 1e6;
        let quiet = since > quiet_from(&self.day) && self.watch.agreed.is_none();
        if self.relay.is_none() || !quiet || self.now < self.looked + 200 * MS {
            return;
        }
        self.looked = self.now;
        let doors: Vec<SocketAddr> = self.nodes.iter().filter(|n| !n.dead).filter_map(|n| n.door).collect();
        let views: Vec<Option<serde_json::Value>> = doors.iter().map(|d| view(*d)).collect();
        let all = |v: &serde_json::Value| v["reachable"].as_u64() >= Some(doors.len() as u64);
        let whole = views.iter().all(|v| v.as_ref().is_some_and(all));
        let digest = |v: &Option<serde_json::Value>| v.as_ref().map(|v| v["digest"].clone());
        if whole && views.windows(2).all(|w| digest(&w[0]) == digest(&w[1])) {
            self.watch.agreed = Some(since);
        }
    }

    /// Takes what the logs said of who is lost, and what routers sent each other.
    fn hear(&mut self) {
        let Some(relay) = &self.relay else { return };
        let said = std::mem::take(&mut *self.said.lock().unwrap_or_else(PoisonError::into_inner));
        for (at, by, line) in said {
            let of = relay.addrs.iter().position(|a| line.contains(&format!(" address={a} ")));
            let since = at.saturating_duration_since(self.begun).as_secs_f64();
            self.watch.lost.extend(of.map(|of| (since, by, of)));
        }
        self.watch.bytes = (0..self.day.routers()).map(|r| relay.sent(r).1).sum();
    }

    fn clock(&self) -> Time {
        self.unix + u64::try_from(self.begun.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn run(&mut self) -> io::Result<()> {
        let end = self.unix + secs(self.day.seconds);
        let counts = self.unix + secs(self.day.warm_s);
        let (mut counting, mut ended) = (false, false);
        let mut events = Events::with_capacity(1_024);
        loop {
            self.now = self.clock();
            if !counting && self.now >= counts {
                counting = true;
                self.world.count_from(self.now);
                self.nodes.iter_mut().for_each(|n| n.ticks = ticks(n.child.id()));
            }
            if !ended && self.now >= end {
                ended = true;
                self.world.stop_counting();
                self.count_cores();
            }
            if self.now >= end && (!self.clients.waiting() || self.now >= end + FINISH) {
                return Ok(());
            }
            self.on_faults()?;
            self.look();
            self.world.advance(self.now);
            self.clients.advance(self.now);
            self.settle()?;
            let next = [self.world.due(), self.clients.due(), self.due.peek().map(|d| d.0 .0)];
            let next = next.into_iter().flatten().min().unwrap_or(self.now + COMMENT);
            let wait = next.saturating_sub(self.clock()).clamp(0, 50 * MS);
            match self.poll.poll(&mut events, Some(Duration::from_micros(wait))) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            self.now = self.clock();
            for event in &events {
                self.on_event(
                    event.token().0,
                    event.is_readable() || event.is_read_closed() || event.is_error(),
                )?;
            }
        }
    }

    fn count_cores(&mut self) {
        let span = self.day.seconds - self.day.warm_s;
        let per_s = rustix::param::clock_ticks_per_second() as f64;
        let of = |(i, n): (usize, &Node)| crate::model::Use {
            name: format!("n{} core", i + 1),
            part: ticks(n.child.id()).saturating_sub(n.ticks) as f64 / per_s / span,
            bytes: None,
        };
        let cores: Vec<_> = self.nodes.iter().enumerate().map(of).collect();
        self.world.also_used(cores);
    }

    fn put(&mut self, mut role: Role, mut stream: Option<TcpStream>) -> io::Result<usize> {
        let token = self.next_token;
        self.next_token += 1;
        let registry = self.poll.registry();
        match (&mut role, &mut stream) {
            (Role::Listener(l, _) | Role::Feeds(l, _), _) => {
                registry.register(l, Token(token), Interest::READABLE)?
            }
            (_, Some(s)) => {
                let _quick = s.set_nodelay(true);
                registry.register(s, Token(token), Interest::READABLE | Interest::WRITABLE)?;
            }
            _ => {}
        }
        let decoder = Decoder::new(&self.pool, 3, BODY_MOST);
        self.conns.insert(token, Conn { role, stream, decoder, out: Vec::new(), sent: 0, mute: false });
        Ok(token)
    }

    fn on_event(&mut self, token: usize, readable: bool) -> io::Result<()> {
        let Some(conn) = self.conns.get(&token) else { return Ok(()) };
        let accepted = match &conn.role {
            Role::Listener(l, server) => Some((accept(l), Ok(*server))),
            Role::Feeds(l, router) => Some((accept(l), Err(*router))),
            _ => None,
        };
        if let Some((streams, whose)) = accepted {
            for stream in streams {
                let role = match whose {
                    Ok(server) => Role::Shelf { server, open: HashMap::new() },
                    Err(router) => Role::Feed { router, opened: false, head: Vec::new() },
                };
                let token = self.put(role, Some(stream))?;
                if let (Ok(server), Some(conn)) = (whose, self.conns.get_mut(&token)) {
                    conn.mute = self.world.servers[server].stand == ServerState::Cut;
                }
            }
            return Ok(());
        }
        if conn.mute {
            return Ok(());
        }
        if readable {
            self.read(token);
        }
        self.flush(token);
        Ok(())
    }

    fn read(&mut self, token: usize) {
        let mut buffer = [0; 65_536];
        loop {
            let Some(conn) = self.conns.get_mut(&token) else { return };
            let n = match conn.stream.as_mut().map(|s| s.read(&mut buffer)) {
                Some(Ok(n)) if n > 0 => n,
                Some(Err(e)) if e.kind() == ErrorKind::WouldBlock => return,
                Some(Err(e)) if e.kind() == ErrorKind::Interrupted => continue,
                _ => return self.close(token),
            };
            let mut bytes = &buffer[..n];
            if let Role::Feed { router, opened, head } = &mut conn.role {
                head.extend_from_slice(bytes);
                if !*opened && head.windows(4).any(|w| w == b"\r\n\r\n") {
                    *opened = true;
                    let (router, head) = (*router, String::from_utf8_lossy(head).to_string());
                    self.open_feed(token, router, &head);
                }
                continue;
            }
            let mut frames = Vec::new();
            let broken = loop {
                match conn.decoder.feed(&mut bytes) {
                    Ok(Some(frame)) => frames.push(frame),
                    Ok(None) => break false,
                    Err(_) => break true,
                }
            };
            for frame in frames {
                self.on_frame(token, frame);
            }
            if broken {
                return self.close(token);
            }
        }
    }

    fn flush(&mut self, token: usize) {
        let Some(conn) = self.conns.get_mut(&token).filter(|c| !c.mute) else { return };
        while conn.sent < conn.out.len() {
            match conn.stream.as_mut().map(|s| s.write(&conn.out[conn.sent..])) {
                Some(Ok(n)) if n > 0 => conn.sent += n,
                Some(Err(e)) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Some(Err(e)) if e.kind() == ErrorKind::Interrupted => {}
                _ => return self.close(token),
            }
        }
        conn.out.clear();
        conn.sent = 0;
    }

    fn close(&mut self, token: usize) {
        let Some(conn) = self.conns.remove(&token) else { return };
        match conn.role {
            Role::Shelf { open, .. } => {
                let mut calls: Vec<u64> = open.into_values().collect();
                calls.sort_unstable();
                for call in calls {
                    self.calls.remove(&call);
                    self.world.quit(self.now, call);
                }
            }
            Role::Client { router, open, .. } => {
                self.nodes[router].conns.retain(|c| *c != token);
                for ask in open.into_values() {
                    self.asked.remove(&ask);
                    self.clients.answered(self.now, ask, ClientOutcome::Lost);
                }
            }
            Role::Feed { router, .. } if self.feeds[router] == Some(token) => self.feeds[router] = None,
            Role::Feed { .. } | Role::Listener(..) | Role::Feeds(..) => {}
        }
    }

    // ---- control feed ----

    fn open_feed(&mut self, token: usize, router: usize, head: &str) {
        let after =
            head.lines().find_map(|l| l.strip_prefix("Last-Event-ID: ")?.trim().parse::<usize>().ok());
        let mut out = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".to_vec();
        // The first event is the list that the configuration holds.
        for event in self.told[..self.sent_events].iter().skip(after.unwrap_or(1).saturating_sub(1)) {
            out.extend_from_slice(event.as_bytes());
        }
        self.feeds[router] = Some(token);
        self.write(token, &out);
    }

    fn write(&mut self, token: usize, bytes: &[u8]) {
        if let Some(conn) = self.conns.get_mut(&token) {
            conn.out.extend_from_slice(bytes);
        }
        self.flush(token);
    }

    /// Puts an event on the feeds after a while; they go out in their order.
    fn tell(&mut self, after: Time, event: impl FnOnce(u64) -> String) {
        let n = self.told.len() as u64 + 2;
        self.told.push(format!("id: {n}\ndata: {}\n\n", event(n)));
        self.due.push(Reverse((self.now + after, self.told.len())));
    }

    // ---- requests ----

    fn on_frame(&mut self, token: usize, frame: Frame) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let word = |i: usize| frame.words.get(i).map_or(&[][..], Vec::as_slice);
        match &mut conn.role {
            Role::Shelf { server, open } => {
                let server = *server;
                let id = word(1).to_vec();
                match word(0) {
                    b"ASK" => self.on_call(token, server, id, word(2)),
                    b"QUIT" => {
                        if let Some(call) = open.remove(&id) {
                            self.calls.remove(&call);
                            self.world.quit(self.now, call);
                        }
                    }
                    b"NOOP" | b"INFO" => {
                        let well: &[u8] = if self.world.well(server) { b"well" } else { b"ill" };
                        let mut out = Vec::new();
                        push_array_header(&mut out, 2);
                        push_bulk_string(&mut out, &id);
                        push_bulk_string(&mut out, well);
                        self.write(token, &out);
                    }
                    _ => self.close(token),
                }
            }
            Role::Client { open, .. } => {
                let ask = parse_decimal(word(0)).and_then(|tag| open.remove(&tag));
                let Some(ask) = ask else {
                    // A second answer, unless the client has stopped waiting: that is told by UNDO.
                    return;
                };
                self.asked.remove(&ask);
                let fields = word(2);
                let got = match word(1) {
                    b"good" => ClientOutcome::Served(age(self.now, find_field(fields, "ver"))),
                    b"refused" => ClientOutcome::Refused(
                        find_field(fields, "backoff").and_then(parse_decimal).unwrap_or(0) * MS,
                    ),
                    _ => ClientOutcome::Failed,
                };
                self.clients.answered(self.now, ask, got);
            }
            _ => {}
        }
    }

    fn on_call(&mut self, token: usize, server: usize, id: Vec<u8>, fields: &[u8]) {
        let text =
            |name| find_field(fields, name).and_then(|v| std::str::from_utf8(v).ok()).unwrap_or_default();
        let class = self.day.classes.iter().position(|c| c.name == text("profile")).unwrap_or_default();
        let hex = |v: &str| u64::from_str_radix(v, 16).unwrap_or_default();
        let key = (hex(text("thing")), text("nth").parse().unwrap_or_default());
        let source = find_field(fields, "parent").map(|_| text("parent"));
        let known = source.and_then(|uid| self.world.servers.iter().position(|s| s.uid == uid));
        let hints = text("hints");
        let told = |hint| hints.split('+').any(|h| h == hint);
        let call = Call {
            class,
            key,
            group: crate::load::Objects::group(key.0),
            bytes: self.clients.objects.bytes(class, key),
            rid: hex(&String::from_utf8_lossy(&id)),
            accept: text("accept").parse::<Time>().ok().filter(|a| *a > 0).map(|a| a * MS),
            keep: text("shelf").parse().unwrap_or(0),
            source: known,
            join: told("coalesce"),
            shallow: told("shallow"),
        };
        let number = self.next_call;
        self.next_call += 1;
        self.counted.attempts += 1;
        if let Some(Conn { role: Role::Shelf { open, .. }, .. }) = self.conns.get_mut(&token) {
            open.insert(id.clone(), number);
        }
        self.calls.insert(number, (token, id));
        if source.is_some() && known.is_none() {
            // It names what is gone.
            return self.world.news.push(ModelEvent::Answer(number, CallResult::Full, 0));
        }
        self.world.call(self.now, number, server, call);
    }

    fn on_ask(&mut self, ask: &ClientAttempt) -> io::Result<()> {
        let router = self.day.router(ask.office, ask.router);
        let load = |token: &usize| match self.conns.get(token).map(|c| &c.role) {
            Some(Role::Client { open, .. }) => open.len(),
            _ => usize::MAX,
        };
        let best =
            self.nodes[router].conns.iter().copied().min_by_key(|t| load(t)).filter(|t| load(t) < OPEN_MOST);
        let few = self.nodes[router].conns.len() < CONNS_MOST;
        let token = match best {
            Some(token) if load(&token) == 0 || !few => token,
            _ => {
                let Ok(stream) = TcpStream::connect(self.nodes[router].addr) else {
                    self.clients.answered(self.now, ask.id, ClientOutcome::Lost);
                    return Ok(());
                };
                let role = Role::Client { router, open: BTreeMap::new(), next: 1 };
                let token = self.put(role, Some(stream))?;
                self.nodes[router].conns.push(token);
                token
            }
        };
        let mut out = Vec::new();
        if let Some(Conn { role: Role::Client { open, next, .. }, .. }) = self.conns.get_mut(&token) {
            let tag = *next;
            *next += 1;
            open.insert(tag, ask.id);
            self.asked.insert(ask.id, (token, tag));
            let fields = format!(
                "rid={:016x},budget={},obj={:016x},piece={},lot={}",
                ask.rid, ask.budget_ms, ask.key.0, ask.key.1, ask.group
            );
            push_array_header(&mut out, 5);
            push_bulk_string(&mut out, b"DO");
            push_bulk_string(&mut out, tag.to_string().as_bytes());
            push_bulk_string(&mut out, self.day.classes[ask.class].name.as_bytes());
            push_bulk_string(&mut out, fields.as_bytes());
            push_bulk_string(&mut out, b"");
        }
        self.write(token, &out);
        Ok(())
    }

    fn settle(&mut self) -> io::Result<()> {
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            // Events go out in their order: a late one holds up those behind it.
            if let Some(Reverse((_, n))) = self.due.pop() {
                let from = self.sent_events;
                self.sent_events = self.sent_events.max(n);
                let text: String = self.told[from..self.sent_events].concat();
                for token in self.feeds.clone().into_iter().flatten() {
                    self.write(token, text.as_bytes());
                }
            }
        }
        if self.now > self.commented + COMMENT {
            self.commented = self.now;
            for token in self.feeds.clone().into_iter().flatten() {
                self.write(token, b": still here\n\n");
            }
        }
        loop {
            let news = std::mem::take(&mut self.world.news);
            let asks = std::mem::take(&mut self.clients.asks);
            let undone = std::mem::take(&mut self.clients.undone);
            if news.is_empty() && asks.is_empty() && undone.is_empty() {
                return Ok(());
            }
            for n in news {
                self.on_news(n)?;
            }
            for a in asks {
                self.on_ask(&a)?;
            }
            for ask in undone {
                let Some((token, tag)) = self.asked.remove(&ask) else { continue };
                let mut out = Vec::new();
                push_array_header(&mut out, 2);
                push_bulk_string(&mut out, b"UNDO");
                push_bulk_string(&mut out, tag.to_string().as_bytes());
                if let Some(Conn { role: Role::Client { open, .. }, .. }) = self.conns.get_mut(&token) {
                    open.remove(&tag);
                }
                self.write(token, &out);
            }
        }
    }

    fn on_news(&mut self, news: ModelEvent) -> io::Result<()> {
        match news {
            ModelEvent::Answer(call, word, bytes) => {
                let Some((token, id)) = self.calls.remove(&call) else { return Ok(()) };
                if let Some(Conn { role: Role::Shelf { open, .. }, .. }) = self.conns.get_mut(&token) {
                    open.remove(&id);
                }
                let (said, fields) = match word {
                    CallResult::Data(dated) => {
                        (&b"data"[..], format!("digest={dated:x},dated={}", dated / MS))
                    }
                    CallResult::Absent => (&b"absent"[..], String::new()),
                    CallResult::Full => (&b"full"[..], String::new()),
                    CallResult::Failed => (&b"failed"[..], String::new()),
                };
                let mut out = Vec::new();
                push_array_header(&mut out, 4);
                push_bulk_string(&mut out, &id);
                push_bulk_string(&mut out, said);
                push_bulk_string(&mut out, fields.as_bytes());
                hollymux_protocol::resp::push_bulk_length(&mut out, bytes as usize);
                let mut left = bytes as usize;
                while left > 0 {
                    let n = left.min(ZEROS.len());
                    out.extend_from_slice(&ZEROS[..n]);
                    left -= n;
                }
                out.extend_from_slice(b"\r\n");
                self.write(token, &out);
            }
            ModelEvent::Stands(server, stand) => self.on_stand(server, stand)?,
            ModelEvent::Line(server, told, state) => {
                let text = line(&self.day, &told, self.endpoints[server], state);
                let lag = crate::news_lag(&self.day, self.now - self.unix);
                self.world.told_line(server, state, self.now + lag);
                self.tell(lag, |n| {
                    format!("{{\"n\":{n},\"members\":{{\"rev\":{n},\"all\":false,\"targets\":[{text}]}}}}")
                });
            }
            ModelEvent::Purge(object, group, at) => {
                self.tell(PURGE_TOLD, |n| crate::purge_event(n, object, group, at));
            }
        }
        Ok(())
    }

    fn on_stand(&mut self, server: usize, stand: ServerState) -> io::Result<()> {
        let of = |c: &Conn| matches!(&c.role, Role::Shelf { server: s, .. } if *s == server);
        let listens = |c: &Conn| matches!(&c.role, Role::Listener(_, s) if *s == server);
        let mine: Vec<usize> = self.conns.iter().filter(|(_, c)| of(c)).map(|(t, _)| *t).collect();
        let listener = self.conns.iter().find(|(_, c)| listens(c)).map(|(t, _)| *t);
        match stand {
            ServerState::Down => {
                mine.into_iter().for_each(|t| self.close(t));
                // Connections are refused from here on.
                listener.map(|t| self.conns.remove(&t));
            }
            ServerState::Cut => {
                for token in mine {
                    if let Some(conn) = self.conns.get_mut(&token) {
                        conn.mute = true;
                    }
                }
            }
            ServerState::Up => {
                // What was silent is reset when the machine is back.
                let mute: Vec<usize> =
                    self.conns.iter().filter(|(_, c)| of(c) && c.mute).map(|(t, _)| *t).collect();
                mute.into_iter().for_each(|t| self.close(t));
                if listener.is_none() {
                    let listener = TcpListener::bind(self.endpoints[server])?;
                    self.put(Role::Listener(listener, server), None)?;
                }
            }
        }
        Ok(())
    }
}

fn accept(listener: &TcpListener) -> Vec<TcpStream> {
    std::iter::from_fn(|| listener.accept().ok().map(|a| a.0)).collect()
}
