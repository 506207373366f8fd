//! Rules that must hold under random events.

mod common;

use common::{class, endpoint_list, settings, Harness};
use hollymux_decision::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STATUSES: [AttemptStatus; 8] = [
    AttemptStatus::Ok,
    AttemptStatus::Miss,
    AttemptStatus::Error,
    AttemptStatus::Full,
    AttemptStatus::Timeout,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Reset,
    AttemptStatus::Cancelled,
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Random lawful events: one final answer each, nothing sent after it or to an endpoint that
    /// drains, no two attempts at once where that is forbidden, no repeated effect, and the same
    /// again from the same seed.
    #[test]
    fn random_events_keep_the_rules(
        steps in prop::collection::vec((0u8..6, any::<u64>()), 50..400),
        hedging_allowed: bool,
        idempotency in prop::sample::select(vec![Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NotIdempotent]),
        bypass_edge_cache: bool,
        notes in prop::sample::select(vec![CacheStatusReporting::None, CacheStatusReporting::Hit, CacheStatusReporting::All]),
    ) {
        let classes = vec![RequestClass { idempotency, scope: DeduplicationScope::Zone, ..class() }];
        let s = Settings { hedging_allowed, bypass_edge_cache, cache_status_reporting: notes, classes, ..settings() };
        let mut harnesses = [Harness::new(s.clone()), Harness::new(s)];
        let mut shut: BTreeSet<u64> = BTreeSet::new();
        // Per request: attempts out, how many were sent, whether one may have run, whether it has
        // ended.
        let mut open: BTreeMap<RequestId, (BTreeMap<u16, u64>, u16, bool, bool)> = BTreeMap::new();
        let mut timers: Vec<(Timestamp, u64)> = Vec::new();
        let mut deadlines: BTreeMap<RequestId, Timestamp> = BTreeMap::new();
        let last = (9u8, 0u64);
        for (kind, x) in steps.into_iter().chain([last]) {
            let now = harnesses[0].now + Duration::from_micros(x % 80_000);
            let mut events = Vec::new();
            timers.sort();
            let until = if kind == 9 { now + Duration::from_secs(60) } else { now };
            // Timers that fall due come first, at their time.
            let due: Vec<_> = timers.iter().copied().filter(|t| t.0 <= until).collect();
            timers.retain(|t| t.0 > until);
            events.extend(due.into_iter().map(|(at, token)| (at, Event::Timer { token })));
            let busy = open.iter().find_map(|(id, o)| {
                o.0.iter().nth(x as usize % 3).map(|(n, h)| (*id, *n, *h, o.3))
            });
            match (kind, busy) {
                (0 | 1, _) => {
                    let id = harnesses[0].last_request + 1;
                    harnesses.iter_mut().for_each(|b| b.last_request = id);
                    let deadline = now + Duration::from_millis(500) + Duration::from_micros(x % 3_000_000);
                    open.insert(id, Default::default());
                    deadlines.insert(id, deadline);
                    events.push((now, Event::Request(Request {
                        id, class: 0, object: x % 20, part: 0, group: 3, size_kb: None, deadline,
                        repeat: false, write: false,
                    })));
                }
                (2 | 3, Some((request, attempt, endpoint, done))) => {
                    let status = STATUSES[(x >> 8) as usize % STATUSES.len()];
                    let ended = done || status == AttemptStatus::Ok;
                    events.push((now, Event::AttemptOutcome(AttemptOutcome {
                        request, attempt, endpoint: EndpointId(endpoint), latency: Duration::from_micros(x % 1_000_000),
                        status, ended, note: None, work: None,
                    })));
                }
                (4, _) => {
                    let mut e = endpoint_list().swap_remove(x as usize % 10);
                    e.state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone][(x >> 8) as usize % 3];
                    e.started = if x % 2 == 0 { now } else { Timestamp::ZERO };
                    events.push((now, Event::EndpointList { kind: ListKind::Delta, entries: vec![e] }));
                }
                (5, _) => {
                    let object = (x % 3 > 0).then_some(x % 20 + 1);
                    let since = Duration::from_micros(x % 1_000_000);
                    events.push((now, Event::Purged(Purge { since, object, group: 3 })));
                }
                _ => {}
            }
            for (at, event) in events {
                for b in harnesses.iter_mut() {
                    b.now = at.max(b.now);
                }
                if let Event::EndpointList { entries, .. } = &event {
                    let e = &entries[0];
                    shut.remove(&e.id.0);
                    if e.state != EndpointState::Ready {
                        shut.insert(e.id.0);
                    }
                }
                if let Event::AttemptOutcome(o) = &event {
                    let r = open.get_mut(&o.request).unwrap();
                    r.0.remove(&o.attempt);
                    let proven = [AttemptStatus::Miss, AttemptStatus::Full, AttemptStatus::ConnectFailed];
                    r.2 |= !proven.contains(&o.status);
                    r.3 |= o.ended;
                }
                let actions = harnesses[0].event(event.clone());
                prop_assert_eq!(&actions, &harnesses[1].event(event));
                for a in actions {
                    match a {
                        Action::Attempt { request, endpoint, fill, .. } => {
                            let r = open.get_mut(&request).unwrap();
                            prop_assert!(!r.3, "sent after the end");
                            prop_assert!(!shut.contains(&endpoint.0) && fill.source.is_none_or(|s| !shut.contains(&s.0)));
                            prop_assert!(hedging_allowed || r.0.is_empty(), "two at once");
                            prop_assert!(idempotency != Idempotency::NotIdempotent || (!r.2 && r.0.is_empty()));
                            prop_assert!(r.1 < 4, "the attempt limit");
                            prop_assert!(bypass_edge_cache || endpoint.0 <= 4, "own caches only");
                            r.0.insert(r.1, endpoint.0);
                            r.1 += 1;
                        }
                        Action::Refuse { request, .. } => {
                            let r = open.get_mut(&request).unwrap();
                            prop_assert!(!std::mem::replace(&mut r.3, true), "answered twice");
                            prop_assert!(idempotency == Idempotency::Idempotent || (!r.2 && r.0.is_empty()));
                        }
                        Action::Fail { request } => {
                            let r = open.get_mut(&request).unwrap();
                            prop_assert!(!std::mem::replace(&mut r.3, true), "answered twice");
                        }
                        Action::Cancel { request, attempt } => {
                            prop_assert!(attempt < open[&request].1);
                        }
                        Action::Timer { after, token } => timers.push((harnesses[0].now + after, token)),
                        _ => {}
                    }
                }
                for (id, r) in &open {
                    prop_assert!(r.3 || harnesses[0].now <= deadlines[id] + Duration::from_millis(100), "left without an answer");
                }
            }
        }
        prop_assert!(open.values().all(|o| o.3), "some request was never answered");
    }
}
