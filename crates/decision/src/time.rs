//! Timestamps and arithmetic with durations. All values are whole microseconds, because wire
//! formats, recordings and the handover carry whole microseconds, and two routers that round
//! differently would decide differently.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// The shortest duration that is not zero.
pub const MICROSECOND: Duration = Duration::from_micros(1);

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A point in time, in microseconds on a monotonic clock with any origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock. Some fields use it for "never" or "long ago"; their comments say
    /// so.
    pub const ZERO: Timestamp = Timestamp(0);
    /// The latest point in time that can be represented.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The time `micros` microseconds after the origin of the clock.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the origin of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// This time minus `span`, but not before the origin of the clock.
    pub fn saturating_sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(span)))
    }

    /// The duration since `earlier`, which must not be later than this time: the subtraction
    /// overflows then.
    pub fn duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0 - earlier.0)
    }

    /// The duration since `earlier`; zero if `earlier` is later than this time.
    pub fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0 + whole_micros(span))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0 - whole_micros(span))
    }
}

/// The duration in whole microseconds, without the fraction; `u64::MAX` if it does not fit.
pub fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// The quotient in whole microseconds, without the fraction. `span / divisor` would keep a fraction
/// of a microsecond.
pub fn divide_to_micros(span: Duration, divisor: u64) -> Duration {
    Duration::from_micros(whole_micros(span) / divisor)
}

/// A duration of `seconds` in whole microseconds, without the fraction. Negative values and NaN
/// give zero.
pub fn span_from_secs(seconds: f64) -> Duration {
    Duration::from_micros((seconds * MICROS_PER_SECOND) as u64)
}

/// Converts a duration to seconds, with its fraction.
pub fn secs(span: Duration) -> f64 {
    whole_micros(span) as f64 / MICROS_PER_SECOND
}

/// The duration in microseconds, for arithmetic with fractions.
pub(crate) fn micros_f64(span: Duration) -> f64 {
    whole_micros(span) as f64
}

/// The duration as a multiple of `unit`.
pub(crate) fn ratio(span: Duration, unit: Duration) -> f64 {
    micros_f64(span) / micros_f64(unit)
}

/// Serializes a duration as whole microseconds, for `#[serde(with = "...")]`.
pub(crate) mod serde_micros {
    use super::whole_micros;
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    pub(crate) fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(whole_micros(*span))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_micros)
    }
}
