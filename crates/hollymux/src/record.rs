//! `hollymux record`: what a recording of load holds.

use crate::{put, Fail};
use hollymux_capture::{load, End, Loss, Reason, Recording, Row};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Say what recordings hold, and what is missing from them
    Info {
        /// Recordings, of one router or several
        #[arg(value_name = "FILE", required = true)]
        files: Vec<PathBuf>,
        /// Print the figures as JSON
        #[arg(long)]
        json: bool,
    },
}

#[derive(Debug, Serialize)]
struct ClassInfo {
    name: String,
    requests: usize,
    served: usize,
    in_time: usize,
    objects: usize,
    bytes: u64,
    ends: BTreeMap<String, usize>,
    reasons: BTreeMap<String, usize>,
}

#[derive(Debug, Serialize)]
struct Info {
    routers: Vec<String>,
    offices: Vec<String>,
    seconds: f64,
    requests: usize,
    per_second: f64,
    attempts: f64,
    classes: Vec<ClassInfo>,
    boxes: BTreeMap<String, usize>,
    member_lines: usize,
    purges: usize,
    lost_bytes: u64,
    lost_blocks: u64,
    dropped: u64,
}

pub fn run(command: Command) -> Result<(), Fail> {
    let Command::Info { files, json } = command;
    let recording = load(&files).map_err(Fail::Unusable)?;
    let info = info(&recording);
    put(&if json { serde_json::to_string_pretty(&info).map_err(Fail::ran)? + "\n" } else { text(&info) })
}

fn counted<T: std::fmt::Debug>(all: impl Iterator<Item = T>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    all.for_each(|t| *counts.entry(format!("{t:?}").to_lowercase()).or_default() += 1);
    counts
}

fn info(r: &Recording) -> Info {
    let span = match (r.rows.first(), r.rows.last()) {
        (Some(first), Some(last)) => (last.arrived - first.arrived) as f64 / 1e6,
        _ => 0.0,
    };
    let head = r.heads.first();
    let classes = head.map_or(&[][..], |h| &h.classes).iter().enumerate().map(|(i, c)| {
        let of: Vec<&Row> = r.rows.iter().filter(|row| usize::from(row.class) == i).collect();
        let flow = head.map_or(0.0, |h| h.flow_bytes_per_s);
        let sending = |row: &Row| if flow > 0.0 { f64::from(row.bytes) / flow } else { 0.0 };
        let served = |row: &&&Row| matches!(row.end, End::Served | End::Unchanged);
        let in_time = |row: &&&Row| f64::from(row.took) <= c.aim as f64 + c.aim_stretch * sending(row) * 1e6;
        let mut objects: Vec<u64> = of.iter().map(|row| row.object).collect();
        objects.sort_unstable();
        objects.dedup();
        ClassInfo {
            name: c.name.clone(),
            requests: of.len(),
            served: of.iter().filter(served).count(),
            in_time: of.iter().filter(|row| served(row) && in_time(row)).count(),
            objects: objects.len(),
            bytes: of.iter().map(|row| u64::from(row.bytes)).sum(),
            ends: counted(of.iter().map(|row| row.end)),
            reasons: counted(of.iter().map(|row| row.reason).filter(|reason| *reason != Reason::None)),
        }
    });
    let Loss { bytes, blocks, dropped } = r.loss;
    let attempts: u64 = r.rows.iter().map(|row| u64::from(row.attempts)).sum();
    let mut offices: Vec<String> = r.heads.iter().map(|h| h.office.clone()).collect();
    offices.sort();
    offices.dedup();
    let mut boxes = BTreeMap::new();
    for row in r.rows.iter().filter(|row| row.host != u16::MAX) {
        *boxes.entry(r.member(u32::from(row.host)).to_string()).or_default() += 1;
    }
    Info {
        routers: r.heads.iter().map(|h| h.router.clone()).collect(),
        offices,
        seconds: span,
        requests: r.rows.len(),
        per_second: if span > 0.0 { r.rows.len() as f64 / span } else { 0.0 },
        attempts: if r.rows.is_empty() { 0.0 } else { attempts as f64 / r.rows.len() as f64 },
        classes: classes.collect(),
        boxes,
        member_lines: r.members.len(),
        purges: r.purges.len(),
        lost_bytes: bytes,
        lost_blocks: blocks,
        dropped,
    }
}

fn text(i: &Info) -> String {
    let mut t = String::new();
    let _fits = writeln!(
        t,
        "{} requests in {:.1} s ({:.1} a second), {:.2} attempts each, by {} at {}",
        i.requests,
        i.seconds,
        i.per_second,
        i.attempts,
        i.routers.join(", "),
        i.offices.join(", ")
    );
    for c in &i.classes {
        let ends: Vec<String> = c.ends.iter().map(|(end, n)| format!("{end} {n}")).collect();
        let reasons: Vec<String> = c.reasons.iter().map(|(why, n)| format!("{why} {n}")).collect();
        let why = if reasons.is_empty() { String::new() } else { format!(" ({})", reasons.join(", ")) };
        let _fits = writeln!(
            t,
            "{:<16} {:>8} requests, {:>8} served, {:>8} in time; {} objects, {} bytes; {}{why}",
            c.name,
            c.requests,
            c.served,
            c.in_time,
            c.objects,
            c.bytes,
            ends.join(", ")
        );
    }
    let _fits = writeln!(
        t,
        "{} boxes asked, {} lines of members, {} purges",
        i.boxes.len(),
        i.member_lines,
        i.purges
    );
    let whole = i.lost_bytes == 0 && i.lost_blocks == 0 && i.dropped == 0;
    let _fits = match whole {
        true => writeln!(t, "nothing is missing"),
        false => writeln!(
            t,
            "missing: {} bytes that can't be read, {} blocks by their numbers, {} entries dropped by routers",
            i.lost_bytes, i.lost_blocks, i.dropped
        ),
    };
    t
}
