//! The decisions of a request router for edge caches: which cache serves an object, where a miss is
//! filled from, what is kept, and what is tried next when something fails.
//!
//! The library does no I/O and reads no clock. A router owns one [`DecisionModule`], passes it each
//! [`Event`] with the time at which it happened, and executes the returned [`Action`]s in order.
//! The same settings, seed and events always result in the same actions.
//!
//! The rules are in `policy/`, and the state and estimates that they use in `state/`, with one file
//! for each concern.
//!
//! ```
//! use hollymux_decision::*;
//! use std::time::Duration;
//!
//! let class = RequestClass {
//!     latency_objective: Duration::from_millis(400),
//!     deadline: Duration::from_millis(2_500),
//!     idempotency: Idempotency::Idempotent,
//!     ..RequestClass::default()
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     origin_kind: Some(1),
//!     max_attempts: 4,
//!     ..Settings::default()
//! };
//! let mut module = DecisionModule::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! let entry = |id, kind| EndpointEntry {
//!     id: EndpointId(id),
//!     kind,
//!     weight: 4.0,
//!     ..EndpointEntry::default()
//! };
//! let entries = vec![entry(1, 0), entry(2, 0), entry(9, 1)];
//! let now = Timestamp::from_micros(1_000);
//! module.handle(now, Event::EndpointList { kind: ListKind::Full, entries }, &mut actions);
//!
//! let request = Request {
//!     id: 1, class: 0, object: 42, part: 0, group: 3, size_kb: None,
//!     deadline: Timestamp::from_micros(2_501_000), repeat: false, write: false,
//! };
//! actions.clear();
//! module.handle(now, Event::Request(request), &mut actions);
//! // The attempt goes to one of the two caches, which fills from the origin if it lacks the object.
//! assert!(actions.iter().any(|a| matches!(a,
//!     Action::Attempt { endpoint: EndpointId(1 | 2), fill, .. } if fill.source == Some(EndpointId(9)))));
//! # Ok::<(), SettingsError>(())
//! ```

mod events;
mod insight;
mod interface;
mod module;
mod policy;
mod reconfigure;
mod settings;
mod state;
pub mod time;

pub use insight::Rotation;
pub use interface::*;
pub use module::DecisionModule;
pub use settings::{parse_settings, SettingParseError, SettingsMap};
pub use state::{request_of_timer, ClassSnapshot, DecisionSnapshot, EndpointSnapshot};
pub use state::{PurgeHistory, QuotaScope, QuotaShare, WarmUpDemand};
pub use time::Timestamp;
