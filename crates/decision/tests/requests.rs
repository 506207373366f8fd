//! Retries and final answers, and events that are out of order or invalid.

mod common;

use common::{class, endpoint_list, final_answers, sent_attempt, settings, Harness, SentAttempt, START};
use hollymux_decision::*;
use std::time::Duration;

#[test]
fn requests_are_repeated_only_as_their_idempotency_allows() {
    let with = |idempotency, scope| {
        let classes = vec![RequestClass { idempotency, scope, write: true, ..class() }];
        Harness::new(Settings { classes, ..settings() })
    };
    // Without idempotency there is neither a retry nor a rejection once an attempt may have run;
    // before that, both are allowed.
    let mut harness = with(Idempotency::NotIdempotent, DeduplicationScope::All);
    let sent = harness.request(42);
    let actions = harness.end_attempt(&sent, 0, AttemptStatus::Reset, None);
    assert!(sent_attempt(&actions).is_none());
    assert!(actions.contains(&Action::Fail { request: sent.id }));
    let sent = harness.request(43);
    assert!(sent_attempt(&harness.end_attempt(&sent, 0, AttemptStatus::ConnectFailed, None)).is_some());
    // With an idempotency key, retries are allowed only in the cell of the first attempt, and only
    // within the idempotency window.
    let mut harness = with(Idempotency::WithKey, DeduplicationScope::Cell);
    let mut entries = endpoint_list();
    entries[..4].iter_mut().zip(1..).for_each(|(entry, cell)| entry.cell = cell);
    harness.apply_list(ListKind::Full, entries);
    let sent = harness.request(42);
    let actions = harness.end_attempt(&sent, 0, AttemptStatus::Error, None);
    assert!(sent_attempt(&actions).is_none_or(|retry| retry.endpoint == sent.endpoint));
    let mut harness = with(Idempotency::WithKey, DeduplicationScope::All);
    let sent = harness.request(42);
    harness.now += Duration::from_secs(2);
    assert!(sent_attempt(&harness.end_attempt(&sent, 0, AttemptStatus::Error, None)).is_some());
    let sent = harness.request(43);
    harness.now += Duration::from_secs(3);
    let actions = harness.end_attempt(&sent, 0, AttemptStatus::Error, None);
    assert!(sent_attempt(&actions).is_none() && final_answers(&actions) == 1);
    // Writes are sent on to the origin and leave no copy.
    let sent = harness.request(44);
    assert_eq!((sent.fill.source, sent.fill.retention), (Some(EndpointId(31)), 0));
}

#[test]
fn requests_that_are_given_up_are_answered_at_once() {
    let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() });
    let sent = harness.request(42);
    let actions = harness.end_attempt(&sent, 0, AttemptStatus::Full, Some(CacheStatus::NoFillPlace));
    let delays = Duration::from_millis(200)..=Duration::from_millis(400);
    let is_rejection_with_delay = |action: &Action| match action {
        Action::Reject { retry_after, .. } => delays.contains(retry_after),
        _ => false,
    };
    assert!(actions.iter().any(is_rejection_with_delay), "{actions:?}");
    // Without any endpoint, requests are answered at once as well.
    let mut harness = Harness::new(settings());
    harness.apply_list(ListKind::Full, vec![]);
    assert_eq!(final_answers(&harness.request_part(42, 0, 0)), 1);
    assert_eq!(
        final_answers(&harness.request_part(42, 0, 9)),
        1,
        "a request of an unknown class must be answered at once"
    );
}

#[test]
fn an_overdue_attempt_at_a_silent_cache_is_moved() {
    for hedging_allowed in [false, true] {
        let mut harness = Harness::new(Settings { hedging_allowed, ..settings() });
        // The caches respond often, so that a cache's silence is evidence of its failure.
        harness.homes();
        harness.homes();
        let actions = harness.request_part(42, 0, 0);
        let sent = sent_attempt(&actions).unwrap();
        let overdue_timer = actions.iter().find_map(|a| match a {
            Action::Timer { after, token } if token & 0xffff == 0 => Some((*after, *token)),
            _ => None,
        });
        let (after, token) = overdue_timer.unwrap();
        harness.now += after;
        let actions = harness.event(Event::Timer { token });
        if hedging_allowed {
            assert_ne!(sent_attempt(&actions).unwrap().endpoint, sent.endpoint);
        } else {
            assert!(
                sent_attempt(&actions).is_none(),
                "without hedged requests only one attempt may be in flight"
            );
            assert!(actions.contains(&Action::cancel(sent.id, 0)));
            let actions = harness.end_attempt(&sent, 0, AttemptStatus::Cancelled, None);
            assert_ne!(sent_attempt(&actions).unwrap().endpoint, sent.endpoint);
        }
    }
}

/// Guards against retries of a failed origin through other parents. One retry is made for a stale
/// copy, where the class allows stale copies.
#[test]
fn a_failed_origin_is_not_retried_through_every_parent() {
    let mut harness = Harness::new(settings());
    let sent = harness.request(42);
    let actions = harness.end_attempt(&sent, 0, AttemptStatus::Full, Some(CacheStatus::OriginFailed));
    assert!(sent_attempt(&actions).is_none() && final_answers(&actions) == 1);
    let classes =
        vec![RequestClass { fresh: Duration::from_secs(8), grace: Duration::from_secs(10), ..class() }];
    let mut harness = Harness::new(Settings { classes, ..settings() });
    let sent = harness.request(42);
    assert!(sent.fill.stale_while_revalidate && sent.fill.max_age.is_none());
    let actions = harness.end_attempt(&sent, 0, AttemptStatus::Full, Some(CacheStatus::OriginFailed));
    let retry = sent_attempt(&actions).unwrap();
    assert_eq!(retry.fill.max_age, Some(Duration::from_secs(18)));
    let actions = harness.end_attempt(&retry, 1, AttemptStatus::Full, Some(CacheStatus::OriginFailed));
    assert!(sent_attempt(&actions).is_none() && final_answers(&actions) == 1);
}

#[test]
fn unknown_and_late_events_are_ignored() {
    let mut harness = Harness::new(settings());
    let sent = harness.serve(42);
    assert!(harness.end_attempt(&sent, 0, AttemptStatus::Ok, None).is_empty());
    assert!(harness.end_attempt(&sent, 7, AttemptStatus::Reset, None).is_empty());
    let of_unknown_request = SentAttempt { id: 9_999, ..sent.clone() };
    assert!(harness.end_attempt(&of_unknown_request, 0, AttemptStatus::Ok, None).is_empty());
    assert!(harness.event(Event::Withdrawn { request: 9_999 }).is_empty());
    assert!(harness.event(Event::Timer { token: 77 << 16 }).is_empty());
    assert!(harness.event(Event::Timer { token: u64::from(sent.id) << 16 | 0xffff }).is_empty());
}

#[test]
fn errors_of_invalid_settings_name_the_field() {
    let error_of = |settings: Settings| DecisionModule::new(settings, 1).unwrap_err().to_string();
    assert!(error_of(Settings { router_count: 0, ..settings() }).contains("dispatchers"));
    assert!(error_of(Settings { max_attempts: 0, ..settings() }).contains("max_attempts"));
    assert!(error_of(Settings { warm_up_floor: 1.5, ..settings() }).contains("cold_from"));
    assert!(error_of(Settings { flow_kb_per_s: f64::NAN, ..settings() }).contains("flow_kb_per_s"));
    let classes = vec![RequestClass { priority_weight: -1.0, ..class() }];
    assert!(error_of(Settings { classes, ..settings() }).contains("classes[0].worth"));
}

#[test]
fn discovery_by_subscription_subscribes_again_after_a_failure() {
    let mut module = DecisionModule::new(Settings { discovery: Discovery::Ask, ..settings() }, 1).unwrap();
    let mut actions = Vec::new();
    let list = Event::EndpointList { kind: ListKind::Cached, entries: endpoint_list() };
    module.handle(START, list, &mut actions);
    assert_eq!(actions, [Action::Subscribe]);
    actions.clear();
    module.handle(START, Event::EndpointListFailed, &mut actions);
    let [Action::Timer { token, .. }] = actions[..] else { panic!("{actions:?}") };
    actions.clear();
    module.handle(START + Duration::from_secs(1), Event::Timer { token }, &mut actions);
    assert_eq!(actions, [Action::Subscribe]);
}
