//! Other settings for a module in service.

use crate::control::{Control, COLD_PART, COLD_USE};
use crate::interface::{HostId, HostState, Settings, SettingsError, Time};
use crate::state::{secs, Host, Learnt, Role};
use std::collections::BTreeMap;

/// What may be used of a host's cold budget here, as a part of the whole: `now` until then, `after` from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Until `until`.
    pub now: f64,
    /// By the same clock as all times that the module is given.
    pub until: Time,
    /// From then on, whatever is heard.
    pub after: f64,
}

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

/// Parts of cold budgets: of all those that nothing else is said of, and of hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leased {
    /// Of a host that all share, and of one that the own zone shares.
    pub(crate) homes: (f64, f64),
    pub(crate) parts: BTreeMap<HostId, Part>,
}

/// What all dispatchers together may send to a cold host within a window of so many seconds, in seconds of sending, by
/// what it can do at the least and the multiple at which it falls over.
pub(crate) fn cold_budget(able: f64, multiple: f64, window: f64) -> f64 {
    COLD_USE.min(COLD_PART * multiple) * able * window
}

impl Control {
    /// Shares hosts with so many dispatchers more than the settings name, for as long as a process and the one that
    /// replaces it work side by side.
    pub fn share(&mut self, further: u32) {
        self.fleet.further = further;
    }

    /// So many dispatchers may be at work, in all and in the own zone; the settings' numbers count no longer.
    pub fn count_routers(&mut self, all: u32, here: u32) {
        // Where the zones' numbers are not told, all share every host.
        let here = if self.settings.dispatchers_by_zone.is_empty() { all } else { here };
        self.fleet.counted = Some((all.max(1), here.max(1)));
    }

    /// Parts of cold budgets are agreed with others from now on: of every host that all share, and that the own zone
    /// shares, so much unless `parts` says something else.
    pub fn lease(&mut self, homes: (f64, f64), parts: BTreeMap<HostId, Part>) {
        self.fleet.leased = Some(Leased { homes, parts });
    }

    /// What cold hosts are asked for here, to agree on their parts by; none where none is cold.
    pub fn cold_demands(&self, now: Time) -> Vec<ColdDemand> {
        let window = secs(self.settings.fall_after).max(0.001);
        let one = |id: &HostId| {
            // What is dead is asked for nothing; it counts from its return on.
            let takes = |h: &&Host| h.entry.state == HostState::Ready && !h.died;
            let h = self.fleet.hosts.get(id).filter(takes)?;
            let (able, multiple) = self.cold(now, h)?;
            let budget = cold_budget(able, multiple, window).max(1e-9);
            let since = now.saturating_sub(self.settings.fall_after).max(h.cold_since.unwrap_or(0));
            let used: f64 = h.ledger.iter().filter(|l| l.0 > since).map(|l| l.2).sum();
            let sharers = self.sharers(h);
            Some(ColdDemand {
                host: *id,
                sharers,
                used: used / budget,
                wanted: (used + h.unmet(now)) / budget,
                unit: self.unit() / budget,
            })
        };
        self.chilled.iter().filter_map(one).collect()
    }

    fn sharers(&self, h: &Host) -> Sharers {
        match h.role {
            Role::Elsewhere => Sharers::Elsewhere,
            // Where the zones' numbers are not told, all share every host.
            Role::Own if !self.settings.dispatchers_by_zone.is_empty() => Sharers::Zone,
            _ => Sharers::All,
        }
    }

    /// What a host's cold budget is divided by to give what this dispatcher may use; infinite: nothing.
    pub(crate) fn divisor(&self, now: Time, h: &Host) -> f64 {
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

    /// Goes on under other settings; what is impossible changes nothing. `from` tells for each class the one, by its
    /// number until now, of which it takes what was learnt. Requests under way keep their class's number, which must
    /// mean the same class as before, and get no more attempts than they were taken with, or than are allowed now.
    pub fn retune(&mut self, settings: Settings, from: &[Option<usize>]) -> Result<(), SettingsError> {
        settings.check()?;
        let learnt = settings.classes.iter().enumerate().map(|(i, class)| {
            let old = from.get(i).copied().flatten();
            match old.and_then(|o| Some((self.learnt.get(o)?, self.settings.classes.get(o)?))) {
                Some((learnt, old)) => learnt.under(old, class),
                None => Learnt::new(class),
            }
        });
        self.learnt = learnt.collect();
        for o in self.open.values_mut() {
            o.most = o.most.min(settings.max_attempts);
        }
        self.fleet.assign(&settings);
        self.settings = settings;
        Ok(())
    }
}
