//! What routers of one cluster know of each other and share: SWIM membership and leased quotas.
//!
//! The package does no I/O, reads no clock and draws random numbers only from the seed that it is
//! given. Datagrams, points in time and events of the local router go in; datagrams, timeouts and
//! changes come out. Equal inputs give equal outputs, so that the same code runs in the event loop,
//! in virtual time and under a model checker. `docs/cluster.md` and `docs/quota-leases.md` have the
//! design and its guarantees.

mod counters;
#[doc(hidden)]
pub mod envelope;
pub mod membership;
pub mod quota;
mod transmit;

pub use counters::{DatagramCount, RejectedDatagrams, RouterCounts};
pub use envelope::{DatagramError, MAX_DATAGRAM_LEN};
pub use transmit::Transmit;

/// Microseconds: a point in time on the monotonic clock of the caller, or a span of time.
pub type Time = u64;
/// A millisecond as a [`Time`].
pub const MS: Time = 1_000;
/// A second as a [`Time`].
pub const SEC: Time = 1_000_000;
