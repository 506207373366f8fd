//! Who shares an endpoint's capacity, and which share of a warm-up budget is this router's: plain
//! arithmetic over what is counted, set or agreed with other routers.

use crate::interface::{EndpointId, EndpointState};
use crate::module::DecisionModule;
use crate::state::capacity::WarmUpCapacity;
use crate::state::endpoint::{Endpoint, EndpointRole};
use crate::state::endpoint_set::ActiveRouters;
use crate::time::{secs, Timestamp};
use rand_core::RngCore;
use std::collections::BTreeMap;

/// All routers together use this part of the load at which an endpoint that warms up falls over...
const OVERLOAD_SAFETY: f64 = 0.6;
/// ...and at most this multiple of its present capacity: beyond it responses are only late.
pub(crate) const MAX_WARM_UP_USE: f64 = 1.2;
/// The least budget and window that are divided by.
const MIN_BUDGET: f64 = 1e-9;
const MIN_WINDOW_SECS: f64 = 0.001;

/// Who shares an endpoint's warm-up budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaScope {
    /// All routers.
    All,
    /// Those of the own zone.
    Zone,
    /// Those of another zone: this one has no share in it.
    Elsewhere,
}

impl QuotaScope {
    /// The name that operators are shown.
    pub fn name(self) -> &'static str {
        match self {
            QuotaScope::All => "all",
            QuotaScope::Zone => "this office",
            QuotaScope::Elsewhere => "others",
        }
    }
}

/// This router's demand for the budget of an endpoint that warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpDemand {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Who shares its budget.
    pub sharers: QuotaScope,
    /// Used within the last window, as a part of the whole budget.
    pub used: f64,
    /// The same with what was not admitted.
    pub wanted: f64,
    /// What one request uses of it at most.
    pub unit: f64,
}

/// This router's share of an endpoint's warm-up budget, as a part of the whole: `now` until
/// `until`, `after` from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaShare {
    /// Until `until`.
    pub now: f64,
    /// By the same clock as all times that the module is given.
    pub until: Timestamp,
    /// From then on, unless a new share is set.
    pub after: f64,
}

/// Shares of warm-up budgets that are agreed with other routers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeasedShares {
    /// Of an endpoint without a share of its own that all routers share.
    default_all: f64,
    /// The same where the own zone's routers share it.
    default_zone: f64,
    by_endpoint: BTreeMap<EndpointId, QuotaShare>,
}

impl LeasedShares {
    fn share(&self, now: Timestamp, endpoint: EndpointId, sharers: QuotaScope) -> f64 {
        match (self.by_endpoint.get(&endpoint), sharers) {
            (Some(share), _) if now < share.until => share.now,
            (Some(share), _) => share.after,
            (None, QuotaScope::All) => self.default_all,
            (None, QuotaScope::Zone) => self.default_zone,
            (None, QuotaScope::Elsewhere) => 0.0,
        }
    }
}

/// What all routers together may send to an endpoint that warms up within a window of so many
/// seconds, in seconds of sending.
pub(crate) fn warm_up_budget(warm_up: WarmUpCapacity, window_secs: f64) -> f64 {
    MAX_WARM_UP_USE.min(OVERLOAD_SAFETY * warm_up.overload_multiple) * warm_up.capacity * window_secs
}

impl DecisionModule {
    /// Sets the routers that share the endpoints beyond those that the settings name, for as long
    /// as a process and the one that replaces it work side by side.
    pub fn share(&mut self, further: u32) {
        self.endpoints.additional_routers = further;
    }

    /// Sets the routers that may be active, in all and in the own zone; the settings' numbers no
    /// longer count.
    pub fn count_routers(&mut self, all: u32, here: u32) {
        // Where the zones' numbers are not known, all share every endpoint.
        let here = if self.settings.router_count_by_zone.is_empty() { all } else { here };
        let active = ActiveRouters { total: all.max(1), in_zone: here.max(1) };
        self.endpoints.active_routers = Some(active);
    }

    /// From now on shares of warm-up budgets are agreed with other routers: `homes` holds the share
    /// of every endpoint that all routers share, and that the own zone shares, unless `parts` holds
    /// another one.
    pub fn lease(&mut self, homes: (f64, f64), parts: BTreeMap<EndpointId, QuotaShare>) {
        let (default_all, default_zone) = homes;
        self.endpoints.leased_shares = Some(LeasedShares { default_all, default_zone, by_endpoint: parts });
    }

    /// This router's demand for the budgets of endpoints that warm up, to agree on shares by; empty
    /// where none does.
    pub fn warm_up_demands(&self, now: Timestamp) -> Vec<WarmUpDemand> {
        self.warming_up.iter().filter_map(|id| self.warm_up_demand(now, *id)).collect()
    }

    /// The endpoint's process is presumed lost: it warms up from its next response on.
    pub(crate) fn begin_warm_up(&mut self, id: EndpointId) {
        let endpoint = self.endpoints.get_mut(id).filter(|endpoint| !endpoint.process_lost);
        let Some(endpoint) = endpoint else { return };
        endpoint.process_lost = true;
        endpoint.reset_admission_slots();
        self.warming_up.insert(id);
    }

    /// Moves the admission slots of all endpoints that warm up to the present, and forgets those
    /// that are warm.
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

    /// None if the endpoint is warm or takes no work; one whose process is lost counts from its
    /// return on.
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

    /// The overload window in seconds, for division.
    pub(crate) fn overload_window_secs(&self) -> f64 {
        secs(self.settings.overload_window).max(MIN_WINDOW_SECS)
    }

    fn budget_sharers(&self, endpoint: &Endpoint) -> QuotaScope {
        match endpoint.role {
            EndpointRole::RemoteCache => QuotaScope::Elsewhere,
            // Where the zones' numbers are not known, all share every endpoint.
            EndpointRole::LocalCache if !self.settings.router_count_by_zone.is_empty() => QuotaScope::Zone,
            _ => QuotaScope::All,
        }
    }

    /// What an endpoint's warm-up budget is divided by to give this router's share; infinite: it
    /// has none.
    pub(crate) fn budget_divisor(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        match &self.endpoints.leased_shares {
            Some(leased) => 1.0 / leased.share(now, endpoint.entry.id, self.budget_sharers(endpoint)),
            None => f64::from(self.routers_sharing(endpoint)),
        }
    }

    /// How many routers share an endpoint, this one included.
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
