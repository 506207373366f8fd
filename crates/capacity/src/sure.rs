//! How sure a figure is: a block bootstrap over the seconds that it was summed from. Blocks keep together what
//! belongs together, such as a burst and the late answers behind it.

use crate::replay::Sum;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Seconds of a block.
const BLOCK: usize = 5;
/// Draws.
const DRAWS: usize = 400;
/// Blocks below which nothing is said.
const LEAST: usize = 4;

/// A figure with the interval in which it lies nine times in ten, as far as the recording's own spread tells.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The figure.
    pub value: f64,
    /// The interval; none where the recording is too short for one.
    pub between: Option<(f64, f64)>,
}

impl Figure {
    /// A figure without an interval, if it is a number at all.
    pub fn bare(value: f64) -> Option<Figure> {
        value.is_finite().then_some(Figure { value, between: None })
    }
}

/// A ratio of sums over rows, each a numerator and a denominator, with its interval; none without a denominator.
pub fn ratio(rows: &[(f64, f64)], seed: u64) -> Option<Figure> {
    let sum =
        |rows: &mut dyn Iterator<Item = &(f64, f64)>| rows.fold((0.0, 0.0), |s, r| (s.0 + r.0, s.1 + r.1));
    let (above, below) = sum(&mut rows.iter());
    if below <= 0.0 || !above.is_finite() || !below.is_finite() {
        return None;
    }
    let blocks: Vec<(f64, f64)> = rows.chunks(BLOCK).map(|b| sum(&mut b.iter())).collect();
    let value = above / below;
    if blocks.len() < LEAST {
        return Some(Figure { value, between: None });
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut drawn: Vec<f64> = (0..DRAWS)
        .filter_map(|_| {
            let picks: Vec<(f64, f64)> =
                (0..blocks.len()).map(|_| blocks[rng.random_range(0..blocks.len())]).collect();
            let (a, b) = sum(&mut picks.iter());
            (b > 0.0).then_some(a / b)
        })
        .collect();
    drawn.sort_by(f64::total_cmp);
    let at = |q: f64| drawn.get((q * (drawn.len().max(1) - 1) as f64) as usize).copied();
    let between = at(0.05).zip(at(0.95));
    Some(Figure { value, between })
}

/// The worth in time of some seconds.
pub fn in_time(seconds: &[Sum], seed: u64) -> Option<Figure> {
    let rows: Vec<(f64, f64)> = seconds.iter().map(|s| (s.in_time, s.asked)).collect();
    ratio(&rows, seed)
}

/// The worth served of some seconds, late answers counted at what they earn.
pub fn served(seconds: &[Sum], seed: u64) -> Option<Figure> {
    let rows: Vec<(f64, f64)> = seconds.iter().map(|s| (s.earned, s.asked)).collect();
    ratio(&rows, seed)
}

/// The mean of something by second.
pub fn mean(values: &[f64], seed: u64) -> Option<Figure> {
    let rows: Vec<(f64, f64)> = values.iter().map(|v| (*v, 1.0)).collect();
    ratio(&rows, seed)
}
