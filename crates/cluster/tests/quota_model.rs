//! Model check of leased quotas: explores all orders of events, within bounds, for one limit shared
//! by three routers. Their clocks drift apart as far as the timings allow. Datagrams are delivered
//! in any order, dropped or delivered twice; a router crashes and restarts, is partitioned from the
//! others, or is paused. The model runs the production code itself.
//!
//! Bounds: number of steps from three initial states in which quota is lent, datagrams in flight,
//! one crash, one partition, two duplicated datagrams, one pause. `quota_safety.rs` covers longer
//! schedules.

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

const LIMIT_ID: u64 = 6;
/// Drift of each router's clock in thousandths, positive for a fast clock: the extremes that the
/// timings allow, and none.
const DRIFT_PER_MILLE: [i64; ROUTERS] = [10, 0, -10];
/// Offset between the clocks of successive routers: clocks of different routers are unrelated.
const CLOCK_OFFSET: Time = 500 * SEC;
/// The true time at which the model starts.
const START: Time = 1_000 * SEC;
/// Fraction of the limit that one request uses.
const REQUEST_FRACTION: f64 = 0.01;
/// Fraction of the limit that a router without load wants.
const LOW_DEMAND: f64 = 0.02;
/// Tolerance for rounding errors of floating-point sums, as a fraction of the limit.
const TOLERANCE: f64 = 1e-6;
/// Bounds of the search.
const BOUNDS: SearchBounds = SearchBounds { max_depth: 9, target_states: 1_200_000, min_states: 500_000 };

/// Number of faults of each kind that may still be injected.
#[derive(Clone, Debug)]
struct FaultBudget {
    crashes: u8,
    partitions: u8,
    duplicates: u8,
    pauses: u8,
}

/// A router's use of a fraction of the limit.
#[derive(Clone, Debug)]
struct Usage {
    router: usize,
    /// True time of the use.
    at: Time,
    fraction: f64,
}

#[derive(Clone, Debug)]
struct State {
    /// The current true time.
    now: Time,
    /// The quotas of each router; `None` while it is not running.
    routers: Vec<Option<QuotaManager>>,
    paused: [bool; ROUTERS],
    /// The fraction of the limit that each router wants.
    demands: [f64; ROUTERS],
    network: Network,
    budget: FaultBudget,
    /// The instance identifier given to the router process started last.
    last_instance_id: u64,
    /// Recent uses of the limit by all routers, in order of true time.
    usage: Vec<Usage>,
    /// Whether all routers together ever used more than the whole limit within a usage window.
    limit_exceeded: bool,
}

identify_by_debug_output!(State);

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// This true time passes for all routers, and due timeouts are handled.
    PassTime(Time),
    /// Time passes until just before the next expiry of a borrowed lease.
    PassTimeToExpiry,
    /// Time passes until just after the next lent quota is available to its lender again.
    PassTimeToReclaim,
    Deliver(usize),
    Duplicate(usize),
    /// A router uses all quota that it may use.
    Use(usize),
    /// One router gets all load: its demand becomes the whole limit, that of the others low.
    MoveLoad(usize),
    Crash(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Partition(usize),
    Heal,
}

impl State {
    /// A state in which all routers have started and use their own shares.
    fn started() -> State {
        let mut state = State {
            now: START,
            routers: vec![None, None, None],
            paused: [false; ROUTERS],
            demands: [1.0; ROUTERS],
            network: Network::default(),
            budget: FaultBudget { crashes: 1, partitions: 1, duplicates: 2, pauses: 1 },
            last_instance_id: 0,
            usage: Vec::new(),
            limit_exceeded: false,
        };
        (0..ROUTERS).for_each(|router| state.start(router));
        state.run(10 * SEC);
        assert!(state.routers.iter().flatten().all(|quota| quota.own_share_status().in_use));
        // Router 0 must be the broker: its clock is fast, so leases expire there first.
        let broker = Some(router_address(0));
        let others = state.routers.iter().flatten().skip(1);
        assert!(others.map(|quota| quota.lease_statuses()).all(|leases| leases[0].broker == broker));
        state
    }

    /// The current instant on a router's clock.
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

    /// Fraction of the limit that a router used within the last expiry delay, measured by its own
    /// clock.
    fn used_by(&self, router: usize) -> f64 {
        let delay = LeaseTimings::default().expiry_delay() as i64;
        let true_delay = delay * 1_000 / (1_000 + DRIFT_PER_MILLE[router]);
        let since = self.now.saturating_sub(true_delay as Time);
        let recent = self.usage.iter().filter(|usage| usage.router == router && usage.at > since);
        recent.map(|usage| usage.fraction).sum()
    }

    /// Updates a router's demand, calls `action` and sends the router's datagrams. Does nothing if
    /// the router is paused or not running.
    fn act(&mut self, router: usize, action: impl FnOnce(&mut QuotaManager, Time)) {
        let now = self.clock(router);
        let demand = WarmUpDemand {
            endpoint: EndpointId(LIMIT_ID),
            sharers: QuotaScope::All,
            used: self.used_by(router),
            wanted: self.demands[router],
            unit: REQUEST_FRACTION,
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

    /// True time until the first instant that `instant` returns for a lease status of any router,
    /// on that router's clock. `None` if there is none more than 1 ms ahead.
    fn true_time_until(&self, instant: impl Fn(&LeaseStatus) -> Option<Time>) -> Option<Time> {
        let time_until_at = |router: usize| {
            let at = self.routers[router].as_ref()?.lease_statuses().iter().filter_map(&instant).min()?;
            let clock_time_left = at.checked_sub(self.clock(router))? as i64;
            Some((clock_time_left * 1_000 / (1_000 + DRIFT_PER_MILLE[router])) as Time)
        };
        (0..ROUTERS).filter_map(time_until_at).filter(|duration| *duration > MS).min()
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        // A paused process would receive the datagram when it resumes. In the model the datagram is
        // lost instead, which is no easier case.
        if let Some(datagram) = self.network.deliver(index, delivery) {
            self.act(datagram.to, |quota, now| quota.handle_datagram(now, &datagram.payload));
        }
    }

    /// A router uses all quota that it may use. Records whether all routers together have exceeded
    /// the limit within the usage window.
    fn use_all(&mut self, router: usize) {
        let now = self.clock(router);
        let used = self.used_by(router);
        let is_running = !self.paused[router];
        let Some(quota) = self.routers[router].as_ref().filter(|_| is_running) else { return };
        let share = quota.usable_share(now, LIMIT_ID, QuotaScope::All);
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

    /// Lets true time pass in small steps; datagrams are delivered without delay.
    fn run(&mut self, duration: Time) {
        let until = self.now + duration;
        while self.now < until {
            self.pass_time(50 * MS);
            while self.network.len() > 0 {
                self.deliver(0, Delivery::Single);
            }
        }
    }

    /// Sets the demand of one router to the whole limit and that of the others to a low one.
    fn move_load(&mut self, router: usize) {
        self.demands = [LOW_DEMAND; ROUTERS];
        self.demands[router] = 1.0;
    }

    /// A later state in which the other routers have lent most of their quota to this router.
    fn with_quota_lent_to(&self, router: usize) -> State {
        let mut state = self.clone();
        state.move_load(router);
        // After this time the leases no longer change.
        state.run(60 * SEC);
        let usable = state.routers[router]
            .as_ref()
            .map(|quota| quota.usable_share(state.clock(router), LIMIT_ID, QuotaScope::All).now);
        assert!(usable.is_some_and(|usable| usable > 0.6), "router may use only {usable:?} of the limit");
        state
    }

    /// The last state before the leases borrowed by this router expire because no datagram is
    /// delivered any more.
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

    /// Appends the events and faults that are possible at one router.
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
        // Faults of router 1 would add no case that faults of the others do not cover.
        if router == 1 {
            return;
        }
        let is_running = is_started && !self.paused[router];
        if self.budget.crashes > 0 && is_running {
            actions.push(Action::Crash(router));
        }
        if self.budget.partitions > 0 {
            actions.push(Action::Partition(router));
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

    /// Three states: quota is lent to router 2; load has then just moved to router 1; the leases of
    /// router 2 are about to expire.
    fn init_states(&self) -> Vec<State> {
        let lent = State::started().with_quota_lent_to(2);
        let mut load_moved = lent.clone();
        load_moved.move_load(1);
        let about_to_expire = lent.clone().just_before_expiry(2);
        vec![lent, load_moved, about_to_expire]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::PassTime(400 * MS), Action::PassTimeToExpiry, Action::PassTimeToReclaim]);
        for router in 0..ROUTERS {
            state.router_actions(router, actions);
        }
        for index in 0..state.network.len() {
            // Loss needs no action of its own: a datagram that is never delivered is lost.
            actions.push(Action::Deliver(index));
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
            Action::PassTime(duration) => state.pass_time(duration),
            Action::PassTimeToExpiry => {
                let duration = state.true_time_until(|lease| lease.next_expiry)?;
                state.pass_time(duration - MS);
            }
            Action::PassTimeToReclaim => {
                let duration = state.true_time_until(|lease| lease.next_reclaim)?;
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
            Action::Partition(router) => {
                state.budget.partitions -= 1;
                state.network.partitioned = Some(router);
            }
            Action::Heal => state.network.partitioned = None,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Cluster>> {
        vec![Property::always("the limit is never exceeded", |_, state: &State| !state.limit_exceeded)]
    }
}

/// Guards against quota that two routers can use at once after some order of events.
#[test]
fn routers_together_never_exceed_the_limit_under_any_event_order() {
    assert_properties_hold(Cluster, &BOUNDS);
}
