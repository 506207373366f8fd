//! The own even share: by how many routers limits are divided, and from when on the local router
//! may use its part.
//!
//! Even shares add up to no more than the whole only if every router divides by enough. A router
//! that starts uses none until all others have acknowledged the same set of routers, and that all
//! they ever lent fits under it.

use super::peers::{ActivePeers, Peer};
use super::{QuotaManager, WHOLE_QUOTA};
use crate::counters::RouterCounts;
use crate::Time;
use hollymux_decision::QuotaScope;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Routers that are asked in one exchange whether they count the local one.
const MAX_ACKNOWLEDGEMENT_REQUESTS: usize = 32;
/// Hash seed of sets of routers; part of the wire format.
const ROUTER_SET_HASH_SEED: u64 = 6;
/// The digest that stands for no set: what a router has lent does not fit under its new set yet.
const NO_ROUTER_SET: u64 = 0;

/// Smaller divisors that take effect when the routers that left, and what they lent, have expired.
#[derive(Clone, Copy, Debug)]
struct PendingDivisors {
    effective_at: Time,
    divisors: RouterCounts,
}

/// The state of the own share.
#[derive(Clone, Debug)]
pub(super) struct OwnShare {
    /// By how many routers limits are divided.
    divisors: RouterCounts,
    pending: Option<PendingDivisors>,
    /// The digest of the set of routers that may be active.
    router_set: u64,
    /// When that set last changed.
    router_set_changed_at: Time,
    /// The own share may be used.
    in_use: bool,
    /// Where the next requests for acknowledgement go on in the list of peers.
    request_cursor: usize,
}

impl OwnShare {
    pub(super) fn new(now: Time, local: SocketAddr, configured: RouterCounts) -> OwnShare {
        OwnShare {
            divisors: RouterCounts { all: configured.all.max(1), own_zone: configured.own_zone.max(1) },
            pending: None,
            router_set: router_set_digest(local, &BTreeSet::new(), 0),
            router_set_changed_at: now,
            in_use: false,
            request_cursor: 0,
        }
    }

    pub(super) fn in_use(&self) -> bool {
        self.in_use
    }

    pub(super) fn divisors(&self) -> RouterCounts {
        self.divisors
    }

    pub(super) fn router_set(&self) -> u64 {
        self.router_set
    }

    /// Gives the own share up.
    pub(super) fn release(&mut self) {
        self.in_use = false;
    }

    /// The own share of a limit with this scope.
    pub(super) fn of(&self, scope: QuotaScope) -> u32 {
        match scope {
            _ if !self.in_use => 0,
            QuotaScope::All => WHOLE_QUOTA / self.divisors.all,
            QuotaScope::Zone => WHOLE_QUOTA / self.divisors.own_zone,
            QuotaScope::Elsewhere => 0,
        }
    }

    /// Applies smaller divisors that are due.
    pub(super) fn apply_pending(&mut self, now: Time) {
        if let Some(pending) = self.pending.filter(|pending| now >= pending.effective_at) {
            self.divisors = pending.divisors;
            self.pending = None;
        }
    }

    fn update_router_set(&mut self, now: Time, router_set: u64) {
        if router_set != self.router_set {
            self.router_set = router_set;
            // Whatever was lent before may have been more than the new share leaves.
            self.router_set_changed_at = now;
        }
    }

    /// Larger divisors take effect at once, smaller ones after `delay`.
    fn update_divisors(&mut self, now: Time, delay: Time, divisors: RouterCounts) {
        let effective = RouterCounts {
            all: self.divisors.all.max(divisors.all),
            own_zone: self.divisors.own_zone.max(divisors.own_zone),
        };
        self.divisors = effective;
        if divisors == effective {
            self.pending = None;
        } else if self.pending.is_none_or(|pending| pending.divisors != divisors) {
            self.pending = Some(PendingDivisors { effective_at: now + delay, divisors });
        }
    }
}

/// The digest of the local router and these others; never [`NO_ROUTER_SET`] unless routers are
/// unlisted.
fn router_set_digest(local: SocketAddr, others: &BTreeSet<SocketAddr>, unlisted: u32) -> u64 {
    let mut addresses: Vec<String> = others.iter().chain([&local]).map(SocketAddr::to_string).collect();
    addresses.sort();
    let digest = xxh3_64_with_seed(addresses.join(" ").as_bytes(), ROUTER_SET_HASH_SEED) | 1;
    digest.wrapping_add(u64::from(unlisted))
}

impl QuotaManager {
    /// Takes all other routers that may be active.
    pub fn update_peers(&mut self, now: Time, active: &ActivePeers) {
        self.advance_clock(now);
        for known in &active.peers {
            let peer = self.peers.entry(known.address).or_default();
            peer.same_zone = known.same_zone;
            peer.reachable = known.reachable;
        }
        let addresses: BTreeSet<SocketAddr> = active.peers.iter().map(|peer| peer.address).collect();
        self.peers.retain(|address, _| addresses.contains(address));
        let router_set = router_set_digest(self.options.address, &addresses, active.unlisted);
        self.own_share.update_router_set(self.now, router_set);

        let same_zone = active.peers.iter().filter(|peer| peer.same_zone).count() as u32;
        let configured = self.options.configured_routers;
        let divisors = RouterCounts {
            all: (addresses.len() as u32 + 1 + active.unlisted).max(configured.all).max(1),
            own_zone: (same_zone + 1 + active.unlisted).max(configured.own_zone).max(1),
        };
        let delay = self.options.timings.max_claim_lifetime();
        self.own_share.update_divisors(self.now, delay, divisors);
    }

    /// The set of routers that all of the local router's usage and leases fit under: everything
    /// older has expired.
    pub(super) fn acknowledged_set(&self) -> u64 {
        let settled_at = self.own_share.router_set_changed_at + self.options.timings.max_claim_lifetime();
        if self.now >= settled_at {
            self.own_share.router_set
        } else {
            NO_ROUTER_SET
        }
    }

    /// Starts to use the own share when that is safe: what an earlier process at this address lent
    /// or used has expired, and every other router that may be active counts the local one.
    pub(super) fn try_activate_own_share(&mut self) {
        let earlier_claims_expire_at = self.started_at + self.options.timings.max_claim_lifetime();
        if self.own_share.in_use || self.now < earlier_claims_expire_at {
            return;
        }
        let router_set = self.own_share.router_set;
        let acknowledged = |peer: &Peer| peer.acknowledged_set == router_set;
        let all_acknowledged = self.peers.values().all(acknowledged);
        // A router that uses its own share counts all whose shares are in use. If it holds the same
        // routers to be active, and knows that an earlier process here used its share, then all
        // others count this one.
        let earlier_share_confirmed = self
            .peers
            .values()
            .any(|peer| peer.knows_local_share && peer.uses_own_share && acknowledged(peer));
        self.own_share.in_use = all_acknowledged || earlier_share_confirmed;
    }

    /// Asks routers that have not acknowledged the local one yet; and once the own share is in use,
    /// those that have not said that they know: the next process at this address needs their
    /// confirmation.
    pub(super) fn request_acknowledgements(&mut self) {
        let in_use = self.own_share.in_use;
        let router_set = self.own_share.router_set;
        let is_asked = |peer: &Peer| match in_use {
            true => peer.reachable && !peer.knows_local_share,
            false => peer.acknowledged_set != router_set,
        };
        let missing: Vec<SocketAddr> =
            self.peers.iter().filter(|(_, peer)| is_asked(peer)).map(|(address, _)| *address).collect();
        let count = missing.len().min(MAX_ACKNOWLEDGEMENT_REQUESTS);
        for offset in 0..count {
            let position = (self.own_share.request_cursor + offset) % missing.len();
            self.send(missing[position], Vec::new(), false);
        }
        self.own_share.request_cursor = self.own_share.request_cursor.wrapping_add(count);
    }
}
