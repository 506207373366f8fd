//! What the module reports of itself: it decides nothing.

use crate::interface::EndpointState;
use crate::module::DecisionModule;

/// The endpoints of the list, and those that get no work now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rotation {
    /// In the list: ready or draining.
    pub listed: usize,
    /// Among them: draining, or ejected until a recovery probe request succeeds.
    pub avoided: usize,
}

impl DecisionModule {
    /// How many endpoints are in the list, and how many of them are avoided.
    pub fn rotation(&self) -> Rotation {
        let mut rotation = Rotation::default();
        for endpoint in self.endpoints.listed() {
            let is_draining = endpoint.entry.state == EndpointState::Draining;
            rotation.listed += 1;
            rotation.avoided += usize::from(is_draining || !endpoint.is_available());
        }
        rotation
    }
}
