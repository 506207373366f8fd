//! Changes of the settings while requests are open.

use super::{named_classes, Router};
use crate::classes::ClassTable;
use hollymux_decision::{Settings, SettingsError};
use std::collections::BTreeSet;

impl Router {
    /// Applies new settings; `names` holds the name of each of their classes, in the same order.
    /// Returns an error and changes nothing if the settings are invalid.
    pub fn reconfigure(&mut self, settings: &Settings, names: &[String]) -> Result<(), SettingsError> {
        settings.check()?;
        let named = named_classes(names, settings);
        let in_use = self.classes_in_use();
        let ClassTable { classes, from } = self.classes.replace(named, &self.settings.classes, &in_use);
        self.settings = Settings { classes, ..settings.clone() };
        self.metric_indexes = self.classes.names().map(|name| self.metrics.class_index(name)).collect();
        if let Some(follower) = &mut self.hint_follower {
            follower.reconfigure(self.settings.clone());
        }
        self.decision.reconfigure(self.settings.clone(), &from)
    }

    /// The class slots of open requests and of attempts in flight.
    fn classes_in_use(&self) -> BTreeSet<u16> {
        let of_requests = self.open_requests.values().map(|open| open.requested.class);
        let of_attempts = self.in_flight.values().map(|attempt| attempt.class);
        of_requests.chain(of_attempts).collect()
    }
}
