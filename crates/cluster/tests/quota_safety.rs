//! Parts of limits between routers whose links and processes fail, each by a clock of its own, against the one rule:
//! what all of them together used within a window is never more than the whole. Every router uses at once all that it
//! may, which is the worst that it could do.

use hollymux_cluster::quota::{ActivePeers, LeaseTimings, QuotaManager, QuotaOptions, QuotaPeer};
use hollymux_cluster::{RouterCounts, Time, Transmit, MS, SEC};
use hollymux_decision::{EndpointId, QuotaScope, WarmUpDemand};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

const STEP: Time = 20 * MS;
const LIMIT: u64 = 77;

fn addr(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, router as u8], 7_946))
}

struct Router {
    limits: Option<QuotaManager>,
    paused: bool,
    waiting: VecDeque<Vec<u8>>,
    /// Its clock: this much ahead, and so many in a thousand fast.
    ahead: Time,
    fast: i64,
    /// How much of what it may use it wants.
    wants: f64,
    /// Everybody it holds to be at work, perhaps.
    knows: BTreeSet<usize>,
    used: VecDeque<(Time, f64)>,
}

struct World {
    now: Time,
    rng: Pcg64Mcg,
    terms: LeaseTimings,
    configured: u32,
    /// What one request takes.
    unit: f64,
    routers: Vec<Router>,
    cut: BTreeSet<(usize, usize)>,
    loss: u64,
    twice: u64,
    late: Time,
    flying: BTreeMap<(Time, u64), (usize, usize, Vec<u8>)>,
    seq: u64,
    /// Nobody is told whom others know.
    quiet: bool,
    /// Those whose last word was that they leave.
    left: BTreeSet<usize>,
    /// Use of everybody, by true time.
    all: VecDeque<(Time, f64)>,
    worst: f64,
    summed: (f64, u64),
}

impl World {
    fn new(routers: usize, configured: u32, seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let router = |i: usize| Router {
            limits: None,
            paused: false,
            waiting: VecDeque::new(),
            ahead: 1_000 * SEC + (rng.next_u64() % 1_000) * SEC + i as u64,
            fast: (rng.next_u64() % 19) as i64 - 9,
            wants: 1.0,
            knows: BTreeSet::new(),
            used: VecDeque::new(),
        };
        let routers = (0..routers).map(router).collect();
        World {
            now: 0,
            rng,
            terms: LeaseTimings::default(),
            configured,
            unit: 0.01,
            routers,
            cut: BTreeSet::new(),
            loss: 0,
            twice: 0,
            late: 0,
            flying: BTreeMap::new(),
            seq: 0,
            quiet: false,
            left: BTreeSet::new(),
            all: VecDeque::new(),
            worst: 0.0,
            summed: (0.0, 0),
        }
    }

    fn clock(&self, r: usize) -> Time {
        let r = &self.routers[r];
        (r.ahead as i64 + self.now as i64 * (1_000 + r.fast) / 1_000) as Time
    }

    fn start(&mut self, r: usize) {
        let options = QuotaOptions {
            cluster_name: "test".into(),
            address: addr(r),
            instance_id: self.rng.next_u64() | 1,
            configured_routers: RouterCounts { all: self.configured, own_zone: self.configured },
            timings: self.terms,
        };
        let now = self.clock(r);
        self.left.remove(&r);
        let router = &mut self.routers[r];
        (router.limits, router.paused) = (Some(QuotaManager::new(options, now)), false);
        router.waiting.clear();
        router.used.clear();
        router.knows = BTreeSet::from([r]);
    }

    fn kill(&mut self, r: usize) {
        self.routers[r].limits = None;
    }

    /// It leaves in words, which everybody hears who can.
    fn leave(&mut self, r: usize) {
        self.kill(r);
        self.left.insert(r);
        for other in 0..self.routers.len() {
            if !self.cut.contains(&(r, other)) {
                self.routers[other].knows.remove(&r);
            }
        }
    }

    fn part(&mut self, side: &[usize]) {
        for a in 0..self.routers.len() {
            for b in (0..self.routers.len()).filter(|b| side.contains(&a) != side.contains(b)) {
                self.cut.insert((a, b));
            }
        }
    }

    /// Two that can hear each other know whom the other knows, sooner or later.
    fn gossip(&mut self) {
        let n = self.routers.len();
        let (a, b) = ((self.rng.next_u64() % n as u64) as usize, (self.rng.next_u64() % n as u64) as usize);
        let live = |r: &Router| r.limits.is_some() && !r.paused;
        if a == b
            || self.quiet
            || self.cut.contains(&(a, b))
            || !live(&self.routers[a])
            || !live(&self.routers[b])
        {
            return;
        }
        // Who left in words stays away until he starts again; who is lost is told on.
        let told: Vec<usize> = self.routers[a].knows.difference(&self.left).copied().collect();
        self.routers[b].knows.extend(told);
    }

    fn run(&mut self, long: Time) {
        let until = self.now + long;
        while self.now < until {
            self.now += STEP;
            (0..self.routers.len().max(4)).for_each(|_| self.gossip());
            while let Some(entry) = self.flying.first_entry().filter(|e| e.key().0 <= self.now) {
                let (_, to, bytes) = entry.remove();
                self.routers[to].waiting.push_back(bytes);
            }
            for r in 0..self.routers.len() {
                self.turn(r);
            }
            let since = self.now.saturating_sub(self.terms.usage_window);
            while self.all.front().is_some_and(|u| u.0 <= since) {
                self.all.pop_front();
            }
            let sum: f64 = self.all.iter().map(|u| u.1).sum();
            self.worst = self.worst.max(sum);
            self.summed = (self.summed.0 + sum, self.summed.1 + 1);
        }
    }

    fn turn(&mut self, r: usize) {
        let now = self.clock(r);
        let window = self.terms.expiry_delay();
        let router = &mut self.routers[r];
        if router.paused || router.limits.is_none() {
            if router.limits.is_none() {
                router.waiting.clear();
            }
            return;
        }
        let Some(limits) = &mut router.limits else { return };
        while router.used.front().is_some_and(|u| u.0 + window <= now) {
            router.used.pop_front();
        }
        let used: f64 = router.used.iter().map(|u| u.1).sum();
        let others = router.knows.iter().filter(|k| **k != r);
        let peers =
            others.map(|k| QuotaPeer { address: addr(*k), same_zone: true, reachable: true }).collect();
        limits.update_peers(now, &ActivePeers { peers, unlisted: 0 });
        limits.update_demand(
            now,
            &[WarmUpDemand {
                endpoint: EndpointId(LIMIT),
                sharers: QuotaScope::All,
                used,
                wanted: router.wants,
                unit: self.unit,
            }],
        );
        for bytes in std::mem::take(&mut router.waiting) {
            limits.handle_datagram(now, &bytes);
        }
        if now >= limits.next_timeout() {
            limits.handle_timeout(now);
        }
        let part = limits.usable_share(now, LIMIT, QuotaScope::All);
        let free =
            (if now < part.until.as_micros() { part.now } else { part.after }).min(router.wants) - used;
        // Whole requests only.
        let free = (free / self.unit + 1e-6).floor() * self.unit;
        if free > 0.0 {
            router.used.push_back((now, free));
            self.all.push_back((self.now, free));
        }
        let mut out = Vec::new();
        while let Some(sent) = limits.poll_transmit() {
            out.push(sent);
        }
        for Transmit { destination, payload } in out {
            let to = usize::from(match destination.ip() {
                std::net::IpAddr::V4(ip) => ip.octets()[3],
                std::net::IpAddr::V6(_) => 0,
            });
            if self.cut.contains(&(r, to)) || self.rng.next_u64() % 100 < self.loss {
                continue;
            }
            for _ in 0..1 + u64::from(self.rng.next_u64() % 100 < self.twice) {
                let way = MS + self.rng.next_u64() % (20 * MS + self.late);
                self.seq += 1;
                self.flying.insert((self.now + way, self.seq), (r, to, payload.clone()));
            }
        }
    }

    fn open(&self) -> usize {
        self.routers.iter().filter(|r| r.limits.as_ref().is_some_and(|l| l.own_share_status().in_use)).count()
    }

    fn never_more_than_the_whole(&self) {
        assert!(self.worst <= 1.0 + 1e-6, "{} of the whole in one window", self.worst);
    }
}

/// Guards against shares that lie unused where nobody wants them: with load at one of seven nine tenths are in use.
#[test]
fn what_six_do_not_want_is_used_by_the_seventh() {
    let mut w = World::new(7, 7, 1);
    (0..7).for_each(|r| w.start(r));
    (1..7).for_each(|r| w.routers[r].wants = 0.01);
    w.run(12 * SEC);
    assert_eq!(w.open(), 7);
    // What was wanted until a moment ago fades first.
    w.run(15 * SEC);
    w.summed = (0.0, 0);
    w.run(20 * SEC);
    let mean = w.summed.0 / w.summed.1 as f64;
    w.never_more_than_the_whole();
    assert!(mean >= 0.8, "{mean} of the whole was used on average");
}

/// Guards against a newcomer that takes its share before the others have made room: from 3 to 30.
#[test]
fn a_fleet_that_grows_from_three_to_thirty_never_has_more_than_the_whole() {
    let mut w = World::new(30, 3, 2);
    (0..3).for_each(|r| w.start(r));
    w.run(15 * SEC);
    for r in 3..30 {
        w.start(r);
        w.routers[r].knows.extend([0, 1, 2]);
        for k in 0..3 {
            w.routers[k].knows.insert(r);
        }
        w.run(180 * MS);
    }
    w.run(15 * SEC);
    w.never_more_than_the_whole();
    assert_eq!(w.open(), 30);
    // ...and back: those who leave say so.
    (3..30).for_each(|r| w.leave(r));
    w.run(10 * SEC);
    w.never_more_than_the_whole();
    assert_eq!(w.routers[0].limits.as_ref().unwrap().own_share_status().divisors.all, 3);
}

/// Guards against a part that is there twice because its giver was killed, restarted or cut off while it was away.
#[test]
fn givers_and_takers_that_die_take_nothing_twice() {
    let mut w = World::new(4, 4, 3);
    (0..4).for_each(|r| w.start(r));
    w.run(10 * SEC);
    for round in 0..12u64 {
        let who = (round % 4) as usize;
        (0..4).for_each(|r| w.routers[r].wants = if r == (who + 1) % 4 { 1.0 } else { 0.02 });
        w.run(3 * SEC);
        // The one who gave starts anew at once and wants all that it can get.
        w.kill(who);
        w.run(round % 3 * 100 * MS);
        w.start(who);
        w.routers[who].knows.extend(0..4);
        w.routers[who].wants = 1.0;
        w.run(4 * SEC);
    }
    w.run(2 * SEC);
    w.never_more_than_the_whole();
    assert_eq!(w.open(), 4);
}

/// Guards against a process that stood still for longer than a lease and goes on with what it held.
#[test]
fn who_stood_still_uses_nothing_that_has_ended_meanwhile() {
    let mut w = World::new(3, 3, 4);
    (0..3).for_each(|r| w.start(r));
    w.run(10 * SEC);
    for r in [0, 1, 2, 0, 1, 2] {
        (0..3).for_each(|i| w.routers[i].wants = if i == r { 1.0 } else { 0.02 });
        w.run(3 * SEC);
        w.routers[r].paused = true;
        (0..3).for_each(|i| w.routers[i].wants = 1.0);
        w.run(6 * SEC);
        w.routers[r].paused = false;
        w.run(2 * SEC);
    }
    w.never_more_than_the_whole();
}

/// Guards against a cut that lets both sides take the whole, and against one that leaves warm shares unused for ever.
#[test]
fn both_sides_of_a_cut_together_never_have_more_than_the_whole_and_get_it_back() {
    let mut w = World::new(7, 7, 5);
    (0..7).for_each(|r| w.start(r));
    w.run(10 * SEC);
    for r in 0..7 {
        w.routers[r].wants = if r == 0 || r == 6 { 1.0 } else { 0.05 };
    }
    w.run(4 * SEC);
    w.part(&[0, 1, 2]);
    w.run(20 * SEC);
    let (sum, turns) = w.summed;
    w.cut.clear();
    w.run(6 * SEC);
    (w.summed, w.worst) = ((0.0, 0), w.worst);
    w.run(10 * SEC);
    w.never_more_than_the_whole();
    assert!(w.summed.0 / w.summed.1 as f64 > 0.8, "{:?} before {sum} in {turns}", w.summed);
}

/// Guards against a newcomer that others have not counted, as they can't hear it: it has no share, and may borrow.
#[test]
fn a_newcomer_that_somebody_may_not_count_has_no_share_of_its_own() {
    let mut w = World::new(4, 3, 6);
    (0..3).for_each(|r| w.start(r));
    w.run(10 * SEC);
    w.part(&[2]);
    w.start(3);
    w.routers[3].knows.extend([0, 1, 2]);
    w.run(15 * SEC);
    w.never_more_than_the_whole();
    assert!(!w.routers[3].limits.as_ref().unwrap().own_share_status().in_use);
    w.cut.clear();
    w.run(15 * SEC);
    w.never_more_than_the_whole();
    assert_eq!(w.open(), 4);
}

/// Guards against shares that are of no use to anybody as each is less than one request: thirty routers, each of which has
/// a thirtieth, and requests that take a fifth. Together they are whole requests.
#[test]
fn shares_of_less_than_a_request_are_put_together() {
    let mut w = World::new(30, 30, 7);
    w.unit = 0.2;
    (0..30).for_each(|r| w.start(r));
    w.run(20 * SEC);
    assert_eq!(w.open(), 30);
    w.summed = (0.0, 0);
    w.run(20 * SEC);
    let mean = w.summed.0 / w.summed.1 as f64;
    w.never_more_than_the_whole();
    assert!(mean >= 0.7, "{mean} of the whole was used on average");
}

/// Guards against a restarted router that takes its share back on the word of one who has just started himself, and who
/// knows as little as it does who else is at work.
#[test]
fn word_of_an_earlier_share_counts_only_from_one_who_counts_everybody() {
    let mut w = World::new(7, 1, 8);
    (0..7).for_each(|r| w.start(r));
    w.run(15 * SEC);
    assert_eq!(w.open(), 7);
    w.part(&[1, 2]);
    w.quiet = true;
    for r in [2, 1] {
        w.kill(r);
        w.start(r);
        w.routers[r].knows.extend([0, 1, 2]);
        w.run(2 * SEC);
    }
    w.run(10 * SEC);
    w.never_more_than_the_whole();
    assert_eq!(w.open(), 5);
    w.cut.clear();
    w.quiet = false;
    w.run(15 * SEC);
    w.never_more_than_the_whole();
    assert_eq!(w.open(), 7);
}

#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Pause(usize),
    Go(usize),
    Part(usize),
    Heal,
    Want(usize, u8),
    Noise(u64, u64, u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..5usize).prop_map(Event::Kill),
        (0..5usize).prop_map(Event::Start),
        (0..5usize).prop_map(Event::Leave),
        (0..5usize).prop_map(Event::Pause),
        (0..5usize).prop_map(Event::Go),
        (1..31usize).prop_map(Event::Part),
        Just(Event::Heal),
        (0..5usize, 0..=10u8).prop_map(|(r, w)| Event::Want(r, w)),
        (0..60u64, 0..50u64, 0..10_000u64).prop_map(|(l, t, d)| Event::Noise(l, t, d)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// The whole against any schedule: starts, ends in words and not, pauses, cuts, loss, doubles, datagrams up to 10 s
    /// late, clocks that drift, load that moves.
    #[test]
    fn no_schedule_uses_more_than_the_whole(seed in any::<u64>(), events in proptest::collection::vec((event(), 20..3_000u64), 1..12)) {
        let mut w = World::new(5, 5, seed);
        (0..5).for_each(|r| w.start(r));
        w.run(7 * SEC);
        for (event, then) in events {
            match event {
                Event::Kill(r) => w.kill(r),
                Event::Start(r) => w.start(r),
                Event::Leave(r) => w.leave(r),
                Event::Pause(r) => w.routers[r].paused = true,
                Event::Go(r) => w.routers[r].paused = false,
                Event::Part(sides) => {
                    let side: Vec<usize> = (0..5).filter(|r| sides >> r & 1 == 1).collect();
                    w.part(&side);
                }
                Event::Heal => w.cut.clear(),
                Event::Want(r, tenths) => w.routers[r].wants = f64::from(tenths) / 10.0,
                Event::Noise(loss, twice, late) => (w.loss, w.twice, w.late) = (loss, twice, late * MS),
            }
            w.run(then * MS);
        }
        w.run(6 * SEC);
        prop_assert!(w.worst <= 1.0 + 1e-6, "{} of the whole in one window", w.worst);
    }
}
