//! Bounds on the age of copies after purges.

mod common;

use common::{sent_attempt, settings, Harness};
use hollymux_decision::time::MICROSECOND;
use hollymux_decision::*;
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
