//! Test harness: a site with seven edge caches and eight parent caches that many routers share, and
//! functions that drive its routers.

use hollymux_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub const START: Timestamp = Timestamp::from_micros(1_000_000_000);
pub const PARENT: u16 = 1;
pub const ORIGIN: u16 = 2;
pub const CACHES: std::ops::RangeInclusive<u64> = 1..=7;
pub const PARENTS: std::ops::RangeInclusive<u64> = 21..=28;

/// Settings of one of `in_zone` routers in zone 0, of `total` routers in two zones.
pub fn settings(in_zone: u32, total: u32) -> Settings {
    let class = RequestClass {
        latency_objective: Duration::from_millis(500),
        latency_objective_stretch: 1.6,
        deadline: Duration::from_secs(5),
        idempotency: Idempotency::Idempotent,
        scope: DeduplicationScope::All,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![class],
        router_count: total,
        router_count_by_zone: vec![in_zone, total - in_zone],
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        coalesce_fills: true,
        sibling_caches: SiblingCaches::Location,
        cache_status_reporting: CacheStatusReporting::All,
        weights: ListedWeights::Size,
        flow_kb_per_s: 1_000.0,
        purge_completion_time: Duration::from_secs(6),
        warm_up_floor: 0.22,
        warm_up_period: Duration::from_secs(18),
        overload_multiple: 4.0,
        overload_window: Duration::from_secs(1),
        parent_warm_up_floor: 0.07,
        parent_warm_up_period: Duration::from_secs(20),
        parent_overload_multiple: 2.0,
        max_attempts: 6,
        cancel: true,
        retry_after: true,
        max_retry_after: Duration::from_millis(400),
        connect_timeout: Duration::from_millis(400),
        ..Settings::default()
    }
}

pub fn entry(id: u64, zone: u16, kind: u16, weight: f64) -> EndpointEntry {
    EndpointEntry { id: EndpointId(id), zone, kind, weight, ..EndpointEntry::default() }
}

/// Seven edge caches in the own zone, eight parent caches in the zones 2 and 3, and an origin.
pub fn endpoint_list() -> Vec<EndpointEntry> {
    let caches = CACHES.map(|i| entry(i, 0, 0, 4.0));
    let parents = PARENTS.map(|i| entry(i, if i < 25 { 2 } else { 3 }, PARENT, 40.0));
    caches.chain(parents).chain([entry(31, 2, ORIGIN, 100.0)]).collect()
}

/// A decision module with the current time and the number of the last request.
pub struct Harness {
    pub module: DecisionModule,
    pub now: Timestamp,
    pub last_request: RequestId,
}

/// An attempt that the module has sent.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub id: RequestId,
    pub attempt: u16,
    pub endpoint: u64,
    pub source: Option<u64>,
}

impl Harness {
    pub fn new(settings: Settings, seed: u64) -> Harness {
        let module = DecisionModule::new(settings, seed).unwrap();
        let mut harness = Harness { module, now: START, last_request: 0 };
        harness.event(Event::EndpointList { kind: ListKind::Cached, entries: endpoint_list() });
        harness
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        actions
    }

    /// Sends a request for an object with a sending time of 0.2 s, and returns the actions.
    pub fn request(&mut self, object: u64) -> Vec<Action> {
        self.last_request += 1;
        self.event(Event::Request(Request {
            id: self.last_request,
            object,
            size_kb: Some(200.0),
            deadline: self.now + Duration::from_secs(5),
            ..Request::default()
        }))
    }

    pub fn end_attempt(
        &mut self,
        sent: &SentAttempt,
        status: AttemptStatus,
        cache_status: Option<CacheStatus>,
        latency: Duration,
    ) -> Vec<Action> {
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: sent.id,
            attempt: sent.attempt,
            endpoint: EndpointId(sent.endpoint),
            latency,
            status,
            request_finished: status == AttemptStatus::Ok,
            cache_status,
            work: None,
        }))
    }

    /// Sends a request for an object and serves it after 250 ms. Returns the attempt, or `None` if
    /// none was sent.
    pub fn serve(&mut self, object: u64, cache_status: CacheStatus) -> Option<SentAttempt> {
        let sent = sent_attempt(&self.request(object), 0)?;
        self.end_attempt(&sent, AttemptStatus::Ok, Some(cache_status), Duration::from_millis(250));
        Some(sent)
    }
}

/// The attempts among the actions, with 0 in place of their numbers.
pub fn attempts(actions: &[Action]) -> Vec<SentAttempt> {
    let attempt = |action: &Action| match action {
        Action::Attempt { request, endpoint, fill, .. } => Some(SentAttempt {
            id: *request,
            attempt: 0,
            endpoint: endpoint.0,
            source: fill.source.map(|source| source.0),
        }),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// The last attempt among the actions, with the number `attempt`.
pub fn sent_attempt(actions: &[Action], attempt: u16) -> Option<SentAttempt> {
    attempts(actions).pop().map(|sent| SentAttempt { attempt, ..sent })
}

/// Requests, attempts with their sending times, and cancellations of one router.
#[derive(Default)]
pub struct RouterHistory {
    pub requests: usize,
    pub sent: Vec<(Timestamp, SentAttempt)>,
    pub cancelled: usize,
}

/// Time after which an attempt without a response times out.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(10);
const REQUEST_INTERVAL_US: u64 = 140_000;
const STEP_US: u64 = 10_000;

/// An attempt in flight, with the times of its sending and its end.
struct InFlight {
    ends_at: Timestamp,
    sent_at: Timestamp,
    sent: SentAttempt,
}

/// Drives one router for `span`, with one request every 140 ms. `latency_of` returns the latency of
/// an attempt's response by the number and the attempt; without a response the attempt times out.
pub fn drive_router(
    harness: &mut Harness,
    span: Duration,
    latency_of: impl FnMut(usize, &SentAttempt) -> Option<Duration>,
) -> RouterHistory {
    let mut driver = RouterDriver {
        harness,
        latency_of,
        history: RouterHistory::default(),
        timers: Vec::new(),
        in_flight: Vec::new(),
        attempt_numbers: BTreeMap::new(),
    };
    let end = driver.harness.now + span;
    while driver.harness.now < end {
        driver.step();
    }
    driver.history
}

struct RouterDriver<'a, F> {
    harness: &'a mut Harness,
    latency_of: F,
    history: RouterHistory,
    timers: Vec<(Timestamp, u64)>,
    in_flight: Vec<InFlight>,
    attempt_numbers: BTreeMap<RequestId, u16>,
}

impl<F: FnMut(usize, &SentAttempt) -> Option<Duration>> RouterDriver<'_, F> {
    fn step(&mut self) {
        self.harness.now += STEP;
        let mut actions = Vec::new();
        if self.harness.now.as_micros() % REQUEST_INTERVAL_US < STEP_US {
            actions = self.harness.request(self.history.requests as u64);
            self.history.requests += 1;
        }
        actions.extend(self.fire_timers());
        actions.extend(self.end_attempts());
        while !actions.is_empty() {
            self.timers.extend(timers(&actions, self.harness.now));
            self.send_attempts(&actions);
            actions = self.cancel_attempts(&actions);
        }
    }

    fn fire_timers(&mut self) -> Vec<Action> {
        let now = self.harness.now;
        let timers = std::mem::take(&mut self.timers);
        let (due, later): (Vec<_>, Vec<_>) = timers.into_iter().partition(|timer| timer.0 <= now);
        self.timers = later;
        due.into_iter().flat_map(|(_, token)| self.harness.event(Event::Timer { token })).collect()
    }

    fn end_attempts(&mut self) -> Vec<Action> {
        let now = self.harness.now;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (ended, later): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|attempt| attempt.ends_at <= now);
        self.in_flight = later;
        let mut actions = Vec::new();
        for InFlight { sent_at, sent, .. } in ended {
            let is_served = now < sent_at + ATTEMPT_TIMEOUT;
            let status = if is_served { AttemptStatus::Ok } else { AttemptStatus::Timeout };
            let cache_status = is_served.then_some(CacheStatus::Hit);
            let latency = now.duration_since(sent_at);
            actions.extend(self.harness.end_attempt(&sent, status, cache_status, latency));
        }
        actions
    }

    fn send_attempts(&mut self, actions: &[Action]) {
        let now = self.harness.now;
        for mut sent in attempts(actions) {
            sent.attempt = *self.attempt_numbers.entry(sent.id).and_modify(|n| *n += 1).or_insert(0);
            let latency = (self.latency_of)(self.history.sent.len(), &sent);
            let ends_at = now + latency.unwrap_or(ATTEMPT_TIMEOUT);
            self.history.sent.push((now, sent.clone()));
            self.in_flight.push(InFlight { ends_at, sent_at: now, sent });
        }
    }

    fn cancel_attempts(&mut self, actions: &[Action]) -> Vec<Action> {
        let now = self.harness.now;
        let mut further = Vec::new();
        for action in actions {
            let Action::Cancel { request, attempt } = action else { continue };
            let is_cancelled = |open: &InFlight| open.sent.id == *request && open.sent.attempt == *attempt;
            let Some(index) = self.in_flight.iter().position(is_cancelled) else { continue };
            let InFlight { sent_at, sent, .. } = self.in_flight.swap_remove(index);
            self.history.cancelled += 1;
            let latency = now.duration_since(sent_at);
            further.extend(self.harness.end_attempt(&sent, AttemptStatus::Cancelled, None, latency));
        }
        further
    }
}

/// The timers among the actions except deadlines, with their time and token. `at` is the time of
/// the actions.
pub fn timers(actions: &[Action], at: Timestamp) -> Vec<(Timestamp, u64)> {
    let timer = |action: &Action| match action {
        Action::Timer { after, token } if token & 0xffff != 0xffff => Some((at + *after, *token)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// Generator of pseudo-random numbers (LCG) from a fixed seed.
pub struct PseudoRandom(pub u64);

impl PseudoRandom {
    /// The next number, from 0 to `limit` - 1.
    pub fn next_below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// Drives many routers with one endpoint that warms up for `span`, with about six requests per
/// second each, all of them misses. Returns the times at which the endpoint was used as endpoint or
/// as fill source.
pub fn times_used_while_warming_up(
    harnesses: &mut [Harness],
    id: u64,
    started_entry: EndpointEntry,
    span: Duration,
    random: &mut PseudoRandom,
) -> Vec<Timestamp> {
    let mut use_times = Vec::new();
    let started_at = harnesses[0].now;
    let mut next_requests: Vec<Timestamp> =
        harnesses.iter().map(|_| started_at + Duration::from_micros(random.next_below(170_000))).collect();
    for harness in harnesses.iter_mut() {
        harness.event(Event::EndpointList { kind: ListKind::Delta, entries: vec![started_entry.clone()] });
    }
    for step in 0..span.as_micros().div_ceil(2_000) as u32 {
        let now = started_at + step * Duration::from_millis(2);
        let due = harnesses.iter_mut().zip(&mut next_requests).filter(|(_, at)| **at <= now);
        for (harness, next_request) in due {
            *next_request = now + 2 * Duration::from_micros(random.next_below(170_000));
            harness.now = now;
            let object = random.next_below(1 << 40);
            let Some(sent) = harness.serve(object, CacheStatus::Filled) else { continue };
            if sent.endpoint == id || sent.source == Some(id) {
                use_times.push(now);
            }
        }
    }
    use_times
}
