//! Attempts: what is sent, how, and whether once more.

use crate::interface::*;
use crate::module::{DecisionModule, FILLING, LEARN, RETRY_SAVE};
use crate::state::{Open, Plan, Try};
use rand_core::RngCore;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Each new request earns this many further attempts: a storm of retries feeds on nothing.
const RETRY_EARN: f64 = 0.5;
/// Token bits that mark a request's deadline timer rather than an attempt's, and the timer of an attempt that
/// may have become a fill.
pub(crate) const DEADLINE: u64 = 0xffff;
pub(crate) const MAY_FILL: u64 = 0x8000;

impl DecisionModule {
    pub(crate) fn on_request(&mut self, now: Timestamp, r: Request, acts: &mut Vec<Action>) {
        let (id, class) = (r.id, usize::from(r.class));
        if class >= self.settings.classes.len() {
            return acts.push(Action::Fail { request: id });
        }
        let part = u64::from(r.part);
        let key = xxh3_64_with_seed(&r.object.to_le_bytes(), part);
        self.count(now, key);
        self.slots(now);
        self.ask_dead(now, acts);
        self.retries = (self.retries + RETRY_EARN).min(RETRY_SAVE);
        if let Some(w) = self.settings.told_work(&r) {
            self.learnt[class].learn_told(w, LEARN);
        }
        let token = u64::from(id) << 16 | DEADLINE;
        acts.push(Action::timer(r.deadline.saturating_duration_since(now), token));
        let open = Open {
            write: r.write || self.settings.classes[class].write,
            r,
            key,
            draw: self.rng.next_u64(),
            most: self.settings.max_attempts,
            ..Open::default()
        };
        self.open.insert(id, open);
        self.advance(now, id, acts);
        self.counts.seen[0].insert(key);
    }

    /// Sends the next attempt of a request, or ends it.
    pub(crate) fn advance(&mut self, now: Timestamp, id: RequestId, acts: &mut Vec<Action>) {
        let ended = |o: &&Open| o.done || o.stream || (o.out() > 0 && !self.settings.hedging_allowed);
        let Some(o) = self.open.get(&id).filter(|o| !ended(o)) else { return };
        let (again, out) = (!o.tries.is_empty(), o.out() > 0);
        let spent = o.tries.len() >= o.most as usize || now >= o.r.deadline;
        let barred = spent || (again && self.retries < 1.0);
        match if barred { None } else { self.plan(now, o) } {
            Some(p) => {
                self.retries -= if again { 1.0 } else { 0.0 };
                self.send(now, id, p, acts);
            }
            // An attempt that is still out may yet answer.
            None if out => {}
            None => self.give_up(now, id, acts),
        }
    }

    fn send(&mut self, now: Timestamp, id: RequestId, p: Plan, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let c = self.settings.class(&o.r);
        let spared = self.spared(now, o);
        let stale = ((o.stale || spared) && !c.fresh.is_zero()).then_some(c.fresh + c.grace);
        let bounds = [stale, self.purge_bound(now, &o.r)];
        let Plan(endpoint, source, retention, trial) = p;
        let (work, sends) = (self.mean(&o.r), self.work(&o.r));
        let timeout = o.r.deadline.saturating_duration_since(now).max(MICROSECOND);
        let max_age = bounds.into_iter().flatten().min();
        let only_if_cached = spared && source.is_some_and(|s| self.is_parent(s));
        let stale_while_revalidate = !c.fresh.is_zero() && !spared;
        let fill = CacheFill {
            source,
            retention,
            max_age,
            coalesce: self.settings.coalesce_fills,
            stale_while_revalidate,
            only_if_cached,
        };
        acts.push(Action::Attempt { request: id, endpoint, timeout, fill });
        let look = divide_to_micros(self.overdue_after(&o.r), if trial { 2 } else { 1 });
        let token = u64::from(id) << 16 | o.tries.len() as u64;
        acts.push(Action::timer(look, token));
        if source.is_some_and(|s| self.is_parent(s)) {
            acts.push(Action::timer(span_from_secs(sends * FILLING), token | MAY_FILL));
        }
        let source = source.filter(|s| *s != endpoint);
        self.fleet.began(now, self.settings.overload_window, (endpoint, source), token, work);
        if let Some(o) = self.open.get_mut(&id) {
            o.tries.push(Try {
                endpoint,
                source,
                sent: now,
                out: true,
                held: true,
                only_if_cached,
                ..Try::default()
            });
        }
    }
}
