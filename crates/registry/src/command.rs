//! What an operator asks for.

use crate::endpoint::EndpointSpec;
use crate::purge::PurgeTarget;

/// A command to the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Add an endpoint. One at the same address is replaced.
    Add(EndpointSpec),
    /// Send no new requests to an endpoint; it finishes those it has.
    Drain {
        /// The endpoint.
        uid: String,
    },
    /// Send requests to a draining endpoint again.
    Undrain {
        /// The endpoint.
        uid: String,
    },
    /// Remove an endpoint.
    Remove {
        /// The endpoint.
        uid: String,
    },
    /// Purge cached copies everywhere.
    Purge(PurgeTarget),
}

/// What becomes of a command that would do harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HarmfulCommands {
    /// It is rejected, and the error names the harm.
    Reject,
    /// It is executed: the operator was told of the harm and insists.
    Execute,
}
