//! The view under every order of what can happen, up to a bound: three routers, each with a clock of its own, datagrams
//! that are delivered in any order, dropped or delivered twice, one crash with a next start, one cut. The real code is
//! checked, not a picture of it.
//!
//! Bounded: so many steps from a settled fleet, at most six datagrams in flight (the oldest are lost beyond), clocks at
//! most 3 s apart, one crash, one cut, one datagram twice. Beyond that the seeded schedules of the laboratory go.

mod common;

use common::{addr, by_text};
use hollymux_cluster::membership::{
    MemberRecord, MemberState, Membership, MembershipOptions, MembershipTimings,
};
use hollymux_cluster::{Time, Transmit, SEC};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

const ROUTERS: usize = 3;
const FLIGHT: usize = 6;
const APART: Time = 3 * SEC;
/// In a fair run all that are up agree within this.
const FAIR: Time = 60 * SEC;

fn view(i: usize, now: Time, start: u64) -> Membership {
    let options = MembershipOptions {
        cluster_name: "model".into(),
        router_name: format!("n{i}"),
        zone: String::new(),
        address: addr(i),
        seeds: (0..ROUTERS).map(addr).collect(),
        generation: start,
        timings: MembershipTimings::default(),
        random_seed: i as u64,
    };
    Membership::new(options, now)
}

#[derive(Clone, Debug)]
struct State {
    views: Vec<Option<Membership>>,
    clocks: Vec<Time>,
    flight: Vec<(usize, usize, Vec<u8>)>,
    cut: Option<usize>,
    /// Crashes, cuts and repetitions that are left.
    left: [u8; 3],
    starts: u64,
    last: BTreeMap<(usize, usize), MemberRecord>,
    went_back: bool,
}

by_text!(State);

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// A router's clock goes to its next timer.
    Step(usize),
    Deliver(usize),
    Drop(usize),
    Twice(usize),
    Crash(usize),
    Start(usize),
    Cut(usize),
    Heal,
}

impl State {
    /// Takes what a router sends, and looks whether what it says has gone back.
    fn after(&mut self, i: usize) {
        let Some(view) = &mut self.views[i] else { return };
        while view.poll_change().is_some() {}
        while let Some(Transmit { destination, payload }) = view.poll_transmit() {
            if let Some(to) = (0..ROUTERS).find(|j| addr(*j) == destination && *j != i) {
                self.flight.push((i, to, payload));
            }
        }
        let more = self.flight.len().saturating_sub(FLIGHT);
        self.flight.drain(..more);
        for s in view.members() {
            let key = (i, (0..ROUTERS).find(|j| addr(*j) == s.address).unwrap_or(0));
            let before = self.last.insert(key, s.record.clone());
            self.went_back |= before.is_some_and(|b| b > s.record);
        }
    }

    fn step(&mut self, i: usize) {
        let due = self.views[i].as_ref().map_or(0, Membership::next_timeout);
        self.clocks[i] = self.clocks[i].max(due);
        let now = self.clocks[i];
        if let Some(view) = &mut self.views[i] {
            view.handle_timeout(now);
        }
        self.after(i);
    }

    fn deliver(&mut self, n: usize, again: bool) {
        let (from, to, bytes) = if again { self.flight[n].clone() } else { self.flight.remove(n) };
        if self.cut.is_some_and(|c| c == from || c == to) {
            return;
        }
        let now = self.clocks[to];
        if let Some(view) = &mut self.views[to] {
            view.handle_datagram(now, &bytes);
        }
        self.after(to);
    }

    /// Time passes for all, and all that is sent arrives at once.
    fn run(&mut self, long: Time) {
        let until = self.clocks.iter().copied().max().unwrap_or(0) + long;
        self.run_until(until, |_| false);
    }

    fn run_until(&mut self, until: Time, holds: impl Fn(&State) -> bool) -> bool {
        loop {
            while !self.flight.is_empty() {
                self.deliver(0, false);
            }
            if holds(self) {
                return true;
            }
            let next = (0..ROUTERS).filter_map(|i| Some((self.views[i].as_ref()?.next_timeout(), i))).min();
            let Some((at, i)) = next.filter(|n| n.0 < until) else { return false };
            self.clocks.iter_mut().for_each(|c| *c = (*c).max(at));
            self.step(i);
        }
    }

    /// Time passes for all, links are sound: whether all that are up come to hold one view with each other in it.
    fn settles(&self) -> bool {
        let mut s = self.clone();
        s.cut = None;
        let begin = s.clocks.iter().copied().max().unwrap_or(0);
        s.clocks.iter_mut().for_each(|c| *c = begin);
        s.run_until(begin + FAIR, State::same)
    }

    fn same(&self) -> bool {
        let up: Vec<usize> = (0..ROUTERS).filter(|i| self.views[*i].is_some()).collect();
        let view = |i: usize| self.views[i].as_ref();
        let alive = |by: usize, of: usize| {
            view(by).and_then(|v| v.record_of(addr(of))).is_some_and(|r| r.state <= MemberState::Suspect)
        };
        let all = up.iter().all(|by| up.iter().all(|of| of == by || alive(*by, *of)));
        all && up.windows(2).all(|w| view(w[0]).map(Membership::digest) == view(w[1]).map(Membership::digest))
    }

    /// Whether each that is up counts all that he ever knew.
    fn counts_all(&self) -> bool {
        self.views.iter().enumerate().all(|(by, v)| {
            let known = self.last.keys().filter(|(b, _)| *b == by).count() as u32;
            v.as_ref().is_none_or(|v| v.possibly_active_count(None) == known + 1)
        })
    }
}

struct Fleet;

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let begin = 1_000 * SEC;
        let mut s = State {
            views: (0..ROUTERS).map(|i| Some(view(i, begin, begin + i as u64))).collect(),
            clocks: vec![begin; ROUTERS],
            flight: Vec::new(),
            cut: None,
            left: [1, 1, 1],
            starts: 0,
            last: BTreeMap::new(),
            went_back: false,
        };
        (0..ROUTERS).for_each(|i| s.after(i));
        s.run(5 * SEC);
        assert!(s.same());
        // What takes many steps to come about is where the model begins: a suspicion, a loss, a cut that both sides
        // have noticed.
        let mut all = vec![s.clone()];
        for (crash, long) in [(true, 2 * SEC), (true, 15 * SEC), (false, 2 * SEC), (false, 15 * SEC)] {
            let mut s = s.clone();
            if crash {
                s.views[2] = None;
                s.left[0] = 0;
            } else {
                s.cut = Some(2);
                s.left[1] = 0;
            }
            s.run(long);
            let said = s.views[0].as_ref().and_then(|v| v.record_of(addr(2))).map(|r| r.state);
            assert_eq!(said == Some(MemberState::Failed), long > 10 * SEC, "{said:?}");
            all.push(s);
        }
        all
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        let slowest = (0..ROUTERS).filter(|i| s.views[*i].is_some()).map(|i| s.clocks[i]).min().unwrap_or(0);
        for i in 0..ROUTERS {
            match &s.views[i] {
                Some(v) if v.next_timeout() <= slowest + APART => actions.push(Action::Step(i)),
                Some(_) => {}
                None => actions.push(Action::Start(i)),
            }
            if s.left[0] > 0 && s.views[i].is_some() {
                actions.push(Action::Crash(i));
            }
            if s.left[1] > 0 {
                actions.push(Action::Cut(i));
            }
        }
        for n in 0..s.flight.len() {
            actions.extend([Action::Deliver(n), Action::Drop(n)]);
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
            Action::Step(i) => s.step(i),
            Action::Deliver(n) => s.deliver(n, false),
            Action::Drop(n) => drop(s.flight.remove(n)),
            Action::Twice(n) => {
                s.left[2] -= 1;
                s.deliver(n, true);
            }
            Action::Crash(i) => {
                s.left[0] -= 1;
                s.views[i] = None;
            }
            Action::Start(i) => {
                // Under a clock that went back: its start must not matter.
                s.starts += 1;
                s.clocks[i] = s.clocks.iter().copied().max().unwrap_or(0);
                s.views[i] = Some(view(i, s.clocks[i], s.starts));
                s.last.retain(|(by, _), _| *by != i);
                s.after(i);
            }
            Action::Cut(i) => {
                s.left[1] -= 1;
                s.cut = Some(i);
            }
            Action::Heal => s.cut = None,
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            Property::always("records never go back", |_, s: &State| !s.went_back),
            Property::always("who may be at work is counted", |_, s: &State| s.counts_all()),
            Property::always("whoever is up is found again", |_, s: &State| s.settles()),
        ]
    }
}

#[test]
fn no_order_of_events_loses_a_router_for_good_or_counts_one_out() {
    let checker =
        Fleet.checker().threads(4).target_max_depth(8).target_state_count(40_000).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 30_000, "{} states", checker.unique_state_count());
}
