//! The lease ledger of one limit at one router: what is borrowed and what is lent, and until when.
//!
//! It decides what may be lent and for how long, not to whom. Whatever is lent is subtracted here
//! first, under a number of its own, until the borrower can no longer use it by any clock. A
//! transfer that is lost is void until then; one that arrives twice is the same lease.

use super::lease::{LeaseHolder, LeaseTransfer, MAX_TRANSFERS_PER_LIMIT};
use super::options::LeaseTimings;
use super::WHOLE_QUOTA;
use crate::Time;
use std::collections::BTreeMap;

/// Leases of one limit that are borrowed, and lent, at most. Further ones are refused; what they
/// would have transferred stays unusable until they expire.
pub const MAX_LEASES: usize = 256;
/// The smallest lease: a smaller one would cost more messages than it serves requests.
const MIN_LEASE: u32 = WHOLE_QUOTA / 4_096;
/// A new lease is at least this fraction of what the borrower should have in all: every lease of
/// many small ones would have to be renewed in every message.
const MIN_LEASE_FRACTION: u32 = 16;

/// A lease in the ledger of its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct BorrowedLease {
    quota: u32,
    /// By the local clock, counted from when the lender was last asked.
    expires_at: Time,
}

/// Identifies a borrowed lease.
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
    /// Until then the borrower may use it by any clock; the usage counts for the expiry delay
    /// beyond.
    expires_at: Time,
}

/// Quota that another router may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OutstandingQuota {
    quota: u32,
    expires_at: Time,
}

/// What a borrower is to have, and what the lender can spare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// Who borrows.
    pub borrower: LeaseHolder,
    /// What it is to have from this lender in all.
    pub target: u32,
    /// For how long from when the borrower asked.
    pub duration: Time,
    /// The lender's own share.
    pub own_share: u32,
    /// What the lender has used within the last window.
    pub used: u32,
}

/// The account of one limit at one router. Amounts are parts of [`WHOLE_QUOTA`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseLedger {
    borrowed: BTreeMap<BorrowedLeaseKey, BorrowedLease>,
    lent: BTreeMap<u64, LentLease>,
    /// What leases were reduced by when they were renewed: borrowers may use it until the leases
    /// would have expired.
    reduced: Vec<OutstandingQuota>,
}

impl LeaseLedger {
    /// Removes what has expired.
    pub fn expire(&mut self, now: Time, timings: &LeaseTimings) {
        let delay = timings.expiry_delay();
        self.borrowed.retain(|_, lease| lease.expires_at > now);
        self.lent.retain(|_, lease| lease.expires_at + delay > now);
        self.reduced.retain(|reduced| reduced.expires_at + delay > now);
    }

    /// Whether nothing is borrowed or lent.
    pub fn is_empty(&self) -> bool {
        self.borrowed.is_empty() && self.lent.is_empty() && self.reduced.is_empty()
    }

    /// What is borrowed at a point in time, as far as it is known now.
    pub fn borrowed(&self, at: Time) -> u32 {
        let valid = self.borrowed.values().filter(|lease| lease.expires_at > at);
        saturating_sum(valid.map(|lease| lease.quota))
    }

    /// What others may use at a point in time, or have used within the window before it.
    pub fn lent(&self, at: Time, timings: &LeaseTimings) -> u32 {
        let delay = timings.expiry_delay();
        let counted = self.all_lent().filter(|lent| lent.expires_at + delay > at);
        saturating_sum(counted.map(|lent| lent.quota))
    }

    /// What one other router may use now.
    pub fn lent_to(&self, borrower: &LeaseHolder, now: Time) -> u32 {
        let valid = self.lent.values().filter(|lease| lease.borrower == *borrower && lease.expires_at > now);
        saturating_sum(valid.map(|lease| lease.quota))
    }

    /// What may be used here at a point in time, of the own share and of what is borrowed.
    pub fn usable(&self, at: Time, own_share: u32, timings: &LeaseTimings) -> u32 {
        own_share.saturating_add(self.borrowed(at)).saturating_sub(self.lent(at, timings))
    }

    /// When the next borrowed lease expires.
    pub fn next_expiry(&self, now: Time) -> Option<Time> {
        self.borrowed.values().map(|lease| lease.expires_at).filter(|at| *at > now).min()
    }

    /// When the next lent quota may be used here again.
    pub fn next_reclaim(&self, now: Time, timings: &LeaseTimings) -> Option<Time> {
        let delay = timings.expiry_delay();
        self.all_lent().map(|lent| lent.expires_at + delay).filter(|at| *at > now).min()
    }

    /// Adds or renews a borrowed lease. `expires_at` counts from when the lender was asked, by the
    /// local clock, so that the lease expires here before it expires there. A renewal may last
    /// longer but never grants more.
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

    /// Lends a router what it is to have in all, as far as that is available: renews its leases
    /// first, then adds one. `last_lease_id` is the last number that was given to any lease.
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

    /// Renews the borrower's leases as far as it is to have them; the others expire as they would
    /// have.
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

    /// The borrower's valid leases, by number. If they fill a message and more is wanted, the
    /// smallest one is left to expire, to make room for a larger one.
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

    /// The least that is available and not lent at any time from now until `until`: borrowed leases
    /// expire in between.
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

    /// All that others may use, and until when.
    fn all_lent(&self) -> impl Iterator<Item = OutstandingQuota> + '_ {
        let leases = self
            .lent
            .values()
            .map(|lease| OutstandingQuota { quota: lease.quota, expires_at: lease.expires_at });
        leases.chain(self.reduced.iter().copied())
    }
}

/// The smallest lease that is added for a borrower that is to have `target` in all.
fn min_new_lease(target: u32) -> u32 {
    MIN_LEASE.max(target / MIN_LEASE_FRACTION)
}

fn saturating_sum(quotas: impl Iterator<Item = u32>) -> u32 {
    quotas.fold(0, u32::saturating_add)
}
