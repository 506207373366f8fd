//! Brokers: for each limit one router collects unused quota and lends it to those that want it.
//!
//! A broker is chosen by rendezvous hashing among the reachable routers and has no authority: if
//! two routers hold themselves to be the broker, each lends what was lent to it, and all of that
//! was subtracted elsewhere.

use super::lease::{LeaseHolder, LeaseTransfer};
use super::ledger::GrantRequest;
use super::message::LimitEntry;
use super::peers::Peer;
use super::QuotaManager;
use crate::Time;
use hollymux_decision::QuotaScope;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a router wanted is forgotten after so many exchanges without a message.
const DEMAND_LIFETIME_EXCHANGES: Time = 3;
/// Each router that wants more gets at most this fraction of what is free at once: the first one
/// must not get all.
const MAX_FRACTION_PER_GRANT: u32 = 4;
/// More is lent to a broker only if it is at least this fraction of the own share, to be worth the
/// messages.
const MIN_OFFER_FRACTION: u32 = 16;

/// What the local router tells a limit's broker.
pub(super) struct BrokerOffer {
    pub(super) broker: SocketAddr,
    pub(super) entry: LimitEntry,
}

/// What one router wants of a limit and what it has borrowed of it here.
#[derive(Clone, Copy, Debug)]
struct Borrower {
    address: SocketAddr,
    wanted: u32,
    request_size: u32,
    borrowed: u32,
    /// Orders borrowers that have borrowed the same.
    tie_breaker: u64,
}

/// A router's rank for a limit, by rendezvous hashing.
fn rendezvous_hash(address: SocketAddr, limit_id: u64) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), limit_id)
}

/// Whether a peer shares limits of this scope with the local router.
fn shares_scope(peer: &Peer, scope: QuotaScope) -> bool {
    scope != QuotaScope::Zone || peer.same_zone
}

impl QuotaManager {
    /// The broker of a limit; none if it is the local router.
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

    /// What the local router wants of a limit from its broker, and what it lends to it; none if it
    /// is the broker.
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
            // One request stays here for the first that comes.
            (demand.max(request_size).min(own_share), demand.saturating_sub(own_share))
        };
        let lent = limit.ledger.lent_to(&borrower, now);
        let target = offer_target(own_share - kept, lent, own_share);
        let transfers = match borrower.instance_id {
            0 => Vec::new(),
            _ => self.grant(limit_id, borrower, target, self.options.timings.lease_duration),
        };
        let entry = LimitEntry { limit_id, wanted, request_size, transfers };
        Some(BrokerOffer { broker, entry })
    }

    /// What a router that asks is granted of a limit, if that is in use here as well.
    pub(super) fn grant_to(&mut self, borrower: LeaseHolder, entry: &LimitEntry) -> Option<LimitEntry> {
        let limit_id = entry.limit_id;
        let limit = self.limits.get(&limit_id)?;
        let request_size = limit.request_size;
        let own_share = self.own_share.of(limit.scope);
        let demand = limit.demand_in_requests(self.now);
        let mut borrowers = self.borrowers(limit_id);
        // What they have stays theirs as long as they want it: quota that changes hands is unusable
        // for a window. Only what is wanted here of the own share is reclaimed.
        let lendable = own_share.saturating_sub(demand).saturating_add(limit.ledger.borrowed(self.now));
        let lent = borrowers.iter().fold(0u32, |sum, borrower| sum.saturating_add(borrower.borrowed));
        let free = limit
            .ledger
            .usable(self.now, own_share, &self.options.timings)
            .saturating_sub(demand)
            .min(lendable.saturating_sub(lent));
        let targets = share_out(free, lendable, &mut borrowers);
        let target = targets.get(&borrower.address).copied().unwrap_or(0);
        let duration = self.options.timings.broker_lease_duration;
        let transfers = self.grant(limit_id, borrower, target, duration);
        Some(LimitEntry { limit_id, wanted: 0, request_size, transfers })
    }

    /// Grants and counts leases of a limit that is in use here.
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

    /// The routers that want some of a limit from the local one, or have borrowed some.
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

/// What a broker is to have of the own share: what is spare, but little more than it has is not
/// worth the messages.
fn offer_target(spare: u32, lent: u32, own_share: u32) -> u32 {
    let is_little_more = spare > lent && spare - lent < own_share / MIN_OFFER_FRACTION;
    if is_little_more {
        lent
    } else {
        spare
    }
}

/// Shares free quota out: what borrowers have stays as far as they want it and `lendable` allows
/// all of them together; then each that wants more gets whole requests of what is free. Returns
/// what each is to have in all.
fn share_out(free: u32, lendable: u32, borrowers: &mut [Borrower]) -> BTreeMap<SocketAddr, u32> {
    borrowers.sort_by_key(|borrower| (borrower.borrowed, borrower.tie_breaker, borrower.address));
    let mut targets: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut remaining = lendable;
    for borrower in borrowers.iter() {
        let kept = borrower.borrowed.min(borrower.wanted).min(remaining);
        remaining -= kept;
        targets.insert(borrower.address, kept);
    }
    let mut left = free;
    for borrower in borrowers.iter() {
        let target = targets.entry(borrower.address).or_default();
        let missing = borrower.wanted.saturating_sub(*target);
        let limited = (free / MAX_FRACTION_PER_GRANT).min(missing).max(borrower.request_size);
        let whole_requests = limited / borrower.request_size * borrower.request_size;
        if missing > 0 && left >= whole_requests {
            *target += whole_requests;
            left -= whole_requests;
        }
    }
    targets
}
