//! Change of the settings of a module in service.

use crate::interface::{RequestClass, Settings, SettingsError};
use crate::module::DecisionModule;
use crate::state::ServiceTimeEstimate;

impl DecisionModule {
    /// Replaces the settings. Returns an error and changes nothing if a setting is invalid.
    ///
    /// `previous_classes` holds for each new class the number of the old class whose estimates it
    /// takes over, or `None` for a class without a predecessor. Open requests keep their class
    /// number, which must stand for the same class as before. They get at most the lower of the
    /// number of attempts at their acceptance and the new limit.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        previous_classes: &[Option<usize>],
    ) -> Result<(), SettingsError> {
        settings.check()?;
        let previous_class = |index: usize| previous_classes.get(index).copied().flatten();
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

    /// Initial estimate of a new class: that of the old class with the number `previous`, or a
    /// default.
    fn estimate_for(&self, class: &RequestClass, previous: Option<usize>) -> ServiceTimeEstimate {
        let estimate = previous.and_then(|index| self.service_times.get(index));
        let old_class = previous.and_then(|index| self.settings.classes.get(index));
        match (estimate, old_class) {
            (Some(estimate), Some(old_class)) => estimate.rescaled(old_class, class),
            _ => ServiceTimeEstimate::new(class),
        }
    }
}
