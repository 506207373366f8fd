//! The endpoint registry of a small site that has no platform to list its endpoints. No program
//! uses it yet: persistence, an admin endpoint and a console are to be built on it.
//!
//! The registry decides two things. *Transitions*: how health signals, attempts and time change the
//! status of an endpoint. *Preconditions*: whether an operator's command may be executed, and the
//! reason if it may not. A harmful command is executed if the operator insists; a forbidden one
//! never is. The registry has no I/O and no clock. It does not route requests: the decision module
//! does that, with the endpoint list as an input. `docs/small-site.md` compares the design options
//! and describes the state machine.

mod command;
mod endpoint;
mod error;
mod purge;
mod registry;

pub use command::{Command, HarmfulCommands};
pub use endpoint::{
    AttemptKind, EndpointRole, EndpointSpec, EndpointStatus, HealthSignal, RegisteredEndpoint,
};
pub use error::{CommandError, Harm, NoEffect, Prohibition};
pub use purge::{Purge, PurgeTarget};
pub use registry::{EndpointRegistry, DRAIN_DURATION, MAX_ENDPOINTS, MAX_OPEN_PURGES, REMOVED_RETENTION};
