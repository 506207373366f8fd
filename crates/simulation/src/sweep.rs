//! A matrix of outages in virtual time: every combination of what is lost, for how long, under how much load, with how
//! many routers. Days are played side by side on all cores; the same file gives the same figures.

use crate::report::{report, Report};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::virtual_time::play;
use hollymux_config_file::{Check, Faults};
use rayon::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// More combinations than this are a mistake.
const DAYS_MOST: usize = 20_000;
/// Load is back when so much of what was served before is, over this many seconds.
const BACK: f64 = 0.95;
const BACK_S: usize = 2;
/// Seconds before the outage that it is compared with.
const BEFORE_S: usize = 5;

/// The combinations that are played.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The day that all are made from; its rate is what `loads` are parts of.
    pub day: Scenario,
    /// When the outage begins.
    pub at_s: f64,
    /// What is lost.
    pub lost: Vec<Lost>,
    /// For how long.
    pub for_s: Vec<f64>,
    /// Load, as parts of the day's.
    pub loads: Vec<f64>,
    /// Routers in all, spread over the offices by their boxes; no office has none.
    pub routers: Vec<usize>,
    /// How uneven their load is.
    #[serde(default = "even")]
    pub uneven: Vec<f64>,
    /// How long news of boxes takes.
    #[serde(default = "news")]
    pub news_ms: Vec<f64>,
    /// Seeds.
    #[serde(default = "seeds")]
    pub seeds: Vec<u64>,
}

/// What is lost at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// The first hub.
    #[default]
    Hub,
    /// All hubs.
    Hubs,
    /// The first office's first box.
    Box,
    /// Half of the first office's boxes.
    HalfOffice,
    /// The first office's boxes.
    Site,
    /// The library.
    Library,
    /// Six in ten of all boxes are replaced, one after another, in 7 s; for how long means nothing then.
    Replaced,
}

fn even() -> Vec<f64> {
    vec![1.0]
}
fn news() -> Vec<f64> {
    vec![1_000.0]
}
fn seeds() -> Vec<u64> {
    vec![1]
}

impl Check for Sweep {
    fn check(&self, faults: &mut Faults) {
        self.day.check(faults);
        let counts = [self.lost.len(), self.for_s.len(), self.loads.len(), self.routers.len()];
        let more = [self.uneven.len(), self.news_ms.len(), self.seeds.len()];
        let days = counts.into_iter().chain(more).try_fold(1usize, usize::checked_mul).unwrap_or(usize::MAX);
        faults.unless(
            (1..=DAYS_MOST).contains(&days),
            "lost",
            "every list must have entries, 20000 days in all at most",
        );
        let fits = self.at_s > self.day.warm_s && self.at_s < self.day.seconds;
        faults.unless(fits, "at_s", "must lie between the day's warm_s and seconds");
        let most = 50 * self.day.offices.len();
        let routers = self.routers.iter().all(|n| (1..=most).contains(n));
        faults.unless(routers, "routers", "must lie between 1 and 50 for each office");
        faults.unless(self.for_s.iter().all(|s| *s > 0.0), "for_s", "must be above 0");
        faults.unless(
            self.loads.iter().all(|l| *l > 0.0 && *l <= 100.0),
            "loads",
            "must lie between 0 and 100",
        );
        faults.unless(
            self.uneven.iter().all(|u| (1.0..=100.0).contains(u)),
            "uneven",
            "must lie between 1 and 100",
        );
        faults.unless(
            self.news_ms.iter().all(|n| (0.0..=60_000.0).contains(n)),
            "news_ms",
            "must lie between 0 and 60000",
        );
        faults.unless(self.day.faults.is_empty(), "day.faults", "the outage is the only one");
    }
}

/// What one day came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// What was lost, for how long, under which load, with how many routers, how uneven, with news how late.
    pub lost: Lost,
    /// See `lost`.
    pub for_s: f64,
    /// See `lost`.
    pub load: f64,
    /// See `lost`.
    pub routers: usize,
    /// See `lost`.
    pub uneven: f64,
    /// See `lost`.
    pub news_ms: f64,
    /// The seed.
    pub seed: u64,
    /// Rules broken.
    pub broken: BTreeMap<String, u64>,
    /// Cold servers that fell before routers were told of their start.
    pub fell_untold: u64,
    /// The worth earned over the worth asked for.
    pub served_worth: f64,
    /// From the outage's end until 95% of the worth of before is served; none: not before the day's end.
    pub back_s: Option<f64>,
    /// The most that was sent to a cold box and to a cold hub within a window, by the routers' accounts, and on average
    /// while more was wanted, as parts of what may be.
    pub cold_worst: [f64; 2],
    /// See `cold_worst`.
    pub cold_used: [Option<f64>; 2],
    /// Calls of the library a second, and attempts for each first try.
    pub library_per_s: f64,
    /// See `library_per_s`.
    pub attempts: f64,
}

impl Sweep {
    /// The days, in the order of the lists.
    fn days(&self) -> Vec<(Row, Scenario)> {
        let rows = vec![Row::default()];
        let rows = each(rows, &self.lost, |r, v| r.lost = v);
        let rows = each(rows, &self.for_s, |r, v| r.for_s = v);
        let rows = each(rows, &self.loads, |r, v| r.load = v);
        let rows = each(rows, &self.routers, |r, v| r.routers = v);
        let rows = each(rows, &self.uneven, |r, v| r.uneven = v);
        let rows = each(rows, &self.news_ms, |r, v| r.news_ms = v);
        let rows = each(rows, &self.seeds, |r, v| r.seed = v);
        let day = |row: Row| {
            let day = self.day_of(&row);
            (row, day)
        };
        rows.into_iter().map(day).collect()
    }

    fn day_of(&self, row: &Row) -> Scenario {
        let mut day = self.day.clone();
        day.rate_per_s *= row.load;
        (day.uneven, day.roster_lag_ms) = (row.uneven, row.news_ms);
        // Each office has a router as long as there are enough; the rest goes by boxes, as evenly as numbers allow.
        day.offices.iter_mut().for_each(|o| o.routers = 1);
        for _ in day.offices.len()..row.routers {
            let least = |o: &&mut crate::scenario::Site| (o.routers * 1_000) / o.boxes;
            if let Some(o) = day.offices.iter_mut().filter(|o| o.routers < 50).min_by_key(least) {
                o.routers += 1;
            }
        }
        if row.routers < day.offices.len() {
            day.offices.truncate(row.routers);
        }
        day.faults = self.faults(&day, row);
        day
    }

    fn faults(&self, day: &Scenario, row: &Row) -> Vec<Fault> {
        let first = day.boxes(0).collect::<Vec<String>>();
        let all = (0..day.offices.len()).flat_map(|o| day.boxes(o));
        let who: Vec<String> = match row.lost {
            Lost::Hub => day.hubs.iter().take(1).map(|h| h.name.clone()).collect(),
            Lost::Hubs => day.hubs.iter().map(|h| h.name.clone()).collect(),
            Lost::Box => first[..1].to_vec(),
            Lost::HalfOffice => first[..first.len().div_ceil(2)].to_vec(),
            Lost::Site => first,
            Lost::Library => vec!["library".into()],
            Lost::Replaced => all.enumerate().filter(|(i, _)| i % 5 < 3).map(|(_, b)| b).collect(),
        };
        let step = 7.0 / who.len() as f64;
        let fault = |(i, who): (usize, String)| match row.lost {
            Lost::Replaced => {
                Fault { at_s: self.at_s + i as f64 * step, for_s: None, what: FaultKind::Replace { who } }
            }
            _ => Fault { at_s: self.at_s, for_s: Some(row.for_s), what: FaultKind::Crash { who } },
        };
        who.into_iter().enumerate().map(fault).collect()
    }
}

/// Each row once with each of the values.
fn each<T: Copy>(rows: Vec<Row>, values: &[T], set: impl Fn(&mut Row, T)) -> Vec<Row> {
    let one = |row: &Row, value: &T| {
        let mut row = row.clone();
        set(&mut row, *value);
        row
    };
    rows.iter().flat_map(|row| values.iter().map(move |v| (row, v))).map(|(r, v)| one(r, v)).collect()
}

/// Plays all days and gives their rows in order.
///
/// # Errors
/// A router can't work under one of the days.
pub fn sweep(sweep: &Sweep) -> Result<Vec<Row>, String> {
    sweep.days().into_par_iter().map(|(row, day)| played(sweep.at_s, row, &day)).collect()
}

fn played(at_s: f64, mut row: Row, day: &Scenario) -> Result<Row, String> {
    let p = play(day, row.seed, &mut |_, _| {})?;
    let r = report(day, p.start, &p.done, &p.world, &p.counted);
    let end = at_s + if row.lost == Lost::Replaced { 7.0 } else { row.for_s };
    row.back_s = back(&r, at_s, end);
    let kinds = ["cold box", "cold hub"].map(|k| r.limits.get(k).copied());
    row.cold_worst = kinds.map(|l| l.map_or(0.0, |l| l.worst));
    row.cold_used = kinds.map(|l| l.and_then(|l| l.used_mean));
    (row.served_worth, row.library_per_s, row.attempts) = (r.served_worth, r.library_per_s, r.attempts);
    (row.broken, row.fell_untold) = (r.broken, r.fell_untold);
    Ok(row)
}

/// Seconds from an outage's end until as much is served as before it.
fn back(r: &Report, at_s: f64, end_s: f64) -> Option<f64> {
    let part = |seconds: &[(f64, f64)]| {
        let (served, asked) = seconds.iter().fold((0.0, 0.0), |s, x| (s.0 + x.0, s.1 + x.1));
        if asked > 0.0 {
            served / asked
        } else {
            1.0
        }
    };
    let at = (at_s as usize).min(r.seconds.len());
    let before = part(&r.seconds[at.saturating_sub(BEFORE_S)..at]);
    let from = end_s.ceil() as usize;
    let well = |s: &usize| part(&r.seconds[*s..s + BACK_S]) >= BACK * before;
    (from..(r.seconds.len() + 1).saturating_sub(BACK_S)).find(well).map(|s| s as f64 - end_s)
}

/// The rows as a table in Markdown: one line for what is lost, how long and how many routers, over all the rest.
pub fn text(rows: &[Row]) -> String {
    let mut lines: BTreeMap<(Lost, u64, usize), Vec<&Row>> = BTreeMap::new();
    for r in rows {
        lines.entry((r.lost, (r.for_s * 1_000.0) as u64, r.routers)).or_default().push(r);
    }
    let mut text = String::from(
        "| lost | for s | routers | days | rules broken | fell untold | worth, least and mean | back after s, median and most | not back | cold box, most | cold hub, most and mean | library/s, most | attempts, most |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for ((lost, for_ms, routers), rows) in lines {
        let least = |f: &dyn Fn(&Row) -> f64| rows.iter().map(|r| f(r)).fold(f64::INFINITY, f64::min);
        let most = |f: &dyn Fn(&Row) -> f64| rows.iter().map(|r| f(r)).fold(0.0, f64::max);
        let mean = |f: &dyn Fn(&Row) -> f64| rows.iter().map(|r| f(r)).sum::<f64>() / rows.len() as f64;
        let mut back: Vec<f64> = rows.iter().filter_map(|r| r.back_s).collect();
        back.sort_by(f64::total_cmp);
        let shown = |s: Option<&f64>| s.map_or("-".to_string(), |s| format!("{s:.1}"));
        let broken: u64 = rows.iter().flat_map(|r| r.broken.values()).sum();
        let used: Vec<f64> = rows.iter().filter_map(|r| r.cold_used[1]).collect();
        let used = (!used.is_empty()).then(|| used.iter().sum::<f64>() / used.len() as f64);
        text += &format!(
            "| {} | {} | {routers} | {} | {broken} | {} | {:.3} / {:.3} | {} / {} | {} | {:.2} | {:.2} / {} | {:.0} | {:.2} |\n",
            serde_json::to_string(&lost).unwrap_or_default().trim_matches('"'),
            for_ms as f64 / 1_000.0,
            rows.len(),
            rows.iter().map(|r| r.fell_untold).sum::<u64>(),
            least(&|r| r.served_worth),
            mean(&|r| r.served_worth),
            shown(back.get(back.len() / 2)),
            shown(back.last()),
            rows.len() - back.len(),
            most(&|r| r.cold_worst[0]),
            most(&|r| r.cold_worst[1]),
            used.map_or("-".to_string(), |u| format!("{u:.2}")),
            most(&|r| r.library_per_s),
            most(&|r| r.attempts),
        );
    }
    text
}
