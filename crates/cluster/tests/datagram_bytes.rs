//! The bytes that routers send each other over a scripted conversation, held by digests: routers of two versions
//! understand each other only as long as neither the encoding nor the order of datagrams changes.

mod common;

use common::addr;
use hollymux_cluster::membership::{Membership, MembershipOptions, MembershipTimings, RouterPhase};
use hollymux_cluster::quota::{ActivePeers, LeaseTimings, QuotaManager, QuotaOptions};
use hollymux_cluster::{RouterCounts, Time, Transmit, MS, SEC};
use hollymux_decision::{EndpointId, QuotaScope, WarmUpDemand};
use std::collections::VecDeque;
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

const ROUTERS: usize = 5;
const STEP: Time = 10 * MS;
const START: Time = 1_000 * SEC;

/// Routers on sound links that deliver every datagram one step later.
struct Cluster {
    now: Time,
    members: Vec<Option<(Membership, QuotaManager)>>,
    in_flight: VecDeque<Transmit>,
    membership_bytes: Xxh3,
    quota_bytes: Xxh3,
    datagrams: usize,
}

impl Cluster {
    fn new() -> Cluster {
        let mut cluster = Cluster {
            now: START,
            members: (0..ROUTERS).map(|_| None).collect(),
            in_flight: VecDeque::new(),
            membership_bytes: Xxh3::new(),
            quota_bytes: Xxh3::new(),
            datagrams: 0,
        };
        (0..ROUTERS).for_each(|router| cluster.start(router));
        cluster
    }

    fn start(&mut self, router: usize) {
        let membership = MembershipOptions {
            cluster_name: "bytes".into(),
            router_name: format!("n{router}"),
            zone: format!("z{}", router % 2),
            address: addr(router),
            seeds: vec![addr(0), addr(1)],
            generation: self.now + router as Time,
            timings: MembershipTimings::default(),
            random_seed: router as u64,
        };
        let quota = QuotaOptions {
            cluster_name: "bytes".into(),
            address: addr(router),
            instance_id: self.now + router as Time,
            configured_routers: RouterCounts { all: 3, own_zone: 2 },
            timings: LeaseTimings::default(),
        };
        self.members[router] =
            Some((Membership::new(membership, self.now), QuotaManager::new(quota, self.now)));
    }

    fn demands(&self, router: usize) -> [WarmUpDemand; 2] {
        let busy = (self.now / (3 * SEC)) as usize % ROUTERS == router;
        let wanted = if busy { 0.9 } else { 0.03 };
        [(71, QuotaScope::All, 0.01), (72, QuotaScope::Zone, 0.3)].map(|(endpoint, sharers, unit)| {
            WarmUpDemand { endpoint: EndpointId(endpoint), sharers, used: wanted / 4.0, wanted, unit }
        })
    }

    fn run(&mut self, duration: Time) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            for transmit in std::mem::take(&mut self.in_flight) {
                self.deliver(transmit.destination, &transmit.payload);
            }
            for router in 0..ROUTERS {
                self.turn(router);
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, bytes: &[u8]) {
        let Some(router) = (0..ROUTERS).find(|router| addr(*router) == to) else { return };
        let demands = self.demands(router);
        let Some((membership, limits)) = &mut self.members[router] else { return };
        if QuotaManager::is_quota_datagram(bytes) {
            limits.update_demand(self.now, &demands);
            limits.handle_datagram(self.now, bytes);
        } else {
            membership.handle_datagram(self.now, bytes);
        }
    }

    fn turn(&mut self, router: usize) {
        let demands = self.demands(router);
        let now = self.now;
        let Some((membership, limits)) = &mut self.members[router] else { return };
        if now >= membership.next_timeout() {
            membership.handle_timeout(now);
        }
        limits.update_peers(now, &ActivePeers::from_membership(membership));
        if now >= limits.next_timeout() {
            limits.update_demand(now, &demands);
            limits.handle_timeout(now);
        }
        while membership.poll_change().is_some() {}
        while let Some(transmit) = membership.poll_transmit() {
            self.membership_bytes.update(&transmit.payload);
            self.in_flight.push_back(transmit);
            self.datagrams += 1;
        }
        while let Some(transmit) = limits.poll_transmit() {
            self.quota_bytes.update(&transmit.payload);
            self.in_flight.push_back(transmit);
            self.datagrams += 1;
        }
    }
}

#[test]
fn a_scripted_conversation_sends_the_same_bytes() {
    let mut cluster = Cluster::new();
    cluster.run(12 * SEC);
    // A crash that is suspected, confirmed and expires; then the next start of the same address.
    cluster.members[3] = None;
    cluster.run(9 * SEC);
    cluster.start(3);
    cluster.run(12 * SEC);
    if let Some((membership, limits)) = &mut cluster.members[4] {
        membership.set_phase(cluster.now, RouterPhase::Standby);
        membership.leave(cluster.now);
        limits.stop(cluster.now);
    }
    cluster.run(2 * SEC);
    cluster.members[4] = None;
    cluster.run(10 * SEC);
    let granted: u64 =
        cluster.members.iter().flatten().map(|(_, limits)| limits.counters.leases_granted).sum();
    assert!(granted > 100, "only {granted} leases were granted");
    let digests = (cluster.membership_bytes.digest(), cluster.quota_bytes.digest(), cluster.datagrams);
    assert_eq!(digests, (11_513_440_271_994_169_250, 15_986_201_213_975_458_030, 3_004));
}
