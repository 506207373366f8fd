//! The core of a request router: it owns the decision module, the open requests and attempts, and the member list.
//! Timed events go in, commands come out; it knows no wire, no socket and no clock, and every front and every
//! source of members passes through it.

pub mod buffers;
pub mod classes;
pub mod endpoint_list;
pub mod handover_state;
pub mod hint_follower;
pub mod lifecycle;
pub mod messages;
pub mod metrics;
mod pending_writes;
pub mod request;
pub mod router;

pub use endpoint_list::{endpoint_id, FeedEvent, ListedEndpoint};
pub use hint_follower::LookupResult;
pub use messages::*;
pub use request::*;
pub use router::*;
