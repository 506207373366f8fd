//! Who shares a host's capacity, and which part of a cold one's budget is this dispatcher's: plain arithmetic over
//! what is counted, set or agreed with others.

use crate::control::Control;
use crate::interface::{HostId, Timestamp};
use crate::state::{Host, Role};

/// Of what a cold host is known to bear, all dispatchers together use this part...
const COLD_PART: f64 = 0.6;
/// ...and at most this times its present capacity: beyond it answers are only late.
pub(crate) const COLD_USE: f64 = 1.2;

/// Who shares a host's cold budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sharers {
    /// All dispatchers.
    All,
    /// Those of the own zone.
    Zone,
    /// Those of another zone: this one has no part in it.
    Elsewhere,
}

impl Sharers {
    /// What operators call it.
    pub fn name(self) -> &'static str {
        match self {
            Sharers::All => "all",
            Sharers::Zone => "this office",
            Sharers::Elsewhere => "others",
        }
    }
}

/// What a cold host is asked for here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdDemand {
    /// The host.
    pub host: HostId,
    /// Who shares its budget.
    pub sharers: Sharers,
    /// Used within the last window, as a part of the whole budget.
    pub used: f64,
    /// The same with what was kept from it.
    pub wanted: f64,
    /// What one request takes of it at most.
    pub unit: f64,
}

/// What all dispatchers together may send to a cold host within a window of so many seconds, in seconds of sending, by
/// what it can do at the least and the multiple at which it falls over.
pub(crate) fn cold_budget(able: f64, multiple: f64, window: f64) -> f64 {
    COLD_USE.min(COLD_PART * multiple) * able * window
}

impl Control {
    pub(crate) fn sharers(&self, h: &Host) -> Sharers {
        match h.role {
            Role::Elsewhere => Sharers::Elsewhere,
            // Where the zones' numbers are not told, all share every host.
            Role::Own if !self.settings.dispatchers_by_zone.is_empty() => Sharers::Zone,
            _ => Sharers::All,
        }
    }

    /// What a host's cold budget is divided by to give what this dispatcher may use; infinite: nothing.
    pub(crate) fn divisor(&self, now: Timestamp, h: &Host) -> f64 {
        let Some(leased) = &self.fleet.leased else { return f64::from(self.sharing(h)) };
        let part = match (leased.parts.get(&h.entry.id), self.sharers(h)) {
            (Some(p), _) if now < p.until => p.now,
            (Some(p), _) => p.after,
            (None, Sharers::All) => leased.homes.0,
            (None, Sharers::Zone) => leased.homes.1,
            (None, Sharers::Elsewhere) => 0.0,
        };
        1.0 / part
    }

    /// How many dispatchers share a host.
    pub(crate) fn sharing(&self, h: &Host) -> u32 {
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
