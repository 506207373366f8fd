//! `hollymux lab`: a day of the laboratory.

use crate::{put, Fail};
use hollymux_capture::{End, Head, Reason, Recorder, Request, Sink};
use hollymux_simulation::report::Report;
use hollymux_simulation::router_config::RouterSlot;
use hollymux_simulation::run_result::RunResult;
use hollymux_simulation::scenario::Scenario;
use hollymux_simulation::virtual_time::RouterRecord;
use hollymux_simulation::{cluster_benchmark, multi_process, sweep, virtual_time};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Recordings of days in virtual time: files of this size, this many for each router.
const FILE_BYTES: u64 = 64 << 20;
const FILES: usize = 64;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Play a day and tell what it came to; it ends by itself
    Run(Run),
    /// Print the JSON Schema of days
    Schema,
    /// Measure the view that routers keep of their fleet, in virtual time
    Fleet(FleetTable),
    /// Play a matrix of outages in virtual time, side by side on all cores
    Sweep(SweepFile),
}

#[derive(clap::Args)]
pub struct SweepFile {
    /// The combinations (JSON5)
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Print every day's row as JSON
    #[arg(long)]
    json: bool,
}

fn sweep_days(options: &SweepFile) -> Result<(), Fail> {
    let file: sweep::Sweep = hollymux_config_file::load(&options.file).map_err(Fail::Unusable)?;
    let rows = sweep::run(&file).map_err(Fail::ran)?;
    let json = || serde_json::to_string_pretty(&rows).unwrap_or_default() + "\n";
    put(&if options.json { json() } else { sweep::table(&rows) })?;
    match rows.iter().all(|r| r.violations.is_empty()) {
        true => Ok(()),
        false => Err(Fail::ran("rules were broken")),
    }
}

#[derive(clap::Args)]
pub struct FleetTable {
    /// Sizes of fleets
    #[arg(long, value_name = "N", value_delimiter = ',', default_values_t = [5, 30, 100])]
    routers: Vec<usize>,
    /// Loss on every link, as parts of 1
    #[arg(long, value_name = "P", value_delimiter = ',', default_values_t = [0.0, 0.01, 0.05, 0.2])]
    loss: Vec<f64>,
    /// Calm time in which nobody may be lost, in minutes
    #[arg(long, value_name = "M", default_value_t = 10.0)]
    minutes: f64,
    /// For random numbers
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Print the rows as JSON
    #[arg(long)]
    json: bool,
}

fn fleet_table(options: &FleetTable) -> Result<(), Fail> {
    let sizes = options.routers.iter().all(|n| (2..=2_000).contains(n));
    let parts =
        options.loss.iter().all(|l| (0.0..1.0).contains(l)) && (0.0..=600.0).contains(&options.minutes);
    if !sizes || !parts {
        return Err(Fail::unusable(
            "2 to 2000 routers, a loss of 0 to 1 and 0 to 600 minutes can be measured",
        ));
    }
    let rows = cluster_benchmark::run(&options.routers, &options.loss, options.seed, options.minutes);
    let json = || serde_json::to_string_pretty(&rows).unwrap_or_default() + "\n";
    put(&if options.json { json() } else { cluster_benchmark::table(&rows) })
}

#[derive(clap::Args)]
pub struct Run {
    /// The day (JSON5)
    #[arg(value_name = "DAY")]
    day: PathBuf,
    /// For random numbers; the same seed gives the same load
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Play in virtual time, round the routers' cores, without sockets
    #[arg(long = "virtual")]
    virtually: bool,
    /// Write report.html, report.json and the routers' logs into this folder
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Record the routers' load into this folder, as input for a plan
    #[arg(long, value_name = "DIR")]
    record: Option<PathBuf>,
    /// Print the figures as JSON
    #[arg(long)]
    json: bool,
}

pub fn run(command: Command) -> Result<(), Fail> {
    let options = match command {
        Command::Schema => return put(&(hollymux_config_file::schema::<Scenario>() + "\n")),
        Command::Fleet(options) => return fleet_table(&options),
        Command::Sweep(options) => return sweep_days(&options),
        Command::Run(options) => options,
    };
    let day: Scenario = hollymux_config_file::load(&options.day).map_err(Fail::Unusable)?;
    let kept = options.report.as_ref();
    if let Some(dir) = kept {
        std::fs::create_dir_all(dir).map_err(Fail::ran)?;
    }
    let scratch = tempfile::tempdir().map_err(Fail::ran)?;
    let mut reasons = BTreeMap::new();
    let record = options.record.clone().unwrap_or_else(|| scratch.path().join("load"));
    let played = if options.virtually {
        virtual_day(&day, &options, &mut reasons)?
    } else {
        let start = multi_process::RouterOptions {
            program: std::env::current_exe().map_err(Fail::ran)?,
            dir: kept.map_or(scratch.path(), PathBuf::as_path).to_path_buf(),
            record: std::path::absolute(&record).map_err(Fail::ran)?,
        };
        let played = multi_process::play(&day, options.seed, &start).map_err(Fail::ran)?;
        told_reasons(&day, &record, played.start, &mut reasons)?;
        played
    };
    let mut report = Report::new(&day, &played);
    report.reasons = reasons;
    if let Some(dir) = kept {
        let page = report.html().map_err(Fail::ran)?;
        std::fs::write(dir.join("report.html"), page).map_err(Fail::ran)?;
        std::fs::write(dir.join("report.json"), report.json()).map_err(Fail::ran)?;
    }
    put(&if options.json { report.json() } else { report.text() })?;
    match report.violations.is_empty() {
        true => Ok(()),
        false => Err(Fail::ran("rules were broken")),
    }
}

/// Requests that were not served, by class, end and reason.
type Reasons = BTreeMap<String, u64>;

fn count(day: &Scenario, reasons: &mut Reasons, class: usize, end: End, reason: Reason) {
    if !matches!(end, End::Served | End::Unchanged | End::Named) {
        let class = day.classes.get(class).map_or("", |c| c.name.as_str());
        let name = format!("{class} {end:?} {reason:?}").to_lowercase();
        *reasons.entry(name).or_default() += 1;
    }
}

/// What the routers of a day on sockets recorded of why they did not serve.
fn told_reasons(day: &Scenario, dir: &Path, start: u64, reasons: &mut Reasons) -> Result<(), Fail> {
    let files = std::fs::read_dir(dir).map_err(Fail::ran)?.filter_map(Result::ok).map(|e| e.path());
    let recording =
        hollymux_capture::load(&files.collect::<Vec<_>>()).map_err(|e| Fail::ran(e.join("; ")))?;
    // The folder may hold recordings of earlier days.
    let rows = recording.rows.iter().filter(|r| r.arrived >= start);
    rows.for_each(|r| count(day, reasons, usize::from(r.class), r.end, r.reason));
    Ok(())
}

/// Plays in virtual time, each router's load going to a recording of its own where that is wanted.
fn virtual_day(day: &Scenario, options: &Run, reasons: &mut Reasons) -> Result<RunResult, Fail> {
    let mut recorders = Vec::new();
    if let Some(dir) = &options.record {
        for config in virtual_time::router_configs(day, options.seed).map_err(Fail::ran)? {
            let n = &config.names;
            let head = Head::new(&config.name, &n.zones, &n.kinds, &n.classes, &config.settings);
            let sink = Sink::new(dir, head, FILE_BYTES, FILES).map_err(Fail::ran)?;
            recorders.push(Recorder::patient(sink).map_err(Fail::ran)?);
        }
    }
    let mut heard = |slot: RouterSlot, heard: &RouterRecord<'_>| {
        if let RouterRecord::RequestEnded(e) = heard {
            let r = Request::new(e, None, None);
            count(day, reasons, usize::from(r.class), r.end, r.reason);
        }
        let Some(recorder) = recorders.get_mut(slot.index) else { return };
        match heard {
            RouterRecord::RequestEnded(ended) => recorder.request(ended),
            RouterRecord::EndpointsChanged { at, lines } => recorder.members(*at, lines),
            RouterRecord::Purged { at, object, group } => recorder.purge(*at, *object, *group),
        }
    };
    virtual_time::play(day, options.seed, &mut heard).map_err(Fail::ran)
}
