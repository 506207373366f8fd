//! What a fleet's view comes to, by size and loss: how soon a crash, a join and a heal are known, who is falsely lost,
//! and what it costs. All in virtual time; only the cost is the machine's.

use crate::cluster::{LinkFault, RouterCluster};
use crate::{Time, SEC};
use hollymux_cluster::membership::MemberState;
use rayon::prelude::*;
use serde::Serialize;
use std::time::Instant;

/// The crashes that are played, one after another; the worst counts.
const CRASHES: usize = 3;
/// Nothing takes longer, or it is told as not known.
const MOST: Time = 120 * SEC;
/// Calm time in which traffic and cost are counted.
const CALM: Time = 60 * SEC;
/// A cut in halves lasts this long.
const CUT: Time = 30 * SEC;

/// When something was known by half of the routers, by 99 in 100, and by all, in seconds; none: not in 120 s.
pub type Known = [Option<f64>; 3];

/// One row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Routers.
    pub routers: usize,
    /// Loss on every link.
    pub loss: f64,
    /// All started at once hold one view, in seconds.
    pub joined_s: Option<f64>,
    /// A crash is known to be one (the worst of three).
    pub crash: Known,
    /// A router that starts is known.
    pub join: Known,
    /// After a cut in halves all are known to all.
    pub heal: Known,
    /// All hold one view after that, in seconds.
    pub healed_s: Option<f64>,
    /// Routers falsely called lost, by how many others, in this many minutes.
    pub falsely_lost: (usize, f64),
    /// Datagrams and bytes a router a second while nothing happens.
    pub datagrams_s: f64,
    /// See `datagrams_s`.
    pub bytes_s: f64,
    /// Bytes a router in the second of the heal that had the most.
    pub bytes_s_most: f64,
    /// Memory that a router's view takes, in KB.
    pub memory_kb: f64,
    /// Processor time a router a second, in microseconds, with that of the laboratory.
    pub cpu_us_s: f64,
}

/// Plays every size at every loss, side by side on all cores, and gives the rows in that order.
pub fn table(routers: &[usize], loss: &[f64], seed: u64, minutes: f64) -> Vec<Row> {
    let cases: Vec<(usize, f64)> = routers.iter().flat_map(|n| loss.iter().map(|l| (*n, *l))).collect();
    cases.into_par_iter().map(|(n, l)| row(n, l, seed, minutes)).collect()
}

fn seconds(t: Option<Time>) -> Option<f64> {
    t.map(|t| t as f64 / 1e6)
}

/// How long until half, 99 in 100 and all of the routers say so.
fn known(f: &mut RouterCluster, part: impl Fn(&RouterCluster) -> f64) -> Known {
    let from = f.now;
    [0.5, 0.99, 1.0].map(|share| {
        let left = (from + MOST).saturating_sub(f.now);
        f.until(left, |f| part(f) >= share)?;
        Some((f.now - from) as f64 / 1e6)
    })
}

fn worst(a: Known, b: Known) -> Known {
    [0, 1, 2].map(|i| Some(a[i]?.max(b[i]?)))
}

fn row(n: usize, loss: f64, seed: u64, minutes: f64) -> Row {
    let mut f = RouterCluster::new(n, seed);
    f.every = LinkFault { loss, ..LinkFault::default() };
    let all: Vec<usize> = (0..n).collect();
    all.iter().for_each(|r| f.start(*r));
    let joined_s = seconds(f.until(MOST, |f| f.same(&all)));
    f.run(30 * SEC);
    let (since, sent, clock) = (f.now, f.sent, Instant::now());
    f.run(CALM);
    let per = 1.0 / n as f64 / (CALM as f64 / 1e6);
    let cpu_us_s = clock.elapsed().as_micros() as f64 * per;
    let (datagrams_s, bytes_s) = ((f.sent.0 - sent.0) as f64 * per, (f.sent.1 - sent.1) as f64 * per);
    // What was told is counted minute by minute and then forgotten: it would outgrow the fleet itself.
    let (until, mut lost) = (f.now + (minutes * 60e6) as Time, 0);
    loop {
        lost += f.called_lost(since);
        f.told.clear();
        if f.now >= until {
            break;
        }
        f.run((until - f.now).min(60 * SEC));
    }
    let falsely_lost = (lost, (f.now - since) as f64 / 60e6);
    let memory_kb =
        all.iter().filter_map(|r| Some(f.view(*r)?.memory_bytes() as f64)).sum::<f64>() / n as f64 / 1e3;
    let mut crash = [Some(0.0); 3];
    let mut join = crash;
    for i in 0..CRASHES {
        let who = n - 1 - i * n / 7 % n;
        let rest: Vec<usize> = all.iter().copied().filter(|r| *r != who).collect();
        f.kill(who);
        crash = worst(crash, known(&mut f, |f| f.say(&rest, who, MemberState::Failed)));
        f.start(who);
        join = worst(join, known(&mut f, |f| f.say(&rest, who, MemberState::Alive)));
        f.run(10 * SEC);
        f.told.clear();
    }
    let (a, b) = all.split_at(n / 2);
    f.part(a, b);
    f.run(CUT);
    f.heal();
    let (from, mut sent, mut bytes_s_most) = (f.now, f.sent.1, 0.0f64);
    let one = *b.first().unwrap_or(&0);
    let heal = known(&mut f, |f| f.say(a, one, MemberState::Alive).min(f.say(b, 0, MemberState::Alive)));
    let mut healed_s = None;
    while healed_s.is_none() && f.now < from + MOST {
        healed_s = f.until(SEC, |f| f.same(&all)).map(|_| (f.now - from) as f64 / 1e6);
        bytes_s_most = bytes_s_most.max((f.sent.1 - sent) as f64 / n as f64);
        sent = f.sent.1;
    }
    Row {
        routers: n,
        loss,
        joined_s,
        crash,
        join,
        heal,
        healed_s,
        falsely_lost,
        datagrams_s,
        bytes_s,
        bytes_s_most,
        memory_kb,
        cpu_us_s,
    }
}

/// The rows as a table in Markdown.
pub fn text(rows: &[Row]) -> String {
    let one = |s: Option<f64>| s.map_or("-".to_string(), |s| format!("{s:.1}"));
    let three = |k: Known| k.map(one).join(" / ");
    let mut text = String::from(
        "| routers | loss | all joined, s | crash known, s | start known, s | heal known, s | healed, s | falsely lost | datagrams/s | bytes/s | at most | KB | CPU us/s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for r in rows {
        text += &format!(
            "| {} | {:.0}% | {} | {} | {} | {} | {} | {} in {:.0} min | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} |\n",
            r.routers,
            r.loss * 100.0,
            one(r.joined_s),
            three(r.crash),
            three(r.join),
            three(r.heal),
            one(r.healed_s),
            r.falsely_lost.0,
            r.falsely_lost.1,
            r.datagrams_s,
            r.bytes_s,
            r.bytes_s_most,
            r.memory_kb,
            r.cpu_us_s
        );
    }
    text
}
