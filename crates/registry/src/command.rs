//! Commands that an operator gives to the registry.

use crate::endpoint::EndpointSpec;
use crate::purge::PurgeTarget;

/// A command that an operator gives to
/// [`EndpointRegistry::execute`](crate::EndpointRegistry::execute).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Add an endpoint. An endpoint that is registered at the same address is removed, which counts
    /// as harmful.
    Add(EndpointSpec),
    /// Send no new requests to an endpoint, and let it finish the requests in flight.
    Drain {
        /// The id of the endpoint to drain.
        uid: String,
    },
    /// Send requests to a draining endpoint again. Its cache is treated as empty.
    Undrain {
        /// The id of the draining endpoint.
        uid: String,
    },
    /// Remove an endpoint. One that takes requests or has attempts in flight has to be drained
    /// first.
    Remove {
        /// The id of the endpoint to remove.
        uid: String,
    },
    /// Delete the cached copies of an object or an object group in all caches.
    Purge(PurgeTarget),
}

/// What the registry does with a command whose check returned a [`Harm`](crate::Harm).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HarmfulCommands {
    /// The command is rejected with an error that describes the harm.
    Reject,
    /// The command is executed. The operator has read the error and insists on the command.
    Execute,
}
