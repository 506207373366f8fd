//! Health of endpoints: what ejects them, whom a failure is held against, and what readmits them.

mod common;

use common::{sent, settings, Harness};
use hollymux_decision::*;
use std::time::Duration;

#[test]
fn a_lost_cache_is_ejected_and_one_recovery_probe_readmits_it_to_warm_up() {
    let mut harness = Harness::new(settings());
    let homes = harness.homes();
    let objects: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 2).map(|h| *h.0).collect();
    for object in &objects[..2] {
        let s = harness.request(*object);
        let actions = harness.end_attempt(&s, 0, AttemptStatus::ConnectFailed, None);
        assert_ne!(sent(&actions).unwrap().endpoint, 2, "the next in order stands in");
    }
    assert_ne!(harness.serve(objects[3]).endpoint, 2);
    harness.now += Duration::from_secs(1);
    let recovery_probe = harness.request(objects[4]);
    assert_eq!(recovery_probe.endpoint, 2);
    assert_ne!(harness.request(objects[5]).endpoint, 2, "one recovery probe at a time");
    harness.end_attempt(&recovery_probe, 0, AttemptStatus::Ok, Some(CacheStatus::Filled));
    assert_eq!(harness.request(objects[6]).endpoint, 2);
    // Its process was lost, so it warms up: a burst is not all sent there.
    let burst =
        (0..60).filter(|_| sent(&harness.request_part(objects[6], 0, 0)).is_some_and(|s| s.endpoint == 2));
    assert!(burst.count() < 30);
}

#[test]
fn a_failed_parent_is_distinguished_from_the_caches_in_front_of_it() {
    for note in [Some(CacheStatus::SourceUnreachable), None] {
        let notes = if note.is_some() { CacheStatusReporting::All } else { CacheStatusReporting::Hit };
        let mut harness = Harness::new(Settings { cache_status_reporting: notes, ..settings() });
        let homes = harness.homes();
        for (object, _) in homes.iter().filter(|h| h.1 .1 == 22).take(8) {
            let s = harness.request(*object);
            if s.fill.source == Some(EndpointId(22)) {
                let actions = harness.end_attempt(&s, 0, AttemptStatus::Full, note);
                let again = sent(&actions).unwrap();
                assert_ne!(again.fill.source, Some(EndpointId(22)));
                harness.end_attempt(&again, 1, AttemptStatus::Ok, Some(CacheStatus::Filled));
            }
        }
        let after = harness.homes();
        assert!(after.values().all(|h| h.1 != 22), "the parent is ejected");
        assert!(after.iter().all(|(k, h)| h.0 == homes[k].0), "no cache is");
    }
}

/// Guards against a parent that is held to have started anew, and so to warm up, because fills from
/// it broke off on their way: connections that are reset under fills look like that now and then.
/// One that refuses them does so at once.
#[test]
fn a_fill_that_broke_off_does_not_mean_a_lost_parent() {
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
        let mut harness = Harness::new(settings);
        let homes = harness.homes();
        let objects: Vec<u64> = homes.iter().filter(|h| h.1 .1 == 22).map(|h| *h.0).collect();
        for object in objects.iter().take(2) {
            harness.now += Duration::from_millis(20);
            let s = harness.request(*object);
            let actions = harness.end_attempt_after(
                &s,
                0,
                AttemptStatus::Full,
                Some(CacheStatus::SourceUnreachable),
                told_after,
            );
            harness.end_attempt(&sent(&actions).unwrap(), 1, AttemptStatus::Ok, Some(CacheStatus::Filled));
        }
        // It is readmitted, if it was ejected: a request that names it is filled.
        harness.now += Duration::from_millis(700);
        let named = objects.iter().any(|object| {
            let s = harness.request(*object);
            harness.end_attempt(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Filled));
            s.fill.source == Some(EndpointId(22))
        });
        assert!(named);
        let demands = harness.module.warm_up_demands(harness.now);
        assert_eq!(demands.iter().any(|d| d.endpoint == EndpointId(22)), cold, "{told_after:?}: {demands:?}");
    }
}

/// Guards against a parent that warms up after one error, with its fills sent where the objects are
/// not, and against clients that get endpoints ejected by requests that nobody can serve; errors of
/// a request that another parent then serves still mean a lost parent.
#[test]
fn errors_mean_a_lost_parent_only_where_another_parent_serves() {
    // Errors of one request, how many such requests, whether it is served in the end, and whether
    // the parent is lost.
    for (errors, requests, served, dead) in
        [(1, 1, true, false), (2, 1, true, true), (3, 40, false, false), (1, 40, true, false)]
    {
        let mut harness =
            Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
        let homes = harness.homes();
        let objects: Vec<u64> = homes.iter().filter(|h| h.1 .1 == 22).map(|h| *h.0).collect();
        for object in objects.iter().cycle().take(requests) {
            harness.now += Duration::from_millis(20);
            let mut s = harness.request(*object);
            assert_eq!(s.fill.source, Some(EndpointId(22)));
            for n in 0..errors {
                let actions = harness.end_attempt(&s, n, AttemptStatus::Error, None);
                let Some(again) = sent(&actions) else {
                    assert!(actions.iter().any(|a| matches!(a, Action::Refuse { .. })), "{actions:?}");
                    break;
                };
                s = again;
            }
            if served {
                harness.end_attempt(&s, errors, AttemptStatus::Ok, None);
            }
        }
        let after = objects.iter().cycle().take(200).map(|object| {
            harness.now += Duration::from_millis(2);
            let s = harness.request(*object);
            harness.end_attempt(&s, 0, AttemptStatus::Ok, None);
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

/// Requests these objects and refuses each fill by that parent at once, with a hit after each;
/// returns whether the parent is probed.
fn refuse_fills(harness: &mut Harness, requested: &[u64], parent: u64) -> bool {
    let mut asked = false;
    for object in requested {
        harness.now += Duration::from_millis(10);
        let s = harness.request(*object);
        let named = s.fill.source == Some(EndpointId(parent));
        let actions =
            harness.end_attempt(&s, 0, if named { AttemptStatus::Full } else { AttemptStatus::Ok }, None);
        asked |= actions.contains(&Action::Probe { endpoint: EndpointId(parent) });
        if let Some(again) = sent(&actions) {
            harness.end_attempt(&again, 1, AttemptStatus::Ok, None);
        }
        harness.serve(*object);
    }
    asked
}

/// Guards against naming a lost parent for as long as it is lost: its fills are refused at once,
/// and each hit that names it looked like its response. A probe settles it, and a probe alone
/// readmits it, to warm up.
#[test]
fn a_parent_that_refuses_is_probed_and_readmitted_by_a_probe_alone() {
    let probes = |probes| Settings {
        probes,
        cache_status_reporting: CacheStatusReporting::None,
        connect_timeout: Duration::from_millis(400),
        ..settings()
    };
    let mut harness = Harness::new(probes(true));
    let homes = harness.homes();
    let objects: Vec<u64> = homes.iter().filter(|h| h.1 .1 == 22).map(|h| *h.0).collect();
    let parent = EndpointId(22);
    let fills_named = |harness: &mut Harness| {
        let all = objects.iter().filter(|object| {
            harness.now += Duration::from_millis(2);
            let s = harness.request(**object);
            harness.end_attempt(&s, 0, AttemptStatus::Ok, None);
            s.fill.source == Some(parent)
        });
        all.count()
    };
    // A refusal now and then among hits causes no probe.
    for object in &objects {
        assert!(!refuse_fills(&mut harness, &[*object], 22));
        objects.iter().cycle().take(60).for_each(|o| {
            harness.serve(*o);
        });
    }
    // Many do. It responds: nothing is held against it, and it is not probed again at once.
    assert!(refuse_fills(&mut harness, &objects[..6], 22));
    harness.event(Event::Probed { endpoint: parent, status: AttemptStatus::Error });
    assert!(fills_named(&mut harness) > objects.len() * 9 / 10);
    assert!(!refuse_fills(&mut harness, &objects[..6], 22));
    // It does not: no hit readmits it, and it is probed again when that is due.
    harness.now += Duration::from_secs(10);
    assert!(refuse_fills(&mut harness, &objects[..6], 22));
    harness.event(Event::Probed { endpoint: parent, status: AttemptStatus::Timeout });
    assert_eq!(fills_named(&mut harness), 0);
    harness.now += Duration::from_millis(600);
    let actions = harness.request_part(1, 0, 0);
    assert!(actions.contains(&Action::Probe { endpoint: parent }), "{actions:?}");
    assert_eq!(fills_named(&mut harness), 0);
    harness.event(Event::Probed { endpoint: parent, status: AttemptStatus::Ok });
    let back = fills_named(&mut harness);
    assert!(0 < back && back * 5 < objects.len(), "named {back} times: it warms up, and its budget is small");
    // Without probes nobody is probed.
    assert!(!refuse_fills(&mut Harness::new(probes(false)), &objects, 22));
}

/// Guards against blaming a cache, and against leaving it for one that holds nothing, where only a
/// connection broke: it has responded to others since.
#[test]
fn a_reset_at_a_cache_that_has_responded_since_is_retried_there() {
    let mut harness =
        Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
    let homes = harness.homes();
    let objects: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 1).map(|h| *h.0).collect();
    for pair in objects.chunks_exact(2).cycle().take(20) {
        harness.now += Duration::from_millis(20);
        let (broken, other) = (harness.request(pair[0]), harness.request(pair[1]));
        harness.now += Duration::from_millis(20);
        harness.end_attempt(&other, 0, AttemptStatus::Ok, None);
        let actions = harness.end_attempt(&broken, 0, AttemptStatus::Reset, None);
        assert_eq!(sent(&actions).map(|s| s.endpoint), Some(1));
    }
}

/// Guards against a cache that answers most requests with an error and a few as it should: each
/// success cleared it, so that it kept its place for as long as it failed. It is readmitted once
/// several recovery probes succeed.
#[test]
fn a_cache_that_fails_most_requests_is_ejected_until_recovery_probes_succeed() {
    let mut harness =
        Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
    let homes = harness.homes();
    let objects: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 1).map(|h| *h.0).collect();
    let mut asked = Vec::new();
    for (n, object) in objects.iter().cycle().take(1_000).enumerate() {
        harness.now += Duration::from_millis(10);
        let mut s = harness.request(*object);
        asked.push(s.endpoint == 1);
        if s.endpoint == 1 && n < 500 && n % 5 != 0 {
            let actions = harness.end_attempt(&s, 0, AttemptStatus::Error, None);
            let again = sent(&actions).unwrap();
            assert_ne!(again.endpoint, 1, "another cache is used");
            assert_eq!(again.fill.source, s.fill.source, "by way of the same parent");
            s = again;
            harness.end_attempt(&s, 1, AttemptStatus::Ok, None);
        } else {
            harness.end_attempt(&s, 0, AttemptStatus::Ok, None);
        }
    }
    let times = |part: &[bool]| part.iter().filter(|a| **a).count();
    assert!(times(&asked[..500]) < 60, "asked {} times while it fails", times(&asked[..500]));
    assert!(times(&asked[800..]) == 200, "asked {} times of 200 when it is well again", times(&asked[800..]));
    let parents: Vec<u64> = harness.homes().values().map(|h| h.1).collect();
    assert!(parents.contains(&22) && parents.contains(&21), "no parent is held to be lost");
}

/// A link that breaks a quarter of all attempts gets no endpoint ejected, unlike one that breaks
/// all of them.
#[test]
fn occasional_resets_eject_no_endpoint() {
    let mut harness = Harness::new(settings());
    let homes = harness.homes();
    for (i, object) in homes.keys().chain(homes.keys()).enumerate() {
        let s = harness.request(*object);
        if i % 4 == 0 {
            let again = sent(&harness.end_attempt(&s, 0, AttemptStatus::Reset, None)).unwrap();
            harness.end_attempt(&again, 1, AttemptStatus::Ok, Some(CacheStatus::Hit));
        } else {
            harness.end_attempt(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
        }
        harness.now += Duration::from_millis(20);
    }
    assert_eq!(harness.homes(), homes);
    let objects: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 2).map(|h| *h.0).collect();
    for object in &objects[..6] {
        let s = harness.request(*object);
        harness.end_attempt(&s, 0, AttemptStatus::Reset, None);
    }
    assert_ne!(harness.request(objects[7]).endpoint, 2);
}

/// Caches of a zone that all fall silent are not taken for overloaded: requests bypass them where
/// they may.
#[test]
fn caches_of_a_silent_zone_are_bypassed() {
    let mut harness = Harness::new(Settings { bypass_edge_cache: true, ..settings() });
    harness.homes();
    harness.now += Duration::from_secs(3);
    let mut timers = Vec::new();
    let mut past = 0;
    for i in 0..200 {
        let mut actions = harness.request_part(2_000 + i, 0, 0);
        timers.sort();
        while timers.first().is_some_and(|t: &(Timestamp, u64)| t.0 <= harness.now) {
            actions.extend(harness.event(Event::Timer { token: timers.remove(0).1 }));
        }
        for a in actions {
            match a {
                Action::Timer { after, token } => timers.push((harness.now + after, token)),
                // Cancelling an attempt is the only thing that ends one here.
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
                    let actions = harness.event(Event::AttemptOutcome(e));
                    past += usize::from(sent(&actions).is_some_and(|s| s.endpoint > 20));
                }
                Action::Attempt { endpoint, .. } => past += usize::from(endpoint.0 > 20),
                _ => {}
            }
        }
        harness.now += Duration::from_millis(20);
    }
    assert!(past > 20, "{past} bypassed the silent caches");
}
