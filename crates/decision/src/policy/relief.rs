//! Relief of what is behind the parents: how much of it this router still asks for. Asked for more than
//! it can do, it answers late; what is late is dropped by those who waited and asked for again, so that all
//! it does is in vain. Nobody sees the sum of all fills, but each router sees its own come late, and all
//! back off by that: first further attempts, then fills of requests drawn at random, which still ask their
//! cache and parent for what they hold; never writes.

use crate::interface::*;
use crate::module::DecisionModule;
use crate::state::{Open, Role, Try};

/// A refusal counts as so many late answers: it says outright what lateness only lets fear.
const REFUSED: f64 = 2.0;
/// Below this share no further attempt has a parent fetch anything.
const AGAIN: f64 = 0.8;
/// A write runs at the origin and waits for nothing else. One that took more than this part of its
/// objective has less asked for at once, while most writes are in time yet.
const WRITE_AIM: f64 = 0.7;
/// The origin is held to be well for so long after it answered in time: a router of few requests has
/// a write in some seconds. One that is late ends it at once.
const WELL: Duration = Duration::from_secs(10);

impl DecisionModule {
    /// Whether this request has nothing fetched for it by what is behind the caches and parents.
    pub(crate) fn spared(&self, now: Timestamp, o: &Open) -> bool {
        let open = self.relief.now(now).0;
        let part = (o.draw >> 32) as f64 / (1u64 << 32) as f64;
        !o.write && (part >= open || !o.tries.is_empty() && open < AGAIN)
    }

    /// What an attempt's end says of the sources behind caches and parents. A shallow one asked them nothing.
    pub(crate) fn weigh(&mut self, now: Timestamp, r: &Request, t: &Try, out: &AttemptOutcome) {
        let source = t.source.unwrap_or(t.endpoint);
        let behind = self.fleet.endpoints.get(&source).map(|h| h.role);
        if t.only_if_cached || !matches!(behind, Some(Role::Parent | Role::Origin)) {
            return;
        }
        let write = self.open.get(&out.request).is_some_and(|o| o.write);
        let overdue = out.latency >= self.overdue_after(r) && self.fleet.answered(t.endpoint, t.sent);
        let slow = write && secs(out.latency) > WRITE_AIM * self.latency_objective(r);
        // Another write that the origin answered in time meanwhile acquits it: the way there was slow.
        let blame = write && self.relief.well <= t.sent;
        match out.status {
            AttemptStatus::Ok if slow && blame => self.relief.late_write(now),
            AttemptStatus::Ok => {
                self.relief.well = if write && !slow { now } else { self.relief.well };
                self.relief.learn(now, false, 1.0);
            }
            AttemptStatus::Full if self.settings.cache_status_reporting == CacheStatusReporting::All => {
                if matches!(out.note, Some(CacheStatus::SourceRefused | CacheStatus::OriginFailed)) {
                    self.relief.learn(now, true, REFUSED);
                }
            }
            // One cache may be full or drain itself, one source be down, but not several of both in turn.
            AttemptStatus::Full => {
                let alone = self.fleet.alike(Role::Parent).count() < 2;
                let before = self.relief.refused.replace((t.endpoint, source));
                if before
                    .is_some_and(|(endpoint, parent)| endpoint != t.endpoint && (alone || parent != source))
                {
                    self.relief.learn(now, true, REFUSED);
                }
            }
            AttemptStatus::Timeout | AttemptStatus::Cancelled if blame && overdue => {
                self.relief.late_write(now)
            }
            // A client that leaves early says nothing, nor does a cache that is silent altogether; and while
            // the origin answers writes in time, what is overdue waits for something else.
            AttemptStatus::Timeout | AttemptStatus::Cancelled
                if overdue && now >= self.relief.well + WELL =>
            {
                self.relief.learn(now, true, 1.0);
            }
            _ => {}
        }
    }
}
