//! Endpoints that warm up: their budgets, and what becomes of requests beyond them.

mod common;

use common::{entry, sent, settings, Harness, PARENT, START};
use hollymux_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn endpoints_that_warm_up_stay_within_budget_over_every_window() {
    for (id, zone, kind) in [(2, 0, 0), (22, 2, PARENT)] {
        let s = settings();
        let (from, over, multiple, among) = if kind == PARENT {
            (s.parent_warm_up_floor, s.parent_warm_up_period, s.parent_overload_multiple, 2.0)
        } else {
            (s.warm_up_floor, s.warm_up_period, s.overload_multiple, 1.0)
        };
        let mut harness = Harness::new(s);
        for i in 0..200 {
            harness.serve(i); // the class's mean work, 0.1 s, is learnt
        }
        let started = harness.now;
        let entry = EndpointEntry { started, ..entry(id, zone, kind) };
        harness.apply_list(ListKind::Delta, vec![entry]);
        let mut times = Vec::new();
        for i in 0..3_000 {
            // All are misses: the work of the parent stays in its budget.
            let s = harness.request(10_000 + i);
            harness.end_attempt(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Filled));
            if s.endpoint == id || s.fill.source == Some(EndpointId(id)) {
                times.push(harness.now);
            }
            harness.now += Duration::from_millis(2);
        }
        assert!(times.len() > 5, "an endpoint that warms up gets its share: {}", times.len());
        for t in &times {
            let n = times.iter().filter(|x| **x >= *t && **x < *t + Duration::from_secs(1)).count() as f64;
            let age = t.duration_since(started).as_micros() as f64 / over.as_micros() as f64;
            let share = from + (1.0 - from) * (age + 1e6 / over.as_micros() as f64).min(1.0);
            assert!(n * 0.1 <= multiple * share * 8.0 / among, "{n} at {age}");
        }
    }
}

/// Guards against a whole warm-up budget for an endpoint that took over an address, on top of what
/// was sent there before its start was announced.
#[test]
fn load_sent_to_an_address_counts_against_the_endpoint_that_took_it_over() {
    let sent_after = |in_place_of| {
        let mut harness =
            Harness::new(Settings { cache_status_reporting: CacheStatusReporting::None, ..settings() });
        let homes = harness.homes();
        let objects: Vec<u64> = homes.iter().filter(|h| h.1 .0 == 1).map(|h| *h.0).collect();
        harness.now += Duration::from_secs(5);
        let started = harness.now;
        objects.iter().cycle().take(40).for_each(|o| {
            harness.now += Duration::from_millis(10);
            harness.serve(*o);
        });
        let gone = EndpointEntry { state: EndpointState::Gone, ..entry(1, 0, 0) };
        let new = EndpointEntry { started, in_place_of, ..entry(5, 0, 0) };
        harness.apply_list(ListKind::Delta, vec![gone, new]);
        (1_000..1_200).filter(|o| harness.serve(*o).endpoint == 5).count()
    };
    assert!(sent_after(None) > 0);
    assert_eq!(sent_after(Some(EndpointId(1))), 0);
}

/// Guards against rejecting the requests of a zone whose caches have all started anew: parents
/// serve directly what these may not get yet, as far as that is allowed, and the caches go on
/// warming up.
#[test]
fn requests_beyond_the_warm_up_budgets_bypass_the_caches() {
    let served = |bypass_edge_cache| {
        let mut harness = Harness::new(Settings { bypass_edge_cache, ..settings() });
        for object in 0..40 {
            harness.serve(object);
        }
        let cold = |i| EndpointEntry { started: START, ..entry(i, 0, 0) };
        harness.apply_list(ListKind::Delta, (1..=4).map(cold).collect());
        let mut endpoints = BTreeMap::new();
        for object in 1_000..1_200 {
            harness.now += Duration::from_millis(5);
            if let Some(s) = sent(&harness.request_part(object, 0, 0)) {
                let at = if s.endpoint < 10 { "cache" } else { "parent" };
                assert!(s.endpoint < 10 || s.fill.source == Some(EndpointId(31)), "{s:?}");
                *endpoints.entry(at).or_insert(0) += 1;
                harness.end_attempt(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
            }
        }
        (endpoints.get("cache").copied().unwrap_or(0), endpoints.get("parent").copied().unwrap_or(0))
    };
    let ((caches, parents), (alone, none)) = (served(true), served(false));
    assert!(caches + parents > 180 && caches >= alone, "{caches} at caches, {parents} at parents, of 200");
    assert!(alone < 150 && none == 0, "{alone} served without parents, {none} at them");
}
