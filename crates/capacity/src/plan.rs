//! The questions: what breaks first, how many boxes a goal needs, what losses do, and where the load runs away.

use crate::answer::{Answer, Break, Loss, Mix, Multiple, OfficeAnswer, Quality};
use crate::fit::fit;
use crate::fleet::Fleet;
use crate::net::Net;
use crate::replay::{replay, Losses, Replay, Resource, Server, Sum};
use crate::sure::{self, Figure};
use crate::trace::Trace;
use crate::PlanError;
use rayon::prelude::*;

/// Loads at which the fleet is replayed, in multiples of the load that is asked about.
const MULTIPLES: [f64; 6] = [1.0, 1.25, 1.5, 2.0, 2.5, 3.0];
/// First tries of a replay, and of one of many. A longer recording is judged by its busiest stretch.
const MOST: usize = 200_000;
const MOST_OF_MANY: usize = 40_000;
/// A resource breaks when this part of it is used on average over its busiest stretch...
const BROKEN: f64 = 0.95;
/// ...of so many seconds.
const STRETCH: usize = 20;
/// Breaking loads within this of each other are alike.
const ALIKE: f64 = 1.1;
/// Beyond this multiple of the recorded load nothing is said.
const FAR: f64 = 4.0;
/// Recordings shorter than this say little; below the second bound losses are not judged.
const SHORT_S: f64 = 120.0;
const LOSSES_S: f64 = 30.0;
/// Requests of a class below which nothing is said of it.
const CLASS_LEAST: f64 = 30.0;
/// Boxes beyond so many times those there are help nobody.
const BOXES_MOST: usize = 3;
/// A server is lost for this long at most.
const LOST_S: u64 = 20;
/// It is back when the worth in time of this many seconds is within this of what it would have been.
const BACK: (usize, f64) = (5, 0.03);
/// Each box's loss is judged up to this many boxes; above, each office's largest.
const BOXES_EACH: usize = 20;

/// First tries over all draws of one load; a short recording is drawn several times, up to so many.
const DRAWN: usize = 100_000;
const DRAWS_MOST: usize = 6;

/// One load, drawn and replayed several times where the recording is short: what is added to it is chance.
struct Drawn {
    /// In multiples of the recorded one.
    load: f64,
    runs: Vec<(Trace, Replay)>,
    from: usize,
}

impl Drawn {
    fn first(&self) -> &(Trace, Replay) {
        &self.runs[0]
    }

    fn seconds(&self) -> Vec<Sum> {
        self.runs.iter().flat_map(|(_, r)| r.each(self.from, r.seconds.len())).collect()
    }

    fn office(&self, office: usize) -> Vec<Sum> {
        self.runs.iter().flat_map(|(_, r)| r.seconds.iter().skip(self.from).map(move |s| s[office])).collect()
    }

    fn class(&self, class: usize) -> Sum {
        let mut sum = Sum::default();
        self.runs.iter().for_each(|(_, r)| sum.add(&r.classes[class]));
        sum
    }

    /// Use of a resource by second, one run after the other.
    fn used(&self, resource: usize) -> Vec<f64> {
        let of = |r: &Replay| r.used[resource].1.iter().skip(self.from).copied().collect::<Vec<f64>>();
        self.runs.iter().flat_map(|(_, r)| of(r)).collect()
    }

    /// The most that is used of a resource over a stretch, on average of the runs.
    fn busiest(&self, resource: usize) -> f64 {
        self.mean(|r| busiest(&r.used[resource].1[self.from.min(r.used[resource].1.len())..]))
    }

    fn mean(&self, of: impl Fn(&Replay) -> f64) -> f64 {
        self.runs.iter().map(|(_, r)| of(r)).sum::<f64>() / self.runs.len() as f64
    }

    fn runs_away(&self) -> bool {
        2 * self.runs.iter().filter(|(_, r)| r.runs_away()).count() > self.runs.len()
    }
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct Question {
    /// The part of worth to be served in time.
    pub goal: f64,
    /// The load, in multiples of the recorded one.
    pub scale: f64,
    /// Losses beside those of single servers: servers by name, lost together.
    pub lose: Vec<Vec<String>>,
    /// The first seconds of the recording fill the caches and are not counted; none: a quarter of it.
    pub warm_s: Option<f64>,
    /// Unusually large objects are left out.
    pub without_large: bool,
    /// All caches are empty when the load begins, as after a loss of everything.
    pub empty: bool,
    /// For random numbers.
    pub seed: u64,
}

impl Default for Question {
    fn default() -> Self {
        Question {
            goal: 0.95,
            scale: 1.0,
            lose: Vec::new(),
            warm_s: None,
            without_large: false,
            empty: false,
            seed: 1,
        }
    }
}

fn server(net: &Net, name: &str) -> Result<Server, PlanError> {
    let hub = net.hubs.iter().position(|h| h.name == name).map(Server::Hub);
    let boxes = || {
        let mut all = net.offices.iter().enumerate();
        all.find_map(|(o, office)| Some(Server::Box(o, office.boxes.iter().position(|b| b.name == name)?)))
    };
    hub.or_else(boxes)
        .ok_or_else(|| PlanError::Question(format!("{name} is no hub and no box (OFFICE-N) of this fleet")))
}

fn name(net: &Net, server: Server) -> String {
    match server {
        Server::Box(o, b) => net.offices[o].boxes[b].name.clone(),
        Server::Hub(h) => net.hubs[h].name.clone(),
    }
}

/// Answers a question.
///
/// # Errors
/// The question can't be asked, or recording and fleet don't fit together.
pub fn plan(recorded: &Trace, fleet: &Fleet, q: &Question) -> Result<Answer, PlanError> {
    if !(q.goal > 0.0 && q.goal < 1.0) {
        return Err(PlanError::Question("a goal lies above 0% and below 100%".into()));
    }
    if !(0.05..=20.0).contains(&q.scale) {
        return Err(PlanError::Question("a scale lies between 0.05 and 20".into()));
    }
    let whole = if q.without_large { recorded.without_large() } else { recorded.clone() };
    if whole.asks.is_empty() {
        return Err(PlanError::Empty);
    }
    let (t, slice_warm) = whole.busiest(MOST);
    let warm = match q.warm_s {
        Some(s) if !(s >= 0.0 && s * 1e6 < t.span as f64) => {
            return Err(PlanError::Question(format!(
                "the warm-up must end within the {:.0} s recorded",
                t.span as f64 / 1e6
            )));
        }
        Some(s) => slice_warm.max((s * 1e6) as u64),
        None => slice_warm.max(t.span / 4),
    };
    let mut net = Net::new(fleet, &t)?;
    fit(&t, &mut net, q.seed);
    let losses = q.lose.iter().map(|all| all.iter().map(|n| server(&net, n)).collect::<Result<Vec<_>, _>>());
    let asked: Vec<Vec<Server>> = losses.collect::<Result<_, _>>()?;

    let none = Losses { empty: q.empty, ..Losses::default() };
    let from = (warm / 1_000_000) as usize;
    let draws = (DRAWN / t.asks.len().max(1)).clamp(1, DRAWS_MOST) as u64;
    let drawn = |m: &f64| {
        // A load as it was recorded has nothing to draw.
        let draws = if (m * q.scale - 1.0).abs() < 1e-9 { 1 } else { draws };
        let one = |n: u64| {
            let load = t.scaled(m * q.scale, q.seed + n);
            let run = replay(&load, &net, &none, warm, q.seed + n, false);
            (load, run)
        };
        Drawn { load: m * q.scale, runs: (0..draws).into_par_iter().map(one).collect(), from }
    };
    let runs: Vec<Drawn> = MULTIPLES.par_iter().map(drawn).collect();
    let now = &runs[0];
    let (small, small_warm) = many(&now.first().0, warm);
    let mix = mix(&small, small_warm, &net, q);
    let quality = quality(&t, recorded, now, q, warm);
    let span_s = small.span as f64 / 1e6;
    let long_enough = span_s - small_warm as f64 / 1e6 >= LOSSES_S;
    let lost = if long_enough { lost(&small, small_warm, &net, &asked, q) } else { Vec::new() };
    let cold = if long_enough { falls(&small, small_warm, &net, q) } else { None };
    let offices = net.offices.iter().enumerate().map(|(o, office)| OfficeAnswer {
        name: office.name.clone(),
        boxes: office.boxes.len(),
        in_time: sure::in_time(&now.office(o), q.seed),
        local_part: if o < t.offices.len() { t.local_part(o) } else { 0.0 },
    });
    let classes = t.classes.iter().enumerate().map(|(i, c)| {
        let s = now.class(i);
        let enough = s.tries >= CLASS_LEAST;
        (c.name.clone(), enough.then(|| s.in_time()).and_then(Figure::bare))
    });
    let multiples = runs.iter().map(|d| Multiple {
        load: d.load,
        in_time: sure::in_time(&d.seconds(), q.seed),
        served: sure::served(&d.seconds(), q.seed),
        hits: d.mean(Replay::hit_ratio),
        tries_again: d.mean(|r| ratio(r.all().again, r.all().tries)),
        runs_away: d.runs_away(),
    });
    Ok(Answer {
        scale: q.scale,
        goal: q.goal,
        rate: now.first().0.rate(),
        in_time: sure::in_time(&now.seconds(), q.seed),
        served: sure::served(&now.seconds(), q.seed),
        hits: now.mean(Replay::hit_ratio),
        filled: now.mean(Replay::filled),
        library_per_s: now.mean(|r| r.fetched) / (t.span as f64 / 1e6),
        offices: offices.collect(),
        classes: classes.collect(),
        breaks: breaks(&runs, fleet, q),
        multiples: multiples.collect(),
        mix,
        losses: lost,
        cold_hubs: cold,
        fitted: net.fitted.clone(),
        quality,
    })
}

fn ratio(a: f64, b: f64) -> f64 {
    if b > 0.0 {
        a / b
    } else {
        0.0
    }
}

/// A shorter load for what is replayed many times over, with its warm-up.
fn many(t: &Trace, warm: u64) -> (Trace, u64) {
    let (small, its) = t.busiest(MOST_OF_MANY);
    if small.asks.len() == t.asks.len() {
        (small, warm)
    } else {
        (small, its)
    }
}

/// The most that is used of something on average over a stretch of seconds.
fn busiest(used: &[f64]) -> f64 {
    let long = STRETCH.min(used.len()).max(1);
    let mut sum: f64 = used.iter().take(long).sum();
    let mut most = sum;
    for i in long..used.len() {
        sum += used[i] - used[i - long];
        most = most.max(sum);
    }
    most / long as f64
}

/// Each resource with the load at which it breaks, the first to break first.
fn breaks(runs: &[Drawn], fleet: &Fleet, q: &Question) -> Vec<Break> {
    let Some(drawn) = runs.first() else { return Vec::new() };
    let (scale, (load, now)) = (drawn.load, drawn.first());
    let mut all = Vec::new();
    for (i, (resource, _)) in now.used.iter().enumerate() {
        let points: Vec<(f64, f64)> = runs.iter().map(|d| (d.load, d.busiest(i))).collect();
        all.push(one(resource.clone(), sure::mean(&drawn.used(i), q.seed), &points));
    }
    // Routers: what each needs by what it is asked.
    let routers = load.routers.max(1) as f64;
    let by_router = load.rate() / routers;
    let r = &fleet.routers;
    let core = by_router * r.cpu_ms / 1e3;
    // A request holds its client's connection and one to a box; buffers hold its answer.
    let sockets = (2.0 * now.most_open as f64 + ROUTER_SOCKETS) / r.sockets;
    let memory = (now.most_held / 1e6 + ROUTER_MB) / r.memory_mb;
    for (what, used) in [("core", core), ("sockets", sockets), ("memory", memory)] {
        let at = (used > 0.0).then(|| scale / used).filter(|m| *m <= FAR * scale);
        let notice = match what {
            "core" => "answers of every class begin later and later",
            "sockets" => "clients wait to be connected",
            _ => "requests are refused while others are served",
        };
        let resource = format!("a router's {what}");
        all.push(Break { resource, used: Figure::bare(used), breaks_at: at, notice: notice.into() });
    }
    let at = |b: &Break| b.breaks_at.unwrap_or(f64::INFINITY);
    let first = all.iter().map(at).fold(f64::INFINITY, f64::min);
    // Loads this close to each other can't be told apart: of those that break first, what is used most does.
    let order = |b: &Break| {
        let (close, used) = (at(b) <= first * ALIKE, -b.used.map_or(0.0, |u| u.value));
        (if close { 0.0 } else { at(b) }, used)
    };
    all.sort_by(|a, b| {
        let ((a1, a2), (b1, b2)) = (order(a), order(b));
        a1.total_cmp(&b1).then(a2.total_cmp(&b2)).then(a.resource.cmp(&b.resource))
    });
    all
}

/// Descriptors and megabytes that a router needs with nothing open.
const ROUTER_SOCKETS: f64 = 24.0;
const ROUTER_MB: f64 = 5.0;

fn one(resource: Resource, used: Option<Figure>, points: &[(f64, f64)]) -> Break {
    let (name, notice) = words(&resource);
    // Between two loads by a straight line; before the first in proportion.
    let mut breaks_at = None;
    let mut last = (0.0, 0.0);
    for &(m, u) in points {
        if u >= BROKEN {
            let part = if u > last.1 { (BROKEN - last.1) / (u - last.1) } else { 1.0 };
            breaks_at = Some(last.0 + (m - last.0) * part.clamp(0.0, 1.0));
            break;
        }
        last = (m, u);
    }
    if breaks_at.is_none() {
        // Beyond the last load in proportion to it, as far as anything is said.
        let far = (last.1 > 0.0).then(|| last.0 * BROKEN / last.1);
        breaks_at = far.filter(|m| *m <= FAR * points.first().map_or(1.0, |p| p.0));
    }
    Break { resource: name, used, breaks_at, notice: notice.into() }
}

/// A resource's name, and what a user notices when it breaks.
fn words(r: &Resource) -> (String, &'static str) {
    match r {
        Resource::BoxLink(b) => {
            (format!("{b} link out"), "videos at this office come late; some are refused")
        }
        Resource::BoxCores(b) => (format!("{b} cores"), "all that this box serves begins late"),
        Resource::BoxFills(b) => {
            (format!("{b} fill places"), "what was not asked for lately is turned away here")
        }
        Resource::LinkIn(o) => {
            (format!("{o} link in"), "what this office has not asked for lately comes late")
        }
        Resource::HubLink(h) => (format!("{h} link out"), "new and rare objects come late at every office"),
        Resource::HubFetches(h) => {
            (format!("{h} fetch places"), "new objects are turned away at every office")
        }
        Resource::LibraryCalls => {
            ("library calls".into(), "new objects are turned away, filings are refused")
        }
        Resource::LibraryLink => ("library link out".into(), "new objects come late at every office"),
        Resource::LibraryWorkers => ("library workers".into(), "new objects and filings come late"),
    }
}

/// How many boxes each office needs, and the cheapest mix for all.
fn mix(t: &Trace, warm: u64, net: &Net, q: &Question) -> Mix {
    let none = Losses { empty: q.empty, ..Losses::default() };
    let run = |net: &Net| replay(t, net, &none, warm, q.seed, false);
    let present = run(net);
    let each: Vec<Option<usize>> = (0..net.offices.len())
        .into_par_iter()
        .map(|o| {
            let there = net.offices[o].boxes.len();
            let good = |n: usize| run(&net.with_boxes(o, n)).office(o).in_time() >= q.goal;
            // The most that could be tried, then halves.
            let (mut low, mut high) = (1, (there * BOXES_MOST).max(there + 2));
            if !good(high) {
                return None;
            }
            while low < high {
                let mid = (low + high) / 2;
                if good(mid) {
                    high = mid
                } else {
                    low = mid + 1
                }
            }
            Some(high)
        })
        .collect();
    let from = (warm / 1_000_000) as usize;
    let counted = |r: &Replay| r.each(from, r.seconds.len());
    // Offices that can't reach the goal keep what they have: more boxes would be for nothing.
    let counts: Vec<usize> = each.iter().zip(&net.offices).map(|(n, o)| n.unwrap_or(o.boxes.len())).collect();
    let build =
        |counts: &[usize]| counts.iter().enumerate().fold(net.clone(), |n, (o, c)| n.with_boxes(o, *c));
    let mut best = (counts.clone(), run(&build(&counts)));
    // The goal is for all together: an office may fall short where another makes up for it.
    loop {
        let fewer: Vec<(Vec<usize>, Replay)> = (0..counts.len())
            .into_par_iter()
            .filter(|o| best.0[*o] > 1)
            .map(|o| {
                let mut c = best.0.clone();
                c[o] -= 1;
                let r = run(&build(&c));
                (c, r)
            })
            .collect();
        let most = fewer.into_iter().max_by(|a, b| a.1.all().in_time().total_cmp(&b.1.all().in_time()));
        match most.filter(|m| m.1.all().in_time() >= q.goal && best.1.all().in_time() >= q.goal) {
            Some(m) => best = m,
            None => break,
        }
    }
    let reached = best.1.all().in_time() >= q.goal;
    let names = net.offices.iter().map(|o| o.name.clone());
    Mix {
        present: net.boxes(),
        present_reaches: sure::in_time(&counted(&present), q.seed),
        each: names.clone().zip(each).collect(),
        boxes: reached.then(|| names.zip(best.0.iter().copied()).collect()),
        reaches: sure::in_time(&counted(&best.1), q.seed),
    }
}

/// What losses do: each hub, each box or each office's largest, and what was asked for.
fn lost(t: &Trace, warm: u64, net: &Net, asked: &[Vec<Server>], q: &Question) -> Vec<Loss> {
    let each = net.boxes() <= BOXES_EACH;
    let mut sets: Vec<Vec<Server>> = asked.to_vec();
    sets.extend((0..net.hubs.len()).map(|h| vec![Server::Hub(h)]));
    for (o, office) in net.offices.iter().enumerate() {
        let largest = (0..office.boxes.len())
            .max_by(|a, b| office.boxes[*a].flows.total_cmp(&office.boxes[*b].flows).then(b.cmp(a)));
        match each {
            true => sets.extend((0..office.boxes.len()).map(|b| vec![Server::Box(o, b)])),
            false => sets.extend(largest.map(|b| vec![Server::Box(o, b)])),
        }
    }
    let rest = t.span - warm;
    let from = warm + rest / 4;
    let to = from + (rest / 4).min(LOST_S * 1_000_000);
    let none = Losses { empty: q.empty, ..Losses::default() };
    let base = replay(t, net, &none, warm, q.seed, false);
    sets.into_par_iter()
        .map(|servers| {
            let losses = Losses { servers: servers.clone(), from, to, ..none.clone() };
            let run = replay(t, net, &losses, warm, q.seed, false);
            let hub = servers.iter().any(|s| matches!(s, Server::Hub(_)));
            let cold = if hub { net.cold.hub_s } else { net.cold.box_s };
            let second = |us: u64| (us / 1_000_000) as usize;
            let (a, b) = (second(from), second(to));
            let c = (b + cold.ceil() as usize).min(run.seconds.len());
            let back = (b..run.seconds.len().saturating_sub(BACK.0))
                .find(|s| run.over(*s, s + BACK.0).in_time() >= base.over(*s, s + BACK.0).in_time() - BACK.1);
            Loss {
                servers: servers.iter().map(|s| name(net, *s)).collect(),
                lost_for_s: (to - from) as f64 / 1e6,
                without: sure::in_time(&base.each(a, b), q.seed),
                during: sure::in_time(&run.each(a, b), q.seed),
                while_cold: sure::in_time(&run.each(b, c), q.seed),
                back_after_s: back.map(|s| (s - b) as f64),
            }
        })
        .collect()
}

/// Two stable states: whether the load that a warm fleet carries is carried as well once all hubs are cold.
fn falls(t: &Trace, warm: u64, net: &Net, q: &Question) -> Option<bool> {
    let servers = (0..net.hubs.len()).map(Server::Hub).collect();
    let none = Losses { empty: q.empty, ..Losses::default() };
    let losses = Losses { servers, from: warm, to: warm + 1_000_000, ..none.clone() };
    let base = replay(t, net, &none, warm, q.seed, false);
    let run = replay(t, net, &losses, warm, q.seed, false);
    let n = base.seconds.len();
    let last = n.saturating_sub((n - (warm / 1_000_000) as usize) / 3);
    if last + 3 > n || (n - (warm / 1_000_000) as usize) < net.cold.hub_s as usize + 10 {
        return None;
    }
    Some(run.over(last, n).in_time() < base.over(last, n).in_time() - 0.1)
}

/// What the recording can't support.
fn quality(t: &Trace, recorded: &Trace, now: &Drawn, q: &Question, warm: u64) -> Quality {
    let mut doubts = Vec::new();
    let counted = (t.span - warm.min(t.span)) as f64 / 1e6;
    if counted < SHORT_S {
        doubts.push(format!(
            "only {counted:.0} s of load are counted: intervals are wide, bursts may be missing"
        ));
    }
    if counted < LOSSES_S {
        doubts.push(format!("losses are not judged on less than {LOSSES_S:.0} s"));
    }
    if t.asks.len() < recorded.asks.len() && !q.without_large {
        doubts.push(format!(
            "judged on the busiest {:.0} s of {:.0} s",
            t.span as f64 / 1e6,
            recorded.span as f64 / 1e6
        ));
    }
    for (c, s) in t.classes.iter().zip(&now.first().1.classes) {
        if s.tries < CLASS_LEAST {
            doubts.push(format!("{}: {:.0} requests are too few to say anything of it", c.name, s.tries));
        }
    }
    let most = now.first().1.used.iter().map(|u| busiest(&u.1)).fold(0.0, f64::max);
    if most < 0.3 {
        doubts.push(format!(
            "a calm recording: nothing was used above {:.0}%, so what breaks is far from what was seen",
            most * 100.0
        ));
    }
    let large = recorded.large_part();
    if large > 0.02 && !q.without_large {
        doubts.push(format!(
            "unusually large objects make up {:.0}% of bytes; --without-large leaves them out",
            large * 100.0
        ));
    }
    Quality {
        seconds: counted,
        requests: t.asks.len(),
        tries_again: recorded.again,
        large_part: large,
        doubts,
    }
}
