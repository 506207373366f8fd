//! `hollymux plan`: capacity planning from recorded traffic and a description of the cluster.

use crate::error::CommandError;
use crate::output;
use hollymux_capacity::replay::InitialCaches;
use hollymux_capacity::trace::Trace;
use hollymux_capacity::{plan, CapacityPlan, Fleet, PlanOptions};
use hollymux_capture::{Loss, Recording};
use std::path::PathBuf;

/// Options of `plan`. Their comments are the help texts.
#[derive(clap::Args)]
pub struct Options {
    /// Recorded traffic of one or several routers
    #[arg(long, value_name = "FILE", num_args = 1.., required_unless_present = "schema")]
    load: Vec<PathBuf>,
    /// Description of the cluster, its zones and links (JSON5)
    #[arg(long, value_name = "FILE", required_unless_present = "schema")]
    fleet: Option<PathBuf>,
    /// Share of the priority weight to serve in time
    #[arg(long, value_name = "PERCENT", default_value = "95%", value_parser = percent)]
    goal: f64,
    /// Load to plan for, as a multiple of the recorded load
    #[arg(long, value_name = "TIMES", default_value_t = 1.0)]
    scale: f64,
    /// Endpoints that are lost together, judged in addition to the loss of each single endpoint:
    /// names of parent caches, or ZONE-N for edge cache N of a zone, separated by commas
    #[arg(long, value_name = "NAME,...")]
    lose: Vec<String>,
    /// Seconds at the start of the recording that only fill the caches and aren't counted [default:
    /// a quarter of the recording]
    #[arg(long, value_name = "SECONDS")]
    warm: Option<f64>,
    /// Leave out unusually large objects
    #[arg(long)]
    without_large: bool,
    /// Start with empty caches, as after the loss of all of them
    #[arg(long)]
    empty: bool,
    /// Seed of the random numbers
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Print the plan as JSON
    #[arg(long)]
    json: bool,
    /// Write a chart of priority weight against load to this file
    #[arg(long, value_name = "FILE.svg")]
    plot: Option<PathBuf>,
    /// Print the JSON Schema of cluster descriptions and plan nothing
    #[arg(long)]
    schema: bool,
}

/// Why the value of `--goal` is invalid.
#[derive(Debug, thiserror::Error)]
enum InvalidShare {
    #[error("{0:?} is not a percentage such as 95%")]
    NotANumber(String),
    #[error("must be above 0% and below 100%")]
    OutOfRange,
}

/// Parses `95%`, `95` or `0.95` as 0.95.
fn percent(text: &str) -> Result<f64, InvalidShare> {
    let digits = text.trim_end_matches('%');
    let value: f64 = digits.parse().map_err(|_| InvalidShare::NotANumber(text.to_string()))?;
    let is_percentage = text.ends_with('%') || value > 1.0;
    let share = if is_percentage { value / 100.0 } else { value };
    if share > 0.0 && share < 1.0 {
        Ok(share)
    } else {
        Err(InvalidShare::OutOfRange)
    }
}

impl Options {
    fn plan_options(&self) -> PlanOptions {
        let lost_together = |names: &String| names.split(',').map(str::to_string).collect();
        let initial_caches = if self.empty { InitialCaches::Empty } else { InitialCaches::Warm };
        PlanOptions {
            goal: self.goal,
            scale: self.scale,
            losses: self.lose.iter().map(lost_together).collect(),
            warm_up_s: self.warm,
            without_large_objects: self.without_large,
            initial_caches,
            seed: self.seed,
        }
    }
}

/// Makes a plan and prints it, or prints the schema of cluster descriptions.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let Some(fleet) = options.fleet.as_ref().filter(|_| !options.schema) else {
        return output::print(&(hollymux_config_file::schema::<Fleet>() + "\n"));
    };
    let fleet: Fleet = hollymux_config_file::load(fleet).map_err(CommandError::InvalidFile)?;
    let recording = hollymux_capture::load(&options.load).map_err(CommandError::InvalidFile)?;
    let capacity_plan = make_plan(recording, &fleet, &options.plan_options())?;
    if let Some(path) = &options.plot {
        let chart = capacity_plan.plot().map_err(|error| CommandError::Chart(error.to_string()))?;
        std::fs::write(path, chart)?;
    }
    if options.json {
        output::print_json(&capacity_plan)
    } else {
        output::print(&capacity_plan.text())
    }
}

fn make_plan(
    recording: Recording,
    fleet: &Fleet,
    plan_options: &PlanOptions,
) -> Result<CapacityPlan, CommandError> {
    let loss_warning = loss_warning(recording.loss);
    let trace = Trace::new(&recording).map_err(invalid_plan)?;
    // The trace holds all that planning needs, so the recording's memory is freed for the long
    // planning run.
    drop(recording);
    let mut capacity_plan = plan(&trace, fleet, plan_options).map_err(invalid_plan)?;
    capacity_plan.quality.caveats.extend(loss_warning);
    Ok(capacity_plan)
}

fn invalid_plan(error: impl std::error::Error + Send + Sync + 'static) -> CommandError {
    CommandError::InvalidPlan(Box::new(error))
}

/// A caveat about data that is missing from the recording; `None` if nothing is missing.
fn loss_warning(loss: Loss) -> Option<String> {
    let Loss { bytes, blocks, dropped } = loss;
    (!loss.is_empty()).then(|| {
        format!(
            "the recording lacks {bytes} bytes, {blocks} blocks and {dropped} entries: \
             rates are too low by as much"
        )
    })
}
