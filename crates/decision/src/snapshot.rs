//! What a module knows that another one at its place would have to learn anew: plain data, handed to the process that
//! replaces this one. What is open stays here and is no part of it.

use crate::interface::{EndpointId, EndpointState, Timestamp};
use crate::module::{DecisionModule, FLEET, TABLE};
use crate::state::{Endpoint, Learnt, PurgeHistory};
use crate::time::serde_micros;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bounds of what is taken over beside those of the module's own tables.
const LEDGER: usize = 10_000;
const LEVEL_MOST: u32 = 20;

/// What was learnt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionSnapshot {
    /// Of endpoints.
    pub endpoints: Vec<EndpointSnapshot>,
    /// Of classes, by number.
    pub classes: Vec<ClassSnapshot>,
    /// The levels of objects, and since when.
    pub levels: Vec<(u64, u32, Timestamp)>,
    /// Requests a second.
    pub rate: f64,
    /// What was asked for lately, in two spans, and when the later one began.
    pub seen: [Vec<u64>; 2],
    /// When the later span began.
    pub seen_since: Timestamp,
    /// Purges: whether of a group, of what, and when.
    pub purges: Vec<(bool, u64, Timestamp)>,
    /// Every object counts as purged then.
    pub floor: Timestamp,
    /// Further attempts that are saved up.
    pub retries: f64,
    /// Share of answers that are lost.
    pub lost: f64,
}

/// What is known of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// Its identity.
    pub id: u64,
    /// Since when it may be cold.
    pub cold_since: Option<Timestamp>,
    /// Evidence of failure, share of faults, share of what it owes as a parent.
    pub blame: [f64; 3],
    /// When it answered last.
    pub last_ok: Timestamp,
    /// How often it answers.
    pub answers: f64,
    /// Out until then.
    pub out: Option<Timestamp>,
    /// The next wait before a trial.
    #[serde(with = "serde_micros")]
    pub backoff: Duration,
    /// It was seen dead.
    pub died: bool,
    /// Part of the aim that its answers take.
    pub tardy: f64,
    /// Attempts in hand, smoothed, and when.
    pub load: (f64, Timestamp),
    /// Work asked of it lately: when, and seconds of sending.
    pub ledger: Vec<(Timestamp, f64)>,
}

/// What is known of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassSnapshot {
    /// Mean work, and from how many samples.
    pub work: (f64, f64),
    /// Mean sending time of the bytes.
    pub sent: Option<f64>,
    /// The high quantile of latency.
    pub slow: f64,
}

/// A number that can be gone on with.
fn number(v: f64, most: f64) -> f64 {
    if v.is_finite() {
        v.clamp(0.0, most)
    } else {
        0.0
    }
}

impl DecisionModule {
    /// What another module could go on with.
    pub fn snapshot(&self) -> DecisionSnapshot {
        let endpoints = self.fleet.endpoints.iter().filter(|(_, h)| h.entry.state != EndpointState::Gone);
        let endpoint = |(id, h): (&EndpointId, &Endpoint)| EndpointSnapshot {
            id: id.0,
            cold_since: h.cold_since,
            blame: [h.strikes, h.faults, h.owing],
            last_ok: h.last_ok,
            answers: h.answers,
            out: h.out,
            backoff: h.backoff,
            died: h.died,
            tardy: h.tardy,
            load: (h.load, h.load_at),
            ledger: h.ledger.iter().map(|l| (l.0, l.2)).collect(),
        };
        let class = |l: &Learnt| ClassSnapshot { work: (l.work, l.samples), sent: l.sent, slow: l.slow };
        let (purges, floor) = self.purges.list();
        DecisionSnapshot {
            endpoints: endpoints.map(endpoint).collect(),
            classes: self.learnt.iter().map(class).collect(),
            levels: self.counts.levels.iter().map(|(k, (l, t))| (*k, *l, *t)).collect(),
            rate: self.counts.rate,
            seen: self.counts.seen.each_ref().map(|s| s.iter().copied().collect()),
            seen_since: self.counts.seen_since,
            purges,
            floor,
            retries: self.retries,
            lost: self.lost,
        }
    }

    /// Goes on with what another one knew, after the list of endpoints was told. Classes are this module's own, by number;
    /// what is no number or lies in the future is not taken.
    pub fn restore(&mut self, now: Timestamp, m: &DecisionSnapshot) {
        for known in m.endpoints.iter().take(FLEET) {
            let Some(h) = self.fleet.endpoints.get_mut(&EndpointId(known.id)) else { continue };
            h.cold_since = h.cold_since.max(known.cold_since.map(|t| t.min(now)));
            [h.strikes, h.faults, h.owing] = known.blame;
            h.strikes = number(h.strikes, 1e6);
            (h.faults, h.owing) = (number(h.faults, 1.0), number(h.owing, 1.0));
            (h.last_ok, h.answers) = (known.last_ok.min(now), number(known.answers, 1e6));
            (h.out, h.backoff, h.died) = (known.out, known.backoff, known.died);
            h.tardy = number(known.tardy, 2.0);
            (h.load, h.load_at) = (number(known.load.0, 1e6), known.load.1.min(now));
            let lately = known.ledger.iter().take(LEDGER).filter(|l| l.0 <= now);
            // No outcome of this module is told under that mark.
            h.ledger.extend(lately.map(|l| (l.0, u64::MAX, number(l.1, 1e6))));
            if h.cold_since.is_some() || h.died {
                self.chilled.insert(EndpointId(known.id));
            }
        }
        for (l, known) in self.learnt.iter_mut().zip(&m.classes) {
            if known.work.0.is_finite() && known.work.0 > 0.0 {
                (l.work, l.samples) = (number(known.work.0, 1e6), number(known.work.1, 1e6));
                l.sent = known.sent.filter(|s| s.is_finite() && *s >= 0.0);
                l.slow = number(known.slow, 20.0).max(0.2);
            }
        }
        let levels = m.levels.iter().take(TABLE);
        self.counts.levels.extend(levels.map(|(k, l, t)| (*k, ((*l).min(LEVEL_MOST), (*t).min(now)))));
        self.counts.rate = number(m.rate, 1e9);
        for (here, there) in self.counts.seen.iter_mut().zip(&m.seen) {
            here.extend(there.iter().take(TABLE));
        }
        self.counts.seen_since = m.seen_since.min(now);
        self.purges.restore(now, &m.purges, m.floor, TABLE);
        self.retries = number(m.retries, self.retries);
        self.lost = number(m.lost, 0.9);
    }
}

impl PurgeHistory {
    /// All that is known: whether of a group, of what, and when; and when every object counts as purged.
    pub fn list(&self) -> (Vec<(bool, u64, Timestamp)>, Timestamp) {
        (self.at.iter().map(|((group, what), at)| (*group, *what, *at)).collect(), self.floor)
    }

    /// Takes what another list held.
    pub fn restore(
        &mut self,
        now: Timestamp,
        known: &[(bool, u64, Timestamp)],
        floor: Timestamp,
        most: usize,
    ) {
        for (group, what, at) in known {
            let e = self.at.entry((*group, *what)).or_insert(Timestamp::ZERO);
            *e = (*e).max((*at).min(now));
        }
        self.floor = self.floor.max(floor.min(now));
        self.trim(most);
    }
}
