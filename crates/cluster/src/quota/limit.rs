//! State of one limit at the local router: its usage, demand and leases.

use super::ledger::LeaseLedger;
use super::WHOLE_QUOTA;
use crate::{Time, MS};
use hollymux_decision::{QuotaScope, WarmUpDemand};

/// Time constant with which past demand decays exponentially.
const DEMAND_DECAY_TIME: Time = 5_000 * MS;
/// Divisor of the request size: demand is not rounded up to a further request for a remainder of at
/// most the request size divided by this, which is a residue of decayed demand.
const NEGLIGIBLE_REQUEST_DIVISOR: u32 = 10;
/// A pooled own share is taken back only when it is at least this number of requests. Quota that is
/// taken back can't be used for the expiry delay, so changing back and forth is avoided.
const MIN_REQUESTS_TO_UNPOOL: u32 = 3;

/// A limit that is in demand here, or of which quota is borrowed or lent. Amounts are in parts of
/// [`WHOLE_QUOTA`].
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// The set of routers that share the limit.
    pub(super) scope: QuotaScope,
    /// Quota used here within the last usage window; 0 while the limit is not in demand.
    pub(super) used: u32,
    /// Demand at `peak_at`: the latest demand, or the decayed peak before if that was greater.
    peak_demand: u32,
    /// Instant on the local clock from which `peak_demand` decays.
    peak_at: Time,
    /// Quota that one request uses; at least 1. Less than this can't be used.
    pub(super) request_size: u32,
    pub(super) ledger: LeaseLedger,
    /// Whether the decision module's latest demands include this limit.
    pub(super) in_demand: bool,
    /// Whether all of the own share is offered to the broker.
    own_share_pooled: bool,
}

impl Limit {
    /// Creates the state of a limit that has not been in demand before.
    pub(super) fn new(now: Time, scope: QuotaScope) -> Limit {
        Limit {
            scope,
            used: 0,
            peak_demand: 0,
            peak_at: now,
            request_size: 1,
            ledger: LeaseLedger::default(),
            in_demand: false,
            own_share_pooled: false,
        }
    }

    /// Marks the limit as not in demand, before the next demands are applied. The decaying peak is
    /// kept.
    pub(super) fn clear_demand(&mut self) {
        self.in_demand = false;
        self.used = 0;
    }

    /// Applies the decision module's current demand for the limit.
    pub(super) fn update_demand(&mut self, now: Time, demand: &WarmUpDemand) {
        self.scope = demand.sharers;
        self.used = quota_from_fraction(demand.used);
        self.in_demand = true;
        self.request_size = quota_from_fraction(demand.unit).max(1);
        self.peak_demand = quota_from_fraction(demand.wanted).max(self.demand(now));
        self.peak_at = now;
    }

    /// The local demand: the decayed peak of recent demand. Requests arrive in bursts, so quota
    /// that was wanted a moment ago will probably be wanted again; quota that is lent back and
    /// forth can't be used by any router in the meantime.
    pub(super) fn demand(&self, now: Time) -> u32 {
        let elapsed = now.saturating_sub(self.peak_at) as f64 / DEMAND_DECAY_TIME as f64;
        (f64::from(self.peak_demand) * (-elapsed).exp()) as u32
    }

    /// The local demand or usage, whichever is greater, rounded up to whole requests. At most the
    /// whole quota.
    pub(super) fn demand_in_requests(&self, now: Time) -> u32 {
        let demand = self.demand(now).max(self.used);
        demand
            .saturating_sub(self.request_size / NEGLIGIBLE_REQUEST_DIVISOR)
            .div_ceil(self.request_size)
            .saturating_mul(self.request_size)
            .min(WHOLE_QUOTA)
    }

    /// Updates and returns whether all of the own share is offered to the broker. An own share of
    /// less than one request can't be used by itself; the broker combines the shares of several
    /// routers and lends whole requests.
    pub(super) fn update_pooling(&mut self, own_share: u32) -> bool {
        let enough_to_unpool = own_share >= MIN_REQUESTS_TO_UNPOOL * self.request_size;
        self.own_share_pooled = own_share < self.request_size || self.own_share_pooled && !enough_to_unpool;
        self.own_share_pooled
    }

    /// Whether the limit need not be tracked any longer: it is not in demand and has no leases.
    pub(super) fn is_idle(&self) -> bool {
        !self.in_demand && self.ledger.is_empty()
    }
}

/// Converts a fraction of a limit, clamped to 0 to 1, to parts of [`WHOLE_QUOTA`], rounded up.
fn quota_from_fraction(fraction: f64) -> u32 {
    (fraction.clamp(0.0, 1.0) * f64::from(WHOLE_QUOTA)).ceil() as u32
}
