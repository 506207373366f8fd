//! The decisions of a small-site appliance, free of I/O and clock. `docs/small-site.md` has the options weighed and
//! the state machine; store, admin channel and console come on top of this.

pub mod membership;

/// Microseconds: a point in time on the clock of whoever gives it, or a span of time.
pub type Time = u64;
/// A millisecond as a [`Time`].
pub const MS: Time = 1_000;
/// A second as a [`Time`].
pub const SEC: Time = 1_000_000;
