//! A day in virtual time: the same servers and clients, round the routers' sans-I/O cores, without sockets. The
//! same seed gives the same day, to the byte.

use crate::cluster::{place_at, RouterCluster, BEGIN};
use crate::cluster_report::{judge, links, places, quiet_from, ViewObservations};
use crate::load::{ClientAttempt, ClientOutcome, Clients, CompletedRequest};
use crate::model::{secs, Call, CallResult, ModelEvent, ServerModel, ServerState, PURGE_TOLD};
use crate::report::DriverCounters;
use crate::router_config::{config, line, seats, RouterSlot};
use crate::scenario::{FaultKind, Scenario};
use crate::{Time, MS, SEC};
use hollymux_cluster::membership::{MemberState, MembershipChange};
use hollymux_cluster::quota::LeaseTimings;
use hollymux_decision::time::whole_micros;
use hollymux_decision::{EndpointId, QuotaScope, Timestamp};
use hollymux_protocol::feed_events::FeedMessage;
use hollymux_router::buffers::BufferPool;
use hollymux_router::{
    AttemptFailure, AttemptId, AttemptRequest, AttemptResponse, ClientHandle, Command, FeedEvent, Input,
    ListedEndpoint, Reply, RequestSummary, Router, Wake,
};
use hollymux_server::config::Config;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

/// A message takes this long from one party to another.
const WAY: Time = 300;
/// A connection that nothing answers is given up after this.
const DIAL: Time = 400 * MS;
/// From one look at the accounts of limits to the next.
const LOOK: Time = 250 * MS;
/// When a day in virtual time starts, in microseconds of Unix time.
pub const START: Time = 1_760_000_000 * SEC;
/// Buffers of a router, as many as a small machine's.
const BUFFERS: usize = 4_096;

/// What a day came to.
#[derive(Debug)]
pub struct RunResult {
    /// When it started.
    pub start: Time,
    /// What became of each first try.
    pub done: Vec<CompletedRequest>,
    /// The servers.
    pub world: ServerModel,
    /// What was counted beside.
    pub counted: DriverCounters,
}

enum Event {
    Core(usize, Wake),
    Arrive(usize, Box<AttemptRequest>),
    Said(u64, CallResult, u64),
    Lost(usize, AttemptId, AttemptFailure),
    Probe(usize, EndpointId, Option<bool>),
    /// News of members, from the control feed; the text is that of the sockets.
    Told(usize, String),
    /// A fault between or in routers begins or ends.
    Fault(usize, bool),
}

struct Timed(Time, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Timed) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A call that is out at a server.
struct Out {
    router: usize,
    attempt: AttemptId,
    server: usize,
    write: bool,
}

struct Lab<'a> {
    day: Scenario,
    seats: Vec<RouterSlot>,
    now: Time,
    world: ServerModel,
    clients: Clients,
    routers: Vec<Router>,
    configs: Vec<Config>,
    pool: BufferPool,
    events: BinaryHeap<Reverse<Timed>>,
    seq: u64,
    calls: BTreeMap<u64, Out>,
    by_attempt: HashMap<(usize, AttemptId), u64>,
    next_call: u64,
    /// Clients' requests out: the router, and the try that is meant, by its id on the wire.
    open: BTreeMap<u64, (usize, u64)>,
    told: u64,
    /// The routers' views of each other, and how each router's process stands.
    fleet: Option<RouterCluster>,
    stands: Vec<Process>,
    gave_up: BTreeSet<u64>,
    watch: ViewObservations,
    counted: DriverCounters,
    /// When accounts of limits are looked at next, and since when all who share a cold server know that it is.
    look: Time,
    known: BTreeMap<EndpointId, Time>,
    ended: &'a mut dyn FnMut(RouterSlot, &RouterRecord<'_>),
}

/// How a router's process stands.
#[derive(Debug)]
enum Process {
    Runs,
    Dead,
    /// What came meanwhile waits.
    Stopped(VecDeque<Input>),
}

/// What a recording of a router holds: what it closed, and what it was told.
pub enum RouterRecord<'a> {
    /// A request was closed.
    Ended(&'a RequestSummary),
    /// Members changed.
    Members(Time, &'a [ListedEndpoint]),
    /// Something was purged.
    Purge(Time, Option<u64>, u32),
}

/// The address that stands for a server.
fn endpoint(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + server as u16))
}

fn server_at(addr: SocketAddr) -> usize {
    usize::from(addr.port()) - 10_000
}

/// The configurations of a day's routers, with their names.
///
/// # Errors
/// One can't be used.
pub fn configs(day: &Scenario, seed: u64) -> Result<Vec<(String, Config)>, String> {
    let world = ServerModel::new(day, START, seed);
    let endpoints: Vec<SocketAddr> = (0..world.servers.len()).map(endpoint).collect();
    let one = |seat: RouterSlot| {
        let text = config(day, &world, seat, seed, endpoint(0), &endpoints).to_string();
        Config::read(&text).map(|c| (c.name.clone(), c)).map_err(|e| e.to_string())
    };
    seats(day).into_iter().map(one).collect()
}

/// Plays a day. What routers close and are told goes to `ended` as it happens.
///
/// # Errors
/// A router can't work under the day's settings.
pub fn play(
    day: &Scenario,
    seed: u64,
    ended: &mut dyn FnMut(RouterSlot, &RouterRecord<'_>),
) -> Result<RunResult, String> {
    let world = ServerModel::new(day, START, seed);
    let clients = Clients::new(day, START, seed);
    let (mut routers, mut configs, mut known) = (Vec::new(), Vec::new(), Vec::new());
    for (_, mut config) in self::configs(day, seed)? {
        known.push(std::mem::take(&mut config.known.1));
        routers.push(Router::new(config.setup(), false).map_err(|e| e.to_string())?);
        configs.push(config);
    }
    let mut lab = Lab {
        day: day.clone(),
        seats: seats(day),
        now: START,
        world,
        clients,
        routers,
        configs,
        pool: BufferPool::new(BUFFERS),
        events: BinaryHeap::new(),
        seq: 0,
        calls: BTreeMap::new(),
        by_attempt: HashMap::new(),
        next_call: 1,
        open: BTreeMap::new(),
        told: 1,
        fleet: day.fleet.then(|| RouterCluster::new(day.routers(), seed)),
        stands: (0..day.routers()).map(|_| Process::Runs).collect(),
        gave_up: BTreeSet::new(),
        watch: ViewObservations::default(),
        counted: DriverCounters::default(),
        look: START,
        known: BTreeMap::new(),
        ended,
    };
    lab.begin_fleet();
    for (router, told) in known.into_iter().enumerate() {
        told.into_iter().for_each(|t| lab.tell(router, t));
    }
    lab.run();
    lab.counted.fleet = lab.fleet.as_ref().map(|_| judge(day, &lab.watch));
    Ok(RunResult { start: START, done: lab.clients.done, world: lab.world, counted: lab.counted })
}

impl Lab<'_> {
    fn at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.events.push(Reverse(Timed(at.max(self.now), self.seq, event)));
    }

    fn run(&mut self) {
        let end = START + secs(self.day.seconds);
        let counts = START + secs(self.day.warm_s);
        let mut counting = false;
        loop {
            let own = self.events.peek().map(|Reverse(t)| t.0);
            let fleet = self.fleet.as_ref().and_then(RouterCluster::due).map(|t| t - BEGIN + START);
            let next = [own, self.world.due(), self.clients.due(), fleet].into_iter().flatten().min();
            let Some(next) = next.filter(|_| self.now < end || self.clients.waiting()) else { break };
            if !counting && next >= counts {
                counting = true;
                self.world.count_from(counts);
            }
            if self.now < end && next >= end {
                // What is used is counted while load is offered.
                self.world.advance(end);
                self.world.stop_counting();
            }
            self.now = next;
            self.world.advance(next);
            self.clients.advance(next);
            self.advance_fleet();
            while self.events.peek().is_some_and(|Reverse(t)| t.0 <= next) {
                if let Some(Reverse(Timed(_, _, event))) = self.events.pop() {
                    self.on_event(event);
                }
            }
            self.settle();
            self.look_at_accounts();
        }
    }

    /// Adds up what all routers have used of what cold servers bear.
    fn look_at_accounts(&mut self) {
        if self.now < self.look {
            return;
        }
        self.look = self.now + LOOK;
        // Kind, used, wanted, and how many who share it do not know yet that it is cold.
        let mut sums: BTreeMap<EndpointId, (usize, f64, f64, i64)> = BTreeMap::new();
        for (seat, router) in self.seats.iter().zip(&self.routers) {
            for d in router
                .warm_up_demands(Timestamp::from_micros(self.now))
                .into_iter()
                .filter(|d| d.sharers != QuotaScope::Elsewhere)
            {
                let all = d.sharers == QuotaScope::All;
                let runs = |s: &&RouterSlot| {
                    (all || s.office == seat.office) && !matches!(self.stands[s.number], Process::Dead)
                };
                let sum = sums.entry(d.endpoint).or_insert_with(|| {
                    (usize::from(all), 0.0, 0.0, self.seats.iter().filter(runs).count() as i64)
                });
                (sum.1, sum.2, sum.3) = (sum.1 + d.used, sum.2 + d.wanted, sum.3 - 1);
            }
        }
        self.known.retain(|host, _| sums.contains_key(host));
        for (host, (kind, used, wanted, unaware)) in sums {
            if unaware > 0 {
                self.known.remove(&host);
                continue;
            }
            // What was sent before all knew broke no limit, and counts for a window.
            let since = *self.known.entry(host).or_insert(self.now);
            let account = &mut self.counted.accounts[kind];
            if self.now >= since + crate::model::PUSHED {
                account.worst = account.worst.max(used);
            }
            if wanted >= 1.0 {
                account.used = (account.used.0 + used, account.used.1 + 1);
            }
        }
    }

    fn settle(&mut self) {
        loop {
            let news = std::mem::take(&mut self.world.news);
            let asks = std::mem::take(&mut self.clients.asks);
            let undone = std::mem::take(&mut self.clients.undone);
            if news.is_empty() && asks.is_empty() && undone.is_empty() {
                break;
            }
            news.into_iter().for_each(|n| self.on_news(n));
            asks.into_iter().for_each(|a| self.on_ask(&a));
            for id in undone {
                if let Some((router, rid)) = self.open.remove(&id) {
                    if matches!(self.stands[router], Process::Stopped(_)) {
                        self.gave_up.insert(rid);
                    }
                    self.feed(router, Input::Cancel(ClientHandle { conn: rid, tag: id }));
                }
            }
        }
    }

    fn on_ask(&mut self, ask: &ClientAttempt) {
        let router = self.day.router(ask.office, ask.router);
        let word = |value: u64| hollymux_router::ReceivedNumber {
            text: format!("{value:016x}").into_bytes(),
            value,
        };
        let asked = hollymux_router::ClientRequest {
            request_id: word(ask.rid),
            class: self.day.classes[ask.class].name.clone().into_bytes(),
            object: word(ask.key.0),
            chunk: ask.key.1,
            group: ask.group,
            budget_ms: ask.budget_ms,
            if_none_match: None,
            idempotency_key: None,
            body: self.pool.chain(),
        };
        self.open.insert(ask.id, (router, ask.rid));
        self.feed(router, Input::Request(ClientHandle { conn: ask.rid, tag: ask.id }, asked));
    }

    fn tell(&mut self, router: usize, told: FeedEvent) {
        let now = self.now;
        let seat = self.seats[router];
        match &told {
            FeedEvent::Endpoints { endpoints: lines, .. } => {
                (self.ended)(seat, &RouterRecord::Members(now, lines))
            }
            FeedEvent::Purge { object, group, .. } => {
                (self.ended)(seat, &RouterRecord::Purge(now, *object, *group))
            }
        }
        self.feed(router, Input::Feed(told));
    }

    // ---- routers among themselves ----

    fn begin_fleet(&mut self) {
        for seat in self.seats.iter().filter(|_| self.day.fleet) {
            if let Some(fleet) = &mut self.fleet {
                fleet.place(seat.number, &self.day.offices[seat.office].name);
                let s = &self.configs[seat.number].settings;
                let here = s.router_count_by_zone.get(usize::from(s.zone)).copied().unwrap_or(0);
                fleet.configure(seat.number, s.router_count, here);
                let window = whole_micros(s.overload_window);
                fleet.lease =
                    self.day.limits.then(|| LeaseTimings { usage_window: window, ..LeaseTimings::default() });
                fleet.start(seat.number);
            }
        }
        for (i, f) in self.day.faults.clone().iter().enumerate() {
            self.at(START + secs(f.at_s), Event::Fault(i, true));
            if let Some(long) = f.for_s {
                self.at(START + secs(f.at_s + long), Event::Fault(i, false));
            }
        }
    }

    /// Lets the views come up to now, and tells the cores how many may be at work.
    fn advance_fleet(&mut self) {
        let Some(mut fleet) = self.fleet.take() else { return };
        let now_s = (self.now - START) as f64 / 1e6;
        if self.day.limits && fleet.due().is_some_and(|due| due - BEGIN + START <= self.now) {
            let runs = |r: &usize| matches!(self.stands[*r], Process::Runs);
            for r in (0..self.routers.len()).filter(runs) {
                fleet.demand(r, self.routers[r].warm_up_demands(Timestamp::from_micros(self.now)));
            }
        }
        fleet.run((self.now - START + BEGIN).saturating_sub(fleet.now));
        for (_, by, change) in std::mem::take(&mut fleet.told) {
            if let MembershipChange::Updated { address: of, record: r, .. } = &change {
                if r.state == MemberState::Failed {
                    self.watch.lost.extend(place_at(*of).map(|of| (now_s, by, of)));
                }
            }
            if let (Some(view), Process::Runs) = (fleet.view(by), &self.stands[by]) {
                let divisors = view.quota_divisors(&self.configs[by].settings);
                self.routers[by].count_routers(divisors.all, divisors.own_zone);
            }
        }
        for r in std::mem::take(&mut fleet.touched) {
            if let Some(limits) = fleet.limits(r).filter(|_| matches!(self.stands[r], Process::Runs)) {
                // The cores' clock is ahead of the views'.
                let mut allocation = limits.allocation(fleet.now);
                for part in allocation.endpoints.values_mut().filter(|p| p.until != Timestamp::MAX) {
                    part.until = Timestamp::from_micros(part.until.as_micros() - BEGIN + START);
                }
                let homes = (allocation.share_of_all, allocation.share_of_own_zone);
                self.routers[r].lease(homes, allocation.endpoints);
            }
        }
        if self.watch.agreed.is_none() && now_s > quiet_from(&self.day) && fleet.same(&fleet.up()) {
            self.watch.agreed = Some(now_s);
        }
        self.watch.bytes = fleet.sent.1;
        self.fleet = Some(fleet);
    }

    fn on_fault(&mut self, i: usize, begins: bool) {
        let what = self.day.faults[i].what.clone();
        for (from, to, link) in links(&self.day, &what) {
            if let Some(fleet) = &mut self.fleet {
                fleet.fault(&from, &to, if begins { link } else { Default::default() });
            }
        }
        match (&what, begins) {
            (FaultKind::Kill { routers }, true) => places(routers).into_iter().for_each(|r| self.kill(r)),
            (FaultKind::Kill { routers }, false) => places(routers).into_iter().for_each(|r| self.start(r)),
            (FaultKind::Pause { routers }, true) => places(routers).into_iter().for_each(|r| {
                self.stands[r] = Process::Stopped(VecDeque::new());
                self.fleet.iter_mut().for_each(|f| f.pause(r));
            }),
            (FaultKind::Pause { routers }, false) => places(routers).into_iter().for_each(|r| {
                let stood = std::mem::replace(&mut self.stands[r], Process::Runs);
                self.fleet.iter_mut().for_each(|f| f.resume(r));
                if let Process::Stopped(waits) = stood {
                    waits.into_iter().for_each(|input| self.feed(r, input));
                }
            }),
            _ => {}
        }
    }

    /// A router's process ends: what was open there is lost, and its attempts are given up.
    fn kill(&mut self, router: usize) {
        self.stands[router] = Process::Dead;
        self.fleet.iter_mut().for_each(|f| f.kill(router));
        let asked: Vec<u64> = self.open.iter().filter(|(_, o)| o.0 == router).map(|(id, _)| *id).collect();
        for id in asked {
            self.open.remove(&id);
            self.clients.answered(self.now, id, ClientOutcome::Lost);
        }
        let out: Vec<u64> =
            self.calls.iter().filter(|(_, o)| o.router == router).map(|(id, _)| *id).collect();
        for id in out {
            self.calls.remove(&id);
            self.world.quit(self.now, id);
        }
        self.by_attempt.retain(|(r, _), _| *r != router);
        // What was on its way to that process means nothing to the next one.
        self.events.retain(|Reverse(Timed(_, _, event))| match event {
            Event::Core(r, _) | Event::Arrive(r, _) | Event::Lost(r, ..) | Event::Probe(r, ..) => {
                *r != router
            }
            Event::Said(..) | Event::Told(..) | Event::Fault(..) => true,
        });
    }

    /// It starts anew, knowing nothing but its configuration of now.
    fn start(&mut self, router: usize) {
        let endpoints: Vec<SocketAddr> = (0..self.world.servers.len()).map(endpoint).collect();
        let seat = self.seats[router];
        let text = config(&self.day, &self.world, seat, self.now, endpoint(0), &endpoints).to_string();
        // What could be read at the start of the day can be read now.
        let Ok(mut config) = Config::read(&text) else { return };
        let known = std::mem::take(&mut config.known.1);
        let Ok(core) = Router::new(config.setup(), false) else { return };
        (self.routers[router], self.configs[router]) = (core, config);
        self.stands[router] = Process::Runs;
        self.fleet.iter_mut().for_each(|f| f.start(router));
        known.into_iter().for_each(|t| self.tell(router, t));
    }

    /// Hands a router one input and carries out what it wants, as the driver on sockets does.
    fn feed(&mut self, router: usize, input: Input) {
        match &mut self.stands[router] {
            Process::Runs => {}
            Process::Stopped(waits) => return waits.push_back(input),
            Process::Dead => {
                if let Input::Request(client, _) = input {
                    self.open.remove(&client.tag);
                    self.clients.answered(self.now, client.tag, ClientOutcome::Lost);
                }
                return;
            }
        }
        let mut inbox = VecDeque::from([input]);
        let mut commands = Vec::new();
        while let Some(input) = inbox.pop_front() {
            self.routers[router].handle(Timestamp::from_micros(self.now), input, &mut commands);
            for command in std::mem::take(&mut commands) {
                self.carry_out(router, command, &mut inbox);
            }
        }
    }

    fn carry_out(&mut self, router: usize, command: Command, inbox: &mut VecDeque<Input>) {
        match command {
            Command::SendAttempt(order) => self.at(self.now + WAY, Event::Arrive(router, Box::new(order))),
            Command::CancelAttempt { attempt, .. } => {
                if let Some(id) = self.by_attempt.remove(&(router, attempt)) {
                    self.calls.remove(&id);
                    self.world.quit(self.now, id);
                }
            }
            Command::Reply(client, reply) => {
                // Who gave up while the router stood still is still answered: it has not read that yet.
                if self.gave_up.remove(&client.conn) {
                    return;
                }
                let meant = self.open.get(&client.tag).is_some_and(|o| o.1 == client.conn);
                if !meant || self.open.remove(&client.tag).is_none() {
                    self.counted.answers_wrong += 1;
                    return;
                }
                let got = match reply {
                    Reply::Served(digest, _) => ClientOutcome::Served(age(self.now, digest.as_deref())),
                    Reply::NotModified(_) => ClientOutcome::Served(0),
                    Reply::Rejected(ms) => ClientOutcome::Refused(ms * MS),
                    Reply::Failed => ClientOutcome::Failed,
                };
                self.clients.answered(self.now, client.tag, got);
            }
            Command::Wake(at, wake) => self.at(at.as_micros(), Event::Core(router, wake)),
            Command::Probe(host, addr) => {
                let server = server_at(addr);
                let (after, well) = match self.world.servers[server].stand {
                    ServerState::Up => (2 * WAY, Some(self.world.well(server))),
                    ServerState::Down => (2 * WAY, None),
                    ServerState::Cut => (DIAL, None),
                };
                self.at(self.now + after, Event::Probe(router, host, well));
            }
            Command::CloseConnections(host) => {
                let of = |uid: &str| hollymux_router::endpoint_id(uid) == host;
                let server = self.world.servers.iter().position(|s| of(&s.uid));
                let gone = self.calls.iter().filter(|(_, o)| o.router == router && Some(o.server) == server);
                let gone: Vec<u64> = gone.map(|(id, _)| *id).collect();
                for id in gone {
                    if let Some(out) = self.calls.remove(&id) {
                        self.by_attempt.remove(&(router, out.attempt));
                        self.world.quit(self.now, id);
                        inbox.push_back(Input::Failed(out.attempt, AttemptFailure::ConnectionLost));
                    }
                }
            }
            Command::RequestEnded(ended) => (self.ended)(self.seats[router], &RouterRecord::Ended(&ended)),
            Command::StopSending(_) | Command::Lookup(..) | Command::AttemptEnded(..) | Command::Log(_) => {}
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Core(router, wake) => self.feed(router, Input::Wake(wake)),
            Event::Arrive(router, order) => self.arrive(router, &order),
            Event::Said(id, word, bytes) => {
                let Some(out) = self.calls.remove(&id) else { return };
                self.by_attempt.remove(&(out.router, out.attempt));
                let said = self.said(word, bytes, out.write);
                self.feed(out.router, Input::Responded(out.attempt, said, None));
            }
            Event::Fault(i, begins) => self.on_fault(i, begins),
            Event::Lost(router, attempt, lost) => self.feed(router, Input::Failed(attempt, lost)),
            Event::Probe(router, host, well) => self.feed(router, Input::Probed(host, well)),
            Event::Told(router, text) => {
                let message = self.configs[router].names.parse_event(text.as_bytes());
                if let Ok(FeedMessage { event: Some(told), .. }) = message {
                    self.tell(router, told);
                }
            }
        }
    }

    fn said(&self, word: CallResult, bytes: u64, write: bool) -> AttemptResponse {
        match word {
            CallResult::Data(dated) => {
                let mut body = self.pool.chain();
                let zeros = [0u8; 4_096];
                let mut left = bytes as usize;
                while left > 0 && body.extend(&zeros[..left.min(zeros.len())]).is_ok() {
                    left -= left.min(zeros.len());
                }
                AttemptResponse::Data((!write).then(|| format!("{dated:x}").into_bytes()), body)
            }
            CallResult::Absent => AttemptResponse::Absent,
            CallResult::Full => AttemptResponse::AtCapacity,
            CallResult::Failed => AttemptResponse::Failed,
        }
    }

    fn arrive(&mut self, router: usize, order: &AttemptRequest) {
        let server = server_at(order.target.addr);
        match self.world.servers[server].stand {
            ServerState::Up => {}
            ServerState::Down => {
                return self.at(
                    self.now + WAY,
                    Event::Lost(router, order.attempt, AttemptFailure::ConnectionRefused),
                );
            }
            ServerState::Cut => return,
        }
        let id = self.next_call;
        self.next_call += 1;
        self.counted.attempts += 1;
        let write = self.day.classes[usize::from(order.class)].write;
        self.calls.insert(id, Out { router, attempt: order.attempt, server, write });
        self.by_attempt.insert((router, order.attempt), id);
        let f = &order.target.fill;
        let source = order.target.source.as_ref();
        let known = source.and_then(|uid| self.world.servers.iter().position(|s| s.uid == **uid));
        if source.is_some() && known.is_none() {
            // It names what is gone.
            return self.world.news.push(ModelEvent::Answer(id, CallResult::Full, 0));
        }
        let class = usize::from(order.class);
        let key = (order.request.object.value, order.request.chunk);
        let call = Call {
            class,
            key,
            group: order.request.group,
            bytes: self.clients.objects.bytes(class, key),
            rid: order.request.request_id.value,
            accept: f.max_age.map(whole_micros),
            keep: f.retention,
            source: known,
            join: f.coalesce,
            shallow: f.only_if_cached,
        };
        self.world.call(self.now, id, server, call);
    }

    fn on_news(&mut self, news: ModelEvent) {
        match news {
            ModelEvent::Answer(id, word, bytes) => self.at(self.now + WAY, Event::Said(id, word, bytes)),
            ModelEvent::Stands(server, ServerState::Down) => {
                let hit: Vec<u64> =
                    self.calls.iter().filter(|(_, o)| o.server == server).map(|(id, _)| *id).collect();
                for id in hit {
                    if let Some(out) = self.calls.remove(&id) {
                        self.by_attempt.remove(&(out.router, out.attempt));
                        self.at(
                            self.now + WAY,
                            Event::Lost(out.router, out.attempt, AttemptFailure::ConnectionLost),
                        );
                    }
                }
            }
            ModelEvent::Stands(..) => {}
            ModelEvent::Line(server, told, state) => {
                let text = line(&self.day, &told, endpoint(server), state);
                self.told += 1;
                let n = self.told;
                let text =
                    format!("{{\"n\":{n},\"members\":{{\"rev\":{n},\"all\":false,\"targets\":[{text}]}}}}");
                let at = self.now + crate::news_lag(&self.day, self.now - START);
                self.world.told_line(server, state, at);
                (0..self.routers.len()).for_each(|r| self.at(at, Event::Told(r, text.clone())));
            }
            ModelEvent::Purge(object, group, at) => {
                self.told += 1;
                let text = crate::purge_event(self.told, object, group, at);
                let when = self.now + PURGE_TOLD;
                (0..self.routers.len()).for_each(|r| self.at(when, Event::Told(r, text.clone())));
            }
        }
    }
}

/// How old a copy is, by its tag, which the laboratory's servers make from its date.
pub fn age(now: Time, digest: Option<&[u8]>) -> Time {
    let dated =
        digest.and_then(|d| std::str::from_utf8(d).ok()).and_then(|d| Time::from_str_radix(d, 16).ok());
    dated.map_or(0, |d| now.saturating_sub(d))
}
