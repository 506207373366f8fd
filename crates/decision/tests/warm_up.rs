//! Warm-up budgets of endpoints, and the routing of requests that exceed them.

mod common;

use common::{entry, sent_attempt, settings, Harness, PARENT, START};
use hollymux_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn endpoints_that_warm_up_stay_within_budget_over_every_window() {
    for (id, zone, kind) in [(2, 0, 0), (22, 2, PARENT)] {
        let settings = settings();
        let (floor, period, multiple, sharing_routers) = if kind == PARENT {
            (
                settings.parent_warm_up_floor,
                settings.parent_warm_up_period,
                settings.parent_overload_multiple,
                2.0,
            )
        } else {
            (settings.warm_up_floor, settings.warm_up_period, settings.overload_multiple, 1.0)
        };
        let mut harness = Harness::new(settings);
        // The module estimates a mean service time of 0.1 s for the class.
        for i in 0..200 {
            harness.serve(i);
        }
        let started = harness.now;
        let entry = EndpointEntry { started, ..entry(id, zone, kind) };
        harness.apply_list(ListKind::Delta, vec![entry]);
        let mut use_times = Vec::new();
        for i in 0..3_000 {
            // All requests are misses, so that the work at the parent stays in its budget.
            let sent = harness.request(10_000 + i);
            harness.end_attempt(&sent, 0, AttemptStatus::Ok, Some(CacheStatus::Filled));
            if sent.endpoint == id || sent.fill.source == Some(EndpointId(id)) {
                use_times.push(harness.now);
            }
            harness.now += Duration::from_millis(2);
        }
        assert!(
            use_times.len() > 5,
            "an endpoint that warms up must get its share, but was used {} times",
            use_times.len()
        );
        for start in &use_times {
            let is_in_window =
                |time: &&Timestamp| **time >= *start && **time < *start + Duration::from_secs(1);
            let requests = use_times.iter().filter(is_in_window).count() as f64;
            let age = start.duration_since(started).as_micros() as f64 / period.as_micros() as f64;
            let share = floor + (1.0 - floor) * (age + 1e6 / period.as_micros() as f64).min(1.0);
            assert!(
                requests * 0.1 <= multiple * share * 8.0 / sharing_routers,
                "{requests} requests in the window that begins at {age} of the warm-up period"
            );
        }
    }
}

/// Guards against a full warm-up budget for an endpoint that has taken over an address, in addition
/// to the work that was sent to that address before the endpoint's start was announced.
#[test]
fn load_sent_to_an_address_counts_against_the_endpoint_that_took_it_over() {
    let requests_at_successor = |in_place_of| {
        let mut harness =
            Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
        let homes = harness.homes();
        let objects: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 1).map(|h| *h.0).collect();
        harness.now += Duration::from_secs(5);
        let started = harness.now;
        objects.iter().cycle().take(40).for_each(|object| {
            harness.now += Duration::from_millis(10);
            harness.serve(*object);
        });
        let removed = EndpointEntry { state: EndpointState::Gone, ..entry(1, 0, 0) };
        let successor = EndpointEntry { started, in_place_of, ..entry(5, 0, 0) };
        harness.apply_list(ListKind::Delta, vec![removed, successor]);
        (1_000..1_200).filter(|object| harness.serve(*object).endpoint == 5).count()
    };
    assert!(requests_at_successor(None) > 0);
    assert_eq!(requests_at_successor(Some(EndpointId(1))), 0);
}

/// Guards against rejecting the requests of a zone in which all caches have restarted. Where the
/// caches may be bypassed, parents must serve the requests that exceed the warm-up budgets of the
/// caches, and the caches must still get their budgets.
#[test]
fn requests_beyond_the_warm_up_budgets_bypass_the_caches() {
    let served = |bypass_edge_cache| {
        let mut harness = Harness::new(Settings { bypass_edge_cache, ..settings() });
        for object in 0..40 {
            harness.serve(object);
        }
        let restarted = |id| EndpointEntry { started: START, ..entry(id, 0, 0) };
        harness.apply_list(ListKind::Delta, (1..=4).map(restarted).collect());
        let mut endpoints = BTreeMap::new();
        for object in 1_000..1_200 {
            harness.now += Duration::from_millis(5);
            if let Some(sent) = sent_attempt(&harness.request_part(object, 0, 0)) {
                let role = if sent.endpoint < 10 { "cache" } else { "parent" };
                assert!(sent.endpoint < 10 || sent.fill.source == Some(EndpointId(31)), "{sent:?}");
                *endpoints.entry(role).or_insert(0) += 1;
                harness.end_attempt(&sent, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
            }
        }
        (endpoints.get("cache").copied().unwrap_or(0), endpoints.get("parent").copied().unwrap_or(0))
    };
    let (at_caches, at_parents) = served(true);
    let (at_caches_without_bypass, at_parents_without_bypass) = served(false);
    assert!(
        at_caches + at_parents > 180 && at_caches >= at_caches_without_bypass,
        "of 200 requests, {at_caches} were served by caches and {at_parents} by parents"
    );
    assert!(
        at_caches_without_bypass < 150 && at_parents_without_bypass == 0,
        "without bypassing, {at_caches_without_bypass} were served by caches and \
         {at_parents_without_bypass} by parents"
    );
}
