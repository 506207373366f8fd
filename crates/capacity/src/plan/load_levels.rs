//! The fleet at several loads. A short recording is scaled and replayed several times for each,
//! since what scaling adds to it is chance.

use super::PlanInput;
use crate::replay::{replay, ReplayOptions, ReplayResult, Totals};
use crate::trace::Trace;
use rayon::prelude::*;

/// Loads that the fleet is replayed at, in multiples of the requested load.
const LOAD_MULTIPLES: [f64; 6] = [1.0, 1.25, 1.5, 2.0, 2.5, 3.0];
/// First attempts over all draws of one load that are enough.
const ENOUGH_REQUESTS: usize = 100_000;
/// The most draws of one load.
const MAX_DRAWS: usize = 6;
/// A load this close to the recorded one is replayed as it is: there is nothing to draw.
const UNSCALED_TOLERANCE: f64 = 1e-9;
/// The seconds over which the use of a resource at its busiest is averaged.
const BUSIEST_WINDOW_S: usize = 20;

/// One draw of a load with its replay.
struct LoadDraw {
    trace: Trace,
    result: ReplayResult,
}

/// One load.
pub(super) struct LoadLevel {
    /// In multiples of the recorded load.
    pub(super) load: f64,
    draws: Vec<LoadDraw>,
}

/// Replays all loads, the requested one first.
pub(super) fn replay_load_levels(input: &PlanInput) -> Vec<LoadLevel> {
    LOAD_MULTIPLES.par_iter().map(|multiple| LoadLevel::replay(input, *multiple)).collect()
}

impl LoadLevel {
    fn replay(input: &PlanInput, multiple: f64) -> LoadLevel {
        let load = multiple * input.options.scale;
        let draw = |number: u64| {
            let seed = input.options.seed + number;
            let trace = input.trace.scaled(load, seed);
            let options =
                ReplayOptions { seed, ..input.options.replay_options(input.counted_from_us) };
            let result = replay(&trace, &input.network, &options);
            LoadDraw { trace, result }
        };
        let draw_count = draw_count(load, input.trace.requests.len());
        LoadLevel { load, draws: (0..draw_count).into_par_iter().map(draw).collect() }
    }

    /// The load of the first draw.
    pub(super) fn first_trace(&self) -> &Trace {
        &self.draws[0].trace
    }

    /// The replay of the first draw.
    pub(super) fn first_result(&self) -> &ReplayResult {
        &self.draws[0].result
    }

    /// Totals of the counted seconds, one draw after the other.
    pub(super) fn totals_by_second(&self) -> Vec<Totals> {
        self.results()
            .flat_map(|r| r.totals_by_second(r.counted_from_second(), r.seconds.len()))
            .collect()
    }

    /// Totals of a site's counted seconds, one draw after the other.
    pub(super) fn site_totals(&self, site: usize) -> Vec<Totals> {
        self.results()
            .flat_map(|result| result.seconds.iter().skip(result.counted_from_second()))
            .map(|second| second[site])
            .collect()
    }

    /// Totals of a class.
    pub(super) fn class_totals(&self, class: usize) -> Totals {
        let mut totals = Totals::default();
        self.results().for_each(|result| totals.add(&result.classes[class]));
        totals
    }

    /// Use of a resource by counted second, one draw after the other.
    pub(super) fn resource_usage(&self, resource: usize) -> Vec<f64> {
        self.results().flat_map(|result| counted_usage(result, resource)).copied().collect()
    }

    /// Use of a resource at its busiest, as the mean over all draws.
    pub(super) fn busiest_usage(&self, resource: usize) -> f64 {
        self.mean(|result| busiest_mean(counted_usage(result, resource)))
    }

    /// The mean of a value over all draws.
    pub(super) fn mean(&self, value: impl Fn(&ReplayResult) -> f64) -> f64 {
        self.results().map(value).sum::<f64>() / self.draws.len() as f64
    }

    /// Whether most draws run away.
    pub(super) fn runs_away(&self) -> bool {
        2 * self.results().filter(|result| result.runs_away()).count() > self.draws.len()
    }

    fn results(&self) -> impl Iterator<Item = &ReplayResult> {
        self.draws.iter().map(|draw| &draw.result)
    }
}

/// The mean of the busiest window of some seconds; of all of them if there are fewer.
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

fn draw_count(load: f64, request_count: usize) -> u64 {
    if (load - 1.0).abs() < UNSCALED_TOLERANCE {
        return 1;
    }
    (ENOUGH_REQUESTS / request_count.max(1)).clamp(1, MAX_DRAWS) as u64
}

fn counted_usage(result: &ReplayResult, resource: usize) -> &[f64] {
    let by_second = &result.resources[resource].by_second;
    &by_second[result.counted_from_second().min(by_second.len())..]
}
