//! Origin protection: load shedding when the origin can't keep up, under fixed seeds.

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

/// An attempt that the module has sent.
#[derive(Clone, Debug)]
struct SentAttempt {
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

    /// Sends a request for a new object, 100 ms after the previous request, and returns the
    /// attempt. Panics if none is sent.
    fn request(&mut self, class: u16) -> SentAttempt {
        self.now += Duration::from_millis(100);
        self.last_request += 1;
        let (id, object, deadline) =
            (self.last_request, u64::from(self.last_request), self.now + Duration::from_secs(2));
        let actions =
            self.event(Event::Request(Request { id, class, object, deadline, ..Request::default() }));
        sent_attempt(&actions, 0).expect("the request must cause an attempt")
    }

    fn end_attempt(&mut self, sent: &SentAttempt, status: AttemptStatus, latency: Duration) -> Vec<Action> {
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: sent.request,
            attempt: sent.attempt,
            endpoint: EndpointId(sent.endpoint),
            latency,
            status,
            request_finished: status == AttemptStatus::Ok,
            cache_status: None,
            work: None,
        }))
    }

    /// Sends `requests` requests that are served in time. Returns for how many of them the parent
    /// was to serve only what it holds.
    fn served_from_copies(&mut self, requests: usize) -> usize {
        let mut only_if_cached = 0;
        for _ in 0..requests {
            let sent = self.request(READ_CLASS);
            only_if_cached += usize::from(sent.fill.only_if_cached);
            self.end_attempt(&sent, AttemptStatus::Ok, Duration::from_millis(50));
        }
        only_if_cached
    }

    fn write(&mut self, latency: Duration) {
        let sent = self.request(WRITE_CLASS);
        assert_eq!(
            (sent.fill.source, sent.fill.only_if_cached),
            (Some(EndpointId(ORIGIN)), false),
            "a write must not be shed"
        );
        self.end_attempt(&sent, AttemptStatus::Ok, latency);
    }
}

fn sent_attempt(actions: &[Action], number: u16) -> Option<SentAttempt> {
    actions.iter().find_map(|a| match a {
        Action::Attempt { request, endpoint, fill, .. } => {
            Some(SentAttempt { request: *request, attempt: number, endpoint: endpoint.0, fill: fill.clone() })
        }
        _ => None,
    })
}

/// Guards against taking a slow cache for an origin that can't keep up. A write through another
/// cache that was sent later and answered in time shows that the origin keeps up. If several writes
/// are all late, the origin does not.
#[test]
fn a_single_late_write_sheds_no_requests() {
    let mut harness = Harness::new();
    let (slow, quick) = (harness.request(WRITE_CLASS), harness.request(WRITE_CLASS));
    harness.now += Duration::from_millis(50);
    harness.end_attempt(&quick, AttemptStatus::Ok, Duration::from_millis(50));
    harness.now += Duration::from_millis(400);
    harness.end_attempt(&slow, AttemptStatus::Ok, Duration::from_millis(550));
    assert_eq!(harness.served_from_copies(100), 0, "one slow cache must not cause shedding");
    let late: Vec<SentAttempt> = (0..3).map(|_| harness.request(WRITE_CLASS)).collect();
    harness.now += Duration::from_millis(400);
    late.iter()
        .for_each(|sent| drop(harness.end_attempt(sent, AttemptStatus::Ok, Duration::from_millis(500))));
    assert!(harness.served_from_copies(20) > 5, "late writes through several caches must cause shedding");
}

/// Guards against all routers together keeping the origin overloaded: the late writes of each
/// router must show the overload early.
#[test]
fn late_writes_limit_parents_to_their_copies_for_a_limited_time() {
    let mut harness = Harness::new();
    assert_eq!(harness.served_from_copies(100), 0, "without late writes nothing may be shed");
    (0..10).for_each(|_| harness.write(Duration::from_millis(300)));
    assert_eq!(harness.served_from_copies(100), 0, "writes in time must not cause shedding");
    harness.write(Duration::from_millis(400));
    let after_one = harness.served_from_copies(20);
    assert!((4..=18).contains(&after_one), "{after_one} of 20 were shed after one late write");
    (0..6).for_each(|_| harness.write(Duration::from_millis(900)));
    let after_seven = harness.served_from_copies(20);
    assert!(after_seven >= 17, "{after_seven} of 20 were shed after seven late writes");
    harness.now += Duration::from_secs(30);
    assert_eq!(harness.served_from_copies(100), 0, "30 s after the last late write nothing may be shed");
}

/// Guards against fills that are dropped when their clients leave and then restarted, over and
/// over.
#[test]
fn several_overdue_fills_cut_the_load_and_one_does_not() {
    let mut harness = Harness::new();
    harness.served_from_copies(40);
    for (late, min, max) in [(1, 0, 0), (12, 12, 20)] {
        let in_flight: Vec<SentAttempt> =
            (0..late).map(|_| harness.request(READ_CLASS)).filter(|sent| !sent.fill.only_if_cached).collect();
        // The caches go on serving what they hold.
        harness.served_from_copies(12);
        harness.now += Duration::from_secs(1);
        for sent in &in_flight {
            harness.end_attempt(sent, AttemptStatus::Timeout, Duration::from_secs(2));
        }
        let only_if_cached = harness.served_from_copies(20);
        assert!(
            (min..=max).contains(&only_if_cached),
            "{only_if_cached} of 20 were shed after {late} overdue fills"
        );
    }
}

/// Guards against taking overloaded parents for an overloaded origin while the origin answers
/// writes in time.
#[test]
fn while_writes_are_in_time_overdue_attempts_cut_no_load() {
    let mut harness = Harness::new();
    harness.served_from_copies(40);
    let in_flight: Vec<SentAttempt> = (0..12).map(|_| harness.request(READ_CLASS)).collect();
    harness.served_from_copies(12);
    harness.write(Duration::from_millis(100));
    harness.now += Duration::from_secs(1);
    in_flight
        .iter()
        .for_each(|sent| drop(harness.end_attempt(sent, AttemptStatus::Timeout, Duration::from_secs(2))));
    assert_eq!(harness.served_from_copies(20), 0);
}

/// Guards against taking one parent that is down for an overloaded origin: other parents hold the
/// requested objects.
#[test]
fn refusals_by_one_parent_shed_nothing_and_by_several_do() {
    let shed_after_refusals = |only: Option<u64>| {
        let mut harness = Harness::new();
        harness.served_from_copies(40);
        for _ in 0..60 {
            let sent = harness.request(READ_CLASS);
            let parent = sent.fill.source.map(|source| source.0).filter(|source| PARENTS.contains(source));
            let refuses = parent.is_some_and(|parent| only.is_none_or(|only| only == parent));
            let is_refused = refuses && !sent.fill.only_if_cached;
            let (status, latency) = if is_refused {
                (AttemptStatus::Full, Duration::from_millis(30))
            } else {
                (AttemptStatus::Ok, Duration::from_millis(50))
            };
            harness.end_attempt(&sent, status, latency);
        }
        harness.served_from_copies(20)
    };
    assert_eq!(shed_after_refusals(Some(22)), 0);
    let shed = shed_after_refusals(None);
    assert!(shed >= 10, "{shed} of 20 were shed after refusals by all parents");
}

/// Guards against a rejection that keeps its client waiting, and against retries for an object that
/// no cache holds. A shed request accepts a stale copy, causes no revalidation, and is rejected
/// with a retry delay if there is no copy.
#[test]
fn shed_requests_without_a_copy_are_rejected_at_once_with_a_delay() {
    let mut harness = Harness::new();
    (0..8).for_each(|_| harness.write(Duration::from_millis(900)));
    let shed = (0..20)
        .map(|_| harness.request(READ_CLASS))
        .find(|sent| sent.fill.only_if_cached)
        .expect("one of 20 requests must be shed");
    assert_eq!((shed.fill.max_age, shed.fill.stale_while_revalidate), (Some(Duration::from_secs(38)), false));
    let mut actions = harness.end_attempt(&shed, AttemptStatus::Miss, Duration::from_millis(20));
    let mut attempts = 1;
    while let Some(next) = sent_attempt(&actions, attempts) {
        assert!(next.fill.only_if_cached || next.fill.source.is_none(), "{next:?}");
        attempts += 1;
        actions = harness.end_attempt(&next, AttemptStatus::Miss, Duration::from_millis(20));
    }
    let retry_after = actions.iter().find_map(|a| match a {
        Action::Reject { request, retry_after } if *request == shed.request => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|delay| delay >= Duration::from_millis(500)), "{actions:?}");
    assert!(attempts <= 2, "{attempts} attempts for an object that no cache holds");
}

/// Guards against retries that add to the overload that caused them.
#[test]
fn retries_are_shed_first() {
    let mut harness = Harness::new();
    harness.write(Duration::from_millis(900));
    let mut retries = 0;
    for _ in 0..20 {
        let sent = harness.request(READ_CLASS);
        let actions = harness.end_attempt(&sent, AttemptStatus::Error, Duration::from_millis(20));
        if let Some(retry) = sent_attempt(&actions, 1) {
            retries += 1;
            assert!(retry.fill.only_if_cached || retry.fill.source.is_none(), "{retry:?}");
        }
        harness.now = harness.now - Duration::from_millis(100);
    }
    assert!(retries > 5, "{retries} of 20 requests were retried");
}
