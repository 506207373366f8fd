//! What an operator can't write down is fitted from the recording: how long answers take to begin, and what boxes
//! keep. Answers don't say whether they were hits; a hit shows by how little it took beside its own sending.

use crate::net::Net;
use crate::place::{order, seed};
use crate::replay::{replay, Losses, Way};
use crate::reuse::{curve, Use};
use crate::trace::{Purged, Trace};

/// Answers below which a delay keeps its default.
const LEAST: usize = 30;
/// Of the times of one way this quantile is taken: what is above it waited for others as well.
const QUIET: f64 = 0.35;
/// An answer that took this part of its own sending time more than the quickest was no plain hit.
const SLOWED: f64 = 0.25;
/// Parts followed for the curve where there are more requests than this.
const SAMPLED: usize = 200_000;
/// A share of hits this close to the most possible says that the box keeps all that it is asked for.
const CLOSE: f64 = 0.02;

fn quantile(values: &mut [f64], q: f64) -> Option<f64> {
    if values.len() < LEAST {
        return None;
    }
    let at = ((values.len() - 1) as f64 * q) as usize;
    Some(*values.select_nth_unstable_by(at, f64::total_cmp).1)
}

/// How long an answer took beside its own sending, in microseconds.
fn beside(t: &Trace, i: usize) -> Option<f64> {
    let a = &t.asks[i];
    (a.took > 0).then(|| f64::from(a.took) - t.sending(a.key) * 1e6)
}

/// Fits what is not given; says in words what was fitted.
pub fn fit(t: &Trace, net: &mut Net, seed: u64) {
    let reads = |i: &usize| !t.classes[usize::from(t.keys[t.asks[*i].key as usize].class)].write;
    let mut all: Vec<f64> = (0..t.asks.len()).filter(reads).filter_map(|i| beside(t, i)).collect();
    if let Some(quick) = quantile(&mut all, 0.05) {
        net.delays.hit_us = quick.max(0.0);
    }
    keep(t, net);
    let ways = replay(t, net, &Losses::default(), 0, seed, true).ways;
    let of = |way: Way| {
        let mut took: Vec<f64> =
            (0..t.asks.len()).filter(|i| ways[*i] == way).filter_map(|i| beside(t, i)).collect();
        quantile(&mut took, QUIET)
    };
    let hit = of(Way::Hit);
    if let Some(hit) = hit {
        net.delays.hit_us = hit.max(0.0);
    }
    let base = net.delays.hit_us;
    match of(Way::Hub) {
        Some(hub) => net.delays.hub_us = (hub - base).max(0.0),
        None => net.fitted.push("fills from a hub: too few to time, the way is assumed".into()),
    }
    match of(Way::Library) {
        Some(library) => net.delays.library_us = (library - base - net.delays.hub_us).max(0.0),
        None => net.fitted.push("fills from the library: too few to time, the way is assumed".into()),
    }
    let filings = (0..t.asks.len()).filter(|i| ways[*i] == Way::Filing && t.asks[*i].took > 0);
    let mut filings: Vec<f64> = filings.map(|i| f64::from(t.asks[i].took)).collect();
    if let Some(filing) = quantile(&mut filings, 0.5) {
        net.delays.filing_us = filing.max(0.0);
    }
    if net.service_us <= 0.0 && net.library.0.is_some() {
        net.service_us = net.delays.filing_us;
        net.fitted.push(format!("the library's work: {:.0} ms, as filings take", net.service_us / 1e3));
    }
    let d = net.delays;
    net.fitted.push(format!(
        "answers begin after {:.0} ms from a box, {:.0} ms more from a hub, {:.0} ms more from the library; filings take {:.0} ms",
        d.hit_us / 1e3, d.hub_us / 1e3, d.library_us / 1e3, d.filing_us / 1e3
    ));
}

/// What the boxes of each office keep, where it is not given: the size at which the reuse distances of its own load
/// give as many hits as its answers show.
fn keep(t: &Trace, net: &mut Net) {
    for office in 0..t.offices.len() {
        if net.offices[office].boxes.iter().all(|b| b.keep.is_finite()) {
            continue;
        }
        let bound = net.delays.hit_us + net.delays.hub_us / 2.0;
        let (mut quick, mut timed) = (0.0, 0.0);
        let servers: Vec<(u64, f64)> = net.offices[office].boxes.iter().map(|b| (b.id, b.flows)).collect();
        let mut uses: Vec<Vec<Use>> = vec![Vec::new(); servers.len()];
        let mut purged = Purged::default();
        for (i, a) in t.asks.iter().enumerate() {
            purged.turn(&t.purges, a.at);
            let k = &t.keys[a.key as usize];
            let class = &t.classes[usize::from(k.class)];
            if usize::from(a.office) != office || class.write {
                continue;
            }
            if let Some(beside) = beside(t, i) {
                timed += 1.0;
                quick += f64::from(u8::from(beside <= bound + SLOWED * t.sending(a.key) * 1e6));
            }
            let since = purged.since(a.at, k, class);
            let home = usize::from(order(&servers, seed(k.object, k.part))[0]);
            uses[home].push(Use { at: a.at, key: a.key, bytes: f64::from(k.bytes), since });
        }
        if timed < LEAST as f64 {
            net.fitted.push(format!(
                "{}: too few answers to fit what its boxes keep: all",
                net.offices[office].name
            ));
            continue;
        }
        let hits = quick / timed;
        let sample = if t.asks.len() > SAMPLED { 0.1 } else { 1.0 };
        let curves: Vec<_> =
            uses.into_iter().map(|u| (u.len() as f64, curve(u.into_iter(), sample))).collect();
        let total: f64 = curves.iter().map(|c| c.0).sum();
        let share = |size: f64| curves.iter().map(|(n, c)| n * c.hits(size)).sum::<f64>() / total.max(1.0);
        let most = curves.iter().map(|(n, c)| n * c.most()).sum::<f64>() / total.max(1.0);
        let name = net.offices[office].name.clone();
        if hits + CLOSE >= most {
            let held = curves.iter().filter_map(|(_, c)| c.size_for(c.most())).fold(0.0, f64::max);
            net.fitted.push(format!(
                "{name}: its boxes keep all that they are asked for, {held:.0} bytes at least"
            ));
            continue;
        }
        let (mut low, mut high) =
            (0.0f64, curves.iter().filter_map(|(_, c)| c.size_for(c.most())).fold(1.0, f64::max));
        for _ in 0..40 {
            let mid = (low + high) / 2.0;
            if share(mid) < hits {
                low = mid
            } else {
                high = mid
            }
        }
        net.offices[office].boxes.iter_mut().for_each(|b| b.keep = high);
        net.fitted.push(format!(
            "{name}: each box keeps {high:.0} bytes, as {:.0}% of its answers were hits",
            hits * 100.0
        ));
    }
}
