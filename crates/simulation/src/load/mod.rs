//! Clients: what they request and when, how they retry, and what their answers earn. Arrivals don't
//! wait for answers, and latency counts from when the first attempt was due, whatever happened
//! since.

mod catalogue;

pub use catalogue::{ObjectCatalogue, MAX_CHUNK_BYTES};

use crate::event_queue::EventQueue;
use crate::objects::ChunkKey;
use crate::scenario::{FaultKind, Scenario};
use crate::time::{as_seconds, from_seconds};
use crate::{Time, MS};
use catalogue::{Audience, ObjectSize};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

/// Retries of a client after its first attempt.
const MAX_RETRIES: u32 = 2;
/// A client waits this long before a retry, and up to twice as long, unless it was told when to
/// come back.
const MIN_RETRY_DELAY: Time = 300 * MS;
/// The rate of arrivals changes this often, if they come in bursts.
const BURST_INTERVAL: Time = 2_000 * MS;
/// The bounds of the factor by which the rate changes.
const BURST_FACTORS: (f64, f64) = (0.2, 4.0);
/// An answer at the very end of a client's timeout may be on its way for so long.
const TIMEOUT_SLACK: Time = 60 * MS;
/// The part of its weight that a stale answer earns.
pub(crate) const STALE_WEIGHT: f64 = 0.5;
/// Of a site's routers, every so many-th receives more requests than the others, if load is skewed.
const SKEWED_ROUTER_STEP: usize = 4;
/// Keeps a rate of 0 from having no next arrival.
const MIN_RATE: f64 = 1e-9;
/// Tells the clients' random numbers from those of the servers under the same seed.
const SEED_SALT: u64 = 0x6c6f_6164;

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// Its number: what answers are given by.
    pub id: u64,
    /// The client's site, by index.
    pub site: usize,
    /// Which of the site's routers it goes to.
    pub router: usize,
    /// Its class, by index.
    pub class: usize,
    /// What it requests.
    pub key: ChunkKey,
    /// The object's group.
    pub group: u32,
    /// The id on the wire, new with every attempt.
    pub rid: u64,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: u64,
}

/// How an attempt of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// It was served.
    Served {
        /// The age of the copy.
        age: Time,
    },
    /// It was rejected.
    Rejected {
        /// When to come back; 0: as the client likes.
        retry_after: Time,
    },
    /// It failed.
    Failed,
    /// Nothing came in time.
    TimedOut,
    /// No connection could be made, or it broke.
    ConnectionLost,
}

/// What became of a client's request, with all its attempts.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// Its class, by index.
    pub class: usize,
    /// When the first attempt was due.
    pub due: Time,
    /// How long it took, if it was served.
    pub latency: Option<Time>,
    /// Its priority weight: what it can earn at most.
    pub weight: f64,
    /// What it earned.
    pub earned: f64,
    /// It was served within its latency objective.
    pub in_time: bool,
    /// Bytes served.
    pub bytes: u64,
    /// Attempts of the client.
    pub attempts: u32,
    /// How the last of them ended.
    pub outcome: ClientOutcome,
}

#[derive(Clone, Copy, Debug)]
enum TimedEvent {
    /// A client of a site requests an object of a class.
    Arrival { site: usize, class: usize },
    /// A client requests the next chunk of what it plays.
    NextChunk { playback: u64 },
    /// A client retries.
    Retry { request: u64 },
    /// An attempt times out, unless another step has been taken since.
    Timeout { request: u64, step: u32 },
    /// The rate of arrivals changes.
    RateChange,
}

/// A request that has no final answer yet.
#[derive(Debug)]
struct OpenRequest {
    attempt: ClientAttempt,
    due: Time,
    attempts: u32,
    /// Attempts and answers so far: the time-out of another step is void.
    step: u32,
    bytes: u64,
}

/// A client that requests an object chunk by chunk.
#[derive(Clone, Copy, Debug)]
struct Playback {
    site: usize,
    class: usize,
    object: u64,
    next_chunk: u32,
    chunks: u32,
}

/// An object that a fault has a client request in place of a usual one.
#[derive(Clone, Copy, Debug)]
enum FaultObject {
    /// One of so many that everybody requests.
    Hot { objects: u64 },
    /// A new one of many times the usual size.
    Large,
}

/// The clients of a scenario.
#[derive(Debug)]
pub struct Clients {
    scenario: Scenario,
    /// What they request.
    pub catalogue: ObjectCatalogue,
    start: Time,
    end: Time,
    now: Time,
    rng: Pcg64Mcg,
    timed_events: EventQueue<TimedEvent>,
    /// Ids of requests and playbacks, and numbers of objects that are requested once.
    next_id: u64,
    open: HashMap<u64, OpenRequest>,
    playbacks: HashMap<u64, Playback>,
    /// By how much the rate of arrivals differs from the scenario's now.
    rate_factor: f64,
    /// Attempts that the driver is to send now.
    pub to_send: Vec<ClientAttempt>,
    /// Attempts whose client stopped waiting, by id: the driver is to cancel them.
    pub to_cancel: Vec<u64>,
    /// Requests that are finished.
    pub completed: Vec<CompletedRequest>,
}

impl Clients {
    /// The clients of a scenario that starts then.
    pub fn new(scenario: &Scenario, start: Time, seed: u64) -> Clients {
        let mut clients = Clients {
            catalogue: ObjectCatalogue::new(scenario),
            start,
            end: start + from_seconds(scenario.seconds),
            now: start,
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            timed_events: EventQueue::default(),
            next_id: 1,
            open: HashMap::new(),
            playbacks: HashMap::new(),
            rate_factor: 1.0,
            to_send: Vec::new(),
            to_cancel: Vec::new(),
            completed: Vec::new(),
            scenario: scenario.clone(),
        };
        for site in 0..scenario.sites.len() {
            for class in 0..scenario.classes.len() {
                clients.schedule_arrival(site, class);
            }
        }
        if scenario.burstiness > 0.0 {
            clients.schedule(start, TimedEvent::RateChange);
        }
        clients
    }

    fn schedule(&mut self, at: Time, event: TimedEvent) {
        self.timed_events.push(at.max(self.now), event);
    }

    fn new_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// When something happens by itself next.
    pub fn due(&self) -> Option<Time> {
        self.timed_events.due()
    }

    /// Whether any request has no final answer yet.
    pub fn waiting(&self) -> bool {
        !self.open.is_empty()
    }

    /// Lets time pass up to then.
    pub fn advance(&mut self, now: Time) {
        while let Some((at, event)) = self.timed_events.pop_due(now) {
            self.now = self.now.max(at);
            self.on_timed_event(at, event);
        }
        self.now = self.now.max(now);
    }

    fn on_timed_event(&mut self, at: Time, event: TimedEvent) {
        match event {
            TimedEvent::RateChange => self.change_rate(at),
            TimedEvent::Arrival { site, class } if at < self.end => self.on_arrival(at, site, class),
            TimedEvent::NextChunk { playback } if at < self.end => self.request_next_chunk(at, playback),
            TimedEvent::Arrival { .. } | TimedEvent::NextChunk { .. } => {}
            TimedEvent::Retry { request } => self.send_attempt(request),
            TimedEvent::Timeout { request, step } => {
                if self.open.get(&request).is_some_and(|open| open.step == step) {
                    self.to_cancel.push(request);
                    self.on_answer(at, request, ClientOutcome::TimedOut);
                }
            }
        }
    }

    // ---- arrivals ----

    fn change_rate(&mut self, now: Time) {
        let (min, max) = BURST_FACTORS;
        let factors = LogNormal::new(0.0, self.scenario.burstiness);
        self.rate_factor = factors.map_or(1.0, |factors| factors.sample(&mut self.rng)).clamp(min, max);
        self.schedule(now + BURST_INTERVAL, TimedEvent::RateChange);
    }

    /// Faults that are active now.
    fn active_faults(&self) -> impl Iterator<Item = &FaultKind> {
        self.scenario.faults_at(as_seconds(self.now.saturating_sub(self.start)))
    }

    fn schedule_arrival(&mut self, site: usize, class: usize) {
        let surge_of = |fault: &FaultKind| match fault {
            FaultKind::Surge { factor } => *factor,
            _ => 1.0,
        };
        let surge: f64 = self.active_faults().map(surge_of).product();
        let classes = &self.scenario.classes;
        let total_weight: f64 = classes.iter().map(|class| class.load_weight).sum();
        let class_of_site = self.scenario.rate_per_s * self.scenario.load_share(site);
        let chunks = class_of_site * classes[class].load_weight / total_weight;
        let rate = chunks / classes[class].chunks as f64;
        let gap: f64 = Exp1.sample(&mut self.rng);
        let gap_s = gap / (rate * surge * self.rate_factor).max(MIN_RATE);
        self.schedule(self.now + from_seconds(gap_s), TimedEvent::Arrival { site, class });
    }

    fn on_arrival(&mut self, now: Time, site: usize, class: usize) {
        let object = self.draw_object(site, class);
        let chunks = self.scenario.classes[class].chunks as u32;
        self.open_request(now, site, class, ChunkKey { object, chunk: 0 });
        if chunks > 1 {
            let id = self.new_id();
            self.playbacks.insert(id, Playback { site, class, object, next_chunk: 1, chunks });
            self.schedule_next_chunk(id, class);
        }
        self.schedule_arrival(site, class);
    }

    fn request_next_chunk(&mut self, now: Time, id: u64) {
        let Some(playback) = self.playbacks.get_mut(&id) else { return };
        let Playback { site, class, object, next_chunk, chunks } = *playback;
        playback.next_chunk += 1;
        self.open_request(now, site, class, ChunkKey { object, chunk: next_chunk });
        if next_chunk + 1 < chunks {
            self.schedule_next_chunk(id, class);
        } else {
            self.playbacks.remove(&id);
        }
    }

    fn schedule_next_chunk(&mut self, playback: u64, class: usize) {
        let gap_ms = self.scenario.classes[class].chunk_gap_ms * (0.5 + self.rng.random::<f64>());
        self.schedule(self.now + from_seconds(gap_ms / 1e3), TimedEvent::NextChunk { playback });
    }

    // ---- objects ----

    /// What a client requests.
    fn draw_object(&mut self, site: usize, class: usize) -> u64 {
        let draw: f64 = self.rng.random();
        let fault_object = self.fault_object(class, draw);
        if let Some(FaultObject::Large) = fault_object {
            return self.single_use_object(class, ObjectSize::Large);
        }
        if self.scenario.classes[class].non_idempotent {
            return self.single_use_object(class, ObjectSize::Usual);
        }
        if let Some(FaultObject::Hot { objects }) = fault_object {
            let rank = self.rng.random_range(0..objects);
            return self.catalogue.object_id(class, Audience::Hot, rank, ObjectSize::Usual);
        }
        self.draw_usual_object(site, class)
    }

    /// The object that an active fault puts in place of a usual one, if the draw is in the fault's
    /// part.
    fn fault_object(&self, class: usize, draw: f64) -> Option<FaultObject> {
        let class_name = &self.scenario.classes[class].name;
        // The faults' parts lie one after another.
        let mut begin = 0.0;
        for fault in self.active_faults() {
            let (share, object) = match fault {
                FaultKind::HotObjects { share, objects } => (share, FaultObject::Hot { objects: *objects }),
                FaultKind::LargeObjects { class, share, .. } if class == class_name => {
                    (share, FaultObject::Large)
                }
                _ => continue,
            };
            if (begin..begin + share).contains(&draw) {
                return Some(object);
            }
            begin += share;
        }
        None
    }

    fn single_use_object(&mut self, class: usize, size: ObjectSize) -> u64 {
        self.next_id += 1;
        self.catalogue.object_id(class, Audience::SingleUse, self.next_id, size)
    }

    fn draw_usual_object(&mut self, site: usize, class: usize) -> u64 {
        let draw: f64 = self.rng.random();
        let request_class = &self.scenario.classes[class];
        let single_use = request_class.single_use_share;
        if draw < single_use {
            return self.single_use_object(class, ObjectSize::Usual);
        }
        let ranks = Zipf::new(request_class.objects as f64, request_class.zipf_exponent);
        let rank = ranks.map_or(1.0, |ranks| ranks.sample(&mut self.rng)) as u64;
        let local = self.scenario.sites[site].local_share.unwrap_or(request_class.local_share);
        let audience = if draw < single_use + local { Audience::Site(site) } else { Audience::AllSites };
        self.catalogue.object_id(class, audience, rank, ObjectSize::Usual)
    }

    // ---- attempts ----

    fn open_request(&mut self, due: Time, site: usize, class: usize, key: ChunkKey) {
        let id = self.new_id();
        let bytes = self.catalogue.chunk_bytes(class, key);
        let group = ObjectCatalogue::group(key.object);
        let attempt = ClientAttempt { id, site, router: 0, class, key, group, rid: 0, timeout_ms: 0 };
        self.open.insert(id, OpenRequest { attempt, due, attempts: 0, step: 0, bytes });
        self.send_attempt(id);
    }

    fn send_attempt(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.attempts += 1;
        open.step += 1;
        let attempt = &mut open.attempt;
        // A client waits for half of the class's timeout or more.
        let timeout_ms = self.scenario.classes[attempt.class].timeout_ms;
        attempt.timeout_ms = (timeout_ms * (0.5 + 0.5 * self.rng.random::<f64>())) as u64;
        attempt.rid = self.rng.random();
        let routers = self.scenario.sites[attempt.site].routers;
        attempt.router = draw_router(&mut self.rng, routers, self.scenario.router_skew);
        let timeout = TimedEvent::Timeout { request: id, step: open.step };
        let times_out_at = self.now + attempt.timeout_ms * MS + TIMEOUT_SLACK;
        self.to_send.push(attempt.clone());
        self.schedule(times_out_at, timeout);
    }

    /// An attempt has ended.
    pub fn on_answer(&mut self, now: Time, id: u64, outcome: ClientOutcome) {
        self.now = self.now.max(now);
        let Some(open) = self.open.get_mut(&id) else { return };
        // What may have run and must not run twice is never retried.
        let retry_allowed = match outcome {
            ClientOutcome::Served { .. } => false,
            ClientOutcome::Rejected { .. } => true,
            ClientOutcome::Failed | ClientOutcome::TimedOut | ClientOutcome::ConnectionLost => {
                !self.scenario.classes[open.attempt.class].non_idempotent
            }
        };
        if retry_allowed && open.attempts <= MAX_RETRIES {
            open.step += 1;
            return self.schedule_retry(now, id, outcome);
        }
        if let Some(open) = self.open.remove(&id) {
            self.complete(now, &open, outcome);
        }
    }

    fn schedule_retry(&mut self, now: Time, id: u64, outcome: ClientOutcome) {
        let further = (MIN_RETRY_DELAY as f64 * self.rng.random::<f64>()) as Time;
        let retry_after = match outcome {
            ClientOutcome::Rejected { retry_after } => retry_after,
            _ => 0,
        };
        let delay = (MIN_RETRY_DELAY + further).max(retry_after);
        self.schedule(now + delay, TimedEvent::Retry { request: id });
    }

    /// A request has its final answer.
    fn complete(&mut self, now: Time, open: &OpenRequest, outcome: ClientOutcome) {
        let class = &self.scenario.classes[open.attempt.class];
        let latency = now.saturating_sub(open.due);
        let sending_s = open.bytes as f64 / self.scenario.flow_bytes_per_s;
        let objective_s = class.latency_objective_ms / 1e3 + class.latency_objective_stretch * sending_s;
        let served_age = match outcome {
            ClientOutcome::Served { age } => Some(age),
            _ => None,
        };
        let in_time = served_age.is_some() && latency <= from_seconds(objective_s);
        let is_stale = |age: Time| class.fresh_s > 0.0 && age > from_seconds(class.fresh_s);
        let time_weight = if in_time { 1.0 } else { class.late_weight };
        let earned = |age: Time| {
            let age_weight = if is_stale(age) { STALE_WEIGHT } else { 1.0 };
            class.priority_weight * time_weight * age_weight
        };
        self.completed.push(CompletedRequest {
            class: open.attempt.class,
            due: open.due,
            latency: served_age.map(|_| latency),
            weight: class.priority_weight,
            earned: served_age.map_or(0.0, earned),
            in_time,
            bytes: if served_age.is_some() { open.bytes } else { 0 },
            attempts: open.attempts,
            outcome,
        });
    }
}

/// Which of a site's routers a client uses: the first, and every fourth after it, `skew` times as
/// often.
fn draw_router(rng: &mut impl Rng, routers: usize, skew: f64) -> usize {
    if skew <= 1.0 {
        return rng.random_range(0..routers);
    }
    let weight = |router: usize| if router.is_multiple_of(SKEWED_ROUTER_STEP) { skew } else { 1.0 };
    let mut rest = rng.random::<f64>() * (0..routers).map(weight).sum::<f64>();
    let is_drawn = |router: &usize| {
        rest -= weight(*router);
        rest < 0.0
    };
    (0..routers).find(is_drawn).unwrap_or(0)
}
