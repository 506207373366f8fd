//! What is behind the parents is asked for less when it can't keep up: no bench, fixed seeds.

use hollymux_decision::*;
use std::time::Duration;

const PARENTS: std::ops::Range<u64> = 21..25;
const ORIGIN: u64 = 31;
const DOCS: u16 = 0;
const FILING: u16 = 1;

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

struct Bed {
    control: DecisionModule,
    now: Timestamp,
    next: RequestId,
}

/// An attempt: its request and number, its endpoint, and how it is filled.
type Sent = (RequestId, u16, u64, CacheFill);

impl Bed {
    fn new() -> Bed {
        let mut bed = Bed {
            control: DecisionModule::new(settings(), 7).unwrap(),
            now: Timestamp::from_micros(1_000_000_000),
            next: 0,
        };
        let line =
            |id, kind, zone| EndpointEntry { id: EndpointId(id), kind, zone, ..EndpointEntry::default() };
        let caches = (1..=4).map(|i| line(i, 0, 0));
        let all = caches.chain(PARENTS.map(|i| line(i, 1, 1))).chain([line(ORIGIN, 2, 1)]);
        bed.event(Event::EndpointList { kind: ListKind::Cached, entries: all.collect() });
        bed
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut acts = Vec::new();
        self.control.handle(self.now, event, &mut acts);
        acts
    }

    /// The next object's request, 100 ms after the last one.
    fn ask(&mut self, class: u16) -> Sent {
        self.now += Duration::from_millis(100);
        self.next += 1;
        let (id, object, deadline) = (self.next, u64::from(self.next), self.now + Duration::from_secs(2));
        let acts = self.event(Event::Request(Request { id, class, object, deadline, ..Request::default() }));
        attempt(&acts, 0).expect("an attempt")
    }

    fn end(&mut self, s: &Sent, status: AttemptStatus, latency: Duration) -> Vec<Action> {
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: s.0,
            attempt: s.1,
            endpoint: EndpointId(s.2),
            latency,
            status,
            ended: status == AttemptStatus::Ok,
            note: None,
            work: None,
        }))
    }

    /// So many requests that are served in time; how many of them had a parent give only what it holds.
    fn shallow(&mut self, requests: usize) -> usize {
        let mut only_if_cached = 0;
        for _ in 0..requests {
            let s = self.ask(DOCS);
            only_if_cached += usize::from(s.3.only_if_cached);
            self.end(&s, AttemptStatus::Ok, Duration::from_millis(50));
        }
        only_if_cached
    }

    fn write(&mut self, latency: Duration) {
        let s = self.ask(FILING);
        assert_eq!(
            (s.3.source, s.3.only_if_cached),
            (Some(EndpointId(ORIGIN)), false),
            "a write is never spared"
        );
        self.end(&s, AttemptStatus::Ok, latency);
    }
}

fn attempt(acts: &[Action], number: u16) -> Option<Sent> {
    acts.iter().find_map(|a| match a {
        Action::Attempt { request, endpoint, fill, .. } => Some((*request, number, endpoint.0, fill.clone())),
        _ => None,
    })
}

/// Guards against a box that is slow itself being taken for an origin that can't keep up: a write by another box, sent
/// later and answered in time before, shows that it can. Writes that are all late acquit nobody.
#[test]
fn a_write_that_was_late_alone_spares_nobody() {
    let mut bed = Bed::new();
    let (slow, quick) = (bed.ask(FILING), bed.ask(FILING));
    bed.now += Duration::from_millis(50);
    bed.end(&quick, AttemptStatus::Ok, Duration::from_millis(50));
    bed.now += Duration::from_millis(400);
    bed.end(&slow, AttemptStatus::Ok, Duration::from_millis(550));
    assert_eq!(bed.shallow(100), 0, "one box was slow");
    let late: Vec<Sent> = (0..3).map(|_| bed.ask(FILING)).collect();
    bed.now += Duration::from_millis(400);
    late.iter().for_each(|s| drop(bed.end(s, AttemptStatus::Ok, Duration::from_millis(500))));
    assert!(bed.shallow(20) > 5, "all were late");
}

/// Guards against all routers together keeping the origin down: the writes of each tell it early.
#[test]
fn late_writes_have_parents_give_only_what_they_hold_and_time_brings_it_back() {
    let mut bed = Bed::new();
    assert_eq!(bed.shallow(100), 0, "nothing was late");
    (0..10).for_each(|_| bed.write(Duration::from_millis(300)));
    assert_eq!(bed.shallow(100), 0, "writes in time say nothing");
    bed.write(Duration::from_millis(400));
    let few = bed.shallow(20);
    assert!((4..=18).contains(&few), "{few} of 20 after one late write");
    (0..6).for_each(|_| bed.write(Duration::from_millis(900)));
    let most = bed.shallow(20);
    assert!(most >= 17, "{most} of 20 after six more");
    bed.now += Duration::from_secs(30);
    assert_eq!(bed.shallow(100), 0, "long over");
}

/// Guards against fills that are dropped when their clients leave and begun anew for ever.
#[test]
fn fills_that_stay_away_have_less_asked_for_and_one_of_them_does_not() {
    let mut bed = Bed::new();
    bed.shallow(40);
    for (late, least, most) in [(1, 0, 0), (12, 12, 20)] {
        let out: Vec<Sent> = (0..late).map(|_| bed.ask(DOCS)).filter(|s| !s.3.only_if_cached).collect();
        // The caches go on serving what they hold.
        bed.shallow(12);
        bed.now += Duration::from_secs(1);
        for s in &out {
            bed.end(s, AttemptStatus::Timeout, Duration::from_secs(2));
        }
        let only_if_cached = bed.shallow(20);
        assert!((least..=most).contains(&only_if_cached), "{only_if_cached} of 20 after {late} late ones");
    }
}

/// Guards against taking crowded hubs for a library that can't keep up, while it answers writes in time.
#[test]
fn while_writes_are_in_time_what_is_overdue_waits_for_something_else() {
    let mut bed = Bed::new();
    bed.shallow(40);
    let out: Vec<Sent> = (0..12).map(|_| bed.ask(DOCS)).collect();
    bed.shallow(12);
    bed.write(Duration::from_millis(100));
    bed.now += Duration::from_secs(1);
    out.iter().for_each(|s| drop(bed.end(s, AttemptStatus::Timeout, Duration::from_secs(2))));
    assert_eq!(bed.shallow(20), 0);
}

/// Guards against taking one hub that is down for the library: there the others hold what is asked for.
#[test]
fn refusals_by_one_parent_spare_nobody_and_by_several_all() {
    let refuse = |only: Option<u64>| {
        let mut bed = Bed::new();
        bed.shallow(40);
        for _ in 0..60 {
            let s = bed.ask(DOCS);
            let named = s.3.source.map(|s| s.0).filter(|s| PARENTS.contains(s));
            let refused = named.is_some_and(|n| only.is_none_or(|o| o == n)) && !s.3.only_if_cached;
            let (status, took) = if refused {
                (AttemptStatus::Full, Duration::from_millis(30))
            } else {
                (AttemptStatus::Ok, Duration::from_millis(50))
            };
            bed.end(&s, status, took);
        }
        bed.shallow(20)
    };
    assert_eq!(refuse(Some(22)), 0);
    let all = refuse(None);
    assert!(all >= 10, "{all} of 20");
}

/// Guards against a refusal that keeps its client waiting, and against asking on what can't be had: a spared
/// request takes an old copy, renews nothing, and is refused with a wait when nobody holds it.
#[test]
fn what_nobody_holds_is_refused_at_once_with_a_wait() {
    let mut bed = Bed::new();
    (0..8).for_each(|_| bed.write(Duration::from_millis(900)));
    let spared = (0..20).map(|_| bed.ask(DOCS)).find(|s| s.3.only_if_cached).expect("one is spared");
    assert_eq!((spared.3.max_age, spared.3.stale_while_revalidate), (Some(Duration::from_secs(38)), false));
    let (mut acts, mut asked) = (bed.end(&spared, AttemptStatus::Miss, Duration::from_millis(20)), 1);
    while let Some(next) = attempt(&acts, asked) {
        assert!(next.3.only_if_cached || next.3.source.is_none(), "{next:?}");
        asked += 1;
        acts = bed.end(&next, AttemptStatus::Miss, Duration::from_millis(20));
    }
    let wait = acts.iter().find_map(|a| match a {
        Action::Refuse { request, retry_after } if *request == spared.0 => Some(*retry_after),
        _ => None,
    });
    assert!(wait.is_some_and(|w| w >= Duration::from_millis(500)), "{acts:?}");
    assert!(asked <= 2, "{asked} attempts for what nobody holds");
}

/// Guards against further attempts feeding what they wait for.
#[test]
fn further_attempts_give_way_first() {
    let mut bed = Bed::new();
    bed.write(Duration::from_millis(900));
    let mut again = 0;
    for _ in 0..20 {
        let s = bed.ask(DOCS);
        let acts = bed.end(&s, AttemptStatus::Error, Duration::from_millis(20));
        if let Some(second) = attempt(&acts, 1) {
            again += 1;
            assert!(second.3.only_if_cached || second.3.source.is_none(), "{second:?}");
        }
        bed.now = bed.now - Duration::from_millis(100);
    }
    assert!(again > 5, "{again} second attempts");
}
