//! A small site, and a decision module that is driven through its interface.

#![allow(dead_code, reason = "each test file uses a part of it")]

use hollymux_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Kinds of endpoints; edge caches have kind 0.
pub const PARENT: u16 = 1;
pub const ORIGIN: u16 = 2;
/// When the tests begin.
pub const START: Timestamp = Timestamp::from_micros(1_000_000_000);

/// A class of idempotent requests.
pub fn class() -> RequestClass {
    RequestClass {
        latency_objective: Duration::from_millis(500),
        latency_objective_stretch: 1.6,
        deadline: Duration::from_secs(5),
        idempotency: Idempotency::Idempotent,
        scope: DeduplicationScope::All,
        window: Duration::from_secs(3),
        ..RequestClass::default()
    }
}

/// Settings of one of two routers, in zone 0.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class()],
        router_count: 2,
        router_count_by_zone: vec![1, 1],
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        coalesce_fills: true,
        sibling_caches: SiblingCaches::Location,
        cache_status_reporting: CacheStatusReporting::All,
        weights: ListedWeights::Size,
        flow_kb_per_s: 1_000.0,
        purge_done: Duration::from_secs(6),
        purge_slack: Duration::from_millis(500),
        warm_up_floor: 0.2,
        warm_up_period: Duration::from_secs(10),
        overload_multiple: 3.0,
        overload_window: Duration::from_secs(1),
        parent_warm_up_floor: 0.1,
        parent_warm_up_period: Duration::from_secs(20),
        parent_overload_multiple: 2.0,
        max_attempts: 4,
        cancel: true,
        retry_after: true,
        max_retry_after: Duration::from_millis(400),
        ..Settings::default()
    }
}

/// An entry of the endpoint list that is ready.
pub fn entry(id: u64, zone: u16, kind: u16) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(id),
        cell: 0,
        zone,
        kind,
        weight: 8.0,
        state: EndpointState::Ready,
        started: Timestamp::ZERO,
        in_place_of: None,
    }
}

/// Four caches here (1 to 4), two elsewhere, three parents (21 to 23), an origin (31).
pub fn endpoint_list() -> Vec<EndpointEntry> {
    let mut all: Vec<_> = (1..=4).map(|i| entry(i, 0, 0)).collect();
    all.extend((11..=12).map(|i| entry(i, 1, 0)));
    all.extend((21..=23).map(|i| entry(i, 2, PARENT)));
    all.push(entry(31, 2, ORIGIN));
    all
}

/// A decision module, the time, and the last request.
pub struct Harness {
    pub module: DecisionModule,
    pub now: Timestamp,
    pub last_request: RequestId,
}

/// An attempt that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: RequestId,
    pub endpoint: u64,
    pub fill: CacheFill,
}

impl Harness {
    /// A module that has received the endpoint list.
    pub fn new(settings: Settings) -> Harness {
        let module = DecisionModule::new(settings, 5).unwrap();
        let mut harness = Harness { module, now: START, last_request: 1 };
        harness.apply_list(ListKind::Cached, endpoint_list());
        harness
    }

    /// The actions that follow an event.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        actions
    }

    /// The module receives an endpoint list.
    pub fn apply_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        self.event(Event::EndpointList { kind, entries });
    }

    /// The actions that follow a request.
    pub fn request_part(&mut self, object: u64, part: u32, class: u16) -> Vec<Action> {
        self.last_request += 1;
        let request = Request {
            id: self.last_request,
            class,
            object,
            part,
            group: 7,
            size_kb: Some(100.0),
            deadline: self.now + Duration::from_secs(4),
            repeat: false,
            write: false,
        };
        self.event(Event::Request(request))
    }

    /// The attempt that follows a request of the first part of an object.
    pub fn request(&mut self, object: u64) -> Sent {
        sent(&self.request_part(object, 0, 0)).expect("an attempt")
    }

    /// An attempt ends after a tenth of a second.
    pub fn end_attempt(
        &mut self,
        s: &Sent,
        attempt: u16,
        status: AttemptStatus,
        note: Option<CacheStatus>,
    ) -> Vec<Action> {
        self.end_attempt_after(s, attempt, status, note, Duration::from_millis(100))
    }

    /// An attempt ends after that long.
    pub fn end_attempt_after(
        &mut self,
        s: &Sent,
        attempt: u16,
        status: AttemptStatus,
        note: Option<CacheStatus>,
        latency: Duration,
    ) -> Vec<Action> {
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: s.id,
            attempt,
            endpoint: EndpointId(s.endpoint),
            latency,
            status,
            ended: status == AttemptStatus::Ok,
            note,
            work: None,
        }))
    }

    /// A request that is served as a hit; its attempt.
    pub fn serve(&mut self, object: u64) -> Sent {
        let s = self.request(object);
        self.end_attempt(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
        s
    }

    /// Home cache and home parent of every object of a sample.
    pub fn homes(&mut self) -> BTreeMap<u64, (u64, u64)> {
        let mut homes = BTreeMap::new();
        for object in 1_000..1_200 {
            let s = self.serve(object);
            homes.insert(object, (s.endpoint, s.fill.source.unwrap().0));
        }
        homes
    }
}

/// The attempt among the actions.
pub fn sent(actions: &[Action]) -> Option<Sent> {
    actions.iter().find_map(|a| match a {
        Action::Attempt { request, endpoint, fill, .. } => {
            Some(Sent { id: *request, endpoint: endpoint.0, fill: fill.clone() })
        }
        _ => None,
    })
}

/// How many final answers are among the actions.
pub fn final_answers(actions: &[Action]) -> usize {
    let last = |a: &&Action| matches!(a, Action::Refuse { .. } | Action::Fail { .. });
    actions.iter().filter(last).count()
}
