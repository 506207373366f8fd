//! Property test of the lifecycle of the router process under any order of signals, admin calls and
//! takeovers.

use hollymux_decision::Timestamp;
use hollymux_router::lifecycle::{Event, Lifecycle, SHUTDOWN_LINGER};
use proptest::prelude::*;
use std::time::Duration;

const EVENTS: [Event; 6] =
    [Event::Started, Event::Standby, Event::Active, Event::Replaced, Event::SuccessorGone, Event::Stop];
/// Times after an event, in milliseconds, at which the lifecycle is checked. They lie on both sides
/// of each of its limits.
const LOOK_AHEAD_MS: [u64; 8] = [0, 399, 400, 699, 700, 1_999, 2_000, 3_900];
const LONGEST_DEADLINES: [Duration; 3] =
    [Duration::from_micros(1), Duration::from_millis(500), Duration::from_secs(5)];
const MAX_SHUTDOWN_GRACE: Duration = Duration::from_secs(3);

/// The state that follows from the events so far, tracked independently of the lifecycle under
/// test.
#[derive(Default)]
struct Expected {
    started: bool,
    standby_since: Option<Timestamp>,
    replaced: bool,
    stopping_since: Option<Timestamp>,
}

impl Expected {
    fn apply(&mut self, now: Timestamp, event: Event, accepted: bool) {
        match event {
            Event::Started => self.started = true,
            Event::Standby => self.standby_since = self.standby_since.or(Some(now)),
            Event::Active if accepted => self.standby_since = None,
            Event::Active => {}
            Event::Replaced => self.replaced = true,
            Event::SuccessorGone => self.replaced = false,
            Event::Stop => self.stopping_since = self.stopping_since.or(Some(now)),
        }
    }

    fn is_ready(&self) -> bool {
        let undisturbed = self.standby_since.is_none() && !self.replaced && self.stopping_since.is_none();
        self.started && undisturbed
    }

    fn killed_at(&self, longest: Duration) -> Option<Timestamp> {
        let grace = longest.min(MAX_SHUTDOWN_GRACE) + Duration::from_millis(700);
        self.stopping_since.map(|since| since + grace)
    }
}

/// Checks what must hold at the time `then` if no event comes until then.
fn check_at(lifecycle: &Lifecycle, expected: &Expected, then: Timestamp) -> Result<(), TestCaseError> {
    if lifecycle.is_ready() {
        prop_assert!(
            lifecycle.accepts_connections(then)
                && lifecycle.serves_requests(then, Duration::from_secs(1))
                && lifecycle.keeps_idle_connection(then, None)
        );
    }
    prop_assert!(
        !(lifecycle.accepts_connections(then) && expected.replaced),
        "two processes accept the same connections"
    );
    // A client that connects is accepted by this process or by another one, or the process has
    // stopped accepting.
    let exited = expected.stopping_since.is_some_and(|since| then >= since + SHUTDOWN_LINGER);
    prop_assert_eq!(lifecycle.accepts_connections(then), expected.started && !expected.replaced && !exited);
    if let Some(since) = expected.standby_since.filter(|since| then >= *since + Duration::from_secs(2)) {
        let serves = lifecycle.serves_requests(then, Duration::from_secs(1));
        prop_assert!(!serves, "requests are served although the process is in standby since {:?}", since);
    }
    if expected.standby_since.is_some_and(|since| then >= since + Duration::from_millis(400)) {
        prop_assert!(!lifecycle.keeps_idle_connection(then, None));
        prop_assert!(
            !lifecycle.keeps_idle_connection(then, Some(then.saturating_sub(Duration::from_millis(100))))
        );
    }
    if exited {
        prop_assert!(!lifecycle.keeps_idle_connection(then, None) && lifecycle.has_lingered(then));
        // A request that is accepted after the linger ends before the process can be killed.
        for longest in LONGEST_DEADLINES {
            let ends_by = lifecycle.ends_by(longest);
            prop_assert_eq!(ends_by.is_some(), expected.replaced);
            prop_assert!(ends_by < expected.killed_at(longest));
            let too_late = ends_by.is_some_and(|end| then >= end);
            prop_assert!(!(too_late && lifecycle.serves_requests(then, longest)));
        }
    }
    Ok(())
}

/// Generates events, each as an index into [`EVENTS`] and the wait before it in milliseconds.
fn steps() -> impl Strategy<Value = Vec<(usize, u64)>> {
    proptest::collection::vec((0usize..6, 0u64..3_000), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a router that reports readiness although it is in standby, stopping or not
    /// accepting connections, against connections that it neither serves nor closes, and against a
    /// stop that can be revoked.
    #[test]
    fn a_router_that_serves_nobody_is_never_ready(steps in steps()) {
        let mut lifecycle = Lifecycle::default();
        let mut expected = Expected::default();
        let mut now = Timestamp::from_micros(1);
        for (event, wait_ms) in steps {
            now += Duration::from_millis(wait_ms);
            let event = EVENTS[event];
            let accepted = lifecycle.apply(now, event);
            prop_assert_eq!(accepted, event != Event::Active || expected.stopping_since.is_none());
            expected.apply(now, event, accepted);
            prop_assert_eq!(lifecycle.is_ready(), expected.is_ready());
            for ahead in LOOK_AHEAD_MS {
                check_at(&lifecycle, &expected, now + Duration::from_millis(ahead))?;
            }
            // Idle connections are closed from some time on exactly if the process is in standby or
            // stopping.
            let closes_connections = expected.standby_since.is_some() || expected.stopping_since.is_some();
            prop_assert_eq!(lifecycle.closes_idle_connections_from().is_some(), closes_connections);
        }
    }
}
