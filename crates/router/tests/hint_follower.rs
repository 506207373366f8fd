//! Tests of requests that are routed by lookups at another router.

use hollymux_decision::{
    Action, CacheFill, EndpointId, Event, Purge, Request, RequestClass, Settings, Timestamp,
};
use hollymux_router::hint_follower::{HintFollower, HintedEndpoint};
use hollymux_router::LookupResult;
use std::time::Duration;

const START: Timestamp = Timestamp::from_micros(1_000_000_000);
const FRESH: Duration = Duration::from_secs(5);

/// The bound on the age of copies of the attempt that is sent this long after a purge, where the
/// hint has `hinted`.
fn max_age_after_purge(elapsed: Duration, hinted: Option<Duration>) -> Option<Duration> {
    let class = RequestClass { fresh: FRESH, deadline: FRESH, ..RequestClass::default() };
    let settings = Settings { classes: vec![class], max_attempts: 4, ..Settings::default() };
    let mut follower = HintFollower::new(settings);
    let mut actions = Vec::new();
    let purge = Purge { since: Duration::ZERO, object: Some(42), group: 3 };
    follower.handle(START, Event::Purged(purge), &mut actions);
    let now = START + elapsed;
    let request = Request { id: 1, object: 42, group: 3, deadline: now + FRESH, ..Request::default() };
    follower.handle(now, Event::Request(request), &mut actions);
    assert_eq!(follower.take_lookups(), [1]);
    let fill = CacheFill {
        source: None,
        retention: 0,
        max_age: hinted,
        coalesce: false,
        stale_while_revalidate: false,
        only_if_cached: false,
    };
    let hinted = HintedEndpoint { endpoint: EndpointId(7), fill };
    follower.on_lookup_result(now, 1, LookupResult::Endpoint(hinted), &mut actions);
    let sent = actions.iter().find_map(|action| match action {
        Action::Attempt { fill, .. } => Some(fill.max_age),
        _ => None,
    });
    sent.expect("no attempt was sent")
}

/// Guards against a purge that takes the place of the fresh time: the longer ago it was, the older
/// the copies that were asked for.
#[test]
fn a_purge_allows_no_copy_that_the_class_or_the_hint_does_not_allow() {
    let seconds = Duration::from_secs;
    // Purges are told in whole milliseconds, so the bound is a millisecond less.
    let after_purge = seconds(2) - Duration::from_millis(1);
    assert_eq!(max_age_after_purge(seconds(2), None), Some(after_purge));
    assert_eq!(max_age_after_purge(seconds(6), None), None);
    assert_eq!(max_age_after_purge(seconds(6), Some(seconds(3))), Some(seconds(3)));
    assert_eq!(max_age_after_purge(seconds(2), Some(seconds(3))), Some(after_purge));
}
