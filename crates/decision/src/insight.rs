//! Counts about the module's state for metrics.

use crate::interface::EndpointState;
use crate::module::DecisionModule;

/// Number of listed endpoints, and of those among them that get no new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rotation {
    /// Endpoints in the list that are ready or draining.
    pub listed: usize,
    /// Endpoints among them that are draining, or that are ejected until a recovery probe succeeds.
    pub avoided: usize,
}

impl DecisionModule {
    /// Counts the endpoints of the list, and those that get no new requests.
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
