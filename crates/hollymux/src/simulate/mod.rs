//! `hollymux simulate`: runs scenarios of load and faults against real routers with simulated
//! endpoints, on sockets or in virtual time.

mod cluster_table;
mod recorders;
mod run;
mod sweep;

use crate::error::CommandError;
use crate::output;
use hollymux_simulation::scenario::Scenario;

/// The sub-commands of `simulate`. Their comments are the help texts.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Run a scenario and report its results
    Run(run::Options),
    /// Print the JSON Schema of scenarios
    Schema,
    /// Measure how fast routers learn of changes in their cluster, in virtual time
    #[command(alias = "fleet")]
    Cluster(cluster_table::Options),
    /// Run a matrix of outages in virtual time, in parallel on all cores
    Sweep(sweep::Options),
}

/// Runs one sub-command of `simulate`.
pub fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Run(options) => run::run(&options),
        Command::Schema => output::print(&(hollymux_config_file::schema::<Scenario>() + "\n")),
        Command::Cluster(options) => cluster_table::run(&options),
        Command::Sweep(options) => sweep::run(&options),
    }
}
