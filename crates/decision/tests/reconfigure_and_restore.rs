//! Changes of a module in service: new settings, restoring the snapshot of a predecessor, and two
//! processes that share endpoints.

use hollymux_decision::*;
use proptest::prelude::*;
use std::time::Duration;

const ORIGIN: u16 = 2;
const START: Timestamp = Timestamp::from_micros(1_000_000_000);

fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        latency_objective: Duration::from_millis(500),
        deadline: Duration::from_secs(5),
        idempotency,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NotIdempotent)],
        router_count: 2,
        router_count_by_zone: vec![2, 0],
        origin_kind: Some(ORIGIN),
        weights: ListedWeights::Size,
        purge_completion_time: Duration::from_secs(6),
        warm_up_floor: 0.2,
        warm_up_period: Duration::from_secs(10),
        overload_multiple: 3.0,
        overload_window: Duration::from_secs(1),
        max_attempts: 6,
        cancel: true,
        ..Settings::default()
    }
}

fn endpoints(started: Timestamp) -> Event {
    let entry = |id, kind| EndpointEntry {
        id: EndpointId(id),
        cell: 0,
        zone: 0,
        kind,
        weight: 8.0,
        state: EndpointState::Ready,
        started,
        in_place_of: None,
    };
    let mut entries: Vec<_> = (1..=6).map(|id| entry(id, 0)).collect();
    entries.push(EndpointEntry { started: Timestamp::ZERO, ..entry(9, ORIGIN) });
    Event::EndpointList { kind: ListKind::Full, entries }
}

fn module_with_list(started: Timestamp) -> DecisionModule {
    let mut module = DecisionModule::new(settings(), 7).unwrap();
    module.handle(START, endpoints(started), &mut Vec::new());
    module
}

fn request(id: RequestId, class: u16, object: u64, now: Timestamp) -> Event {
    let deadline = now + Duration::from_secs(5);
    Event::Request(Request { id, class, object, group: 1, deadline, ..Request::default() })
}

/// The endpoint and fill of the first attempt among the actions.
fn attempt(actions: &[Action]) -> Option<(EndpointId, CacheFill)> {
    actions.iter().find_map(|a| match a {
        Action::Attempt { endpoint, fill, .. } => Some((*endpoint, fill.clone())),
        _ => None,
    })
}

fn outcome(request: RequestId, attempt: u16, endpoint: EndpointId, status: AttemptStatus) -> Event {
    let latency = Duration::from_millis(10);
    Event::AttemptOutcome(AttemptOutcome {
        request,
        attempt,
        endpoint,
        latency,
        status,
        request_finished: false,
        cache_status: None,
        work: None,
    })
}

/// Number of attempts that a request gets if none of them is sent successfully. `new_settings` take
/// effect after the first attempt.
fn count_attempts(module: &mut DecisionModule, id: RequestId, new_settings: Option<Settings>) -> u16 {
    let mut actions = Vec::new();
    module.handle(START, request(id, 0, 5, START), &mut actions);
    let mut count = 0;
    while let Some((endpoint, _)) = attempt(&actions) {
        if let Some(settings) = new_settings.clone().filter(|_| count == 0) {
            module.reconfigure(settings, &[Some(0), Some(1)]).unwrap();
        }
        actions.clear();
        module.handle(
            START + Duration::from_micros(u64::from(count)),
            outcome(id, count, endpoint, AttemptStatus::Moot),
            &mut actions,
        );
        count += 1;
    }
    count
}

/// Guards against more attempts than were allowed when the request arrived, or than are allowed
/// now.
#[test]
fn the_lower_limit_of_attempts_applies() {
    let with_limit = |max_attempts| Some(Settings { max_attempts, ..settings() });
    assert_eq!(count_attempts(&mut module_with_list(Timestamp::ZERO), 1, None), 6);
    assert_eq!(count_attempts(&mut module_with_list(Timestamp::ZERO), 1, with_limit(2)), 2);
    assert_eq!(count_attempts(&mut module_with_list(Timestamp::ZERO), 1, with_limit(9)), 6);
    let mut module = module_with_list(Timestamp::ZERO);
    module.reconfigure(with_limit(3).unwrap(), &[Some(0), Some(1)]).unwrap();
    assert_eq!(count_attempts(&mut module, 1, None), 3, "the new limit must apply to later requests");
    assert!(module.reconfigure(Settings { router_count: 0, ..settings() }, &[]).is_err());
    assert_eq!(count_attempts(&mut module, 2, None), 3, "invalid settings must change nothing");
}

/// Guards against a successor that sends to an ejected endpoint, serves purged copies, or takes
/// endpoints that warm up for warm ones.
#[test]
fn a_successor_keeps_the_ejections_and_bounds_of_its_predecessor() {
    let mut predecessor = module_with_list(Timestamp::ZERO);
    let mut actions = Vec::new();
    // Requests for different objects: each connection to endpoint 1 is refused.
    for id in 1..200 {
        actions.clear();
        let now = START + id * Duration::from_millis(10);
        predecessor.handle(now, request(id, 0, u64::from(id), now), &mut actions);
        let (endpoint, _) = attempt(&actions).unwrap();
        let status = if endpoint == EndpointId(1) { AttemptStatus::ConnectFailed } else { AttemptStatus::Ok };
        predecessor.handle(now, outcome(id, 0, endpoint, status), &mut actions);
        predecessor.handle(now, Event::Withdrawn { request: id }, &mut actions);
    }
    let now = START + Duration::from_secs(2);
    predecessor.handle(
        now,
        Event::Purged(Purge { since: Duration::ZERO, object: Some(77), group: 0 }),
        &mut actions,
    );
    assert_eq!(predecessor.rotation(), Rotation { listed: 7, avoided: 1 });
    let mut successor = module_with_list(Timestamp::ZERO);
    assert_eq!(successor.rotation().avoided, 0);
    successor.restore(now, &predecessor.snapshot());
    assert_eq!(successor.rotation(), predecessor.rotation());
    assert_eq!(successor.snapshot(), predecessor.snapshot());
    actions.clear();
    successor.handle(
        now + Duration::from_millis(5),
        request(1, 0, 77, now + Duration::from_millis(5)),
        &mut actions,
    );
    let (endpoint, fill) = attempt(&actions).unwrap();
    assert_ne!(endpoint, EndpointId(1));
    assert_eq!(fill.max_age, Some(Duration::from_millis(4)), "no copy from before the purge may be served");
}

/// Guards against two processes of one router that each use the router's whole warm-up budget.
#[test]
fn two_processes_that_share_send_no_more_within_warm_up_budgets_than_one() {
    let sent_to_caches = |module: &mut DecisionModule| {
        let mut actions = Vec::new();
        for id in 1..=2_000u32 {
            let now = START + Duration::from_micros(u64::from(id) * 500);
            module.handle(now, request(id, 0, u64::from(id), now), &mut actions);
        }
        actions.iter().filter(|a| matches!(a, Action::Attempt { endpoint, .. } if endpoint.0 < 9)).count()
    };
    let mut alone = module_with_list(START);
    let mut shared = module_with_list(START);
    let mut no_longer_shared = module_with_list(START);
    shared.set_additional_routers(1);
    no_longer_shared.set_additional_routers(1);
    no_longer_shared.set_additional_routers(0);
    let sent_alone = sent_to_caches(&mut alone);
    let sent_shared = sent_to_caches(&mut shared);
    let sent_afterwards = sent_to_caches(&mut no_longer_shared);
    assert!(sent_alone > 10, "{sent_alone} attempts");
    // Together with another router, each of the two processes has a share of 1/3 instead of 1/2.
    assert!(
        sent_shared * 3 <= sent_alone * 2 + 6,
        "{sent_shared} attempts by one of two processes, {sent_alone} by a single process"
    );
    assert_eq!(sent_afterwards, sent_alone);
}

fn any_snapshot() -> impl Strategy<Value = DecisionSnapshot> {
    let any_number = || prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), any::<f64>()];
    let any_time = || prop_oneof![Just(0), Just(u64::MAX), any::<u64>()].prop_map(Timestamp::from_micros);
    let endpoint = (
        0u64..12,
        any_time(),
        any_number(),
        any_time(),
        any_number(),
        any_time(),
        any::<bool>(),
        (any_number(), any_time()),
    )
        .prop_map(|(id, started, score, last_response, lateness, ejected_until, process_lost, load)| {
            EndpointSnapshot {
                id,
                cold_since: Some(started),
                blame: [score; 3],
                last_ok: last_response,
                answers: score,
                out: process_lost.then_some(ejected_until),
                backoff: Duration::from_micros(ejected_until.as_micros()),
                died: process_lost,
                tardy: lateness,
                load,
                ledger: vec![(last_response, lateness)],
            }
        });
    let class = (any_number(), any_number(), any_number()).prop_map(|(work, samples, quantile)| {
        ClassSnapshot { work: (work, samples), sent: Some(samples), slow: quantile }
    });
    let parts = (
        proptest::collection::vec(endpoint, 0..12),
        proptest::collection::vec(class, 0..4),
        any_number(),
        any_time(),
    );
    parts.prop_map(|(endpoints, classes, number, time)| DecisionSnapshot {
        endpoints,
        classes,
        levels: vec![(5, u32::MAX, time)],
        rate: number,
        seen: [vec![1, 2], vec![3]],
        seen_since: time,
        purges: vec![(true, 1, time)],
        floor: time,
        retries: number,
        lost: number,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a predecessor whose numbers are not finite or whose clock differs: whatever
    /// it hands over, each request must be sent or answered, and nothing may panic.
    #[test]
    fn any_snapshot_can_be_restored(snapshot in any_snapshot()) {
        let mut module = module_with_list(Timestamp::ZERO);
        module.restore(START, &snapshot);
        for id in 1..60u32 {
            let now = START + id * Duration::from_millis(100);
            let mut actions = Vec::new();
            module.handle(now, request(id, (id % 2) as u16, u64::from(id % 7), now), &mut actions);
            if let Some((endpoint, _)) = attempt(&actions) {
                actions.clear();
                module.handle(now, outcome(id, 0, endpoint, AttemptStatus::Ok), &mut actions);
            } else {
                let is_final =
                    |action: &Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
                prop_assert!(actions.iter().any(is_final), "{actions:?}");
            }
        }
    }
}
