//! Model check of membership: explores all orders of events, within bounds, for three routers with
//! independent clocks. Datagrams are delivered in any order, dropped or delivered twice; a router
//! crashes and restarts; a router is partitioned from the others. The model runs the production
//! code itself.
//!
//! Bounds: number of steps from the initial states, datagrams in flight, clocks at most 3 s apart,
//! one crash, one partition, one duplicated datagram. The seeded schedules of the simulation
//! package cover longer runs.

mod common;
mod model_support;

use common::router_address;
use hollymux_cluster::membership::{
    MemberRecord, MemberState, Membership, MembershipOptions, MembershipTimings,
};
use hollymux_cluster::{Time, SEC};
use model_support::{
    assert_properties_hold, identify_by_debug_output, Delivery, Network, SearchBounds, ROUTERS,
};
use stateright::{Model, Property};
use std::collections::BTreeMap;

/// A router handles a timeout only if it is due at most this long after the slowest clock.
const MAX_CLOCK_DIFFERENCE: Time = 3 * SEC;
/// Time within which all running routers must converge once all links work.
const CONVERGENCE_TIMEOUT: Time = 60 * SEC;
/// The instant on every router's clock at which the model starts.
const START: Time = 1_000 * SEC;
/// An initial state whose fault lasts longer than this must show router 2 as failed; one whose
/// fault is shorter must not.
const TIME_TO_FAILURE: Time = 10 * SEC;
/// Bounds of the search.
const BOUNDS: SearchBounds = SearchBounds { max_depth: 8, target_states: 40_000, min_states: 30_000 };

fn membership(router: usize, now: Time, generation: u64) -> Membership {
    let options = MembershipOptions {
        cluster_name: "model".into(),
        router_name: format!("n{router}"),
        zone: String::new(),
        address: router_address(router),
        seeds: (0..ROUTERS).map(router_address).collect(),
        generation,
        timings: MembershipTimings::default(),
        random_seed: router as u64,
    };
    Membership::new(options, now)
}

/// Number of faults of each kind that may still be injected.
#[derive(Clone, Debug)]
struct FaultBudget {
    crashes: u8,
    partitions: u8,
    duplicates: u8,
}

/// A pair of routers, by number: `observer` has a record of `member` in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Observation {
    observer: usize,
    member: usize,
}

#[derive(Clone, Debug)]
struct State {
    memberships: Vec<Option<Membership>>,
    clocks: Vec<Time>,
    network: Network,
    budget: FaultBudget,
    restarts: u64,
    /// The record that each observer had of each member after its last event.
    latest_records: BTreeMap<Observation, MemberRecord>,
    /// Whether any observer ever replaced a record by a lesser one.
    record_regressed: bool,
}

identify_by_debug_output!(State);

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// A router's clock advances to its next timeout, which it handles.
    HandleTimeout(usize),
    Deliver(usize),
    Drop(usize),
    Duplicate(usize),
    Crash(usize),
    Restart(usize),
    Partition(usize),
    Heal,
}

impl State {
    /// A state in which all routers have started and converged.
    fn converged() -> State {
        let memberships = (0..ROUTERS).map(|router| Some(membership(router, START, START + router as u64)));
        let mut state = State {
            memberships: memberships.collect(),
            clocks: vec![START; ROUTERS],
            network: Network::default(),
            budget: FaultBudget { crashes: 1, partitions: 1, duplicates: 1 },
            restarts: 0,
            latest_records: BTreeMap::new(),
            record_regressed: false,
        };
        (0..ROUTERS).for_each(|router| state.collect_output(router));
        state.run(5 * SEC);
        assert!(state.has_converged());
        state
    }

    /// Sends a router's queued datagrams, and checks that no record in its table was replaced by a
    /// lesser one.
    fn collect_output(&mut self, router: usize) {
        let Some(membership) = &mut self.memberships[router] else { return };
        while membership.poll_change().is_some() {}
        let transmits = std::iter::from_fn(|| membership.poll_transmit()).collect();
        self.network.send(router, transmits);
        for status in membership.members() {
            let member = (0..ROUTERS).find(|member| router_address(*member) == status.address);
            let observation = Observation { observer: router, member: member.unwrap_or(0) };
            let previous = self.latest_records.insert(observation, status.record.clone());
            self.record_regressed |= previous.is_some_and(|previous| previous > status.record);
        }
    }

    fn handle_timeout(&mut self, router: usize) {
        let due = self.memberships[router].as_ref().map_or(0, Membership::next_timeout);
        self.clocks[router] = self.clocks[router].max(due);
        let now = self.clocks[router];
        if let Some(membership) = &mut self.memberships[router] {
            membership.handle_timeout(now);
        }
        self.collect_output(router);
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let Some(datagram) = self.network.deliver(index, delivery) else { return };
        let now = self.clocks[datagram.to];
        if let Some(membership) = &mut self.memberships[datagram.to] {
            membership.handle_datagram(now, &datagram.payload);
        }
        self.collect_output(datagram.to);
    }

    /// Restarts a router with a generation lower than its previous one, as if the clock from which
    /// generations are taken had been set back.
    fn restart(&mut self, router: usize) {
        self.restarts += 1;
        let now = self.latest_clock();
        self.clocks[router] = now;
        self.memberships[router] = Some(membership(router, now, self.restarts));
        self.latest_records.retain(|observation, _| observation.observer != router);
        self.collect_output(router);
    }

    fn latest_clock(&self) -> Time {
        self.clocks.iter().copied().max().unwrap_or(0)
    }

    /// Advances all clocks by `duration`; datagrams are delivered without delay.
    fn run(&mut self, duration: Time) {
        let until = self.latest_clock() + duration;
        self.run_until(until, |_| false);
    }

    /// Advances all clocks until `condition` holds and returns `true`, or until the next timeout is
    /// not due before `until` and returns `false`.
    fn run_until(&mut self, until: Time, condition: impl Fn(&State) -> bool) -> bool {
        loop {
            while self.network.len() > 0 {
                self.deliver(0, Delivery::Single);
            }
            if condition(self) {
                return true;
            }
            let next_timeout = (0..ROUTERS)
                .filter_map(|router| Some((self.memberships[router].as_ref()?.next_timeout(), router)))
                .min();
            let Some((due, router)) = next_timeout.filter(|(due, _)| *due < until) else {
                return false;
            };
            self.clocks.iter_mut().for_each(|clock| *clock = (*clock).max(due));
            self.handle_timeout(router);
        }
    }

    /// Whether the running routers converge, starting from this state, once all links work.
    fn converges(&self) -> bool {
        let mut state = self.clone();
        state.network.partitioned = None;
        let now = state.latest_clock();
        state.clocks.iter_mut().for_each(|clock| *clock = now);
        state.run_until(now + CONVERGENCE_TIMEOUT, State::has_converged)
    }

    /// Whether all running routers have the same view, and each considers all others reachable.
    fn has_converged(&self) -> bool {
        let running: Vec<usize> = (0..ROUTERS).filter(|router| self.memberships[*router].is_some()).collect();
        let is_reachable = |observer: usize, member: usize| {
            self.record(observer, member).is_some_and(|record| record.state.is_reachable())
        };
        let all_reachable = running.iter().all(|observer| {
            running.iter().all(|member| member == observer || is_reachable(*observer, *member))
        });
        let digest = |router: usize| self.memberships[router].as_ref().map(Membership::digest);
        all_reachable && running.windows(2).all(|pair| digest(pair[0]) == digest(pair[1]))
    }

    fn record(&self, observer: usize, member: usize) -> Option<&MemberRecord> {
        self.memberships[observer].as_ref()?.record_of(router_address(member))
    }

    /// Whether each running router counts all routers that it has known since its start as possibly
    /// active.
    fn counts_all_known(&self) -> bool {
        self.memberships.iter().enumerate().all(|(observer, membership)| {
            let known = self.latest_records.keys().filter(|key| key.observer == observer).count() as u32;
            membership.as_ref().is_none_or(|view| view.possibly_active_count(None) == known + 1)
        })
    }
}

/// A state some time after router 2 crashed or was partitioned. The search starts from such states
/// because suspicions and failures take more steps to develop than its depth allows.
fn with_fault(converged: &State, crash: bool, duration: Time) -> State {
    let mut state = converged.clone();
    if crash {
        state.memberships[2] = None;
        state.budget.crashes = 0;
    } else {
        state.network.partitioned = Some(2);
        state.budget.partitions = 0;
    }
    state.run(duration);
    let observed_state = state.record(0, 2).map(|record| record.state);
    let must_have_failed = duration > TIME_TO_FAILURE;
    assert_eq!(observed_state == Some(MemberState::Failed), must_have_failed, "{observed_state:?}");
    state
}

struct Cluster;

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let converged = State::converged();
        let mut states = vec![converged.clone()];
        for crash in [true, false] {
            for duration in [2 * SEC, 15 * SEC] {
                states.push(with_fault(&converged, crash, duration));
            }
        }
        states
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let running = (0..ROUTERS).filter(|router| state.memberships[*router].is_some());
        let slowest = running.map(|router| state.clocks[router]).min().unwrap_or(0);
        for router in 0..ROUTERS {
            match &state.memberships[router] {
                Some(membership) if membership.next_timeout() <= slowest + MAX_CLOCK_DIFFERENCE => {
                    actions.push(Action::HandleTimeout(router));
                }
                Some(_) => {}
                None => actions.push(Action::Restart(router)),
            }
            if state.budget.crashes > 0 && state.memberships[router].is_some() {
                actions.push(Action::Crash(router));
            }
            if state.budget.partitions > 0 {
                actions.push(Action::Partition(router));
            }
        }
        for index in 0..state.network.len() {
            actions.extend([Action::Deliver(index), Action::Drop(index)]);
            if state.budget.duplicates > 0 {
                actions.push(Action::Duplicate(index));
            }
        }
        if state.network.partitioned.is_some() {
            actions.push(Action::Heal);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        match action {
            Action::HandleTimeout(router) => state.handle_timeout(router),
            Action::Deliver(index) => state.deliver(index, Delivery::Single),
            Action::Drop(index) => drop(state.network.deliver(index, Delivery::Single)),
            Action::Duplicate(index) => {
                state.budget.duplicates -= 1;
                state.deliver(index, Delivery::Duplicated);
            }
            Action::Crash(router) => {
                state.budget.crashes -= 1;
                state.memberships[router] = None;
            }
            Action::Restart(router) => state.restart(router),
            Action::Partition(router) => {
                state.budget.partitions -= 1;
                state.network.partitioned = Some(router);
            }
            Action::Heal => state.network.partitioned = None,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Cluster>> {
        vec![
            Property::always("no record is replaced by a lesser one", |_, state: &State| {
                !state.record_regressed
            }),
            Property::always("all known routers count as possibly active", |_, state: &State| {
                state.counts_all_known()
            }),
            Property::always("running routers converge once all links work", |_, state: &State| {
                state.converges()
            }),
        ]
    }
}

/// Guards against partitions and crashes after which routers never converge again, and against a
/// router that may be active but is not counted.
#[test]
fn routers_converge_and_count_all_active_ones_under_every_event_order() {
    assert_properties_hold(Cluster, &BOUNDS);
}
