//! Preconditions of the registry's commands: no sequence of signals and commands leads to a state
//! that they forbid, and each error message names the reason.

use hollymux_decision::{EndpointState, Timestamp};
use hollymux_registry::{
    AttemptKind, Command, CommandError, EndpointRegistry, EndpointRole, EndpointSpec, EndpointStatus,
    HarmfulCommands, HealthSignal, PurgeTarget, RegisteredEndpoint, DRAIN_DURATION, MAX_ENDPOINTS,
    MAX_OPEN_PURGES, REMOVED_RETENTION,
};
use proptest::prelude::*;
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_secs(17);
const PURGE_DURATION: Duration = Duration::from_secs(6);

const START: Timestamp = Timestamp::ZERO;

/// The timestamp that is `micros` microseconds after the start of a test.
fn micros(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn spec(uid: &str, port: u16, role: EndpointRole) -> EndpointSpec {
    EndpointSpec { uid: uid.into(), addr: ([127, 0, 0, 1], port).into(), role }
}

/// A site of two edge caches `a` and `b`, a parent cache `h` and an origin `l`. Each has sent a
/// healthy signal and is warming up.
fn small_site() -> EndpointRegistry {
    let mut registry = EndpointRegistry::new(WARM_UP, PURGE_DURATION);
    let endpoints = [
        ("a", EndpointRole::EdgeCache),
        ("b", EndpointRole::EdgeCache),
        ("h", EndpointRole::ParentCache),
        ("l", EndpointRole::Origin),
    ];
    for (index, (uid, role)) in endpoints.into_iter().enumerate() {
        let command = Command::Add(spec(uid, index as u16 + 1, role));
        registry.execute(START, command, index as u64, HarmfulCommands::Reject).unwrap();
        registry.on_health_signal(micros(1), uid, HealthSignal::Healthy);
    }
    registry
}

/// Asserts that a command is rejected and leaves the revision unchanged; returns the error message.
fn rejected(
    registry: &mut EndpointRegistry,
    now: Timestamp,
    command: Command,
    harmful: HarmfulCommands,
) -> String {
    let revision = registry.revision();
    let error = registry.execute(now, command, revision, harmful).unwrap_err().to_string();
    assert_eq!(registry.revision(), revision, "a rejected command changed the revision");
    error
}

/// Asserts that a command is executed; returns its description.
fn executed(
    registry: &mut EndpointRegistry,
    now: Timestamp,
    command: Command,
    harmful: HarmfulCommands,
) -> String {
    registry.execute(now, command, registry.revision(), harmful).unwrap()
}

fn drain(uid: &str) -> Command {
    Command::Drain { uid: uid.into() }
}

fn remove(uid: &str) -> Command {
    Command::Remove { uid: uid.into() }
}

fn status(registry: &EndpointRegistry, uid: &str) -> EndpointStatus {
    registry.endpoint(uid).unwrap().status
}

/// Guards against draining the last edge cache, the only parent cache or the origin without a
/// warning, and against an undrain that treats the cache as warm.
#[test]
fn the_last_endpoint_of_a_role_is_drained_only_if_the_operator_insists() {
    let mut registry = small_site();
    registry.attempt_started("h", AttemptKind::Idempotent);
    let error = rejected(&mut registry, micros(9), drain("h"), HarmfulCommands::Reject);
    assert!(error.contains("the only parent cache, with 1 fills in flight"), "{error}");
    let error = rejected(&mut registry, micros(9), drain("l"), HarmfulCommands::Reject);
    assert!(error.contains("non-idempotent requests would be rejected"), "{error}");
    executed(&mut registry, micros(10), drain("a"), HarmfulCommands::Reject);
    let error = rejected(&mut registry, micros(11), drain("b"), HarmfulCommands::Reject);
    assert!(error.contains("b is the last edge cache that takes requests"), "{error}");
    let error = rejected(&mut registry, micros(11), drain("a"), HarmfulCommands::Execute);
    assert!(error.contains("has been draining for"), "{error}");
    executed(&mut registry, micros(12), drain("b"), HarmfulCommands::Execute);
    assert_eq!(registry.endpoint("b").unwrap().listed_state(), EndpointState::Draining);
    let undrain = Command::Undrain { uid: "a".into() };
    executed(&mut registry, micros(13), undrain, HarmfulCommands::Reject);
    // The cache of `a` may be empty, since it may have restarted while it was draining.
    assert_eq!(status(&registry, "a"), EndpointStatus::WarmingUp { since: micros(13) });
}

/// Guards against two operators whose commands, each harmless alone, together drain both edge
/// caches: the second command is based on an outdated revision.
#[test]
fn two_consoles_cannot_drain_both_edge_caches_in_the_same_second() {
    let mut registry = small_site();
    let revision = registry.revision();
    registry.execute(micros(5), drain("a"), revision, HarmfulCommands::Reject).unwrap();
    let second = registry.execute(micros(5), drain("b"), revision, HarmfulCommands::Execute);
    let error = second.unwrap_err().to_string();
    assert!(
        error.contains("based on revision 4, but the registry is at revision 5: a is draining"),
        "{error}"
    );
    assert!(registry.endpoint("b").unwrap().takes_requests());
}

/// Guards against removing an endpoint that alone knows whether non-idempotent requests were
/// executed, against removing one right after its drain, and against reusing its id.
#[test]
fn an_endpoint_with_non_idempotent_requests_in_flight_is_never_removed() {
    let mut registry = small_site();
    registry.attempt_started("a", AttemptKind::NonIdempotent);
    let error = rejected(&mut registry, micros(5), remove("a"), HarmfulCommands::Execute);
    assert!(error.contains("1 non-idempotent requests are in flight at a"), "{error}");
    let replace = Command::Add(spec("c", 1, EndpointRole::EdgeCache));
    let error = rejected(&mut registry, micros(5), replace, HarmfulCommands::Execute);
    assert!(error.contains("1 non-idempotent requests in flight"), "{error}");
    registry.attempt_ended("a", AttemptKind::NonIdempotent);
    registry.attempt_started("a", AttemptKind::Idempotent);
    let error = rejected(&mut registry, micros(5), remove("a"), HarmfulCommands::Reject);
    assert!(error.contains("has not been drained and has 1 attempts in flight"), "{error}");
    let drained = micros(5);
    executed(&mut registry, drained, drain("a"), HarmfulCommands::Reject);
    let error = rejected(&mut registry, micros(6), remove("a"), HarmfulCommands::Execute);
    assert!(error.contains("routers may still send it new requests for 499 ms"), "{error}");
    let removed = drained + DRAIN_DURATION;
    executed(&mut registry, removed, remove("a"), HarmfulCommands::Execute);
    // A new endpoint can't get the id of a removed one while that is remembered.
    let again = Command::Add(spec("a", 9, EndpointRole::EdgeCache));
    let error = rejected(&mut registry, START + SECOND * 6, again.clone(), HarmfulCommands::Execute);
    assert!(error.contains("needs a new id"), "{error}");
    registry.on_time(removed + REMOVED_RETENTION);
    executed(&mut registry, START + REMOVED_RETENTION * 2, again, HarmfulCommands::Reject);
}

/// Guards against an endpoint that alternates between failing and answering and is readmitted after
/// the same short time each time, with a cache that is assumed to be warm.
#[test]
fn each_ejection_of_a_flapping_endpoint_lasts_longer_and_it_warms_up_again() {
    let mut registry = small_site();
    let mut now = START + WARM_UP + Duration::from_micros(1);
    registry.on_time(now);
    assert_eq!(status(&registry, "a"), EndpointStatus::Ready);
    now += Duration::from_micros(1);
    let mut ejection_seconds = Vec::new();
    for _ in 0..8 {
        registry.on_health_signal(now, "a", HealthSignal::ConnectionRefused);
        let EndpointStatus::Ejected { readmission_due } = status(&registry, "a") else {
            panic!("a refused connection did not eject the endpoint")
        };
        ejection_seconds.push(readmission_due.duration_since(now).as_micros() / SECOND.as_micros());
        let readmitted = now + SECOND;
        registry.on_health_signal(readmitted, "a", HealthSignal::Healthy);
        assert_eq!(status(&registry, "a"), EndpointStatus::WarmingUp { since: readmitted });
        now += SECOND * 2;
        registry.on_time(now);
    }
    assert_eq!(ejection_seconds, [1, 2, 4, 8, 16, 32, 32, 32]);
    // Timeouts must be consecutive to eject an endpoint: a healthy signal resets their count.
    let signals = [
        HealthSignal::Unhealthy,
        HealthSignal::Unhealthy,
        HealthSignal::Healthy,
        HealthSignal::Unhealthy,
        HealthSignal::Unhealthy,
    ];
    for signal in signals {
        registry.on_health_signal(now, "b", signal);
    }
    assert_eq!(status(&registry, "b"), EndpointStatus::Suspect { consecutive_errors: 2 });
    registry.on_health_signal(now, "b", HealthSignal::Unhealthy);
    assert!(matches!(status(&registry, "b"), EndpointStatus::Ejected { .. }));
}

/// Guards against repeating a purge by mistake while an earlier one that covers it is not complete.
#[test]
fn a_purge_is_rejected_while_an_open_purge_covers_it() {
    let mut registry = small_site();
    let at_second = |seconds: u32| START + SECOND * seconds;
    let group = Command::Purge(PurgeTarget::Group { group: 7 });
    executed(&mut registry, at_second(1), group, HarmfulCommands::Reject);
    let object = Command::Purge(PurgeTarget::Object { object: 1, group: 7 });
    let error = rejected(&mut registry, at_second(2), object.clone(), HarmfulCommands::Reject);
    assert!(
        error.contains("ordered 1000 ms ago covers this target and will be complete in 5000 ms"),
        "{error}"
    );
    executed(&mut registry, at_second(2), object.clone(), HarmfulCommands::Execute);
    let other = Command::Purge(PurgeTarget::Object { object: 1, group: 8 });
    executed(&mut registry, at_second(2), other, HarmfulCommands::Execute);
    registry.on_time(at_second(2) + PURGE_DURATION);
    assert!(registry.purges().is_empty());
    executed(&mut registry, at_second(9), object, HarmfulCommands::Reject);
}

#[derive(Clone, Debug)]
enum Step {
    Command { command: Command, harmful: HarmfulCommands, is_fresh: bool },
    Signal { uid: String, signal: HealthSignal },
    AttemptStarted { uid: String, kind: AttemptKind },
    AttemptEnded { uid: String, kind: AttemptKind },
    Time(Duration),
}

fn any_uid() -> impl Strategy<Value = String> {
    (0..6u8).prop_map(|number| format!("m{number}"))
}

fn any_command() -> impl Strategy<Value = Command> {
    let role = prop_oneof![
        Just(EndpointRole::EdgeCache),
        Just(EndpointRole::ParentCache),
        Just(EndpointRole::Origin)
    ];
    prop_oneof![
        (any_uid(), 1..5u16, role).prop_map(|(uid, port, role)| Command::Add(spec(&uid, port, role))),
        any_uid().prop_map(|uid| Command::Drain { uid }),
        any_uid().prop_map(|uid| Command::Undrain { uid }),
        any_uid().prop_map(|uid| Command::Remove { uid }),
        (0..3u64, 0..2u32).prop_map(|(object, group)| Command::Purge(PurgeTarget::Object { object, group })),
        (0..2u32).prop_map(|group| Command::Purge(PurgeTarget::Group { group })),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let signal = prop_oneof![
        Just(HealthSignal::Healthy),
        Just(HealthSignal::Unhealthy),
        Just(HealthSignal::ConnectionRefused)
    ];
    let kind = || prop_oneof![Just(AttemptKind::Idempotent), Just(AttemptKind::NonIdempotent)];
    let harmful = prop_oneof![Just(HarmfulCommands::Reject), Just(HarmfulCommands::Execute)];
    prop_oneof![
        4 => (any_command(), harmful, proptest::bool::weighted(0.9))
            .prop_map(|(command, harmful, is_fresh)| Step::Command { command, harmful, is_fresh }),
        3 => (any_uid(), signal).prop_map(|(uid, signal)| Step::Signal { uid, signal }),
        1 => (any_uid(), kind()).prop_map(|(uid, kind)| Step::AttemptStarted { uid, kind }),
        1 => (any_uid(), kind()).prop_map(|(uid, kind)| Step::AttemptEnded { uid, kind }),
        1 => (0..40_000_000_u64).prop_map(|micros| Step::Time(Duration::from_micros(micros))),
    ]
}

/// Executes a command, and checks its result and the registry after it against the registry
/// `before` it.
fn check_command(
    registry: &mut EndpointRegistry,
    before: &EndpointRegistry,
    now: Timestamp,
    command: &Command,
    harmful: HarmfulCommands,
    is_fresh: bool,
) -> Result<(), TestCaseError> {
    let based_on = if is_fresh { registry.revision() } else { registry.revision() + 1 };
    let checked = registry.check(now, command);
    let result = registry.execute(now, command.clone(), based_on, harmful);
    prop_assert_eq!(registry.revision(), before.revision() + u64::from(result.is_ok()));
    prop_assert!(is_fresh || result.is_err(), "a command based on another revision was executed");
    // The check predicts the result, except for a harmful command on which the operator insists.
    if is_fresh {
        let is_harm = matches!(checked, Err(CommandError::Harmful(_)));
        let insisted = is_harm && harmful == HarmfulCommands::Execute;
        prop_assert_eq!(result.is_ok(), checked.is_ok() || insisted);
    }
    if result.is_err() {
        prop_assert!(registry.endpoints().eq(before.endpoints()), "a rejected command changed the registry");
    }
    let taking_requests = |registry: &EndpointRegistry, role| {
        let of_role = registry.endpoints().filter(|endpoint| endpoint.spec.role == role);
        of_role.filter(|endpoint| endpoint.takes_requests()).count()
    };
    for role in [EndpointRole::EdgeCache, EndpointRole::ParentCache, EndpointRole::Origin] {
        let lost_last = taking_requests(before, role) > 0 && taking_requests(registry, role) == 0;
        let insisted = harmful == HarmfulCommands::Execute;
        prop_assert!(
            !lost_last || insisted,
            "{:?} took the last endpoint of a role without insistence",
            command
        );
    }
    Ok(())
}

/// Checks the invariants of an endpoint that hold after every kind of step.
fn check_endpoint(
    endpoint: &RegisteredEndpoint,
    before: &EndpointRegistry,
    command_executed: bool,
) -> Result<(), TestCaseError> {
    if let Some(previous) = before.endpoint(&endpoint.spec.uid) {
        // Only a command ends a drain, and nothing brings a removed endpoint back.
        if !command_executed {
            let is_leaving =
                matches!(previous.status, EndpointStatus::Draining { .. } | EndpointStatus::Removed { .. });
            prop_assert!(!is_leaving || previous.status == endpoint.status);
        }
        if endpoint.is_removed() && previous.status != endpoint.status {
            let lost = previous.non_idempotent_in_flight;
            prop_assert_eq!(lost, 0, "an endpoint was removed with non-idempotent requests in flight");
        }
    }
    prop_assert!(endpoint.takes_requests() <= (endpoint.listed_state() == EndpointState::Ready));
    Ok(())
}

fn check_addresses_are_unique(registry: &EndpointRegistry) -> Result<(), TestCaseError> {
    let present: Vec<_> =
        registry.endpoints().filter(|endpoint| endpoint.listed_state() != EndpointState::Gone).collect();
    for (index, endpoint) in present.iter().enumerate() {
        let is_unique = present[..index].iter().all(|other| other.spec.addr != endpoint.spec.addr);
        prop_assert!(is_unique, "two endpoints have the same address");
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Runs random sequences of commands, signals, attempts and times, and checks the invariants
    /// after every step.
    #[test]
    fn no_reachable_state_breaks_a_precondition(steps in proptest::collection::vec(any_step(), 1..120)) {
        let mut registry = EndpointRegistry::new(WARM_UP, PURGE_DURATION);
        let mut now = START;
        for step in steps {
            now += MILLISECOND * 50;
            let before = registry.clone();
            match step {
                Step::Command { command, harmful, is_fresh } => {
                    check_command(&mut registry, &before, now, &command, harmful, is_fresh)?;
                }
                Step::Signal { uid, signal } => registry.on_health_signal(now, &uid, signal),
                Step::AttemptStarted { uid, kind } => registry.attempt_started(&uid, kind),
                Step::AttemptEnded { uid, kind } => registry.attempt_ended(&uid, kind),
                Step::Time(duration) => {
                    now += duration;
                    registry.on_time(now);
                }
            }
            let command_executed = registry.revision() != before.revision();
            for endpoint in registry.endpoints() {
                check_endpoint(endpoint, &before, command_executed)?;
            }
            check_addresses_are_unique(&registry)?;
            prop_assert!(registry.endpoints().count() <= MAX_ENDPOINTS);
            prop_assert!(registry.purges().len() <= MAX_OPEN_PURGES);
        }
    }
}
