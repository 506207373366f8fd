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

/// Plays one router: a request every 140 ms; `latency_of` gives the latency of an attempt's
/// response; without one it times out.
pub fn play(
    harness: &mut Harness,
    span: Duration,
    mut latency_of: impl FnMut(usize, &Sent) -> Option<Duration>,
) -> RouterHistory {
    let mut seen = RouterHistory::default();
    let mut due: Vec<(Timestamp, u64)> = Vec::new();
    let mut open: Vec<(Timestamp, Timestamp, Sent)> = Vec::new();
    let mut attempt_numbers: BTreeMap<RequestId, u16> = BTreeMap::new();
    let end = harness.now + span;
    while harness.now < end {
        harness.now += Duration::from_millis(10);
        let now = harness.now;
        let mut actions = Vec::new();
        if now.as_micros() % 140_000 < 10_000 {
            actions = harness.request(seen.asked as u64);
            seen.asked += 1;
        }
        let (fire, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|t| t.0 <= now);
        due = later;
        actions.extend(fire.into_iter().flat_map(|(_, token)| harness.event(Event::Timer { token })));
        let (done, later): (Vec<_>, Vec<_>) = open.into_iter().partition(|o| o.0 <= now);
        open = later;
        for (_, began, s) in done {
            let ok = now < began + Duration::from_secs(5);
            let status = if ok { AttemptStatus::Ok } else { AttemptStatus::Timeout };
            actions.extend(harness.end_attempt(
                &s,
                status,
                ok.then_some(CacheStatus::Hit),
                now.duration_since(began),
            ));
        }
        while !actions.is_empty() {
            due.extend(timers(&actions, now));
            for mut s in attempts(&actions) {
                s.attempt = *attempt_numbers.entry(s.id).and_modify(|n| *n += 1).or_insert(0);
                let answer = now + latency_of(seen.sent.len(), &s).unwrap_or(Duration::from_secs(5));
                seen.sent.push((now, s.clone()));
                open.push((answer, now, s));
            }
            let mut more = Vec::new();
            for a in &actions {
                let Action::Cancel { request, attempt } = a else { continue };
                let called = |o: &(Timestamp, Timestamp, Sent)| o.2.id == *request && o.2.attempt == *attempt;
                if let Some(i) = open.iter().position(called) {
                    let (_, began, s) = open.swap_remove(i);
                    seen.cancelled += 1;
                    more.extend(harness.end_attempt(
                        &s,
                        AttemptStatus::Cancelled,
                        None,
                        now.duration_since(began),
                    ));
                }
            }
            actions = more;
        }
    }
    seen
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
