//! The local router's own share of each limit: the numbers of routers by which limits are divided,
//! and when the share may be used.
//!
//! The even shares of all routers add up to no more than the whole limit only if every router
//! divides by enough routers. A router that starts therefore uses no own share until all others
//! have acknowledged the same set of possibly active routers. A router acknowledges a set only when
//! everything that it lent or used before the set changed has expired.

use super::peers::{ActivePeers, Peer};
use super::{QuotaManager, WHOLE_QUOTA};
use crate::counters::RouterCounts;
use crate::Time;
use hollymux_decision::QuotaScope;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of routers that are sent a request for acknowledgement per exchange interval.
const MAX_ACKNOWLEDGEMENT_REQUESTS: usize = 32;
/// Seed of [`router_set_digest`]; part of the wire format.
const ROUTER_SET_HASH_SEED: u64 = 6;
/// Digest sent in place of a router set's digest while usage and leases from before the set last
/// changed have not expired, so that the set is not acknowledged yet.
const NO_ROUTER_SET: u64 = 0;

/// Smaller divisors that take effect only when everything that the removed routers lent, used or
/// borrowed has expired.
#[derive(Clone, Copy, Debug)]
struct PendingDivisors {
    /// Instant on the local clock at which the divisors take effect.
    effective_at: Time,
    divisors: RouterCounts,
}

/// The state of the own share.
#[derive(Clone, Debug)]
pub(super) struct OwnShare {
    /// Numbers of routers by which limits are divided; at least 1.
    divisors: RouterCounts,
    /// Smaller divisors that are not in effect yet; `None` if there are none.
    pending: Option<PendingDivisors>,
    /// Digest of the set of possibly active routers, including the local one.
    router_set: u64,
    /// Instant on the local clock at which that set last changed.
    router_set_changed_at: Time,
    /// Whether the own share may be used.
    in_use: bool,
    /// Number of requests for acknowledgement sent so far, wrapping. It selects the routers that
    /// are sent the next ones when more than [`MAX_ACKNOWLEDGEMENT_REQUESTS`] are missing.
    request_cursor: usize,
}

impl OwnShare {
    /// Creates an own share that is not in use, divided by the configured numbers of routers.
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

    /// Stops using the own share.
    pub(super) fn release(&mut self) {
        self.in_use = false;
    }

    /// The own share of a limit with this scope, in parts of [`WHOLE_QUOTA`]; 0 while the own share
    /// is not in use, and for a limit that the routers of another zone share.
    pub(super) fn of(&self, scope: QuotaScope) -> u32 {
        match scope {
            _ if !self.in_use => 0,
            QuotaScope::All => WHOLE_QUOTA / self.divisors.all,
            QuotaScope::Zone => WHOLE_QUOTA / self.divisors.own_zone,
            QuotaScope::OtherZone => 0,
        }
    }

    /// Applies the pending smaller divisors if they are due.
    pub(super) fn apply_pending(&mut self, now: Time) {
        if let Some(pending) = self.pending.filter(|pending| now >= pending.effective_at) {
            self.divisors = pending.divisors;
            self.pending = None;
        }
    }

    /// Sets the digest of the possibly active routers, and restarts the time after which the local
    /// router acknowledges it if it has changed.
    fn update_router_set(&mut self, now: Time, router_set: u64) {
        if router_set != self.router_set {
            self.router_set = router_set;
            // Earlier leases to other routers may exceed the new share until they expire.
            self.router_set_changed_at = now;
        }
    }

    /// Updates the divisors. Larger ones take effect at once, smaller ones after `delay`.
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

/// The digest of a set of routers: the local one, `others` and the number of unlisted ones. Without
/// unlisted routers it is never [`NO_ROUTER_SET`].
fn router_set_digest(local: SocketAddr, others: &BTreeSet<SocketAddr>, unlisted: u32) -> u64 {
    let mut addresses: Vec<String> = others.iter().chain([&local]).map(SocketAddr::to_string).collect();
    addresses.sort();
    let digest = xxh3_64_with_seed(addresses.join(" ").as_bytes(), ROUTER_SET_HASH_SEED) | 1;
    digest.wrapping_add(u64::from(unlisted))
}

impl QuotaManager {
    /// Replaces the set of other routers that may be active. To be called with every change of
    /// membership; the divisors of limits follow from it.
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
        let delay = self.options.timings.max_lease_and_usage_lifetime();
        self.own_share.update_divisors(self.now, delay, divisors);
    }

    /// The digest of the current set of routers if all usage and leases of the local router from
    /// before the set last changed have expired; [`NO_ROUTER_SET`] until then.
    pub(super) fn acknowledged_set(&self) -> u64 {
        let earlier_claims_expire_at =
            self.own_share.router_set_changed_at + self.options.timings.max_lease_and_usage_lifetime();
        if self.now >= earlier_claims_expire_at {
            self.own_share.router_set
        } else {
            NO_ROUTER_SET
        }
    }

    /// Starts to use the own share if that is safe: everything that an earlier process at the local
    /// address lent or used has expired, and every other possibly active router counts the local
    /// router in its divisors.
    pub(super) fn try_activate_own_share(&mut self) {
        let earlier_claims_expire_at = self.started_at + self.options.timings.max_lease_and_usage_lifetime();
        if self.own_share.in_use || self.now < earlier_claims_expire_at {
            return;
        }
        let router_set = self.own_share.router_set;
        let acknowledged = |peer: &Peer| peer.acknowledged_set == router_set;
        let all_acknowledged = self.peers.values().all(acknowledged);
        // A router whose own share is in use counts all other routers whose shares are in use. If
        // such a router has acknowledged the same set, and knows that an earlier process at the
        // local address used its share, then all other routers count the local one.
        let earlier_share_confirmed = self
            .peers
            .values()
            .any(|peer| peer.knows_local_share && peer.uses_own_share && acknowledged(peer));
        self.own_share.in_use = all_acknowledged || earlier_share_confirmed;
    }

    /// Sends requests for acknowledgement: empty messages, each of which is replied to with a
    /// current header. Before the own share is in use they go to routers that have not acknowledged
    /// the current set. Afterwards they go to reachable routers that have not reported that they
    /// know that the own share is in use, because the next process at this address needs their
    /// confirmation.
    pub(super) fn request_acknowledgements(&mut self) {
        let in_use = self.own_share.in_use;
        let router_set = self.own_share.router_set;
        let needs_request = |peer: &Peer| match in_use {
            true => peer.reachable && !peer.knows_local_share,
            false => peer.acknowledged_set != router_set,
        };
        let missing: Vec<SocketAddr> =
            self.peers.iter().filter(|(_, peer)| needs_request(peer)).map(|(address, _)| *address).collect();
        let count = missing.len().min(MAX_ACKNOWLEDGEMENT_REQUESTS);
        for offset in 0..count {
            let position = (self.own_share.request_cursor + offset) % missing.len();
            self.send(missing[position], Vec::new(), false);
        }
        self.own_share.request_cursor = self.own_share.request_cursor.wrapping_add(count);
    }
}
