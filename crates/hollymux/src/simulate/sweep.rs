//! `hollymux simulate sweep`: runs one scenario with every combination of outage, load and number
//! of routers.

use crate::error::CommandError;
use crate::output;
use hollymux_simulation::sweep;
use std::path::PathBuf;

/// Options of `simulate sweep`. Their comments are the help texts.
#[derive(clap::Args)]
pub struct Options {
    /// Scenario and the combinations to run (JSON5)
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Print a row for each combination as JSON
    #[arg(long)]
    json: bool,
}

/// Runs every combination and prints a row for each. Fails if any of them violated an invariant.
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
