//! Clients: what they ask for and when, how they try again, and what their answers were worth. Arrivals don't wait
//! for answers, and time to an answer counts from when the first try was to be sent, whatever happened since.

use crate::lru_cache::Key;
use crate::model::secs;
use crate::scenario::{Class, FaultKind, Scenario};
use crate::{Time, MS};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Further tries of a client.
const TRIES: u32 = 2;
/// A client waits this long before it tries again, and up to twice as long, unless told when to come back.
const WAIT: Time = 300 * MS;
/// An object holds at most so many bytes on the sockets.
const BYTES_MOST: f64 = 240_000.0;
/// The rate of arrivals wanders anew after this.
const WANDER: Time = 2_000 * MS;
/// An answer at the very end of a client's time may be on its way for so long.
const SLACK: Time = 60 * MS;
/// Groups of objects.
const GROUPS: u64 = 256;

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// Its number: what answers are given by.
    pub id: u64,
    /// The office of its client, and which of its routers it goes to.
    pub office: usize,
    /// See `office`.
    pub router: usize,
    /// Its class.
    pub class: usize,
    /// The object's part.
    pub key: Key,
    /// Its group.
    pub group: u32,
    /// The id on the wire, new with every try.
    pub rid: u64,
    /// How long the client waits, in milliseconds.
    pub budget_ms: u64,
}

/// What a client was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// Served, so old a copy.
    Served(Time),
    /// Refused; come back after this long, if told.
    Refused(Time),
    /// Failed.
    Failed,
    /// Nothing came in time.
    Nothing,
    /// No connection could be made, or it broke.
    Lost,
}

/// What became of a first try and those after it.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// Its class.
    pub class: usize,
    /// The office.
    pub office: usize,
    /// When it was to be sent.
    pub meant: Time,
    /// How long it took, if it was served.
    pub took: Option<Time>,
    /// What it was worth at most, and what it earned.
    pub worth: (f64, f64),
    /// In time.
    pub in_time: bool,
    /// Bytes served.
    pub bytes: u64,
    /// Tries of the client.
    pub tries: u32,
    /// The last answer.
    pub got: ClientOutcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Arrivals of a class at an office.
    Arrive(usize, usize),
    /// The next part of what a client watches, and how many are left.
    Part(u64),
    Again(u64),
    Overdue(u64, u32),
    Wander,
}

#[derive(Debug)]
struct Wait {
    ask: ClientAttempt,
    meant: Time,
    tries: u32,
    /// Sendings and answers so far: a time-out of another turn is old.
    turn: u32,
    bytes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    office: usize,
    class: usize,
    object: u64,
    next: u32,
    most: u32,
}

/// Objects: which is asked for, and how large each is.
#[derive(Clone, Debug)]
pub struct Objects {
    classes: Vec<Class>,
    seed: u64,
    large: Vec<f64>,
}

/// What kind of object an id is: in its lowest byte.
const PLAIN: u64 = 0;
const LARGE: u64 = 1;

impl Objects {
    /// The objects of a day.
    pub fn new(day: &Scenario) -> Objects {
        let mut large = vec![1.0; day.classes.len()];
        for f in &day.faults {
            if let FaultKind::Large { class, times, .. } = &f.what {
                if let Some(c) = day.classes.iter().position(|c| c.name == *class) {
                    large[c] = *times;
                }
            }
        }
        Objects { classes: day.classes.clone(), seed: day.catalogue, large }
    }

    fn id(&self, class: usize, space: u64, rank: u64, kind: u64) -> u64 {
        let name = [class as u64, space, rank].map(u64::to_le_bytes).concat();
        xxh3_64_with_seed(&name, self.seed) & !0xff | kind
    }

    /// An object's group.
    pub fn group(object: u64) -> u32 {
        ((object >> 8) % GROUPS) as u32
    }

    /// The bytes of a part: drawn by its id from the class's distribution.
    pub fn bytes(&self, class: usize, key: Key) -> u64 {
        let c = &self.classes[class];
        let mut rng = Pcg64Mcg::seed_from_u64(key.0 ^ self.seed ^ u64::from(key.1).rotate_left(40));
        let mean = c.bytes.ln() - c.sigma * c.sigma / 2.0;
        let drawn = LogNormal::new(mean, c.sigma).map_or(c.bytes, |d| d.sample(&mut rng));
        let times = if key.0 & 0xff == LARGE { self.large[class] } else { 1.0 };
        (drawn * times).clamp(64.0, BYTES_MOST) as u64
    }
}

/// The clients of a day.
#[derive(Debug)]
pub struct Clients {
    day: Scenario,
    /// Sizes of what they ask for.
    pub objects: Objects,
    start: Time,
    end: Time,
    now: Time,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    seq: u64,
    next_id: u64,
    waits: HashMap<u64, Wait>,
    watches: HashMap<u64, Watch>,
    wander: f64,
    /// Requests to be sent now.
    pub asks: Vec<ClientAttempt>,
    /// Requests whose client stopped waiting.
    pub undone: Vec<u64>,
    /// What is finished.
    pub done: Vec<CompletedRequest>,
}

impl Clients {
    /// The clients of a day that starts then.
    pub fn new(day: &Scenario, start: Time, seed: u64) -> Clients {
        let mut clients = Clients {
            objects: Objects::new(day),
            start,
            end: start + secs(day.seconds),
            now: start,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6c6f_6164),
            events: BinaryHeap::new(),
            seq: 0,
            next_id: 1,
            waits: HashMap::new(),
            watches: HashMap::new(),
            wander: 1.0,
            asks: Vec::new(),
            undone: Vec::new(),
            done: Vec::new(),
            day: day.clone(),
        };
        for office in 0..day.offices.len() {
            for class in 0..day.classes.len() {
                clients.arrive_later(office, class);
            }
        }
        if day.burst > 0.0 {
            clients.at(start, Event::Wander);
        }
        clients
    }

    fn at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at.max(self.now), self.seq, event)));
    }

    /// When something happens by itself.
    pub fn due(&self) -> Option<Time> {
        self.events.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Whether anybody still waits.
    pub fn waiting(&self) -> bool {
        !self.waits.is_empty()
    }

    /// Faults of the load that hold now.
    fn faults(&self) -> impl Iterator<Item = &FaultKind> {
        self.day.faults_at(self.now.saturating_sub(self.start) as f64 / 1e6)
    }

    fn arrive_later(&mut self, office: usize, class: usize) {
        let c = &self.day.classes[class];
        let parts: f64 = self.day.classes.iter().map(|c| c.part).sum();
        let surge: f64 =
            self.faults().map(|f| if let FaultKind::Surge { times } = f { *times } else { 1.0 }).product();
        let rate = self.day.rate_per_s * self.day.part(office) * c.part / parts / c.parts as f64;
        let gap: f64 = Exp1.sample(&mut self.rng);
        let at = self.now + secs(gap / (rate * surge * self.wander).max(1e-9));
        self.at(at, Event::Arrive(office, class));
    }

    fn object(&mut self, office: usize, class: usize) -> u64 {
        let mut crowd = None;
        let mut large = false;
        let draw: f64 = self.rng.random();
        let mut below = 0.0;
        let name = &self.day.classes[class].name;
        for f in self.faults() {
            match f {
                FaultKind::Crowd { part, objects } => {
                    if (below..below + part).contains(&draw) {
                        crowd = Some(*objects);
                    }
                    below += part;
                }
                FaultKind::Large { class, part, .. } if class == name => {
                    large |= (below..below + part).contains(&draw);
                    below += part;
                }
                _ => {}
            }
        }
        let c = &self.day.classes[class];
        let local = self.day.offices[office].local.unwrap_or(c.local);
        let (once, zipf, objects) = (c.once, c.zipf, c.objects);
        if c.write || large {
            let kind = if large { LARGE } else { PLAIN };
            self.next_id += 1;
            return self.objects.id(class, u64::MAX, self.next_id, kind);
        }
        if let Some(objects) = crowd {
            let rank = self.rng.random_range(0..objects);
            return self.objects.id(class, u64::MAX - 1, rank, PLAIN);
        }
        let draw: f64 = self.rng.random();
        if draw < once {
            self.next_id += 1;
            return self.objects.id(class, u64::MAX, self.next_id, PLAIN);
        }
        let rank = Zipf::new(objects as f64, zipf).map_or(1.0, |d| d.sample(&mut self.rng)) as u64;
        let space = if draw < once + local { 1 + office as u64 } else { 0 };
        self.objects.id(class, space, rank, PLAIN)
    }

    /// Lets time pass up to then.
    pub fn advance(&mut self, now: Time) {
        while self.due().is_some_and(|at| at <= now) {
            if let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = self.now.max(at);
                self.on_event(at, event);
            }
        }
        self.now = self.now.max(now);
    }

    fn on_event(&mut self, at: Time, event: Event) {
        match event {
            Event::Wander => {
                let step = LogNormal::new(0.0, self.day.burst).map_or(1.0, |d| d.sample(&mut self.rng));
                self.wander = step.clamp(0.2, 4.0);
                self.at(at + WANDER, Event::Wander);
            }
            Event::Arrive(office, class) if at < self.end => {
                let object = self.object(office, class);
                let most = self.day.classes[class].parts as u32;
                self.first_try(at, office, class, (object, 0));
                if most > 1 {
                    let id = self.next_id;
                    self.next_id += 1;
                    self.watches.insert(id, Watch { office, class, object, next: 1, most });
                    self.part_later(id);
                }
                self.arrive_later(office, class);
            }
            Event::Part(id) if at < self.end => {
                let Some(watch) = self.watches.get_mut(&id) else { return };
                let w = *watch;
                watch.next += 1;
                self.first_try(at, w.office, w.class, (w.object, w.next));
                if w.next + 1 < w.most {
                    self.part_later(id);
                } else {
                    self.watches.remove(&id);
                }
            }
            Event::Arrive(..) | Event::Part(_) => {}
            Event::Again(id) => self.send(id),
            Event::Overdue(id, turn) => {
                if self.waits.get(&id).is_some_and(|w| w.turn == turn) {
                    self.undone.push(id);
                    self.answered(at, id, ClientOutcome::Nothing);
                }
            }
        }
    }

    fn part_later(&mut self, watch: u64) {
        let Some(w) = self.watches.get(&watch) else { return };
        let gap = self.day.classes[w.class].gap_ms * (0.5 + self.rng.random::<f64>());
        self.at(self.now + secs(gap / 1e3), Event::Part(watch));
    }

    fn first_try(&mut self, meant: Time, office: usize, class: usize, key: Key) {
        let id = self.next_id;
        self.next_id += 1;
        let bytes = self.objects.bytes(class, key);
        let ask = ClientAttempt {
            id,
            office,
            router: 0,
            class,
            key,
            group: Objects::group(key.0),
            rid: 0,
            budget_ms: 0,
        };
        self.waits.insert(id, Wait { ask, meant, tries: 0, turn: 0, bytes });
        self.send(id);
    }

    fn send(&mut self, id: u64) {
        let Some(wait) = self.waits.get_mut(&id) else { return };
        (wait.tries, wait.turn) = (wait.tries + 1, wait.turn + 1);
        let class = &self.day.classes[wait.ask.class];
        // A try is given up after half of the class's time or more.
        wait.ask.budget_ms = (class.deadline_ms * (0.5 + 0.5 * self.rng.random::<f64>())) as u64;
        wait.ask.rid = self.rng.random();
        let routers = self.day.offices[wait.ask.office].routers;
        wait.ask.router = drawn(&mut self.rng, routers, self.day.uneven);
        let (ask, turn) = (wait.ask.clone(), wait.turn);
        self.at(self.now + ask.budget_ms * MS + SLACK, Event::Overdue(id, turn));
        self.asks.push(ask);
    }

    /// A try was answered.
    pub fn answered(&mut self, now: Time, id: u64, got: ClientOutcome) {
        self.now = self.now.max(now);
        let Some(wait) = self.waits.get(&id) else { return };
        let class = &self.day.classes[wait.ask.class];
        // What may have run and must not run twice is never asked for again.
        let again = match got {
            ClientOutcome::Served(_) => false,
            ClientOutcome::Refused(_) => true,
            ClientOutcome::Failed | ClientOutcome::Nothing => !class.write,
            ClientOutcome::Lost => !class.write,
        };
        if again && wait.tries <= TRIES {
            let wait = WAIT + (WAIT as f64 * self.rng.random::<f64>()) as Time;
            let told = if let ClientOutcome::Refused(backoff) = got { backoff } else { 0 };
            if let Some(w) = self.waits.get_mut(&id) {
                w.turn += 1;
            }
            return self.at(now + wait.max(told), Event::Again(id));
        }
        if let Some(wait) = self.waits.remove(&id) {
            self.finish(now, wait, got);
        }
    }

    fn finish(&mut self, now: Time, wait: Wait, got: ClientOutcome) {
        let class = &self.day.classes[wait.ask.class];
        let took = now.saturating_sub(wait.meant);
        let sending = wait.bytes as f64 / self.day.flow_bytes_per_s;
        let aim = secs(class.aim_ms / 1e3 + class.aim_stretch * sending);
        let served = match got {
            ClientOutcome::Served(age) => Some(age),
            _ => None,
        };
        let in_time = served.is_some() && took <= aim;
        let stale = class.fresh_s > 0.0 && served.is_some_and(|age| age > secs(class.fresh_s));
        let part = if in_time { 1.0 } else { class.late_worth };
        let earned = served.map_or(0.0, |_| class.worth * part * if stale { 0.5 } else { 1.0 });
        self.done.push(CompletedRequest {
            class: wait.ask.class,
            office: wait.ask.office,
            meant: wait.meant,
            took: served.map(|_| took),
            worth: (class.worth, earned),
            in_time,
            bytes: if served.is_some() { wait.bytes } else { 0 },
            tries: wait.tries,
            got,
        });
    }
}
/// Which of an office's routers a client asks: the first, and every fourth after it, that many times as often.
fn drawn(rng: &mut impl Rng, routers: usize, uneven: f64) -> usize {
    if uneven <= 1.0 {
        return rng.random_range(0..routers);
    }
    let weight = |r: usize| if r.is_multiple_of(4) { uneven } else { 1.0 };
    let mut at = rng.random::<f64>() * (0..routers).map(weight).sum::<f64>();
    let passed = |r: &usize| {
        at -= weight(*r);
        at < 0.0
    };
    (0..routers).find(passed).unwrap_or(0)
}
