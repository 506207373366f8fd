//! The time type of simulations, in whole microseconds.

/// A point in time or a duration, in microseconds. The epoch depends on the clock that a value
/// comes from.
pub type Time = u64;
/// One millisecond, in the unit of [`Time`].
pub const MS: Time = 1_000;
/// One second, in the unit of [`Time`].
pub const SEC: Time = 1_000_000;

/// Converts seconds to a [`Time`], truncating fractions of a microsecond.
pub fn from_seconds(seconds: f64) -> Time {
    (seconds * 1e6) as Time
}

/// Converts a [`Time`] to seconds.
pub fn as_seconds(time: Time) -> f64 {
    time as f64 / 1e6
}
