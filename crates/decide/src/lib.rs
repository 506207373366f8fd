//! **hollymux** makes the decisions of a request router for edge caches: which cache serves an
//! object, where a miss is filled from, what is kept, and what is tried next when something fails.
//!
//! The library does no I/O and reads no clock. A dispatcher owns one [`Control`], hands it each
//! [`Event`] with the time it happened, and carries out the [`Action`]s that come back, in order.
//! The same events always give the same actions.
//!
//! ```
//! use hollymux_decide::*;
//! use std::time::Duration;
//!
//! let class = Class { aim: Duration::from_millis(400), deadline: Duration::from_millis(2_500), effect: Effect::Safe, ..Class::default() };
//! let settings = Settings {
//!     classes: vec![class],
//!     origin_kind: Some(1),
//!     max_attempts: 4,
//!     ..Settings::default()
//! };
//! let mut control = Control::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! let line = |id, kind| HostEntry {
//!     id: HostId(id), cell: 0, zone: 0, kind, weight: 4.0, state: HostState::Ready, started: Timestamp::ZERO, in_place_of: None,
//! };
//! let entries = vec![line(1, 0), line(2, 0), line(9, 1)];
//! let now = Timestamp::from_micros(1_000);
//! control.handle(now, Event::Hosts { kind: ListKind::Full, entries }, &mut actions);
//!
//! let request = Request {
//!     id: 1, class: 0, object: 42, part: 0, group: 3, size_kb: None,
//!     deadline: Timestamp::from_micros(2_501_000), repeat: false, write: false,
//! };
//! actions.clear();
//! control.handle(now, Event::Request(request), &mut actions);
//! // One of the two caches is asked, and fills from the origin if it lacks the object.
//! assert!(actions.iter().any(|a| matches!(a,
//!     Action::Attempt { host: HostId(1 | 2), fill, .. } if fill.source == Some(HostId(9)))));
//! # Ok::<(), SettingsError>(())
//! ```

mod control;
mod estimates;
mod events;
mod insight;
mod interface;
mod memory;
mod parts;
mod policy;
mod retune;
mod settings;
mod state;
pub mod time;

pub use control::Control;
pub use insight::Rotation;
pub use interface::*;
pub use memory::{ClassMemory, HostMemory, Memory};
pub use parts::{ColdDemand, Sharers};
pub use settings::{settings_from, Pairs, SettingError};
pub use state::{Part, Purges};
pub use time::Timestamp;
