//! Compares all bytes that routers send in a scripted exchange with recorded digests. Routers of
//! different versions work together only if the encoding and the order of datagrams stay the same.

mod common;

use common::router_address;
use hollymux_cluster::membership::{Membership, MembershipOptions, MembershipTimings, RouterPhase};
use hollymux_cluster::quota::{ActivePeers, LeaseTimings, QuotaManager, QuotaOptions};
use hollymux_cluster::{RouterCounts, Time, Transmit, MS, SEC};
use hollymux_decision::{EndpointId, QuotaScope, WarmUpDemand};
use std::collections::VecDeque;
use xxhash_rust::xxh3::Xxh3;

const ROUTERS: usize = 5;
/// Time between two steps of the script; every router runs once in each step.
const STEP_DURATION: Time = 10 * MS;
/// The instant at which the script starts, on the clock that all routers share.
const START: Time = 1_000 * SEC;

/// Time after which the load moves from one router to the next.
const BUSY_PERIOD: Time = 3 * SEC;
/// Fraction of each limit that the router with the load wants.
const BUSY_DEMAND: f64 = 0.9;
/// Fraction of each limit that the other routers want.
const LOW_DEMAND: f64 = 0.03;

struct Router {
    membership: Membership,
    quota: QuotaManager,
}

/// Running digests of all payloads sent, in the order of sending, and their number.
#[derive(Clone, Default)]
struct Sent {
    membership_bytes: Xxh3,
    quota_bytes: Xxh3,
    datagrams: usize,
}

/// A cluster whose links deliver every datagram one step after it was sent.
struct Cluster {
    now: Time,
    /// `None` while the router is not running.
    routers: Vec<Option<Router>>,
    in_flight: VecDeque<Transmit>,
    sent: Sent,
}

impl Cluster {
    fn new() -> Cluster {
        let mut cluster = Cluster {
            now: START,
            routers: (0..ROUTERS).map(|_| None).collect(),
            in_flight: VecDeque::new(),
            sent: Sent::default(),
        };
        (0..ROUTERS).for_each(|router| cluster.start(router));
        cluster
    }

    fn start(&mut self, router: usize) {
        let generation = self.now + router as Time;
        let membership = MembershipOptions {
            cluster_name: "bytes".into(),
            router_name: format!("n{router}"),
            zone: format!("z{}", router % 2),
            address: router_address(router),
            seeds: vec![router_address(0), router_address(1)],
            generation,
            timings: MembershipTimings::default(),
            random_seed: router as u64,
        };
        let quota = QuotaOptions {
            cluster_name: "bytes".into(),
            address: router_address(router),
            instance_id: generation,
            configured_routers: RouterCounts { all: 3, own_zone: 2 },
            timings: LeaseTimings::default(),
        };
        self.routers[router] = Some(Router {
            membership: Membership::new(membership, self.now),
            quota: QuotaManager::new(quota, self.now),
        });
    }

    /// A router's demands for two limits: one that all routers share, and one with large requests
    /// that the routers of a zone share.
    fn demands(&self, router: usize) -> [WarmUpDemand; 2] {
        let is_busy = (self.now / BUSY_PERIOD) as usize % ROUTERS == router;
        let wanted = if is_busy { BUSY_DEMAND } else { LOW_DEMAND };
        let demand = |endpoint, sharers, unit| WarmUpDemand {
            endpoint: EndpointId(endpoint),
            sharers,
            used: wanted / 4.0,
            wanted,
            unit,
        };
        [demand(71, QuotaScope::All, 0.01), demand(72, QuotaScope::Zone, 0.3)]
    }

    fn run(&mut self, duration: Time) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP_DURATION;
            for transmit in std::mem::take(&mut self.in_flight) {
                self.deliver(transmit);
            }
            (0..ROUTERS).for_each(|router| self.run_router(router));
        }
    }

    fn deliver(&mut self, transmit: Transmit) {
        let receiver = (0..ROUTERS).find(|router| router_address(*router) == transmit.destination);
        let Some(receiver) = receiver else { return };
        let demands = self.demands(receiver);
        let Some(router) = &mut self.routers[receiver] else { return };
        if QuotaManager::is_quota_datagram(&transmit.payload) {
            router.quota.update_demand(self.now, &demands);
            router.quota.handle_datagram(self.now, &transmit.payload);
        } else {
            router.membership.handle_datagram(self.now, &transmit.payload);
        }
    }

    /// Handles a router's due timeouts and sends its queued datagrams.
    fn run_router(&mut self, router: usize) {
        let demands = self.demands(router);
        let now = self.now;
        let Some(Router { membership, quota }) = &mut self.routers[router] else { return };
        if now >= membership.next_timeout() {
            membership.handle_timeout(now);
        }
        quota.update_peers(now, &ActivePeers::from_membership(membership));
        if now >= quota.next_timeout() {
            quota.update_demand(now, &demands);
            quota.handle_timeout(now);
        }
        while membership.poll_change().is_some() {}
        while let Some(transmit) = membership.poll_transmit() {
            self.sent.membership_bytes.update(&transmit.payload);
            self.sent.datagrams += 1;
            self.in_flight.push_back(transmit);
        }
        while let Some(transmit) = quota.poll_transmit() {
            self.sent.quota_bytes.update(&transmit.payload);
            self.sent.datagrams += 1;
            self.in_flight.push_back(transmit);
        }
    }

    /// A router announces that it leaves, and stops 2 s later.
    fn leave(&mut self, router: usize) {
        if let Some(Router { membership, quota }) = &mut self.routers[router] {
            membership.set_phase(self.now, RouterPhase::Standby);
            membership.leave(self.now);
            quota.stop(self.now);
        }
        self.run(2 * SEC);
        self.routers[router] = None;
    }

    fn leases_granted(&self) -> u64 {
        self.routers.iter().flatten().map(|router| router.quota.counters.leases_granted).sum()
    }
}

/// Guards against unintended changes of the wire format or of the order of datagrams, which routers
/// of other versions might not understand.
#[test]
fn scripted_exchange_sends_the_recorded_bytes() {
    let mut cluster = Cluster::new();
    cluster.run(12 * SEC);
    // Router 3 crashes: the others suspect it, confirm the suspicion and declare it failed. Then it
    // restarts at the same address.
    cluster.routers[3] = None;
    cluster.run(9 * SEC);
    cluster.start(3);
    cluster.run(12 * SEC);
    cluster.leave(4);
    cluster.run(10 * SEC);
    let granted = cluster.leases_granted();
    assert!(granted > 100, "only {granted} leases were granted");
    let sent = &cluster.sent;
    assert_eq!(sent.membership_bytes.digest(), 11_513_440_271_994_169_250);
    assert_eq!(sent.quota_bytes.digest(), 15_986_201_213_975_458_030);
    assert_eq!(sent.datagrams, 3_004);
}
