//! A simulated world around one instance of the decision module. Requests, endpoint behaviour,
//! purges and changes of the endpoint list are generated from one seed.

use super::frames::{Action, Adapter, AttemptFields, Batch, ListedEndpoint, OutcomeFields, RequestFields};
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds in a millisecond.
const MS: u64 = 1_000;
/// Time at which a world begins, in microseconds.
const START: u64 = 1_000_000 * MS;
/// Number of objects, which are numbered from 1.
const OBJECTS: u64 = 12;
/// Upper bound of the time between two requests in most worlds, in milliseconds.
const USUAL_MAX_GAP_MS: u64 = 70;
/// Upper bound of the time between two requests in worlds with high load, in milliseconds.
const CROWDED_MAX_GAP_MS: u64 = 8;
/// Number of object groups. An object belongs to the group of its number modulo this.
const GROUPS: u64 = 3;
/// Kind of the parent caches. Edge caches are of kind 0.
const PARENT: u16 = 1;
/// Kind of the origin.
const ORIGIN: u16 = 2;
/// Connection timeout in microseconds, equal to `limits.dialTimeout` of all deployments.
pub const CONNECT_TIMEOUT: u64 = 200 * MS;

// Codes of the status of an attempt.
const OK: u8 = 0;
const MISS: u8 = 1;
const MOOT: u8 = 249;
const CANCELLED: u8 = 250;
const RESET: u8 = 251;
const CONNECT_FAILED: u8 = 252;
const TIMEOUT: u8 = 253;
const FULL: u8 = 254;
const ERROR: u8 = 255;

// Codes of the cache status of an attempt. Those above `CACHE_STATUS_STALE` are causes of a failed
// fill.
const CACHE_STATUS_NONE: u8 = 0;
const CACHE_STATUS_HIT: u8 = 1;
const CACHE_STATUS_FILLED: u8 = 2;
const CACHE_STATUS_FILLED_BY_ORIGIN: u8 = 3;
const CACHE_STATUS_JOINED: u8 = 4;
const CACHE_STATUS_STALE: u8 = 5;
const CACHE_STATUS_SOURCE_REFUSED: u8 = 6;
const CACHE_STATUS_SOURCE_UNREACHABLE: u8 = 7;
const CACHE_STATUS_SOURCE_LACKS: u8 = 8;
const CACHE_STATUS_NO_FILL_PLACE: u8 = 9;
const CACHE_STATUS_ORIGIN_FAILED: u8 = 10;

// Codes of the state of an endpoint list entry.
const GONE: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

// Codes of the kind of an endpoint list: delta, full and cached.
const LIST_DELTA: u8 = 0;
const LIST_FULL: u8 = 1;
const LIST_CACHED: u8 = 2;

/// Which cache statuses the attempt outcomes of a deployment report.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ReportedStatuses {
    /// No cache status at all.
    Nothing,
    /// Hits, fills and stale copies, but no causes of failed fills.
    Hits,
    /// Every cache status.
    All,
}

/// How the clients of a world use a request class.
pub struct ClassUse {
    /// Upper bound of the time that a client waits, in microseconds. The lower bound is half of it.
    pub max_wait: u64,
    /// Whether the requests are writes.
    pub writes: bool,
    /// Whether responses are streamed.
    pub streams: bool,
}

/// The settings of the decision module, with the properties that the world must match.
pub struct Deployment {
    /// Settings text of the instance.
    pub settings: &'static str,
    /// Request classes, in the order of the settings.
    pub classes: &'static [ClassUse],
    /// Cache statuses that endpoints report.
    pub reported_statuses: ReportedStatuses,
    /// Whether requests carry the size of the chunk.
    pub has_chunk_sizes: bool,
}

/// Numbers of actions of the module and of events sent to it. They show that the digest covers each
/// kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub attempts: u32,
    /// Attempts other than the first one of a request.
    pub retries: u32,
    /// Attempts with a fill source.
    pub with_source: u32,
    /// Attempts that were sent while another attempt of the request was in flight.
    pub hedges: u32,
    /// Attempts that allow stale copies up to a greatest age.
    pub bounded_age: u32,
    pub cancels: u32,
    pub probes: u32,
    pub subscriptions: u32,
    /// Rejected requests.
    pub rejections: u32,
    /// Failed requests.
    pub failures: u32,
    pub timers: u32,
    pub purges: u32,
    /// Endpoint list entries that report a draining endpoint.
    pub drains: u32,
    /// Endpoint list entries that report a restarted endpoint.
    pub restarts: u32,
}

/// The pseudorandom number generator SplitMix64.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
    fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low)
    }
    /// Returns true with a probability of `chance` percent.
    fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }
}

/// How an endpoint responds to attempts and probes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Health {
    Good,
    Slow,
    Failing,
    Dead,
    Full,
}

/// An endpoint of the world.
struct TestEndpoint {
    /// Entry in the endpoint list.
    listed: ListedEndpoint,
    health: Health,
    /// Number of attempts in flight at this endpoint.
    outstanding: u64,
}

/// An attempt in flight.
struct Attempt {
    fields: AttemptFields,
    /// Time at which the attempt was sent, in microseconds.
    sent: u64,
}

/// A client's request. It remains in the world after it is closed, since attempts may still end.
struct ClientRequest {
    class: usize,
    object: u64,
    part: u64,
    /// Number of attempts sent so far.
    attempts: u16,
    /// Whether the request was served, rejected, failed or cancelled.
    closed: bool,
    /// Attempts in flight, by number.
    in_flight: BTreeMap<u16, Attempt>,
}

/// The end of an attempt that is neither cancelled nor cut off by a restart of its endpoint.
struct Ending {
    /// Time from sending to the end, in microseconds.
    after: u64,
    status: u8,
    /// Code of the cache status.
    cache_status: u8,
}

impl Ending {
    fn new(after: u64, status: u8, cache_status: u8) -> Ending {
        Ending { after, status, cache_status }
    }
}

/// A scheduled event of the world.
#[derive(Clone, Copy)]
enum ScheduledEvent {
    /// A client sends a request.
    Arrival,
    /// The health or the list entry of an endpoint changes.
    Change,
    Purge,
    /// A timer of the module expires.
    Timer(u64),
    /// A health probe of an endpoint ends.
    Probed(u64),
    /// A streamed response starts.
    Started {
        request: u32,
        attempt: u16,
    },
    /// An attempt ends.
    Outcome {
        request: u32,
        attempt: u16,
        status: u8,
        cache_status: u8,
    },
    /// A client cancels its request.
    Withdrawal(u32),
    /// The module receives the full endpoint list, or the request for it fails.
    List,
}

/// A simulated world with one instance of the decision module.
pub struct World<'a> {
    adapter: &'a mut Adapter,
    deployment: &'a Deployment,
    counts: &'a mut Counts,
    random: Random,
    instance: u16,
    /// Current time in microseconds.
    now: u64,
    endpoints: Vec<TestEndpoint>,
    /// Cached copies as endpoint, object and part.
    copies: BTreeSet<(u64, u64, u64)>,
    /// All requests by id, including those that are closed.
    requests: BTreeMap<u32, ClientRequest>,
    /// Scheduled events by time and serial number.
    scheduled: BTreeMap<(u64, u64), ScheduledEvent>,
    /// Serial number of the event scheduled last, which orders events of the same time.
    serial: u64,
    next_request: u32,
    /// Number of requests left in a burst, which arrive at short intervals.
    burst: u64,
    /// Upper bound of the time between two requests outside bursts, in milliseconds.
    max_gap_ms: u64,
    /// End of the current error burst, in microseconds. Until then, most attempts fail quickly
    /// whatever their endpoint.
    error_burst_until: u64,
}

impl<'a> World<'a> {
    pub fn new(
        adapter: &'a mut Adapter,
        deployment: &'a Deployment,
        counts: &'a mut Counts,
        instance: u16,
        seed: u64,
    ) -> World<'a> {
        let mut random = Random(seed);
        let mut world = World {
            adapter,
            deployment,
            counts,
            instance,
            now: START,
            endpoints: endpoints(),
            copies: BTreeSet::new(),
            requests: BTreeMap::new(),
            scheduled: BTreeMap::new(),
            serial: 0,
            next_request: 1,
            burst: 0,
            max_gap_ms: if random.percent(20) { CROWDED_MAX_GAP_MS } else { USUAL_MAX_GAP_MS },
            error_burst_until: 0,
            random,
        };
        world.begin(seed);
        world
    }

    /// Creates the instance, sends it the endpoint list and schedules the first events.
    fn begin(&mut self, seed: u64) {
        let mut batch = Batch::default();
        batch.create(self.instance, seed, self.deployment.settings);
        let list_kind = if self.random.percent(20) { LIST_CACHED } else { LIST_FULL };
        let listed: Vec<ListedEndpoint> = self.endpoints.iter().map(|endpoint| endpoint.listed).collect();
        batch.endpoints(self.instance, list_kind, &listed);
        self.deliver(&batch);
        self.schedule(MS, ScheduledEvent::Arrival);
        self.schedule(60 * MS, ScheduledEvent::Change);
        self.schedule(150 * MS, ScheduledEvent::Purge);
    }

    /// Processes up to `events` scheduled events, then removes the instance.
    pub fn run(mut self, events: usize) {
        for _ in 0..events {
            let Some(((at, _), event)) = self.scheduled.pop_first() else { break };
            self.now = self.now.max(at);
            self.process(event);
        }
        let mut batch = Batch::default();
        batch.power_off(self.instance);
        self.deliver(&batch);
    }

    fn schedule(&mut self, after: u64, event: ScheduledEvent) {
        self.serial += 1;
        self.scheduled.insert((self.now + after, self.serial), event);
    }

    /// Sends a batch to the adapter and executes the actions of the reply.
    fn deliver(&mut self, batch: &Batch) {
        for action in self.adapter.exchange(self.now, batch) {
            self.execute(action);
        }
    }

    /// Processes a scheduled event.
    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.send_request(),
            ScheduledEvent::Change => self.apply_change(),
            ScheduledEvent::Purge => self.send_purge(),
            ScheduledEvent::Timer(token) => {
                let mut batch = Batch::default();
                batch.timer(self.instance, token);
                self.deliver(&batch);
            }
            ScheduledEvent::Probed(endpoint) => self.probed(endpoint),
            ScheduledEvent::Started { request, attempt } => self.started(request, attempt),
            ScheduledEvent::Outcome { request, attempt, status, cache_status } => {
                self.outcome(request, attempt, status, cache_status)
            }
            ScheduledEvent::Withdrawal(request) => self.withdraw(request),
            ScheduledEvent::List => self.send_full_list(),
        }
    }

    /// Executes an action of the module.
    fn execute(&mut self, action: Action) {
        match action {
            Action::Attempt(fields) => self.start_attempt(fields),
            Action::Cancel { request, attempt } => {
                self.counts.cancels += 1;
                let event = ScheduledEvent::Outcome {
                    request,
                    attempt,
                    status: CANCELLED,
                    cache_status: CACHE_STATUS_NONE,
                };
                self.schedule(0, event);
            }
            Action::Reject { request } => {
                self.counts.rejections += 1;
                self.close(request);
            }
            Action::Fail { request } => {
                self.counts.failures += 1;
                self.close(request);
            }
            Action::Timer { after, token } => {
                self.counts.timers += 1;
                self.schedule(u64::from(after), ScheduledEvent::Timer(token));
            }
            Action::FetchEndpointList => self.schedule(20 * MS, ScheduledEvent::List),
            Action::Subscribe => {
                self.counts.subscriptions += 1;
                self.schedule(20 * MS, ScheduledEvent::List);
            }
            Action::Probe { endpoint } => {
                self.counts.probes += 1;
                let after = self.random.between(2, 60) * MS;
                self.schedule(after, ScheduledEvent::Probed(endpoint));
            }
            Action::Other => {}
        }
    }

    fn close(&mut self, request: u32) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.closed = true;
        }
    }

    /// Sends a new request and schedules the next one.
    fn send_request(&mut self) {
        let id = self.next_request;
        self.next_request += 1;
        let class = self.random.below(self.deployment.classes.len() as u64) as usize;
        let usage = &self.deployment.classes[class];
        // The smaller one of two draws, so that some objects are requested more often than others.
        let object = 1 + self.random.below(OBJECTS).min(self.random.below(OBJECTS));
        let part = self.random.below(2);
        let max_wait = usage.max_wait / 2 + self.random.below(usage.max_wait / 2);
        let size_kb = if self.deployment.has_chunk_sizes { self.random.between(4, 400) as f32 } else { 0.0 };
        let repeat = self.random.percent(5);
        let fields = RequestFields {
            id,
            size_kb,
            part: part as f32,
            class: class as u16,
            object,
            deadline: self.now + max_wait,
            group: (object % GROUPS) as f32,
            flags: u8::from(repeat) << 1 | u8::from(usage.writes) << 2,
        };
        let open =
            ClientRequest { class, object, part, attempts: 0, closed: false, in_flight: BTreeMap::new() };
        self.requests.insert(id, open);
        if self.random.percent(8) {
            let after = self.random.below(max_wait);
            self.schedule(after, ScheduledEvent::Withdrawal(id));
        }
        let mut batch = Batch::default();
        batch.request(self.instance, &fields);
        self.deliver(&batch);
        self.schedule_arrival();
    }

    fn schedule_arrival(&mut self) {
        if self.burst == 0 && self.random.percent(4) {
            self.burst = self.random.between(6, 60);
        }
        self.burst = self.burst.saturating_sub(1);
        let gap = if self.burst > 0 { 400 } else { self.random.between(1, self.max_gap_ms) * MS };
        self.schedule(gap, ScheduledEvent::Arrival);
    }

    /// Starts an attempt and schedules its end.
    fn start_attempt(&mut self, fields: AttemptFields) {
        let request = fields.request;
        let open = self.requests.get_mut(&request).expect("the module sent an attempt of an unknown request");
        self.counts.attempts += 1;
        self.counts.retries += u32::from(open.attempts > 0);
        self.counts.hedges += u32::from(!open.in_flight.is_empty());
        self.counts.with_source += u32::from(fields.source != fields.endpoint);
        self.counts.bounded_age += u32::from(fields.max_age != 0);
        let attempt = open.attempts;
        open.attempts += 1;
        open.in_flight.insert(attempt, Attempt { fields: fields.clone(), sent: self.now });
        let (class, object, part) = (open.class, open.object, open.part);
        let ending = self.ending(&fields, class, object, part);
        if let Some(endpoint) = self.endpoint(fields.endpoint) {
            endpoint.outstanding += 1;
        }
        if self.deployment.classes[class].streams && ending.status == OK {
            self.schedule(ending.after / 2, ScheduledEvent::Started { request, attempt });
        }
        let event = ScheduledEvent::Outcome {
            request,
            attempt,
            status: ending.status,
            cache_status: ending.cache_status,
        };
        self.schedule(ending.after, event);
    }

    fn endpoint(&mut self, id: u64) -> Option<&mut TestEndpoint> {
        self.endpoints.iter_mut().find(|endpoint| endpoint.listed.id == id)
    }

    /// Determines how an attempt ends, with its timeout and the reported cache statuses applied.
    fn ending(&mut self, fields: &AttemptFields, class: usize, object: u64, part: u64) -> Ending {
        let timeout = u64::from(fields.timeout);
        let ending = self.answer(fields, class, object, part);
        if ending.after > timeout {
            return Ending::new(timeout, TIMEOUT, CACHE_STATUS_NONE);
        }
        let cache_status = match self.deployment.reported_statuses {
            ReportedStatuses::Nothing => CACHE_STATUS_NONE,
            ReportedStatuses::Hits if ending.cache_status > CACHE_STATUS_STALE => CACHE_STATUS_NONE,
            _ => ending.cache_status,
        };
        Ending { cache_status, ..ending }
    }

    /// Determines how the endpoint responds to an attempt, before the timeout is applied.
    fn answer(&mut self, fields: &AttemptFields, class: usize, object: u64, part: u64) -> Ending {
        let Some(endpoint) = self.endpoint(fields.endpoint) else {
            return Ending::new(MS, CONNECT_FAILED, CACHE_STATUS_NONE);
        };
        let (health, kind, outstanding) = (endpoint.health, endpoint.listed.kind, endpoint.outstanding);
        let (state, room) = (endpoint.listed.state, 2 * endpoint.listed.weight as u64 + 4);
        let chance = self.random.below(100);
        let after = self.service_time(kind, health, outstanding);
        if self.now < self.error_burst_until && chance >= 30 {
            // Errors raise the error score of an endpoint, misses do not.
            return Ending::new(3 * MS, if chance < 55 { ERROR } else { MISS }, CACHE_STATUS_NONE);
        }
        if state == GONE || health == Health::Dead {
            let after = if chance < 50 { MS } else { CONNECT_TIMEOUT };
            return Ending::new(after, CONNECT_FAILED, CACHE_STATUS_NONE);
        }
        if health == Health::Full && chance < 70 || outstanding > room {
            return Ending::new(2 * MS, FULL, CACHE_STATUS_NONE);
        }
        match (health, chance) {
            (Health::Failing, 0..45) | (_, 0..2) => return Ending::new(after, ERROR, CACHE_STATUS_NONE),
            (Health::Failing, 45..65) | (_, 2..4) => return Ending::new(after, RESET, CACHE_STATUS_NONE),
            (_, 4) => return Ending::new(MS, MOOT, CACHE_STATUS_NONE),
            (_, 5..7) => return Ending::new(u64::from(fields.timeout) + 1, TIMEOUT, CACHE_STATUS_NONE),
            _ => {}
        }
        if self.deployment.classes[class].writes || kind != 0 {
            return Ending::new(after, OK, CACHE_STATUS_NONE);
        }
        if self.copies.contains(&(fields.endpoint, object, part)) {
            let stale = fields.max_age != 0 && chance < 40;
            return Ending::new(after, OK, if stale { CACHE_STATUS_STALE } else { CACHE_STATUS_HIT });
        }
        self.fill(fields, object, part, after, chance)
    }

    /// Draws the service time of an endpoint in microseconds. It grows with the endpoint's attempts
    /// in flight.
    fn service_time(&mut self, kind: u16, health: Health, outstanding: u64) -> u64 {
        let base = match kind {
            ORIGIN => self.random.between(50, 180),
            PARENT => self.random.between(15, 60),
            _ => self.random.between(4, 25),
        };
        let slow = if health == Health::Slow { 15 } else { 1 };
        base * MS * slow * (4 + outstanding) / 4
    }

    /// Determines how an attempt ends on a cache miss: with a miss if it has no fill source, and
    /// otherwise depending on the state of the fill source.
    fn fill(&mut self, fields: &AttemptFields, object: u64, part: u64, after: u64, chance: u64) -> Ending {
        if fields.source == fields.endpoint {
            let cache_status = if chance < 30 { CACHE_STATUS_JOINED } else { CACHE_STATUS_NONE };
            return Ending::new(after, MISS, cache_status);
        }
        if chance < 10 {
            return Ending::new(after, FULL, CACHE_STATUS_NO_FILL_PLACE);
        }
        let Some(source) = self.endpoint(fields.source) else {
            return Ending::new(after, FULL, CACHE_STATUS_SOURCE_UNREACHABLE);
        };
        let (health, kind, outstanding) = (source.health, source.listed.kind, source.outstanding);
        let shallow = fields.flags & 2 != 0;
        let lacks = !self.copies.contains(&(fields.source, object, part)) && kind != ORIGIN;
        let after = after + self.service_time(kind, health, outstanding);
        match health {
            Health::Dead => return Ending::new(after, FULL, CACHE_STATUS_SOURCE_UNREACHABLE),
            Health::Full => return Ending::new(after, FULL, CACHE_STATUS_SOURCE_REFUSED),
            Health::Failing => return Ending::new(after, ERROR, CACHE_STATUS_ORIGIN_FAILED),
            Health::Good | Health::Slow => {}
        }
        if lacks && (shallow || kind == 0) {
            return Ending::new(after, MISS, CACHE_STATUS_SOURCE_LACKS);
        }
        if fields.keep > 0 {
            self.copies.insert((fields.endpoint, object, part));
        }
        if kind == PARENT {
            self.copies.insert((fields.source, object, part));
        }
        let joined = fields.flags & 1 != 0 && chance < 30;
        let cache_status = match (joined, lacks || kind == ORIGIN) {
            (true, _) => CACHE_STATUS_JOINED,
            (false, true) => CACHE_STATUS_FILLED_BY_ORIGIN,
            (false, false) => CACHE_STATUS_FILLED,
        };
        Ending::new(after, OK, cache_status)
    }

    /// Reports that a streamed response has started, unless its attempt or request is over.
    fn started(&mut self, request: u32, attempt: u16) {
        let out =
            self.requests.get(&request).filter(|open| !open.closed && open.in_flight.contains_key(&attempt));
        if out.is_some() {
            let mut batch = Batch::default();
            batch.started(self.instance, request, attempt);
            self.deliver(&batch);
        }
    }

    /// Reports the end of an attempt, unless it was reported before.
    fn outcome(&mut self, request: u32, attempt: u16, status: u8, cache_status: u8) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(ended) = open.in_flight.remove(&attempt) else { return };
        open.closed |= status == OK;
        let fields = OutcomeFields {
            request,
            endpoint: ended.fields.endpoint,
            latency: (self.now - ended.sent) as u32,
            attempt,
            status,
            request_finished: open.closed,
            cache_status,
        };
        if let Some(endpoint) = self.endpoint(ended.fields.endpoint) {
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        }
        let mut batch = Batch::default();
        batch.outcome(self.instance, &fields);
        self.deliver(&batch);
    }

    /// Cancels a request on behalf of its client, unless it is closed.
    fn withdraw(&mut self, request: u32) {
        let Some(open) = self.requests.get_mut(&request).filter(|open| !open.closed) else { return };
        open.closed = true;
        let mut batch = Batch::default();
        batch.withdrawn(self.instance, request);
        self.deliver(&batch);
    }

    /// Reports the result of a health probe.
    fn probed(&mut self, id: u64) {
        let status = match self.endpoint(id).map(|endpoint| endpoint.health) {
            Some(Health::Good | Health::Slow) => OK,
            Some(Health::Full) => FULL,
            Some(Health::Failing) => ERROR,
            Some(Health::Dead) | None => TIMEOUT,
        };
        let mut batch = Batch::default();
        batch.probed(self.instance, id, status);
        self.deliver(&batch);
    }

    /// Purges an object or a whole group, reports the purge and schedules the next one.
    fn send_purge(&mut self) {
        self.counts.purges += 1;
        let object = 1 + self.random.below(OBJECTS);
        let group = object % GROUPS;
        let whole_group = self.random.percent(25);
        self.copies.retain(|copy| if whole_group { copy.1 % GROUPS != group } else { copy.1 != object });
        let since = self.random.below(80 * MS) as u32;
        let mut batch = Batch::default();
        batch.purge(self.instance, since, group as u16, if whole_group { 0 } else { object });
        self.deliver(&batch);
        let after = self.random.between(80, 600) * MS;
        self.schedule(after, ScheduledEvent::Purge);
    }

    /// Sends the full endpoint list, or reports that the request for it failed.
    fn send_full_list(&mut self) {
        let mut batch = Batch::default();
        if self.random.percent(15) {
            batch.endpoint_list_failed(self.instance);
        } else {
            let all = self.endpoints.iter().map(|endpoint| endpoint.listed);
            let present: Vec<ListedEndpoint> = all.filter(|listed| listed.state != GONE).collect();
            batch.endpoints(self.instance, LIST_FULL, &present);
        }
        self.deliver(&batch);
    }

    /// Changes the health or the list entry of a random endpoint, restarts it, begins an error
    /// burst, or sends the full endpoint list; then schedules the next change.
    fn apply_change(&mut self) {
        let index = self.random.below(self.endpoints.len() as u64) as usize;
        match self.random.below(30) {
            0..=4 => self.endpoints[index].health = Health::Good,
            5..=10 => self.endpoints[index].health = Health::Slow,
            11..=13 => self.endpoints[index].health = Health::Failing,
            14..=16 => self.endpoints[index].health = Health::Dead,
            17 => self.endpoints[index].health = Health::Full,
            18 | 19 => self.set_listed_state(index, DRAINING),
            20 => self.set_listed_state(index, GONE),
            21..=23 => self.set_listed_state(index, READY),
            24..=26 => self.restart(index),
            27 => self.error_burst_until = self.now + self.random.between(1_000, 3_000) * MS,
            _ => self.send_full_list(),
        }
        let after = self.random.between(20, 160) * MS;
        self.schedule(after, ScheduledEvent::Change);
    }

    /// Changes the state of an endpoint in the endpoint list and reports the new entry.
    fn set_listed_state(&mut self, index: usize, state: u8) {
        self.counts.drains += u32::from(state == DRAINING);
        self.endpoints[index].listed.state = state;
        self.send_entry(index);
    }

    /// Restarts an endpoint. It loses its cached copies, and the connections of its attempts are
    /// reset.
    fn restart(&mut self, index: usize) {
        self.counts.restarts += 1;
        let now = self.now;
        let endpoint = &mut self.endpoints[index];
        endpoint.health = Health::Good;
        endpoint.listed.state = READY;
        endpoint.listed.started = now;
        let id = endpoint.listed.id;
        self.copies.retain(|copy| copy.0 != id);
        let mut lost = Vec::new();
        for (request, open) in &self.requests {
            let at_endpoint = open.in_flight.iter().filter(|(_, attempt)| attempt.fields.endpoint == id);
            lost.extend(at_endpoint.map(|(number, _)| (*request, *number)));
        }
        for (request, attempt) in lost {
            self.schedule(
                MS,
                ScheduledEvent::Outcome { request, attempt, status: RESET, cache_status: CACHE_STATUS_NONE },
            );
        }
        self.send_entry(index);
    }

    /// Reports the list entry of an endpoint as a change of the endpoint list.
    fn send_entry(&mut self, index: usize) {
        let mut batch = Batch::default();
        batch.endpoints(self.instance, LIST_DELTA, &[self.endpoints[index].listed]);
        self.deliver(&batch);
    }
}

/// The endpoints of a world: three edge caches and a parent cache in each of two zones, and an
/// origin.
fn endpoints() -> Vec<TestEndpoint> {
    let endpoint = |index: u64| {
        let kind = [0, 0, 0, 0, 0, 0, PARENT, PARENT, ORIGIN][index as usize];
        let listed = ListedEndpoint {
            id: Random(index).next() >> 16,
            cell: (index % 2) as u16,
            zone: [0, 0, 0, 1, 1, 1, 0, 1, 0][index as usize],
            kind,
            weight: [3.0, 4.0, 6.0, 4.0, 4.0, 5.0, 12.0, 12.0, 20.0][index as usize],
            state: READY,
            started: 0,
        };
        TestEndpoint { listed, health: Health::Good, outstanding: 0 }
    };
    (0..9).map(endpoint).collect()
}
