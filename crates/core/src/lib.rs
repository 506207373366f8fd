//! The core of a request router: it owns the decision module, the open requests and attempts, and the member list.
//! Timed events go in, commands come out; it knows no wire, no socket and no clock, and every front and every
//! source of members passes through it.

pub mod ask;
pub mod chain;
pub mod classes;
pub mod figures;
mod filings;
pub mod follow;
pub mod legacy;
pub mod lifecycle;
pub mod members;
pub mod orders;
pub mod router;

pub use ask::*;
pub use follow::Found;
pub use members::{host_id, Member, Told};
pub use orders::*;
pub use router::*;
