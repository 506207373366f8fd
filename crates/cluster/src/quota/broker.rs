//! Brokers: for each limit one router borrows unused quota from the others and lends it to routers
//! that need more than their own share.
//!
//! The broker of a limit is chosen by rendezvous hashing among the reachable routers. Safety does
//! not depend on the choice: if two routers both act as broker, each lends only quota that was lent
//! to it and that its lenders have subtracted from their own.

use super::lease::{LeaseHolder, LeaseTransfer};
use super::ledger::GrantRequest;
use super::message::{LimitEntry, UNKNOWN_INSTANCE};
use super::peers::Peer;
use super::QuotaManager;
use crate::Time;
use hollymux_decision::QuotaScope;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A router's demand for a limit expires after this number of exchange intervals without a message
/// that renews it.
const DEMAND_LIFETIME_EXCHANGES: Time = 3;
/// Divisor of the free quota: one reply adds at most the free quota divided by this to a borrower's
/// leases, or a single request if that is more. The first borrower must not get all free quota.
const FREE_QUOTA_DIVISOR_PER_GRANT: u32 = 4;
/// Divisor of the own share: more quota is lent to a broker only if the increase is at least the
/// own share divided by this, as a smaller increase does not justify the messages.
const MIN_OFFER_DIVISOR: u32 = 16;

/// The entry of one limit in the next message to the limit's broker.
pub(super) struct BrokerOffer {
    pub(super) broker: SocketAddr,
    pub(super) entry: LimitEntry,
}

/// Another router that wants to borrow from the local one, or has borrowed, quota of one limit.
/// Amounts are in parts of [`super::WHOLE_QUOTA`].
#[derive(Clone, Copy, Debug)]
struct Borrower {
    address: SocketAddr,
    /// Total quota that it wants to borrow; 0 once its demand has expired.
    wanted: u32,
    /// Quota that one of its requests uses; at least 1.
    request_size: u32,
    /// Quota of its valid leases from the local router.
    borrowed: u32,
    /// Orders borrowers that have borrowed the same amount.
    tie_breaker: u64,
}

/// A router's weight for a limit in rendezvous hashing: the router with the greatest is the broker.
fn rendezvous_hash(address: SocketAddr, limit_id: u64) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), limit_id)
}

/// Whether a peer shares limits of this scope with the local router. The limits of a scope other
/// than `Zone` count as shared with every router.
fn shares_scope(peer: &Peer, scope: QuotaScope) -> bool {
    scope != QuotaScope::Zone || peer.same_zone
}

impl QuotaManager {
    /// The address of a limit's broker; `None` if the local router itself is the broker.
    pub(super) fn broker(&self, limit_id: u64, scope: QuotaScope) -> Option<SocketAddr> {
        let reachable = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.reachable && shares_scope(peer, scope))
            .map(|(address, _)| *address);
        reachable
            .chain([self.options.address])
            .max_by_key(|address| (rendezvous_hash(*address, limit_id), *address))
            .filter(|broker| *broker != self.options.address)
    }

    /// Computes the local router's demand for a limit and lends its spare quota to the limit's
    /// broker, once a message from the broker's process has been received. `None` if the local
    /// router is the broker or the limit is not tracked here.
    pub(super) fn offer_to_broker(&mut self, limit_id: u64) -> Option<BrokerOffer> {
        let scope = self.limits.get(&limit_id)?.scope;
        let broker = self.broker(limit_id, scope)?;
        let borrower = self.peers.get(&broker)?.holder(broker);
        let own_share = self.own_share.of(scope);
        let now = self.now;
        let limit = self.limits.get_mut(&limit_id)?;
        let demand = limit.demand_in_requests(now);
        let request_size = limit.request_size;
        let (kept, wanted) = if limit.update_pooling(own_share) {
            (0, demand)
        } else {
            // Quota for at least one request is kept, so that the next request can be admitted.
            (demand.max(request_size).min(own_share), demand.saturating_sub(own_share))
        };
        let lent = limit.ledger.lent_to(&borrower, now);
        let target = offer_target(own_share - kept, lent, own_share);
        let transfers = match borrower.instance_id {
            UNKNOWN_INSTANCE => Vec::new(),
            _ => self.grant(limit_id, borrower, target, self.options.timings.lease_duration),
        };
        let entry = LimitEntry { limit_id, wanted, request_size, transfers };
        Some(BrokerOffer { broker, entry })
    }

    /// Computes and grants the leases that a requesting router gets of a limit. `None` if the limit
    /// is not tracked here.
    pub(super) fn grant_to(&mut self, borrower: LeaseHolder, entry: &LimitEntry) -> Option<LimitEntry> {
        let limit_id = entry.limit_id;
        let limit = self.limits.get(&limit_id)?;
        let request_size = limit.request_size;
        let own_share = self.own_share.of(limit.scope);
        let demand = limit.demand_in_requests(self.now);
        let mut borrowers = self.borrowers(limit_id);
        // Borrowers keep what they have as long as they want it, because quota that is moved from
        // one router to another can't be used for the length of the usage window. Only the part of
        // the own share that is wanted here is reclaimed.
        let lendable = own_share.saturating_sub(demand).saturating_add(limit.ledger.borrowed(self.now));
        let lent = borrowers.iter().fold(0u32, |sum, borrower| sum.saturating_add(borrower.borrowed));
        let free = limit
            .ledger
            .usable(self.now, own_share, &self.options.timings)
            .saturating_sub(demand)
            .min(lendable.saturating_sub(lent));
        let targets = allocate(free, lendable, &mut borrowers);
        let target = targets.get(&borrower.address).copied().unwrap_or(0);
        let duration = self.options.timings.broker_lease_duration;
        let transfers = self.grant(limit_id, borrower, target, duration);
        Some(LimitEntry { limit_id, wanted: 0, request_size, transfers })
    }

    /// Grants a borrower leases of a limit up to `target` in total, for `duration` from when the
    /// borrower sent its request, and counts them. Empty if the limit is not tracked here.
    fn grant(
        &mut self,
        limit_id: u64,
        borrower: LeaseHolder,
        target: u32,
        duration: Time,
    ) -> Vec<LeaseTransfer> {
        let Some(limit) = self.limits.get_mut(&limit_id) else { return Vec::new() };
        let own_share = self.own_share.of(limit.scope);
        let request = GrantRequest { borrower, target, duration, own_share, used: limit.used };
        let transfers =
            limit.ledger.grant(self.now, &request, &self.options.timings, &mut self.last_lease_id);
        self.counters.leases_granted += transfers.len() as u64;
        transfers
    }

    /// All routers that want to borrow quota of a limit from the local router, or have borrowed it.
    fn borrowers(&self, limit_id: u64) -> Vec<Borrower> {
        let Some(limit) = self.limits.get(&limit_id) else { return Vec::new() };
        let lifetime = DEMAND_LIFETIME_EXCHANGES * self.options.timings.exchange_interval;
        let mut borrowers = Vec::new();
        for (address, peer) in &self.peers {
            let Some(demand) = peer.demands.get(&limit_id) else { continue };
            let is_current = self.now < demand.received_at + lifetime && shares_scope(peer, limit.scope);
            let wanted = if is_current { demand.wanted } else { 0 };
            let borrowed = limit.ledger.lent_to(&peer.holder(*address), self.now);
            if wanted > 0 || borrowed > 0 {
                borrowers.push(Borrower {
                    address: *address,
                    wanted,
                    request_size: demand.request_size,
                    borrowed,
                    tie_breaker: rendezvous_hash(*address, limit_id),
                });
            }
        }
        borrowers
    }
}

/// The total quota that the broker should have from the local router: the spare quota, or what is
/// lent already if the spare quota is only slightly more ([`MIN_OFFER_DIVISOR`]).
fn offer_target(spare: u32, lent: u32, own_share: u32) -> u32 {
    let is_increase_too_small = spare > lent && spare - lent < own_share / MIN_OFFER_DIVISOR;
    if is_increase_too_small {
        lent
    } else {
        spare
    }
}

/// Allocates quota to borrowers and returns the total quota that each should have. First, borrowers
/// keep what they have borrowed as far as they still want it, up to `lendable` for all of them
/// together. Then each borrower that wants more gets a part of `free` in whole requests, in
/// ascending order of what they have borrowed.
fn allocate(free: u32, lendable: u32, borrowers: &mut [Borrower]) -> BTreeMap<SocketAddr, u32> {
    borrowers.sort_by_key(|borrower| (borrower.borrowed, borrower.tie_breaker, borrower.address));
    let mut targets: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut remaining_lendable = lendable;
    for borrower in borrowers.iter() {
        let kept = borrower.borrowed.min(borrower.wanted).min(remaining_lendable);
        remaining_lendable -= kept;
        targets.insert(borrower.address, kept);
    }
    let mut remaining_free = free;
    for borrower in borrowers.iter() {
        let target = targets.entry(borrower.address).or_default();
        let missing = borrower.wanted.saturating_sub(*target);
        let limited = (free / FREE_QUOTA_DIVISOR_PER_GRANT).min(missing).max(borrower.request_size);
        let whole_requests = limited / borrower.request_size * borrower.request_size;
        if missing > 0 && remaining_free >= whole_requests {
            *target += whole_requests;
            remaining_free -= whole_requests;
        }
    }
    targets
}
