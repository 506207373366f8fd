//! Safety of leased quotas in a simulated cluster whose links and processes fail and whose clocks
//! drift: all routers together must never use more than the whole limit within a usage window.
//! Every router uses all quota that it may use as soon as it may, which is the worst case.

mod common;

use common::router_address;
use hollymux_cluster::quota::{ActivePeers, LeaseTimings, QuotaManager, QuotaOptions, QuotaPeer};
use hollymux_cluster::{RouterCounts, Time, Transmit, MS, SEC};
use hollymux_decision::{EndpointId, QuotaScope, WarmUpDemand};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// True time between two steps of the simulation; every router runs once in each step.
const STEP_DURATION: Time = 20 * MS;
const LIMIT_ID: u64 = 77;
/// Fraction of the limit that one request uses, unless a test sets another.
const DEFAULT_REQUEST_FRACTION: f64 = 0.01;
/// Fraction of the limit that a router without load wants.
const LOW_DEMAND: f64 = 0.02;
/// Tolerance for rounding errors of floating-point sums, as a fraction of the limit.
const TOLERANCE: f64 = 1e-6;
/// Maximum drift of a router's clock, fast or slow, in thousandths; the timings allow 10.
const MAX_DRIFT_PER_MILLE: u64 = 9;
/// Minimum number of attempts per step to pass on one router's known routers to another.
const MIN_MEMBERSHIP_EXCHANGES_PER_STEP: usize = 4;

/// The use of a fraction of the limit.
struct Usage {
    /// Instant of the use: on the router's clock in [`Router::usage`], true time in
    /// [`SimulatedCluster::usage`].
    at: Time,
    fraction: f64,
}

/// The sum of all usage later than `since`; all usage if `since` is `None`. Removes the earlier
/// usage from the queue.
fn recent_usage(usage: &mut VecDeque<Usage>, since: Option<Time>) -> f64 {
    while usage.front().is_some_and(|oldest| since.is_some_and(|since| oldest.at <= since)) {
        usage.pop_front();
    }
    usage.iter().map(|usage| usage.fraction).sum()
}

struct Router {
    /// `None` while the router is not running.
    quota: Option<QuotaManager>,
    paused: bool,
    /// Datagrams that have arrived and are not handled yet.
    received: VecDeque<Vec<u8>>,
    /// Reading of the router's clock at true time 0.
    clock_offset: Time,
    /// Drift of the router's clock in thousandths, positive for a fast clock.
    drift_per_mille: i64,
    /// Fraction of the limit that the router wants.
    demand: f64,
    /// All routers that the router considers possibly active, including itself.
    known: BTreeSet<usize>,
    /// Recent uses of the limit by the router, by its own clock.
    usage: VecDeque<Usage>,
}

/// Faults of the links that affect single datagrams.
#[derive(Default)]
struct LinkFaults {
    loss_percent: u64,
    duplication_percent: u64,
    /// Maximum delay in true time, in addition to the delay of a sound link.
    max_delay: Time,
}

/// Statistics of the total usage by all routers in the usage window before each step, over all
/// steps since the last reset.
#[derive(Default)]
struct UsageStatistics {
    /// Sum over all steps, as fractions of the limit.
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

struct SimulatedCluster {
    /// The current true time.
    now: Time,
    rng: Pcg64Mcg,
    timings: LeaseTimings,
    configured_routers: u32,
    request_fraction: f64,
    routers: Vec<Router>,
    /// Links, as pairs of sender and receiver, on which all datagrams are lost.
    blocked_links: BTreeSet<(usize, usize)>,
    faults: LinkFaults,
    /// Datagrams in flight, by true time of arrival and then by sequence number.
    in_flight: BTreeMap<(Time, u64), Datagram>,
    /// Sequence number of the datagram sent last.
    datagrams_sent: u64,
    /// Whether routers have stopped passing on which routers they know.
    membership_gossip_stopped: bool,
    /// Routers that announced that they left and have not started again.
    left: BTreeSet<usize>,
    /// Recent uses of the limit by all routers, by true time.
    usage: VecDeque<Usage>,
    /// Maximum fraction of the limit used by all routers together within any usage window.
    max_usage: f64,
    statistics: UsageStatistics,
}

impl SimulatedCluster {
    fn new(routers: usize, configured_routers: u32, seed: u64) -> SimulatedCluster {
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
        SimulatedCluster {
            now: 0,
            rng,
            timings: LeaseTimings::default(),
            configured_routers,
            request_fraction: DEFAULT_REQUEST_FRACTION,
            routers,
            blocked_links: BTreeSet::new(),
            faults: LinkFaults::default(),
            in_flight: BTreeMap::new(),
            datagrams_sent: 0,
            membership_gossip_stopped: false,
            left: BTreeSet::new(),
            usage: VecDeque::new(),
            max_usage: 0.0,
            statistics: UsageStatistics::default(),
        }
    }

    /// A cluster of `routers` routers, of which the first `started` ones have been started.
    fn started(routers: usize, started: usize, configured_routers: u32, seed: u64) -> SimulatedCluster {
        let mut cluster = SimulatedCluster::new(routers, configured_routers, seed);
        (0..started).for_each(|router| cluster.start(router));
        cluster
    }

    /// The current instant on a router's clock.
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

    /// Starts a router that knows the routers `known` from its configuration.
    fn start_knowing(&mut self, router: usize, known: impl IntoIterator<Item = usize>) {
        self.start(router);
        self.routers[router].known.extend(known);
    }

    fn kill(&mut self, router: usize) {
        self.routers[router].quota = None;
    }

    /// A router stops and announces it to all routers that it can reach.
    fn leave(&mut self, router: usize) {
        self.kill(router);
        self.left.insert(router);
        for other in 0..self.routers.len() {
            if !self.blocked_links.contains(&(router, other)) {
                self.routers[other].known.remove(&router);
            }
        }
    }

    /// Blocks all links between the routers in `members` and all others, in both directions.
    fn partition(&mut self, members: &[usize]) {
        for from in 0..self.routers.len() {
            for to in 0..self.routers.len() {
                if members.contains(&from) != members.contains(&to) {
                    self.blocked_links.insert((from, to));
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

    /// A random router passes on the routers that it knows to another random one, if both are
    /// running and the link between them works.
    fn exchange_membership(&mut self) {
        let from = self.random_router();
        let to = self.random_router();
        let runs = |router: usize| {
            let router = &self.routers[router];
            router.quota.is_some() && !router.paused
        };
        let connected = from != to && !self.blocked_links.contains(&(from, to));
        if self.membership_gossip_stopped || !connected || !runs(from) || !runs(to) {
            return;
        }
        // Routers that left are not passed on until they start again; killed ones are.
        let reported: Vec<usize> = self.routers[from].known.difference(&self.left).copied().collect();
        self.routers[to].known.extend(reported);
    }

    fn run(&mut self, duration: Time) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP_DURATION;
            (0..self.routers.len().max(MIN_MEMBERSHIP_EXCHANGES_PER_STEP))
                .for_each(|_| self.exchange_membership());
            self.deliver_arrived();
            (0..self.routers.len()).for_each(|router| self.run_router(router));
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

    /// Runs one router: it handles received datagrams and its timeout if due, uses all quota that
    /// it may use and sends its datagrams. A paused router keeps its received datagrams; one that
    /// is not running loses them.
    fn run_router(&mut self, router: usize) {
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
            endpoint: EndpointId(LIMIT_ID),
            sharers: QuotaScope::All,
            used,
            wanted: state.demand,
            unit: self.request_fraction,
        };
        quota.update_demand(now, &[demand]);
        for payload in std::mem::take(&mut state.received) {
            quota.handle_datagram(now, &payload);
        }
        if now >= quota.next_timeout() {
            quota.handle_timeout(now);
        }
        let share = quota.usable_share(now, LIMIT_ID, QuotaScope::All);
        let transmits: Vec<Transmit> = std::iter::from_fn(|| quota.poll_transmit()).collect();
        let usable = if now < share.until.as_micros() { share.now } else { share.after };
        let free = usable.min(state.demand) - used;
        self.use_whole_requests(router, now, free);
        transmits.into_iter().for_each(|transmit| self.send(router, transmit));
    }

    /// Uses as many whole requests as fit into the fraction `free` of the limit.
    fn use_whole_requests(&mut self, router: usize, now: Time, free: f64) {
        let requests = (free / self.request_fraction + TOLERANCE).floor();
        let fraction = requests * self.request_fraction;
        if fraction > 0.0 {
            self.routers[router].usage.push_back(Usage { at: now, fraction });
            self.usage.push_back(Usage { at: self.now, fraction });
        }
    }

    fn send(&mut self, from: usize, transmit: Transmit) {
        let receiver = (0..self.routers.len())
            .find(|router| router_address(*router) == transmit.destination)
            .expect("datagram to an address that no simulated router has");
        if self.blocked_links.contains(&(from, receiver)) || self.random_percent() < self.faults.loss_percent
        {
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

    /// Number of routers whose own share is in use.
    fn own_shares_in_use(&self) -> usize {
        let quotas = self.routers.iter().filter_map(|router| router.quota.as_ref());
        quotas.filter(|quota| quota.own_share_status().in_use).count()
    }

    fn quota(&self, router: usize) -> &QuotaManager {
        self.routers[router].quota.as_ref().expect("router is not running")
    }

    /// Runs the cluster and returns the mean total usage in that time, as a fraction of the limit.
    fn mean_usage_over(&mut self, duration: Time) -> f64 {
        self.statistics = UsageStatistics::default();
        self.run(duration);
        self.statistics.mean()
    }

    fn assert_limit_not_exceeded(&self) {
        assert!(
            self.max_usage <= 1.0 + TOLERANCE,
            "{} of the limit was used within one window",
            self.max_usage
        );
    }
}

/// Guards against own shares that stay unused at routers without load while another router needs
/// quota.
#[test]
fn unused_quota_of_six_routers_is_used_by_the_seventh() {
    let mut cluster = SimulatedCluster::started(7, 7, 7, 1);
    cluster.set_demands(|router| if router == 0 { 1.0 } else { 0.01 });
    cluster.run(12 * SEC);
    assert_eq!(cluster.own_shares_in_use(), 7);
    // Recent demand must decay before its quota is lent.
    cluster.run(15 * SEC);
    let mean = cluster.mean_usage_over(20 * SEC);
    cluster.assert_limit_not_exceeded();
    assert!(mean >= 0.8, "{mean} of the limit was used on average");
}

/// Guards against a new router that uses its own share before the others have reduced theirs, while
/// the cluster grows from 3 to 30 routers.
#[test]
fn cluster_growing_from_three_to_thirty_routers_never_exceeds_the_limit() {
    let mut cluster = SimulatedCluster::started(30, 3, 3, 2);
    cluster.run(15 * SEC);
    for router in 3..30 {
        cluster.start_knowing(router, 0..3);
        for known in 0..3 {
            cluster.routers[known].known.insert(router);
        }
        cluster.run(180 * MS);
    }
    cluster.run(15 * SEC);
    cluster.assert_limit_not_exceeded();
    assert_eq!(cluster.own_shares_in_use(), 30);
    // The cluster shrinks to 3 routers again; the others announce that they leave.
    (3..30).for_each(|router| cluster.leave(router));
    cluster.run(10 * SEC);
    cluster.assert_limit_not_exceeded();
    assert_eq!(cluster.quota(0).own_share_status().divisors.all, 3);
}

/// Guards against quota that exists twice because its lender was killed and restarted while the
/// quota was lent.
#[test]
fn quota_never_exists_twice_when_lenders_and_borrowers_are_killed() {
    let mut cluster = SimulatedCluster::started(4, 4, 4, 3);
    cluster.run(10 * SEC);
    for round in 0..12u64 {
        let lender = (round % 4) as usize;
        let borrower = (lender + 1) % 4;
        cluster.set_demands(|router| if router == borrower { 1.0 } else { LOW_DEMAND });
        cluster.run(3 * SEC);
        // The lender restarts within 200 ms and wants the whole limit.
        cluster.kill(lender);
        cluster.run(round % 3 * 100 * MS);
        cluster.start_knowing(lender, 0..4);
        cluster.routers[lender].demand = 1.0;
        cluster.run(4 * SEC);
    }
    cluster.run(2 * SEC);
    cluster.assert_limit_not_exceeded();
    assert_eq!(cluster.own_shares_in_use(), 4);
}

/// Guards against a process that is paused for longer than a lease and afterwards uses the quota
/// that it had borrowed.
#[test]
fn paused_process_uses_no_lease_that_expired_during_the_pause() {
    let mut cluster = SimulatedCluster::started(3, 3, 3, 4);
    cluster.run(10 * SEC);
    for paused in [0, 1, 2, 0, 1, 2] {
        cluster.set_demands(|router| if router == paused { 1.0 } else { LOW_DEMAND });
        cluster.run(3 * SEC);
        cluster.routers[paused].paused = true;
        cluster.set_demands(|_| 1.0);
        cluster.run(6 * SEC);
        cluster.routers[paused].paused = false;
        cluster.run(2 * SEC);
    }
    cluster.assert_limit_not_exceeded();
}

/// Guards against a partition during which both sides together exceed the limit, and against own
/// shares that stay unused after the partition has ended.
#[test]
fn limit_is_never_exceeded_during_a_partition_and_fully_used_after_it() {
    let mut cluster = SimulatedCluster::started(7, 7, 7, 5);
    cluster.run(10 * SEC);
    cluster.set_demands(|router| if router == 0 || router == 6 { 1.0 } else { 0.05 });
    cluster.run(4 * SEC);
    cluster.partition(&[0, 1, 2]);
    cluster.run(20 * SEC);
    let mean_before = cluster.statistics.mean();
    cluster.blocked_links.clear();
    cluster.run(6 * SEC);
    let mean = cluster.mean_usage_over(10 * SEC);
    cluster.assert_limit_not_exceeded();
    assert!(mean > 0.8, "{mean} of the limit was used on average, {mean_before} until the partition ended");
}

/// Guards against a new router that uses an own share although another router, which it can't
/// reach, does not count it yet. Until then the new router may only borrow.
#[test]
fn new_router_has_no_own_share_until_all_routers_count_it() {
    let mut cluster = SimulatedCluster::started(4, 3, 3, 6);
    cluster.run(10 * SEC);
    cluster.partition(&[2]);
    cluster.start_knowing(3, 0..3);
    cluster.run(15 * SEC);
    cluster.assert_limit_not_exceeded();
    assert!(!cluster.quota(3).own_share_status().in_use);
    cluster.blocked_links.clear();
    cluster.run(15 * SEC);
    cluster.assert_limit_not_exceeded();
    assert_eq!(cluster.own_shares_in_use(), 4);
}

/// Guards against own shares that stay unused because each is smaller than one request: thirty
/// routers have a thirtieth of the limit each, and a request uses a fifth. The broker must combine
/// the shares to whole requests.
#[test]
fn own_shares_smaller_than_a_request_are_pooled() {
    let mut cluster = SimulatedCluster::new(30, 30, 7);
    cluster.request_fraction = 0.2;
    (0..30).for_each(|router| cluster.start(router));
    cluster.run(20 * SEC);
    assert_eq!(cluster.own_shares_in_use(), 30);
    let mean = cluster.mean_usage_over(20 * SEC);
    cluster.assert_limit_not_exceeded();
    assert!(mean >= 0.7, "{mean} of the limit was used on average");
}

/// Guards against a restarted router that uses its own share again because of the confirmation of
/// another router that has just restarted as well and does not know all active routers either.
#[test]
fn earlier_share_is_confirmed_only_by_a_router_whose_own_share_is_in_use() {
    let mut cluster = SimulatedCluster::started(7, 7, 1, 8);
    cluster.run(15 * SEC);
    assert_eq!(cluster.own_shares_in_use(), 7);
    cluster.partition(&[1, 2]);
    cluster.membership_gossip_stopped = true;
    for router in [2, 1] {
        cluster.kill(router);
        cluster.start_knowing(router, 0..3);
        cluster.run(2 * SEC);
    }
    cluster.run(10 * SEC);
    cluster.assert_limit_not_exceeded();
    assert_eq!(cluster.own_shares_in_use(), 5);
    cluster.blocked_links.clear();
    cluster.membership_gossip_stopped = false;
    cluster.run(15 * SEC);
    cluster.assert_limit_not_exceeded();
    assert_eq!(cluster.own_shares_in_use(), 7);
}

/// Number of routers in the random schedules.
const SCHEDULE_ROUTERS: usize = 5;

#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Pause(usize),
    Resume(usize),
    /// Partitions the routers whose bits are set from all others.
    Partition(usize),
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
    fn apply(self, cluster: &mut SimulatedCluster) {
        match self {
            Event::Kill(router) => cluster.kill(router),
            Event::Start(router) => cluster.start(router),
            Event::Leave(router) => cluster.leave(router),
            Event::Pause(router) => cluster.routers[router].paused = true,
            Event::Resume(router) => cluster.routers[router].paused = false,
            Event::Partition(member_bits) => {
                let members: Vec<usize> =
                    (0..SCHEDULE_ROUTERS).filter(|router| member_bits >> router & 1 == 1).collect();
                cluster.partition(&members);
            }
            Event::Heal => cluster.blocked_links.clear(),
            Event::SetDemand { router, tenths } => {
                cluster.routers[router].demand = f64::from(tenths) / 10.0;
            }
            Event::SetFaults { loss_percent, duplication_percent, max_delay_ms } => {
                let max_delay = max_delay_ms * MS;
                cluster.faults = LinkFaults { loss_percent, duplication_percent, max_delay };
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
        (1..31usize).prop_map(Event::Partition),
        Just(Event::Heal),
        (router, 0..=10u8).prop_map(|(router, tenths)| Event::SetDemand { router, tenths }),
        (0..60u64, 0..50u64, 0..10_000u64).prop_map(|(loss_percent, duplication_percent, max_delay_ms)| {
            Event::SetFaults { loss_percent, duplication_percent, max_delay_ms }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Random schedules of starts, kills, announced leaves, pauses, partitions, changing demand,
    /// lost and duplicated datagrams, and datagrams delayed by up to 10 s, with drifting clocks.
    #[test]
    fn limit_is_never_exceeded_under_random_schedules(
        seed in any::<u64>(),
        events in proptest::collection::vec((event(), 20..3_000u64), 1..12),
    ) {
        let mut cluster = SimulatedCluster::started(SCHEDULE_ROUTERS, SCHEDULE_ROUTERS, SCHEDULE_ROUTERS as u32, seed);
        cluster.run(7 * SEC);
        for (event, pause_ms) in events {
            event.apply(&mut cluster);
            cluster.run(pause_ms * MS);
        }
        cluster.run(6 * SEC);
        prop_assert!(
            cluster.max_usage <= 1.0 + TOLERANCE,
            "{} of the limit was used within one window", cluster.max_usage
        );
    }
}
