//! Assessment of the recording that a plan is based on, and caveats where it does not support a
//! result.

use super::load_levels::{busiest_mean, LoadLevel};
use super::losses::MIN_COUNTED_S;
use super::{PlanInput, MIN_CLASS_REQUESTS};
use crate::report::Quality;

/// Counted time below which intervals are wide, in seconds.
const MIN_RELIABLE_S: f64 = 120.0;
/// Usage of the most used resource below which the recording is far from any limit.
const LOW_USAGE: f64 = 0.3;
/// Share of bytes up to which unusually large objects are not mentioned.
const MIN_LARGE_OBJECT_SHARE: f64 = 0.02;

/// Assesses the recording that a plan is based on.
pub(super) fn assess(input: &PlanInput, requested: &LoadLevel) -> Quality {
    let counted_us = input.trace.duration_us - input.counted_from_us.min(input.trace.duration_us);
    let counted_s = counted_us as f64 / 1e6;
    let large_object_share = input.recorded.large_object_share();
    let mut caveats = length_caveats(input, counted_s);
    caveats.extend(class_caveats(input, requested));
    caveats.extend(low_usage_caveat(requested));
    if large_object_share > MIN_LARGE_OBJECT_SHARE && !input.options.without_large_objects {
        caveats.push(format!(
            "unusually large objects make up {:.0}% of bytes; --without-large leaves them out",
            large_object_share * 100.0
        ));
    }
    Quality {
        seconds: counted_s,
        requests: input.trace.requests.len(),
        retry_share: input.recorded.retry_share,
        large_object_share,
        caveats,
    }
}

fn length_caveats(input: &PlanInput, counted_s: f64) -> Vec<String> {
    let mut caveats = Vec::new();
    if counted_s < MIN_RELIABLE_S {
        caveats.push(format!(
            "only {counted_s:.0} s of load are counted: intervals are wide, bursts may be missing"
        ));
    }
    if counted_s < MIN_COUNTED_S {
        caveats.push(format!("losses are not judged on less than {MIN_COUNTED_S:.0} s"));
    }
    let is_excerpt = input.trace.requests.len() < input.recorded.requests.len();
    if is_excerpt && !input.options.without_large_objects {
        caveats.push(format!(
            "judged on the busiest {:.0} s of {:.0} s",
            input.trace.duration_s(),
            input.recorded.duration_s()
        ));
    }
    caveats
}

fn class_caveats(input: &PlanInput, requested: &LoadLevel) -> Vec<String> {
    let classes = input.trace.classes.iter().zip(&requested.first_result().classes);
    classes
        .filter(|(_, totals)| totals.first_attempts < MIN_CLASS_REQUESTS)
        .map(|(class, totals)| {
            let requests = totals.first_attempts;
            format!("{}: {requests:.0} requests are too few to say anything of it", class.name)
        })
        .collect()
}

fn low_usage_caveat(requested: &LoadLevel) -> Option<String> {
    let resources = requested.first_result().resources.iter();
    let highest = resources.map(|usage| busiest_mean(&usage.by_second)).fold(0.0, f64::max);
    (highest < LOW_USAGE).then(|| {
        format!(
            "a calm recording: nothing was used above {:.0}%, so what breaks is far from what was \
             seen",
            highest * 100.0
        )
    })
}
