//! `hollymux simulate sweep`: a matrix of outages.

use crate::error::CommandError;
use crate::output;
use hollymux_simulation::sweep;
use std::path::PathBuf;

/// Options of the sub-command.
#[derive(clap::Args)]
pub struct Options {
    /// The combinations to run (JSON5)
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Print the row of each scenario as JSON
    #[arg(long)]
    json: bool,
}

/// Runs every combination and prints a row for each; fails if a rule was broken in any.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let combinations: sweep::Sweep =
        hollymux_config_file::load(&options.file).map_err(CommandError::InvalidFile)?;
    let rows = sweep::run(&combinations).map_err(|cause| CommandError::Simulation(cause.into()))?;
    if options.json {
        output::print_json(&rows)?;
    } else {
        output::print(&sweep::table(&rows))?;
    }
    if rows.iter().all(|row| row.violations.is_empty()) {
        Ok(())
    } else {
        Err(CommandError::RulesBroken)
    }
}
