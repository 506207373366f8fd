//! Time of simulations: whole microseconds.

/// Microseconds: a point in time on the clock of whoever gives it, or a span of time.
pub type Time = u64;
/// A millisecond as a [`Time`].
pub const MS: Time = 1_000;
/// A second as a [`Time`].
pub const SEC: Time = 1_000_000;

/// Seconds as a time; fractions of a microsecond are cut off.
pub fn from_seconds(seconds: f64) -> Time {
    (seconds * 1e6) as Time
}

/// A time in seconds.
pub fn as_seconds(time: Time) -> f64 {
    time as f64 / 1e6
}
