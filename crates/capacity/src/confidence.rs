//! Point estimates with confidence intervals, computed by a block bootstrap over the seconds that
//! an estimate is summed from. Blocks of consecutive seconds keep correlated values together, such
//! as a burst and the late responses that follow it.

use crate::replay::Totals;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Serialize, Serializer};

/// Length of a bootstrap block, in seconds: longer than a burst and the late responses after it.
const BLOCK_SECONDS: usize = 5;
/// Number of bootstrap samples: enough for the 5% and 95% quantiles.
const BOOTSTRAP_SAMPLES: usize = 400;
/// Number of blocks below which no interval is given.
const MIN_BLOCKS: usize = 4;
/// Quantile of the bootstrap samples that is the lower bound of the 90% interval.
const LOWER_QUANTILE: f64 = 0.05;
/// Quantile of the bootstrap samples that is the upper bound of the 90% interval.
const UPPER_QUANTILE: f64 = 0.95;

/// A 90% confidence interval. It reflects only the variation within the recording.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Lower bound, in the unit of the estimate.
    pub low: f64,
    /// Upper bound, in the unit of the estimate.
    pub high: f64,
}

impl Serialize for Interval {
    /// Writes the interval as `[low, high]`, the format of plans in JSON.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        [self.low, self.high].serialize(serializer)
    }
}

/// A point estimate with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Point estimate, a finite number.
    pub value: f64,
    /// Confidence interval. `None` if the recording is too short for one, or for estimates that are
    /// not computed from seconds.
    #[serde(rename = "between")]
    pub interval: Option<Interval>,
}

impl Estimate {
    /// Returns an estimate without an interval, or `None` if `value` is not a finite number.
    pub fn without_interval(value: f64) -> Option<Estimate> {
        value.is_finite().then_some(Estimate { value, interval: None })
    }
}

/// The contribution of one second, or of one block of seconds, to a ratio of sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RatioTerm {
    /// Amount that the period adds to the numerator, such as the weight served in time.
    pub numerator: f64,
    /// Amount that the period adds to the denominator, such as the weight requested.
    pub denominator: f64,
}

/// Estimates the ratio of summed numerators to summed denominators, with a bootstrap interval drawn
/// with `seed`. Returns `None` if the denominators do not add up to a positive number or a sum is
/// not finite.
pub fn estimate_ratio(terms: &[RatioTerm], seed: u64) -> Option<Estimate> {
    let total = sum_terms(terms);
    let is_finite = total.numerator.is_finite() && total.denominator.is_finite();
    if total.denominator <= 0.0 || !is_finite {
        return None;
    }
    let blocks: Vec<RatioTerm> = terms.chunks(BLOCK_SECONDS).map(sum_terms).collect();
    let value = total.numerator / total.denominator;
    let interval = if blocks.len() < MIN_BLOCKS { None } else { bootstrap_interval(&blocks, seed) };
    Some(Estimate { value, interval })
}

/// Estimates the priority weight served within its latency objective as a share of the requested
/// weight.
pub fn estimate_served_in_time(seconds: &[Totals], seed: u64) -> Option<Estimate> {
    let term = |second: &Totals| RatioTerm {
        numerator: second.in_time_weight,
        denominator: second.requested_weight,
    };
    estimate_ratio(&seconds.iter().map(term).collect::<Vec<_>>(), seed)
}

/// Estimates the earned priority weight as a share of the requested weight. A late response earns
/// its class's late weight.
pub fn estimate_served(seconds: &[Totals], seed: u64) -> Option<Estimate> {
    let term = |second: &Totals| RatioTerm {
        numerator: second.earned_weight,
        denominator: second.requested_weight,
    };
    estimate_ratio(&seconds.iter().map(term).collect::<Vec<_>>(), seed)
}

/// Estimates the mean of a value that is given per second; `None` without values.
pub fn estimate_mean(values: &[f64], seed: u64) -> Option<Estimate> {
    let term = |value: &f64| RatioTerm { numerator: *value, denominator: 1.0 };
    estimate_ratio(&values.iter().map(term).collect::<Vec<_>>(), seed)
}

fn sum_terms(terms: &[RatioTerm]) -> RatioTerm {
    terms.iter().fold(RatioTerm::default(), |sum, term| RatioTerm {
        numerator: sum.numerator + term.numerator,
        denominator: sum.denominator + term.denominator,
    })
}

fn bootstrap_interval(blocks: &[RatioTerm], seed: u64) -> Option<Interval> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut resample = || {
        let drawn: Vec<RatioTerm> =
            (0..blocks.len()).map(|_| blocks[rng.random_range(0..blocks.len())]).collect();
        let sum = sum_terms(&drawn);
        (sum.denominator > 0.0).then_some(sum.numerator / sum.denominator)
    };
    let mut ratios: Vec<f64> = (0..BOOTSTRAP_SAMPLES).filter_map(|_| resample()).collect();
    ratios.sort_by(f64::total_cmp);
    let last_index = (ratios.len().max(1) - 1) as f64;
    let quantile = |share: f64| ratios.get((share * last_index) as usize).copied();
    Some(Interval { low: quantile(LOWER_QUANTILE)?, high: quantile(UPPER_QUANTILE)? })
}
