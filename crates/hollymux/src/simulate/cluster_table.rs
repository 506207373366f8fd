//! `hollymux simulate cluster`: how fast routers learn of changes in their cluster, by its size and
//! by packet loss.

use crate::error::CommandError;
use crate::output;
use hollymux_simulation::cluster_benchmark;
use std::ops::{Range, RangeInclusive};

/// One router has no others to learn of; more than this take too long to simulate.
const ROUTERS: RangeInclusive<usize> = 2..=2_000;
/// At a loss of 1 nothing arrives.
const LOSS: Range<f64> = 0.0..1.0;
const QUIET_MINUTES: RangeInclusive<f64> = 0.0..=600.0;

/// Options of the sub-command.
#[derive(clap::Args)]
pub struct Options {
    /// Numbers of routers
    #[arg(long, value_name = "N", value_delimiter = ',', default_values_t = [5, 30, 100])]
    routers: Vec<usize>,
    /// Packet loss on every link, as a fraction
    #[arg(long, value_name = "P", value_delimiter = ',', default_values_t = [0.0, 0.01, 0.05, 0.2])]
    loss: Vec<f64>,
    /// Time without faults in which no router may be declared lost, in minutes
    #[arg(long, value_name = "M", default_value_t = 10.0)]
    minutes: f64,
    /// Seed of random numbers
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Print the rows as JSON
    #[arg(long)]
    json: bool,
}

impl Options {
    fn are_in_range(&self) -> bool {
        self.routers.iter().all(|routers| ROUTERS.contains(routers))
            && self.loss.iter().all(|loss| LOSS.contains(loss))
            && QUIET_MINUTES.contains(&self.minutes)
    }
}

/// Measures and prints a row for each number of routers and each loss.
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
