//! What can be asked of the module from outside: it decides nothing.

use crate::interface::EndpointState;
use crate::module::DecisionModule;

/// The endpoints of the list, and those that get no work now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rotation {
    /// In the list: ready or draining.
    pub listed: usize,
    /// Among them: draining, or held to be out until a trial succeeds.
    pub avoided: usize,
}

impl DecisionModule {
    /// How many endpoints are in the list, and how many of them are avoided.
    pub fn rotation(&self) -> Rotation {
        let listed = || self.fleet.endpoints.values().filter(|h| h.entry.state != EndpointState::Gone);
        let avoided = listed().filter(|h| h.entry.state == EndpointState::Draining || h.out.is_some());
        Rotation { listed: listed().count(), avoided: avoided.count() }
    }
}
