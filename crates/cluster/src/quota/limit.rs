//! One limit at the local router: its usage, its demand and its leases.

use super::ledger::LeaseLedger;
use super::WHOLE_QUOTA;
use crate::{Time, MS};
use hollymux_decision::{QuotaScope, WarmUpDemand};

/// Past demand decays exponentially with this time constant.
const DEMAND_DECAY_TIME: Time = 5_000 * MS;
/// A remainder below this fraction of a request is what is left of decayed demand and needs no
/// request of its own.
const NEGLIGIBLE_REQUEST_FRACTION: u32 = 10;
/// A pooled own share is taken back when it is this many requests: taking it back costs the expiry
/// delay, so it is done late rather than often.
const MIN_REQUESTS_TO_UNPOOL: u32 = 3;

/// A limit that is in use here, or of which something is borrowed or lent.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// The routers that share it.
    pub(super) scope: QuotaScope,
    /// Used here within the last window.
    pub(super) used: u32,
    /// The recent peak of demand, as of when; it decays.
    peak_demand: u32,
    peak_at: Time,
    /// What one request takes of the limit: less is of no use.
    pub(super) request_size: u32,
    pub(super) ledger: LeaseLedger,
    /// The decision module demands it at present.
    pub(super) in_demand: bool,
    /// All of the own share is lent to the broker.
    own_share_pooled: bool,
}

impl Limit {
    /// A limit that has not been in demand until now.
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

    /// Forgets the demand of the last update; its peak still decays.
    pub(super) fn clear_demand(&mut self) {
        self.in_demand = false;
        self.used = 0;
    }

    /// Takes the decision module's demand.
    pub(super) fn update_demand(&mut self, now: Time, demand: &WarmUpDemand) {
        self.scope = demand.sharers;
        self.used = quota_from_fraction(demand.used);
        self.in_demand = true;
        self.request_size = quota_from_fraction(demand.unit).max(1);
        self.peak_demand = quota_from_fraction(demand.wanted).max(self.demand(now));
        self.peak_at = now;
    }

    /// What is wanted here. Requests come in bursts: what was wanted a moment ago will be again,
    /// and quota that is lent back and forth is of no use to any router meanwhile.
    pub(super) fn demand(&self, now: Time) -> u32 {
        let elapsed = now.saturating_sub(self.peak_at) as f64 / DEMAND_DECAY_TIME as f64;
        (f64::from(self.peak_demand) * (-elapsed).exp()) as u32
    }

    /// What is wanted or used here, rounded up to whole requests.
    pub(super) fn demand_in_requests(&self, now: Time) -> u32 {
        let demand = self.demand(now).max(self.used);
        demand
            .saturating_sub(self.request_size / NEGLIGIBLE_REQUEST_FRACTION)
            .div_ceil(self.request_size)
            .saturating_mul(self.request_size)
            .min(WHOLE_QUOTA)
    }

    /// Whether all of the own share goes to the broker, which lends whole requests: a share of less
    /// than a request is of use only together with those of others.
    pub(super) fn update_pooling(&mut self, own_share: u32) -> bool {
        let enough_to_unpool = own_share >= MIN_REQUESTS_TO_UNPOOL * self.request_size;
        self.own_share_pooled = own_share < self.request_size || self.own_share_pooled && !enough_to_unpool;
        self.own_share_pooled
    }

    /// Whether there is no reason to remember the limit.
    pub(super) fn is_idle(&self) -> bool {
        !self.in_demand && self.ledger.is_empty()
    }
}

/// A fraction of a limit in parts of [`WHOLE_QUOTA`], rounded up.
fn quota_from_fraction(fraction: f64) -> u32 {
    (fraction.clamp(0.0, 1.0) * f64::from(WHOLE_QUOTA)).ceil() as u32
}
