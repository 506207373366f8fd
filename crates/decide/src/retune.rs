//! Other settings for a module in service.

use crate::control::Control;
use crate::interface::{Settings, SettingsError};
use crate::state::{Host, Learnt, Role};

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
