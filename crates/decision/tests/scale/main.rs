//! Many routers to an endpoint, each of which sees a few requests a second, under fixed seeds.

mod harness;

use harness::{
    entry, play, sent, settings, timers, times_used_while_warming_up, Harness, PseudoRandom, Sent, CACHES,
    PARENT, START,
};
use hollymux_decision::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// All routers together stay under the load at which an endpoint that warms up fails, over every
/// window, and yet it is used: a cache shared by fourteen and a parent shared by three hundred,
/// whose even shares are below one request.
#[test]
fn hundreds_of_routers_share_a_warm_up_budget_within_its_bound_and_use_it() {
    for (id, zone, kind, weight, router_count) in [(2, 0, 0, 4.0, 14), (22, 2, PARENT, 40.0, 300)] {
        for seed in [1, 2, 3] {
            let s = settings(14, 300);
            let parent = kind == PARENT;
            let (from, over) = if parent { (0.07, 20.0) } else { (0.22, 18.0) };
            let multiple = if parent { s.parent_overload_multiple } else { s.overload_multiple };
            let mut random = PseudoRandom(seed);
            let mut harnesses: Vec<Harness> =
                (0..router_count).map(|i| Harness::new(s.clone(), seed * 1_000 + i)).collect();
            for harness in &mut harnesses {
                for i in 0..60 {
                    harness.serve(i, CacheStatus::Hit);
                }
            }
            let start = EndpointEntry { started: START, ..entry(id, zone, kind, weight) };
            let asked =
                times_used_while_warming_up(&mut harnesses, id, start, Duration::from_secs(12), &mut random);
            let able = |t: Timestamp| {
                weight * (from + (1.0 - from) * t.duration_since(START).as_micros() as f64 / 1e6 / over)
            };
            let mut worst: f64 = 0.0;
            for (i, t) in asked.iter().enumerate() {
                let work =
                    asked[..=i].iter().filter(|x| **x + Duration::from_secs(1) > *t).count() as f64 * 0.2;
                worst = worst.max(work / able(*t));
            }
            assert!(worst < multiple, "{worst} times what host {id} could do, seed {seed}");
            let could: f64 = (0..12).map(|i| able(START + Duration::from_secs(i))).sum();
            let did = asked.len() as f64 * 0.2;
            assert!(did > 0.15 * could, "host {id} did {did} of {could}, seed {seed}");
        }
    }
}

/// One own request in flight is one, not a dozen; and what all routers are likely to have in flight
/// is still shed.
#[test]
fn spare_capacity_counts_own_load_once_and_overload_is_still_shed() {
    let mut harness = Harness::new(settings(14, 300), 5);
    let mut refused = 0;
    for i in 0..200 {
        refused += usize::from(harness.serve(i, CacheStatus::Hit).is_none());
        harness.now += Duration::from_millis(150);
    }
    assert_eq!(refused, 0, "an idle location refuses nothing");
    // Each of fourteen is assumed to have as many in flight as this one: three at seven caches fill
    // them.
    let (mut held, mut refused) = (Vec::new(), 0);
    for i in 0..60 {
        match sent(&harness.request(1_000 + i), 0) {
            Some(s) => held.push(s),
            None => refused += 1,
        }
        harness.now += Duration::from_millis(300);
    }
    assert!(refused > 20 && held.len() < 40, "{refused} refused, {} in hand", held.len());
}

/// A cache that gets one request a second is not ejected because it has not responded for a second,
/// nor used for long when it does not respond at all.
#[test]
fn health_follows_the_responses_to_be_expected() {
    let slow = |n: usize| {
        Some(if n.is_multiple_of(12) { Duration::from_millis(900) } else { Duration::from_millis(250) })
    };
    let mut harness = Harness::new(settings(14, 300), 5);
    let live = play(&mut harness, Duration::from_secs(40), |n, _| slow(n));
    let used = live.sent.iter().filter(|s| s.1.endpoint == 3).count();
    assert!(live.cancelled * 20 < live.asked && used > 20, "{} moved, {used} at cache 3", live.cancelled);
    let mut harness = Harness::new(settings(14, 300), 5);
    play(&mut harness, Duration::from_secs(10), |n, _| slow(n));
    let fell = harness.now;
    let silent = play(&mut harness, Duration::from_secs(20), |n, s| slow(n).filter(|_| s.endpoint != 3));
    let late =
        silent.sent.iter().filter(|s| s.1.endpoint == 3 && s.0 > fell + Duration::from_secs(8)).count();
    let early =
        silent.sent.iter().filter(|s| s.1.endpoint == 3 && s.0 <= fell + Duration::from_secs(8)).count();
    assert!(
        silent.cancelled > 0 && early <= 8 && late <= 6,
        "{early} sent to a silent cache at first, {late} later"
    );
}

/// At five requests a second an object that takes a good part of them is replicated; noise is not.
#[test]
fn levels_rise_with_a_true_share_of_few_requests_and_not_with_noise() {
    let mut harness = Harness::new(settings(14, 300), 5);
    let mut random = PseudoRandom(9);
    let (mut endpoints, mut noise) = (BTreeSet::new(), BTreeMap::<u64, BTreeSet<u64>>::new());
    for i in 0..400 {
        let object = if i % 5 < 2 { 42 } else { 100 + random.next_below(40) };
        let s = harness.serve(object, CacheStatus::Hit).unwrap();
        if object == 42 {
            endpoints.insert(s.endpoint);
        } else {
            noise.entry(object).or_default().insert(s.endpoint);
        }
        harness.now += Duration::from_millis(200);
    }
    assert!(endpoints.len() >= 3, "the hot object is served by {endpoints:?}");
    assert!(noise.values().all(|h| h.len() == 1), "{noise:?}");
}

/// Responses of healthy caches get lost: once that shows, an overdue attempt is sent to the same
/// cache again, by a hedged attempt or after cancelling; nothing is ejected, and there is no retry
/// storm.
#[test]
fn requests_whose_response_is_lost_are_retried_at_the_same_cache() {
    for hedging_allowed in [false, true] {
        let mut harness = Harness::new(Settings { hedging_allowed, ..settings(14, 300) }, 5);
        let seen = play(&mut harness, Duration::from_secs(60), |n, _| {
            Some(Duration::from_millis(250)).filter(|_| n % 4 != 0)
        });
        let mut homes: BTreeMap<RequestId, u64> = BTreeMap::new();
        let (mut again, mut elsewhere) = (0, 0);
        for (_, s) in &seen.sent {
            let home = *homes.entry(s.id).or_insert(s.endpoint);
            again += usize::from(s.attempt > 0 && s.endpoint == home);
            elsewhere += usize::from(s.attempt > 0 && s.endpoint != home);
        }
        let (asked, attempts) = (seen.asked, seen.sent.len());
        assert!(again > asked / 8, "{again} of {asked} asked for again");
        assert!(elsewhere < again / 2, "{elsewhere} moved elsewhere against {again}");
        assert!(attempts < asked * 8 / 5, "{attempts} attempts for {asked}");
    }
}

/// Guards against congestion that feeds itself: where hits are not reported, fills that take long
/// must not be cancelled and restarted at the same cache, over and over.
#[test]
fn slow_fills_are_not_restarted_where_hits_are_not_reported() {
    let mut harness =
        Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(14, 300) }, 5);
    let seen = play(&mut harness, Duration::from_secs(60), |n, _| {
        Some(if n % 6 == 0 { Duration::from_millis(2_500) } else { Duration::from_millis(250) })
    });
    let mut homes: BTreeMap<RequestId, u64> = BTreeMap::new();
    let same = |s: &&(Timestamp, Sent)| {
        *homes.entry(s.1.id).or_insert(s.1.endpoint) == s.1.endpoint && s.1.attempt > 0
    };
    let again = seen.sent.iter().filter(same).count();
    assert!(again < seen.asked / 50, "{again} of {} fills begun anew", seen.asked);
}

/// Guards against a parent whose fills never come while hits at the caches that name it are taken
/// for its responses. Where all parents' fills stay overdue, what is behind them is at fault, and
/// none is ejected.
#[test]
fn a_parent_whose_fills_stay_overdue_is_ejected_though_hits_name_it() {
    let share = |all: bool| {
        let mut harness = Harness::new(
            Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(14, 300) },
            5,
        );
        let before = play(&mut harness, Duration::from_secs(30), |_, _| Some(Duration::from_millis(250)));
        let mut uses: BTreeMap<u64, usize> = BTreeMap::new();
        before.sent.iter().filter_map(|s| s.1.source).for_each(|p| *uses.entry(p).or_default() += 1);
        let (parent, _) = uses.into_iter().max_by_key(|u| u.1).unwrap();
        let sick = |s: &Sent| all || s.source == Some(parent);
        let fell = harness.now;
        let seen = play(&mut harness, Duration::from_secs(120), |n, s| {
            Some(Duration::from_millis(250)).filter(|_| n % 2 == 0 || !sick(s) || all && n % 8 != 1)
        });
        let filled = seen.sent.iter().filter(|s| s.1.source.is_some());
        let late: Vec<_> = filled.filter(|s| s.0 > fell + Duration::from_secs(60)).collect();
        (late.iter().filter(|s| s.1.source == Some(parent)).count() * 100, late.len())
    };
    let (one, of) = share(false);
    assert!(one < 11 * of, "named in {one} of {of} hundredths while its fills stay away");
    let (all, of) = share(true);
    assert!(all > 11 * of, "named in {all} of {of} hundredths while all fills stay away");
}

/// Two lost parents of a zone, and all of that zone warm up when they respond again; those of the
/// other zone do not. Guards as well against six tenths of all parents standing idle for as long as
/// a restart takes after a network cut of 6 s: parents that were only silent come back as they
/// were.
#[test]
fn parents_of_a_zone_that_restarts_warm_up_as_a_whole_and_those_cut_off_do_not() {
    for (told_after, cold) in [(Duration::from_millis(5), true), (Duration::from_millis(400), false)] {
        let mut harness = Harness::new(settings(14, 300), 5);
        for i in 0..200 {
            harness.serve(i, CacheStatus::Hit);
        }
        // Refused fills, two of each parent: the second ejects it.
        let mut failed: BTreeMap<u64, usize> = BTreeMap::new();
        for i in 1_000..3_000 {
            harness.now += Duration::from_millis(20);
            let s = sent(&harness.request(i), 0).unwrap();
            match s.source {
                Some(p @ 21..=22) if failed.get(&p).is_none_or(|n| *n < 2) => {
                    *failed.entry(p).or_default() += 1;
                    harness.end_attempt(
                        &s,
                        AttemptStatus::Full,
                        Some(CacheStatus::SourceUnreachable),
                        told_after,
                    );
                }
                _ => drop(harness.end_attempt(
                    &s,
                    AttemptStatus::Ok,
                    Some(CacheStatus::Hit),
                    Duration::from_millis(250),
                )),
            }
            if failed.values().sum::<usize>() == 4 || cold && failed.len() == 2 {
                break;
            }
        }
        assert_eq!(failed.len(), 2);
        let mut used: BTreeMap<u64, usize> = BTreeMap::new();
        // Fills of a twentieth of a second: three hundred as busy as this one leave the other
        // zone's parents capacity.
        for i in 5_000..5_060 {
            harness.now += Duration::from_millis(200);
            let Some(s) = sent(&harness.request(i), 0) else { continue };
            harness.end_attempt(&s, AttemptStatus::Ok, Some(CacheStatus::Filled), Duration::from_millis(50));
            s.source.into_iter().for_each(|p| *used.entry(p).or_default() += 1);
        }
        let zone_uses = |r: std::ops::RangeInclusive<u64>| r.filter_map(|p| used.get(&p)).sum::<usize>();
        assert_eq!(zone_uses(21..=24) < 8 && zone_uses(25..=28) > 50, cold, "{used:?}");
        assert!(cold || zone_uses(21..=24) > 12 && zone_uses(21..=22) > 4, "back from its silence: {used:?}");
    }
}

/// A parent at capacity: the fill is not retried at parents that would have to fetch it; where home
/// caches of other zones may supply it, they do.
#[test]
fn a_refused_fill_is_not_retried_from_parent_to_parent() {
    let refuse = |sibling_caches| {
        let mut harness = Harness::new(Settings { sibling_caches, ..settings(14, 300) }, 5);
        let entries = vec![entry(11, 1, 0, 4.0), entry(12, 1, 0, 4.0)];
        harness.event(Event::EndpointList { kind: ListKind::Delta, entries });
        let s = sent(&harness.request(42), 0).unwrap();
        harness.end_attempt(
            &s,
            AttemptStatus::Full,
            Some(CacheStatus::SourceRefused),
            Duration::from_millis(60),
        )
    };
    let actions = refuse(SiblingCaches::Location);
    assert!(sent(&actions, 1).is_none() && actions.iter().any(|a| matches!(a, Action::Refuse { .. })));
    assert!([11, 12].contains(&sent(&refuse(SiblingCaches::Any), 1).unwrap().source.unwrap()));
}

/// Endless successors: the memory of removed endpoints stays bounded, and old starts are not
/// visited.
#[test]
fn endless_endpoint_list_changes_keep_memory_bounded() {
    let mut harness = Harness::new(settings(14, 300), 5);
    for i in 0..6_000_u64 {
        let new = EndpointEntry { started: harness.now, ..entry(10_000 + i, 0, 0, 4.0) };
        let mut entries = vec![new];
        if i > 0 {
            entries.push(EndpointEntry { state: EndpointState::Gone, ..entry(9_999 + i, 0, 0, 4.0) });
        }
        harness.event(Event::EndpointList { kind: ListKind::Delta, entries });
        harness.serve(i, CacheStatus::Filled);
        harness.now += Duration::from_millis(10);
    }
    let remembered = format!("{:?}", harness.module).matches("entry: EndpointEntry").count();
    assert!((1..2_500).contains(&remembered), "{remembered} endpoints remembered");
    let s = harness.serve(77, CacheStatus::Hit).unwrap();
    assert!(CACHES.contains(&s.endpoint) || s.endpoint == 15_999);
}

/// Guards against a few hundred routers that each have only two fills in flight at a parent, which
/// then has hundreds and sends none in time: copies are requested without a fill until the fills in
/// flight are fewer. A pair of routers with as many in flight is no overload.
#[test]
fn a_parent_with_fills_of_all_routers_gets_no_more_where_hits_are_not_reported() {
    let unfilled = |router_count| {
        let mut harness = Harness::new(
            Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(2, router_count) },
            5,
        );
        let slow = |n: usize, s: &Sent| n < 200 && n.is_multiple_of(2) && s.source.is_some();
        let seen = play(&mut harness, Duration::from_secs(60), |n, s| {
            Some(if slow(n, s) { Duration::from_secs(2) } else { Duration::from_millis(100) })
        });
        let share =
            |of: &[(Timestamp, Sent)]| of.iter().filter(|s| s.1.source.is_none()).count() * 100 / of.len();
        (share(&seen.sent[50..200]), share(&seen.sent[300..]))
    };
    let (jam, after) = unfilled(300);
    assert!(jam > 30 && after == 0, "{jam} in 100 without a fill in the jam, {after} after it");
    assert_eq!(unfilled(2), (0, 0));
}

/// Guards against fills that are known at their end only, where outcomes report them: until then
/// nobody counts them, and a parent gets more than it can send.
#[test]
fn fills_are_counted_by_their_age_whether_they_are_reported_or_not() {
    for notes in [CacheStatusReporting::None, CacheStatusReporting::Hit, CacheStatusReporting::All] {
        let mut harness = Harness::new(Settings { cache_status_reporting: notes, ..settings(14, 300) }, 5);
        let r = Request {
            id: 1,
            object: 1,
            deadline: harness.now + Duration::from_secs(5),
            ..Request::default()
        };
        let actions = harness.event(Event::Request(r));
        assert!(sent(&actions, 0).unwrap().source.is_some());
        let by_age = timers(&actions, Timestamp::ZERO).into_iter().filter(|t| t.1 & 0xffff == 0x8000).count();
        assert_eq!(by_age, 1, "{notes:?}");
    }
}

/// Guards against taking congestion for large objects: the bytes that came give the sending time,
/// however long it took.
#[test]
fn congestion_does_not_change_the_service_time_of_a_class() {
    let mut harness =
        Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings(14, 300) }, 5);
    let mut held = Vec::new();
    for id in 1..=60 {
        let r = Request {
            id,
            object: u64::from(id),
            deadline: harness.now + Duration::from_secs(5),
            ..Request::default()
        };
        let actions = harness.event(Event::Request(r));
        let s = sent(&actions, 0).unwrap();
        let fills = |t: &(Timestamp, u64)| t.1 & 0xffff == 0x8000;
        held.extend(timers(&actions, Timestamp::ZERO).into_iter().find(fills).map(|t| t.0));
        harness.now += Duration::from_secs(2);
        harness.event(Event::AttemptOutcome(AttemptOutcome {
            request: s.id,
            attempt: 0,
            endpoint: EndpointId(s.endpoint),
            latency: Duration::from_secs(2),
            status: AttemptStatus::Ok,
            ended: true,
            note: None,
            work: Some(0.25),
        }));
    }
    assert_eq!(held.last(), Some(&Timestamp::from_micros(250_000)));
}
