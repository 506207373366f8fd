//! A site of seven caches and eight parents that many routers share, and ways to play its routers.

use hollymux_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub const START: Timestamp = Timestamp::from_micros(1_000_000_000);
pub const PARENT: u16 = 1;
pub const ORIGIN: u16 = 2;
pub const CACHES: std::ops::RangeInclusive<u64> = 1..=7;
pub const PARENTS: std::ops::RangeInclusive<u64> = 21..=28;

pub fn settings(here: u32, all: u32) -> Settings {
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
        router_count: all,
        router_count_by_zone: vec![here, all - here],
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        coalesce_fills: true,
        sibling_caches: SiblingCaches::Location,
        cache_status_reporting: CacheStatusReporting::All,
        weights: ListedWeights::Size,
        flow_kb_per_s: 1_000.0,
        purge_done: Duration::from_secs(6),
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

/// Seven caches in the own zone, eight parents in zones 2 and 3, an origin.
pub fn endpoint_list() -> Vec<EndpointEntry> {
    let caches = CACHES.map(|i| entry(i, 0, 0, 4.0));
    let parents = PARENTS.map(|i| entry(i, if i < 25 { 2 } else { 3 }, PARENT, 40.0));
    caches.chain(parents).chain([entry(31, 2, ORIGIN, 100.0)]).collect()
}

pub struct Harness {
    pub module: DecisionModule,
    pub now: Timestamp,
    pub last_request: RequestId,
}

#[derive(Clone, Debug)]
pub struct Sent {
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

    /// A request of 0.2 s of sending.
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
        s: &Sent,
        status: AttemptStatus,
        note: Option<CacheStatus>,
        latency: Duration,
    ) -> Vec<Action> {
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: s.id,
            attempt: s.attempt,
            endpoint: EndpointId(s.endpoint),
            latency,
            status,
            ended: status == AttemptStatus::Ok,
            note,
            work: None,
        }))
    }

    pub fn serve(&mut self, object: u64, note: CacheStatus) -> Option<Sent> {
        let s = sent(&self.request(object), 0)?;
        self.end_attempt(&s, AttemptStatus::Ok, Some(note), Duration::from_millis(250));
        Some(s)
    }
}

pub fn attempts(actions: &[Action]) -> Vec<Sent> {
    let attempt = |a: &Action| match a {
        Action::Attempt { request, endpoint, fill, .. } => {
            Some(Sent { id: *request, attempt: 0, endpoint: endpoint.0, source: fill.source.map(|s| s.0) })
        }
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

pub fn sent(actions: &[Action], attempt: u16) -> Option<Sent> {
    attempts(actions).pop().map(|s| Sent { attempt, ..s })
}

/// What a router at seven requests a second did: attempts in order with the time, and
/// cancellations.
#[derive(Default)]
pub struct RouterHistory {
    pub asked: usize,
    pub sent: Vec<(Timestamp, Sent)>,
    pub cancelled: usize,
}

/// Without a response an attempt times out after this.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(10);
const REQUEST_INTERVAL_US: u64 = 140_000;
const STEP_US: u64 = 10_000;

/// An attempt in flight.
struct InFlight {
    ends: Timestamp,
    began: Timestamp,
    sent: Sent,
}

/// Plays one router: a request every 140 ms; `latency_of` gives the latency of an attempt's
/// response; without one it times out.
pub fn play(
    harness: &mut Harness,
    span: Duration,
    latency_of: impl FnMut(usize, &Sent) -> Option<Duration>,
) -> RouterHistory {
    let mut player = Player {
        harness,
        latency_of,
        history: RouterHistory::default(),
        timers: Vec::new(),
        in_flight: Vec::new(),
        attempt_numbers: BTreeMap::new(),
    };
    let end = player.harness.now + span;
    while player.harness.now < end {
        player.step();
    }
    player.history
}

struct Player<'a, F> {
    harness: &'a mut Harness,
    latency_of: F,
    history: RouterHistory,
    timers: Vec<(Timestamp, u64)>,
    in_flight: Vec<InFlight>,
    attempt_numbers: BTreeMap<RequestId, u16>,
}

impl<F: FnMut(usize, &Sent) -> Option<Duration>> Player<'_, F> {
    fn step(&mut self) {
        self.harness.now += STEP;
        let mut actions = Vec::new();
        if self.harness.now.as_micros() % REQUEST_INTERVAL_US < STEP_US {
            actions = self.harness.request(self.history.asked as u64);
            self.history.asked += 1;
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
        let (ended, later): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|attempt| attempt.ends <= now);
        self.in_flight = later;
        let mut actions = Vec::new();
        for InFlight { began, sent, .. } in ended {
            let ok = now < began + ATTEMPT_TIMEOUT;
            let status = if ok { AttemptStatus::Ok } else { AttemptStatus::Timeout };
            let note = ok.then_some(CacheStatus::Hit);
            actions.extend(self.harness.end_attempt(&sent, status, note, now.duration_since(began)));
        }
        actions
    }

    fn send_attempts(&mut self, actions: &[Action]) {
        let now = self.harness.now;
        for mut sent in attempts(actions) {
            sent.attempt = *self.attempt_numbers.entry(sent.id).and_modify(|n| *n += 1).or_insert(0);
            let latency = (self.latency_of)(self.history.sent.len(), &sent);
            let ends = now + latency.unwrap_or(ATTEMPT_TIMEOUT);
            self.history.sent.push((now, sent.clone()));
            self.in_flight.push(InFlight { ends, began: now, sent });
        }
    }

    fn cancel_attempts(&mut self, actions: &[Action]) -> Vec<Action> {
        let now = self.harness.now;
        let mut further = Vec::new();
        for action in actions {
            let Action::Cancel { request, attempt } = action else { continue };
            let is_cancelled = |open: &InFlight| open.sent.id == *request && open.sent.attempt == *attempt;
            let Some(index) = self.in_flight.iter().position(is_cancelled) else { continue };
            let InFlight { began, sent, .. } = self.in_flight.swap_remove(index);
            self.history.cancelled += 1;
            let latency = now.duration_since(began);
            further.extend(self.harness.end_attempt(&sent, AttemptStatus::Cancelled, None, latency));
        }
        further
    }
}

pub fn timers(actions: &[Action], at: Timestamp) -> Vec<(Timestamp, u64)> {
    let timer = |a: &Action| match a {
        Action::Timer { after, token } if token & 0xffff != 0xffff => Some((at + *after, *token)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// Pseudo-random numbers from a fixed seed.
pub struct PseudoRandom(pub u64);

impl PseudoRandom {
    pub fn next_below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// Many instances with one endpoint that warms up, all misses, six requests a second each. Returns
/// when it was used.
pub fn times_used_while_warming_up(
    harnesses: &mut [Harness],
    id: u64,
    start: EndpointEntry,
    span: Duration,
    random: &mut PseudoRandom,
) -> Vec<Timestamp> {
    let mut asked = Vec::new();
    let began = harnesses[0].now;
    let mut at: Vec<Timestamp> =
        harnesses.iter().map(|_| began + Duration::from_micros(random.next_below(170_000))).collect();
    for harness in harnesses.iter_mut() {
        harness.event(Event::EndpointList { kind: ListKind::Delta, entries: vec![start.clone()] });
    }
    for step in 0..span.as_micros().div_ceil(2_000) as u32 {
        let now = began + step * Duration::from_millis(2);
        for (harness, at) in harnesses.iter_mut().zip(&mut at).filter(|(_, at)| **at <= now) {
            *at = now + 2 * Duration::from_micros(random.next_below(170_000));
            harness.now = now;
            let object = random.next_below(1 << 40);
            let Some(s) = harness.serve(object, CacheStatus::Filled) else { continue };
            if s.endpoint == id || s.source == Some(id) {
                asked.push(now);
            }
        }
    }
    asked
}
