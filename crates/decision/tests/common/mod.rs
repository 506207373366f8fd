//! Test harness: a small site, and a decision module that is driven through its public interface.

#![allow(dead_code, reason = "each test file uses a part of it")]

use hollymux_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Kinds of endpoints in the endpoint list; edge caches have kind 0.
pub const PARENT: u16 = 1;
pub const ORIGIN: u16 = 2;
/// Time at which each test begins.
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

/// Settings of one of two routers, in zone 0, with the other router in zone 1.
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
        purge_completion_time: Duration::from_secs(6),
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

/// A ready entry of the endpoint list with a size of 8.
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

/// Four edge caches in zone 0 (1 to 4), two in zone 1 (11 and 12), three parent caches (21 to 23)
/// and an origin (31).
pub fn endpoint_list() -> Vec<EndpointEntry> {
    let mut all: Vec<_> = (1..=4).map(|i| entry(i, 0, 0)).collect();
    all.extend((11..=12).map(|i| entry(i, 1, 0)));
    all.extend((21..=23).map(|i| entry(i, 2, PARENT)));
    all.push(entry(31, 2, ORIGIN));
    all
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
    pub endpoint: u64,
    pub fill: CacheFill,
}

impl Harness {
    /// A harness whose module has received the endpoint list.
    pub fn new(settings: Settings) -> Harness {
        let module = DecisionModule::new(settings, 5).unwrap();
        let mut harness = Harness { module, now: START, last_request: 1 };
        harness.apply_list(ListKind::Cached, endpoint_list());
        harness
    }

    /// Passes an event to the module and returns the actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        actions
    }

    /// Passes an endpoint list to the module.
    pub fn apply_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        self.event(Event::EndpointList { kind, entries });
    }

    /// Sends a request for a part of an object, and returns the actions.
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

    /// Sends a request for part 0 of an object, and returns the attempt. Panics if none is sent.
    pub fn request(&mut self, object: u64) -> SentAttempt {
        sent_attempt(&self.request_part(object, 0, 0)).expect("the request must cause an attempt")
    }

    /// Ends an attempt with a latency of 100 ms, and returns the actions.
    pub fn end_attempt(
        &mut self,
        sent: &SentAttempt,
        attempt: u16,
        status: AttemptStatus,
        cache_status: Option<CacheStatus>,
    ) -> Vec<Action> {
        self.end_attempt_after(sent, attempt, status, cache_status, Duration::from_millis(100))
    }

    /// Ends an attempt with the given latency, and returns the actions.
    pub fn end_attempt_after(
        &mut self,
        sent: &SentAttempt,
        attempt: u16,
        status: AttemptStatus,
        cache_status: Option<CacheStatus>,
        latency: Duration,
    ) -> Vec<Action> {
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: sent.id,
            attempt,
            endpoint: EndpointId(sent.endpoint),
            latency,
            status,
            request_finished: status == AttemptStatus::Ok,
            cache_status,
            work: None,
        }))
    }

    /// Sends a request for an object and serves it as a hit. Returns the attempt.
    pub fn serve(&mut self, object: u64) -> SentAttempt {
        let sent = self.request(object);
        self.end_attempt(&sent, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
        sent
    }

    /// The home cache and home parent of each of 200 objects, by object.
    pub fn homes(&mut self) -> BTreeMap<u64, (u64, u64)> {
        let mut homes = BTreeMap::new();
        for object in 1_000..1_200 {
            let sent = self.serve(object);
            homes.insert(object, (sent.endpoint, sent.fill.source.unwrap().0));
        }
        homes
    }
}

/// The first attempt among the actions.
pub fn sent_attempt(actions: &[Action]) -> Option<SentAttempt> {
    actions.iter().find_map(|a| match a {
        Action::Attempt { request, endpoint, fill, .. } => {
            Some(SentAttempt { id: *request, endpoint: endpoint.0, fill: fill.clone() })
        }
        _ => None,
    })
}

/// Number of final answers among the actions.
pub fn final_answers(actions: &[Action]) -> usize {
    let is_final = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
    actions.iter().filter(is_final).count()
}
