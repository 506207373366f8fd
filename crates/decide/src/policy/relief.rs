//! Relief of what is behind the parents: how much of it this dispatcher still asks for. Asked for more than
//! it can do, it answers late; what is late is dropped by those who waited and asked for again, so that all
//! it does is in vain. Nobody sees the sum of all fills, but each dispatcher sees its own come late, and all
//! back off by that: first further attempts, then fills of requests drawn at random, which still ask their
//! cache and parent for what they hold; never writes.

use crate::control::Control;
use crate::interface::*;
use crate::state::{Open, Relief, Role, Try};

/// Lateness is that of about so many of the last answers, and of the last FADE.
const LAST: f64 = 16.0;
const FADE: Duration = Duration::from_secs(3);
/// From this share of late answers on each further one has less asked for. Crowded hosts alone have a tenth
/// late (the simulator's overloaded days), sources that stand still all misses.
const LATE: f64 = 0.2;
/// A refusal counts as so many late answers: it says outright what lateness only lets fear.
const REFUSED: f64 = 2.0;
/// By so much each time: large, as what waits at the sources is late whatever is done...
const CUT: f64 = 0.67;
/// ...and the way back is slow, e-fold in this time: all dispatchers come back at once.
const BACK: Duration = Duration::from_secs(3);
/// This share goes on being asked for: it tells when the sources are well again.
const LEAST: f64 = 0.03;
/// Below this share no further attempt has a parent fetch anything.
const AGAIN: f64 = 0.8;
/// A write runs at the origin and waits for nothing else. One that took more than this part of its aim has
/// less asked for at once, while most writes are in time yet, by so many steps.
const WRITE_AIM: f64 = 0.7;
const WRITE: f64 = 2.0;
/// The origin is held to be well for so long after it answered in time: a dispatcher of few requests has
/// a write in some seconds. One that is late ends it at once.
const WELL: Duration = Duration::from_secs(10);

impl Relief {
    /// The share that may be asked for, and the lateness, as of now: the one grows once the other has faded.
    fn now(&self, now: Timestamp) -> (f64, f64) {
        let past = micros_f64(now.saturating_duration_since(self.at));
        let faded = (self.late / LATE).max(1.0).ln() * micros_f64(FADE);
        let open = self.open * ((past - faded).max(0.0) / micros_f64(BACK)).exp();
        (open.min(1.0), self.late * (-past / micros_f64(FADE)).exp())
    }

    fn advance(&mut self, now: Timestamp) {
        ((self.open, self.late), self.at) = (self.now(now), now);
    }

    /// An answer that may have come from afar, in time or late.
    fn learn(&mut self, now: Timestamp, late: bool, weight: f64) {
        self.advance(now);
        self.late += (f64::from(u8::from(late)) - self.late) * weight / LAST;
        if late && self.late > LATE {
            self.open = (self.open * CUT).max(LEAST);
        }
    }

    /// A write that was late: no hit is among those, so that one is enough.
    fn late_write(&mut self, now: Timestamp) {
        self.advance(now);
        (self.well, self.late) = (Timestamp::ZERO, self.late.max(LATE * std::f64::consts::E));
        self.open = (self.open * CUT.powf(WRITE)).max(LEAST);
    }
}

impl Control {
    /// Whether this request has nothing fetched for it by what is behind the caches and parents.
    pub(crate) fn spared(&self, now: Timestamp, o: &Open) -> bool {
        let open = self.relief.now(now).0;
        let part = (o.draw >> 32) as f64 / (1u64 << 32) as f64;
        !o.write && (part >= open || !o.tries.is_empty() && open < AGAIN)
    }

    /// What an attempt's end says of the sources behind caches and parents. A shallow one asked them nothing.
    pub(crate) fn weigh(&mut self, now: Timestamp, r: &Request, t: &Try, out: &Outcome) {
        let source = t.source.unwrap_or(t.host);
        let behind = self.fleet.hosts.get(&source).map(|h| h.role);
        if t.shallow || !matches!(behind, Some(Role::Parent | Role::Origin)) {
            return;
        }
        let write = self.open.get(&out.request).is_some_and(|o| o.write);
        let overdue = out.latency >= self.overdue_after(r) && self.fleet.answered(t.host, t.sent);
        let slow = write && secs(out.latency) > WRITE_AIM * self.aim(r);
        // Another write that the origin answered in time meanwhile acquits it: the way there was slow.
        let blame = write && self.relief.well <= t.sent;
        match out.status {
            Status::Ok if slow && blame => self.relief.late_write(now),
            Status::Ok => {
                self.relief.well = if write && !slow { now } else { self.relief.well };
                self.relief.learn(now, false, 1.0);
            }
            Status::Full if self.settings.notes == Notes::All => {
                if matches!(out.note, Some(Note::SourceRefused | Note::OriginFailed)) {
                    self.relief.learn(now, true, REFUSED);
                }
            }
            // One cache may be full or drain itself, one source be down, but not several of both in turn.
            Status::Full => {
                let alone = self.fleet.alike(Role::Parent).count() < 2;
                let before = self.relief.refused.replace((t.host, source));
                if before.is_some_and(|(host, parent)| host != t.host && (alone || parent != source)) {
                    self.relief.learn(now, true, REFUSED);
                }
            }
            Status::Timeout | Status::Cancelled if blame && overdue => self.relief.late_write(now),
            // A client that leaves early says nothing, nor does a cache that is silent altogether; and while
            // the origin answers writes in time, what is overdue waits for something else.
            Status::Timeout | Status::Cancelled if overdue && now >= self.relief.well + WELL => {
                self.relief.learn(now, true, 1.0);
            }
            _ => {}
        }
    }
}
