//! The interface of the decision module: settings, endpoint list, events, actions and outcomes as
//! plain types. The decisions are in `policy`.

mod actions;
mod classes;
mod endpoints;
mod events;
mod outcomes;
mod settings;

pub use actions::{Action, CacheFill};
pub use classes::{DeduplicationScope, Idempotency, RequestClass};
pub use endpoints::{EndpointEntry, EndpointId, EndpointState, ListKind};
pub use events::{Event, Purge, Request, RequestId};
pub use outcomes::{AttemptOutcome, AttemptStatus, CacheStatus};
pub use settings::{CacheStatusReporting, Discovery, ListedWeights, Settings, SettingsError, SiblingCaches};
