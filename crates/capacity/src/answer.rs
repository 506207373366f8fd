//! The answer: as a page of text for people, as JSON, and as a plot.

use crate::sure::Figure;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write as _;

/// A resource, and the load at which it breaks.
#[derive(Clone, Debug, Serialize)]
pub struct Break {
    /// Its name.
    pub resource: String,
    /// How much of it is used on average at the load asked about.
    pub used: Option<Figure>,
    /// The load at which it breaks, in multiples of the recorded one; none: beyond what can be said.
    pub breaks_at: Option<f64>,
    /// What users notice then.
    pub notice: String,
}

/// The fleet at one load.
#[derive(Clone, Debug, Serialize)]
pub struct Multiple {
    /// In multiples of the recorded one.
    pub load: f64,
    /// Worth in time.
    pub in_time: Option<Figure>,
    /// Worth served, late answers at what they earn.
    pub served: Option<Figure>,
    /// The part of requests that boxes serve from what they hold.
    pub hits: f64,
    /// Further tries of clients for each first one.
    pub tries_again: f64,
    /// Clients' further tries feed on themselves.
    pub runs_away: bool,
}

/// An office at the load asked about.
#[derive(Clone, Debug, Serialize)]
pub struct OfficeAnswer {
    /// Its name.
    pub name: String,
    /// Its boxes.
    pub boxes: usize,
    /// Worth in time.
    pub in_time: Option<Figure>,
    /// The part of its bytes that nobody else asks for.
    pub local_part: f64,
}

/// Boxes for the goal.
#[derive(Clone, Debug, Serialize)]
pub struct Mix {
    /// Boxes there are.
    pub present: usize,
    /// Worth in time with them.
    pub present_reaches: Option<Figure>,
    /// What each office needs to reach the goal for itself; none: no number of boxes helps.
    pub each: Vec<(String, Option<usize>)>,
    /// The cheapest mix that reaches the goal for all together; none: none does.
    pub boxes: Option<Vec<(String, usize)>>,
    /// Worth in time with that mix, or with the best there is.
    pub reaches: Option<Figure>,
}

/// What a loss does.
#[derive(Clone, Debug, Serialize)]
pub struct Loss {
    /// Which servers are lost together.
    pub servers: Vec<String>,
    /// For how long, in seconds.
    pub lost_for_s: f64,
    /// Worth in time meanwhile, had they not been lost.
    pub without: Option<Figure>,
    /// Worth in time while they are gone.
    pub during: Option<Figure>,
    /// Worth in time while those that come back are cold.
    pub while_cold: Option<Figure>,
    /// Seconds after their return until all is as if nothing had been lost; none: not by the end of the load.
    pub back_after_s: Option<f64>,
}

/// What the answer rests on.
#[derive(Clone, Debug, Serialize)]
pub struct Quality {
    /// Seconds of load that are counted.
    pub seconds: f64,
    /// First tries.
    pub requests: usize,
    /// The part of recorded requests that were further tries of clients.
    pub tries_again: f64,
    /// The part of bytes that unusually large objects make up.
    pub large_part: f64,
    /// What the recording can't support.
    pub doubts: Vec<String>,
}

/// A plan.
#[derive(Clone, Debug, Serialize)]
pub struct Answer {
    /// The load asked about, in multiples of the recorded one.
    pub scale: f64,
    /// The part of worth to be served in time.
    pub goal: f64,
    /// First tries a second at that load.
    pub rate: f64,
    /// Worth in time.
    pub in_time: Option<Figure>,
    /// Worth served.
    pub served: Option<Figure>,
    /// Hits at boxes.
    pub hits: f64,
    /// Bytes filled for each byte served.
    pub filled: f64,
    /// Fetches of the library a second.
    pub library_per_s: f64,
    /// By office.
    pub offices: Vec<OfficeAnswer>,
    /// Worth in time by class; none where the recording has too little of it.
    pub classes: Vec<(String, Option<Figure>)>,
    /// What breaks, the first first.
    pub breaks: Vec<Break>,
    /// At several loads.
    pub multiples: Vec<Multiple>,
    /// Boxes for the goal.
    pub mix: Mix,
    /// Losses.
    pub losses: Vec<Loss>,
    /// Whether the fleet stays in a bad state once all hubs are cold; none: the recording is too short to say.
    pub cold_hubs: Option<bool>,
    /// What was fitted or assumed.
    pub fitted: Vec<String>,
    /// What it rests on.
    pub quality: Quality,
}

fn percent(f: Option<Figure>) -> String {
    match f {
        None => "not known".into(),
        Some(Figure { value, between: None }) => format!("{:.1}%", value * 100.0),
        Some(Figure { value, between: Some((low, high)) }) => {
            format!("{:.1}% ({:.1} to {:.1})", value * 100.0, low * 100.0, high * 100.0)
        }
    }
}

impl Answer {
    /// The plan as a page of text: the verdict first, then what it rests on.
    pub fn text(&self) -> String {
        let mut t = String::new();
        self.verdict(&mut t);
        let _fits = writeln!(t, "\nWhat breaks first, at so many times the recorded load:");
        for b in self.breaks.iter().take(8) {
            let at = b.breaks_at.map_or("beyond 4".to_string(), |m| format!("{m:.2}"));
            let used = b.used.map_or(String::new(), |u| format!("{:.0}% used now", u.value * 100.0));
            let _fits = writeln!(t, "  {at:>8}  {:<26} {used:<14} {}", b.resource, b.notice);
        }
        let _fits = writeln!(t, "\nAt other loads:");
        for m in &self.multiples {
            let away = if m.runs_away { "  clients' further tries run away" } else { "" };
            let _fits = writeln!(
                t,
                "  {:>5.2}  in time {:<26} hits {:.0}%, {:.2} further tries each{away}",
                m.load,
                percent(m.in_time),
                m.hits * 100.0,
                m.tries_again
            );
        }
        self.boxes(&mut t);
        self.lost(&mut t);
        let _fits = writeln!(t, "\nBy office and class:");
        for o in &self.offices {
            let (boxes, local) = (o.boxes, o.local_part * 100.0);
            let _fits = writeln!(
                t,
                "  {:<16} {boxes} boxes, in time {}; {local:.0}% of bytes its own",
                o.name,
                percent(o.in_time)
            );
        }
        for (name, figure) in &self.classes {
            let _fits = writeln!(t, "  {name:<16} in time {}", percent(*figure));
        }
        let _fits = writeln!(t, "\nWhat this rests on:");
        let q = &self.quality;
        let _fits = writeln!(
            t,
            "  {:.0} s counted, {} first tries, {:.1}% of what was recorded were further tries; intervals hold nine times \
             in ten as far as the recording's own spread tells",
            q.seconds,
            q.requests,
            q.tries_again * 100.0
        );
        for line in self.fitted.iter().chain(&q.doubts) {
            let _fits = writeln!(t, "  {line}");
        }
        t
    }

    fn verdict(&self, t: &mut String) {
        let _fits = writeln!(
            t,
            "At {:.2} times the recorded load, {:.0} requests a second, {} of worth is served in time; the goal is {:.1}%.",
            self.scale,
            self.rate,
            percent(self.in_time),
            self.goal * 100.0
        );
        if let Some(b) = self.breaks.first() {
            let _fits = match b.breaks_at {
                Some(m) => writeln!(
                    t,
                    "First to break: {}, at {m:.2} times the recorded load: {}.",
                    b.resource, b.notice
                ),
                None => {
                    writeln!(t, "Nothing breaks below 4 times this load; the most used is {}.", b.resource)
                }
            };
        }
        if let Some(m) = self.multiples.iter().find(|m| m.runs_away) {
            let _fits = writeln!(
                t,
                "From {:.2} times on the clients' further tries run away: load has to be shed.",
                m.load
            );
        }
        if self.cold_hubs == Some(true) {
            let _fits = writeln!(
                t,
                "With all hubs cold this load stays in a bad state: shed load until they are warm."
            );
        }
    }

    fn boxes(&self, t: &mut String) {
        let m = &self.mix;
        let _fits = writeln!(t, "\nBoxes for {:.1}%:", self.goal * 100.0);
        let _fits = writeln!(t, "  the {} there are reach {}", m.present, percent(m.present_reaches));
        let _fits = match &m.boxes {
            Some(boxes) => {
                let all: Vec<String> = boxes.iter().map(|(o, n)| format!("{o} {n}")).collect();
                let total: usize = boxes.iter().map(|b| b.1).sum();
                writeln!(
                    t,
                    "  the cheapest mix is {total}: {}; it reaches {}",
                    all.join(", "),
                    percent(m.reaches)
                )
            }
            None => writeln!(t, "  no number of boxes reaches it; the best is {}", percent(m.reaches)),
        };
        for (office, n) in &m.each {
            let _fits = match n {
                Some(n) => writeln!(t, "  {office} alone needs {n}"),
                None => writeln!(t, "  {office}: boxes don't help, something else is short"),
            };
        }
    }

    fn lost(&self, t: &mut String) {
        if self.losses.is_empty() {
            return;
        }
        let _fits =
            writeln!(t, "\nLosses (worth in time without, during, while its successor is cold; back after):");
        for l in &self.losses {
            let back = l.back_after_s.map_or("not by the end".to_string(), |s| format!("{s:.0} s"));
            let value = |f: Option<Figure>| f.map_or("?".to_string(), |f| format!("{:.1}%", f.value * 100.0));
            let _fits = writeln!(
                t,
                "  {:<26} {:>7} {:>7} {:>7}   {back}",
                l.servers.join(" and "),
                value(l.without),
                value(l.during),
                value(l.while_cold)
            );
        }
    }

    /// Worth in time against load, with the goal and the intervals, as SVG.
    ///
    /// # Errors
    /// It can't be drawn.
    pub fn plot(&self) -> Result<String, Box<dyn std::error::Error>> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, (900, 420)).into_drawing_area();
            area.fill(&WHITE)?;
            let last = self.multiples.last().map_or(1.0, |m| m.load);
            let mut chart = ChartBuilder::on(&area)
                .caption("worth served in time", ("sans-serif", 20))
                .margin(10)
                .x_label_area_size(36)
                .y_label_area_size(50)
                .build_cartesian_2d(0.0..last * 1.05, 0.0..1.02)?;
            chart.configure_mesh().x_desc("times the recorded load").draw()?;
            let point = |m: &Multiple| m.in_time.map(|f| (m.load, f));
            let points: Vec<(f64, Figure)> = self.multiples.iter().filter_map(point).collect();
            chart.draw_series(LineSeries::new([(0.0, self.goal), (last * 1.05, self.goal)], &RED))?;
            chart.draw_series(LineSeries::new(points.iter().map(|(m, f)| (*m, f.value)), &BLUE))?;
            for (m, f) in &points {
                if let Some((low, high)) = f.between {
                    chart.draw_series(LineSeries::new([(*m, low), (*m, high)], &BLUE))?;
                }
            }
            area.present()?;
        }
        Ok(svg)
    }
}
