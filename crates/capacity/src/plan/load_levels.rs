//! Replays of the fleet at several loads. Scaling adds and leaves out requests at random, so a
//! short recording is scaled and replayed several times for each load, and the results are
//! combined.

use super::PlanInput;
use crate::replay::{replay, ReplayOptions, ReplayResult, Totals};
use crate::trace::Trace;
use rayon::prelude::*;

/// Loads at which the fleet is replayed, in multiples of the requested load.
const LOAD_MULTIPLES: [f64; 6] = [1.0, 1.25, 1.5, 2.0, 2.5, 3.0];
/// Target number of first attempts over all samples of one load, counted at the recorded load.
const TARGET_REQUESTS: usize = 100_000;
/// Maximum number of samples of one load.
const MAX_SAMPLES: usize = 6;
/// Maximum difference from the recorded load at which a single replay is enough: an unscaled load
/// is not random.
const UNSCALED_TOLERANCE: f64 = 1e-9;
/// Length of the window over which the usage of a resource at its busiest is averaged, in seconds.
const BUSIEST_WINDOW_S: usize = 20;

/// One random sample of a scaled load, with its replay.
struct LoadSample {
    trace: Trace,
    result: ReplayResult,
}

/// All samples of one load.
pub(super) struct LoadLevel {
    /// Load in multiples of the recorded load.
    pub(super) load: f64,
    samples: Vec<LoadSample>,
}

/// Replays all loads, the requested load first.
pub(super) fn replay_load_levels(input: &PlanInput) -> Vec<LoadLevel> {
    LOAD_MULTIPLES.par_iter().map(|multiple| LoadLevel::replay(input, *multiple)).collect()
}

impl LoadLevel {
    fn replay(input: &PlanInput, multiple: f64) -> LoadLevel {
        let load = multiple * input.options.scale;
        let sample = |number: u64| {
            let seed = input.options.seed + number;
            let trace = input.trace.scaled(load, seed);
            let options =
                ReplayOptions { seed, ..input.options.replay_options(input.counted_from_us) };
            let result = replay(&trace, &input.network, &options);
            LoadSample { trace, result }
        };
        let sample_count = sample_count(load, input.trace.requests.len());
        LoadLevel { load, samples: (0..sample_count).into_par_iter().map(sample).collect() }
    }

    /// Returns the load of the first sample.
    pub(super) fn first_trace(&self) -> &Trace {
        &self.samples[0].trace
    }

    /// Returns the replay of the first sample.
    pub(super) fn first_result(&self) -> &ReplayResult {
        &self.samples[0].result
    }

    /// Returns the totals of each counted second, one sample after the other.
    pub(super) fn totals_by_second(&self) -> Vec<Totals> {
        self.results()
            .flat_map(|r| r.totals_by_second(r.counted_from_second(), r.seconds.len()))
            .collect()
    }

    /// Returns the totals of a site in each counted second, one sample after the other.
    pub(super) fn site_totals(&self, site: usize) -> Vec<Totals> {
        self.results()
            .flat_map(|result| result.seconds.iter().skip(result.counted_from_second()))
            .map(|second| second[site])
            .collect()
    }

    /// Returns the totals of a class over all samples.
    pub(super) fn class_totals(&self, class: usize) -> Totals {
        let mut totals = Totals::default();
        self.results().for_each(|result| totals.add(&result.classes[class]));
        totals
    }

    /// Returns the usage of a resource in each counted second, one sample after the other.
    pub(super) fn resource_usage(&self, resource: usize) -> Vec<f64> {
        self.results().flat_map(|result| counted_usage(result, resource)).copied().collect()
    }

    /// Returns the usage of a resource in its busiest window, as the mean over all samples.
    pub(super) fn busiest_usage(&self, resource: usize) -> f64 {
        self.mean(|result| busiest_mean(counted_usage(result, resource)))
    }

    /// Returns the mean of a value over all samples.
    pub(super) fn mean(&self, value: impl Fn(&ReplayResult) -> f64) -> f64 {
        self.results().map(value).sum::<f64>() / self.samples.len() as f64
    }

    /// Returns whether the load runs away in most samples.
    pub(super) fn runs_away(&self) -> bool {
        2 * self.results().filter(|result| result.runs_away()).count() > self.samples.len()
    }

    fn results(&self) -> impl Iterator<Item = &ReplayResult> {
        self.samples.iter().map(|sample| &sample.result)
    }
}

/// Returns the mean usage in the busiest window of [`BUSIEST_WINDOW_S`] seconds, or over all
/// seconds if there are fewer.
pub(super) fn busiest_mean(used: &[f64]) -> f64 {
    let window = BUSIEST_WINDOW_S.min(used.len()).max(1);
    let mut sum: f64 = used.iter().take(window).sum();
    let mut busiest = sum;
    for second in window..used.len() {
        sum += used[second] - used[second - window];
        busiest = busiest.max(sum);
    }
    busiest / window as f64
}

fn sample_count(load: f64, request_count: usize) -> u64 {
    if (load - 1.0).abs() < UNSCALED_TOLERANCE {
        return 1;
    }
    (TARGET_REQUESTS / request_count.max(1)).clamp(1, MAX_SAMPLES) as u64
}

fn counted_usage(result: &ReplayResult, resource: usize) -> &[f64] {
    let by_second = &result.resources[resource].by_second;
    &by_second[result.counted_from_second().min(by_second.len())..]
}
