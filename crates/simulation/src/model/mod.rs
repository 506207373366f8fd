//! The servers of a day: boxes, hubs and the library, with what they keep and the links between them. It is fed
//! calls and time, and knows neither sockets nor routers.
//!
//! A transfer runs over each of its links at once and has ended when all of them have carried it; what passes on a
//! fill starts when the fill's first byte is there and ends no sooner than the fill.

use crate::lru_cache::{Cache, Key};
use crate::scenario::{FaultKind, Scenario};
use crate::shared_link::Pipe;
use crate::{Time, MS, SEC};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

/// A fill runs at most so many times as fast as a transfer to a client.
const FILL_PACE: f64 = 3.0;
/// The way to a box, to its hub, to another hub, and from a hub to the library.
const NEAR: Time = 6 * MS;
const FAR: Time = 30 * MS;
const LIBRARY: Time = 10 * MS;
/// A box's work for a request besides sending, its places for requests, and its fills for each core.
const WORK: f64 = 1_500.0;
const SLOTS_PER_CORE: f64 = 40.0;
const FILLS_PER_CORE: f64 = 5.0;
/// A fill of which nothing has come by then is given up.
const FILL_WAIT: Time = 2_500 * MS;
/// Purged copies are gone everywhere after this.
pub const PURGED: Time = 6 * SEC;
/// Cold boxes and hubs: the share that they start at, the time until they are warm, the multiple that pushes them
/// over, and how long they must be pushed.
pub const COLD: (f64, Time, f64) = (0.18, 17 * SEC, 2.5);
/// The same for hubs.
pub const COLD_HUB: (f64, Time, f64) = (0.07, 18 * SEC, 2.0);
/// See [`COLD`].
pub const PUSHED: Time = 1_500 * MS;
/// The rule on cold servers is broken when this part of what pushed one over came from routers told of its start.
const TOLD_PART: f64 = 2.0 / 3.0;
/// The library stops for this long when it is asked for more than this many times what it turns away.
const LIBRARY_FALLS: (f64, Time) = (2.5, 5 * SEC);

/// What a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A box of an office.
    Box(usize),
    /// A hub.
    ParentCache(usize),
    /// The library.
    Origin,
}

/// How a server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It runs.
    Up,
    /// Its process is gone.
    Down,
    /// Nothing reaches it or comes from it.
    Cut,
}

/// A request as it reaches a server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The class.
    pub class: usize,
    /// The object's part.
    pub key: Key,
    /// The object's group.
    pub group: u32,
    /// Its size.
    pub bytes: u64,
    /// The id.
    pub rid: u64,
    /// The oldest copy that will do; none: the class's fresh time.
    pub accept: Option<Time>,
    /// The rank at which it is kept.
    pub keep: u8,
    /// The source of a fill.
    pub source: Option<usize>,
    /// It joins a fill under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub shallow: bool,
}

/// What a server says to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Served with a copy of that date.
    Data(Time),
    /// A miss.
    Absent,
    /// Turned away.
    Full,
    /// An error.
    Failed,
}

/// What the world tells.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelEvent {
    /// A call is answered.
    Answer(u64, CallResult, u64),
    /// A server stands differently; calls out at one that is down are broken.
    Stands(usize, ServerState),
    /// Routers are to hear of this server, as it was then: its line of the list.
    Line(usize, Box<Server>, &'static str),
    /// Routers are to hear of a purge.
    Purge(Option<u64>, u32, Time),
}

/// A server as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name in the day.
    pub name: String,
    /// Its id on the sockets; new with each replacement.
    pub uid: String,
    /// What it is.
    pub kind: Kind,
    /// How it stands.
    pub stand: ServerState,
    /// Its listed size, in flows.
    pub flows: f64,
    /// When it last started; 0: before the day.
    pub started: Time,
}

#[derive(Debug)]
struct Engine {
    out: Pipe,
    cache: Cache,
    rate: f64,
    slow: f64,
    cores: usize,
    busy: usize,
    queue: VecDeque<Work>,
    slots: usize,
    held: usize,
    fills: usize,
    fills_most: usize,
    /// Lately offered work, in bytes, while cold.
    pushed: VecDeque<(Time, f64)>,
    worked: f64,
    turned: u64,
    fills_max: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Work {
    Job(u64),
    /// A fetch's work at the library.
    Fetch(u64),
    /// A filing at the library, for a job.
    Filing(u64),
}

#[derive(Debug)]
struct Job {
    id: u64,
    server: usize,
    call: Call,
    dated: Time,
    /// What must still end: its transfer, the fill behind it.
    left: usize,
    leg: Option<u64>,
    fetch: Option<u64>,
    came: Time,
}

/// A copy on its way from one server to another.
#[derive(Debug)]
struct Fetch {
    to: usize,
    from: usize,
    key: Key,
    group: u32,
    class: usize,
    bytes: u64,
    since: Time,
    keep: u8,
    shallow: bool,
    dated: Time,
    begun: bool,
    left: usize,
    legs: Vec<(usize, u64)>,
    jobs: Vec<u64>,
    fetches: Vec<u64>,
    behind: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Pipe(usize, u64),
    Done(usize, Work, u64),
    Arrive(u64),
    Overdue(u64),
    Warm(usize),
    Fault(usize, bool),
    Drop(usize, Option<u64>, u32, Time),
    Purge,
}

#[derive(Clone, Copy, Debug)]
enum Owner {
    Job(u64),
    Fetch(u64),
}

/// Work that reaches cold servers within a window, as a part of what all routers together may send: [`COLD_USE`] times
/// what the server does at that moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdUse {
    /// The most.
    pub worst: f64,
    /// Added up over so many looks, four a second at each that is cold.
    pub used: (f64, u64),
}

/// What routers together send to a cold server, as a multiple of what it does (docs/design.md).
const COLD_USE: f64 = 1.2;

/// The same in bytes within a window.
fn cold_budget(share: f64, rate: f64) -> f64 {
    COLD_USE * share * rate * PUSHED as f64 / 1e6
}

/// Rules that the world saw broken, by name.
pub type Broken = BTreeMap<&'static str, u64>;

/// How much a resource was used.
#[derive(Clone, Debug)]
pub struct Use {
    /// Its name.
    pub name: String,
    /// The part of what it can do that was used, over the time that counts.
    pub part: f64,
    /// Bytes carried, where it is a link.
    pub bytes: Option<f64>,
}

/// When something was purged: an object, or a whole group.
type Purged = (Time, Option<u64>, u32);

/// Whether a copy of that date is older than a purge of it.
fn binds(p: &Purged, object: u64, group: u32, dated: Time) -> bool {
    p.1.map_or(p.2 == group, |o| o == object) && dated < p.0
}

/// The servers.
#[derive(Debug)]
pub struct ServerModel {
    day: Scenario,
    now: Time,
    rng: Pcg64Mcg,
    /// The servers, as the list names them.
    pub servers: Vec<Server>,
    engines: Vec<Engine>,
    /// One link in for each office.
    inlets: Vec<Pipe>,
    turns: Vec<u64>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    seq: u64,
    jobs: HashMap<u64, Job>,
    fetches: HashMap<u64, Fetch>,
    running: HashMap<(usize, Key), u64>,
    legs: HashMap<u64, Owner>,
    next_id: u64,
    lives: Vec<u64>,
    /// Calls of the last second, and those of them that were taken.
    library_calls: VecDeque<Time>,
    library_taken: VecDeque<Time>,
    library_rests: Time,
    filings: BTreeSet<u64>,
    recent: VecDeque<(u64, u32)>,
    purges: Vec<Purged>,
    draining: BTreeMap<usize, Time>,
    /// When routers are told of the latest start of each.
    told: BTreeMap<usize, Time>,
    /// What it has to tell.
    pub news: Vec<ModelEvent>,
    /// Rules broken.
    pub broken: Broken,
    /// Cold servers that fell before routers were told of their start: no rule is broken by what nobody knew.
    pub fell_untold: u64,
    /// Joint work at cold boxes, and at cold hubs.
    pub cold_use: [ColdUse; 2],
    /// How often the library stopped because it was asked for too much.
    pub library_fell: u64,
    /// Calls of the library in all.
    pub fetched: u64,
    base: Vec<(f64, f64)>,
    counted_from: Time,
    /// What was used when counting ended.
    final_use: Option<(Vec<Use>, f64)>,
}

impl ServerModel {
    /// The servers of a day that starts then, all warm and empty.
    pub fn new(day: &Scenario, start: Time, seed: u64) -> ServerModel {
        let flow = day.flow_bytes_per_s;
        let (mut servers, mut engines) = (Vec::new(), Vec::new());
        let mut put = |name: &str, kind, flows: f64, cap: f64, keep, cores: f64, fills: usize| {
            servers.push(Server {
                name: name.to_string(),
                uid: format!("s-{name}"),
                kind,
                stand: ServerState::Up,
                flows,
                started: 0,
            });
            engines.push(Engine {
                out: Pipe::new(flows * flow, cap),
                cache: Cache::new(keep),
                rate: flows * flow,
                slow: 1.0,
                cores: cores.ceil() as usize,
                busy: 0,
                queue: VecDeque::new(),
                slots: (cores * SLOTS_PER_CORE) as usize,
                held: 0,
                fills: 0,
                fills_most: fills,
                pushed: VecDeque::new(),
                worked: 0.0,
                turned: 0,
                fills_max: 0,
            });
        };
        for (i, o) in day.offices.iter().enumerate() {
            let fills = (o.cores * FILLS_PER_CORE).ceil() as usize;
            for name in day.boxes(i) {
                put(&name, Kind::Box(i), o.link_flows, flow, o.keep_bytes, o.cores, fills);
            }
        }
        for (i, h) in day.hubs.iter().enumerate() {
            put(&h.name, Kind::ParentCache(i), h.link_flows, FILL_PACE * flow, h.keep_bytes, 64.0, h.fetches);
        }
        let l = &day.library;
        put("library", Kind::Origin, l.link_flows, FILL_PACE * flow, 0, l.workers as f64, 0);
        let inlet = |o: &crate::scenario::Site| Pipe::new(o.link_in_flows * flow, FILL_PACE * flow);
        let inlets: Vec<Pipe> = day.offices.iter().map(inlet).collect();
        let pipes = engines.len() + inlets.len();
        let mut world = ServerModel {
            day: day.clone(),
            now: start,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x776f_726c),
            lives: vec![0; servers.len()],
            servers,
            engines,
            inlets,
            turns: vec![0; pipes],
            events: BinaryHeap::new(),
            seq: 0,
            jobs: HashMap::new(),
            fetches: HashMap::new(),
            running: HashMap::new(),
            legs: HashMap::new(),
            next_id: 1,
            library_calls: VecDeque::new(),
            library_taken: VecDeque::new(),
            library_rests: 0,
            library_fell: 0,
            filings: BTreeSet::new(),
            recent: VecDeque::new(),
            purges: Vec::new(),
            draining: BTreeMap::new(),
            told: BTreeMap::new(),
            news: Vec::new(),
            broken: Broken::new(),
            fell_untold: 0,
            cold_use: Default::default(),
            fetched: 0,
            base: vec![(0.0, 0.0); pipes],
            counted_from: start,
            final_use: None,
        };
        for (i, f) in day.faults.iter().enumerate() {
            world.at(start + secs(f.at_s), Event::Fault(i, true));
            if let Some(long) = f.for_s {
                world.at(start + secs(f.at_s + long), Event::Fault(i, false));
            }
        }
        if day.purges_per_s > 0.0 {
            world.at(start + SEC, Event::Purge);
        }
        world
    }

    fn at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at.max(self.now), self.seq, event)));
    }

    /// When something happens by itself.
    pub fn due(&self) -> Option<Time> {
        self.events.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Lets time pass up to then.
    pub fn advance(&mut self, now: Time) {
        while self.due().is_some_and(|at| at <= now) {
            if let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = self.now.max(at);
                self.on_event(event);
            }
        }
        self.now = self.now.max(now);
    }

    /// From now on use is counted.
    pub fn count_from(&mut self, now: Time) {
        self.counted_from = now;
        self.turn_pipes();
        let n = self.engines.len();
        for i in 0..n {
            self.base[i] = (self.engines[i].out.carried, self.engines[i].worked);
        }
        for (i, inlet) in self.inlets.iter().enumerate() {
            self.base[n + i] = (inlet.carried, 0.0);
        }
    }

    /// Use is counted no longer.
    pub fn stop_counting(&mut self) {
        self.turn_pipes();
        self.final_use = Some((self.used(), self.filled()));
    }

    /// Further resources, whose use was counted elsewhere.
    pub fn also_used(&mut self, more: Vec<Use>) {
        if let Some((used, _)) = &mut self.final_use {
            used.extend(more);
        }
    }

    /// Brings what links have carried up to now.
    fn turn_pipes(&mut self) {
        for pipe in 0..self.base.len() {
            let now = self.now;
            self.pipe(pipe).turn(now);
        }
    }

    /// How much each resource was used since then.
    pub fn used(&self) -> Vec<Use> {
        if let Some((used, _)) = &self.final_use {
            return used.clone();
        }
        let span = self.now.saturating_sub(self.counted_from).max(1) as f64 / 1e6;
        let n = self.engines.len();
        let mut all = Vec::new();
        for (i, (s, e)) in self.servers.iter().zip(&self.engines).enumerate() {
            let bytes = e.out.carried - self.base[i].0;
            let (name, part) = (format!("{} link out", s.name), bytes / (e.rate * span));
            all.push(Use { name, part, bytes: Some(bytes) });
            if s.kind == Kind::Origin || matches!(s.kind, Kind::Box(_)) {
                let cores = (e.worked - self.base[i].1) / 1e6 / (e.cores as f64 * span);
                let what = if s.kind == Kind::Origin { "workers" } else { "cores" };
                all.push(Use { name: format!("{} {what}", s.name), part: cores, bytes: None });
            }
            if e.fills_most > 0 {
                let part = e.fills_max as f64 / e.fills_most as f64;
                all.push(Use { name: format!("{} fill places (most)", s.name), part, bytes: None });
            }
        }
        for (i, (o, inlet)) in self.day.offices.iter().zip(&self.inlets).enumerate() {
            let rate = o.link_in_flows * self.day.flow_bytes_per_s;
            let bytes = inlet.carried - self.base[n + i].0;
            let (name, part) = (format!("{} link in", o.name), bytes / (rate * span));
            all.push(Use { name, part, bytes: Some(bytes) });
        }
        all
    }

    /// Bytes carried by the offices' links in, since the use was counted.
    pub fn filled(&self) -> f64 {
        if let Some((_, filled)) = &self.final_use {
            return *filled;
        }
        let n = self.engines.len();
        self.inlets.iter().enumerate().map(|(i, p)| p.carried - self.base[n + i].0).sum()
    }

    /// Calls turned away, by server.
    pub fn turned_away(&self) -> Vec<(String, u64)> {
        let all = self.servers.iter().zip(&self.engines);
        all.filter(|(_, e)| e.turned > 0).map(|(s, e)| (s.name.clone(), e.turned)).collect()
    }

    fn broke(&mut self, rule: &'static str) {
        *self.broken.entry(rule).or_default() += 1;
    }

    // ---- links ----

    fn pipe(&mut self, i: usize) -> &mut Pipe {
        let n = self.engines.len();
        if i < n {
            &mut self.engines[i].out
        } else {
            &mut self.inlets[i - n]
        }
    }

    fn schedule(&mut self, pipe: usize) {
        self.turns[pipe] += 1;
        let turn = self.turns[pipe];
        if let Some(at) = self.pipe(pipe).due() {
            self.at(at, Event::Pipe(pipe, turn));
        }
    }

    fn put_leg(&mut self, pipe: usize, bytes: u64, owner: Owner) -> u64 {
        let (leg, now) = (self.next_id, self.now);
        self.next_id += 1;
        self.legs.insert(leg, owner);
        self.pipe(pipe).add(now, leg, bytes as f64);
        self.schedule(pipe);
        leg
    }

    fn drop_leg(&mut self, pipe: usize, leg: u64) {
        if self.legs.remove(&leg).is_some() {
            let now = self.now;
            self.pipe(pipe).drop(now, leg);
            self.schedule(pipe);
        }
    }

    // ---- calls ----

    /// A call reaches a server that is up; its answer comes as news under that id.
    pub fn call(&mut self, now: Time, id: u64, server: usize, call: Call) {
        self.advance(now);
        let drained = |t: &Time| now > *t + 550 * MS;
        let to = self.draining.get(&server).is_some_and(drained);
        if to || call.source.and_then(|s| self.draining.get(&s)).is_some_and(drained) {
            self.broke("drain");
        }
        self.push(server, call.class);
        let e = &mut self.engines[server];
        if self.servers[server].stand != ServerState::Up {
            return;
        }
        if e.held >= e.slots {
            e.turned += 1;
            return self.news.push(ModelEvent::Answer(id, CallResult::Full, 0));
        }
        e.held += 1;
        self.recent.push_back((call.key.0, call.group));
        if self.recent.len() > 64 {
            self.recent.pop_front();
        }
        let job = Job { id, server, call, dated: 0, left: 0, leg: None, fetch: None, came: now };
        self.jobs.insert(id, job);
        self.work(server, Work::Job(id));
    }

    /// A probe's answer: whether the server is well.
    pub fn well(&self, server: usize) -> bool {
        let e = &self.engines[server];
        self.servers[server].stand == ServerState::Up && e.held < e.slots
    }

    /// A call is given up.
    pub fn quit(&mut self, now: Time, id: u64) {
        self.advance(now);
        if let Some(job) = self.jobs.remove(&id) {
            self.engines[job.server].held -= 1;
            self.forget(job);
        }
    }

    /// Takes a job's transfer off, and its fill if nobody else waits for that.
    fn forget(&mut self, job: Job) {
        if let Some(leg) = job.leg {
            self.drop_leg(job.server, leg);
        }
        if let Some(id) = job.fetch {
            let Some(f) = self.fetches.get_mut(&id) else { return };
            f.jobs.retain(|j| *j != job.id);
            if f.jobs.is_empty() && f.fetches.is_empty() {
                self.end_fetch(id, false);
            }
        }
    }

    fn answer(&mut self, id: u64, word: CallResult) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let e = &mut self.engines[job.server];
        e.held -= 1;
        e.turned += u64::from(word == CallResult::Full);
        let bytes = if matches!(word, CallResult::Data(_)) { job.call.bytes } else { 0 };
        if let CallResult::Data(dated) = word {
            // What was told 300 ms before the request was sent binds, and a little for the way.
            let lag = 350 * MS;
            let (key, group) = (job.call.key.0, job.call.group);
            let told = |p: &Purged| binds(p, key, group, dated) && job.came > p.0 + lag + PURGE_TOLD;
            if !self.day.classes[job.call.class].write && self.purges.iter().any(told) {
                self.broke("purge");
            }
        }
        self.news.push(ModelEvent::Answer(id, word, bytes));
        self.forget(job);
    }

    // ---- work ----

    fn work(&mut self, server: usize, work: Work) {
        let e = &mut self.engines[server];
        if e.busy < e.cores {
            e.busy += 1;
            self.begin(server, work);
        } else {
            e.queue.push_back(work);
        }
    }

    fn begin(&mut self, server: usize, work: Work) {
        let mean = match work {
            Work::Job(_) => WORK,
            // It slows down when it is crowded.
            Work::Fetch(_) | Work::Filing(_) => {
                let e = &self.engines[server];
                let crowd = e.queue.len() as f64 / e.cores as f64;
                self.day.library.service_ms * 1e3 * (1.0 + 0.25 * crowd.min(4.0))
            }
        };
        let long = mean * (0.5 + self.rng.random::<f64>());
        self.engines[server].worked += long;
        let life = self.lives[server];
        self.at(self.now + long as Time, Event::Done(server, work, life));
    }

    fn on_done(&mut self, server: usize, work: Work) {
        let next = self.engines[server].queue.pop_front();
        match next {
            Some(next) => self.begin(server, next),
            None => self.engines[server].busy -= 1,
        }
        match work {
            Work::Job(id) => self.serve(id),
            Work::Fetch(id) => self.give(id),
            Work::Filing(id) => self.answer(id, CallResult::Data(self.now)),
        }
    }

    /// Whether the library takes a call now.
    fn library_takes(&mut self) -> bool {
        let most = self.day.library.turn_away_per_s;
        self.fetched += 1;
        let library = self.servers.len() - 1;
        if self.now < self.library_rests || self.servers[library].stand != ServerState::Up {
            return false;
        }
        let since = self.now.saturating_sub(SEC);
        while self.library_calls.front().is_some_and(|t| *t < since) {
            self.library_calls.pop_front();
        }
        self.library_calls.push_back(self.now);
        let lately = self.library_calls.len() as f64;
        if most > 0.0 && lately > LIBRARY_FALLS.0 * most {
            self.library_rests = self.now + LIBRARY_FALLS.1;
            self.library_fell += 1;
        }
        while self.library_taken.front().is_some_and(|t| *t < since) {
            self.library_taken.pop_front();
        }
        let takes = most <= 0.0 || (self.library_taken.len() as f64) < most;
        if takes {
            self.library_taken.push_back(self.now);
        }
        self.engines[library].turned += u64::from(!takes);
        takes
    }

    /// A server has read a call and looks for what it asks.
    fn serve(&mut self, id: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (server, call, now) = (job.server, job.call.clone(), self.now);
        let library = self.servers.len() - 1;
        let class = &self.day.classes[call.class];
        if class.write {
            let at = |s: usize| !matches!(self.servers[s].kind, Kind::Box(_));
            let goes = server == library || call.source.is_some_and(at);
            return match goes {
                false => self.answer(id, CallResult::Absent),
                true if !self.library_takes() => self.answer(id, CallResult::Full),
                true => {
                    // From here on it runs, whoever still waits for it.
                    if !self.filings.insert(call.rid) {
                        self.broke("filing run twice");
                    }
                    self.work(library, Work::Filing(id));
                }
            };
        }
        let fresh = secs(class.fresh_s);
        let accept = call.accept.or((fresh > 0).then_some(fresh));
        let since = accept.map_or(0, |a| now.saturating_sub(a));
        if server == library {
            return match self.library_takes() {
                true => self.send(id, now),
                false => self.answer(id, CallResult::Full),
            };
        }
        if let Some(dated) = self.engines[server].cache.find(call.key, since, call.keep) {
            return self.send(id, dated);
        }
        let source =
            call.source.or(matches!(self.servers[server].kind, Kind::ParentCache(_)).then_some(library));
        let Some(source) = source.filter(|s| *s != server) else {
            return self.answer(id, CallResult::Absent);
        };
        let running = self.running.get(&(server, call.key)).copied();
        let joins = running.filter(|f| self.fetches.get(f).is_some_and(|f| f.since >= since));
        // Boxes join a fill only when told to, hubs always.
        let hub = matches!(self.servers[server].kind, Kind::ParentCache(_));
        let fetch = match joins.filter(|_| call.join || hub) {
            Some(fetch) => fetch,
            None => {
                let keep = if hub { 1 } else { call.keep };
                match self.fetch(server, source, &call, since, keep) {
                    Some(fetch) => fetch,
                    None => return self.answer(id, CallResult::Full),
                }
            }
        };
        let begun = self.fetches.get(&fetch).is_some_and(|f| f.begun);
        if let Some(f) = self.fetches.get_mut(&fetch) {
            f.jobs.push(id);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.fetch = Some(fetch);
        }
        if begun {
            self.pass_on(id);
        }
    }

    /// Sends what a server has.
    fn send(&mut self, id: u64, dated: Time) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        (job.dated, job.left) = (dated, 1);
        let (server, bytes) = (job.server, job.call.bytes);
        let leg = self.put_leg(server, bytes, Owner::Job(id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.leg = Some(leg);
        }
    }

    /// Sends what is being filled, as it comes.
    fn pass_on(&mut self, id: u64) {
        self.send(id, 0);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.left = 2;
        }
    }

    fn job_step(&mut self, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.left -= 1;
        if job.left == 0 {
            let dated = job.dated;
            self.answer(id, CallResult::Data(dated));
        }
    }

    // ---- fills ----

    /// Starts a fill; none if there is no place for it.
    fn fetch(&mut self, to: usize, from: usize, call: &Call, since: Time, keep: u8) -> Option<u64> {
        let e = &mut self.engines[to];
        if e.fills >= e.fills_most {
            return None;
        }
        e.fills += 1;
        e.fills_max = e.fills_max.max(e.fills);
        let id = self.next_id;
        self.next_id += 1;
        let fetch = Fetch {
            to,
            from,
            key: call.key,
            group: call.group,
            class: call.class,
            bytes: call.bytes,
            since,
            keep,
            shallow: call.shallow,
            dated: 0,
            begun: false,
            left: 0,
            legs: Vec::new(),
            jobs: Vec::new(),
            fetches: Vec::new(),
            behind: None,
        };
        self.fetches.insert(id, fetch);
        self.running.insert((to, call.key), id);
        let way = self.way(to, from);
        self.at(self.now + way, Event::Arrive(id));
        self.at(self.now + FILL_WAIT, Event::Overdue(id));
        Some(id)
    }

    fn way(&self, to: usize, from: usize) -> Time {
        match (self.servers[to].kind, self.servers[from].kind) {
            (Kind::Box(o), Kind::ParentCache(h)) if self.day.hubs[h].name == self.day.offices[o].hub => NEAR,
            (Kind::Box(a), Kind::Box(b)) if a == b => MS,
            (_, Kind::Origin) => LIBRARY,
            _ => FAR,
        }
    }

    /// A fill has reached its source.
    fn on_arrive(&mut self, id: u64) {
        let Some(f) = self.fetches.get(&id) else { return };
        let (from, key, since, class, shallow) = (f.from, f.key, f.since, f.class, f.shallow);
        match self.servers[from].stand {
            ServerState::Down => return self.end_fetch(id, false),
            ServerState::Cut => return,
            ServerState::Up => {}
        }
        if matches!(self.servers[from].kind, Kind::Origin) {
            if !self.library_takes() {
                return self.end_fetch(id, false);
            }
            return self.work(from, Work::Fetch(id));
        }
        self.push(from, class);
        // What pushed its source over went with it.
        if self.servers[from].stand != ServerState::Up {
            return;
        }
        if let Some(dated) = self.engines[from].cache.find(key, since, 0) {
            return self.begin_fetch(id, dated, None);
        }
        if shallow || !matches!(self.servers[from].kind, Kind::ParentCache(_)) {
            return self.end_fetch(id, false);
        }
        // A hub fetches once for all who wait.
        let running = self.running.get(&(from, key)).copied();
        let behind = match running.filter(|r| self.fetches.get(r).is_some_and(|r| r.since >= since)) {
            Some(running) => Some(running),
            None => {
                let f = &self.fetches[&id];
                let call = Call {
                    class: f.class,
                    key,
                    group: f.group,
                    bytes: f.bytes,
                    rid: 0,
                    accept: None,
                    keep: 1,
                    source: None,
                    join: true,
                    shallow: false,
                };
                let library = self.servers.len() - 1;
                self.fetch(from, library, &call, since, 1)
            }
        };
        let Some(behind) = behind else { return self.end_fetch(id, false) };
        if let Some(f) = self.fetches.get_mut(&id) {
            f.behind = Some(behind);
        }
        let begun = self.fetches.get(&behind).is_some_and(|b| b.begun);
        if let Some(b) = self.fetches.get_mut(&behind) {
            b.fetches.push(id);
        }
        if begun {
            self.begin_fetch(id, 0, Some(behind));
        }
    }

    /// The library has done its work for a fill.
    fn give(&mut self, id: u64) {
        self.begin_fetch(id, self.now, None);
    }

    /// The first byte of a fill comes.
    fn begin_fetch(&mut self, id: u64, dated: Time, behind: Option<u64>) {
        let Some(f) = self.fetches.get_mut(&id) else { return };
        (f.begun, f.dated) = (true, dated);
        let (to, from, bytes) = (f.to, f.from, f.bytes);
        let mut pipes = vec![from];
        if let Kind::Box(office) = self.servers[to].kind {
            if self.servers[from].kind != Kind::Box(office) {
                pipes.push(self.engines.len() + office);
            }
        }
        let left = pipes.len() + usize::from(behind.is_some());
        let legs: Vec<(usize, u64)> =
            pipes.into_iter().map(|p| (p, self.put_leg(p, bytes, Owner::Fetch(id)))).collect();
        let Some(f) = self.fetches.get_mut(&id) else { return };
        (f.legs, f.left) = (legs, left);
        let (jobs, fetches) = (f.jobs.clone(), f.fetches.clone());
        jobs.into_iter().for_each(|j| self.pass_on(j));
        fetches.into_iter().for_each(|n| self.begin_fetch(n, 0, Some(id)));
    }

    fn fetch_step(&mut self, id: u64) {
        let Some(f) = self.fetches.get_mut(&id) else { return };
        f.left -= 1;
        if f.left == 0 {
            self.end_fetch(id, true);
        }
    }

    /// A fill ends, whole or not.
    fn end_fetch(&mut self, id: u64, whole: bool) {
        let Some(f) = self.fetches.remove(&id) else { return };
        self.engines[f.to].fills -= 1;
        if self.running.get(&(f.to, f.key)) == Some(&id) {
            self.running.remove(&(f.to, f.key));
        }
        for (pipe, leg) in f.legs {
            self.drop_leg(pipe, leg);
        }
        if let Some(b) = f.behind.and_then(|b| self.fetches.get_mut(&b)) {
            b.fetches.retain(|n| *n != id);
        }
        // What was purged while it was on its way must not come back.
        let purged = self.purges.iter().any(|p| binds(p, f.key.0, f.group, f.dated));
        if whole && f.keep > 0 && !purged {
            let e = &mut self.engines[f.to];
            e.cache.keep(f.key, f.bytes, f.keep, f.dated, f.group);
        }
        for n in f.fetches {
            if let (true, Some(next)) = (whole, self.fetches.get_mut(&n)) {
                next.dated = f.dated;
                self.fetch_step(n);
            } else {
                self.end_fetch(n, false);
            }
        }
        for j in f.jobs {
            if let (true, Some(job)) = (whole, self.jobs.get_mut(&j)) {
                (job.dated, job.fetch) = (f.dated, None);
                self.job_step(j);
            } else if let Some(job) = self.jobs.get_mut(&j) {
                job.fetch = None;
                // Begun answers that can't be finished are errors; others never ran.
                let word = match (f.begun, f.shallow) {
                    (true, _) => CallResult::Failed,
                    (false, true) => CallResult::Absent,
                    (false, false) => CallResult::Full,
                };
                self.answer(j, word);
            }
        }
    }

    // ---- what goes wrong ----

    fn cold(&self, server: usize) -> Option<(f64, f64)> {
        let s = &self.servers[server];
        let (from, over, multiple) = match s.kind {
            Kind::Box(_) => COLD,
            Kind::ParentCache(_) => COLD_HUB,
            Kind::Origin => return None,
        };
        let age = self.now.saturating_sub(s.started);
        let share = from + (1.0 - from) * age as f64 / over as f64;
        (s.started > 0 && age < over).then_some((share, multiple))
    }

    /// Counts work that reaches a cold server; too much pushes it over.
    fn push(&mut self, server: usize, class: usize) {
        let Some((share, multiple)) = self.cold(server) else { return };
        if self.servers[server].stand != ServerState::Up {
            return;
        }
        let bytes = self.day.classes[class].bytes;
        let now = self.now;
        let e = &mut self.engines[server];
        e.pushed.push_back((now, bytes));
        while e.pushed.front().is_some_and(|p| p.0 + PUSHED < now) {
            e.pushed.pop_front();
        }
        let lately: f64 = e.pushed.iter().map(|p| p.1).sum();
        let bears = multiple * share * e.rate * PUSHED as f64 / 1e6;
        let budget = cold_budget(share, e.rate);
        let use_of =
            &mut self.cold_use[usize::from(matches!(self.servers[server].kind, Kind::ParentCache(_)))];
        use_of.worst = use_of.worst.max(lately / budget);
        // A single request is no overload.
        if lately > bears + 2.0 * bytes {
            let told_at = self.told.get(&server).copied().unwrap_or(Time::MAX);
            let told: f64 = e.pushed.iter().filter(|p| p.0 >= told_at).map(|p| p.1).sum();
            if told >= TOLD_PART * lately {
                self.broke("cold server pushed over");
            } else {
                self.fell_untold += 1;
            }
            self.stop(server, ServerState::Down);
        }
    }

    fn stop(&mut self, server: usize, stand: ServerState) {
        self.servers[server].stand = stand;
        self.news.push(ModelEvent::Stands(server, stand));
        if stand == ServerState::Cut {
            return;
        }
        self.lives[server] += 1;
        let mut jobs: Vec<u64> = self.jobs.values().filter(|j| j.server == server).map(|j| j.id).collect();
        jobs.sort_unstable();
        for id in jobs {
            if let Some(job) = self.jobs.remove(&id) {
                self.forget(job);
            }
        }
        let hit = |f: &Fetch| f.to == server || f.from == server;
        let mut fetches: Vec<u64> = self.fetches.iter().filter(|(_, f)| hit(f)).map(|(id, _)| *id).collect();
        fetches.sort_unstable();
        fetches.into_iter().for_each(|id| self.end_fetch(id, false));
        let e = &mut self.engines[server];
        (e.held, e.busy) = (0, 0);
        e.queue.clear();
        e.pushed.clear();
    }

    fn tell_line(&mut self, server: usize, state: &'static str) {
        self.news.push(ModelEvent::Line(server, Box::new(self.servers[server].clone()), state));
    }

    /// A server comes up, cold and empty.
    fn start_up(&mut self, server: usize) {
        let keep = match self.servers[server].kind {
            Kind::Box(o) => self.day.offices[o].keep_bytes,
            Kind::ParentCache(h) => self.day.hubs[h].keep_bytes,
            Kind::Origin => 0,
        };
        self.engines[server].cache = Cache::new(keep);
        self.servers[server].stand = ServerState::Up;
        if self.servers[server].kind != Kind::Origin {
            self.servers[server].started = self.now;
        }
        self.draining.remove(&server);
        self.told.remove(&server);
        self.news.push(ModelEvent::Stands(server, ServerState::Up));
        self.tell_line(server, "ready");
        self.warm(server);
    }

    fn warm(&mut self, server: usize) {
        let share = self.cold(server).map_or(1.0, |c| c.0);
        let (now, e) = (self.now, &mut self.engines[server]);
        e.out.set(now, e.rate * e.slow * share);
        self.schedule(server);
        if share < 1.0 {
            self.look_at_cold(server, share);
            self.at(self.now + 250 * MS, Event::Warm(server));
        }
    }

    /// Notes how much of what it bears a cold server is asked for.
    fn look_at_cold(&mut self, server: usize, share: f64) {
        let (now, e) = (self.now, &self.engines[server]);
        let lately: f64 = e.pushed.iter().filter(|p| p.0 + PUSHED >= now).map(|p| p.1).sum();
        let budget = cold_budget(share, e.rate);
        let hub = matches!(self.servers[server].kind, Kind::ParentCache(_));
        let used = &mut self.cold_use[usize::from(hub)].used;
        (used.0, used.1) = (used.0 + lately / budget, used.1 + 1);
    }

    fn server(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|s| s.name == name)
    }

    fn on_fault(&mut self, i: usize, begins: bool) {
        let fault = self.day.faults[i].what.clone();
        let who = match &fault {
            FaultKind::Crash { who }
            | FaultKind::Replace { who }
            | FaultKind::Drain { who }
            | FaultKind::Cut { who } => who.clone(),
            FaultKind::Slow { who, .. } => who.clone(),
            // Load and news are not the servers' matter.
            FaultKind::Late { .. }
            | FaultKind::Crowd { .. }
            | FaultKind::Large { .. }
            | FaultKind::Surge { .. } => return,
            // Nor are routers.
            FaultKind::Part { .. }
            | FaultKind::Link { .. }
            | FaultKind::Kill { .. }
            | FaultKind::Pause { .. } => return,
        };
        let Some(s) = self.server(&who) else { return };
        match (fault, begins) {
            (FaultKind::Crash { .. }, true) => self.stop(s, ServerState::Down),
            (FaultKind::Crash { .. }, false) => self.start_up(s),
            (FaultKind::Replace { .. }, true) => {
                self.stop(s, ServerState::Down);
                self.tell_line(s, "gone");
                self.servers[s].uid = format!("{}+{}", self.servers[s].uid, i);
                self.start_up(s);
            }
            (FaultKind::Drain { .. }, true) => {
                self.draining.insert(s, Time::MAX);
                self.tell_line(s, "draining");
            }
            (FaultKind::Drain { .. }, false) => {
                self.stop(s, ServerState::Down);
                self.tell_line(s, "gone");
            }
            (FaultKind::Slow { part, .. }, begins) => {
                self.engines[s].slow = if begins { part.max(0.001) } else { 1.0 };
                self.warm(s);
            }
            (FaultKind::Cut { .. }, true) => self.stop(s, ServerState::Cut),
            (FaultKind::Cut { .. }, false) => {
                self.servers[s].stand = ServerState::Up;
                self.news.push(ModelEvent::Stands(s, ServerState::Up));
            }
            _ => {}
        }
    }

    /// Every router has been told by then of a line: that a server drains, or has started.
    pub fn told_line(&mut self, server: usize, state: &str, at: Time) {
        match state {
            "draining" => {
                self.draining.entry(server).and_modify(|t| *t = at);
            }
            "ready" => {
                self.told.insert(server, at);
            }
            _ => {}
        }
    }

    fn on_purge(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.day.purges_per_s;
        self.at(self.now + secs(gap), Event::Purge);
        if self.recent.is_empty() {
            return;
        }
        let pick = self.rng.random_range(0..self.recent.len());
        let (object, group) = self.recent[pick];
        let now = self.now;
        self.purges.push((now, Some(object), group));
        self.purges.retain(|p| p.0 + 60 * SEC > now);
        self.news.push(ModelEvent::Purge(Some(object), group, now));
        for s in 0..self.servers.len() - 1 {
            let late = self.rng.random_range(0..PURGED);
            self.at(now + late, Event::Drop(s, Some(object), group, now));
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Pipe(pipe, turn) if self.turns[pipe] == turn => {
                let now = self.now;
                while let Some(leg) = self.pipe(pipe).done(now) {
                    match self.legs.remove(&leg) {
                        Some(Owner::Job(id)) => {
                            if let Some(job) = self.jobs.get_mut(&id) {
                                job.leg = None;
                            }
                            self.job_step(id);
                        }
                        Some(Owner::Fetch(id)) => self.fetch_step(id),
                        None => {}
                    }
                }
                self.schedule(pipe);
            }
            Event::Pipe(..) => {}
            Event::Done(server, work, life) if self.lives[server] == life => self.on_done(server, work),
            Event::Done(..) => {}
            Event::Arrive(id) => self.on_arrive(id),
            Event::Overdue(id) => {
                if self.fetches.get(&id).is_some_and(|f| !f.begun) {
                    self.end_fetch(id, false);
                }
            }
            Event::Warm(server) => self.warm(server),
            Event::Fault(i, begins) => self.on_fault(i, begins),
            Event::Drop(server, object, group, before) => {
                self.engines[server].cache.purge(object, group, before);
            }
            Event::Purge => self.on_purge(),
        }
    }
}

/// News of a purge takes this long to a router.
pub const PURGE_TOLD: Time = 150 * MS;

/// Seconds as a time.
pub fn secs(s: f64) -> Time {
    (s * 1e6) as Time
}
