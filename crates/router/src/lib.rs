//! The core of a request router. It owns the decision module, the open requests and attempts, and
//! the endpoint list. The caller passes timed inputs and executes the returned commands; the core
//! knows no wire format, socket or clock. All client protocols and all sources of endpoints share
//! it.

pub mod buffers;
pub mod classes;
mod counters;
pub mod endpoint_list;
mod endpoint_table;
pub mod handover_state;
pub mod hint_follower;
pub mod lifecycle;
pub mod messages;
pub mod metrics;
mod pending_writes;
pub mod request;
pub mod router;

pub use counters::Counters;
pub use endpoint_list::{endpoint_id, FeedEvent, ListedEndpoint};
pub use hint_follower::LookupResult;
pub use messages::*;
pub use request::*;
pub use router::{Router, RouterOptions};
