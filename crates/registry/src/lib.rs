//! The endpoint registry of a small site, which has no platform that lists its endpoints. It is not
//! in use yet: persistence, admin endpoint and console are to come on top of it.
//!
//! It decides two things. *Transitions*: what health signals, attempts and time make of an
//! endpoint. *Preconditions*: whether an operator's command may be executed, and if not, why. A
//! harmful command is executed if the operator insists; a forbidden one never is. It has no I/O and
//! no clock, and does not decide where requests go: that is the decision module's part, which is
//! given the endpoint list. `docs/small-site.md` has the options weighed and the state machine.

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
