//! Points in time and the arithmetic of spans. Everything is kept in whole microseconds: that is
//! what the wire formats, the recordings and the handover carry, and two routers that round
//! differently decide differently.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// The shortest span that differs from none.
pub const MICROSECOND: Duration = Duration::from_micros(1);

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A point in time: microseconds on a monotonic clock of any origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The clock's origin. In several fields it stands for "never" or "long past"; they say so.
    pub const ZERO: Timestamp = Timestamp(0);
    /// The last point in time that can be expressed.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// So many microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Earlier by a span, but not before the clock's origin.
    pub fn saturating_sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(span)))
    }

    /// The time since an earlier point; that point must not be later.
    pub fn duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0 - earlier.0)
    }

    /// The time since an earlier point; zero if that point is later.
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

/// The whole microseconds of a span; a fraction is dropped.
pub fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// A part of a span in whole microseconds; a fraction is dropped, which `span / divisor` would
/// keep.
pub fn divide_to_micros(span: Duration, divisor: u64) -> Duration {
    Duration::from_micros(whole_micros(span) / divisor)
}

/// A span of so many seconds in whole microseconds; a fraction is dropped, and what is below zero
/// is zero.
pub fn span_from_secs(seconds: f64) -> Duration {
    Duration::from_micros((seconds * MICROS_PER_SECOND) as u64)
}

/// A span in seconds.
pub fn secs(span: Duration) -> f64 {
    whole_micros(span) as f64 / MICROS_PER_SECOND
}

/// A span in microseconds, for arithmetic with fractions.
pub(crate) fn micros_f64(span: Duration) -> f64 {
    whole_micros(span) as f64
}

/// A span as a multiple of another one.
pub(crate) fn ratio(span: Duration, unit: Duration) -> f64 {
    micros_f64(span) / micros_f64(unit)
}

/// Writes a span as its whole microseconds, for `#[serde(with = "...")]`.
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
