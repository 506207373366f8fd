//! Protection of the origin: fewer fetches from it when it can't keep up, under fixed seeds.

use hollymux_decision::*;
use std::time::Duration;

const PARENTS: std::ops::Range<u64> = 21..25;
const ORIGIN: u64 = 31;
const READ_CLASS: u16 = 0;
const WRITE_CLASS: u16 = 1;

fn settings() -> Settings {
    let class = |idempotency, write, fresh| RequestClass {
        latency_objective: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        idempotency,
        write,
        fresh,
        grace: Duration::from_secs(30),
        ..RequestClass::default()
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, false, Duration::from_secs(8)),
            class(Idempotency::NotIdempotent, true, Duration::ZERO),
        ],
        parent_kind: Some(1),
        origin_kind: Some(2),
        bypass_edge_cache: true,
        sibling_caches: SiblingCaches::Any,
        max_attempts: 6,
        cancel: true,
        retry_after: true,
        max_retry_after: Duration::from_millis(1_000),
        connect_timeout: Duration::from_millis(400),
        ..Settings::default()
    }
}

struct Harness {
    module: DecisionModule,
    now: Timestamp,
    last_request: RequestId,
}

/// An attempt: its request and number, its endpoint, and how it is filled.
#[derive(Clone, Debug)]
struct Sent {
    request: RequestId,
    attempt: u16,
    endpoint: u64,
    fill: CacheFill,
}

impl Harness {
    fn new() -> Harness {
        let mut harness = Harness {
            module: DecisionModule::new(settings(), 7).unwrap(),
            now: Timestamp::from_micros(1_000_000_000),
            last_request: 0,
        };
        let entry =
            |id, kind, zone| EndpointEntry { id: EndpointId(id), kind, zone, ..EndpointEntry::default() };
        let caches = (1..=4).map(|i| entry(i, 0, 0));
        let all = caches.chain(PARENTS.map(|i| entry(i, 1, 1))).chain([entry(ORIGIN, 2, 1)]);
        harness.event(Event::EndpointList { kind: ListKind::Cached, entries: all.collect() });
        harness
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        actions
    }

    /// The next object's request, 100 ms after the last one.
    fn request(&mut self, class: u16) -> Sent {
        self.now += Duration::from_millis(100);
        self.last_request += 1;
        let (id, object, deadline) =
            (self.last_request, u64::from(self.last_request), self.now + Duration::from_secs(2));
        let actions =
            self.event(Event::Request(Request { id, class, object, deadline, ..Request::default() }));
        attempt_sent(&actions, 0).expect("an attempt")
    }

    fn end_attempt(&mut self, s: &Sent, status: AttemptStatus, latency: Duration) -> Vec<Action> {
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: s.request,
            attempt: s.attempt,
            endpoint: EndpointId(s.endpoint),
            latency,
            status,
            ended: status == AttemptStatus::Ok,
            note: None,
            work: None,
        }))
    }

    /// So many requests that are served in time; how many of them had a parent give only what it
    /// holds.
    fn served_from_copies(&mut self, requests: usize) -> usize {
        let mut only_if_cached = 0;
        for _ in 0..requests {
            let s = self.request(READ_CLASS);
            only_if_cached += usize::from(s.fill.only_if_cached);
            self.end_attempt(&s, AttemptStatus::Ok, Duration::from_millis(50));
        }
        only_if_cached
    }

    fn write(&mut self, latency: Duration) {
        let s = self.request(WRITE_CLASS);
        assert_eq!(
            (s.fill.source, s.fill.only_if_cached),
            (Some(EndpointId(ORIGIN)), false),
            "a write is never shed"
        );
        self.end_attempt(&s, AttemptStatus::Ok, latency);
    }
}

fn attempt_sent(actions: &[Action], number: u16) -> Option<Sent> {
    actions.iter().find_map(|a| match a {
        Action::Attempt { request, endpoint, fill, .. } => {
            Some(Sent { request: *request, attempt: number, endpoint: endpoint.0, fill: fill.clone() })
        }
        _ => None,
    })
}

/// Guards against a cache that is slow itself being taken for an origin that can't keep up: a write
/// by another cache, sent later and answered in time before, shows that it can. Writes that are all
/// late show the opposite.
#[test]
fn a_write_that_alone_was_late_sheds_nothing() {
    let mut harness = Harness::new();
    let (slow, quick) = (harness.request(WRITE_CLASS), harness.request(WRITE_CLASS));
    harness.now += Duration::from_millis(50);
    harness.end_attempt(&quick, AttemptStatus::Ok, Duration::from_millis(50));
    harness.now += Duration::from_millis(400);
    harness.end_attempt(&slow, AttemptStatus::Ok, Duration::from_millis(550));
    assert_eq!(harness.served_from_copies(100), 0, "one cache was slow");
    let late: Vec<Sent> = (0..3).map(|_| harness.request(WRITE_CLASS)).collect();
    harness.now += Duration::from_millis(400);
    late.iter().for_each(|s| drop(harness.end_attempt(s, AttemptStatus::Ok, Duration::from_millis(500))));
    assert!(harness.served_from_copies(20) > 5, "all were late");
}

/// Guards against all routers together keeping the origin down: the writes of each show it early.
#[test]
fn late_writes_limit_parents_to_their_copies_until_time_has_passed() {
    let mut harness = Harness::new();
    assert_eq!(harness.served_from_copies(100), 0, "nothing was late");
    (0..10).for_each(|_| harness.write(Duration::from_millis(300)));
    assert_eq!(harness.served_from_copies(100), 0, "writes in time say nothing");
    harness.write(Duration::from_millis(400));
    let few = harness.served_from_copies(20);
    assert!((4..=18).contains(&few), "{few} of 20 after one late write");
    (0..6).for_each(|_| harness.write(Duration::from_millis(900)));
    let most = harness.served_from_copies(20);
    assert!(most >= 17, "{most} of 20 after six more");
    harness.now += Duration::from_secs(30);
    assert_eq!(harness.served_from_copies(100), 0, "long over");
}

/// Guards against fills that are dropped when their clients leave and restarted without end.
#[test]
fn several_overdue_fills_cut_the_load_and_one_does_not() {
    let mut harness = Harness::new();
    harness.served_from_copies(40);
    for (late, least, most) in [(1, 0, 0), (12, 12, 20)] {
        let out: Vec<Sent> =
            (0..late).map(|_| harness.request(READ_CLASS)).filter(|s| !s.fill.only_if_cached).collect();
        // The caches go on serving what they hold.
        harness.served_from_copies(12);
        harness.now += Duration::from_secs(1);
        for s in &out {
            harness.end_attempt(s, AttemptStatus::Timeout, Duration::from_secs(2));
        }
        let only_if_cached = harness.served_from_copies(20);
        assert!((least..=most).contains(&only_if_cached), "{only_if_cached} of 20 after {late} late ones");
    }
}

/// Guards against taking overloaded parents for an origin that can't keep up, while it answers
/// writes in time.
#[test]
fn while_writes_are_in_time_overdue_attempts_cut_no_load() {
    let mut harness = Harness::new();
    harness.served_from_copies(40);
    let out: Vec<Sent> = (0..12).map(|_| harness.request(READ_CLASS)).collect();
    harness.served_from_copies(12);
    harness.write(Duration::from_millis(100));
    harness.now += Duration::from_secs(1);
    out.iter().for_each(|s| drop(harness.end_attempt(s, AttemptStatus::Timeout, Duration::from_secs(2))));
    assert_eq!(harness.served_from_copies(20), 0);
}

/// Guards against taking one parent that is down for the origin: there the others hold what is
/// requested.
#[test]
fn refusals_by_one_parent_shed_nothing_and_by_several_do() {
    let refuse = |only: Option<u64>| {
        let mut harness = Harness::new();
        harness.served_from_copies(40);
        for _ in 0..60 {
            let s = harness.request(READ_CLASS);
            let named = s.fill.source.map(|s| s.0).filter(|s| PARENTS.contains(s));
            let refused = named.is_some_and(|n| only.is_none_or(|o| o == n)) && !s.fill.only_if_cached;
            let (status, took) = if refused {
                (AttemptStatus::Full, Duration::from_millis(30))
            } else {
                (AttemptStatus::Ok, Duration::from_millis(50))
            };
            harness.end_attempt(&s, status, took);
        }
        harness.served_from_copies(20)
    };
    assert_eq!(refuse(Some(22)), 0);
    let all = refuse(None);
    assert!(all >= 10, "{all} of 20");
}

/// Guards against a rejection that keeps its client waiting, and against retries for what nobody
/// holds: a shed request takes an old copy, renews nothing, and is rejected with a delay when
/// nobody holds it.
#[test]
fn what_nobody_holds_is_rejected_at_once_with_a_delay() {
    let mut harness = Harness::new();
    (0..8).for_each(|_| harness.write(Duration::from_millis(900)));
    let shed =
        (0..20).map(|_| harness.request(READ_CLASS)).find(|s| s.fill.only_if_cached).expect("one is shed");
    assert_eq!((shed.fill.max_age, shed.fill.stale_while_revalidate), (Some(Duration::from_secs(38)), false));
    let (mut actions, mut asked) =
        (harness.end_attempt(&shed, AttemptStatus::Miss, Duration::from_millis(20)), 1);
    while let Some(next) = attempt_sent(&actions, asked) {
        assert!(next.fill.only_if_cached || next.fill.source.is_none(), "{next:?}");
        asked += 1;
        actions = harness.end_attempt(&next, AttemptStatus::Miss, Duration::from_millis(20));
    }
    let wait = actions.iter().find_map(|a| match a {
        Action::Refuse { request, retry_after } if *request == shed.request => Some(*retry_after),
        _ => None,
    });
    assert!(wait.is_some_and(|w| w >= Duration::from_millis(500)), "{actions:?}");
    assert!(asked <= 2, "{asked} attempts for what nobody holds");
}

/// Guards against retries adding to the overload that they wait for.
#[test]
fn retries_are_shed_first() {
    let mut harness = Harness::new();
    harness.write(Duration::from_millis(900));
    let mut again = 0;
    for _ in 0..20 {
        let s = harness.request(READ_CLASS);
        let actions = harness.end_attempt(&s, AttemptStatus::Error, Duration::from_millis(20));
        if let Some(second) = attempt_sent(&actions, 1) {
            again += 1;
            assert!(second.fill.only_if_cached || second.fill.source.is_none(), "{second:?}");
        }
        harness.now = harness.now - Duration::from_millis(100);
    }
    assert!(again > 5, "{again} second attempts");
}
