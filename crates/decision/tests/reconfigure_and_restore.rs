//! A module in service: new settings, a successor that restores a snapshot, and two processes that
//! share endpoints.

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
        purge_done: Duration::from_secs(6),
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
    let line = |id, kind| EndpointEntry {
        id: EndpointId(id),
        cell: 0,
        zone: 0,
        kind,
        weight: 8.0,
        state: EndpointState::Ready,
        started,
        in_place_of: None,
    };
    let mut entries: Vec<_> = (1..=6).map(|id| line(id, 0)).collect();
    entries.push(EndpointEntry { started: Timestamp::ZERO, ..line(9, ORIGIN) });
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

/// The attempt among the actions.
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
        ended: false,
        note: None,
        work: None,
    })
}

/// How many attempts a request gets if each is refused a connection; other settings come after the
/// first.
fn attempts(module: &mut DecisionModule, id: RequestId, other: Option<Settings>) -> u16 {
    let mut actions = Vec::new();
    module.handle(START, request(id, 0, 5, START), &mut actions);
    let mut n = 0;
    while let Some((endpoint, _)) = attempt(&actions) {
        if let Some(s) = other.clone().filter(|_| n == 0) {
            module.reconfigure(s, &[Some(0), Some(1)]).unwrap();
        }
        actions.clear();
        module.handle(
            START + Duration::from_micros(u64::from(n)),
            outcome(id, n, endpoint, AttemptStatus::Moot),
            &mut actions,
        );
        n += 1;
    }
    n
}

/// Guards against more attempts than were allowed when a request came, or than are allowed now.
#[test]
fn the_lower_limit_of_attempts_applies() {
    let allowed = |n| Some(Settings { max_attempts: n, ..settings() });
    assert_eq!(attempts(&mut module_with_list(Timestamp::ZERO), 1, None), 6);
    assert_eq!(attempts(&mut module_with_list(Timestamp::ZERO), 1, allowed(2)), 2);
    assert_eq!(attempts(&mut module_with_list(Timestamp::ZERO), 1, allowed(9)), 6);
    let mut module = module_with_list(Timestamp::ZERO);
    module.reconfigure(allowed(3).unwrap(), &[Some(0), Some(1)]).unwrap();
    assert_eq!(attempts(&mut module, 1, None), 3, "of a request that comes afterwards");
    assert!(module.reconfigure(Settings { router_count: 0, ..settings() }, &[]).is_err());
    assert_eq!(attempts(&mut module, 2, None), 3, "what is impossible changes nothing");
}

/// Guards against a successor that sends to an ejected endpoint, serves what was purged, or holds
/// endpoints that warm up to be warm.
#[test]
fn a_successor_keeps_the_ejections_and_bounds_of_its_predecessor() {
    let mut old = module_with_list(Timestamp::ZERO);
    let mut actions = Vec::new();
    // Endpoint by endpoint: every connection to 1 is refused.
    for id in 1..200 {
        actions.clear();
        let now = START + id * Duration::from_millis(10);
        old.handle(now, request(id, 0, u64::from(id), now), &mut actions);
        let (endpoint, _) = attempt(&actions).unwrap();
        let status = if endpoint == EndpointId(1) { AttemptStatus::ConnectFailed } else { AttemptStatus::Ok };
        old.handle(now, outcome(id, 0, endpoint, status), &mut actions);
        old.handle(now, Event::Withdrawn { request: id }, &mut actions);
    }
    let now = START + Duration::from_secs(2);
    old.handle(now, Event::Purged(Purge { since: Duration::ZERO, object: Some(77), group: 0 }), &mut actions);
    assert_eq!(old.rotation(), Rotation { listed: 7, avoided: 1 });
    let mut new = module_with_list(Timestamp::ZERO);
    assert_eq!(new.rotation().avoided, 0);
    new.restore(now, &old.snapshot());
    assert_eq!(new.rotation(), old.rotation());
    assert_eq!(new.snapshot(), old.snapshot());
    actions.clear();
    new.handle(
        now + Duration::from_millis(5),
        request(1, 0, 77, now + Duration::from_millis(5)),
        &mut actions,
    );
    let (endpoint, fill) = attempt(&actions).unwrap();
    assert_ne!(endpoint, EndpointId(1));
    assert_eq!(fill.max_age, Some(Duration::from_millis(4)), "no copy from before the purge");
}

/// Guards against two processes of one router that each use its whole warm-up budget.
#[test]
fn two_processes_that_share_send_no_more_within_warm_up_budgets_than_one() {
    let sent = |module: &mut DecisionModule| {
        let mut actions = Vec::new();
        for id in 1..=2_000u32 {
            let now = START + Duration::from_micros(u64::from(id) * 500);
            module.handle(now, request(id, 0, u64::from(id), now), &mut actions);
        }
        actions.iter().filter(|a| matches!(a, Action::Attempt { endpoint, .. } if endpoint.0 < 9)).count()
    };
    let (mut alone, mut shared, mut again) =
        (module_with_list(START), module_with_list(START), module_with_list(START));
    shared.share(1);
    again.share(1);
    again.share(0);
    let (alone, shared, again) = (sent(&mut alone), sent(&mut shared), sent(&mut again));
    assert!(alone > 10, "{alone}");
    // Two of them beside another router: a third each in place of a half.
    assert!(shared * 3 <= alone * 2 + 6, "{shared} where {alone} go alone");
    assert_eq!(again, alone);
}

fn any_snapshot() -> impl Strategy<Value = DecisionSnapshot> {
    let f = || prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), any::<f64>()];
    let t = || prop_oneof![Just(0), Just(u64::MAX), any::<u64>()].prop_map(Timestamp::from_micros);
    let endpoint = (0u64..12, t(), f(), t(), f(), t(), any::<bool>(), (f(), t())).prop_map(
        |(id, cold, blame, last_ok, tardy, out, died, load)| EndpointSnapshot {
            id,
            cold_since: Some(cold),
            blame: [blame; 3],
            last_ok,
            answers: blame,
            out: died.then_some(out),
            backoff: Duration::from_micros(out.as_micros()),
            died,
            tardy,
            load,
            ledger: vec![(last_ok, tardy)],
        },
    );
    let class = (f(), f(), f()).prop_map(|(a, b, slow)| ClassSnapshot { work: (a, b), sent: Some(b), slow });
    let parts =
        (proptest::collection::vec(endpoint, 0..12), proptest::collection::vec(class, 0..4), f(), t());
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

    /// Guards against a predecessor whose numbers are not finite, or whose clock is another one:
    /// whatever it hands over, each request goes somewhere or is ended, and nothing panics.
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
                let ended = |a: &Action| matches!(a, Action::Refuse { .. } | Action::Fail { .. });
                prop_assert!(actions.iter().any(ended), "{actions:?}");
            }
        }
    }
}
