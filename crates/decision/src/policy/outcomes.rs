//! What comes back, or doesn't: what it says of the endpoint and its source, and what becomes of the request.

use crate::interface::*;
use crate::module::{DecisionModule, LEARN};
use crate::policy::attempts::{DEADLINE, MAY_FILL};
use crate::policy::health::{FAULTS, FAULTY, STRIKES};
use crate::state::{Open, Sign, Try, MEMORY, WORTH_MOVING};

/// So many errors of one request, at different parents and caches, say that it is to blame itself.
const ERRORS: usize = 3;
/// From this share of lost answers among about the last LEARN on, an overdue one is asked for again...
const LOST: f64 = 0.04;
/// ...and from this on where hits are not told: a fill in a jam looks lost too, and would be begun anew.
const LOST_UNTOLD: f64 = 0.12;

impl DecisionModule {
    pub(crate) fn on_outcome(&mut self, now: Timestamp, out: AttemptOutcome, acts: &mut Vec<Action>) {
        let (id, note) = (out.request, out.note);
        let n = usize::from(out.attempt);
        let held = |o: &&mut Open| o.tries.get(n).is_some_and(|t| t.out);
        let Some(o) = self.open.get_mut(&id).filter(held) else { return };
        let t = &mut o.tries[n];
        t.out = false;
        let t = t.clone();
        if !out.status.never_ran() {
            o.ran = o.ran.or(Some((t.sent, t.endpoint)));
        }
        let r = o.r.clone();
        self.fleet.ended(now, &t, &out);
        self.doubt(now, t.source, &out, acts);
        self.weigh(now, &r, &t, &out);
        match out.status {
            AttemptStatus::Ok => self.on_ok(now, &r, &t, &out),
            AttemptStatus::Miss => {
                self.alive(now, t.endpoint);
                if note != Some(CacheStatus::Joined) {
                    self.avoid(id, t.source);
                }
            }
            AttemptStatus::Full => self.on_full(now, id, &t, note, out.latency),
            AttemptStatus::Error => self.on_error(id, n),
            // It has answered since: the connection broke, not the endpoint.
            AttemptStatus::Reset if self.fleet.answered(t.endpoint, t.sent) => {}
            AttemptStatus::Reset | AttemptStatus::ConnectFailed | AttemptStatus::Unreached => {
                // A bad line breaks connections, and has them come up late: only refused ones are a start.
                let (weight, sign) = match out.status {
                    AttemptStatus::ConnectFailed => (1.0, Sign::unconnected(&self.settings, out.latency)),
                    AttemptStatus::Unreached => (0.5, Sign::Unreached),
                    _ => (0.4, Sign::Slow),
                };
                self.strike(now, t.endpoint, weight, sign);
                self.avoid(id, Some(t.endpoint));
            }
            AttemptStatus::Timeout => {
                self.tardy(&r, t.endpoint, out.latency);
                if !self.blame(now, id, &t) && !t.looked {
                    self.owe(now, &t, true);
                }
            }
            AttemptStatus::Cancelled | AttemptStatus::Moot => {}
        }
        let Some(o) = self.open.get(&id) else { return };
        // The origin failed behind a parent: other parents ask the same one, a stale copy may yet do.
        // The parent has no room: the others would have to ask the origin for what it holds.
        let unsaid = out.status == AttemptStatus::Full
            && note.is_none()
            && self.settings.cache_status_reporting != CacheStatusReporting::All;
        let crowded =
            note == Some(CacheStatus::SourceRefused) || unsaid && out.latency < self.settings.connect_timeout;
        let crowded = crowded && self.settings.sibling_caches != SiblingCaches::Any;
        let none = out.status == AttemptStatus::Miss && (t.source.is_none() || t.only_if_cached);
        let errors = o.tries.iter().filter(|t| t.failed).count() >= ERRORS;
        let hopeless = crowded || none || errors || note == Some(CacheStatus::OriginFailed);
        let last = errors || self.settings.class(&r).grace.is_zero() || o.tries.len() > 1;
        if out.ended || out.status == AttemptStatus::Ok || o.done {
            self.finish(id, acts);
        } else if hopeless && last && o.out() == 0 {
            self.give_up(now, id, acts);
        } else if o.out() == 0 || out.status != AttemptStatus::Cancelled {
            self.advance(now, id, acts);
        }
    }

    /// An error: the request itself may be what nobody can use, so that alone is held against no endpoint. The
    /// next attempt goes to another cache; if it fails there too the parent of both is avoided, and the
    /// first is not.
    fn on_error(&mut self, id: RequestId, n: usize) {
        let parents = |t: &Try| t.source.filter(|s| self.is_parent(*s));
        let Some(o) = self.open.get(&id) else { return };
        let t = o.tries[n].clone();
        let shared = parents(&t).filter(|s| o.tries.iter().any(|u| u.failed && u.source == Some(*s)));
        let Some(o) = self.open.get_mut(&id) else { return };
        o.tries[n].failed = true;
        if let Some(parent) = shared {
            o.bad.retain(|b| o.tries.iter().all(|u| u.endpoint != *b));
            o.bad.insert(parent);
        } else {
            o.bad.insert(t.endpoint);
        }
    }

    /// A request that met errors was served after all. Who gave them is to blame: the cache if the same
    /// parent, or none, was named where it was served, else the parent. Yet one answer in some hundreds is
    /// an error for no reason: only repeated ones are a parent's death, else each has its parent held to be
    /// cold for as long as a restart takes.
    fn settle_errors(&mut self, now: Timestamp, id: RequestId, served: &Try) {
        let tries = self.open.get(&id).map_or(&[][..], |o| &o.tries);
        let failed: Vec<Try> = tries.iter().filter(|t| t.failed).cloned().collect();
        let untold = self.settings.cache_status_reporting != CacheStatusReporting::All;
        for t in failed {
            let parent = t.source.filter(|s| untold && self.is_parent(*s) && t.source != served.source);
            match parent.and_then(|s| self.fleet.endpoints.get(&s)).map(|h| (h.entry.id, h.strikes)) {
                Some((parent, before)) => {
                    let sign = if before + 1.0 >= STRIKES { Sign::Dead } else { Sign::Slow };
                    self.strike(now, parent, 1.0, sign);
                }
                None if t.endpoint != served.endpoint => {
                    let Some(h) = self.fleet.endpoints.get_mut(&t.endpoint) else { continue };
                    h.faults += (1.0 - h.faults) / FAULTS;
                    let weight = if h.faults > FAULTY { STRIKES } else { 0.0 };
                    self.strike(now, t.endpoint, weight, Sign::Slow);
                }
                None => {}
            }
        }
    }

    fn on_ok(&mut self, now: Timestamp, r: &Request, t: &Try, out: &AttemptOutcome) {
        self.alive(now, t.endpoint);
        self.settle_errors(now, out.request, t);
        let filled = matches!(out.note, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin));
        if let Some(s) =
            t.source.filter(|_| filled || self.settings.cache_status_reporting == CacheStatusReporting::None)
        {
            self.alive(now, s);
        }
        self.owe(now, t, false);
        let x = secs(out.latency) / self.scale(r);
        let crowd = self.fleet.endpoints.get(&t.endpoint).map_or(1.0, |h| self.crowd(now, h));
        self.tardy(r, t.endpoint, out.latency);
        let tail = self.tail();
        let again = self.open.get(&out.request).is_some_and(|o| o.lost && out.attempt > 0);
        if again {
            // A hit: the first attempt had been served. A fill: it was still on its way.
            self.lose(if out.note == Some(CacheStatus::Hit) { 1.0 } else { 0.0 });
        }
        self.lose(0.0);
        let l = &mut self.learnt[usize::from(r.class)];
        l.pace(x > l.slow, tail);
        // Untold sizes are learnt from hits, less what the crowd at the cache made of them.
        if r.size_kb.is_none()
            && (out.note == Some(CacheStatus::Hit)
                || self.settings.cache_status_reporting == CacheStatusReporting::None)
        {
            l.learn(secs(out.latency) / crowd, LEARN);
        }
        out.work.into_iter().for_each(|w| l.learn_sent(w, LEARN));
    }

    /// Turned away: by the cache itself, or by the source of the fill, as far as that is told.
    fn on_full(
        &mut self,
        now: Timestamp,
        id: RequestId,
        t: &Try,
        note: Option<CacheStatus>,
        latency: Duration,
    ) {
        self.alive(now, t.endpoint);
        use CacheStatus::{OriginFailed, SourceLacks, SourceRefused, SourceUnreachable};
        let source = matches!(note, Some(SourceRefused | SourceLacks | OriginFailed | SourceUnreachable));
        // Without notes a refusal names both; the cache has just shown life.
        let unsaid = note.is_none() && self.settings.cache_status_reporting != CacheStatusReporting::All;
        // Where it is not said what went wrong, time tells: about a dial is a source that is down.
        let (dial, unreached) = (self.settings.connect_timeout, note == Some(SourceUnreachable));
        let gone = latency < 2 * dial && (unreached || unsaid && latency >= dial);
        // A refusal is told at once; a fill that broke off on its way proves no end of a process.
        let broke = unreached && (divide_to_micros(dial, 4)..dial).contains(&latency);
        let sign = if gone && !broke { Sign::unconnected(&self.settings, latency) } else { Sign::Slow };
        if let Some(s) = t.source.filter(|_| unreached || unsaid) {
            self.strike(now, s, if unreached || gone { 1.0 } else { 0.5 }, sign);
        }
        self.avoid(id, t.source.filter(|_| source || unsaid));
        self.avoid(id, Some(t.endpoint).filter(|_| !source));
        if let Some(o) = self.open.get_mut(&id) {
            o.stale |= source;
            o.refused |= note == Some(SourceRefused);
        }
    }

    pub(crate) fn on_timer(&mut self, now: Timestamp, token: u64, acts: &mut Vec<Action>) {
        let (id, n) = ((token >> 16) as RequestId, token & 0xffff);
        if n != DEADLINE && n >= MAY_FILL {
            return self.on_filling(now, id, (n - MAY_FILL) as usize);
        }
        let Some(o) = self.open.get(&id).filter(|o| !o.done && !o.stream) else { return };
        if n == DEADLINE {
            let owed: Vec<Try> = o.tries.iter().filter(|t| t.out && !t.looked).cloned().collect();
            owed.iter().for_each(|t| self.owe(now, t, true));
            return self.give_up(now, id, acts);
        }
        let Some(t) = o.tries.get(n as usize).filter(|t| t.out).cloned() else { return };
        let (idempotency, class) = (self.settings.class(&o.r).idempotency, usize::from(o.r.class));
        let wait = self.overdue_after(&o.r);
        let half = divide_to_micros(wait, 2);
        let other = (0..o.tries.len()).find(|i| *i != n as usize && o.tries[*i].out);
        let left = o.r.deadline.saturating_duration_since(now);
        let out = |id: EndpointId| self.fleet.endpoints.get(&id).is_some_and(|h| !h.up());
        let trial = out(t.endpoint) || t.source.is_some_and(|s| self.is_parent(s) && out(s));
        let blamed = self.blame(now, id, &t) || trial;
        let bar = if self.settings.cache_status_reporting == CacheStatusReporting::None {
            LOST_UNTOLD
        } else {
            LOST
        };
        let (lost, tail) = (!blamed && self.lost > bar, self.tail());
        if blamed && !t.looked {
            self.learnt[class].pace(true, tail);
        } else if !blamed && now >= t.sent + 2 * wait && !t.looked {
            // Lost, or waiting for a fill: only sending it again tells.
            self.lose(0.5);
            self.owe(now, &t, true);
        }
        if let Some(o) = self.open.get_mut(&id) {
            o.lost = lost;
            o.tries[n as usize].looked |= blamed || now >= t.sent + 2 * wait;
        }
        if left > half && (!blamed || !self.settings.hedging_allowed) {
            acts.push(Action::timer(half, token));
        }
        if (blamed && other.is_none() || lost)
            && idempotency != Idempotency::NotIdempotent
            && left > WORTH_MOVING
        {
            if let Some(o) = self.open.get_mut(&id) {
                o.ran = o.ran.or(Some((t.sent, t.endpoint)));
                o.tries[n as usize].held &= !lost;
            }
            // What is lost is no load.
            if let Some(h) = self.fleet.endpoints.get_mut(&t.endpoint).filter(|_| t.held && lost) {
                h.hold(now, MEMORY, false);
            }
            // Two at most are out: the other one makes way.
            let way = if self.settings.hedging_allowed { other } else { Some(n as usize) };
            acts.extend(way.filter(|_| self.settings.cancel).map(|i| Action::cancel(id, i)));
            if self.settings.hedging_allowed {
                self.advance(now, id, acts);
            }
        }
        self.log(now, acts);
    }
}
