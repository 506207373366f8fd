//! Invariants that must hold under random events.

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
const STATES: [EndpointState; 3] = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone];
/// Statuses that prove that an attempt did not run.
const NEVER_RAN: [AttemptStatus; 3] =
    [AttemptStatus::Miss, AttemptStatus::Full, AttemptStatus::ConnectFailed];
/// Highest identity of an edge cache of the own zone.
const LAST_LOCAL_CACHE: u64 = 4;
/// Time after the deadline within which a request must be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(100);
/// Time after the last step within which all remaining timers expire.
const LAST_WAIT: Duration = Duration::from_secs(60);

/// Kind of a step, derived from the step's first random number.
#[derive(Clone, Copy, PartialEq)]
enum Step {
    Request,
    Outcome,
    ListChange,
    Purge,
    End,
}

impl Step {
    fn of(kind: u8) -> Step {
        match kind {
            0 | 1 => Step::Request,
            2 | 3 => Step::Outcome,
            4 => Step::ListChange,
            _ => Step::Purge,
        }
    }
}

/// State of a request as seen from outside of the module.
#[derive(Default)]
struct OpenRequest {
    /// Endpoints of the attempts in flight, by attempt number.
    in_flight: BTreeMap<u16, u64>,
    attempts: u16,
    may_have_run: bool,
    has_ended: bool,
    deadline: Timestamp,
}

/// Checks the invariants on two modules with the same seed that receive the same events.
struct RuleChecker {
    modules: [Harness; 2],
    settings: Settings,
    idempotency: Idempotency,
    /// Endpoints that are draining or removed.
    unavailable: BTreeSet<u64>,
    requests: BTreeMap<RequestId, OpenRequest>,
    timers: Vec<(Timestamp, u64)>,
}

impl RuleChecker {
    fn new(settings: Settings) -> RuleChecker {
        RuleChecker {
            modules: [Harness::new(settings.clone()), Harness::new(settings.clone())],
            idempotency: settings.classes[0].idempotency,
            settings,
            unavailable: BTreeSet::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
        }
    }

    /// Executes a step. Timers that expire before it are passed first, at their time.
    fn step(&mut self, step: Step, random: u64) -> Result<(), TestCaseError> {
        let now = self.modules[0].now + Duration::from_micros(random % 80_000);
        let until = if step == Step::End { now + LAST_WAIT } else { now };
        self.timers.sort();
        let due: Vec<_> = self.timers.iter().copied().filter(|timer| timer.0 <= until).collect();
        self.timers.retain(|timer| timer.0 > until);
        let event = match step {
            Step::Request => Some(self.request(now, random)),
            Step::Outcome => self.outcome(random),
            Step::ListChange => Some(list_change(now, random)),
            Step::Purge => Some(purge(random)),
            Step::End => None,
        };
        for (at, token) in due {
            self.apply(at, Event::Timer { token })?;
        }
        event.map_or(Ok(()), |event| self.apply(now, event))
    }

    fn request(&mut self, now: Timestamp, random: u64) -> Event {
        let id = self.modules[0].last_request + 1;
        self.modules.iter_mut().for_each(|module| module.last_request = id);
        let deadline = now + Duration::from_millis(500) + Duration::from_micros(random % 3_000_000);
        self.requests.insert(id, OpenRequest { deadline, ..OpenRequest::default() });
        Event::Request(Request {
            id,
            class: 0,
            object: random % 20,
            part: 0,
            group: 3,
            size_kb: None,
            deadline,
            repeat: false,
            write: false,
        })
    }

    /// The end of an attempt in flight; `None` if there is none.
    fn outcome(&self, random: u64) -> Option<Event> {
        let (request, attempt, endpoint, has_ended) = self.requests.iter().find_map(|(id, open)| {
            let (attempt, endpoint) = open.in_flight.iter().nth(random as usize % 3)?;
            Some((*id, *attempt, *endpoint, open.has_ended))
        })?;
        let status = STATUSES[(random >> 8) as usize % STATUSES.len()];
        Some(Event::AttemptOutcome(AttemptOutcome {
            request,
            attempt,
            endpoint: EndpointId(endpoint),
            latency: Duration::from_micros(random % 1_000_000),
            status,
            request_finished: has_ended || status == AttemptStatus::Ok,
            cache_status: None,
            work: None,
        }))
    }

    /// Passes an event to both modules and checks the actions.
    fn apply(&mut self, at: Timestamp, event: Event) -> Result<(), TestCaseError> {
        for module in &mut self.modules {
            module.now = at.max(module.now);
        }
        self.observe(&event);
        let actions = self.modules[0].event(event.clone());
        prop_assert_eq!(&actions, &self.modules[1].event(event));
        for action in actions {
            self.check_action(action)?;
        }
        let now = self.modules[0].now;
        for open in self.requests.values() {
            let is_in_time = now <= open.deadline + ANSWER_SLACK;
            prop_assert!(open.has_ended || is_in_time, "a request was not answered by its deadline");
        }
        Ok(())
    }

    /// Updates the state outside of the module by an event.
    fn observe(&mut self, event: &Event) {
        match event {
            Event::EndpointList { entries, .. } => {
                let entry = &entries[0];
                self.unavailable.remove(&entry.id.0);
                if entry.state != EndpointState::Ready {
                    self.unavailable.insert(entry.id.0);
                }
            }
            Event::AttemptOutcome(outcome) => {
                let open = self.requests.get_mut(&outcome.request).unwrap();
                open.in_flight.remove(&outcome.attempt);
                open.may_have_run |= !NEVER_RAN.contains(&outcome.status);
                open.has_ended |= outcome.request_finished;
            }
            _ => {}
        }
    }

    /// Checks the invariants on an action.
    fn check_action(&mut self, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::Attempt { request, endpoint, fill, .. } => {
                self.check_attempt(request, endpoint, &fill)?;
            }
            Action::Reject { request, .. } => {
                let open = self.requests.get_mut(&request).unwrap();
                prop_assert!(
                    !std::mem::replace(&mut open.has_ended, true),
                    "a request got two final answers"
                );
                let never_ran = !open.may_have_run && open.in_flight.is_empty();
                prop_assert!(self.idempotency == Idempotency::Idempotent || never_ran);
            }
            Action::Fail { request } => {
                let open = self.requests.get_mut(&request).unwrap();
                prop_assert!(
                    !std::mem::replace(&mut open.has_ended, true),
                    "a request got two final answers"
                );
            }
            Action::Cancel { request, attempt } => {
                prop_assert!(attempt < self.requests[&request].attempts);
            }
            Action::Timer { after, token } => self.timers.push((self.modules[0].now + after, token)),
            _ => {}
        }
        Ok(())
    }

    /// Checks the invariants on an attempt that is sent.
    fn check_attempt(
        &mut self,
        request: RequestId,
        endpoint: EndpointId,
        fill: &CacheFill,
    ) -> Result<(), TestCaseError> {
        let open = self.requests.get_mut(&request).unwrap();
        let never_ran = !open.may_have_run && open.in_flight.is_empty();
        let is_available = |endpoint: EndpointId| !self.unavailable.contains(&endpoint.0);
        prop_assert!(!open.has_ended, "an attempt was sent after the final answer");
        prop_assert!(is_available(endpoint) && fill.source.is_none_or(is_available));
        prop_assert!(
            self.settings.hedging_allowed || open.in_flight.is_empty(),
            "two attempts were in flight without hedged requests"
        );
        prop_assert!(self.idempotency != Idempotency::NotIdempotent || never_ran);
        prop_assert!(open.attempts < 4, "more attempts were sent than the limit of 4");
        prop_assert!(
            self.settings.bypass_edge_cache || endpoint.0 <= LAST_LOCAL_CACHE,
            "an attempt was sent to another endpoint than a cache of the own zone"
        );
        open.in_flight.insert(open.attempts, endpoint.0);
        open.attempts += 1;
        Ok(())
    }
}

fn list_change(now: Timestamp, random: u64) -> Event {
    let mut entry = endpoint_list().swap_remove(random as usize % 10);
    entry.state = STATES[(random >> 8) as usize % STATES.len()];
    entry.started = if random.is_multiple_of(2) { now } else { Timestamp::ZERO };
    Event::EndpointList { kind: ListKind::Delta, entries: vec![entry] }
}

fn purge(random: u64) -> Event {
    let object = (!random.is_multiple_of(3)).then_some(random % 20 + 1);
    Event::Purged(Purge { since: Duration::from_micros(random % 1_000_000), object, group: 3 })
}

fn any_idempotency() -> impl Strategy<Value = Idempotency> {
    prop::sample::select(vec![Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NotIdempotent])
}

fn any_reporting() -> impl Strategy<Value = CacheStatusReporting> {
    prop::sample::select(vec![
        CacheStatusReporting::None,
        CacheStatusReporting::Hit,
        CacheStatusReporting::All,
    ])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under random permitted events, each request must get exactly one final answer. No attempt
    /// may be sent after it or to a draining endpoint, no two attempts may be in flight at once
    /// without hedged requests, no request may be repeated against its idempotency, and the same
    /// seed must give the same actions.
    #[test]
    fn random_events_keep_the_invariants(
        steps in prop::collection::vec((0u8..6, any::<u64>()), 50..400),
        hedging_allowed: bool,
        idempotency in any_idempotency(),
        bypass_edge_cache: bool,
        cache_status_reporting in any_reporting(),
    ) {
        let class = RequestClass { idempotency, scope: DeduplicationScope::Zone, ..class() };
        let classes = vec![class];
        let mut checker = RuleChecker::new(Settings {
            hedging_allowed,
            bypass_edge_cache,
            cache_status_reporting,
            classes,
            ..settings()
        });
        for (kind, random) in steps {
            checker.step(Step::of(kind), random)?;
        }
        checker.step(Step::End, 0)?;
        prop_assert!(
            checker.requests.values().all(|open| open.has_ended),
            "a request was never answered"
        );
    }
}
