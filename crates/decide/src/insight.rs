//! What can be asked of the module from outside: it decides nothing.

use crate::control::Control;
use crate::interface::HostState;

/// The hosts of the list, and those that get no work now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rotation {
    /// In the list: ready or draining.
    pub listed: usize,
    /// Among them: draining, or held to be out until a trial succeeds.
    pub avoided: usize,
}

impl Control {
    /// How many hosts are in the list, and how many of them are avoided.
    pub fn rotation(&self) -> Rotation {
        let listed = || self.fleet.hosts.values().filter(|h| h.entry.state != HostState::Gone);
        let avoided = listed().filter(|h| h.entry.state == HostState::Draining || h.out.is_some());
        Rotation { listed: listed().count(), avoided: avoided.count() }
    }
}
