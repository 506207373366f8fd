//! `hollymux plan`: recorded load and a fleet in, a plan out.

use crate::{put, Fail};
use hollymux_capacity::replay::InitialCaches;
use hollymux_capacity::trace::Trace;
use hollymux_capacity::{plan, Fleet, PlanOptions};
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Options {
    /// Recorded load, of one router or several
    #[arg(long, value_name = "FILE", num_args = 1.., required_unless_present = "schema")]
    load: Vec<PathBuf>,
    /// The fleet (JSON5)
    #[arg(long, value_name = "FILE", required_unless_present = "schema")]
    fleet: Option<PathBuf>,
    /// The part of worth to be served in time
    #[arg(long, value_name = "PERCENT", default_value = "95%", value_parser = percent)]
    goal: f64,
    /// The load to plan for, in multiples of the recorded one
    #[arg(long, value_name = "TIMES", default_value_t = 1.0)]
    scale: f64,
    /// Servers lost together, beside the losses of single ones: a hub or OFFICE-N, several with commas
    #[arg(long, value_name = "NAME,...")]
    lose: Vec<String>,
    /// The first seconds of the recording fill the caches and are not counted [default: a quarter of it]
    #[arg(long, value_name = "SECONDS")]
    warm: Option<f64>,
    /// Leave unusually large objects out
    #[arg(long)]
    without_large: bool,
    /// All caches are empty when the load begins, as after a loss of everything
    #[arg(long)]
    empty: bool,
    /// For random numbers
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Print the plan as JSON
    #[arg(long)]
    json: bool,
    /// Draw worth against load into this file
    #[arg(long, value_name = "FILE.svg")]
    plot: Option<PathBuf>,
    /// Print the JSON Schema of fleets instead
    #[arg(long)]
    schema: bool,
}

fn percent(text: &str) -> Result<f64, String> {
    let wrong = || format!("{text:?} is no part such as 95%");
    let value: f64 = text.trim_end_matches('%').parse().map_err(|_| wrong())?;
    let part = if text.ends_with('%') || value > 1.0 { value / 100.0 } else { value };
    if part > 0.0 && part < 1.0 {
        Ok(part)
    } else {
        Err("a goal lies above 0% and below 100%".into())
    }
}

pub fn run(options: &Options) -> Result<(), Fail> {
    let Some(fleet) = options.fleet.as_ref().filter(|_| !options.schema) else {
        return put(&(hollymux_config_file::schema::<Fleet>() + "\n"));
    };
    let fleet: Fleet = hollymux_config_file::load(fleet).map_err(Fail::Unusable)?;
    let recording = hollymux_capture::load(&options.load).map_err(Fail::Unusable)?;
    let mut missing = Vec::new();
    if !recording.loss.none() {
        let l = recording.loss;
        missing.push(format!(
            "the recording lacks {} bytes, {} blocks and {} entries: rates are too low by as much",
            l.bytes, l.blocks, l.dropped
        ));
    }
    let trace = Trace::new(&recording).map_err(Fail::unusable)?;
    drop(recording);
    let lost_together = |names: &String| names.split(',').map(str::to_string).collect();
    let plan_options = PlanOptions {
        goal: options.goal,
        scale: options.scale,
        losses: options.lose.iter().map(lost_together).collect(),
        warm_up_s: options.warm,
        without_large_objects: options.without_large,
        initial_caches: if options.empty { InitialCaches::Empty } else { InitialCaches::Warm },
        seed: options.seed,
    };
    let mut planned = plan(&trace, &fleet, &plan_options).map_err(Fail::unusable)?;
    planned.quality.caveats.extend(missing);
    if let Some(path) = &options.plot {
        std::fs::write(path, planned.plot().map_err(Fail::ran)?).map_err(Fail::ran)?;
    }
    put(&if options.json {
        serde_json::to_string_pretty(&planned).map_err(Fail::ran)? + "\n"
    } else {
        planned.text()
    })
}
