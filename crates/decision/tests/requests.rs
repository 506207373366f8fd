//! Retries and final answers of requests, and events that are out of place.

mod common;

use common::{class, endpoint_list, final_answers, sent, settings, Harness, Sent, START};
use hollymux_decision::*;
use std::time::Duration;

#[test]
fn requests_are_repeated_only_as_their_idempotency_allows() {
    let with = |idempotency, scope| {
        let mut s = settings();
        s.classes = vec![RequestClass { idempotency, scope, write: true, ..class() }];
        Harness::new(s)
    };
    // Not idempotent: no second attempt and no rejection once it may have run; both before.
    let mut harness = with(Idempotency::NotIdempotent, DeduplicationScope::All);
    let s = harness.request(42);
    let actions = harness.end_attempt(&s, 0, AttemptStatus::Reset, None);
    assert!(sent(&actions).is_none());
    assert!(actions.contains(&Action::Fail { request: s.id }));
    let s = harness.request(43);
    assert!(sent(&harness.end_attempt(&s, 0, AttemptStatus::ConnectFailed, None)).is_some());
    // With a key: in its own cell only, and only within the window.
    let mut harness = with(Idempotency::WithKey, DeduplicationScope::Cell);
    let mut cells = endpoint_list();
    cells[..4].iter_mut().zip(1..).for_each(|(e, cell)| e.cell = cell);
    harness.apply_list(ListKind::Full, cells);
    let s = harness.request(42);
    let again = harness.end_attempt(&s, 0, AttemptStatus::Error, None);
    assert!(sent(&again).is_none_or(|a| a.endpoint == s.endpoint));
    let mut harness = with(Idempotency::WithKey, DeduplicationScope::All);
    let s = harness.request(42);
    harness.now += Duration::from_secs(2);
    assert!(sent(&harness.end_attempt(&s, 0, AttemptStatus::Error, None)).is_some());
    let s = harness.request(43);
    harness.now += Duration::from_secs(3);
    let late = harness.end_attempt(&s, 0, AttemptStatus::Error, None);
    assert!(sent(&late).is_none() && final_answers(&late) == 1);
    // Writes go to the origin and leave no copy.
    let s = harness.request(44);
    assert_eq!((s.fill.source, s.fill.retention), (Some(EndpointId(31)), 0));
}

#[test]
fn requests_given_up_are_answered_at_once() {
    let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() });
    let s = harness.request(42);
    let actions = harness.end_attempt(&s, 0, AttemptStatus::Full, Some(CacheStatus::NoFillPlace));
    let told = Duration::from_millis(200)..=Duration::from_millis(400);
    let advised = |a: &Action| matches!(a, Action::Refuse { retry_after, .. } if told.contains(retry_after));
    assert!(actions.iter().any(advised), "{actions:?}");
    // There is no endpoint at all.
    let mut harness = Harness::new(settings());
    harness.apply_list(ListKind::Full, vec![]);
    assert_eq!(final_answers(&harness.request_part(42, 0, 0)), 1);
    assert_eq!(final_answers(&harness.request_part(42, 0, 9)), 1, "nor a class that there is not");
}

#[test]
fn an_overdue_attempt_at_a_silent_cache_is_moved() {
    for hedging_allowed in [false, true] {
        let mut harness = Harness::new(Settings { hedging_allowed, ..settings() });
        // Its caches respond often: their silence is evidence.
        harness.homes();
        harness.homes();
        let actions = harness.request_part(42, 0, 0);
        let s = sent(&actions).unwrap();
        let look = actions.iter().find_map(|a| match a {
            Action::Timer { after, token } if token & 0xffff == 0 => Some((*after, *token)),
            _ => None,
        });
        let (after, token) = look.unwrap();
        harness.now += after;
        let actions = harness.event(Event::Timer { token });
        if hedging_allowed {
            assert_ne!(sent(&actions).unwrap().endpoint, s.endpoint);
        } else {
            assert!(sent(&actions).is_none(), "never two at once");
            assert!(actions.contains(&Action::cancel(s.id, 0)));
            let actions = harness.end_attempt(&s, 0, AttemptStatus::Cancelled, None);
            assert_ne!(sent(&actions).unwrap().endpoint, s.endpoint);
        }
    }
}

/// A failed origin is not retried through other parents; a stale copy is requested once.
#[test]
fn a_failed_origin_is_not_retried_through_every_parent() {
    let mut harness = Harness::new(settings());
    let s = harness.request(42);
    let actions = harness.end_attempt(&s, 0, AttemptStatus::Full, Some(CacheStatus::OriginFailed));
    assert!(sent(&actions).is_none() && final_answers(&actions) == 1);
    let classes =
        vec![RequestClass { fresh: Duration::from_secs(8), grace: Duration::from_secs(10), ..class() }];
    let mut harness = Harness::new(Settings { classes, ..settings() });
    let s = harness.request(42);
    assert!(s.fill.stale_while_revalidate && s.fill.max_age.is_none());
    let again =
        sent(&harness.end_attempt(&s, 0, AttemptStatus::Full, Some(CacheStatus::OriginFailed))).unwrap();
    assert_eq!(again.fill.max_age, Some(Duration::from_secs(18)));
    let actions = harness.end_attempt(&again, 1, AttemptStatus::Full, Some(CacheStatus::OriginFailed));
    assert!(sent(&actions).is_none() && final_answers(&actions) == 1);
}

#[test]
fn unknown_and_late_events_are_ignored() {
    let mut harness = Harness::new(settings());
    let s = harness.serve(42);
    assert!(harness.end_attempt(&s, 0, AttemptStatus::Ok, None).is_empty());
    assert!(harness.end_attempt(&s, 7, AttemptStatus::Reset, None).is_empty());
    let nobody = Sent { id: 9_999, ..s.clone() };
    assert!(harness.end_attempt(&nobody, 0, AttemptStatus::Ok, None).is_empty());
    assert!(harness.event(Event::Withdrawn { request: 9_999 }).is_empty());
    assert!(harness.event(Event::Timer { token: 77 << 16 }).is_empty());
    assert!(harness.event(Event::Timer { token: u64::from(s.id) << 16 | 0xffff }).is_empty());
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
fn discovery_by_subscription_subscribes_again_after_a_failure() {
    let mut module = DecisionModule::new(Settings { discovery: Discovery::Ask, ..settings() }, 1).unwrap();
    let mut actions = Vec::new();
    let endpoints = Event::EndpointList { kind: ListKind::Cached, entries: endpoint_list() };
    module.handle(START, endpoints, &mut actions);
    assert_eq!(actions, [Action::Subscribe]);
    actions.clear();
    module.handle(START, Event::EndpointListFailed, &mut actions);
    let [Action::Timer { token, .. }] = actions[..] else { panic!("{actions:?}") };
    actions.clear();
    module.handle(START + Duration::from_secs(1), Event::Timer { token }, &mut actions);
    assert_eq!(actions, [Action::Subscribe]);
}
