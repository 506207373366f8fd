//! The decision module through its interface: the mechanism, the rules and what comes back.

use hollymux_decision::time::MICROSECOND;
use hollymux_decision::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
const START: Timestamp = Timestamp::from_micros(1_000_000_000);

fn class() -> RequestClass {
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

fn settings() -> Settings {
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

fn line(id: u64, zone: u16, kind: u16) -> EndpointEntry {
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
fn fleet() -> Vec<EndpointEntry> {
    let mut all: Vec<_> = (1..=4).map(|i| line(i, 0, 0)).collect();
    all.extend((11..=12).map(|i| line(i, 1, 0)));
    all.extend((21..=23).map(|i| line(i, 2, PARENT)));
    all.push(line(31, 2, ORIGIN));
    all
}

struct Bed {
    c: DecisionModule,
    now: Timestamp,
    next: RequestId,
}

#[derive(Clone, Debug)]
struct Sent {
    id: RequestId,
    endpoint: u64,
    fill: CacheFill,
}

impl Bed {
    fn new(s: Settings) -> Bed {
        let c = DecisionModule::new(s, 5).unwrap();
        let mut bed = Bed { c, now: START, next: 1 };
        bed.endpoints(ListKind::Cached, fleet());
        bed
    }
    fn event(&mut self, e: Event) -> Vec<Action> {
        let mut acts = Vec::new();
        self.c.handle(self.now, e, &mut acts);
        acts
    }
    fn endpoints(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        self.event(Event::EndpointList { kind, entries });
    }
    fn ask_of(&mut self, object: u64, part: u32, class: u16) -> Vec<Action> {
        self.next += 1;
        let request = Request {
            id: self.next,
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
    fn ask(&mut self, object: u64) -> Sent {
        sent(&self.ask_of(object, 0, 0)).expect("an attempt")
    }
    fn end(
        &mut self,
        s: &Sent,
        attempt: u16,
        status: AttemptStatus,
        note: Option<CacheStatus>,
    ) -> Vec<Action> {
        self.end_after(s, attempt, status, note, Duration::from_millis(100))
    }

    fn end_after(
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
    /// Asks and is served.
    fn serve(&mut self, object: u64) -> Sent {
        let s = self.ask(object);
        self.end(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
        s
    }
    /// Home cache and home parent of every object of a sample.
    fn homes(&mut self) -> BTreeMap<u64, (u64, u64)> {
        let mut homes = BTreeMap::new();
        for object in 1_000..1_200 {
            let s = self.serve(object);
            homes.insert(object, (s.endpoint, s.fill.source.unwrap().0));
        }
        homes
    }
}

fn sent(acts: &[Action]) -> Option<Sent> {
    acts.iter().find_map(|a| match a {
        Action::Attempt { request, endpoint, fill, .. } => {
            Some(Sent { id: *request, endpoint: endpoint.0, fill: fill.clone() })
        }
        _ => None,
    })
}

fn finals(acts: &[Action]) -> usize {
    let last = |a: &&Action| matches!(a, Action::Refuse { .. } | Action::Fail { .. });
    acts.iter().filter(last).count()
}

#[test]
fn a_cold_object_has_one_home_and_its_parts_are_spread() {
    let mut bed = Bed::new(settings());
    let homes: BTreeSet<u64> = (0..9).map(|_| bed.serve(42).endpoint).collect();
    assert_eq!(homes.len(), 1);
    let mut parts = BTreeSet::new();
    for part in 0..40 {
        let s = sent(&bed.ask_of(42, part, 0)).unwrap();
        bed.end(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
        parts.insert(s.endpoint);
    }
    assert_eq!(parts, BTreeSet::from([1, 2, 3, 4]));
}

#[test]
fn parents_agree_across_locations_and_seeds() {
    let mut here = Bed::new(settings());
    let mut there = Bed::new(Settings { zone: 1, ..settings() });
    there.c = DecisionModule::new(Settings { zone: 1, ..settings() }, 99).unwrap();
    there.endpoints(ListKind::Full, fleet());
    let (a, b) = (here.homes(), there.homes());
    assert!(a.iter().all(|(k, v)| b[k].1 == v.1));
    assert_eq!(a.values().map(|v| v.1).collect::<BTreeSet<_>>(), BTreeSet::from([21, 22, 23]));
    assert!(b.values().all(|v| v.0 == 11 || v.0 == 12));
}

#[test]
fn skipped_hosts_leave_the_others_in_place() {
    for (id, zone, kind, is_cache) in [(2, 0, 0, true), (22, 2, PARENT, false)] {
        for state in [EndpointState::Draining, EndpointState::Gone] {
            let mut bed = Bed::new(settings());
            let before = bed.homes();
            let entry = EndpointEntry { state, ..line(id, zone, kind) };
            bed.endpoints(ListKind::Delta, vec![entry]);
            let after = bed.homes();
            for (k, (cache, parent)) in &before {
                let (c, p) = after[k];
                assert!(c != id && p != id, "nothing new for a {state:?} host");
                assert!(if is_cache { p == *parent } else { c == *cache });
                assert!(*cache == id || c == *cache);
                assert!(*parent == id || p == *parent);
            }
        }
    }
}

#[test]
fn a_full_list_drops_what_it_does_not_name() {
    let mut bed = Bed::new(settings());
    let mut all = fleet();
    all.retain(|e| e.id != EndpointId(3));
    bed.endpoints(ListKind::Full, all);
    assert!(bed.homes().values().all(|h| h.0 != 3));
}

#[test]
fn a_hot_object_widens_fills_from_home_and_narrows_again() {
    let mut bed = Bed::new(settings());
    let home = bed.serve(42).endpoint;
    let mut endpoints = BTreeSet::new();
    for i in 0..400 {
        let s = bed.serve(if i % 2 == 0 { 42 } else { 5_000 + i });
        if i % 2 == 0 {
            endpoints.insert(s.endpoint);
            if s.endpoint != home {
                assert_eq!(s.fill.source, Some(EndpointId(home)), "extra copies come from home");
                assert_eq!(s.fill.retention, 1, "and take the lowest rank");
            }
        }
        bed.now += Duration::from_millis(20);
    }
    assert!(endpoints.len() >= 3, "{endpoints:?}");
    for i in 0..3_000 {
        bed.serve(9_000 + i);
        bed.now += Duration::from_millis(20);
    }
    assert!((0..20).all(|_| bed.serve(42).endpoint == home));
}

#[test]
fn small_samples_and_a_stalls_backlog_do_not_widen() {
    let mut bed = Bed::new(settings());
    let home = bed.serve(42).endpoint;
    // Three of four requests in a round: a large share of nothing.
    for i in 0..3 {
        bed.serve(42);
        bed.now += Duration::from_millis(300);
        bed.serve(600 + i);
    }
    bed.now += Duration::from_secs(2);
    assert!((0..20).all(|_| bed.serve(42).endpoint == home));
    // A steady load, then a stall, then its backlog, mostly of one object.
    let mut bed = Bed::new(settings());
    for i in 0..600 {
        bed.serve(5_000 + i);
        bed.now += Duration::from_millis(10);
    }
    bed.now += Duration::from_secs(5);
    for _ in 0..30 {
        bed.serve(42);
    }
    bed.now += Duration::from_secs(1);
    assert!((0..20).all(|_| bed.serve(42).endpoint == home));
}

#[test]
fn purges_bound_the_age_at_once_until_all_copies_are_cleared() {
    let mut bed = Bed::new(settings());
    assert_eq!(bed.ask(42).fill.max_age, None);
    let purge = |object, group, since| Event::Purged(Purge { since, object, group });
    bed.event(purge(Some(42), 1, Duration::from_millis(300)));
    let age = bed.ask(42).fill.max_age.unwrap();
    assert!((MICROSECOND..Duration::from_millis(300)).contains(&age));
    assert_eq!(bed.ask(43).fill.max_age, None);
    bed.event(purge(None, 7, Duration::ZERO));
    assert_eq!(bed.ask(43).fill.max_age, Some(MICROSECOND), "a zero bound would mean none");
    bed.now += Duration::from_secs(1);
    let s = bed.ask(43);
    let age = s.fill.max_age.unwrap();
    assert!(
        age < Duration::from_secs(1) && age > Duration::from_millis(900),
        "the bound grows with the time since the purge"
    );
    // A later attempt of a request that was out when the purge came is bound too.
    let before = bed.ask(77);
    bed.event(purge(Some(77), 1, Duration::ZERO));
    let acts = bed.end(&before, 0, AttemptStatus::Full, Some(CacheStatus::NoFillPlace));
    assert_eq!(sent(&acts).unwrap().fill.max_age, Some(MICROSECOND));
    bed.now += Duration::from_secs(8);
    assert_eq!(bed.ask(43).fill.max_age, None);
}

#[test]
fn memory_of_purges_is_bounded_and_forgets_nothing() {
    let mut bed = Bed::new(settings());
    for object in 0..50_000 {
        bed.event(Event::Purged(Purge { since: Duration::ZERO, object: Some(object + 1), group: 0 }));
    }
    for object in [1, 20_000, 50_000] {
        assert!(bed.ask(object).fill.max_age.is_some());
    }
}

#[test]
fn a_cold_cache_and_a_cold_parent_stay_within_budget_over_every_window() {
    for (id, zone, kind) in [(2, 0, 0), (22, 2, PARENT)] {
        let s = settings();
        let (from, over, multiple, among) = if kind == PARENT {
            (s.parent_warm_up_floor, s.parent_warm_up_period, s.parent_overload_multiple, 2.0)
        } else {
            (s.warm_up_floor, s.warm_up_period, s.overload_multiple, 1.0)
        };
        let mut bed = Bed::new(s);
        for i in 0..200 {
            bed.serve(i); // the class's mean work, 0.1 s, is learnt
        }
        let started = bed.now;
        let entry = EndpointEntry { started, ..line(id, zone, kind) };
        bed.endpoints(ListKind::Delta, vec![entry]);
        let mut times = Vec::new();
        for i in 0..3_000 {
            // Misses all of them: what is asked of the parent stays asked.
            let s = bed.ask(10_000 + i);
            bed.end(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Filled));
            if s.endpoint == id || s.fill.source == Some(EndpointId(id)) {
                times.push(bed.now);
            }
            bed.now += Duration::from_millis(2);
        }
        assert!(times.len() > 5, "a cold host gets its part: {}", times.len());
        for t in &times {
            let n = times.iter().filter(|x| **x >= *t && **x < *t + Duration::from_secs(1)).count() as f64;
            let age = t.duration_since(started).as_micros() as f64 / over.as_micros() as f64;
            let share = from + (1.0 - from) * (age + 1e6 / over.as_micros() as f64).min(1.0);
            assert!(n * 0.1 <= multiple * share * 8.0 / among, "{n} at {age}");
        }
    }
}

#[test]
fn a_dead_cache_goes_out_and_one_trial_leads_it_back_in_cold() {
    let mut bed = Bed::new(settings());
    let homes = bed.homes();
    let mine: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 2).map(|h| *h.0).collect();
    for object in &mine[..2] {
        let s = bed.ask(*object);
        let acts = bed.end(&s, 0, AttemptStatus::ConnectFailed, None);
        assert_ne!(sent(&acts).unwrap().endpoint, 2, "the next in order stands in");
    }
    assert_ne!(bed.serve(mine[3]).endpoint, 2);
    bed.now += Duration::from_secs(1);
    let trial = bed.ask(mine[4]);
    assert_eq!(trial.endpoint, 2);
    assert_ne!(bed.ask(mine[5]).endpoint, 2, "one trial at a time");
    bed.end(&trial, 0, AttemptStatus::Ok, Some(CacheStatus::Filled));
    assert_eq!(bed.ask(mine[6]).endpoint, 2);
    // Seen dead, so held to be cold: a burst is not all sent there.
    let burst = (0..60).filter(|_| sent(&bed.ask_of(mine[6], 0, 0)).is_some_and(|s| s.endpoint == 2));
    assert!(burst.count() < 30);
}

#[test]
fn a_failed_parent_is_told_apart_from_the_caches_in_front_of_it() {
    for note in [Some(CacheStatus::SourceUnreachable), None] {
        let notes = if note.is_some() { CacheStatusReporting::All } else { CacheStatusReporting::Hit };
        let mut bed = Bed::new(Settings { cache_status_reporting: notes, ..settings() });
        let homes = bed.homes();
        for (object, _) in homes.iter().filter(|h| h.1 .1 == 22).take(8) {
            let s = bed.ask(*object);
            if s.fill.source == Some(EndpointId(22)) {
                let acts = bed.end(&s, 0, AttemptStatus::Full, note);
                let again = sent(&acts).unwrap();
                assert_ne!(again.fill.source, Some(EndpointId(22)));
                bed.end(&again, 1, AttemptStatus::Ok, Some(CacheStatus::Filled));
            }
        }
        let after = bed.homes();
        assert!(after.values().all(|h| h.1 != 22), "the parent is out");
        assert!(after.iter().all(|(k, h)| h.0 == homes[k].0), "no cache is");
    }
}

/// Guards against a parent that is held to have started anew, and so to be cold, as fills from it broke off on their way:
/// connections that are reset under fills tell that now and then. One that refuses them tells so at once.
#[test]
fn a_fill_that_broke_off_is_no_parents_end() {
    for (told_after, cold) in [
        (Duration::from_millis(5), true),
        (Duration::from_millis(150), false),
        (Duration::from_millis(350), false),
    ] {
        let settings = Settings {
            cache_status_reporting: CacheStatusReporting::All,
            connect_timeout: Duration::from_millis(400),
            ..settings()
        };
        let mut bed = Bed::new(settings);
        let homes = bed.homes();
        let mine: Vec<u64> = homes.iter().filter(|h| h.1 .1 == 22).map(|h| *h.0).collect();
        for object in mine.iter().take(2) {
            bed.now += Duration::from_millis(20);
            let s = bed.ask(*object);
            let acts =
                bed.end_after(&s, 0, AttemptStatus::Full, Some(CacheStatus::SourceUnreachable), told_after);
            bed.end(&sent(&acts).unwrap(), 1, AttemptStatus::Ok, Some(CacheStatus::Filled));
        }
        // It is back, if it was away: a request that names it is filled.
        bed.now += Duration::from_millis(700);
        let named = mine.iter().any(|object| {
            let s = bed.ask(*object);
            bed.end(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Filled));
            s.fill.source == Some(EndpointId(22))
        });
        assert!(named);
        let demands = bed.c.warm_up_demands(bed.now);
        assert_eq!(demands.iter().any(|d| d.endpoint == EndpointId(22)), cold, "{told_after:?}: {demands:?}");
    }
}

/// Guards against a parent that is held to be cold after one error, with its fills sent where the objects are not,
/// and against clients that take endpoints out by asking for what nobody can use; errors of a request that another
/// parent then serves are still a death.
#[test]
fn errors_are_a_death_only_where_another_parent_serves() {
    // Errors of one request, how many such requests, whether it is served in the end, and whether that is a death.
    for (errors, requests, served, dead) in
        [(1, 1, true, false), (2, 1, true, true), (3, 40, false, false), (1, 40, true, false)]
    {
        let mut bed = Bed::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
        let homes = bed.homes();
        let mine: Vec<u64> = homes.iter().filter(|h| h.1 .1 == 22).map(|h| *h.0).collect();
        for object in mine.iter().cycle().take(requests) {
            bed.now += Duration::from_millis(20);
            let mut s = bed.ask(*object);
            assert_eq!(s.fill.source, Some(EndpointId(22)));
            for n in 0..errors {
                let acts = bed.end(&s, n, AttemptStatus::Error, None);
                let Some(again) = sent(&acts) else {
                    assert!(acts.iter().any(|a| matches!(a, Action::Refuse { .. })), "{acts:?}");
                    break;
                };
                s = again;
            }
            if served {
                bed.end(&s, errors, AttemptStatus::Ok, None);
            }
        }
        let after = mine.iter().cycle().take(200).map(|object| {
            bed.now += Duration::from_millis(2);
            let s = bed.ask(*object);
            bed.end(&s, 0, AttemptStatus::Ok, None);
            s.fill.source.unwrap().0
        });
        let away = after.filter(|s| *s != 22).count();
        assert_eq!(
            away > 100,
            dead,
            "{away} of 200 fills went elsewhere after {requests} times {errors} errors"
        );
    }
}

/// Asks for these objects and refuses each fill by that parent at once, with a hit after each; tells whether the parent
/// is asked itself.
fn refuse(bed: &mut Bed, objects: &[u64], parent: u64) -> bool {
    let mut asked = false;
    for object in objects {
        bed.now += Duration::from_millis(10);
        let s = bed.ask(*object);
        let named = s.fill.source == Some(EndpointId(parent));
        let acts = bed.end(&s, 0, if named { AttemptStatus::Full } else { AttemptStatus::Ok }, None);
        asked |= acts.contains(&Action::Probe { endpoint: EndpointId(parent) });
        if let Some(again) = sent(&acts) {
            bed.end(&again, 1, AttemptStatus::Ok, None);
        }
        bed.serve(*object);
    }
    asked
}

/// Guards against naming a dead parent for as long as it is dead: its fills are refused at once, and each hit that
/// names it looked like a sign of its life. A probe settles it, and a probe alone leads it back, cold.
#[test]
fn a_parent_that_refuses_is_asked_itself_and_comes_back_by_its_own_word() {
    let probes = |probes| Settings {
        probes,
        cache_status_reporting: CacheStatusReporting::None,
        connect_timeout: Duration::from_millis(400),
        ..settings()
    };
    let mut bed = Bed::new(probes(true));
    let homes = bed.homes();
    let mine: Vec<u64> = homes.iter().filter(|h| h.1 .1 == 22).map(|h| *h.0).collect();
    let parent = EndpointId(22);
    let names = |bed: &mut Bed| {
        let all = mine.iter().filter(|object| {
            bed.now += Duration::from_millis(2);
            let s = bed.ask(**object);
            bed.end(&s, 0, AttemptStatus::Ok, None);
            s.fill.source == Some(parent)
        });
        all.count()
    };
    // A refusal now and then among hits asks for nothing.
    for object in &mine {
        assert!(!refuse(&mut bed, &[*object], 22));
        mine.iter().cycle().take(60).for_each(|o| {
            bed.serve(*o);
        });
    }
    // Many do. It answers: nothing is held against it, and it is not asked again at once.
    assert!(refuse(&mut bed, &mine[..6], 22));
    bed.event(Event::Probed { endpoint: parent, status: AttemptStatus::Error });
    assert!(names(&mut bed) > mine.len() * 9 / 10);
    assert!(!refuse(&mut bed, &mine[..6], 22));
    // It does not: no hit leads it back, and it is asked again when that is due.
    bed.now += Duration::from_secs(10);
    assert!(refuse(&mut bed, &mine[..6], 22));
    bed.event(Event::Probed { endpoint: parent, status: AttemptStatus::Timeout });
    assert_eq!(names(&mut bed), 0);
    bed.now += Duration::from_millis(600);
    let acts = bed.ask_of(1, 0, 0);
    assert!(acts.contains(&Action::Probe { endpoint: parent }), "{acts:?}");
    assert_eq!(names(&mut bed), 0);
    bed.event(Event::Probed { endpoint: parent, status: AttemptStatus::Ok });
    let back = names(&mut bed);
    assert!(0 < back && back * 5 < mine.len(), "named {back} times: it is cold, and its budget is small");
    // Without probes nobody is asked.
    assert!(!refuse(&mut Bed::new(probes(false)), &mine, 22));
}

/// Guards against a whole cold budget for a box that took over an address, on top of what was sent there before its
/// start was told.
#[test]
fn what_was_sent_to_an_address_counts_against_whoever_took_it() {
    let sent_after = |in_place_of| {
        let mut bed = Bed::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
        let homes = bed.homes();
        let mine: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 1).map(|h| *h.0).collect();
        bed.now += Duration::from_secs(5);
        let started = bed.now;
        mine.iter().cycle().take(40).for_each(|o| {
            bed.now += Duration::from_millis(10);
            bed.serve(*o);
        });
        let gone = EndpointEntry { state: EndpointState::Gone, ..line(1, 0, 0) };
        let new = EndpointEntry { started, in_place_of, ..line(5, 0, 0) };
        bed.endpoints(ListKind::Delta, vec![gone, new]);
        (1_000..1_200).filter(|o| bed.serve(*o).endpoint == 5).count()
    };
    assert!(sent_after(None) > 0);
    assert_eq!(sent_after(Some(EndpointId(1))), 0);
}

/// Guards against evidence against a cache, and against leaving it for one that holds nothing, where only a
/// connection broke: it has answered others since.
#[test]
fn a_break_at_a_cache_that_has_answered_since_is_tried_there_again() {
    let mut bed = Bed::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
    let homes = bed.homes();
    let mine: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 1).map(|h| *h.0).collect();
    for pair in mine.chunks_exact(2).cycle().take(20) {
        bed.now += Duration::from_millis(20);
        let (broken, other) = (bed.ask(pair[0]), bed.ask(pair[1]));
        bed.now += Duration::from_millis(20);
        bed.end(&other, 0, AttemptStatus::Ok, None);
        let acts = bed.end(&broken, 0, AttemptStatus::Reset, None);
        assert_eq!(sent(&acts).map(|s| s.endpoint), Some(1));
    }
}

/// Guards against a cache that answers most requests with an error and a few as it should: each success cleared
/// it, so that it kept its place for as long as it failed. It comes back once several trials succeed.
#[test]
fn a_cache_that_fails_most_requests_is_out_until_trials_succeed() {
    let mut bed = Bed::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
    let homes = bed.homes();
    let mine: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 1).map(|h| *h.0).collect();
    let mut asked = Vec::new();
    for (n, object) in mine.iter().cycle().take(1_000).enumerate() {
        bed.now += Duration::from_millis(10);
        let mut s = bed.ask(*object);
        asked.push(s.endpoint == 1);
        if s.endpoint == 1 && n < 500 && n % 5 != 0 {
            let acts = bed.end(&s, 0, AttemptStatus::Error, None);
            let again = sent(&acts).unwrap();
            assert_ne!(again.endpoint, 1, "another cache is asked");
            assert_eq!(again.fill.source, s.fill.source, "by way of the same parent");
            s = again;
            bed.end(&s, 1, AttemptStatus::Ok, None);
        } else {
            bed.end(&s, 0, AttemptStatus::Ok, None);
        }
    }
    let times = |part: &[bool]| part.iter().filter(|a| **a).count();
    assert!(times(&asked[..500]) < 60, "asked {} times while it fails", times(&asked[..500]));
    assert!(times(&asked[800..]) == 200, "asked {} times of 200 when it is well again", times(&asked[800..]));
    let parents: Vec<u64> = bed.homes().values().map(|h| h.1).collect();
    assert!(parents.contains(&22) && parents.contains(&21), "no parent is held to be dead");
}

/// Guards against refusing a location whose caches have all started anew: what they may not get yet parents serve
/// straight, as far as that is allowed, and the caches go on being warmed.
#[test]
fn what_cold_caches_may_not_get_is_asked_of_parents_straight() {
    let served = |bypass_edge_cache| {
        let mut bed = Bed::new(Settings { bypass_edge_cache, ..settings() });
        for object in 0..40 {
            bed.serve(object);
        }
        let cold = |i| EndpointEntry { started: START, ..line(i, 0, 0) };
        bed.endpoints(ListKind::Delta, (1..=4).map(cold).collect());
        let mut endpoints = BTreeMap::new();
        for object in 1_000..1_200 {
            bed.now += Duration::from_millis(5);
            if let Some(s) = sent(&bed.ask_of(object, 0, 0)) {
                let at = if s.endpoint < 10 { "cache" } else { "parent" };
                assert!(s.endpoint < 10 || s.fill.source == Some(EndpointId(31)), "{s:?}");
                *endpoints.entry(at).or_insert(0) += 1;
                bed.end(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
            }
        }
        (endpoints.get("cache").copied().unwrap_or(0), endpoints.get("parent").copied().unwrap_or(0))
    };
    let ((caches, parents), (alone, none)) = (served(true), served(false));
    assert!(caches + parents > 180 && caches >= alone, "{caches} at caches, {parents} at parents, of 200");
    assert!(alone < 150 && none == 0, "{alone} served without parents, {none} at them");
}

#[test]
fn with_all_parents_gone_a_sibling_elsewhere_fills() {
    let mut bed = Bed::new(Settings { sibling_caches: SiblingCaches::Any, ..settings() });
    let gone = |id| EndpointEntry { state: EndpointState::Gone, ..line(id, 2, PARENT) };
    bed.endpoints(ListKind::Delta, vec![gone(21), gone(22), gone(23)]);
    let s = bed.ask(42);
    assert!([11, 12].contains(&s.fill.source.unwrap().0));
    let acts = bed.end(&s, 0, AttemptStatus::Full, Some(CacheStatus::SourceLacks));
    assert!(sent(&acts).unwrap().fill.source.is_some());
    let mut bed = Bed::new(settings());
    bed.endpoints(ListKind::Delta, vec![gone(21), gone(22), gone(23)]);
    assert_eq!(bed.ask(42).fill.source, Some(EndpointId(31)), "else the origin does");
}

#[test]
fn effects_are_not_repeated() {
    let with = |idempotency, scope| {
        let mut s = settings();
        s.classes = vec![RequestClass { idempotency, scope, write: true, ..class() }];
        Bed::new(s)
    };
    // Unsafe: no second attempt and no refusal once it may have run; both before.
    let mut bed = with(Idempotency::NotIdempotent, DeduplicationScope::All);
    let s = bed.ask(42);
    let acts = bed.end(&s, 0, AttemptStatus::Reset, None);
    assert!(sent(&acts).is_none());
    assert!(acts.contains(&Action::Fail { request: s.id }));
    let s = bed.ask(43);
    assert!(sent(&bed.end(&s, 0, AttemptStatus::ConnectFailed, None)).is_some());
    // Keyed, in its own cell only, and only within the window.
    let mut bed = with(Idempotency::WithKey, DeduplicationScope::Cell);
    let mut cells = fleet();
    cells[..4].iter_mut().zip(1..).for_each(|(e, cell)| e.cell = cell);
    bed.endpoints(ListKind::Full, cells);
    let s = bed.ask(42);
    let again = bed.end(&s, 0, AttemptStatus::Error, None);
    assert!(sent(&again).is_none_or(|a| a.endpoint == s.endpoint));
    let mut bed = with(Idempotency::WithKey, DeduplicationScope::All);
    let s = bed.ask(42);
    bed.now += Duration::from_secs(2);
    assert!(sent(&bed.end(&s, 0, AttemptStatus::Error, None)).is_some());
    let s = bed.ask(43);
    bed.now += Duration::from_secs(3);
    let late = bed.end(&s, 0, AttemptStatus::Error, None);
    assert!(sent(&late).is_none() && finals(&late) == 1);
    // Writes go to the origin and are never kept.
    let s = bed.ask(44);
    assert_eq!((s.fill.source, s.fill.retention), (Some(EndpointId(31)), 0));
}

#[test]
fn what_is_given_up_is_answered_at_once() {
    let mut bed = Bed::new(Settings { max_attempts: 1, ..settings() });
    let s = bed.ask(42);
    let acts = bed.end(&s, 0, AttemptStatus::Full, Some(CacheStatus::NoFillPlace));
    let told = Duration::from_millis(200)..=Duration::from_millis(400);
    let advised = |a: &Action| matches!(a, Action::Refuse { retry_after, .. } if told.contains(retry_after));
    assert!(acts.iter().any(advised), "{acts:?}");
    // Nothing to send to at all.
    let mut bed = Bed::new(settings());
    bed.endpoints(ListKind::Full, vec![]);
    assert_eq!(finals(&bed.ask_of(42, 0, 0)), 1);
    assert_eq!(finals(&bed.ask_of(42, 0, 9)), 1, "nor a class that there is not");
}

#[test]
fn overload_is_refused_early_and_spilled_before() {
    let mut bed = Bed::new(settings());
    let home = bed.ask(42).endpoint;
    let (mut stood_in, mut refused) = (0, 0);
    for _ in 0..900 {
        let acts = bed.ask_of(42, 0, 0);
        match sent(&acts) {
            Some(s) => stood_in += usize::from(s.endpoint != home),
            None => refused += finals(&acts),
        }
    }
    assert!(stood_in > 0 && refused > 0, "{stood_in} {refused}");
}

#[test]
fn an_overdue_attempt_at_a_silent_cache_is_moved() {
    for hedging_allowed in [false, true] {
        let mut bed = Bed::new(Settings { hedging_allowed, ..settings() });
        // Its caches are heard of often: their silence says something.
        bed.homes();
        bed.homes();
        let acts = bed.ask_of(42, 0, 0);
        let s = sent(&acts).unwrap();
        let look = acts.iter().find_map(|a| match a {
            Action::Timer { after, token } if token & 0xffff == 0 => Some((*after, *token)),
            _ => None,
        });
        let (after, token) = look.unwrap();
        bed.now += after;
        let acts = bed.event(Event::Timer { token });
        if hedging_allowed {
            assert_ne!(sent(&acts).unwrap().endpoint, s.endpoint);
        } else {
            assert!(sent(&acts).is_none(), "never two at once");
            assert!(acts.contains(&Action::cancel(s.id, 0)));
            let acts = bed.end(&s, 0, AttemptStatus::Cancelled, None);
            assert_ne!(sent(&acts).unwrap().endpoint, s.endpoint);
        }
    }
}

#[test]
fn what_is_unknown_or_late_is_passed_over() {
    let mut bed = Bed::new(settings());
    let s = bed.serve(42);
    assert!(bed.end(&s, 0, AttemptStatus::Ok, None).is_empty());
    assert!(bed.end(&s, 7, AttemptStatus::Reset, None).is_empty());
    let nobody = Sent { id: 9_999, ..s.clone() };
    assert!(bed.end(&nobody, 0, AttemptStatus::Ok, None).is_empty());
    assert!(bed.event(Event::Withdrawn { request: 9_999 }).is_empty());
    assert!(bed.event(Event::Timer { token: 77 << 16 }).is_empty());
    assert!(bed.event(Event::Timer { token: u64::from(s.id) << 16 | 0xffff }).is_empty());
}

#[test]
fn impossible_settings_are_named() {
    let bad = |s: Settings| DecisionModule::new(s, 1).unwrap_err().to_string();
    assert!(bad(Settings { router_count: 0, ..settings() }).contains("dispatchers"));
    assert!(bad(Settings { max_attempts: 0, ..settings() }).contains("max_attempts"));
    assert!(bad(Settings { warm_up_floor: 1.5, ..settings() }).contains("cold_from"));
    assert!(bad(Settings { flow_kb_per_s: f64::NAN, ..settings() }).contains("flow_kb_per_s"));
    let classes = vec![RequestClass { priority_weight: -1.0, ..class() }];
    assert!(bad(Settings { classes, ..settings() }).contains("classes[0].worth"));
}

#[test]
fn discovery_by_asking_subscribes_and_asks_again_after_a_failure() {
    let mut c = DecisionModule::new(Settings { discovery: Discovery::Ask, ..settings() }, 1).unwrap();
    let mut acts = Vec::new();
    let endpoints = Event::EndpointList { kind: ListKind::Cached, entries: fleet() };
    c.handle(START, endpoints, &mut acts);
    assert_eq!(acts, [Action::Subscribe]);
    acts.clear();
    c.handle(START, Event::EndpointListFailed, &mut acts);
    let [Action::Timer { token, .. }] = acts[..] else { panic!("{acts:?}") };
    acts.clear();
    c.handle(START + Duration::from_secs(1), Event::Timer { token }, &mut acts);
    assert_eq!(acts, [Action::Subscribe]);
}

const STATUSES: [AttemptStatus; 8] = [
    AttemptStatus::Ok,
    AttemptStatus::Miss,
    AttemptStatus::Error,
    AttemptStatus::Full,
    AttemptStatus::Timeout,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Reset,
    AttemptStatus::Cancelled,
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Random lawful events: one final answer each, nothing sent after it or to an endpoint that drains, no two
    /// attempts at once where that is forbidden, no repeated effect, and the same again from the same seed.
    #[test]
    fn random_days_keep_the_rules(
        steps in prop::collection::vec((0u8..6, any::<u64>()), 50..400),
        hedging_allowed: bool,
        idempotency in prop::sample::select(vec![Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NotIdempotent]),
        bypass_edge_cache: bool,
        notes in prop::sample::select(vec![CacheStatusReporting::None, CacheStatusReporting::Hit, CacheStatusReporting::All]),
    ) {
        let classes = vec![RequestClass { idempotency, scope: DeduplicationScope::Zone, ..class() }];
        let s = Settings { hedging_allowed, bypass_edge_cache, cache_status_reporting: notes, classes, ..settings() };
        let mut beds = [Bed::new(s.clone()), Bed::new(s)];
        let mut shut: BTreeSet<u64> = BTreeSet::new();
        // Per request: attempts out, how many were sent, whether one may have run, whether it has ended.
        let mut open: BTreeMap<RequestId, (BTreeMap<u16, u64>, u16, bool, bool)> = BTreeMap::new();
        let mut timers: Vec<(Timestamp, u64)> = Vec::new();
        let mut deadlines: BTreeMap<RequestId, Timestamp> = BTreeMap::new();
        let last = (9u8, 0u64);
        for (kind, x) in steps.into_iter().chain([last]) {
            let now = beds[0].now + Duration::from_micros(x % 80_000);
            let mut events = Vec::new();
            timers.sort();
            let until = if kind == 9 { now + Duration::from_secs(60) } else { now };
            // Timers that fall due come first, at their time.
            let due: Vec<_> = timers.iter().copied().filter(|t| t.0 <= until).collect();
            timers.retain(|t| t.0 > until);
            events.extend(due.into_iter().map(|(at, token)| (at, Event::Timer { token })));
            let busy = open.iter().find_map(|(id, o)| {
                o.0.iter().nth(x as usize % 3).map(|(n, h)| (*id, *n, *h, o.3))
            });
            match (kind, busy) {
                (0 | 1, _) => {
                    let id = beds[0].next + 1;
                    beds.iter_mut().for_each(|b| b.next = id);
                    let deadline = now + Duration::from_millis(500) + Duration::from_micros(x % 3_000_000);
                    open.insert(id, Default::default());
                    deadlines.insert(id, deadline);
                    events.push((now, Event::Request(Request {
                        id, class: 0, object: x % 20, part: 0, group: 3, size_kb: None, deadline,
                        repeat: false, write: false,
                    })));
                }
                (2 | 3, Some((request, attempt, endpoint, done))) => {
                    let status = STATUSES[(x >> 8) as usize % STATUSES.len()];
                    let ended = done || status == AttemptStatus::Ok;
                    events.push((now, Event::AttemptOutcome(AttemptOutcome {
                        request, attempt, endpoint: EndpointId(endpoint), latency: Duration::from_micros(x % 1_000_000),
                        status, ended, note: None, work: None,
                    })));
                }
                (4, _) => {
                    let mut e = fleet().swap_remove(x as usize % 10);
                    e.state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone][(x >> 8) as usize % 3];
                    e.started = if x % 2 == 0 { now } else { Timestamp::ZERO };
                    events.push((now, Event::EndpointList { kind: ListKind::Delta, entries: vec![e] }));
                }
                (5, _) => {
                    let object = (x % 3 > 0).then_some(x % 20 + 1);
                    let since = Duration::from_micros(x % 1_000_000);
                    events.push((now, Event::Purged(Purge { since, object, group: 3 })));
                }
                _ => {}
            }
            for (at, event) in events {
                for b in beds.iter_mut() {
                    b.now = at.max(b.now);
                }
                if let Event::EndpointList { entries, .. } = &event {
                    let e = &entries[0];
                    shut.remove(&e.id.0);
                    if e.state != EndpointState::Ready {
                        shut.insert(e.id.0);
                    }
                }
                if let Event::AttemptOutcome(o) = &event {
                    let r = open.get_mut(&o.request).unwrap();
                    r.0.remove(&o.attempt);
                    let proven = [AttemptStatus::Miss, AttemptStatus::Full, AttemptStatus::ConnectFailed];
                    r.2 |= !proven.contains(&o.status);
                    r.3 |= o.ended;
                }
                let acts = beds[0].event(event.clone());
                prop_assert_eq!(&acts, &beds[1].event(event));
                for a in acts {
                    match a {
                        Action::Attempt { request, endpoint, fill, .. } => {
                            let r = open.get_mut(&request).unwrap();
                            prop_assert!(!r.3, "sent after the end");
                            prop_assert!(!shut.contains(&endpoint.0) && fill.source.is_none_or(|s| !shut.contains(&s.0)));
                            prop_assert!(hedging_allowed || r.0.is_empty(), "two at once");
                            prop_assert!(idempotency != Idempotency::NotIdempotent || (!r.2 && r.0.is_empty()));
                            prop_assert!(r.1 < 4, "the attempt limit");
                            prop_assert!(bypass_edge_cache || endpoint.0 <= 4, "own caches only");
                            r.0.insert(r.1, endpoint.0);
                            r.1 += 1;
                        }
                        Action::Refuse { request, .. } => {
                            let r = open.get_mut(&request).unwrap();
                            prop_assert!(!std::mem::replace(&mut r.3, true), "answered twice");
                            prop_assert!(idempotency == Idempotency::Idempotent || (!r.2 && r.0.is_empty()));
                        }
                        Action::Fail { request } => {
                            let r = open.get_mut(&request).unwrap();
                            prop_assert!(!std::mem::replace(&mut r.3, true), "answered twice");
                        }
                        Action::Cancel { request, attempt } => {
                            prop_assert!(attempt < open[&request].1);
                        }
                        Action::Timer { after, token } => timers.push((beds[0].now + after, token)),
                        _ => {}
                    }
                }
                for (id, r) in &open {
                    prop_assert!(r.3 || beds[0].now <= deadlines[id] + Duration::from_millis(100), "left without an answer");
                }
            }
        }
        prop_assert!(open.values().all(|o| o.3), "some request was never answered");
    }
}

/// A line that breaks a quarter of all attempts takes no endpoint out, unlike one that breaks all of them.
#[test]
fn broken_connections_now_and_then_take_no_host_out() {
    let mut bed = Bed::new(settings());
    let homes = bed.homes();
    for (i, object) in homes.keys().chain(homes.keys()).enumerate() {
        let s = bed.ask(*object);
        if i % 4 == 0 {
            let again = sent(&bed.end(&s, 0, AttemptStatus::Reset, None)).unwrap();
            bed.end(&again, 1, AttemptStatus::Ok, Some(CacheStatus::Hit));
        } else {
            bed.end(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
        }
        bed.now += Duration::from_millis(20);
    }
    assert_eq!(bed.homes(), homes);
    let mine: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 2).map(|h| *h.0).collect();
    for object in &mine[..6] {
        let s = bed.ask(*object);
        bed.end(&s, 0, AttemptStatus::Reset, None);
    }
    assert_ne!(bed.ask(mine[7]).endpoint, 2);
}

/// A location whose caches all fall silent is not taken for a jam: requests go past them where they may.
#[test]
fn a_location_that_falls_silent_is_passed_by() {
    let mut bed = Bed::new(Settings { bypass_edge_cache: true, ..settings() });
    bed.homes();
    bed.now += Duration::from_secs(3);
    let mut timers = Vec::new();
    let mut past = 0;
    for i in 0..200 {
        let mut acts = bed.ask_of(2_000 + i, 0, 0);
        timers.sort();
        while timers.first().is_some_and(|t: &(Timestamp, u64)| t.0 <= bed.now) {
            acts.extend(bed.event(Event::Timer { token: timers.remove(0).1 }));
        }
        for a in acts {
            match a {
                Action::Timer { after, token } => timers.push((bed.now + after, token)),
                // Calling an attempt off is the only thing that ends one here.
                Action::Cancel { request, attempt } => {
                    let e = AttemptOutcome {
                        request,
                        attempt,
                        endpoint: EndpointId(0),
                        latency: Duration::ZERO,
                        status: AttemptStatus::Cancelled,
                        ended: false,
                        note: None,
                        work: None,
                    };
                    let acts = bed.event(Event::AttemptOutcome(e));
                    past += usize::from(sent(&acts).is_some_and(|s| s.endpoint > 20));
                }
                Action::Attempt { endpoint, .. } => past += usize::from(endpoint.0 > 20),
                _ => {}
            }
        }
        bed.now += Duration::from_millis(20);
    }
    assert!(past > 20, "{past} went past the silent caches");
}

/// A failed origin is not asked again through other parents; a stale copy is asked for once.
#[test]
fn a_failed_origin_is_not_asked_through_every_parent() {
    let mut bed = Bed::new(settings());
    let s = bed.ask(42);
    let acts = bed.end(&s, 0, AttemptStatus::Full, Some(CacheStatus::OriginFailed));
    assert!(sent(&acts).is_none() && finals(&acts) == 1);
    let classes =
        vec![RequestClass { fresh: Duration::from_secs(8), grace: Duration::from_secs(10), ..class() }];
    let mut bed = Bed::new(Settings { classes, ..settings() });
    let s = bed.ask(42);
    assert!(s.fill.stale_while_revalidate && s.fill.max_age.is_none());
    let again = sent(&bed.end(&s, 0, AttemptStatus::Full, Some(CacheStatus::OriginFailed))).unwrap();
    assert_eq!(again.fill.max_age, Some(Duration::from_secs(18)));
    let acts = bed.end(&again, 1, AttemptStatus::Full, Some(CacheStatus::OriginFailed));
    assert!(sent(&acts).is_none() && finals(&acts) == 1);
}

/// Names carry no meaning: other numbers for zones and kinds give the same actions, and instances that take
/// turns act as each would alone.
#[test]
fn other_zone_and_kind_numbers_and_interleaving_change_no_action() {
    let moved = |entries: Vec<EndpointEntry>| -> Vec<EndpointEntry> {
        let other = |e: EndpointEntry| EndpointEntry { zone: 2 - e.zone, kind: e.kind + 5, ..e };
        entries.into_iter().map(other).collect()
    };
    let renamed = Settings {
        zone: 2,
        router_count_by_zone: vec![0, 1, 1],
        parent_kind: Some(PARENT + 5),
        origin_kind: Some(ORIGIN + 5),
        ..settings()
    };
    let mut here = Bed::new(settings());
    let mut there = Bed::new(settings());
    there.c = DecisionModule::new(renamed, 5).unwrap();
    there.endpoints(ListKind::Full, moved(fleet()));
    let alone: Vec<_> = {
        let mut bed = Bed::new(settings());
        (0..300).map(|i| bed.ask_of(i % 7, 0, 0)).collect()
    };
    for (i, want) in (0..300).zip(alone) {
        let a = here.ask_of(i % 7, 0, 0);
        assert_eq!(a, there.ask_of(i % 7, 0, 0));
        assert_eq!(a, want);
    }
}
