//! Other settings for a module in service.

use crate::interface::{EndpointId, EndpointState, Settings, SettingsError, Timestamp};
use crate::module::DecisionModule;
use crate::quota::{cold_budget, WarmUpDemand};
use crate::state::{Endpoint, Learnt, Leased, QuotaShare};
use crate::time::secs;
use std::collections::BTreeMap;

impl DecisionModule {
    /// Shares endpoints with so many routers more than the settings name, for as long as a process and the one that
    /// replaces it work side by side.
    pub fn share(&mut self, further: u32) {
        self.fleet.further = further;
    }

    /// So many routers may be at work, in all and in the own zone; the settings' numbers count no longer.
    pub fn count_routers(&mut self, all: u32, here: u32) {
        // Where the zones' numbers are not told, all share every endpoint.
        let here = if self.settings.router_count_by_zone.is_empty() { all } else { here };
        self.fleet.counted = Some((all.max(1), here.max(1)));
    }

    /// Parts of cold budgets are agreed with others from now on: of every endpoint that all share, and that the own zone
    /// shares, so much unless `parts` says something else.
    pub fn lease(&mut self, homes: (f64, f64), parts: BTreeMap<EndpointId, QuotaShare>) {
        self.fleet.leased = Some(Leased { homes, parts });
    }

    /// What cold endpoints are asked for here, to agree on their parts by; none where none is cold.
    pub fn warm_up_demands(&self, now: Timestamp) -> Vec<WarmUpDemand> {
        let window = secs(self.settings.overload_window).max(0.001);
        let one = |id: &EndpointId| {
            // What is dead is asked for nothing; it counts from its return on.
            let takes = |h: &&Endpoint| h.entry.state == EndpointState::Ready && !h.died;
            let h = self.fleet.endpoints.get(id).filter(takes)?;
            let (able, multiple) = self.cold(now, h)?;
            let budget = cold_budget(able, multiple, window).max(1e-9);
            let since = now
                .saturating_sub(self.settings.overload_window)
                .max(h.cold_since.unwrap_or(Timestamp::ZERO));
            let used: f64 = h.ledger.iter().filter(|l| l.0 > since).map(|l| l.2).sum();
            let sharers = self.sharers(h);
            Some(WarmUpDemand {
                endpoint: *id,
                sharers,
                used: used / budget,
                wanted: (used + h.unmet(now)) / budget,
                unit: self.unit() / budget,
            })
        };
        self.chilled.iter().filter_map(one).collect()
    }

    /// Goes on under other settings; what is impossible changes nothing. `from` tells for each class the one, by its
    /// number until now, of which it takes what was learnt. Requests under way keep their class's number, which must
    /// mean the same class as before, and get no more attempts than they were taken with, or than are allowed now.
    pub fn reconfigure(&mut self, settings: Settings, from: &[Option<usize>]) -> Result<(), SettingsError> {
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
