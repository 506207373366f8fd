//! Bounds on the age of copies after purges.

mod common;

use common::{sent_attempt, settings, Harness, SentAttempt};
use hollymux_decision::time::MICROSECOND;
use hollymux_decision::*;
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn purges_bound_the_age_of_copies_until_endpoints_have_dropped_them() {
    let mut harness = Harness::new(settings());
    assert_eq!(harness.request(42).fill.max_age, None);
    let purge = |object, group, since| Event::Purged(Purge { since, object, group });
    harness.event(purge(Some(42), 1, Duration::from_millis(300)));
    let age = harness.request(42).fill.max_age.unwrap();
    assert!((MICROSECOND..Duration::from_millis(300)).contains(&age));
    assert_eq!(harness.request(43).fill.max_age, None);
    harness.event(purge(None, 7, Duration::ZERO));
    assert_eq!(
        harness.request(43).fill.max_age,
        Some(MICROSECOND),
        "the bound must not be zero, which would stand for no bound"
    );
    harness.now += Duration::from_secs(1);
    let sent = harness.request(43);
    let age = sent.fill.max_age.unwrap();
    assert!(
        age < Duration::from_secs(1) && age > Duration::from_millis(900),
        "the bound must grow with the time since the purge"
    );
    // A purge also bounds the later attempts of a request that was in flight when the purge
    // arrived.
    let before = harness.request(77);
    harness.event(purge(Some(77), 1, Duration::ZERO));
    let actions = harness.end_attempt(&before, 0, AttemptStatus::Full, Some(CacheStatus::NoFillPlace));
    assert_eq!(sent_attempt(&actions).unwrap().fill.max_age, Some(MICROSECOND));
    harness.now += Duration::from_secs(8);
    assert_eq!(harness.request(43).fill.max_age, None);
}

#[test]
fn the_purge_history_is_bounded_and_forgets_no_purge() {
    let mut harness = Harness::new(settings());
    for object in 0..50_000 {
        harness.event(Event::Purged(Purge { since: Duration::ZERO, object: Some(object + 1), group: 0 }));
    }
    for object in [1, 20_000, 50_000] {
        assert!(harness.request(object).fill.max_age.is_some());
    }
}

/// What happens to a request's attempt in the tests of all bounds: its outcome, and whether the fill
/// source failed, after which the request may be served a stale copy.
const OUTCOMES: [(AttemptStatus, Option<CacheStatus>, bool); 7] = [
    (AttemptStatus::Full, Some(CacheStatus::SourceRefused), true),
    (AttemptStatus::Full, Some(CacheStatus::SourceUnreachable), true),
    (AttemptStatus::Full, Some(CacheStatus::NoFillPlace), false),
    (AttemptStatus::Miss, None, false),
    (AttemptStatus::Error, None, false),
    (AttemptStatus::ConnectFailed, None, false),
    (AttemptStatus::Reset, None, false),
];

/// Checks that an attempt asks for no copy that is older than its class and the latest purge allow.
/// An absent bound stands for the fresh time of the class.
fn check_age(sent: &SentAttempt, class: &RequestClass, accepts_stale: bool, since_purge: Option<Duration>) {
    let expires = !class.fresh.is_zero();
    // A request that is shed for the origin is served from copies alone, without revalidation.
    let is_shed = expires && !sent.fill.stale_while_revalidate;
    let grace = if accepts_stale || is_shed { class.grace } else { Duration::ZERO };
    let age = sent.fill.max_age.or(expires.then_some(class.fresh));
    if expires {
        assert!(age <= Some(class.fresh + grace), "copies of {age:?}, of {class:?}, stale: {accepts_stale}");
    }
    if let Some(since_purge) = since_purge {
        assert!(age.is_some_and(|age| age <= since_purge), "copies of {age:?}, purged {since_purge:?} ago");
    }
}

proptest! {
    /// Guards against a bound on the age of copies that takes the place of another one: a purge
    /// allowed copies past their fresh time. All bounds hold at once, on the first attempt and on
    /// retries.
    #[test]
    fn every_bound_on_the_age_of_copies_holds_at_once(
        fresh_ms in prop::sample::select(vec![0_u64, 500, 5_000, 8_000]),
        grace_ms in prop::sample::select(vec![0_u64, 1_000, 30_000]),
        completion_ms in prop::sample::select(vec![0_u64, 6_000, 20_000]),
        purges_group in any::<bool>(),
        is_purged in any::<bool>(),
        elapsed_ms in 0_u64..25_000,
        outcomes in prop::collection::vec((0..OUTCOMES.len(), 0_u64..1_500), 0..4),
    ) {
        let mut settings = settings();
        settings.purge_completion_time = Duration::from_millis(completion_ms);
        settings.classes[0].fresh = Duration::from_millis(fresh_ms);
        settings.classes[0].grace = Duration::from_millis(grace_ms);
        let class = settings.classes[0].clone();
        let life = settings.purge_life();
        let mut harness = Harness::new(settings);
        let purged_at = harness.now;
        if is_purged {
            let object = (!purges_group).then_some(42);
            harness.event(Event::Purged(Purge { since: Duration::ZERO, object, group: 7 }));
        }
        harness.now += Duration::from_millis(elapsed_ms);
        // A purge bounds the age until the endpoints have dropped older copies; 1 us stands for none.
        let since_purge = |now: Timestamp| {
            let since = now.saturating_duration_since(purged_at);
            (is_purged && since < life).then_some(since.max(MICROSECOND))
        };
        let mut sent = harness.request(42);
        let mut accepts_stale = false;
        check_age(&sent, &class, accepts_stale, since_purge(harness.now));
        for (number, (outcome, wait_ms)) in outcomes.into_iter().enumerate() {
            let (status, cache_status, source_failed) = OUTCOMES[outcome];
            harness.now += Duration::from_millis(wait_ms);
            accepts_stale |= source_failed;
            let actions = harness.end_attempt(&sent, number as u16, status, cache_status);
            let Some(retry) = sent_attempt(&actions) else { break };
            check_age(&retry, &class, accepts_stale, since_purge(harness.now));
            sent = retry;
        }
    }
}
