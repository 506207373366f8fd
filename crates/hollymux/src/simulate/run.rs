//! `hollymux simulate run`: one scenario, on real sockets against router processes, or in virtual
//! time.

use super::recorders::{UnservedRequests, VirtualRecorders};
use crate::error::CommandError;
use crate::output;
use hollymux_simulation::report::Report;
use hollymux_simulation::run_result::RunResult;
use hollymux_simulation::scenario::Scenario;
use hollymux_simulation::{multi_process, virtual_time};
use std::path::{Path, PathBuf};

/// Options of the sub-command.
#[derive(clap::Args)]
pub struct Options {
    /// The scenario (JSON5)
    #[arg(value_name = "SCENARIO")]
    day: PathBuf,
    /// Seed of random numbers; the same seed gives the same load
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Run in virtual time, in one process and without sockets
    #[arg(long = "virtual")]
    virtual_time: bool,
    /// Write report.html, report.json and the routers' logs into this directory
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Record the routers' traffic into this directory, as input for a plan
    #[arg(long, value_name = "DIR")]
    record: Option<PathBuf>,
    /// Print the results as JSON
    #[arg(long)]
    json: bool,
}

/// Runs a scenario and prints its report; fails if a rule that must always hold was broken.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let day: Scenario = hollymux_config_file::load(&options.day).map_err(CommandError::InvalidFile)?;
    if let Some(dir) = &options.report {
        std::fs::create_dir_all(dir)?;
    }
    let report = simulate(&day, options)?;
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

fn simulate(day: &Scenario, options: &Options) -> Result<Report, CommandError> {
    let mut unserved = UnservedRequests::new(day);
    let played = if options.virtual_time {
        in_virtual_time(day, options, &mut unserved)?
    } else {
        on_sockets(day, options, &mut unserved)?
    };
    let mut report = Report::new(day, &played);
    report.reasons = unserved.into_counts();
    Ok(report)
}

fn in_virtual_time(
    day: &Scenario,
    options: &Options,
    unserved: &mut UnservedRequests<'_>,
) -> Result<RunResult, CommandError> {
    let mut recorders = match &options.record {
        Some(dir) => VirtualRecorders::recording(unserved, dir, options.seed)?,
        None => VirtualRecorders::counting(unserved),
    };
    let mut on_event = |router, event: &virtual_time::RouterRecord<'_>| recorders.on_event(router, event);
    virtual_time::play(day, options.seed, &mut on_event)
        .map_err(|cause| CommandError::Simulation(cause.into()))
}

/// Runs this same program as the routers. What is not to be kept goes into a temporary directory.
fn on_sockets(
    day: &Scenario,
    options: &Options,
    unserved: &mut UnservedRequests<'_>,
) -> Result<RunResult, CommandError> {
    let scratch = tempfile::tempdir()?;
    let recordings = options.record.clone().unwrap_or_else(|| scratch.path().join("load"));
    let start = multi_process::RouterOptions {
        program: std::env::current_exe()?,
        dir: options.report.clone().unwrap_or_else(|| scratch.path().to_path_buf()),
        record: std::path::absolute(&recordings)?,
    };
    let played = multi_process::play(day, options.seed, &start)
        .map_err(|cause| CommandError::Simulation(cause.into()))?;
    unserved.count_recorded(&recordings, played.start)?;
    Ok(played)
}

fn write_report(report: &Report, dir: &Path) -> Result<(), CommandError> {
    let page = report.html().map_err(|error| CommandError::Chart(error.to_string()))?;
    std::fs::write(dir.join("report.html"), page)?;
    std::fs::write(dir.join("report.json"), report.json())?;
    Ok(())
}
