//! What request routers know and decide together. It does no I/O, reads no clock and draws no random numbers but those
//! of the seed that it is given: datagrams, times and the local router's own events go in, datagrams, timers and
//! changes come out. The same inputs give the same outputs. `docs/cluster.md` has the design and what is promised.

mod envelope;
pub mod limits;
pub mod view;

pub use envelope::{Unread, DATAGRAM_MOST};

/// Microseconds: a point in time on the clock of whoever gives it, or a span of time.
pub type Time = u64;
/// A millisecond as a [`Time`].
pub const MS: Time = 1_000;
/// A second as a [`Time`].
pub const SEC: Time = 1_000_000;
