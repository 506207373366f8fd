//! Leased quotas between routers whose links and processes fail, each with a clock of its own,
//! against the one rule: what all of them together use within a window is never more than the whole
//! limit. Every router uses at once all that it may, which is the worst that it could do.

mod common;

use common::router_address;
use hollymux_cluster::quota::{ActivePeers, LeaseTimings, QuotaManager, QuotaOptions, QuotaPeer};
use hollymux_cluster::{RouterCounts, Time, Transmit, MS, SEC};
use hollymux_decision::{EndpointId, QuotaScope, WarmUpDemand};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// From one turn of all routers to the next.
const STEP: Time = 20 * MS;
const LIMIT: u64 = 77;
/// The fraction of the limit that one request takes, if a test says nothing else.
const REQUEST_SIZE: f64 = 0.01;
/// The fraction that routers without load want.
const LOW_DEMAND: f64 = 0.02;
/// For errors of floating-point sums.
const TOLERANCE: f64 = 1e-6;
/// Clocks run fast or slow by less than this in thousandths.
const MAX_DRIFT_PER_MILLE: u64 = 9;
/// Pairs of routers that exchange what they know in a step, at least.
const MIN_GOSSIP_PER_STEP: usize = 4;

/// That a fraction of the limit was used.
struct Usage {
    at: Time,
    fraction: f64,
}

/// The sum of usage, without what is not later than `since`.
fn recent_usage(usage: &mut VecDeque<Usage>, since: Option<Time>) -> f64 {
    while usage.front().is_some_and(|oldest| since.is_some_and(|since| oldest.at <= since)) {
        usage.pop_front();
    }
    usage.iter().map(|usage| usage.fraction).sum()
}

struct Router {
    quota: Option<QuotaManager>,
    paused: bool,
    received: VecDeque<Vec<u8>>,
    clock_offset: Time,
    drift_per_mille: i64,
    /// The fraction of the limit that it wants.
    demand: f64,
    /// All routers that it holds to be possibly active.
    known: BTreeSet<usize>,
    /// By its own clock.
    usage: VecDeque<Usage>,
}

/// What the links do to datagrams.
#[derive(Default)]
struct LinkFaults {
    loss_percent: u64,
    duplication_percent: u64,
    max_delay: Time,
}

/// The use of the limit by all routers, over all steps since the last reset.
#[derive(Default)]
struct UsageStatistics {
    sum: f64,
    steps: u64,
}

impl UsageStatistics {
    fn mean(&self) -> f64 {
        self.sum / self.steps as f64
    }
}

struct Datagram {
    receiver: usize,
    payload: Vec<u8>,
}

struct World {
    /// True time.
    now: Time,
    rng: Pcg64Mcg,
    timings: LeaseTimings,
    configured_routers: u32,
    request_size: f64,
    routers: Vec<Router>,
    /// Directed links that nothing gets through.
    cut_links: BTreeSet<(usize, usize)>,
    faults: LinkFaults,
    /// By arrival, then by the order in which they were sent.
    in_flight: BTreeMap<(Time, u64), Datagram>,
    datagrams_sent: u64,
    /// Routers do not tell each other whom they know.
    gossip_stopped: bool,
    /// Routers that left and announced it.
    left: BTreeSet<usize>,
    /// Of all routers, by true time.
    usage: VecDeque<Usage>,
    /// The most that all routers used within a window.
    max_usage: f64,
    statistics: UsageStatistics,
}

impl World {
    fn new(routers: usize, configured_routers: u32, seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut new_router = |router: usize| Router {
            quota: None,
            paused: false,
            received: VecDeque::new(),
            clock_offset: 1_000 * SEC + (rng.next_u64() % 1_000) * SEC + router as u64,
            drift_per_mille: (rng.next_u64() % (2 * MAX_DRIFT_PER_MILLE + 1)) as i64
                - MAX_DRIFT_PER_MILLE as i64,
            demand: 1.0,
            known: BTreeSet::new(),
            usage: VecDeque::new(),
        };
        let routers = (0..routers).map(&mut new_router).collect();
        World {
            now: 0,
            rng,
            timings: LeaseTimings::default(),
            configured_routers,
            request_size: REQUEST_SIZE,
            routers,
            cut_links: BTreeSet::new(),
            faults: LinkFaults::default(),
            in_flight: BTreeMap::new(),
            datagrams_sent: 0,
            gossip_stopped: false,
            left: BTreeSet::new(),
            usage: VecDeque::new(),
            max_usage: 0.0,
            statistics: UsageStatistics::default(),
        }
    }

    /// A world in which the first `started` routers have been started.
    fn started(routers: usize, started: usize, configured_routers: u32, seed: u64) -> World {
        let mut world = World::new(routers, configured_routers, seed);
        (0..started).for_each(|router| world.start(router));
        world
    }

    fn clock(&self, router: usize) -> Time {
        let router = &self.routers[router];
        let drifted = self.now as i64 * (1_000 + router.drift_per_mille) / 1_000;
        (router.clock_offset as i64 + drifted) as Time
    }

    fn start(&mut self, router: usize) {
        let options = QuotaOptions {
            cluster_name: "test".into(),
            address: router_address(router),
            instance_id: self.rng.next_u64() | 1,
            configured_routers: RouterCounts {
                all: self.configured_routers,
                own_zone: self.configured_routers,
            },
            timings: self.timings,
        };
        let now = self.clock(router);
        self.left.remove(&router);
        let started = &mut self.routers[router];
        started.quota = Some(QuotaManager::new(options, now));
        started.paused = false;
        started.received.clear();
        started.usage.clear();
        started.known = BTreeSet::from([router]);
    }

    /// Starts a router that knows these others from its configuration.
    fn start_knowing(&mut self, router: usize, known: impl IntoIterator<Item = usize>) {
        self.start(router);
        self.routers[router].known.extend(known);
    }

    fn kill(&mut self, router: usize) {
        self.routers[router].quota = None;
    }

    /// The router stops and announces it to all that it can reach.
    fn leave(&mut self, router: usize) {
        self.kill(router);
        self.left.insert(router);
        for other in 0..self.routers.len() {
            if !self.cut_links.contains(&(router, other)) {
                self.routers[other].known.remove(&router);
            }
        }
    }

    /// Cuts all links between the routers of one side and all others.
    fn cut_off(&mut self, side: &[usize]) {
        for from in 0..self.routers.len() {
            for to in 0..self.routers.len() {
                if side.contains(&from) != side.contains(&to) {
                    self.cut_links.insert((from, to));
                }
            }
        }
    }

    /// Sets the demand of all routers.
    fn set_demands(&mut self, demand: impl Fn(usize) -> f64) {
        for (router, state) in self.routers.iter_mut().enumerate() {
            state.demand = demand(router);
        }
    }

    fn random_router(&mut self) -> usize {
        (self.rng.next_u64() % self.routers.len() as u64) as usize
    }

    fn random_percent(&mut self) -> u64 {
        self.rng.next_u64() % 100
    }

    /// One router tells another one whom it knows, if they can reach each other.
    fn gossip(&mut self) {
        let from = self.random_router();
        let to = self.random_router();
        let runs = |router: usize| {
            let router = &self.routers[router];
            router.quota.is_some() && !router.paused
        };
        let connected = from != to && !self.cut_links.contains(&(from, to));
        if self.gossip_stopped || !connected || !runs(from) || !runs(to) {
            return;
        }
        // A router that left stays unknown until it starts again; a failed one is still told of.
        let told: Vec<usize> = self.routers[from].known.difference(&self.left).copied().collect();
        self.routers[to].known.extend(told);
    }

    fn run(&mut self, duration: Time) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            (0..self.routers.len().max(MIN_GOSSIP_PER_STEP)).for_each(|_| self.gossip());
            self.deliver_arrived();
            (0..self.routers.len()).for_each(|router| self.turn(router));
            self.measure_usage();
        }
    }

    fn deliver_arrived(&mut self) {
        let now = self.now;
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= now) {
            let datagram = entry.remove();
            self.routers[datagram.receiver].received.push_back(datagram.payload);
        }
    }

    fn measure_usage(&mut self) {
        let since = self.now.saturating_sub(self.timings.usage_window);
        let used = recent_usage(&mut self.usage, Some(since));
        self.max_usage = self.max_usage.max(used);
        self.statistics.sum += used;
        self.statistics.steps += 1;
    }

    /// A router reads what has arrived, handles its timeout, uses all that it may and sends.
    fn turn(&mut self, router: usize) {
        let now = self.clock(router);
        let since = now.checked_sub(self.timings.expiry_delay());
        let state = &mut self.routers[router];
        if state.quota.is_none() {
            state.received.clear();
        }
        let Some(quota) = state.quota.as_mut().filter(|_| !state.paused) else { return };
        let used = recent_usage(&mut state.usage, since);
        let peers = state
            .known
            .iter()
            .filter(|known| **known != router)
            .map(|known| QuotaPeer { address: router_address(*known), same_zone: true, reachable: true })
            .collect();
        quota.update_peers(now, &ActivePeers { peers, unlisted: 0 });
        let demand = WarmUpDemand {
            endpoint: EndpointId(LIMIT),
            sharers: QuotaScope::All,
            used,
            wanted: state.demand,
            unit: self.request_size,
        };
        quota.update_demand(now, &[demand]);
        for payload in std::mem::take(&mut state.received) {
            quota.handle_datagram(now, &payload);
        }
        if now >= quota.next_timeout() {
            quota.handle_timeout(now);
        }
        let share = quota.usable_share(now, LIMIT, QuotaScope::All);
        let transmits: Vec<Transmit> = std::iter::from_fn(|| quota.poll_transmit()).collect();
        let usable = if now < share.until.as_micros() { share.now } else { share.after };
        let free = usable.min(state.demand) - used;
        self.use_whole_requests(router, now, free);
        transmits.into_iter().for_each(|transmit| self.send(router, transmit));
    }

    fn use_whole_requests(&mut self, router: usize, now: Time, free: f64) {
        let requests = (free / self.request_size + TOLERANCE).floor();
        let fraction = requests * self.request_size;
        if fraction > 0.0 {
            self.routers[router].usage.push_back(Usage { at: now, fraction });
            self.usage.push_back(Usage { at: self.now, fraction });
        }
    }

    fn send(&mut self, from: usize, transmit: Transmit) {
        let receiver = (0..self.routers.len())
            .find(|router| router_address(*router) == transmit.destination)
            .expect("routers send only to routers of this world");
        if self.cut_links.contains(&(from, receiver)) || self.random_percent() < self.faults.loss_percent {
            return;
        }
        let copies = 1 + u64::from(self.random_percent() < self.faults.duplication_percent);
        for _ in 0..copies {
            let delay = MS + self.rng.next_u64() % (20 * MS + self.faults.max_delay);
            self.datagrams_sent += 1;
            let datagram = Datagram { receiver, payload: transmit.payload.clone() };
            self.in_flight.insert((self.now + delay, self.datagrams_sent), datagram);
        }
    }

    /// How many routers use their own shares.
    fn own_shares_in_use(&self) -> usize {
        let quotas = self.routers.iter().filter_map(|router| router.quota.as_ref());
        quotas.filter(|quota| quota.own_share_status().in_use).count()
    }

    fn quota(&self, router: usize) -> &QuotaManager {
        self.routers[router].quota.as_ref().expect("the test has started this router")
    }

    /// The mean use of the whole limit by all routers over some time from now on.
    fn mean_usage_over(&mut self, duration: Time) -> f64 {
        self.statistics = UsageStatistics::default();
        self.run(duration);
        self.statistics.mean()
    }

    fn assert_limit_was_kept(&self) {
        assert!(self.max_usage <= 1.0 + TOLERANCE, "{} of the limit in one window", self.max_usage);
    }
}

/// Guards against shares that lie unused where nobody wants them.
#[test]
fn what_six_routers_do_not_want_is_used_by_the_seventh() {
    let mut world = World::started(7, 7, 7, 1);
    world.set_demands(|router| if router == 0 { 1.0 } else { 0.01 });
    world.run(12 * SEC);
    assert_eq!(world.own_shares_in_use(), 7);
    // Past demand decays first.
    world.run(15 * SEC);
    let mean = world.mean_usage_over(20 * SEC);
    world.assert_limit_was_kept();
    assert!(mean >= 0.8, "{mean} of the limit was used on average");
}

/// Guards against a new router that uses its share before the others have made room: from 3 to 30.
#[test]
fn a_cluster_that_grows_from_three_to_thirty_never_exceeds_the_limit() {
    let mut world = World::started(30, 3, 3, 2);
    world.run(15 * SEC);
    for router in 3..30 {
        world.start_knowing(router, 0..3);
        for known in 0..3 {
            world.routers[known].known.insert(router);
        }
        world.run(180 * MS);
    }
    world.run(15 * SEC);
    world.assert_limit_was_kept();
    assert_eq!(world.own_shares_in_use(), 30);
    // And back: those that leave announce it.
    (3..30).for_each(|router| world.leave(router));
    world.run(10 * SEC);
    world.assert_limit_was_kept();
    assert_eq!(world.quota(0).own_share_status().divisors.all, 3);
}

/// Guards against a quota that exists twice because its lender was killed, restarted or cut off
/// while it was lent.
#[test]
fn no_quota_exists_twice_when_lenders_and_borrowers_are_killed() {
    let mut world = World::started(4, 4, 4, 3);
    world.run(10 * SEC);
    for round in 0..12u64 {
        let lender = (round % 4) as usize;
        let borrower = (lender + 1) % 4;
        world.set_demands(|router| if router == borrower { 1.0 } else { LOW_DEMAND });
        world.run(3 * SEC);
        // The lender starts again at once and wants all that it can get.
        world.kill(lender);
        world.run(round % 3 * 100 * MS);
        world.start_knowing(lender, 0..4);
        world.routers[lender].demand = 1.0;
        world.run(4 * SEC);
    }
    world.run(2 * SEC);
    world.assert_limit_was_kept();
    assert_eq!(world.own_shares_in_use(), 4);
}

/// Guards against a process that was paused for longer than a lease and continues with what it had
/// borrowed.
#[test]
fn a_paused_process_uses_nothing_that_has_expired_meanwhile() {
    let mut world = World::started(3, 3, 3, 4);
    world.run(10 * SEC);
    for paused in [0, 1, 2, 0, 1, 2] {
        world.set_demands(|router| if router == paused { 1.0 } else { LOW_DEMAND });
        world.run(3 * SEC);
        world.routers[paused].paused = true;
        world.set_demands(|_| 1.0);
        world.run(6 * SEC);
        world.routers[paused].paused = false;
        world.run(2 * SEC);
    }
    world.assert_limit_was_kept();
}

/// Guards against a cut that lets both sides use the whole limit, and against one that leaves
/// shares unused for ever.
#[test]
fn both_sides_of_a_cut_never_exceed_the_limit_and_use_it_fully_afterwards() {
    let mut world = World::started(7, 7, 7, 5);
    world.run(10 * SEC);
    world.set_demands(|router| if router == 0 || router == 6 { 1.0 } else { 0.05 });
    world.run(4 * SEC);
    world.cut_off(&[0, 1, 2]);
    world.run(20 * SEC);
    let mean_before = world.statistics.mean();
    world.cut_links.clear();
    world.run(6 * SEC);
    let mean = world.mean_usage_over(10 * SEC);
    world.assert_limit_was_kept();
    assert!(mean > 0.8, "{mean} of the limit was used on average, {mean_before} until the cut ended");
}

/// Guards against a new router that others do not count, as they can't reach it: it has no own
/// share, but may borrow.
#[test]
fn a_new_router_that_another_may_not_count_has_no_own_share() {
    let mut world = World::started(4, 3, 3, 6);
    world.run(10 * SEC);
    world.cut_off(&[2]);
    world.start_knowing(3, 0..3);
    world.run(15 * SEC);
    world.assert_limit_was_kept();
    assert!(!world.quota(3).own_share_status().in_use);
    world.cut_links.clear();
    world.run(15 * SEC);
    world.assert_limit_was_kept();
    assert_eq!(world.own_shares_in_use(), 4);
}

/// Guards against shares that are of no use as each is less than one request: thirty routers with a
/// thirtieth each, and requests that take a fifth. Together they are whole requests.
#[test]
fn shares_of_less_than_a_request_are_pooled() {
    let mut world = World::new(30, 30, 7);
    world.request_size = 0.2;
    (0..30).for_each(|router| world.start(router));
    world.run(20 * SEC);
    assert_eq!(world.own_shares_in_use(), 30);
    let mean = world.mean_usage_over(20 * SEC);
    world.assert_limit_was_kept();
    assert!(mean >= 0.7, "{mean} of the limit was used on average");
}

/// Guards against a restarted router that takes its own share back on the confirmation of one that
/// has just started too, and that knows as little of who else is active.
#[test]
fn confirmation_of_an_earlier_share_counts_only_from_a_router_that_counts_all() {
    let mut world = World::started(7, 7, 1, 8);
    world.run(15 * SEC);
    assert_eq!(world.own_shares_in_use(), 7);
    world.cut_off(&[1, 2]);
    world.gossip_stopped = true;
    for router in [2, 1] {
        world.kill(router);
        world.start_knowing(router, 0..3);
        world.run(2 * SEC);
    }
    world.run(10 * SEC);
    world.assert_limit_was_kept();
    assert_eq!(world.own_shares_in_use(), 5);
    world.cut_links.clear();
    world.gossip_stopped = false;
    world.run(15 * SEC);
    world.assert_limit_was_kept();
    assert_eq!(world.own_shares_in_use(), 7);
}

/// Routers of the random schedules.
const SCHEDULE_ROUTERS: usize = 5;

#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Pause(usize),
    Resume(usize),
    /// The routers of one side, one a bit.
    CutOff(usize),
    Heal,
    SetDemand {
        router: usize,
        tenths: u8,
    },
    SetFaults {
        loss_percent: u64,
        duplication_percent: u64,
        max_delay_ms: u64,
    },
}

impl Event {
    fn apply(self, world: &mut World) {
        match self {
            Event::Kill(router) => world.kill(router),
            Event::Start(router) => world.start(router),
            Event::Leave(router) => world.leave(router),
            Event::Pause(router) => world.routers[router].paused = true,
            Event::Resume(router) => world.routers[router].paused = false,
            Event::CutOff(bits) => {
                let side: Vec<usize> =
                    (0..SCHEDULE_ROUTERS).filter(|router| bits >> router & 1 == 1).collect();
                world.cut_off(&side);
            }
            Event::Heal => world.cut_links.clear(),
            Event::SetDemand { router, tenths } => {
                world.routers[router].demand = f64::from(tenths) / 10.0;
            }
            Event::SetFaults { loss_percent, duplication_percent, max_delay_ms } => {
                let max_delay = max_delay_ms * MS;
                world.faults = LinkFaults { loss_percent, duplication_percent, max_delay };
            }
        }
    }
}

fn event() -> impl Strategy<Value = Event> {
    let router = 0..SCHEDULE_ROUTERS;
    prop_oneof![
        router.clone().prop_map(Event::Kill),
        router.clone().prop_map(Event::Start),
        router.clone().prop_map(Event::Leave),
        router.clone().prop_map(Event::Pause),
        router.clone().prop_map(Event::Resume),
        (1..31usize).prop_map(Event::CutOff),
        Just(Event::Heal),
        (router, 0..=10u8).prop_map(|(router, tenths)| Event::SetDemand { router, tenths }),
        (0..60u64, 0..50u64, 0..10_000u64).prop_map(|(loss_percent, duplication_percent, max_delay_ms)| {
            Event::SetFaults { loss_percent, duplication_percent, max_delay_ms }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Starts, kills, announced leaves, pauses, cuts, loss, duplicates, datagrams up to 10 s late,
    /// clocks that drift, load that moves.
    #[test]
    fn no_schedule_exceeds_the_limit(
        seed in any::<u64>(),
        events in proptest::collection::vec((event(), 20..3_000u64), 1..12),
    ) {
        let mut world = World::started(SCHEDULE_ROUTERS, SCHEDULE_ROUTERS, SCHEDULE_ROUTERS as u32, seed);
        world.run(7 * SEC);
        for (event, pause_ms) in events {
            event.apply(&mut world);
            world.run(pause_ms * MS);
        }
        world.run(6 * SEC);
        prop_assert!(
            world.max_usage <= 1.0 + TOLERANCE,
            "{} of the limit in one window", world.max_usage
        );
    }
}
