//! `hollymux lab`: a day of the laboratory.

use crate::{put, Fail};
use hollymux_lab::day::Day;
use hollymux_lab::platform::Seat;
use hollymux_lab::report::report;
use hollymux_lab::virtually::Heard;
use hollymux_lab::{sockets, virtually};
use hollymux_record::{Head, Recorder, Sink};
use std::path::PathBuf;

/// Recordings of days in virtual time: files of this size, this many for each router.
const FILE_BYTES: u64 = 64 << 20;
const FILES: usize = 64;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Play a day and tell what it came to; it ends by itself
    Run(Run),
    /// Print the JSON Schema of days
    Schema,
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
        Command::Schema => return put(&(hollymux_settings::schema::<Day>() + "\n")),
        Command::Run(options) => options,
    };
    let day: Day = hollymux_settings::load(&options.day).map_err(Fail::Unusable)?;
    let kept = options.report.as_ref();
    if let Some(dir) = kept {
        std::fs::create_dir_all(dir).map_err(Fail::ran)?;
    }
    let scratch = tempfile::tempdir().map_err(Fail::ran)?;
    let played = if options.virtually {
        virtual_day(&day, &options)?
    } else {
        let start = sockets::Start {
            program: std::env::current_exe().map_err(Fail::ran)?,
            dir: kept.map_or(scratch.path(), PathBuf::as_path).to_path_buf(),
            record: options.record.as_ref().map(std::path::absolute).transpose().map_err(Fail::ran)?,
        };
        sockets::play(&day, options.seed, &start).map_err(Fail::ran)?
    };
    let report = report(&day, played.start, &played.done, &played.world, &played.counted);
    if let Some(dir) = kept {
        let page = report.html().map_err(Fail::ran)?;
        std::fs::write(dir.join("report.html"), page).map_err(Fail::ran)?;
        std::fs::write(dir.join("report.json"), report.json()).map_err(Fail::ran)?;
    }
    put(&if options.json { report.json() } else { report.text() })?;
    match report.broken.is_empty() {
        true => Ok(()),
        false => Err(Fail::ran("rules were broken")),
    }
}

/// Plays in virtual time, each router's load going to a recording of its own where that is wanted.
fn virtual_day(day: &Day, options: &Run) -> Result<virtually::Played, Fail> {
    let mut recorders = Vec::new();
    if let Some(dir) = &options.record {
        for (name, config) in virtually::configs(day, options.seed).map_err(Fail::ran)? {
            let n = &config.names;
            let head = Head::new(&name, &n.zones, &n.kinds, &n.classes, &config.settings);
            let sink = Sink::new(dir, head, FILE_BYTES, FILES).map_err(Fail::ran)?;
            recorders.push(Recorder::patient(sink).map_err(Fail::ran)?);
        }
    }
    let mut heard = |seat: Seat, heard: &Heard<'_>| {
        let Some(recorder) = recorders.get_mut(seat.number) else { return };
        match heard {
            Heard::Ended(ended) => recorder.request(ended),
            Heard::Members(now, lines) => recorder.members(*now, lines),
            Heard::Purge(now, object, group) => recorder.purge(*now, *object, *group),
        }
    };
    virtually::play(day, options.seed, &mut heard).map_err(Fail::ran)
}
