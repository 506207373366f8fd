//! `hollymux simulate run`: runs one scenario, either on sockets with a process for each router, or
//! in virtual time.

use super::recorders::{UnservedRequests, VirtualRecorders};
use crate::error::CommandError;
use crate::output;
use hollymux_simulation::report::Report;
use hollymux_simulation::run_result::RunResult;
use hollymux_simulation::scenario::Scenario;
use hollymux_simulation::{multi_process, virtual_time};
use std::path::{Path, PathBuf};

/// Options of `simulate run`. Their comments are the help texts.
#[derive(clap::Args)]
pub struct Options {
    /// Scenario to run (JSON5)
    #[arg(value_name = "SCENARIO")]
    scenario: PathBuf,
    /// Seed of the random numbers; the same seed gives the same load
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Run in virtual time, in one process and without sockets
    #[arg(long = "virtual")]
    virtual_time: bool,
    /// Write report.html, report.json and the routers' logs to this directory
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Record the routers' traffic to this directory, as input for a plan
    #[arg(long, value_name = "DIR")]
    record: Option<PathBuf>,
    /// Print the results as JSON
    #[arg(long)]
    json: bool,
}

/// Runs a scenario and prints its report. Fails if the run violated an invariant.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let scenario: Scenario =
        hollymux_config_file::load(&options.scenario).map_err(CommandError::InvalidFile)?;
    if let Some(dir) = &options.report {
        std::fs::create_dir_all(dir)?;
    }
    let report = simulate(&scenario, options)?;
    if let Some(dir) = &options.report {
        write_report(&report, dir)?;
    }
    output::print(&if options.json { report.json() } else { report.text() })?;
    if report.violations.is_empty() {
        Ok(())
    } else {
        Err(CommandError::RulesBroken)
    }
}

fn simulate(scenario: &Scenario, options: &Options) -> Result<Report, CommandError> {
    let mut unserved = UnservedRequests::new(scenario);
    let result = if options.virtual_time {
        in_virtual_time(scenario, options, &mut unserved)?
    } else {
        on_sockets(scenario, options, &mut unserved)?
    };
    let mut report = Report::new(scenario, &result);
    report.reasons = unserved.into_counts();
    Ok(report)
}

fn in_virtual_time(
    scenario: &Scenario,
    options: &Options,
    unserved: &mut UnservedRequests<'_>,
) -> Result<RunResult, CommandError> {
    let mut recorders = match &options.record {
        Some(dir) => VirtualRecorders::recording(unserved, dir, options.seed)?,
        None => VirtualRecorders::counting(unserved),
    };
    let mut on_event = |router, event: &virtual_time::RouterRecord<'_>| recorders.on_event(router, event);
    virtual_time::run(scenario, options.seed, &mut on_event)
        .map_err(|cause| CommandError::Simulation(cause.into()))
}

/// Runs a scenario on sockets, with this program as the routers' executable. Logs and recordings
/// that the options don't ask for go to a temporary directory.
fn on_sockets(
    scenario: &Scenario,
    options: &Options,
    unserved: &mut UnservedRequests<'_>,
) -> Result<RunResult, CommandError> {
    let temp_dir = tempfile::tempdir()?;
    let recordings = options.record.clone().unwrap_or_else(|| temp_dir.path().join("load"));
    let router_options = multi_process::RouterOptions {
        program: std::env::current_exe()?,
        dir: options.report.clone().unwrap_or_else(|| temp_dir.path().to_path_buf()),
        record: std::path::absolute(&recordings)?,
    };
    let result = multi_process::run(scenario, options.seed, &router_options)
        .map_err(|cause| CommandError::Simulation(cause.into()))?;
    unserved.count_recorded(&recordings, result.start)?;
    Ok(result)
}

fn write_report(report: &Report, dir: &Path) -> Result<(), CommandError> {
    let html = report.html().map_err(|error| CommandError::Chart(error.to_string()))?;
    std::fs::write(dir.join("report.html"), html)?;
    std::fs::write(dir.join("report.json"), report.json())?;
    Ok(())
}
