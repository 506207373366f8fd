//! The module in service: other settings, a successor that goes on with what this one knows, two that share.

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

fn module(started: Timestamp) -> DecisionModule {
    let mut c = DecisionModule::new(settings(), 7).unwrap();
    c.handle(START, endpoints(started), &mut Vec::new());
    c
}

fn request(id: RequestId, class: u16, object: u64, now: Timestamp) -> Event {
    let deadline = now + Duration::from_secs(5);
    Event::Request(Request { id, class, object, group: 1, deadline, ..Request::default() })
}

/// The attempt among these actions.
fn attempt(acts: &[Action]) -> Option<(EndpointId, CacheFill)> {
    acts.iter().find_map(|a| match a {
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

/// How many attempts a request gets whose every one is refused a connection; other settings come after the first.
fn attempts(c: &mut DecisionModule, id: RequestId, other: Option<Settings>) -> u16 {
    let mut acts = Vec::new();
    c.handle(START, request(id, 0, 5, START), &mut acts);
    let mut n = 0;
    while let Some((endpoint, _)) = attempt(&acts) {
        if let Some(s) = other.clone().filter(|_| n == 0) {
            c.reconfigure(s, &[Some(0), Some(1)]).unwrap();
        }
        acts.clear();
        c.handle(
            START + Duration::from_micros(u64::from(n)),
            outcome(id, n, endpoint, AttemptStatus::Moot),
            &mut acts,
        );
        n += 1;
    }
    n
}

/// Guards against more attempts than were allowed when a request came, or than are allowed now.
#[test]
fn the_lower_number_of_attempts_binds() {
    let allowed = |n| Some(Settings { max_attempts: n, ..settings() });
    assert_eq!(attempts(&mut module(Timestamp::ZERO), 1, None), 6);
    assert_eq!(attempts(&mut module(Timestamp::ZERO), 1, allowed(2)), 2);
    assert_eq!(attempts(&mut module(Timestamp::ZERO), 1, allowed(9)), 6);
    let mut c = module(Timestamp::ZERO);
    c.reconfigure(allowed(3).unwrap(), &[Some(0), Some(1)]).unwrap();
    assert_eq!(attempts(&mut c, 1, None), 3, "of a request that comes afterwards");
    assert!(c.reconfigure(Settings { router_count: 0, ..settings() }, &[]).is_err());
    assert_eq!(attempts(&mut c, 2, None), 3, "what is impossible changes nothing");
}

/// Guards against a successor that sends to a dead endpoint, serves what was purged, or holds cold endpoints to be warm.
#[test]
fn a_successor_avoids_and_bounds_what_its_predecessor_did() {
    let mut old = module(Timestamp::ZERO);
    let mut acts = Vec::new();
    // Endpoint by endpoint: every connection to 1 is refused.
    for id in 1..200 {
        acts.clear();
        let now = START + id * Duration::from_millis(10);
        old.handle(now, request(id, 0, u64::from(id), now), &mut acts);
        let (endpoint, _) = attempt(&acts).unwrap();
        let status = if endpoint == EndpointId(1) { AttemptStatus::ConnectFailed } else { AttemptStatus::Ok };
        old.handle(now, outcome(id, 0, endpoint, status), &mut acts);
        old.handle(now, Event::Withdrawn { request: id }, &mut acts);
    }
    let now = START + Duration::from_secs(2);
    old.handle(now, Event::Purged(Purge { since: Duration::ZERO, object: Some(77), group: 0 }), &mut acts);
    assert_eq!(old.rotation(), Rotation { listed: 7, avoided: 1 });
    let mut new = module(Timestamp::ZERO);
    assert_eq!(new.rotation().avoided, 0);
    new.restore(now, &old.snapshot());
    assert_eq!(new.rotation(), old.rotation());
    assert_eq!(new.snapshot(), old.snapshot());
    acts.clear();
    new.handle(now + Duration::from_millis(5), request(1, 0, 77, now + Duration::from_millis(5)), &mut acts);
    let (endpoint, fill) = attempt(&acts).unwrap();
    assert_ne!(endpoint, EndpointId(1));
    assert_eq!(fill.max_age, Some(Duration::from_millis(4)), "no copy from before the purge");
}

/// Guards against cold endpoints that bear two processes at one place as if they were one.
#[test]
fn two_that_share_send_no_more_to_cold_hosts_than_one() {
    let sent = |c: &mut DecisionModule| {
        let mut acts = Vec::new();
        for id in 1..=2_000u32 {
            let now = START + Duration::from_micros(u64::from(id) * 500);
            c.handle(now, request(id, 0, u64::from(id), now), &mut acts);
        }
        acts.iter().filter(|a| matches!(a, Action::Attempt { endpoint, .. } if endpoint.0 < 9)).count()
    };
    let (mut alone, mut shared, mut again) = (module(START), module(START), module(START));
    shared.share(1);
    again.share(1);
    again.share(0);
    let (alone, shared, again) = (sent(&mut alone), sent(&mut shared), sent(&mut again));
    assert!(alone > 10, "{alone}");
    // Two of them beside another router: a third each in the place of a half.
    assert!(shared * 3 <= alone * 2 + 6, "{shared} where {alone} go alone");
    assert_eq!(again, alone);
}

fn any_memory() -> impl Strategy<Value = DecisionSnapshot> {
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

    /// Guards against a predecessor whose numbers are none, or whose clock is another one: whatever it says, each
    /// request goes somewhere or is ended, and nothing panics.
    #[test]
    fn any_memory_can_be_gone_on_with(memory in any_memory()) {
        let mut c = module(Timestamp::ZERO);
        c.restore(START, &memory);
        for id in 1..60u32 {
            let now = START + id * Duration::from_millis(100);
            let mut acts = Vec::new();
            c.handle(now, request(id, (id % 2) as u16, u64::from(id % 7), now), &mut acts);
            if let Some((endpoint, _)) = attempt(&acts) {
                acts.clear();
                c.handle(now, outcome(id, 0, endpoint, AttemptStatus::Ok), &mut acts);
            } else {
                let ended = |a: &Action| matches!(a, Action::Refuse { .. } | Action::Fail { .. });
                prop_assert!(acts.iter().any(ended), "{acts:?}");
            }
        }
    }
}
