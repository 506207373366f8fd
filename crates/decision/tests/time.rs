//! Timestamps and durations: truncation to whole microseconds, and saturation.

use hollymux_decision::time::{divide_to_micros, secs, span_from_secs, whole_micros};
use hollymux_decision::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn differences_and_sums_saturate_only_where_they_say_so() {
    let (early, late) = (Timestamp::from_micros(7), Timestamp::from_micros(10));
    assert_eq!(late.duration_since(early), Duration::from_micros(3));
    assert_eq!(early.saturating_duration_since(late), Duration::ZERO);
    assert_eq!(early.saturating_sub(Duration::from_micros(8)), Timestamp::ZERO);
    assert_eq!(late - Duration::from_micros(3), early);
    assert_eq!(early + Duration::from_micros(3), late);
    assert_eq!(whole_micros(Duration::MAX), u64::MAX);
}

/// Guards against half of an odd duration that keeps half a microsecond, so that comparisons differ
/// from those of integers.
#[test]
fn fractions_of_microseconds_are_dropped() {
    let odd = Duration::from_micros(5);
    assert_eq!(divide_to_micros(odd, 2), Duration::from_micros(2));
    assert_eq!(Timestamp::ZERO + odd / 2, Timestamp::from_micros(2));
    assert_eq!(whole_micros(Duration::from_nanos(2_999)), 2);
    assert_eq!(span_from_secs(0.000_002_9), Duration::from_micros(2));
    assert_eq!(span_from_secs(-1.0), Duration::ZERO);
    assert_eq!(span_from_secs(f64::NAN), Duration::ZERO);
    assert_eq!(span_from_secs(f64::INFINITY), Duration::from_micros(u64::MAX));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against arithmetic with durations that rounds differently from that with integers of
    /// microseconds.
    #[test]
    fn spans_count_as_integers_of_microseconds(span: u64, divisor in 1u64..1_000, seconds in 0.0..1e9f64) {
        let duration = Duration::from_micros(span);
        prop_assert_eq!(whole_micros(duration), span);
        prop_assert_eq!(whole_micros(divide_to_micros(duration, divisor)), span / divisor);
        prop_assert_eq!(secs(duration).to_bits(), (span as f64 / 1_000_000.0).to_bits());
        prop_assert_eq!(whole_micros(span_from_secs(seconds)), (seconds * 1_000_000.0) as u64);
    }
}
