//! Confidence intervals by a block bootstrap over the seconds that an estimate was summed from.
//! Blocks keep together what depends on each other, such as a burst and the late responses behind
//! it.

use crate::replay::Totals;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Serialize, Serializer};

/// Seconds per block: longer than a burst and its late responses.
const BLOCK_SECONDS: usize = 5;
/// Bootstrap samples, enough for the 5% and 95% quantiles.
const BOOTSTRAP_SAMPLES: usize = 400;
/// With fewer blocks no interval is given.
const MIN_BLOCKS: usize = 4;
/// Quantiles of the bootstrap samples that bound a 90% interval.
const LOWER_QUANTILE: f64 = 0.05;
/// See [`LOWER_QUANTILE`].
const UPPER_QUANTILE: f64 = 0.95;

/// A 90% confidence interval, as far as the recording's own variation tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The lower bound.
    pub low: f64,
    /// The upper bound.
    pub high: f64,
}

impl Serialize for Interval {
    /// Plans in JSON have intervals as `[low, high]`.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        [self.low, self.high].serialize(serializer)
    }
}

/// An estimated figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// The point estimate.
    pub value: f64,
    /// Its confidence interval; none where the recording is too short for one.
    #[serde(rename = "between")]
    pub interval: Option<Interval>,
}

impl Estimate {
    /// An estimate without an interval, if the value is a finite number.
    pub fn without_interval(value: f64) -> Option<Estimate> {
        value.is_finite().then_some(Estimate { value, interval: None })
    }
}

/// One row of a ratio of sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RatioTerm {
    /// What is added to the sum above.
    pub numerator: f64,
    /// What is added to the sum below.
    pub denominator: f64,
}

/// A ratio of sums over rows with its interval; none if the denominators add up to nothing.
pub fn estimate_ratio(rows: &[RatioTerm], seed: u64) -> Option<Estimate> {
    let total = sum_terms(rows);
    let is_finite = total.numerator.is_finite() && total.denominator.is_finite();
    if total.denominator <= 0.0 || !is_finite {
        return None;
    }
    let blocks: Vec<RatioTerm> = rows.chunks(BLOCK_SECONDS).map(sum_terms).collect();
    let value = total.numerator / total.denominator;
    let interval = if blocks.len() < MIN_BLOCKS { None } else { bootstrap_interval(&blocks, seed) };
    Some(Estimate { value, interval })
}

/// The weight served within its latency objective, as a share of the weight requested.
pub fn estimate_served_in_time(seconds: &[Totals], seed: u64) -> Option<Estimate> {
    let term = |second: &Totals| RatioTerm {
        numerator: second.in_time_weight,
        denominator: second.requested_weight,
    };
    estimate_ratio(&seconds.iter().map(term).collect::<Vec<_>>(), seed)
}

/// The weight served, late responses at their late weight, as a share of the weight requested.
pub fn estimate_served(seconds: &[Totals], seed: u64) -> Option<Estimate> {
    let term = |second: &Totals| RatioTerm {
        numerator: second.earned_weight,
        denominator: second.requested_weight,
    };
    estimate_ratio(&seconds.iter().map(term).collect::<Vec<_>>(), seed)
}

/// The mean of a value by second.
pub fn estimate_mean(values: &[f64], seed: u64) -> Option<Estimate> {
    let term = |value: &f64| RatioTerm { numerator: *value, denominator: 1.0 };
    estimate_ratio(&values.iter().map(term).collect::<Vec<_>>(), seed)
}

fn sum_terms(rows: &[RatioTerm]) -> RatioTerm {
    rows.iter().fold(RatioTerm::default(), |sum, row| RatioTerm {
        numerator: sum.numerator + row.numerator,
        denominator: sum.denominator + row.denominator,
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
