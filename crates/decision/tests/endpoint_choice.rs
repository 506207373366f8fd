//! Choice of endpoint and fill source: hash order, replication and overload.

mod common;

use common::{endpoint_list, entry, final_answers, sent_attempt, settings, Harness, ORIGIN, PARENT};
use hollymux_decision::*;
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn an_unpopular_object_has_one_home_and_its_parts_are_spread() {
    let mut harness = Harness::new(settings());
    let homes: BTreeSet<u64> = (0..9).map(|_| harness.serve(42).endpoint).collect();
    assert_eq!(homes.len(), 1);
    let mut parts = BTreeSet::new();
    for part in 0..40 {
        let sent = sent_attempt(&harness.request_part(42, part, 0)).unwrap();
        harness.end_attempt(&sent, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
        parts.insert(sent.endpoint);
    }
    assert_eq!(parts, BTreeSet::from([1, 2, 3, 4]));
}

#[test]
fn home_parents_agree_across_zones_and_seeds() {
    let mut here = Harness::new(settings());
    let mut there = Harness::new(Settings { zone: 1, ..settings() });
    there.module = DecisionModule::new(Settings { zone: 1, ..settings() }, 99).unwrap();
    there.apply_list(ListKind::Full, endpoint_list());
    let (homes_here, homes_there) = (here.homes(), there.homes());
    assert!(homes_here.iter().all(|(object, home)| homes_there[object].1 == home.1));
    assert_eq!(homes_here.values().map(|home| home.1).collect::<BTreeSet<_>>(), BTreeSet::from([21, 22, 23]));
    assert!(homes_there.values().all(|home| home.0 == 11 || home.0 == 12));
}

#[test]
fn unavailable_endpoints_get_nothing_and_leave_other_homes_in_place() {
    for (id, zone, kind, is_cache) in [(2, 0, 0, true), (22, 2, PARENT, false)] {
        for state in [EndpointState::Draining, EndpointState::Gone] {
            let mut harness = Harness::new(settings());
            let before = harness.homes();
            let entry = EndpointEntry { state, ..entry(id, zone, kind) };
            harness.apply_list(ListKind::Delta, vec![entry]);
            let after = harness.homes();
            for (object, (cache, parent)) in &before {
                let (new_cache, new_parent) = after[object];
                assert!(
                    new_cache != id && new_parent != id,
                    "a {state:?} endpoint must get no requests and no fills"
                );
                assert!(if is_cache { new_parent == *parent } else { new_cache == *cache });
                assert!(*cache == id || new_cache == *cache);
                assert!(*parent == id || new_parent == *parent);
            }
        }
    }
}

#[test]
fn a_full_list_removes_endpoints_that_it_does_not_name() {
    let mut harness = Harness::new(settings());
    let mut all = endpoint_list();
    all.retain(|e| e.id != EndpointId(3));
    harness.apply_list(ListKind::Full, all);
    assert!(harness.homes().values().all(|h| h.0 != 3));
}

#[test]
fn a_popular_object_is_replicated_from_home_and_its_level_falls_again() {
    let mut harness = Harness::new(settings());
    let home = harness.serve(42).endpoint;
    let mut endpoints = BTreeSet::new();
    for i in 0..400 {
        let sent = harness.serve(if i % 2 == 0 { 42 } else { 5_000 + i });
        if i % 2 == 0 {
            endpoints.insert(sent.endpoint);
            if sent.endpoint != home {
                assert_eq!(
                    sent.fill.source,
                    Some(EndpointId(home)),
                    "extra copies must be filled from the home cache"
                );
                assert_eq!(sent.fill.retention, 1, "extra copies must have the lowest retention priority");
            }
        }
        harness.now += Duration::from_millis(20);
    }
    assert!(endpoints.len() >= 3, "{endpoints:?}");
    for i in 0..3_000 {
        harness.serve(9_000 + i);
        harness.now += Duration::from_millis(20);
    }
    assert!((0..20).all(|_| harness.serve(42).endpoint == home));
}

#[test]
fn small_samples_and_the_backlog_of_a_stall_raise_no_level() {
    let mut harness = Harness::new(settings());
    let home = harness.serve(42).endpoint;
    // Three of four requests of an interval are for one object: a large share of too few requests.
    for i in 0..3 {
        harness.serve(42);
        harness.now += Duration::from_millis(300);
        harness.serve(600 + i);
    }
    harness.now += Duration::from_secs(2);
    assert!((0..20).all(|_| harness.serve(42).endpoint == home));
    // A steady load is followed by a stall and its backlog, which is mostly for one object.
    let mut harness = Harness::new(settings());
    for i in 0..600 {
        harness.serve(5_000 + i);
        harness.now += Duration::from_millis(10);
    }
    harness.now += Duration::from_secs(5);
    for _ in 0..30 {
        harness.serve(42);
    }
    harness.now += Duration::from_secs(1);
    assert!((0..20).all(|_| harness.serve(42).endpoint == home));
}

#[test]
fn without_parents_a_sibling_of_another_zone_fills() {
    let mut harness = Harness::new(Settings { sibling_caches: SiblingCaches::Any, ..settings() });
    let gone = |id| EndpointEntry { state: EndpointState::Gone, ..entry(id, 2, PARENT) };
    harness.apply_list(ListKind::Delta, vec![gone(21), gone(22), gone(23)]);
    let sent = harness.request(42);
    assert!([11, 12].contains(&sent.fill.source.unwrap().0));
    let actions = harness.end_attempt(&sent, 0, AttemptStatus::Full, Some(CacheStatus::SourceLacks));
    assert!(sent_attempt(&actions).unwrap().fill.source.is_some());
    let mut harness = Harness::new(settings());
    harness.apply_list(ListKind::Delta, vec![gone(21), gone(22), gone(23)]);
    assert_eq!(
        harness.request(42).fill.source,
        Some(EndpointId(31)),
        "without sibling caches the origin must fill"
    );
}

#[test]
fn overload_overflows_to_other_caches_and_is_then_rejected() {
    let mut harness = Harness::new(settings());
    let home = harness.request(42).endpoint;
    let (mut overflowed, mut rejected) = (0, 0);
    for _ in 0..900 {
        let actions = harness.request_part(42, 0, 0);
        match sent_attempt(&actions) {
            Some(sent) => overflowed += usize::from(sent.endpoint != home),
            None => rejected += final_answers(&actions),
        }
    }
    assert!(overflowed > 0 && rejected > 0, "{overflowed} requests overflowed and {rejected} were rejected");
}

/// Guards against decisions that depend on the numbers of zones and kinds, or on state shared
/// between modules: with other numbers, and with two modules that take turns, the actions must be
/// the same as those of a single module.
#[test]
fn zone_numbers_kind_numbers_and_interleaving_change_no_action() {
    let renumber_entries = |entries: Vec<EndpointEntry>| -> Vec<EndpointEntry> {
        let renumber =
            |entry: EndpointEntry| EndpointEntry { zone: 2 - entry.zone, kind: entry.kind + 5, ..entry };
        entries.into_iter().map(renumber).collect()
    };
    let renumbered = Settings {
        zone: 2,
        router_count_by_zone: vec![0, 1, 1],
        parent_kind: Some(PARENT + 5),
        origin_kind: Some(ORIGIN + 5),
        ..settings()
    };
    let mut here = Harness::new(settings());
    let mut there = Harness::new(settings());
    there.module = DecisionModule::new(renumbered, 5).unwrap();
    there.apply_list(ListKind::Full, renumber_entries(endpoint_list()));
    let alone: Vec<_> = {
        let mut harness = Harness::new(settings());
        (0..300).map(|i| harness.request_part(i % 7, 0, 0)).collect()
    };
    for (i, expected) in (0..300).zip(alone) {
        let actions = here.request_part(i % 7, 0, 0);
        assert_eq!(actions, there.request_part(i % 7, 0, 0));
        assert_eq!(actions, expected);
    }
}
