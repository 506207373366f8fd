//! The lease ledger of one limit at one router: the leases that are borrowed and lent, and their
//! expiry.
//!
//! The ledger decides how much can be lent and for how long, but not to which router. Quota is
//! subtracted here before the lease is sent, and stays subtracted until the borrower can no longer
//! use it by any router's clock. Each lease has an identifier of its own: if its transfer is lost,
//! no router can use the quota until the lease expires; if it arrives twice, both copies are the
//! same lease.
//!
//! All instants are on the local router's clock.

use super::lease::{LeaseHolder, LeaseTransfer, MAX_TRANSFERS_PER_LIMIT};
use super::options::LeaseTimings;
use super::WHOLE_QUOTA;
use crate::Time;
use std::collections::BTreeMap;

/// Maximum number of leases of one limit that a router borrows, and likewise of leases that it
/// lends. Reductions of lent leases count as leases. A borrower ignores transfers beyond it; no
/// router can use their quota until they expire at the lender.
pub const MAX_LEASES: usize = 256;
/// Minimum quota of a lease in parts of [`WHOLE_QUOTA`]: a smaller lease would cost more messages
/// than it serves requests.
const MIN_LEASE: u32 = WHOLE_QUOTA / 4_096;
/// Divisor of the borrower's target: a new lease has at least the target divided by this. Each of
/// many small leases would have to be renewed in every message.
const MIN_LEASE_DIVISOR: u32 = 16;

/// A lease in the ledger of its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct BorrowedLease {
    quota: u32,
    /// Expiry instant. The duration is counted from when the local request was sent that the lender
    /// replied to last.
    expires_at: Time,
}

/// Identifies a borrowed lease: lease identifiers are unique per lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct BorrowedLeaseKey {
    lender: LeaseHolder,
    lease_id: u64,
}

/// A lease in the ledger of its lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LentLease {
    borrower: LeaseHolder,
    quota: u32,
    /// Instant by which the lease has expired at the borrower by any clock. The borrower's usage
    /// counts against the limit for [`LeaseTimings::expiry_delay`] after it.
    expires_at: Time,
}

/// Quota that another router may use until an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OutstandingQuota {
    quota: u32,
    /// Instant by which the quota has expired at the borrower by any clock.
    expires_at: Time,
}

/// Input of [`LeaseLedger::grant`]. Amounts are in parts of [`WHOLE_QUOTA`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// The router process that borrows.
    pub borrower: LeaseHolder,
    /// The total quota that the borrower should have from this lender after the grant.
    pub target: u32,
    /// Duration of the leases, counted from when the borrower sent its request.
    pub duration: Time,
    /// The lender's own share of the limit.
    pub own_share: u32,
    /// Quota that the lender itself used within the last usage window.
    pub used: u32,
}

/// The borrowed and lent leases of one limit at one router. Amounts are in parts of
/// [`WHOLE_QUOTA`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseLedger {
    /// Leases from other routers.
    borrowed: BTreeMap<BorrowedLeaseKey, BorrowedLease>,
    /// Leases to other routers, by lease identifier.
    lent: BTreeMap<u64, LentLease>,
    /// Quota by which lent leases were reduced on renewal. The borrower may not have received the
    /// renewal, so it may use this quota until the expiry before the renewal.
    reduced: Vec<OutstandingQuota>,
}

impl LeaseLedger {
    /// Removes expired leases and reductions; lent ones only when their expiry delay has passed as
    /// well.
    pub fn expire(&mut self, now: Time, timings: &LeaseTimings) {
        let delay = timings.expiry_delay();
        self.borrowed.retain(|_, lease| lease.expires_at > now);
        self.lent.retain(|_, lease| lease.expires_at + delay > now);
        self.reduced.retain(|reduced| reduced.expires_at + delay > now);
    }

    /// Whether the ledger has no borrowed lease, no lent lease and no reduction, expired ones that
    /// are not removed yet included.
    pub fn is_empty(&self) -> bool {
        self.borrowed.is_empty() && self.lent.is_empty() && self.reduced.is_empty()
    }

    /// Quota of the borrowed leases that are still valid at the instant `at`, unless they are
    /// renewed before.
    pub fn borrowed(&self, at: Time) -> u32 {
        let valid = self.borrowed.values().filter(|lease| lease.expires_at > at);
        saturating_sum(valid.map(|lease| lease.quota))
    }

    /// Quota that other routers may use at the instant `at`, or may have used within the usage
    /// window before it.
    pub fn lent(&self, at: Time, timings: &LeaseTimings) -> u32 {
        let delay = timings.expiry_delay();
        let counted = self.all_lent().filter(|lent| lent.expires_at + delay > at);
        saturating_sum(counted.map(|lent| lent.quota))
    }

    /// Quota of the valid leases lent to one borrower, without reductions.
    pub fn lent_to(&self, borrower: &LeaseHolder, now: Time) -> u32 {
        let valid = self.lent.values().filter(|lease| lease.borrower == *borrower && lease.expires_at > now);
        saturating_sum(valid.map(|lease| lease.quota))
    }

    /// Quota that the local router may use at the instant `at`: its own share and what it has
    /// borrowed, less what it has lent.
    pub fn usable(&self, at: Time, own_share: u32, timings: &LeaseTimings) -> u32 {
        own_share.saturating_add(self.borrowed(at)).saturating_sub(self.lent(at, timings))
    }

    /// The instant at which the next borrowed lease expires; `None` if no valid lease is borrowed.
    pub fn next_expiry(&self, now: Time) -> Option<Time> {
        self.borrowed.values().map(|lease| lease.expires_at).filter(|at| *at > now).min()
    }

    /// The instant from which the next lent quota may be used here again, unless its lease is
    /// renewed; `None` if nothing is lent.
    pub fn next_reclaim(&self, now: Time, timings: &LeaseTimings) -> Option<Time> {
        let delay = timings.expiry_delay();
        self.all_lent().map(|lent| lent.expires_at + delay).filter(|at| *at > now).min()
    }

    /// Adds or renews a borrowed lease. `expires_at` must count from when the local request to the
    /// lender was sent, so that the lease expires here before it expires at the lender. A renewal
    /// may extend a lease but never increases its quota. Ignored if the lease has expired, its
    /// quota is 0 or more than the whole, or [`MAX_LEASES`] other leases are borrowed.
    pub fn borrow(&mut self, now: Time, lender: LeaseHolder, transfer: &LeaseTransfer, expires_at: Time) {
        let key = BorrowedLeaseKey { lender, lease_id: transfer.lease_id };
        let has_room = self.borrowed.len() < MAX_LEASES || self.borrowed.contains_key(&key);
        let is_valid = transfer.quota > 0 && transfer.quota <= WHOLE_QUOTA;
        if expires_at <= now || !is_valid || !has_room {
            return;
        }
        let lease = self.borrowed.entry(key).or_insert(BorrowedLease { quota: transfer.quota, expires_at });
        lease.quota = lease.quota.min(transfer.quota);
        lease.expires_at = lease.expires_at.max(expires_at);
    }

    /// Lends a borrower as much of its target as is available: renews its leases first, then adds
    /// at most one lease. Returns the renewed and added leases. `last_lease_id` is the identifier
    /// last given to any lease of the local process, of all limits; it is incremented.
    pub fn grant(
        &mut self,
        now: Time,
        request: &GrantRequest,
        timings: &LeaseTimings,
        last_lease_id: &mut u64,
    ) -> Vec<LeaseTransfer> {
        self.expire(now, timings);
        let expires_at = now + timings.with_drift_margin(request.duration);
        let mut transfers = self.renew_leases(now, expires_at, request);
        let renewed: u32 = transfers.iter().map(|transfer| transfer.quota).sum();
        let unused = self.usable(now, request.own_share, timings).saturating_sub(request.used);
        let quota = (request.target - renewed).min(unused).min(self.available_until(
            now,
            expires_at,
            request.own_share,
        ));
        let fits_message = transfers.len() < MAX_TRANSFERS_PER_LIMIT;
        let fits_ledger = self.lent.len() + self.reduced.len() < MAX_LEASES;
        if quota >= min_new_lease(request.target) && fits_message && fits_ledger {
            *last_lease_id += 1;
            let lease_id = *last_lease_id;
            self.lent.insert(lease_id, LentLease { borrower: request.borrower, quota, expires_at });
            transfers.push(LeaseTransfer { lease_id, quota, duration: request.duration });
        }
        transfers
    }

    /// Renews the borrower's leases up to its target and returns the renewed ones. Leases that are
    /// not renewed keep their expiry.
    fn renew_leases(&mut self, now: Time, expires_at: Time, request: &GrantRequest) -> Vec<LeaseTransfer> {
        let mut transfers = Vec::new();
        let mut renewed = 0;
        for lease_id in self.renewable_leases(now, request) {
            let Some(lease) = self.lent.remove(&lease_id) else { continue };
            let available = self.available_until(now, expires_at, request.own_share);
            let quota = lease.quota.min(request.target - renewed).min(available);
            if quota < MIN_LEASE || transfers.len() >= MAX_TRANSFERS_PER_LIMIT {
                self.lent.insert(lease_id, lease);
                continue;
            }
            if quota < lease.quota {
                let reduced_by = lease.quota - quota;
                self.reduced.push(OutstandingQuota { quota: reduced_by, expires_at: lease.expires_at });
            }
            let expires_at = expires_at.max(lease.expires_at);
            self.lent.insert(lease_id, LentLease { borrower: request.borrower, quota, expires_at });
            transfers.push(LeaseTransfer { lease_id, quota, duration: request.duration });
            renewed += quota;
        }
        transfers
    }

    /// The identifiers, in ascending order, of the borrower's valid leases to renew. If they fill a
    /// message and the borrower should have more, the smallest lease is left to expire, to make
    /// room for a larger one.
    fn renewable_leases(&self, now: Time, request: &GrantRequest) -> Vec<u64> {
        let mut valid: Vec<u64> = self
            .lent
            .iter()
            .filter(|(_, lease)| lease.borrower == request.borrower && lease.expires_at > now)
            .map(|(lease_id, _)| *lease_id)
            .collect();
        let quota_of = |lease_id: &u64| self.lent.get(lease_id).map_or(0, |lease| lease.quota);
        let missing = request.target.saturating_sub(valid.iter().map(quota_of).sum());
        if valid.len() >= MAX_TRANSFERS_PER_LIMIT && missing >= min_new_lease(request.target) {
            let smallest = valid.iter().copied().min_by_key(quota_of);
            valid.retain(|lease_id| Some(*lease_id) != smallest);
        }
        valid
    }

    /// The minimum quota that is available and not lent at any instant from `now` until `until`,
    /// given that borrowed leases may expire in between.
    fn available_until(&self, now: Time, until: Time, own_share: u32) -> u32 {
        let available = |at: Time| {
            let valid = self.all_lent().filter(|lent| lent.expires_at > at);
            let lent = saturating_sum(valid.map(|lent| lent.quota));
            own_share.saturating_add(self.borrowed(at)).saturating_sub(lent)
        };
        let expiries =
            self.borrowed.values().map(|lease| lease.expires_at).filter(|at| *at > now && *at < until);
        expiries.chain([now]).map(available).min().unwrap_or(0)
    }

    /// All quota that other routers may use: lent leases and reductions.
    fn all_lent(&self) -> impl Iterator<Item = OutstandingQuota> + '_ {
        let leases = self
            .lent
            .values()
            .map(|lease| OutstandingQuota { quota: lease.quota, expires_at: lease.expires_at });
        leases.chain(self.reduced.iter().copied())
    }
}

/// The minimum quota of a new lease for a borrower whose total quota should be `target`.
fn min_new_lease(target: u32) -> u32 {
    MIN_LEASE.max(target / MIN_LEASE_DIVISOR)
}

fn saturating_sum(quotas: impl Iterator<Item = u32>) -> u32 {
    quotas.fold(0, u32::saturating_add)
}
