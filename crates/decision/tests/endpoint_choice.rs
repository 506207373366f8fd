//! Which endpoint and fill source a request gets: hash order, replication, overload.

mod common;

use common::{endpoint_list, entry, final_answers, sent, settings, Harness, ORIGIN, PARENT};
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
        let s = sent(&harness.request_part(42, part, 0)).unwrap();
        harness.end_attempt(&s, 0, AttemptStatus::Ok, Some(CacheStatus::Hit));
        parts.insert(s.endpoint);
    }
    assert_eq!(parts, BTreeSet::from([1, 2, 3, 4]));
}

#[test]
fn home_parents_agree_across_zones_and_seeds() {
    let mut here = Harness::new(settings());
    let mut there = Harness::new(Settings { zone: 1, ..settings() });
    there.module = DecisionModule::new(Settings { zone: 1, ..settings() }, 99).unwrap();
    there.apply_list(ListKind::Full, endpoint_list());
    let (a, b) = (here.homes(), there.homes());
    assert!(a.iter().all(|(k, v)| b[k].1 == v.1));
    assert_eq!(a.values().map(|v| v.1).collect::<BTreeSet<_>>(), BTreeSet::from([21, 22, 23]));
    assert!(b.values().all(|v| v.0 == 11 || v.0 == 12));
}

#[test]
fn skipped_endpoints_leave_the_others_in_place() {
    for (id, zone, kind, is_cache) in [(2, 0, 0, true), (22, 2, PARENT, false)] {
        for state in [EndpointState::Draining, EndpointState::Gone] {
            let mut harness = Harness::new(settings());
            let before = harness.homes();
            let entry = EndpointEntry { state, ..entry(id, zone, kind) };
            harness.apply_list(ListKind::Delta, vec![entry]);
            let after = harness.homes();
            for (k, (cache, parent)) in &before {
                let (c, p) = after[k];
                assert!(c != id && p != id, "nothing new for a {state:?} endpoint");
                assert!(if is_cache { p == *parent } else { c == *cache });
                assert!(*cache == id || c == *cache);
                assert!(*parent == id || p == *parent);
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
        let s = harness.serve(if i % 2 == 0 { 42 } else { 5_000 + i });
        if i % 2 == 0 {
            endpoints.insert(s.endpoint);
            if s.endpoint != home {
                assert_eq!(s.fill.source, Some(EndpointId(home)), "extra copies come from home");
                assert_eq!(s.fill.retention, 1, "and have the lowest retention priority");
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
    // Three of four requests in an interval: a large share of too few.
    for i in 0..3 {
        harness.serve(42);
        harness.now += Duration::from_millis(300);
        harness.serve(600 + i);
    }
    harness.now += Duration::from_secs(2);
    assert!((0..20).all(|_| harness.serve(42).endpoint == home));
    // A steady load, then a stall, then its backlog, mostly of one object.
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
fn with_all_parents_gone_a_sibling_of_another_zone_fills() {
    let mut harness = Harness::new(Settings { sibling_caches: SiblingCaches::Any, ..settings() });
    let gone = |id| EndpointEntry { state: EndpointState::Gone, ..entry(id, 2, PARENT) };
    harness.apply_list(ListKind::Delta, vec![gone(21), gone(22), gone(23)]);
    let s = harness.request(42);
    assert!([11, 12].contains(&s.fill.source.unwrap().0));
    let actions = harness.end_attempt(&s, 0, AttemptStatus::Full, Some(CacheStatus::SourceLacks));
    assert!(sent(&actions).unwrap().fill.source.is_some());
    let mut harness = Harness::new(settings());
    harness.apply_list(ListKind::Delta, vec![gone(21), gone(22), gone(23)]);
    assert_eq!(harness.request(42).fill.source, Some(EndpointId(31)), "else the origin does");
}

#[test]
fn overload_overflows_to_stand_ins_and_is_then_rejected() {
    let mut harness = Harness::new(settings());
    let home = harness.request(42).endpoint;
    let (mut stood_in, mut refused) = (0, 0);
    for _ in 0..900 {
        let actions = harness.request_part(42, 0, 0);
        match sent(&actions) {
            Some(s) => stood_in += usize::from(s.endpoint != home),
            None => refused += final_answers(&actions),
        }
    }
    assert!(stood_in > 0 && refused > 0, "{stood_in} {refused}");
}

/// Names carry no meaning: other numbers for zones and kinds give the same actions, and instances
/// that take turns act as each would alone.
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
    let mut here = Harness::new(settings());
    let mut there = Harness::new(settings());
    there.module = DecisionModule::new(renamed, 5).unwrap();
    there.apply_list(ListKind::Full, moved(endpoint_list()));
    let alone: Vec<_> = {
        let mut harness = Harness::new(settings());
        (0..300).map(|i| harness.request_part(i % 7, 0, 0)).collect()
    };
    for (i, want) in (0..300).zip(alone) {
        let a = here.request_part(i % 7, 0, 0);
        assert_eq!(a, there.request_part(i % 7, 0, 0));
        assert_eq!(a, want);
    }
}
