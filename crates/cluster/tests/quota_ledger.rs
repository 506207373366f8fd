//! Tests of the lease ledger of one limit: quota must never be usable by the lender and the
//! borrower of a lease at the same time.

use hollymux_cluster::quota::lease::{LeaseHolder, LeaseTransfer};
use hollymux_cluster::quota::ledger::{GrantRequest, LeaseLedger, MAX_LEASES};
use hollymux_cluster::quota::{LeaseTimings, WHOLE_QUOTA};
use hollymux_cluster::{Time, MS, SEC};
use std::net::SocketAddr;

/// The only process of the router with this number.
fn holder(router: u8) -> LeaseHolder {
    LeaseHolder { address: SocketAddr::from(([10, 0, 0, router], 7_946)), instance_id: u64::from(router) }
}

/// A transfer of `quota` for one second.
fn transfer(lease_id: u64, quota: u32) -> LeaseTransfer {
    LeaseTransfer { lease_id, quota, duration: SEC }
}

/// Guards against a lender that uses lent quota again too early: a lease expires latest at a
/// borrower whose clock is slow, and is reclaimed earliest by a lender whose clock is fast.
#[test]
fn lent_quota_is_reclaimed_a_usage_window_after_it_expires_on_the_slowest_clock() {
    let timings = LeaseTimings::default();
    let mut lender = LeaseLedger::default();
    let mut borrower = LeaseLedger::default();
    let request = GrantRequest {
        borrower: holder(2),
        target: WHOLE_QUOTA / 2,
        duration: timings.lease_duration,
        own_share: WHOLE_QUOTA,
        used: 0,
    };
    let transfers = lender.grant(0, &request, &timings, &mut 0);
    assert_eq!(transfers.len(), 1);
    borrower.borrow(0, holder(1), &transfers[0], timings.lease_duration);
    let drift = timings.max_clock_drift_per_mille as f64 / 1_000.0;
    let clock = |time: Time, drift: f64| (time as f64 * (1.0 + drift)) as Time;
    let borrower_uses = |ms: &Time| borrower.usable(clock(ms * MS, -drift), 0, &timings) > 0;
    let lender_has_all =
        |ms: &Time| lender.usable(clock(ms * MS, drift), WHOLE_QUOTA, &timings) == WHOLE_QUOTA;
    let last_used = (0..9_000).rfind(borrower_uses).unwrap();
    let reclaimed = (0..9_000).find(lender_has_all).unwrap();
    assert!(
        reclaimed * MS >= last_used * MS + timings.usage_window,
        "reclaimed after {reclaimed} ms, last used after {last_used} ms"
    );
    let bound = timings.max_lease_and_usage_lifetime() + 100 * MS;
    assert!(reclaimed * MS <= bound, "reclaimed only after {reclaimed} ms");
}

/// Guards against a broker that lends borrowed quota for longer than it has borrowed it.
#[test]
fn quota_lent_on_expires_before_the_borrowed_lease() {
    let timings = LeaseTimings::default();
    let mut broker = LeaseLedger::default();
    broker.borrow(0, holder(1), &transfer(1, WHOLE_QUOTA / 2), SEC);
    let request =
        |duration| GrantRequest { borrower: holder(3), target: WHOLE_QUOTA, duration, own_share: 0, used: 0 };
    assert!(broker.grant(0, &request(SEC), &timings, &mut 0).is_empty());
    let transfers = broker.grant(0, &request(900 * MS), &timings, &mut 0);
    assert_eq!(transfers.iter().map(|transfer| transfer.quota).sum::<u32>(), WHOLE_QUOTA / 2);
    // Less time of the borrowed lease is left now, so a grant of the same duration is refused.
    assert!(broker.grant(500 * MS, &request(900 * MS), &timings, &mut 1).is_empty());
    assert_eq!(broker.lent(500 * MS, &timings), WHOLE_QUOTA / 2);
}

/// Guards against a lease that is counted twice when its transfer is duplicated, and against one
/// that an older transfer increases or revives after its expiry.
#[test]
fn duplicated_and_late_transfers_neither_add_nor_revive_leases() {
    let mut ledger = LeaseLedger::default();
    ledger.borrow(0, holder(1), &transfer(9, 1_000), SEC);
    ledger.borrow(10, holder(1), &transfer(9, 1_000), SEC);
    assert_eq!(ledger.borrowed(20), 1_000);
    ledger.borrow(20, holder(1), &transfer(9, 400), 2 * SEC);
    ledger.borrow(30, holder(1), &transfer(9, 1_000), SEC);
    assert_eq!((ledger.borrowed(40), ledger.borrowed(2 * SEC)), (400, 0));
    ledger.borrow(3 * SEC, holder(1), &transfer(9, 400), 2 * SEC);
    assert_eq!(ledger.borrowed(3 * SEC), 0);
}

/// Guards against a ledger that grows without bound with the transfers that other routers send, and
/// against transfers of more than the whole quota.
#[test]
fn number_of_borrowed_leases_is_bounded() {
    let mut ledger = LeaseLedger::default();
    for lease_id in 0..10_000 {
        ledger.borrow(0, holder(1), &transfer(lease_id, 1), SEC);
    }
    assert_eq!(ledger.borrowed(1), MAX_LEASES as u32);
    ledger.borrow(0, holder(1), &transfer(1, WHOLE_QUOTA + 1), SEC);
    assert_eq!(ledger.borrowed(1), MAX_LEASES as u32);
}
