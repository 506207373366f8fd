//! One limit under every order of events, up to a bound: three routers whose clocks drift as far
//! apart as is allowed, datagrams that are delivered in any order, dropped or delivered twice, one
//! crash with a restart, one cut, a process that stands still. The production code is checked
//! itself.
//!
//! Bounds: the number of steps from three states in which quota is lent, datagrams in flight, one
//! crash, one cut, two duplicated datagrams, one pause. Longer schedules are those of
//! `quota_safety.rs`.

mod common;
mod model_support;

use common::router_address;
use hollymux_cluster::quota::{
    ActivePeers, LeaseStatus, LeaseTimings, QuotaManager, QuotaOptions, QuotaPeer,
};
use hollymux_cluster::{RouterCounts, Time, MS, SEC};
use hollymux_decision::{EndpointId, QuotaScope, WarmUpDemand};
use model_support::{
    assert_properties_hold, identify_by_debug_output, Delivery, Network, SearchBounds, ROUTERS,
};
use stateright::{Model, Property};

const LIMIT: u64 = 6;
/// By how many thousandths each clock is fast: as far apart as the timings allow.
const DRIFT_PER_MILLE: [i64; ROUTERS] = [10, 0, -10];
/// Clocks of different routers have nothing to do with each other.
const CLOCK_OFFSET: Time = 500 * SEC;
/// The true time when a model starts.
const START: Time = 1_000 * SEC;
/// The fraction of the limit that one request takes.
const REQUEST_SIZE: f64 = 0.01;
/// The fraction that routers without load want.
const LOW_DEMAND: f64 = 0.02;
/// For errors of floating-point sums.
const TOLERANCE: f64 = 1e-6;
/// How far the model is searched.
const BOUNDS: SearchBounds = SearchBounds { max_depth: 9, target_states: 1_200_000, min_states: 500_000 };

/// Faults that may still happen.
#[derive(Clone, Debug)]
struct FaultBudget {
    crashes: u8,
    cuts: u8,
    duplicates: u8,
    pauses: u8,
}

/// That a router used a fraction of the limit, by true time.
#[derive(Clone, Debug)]
struct Usage {
    router: usize,
    at: Time,
    fraction: f64,
}

#[derive(Clone, Debug)]
struct State {
    /// True time.
    now: Time,
    routers: Vec<Option<QuotaManager>>,
    paused: [bool; ROUTERS],
    /// The fraction of the limit that each router wants.
    demands: [f64; ROUTERS],
    network: Network,
    budget: FaultBudget,
    last_instance_id: u64,
    usage: Vec<Usage>,
    limit_exceeded: bool,
}

identify_by_debug_output!(State);

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Time passes for all routers, and due timeouts are handled.
    PassTime(Time),
    /// Time passes to just before the next borrowed lease expires.
    PassToExpiry,
    /// Time passes to just after the next lent quota is reclaimed.
    PassToReclaim,
    Deliver(usize),
    Duplicate(usize),
    /// A router uses all that it may.
    Use(usize),
    /// Load moves to one router.
    MoveLoad(usize),
    Crash(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize),
    Heal,
}

impl State {
    /// All routers have started and use their own shares.
    fn started() -> State {
        let mut state = State {
            now: START,
            routers: vec![None, None, None],
            paused: [false; ROUTERS],
            demands: [1.0; ROUTERS],
            network: Network::default(),
            budget: FaultBudget { crashes: 1, cuts: 1, duplicates: 2, pauses: 1 },
            last_instance_id: 0,
            usage: Vec::new(),
            limit_exceeded: false,
        };
        (0..ROUTERS).for_each(|router| state.start(router));
        state.run(10 * SEC);
        assert!(state.routers.iter().flatten().all(|quota| quota.own_share_status().in_use));
        // The router whose clock is fast is the broker: leases end for it first.
        let broker = Some(router_address(0));
        let others = state.routers.iter().flatten().skip(1);
        assert!(others.map(|quota| quota.lease_statuses()).all(|leases| leases[0].broker == broker));
        state
    }

    fn clock(&self, router: usize) -> Time {
        let drifted = self.now as i64 * (1_000 + DRIFT_PER_MILLE[router]) / 1_000;
        drifted as Time + router as Time * CLOCK_OFFSET
    }

    fn start(&mut self, router: usize) {
        self.last_instance_id += 1;
        let options = QuotaOptions {
            cluster_name: "model".into(),
            address: router_address(router),
            instance_id: self.last_instance_id,
            configured_routers: RouterCounts { all: ROUTERS as u32, own_zone: ROUTERS as u32 },
            timings: LeaseTimings::default(),
        };
        let now = self.clock(router);
        let mut quota = QuotaManager::new(options, now);
        let others = (0..ROUTERS).filter(|other| *other != router);
        let peers = others
            .map(|other| QuotaPeer { address: router_address(other), same_zone: true, reachable: true })
            .collect();
        quota.update_peers(now, &ActivePeers { peers, unlisted: 0 });
        self.routers[router] = Some(quota);
        self.paused[router] = false;
    }

    /// What a router used within the expiry delay of its own clock.
    fn used_by(&self, router: usize) -> f64 {
        let delay = LeaseTimings::default().expiry_delay() as i64;
        let true_delay = delay * 1_000 / (1_000 + DRIFT_PER_MILLE[router]);
        let since = self.now.saturating_sub(true_delay as Time);
        let recent = self.usage.iter().filter(|usage| usage.router == router && usage.at > since);
        recent.map(|usage| usage.fraction).sum()
    }

    /// Has a running router act, after it has been told what is wanted there now, and sends its
    /// datagrams.
    fn act(&mut self, router: usize, action: impl FnOnce(&mut QuotaManager, Time)) {
        let now = self.clock(router);
        let demand = WarmUpDemand {
            endpoint: EndpointId(LIMIT),
            sharers: QuotaScope::All,
            used: self.used_by(router),
            wanted: self.demands[router],
            unit: REQUEST_SIZE,
        };
        let is_running = !self.paused[router];
        let Some(quota) = self.routers[router].as_mut().filter(|_| is_running) else { return };
        quota.update_demand(now, &[demand]);
        action(quota, now);
        let transmits = std::iter::from_fn(|| quota.poll_transmit()).collect();
        self.network.send(router, transmits);
    }

    fn pass_time(&mut self, duration: Time) {
        self.now += duration;
        for router in 0..ROUTERS {
            let now = self.clock(router);
            if self.routers[router].as_ref().is_some_and(|quota| quota.next_timeout() <= now) {
                self.act(router, |quota, now| quota.handle_timeout(now));
            }
        }
        let since = self.now.saturating_sub(2 * LeaseTimings::default().usage_window);
        self.usage.retain(|usage| usage.at > since);
    }

    /// True time until the first of these moments, which each router tells by its own clock.
    fn time_until(&self, moment: impl Fn(&LeaseStatus) -> Option<Time>) -> Option<Time> {
        let true_time_until = |router: usize| {
            let at = self.routers[router].as_ref()?.lease_statuses().iter().filter_map(&moment).min()?;
            let left = at.checked_sub(self.clock(router))? as i64 * 1_000;
            Some((left / (1_000 + DRIFT_PER_MILLE[router])) as Time)
        };
        (0..ROUTERS).filter_map(true_time_until).filter(|duration| *duration > MS).min()
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        // A paused process would read it when it resumes; here it is lost, which makes no less
        // trouble.
        if let Some(datagram) = self.network.deliver(index, delivery) {
            self.act(datagram.to, |quota, now| quota.handle_datagram(now, &datagram.payload));
        }
    }

    /// A router uses all that it may; notes whether all of them together exceed the limit.
    fn use_all(&mut self, router: usize) {
        let now = self.clock(router);
        let used = self.used_by(router);
        let is_running = !self.paused[router];
        let Some(quota) = self.routers[router].as_ref().filter(|_| is_running) else { return };
        let share = quota.usable_share(now, LIMIT, QuotaScope::All);
        let usable = if now < share.until.as_micros() { share.now } else { share.after };
        let free = usable - used;
        if free > 0.0 {
            self.usage.push(Usage { router, at: self.now, fraction: free });
        }
        let since = self.now.saturating_sub(LeaseTimings::default().usage_window);
        let recent = self.usage.iter().filter(|usage| usage.at > since);
        let total: f64 = recent.map(|usage| usage.fraction).sum();
        self.limit_exceeded |= total > 1.0 + TOLERANCE;
    }

    /// Time passes for all routers, and all datagrams arrive at once.
    fn run(&mut self, duration: Time) {
        let until = self.now + duration;
        while self.now < until {
            self.pass_time(50 * MS);
            while self.network.len() > 0 {
                self.deliver(0, Delivery::Single);
            }
        }
    }

    fn move_load(&mut self, router: usize) {
        self.demands = [LOW_DEMAND; ROUTERS];
        self.demands[router] = 1.0;
    }

    /// Quota of the others has been lent to this router for a while.
    fn with_quota_lent_to(&self, router: usize) -> State {
        let mut state = self.clone();
        state.move_load(router);
        // Until the leases no longer change.
        state.run(60 * SEC);
        let usable = state.routers[router]
            .as_ref()
            .map(|quota| quota.usable_share(state.clock(router), LIMIT, QuotaScope::All).now);
        assert!(usable.is_some_and(|usable| usable > 0.6), "{usable:?}");
        state
    }

    /// No datagram arrives any more until the leases of this router are just about to expire.
    fn just_before_expiry(mut self, router: usize) -> State {
        let borrowed = |state: &State| {
            state.routers[router].as_ref().map_or(0, |quota| quota.lease_statuses()[0].borrowed)
        };
        loop {
            let mut next = self.clone();
            next.pass_time(2 * MS);
            while next.network.len() > 0 {
                drop(next.network.deliver(0, Delivery::Single));
            }
            next.act(router, |_, _| {});
            if borrowed(&next) == 0 {
                return self;
            }
            self = next;
        }
    }

    /// The faults and events that may happen to one router.
    fn router_actions(&self, router: usize, actions: &mut Vec<Action>) {
        let is_started = self.routers[router].is_some();
        actions.push(match (is_started, self.paused[router]) {
            (true, false) => Action::Use(router),
            (true, true) => Action::Resume(router),
            (false, _) => Action::Start(router),
        });
        if self.demands[router] < 1.0 {
            actions.push(Action::MoveLoad(router));
        }
        // Faults of router 1 show nothing that those of the others do not.
        if router == 1 {
            return;
        }
        let is_running = is_started && !self.paused[router];
        if self.budget.crashes > 0 && is_running {
            actions.push(Action::Crash(router));
        }
        if self.budget.cuts > 0 {
            actions.push(Action::Cut(router));
        }
        if self.budget.pauses > 0 && is_running {
            actions.push(Action::Pause(router));
        }
    }
}

struct Cluster;

impl Model for Cluster {
    type State = State;
    type Action = Action;

    /// Quota is lent to one router; or load has just moved on from there; or the leases are about
    /// to expire.
    fn init_states(&self) -> Vec<State> {
        let lent = State::started().with_quota_lent_to(2);
        let mut load_moved = lent.clone();
        load_moved.move_load(1);
        let about_to_expire = lent.clone().just_before_expiry(2);
        vec![lent, load_moved, about_to_expire]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::PassTime(400 * MS), Action::PassToExpiry, Action::PassToReclaim]);
        for router in 0..ROUTERS {
            state.router_actions(router, actions);
        }
        for index in 0..state.network.len() {
            // A datagram that is never delivered is a lost one.
            actions.push(Action::Deliver(index));
            if state.budget.duplicates > 0 {
                actions.push(Action::Duplicate(index));
            }
        }
        if state.network.cut_off.is_some() {
            actions.push(Action::Heal);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        match action {
            Action::PassTime(duration) => state.pass_time(duration),
            Action::PassToExpiry => {
                let duration = state.time_until(|lease| lease.next_expiry)?;
                state.pass_time(duration - MS);
            }
            Action::PassToReclaim => {
                let duration = state.time_until(|lease| lease.next_reclaim)?;
                state.pass_time(duration + MS);
            }
            Action::Deliver(index) => state.deliver(index, Delivery::Single),
            Action::Duplicate(index) => {
                state.budget.duplicates -= 1;
                state.deliver(index, Delivery::Duplicated);
            }
            Action::Use(router) => state.use_all(router),
            Action::MoveLoad(router) => state.move_load(router),
            Action::Crash(router) => {
                state.budget.crashes -= 1;
                state.routers[router] = None;
            }
            Action::Start(router) => state.start(router),
            Action::Pause(router) => {
                state.budget.pauses -= 1;
                state.paused[router] = true;
            }
            Action::Resume(router) => state.paused[router] = false,
            Action::Cut(router) => {
                state.budget.cuts -= 1;
                state.network.cut_off = Some(router);
            }
            Action::Heal => state.network.cut_off = None,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Cluster>> {
        vec![Property::always("the limit is never exceeded", |_, state: &State| !state.limit_exceeded)]
    }
}

#[test]
fn no_order_of_events_lets_all_routers_together_exceed_the_limit() {
    assert_properties_hold(Cluster, &BOUNDS);
}
