//! What a day came to: figures for people, JSON for programs, a page with plots.

use crate::cluster_report::ClusterReport;
use crate::load::{ClientOutcome, CompletedRequest};
use crate::model::{Broken, ColdUse, ServerModel};
use crate::scenario::Scenario;
use crate::{Time, SEC};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Attempts and refusals as the routers or the servers counted them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DriverCounters {
    /// Attempts that reached servers.
    pub attempts: u64,
    /// Final answers beside the one that is owed, or none at all before the client gave up and half a second more.
    pub answers_wrong: u64,
    /// What the fleet's view came to, where routers know each other.
    pub fleet: Option<ClusterReport>,
    /// What all routers together counted against what cold boxes, and cold hubs, bear; in virtual time.
    pub accounts: [Account; 2],
}

/// Parts of a limit that all routers together had used within a window, by their own accounts, four looks a second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Account {
    /// The most.
    pub worst: f64,
    /// Added up over so many looks at which more was wanted than there is.
    pub used: (f64, u64),
}

/// Figures of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// First tries.
    pub asked: u64,
    /// Served in time, and late.
    pub in_time: u64,
    /// See `in_time`.
    pub late: u64,
    /// Not served: by the last answer.
    pub refused: u64,
    /// See `refused`.
    pub failed: u64,
    /// Nothing came.
    pub unanswered: u64,
    /// The worth earned over the worth asked for.
    pub served_worth: f64,
    /// Milliseconds from when the first try was to be sent, of what was served: 50, 90, 99, 99.9 per cent.
    pub percentiles_ms: [f64; 4],
}

/// Figures of a day.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The worth earned over the worth asked for.
    pub served_worth: f64,
    /// The part of the worth asked for that was served in time and fresh or not.
    pub in_time_worth: f64,
    /// First tries a second.
    pub asked_per_s: f64,
    /// Tries of clients for each first try.
    pub tries: f64,
    /// Attempts that reached servers, for each first try.
    pub attempts: f64,
    /// Bytes that came in through the offices' links, for each byte served.
    pub filled: f64,
    /// Calls of the library, a second.
    pub library_per_s: f64,
    /// How often the library stopped because it was asked for too much.
    pub library_fell: u64,
    /// By class.
    pub classes: Vec<ClassReport>,
    /// How much each resource was used, the most used first.
    pub used: Vec<(String, f64)>,
    /// Bytes that each link carried after the warm-up.
    pub carried: Vec<(String, f64)>,
    /// Why routers served requests no bytes, by class, end and reason; from their recordings.
    pub reasons: BTreeMap<String, u64>,
    /// Calls turned away, by server.
    pub turned_away: Vec<(String, u64)>,
    /// Rules broken.
    pub broken: BTreeMap<String, u64>,
    /// Cold servers that fell over before routers were told of their start.
    pub fell_untold: u64,
    /// How much of what cold servers bear was used, by kind of server.
    pub limits: BTreeMap<String, LimitReport>,
    /// What the fleet's view came to; none where routers don't know each other.
    pub fleet: Option<ClusterReport>,
    /// Worth served and asked for in each second of the day.
    pub seconds: Vec<(f64, f64)>,
}

/// Adds up what clients saw after the warm-up and what the servers counted.
pub fn report(
    day: &Scenario,
    start: Time,
    done: &[CompletedRequest],
    world: &ServerModel,
    counted: &DriverCounters,
) -> Report {
    let counts_from = start + crate::model::secs(day.warm_s);
    let span = (day.seconds - day.warm_s).max(1e-9);
    let ratio = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
    let counted_ones: Vec<&CompletedRequest> = done.iter().filter(|d| d.meant >= counts_from).collect();
    let worth = |all: &[&CompletedRequest]| all.iter().map(|d| d.worth.0).sum::<f64>();
    let earned = |all: &[&CompletedRequest]| all.iter().map(|d| d.worth.1).sum::<f64>();
    let classes = day.classes.iter().enumerate().map(|(i, c)| {
        let of: Vec<&CompletedRequest> = counted_ones.iter().copied().filter(|d| d.class == i).collect();
        let mut took = Histogram::<u64>::new_with_bounds(1, 120_000_000, 3).ok();
        if let Some(h) = &mut took {
            of.iter().filter_map(|d| d.took).for_each(|t| h.saturating_record(t.max(1)));
        }
        let at = |q: f64| took.as_ref().map_or(0.0, |h| h.value_at_quantile(q) as f64 / 1e3);
        let count = |f: fn(&CompletedRequest) -> bool| of.iter().filter(|d| f(d)).count() as u64;
        ClassReport {
            name: c.name.clone(),
            asked: of.len() as u64,
            in_time: count(|d| d.in_time),
            late: count(|d| d.took.is_some() && !d.in_time),
            refused: count(|d| matches!(d.got, ClientOutcome::Refused(_))),
            failed: count(|d| matches!(d.got, ClientOutcome::Failed | ClientOutcome::Lost)),
            unanswered: count(|d| d.got == ClientOutcome::Nothing),
            served_worth: ratio(earned(&of), worth(&of)),
            percentiles_ms: [at(0.5), at(0.9), at(0.99), at(0.999)],
        }
    });
    let classes: Vec<ClassReport> = classes.collect();
    let all = world.used();
    let carried = all.iter().filter_map(|u| Some((u.name.clone(), u.bytes?))).collect();
    let mut used: Vec<(String, f64)> = all.into_iter().map(|u| (u.name, u.part)).collect();
    used.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    let mut broken: BTreeMap<String, u64> = rules(&world.broken);
    if counted.answers_wrong > 0 {
        broken.insert("one final answer".into(), counted.answers_wrong);
    }
    let mut seconds = vec![(0.0, 0.0); day.seconds.ceil() as usize];
    for d in done {
        if let Some(s) = seconds.get_mut((d.meant.saturating_sub(start) / SEC) as usize) {
            (s.0, s.1) = (s.0 + d.worth.1, s.1 + d.worth.0);
        }
    }
    let in_time: f64 = counted_ones.iter().filter(|d| d.in_time).map(|d| d.worth.0).sum();
    let asked = counted_ones.len() as f64;
    let bytes: u64 = counted_ones.iter().map(|d| d.bytes).sum();
    Report {
        served_worth: ratio(earned(&counted_ones), worth(&counted_ones)),
        in_time_worth: ratio(in_time, worth(&counted_ones)),
        asked_per_s: asked / span,
        tries: ratio(counted_ones.iter().map(|d| f64::from(d.tries)).sum(), asked),
        attempts: ratio(counted.attempts as f64, done.len() as f64),
        filled: ratio(world.filled(), bytes as f64),
        library_per_s: world.fetched as f64 / day.seconds,
        library_fell: world.library_fell,
        classes,
        used,
        carried,
        reasons: BTreeMap::new(),
        turned_away: world.turned_away(),
        broken,
        fell_untold: world.fell_untold,
        limits: limits(world, &counted.accounts),
        fleet: counted.fleet,
        seconds,
    }
}

/// What all routers together sent to cold servers within a window, as parts of what they may.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LimitReport {
    /// The whole.
    pub bound: f64,
    /// The most in any window by the routers' accounts, once all of them know that the server is cold; they count a
    /// class's mean work, waits included.
    pub worst: f64,
    /// On average while more was wanted than there is; none on sockets, or if it never was.
    pub used_mean: Option<f64>,
    /// The most that came to such a server, by its size, and on average while it was cold; none: none was.
    pub came_worst: f64,
    /// See `came_worst`.
    pub came_mean: Option<f64>,
}

fn limits(world: &ServerModel, accounts: &[Account; 2]) -> BTreeMap<String, LimitReport> {
    let mean = |sum: (f64, u64)| (sum.1 > 0).then(|| sum.0 / sum.1 as f64);
    let one = |(name, (came, counted)): (&str, (&ColdUse, &Account))| {
        let (used_mean, came_mean) = (mean(counted.used), mean(came.used));
        let worst = counted.worst;
        (name.to_string(), LimitReport { bound: 1.0, worst, used_mean, came_worst: came.worst, came_mean })
    };
    ["cold box", "cold hub"].into_iter().zip(world.cold_use.iter().zip(accounts)).map(one).collect()
}

fn rules(broken: &Broken) -> BTreeMap<String, u64> {
    broken.iter().map(|(rule, n)| ((*rule).to_string(), *n)).collect()
}

impl Report {
    /// The figures as text.
    pub fn text(&self) -> String {
        let mut t = String::new();
        let _fits = writeln!(
            t,
            "served worth {:.3} (in time {:.3}) of {:.0} first tries a second; {:.2} tries and {:.2} attempts each; \
             filled {:.2} bytes for each served; library {:.1} calls a second",
            self.served_worth, self.in_time_worth, self.asked_per_s, self.tries, self.attempts, self.filled,
            self.library_per_s
        );
        let _fits = writeln!(
            t,
            "{:<16} {:>7} {:>8} {:>6} {:>8} {:>7} {:>8} {:>7} {:>8} {:>8} {:>8}",
            "class",
            "asked",
            "in time",
            "late",
            "refused",
            "failed",
            "silent",
            "worth",
            "50% ms",
            "90% ms",
            "99% ms"
        );
        for c in &self.classes {
            let [p50, p90, p99, _] = c.percentiles_ms;
            let _fits = writeln!(
                t,
                "{:<16} {:>7} {:>8} {:>6} {:>8} {:>7} {:>8} {:>7.3} {:>8.0} {:>8.0} {:>8.0}",
                c.name,
                c.asked,
                c.in_time,
                c.late,
                c.refused,
                c.failed,
                c.unanswered,
                c.served_worth,
                p50,
                p90,
                p99
            );
        }
        let used: Vec<String> =
            self.used.iter().take(6).map(|(n, p)| format!("{n} {:.0}%", p * 100.0)).collect();
        let _fits = writeln!(t, "most used: {}", used.join(", "));
        if !self.reasons.is_empty() {
            let all: Vec<String> = self.reasons.iter().map(|(why, n)| format!("{why} {n}")).collect();
            let _fits = writeln!(t, "not served, by class, end and reason: {}", all.join(", "));
        }
        if !self.turned_away.is_empty() {
            let all: u64 = self.turned_away.iter().map(|t| t.1).sum();
            let most = self.turned_away.iter().max_by_key(|t| t.1).map(|(n, c)| format!("{n} {c}"));
            let _fits = writeln!(t, "calls turned away: {all}, most by {}", most.unwrap_or_default());
        }
        let broken: Vec<String> = self.broken.iter().map(|(r, n)| format!("{r} {n}")).collect();
        let none = if broken.is_empty() { "none".to_string() } else { broken.join(", ") };
        let _fits = writeln!(t, "rules broken: {none}");
        if let Some(f) = &self.fleet {
            let settled =
                f.settled_s.map_or("did not settle".to_string(), |s| format!("settled after {s:.1} s"));
            let _fits = writeln!(
                t,
                "fleet's view: {settled}; {} falsely called lost, {} lost and not called so; {:.0} bytes a router a second",
                f.false_lost, f.missed_lost, f.bytes_per_router_s
            );
        }
        for (name, l) in self.limits.iter().filter(|(_, l)| l.came_mean.is_some()) {
            let used = l.used_mean.map_or("-".into(), |u| format!("{u:.2}"));
            let _fits = writeln!(
                t,
                "{name}: of what all routers may send {used} was used while more was wanted, {:.2} at most; {:.2} came, {:.2} at most",
                l.worst,
                l.came_mean.unwrap_or(0.0),
                l.came_worst
            );
        }
        if self.library_fell > 0 {
            let _fits = writeln!(t, "the library stopped, asked for too much, {} times", self.library_fell);
        }
        if self.fell_untold > 0 {
            let _fits =
                writeln!(t, "cold servers that fell before their start was told: {}", self.fell_untold);
        }
        t
    }

    /// The figures as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// A page with the figures and plots, which needs nothing beside it.
    ///
    /// # Errors
    /// A plot can't be drawn.
    pub fn html(&self) -> Result<String, Box<dyn std::error::Error>> {
        let share: Vec<(f64, f64)> = (0..)
            .zip(&self.seconds)
            .filter(|(_, s)| s.1 > 0.0)
            .map(|(i, s)| (f64::from(i), s.0 / s.1))
            .collect();
        let mut served = String::new();
        line(&mut served, "worth served, by second", &share)?;
        let mut used = String::new();
        bars(&mut used, "use of the busiest resources", &self.used[..self.used.len().min(12)])?;
        let text = self.text().replace('&', "&amp;").replace('<', "&lt;");
        Ok(format!(
            "<!doctype html><meta charset=\"utf-8\"><title>hollymux lab</title>\n<h1>A day of the laboratory</h1>\n\
             <pre>{text}</pre>\n{served}\n{used}\n"
        ))
    }
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn line(into: &mut String, title: &str, points: &[(f64, f64)]) -> Drawn {
    let area = SVGBackend::with_string(into, (900, 280)).into_drawing_area();
    area.fill(&WHITE)?;
    let last = points.last().map_or(1.0, |p| p.0.max(1.0));
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..last, 0.0..1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    chart.draw_series(LineSeries::new(points.iter().copied(), &BLUE))?;
    area.present()?;
    Ok(())
}

fn bars(into: &mut String, title: &str, rows: &[(String, f64)]) -> Drawn {
    let area = SVGBackend::with_string(into, (900, 60 + 24 * rows.len() as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    let most = rows.iter().map(|r| r.1).fold(1.0, f64::max);
    let names: Vec<&str> = rows.iter().map(|r| r.0.as_str()).collect();
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(190)
        .build_cartesian_2d(0.0..most * 1.05, (0..rows.len().max(1)).into_segmented())?;
    let name = |v: &SegmentValue<usize>| match v {
        SegmentValue::CenterOf(i) => names.get(*i).copied().unwrap_or_default().to_string(),
        _ => String::new(),
    };
    chart.configure_mesh().disable_y_mesh().y_label_formatter(&name).draw()?;
    chart.draw_series(Rows::bars(rows))?;
    area.present()?;
    Ok(())
}

/// Bars of a chart whose rows are names.
struct Rows;

impl Rows {
    fn bars(rows: &[(String, f64)]) -> impl Iterator<Item = Rectangle<(f64, SegmentValue<usize>)>> + '_ {
        rows.iter().enumerate().map(|(i, r)| {
            let (low, high) = (SegmentValue::Exact(i), SegmentValue::Exact(i + 1));
            let mut bar = Rectangle::new([(0.0, low), (r.1, high)], BLUE.mix(0.6).filled());
            bar.set_margin(3, 3, 0, 0);
            bar
        })
    }
}
