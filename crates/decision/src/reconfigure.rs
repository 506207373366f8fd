//! New settings for a module in service.

use crate::interface::{RequestClass, Settings, SettingsError};
use crate::module::DecisionModule;
use crate::state::ServiceTimeEstimate;

impl DecisionModule {
    /// Goes on under other settings; what is impossible changes nothing. `from` holds for each
    /// class the one, by its number until now, whose estimates it takes. Requests under way keep
    /// their class's number, which must mean the same class as before, and get no more attempts
    /// than they were accepted with, or than are allowed now.
    pub fn reconfigure(&mut self, settings: Settings, from: &[Option<usize>]) -> Result<(), SettingsError> {
        settings.check()?;
        let previous_class = |index: usize| from.get(index).copied().flatten();
        let estimates = settings
            .classes
            .iter()
            .enumerate()
            .map(|(index, class)| self.estimate_for(class, previous_class(index)))
            .collect();
        self.service_times = estimates;
        for open in self.requests.values_mut() {
            open.max_attempts = open.max_attempts.min(settings.max_attempts);
        }
        self.endpoints.reassign_roles(&settings);
        self.settings = settings;
        Ok(())
    }

    /// The estimate that a class starts with: that of its previous number, if there was one.
    fn estimate_for(&self, class: &RequestClass, previous: Option<usize>) -> ServiceTimeEstimate {
        let estimate = previous.and_then(|index| self.service_times.get(index));
        let old_class = previous.and_then(|index| self.settings.classes.get(index));
        match (estimate, old_class) {
            (Some(estimate), Some(old_class)) => estimate.rescaled(old_class, class),
            _ => ServiceTimeEstimate::new(class),
        }
    }
}
