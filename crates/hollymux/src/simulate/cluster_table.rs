//! `hollymux simulate cluster`: measures how fast membership changes spread, by the number of
//! routers and by packet loss.

use crate::error::CommandError;
use crate::output;
use hollymux_simulation::cluster_benchmark;
use std::ops::{Range, RangeInclusive};

/// Valid numbers of routers. A single router has no membership to learn, and larger clusters take
/// too long to simulate.
const ROUTER_COUNTS: RangeInclusive<usize> = 2..=2_000;
/// Valid packet loss rates. At a rate of 1, no datagram arrives.
const LOSS_RATES: Range<f64> = 0.0..1.0;
/// Valid simulated time without faults, in minutes.
const QUIET_MINUTES: RangeInclusive<f64> = 0.0..=600.0;

/// Options of `simulate cluster`. Their comments are the help texts.
#[derive(clap::Args)]
pub struct Options {
    /// Numbers of routers to simulate, separated by commas
    #[arg(long, value_name = "N", value_delimiter = ',', default_values_t = [5, 30, 100])]
    routers: Vec<usize>,
    /// Packet loss rates of all links to simulate, as fractions, separated by commas
    #[arg(long, value_name = "P", value_delimiter = ',', default_values_t = [0.0, 0.01, 0.05, 0.2])]
    loss: Vec<f64>,
    /// Minutes without faults to simulate, in which no router may be declared failed
    #[arg(long, value_name = "M", default_value_t = 10.0)]
    minutes: f64,
    /// Seed of the random numbers
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Print the rows as JSON
    #[arg(long)]
    json: bool,
}

impl Options {
    fn are_in_range(&self) -> bool {
        self.routers.iter().all(|count| ROUTER_COUNTS.contains(count))
            && self.loss.iter().all(|loss| LOSS_RATES.contains(loss))
            && QUIET_MINUTES.contains(&self.minutes)
    }
}

/// Runs the measurement and prints a row for each number of routers and each loss rate.
pub fn run(options: &Options) -> Result<(), CommandError> {
    if !options.are_in_range() {
        return Err(CommandError::MeasurementOutOfRange);
    }
    let rows = cluster_benchmark::run(&options.routers, &options.loss, options.seed, options.minutes);
    if options.json {
        output::print_json(&rows)
    } else {
        output::print(&cluster_benchmark::table(&rows))
    }
}
