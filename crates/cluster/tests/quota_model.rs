//! Parts of one limit under every order of what can happen, up to a bound: three routers whose clocks drift as far
//! apart as is allowed, words that are delivered in any order, dropped or delivered twice, one crash with a next start,
//! one cut, processes that stand still. The real code is checked, not a picture of it.
//!
//! Bounded: so many steps from three states in which parts are away, at most six words in flight (the oldest are lost
//! beyond), one crash, one cut, two words twice. Longer schedules are those of `limits.rs`.

mod common;

use common::{addr, by_text};
use hollymux_cluster::quota::{
    ActivePeers, LeaseStatus, LeaseTimings, QuotaManager, QuotaOptions, QuotaPeer,
};
use hollymux_cluster::{RouterCounts, Time, Transmit, MS, SEC};
use hollymux_decision::{EndpointId, QuotaScope, WarmUpDemand};
use stateright::{Checker, Model, Property};

const ROUTERS: usize = 3;
const FLIGHT: usize = 6;
const LIMIT: u64 = 6;
/// What the clocks gain, in a thousand: as far apart as the terms allow.
const FAST: [i64; ROUTERS] = [10, 0, -10];

#[derive(Clone, Debug)]
struct State {
    /// True time, and who stands still.
    now: Time,
    routers: Vec<Option<QuotaManager>>,
    still: [bool; ROUTERS],
    wants: [f64; ROUTERS],
    flight: Vec<(usize, usize, Vec<u8>)>,
    cut: Option<usize>,
    /// Crashes, cuts, repetitions and pauses that are left.
    left: [u8; 4],
    life: u64,
    /// Who used how much, and when.
    used: Vec<(usize, Time, f64)>,
    too_much: bool,
}

by_text!(State);

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Time passes for all, and those who are due are asked.
    Pass(Time),
    /// Time passes to just before the next lot that somebody holds ends, or to when one that was given is back.
    ToEnd,
    ToBack,
    Deliver(usize),
    Twice(usize),
    /// A router uses all that it may.
    Use(usize),
    /// Load moves to one router.
    Load(usize),
    Crash(usize),
    Start(usize),
    Stop(usize),
    Go(usize),
    Cut(usize),
    Heal,
}

impl State {
    fn clock(&self, i: usize) -> Time {
        (self.now as i64 * (1_000 + FAST[i]) / 1_000) as Time + i as Time * 500 * SEC
    }

    fn start(&mut self, i: usize) {
        self.life += 1;
        let options = QuotaOptions {
            cluster_name: "model".into(),
            address: addr(i),
            instance_id: self.life,
            configured_routers: RouterCounts { all: ROUTERS as u32, own_zone: ROUTERS as u32 },
            timings: LeaseTimings::default(),
        };
        let now = self.clock(i);
        let mut limits = QuotaManager::new(options, now);
        let others = (0..ROUTERS).filter(|o| *o != i);
        let peers =
            others.map(|o| QuotaPeer { address: addr(o), same_zone: true, reachable: true }).collect();
        limits.update_peers(now, &ActivePeers { peers, unlisted: 0 });
        self.routers[i] = Some(limits);
        self.still[i] = false;
    }

    /// What a router used within a window of its own clock, which runs as fast or slow as it does.
    fn used_by(&self, i: usize) -> f64 {
        let window = LeaseTimings::default().expiry_delay() as i64 * 1_000 / (1_000 + FAST[i]);
        let since = self.now.saturating_sub(window as Time);
        self.used.iter().filter(|u| u.0 == i && u.1 > since).map(|u| u.2).sum()
    }

    /// Before a router decides anything it is told what is wanted there now.
    fn ask(&mut self, i: usize, act: impl FnOnce(&mut QuotaManager, Time)) {
        let (now, used, wanted) = (self.clock(i), self.used_by(i), self.wants[i]);
        let Some(limits) = self.routers[i].as_mut().filter(|_| !self.still[i]) else { return };
        limits.update_demand(
            now,
            &[WarmUpDemand {
                endpoint: EndpointId(LIMIT),
                sharers: QuotaScope::All,
                used,
                wanted,
                unit: 0.01,
            }],
        );
        act(limits, now);
        while let Some(Transmit { destination, payload }) = limits.poll_transmit() {
            if let Some(to) = (0..ROUTERS).find(|j| addr(*j) == destination) {
                self.flight.push((i, to, payload));
            }
        }
        let more = self.flight.len().saturating_sub(FLIGHT);
        self.flight.drain(..more);
    }

    fn pass(&mut self, long: Time) {
        self.now += long;
        for i in 0..ROUTERS {
            let due = self.routers[i].as_ref().is_some_and(|l| l.next_timeout() <= self.clock(i));
            if due {
                self.ask(i, |l, now| l.handle_timeout(now));
            }
        }
        let since = self.now.saturating_sub(2 * LeaseTimings::default().usage_window);
        self.used.retain(|u| u.1 > since);
    }

    /// True time until the first of those moments, which each router tells by its own clock.
    fn until(&self, moment: impl Fn(&LeaseStatus) -> Option<Time>) -> Option<Time> {
        let one = |i: usize| {
            let at = self.routers[i].as_ref()?.lease_statuses().iter().filter_map(&moment).min()?;
            let left = at.checked_sub(self.clock(i))? as i64 * 1_000;
            Some((left / (1_000 + FAST[i])) as Time)
        };
        (0..ROUTERS).filter_map(one).filter(|t| *t > MS).min()
    }

    fn deliver(&mut self, n: usize, again: bool) {
        let (from, to, bytes) = if again { self.flight[n].clone() } else { self.flight.remove(n) };
        // A process that stands still reads what came when it goes on; here it is lost, which is no better.
        if !self.cut.is_some_and(|c| c == from || c == to) {
            self.ask(to, |l, now| l.handle_datagram(now, &bytes));
        }
    }

    fn consume(&mut self, i: usize) {
        let (now, used) = (self.clock(i), self.used_by(i));
        let Some(limits) = self.routers[i].as_ref().filter(|_| !self.still[i]) else { return };
        let part = limits.usable_share(now, LIMIT, QuotaScope::All);
        let free = if now < part.until.as_micros() { part.now } else { part.after } - used;
        if free > 0.0 {
            self.used.push((i, self.now, free));
        }
        let since = self.now.saturating_sub(LeaseTimings::default().usage_window);
        let all: f64 = self.used.iter().filter(|u| u.1 > since).map(|u| u.2).sum();
        self.too_much |= all > 1.0 + 1e-6;
    }

    /// Time passes for all, and all that is sent arrives at once.
    fn run(&mut self, long: Time) {
        let until = self.now + long;
        while self.now < until {
            self.pass(50 * MS);
            while !self.flight.is_empty() {
                self.deliver(0, false);
            }
        }
    }

    fn load(&mut self, at: usize) {
        self.wants = [0.02; ROUTERS];
        self.wants[at] = 1.0;
    }
}

struct Fleet;

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut s = State {
            now: 1_000 * SEC,
            routers: vec![None, None, None],
            still: [false; ROUTERS],
            wants: [1.0; ROUTERS],
            flight: Vec::new(),
            cut: None,
            left: [1, 1, 2, 1],
            life: 0,
            used: Vec::new(),
            too_much: false,
        };
        (0..ROUTERS).for_each(|i| s.start(i));
        s.run(10 * SEC);
        assert!(s.routers.iter().flatten().all(|l| l.own_share_status().in_use));
        // The router whose clock is fast passes parts on: its time for them is over first.
        assert!(s.routers.iter().flatten().skip(1).all(|l| l.lease_statuses()[0].broker == Some(addr(0))));
        // Parts are away at one of them, and have been for a while; or load has just moved to another one.
        let away = |at: usize| {
            let mut s = s.clone();
            s.load(at);
            // Until lots are as they stay.
            s.run(60 * SEC);
            let part =
                s.routers[at].as_ref().map(|l| l.usable_share(s.clock(at), LIMIT, QuotaScope::All).now);
            assert!(part.is_some_and(|p| p > 0.6), "{part:?}");
            s
        };
        let mut moved = away(2);
        moved.load(1);
        // No word comes any more, and what the slow clock holds is about to end.
        let mut late = away(2);
        let held = |s: &State| s.routers[2].as_ref().map_or(0, |l| l.lease_statuses()[0].borrowed);
        loop {
            let mut next = late.clone();
            next.pass(2 * MS);
            next.flight.clear();
            next.ask(2, |_, _| {});
            if held(&next) == 0 {
                break;
            }
            late = next;
        }
        vec![away(2), moved, late]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::Pass(400 * MS), Action::ToEnd, Action::ToBack]);
        for i in 0..ROUTERS {
            match (s.routers[i].is_some(), s.still[i]) {
                (true, false) => actions.push(Action::Use(i)),
                (true, true) => actions.push(Action::Go(i)),
                (false, _) => actions.push(Action::Start(i)),
            }
            if s.wants[i] < 1.0 {
                actions.push(Action::Load(i));
            }
            // Router 1 does nothing that the others do not.
            let live = i != 1 && s.routers[i].is_some() && !s.still[i];
            if s.left[0] > 0 && live {
                actions.push(Action::Crash(i));
            }
            if s.left[1] > 0 && i != 1 {
                actions.push(Action::Cut(i));
            }
            if s.left[3] > 0 && live {
                actions.push(Action::Stop(i));
            }
        }
        for n in 0..s.flight.len() {
            // One that is never delivered is a lost one.
            actions.push(Action::Deliver(n));
            if s.left[2] > 0 {
                actions.push(Action::Twice(n));
            }
        }
        if s.cut.is_some() {
            actions.push(Action::Heal);
        }
    }

    fn next_state(&self, s: &State, action: Action) -> Option<State> {
        let mut s = s.clone();
        match action {
            Action::Pass(long) => s.pass(long),
            Action::ToEnd => s.pass(s.until(|l| l.next_expiry)? - MS),
            Action::ToBack => s.pass(s.until(|l| l.next_reclaim)? + MS),
            Action::Deliver(n) => s.deliver(n, false),
            Action::Twice(n) => {
                s.left[2] -= 1;
                s.deliver(n, true);
            }
            Action::Use(i) => s.consume(i),
            Action::Load(i) => s.load(i),
            Action::Crash(i) => {
                s.left[0] -= 1;
                s.routers[i] = None;
            }
            Action::Start(i) => s.start(i),
            Action::Stop(i) => {
                s.left[3] -= 1;
                s.still[i] = true;
            }
            Action::Go(i) => s.still[i] = false,
            Action::Cut(i) => {
                s.left[1] -= 1;
                s.cut = Some(i);
            }
            Action::Heal => s.cut = None,
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![Property::always("nobody uses what another may", |_, s: &State| !s.too_much)]
    }
}

#[test]
fn no_order_of_events_lets_all_together_use_more_than_the_whole() {
    let checker =
        Fleet.checker().threads(4).target_max_depth(9).target_state_count(1_200_000).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 500_000, "{} states", checker.unique_state_count());
}
