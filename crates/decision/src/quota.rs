//! Who shares an endpoint's capacity, and which part of a cold one's budget is this router's: plain arithmetic over
//! what is counted, set or agreed with others.

use crate::interface::{EndpointId, Timestamp};
use crate::module::DecisionModule;
use crate::state::{Endpoint, Role};

/// Of what a cold endpoint is known to bear, all routers together use this part...
const COLD_PART: f64 = 0.6;
/// ...and at most this times its present capacity: beyond it answers are only late.
pub(crate) const COLD_USE: f64 = 1.2;

/// Who shares an endpoint's cold budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaScope {
    /// All routers.
    All,
    /// Those of the own zone.
    Zone,
    /// Those of another zone: this one has no part in it.
    Elsewhere,
}

impl QuotaScope {
    /// What operators call it.
    pub fn name(self) -> &'static str {
        match self {
            QuotaScope::All => "all",
            QuotaScope::Zone => "this office",
            QuotaScope::Elsewhere => "others",
        }
    }
}

/// What a cold endpoint is asked for here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpDemand {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Who shares its budget.
    pub sharers: QuotaScope,
    /// Used within the last window, as a part of the whole budget.
    pub used: f64,
    /// The same with what was kept from it.
    pub wanted: f64,
    /// What one request takes of it at most.
    pub unit: f64,
}

/// What all routers together may send to a cold endpoint within a window of so many seconds, in seconds of sending, by
/// what it can do at the least and the multiple at which it falls over.
pub(crate) fn cold_budget(able: f64, multiple: f64, window: f64) -> f64 {
    COLD_USE.min(COLD_PART * multiple) * able * window
}

impl DecisionModule {
    pub(crate) fn sharers(&self, h: &Endpoint) -> QuotaScope {
        match h.role {
            Role::Elsewhere => QuotaScope::Elsewhere,
            // Where the zones' numbers are not told, all share every endpoint.
            Role::Own if !self.settings.router_count_by_zone.is_empty() => QuotaScope::Zone,
            _ => QuotaScope::All,
        }
    }

    /// What an endpoint's cold budget is divided by to give what this router may use; infinite: nothing.
    pub(crate) fn divisor(&self, now: Timestamp, h: &Endpoint) -> f64 {
        let Some(leased) = &self.fleet.leased else { return f64::from(self.sharing(h)) };
        let part = match (leased.parts.get(&h.entry.id), self.sharers(h)) {
            (Some(p), _) if now < p.until => p.now,
            (Some(p), _) => p.after,
            (None, QuotaScope::All) => leased.homes.0,
            (None, QuotaScope::Zone) => leased.homes.1,
            (None, QuotaScope::Elsewhere) => 0.0,
        };
        1.0 / part
    }

    /// How many routers share an endpoint.
    pub(crate) fn sharing(&self, h: &Endpoint) -> u32 {
        let named = match self.fleet.counted {
            Some((all, here)) => {
                if h.role == Role::Own {
                    here
                } else {
                    all
                }
            }
            None => self.settings.sharing(h.role == Role::Own, h.entry.zone),
        };
        named.saturating_add(self.fleet.further)
    }
}
