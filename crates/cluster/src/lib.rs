//! Cluster state machines of a router: SWIM membership ([`membership`]) and quotas that routers
//! lease to each other ([`quota`]).
//!
//! The package performs no I/O, reads no clock and draws random numbers only from a seed passed by
//! the caller. The caller passes in received datagrams, the current time and events of the local
//! router, and polls for datagrams to send, the next timeout and reported changes. Equal inputs
//! give equal outputs, so the same code runs in the event loop, in virtual time and under a model
//! checker. `docs/cluster.md` and `docs/quota-leases.md` describe the design and its guarantees.

mod counters;
#[doc(hidden)]
pub mod envelope;
pub mod membership;
pub mod quota;
mod transmit;

pub use counters::{DatagramCount, RejectedDatagrams, RouterCounts};
pub use envelope::{DatagramError, MAX_DATAGRAM_LEN};
pub use transmit::Transmit;

/// Either an instant, in microseconds on the caller's monotonic clock, or a duration in
/// microseconds. Each value of this type is documented as one or the other.
pub type Time = u64;
/// The duration of one millisecond as a [`Time`].
pub const MS: Time = 1_000;
/// The duration of one second as a [`Time`].
pub const SEC: Time = 1_000_000;
