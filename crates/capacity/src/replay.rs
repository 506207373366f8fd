//! The load replayed over a fleet: each first try is placed as the routers place it, served from what its box keeps or
//! filled through the links that it shares with others, and tried again by its client when it is not served. What
//! comes out is worth in time, by office, class and second, and how much of every resource was used.
//!
//! Time is that of the recording. Links are shared as in `link`; what waits for a fill starts with its first byte.

use crate::keep::Keep;
use crate::link::{Link, Workers};
use crate::net::Net;
use crate::place::{order, seed, Levels};
use crate::trace::{Purged, Trace};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A box has room while a transfer there would take this part of the time that its class leaves (docs/design.md).
const ROOM: f64 = 0.9;
/// A stand-in for a full box is emptier than this part.
const SPILL: f64 = 0.8;
/// Answers that took more of their aim than this on average shrink a box's room: something unseen is short.
const TARDY: f64 = 0.5;
/// What routers learn of a box and of a class follows the last so many answers.
const BOX_LEARNS: f64 = 20.0;
const CLASS_LEARNS: f64 = 50.0;
/// Routers use a cold server up to so many times what it can do by its settings, over this window.
const COLD_USE: f64 = 1.2;
const COLD_WINDOW: f64 = 1_500_000.0;
/// What was asked for within this is kept at the upper rank.
const SEEN: u64 = 30_000_000;
/// A cold server's link is widened this often.
const WARMING: u64 = 500_000;
/// A router finds out in this time that a server is gone, and asks another.
const FIND_OUT: u64 = 30_000;
/// Attempts of one request.
const ATTEMPTS: u8 = 6;

/// A server that can be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Server {
    /// An office's box.
    Box(usize, usize),
    /// A hub.
    Hub(usize),
}

/// What happens to servers beside the load: some are lost for a while and come back cold and empty.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// All caches are empty when the load begins.
    pub empty: bool,
    /// Which.
    pub servers: Vec<Server>,
    /// From when to when, in microseconds.
    pub from: u64,
    /// See `from`.
    pub to: u64,
}

/// What is summed up of a stretch of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Worth asked for.
    pub asked: f64,
    /// Worth earned.
    pub earned: f64,
    /// Worth earned in time.
    pub in_time: f64,
    /// First tries.
    pub tries: f64,
    /// Further tries.
    pub again: f64,
}

impl Sum {
    /// Adds another.
    pub fn add(&mut self, o: &Sum) {
        self.asked += o.asked;
        self.earned += o.earned;
        self.in_time += o.in_time;
        self.tries += o.tries;
        self.again += o.again;
    }

    /// Worth earned over worth asked for; 1 where nothing was asked for.
    pub fn served(&self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }

    /// Worth earned in time over worth asked for.
    pub fn in_time(&self) -> f64 {
        if self.asked > 0.0 {
            self.in_time / self.asked
        } else {
            1.0
        }
    }
}

/// How a first try was served, for fitting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Not, or not at the first attempt.
    Other,
    /// From its box.
    Hit,
    /// From a hub.
    Hub,
    /// From the library through a hub.
    Library,
    /// It ran at the library.
    Filing,
}

/// What a replay came to.
#[derive(Debug, Default)]
pub struct Replay {
    /// By second of the first try's time, then by office.
    pub seconds: Vec<Vec<Sum>>,
    /// By class, from `from` on.
    pub classes: Vec<Sum>,
    /// From when on classes, hits and use are counted, in microseconds.
    pub from: u64,
    /// Requests that reached a box, and those served from what it held.
    pub hits: (f64, f64),
    /// Bytes served and bytes filled.
    pub bytes: (f64, f64),
    /// How each first try was served; empty unless asked for.
    pub ways: Vec<Way>,
    /// Use of resources by second.
    pub used: Vec<(Resource, Vec<f64>)>,
    /// The most that were open at one router.
    pub most_open: usize,
    /// The most bytes that one router held or waited for.
    pub most_held: f64,
    /// Calls of the library, filings among them.
    pub fetched: f64,
}

/// Something that can run out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// A box's link out.
    BoxLink(String),
    /// A box's cores.
    BoxCores(String),
    /// A box's fill places.
    BoxFills(String),
    /// An office's link in.
    LinkIn(String),
    /// A hub's link out.
    HubLink(String),
    /// A hub's fetch places.
    HubFetches(String),
    /// The library's calls a second.
    LibraryCalls,
    /// The library's link out.
    LibraryLink,
    /// The library's workers.
    LibraryWorkers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Link(u32, u32),
    Fill(u32, u32),
    Fetched(u32),
    Done(u32, u32),
    Overdue(u32, u32),
    Again(u32),
    Lose,
    Back,
    Warm(u32),
}

#[derive(Clone, Copy, Debug)]
struct Open {
    ask: u32,
    turn: u32,
    tries: u8,
    attempts: u8,
    office: u16,
    host: u16,
    hub: u16,
    left: u8,
    /// Which links it is on: the box's, the hub's, the office's in.
    legs: [bool; 3],
    filling: bool,
    rank: u8,
    made: u64,
    fetch: u32,
    way: Way,
    last_try: u64,
    /// When it was put to its box, and whether it is there.
    sent: u64,
    there: bool,
}

#[derive(Debug)]
struct Fetch {
    hub: usize,
    key: u32,
    since: u64,
    begun: bool,
    over: bool,
    made: u64,
    waiting: Vec<(u32, u32)>,
}

const NONE: u32 = u32::MAX;

struct Run<'a> {
    trace: &'a Trace,
    net: &'a Net,
    rng: Pcg64Mcg,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    seq: u64,
    open: Vec<Open>,
    free: Vec<u32>,
    /// Boxes of all offices, hubs, links in, library's link.
    links: Vec<Link>,
    turns: Vec<u32>,
    first_box: Vec<usize>,
    hub_at: usize,
    inlet_at: usize,
    library_at: usize,
    boxes: Vec<Keep>,
    hubs: Vec<Keep>,
    fills: Vec<usize>,
    fetches: Vec<usize>,
    fills_used: Vec<Vec<f64>>,
    fetches_used: Vec<Vec<f64>>,
    calls: Vec<Vec<f64>>,
    up: Vec<bool>,
    back_at: Vec<u64>,
    /// Sending times offered to a cold server lately: decays over the window.
    offered: Vec<(f64, u64)>,
    library: Workers,
    running: HashMap<(u16, u32), u32>,
    fetch_slab: Vec<Fetch>,
    levels: Vec<Levels>,
    seen: HashMap<(u16, u32), u64>,
    purged: Purged,
    /// Open attempts at each box, and how much of their aim its answers took lately.
    load: Vec<usize>,
    tardy: Vec<f64>,
    /// By office and class: what an answer takes where nobody else is served, as the routers learn it, in seconds.
    work: Vec<Vec<f64>>,
    weights: Vec<Vec<(u64, f64)>>,
    hub_weights: Vec<(u64, f64)>,
    at_router: Vec<(usize, f64)>,
    out: Replay,
}

/// Replays a load. Sums count from `from` on, in microseconds; `ways` has it told how each first try was served.
pub fn replay(trace: &Trace, net: &Net, losses: &Losses, from: u64, seed: u64, ways: bool) -> Replay {
    let mut run = Run::new(trace, net, from, seed, ways);
    if !losses.empty {
        run.prime();
    }
    if !losses.servers.is_empty() {
        run.at(losses.from, Event::Lose);
        run.at(losses.to, Event::Back);
    }
    run.run(losses);
    run.finish()
}

impl<'a> Run<'a> {
    fn new(trace: &'a Trace, net: &'a Net, from: u64, seed: u64, ways: bool) -> Run<'a> {
        let (flow, pace) = (net.flow, net.flow * net.fill_pace);
        let mut links = Vec::new();
        let mut first_box = Vec::new();
        for o in &net.offices {
            first_box.push(links.len());
            links.extend(o.boxes.iter().map(|b| Link::new(b.flows * flow, flow)));
        }
        let hub_at = links.len();
        links.extend(net.hubs.iter().map(|h| Link::new(h.flows * flow, pace)));
        let inlet_at = links.len();
        links.extend(net.offices.iter().map(|o| Link::new(o.link_in * flow, pace)));
        let library_at = links.len();
        links.push(Link::new(net.library.2.unwrap_or(1e9) * flow, pace));
        let seconds = (trace.span / 1_000_000 + 1) as usize;
        let classes = trace.classes.len();
        // Before anything is seen a class's work is held to be what its aim leaves room for.
        let work: Vec<f64> = trace.classes.iter().map(|c| c.aim as f64 / 1e6).collect();
        Run {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            seq: 0,
            open: Vec::new(),
            free: Vec::new(),
            turns: vec![0; links.len()],
            boxes: net.offices.iter().flat_map(|o| o.boxes.iter().map(|b| Keep::new(b.keep))).collect(),
            hubs: net.hubs.iter().map(|h| Keep::new(h.keep)).collect(),
            fills: vec![0; hub_at],
            fetches: vec![0; net.hubs.len()],
            fills_used: vec![vec![0.0; seconds + 1]; hub_at],
            fetches_used: vec![vec![0.0; seconds + 1]; net.hubs.len()],
            calls: vec![vec![0.0; seconds + 1]; hub_at],
            up: vec![true; inlet_at],
            back_at: vec![NEVER; inlet_at],
            offered: vec![(0.0, 0); inlet_at],
            library: Workers::new(net.library.0, net.library.1),
            running: HashMap::new(),
            fetch_slab: Vec::new(),
            levels: (0..trace.routers.max(1)).map(|_| Levels::default()).collect(),
            seen: HashMap::new(),
            purged: Purged::default(),
            load: vec![0; hub_at],
            tardy: vec![0.0; hub_at],
            work: vec![work; net.offices.len()],
            weights: net.offices.iter().map(|o| o.boxes.iter().map(|b| (b.id, b.flows)).collect()).collect(),
            hub_weights: net.hubs.iter().map(|h| (h.id, h.flows)).collect(),
            at_router: vec![(0, 0.0); trace.routers.max(1)],
            out: Replay {
                seconds: vec![vec![Sum::default(); net.offices.len()]; seconds],
                classes: vec![Sum::default(); classes],
                from,
                ways: if ways { vec![Way::Other; trace.asks.len()] } else { Vec::new() },
                ..Replay::default()
            },
            trace,
            net,
            links,
            first_box,
            hub_at,
            inlet_at,
            library_at,
        }
    }

    /// What lay in caches when the recording began is not known: they are held to have what the warm-up asks for. A
    /// fleet that starts empty under its full load may fall over at a load that it carries well once warm.
    fn prime(&mut self) {
        let warm = self.trace.asks.iter().take_while(|a| a.at < self.out.from);
        for a in warm {
            let k = self.trace.keys[a.key as usize];
            if self.trace.classes[usize::from(k.class)].write {
                continue;
            }
            let (seed, office) = (seed(k.object, k.part), usize::from(a.office));
            let home = usize::from(order(&self.weights[office], seed)[0]);
            let hub = usize::from(order(&self.hub_weights, seed)[0]);
            let kept = &mut self.boxes[self.first_box[office] + home];
            // What comes again is kept at the upper rank.
            let rank = if kept.look(a.key, 0, 2).is_some() { 2 } else { 1 };
            kept.put(a.key, f64::from(k.bytes), rank, 0);
            if self.hubs[hub].look(a.key, 0, 1).is_none() {
                self.hubs[hub].put(a.key, f64::from(k.bytes), 1, 0);
            }
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at.max(self.now), self.seq, event)));
    }

    fn run(&mut self, losses: &Losses) {
        let mut next = 0;
        let mut seen_end = false;
        loop {
            let ask = self.trace.asks.get(next).map(|a| a.at);
            let event = self.events.peek().map(|Reverse(e)| e.0);
            if ask.is_none() && !seen_end {
                seen_end = true;
            }
            match (ask, event) {
                (Some(a), e) if e.is_none_or(|e| a <= e) => {
                    self.now = a;
                    self.purged.turn(&self.trace.purges, a);
                    self.first_try(next as u32);
                    next += 1;
                }
                (_, Some(_)) => {
                    if let Some(Reverse((at, _, event))) = self.events.pop() {
                        self.now = at;
                        self.on_event(event, losses);
                    }
                }
                (_, None) => break,
            }
            if seen_end && self.open.len() == self.free.len() {
                break;
            }
        }
    }

    fn first_try(&mut self, ask: u32) {
        let a = self.trace.asks[ask as usize];
        let key = self.trace.keys[a.key as usize];
        let open = Open {
            ask,
            turn: 0,
            tries: 0,
            attempts: 0,
            office: a.office,
            host: 0,
            hub: 0,
            left: 0,
            legs: [false; 3],
            filling: false,
            rank: 0,
            made: 0,
            fetch: NONE,
            way: Way::Other,
            last_try: self.now,
            sent: self.now,
            there: false,
        };
        let id = match self.free.pop() {
            Some(id) => {
                let turn = self.open[id as usize].turn + 1;
                self.open[id as usize] = Open { turn, ..open };
                id
            }
            None => {
                self.open.push(open);
                self.open.len() as u32 - 1
            }
        };
        let worth = self.trace.classes[usize::from(key.class)].worth;
        self.sums(id, &Sum { asked: worth, tries: 1.0, ..Sum::default() });
        let router = &mut self.at_router[usize::from(a.router) % self.levels.len()];
        (router.0, router.1) = (router.0 + 1, router.1 + f64::from(key.bytes));
        self.out.most_open = self.out.most_open.max(router.0);
        self.out.most_held = self.out.most_held.max(router.1);
        self.attempt(id);
    }

    fn sums(&mut self, id: u32, sum: &Sum) {
        let o = &self.open[id as usize];
        let a = &self.trace.asks[o.ask as usize];
        let class = usize::from(self.trace.keys[a.key as usize].class);
        let second = (a.at / 1_000_000) as usize;
        self.out.seconds[second][usize::from(o.office)].add(sum);
        if a.at >= self.out.from {
            self.out.classes[class].add(sum);
        }
    }

    fn ask(&self, id: u32) -> crate::trace::Ask {
        self.trace.asks[self.open[id as usize].ask as usize]
    }

    /// A try begins: the client waits so long for it.
    fn attempt(&mut self, id: u32) {
        let a = self.ask(id);
        let budget = u64::from(a.budget);
        self.open[id as usize].last_try = self.now;
        let turn = self.open[id as usize].turn;
        self.at(self.now + budget, Event::Overdue(id, turn));
        self.place(id);
    }

    /// A copy made before this will not do.
    fn since(&self, key: u32) -> u64 {
        let k = &self.trace.keys[key as usize];
        self.purged.since(self.now, k, &self.trace.classes[usize::from(k.class)])
    }

    /// How far a transfer at a box is slowed by what is open there, with one more.
    fn crowd(&self, server: usize, flows: f64) -> f64 {
        ((1.0 + self.load[server] as f64) / flows.max(0.01)).max(1.0)
    }

    /// Whether one more of a class can be sent in time at a box, by what is open there: 1 where nothing is, below
    /// 0 where it can't.
    fn room(&self, office: usize, class: usize, server: usize, flows: f64) -> f64 {
        let c = &self.trace.classes[class];
        let slack = c.aim_stretch + c.aim as f64 / 1e6 / self.work[office][class].max(0.001);
        let room = ROOM * (TARDY / self.tardy[server].max(1e-9)).min(1.0);
        1.0 - (self.crowd(server, flows) - 1.0) / (room * slack - 1.0).max(0.1)
    }

    /// A request was put to a box, or is no longer there.
    fn hold(&mut self, id: u32, there: bool) {
        let server = self.server(id);
        let o = &mut self.open[id as usize];
        if o.there == there {
            return;
        }
        (o.there, o.sent) = (there, if there { self.now } else { o.sent });
        if there {
            self.load[server] += 1;
        } else {
            self.load[server] -= 1;
        }
    }

    /// What routers learn from an answer, or from one that did not come.
    fn learn(&mut self, id: u32, answered: bool) {
        let o = self.open[id as usize];
        let (a, server) = (self.ask(id), self.server(id));
        let (office, class) = (usize::from(o.office), usize::from(self.trace.keys[a.key as usize].class));
        let took = self.now.saturating_sub(o.sent) as f64 / 1e6;
        let c = &self.trace.classes[class];
        let work = self.work[office][class];
        let aim = c.aim as f64 / 1e6 + c.aim_stretch * work;
        self.tardy[server] += ((took / aim).min(2.0) - self.tardy[server]) / BOX_LEARNS;
        if answered {
            let flows = self.net.offices[office].boxes[usize::from(o.host)].flows;
            let alone = took / self.crowd(server, flows);
            self.work[office][class] += (alone - work) / CLASS_LEARNS;
        }
    }

    fn share(&self, server: usize) -> f64 {
        let (from, over) = if server < self.hub_at {
            (self.net.cold.box_from, self.net.cold.box_s)
        } else {
            (self.net.cold.hub_from, self.net.cold.hub_s)
        };
        let back = self.back_at[server];
        if back == NEVER {
            return 1.0;
        }
        let age = self.now.saturating_sub(back) as f64 / 1e6;
        if age >= over {
            1.0
        } else {
            from + (1.0 - from) * age / over
        }
    }

    /// Whether routers put that much more work on a server, which may be cold.
    fn admits(&mut self, server: usize, flows: f64, work: f64, takes: bool) -> bool {
        let share = self.share(server);
        if share >= 1.0 {
            return true;
        }
        let (offered, when) = self.offered[server];
        let lately = offered * (-((self.now - when) as f64) / COLD_WINDOW).exp();
        let most = COLD_USE * share * flows * COLD_WINDOW / 1e6;
        if lately + work > most.max(work) {
            return false;
        }
        if takes {
            self.offered[server] = (lately + work, self.now);
        }
        true
    }

    /// Chooses a box and asks it.
    fn place(&mut self, id: u32) {
        let a = self.ask(id);
        let key = self.trace.keys[a.key as usize];
        let class = usize::from(key.class);
        let office = usize::from(a.office);
        self.open[id as usize].attempts += 1;
        if self.open[id as usize].attempts > ATTEMPTS {
            return self.refuse(id);
        }
        if self.trace.classes[class].write {
            return self.file(id);
        }
        let net = self.net;
        let seed = seed(key.object, key.part);
        let first = self.first_box[office];
        let ranked = order(&self.weights[office], seed);
        let ranked: Vec<u16> = ranked.into_iter().filter(|b| self.up[first + usize::from(*b)]).collect();
        let router = usize::from(a.router) % self.levels.len();
        let spread = match self.open[id as usize].attempts {
            1 => self.levels[router].count(self.now, a.key, ranked.len()),
            _ => 1,
        };
        let drawn = if spread > 1 { self.rng.random_range(0..spread) } else { 0 };
        let work = self.work[office][class];
        let mut chosen = None;
        for n in 0..ranked.len() {
            let place = (drawn + n) % ranked.len();
            let b = usize::from(ranked[place]);
            let flows = net.offices[office].boxes[b].flows;
            let least = if n == 0 { 0.0 } else { SPILL };
            let full = self.fills[first + b] >= net.offices[office].boxes[b].fills;
            let roomy = self.room(office, class, first + b, flows) >= least;
            if roomy && !full && self.admits(first + b, flows, work, true) {
                chosen = Some((b, place));
                break;
            }
        }
        let Some((b, place)) = chosen else { return self.refuse(id) };
        let server = first + b;
        let lately = self.seen.insert((a.router, a.key), self.now);
        let seen = lately.is_some_and(|t| self.now < t + SEEN);
        let rank = if place > 0 || !seen { 1 } else { 2 };
        let second = (self.now / 1_000_000) as usize;
        if let Some(c) = self.calls[server].get_mut(second) {
            *c += 1.0;
        }
        let since = self.since(a.key);
        let counted = self.now >= self.out.from;
        self.out.hits.0 += f64::from(u8::from(counted));
        {
            let o = &mut self.open[id as usize];
            (o.host, o.rank, o.filling) = (b as u16, rank, false);
        }
        self.hold(id, true);
        if let Some(made) = self.boxes[server].look(a.key, since, rank) {
            self.out.hits.1 += f64::from(u8::from(counted));
            let o = &mut self.open[id as usize];
            (o.made, o.way, o.left) = (made, Way::Hit, 0);
            return self.put_leg(id, 0);
        }
        self.fill(id, seed, work);
    }

    /// Has a miss filled: from the part's hub, or what stands in for it.
    fn fill(&mut self, id: u32, seed: u64, work: f64) {
        let ranked = order(&self.hub_weights, seed);
        let up: Vec<usize> =
            ranked.into_iter().map(usize::from).filter(|h| self.up[self.hub_at + h]).collect();
        let mut hub = None;
        for &h in &up {
            if self.admits(self.hub_at + h, self.net.hubs[h].flows, work, true) {
                hub = Some(h);
                break;
            }
        }
        let Some(h) = hub else { return self.refuse(id) };
        let o = &mut self.open[id as usize];
        (o.hub, o.left, o.filling, o.fetch, o.way) = (h as u16, 0, true, NONE, Way::Hub);
        self.begin_filling(id);
        let turn = self.open[id as usize].turn;
        self.at(self.now + (self.net.delays.hub_us / 2.0) as u64, Event::Fill(id, turn));
    }

    fn begin_filling(&mut self, id: u32) {
        let server = self.server(id);
        self.fills[server] += 1;
        let second = (self.now / 1_000_000) as usize;
        if let Some(used) = self.fills_used[server].get_mut(second) {
            *used = used.max(self.fills[server] as f64);
        }
    }

    fn server(&self, id: u32) -> usize {
        let o = &self.open[id as usize];
        self.first_box[usize::from(o.office)] + usize::from(o.host)
    }

    /// A fill has reached its source.
    fn on_fill(&mut self, id: u32) {
        let o = self.open[id as usize];
        let (key, h) = (self.ask(id).key, usize::from(o.hub));
        if !self.up[self.hub_at + h] {
            return self.elsewhere(id);
        }
        let since = self.since(key);
        if let Some(made) = self.hubs[h].look(key, since, 1) {
            self.open[id as usize].made = made;
            return self.pass_on(id, false);
        }
        self.open[id as usize].way = Way::Library;
        let running = self.running.get(&(o.hub, key)).copied();
        let joined = running.filter(|f| self.fetch_slab[*f as usize].since >= since);
        let fetch = match joined {
            Some(f) => f,
            None => {
                if self.fetches[h] >= self.net.hubs[h].fetches {
                    return self.elsewhere(id);
                }
                let Some(done) = self.library.call(self.now, self.net.service_us as u64) else {
                    return self.elsewhere(id);
                };
                self.out.fetched += 1.0;
                self.fetches[h] += 1;
                let second = (self.now / 1_000_000) as usize;
                if let Some(used) = self.fetches_used[h].get_mut(second) {
                    *used = used.max(self.fetches[h] as f64);
                }
                let f = self.fetch_slab.len() as u32;
                self.fetch_slab.push(Fetch {
                    hub: h,
                    key,
                    since,
                    begun: false,
                    over: false,
                    made: 0,
                    waiting: Vec::new(),
                });
                self.running.insert((o.hub, key), f);
                let way = self.net.delays.library_us - self.net.service_us;
                self.at(done + way.max(0.0) as u64, Event::Fetched(f));
                f
            }
        };
        let turn = o.turn;
        self.open[id as usize].fetch = fetch;
        self.fetch_slab[fetch as usize].waiting.push((id, turn));
        if self.fetch_slab[fetch as usize].begun {
            self.pass_on(id, true);
        }
    }

    /// The first byte of a fill is there: it goes on to the box and from there to the client as it comes.
    fn pass_on(&mut self, id: u32, fetching: bool) {
        self.open[id as usize].left = u8::from(fetching);
        self.put_leg(id, 1);
        self.put_leg(id, 2);
        self.put_leg(id, 0);
        if self.now >= self.out.from {
            self.out.bytes.1 += f64::from(self.trace.keys[self.ask(id).key as usize].bytes);
        }
    }

    /// A transfer's id: its request's place and turn there, so that none comes twice, and which link it is for.
    fn leg_id(&self, id: u32, leg: usize) -> u64 {
        u64::from(id) << 32 | u64::from(self.open[id as usize].turn & 0x3fff_ffff) << 2 | leg as u64
    }

    fn leg_link(&self, id: u32, leg: usize) -> usize {
        let o = &self.open[id as usize];
        match leg {
            0 => self.server(id),
            1 => self.hub_at + usize::from(o.hub),
            _ => self.inlet_at + usize::from(o.office),
        }
    }

    fn put_leg(&mut self, id: u32, leg: usize) {
        let bytes = f64::from(self.trace.keys[self.ask(id).key as usize].bytes);
        let link = self.leg_link(id, leg);
        self.open[id as usize].legs[leg] = true;
        self.open[id as usize].left += 1;
        let (now, leg) = (self.now, self.leg_id(id, leg));
        self.links[link].add(now, leg, bytes);
        self.reckon(link);
    }

    fn reckon(&mut self, link: usize) {
        self.turns[link] = self.turns[link].wrapping_add(1);
        let turn = self.turns[link];
        if let Some(at) = self.links[link].due() {
            self.at(at, Event::Link(link as u32, turn));
        }
    }

    fn on_link(&mut self, link: usize) {
        while let Some(leg) = self.links[link].ended(self.now) {
            if link == self.library_at {
                self.end_fetch(leg as u32, true);
                continue;
            }
            let (id, leg) = ((leg >> 32) as u32, (leg & 3) as usize);
            self.open[id as usize].legs[leg] = false;
            self.step(id);
        }
        self.reckon(link);
    }

    fn step(&mut self, id: u32) {
        self.open[id as usize].left -= 1;
        let o = self.open[id as usize];
        // A fill is over before its client has been sent all of it, and is kept also if the client leaves then.
        if o.filling && !o.legs[1] && !o.legs[2] && o.fetch == NONE {
            self.end_filling(id, true);
        }
        if o.left > 0 {
            return;
        }
        // All of it is there; the way to the client and the work on it are still to come.
        let after = self.net.delays.hit_us as u64;
        self.at(self.now + after, Event::Done(id, o.turn));
    }

    fn end_filling(&mut self, id: u32, whole: bool) {
        let o = self.open[id as usize];
        let server = self.server(id);
        self.fills[server] -= 1;
        self.open[id as usize].filling = false;
        if whole {
            let key = self.ask(id).key;
            let bytes = f64::from(self.trace.keys[key as usize].bytes);
            self.boxes[server].put(key, bytes, o.rank, o.made);
        }
    }

    /// The library's first byte reaches a hub.
    fn on_fetched(&mut self, f: u32) {
        let (key, hub) = (self.fetch_slab[f as usize].key, self.fetch_slab[f as usize].hub);
        if !self.up[self.hub_at + hub] {
            return self.end_fetch(f, false);
        }
        let fetch = &mut self.fetch_slab[f as usize];
        (fetch.begun, fetch.made) = (true, self.now);
        let waiting = fetch.waiting.clone();
        let bytes = f64::from(self.trace.keys[key as usize].bytes);
        self.links[self.library_at].add(self.now, u64::from(f), bytes);
        self.reckon(self.library_at);
        for (id, turn) in waiting {
            if self.waits(id, turn, f) {
                self.pass_on(id, true);
            }
        }
    }

    fn waits(&self, id: u32, turn: u32, fetch: u32) -> bool {
        let o = &self.open[id as usize];
        o.turn == turn && o.fetch == fetch
    }

    fn end_fetch(&mut self, f: u32, whole: bool) {
        let fetch = &mut self.fetch_slab[f as usize];
        // It ends once, whether its hub was lost or its last byte came.
        if std::mem::replace(&mut fetch.over, true) {
            return;
        }
        let (key, hub, made) = (fetch.key, fetch.hub, fetch.made);
        let waiting = std::mem::take(&mut fetch.waiting);
        self.fetches[hub] = self.fetches[hub].saturating_sub(1);
        if self.running.get(&(hub as u16, key)) == Some(&f) {
            self.running.remove(&(hub as u16, key));
        }
        if whole && self.up[self.hub_at + hub] {
            let bytes = f64::from(self.trace.keys[key as usize].bytes);
            self.hubs[hub].put(key, bytes, 1, made);
        }
        for (id, turn) in waiting {
            if !self.waits(id, turn, f) {
                continue;
            }
            self.open[id as usize].fetch = NONE;
            self.open[id as usize].made = made;
            if whole {
                self.step(id);
            } else {
                self.elsewhere(id);
            }
        }
    }

    /// A filing runs at the library.
    fn file(&mut self, id: u32) {
        let Some(done) = self.library.call(self.now, self.net.service_us as u64) else {
            return self.refuse(id);
        };
        self.out.fetched += 1.0;
        let way = (self.net.delays.filing_us - self.net.service_us).max(0.0) as u64;
        self.open[id as usize].way = Way::Filing;
        let turn = self.open[id as usize].turn;
        self.at(done + way, Event::Done(id, turn));
    }

    // ---- ends ----

    /// Takes all of a request off the links. What is still on its way for it is no longer for it.
    fn withdraw(&mut self, id: u32) {
        for leg in 0..3 {
            if self.open[id as usize].legs[leg] {
                let link = self.leg_link(id, leg);
                self.open[id as usize].legs[leg] = false;
                let (now, leg) = (self.now, self.leg_id(id, leg));
                self.links[link].drop(now, leg);
                self.reckon(link);
            }
        }
        if self.open[id as usize].filling {
            self.end_filling(id, false);
        }
        self.hold(id, false);
        let o = &mut self.open[id as usize];
        (o.fetch, o.left) = (NONE, 0);
        o.turn += 1;
    }

    /// Another attempt, after what it takes to find out that the last one failed.
    fn elsewhere(&mut self, id: u32) {
        let overdue = self.open[id as usize].last_try + u64::from(self.ask(id).budget);
        self.withdraw(id);
        if self.now + FIND_OUT >= overdue {
            return self.not_served(id);
        }
        let turn = self.open[id as usize].turn;
        self.at(overdue, Event::Overdue(id, turn));
        self.at(self.now + FIND_OUT, Event::Again(id));
    }

    fn refuse(&mut self, id: u32) {
        self.withdraw(id);
        self.not_served(id);
    }

    /// A try was not served: the client comes again, or leaves it.
    fn not_served(&mut self, id: u32) {
        let class = usize::from(self.trace.keys[self.ask(id).key as usize].class);
        let o = &mut self.open[id as usize];
        let more = u32::from(o.tries) < self.net.tries && self.trace.classes[class].repeats;
        if !more {
            return self.close(id, None);
        }
        (o.tries, o.attempts) = (o.tries + 1, 0);
        let wait = self.net.wait_us * (1.0 + self.rng.random::<f64>());
        self.sums(id, &Sum { again: 1.0, ..Sum::default() });
        // A turn of its own: Again with no attempts begins a try.
        self.at(self.now + wait as u64, Event::Again(id));
    }

    fn close(&mut self, id: u32, served: Option<u64>) {
        let a = self.ask(id);
        let key = self.trace.keys[a.key as usize];
        let c = &self.trace.classes[usize::from(key.class)];
        if let Some(at) = served {
            let in_time = (at - a.at) as f64 <= self.trace.aim(a.key);
            let earned = c.worth * if in_time { 1.0 } else { c.late_worth };
            let in_time = if in_time { c.worth } else { 0.0 };
            self.sums(id, &Sum { earned, in_time, ..Sum::default() });
            if self.now >= self.out.from {
                self.out.bytes.0 += f64::from(key.bytes);
            }
            let o = self.open[id as usize];
            if o.tries == 0 && o.attempts == 1 {
                if let Some(way) = self.out.ways.get_mut(o.ask as usize) {
                    *way = o.way;
                }
            }
        }
        let router = &mut self.at_router[usize::from(a.router) % self.levels.len()];
        (router.0, router.1) = (router.0 - 1, router.1 - f64::from(key.bytes));
        self.open[id as usize].turn += 1;
        self.free.push(id);
    }

    fn on_event(&mut self, event: Event, losses: &Losses) {
        let current = |o: &[Open], id: u32, turn: u32| o[id as usize].turn == turn;
        match event {
            Event::Link(link, turn) => {
                if self.turns[link as usize] == turn {
                    self.on_link(link as usize);
                }
            }
            Event::Fill(id, turn) => {
                if current(&self.open, id, turn) {
                    self.on_fill(id);
                }
            }
            Event::Fetched(f) => self.on_fetched(f),
            Event::Done(id, turn) => {
                if current(&self.open, id, turn) {
                    if self.open[id as usize].there {
                        self.learn(id, true);
                        self.hold(id, false);
                    }
                    self.close(id, Some(self.now));
                }
            }
            Event::Overdue(id, turn) => {
                if current(&self.open, id, turn) {
                    if self.open[id as usize].there {
                        self.learn(id, false);
                    }
                    self.withdraw(id);
                    self.not_served(id);
                }
            }
            Event::Again(id) => {
                if self.open[id as usize].attempts == 0 {
                    self.attempt(id);
                } else {
                    self.place(id);
                }
            }
            Event::Lose => losses.servers.iter().for_each(|s| self.lose(*s)),
            Event::Back => losses.servers.iter().for_each(|s| self.back(*s)),
            Event::Warm(server) => self.warm(server as usize),
        }
    }

    fn number(&self, server: Server) -> usize {
        match server {
            Server::Box(office, b) => self.first_box[office] + b,
            Server::Hub(h) => self.hub_at + h,
        }
    }

    fn lose(&mut self, server: Server) {
        let n = self.number(server);
        self.up[n] = false;
        match server {
            Server::Box(..) => self.boxes[n].clear(),
            Server::Hub(h) => self.hubs[h].clear(),
        }
        let hit: Vec<u32> = (0..self.open.len() as u32)
            .filter(|id| {
                let o = &self.open[*id as usize];
                let there = match server {
                    Server::Box(..) => self.server(*id) == n && (o.filling || o.legs[0]),
                    Server::Hub(h) => o.filling && usize::from(o.hub) == h,
                };
                there && !self.free.contains(id)
            })
            .collect();
        hit.into_iter().for_each(|id| self.elsewhere(id));
    }

    fn back(&mut self, server: Server) {
        let n = self.number(server);
        (self.up[n], self.back_at[n]) = (true, self.now);
        self.warm(n);
    }

    fn warm(&mut self, server: usize) {
        let share = self.share(server);
        let flows = if server < self.hub_at {
            let office = self.first_box.partition_point(|f| *f <= server) - 1;
            self.net.offices[office].boxes[server - self.first_box[office]].flows
        } else {
            self.net.hubs[server - self.hub_at].flows
        };
        self.links[server].set(self.now, flows * self.net.flow * share);
        self.reckon(server);
        if share < 1.0 {
            self.at(self.now + WARMING, Event::Warm(server as u32));
        }
    }

    fn finish(mut self) -> Replay {
        let seconds = self.out.seconds.len();
        let net = self.net;
        let end = self.trace.span;
        self.links.iter_mut().for_each(|l| l.turn(end));
        let link = |l: &Link| (0..seconds).map(|s| l.used(s)).collect::<Vec<f64>>();
        let part = |all: &[f64], most: f64| all.iter().take(seconds).map(|v| v / most).collect::<Vec<f64>>();
        let mut used = Vec::new();
        for (office, o) in net.offices.iter().enumerate() {
            for (b, spec) in o.boxes.iter().enumerate() {
                let server = self.first_box[office] + b;
                let name = || spec.name.clone();
                used.push((Resource::BoxLink(name()), link(&self.links[server])));
                if let Some((cores, work)) = spec.cores {
                    let most = cores * 1e6 / work;
                    used.push((Resource::BoxCores(name()), part(&self.calls[server], most)));
                }
                if spec.fills != usize::MAX {
                    let most = spec.fills as f64;
                    used.push((Resource::BoxFills(name()), part(&self.fills_used[server], most)));
                }
            }
            used.push((Resource::LinkIn(o.name.clone()), link(&self.links[self.inlet_at + office])));
        }
        for (h, spec) in net.hubs.iter().enumerate() {
            used.push((Resource::HubLink(spec.name.clone()), link(&self.links[self.hub_at + h])));
            if spec.fetches != usize::MAX {
                let most = spec.fetches as f64;
                used.push((Resource::HubFetches(spec.name.clone()), part(&self.fetches_used[h], most)));
            }
        }
        if let Some(most) = net.library.1 {
            used.push((Resource::LibraryCalls, part(&self.library.calls, most)));
        }
        if let Some(workers) = net.library.0.filter(|_| net.service_us > 0.0) {
            let most = workers as f64 * 1e6 / net.service_us;
            used.push((Resource::LibraryWorkers, part(&self.library.calls, most)));
        }
        if net.library.2.is_some() {
            used.push((Resource::LibraryLink, link(&self.links[self.library_at])));
        }
        used.iter_mut().for_each(|u| u.1.resize(seconds, 0.0));
        self.out.used = used;
        self.out
    }
}

/// A server that was never lost.
const NEVER: u64 = u64::MAX;

impl Replay {
    /// All offices together, over seconds from `from` to `to`.
    pub fn over(&self, from: usize, to: usize) -> Sum {
        let mut sum = Sum::default();
        for second in self.seconds.iter().take(to.min(self.seconds.len())).skip(from) {
            second.iter().for_each(|s| sum.add(s));
        }
        sum
    }

    /// All offices together, second by second, from `from` to `to`.
    pub fn each(&self, from: usize, to: usize) -> Vec<Sum> {
        (from..to).map(|s| self.over(s, s + 1)).collect()
    }

    /// One office, from `from` on.
    pub fn office(&self, office: usize) -> Sum {
        let mut sum = Sum::default();
        let from = (self.from / 1_000_000) as usize;
        self.seconds.iter().skip(from).filter_map(|s| s.get(office)).for_each(|s| sum.add(s));
        sum
    }

    /// All of it, from `from` on.
    pub fn all(&self) -> Sum {
        self.over((self.from / 1_000_000) as usize, self.seconds.len())
    }

    /// The part of requests at boxes that they served from what they held.
    pub fn hit_ratio(&self) -> f64 {
        if self.hits.0 > 0.0 {
            self.hits.1 / self.hits.0
        } else {
            0.0
        }
    }

    /// Bytes filled for each byte served.
    pub fn filled(&self) -> f64 {
        if self.bytes.0 > 0.0 {
            self.bytes.1 / self.bytes.0
        } else {
            0.0
        }
    }

    /// Whether it runs away: tries that come again grow through the load and the worth falls with them.
    pub fn runs_away(&self) -> bool {
        let from = (self.from / 1_000_000) as usize;
        let third = (self.seconds.len() - from.min(self.seconds.len())) / 3;
        if third < 3 {
            return false;
        }
        let (first, last) =
            (self.over(from, from + third), self.over(self.seconds.len() - third, self.seconds.len()));
        let again = |s: &Sum| s.again / s.tries.max(1.0);
        again(&last) > 0.2 && again(&last) > 1.5 * again(&first) && last.in_time() < first.in_time() - 0.1
    }
}
