//! Health of endpoints: ejection, attribution of failures, and readmission.

mod common;

use common::{sent_attempt, settings, Harness};
use hollymux_decision::*;
use std::time::Duration;

#[test]
fn a_lost_cache_is_ejected_and_one_recovery_probe_readmits_it_to_warm_up() {
    let mut harness = Harness::new(settings());
    let homes = harness.homes();
    let objects: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 2).map(|h| *h.0).collect();
    for object in &objects[..2] {
        let sent = harness.request(*object);
        let actions = harness.end_attempt(&sent, 0, AttemptStatus::ConnectFailed, None);
        assert_ne!(sent_attempt(&actions).unwrap().endpoint, 2, "the next cache in hash order must be tried");
    }
    assert_ne!(harness.serve(objects[3]).endpoint, 2);
    harness.now += Duration::from_secs(1);
    let recovery_probe = harness.request(objects[4]);
    assert_eq!(recovery_probe.endpoint, 2);
    assert_ne!(harness.request(objects[5]).endpoint, 2, "only one recovery probe may be in flight");
    harness.end_attempt(&recovery_probe, 0, AttemptStatus::Ok, Some(CacheStatus::Filled));
    assert_eq!(harness.request(objects[6]).endpoint, 2);
    // The cache's process was lost, so the cache warms up: only a part of a burst is sent to it.
    let burst = (0..60).filter(|_| {
        sent_attempt(&harness.request_part(objects[6], 0, 0)).is_some_and(|sent| sent.endpoint == 2)
    });
    assert!(burst.count() < 30);
}

#[test]
fn a_failed_parent_is_distinguished_from_the_caches_in_front_of_it() {
    for cache_status in [Some(CacheStatus::SourceUnreachable), None] {
        let cache_status_reporting =
            if cache_status.is_some() { CacheStatusReporting::All } else { CacheStatusReporting::Hit };
        let mut harness = Harness::new(Settings { cache_status_reporting, ..settings() });
        let homes = harness.homes();
        for (object, _) in homes.iter().filter(|h| h.1 .1 == 22).take(8) {
            let sent = harness.request(*object);
            if sent.fill.source == Some(EndpointId(22)) {
                let actions = harness.end_attempt(&sent, 0, AttemptStatus::Full, cache_status);
                let retry = sent_attempt(&actions).unwrap();
                assert_ne!(retry.fill.source, Some(EndpointId(22)));
                harness.end_attempt(&retry, 1, AttemptStatus::Ok, Some(CacheStatus::Filled));
            }
        }
        let after = harness.homes();
        assert!(after.values().all(|h| h.1 != 22), "the parent must be ejected");
        assert!(after.iter().all(|(object, home)| home.0 == homes[object].0), "no cache may be ejected");
    }
}

/// Guards against a parent that is presumed to have restarted, and therefore warms up, because
/// fills from it broke off on their way. Connections that are reset under fills look like that now
/// and then. A parent that refuses connections does so at once.
#[test]
fn a_fill_that_broke_off_does_not_mean_a_lost_parent() {
    for (latency, must_warm_up) in [
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
            let sent = harness.request(*object);
            let actions = harness.end_attempt_after(
                &sent,
                0,
                AttemptStatus::Full,
                Some(CacheStatus::SourceUnreachable),
                latency,
            );
            harness.end_attempt(
                &sent_attempt(&actions).unwrap(),
                1,
                AttemptStatus::Ok,
                Some(CacheStatus::Filled),
            );
        }
        // The parent is readmitted if it was ejected: a request that names it is filled.
        harness.now += Duration::from_millis(700);
        let named = objects.iter().any(|object| {
            let sent = harness.request(*object);
            harness.end_attempt(&sent, 0, AttemptStatus::Ok, Some(CacheStatus::Filled));
            sent.fill.source == Some(EndpointId(22))
        });
        assert!(named);
        let demands = harness.module.warm_up_demands(harness.now);
        assert_eq!(
            demands.iter().any(|d| d.endpoint == EndpointId(22)),
            must_warm_up,
            "{latency:?}: {demands:?}"
        );
    }
}

/// Guards against a parent that warms up after a single error, so that its fills go to parents
/// without the objects, and against clients whose invalid requests get endpoints ejected. Errors of
/// a request that is then served through another parent still mean that the parent's process is
/// lost.
#[test]
fn errors_mean_a_lost_parent_only_where_another_parent_serves() {
    // Number of errors of one request, number of such requests, whether each is served in the end,
    // and whether the parent must be presumed lost.
    for (errors, requests, served, is_lost) in
        [(1, 1, true, false), (2, 1, true, true), (3, 40, false, false), (1, 40, true, false)]
    {
        let mut harness =
            Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
        let homes = harness.homes();
        let objects: Vec<u64> = homes.iter().filter(|h| h.1 .1 == 22).map(|h| *h.0).collect();
        for object in objects.iter().cycle().take(requests) {
            harness.now += Duration::from_millis(20);
            let mut sent = harness.request(*object);
            assert_eq!(sent.fill.source, Some(EndpointId(22)));
            for attempt in 0..errors {
                let actions = harness.end_attempt(&sent, attempt, AttemptStatus::Error, None);
                let Some(retry) = sent_attempt(&actions) else {
                    assert!(actions.iter().any(|a| matches!(a, Action::Reject { .. })), "{actions:?}");
                    break;
                };
                sent = retry;
            }
            if served {
                harness.end_attempt(&sent, errors, AttemptStatus::Ok, None);
            }
        }
        let sources = objects.iter().cycle().take(200).map(|object| {
            harness.now += Duration::from_millis(2);
            let sent = harness.request(*object);
            harness.end_attempt(&sent, 0, AttemptStatus::Ok, None);
            sent.fill.source.unwrap().0
        });
        let fills_elsewhere = sources.filter(|source| *source != 22).count();
        assert_eq!(
            fills_elsewhere > 100,
            is_lost,
            "{fills_elsewhere} of 200 fills went to other parents after {requests} requests \
             with {errors} errors"
        );
    }
}

/// Requests `objects` and refuses at once each fill that names `parent`. Each request is followed
/// by a hit. Returns whether the parent is probed.
fn refuse_fills(harness: &mut Harness, objects: &[u64], parent: u64) -> bool {
    let mut is_probed = false;
    for object in objects {
        harness.now += Duration::from_millis(10);
        let sent = harness.request(*object);
        let names_parent = sent.fill.source == Some(EndpointId(parent));
        let status = if names_parent { AttemptStatus::Full } else { AttemptStatus::Ok };
        let actions = harness.end_attempt(&sent, 0, status, None);
        is_probed |= actions.contains(&Action::Probe { endpoint: EndpointId(parent) });
        if let Some(retry) = sent_attempt(&actions) {
            harness.end_attempt(&retry, 1, AttemptStatus::Ok, None);
        }
        harness.serve(*object);
    }
    is_probed
}

/// Guards against a lost parent that is named for as long as it is down: it refuses fills at once,
/// but each hit that names it looks like its response. A probe must decide, and only a successful
/// probe may readmit the parent, which then warms up.
#[test]
fn a_parent_that_refuses_is_probed_and_readmitted_by_a_probe_alone() {
    let settings_with = |probes| Settings {
        probes,
        cache_status_reporting: CacheStatusReporting::None,
        connect_timeout: Duration::from_millis(400),
        ..settings()
    };
    let mut harness = Harness::new(settings_with(true));
    let homes = harness.homes();
    let objects: Vec<u64> = homes.iter().filter(|h| h.1 .1 == 22).map(|h| *h.0).collect();
    let parent = EndpointId(22);
    let fills_from_parent = |harness: &mut Harness| {
        let fills = objects.iter().filter(|object| {
            harness.now += Duration::from_millis(2);
            let sent = harness.request(**object);
            harness.end_attempt(&sent, 0, AttemptStatus::Ok, None);
            sent.fill.source == Some(parent)
        });
        fills.count()
    };
    // Single refusals among many hits cause no probe.
    for object in &objects {
        assert!(!refuse_fills(&mut harness, &[*object], 22));
        objects.iter().cycle().take(60).for_each(|object| {
            harness.serve(*object);
        });
    }
    // Many refusals cause a probe. The parent responds to it, so that it stays available and is not
    // probed again at once.
    assert!(refuse_fills(&mut harness, &objects[..6], 22));
    harness.event(Event::Probed { endpoint: parent, status: AttemptStatus::Error });
    assert!(fills_from_parent(&mut harness) > objects.len() * 9 / 10);
    assert!(!refuse_fills(&mut harness, &objects[..6], 22));
    // The parent does not respond to the next probe. No hit readmits it, and it is probed again
    // after its ejection time.
    harness.now += Duration::from_secs(10);
    assert!(refuse_fills(&mut harness, &objects[..6], 22));
    harness.event(Event::Probed { endpoint: parent, status: AttemptStatus::Timeout });
    assert_eq!(fills_from_parent(&mut harness), 0);
    harness.now += Duration::from_millis(600);
    let actions = harness.request_part(1, 0, 0);
    assert!(actions.contains(&Action::Probe { endpoint: parent }), "{actions:?}");
    assert_eq!(fills_from_parent(&mut harness), 0);
    harness.event(Event::Probed { endpoint: parent, status: AttemptStatus::Ok });
    let fills = fills_from_parent(&mut harness);
    assert!(
        0 < fills && fills * 5 < objects.len(),
        "{fills} fills from a parent that warms up with a small budget"
    );
    // Without permission to probe, no probe is sent.
    assert!(!refuse_fills(&mut Harness::new(settings_with(false)), &objects, 22));
}

/// Guards against blaming a cache, and against retrying at a cache without the object, if only a
/// connection broke: the cache has responded to other attempts since.
#[test]
fn a_reset_at_a_cache_that_has_responded_since_is_retried_at_the_same_cache() {
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
        assert_eq!(sent_attempt(&actions).map(|sent| sent.endpoint), Some(1));
    }
}

/// Guards against a cache that returns errors for most requests and serves a few: each success
/// reset its score, so that it was never ejected. It must be readmitted once several recovery
/// probes have succeeded.
#[test]
fn a_cache_that_fails_most_requests_is_ejected_until_recovery_probes_succeed() {
    let mut harness =
        Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
    let homes = harness.homes();
    let objects: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 1).map(|h| *h.0).collect();
    let mut used = Vec::new();
    for (number, object) in objects.iter().cycle().take(1_000).enumerate() {
        harness.now += Duration::from_millis(10);
        let mut sent = harness.request(*object);
        used.push(sent.endpoint == 1);
        if sent.endpoint == 1 && number < 500 && number % 5 != 0 {
            let actions = harness.end_attempt(&sent, 0, AttemptStatus::Error, None);
            let retry = sent_attempt(&actions).unwrap();
            assert_ne!(retry.endpoint, 1, "the retry must go to another cache");
            assert_eq!(retry.fill.source, sent.fill.source, "the retry must name the same parent");
            sent = retry;
            harness.end_attempt(&sent, 1, AttemptStatus::Ok, None);
        } else {
            harness.end_attempt(&sent, 0, AttemptStatus::Ok, None);
        }
    }
    let count = |used: &[bool]| used.iter().filter(|is_used| **is_used).count();
    let (while_failing, after_recovery) = (count(&used[..500]), count(&used[800..]));
    assert!(while_failing < 60, "used for {while_failing} of 500 requests while it failed");
    assert!(after_recovery == 200, "used for {after_recovery} of 200 requests after its recovery");
    let parents: Vec<u64> = harness.homes().values().map(|home| home.1).collect();
    assert!(parents.contains(&22) && parents.contains(&21), "no parent may be presumed lost");
}

/// A link that breaks 1/4 of all attempts must not get an endpoint ejected, a link that breaks all
/// of them must.
#[test]
fn occasional_resets_eject_no_endpoint() {
    let mut harness = Harness::new(settings());
    let homes = harness.homes();
    for (i, object) in homes.keys().chain(homes.keys()).enumerate() {
        let sent = harness.request(*object);
        if i % 4 == 0 {
            let retry = sent_attempt(&harness.end_attempt(&sent, 0, AttemptStatus::Reset, None)).unwrap();
            harness.end_attempt(&retry, 1, AttemptStatus::Ok, Some(CacheStatus::Hit));
        } else {
            harness.end_attempt(&sent, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
        }
        harness.now += Duration::from_millis(20);
    }
    assert_eq!(harness.homes(), homes);
    let objects: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 2).map(|h| *h.0).collect();
    for object in &objects[..6] {
        let sent = harness.request(*object);
        harness.end_attempt(&sent, 0, AttemptStatus::Reset, None);
    }
    assert_ne!(harness.request(objects[7]).endpoint, 2);
}

/// Guards against taking the caches of a zone for overloaded if all of them stop responding.
/// Requests must bypass them where that is allowed.
#[test]
fn caches_of_a_silent_zone_are_bypassed() {
    let mut harness = Harness::new(Settings { bypass_edge_cache: true, ..settings() });
    harness.homes();
    harness.now += Duration::from_secs(3);
    let mut timers = Vec::new();
    let mut bypassed = 0;
    for i in 0..200 {
        let mut actions = harness.request_part(2_000 + i, 0, 0);
        timers.sort();
        while timers.first().is_some_and(|timer: &(Timestamp, u64)| timer.0 <= harness.now) {
            actions.extend(harness.event(Event::Timer { token: timers.remove(0).1 }));
        }
        for action in actions {
            match action {
                Action::Timer { after, token } => timers.push((harness.now + after, token)),
                // Attempts end only by being cancelled here.
                Action::Cancel { request, attempt } => {
                    let outcome = AttemptOutcome {
                        request,
                        attempt,
                        endpoint: EndpointId(0),
                        latency: Duration::ZERO,
                        status: AttemptStatus::Cancelled,
                        request_finished: false,
                        cache_status: None,
                        work: None,
                    };
                    let actions = harness.event(Event::AttemptOutcome(outcome));
                    bypassed += usize::from(sent_attempt(&actions).is_some_and(|sent| sent.endpoint > 20));
                }
                Action::Attempt { endpoint, .. } => bypassed += usize::from(endpoint.0 > 20),
                _ => {}
            }
        }
        harness.now += Duration::from_millis(20);
    }
    assert!(bypassed > 20, "{bypassed} attempts bypassed the silent caches");
}
