//! What the router is to its clients, under any order of signals, calls and replacements.

use hollymux_decision::Timestamp;
use hollymux_router::lifecycle::*;
use proptest::prelude::*;
use std::time::Duration;

const EVENTS: [Event; 6] =
    [Event::Began, Event::Standby, Event::Active, Event::Replaced, Event::Alone, Event::Stop];

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a yes from a router that is emptied, ends or takes nobody; against connections that it
    /// neither serves nor lets go; and against a way back from an end.
    #[test]
    fn no_state_says_yes_and_takes_nobody(steps in proptest::collection::vec((0usize..6, 0u64..3_000), 1..40)) {
        let (mut life, mut now, mut began, mut stopped) = (Lifecycle::default(), Timestamp::from_micros(1), false, None);
        let (mut standby, mut replaced) = (None, false);
        for (event, wait) in steps {
            now += Duration::from_millis(wait);
            let event = EVENTS[event];
            let done = life.on(now, event);
            prop_assert_eq!(done, event != Event::Active || stopped.is_none());
            match event {
                Event::Began => began = true,
                Event::Standby => standby = standby.or(Some(now)),
                Event::Active if done => standby = None,
                Event::Active => {}
                Event::Replaced => replaced = true,
                Event::Alone => replaced = false,
                Event::Stop => stopped = stopped.or(Some(now)),
            }
            let quiet = standby.is_none() && !replaced && stopped.is_none();
            prop_assert_eq!(life.ready(), began && quiet);
            for ahead in [0, 399, 400, 699, 700, 1_999, 2_000, 3_900] {
                let then = now + Duration::from_millis(ahead);
                if life.ready() {
                    prop_assert!(life.accepts(then) && life.serves(then, Duration::from_secs(1)) && life.stays(then, None));
                }
                prop_assert!(!(life.accepts(then) && replaced), "two processes take the same connections");
                // Whoever connects is taken by this process, by another one, or finds that it has ended.
                let ended = stopped.is_some_and(|at| then >= at + LINGER);
                prop_assert_eq!(life.accepts(then), began && !replaced && !ended);
                if let Some(at) = standby.filter(|at| then >= *at + Duration::from_secs(2)) {
                    prop_assert!(!life.serves(then, Duration::from_secs(1)), "a connection that never pauses is held from {:?}", at);
                }
                if standby.is_some_and(|at| then >= at + Duration::from_millis(400)) {
                    prop_assert!(!life.stays(then, None));
                    prop_assert!(!life.stays(then, Some(then.saturating_sub(Duration::from_millis(100)))));
                }
                if stopped.is_some_and(|at| then >= at + LINGER) {
                    prop_assert!(!life.stays(then, None) && life.lingered(then));
                    // What is taken late is ended before the process can be killed over it.
                    let killed = |longest: Duration| stopped.map(|at| at + longest.min(Duration::from_secs(3)) + Duration::from_millis(700));
                    for longest in [Duration::from_micros(1), Duration::from_millis(500), Duration::from_secs(5)] {
                        let ends = life.ends_by(longest);
                        prop_assert_eq!(ends.is_some(), replaced);
                        prop_assert!(ends < killed(longest));
                        let late = ends.is_some_and(|by| then >= by);
                        prop_assert!(!(late && life.serves(then, longest)));
                    }
                }
            }
            // There is a time at which it looks after those it has to let go.
            prop_assert_eq!(life.empties_at().is_some(), standby.is_some() || stopped.is_some());
        }
    }
}
