//! Division of capacity among routers: how many routers share an endpoint, the warm-up budget of an
//! endpoint, and this router's share of it. The values come from the settings, the cluster's
//! membership, or agreement with other routers.

use crate::interface::{EndpointId, EndpointState};
use crate::module::DecisionModule;
use crate::state::capacity::WarmUpCapacity;
use crate::state::endpoint::{Endpoint, EndpointRole};
use crate::state::endpoint_set::ActiveRouters;
use crate::time::{secs, Timestamp};
use rand_core::RngCore;
use std::collections::BTreeMap;

/// All routers together use at most this fraction of the load at which an endpoint that warms up
/// fails.
const OVERLOAD_SAFETY: f64 = 0.6;
/// All routers together use at most this multiple of the present capacity of an endpoint that warms
/// up. More would only make responses late.
pub(crate) const MAX_WARM_UP_USE: f64 = 1.2;
/// Lower bounds of values that are used as divisors: a budget in seconds of work, and a window in
/// seconds.
const MIN_BUDGET: f64 = 1e-9;
const MIN_WINDOW_SECS: f64 = 0.001;

/// The routers among which an endpoint's warm-up budget is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaScope {
    /// All routers of the cluster.
    All,
    /// The routers of this router's zone.
    Zone,
    /// The routers of another zone; this router has no share of the budget.
    OtherZone,
}

impl QuotaScope {
    /// The name in the replies of the admin endpoint.
    pub fn name(self) -> &'static str {
        match self {
            QuotaScope::All => "all",
            QuotaScope::Zone => "this office",
            QuotaScope::OtherZone => "others",
        }
    }
}

/// This router's demand for the warm-up budget of an endpoint, over the last overload window. All
/// amounts are fractions of the whole budget of one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpDemand {
    /// The endpoint whose budget the routers share while it warms up.
    pub endpoint: EndpointId,
    /// The routers among which the endpoint's budget is divided.
    pub sharers: QuotaScope,
    /// Work that this router sent to the endpoint.
    pub used: f64,
    /// Work that this router sent, plus the work that its share did not admit.
    pub wanted: f64,
    /// Work of one request of the largest class.
    pub unit: f64,
}

/// This router's share of an endpoint's warm-up budget, as a fraction of the whole: `now` before
/// the time `until`, and `after` from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaShare {
    /// Share that applies before `until`, 0 to 1.
    pub now: f64,
    /// End of the first share, on the clock of the timestamps that the module is given.
    pub until: Timestamp,
    /// Share that applies from `until` on, 0 to 1, until another share is set.
    pub after: f64,
}

/// Shares of warm-up budgets that were agreed with other routers, as fractions of the whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeasedShares {
    /// Share of an endpoint that all routers use and that has no entry in `by_endpoint`.
    default_all: f64,
    /// Share of an endpoint that the routers of the own zone use and that has no entry in
    /// `by_endpoint`.
    default_zone: f64,
    by_endpoint: BTreeMap<EndpointId, QuotaShare>,
}

impl LeasedShares {
    /// This router's share of an endpoint's warm-up budget at `now`; 0 for an endpoint of another
    /// zone without an entry.
    fn share(&self, now: Timestamp, endpoint: EndpointId, sharers: QuotaScope) -> f64 {
        match (self.by_endpoint.get(&endpoint), sharers) {
            (Some(share), _) if now < share.until => share.now,
            (Some(share), _) => share.after,
            (None, QuotaScope::All) => self.default_all,
            (None, QuotaScope::Zone) => self.default_zone,
            (None, QuotaScope::OtherZone) => 0.0,
        }
    }
}

/// Work in seconds that all routers together may send to an endpoint within a window of
/// `window_secs` seconds while it warms up.
pub(crate) fn warm_up_budget(warm_up: WarmUpCapacity, window_secs: f64) -> f64 {
    MAX_WARM_UP_USE.min(OVERLOAD_SAFETY * warm_up.overload_multiple) * warm_up.capacity * window_secs
}

impl DecisionModule {
    /// Sets how many routers use the endpoints in addition to the counted ones: 1 for as long as a
    /// process and its successor serve side by side, otherwise 0.
    pub fn set_additional_routers(&mut self, additional: u32) {
        self.endpoints.additional_routers = additional;
    }

    /// Sets the number of routers that may be active, this one included: in all zones and in the
    /// own zone. From then on the numbers of the settings are ignored.
    pub fn set_active_router_counts(&mut self, total: u32, in_zone: u32) {
        // If the settings do not give the numbers by zone, all routers share every endpoint.
        let in_zone = if self.settings.router_count_by_zone.is_empty() { total } else { in_zone };
        let active = ActiveRouters { total: total.max(1), in_zone: in_zone.max(1) };
        self.endpoints.active_routers = Some(active);
    }

    /// Replaces even shares of warm-up budgets by shares agreed with other routers. `by_endpoint`
    /// holds the shares of single endpoints. `default_shares` applies to all others: the first
    /// value to endpoints that all routers share, the second to those that only the own zone
    /// shares.
    pub fn set_leased_shares(
        &mut self,
        default_shares: (f64, f64),
        by_endpoint: BTreeMap<EndpointId, QuotaShare>,
    ) {
        let (default_all, default_zone) = default_shares;
        self.endpoints.leased_shares = Some(LeasedShares { default_all, default_zone, by_endpoint });
    }

    /// This router's demand for the budgets of the endpoints that warm up, from which the routers
    /// agree on shares. Empty if no endpoint warms up.
    pub fn warm_up_demands(&self, now: Timestamp) -> Vec<WarmUpDemand> {
        self.warming_up.iter().filter_map(|id| self.warm_up_demand(now, *id)).collect()
    }

    /// Presumes the endpoint's process to have ended, so that the endpoint warms up from its next
    /// response on. Does nothing if that is already presumed.
    pub(crate) fn begin_warm_up(&mut self, id: EndpointId) {
        let endpoint = self.endpoints.get_mut(id).filter(|endpoint| !endpoint.process_lost);
        let Some(endpoint) = endpoint else { return };
        endpoint.process_lost = true;
        endpoint.reset_admission_slots();
        self.warming_up.insert(id);
    }

    /// Advances the admission slots of all endpoints that warm up, and removes those that are warm
    /// from the set. One random number is drawn for each endpoint that warms up.
    pub(crate) fn advance_admission_slots(&mut self, now: Timestamp) {
        let unit = self.max_mean_work();
        for id in self.warming_up.clone() {
            let Some(slots_per_second) = self.slot_rate(now, id, unit) else {
                self.warming_up.remove(&id);
                continue;
            };
            let random_position = self.rng.next_u64() as f64 / u64::MAX as f64;
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.advance_admission_slots(now, slots_per_second, random_position);
            }
        }
    }

    /// This router's demand for the warm-up budget of one endpoint. `None` if the endpoint is warm,
    /// is not ready, or its process is presumed lost: it has a budget again once it responds.
    fn warm_up_demand(&self, now: Timestamp, id: EndpointId) -> Option<WarmUpDemand> {
        let window = self.settings.overload_window;
        let endpoint = self.endpoints.get(id)?;
        if endpoint.entry.state != EndpointState::Ready || endpoint.process_lost {
            return None;
        }
        let warm_up = self.warm_up_capacity(now, endpoint)?;
        let budget = warm_up_budget(warm_up, self.overload_window_secs()).max(MIN_BUDGET);
        let started = endpoint.warm_up_started.unwrap_or(Timestamp::ZERO);
        let used = endpoint.work_since(now.saturating_sub(window).max(started));
        Some(WarmUpDemand {
            endpoint: id,
            sharers: self.budget_sharers(endpoint),
            used: used / budget,
            wanted: (used + endpoint.unmet_demand(now)) / budget,
            unit: self.max_mean_work() / budget,
        })
    }

    /// The overload window in seconds, at least [`MIN_WINDOW_SECS`], for use as a divisor.
    pub(crate) fn overload_window_secs(&self) -> f64 {
        secs(self.settings.overload_window).max(MIN_WINDOW_SECS)
    }

    /// The routers among which an endpoint's warm-up budget is divided.
    fn budget_sharers(&self, endpoint: &Endpoint) -> QuotaScope {
        match endpoint.role {
            EndpointRole::RemoteCache => QuotaScope::OtherZone,
            // If the settings do not give the numbers by zone, all routers share every endpoint.
            EndpointRole::LocalCache if !self.settings.router_count_by_zone.is_empty() => QuotaScope::Zone,
            _ => QuotaScope::All,
        }
    }

    /// The divisor by which an endpoint's warm-up budget gives this router's share. Infinite if
    /// this router has no share.
    pub(crate) fn budget_divisor(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        match &self.endpoints.leased_shares {
            Some(leased) => 1.0 / leased.share(now, endpoint.entry.id, self.budget_sharers(endpoint)),
            None => f64::from(self.routers_sharing(endpoint)),
        }
    }

    /// Number of routers that send to an endpoint, this one included: those of the zone for an edge
    /// cache of the own zone, otherwise all routers.
    pub(crate) fn routers_sharing(&self, endpoint: &Endpoint) -> u32 {
        let is_local = endpoint.role == EndpointRole::LocalCache;
        let routers = match self.endpoints.active_routers {
            Some(active) if is_local => active.in_zone,
            Some(active) => active.total,
            None => self.settings.sharing(is_local, endpoint.entry.zone),
        };
        routers.saturating_add(self.endpoints.additional_routers)
    }
}
