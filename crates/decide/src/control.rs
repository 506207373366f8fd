//! Every decision of the router. Its types, settings, events and actions are in `interface.rs`, the records
//! that it keeps in `state.rs`.
//!
//! Ordinary path, after Plaxton and Rajaraman, "Fast Fault-Tolerant Concurrent Access to Shared
//! Objects": each part of an object has one hashed order of the location's caches, cut into blocks of
//! 1, 2, 4, ...; a request goes to a cache drawn at random from blocks 0 to the object's level, and the
//! level rises with the object's share of this dispatcher's own requests. Parents are ordered by the
//! same hash, over all of them. What departs from that says so; `docs/design.md` has the list.

use crate::interface::*;
use crate::retune::cold_budget;
use crate::state::*;
use rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests are counted per object in rounds of this length (DESIGN), or until so many were counted: at a
/// few a second a share of one second's requests is noise.
const ROUND: Time = SEC;
const SAMPLE: u32 = 40;
/// A level drops by one after this long below its threshold (the paper's expiry, DESIGN).
const DECAY: Time = 10 * SEC;
/// A level rises when the object's share exceeds this times next block / caches (DESIGN's π4).
const WIDEN: f64 = 0.5;
/// Guard against small samples: a count must clear the threshold by this many standard errors.
const SIGMAS: f64 = 2.0;
/// Bounds on each table of objects and on the hosts remembered: full tables forget, they never grow.
pub(crate) const TABLE: usize = 20_000;
pub(crate) const FLEET: usize = 2_000;
/// What was asked for within one to two of these spans is kept at the middle rank, else the lowest.
const SEEN: Time = 20 * SEC;
/// Of what a cold host is known to bear, all dispatchers together use this part...
pub(crate) const COLD_PART: f64 = 0.6;
/// ...and at most this times its present capacity: beyond it answers are only late.
pub(crate) const COLD_USE: f64 = 1.2;
/// This much evidence in a row, without a sign of life between, takes a host out.
pub(crate) const STRIKES: f64 = 2.0;
/// A host that is out gets a trial request after this long, doubled up to eight times as much.
const OUT: Time = 500 * MS;
/// Each new request earns this many further attempts: a storm of retries feeds on nothing.
const RETRY_EARN: f64 = 0.5;
/// So many errors of one request, at different parents and caches, say that it is to blame itself.
const ERRORS: usize = 3;
/// A cache is out when this part of about its last FAULTS requests met errors that others did not give.
const FAULTY: f64 = 0.4;
const FAULTS: f64 = 8.0;
/// A parent is out when this part of about the last OWED attempts that named it stayed overdue, and that is
/// so many times as much as at other parents.
const OWING: f64 = 0.2;
const OWED: f64 = 24.0;
const USUALLY: f64 = 3.0;
/// The most further attempts saved up: enough for one host's loss at once.
const RETRY_SAVE: f64 = 40.0;
/// An attempt is overdue when this part of those answered take longer; more where answers get lost.
const TAIL: f64 = 0.05;
const TAIL_MOST: f64 = 0.4;
/// From this share of lost answers among about the last LEARN on, an overdue one is asked for again...
const LOST: f64 = 0.04;
/// ...and from this on where hits are not told from fills: a fill in a jam looks lost as well, and asking
/// again drops it and has the origin fetch it anew.
const LOST_UNTOLD: f64 = 0.12;
/// A cache is full for a class when this part of its aim is what a transfer would take there.
const ROOM: f64 = 0.9;
/// A request leaves its drawn cache for a stand-in emptier than this part of that; it costs a fill.
const SPILL: f64 = 0.2;
/// A fill goes to parents that are emptier than this part of what its aim leaves: it has a way to go yet, and
/// all dispatchers learn late what all of them sent.
const FILL_ROOM: f64 = 0.7;
/// Where hits are not told from fills, an attempt that has been out for this many of its class's mean sending
/// times counts as a fill in hand at the parent that it names.
const FILLING: f64 = 1.0;
/// Own load is averaged over this long to tell others': several requests, yet short against an overload.
const MEMORY: Time = 3 * SEC;
/// ...and over this long at parents: what all start there in a second is more than they can bear.
const FILL_MEMORY: Time = 1_500 * MS;
/// One's own load at a host counts as this many requests before its like's mean is trusted more.
const TRUST: f64 = 12.0;
/// A class's mean sending time is that of so many of its last requests.
const LEARN: f64 = 50.0;
/// Answers that take more of their aim than this on average show a bottleneck that is not seen.
const TARDY: f64 = 0.5;
/// Over about this long a host's answers are counted, to tell how many its silence lacks...
const USUAL: Time = 10 * SEC;
/// ...and this much of an overdue attempt's evidence holds where none were to be expected.
const RARE: f64 = 0.4;
/// An attempt is moved from a host whose silence is worth this much: not for each large object.
const SURE: f64 = 0.7;
/// From so many dead parents of a hub, and one in so many of it, on, the whole hub is held to have restarted.
const HUB_LEAST: usize = 2;
const HUB_PART: usize = 3;
/// A host that has answered nobody for this long is not merely jammed.
const SILENT: Time = 2 * SEC;
/// Token bits that mark a request's deadline timer rather than an attempt's, and the timer of an attempt that
/// may have become a fill.
const DEADLINE: u64 = 0xffff;
const MAY_FILL: u64 = 0x8000;
const RESUBSCRIBE: u64 = u64::MAX;

impl Host {
    fn up(&self) -> bool {
        self.out.is_none()
    }
    /// What silence since then is worth as evidence: little at a host that this dispatcher rarely hears of.
    /// Several overdue attempts in a row still take such a host out.
    fn silence(&self, now: Time, since: Time) -> f64 {
        let expected = self.answers / secs(USUAL) * secs(now.saturating_sub(since));
        1.0 - (1.0 - RARE) * (-expected).exp()
    }
    fn trial_due(&self, now: Time) -> bool {
        !self.trial && !self.unproven() && self.out.is_some_and(|t| now >= t)
    }
}

/// The decision module of one dispatcher.
#[derive(Debug)]
pub struct Control {
    pub(crate) settings: Settings,
    rng: rand_pcg::Pcg64Mcg,
    pub(crate) fleet: Fleet,
    /// Hosts that are or may be cold.
    pub(crate) chilled: BTreeSet<HostId>,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) learnt: Vec<Learnt>,
    pub(crate) counts: Counted,
    pub(crate) purges: Purges,
    pub(crate) retries: f64,
    /// Share of attempts without an answer from a host that lives, smoothed.
    pub(crate) lost: f64,
    subscribed: bool,
    logged: Time,
}

impl Control {
    /// A module for one dispatcher, or the field of the settings that is impossible.
    pub fn new(settings: Settings, seed: u64) -> Result<Control, SettingsError> {
        settings.check()?;
        Ok(Control {
            learnt: settings.classes.iter().map(Learnt::new).collect(),
            settings,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            fleet: Fleet::default(),
            chilled: BTreeSet::new(),
            open: BTreeMap::new(),
            counts: Counted::default(),
            purges: Purges::default(),
            retries: RETRY_SAVE,
            lost: 0.0,
            subscribed: false,
            logged: 0,
        })
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, acts: &mut Vec<Action>) {
        match event {
            Event::Hosts { kind, entries } => self.on_hosts(kind, entries, acts),
            Event::HostsFailed => acts.push(Action::timer(SEC, RESUBSCRIBE)),
            Event::Request(r) => self.on_request(now, r, acts),
            Event::Started { request, attempt } => {
                if let Some(o) = self.open.get_mut(&request) {
                    o.stream = o.tries.get(usize::from(attempt)).is_some_and(|t| t.out);
                }
            }
            Event::Outcome(o) => self.on_outcome(now, o, acts),
            Event::Withdrawn { request } => self.finish(request, acts),
            Event::Timer { token: RESUBSCRIBE } => acts.push(Action::Subscribe),
            Event::Timer { token } => self.on_timer(now, token, acts),
            Event::Purged(p) => self.purges.add(now, &p, TABLE),
            Event::Probed { host, status } => self.on_probed(now, host, status),
        }
    }

    // ---- the host list ----

    fn on_hosts(&mut self, kind: ListKind, entries: Vec<HostEntry>, acts: &mut Vec<Action>) {
        for id in self.fleet.apply(&self.settings, kind, entries) {
            let Some(h) = self.fleet.hosts.get_mut(&id) else { continue };
            // A start is told: it is cold from then, and what was held against it is void.
            h.cold_since = h.cold_since.max((h.entry.started > 0).then_some(h.entry.started));
            (h.strikes, h.out, h.backoff) = (0.0, None, OUT);
            (h.trial, h.died, h.phase, h.slot) = (false, false, None, 0);
            if h.cold_since.is_some() {
                self.chilled.insert(id);
            }
        }
        self.fleet.forget(FLEET);
        if self.settings.discovery == Discovery::Ask && !self.subscribed {
            self.subscribed = true;
            acts.push(Action::Subscribe);
        }
    }

    /// The shared hashed order of the hosts that take work: rendezvous hashing, weighted by listed size
    /// (departure: hosts differ in size, and equal odds would drown the small ones).
    fn order(&self, key: u64, role: Role) -> Vec<&Host> {
        let score = |h: &Host| {
            let u = xxh3_64_with_seed(&h.entry.id.0.to_le_bytes(), key) >> 11;
            let sized = self.settings.weights == Weights::Size && h.entry.weight > 0.0;
            let w = if sized { h.entry.weight } else { 1.0 };
            -((u + 1) as f64 / (1u64 << 53) as f64).ln() / w
        };
        let mut scored: Vec<_> = self.fleet.alike(role).map(|h| (score(h), h)).collect();
        scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.entry.id.cmp(&b.1.entry.id)));
        scored.into_iter().map(|(_, h)| h).collect()
    }

    // ---- levels ----

    /// Counts a request, closing the round first where it is over.
    fn count(&mut self, now: Time, key: u64) {
        let (round, rate) = (self.counts.start(now), self.counts.rate);
        let gap = now.saturating_sub(std::mem::replace(&mut self.counts.last, now));
        let elapsed = now - round;
        if elapsed >= DECAY || elapsed >= ROUND && self.counts.total >= SAMPLE {
            self.close_round(now, secs(elapsed + self.counts.stall));
            // What comes after a stall has gathered for as long as that: its round counts as so much longer.
            let stalled = gap > ROUND && secs(gap) * rate > f64::from(SAMPLE);
            self.counts.stall = if stalled { gap } else { 0 };
        }
        self.counts.add(key, TABLE);
        self.counts.turn(now, SEEN, TABLE);
    }

    fn close_round(&mut self, now: Time, elapsed: f64) {
        let caches = self.fleet.alike(Role::Own).count().max(1) as f64;
        let rate = f64::from(self.counts.total) / elapsed;
        let before = if self.counts.rate == 0.0 { rate } else { self.counts.rate };
        self.counts.rate = 0.8 * before + 0.2 * rate;
        // A share is one of no less than the usual rate: a few leftovers of one object are no crowd.
        let usual = self.counts.rate.max(rate) * elapsed;
        let bar = |l: u32| WIDEN * f64::from(1u32 << l.min(20)) / caches * usual;
        for (key, n) in std::mem::take(&mut self.counts.counts) {
            let n = f64::from(n);
            let level = self.counts.levels.get(&key).map_or(0, |l| l.0);
            let covered = f64::from((2u32 << level.min(20)) - 1);
            if covered < caches && n - SIGMAS * n.sqrt() > bar(level + 1) {
                self.counts.levels.insert(key, (level + 1, now));
            } else if level > 0 && n > bar(level) {
                self.counts.levels.insert(key, (level, now));
            }
        }
        self.counts.levels.retain(|_, (level, since)| {
            if now >= *since + DECAY {
                (*level, *since) = (*level - 1, now);
            }
            *level > 0
        });
        let life = self.settings.purge_done + SEC;
        self.purges.forget(now.saturating_sub(life));
        (self.counts.round, self.counts.total) = (now, 0);
    }

    // ---- requests ----

    fn on_request(&mut self, now: Time, r: Request, acts: &mut Vec<Action>) {
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
        acts.push(Action::timer(r.deadline.saturating_sub(now), token));
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

    /// The mean sending time of its class: what the cold rule counts an attempt as.
    fn mean(&self, r: &Request) -> f64 {
        self.learnt[usize::from(r.class)].mean()
    }

    /// Its own sending time where that is told, else its class's as far as answers show it.
    fn work(&self, r: &Request) -> f64 {
        let sent = self.learnt[usize::from(r.class)].sent;
        self.settings.told_work(r).or(sent).unwrap_or(self.mean(r)).max(0.001)
    }

    /// What a latency is measured by: the sending time and a little, or the class's aim.
    fn scale(&self, r: &Request) -> f64 {
        let aim = secs(self.settings.class(r).aim).max(0.001);
        self.settings.told_work(r).map_or(aim, |w| w + 0.2 * aim)
    }

    /// Sends the next attempt of a request, or ends it.
    fn advance(&mut self, now: Time, id: RequestId, acts: &mut Vec<Action>) {
        let ended = |o: &&Open| o.done || o.stream || (o.out() > 0 && !self.settings.second_copies);
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

    /// The final answer, at once: a refusal with advice where that is allowed, else a failure.
    fn give_up(&mut self, now: Time, id: RequestId, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let c = self.settings.class(&o.r);
        let harmless = match c.effect {
            Effect::Safe => true,
            Effect::Keyed => o.ran.is_none() || c.scope == Scope::All,
            Effect::Unsafe => o.ran.is_none(),
        };
        if harmless && now < o.r.deadline {
            let half = self.settings.max_retry_after / 2;
            let advice = half + self.rng.next_u64() % half.max(1);
            let told = self.settings.retry_after && half > 0;
            acts.push(Action::refuse(id, if told { advice } else { 0 }));
        } else {
            acts.push(Action::Fail { request: id });
        }
        self.finish(id, acts);
    }

    /// Ends a request here; attempts still out are called off and then only accounted for.
    fn finish(&mut self, id: RequestId, acts: &mut Vec<Action>) {
        let cancel = self.settings.cancel;
        let Some(o) = self.open.get_mut(&id) else { return };
        let out = (0..o.tries.len()).filter(|i| o.tries[*i].out);
        if !o.done && cancel && !o.stream {
            acts.extend(out.map(|i| Action::cancel(id, i)));
        }
        o.done = true;
        if o.out() == 0 {
            self.open.remove(&id);
        }
    }

    // ---- where a request goes ----

    /// Whether the rule on effects lets this request go to this host now.
    fn lawful(&self, now: Time, o: &Open, h: &Host) -> bool {
        let c = self.settings.class(&o.r);
        let ran = o.ran.filter(|_| c.effect != Effect::Safe);
        let Some((at, first)) = ran else { return true };
        let first = self.fleet.hosts.get(&first).map(|f| &f.entry);
        let scope = match c.scope {
            Scope::All => true,
            Scope::Zone => first.is_some_and(|f| f.zone == h.entry.zone),
            Scope::Cell => first.is_some_and(|f| f.cell == h.entry.cell),
        };
        // A tenth of the window is left for the way there.
        c.effect == Effect::Keyed && scope && now + c.window / 10 < at + c.window
    }

    /// Overload: whether one more of its kind could still be sent in time at a host, by what is in hand there
    /// against its size. A class that is worth little for its work has the least slack and is turned away
    /// first. Also covers a jammed link and a slow host.
    fn room(&self, now: Time, r: &Request, h: &Host) -> f64 {
        let class = self.settings.class(r);
        let slack = class.aim_stretch + secs(class.aim) / self.work(r);
        let room = ROOM * (TARDY / h.tardy).min(1.0);
        1.0 - (self.crowd(now, h) - 1.0) / (room * slack - 1.0).max(0.1)
    }

    /// How far a transfer at a host is slowed by others, with one more; 1 where sizes are not told. One's own
    /// are counted. Each other dispatcher is held to have as many there as this one has on average: at this
    /// host as far as enough was sent there to tell, else at its like in proportion to size.
    fn crowd(&self, now: Time, h: &Host) -> f64 {
        if self.settings.weights != Weights::Size || h.entry.weight <= 0.0 {
            return 1.0;
        }
        let over = if h.role == Role::Parent { FILL_MEMORY } else { MEMORY };
        let alike = || self.fleet.alike(h.role).filter(|x| x.up());
        let (load, size) =
            (alike().map(|x| x.load(now, over)).sum::<f64>(), alike().map(|x| x.entry.weight).sum::<f64>());
        let usual = load / size.max(h.entry.weight) * h.entry.weight;
        let own = h.load(now, over);
        let sample = own * secs(over) / self.unit();
        let each = usual + (own - usual) * sample / (sample + TRUST);
        let others = f64::from(self.sharing(h) - 1) * each;
        ((1.0 + f64::from(h.inflight) + others) / h.entry.weight).max(1.0)
    }

    fn plan(&self, now: Time, o: &Open) -> Option<Plan> {
        let mut order = self.order(o.key, Role::Own);
        order.retain(|h| self.lawful(now, o, h));
        let work = self.mean(&o.r);
        let safe = self.settings.class(&o.r).effect == Effect::Safe;
        let up: Vec<&Host> = order.iter().copied().filter(|h| h.up()).collect();
        let plan = |h: &Host, i: usize, trial: bool| {
            let home = up.first().copied().filter(|_| i > 0);
            let source = self.source(now, o, h, home);
            let (host, keep) = (h.entry.id, self.rank(o, i));
            Some(Plan(host, source, keep, trial))
        };
        // A host that is out, due for its trial and ahead of home: the request leads it back in.
        let ahead = order.iter().take_while(|h| !h.up());
        let mut due = ahead.filter(|h| h.trial_due(now) && self.admits(now, h, work));
        if let Some(h) = due.next().filter(|_| o.tries.is_empty() && safe) {
            return plan(h, 0, true);
        }
        let level = self.counts.levels.get(&o.key).map_or(0, |l| l.0);
        let span = ((2usize << level.min(20)) - 1).min(up.len()).max(1);
        let drawn = (o.draw % span as u64) as usize;
        let again =
            o.tries.last().filter(|_| o.lost).and_then(|t| up.iter().position(|h| h.entry.id == t.host));
        let first = again.unwrap_or(drawn * usize::from(o.tries.is_empty()));
        let busy = o.tries.iter().filter(|t| t.out && !o.lost);
        let out: Vec<HostId> = busy.map(|t| t.host).collect();
        // The drawn cache, then the rest of the order as stand-ins; last, one that was tried before.
        let ring: Vec<usize> = (first..up.len()).chain(0..first).collect();
        let fits = |i: usize| !out.contains(&up[i].entry.id) && self.admits(now, up[i], work);
        let fresh = |i: usize| !o.bad.contains(&up[i].entry.id) && fits(i);
        let least = |i: usize| if i == first { 0.0 } else { 1.0 - SPILL };
        let roomy = |i: &usize| fresh(*i) && self.room(now, &o.r, up[*i]) >= least(*i);
        if let Some(&i) = ring.iter().find(|i| roomy(i)) {
            return plan(up[i], i, false);
        }
        let any = ring.iter().find(|i| fresh(**i));
        let spent = !up.is_empty() && safe && any.is_none();
        // No cache is in, or cold ones may get no more: past them, if allowed, to parents that have room.
        if self.settings.direct && (up.is_empty() || spent) {
            let mut past: Vec<_> = self.order(o.key, Role::Parent).into_iter().filter(|h| h.up()).collect();
            let origin = self.order(o.key, Role::Origin);
            past.extend(origin.iter().filter(|_| !spent));
            past.retain(|h| self.lawful(now, o, h));
            past.retain(|h| !o.bad.contains(&h.entry.id) && self.admits(now, h, work));
            let least = if spent { FILL_ROOM } else { 0.0 };
            if let Some(h) = past.iter().find(|h| self.room(now, &o.r, h) >= least) {
                return Some(Plan(h.entry.id, origin.first().map(|o| o.entry.id), 0, false));
            }
            if safe && !past.is_empty() {
                return None;
            }
        }
        match any.or(ring.iter().find(|i| fits(**i))) {
            Some(_) if any.is_some() && safe => return None,
            Some(&i) => return plan(up[i], i, false),
            None => {}
        }
        let free = |h: &&&Host| !out.contains(&h.entry.id) && self.admits(now, h, work);
        order.iter().find(free).and_then(|h| plan(h, 0, false))
    }

    /// Rank of the copy: lowest for extra copies (DESIGN) and for what was not seen lately (departure: an
    /// object asked for once must not push out one that is asked for again).
    fn rank(&self, o: &Open, index: usize) -> u8 {
        let seen = self.counts.seen.iter().any(|s| s.contains(&o.key));
        match (o.write, index > 0 || !seen) {
            (true, _) => 0,
            (_, true) => 1,
            _ => 2,
        }
    }

    /// Where a miss is filled from: home for a widened object's extra copies, else the home parent, else
    /// what stands in for it.
    fn source(&self, now: Time, o: &Open, at: &Host, home: Option<&Host>) -> Option<HostId> {
        let work = self.mean(&o.r);
        let ok = |h: &&Host| {
            h.entry.id != at.entry.id && !o.bad.contains(&h.entry.id) && self.admits(now, h, work)
        };
        let origin = self.order(o.key, Role::Origin);
        if o.write && !origin.is_empty() {
            return origin.first().map(|h| h.entry.id);
        }
        let wide = self.settings.siblings != Siblings::None && self.counts.levels.contains_key(&o.key);
        let near = home.filter(|h| wide && ok(h));
        let parents = self.order(o.key, Role::Parent);
        let leads = |h: &&&Host| h.up() || (h.trial_due(now) && o.tries.is_empty());
        // A sibling elsewhere may have it: the home of the object at its location.
        let any = self.settings.siblings == Siblings::Any && !o.write;
        let elsewhere = || if any { self.order(o.key, Role::Elsewhere) } else { Vec::new() };
        let far = || elsewhere().into_iter().find(|h| h.up() && ok(h));
        let parent = parents.iter().filter(leads).copied().find(|h| ok(h));
        // Parents without room: fills would only come late, and hold the room of those in time. What is held
        // is served without. A parent that refused one: what elsewhere has comes from there.
        if near.is_none() && parent.is_some_and(|h| h.up() && self.room(now, &o.r, h) < FILL_ROOM) {
            return None;
        }
        if let Some(sibling) = (near.is_none() && o.refused && o.tries.len() < 2).then(far).flatten() {
            return Some(sibling.entry.id);
        }
        let first = near.or(parent).or_else(far);
        let last = origin.into_iter().chain(parents.iter().copied()).find(|h| ok(h));
        first.or(last).map(|h| h.entry.id)
    }

    /// What a host can do by now at the least, in seconds of sending per second, and the multiple at which it
    /// falls over; none if it is warm. One that was seen dead starts anew when it answers.
    pub(crate) fn cold(&self, now: Time, h: &Host) -> Option<(f64, f64)> {
        let s = &self.settings;
        let (from, over, multiple) = match h.role {
            Role::Parent => (s.parent_cold_from, s.parent_cold_for, s.parent_fall_multiple),
            Role::Origin => return None,
            _ => (s.cold_from, s.cold_for, s.fall_multiple),
        };
        let age = if h.died { 0 } else { now.saturating_sub(h.cold_since?) };
        let share = from + (1.0 - from) * age as f64 / over.max(1) as f64;
        (age < over && multiple > 0.0).then(|| (share * self.size(h), multiple))
    }

    /// The cold budget, over every window and by the settings alone; guards the rule on cold hosts. This
    /// dispatcher's even share of what the host can do, where that is a request or more. Where it is less,
    /// one request in a slot as long as the window: see `slots`.
    fn admits(&self, now: Time, h: &Host, work: f64) -> bool {
        let Some((able, multiple)) = self.cold(now, h) else { return true };
        let window = self.settings.fall_after;
        let share = cold_budget(able, multiple, secs(window)) / self.divisor(now, h);
        let sparse = share < self.unit() && self.fleet.leased.is_none();
        let since = if sparse { h.slot } else { now.saturating_sub(window) };
        let lately: f64 = h.ledger.iter().filter(|l| l.0 > since).map(|l| l.2).sum();
        let open = !sparse || (h.slot > 0 && now < h.slot + window);
        h.noted(now, work, open && lately + work <= if sparse { self.unit() } else { share } + 1e-9)
    }

    /// The largest mean sending time of a class: the most that one request weighs on a cold host.
    pub(crate) fn unit(&self) -> f64 {
        self.learnt.iter().map(Learnt::mean).fold(0.001, f64::max)
    }

    /// Slots at cold hosts. Each dispatcher's come at the same rate from a phase of its own, drawn at random,
    /// and lapse if not used, so that nobody saves any up: of all dispatchers those whose slot begins within
    /// two windows can send in one. Their number is random; its mean is set so that three deviations
    /// more still stay below what makes the host fall.
    fn slots(&mut self, now: Time) {
        let unit = self.unit();
        for id in self.chilled.clone() {
            // One that takes no work is not walked: it comes back by a start that is told.
            let ready = self.fleet.hosts.get(&id).filter(|h| h.entry.state == HostState::Ready);
            let Some((h, (able, multiple))) = ready.and_then(|h| Some((h, self.cold(now, h)?))) else {
                self.chilled.remove(&id);
                continue;
            };
            let window = secs(self.settings.fall_after).max(0.001);
            let bears = able * window / unit;
            let mean = ((9.0 + 4.0 * multiple * bears).sqrt() - 3.0).powi(2) / 4.0;
            let rate = mean.min(2.0 * COLD_USE * bears) / (2.0 * window) / self.divisor(now, h);
            let fresh = self.rng.next_u64() as f64 / u64::MAX as f64;
            let Some(h) = self.fleet.hosts.get_mut(&id) else { continue };
            let (phase, at) = h.phase.unwrap_or((fresh, now));
            let phase = phase + rate * secs(now - at);
            if phase >= 1.0 {
                h.slot = now.saturating_sub((phase.fract() / rate * SEC as f64) as Time);
            }
            h.phase = Some((phase.fract(), now));
        }
    }

    /// A host's capacity in seconds of sending per second: its listed size, or else what its like bear.
    fn size(&self, h: &Host) -> f64 {
        if self.settings.weights == Weights::Size && h.entry.weight > 0.0 {
            return h.entry.weight;
        }
        let peers = || self.fleet.alike(Role::Own).filter(|p| p.cold_since.is_none());
        let all: f64 = peers().flat_map(|p| &p.ledger).map(|l| l.2).sum();
        all / peers().count().max(1) as f64 / secs(self.settings.fall_after).max(0.001)
    }

    fn send(&mut self, now: Time, id: RequestId, p: Plan, acts: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let c = self.settings.class(&o.r);
        let stale = (o.stale && c.fresh > 0).then_some(c.fresh + c.grace);
        let bounds = [stale, self.purge_bound(now, &o.r)];
        let Plan(host, source, keep, trial) = p;
        let (work, sends) = (self.mean(&o.r), self.work(&o.r));
        let timeout = o.r.deadline.saturating_sub(now).max(1);
        let max_age = bounds.into_iter().flatten().min();
        let fill = Fill { source, keep, max_age, join: self.settings.joins, renew: c.fresh > 0 };
        acts.push(Action::Attempt { request: id, host, timeout, fill });
        let look = self.overdue_after(&o.r) / if trial { 2 } else { 1 };
        let token = u64::from(id) << 16 | o.tries.len() as u64;
        acts.push(Action::timer(look, token));
        if self.settings.notes == Notes::None && source.is_some_and(|s| self.is_parent(s)) {
            acts.push(Action::timer((sends * FILLING * SEC as f64) as Time, token | MAY_FILL));
        }
        let old = now.saturating_sub(self.settings.fall_after);
        let source = source.filter(|s| *s != host);
        for id in [Some(host), source].into_iter().flatten() {
            let Some(h) = self.fleet.hosts.get_mut(&id) else { continue };
            h.ledger.retain(|l| l.0 > old);
            h.ledger.push_back((now, token, work));
            h.trial |= h.out.is_some();
            if h.entry.id == host {
                h.hold(now, MEMORY, true);
            }
        }
        if let Some(o) = self.open.get_mut(&id) {
            o.tries.push(Try { host, source, sent: now, out: true, held: true, ..Try::default() });
        }
    }

    /// The part of answers that may take longer than the time allowed: as many as are lost, so that an
    /// overdue attempt is as likely lost as late.
    fn tail(&self) -> f64 {
        (self.lost / (1.0 - self.lost)).clamp(TAIL, TAIL_MOST)
    }

    /// One more attempt, lost with this likelihood.
    fn lose(&mut self, likely: f64) {
        self.lost += (likely - self.lost) / LEARN;
    }

    /// When an attempt is looked at: it has taken longer than nearly all of its like.
    fn overdue_after(&self, r: &Request) -> Time {
        let slow = self.learnt[usize::from(r.class)].slow;
        ((slow * self.scale(r) * 1.1).max(0.1) * SEC as f64) as Time
    }

    /// The oldest copy that purges allow, until all older copies have gone by themselves.
    fn purge_bound(&self, now: Time, r: &Request) -> Option<Time> {
        let at = self.purges.latest(r);
        let open = at > 0 && at + self.settings.purge_done + SEC > now;
        open.then(|| now.saturating_sub(at + MS).max(1))
    }

    // ---- what comes back ----

    fn on_outcome(&mut self, now: Time, out: Outcome, acts: &mut Vec<Action>) {
        let (id, note) = (out.request, out.note);
        let n = usize::from(out.attempt);
        let held = |o: &&mut Open| o.tries.get(n).is_some_and(|t| t.out);
        let Some(o) = self.open.get_mut(&id).filter(held) else { return };
        let t = &mut o.tries[n];
        t.out = false;
        let t = t.clone();
        if !out.status.never_ran() {
            o.ran = o.ran.or(Some((t.sent, t.host)));
        }
        let r = o.r.clone();
        if let Some(h) = self.fleet.hosts.get_mut(&t.host) {
            if t.held {
                h.hold(now, MEMORY, false);
            }
            h.trial = false;
        }
        if let Some(h) = t.source.and_then(|s| self.fleet.hosts.get_mut(&s)) {
            h.trial = false;
            if t.filling {
                h.hold(now, FILL_MEMORY, false);
            }
            if matches!(note, Some(Note::Filled | Note::FilledByOrigin)) {
                // Only its outcome tells that an attempt was a fill.
                h.spend(now, FILL_MEMORY, out.latency);
            }
            if note == Some(Note::Hit) {
                // A hit asked nothing of its source: the budget gets it back.
                let token = u64::from(id) << 16 | n as u64;
                h.ledger.retain(|l| l.1 != token);
            }
        }
        self.doubt(now, t.source, &out, acts);
        match out.status {
            Status::Ok => self.on_ok(now, &r, &t, &out),
            Status::Miss => {
                self.alive(now, t.host);
                if note != Some(Note::Joined) {
                    self.avoid(id, t.source);
                }
            }
            Status::Full => self.on_full(now, id, &t, note, out.latency),
            Status::Error => self.on_error(id, n),
            // It has answered since: the connection broke, not the host.
            Status::Reset if self.fleet.hosts.get(&t.host).is_some_and(|h| h.last_ok > t.sent) => {}
            Status::Reset | Status::ConnectFailed => {
                // Broken connections alone may be a bad line: a dying process breaks many at once.
                let dead = out.status == Status::ConnectFailed;
                self.strike(now, t.host, if dead { 1.0 } else { 0.4 }, dead);
                self.avoid(id, Some(t.host));
            }
            Status::Timeout => {
                self.tardy(&r, t.host, out.latency);
                if !self.blame(now, id, &t) && !t.looked {
                    self.owe(now, &t, true);
                }
            }
            Status::Cancelled | Status::Moot => {}
        }
        let Some(o) = self.open.get(&id) else { return };
        // The origin failed behind a parent: other parents ask the same one, a stale copy may yet do.
        // The parent has no room: the others would have to ask the origin for what it holds.
        let unsaid = out.status == Status::Full && note.is_none() && self.settings.notes != Notes::All;
        let crowded =
            note == Some(Note::SourceRefused) || unsaid && out.latency < self.settings.connect_timeout;
        let crowded = crowded && self.settings.siblings != Siblings::Any;
        let none = out.status == Status::Miss && t.source.is_none();
        let errors = o.tries.iter().filter(|t| t.failed).count() >= ERRORS;
        let hopeless = crowded || none || errors || note == Some(Note::OriginFailed);
        let last = errors || self.settings.class(&r).grace == 0 || o.tries.len() > 1;
        if out.ended || out.status == Status::Ok || o.done {
            self.finish(id, acts);
        } else if hopeless && last && o.out() == 0 {
            self.give_up(now, id, acts);
        } else if o.out() == 0 || out.status != Status::Cancelled {
            self.advance(now, id, acts);
        }
    }

    /// An error: the request itself may be what nobody can use, so that alone is held against no host. The
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
            o.bad.retain(|b| o.tries.iter().all(|u| u.host != *b));
            o.bad.insert(parent);
        } else {
            o.bad.insert(t.host);
        }
    }

    fn is_parent(&self, id: HostId) -> bool {
        self.fleet.hosts.get(&id).is_some_and(|h| h.role == Role::Parent)
    }

    /// A request that met errors was served after all. Who gave them is to blame: the cache if the same
    /// parent, or none, was named where it was served, else the parent. Yet one answer in some hundreds is
    /// an error for no reason: only repeated ones are a parent's death, else each has its parent held to be
    /// cold for as long as a restart takes.
    fn settle_errors(&mut self, now: Time, id: RequestId, served: &Try) {
        let tries = self.open.get(&id).map_or(&[][..], |o| &o.tries);
        let failed: Vec<Try> = tries.iter().filter(|t| t.failed).cloned().collect();
        let untold = self.settings.notes != Notes::All;
        for t in failed {
            let parent = t.source.filter(|s| untold && self.is_parent(*s) && t.source != served.source);
            match parent.and_then(|s| self.fleet.hosts.get(&s)).map(|h| (h.entry.id, h.strikes)) {
                Some((parent, before)) => self.strike(now, parent, 1.0, before + 1.0 >= STRIKES),
                None if t.host != served.host => {
                    let Some(h) = self.fleet.hosts.get_mut(&t.host) else { continue };
                    h.faults += (1.0 - h.faults) / FAULTS;
                    let weight = if h.faults > FAULTY { STRIKES } else { 0.0 };
                    self.strike(now, t.host, weight, false);
                }
                None => {}
            }
        }
    }

    fn on_ok(&mut self, now: Time, r: &Request, t: &Try, out: &Outcome) {
        self.alive(now, t.host);
        self.settle_errors(now, out.request, t);
        let filled = matches!(out.note, Some(Note::Filled | Note::FilledByOrigin));
        if let Some(s) = t.source.filter(|_| filled || self.settings.notes == Notes::None) {
            self.alive(now, s);
        }
        self.owe(now, t, false);
        let x = secs(out.latency) / self.scale(r);
        let crowd = self.fleet.hosts.get(&t.host).map_or(1.0, |h| self.crowd(now, h));
        self.tardy(r, t.host, out.latency);
        let tail = self.tail();
        let again = self.open.get(&out.request).is_some_and(|o| o.lost && out.attempt > 0);
        if again {
            // A hit: the first attempt had been served. A fill: it was still on its way.
            self.lose(if out.note == Some(Note::Hit) { 1.0 } else { 0.0 });
        }
        self.lose(0.0);
        let l = &mut self.learnt[usize::from(r.class)];
        l.pace(x > l.slow, tail);
        // Untold sizes are learnt from hits, less what the crowd at the cache made of them.
        if r.size_kb.is_none() && (out.note == Some(Note::Hit) || self.settings.notes == Notes::None) {
            l.learn(secs(out.latency) / crowd, LEARN);
        }
        out.work.into_iter().for_each(|w| l.learn_sent(w, LEARN));
    }

    fn tardy(&mut self, r: &Request, id: HostId, latency: Time) {
        let class = self.settings.class(r);
        let aim = secs(class.aim) + class.aim_stretch * self.work(r);
        if let Some(h) = self.fleet.hosts.get_mut(&id) {
            h.tardy += 0.05 * ((secs(latency) / aim).min(2.0) - h.tardy);
        }
    }

    /// This request asks that host or source no more.
    fn avoid(&mut self, id: RequestId, host: Option<HostId>) {
        if let Some(o) = self.open.get_mut(&id) {
            o.bad.extend(host);
        }
    }

    /// Turned away: by the cache itself, or by the source of the fill, as far as that is told.
    fn on_full(&mut self, now: Time, id: RequestId, t: &Try, note: Option<Note>, latency: Time) {
        self.alive(now, t.host);
        use Note::{OriginFailed, SourceLacks, SourceRefused, SourceUnreachable};
        let source = matches!(note, Some(SourceRefused | SourceLacks | OriginFailed | SourceUnreachable));
        // Without notes a refusal names both; the cache has just shown life.
        let unsaid = note.is_none() && self.settings.notes != Notes::All;
        // A source that is down is known in about the time that a connection is waited for; where it is
        // not said what went wrong, that time tells. Later failures may be a jam as well.
        let (dial, unreached) = (self.settings.connect_timeout, note == Some(SourceUnreachable));
        let dead = latency < 2 * dial && (unreached || unsaid && latency >= dial);
        if let Some(s) = t.source.filter(|_| unreached || unsaid) {
            self.strike(now, s, if unreached || dead { 1.0 } else { 0.5 }, dead);
        }
        self.avoid(id, t.source.filter(|_| source || unsaid));
        self.avoid(id, Some(t.host).filter(|_| !source));
        if let Some(o) = self.open.get_mut(&id) {
            o.stale |= source;
            o.refused |= note == Some(SourceRefused);
        }
    }

    /// An attempt took far longer than its like. Whichever of cache and parent has answered somebody since
    /// it was sent is not to blame; if both have, nobody is. Covers hangs, cuts and long pauses of either.
    fn blame(&mut self, now: Time, id: RequestId, t: &Try) -> bool {
        let lives = |h: Option<&Host>| h.is_none_or(|h| h.last_ok > t.sent);
        let parent = t.source.and_then(|s| self.fleet.hosts.get(&s));
        let parent = parent.filter(|h| h.role == Role::Parent);
        let (host, weight) = match (lives(self.fleet.hosts.get(&t.host)), lives(parent)) {
            (false, _) => (t.host, 1.0),
            (true, false) => (t.source.unwrap_or(t.host), 0.7),
            (true, true) => return false,
        };
        let silence = self.fleet.hosts.get(&host).map_or(0.0, |h| h.silence(now, t.sent));
        self.strike(now, host, weight * silence, false);
        let sure = silence >= SURE || self.fleet.hosts.get(&host).is_some_and(|h| !h.up());
        self.avoid(id, Some(host).filter(|_| sure));
        sure
    }

    /// An attempt that named a parent was long overdue, or was served. A hit at the cache says nothing of
    /// the parent, and where hits are not told from fills each looks like a sign of its life. So a parent
    /// is also out when many more of its attempts stay overdue than of other parents': that alone is no jam
    /// behind them all.
    fn owe(&mut self, now: Time, t: &Try, overdue: bool) {
        let untold = self.settings.notes == Notes::None;
        let Some(parent) = t.source.filter(|s| untold && self.is_parent(*s)) else { return };
        let others = || self.fleet.alike(Role::Parent).filter(|h| h.entry.id != parent);
        let spare = others().any(Host::up);
        let usual = others().map(|h| h.owing).sum::<f64>() / others().count().max(1) as f64;
        let Some(h) = self.fleet.hosts.get_mut(&parent) else { return };
        // While it is out only trials name it, and each weighs more.
        let step = if overdue && h.out.is_some() { 0.25 } else { 1.0 / OWED };
        h.owing += (f64::from(u8::from(overdue)) - h.owing) * step;
        if overdue && spare && h.owing > OWING && h.owing > USUALLY * usual {
            self.strike(now, parent, STRIKES, false);
        }
    }

    /// The attempt has been out for as long as its like take to be sent: it is a fill, or waits like one.
    fn on_filling(&mut self, now: Time, id: RequestId, n: usize) {
        let t = self.open.get_mut(&id).and_then(|o| o.tries.get_mut(n)).filter(|t| t.out);
        let Some(t) = t else { return };
        if let Some(h) = t.source.and_then(|s| self.fleet.hosts.get_mut(&s)) {
            t.filling = true;
            h.hold(now, FILL_MEMORY, true);
        }
    }

    fn on_timer(&mut self, now: Time, token: u64, acts: &mut Vec<Action>) {
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
        let (effect, class) = (self.settings.class(&o.r).effect, usize::from(o.r.class));
        let wait = self.overdue_after(&o.r);
        let other = (0..o.tries.len()).find(|i| *i != n as usize && o.tries[*i].out);
        let left = o.r.deadline.saturating_sub(now);
        let out = |id: HostId| self.fleet.hosts.get(&id).is_some_and(|h| !h.up());
        let trial = out(t.host) || t.source.is_some_and(|s| self.is_parent(s) && out(s));
        let blamed = self.blame(now, id, &t) || trial;
        let bar = if self.settings.notes == Notes::None { LOST_UNTOLD } else { LOST };
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
        if left > wait / 2 && (!blamed || !self.settings.second_copies) {
            acts.push(Action::timer(wait / 2, token));
        }
        if (blamed && other.is_none() || lost) && effect != Effect::Unsafe && left > 50 * MS {
            if let Some(o) = self.open.get_mut(&id) {
                o.ran = o.ran.or(Some((t.sent, t.host)));
                o.tries[n as usize].held &= !lost;
            }
            // What is lost is no load.
            if let Some(h) = self.fleet.hosts.get_mut(&t.host).filter(|_| t.held && lost) {
                h.hold(now, MEMORY, false);
            }
            // Two at most are out: the other one makes way.
            let way = if self.settings.second_copies { other } else { Some(n as usize) };
            acts.extend(way.filter(|_| self.settings.cancel).map(|i| Action::cancel(id, i)));
            if self.settings.second_copies {
                self.advance(now, id, acts);
            }
        }
        self.log(now, acts);
    }

    // ---- health ----

    /// A sign of life: what was held against the host is void; one seen dead comes back cold.
    pub(crate) fn alive(&mut self, now: Time, id: HostId) {
        let Some(h) = self.fleet.hosts.get_mut(&id).filter(|h| !h.unproven()) else { return };
        h.answers = 1.0 + h.answers * (-secs(now.saturating_sub(h.last_ok)) / secs(USUAL)).exp();
        (h.strikes, h.last_ok, h.trial) = (0.0, now, false);
        h.cold_since = h.cold_since.max(std::mem::take(&mut h.died).then_some(now));
        h.faults *= if h.out.is_some() { 0.5 } else { 1.0 - 1.0 / FAULTS };
        if h.out.is_some() {
            h.owing *= 0.8;
            h.backoff = OUT;
            // One that fails most requests answers some: it stays out until several trials in a row succeed.
            h.out = (h.faults > FAULTY || h.owing > OWING / 2.0).then_some(now + OUT);
        }
    }

    /// Evidence against a host; enough of it takes the host out until a trial succeeds.
    pub(crate) fn strike(&mut self, now: Time, id: HostId, weight: f64, dead: bool) {
        let Some(h) = self.fleet.hosts.get(&id).filter(|h| h.role != Role::Origin) else { return };
        // A jam looks like dead hosts: on slowness alone no more than half of a kind are taken out, but a
        // host that has answered nobody for long is (a location or hub that falls silent as a whole).
        let out = self.fleet.alike(h.role).filter(|x| !x.up()).count();
        let silent = now > h.last_ok + SILENT && h.silence(now, h.last_ok) > SURE;
        let jam = !dead && !silent && (out + 1) * 2 > self.fleet.alike(h.role).count().max(2);
        let Some(h) = self.fleet.hosts.get_mut(&id) else { return };
        h.strikes += weight;
        let (zone, parent) = (h.entry.zone, h.role == Role::Parent);
        let died = dead && (parent || h.strikes >= STRIKES);
        if h.up() && h.strikes >= STRIKES && !jam {
            h.out = Some(now + h.backoff);
        } else if h.out.is_some_and(|t| now >= t) {
            h.backoff = (h.backoff * 2).min(8 * OUT);
            h.out = Some(now + h.backoff);
        }
        if died {
            self.chill(id);
        }
        if died && parent {
            self.judge_hub(zone);
        }
    }

    /// A hub of which enough parents are seen dead restarts as a whole. Where that would leave hardly any
    /// parent anywhere, none of them is: what is behind them fails.
    fn judge_hub(&mut self, zone: u16) {
        let dead = |h: &Host| (h.entry.id, h.entry.zone == zone, h.died);
        let parents: Vec<_> = self.fleet.alike(Role::Parent).map(dead).collect();
        let hub = parents.iter().filter(|p| p.1).count();
        let here = parents.iter().filter(|p| p.1 && p.2).count();
        let whole = here >= HUB_LEAST && here * HUB_PART >= hub;
        let gone = parents.iter().filter(|p| p.2 || whole && p.1).count();
        for (id, in_hub, _) in &parents {
            if parents.len() > HUB_PART && gone * 5 > parents.len() * 4 {
                self.fleet.hosts.entry(*id).and_modify(|h| h.died = false);
            } else if whole && *in_hub {
                self.chill(*id);
            }
        }
    }

    /// Held to be cold from its next answer on.
    pub(crate) fn chill(&mut self, id: HostId) {
        let Some(h) = self.fleet.hosts.get_mut(&id).filter(|h| !h.died) else { return };
        (h.died, h.phase, h.slot) = (true, None, 0);
        self.chilled.insert(id);
    }

    /// Says which hosts are held to be out, at most once a second.
    fn log(&mut self, now: Time, acts: &mut Vec<Action>) {
        if now < self.logged + SEC {
            return;
        }
        let out = self.fleet.hosts.values().filter(|h| h.entry.state == HostState::Ready && !h.up());
        let names: Vec<String> =
            out.map(|h| format!("{:x} ({:.1} failures)", h.entry.id.0, h.strikes)).collect();
        self.logged = now;
        if !names.is_empty() {
            acts.push(Action::Log(format!("out: {}", names.join(", "))));
        }
    }
}
