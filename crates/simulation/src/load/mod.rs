//! Simulated clients: what they request and when, how they retry, and what their answers earn.
//! Arrivals do not wait for answers (an open-loop load), and latency counts from when the first
//! attempt was due, so that a slow system can't hide its own delays.

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

/// Maximum number of retries that a client makes after its first attempt.
const MAX_RETRIES: u32 = 2;
/// Shortest delay before a retry; the delay is drawn between this and twice this, but is never
/// shorter than the retry-after time of a rejection.
const MIN_RETRY_DELAY: Time = 300 * MS;
/// Interval at which the arrival rate changes if arrivals come in bursts.
const BURST_INTERVAL: Time = 2_000 * MS;
/// Smallest and largest factor by which the arrival rate changes.
const BURST_FACTORS: (f64, f64) = (0.2, 4.0);
/// Time that a client waits beyond its timeout, for an answer that was sent at the very end of it.
const TIMEOUT_SLACK: Time = 60 * MS;
/// Share of its weight that a stale answer earns.
pub(crate) const STALE_WEIGHT: f64 = 0.5;
/// With a skewed load, the first router of a site and every router at this distance after it
/// receive more requests than the others.
const SKEWED_ROUTER_STEP: usize = 4;
/// Smallest arrival rate per second: with a rate of 0 the gap to the next arrival would be
/// infinite.
const MIN_RATE: f64 = 1e-9;
/// Separates the clients' random numbers from those of the servers, which have the same seed.
const SEED_SALT: u64 = 0x6c6f_6164;

/// One attempt of a client's request.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// The id of the client's request, under which the driver reports the outcome.
    pub id: u64,
    /// The index of the client's site.
    pub site: usize,
    /// The index, among the routers of the site, of the router that gets the attempt.
    pub router: usize,
    /// The index of the request's class.
    pub class: usize,
    /// The object and the chunk that the client requests.
    pub key: ChunkKey,
    /// The group of the requested object.
    pub group: u32,
    /// The request id on the wire, which is new for every attempt.
    pub rid: u64,
    /// How long the client waits for an answer, in milliseconds.
    pub timeout_ms: u64,
}

/// The outcome of a client's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The router answered that the request was served.
    Served {
        /// The age of the copy, in microseconds since the origin sent it; 0 if the answer does not
        /// tell.
        age: Time,
    },
    /// The router rejected the request.
    Rejected {
        /// The time that the router asks the client to wait before a retry; 0 if it names none.
        retry_after: Time,
    },
    /// The router answered that the request failed, so it may have run.
    Failed,
    /// No answer arrived within the client's timeout.
    TimedOut,
    /// The connection to the router could not be opened, or it broke.
    ConnectionLost,
}

/// A client's request after its last attempt.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// The index of the request's class.
    pub class: usize,
    /// The time at which the first attempt was due.
    pub due: Time,
    /// The time from `due` to the final answer; `None` if the request was not served.
    pub latency: Option<Time>,
    /// The priority weight, which is the most that the request can earn.
    pub weight: f64,
    /// The part of the weight that the request earned; 0 if it was not served.
    pub earned: f64,
    /// Whether the request was served within its latency objective.
    pub in_time: bool,
    /// The bytes served; 0 if the request was not served.
    pub bytes: u64,
    /// The number of attempts that the client made.
    pub attempts: u32,
    /// The outcome of the last attempt.
    pub outcome: ClientOutcome,
}

#[derive(Clone, Copy, Debug)]
enum TimedEvent {
    /// A client of a site requests an object of a class.
    Arrival { site: usize, class: usize },
    /// A client requests the next chunk of its playback.
    NextChunk { playback: u64 },
    /// A client retries its request.
    Retry { request: u64 },
    /// The timeout of an attempt expires. The event is void if the request has moved to another
    /// step.
    Timeout { request: u64, step: u32 },
    /// The arrival rate changes.
    RateChange,
}

/// A request without a final answer.
#[derive(Debug)]
struct OpenRequest {
    attempt: ClientAttempt,
    due: Time,
    attempts: u32,
    /// The number of attempts sent and answers received so far; a scheduled timeout is valid only
    /// for the step that it names.
    step: u32,
    bytes: u64,
}

/// A client that requests the chunks of an object one after another.
#[derive(Clone, Copy, Debug)]
struct Playback {
    site: usize,
    class: usize,
    object: u64,
    next_chunk: u32,
    chunks: u32,
}

/// An object that a client requests because of an active fault, instead of a usual one.
#[derive(Clone, Copy, Debug)]
enum FaultObject {
    /// One of `objects` new objects that clients of all sites request.
    Hot { objects: u64 },
    /// A new object whose chunks are much larger than usual.
    Large,
}

/// All clients of a scenario, as a source of attempts. The driver sends the attempts and reports
/// their outcomes.
#[derive(Debug)]
pub struct Clients {
    scenario: Scenario,
    /// The objects that the clients request.
    pub catalogue: ObjectCatalogue,
    start: Time,
    end: Time,
    now: Time,
    rng: Pcg64Mcg,
    timed_events: EventQueue<TimedEvent>,
    /// The next id of a request or a playback; also numbers the objects that are requested only
    /// once.
    next_id: u64,
    open: HashMap<u64, OpenRequest>,
    playbacks: HashMap<u64, Playback>,
    /// The present arrival rate as a multiple of the scenario's.
    rate_factor: f64,
    /// Attempts that the driver has to send now.
    pub to_send: Vec<ClientAttempt>,
    /// Request ids of attempts whose clients stopped waiting: the driver has to cancel them.
    pub to_cancel: Vec<u64>,
    /// The requests that have their final answer.
    pub completed: Vec<CompletedRequest>,
}

impl Clients {
    /// Creates the clients of a scenario that starts at `start`.
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

    /// The time of the next arrival, retry, timeout or other internal event; `None` if there is
    /// none.
    pub fn due(&self) -> Option<Time> {
        self.timed_events.due()
    }

    /// Whether any request is still without its final answer.
    pub fn waiting(&self) -> bool {
        !self.open.is_empty()
    }

    /// Processes all internal events up to and including `now`.
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

    /// The faults that are active now.
    fn active_faults(&self) -> impl Iterator<Item = &FaultKind> {
        self.scenario.faults_at(as_seconds(self.now.saturating_sub(self.start)))
    }

    fn schedule_arrival(&mut self, site: usize, class: usize) {
        let surge_factor = |fault: &FaultKind| match fault {
            FaultKind::Surge { factor } => *factor,
            _ => 1.0,
        };
        let surge: f64 = self.active_faults().map(surge_factor).product();
        let classes = &self.scenario.classes;
        let total_weight: f64 = classes.iter().map(|class| class.load_weight).sum();
        let site_rate = self.scenario.rate_per_s * self.scenario.load_share(site);
        let chunk_rate = site_rate * classes[class].load_weight / total_weight;
        let rate = chunk_rate / classes[class].chunks as f64;
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

    /// Draws the object that a client requests.
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

    /// The object that an active fault puts in the place of a usual one, if `draw`, a random number
    /// from 0 to 1, falls into the fault's share.
    fn fault_object(&self, class: usize, draw: f64) -> Option<FaultObject> {
        let class_name = &self.scenario.classes[class].name;
        // The shares of the active faults are adjacent ranges of the draw that start at 0.
        let mut range_start = 0.0;
        for fault in self.active_faults() {
            let (share, object) = match fault {
                FaultKind::HotObjects { share, objects } => (share, FaultObject::Hot { objects: *objects }),
                FaultKind::LargeObjects { class, share, .. } if class == class_name => {
                    (share, FaultObject::Large)
                }
                _ => continue,
            };
            if (range_start..range_start + share).contains(&draw) {
                return Some(object);
            }
            range_start += share;
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
        // Each client waits for a random time between half and all of the class's timeout.
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

    /// Processes the outcome of an attempt: schedules a retry or completes the request. Has no
    /// effect if the request is already complete.
    pub fn on_answer(&mut self, now: Time, id: u64, outcome: ClientOutcome) {
        self.now = self.now.max(now);
        let Some(open) = self.open.get_mut(&id) else { return };
        // A non-idempotent request that may have been executed must not be executed again, so it is
        // not retried.
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
        let jitter = (MIN_RETRY_DELAY as f64 * self.rng.random::<f64>()) as Time;
        let retry_after = match outcome {
            ClientOutcome::Rejected { retry_after } => retry_after,
            _ => 0,
        };
        let delay = (MIN_RETRY_DELAY + jitter).max(retry_after);
        self.schedule(now + delay, TimedEvent::Retry { request: id });
    }

    /// Completes a request and computes what it earned.
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

/// Draws the index of the site's router that gets an attempt. The first router and every fourth one
/// after it are drawn `skew` times as often as the others.
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
