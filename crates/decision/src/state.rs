//! What the decision module remembers: plain records. What is made of them is in `policy`.

use crate::interface::*;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Work that cold budgets did not admit is forgotten over about this long.
const KEPT: Duration = Duration::from_millis(1_500);

/// Over about this long an endpoint's answers are counted, to tell how many its silence lacks...
pub(crate) const USUAL: Duration = Duration::from_secs(10);
/// ...and this much of an overdue attempt's evidence holds where none were to be expected.
const RARE: f64 = 0.4;
/// An attempt is moved from an endpoint whose silence is worth this much: not for each large object.
pub(crate) const SURE: f64 = 0.7;
/// An attempt is moved only where the request has more time left than this.
pub(crate) const WORTH_MOVING: Duration = Duration::from_millis(50);

/// Own load is averaged over this long to tell others': several requests, yet short against an overload.
pub(crate) const MEMORY: Duration = Duration::from_secs(3);
/// ...and over this long at parents: what all start there in a second is more than they can bear.
pub(crate) const FILL_MEMORY: Duration = Duration::from_millis(1_500);

/// A copy must be younger than the purge of its object by this.
const YOUNGER: Duration = Duration::from_millis(1);

fn past(long: Duration) -> f64 {
    (-ratio(long, KEPT)).exp()
}

/// What an endpoint is to this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Role {
    #[default]
    Own,
    Elsewhere,
    Parent,
    Origin,
}

impl Role {
    fn of(s: &Settings, e: &EndpointEntry) -> Role {
        match Some(e.kind) {
            k if k == s.parent_kind => Role::Parent,
            k if k == s.origin_kind => Role::Origin,
            _ if e.zone == s.zone => Role::Own,
            _ => Role::Elsewhere,
        }
    }
}

/// What is known of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) entry: EndpointEntry,
    pub(crate) role: Role,
    /// Since when it may be cold: its start as listed, or its return as seen here.
    pub(crate) cold_since: Option<Timestamp>,
    /// Evidence of failure since the last sign of life.
    pub(crate) strikes: f64,
    /// Part of its requests that met errors here and none elsewhere, smoothed.
    pub(crate) faults: f64,
    /// For a parent: part of the attempts that named it and stayed overdue, smoothed.
    pub(crate) owing: f64,
    pub(crate) last_ok: Timestamp,
    /// Signs of life over the last USUAL or so, as counted at the last one.
    pub(crate) answers: f64,
    /// Out until this time; then one trial leads back in.
    pub(crate) out: Option<Timestamp>,
    pub(crate) backoff: Duration,
    pub(crate) trial: bool,
    /// The process was seen dead (connections fail or break): it comes back cold.
    pub(crate) died: bool,
    /// Probes tell whether it lives, answers that name it don't; and what they are asked about.
    pub(crate) probed: bool,
    pub(crate) doubt: Doubt,
    /// While cold: how far its next slot is, as of when, and when the latest began.
    pub(crate) phase: Option<(f64, Timestamp)>,
    pub(crate) slot: Timestamp,
    /// Own attempts that it has in hand, and their smoothed number when that last changed.
    pub(crate) inflight: u32,
    pub(crate) load: f64,
    pub(crate) load_at: Timestamp,
    /// Part of the aim that its answers take, smoothed.
    pub(crate) tardy: f64,
    /// Work asked of it lately: when, for which attempt, seconds of sending.
    pub(crate) ledger: VecDeque<(Timestamp, u64, f64)>,
    /// Work kept from it lately, as its cold budget was spent: as of when, seconds of sending.
    unmet: Cell<(Timestamp, f64)>,
}

impl Endpoint {
    /// Own attempts in hand, averaged over that long or so.
    pub(crate) fn load(&self, now: Timestamp, over: Duration) -> f64 {
        let past = (-ratio(now.saturating_duration_since(self.load_at), over)).exp();
        f64::from(self.inflight) + (self.load - f64::from(self.inflight)) * past
    }

    /// Notes what its cold budget did not admit, once a moment: one request asks more than once.
    pub(crate) fn noted(&self, now: Timestamp, work: f64, admitted: bool) -> bool {
        let (at, unmet) = self.unmet.get();
        if !admitted && now > at {
            self.unmet.set((now, unmet * past(now.duration_since(at)) + work));
        }
        admitted
    }

    /// Work that was kept from it within about the last KEPT.
    pub(crate) fn unmet(&self, now: Timestamp) -> f64 {
        let (at, unmet) = self.unmet.get();
        unmet * past(now.saturating_duration_since(at))
    }

    /// Something was in hand for so long, as is known at its end.
    pub(crate) fn spend(&mut self, now: Timestamp, over: Duration, spell: Duration) {
        let load = self.load(now, over) + ratio(spell, over);
        (self.load, self.load_at) = (load, now);
    }

    /// One more in hand, or one less.
    pub(crate) fn hold(&mut self, now: Timestamp, over: Duration, more: bool) {
        (self.load, self.load_at) = (self.load(now, over), now);
        self.inflight = if more { self.inflight + 1 } else { self.inflight.saturating_sub(1) };
    }

    pub(crate) fn up(&self) -> bool {
        self.out.is_none()
    }

    /// What silence since then is worth as evidence: little at an endpoint that this router rarely hears of.
    /// Several overdue attempts in a row still take such an endpoint out.
    pub(crate) fn silence(&self, now: Timestamp, since: Timestamp) -> f64 {
        let expected = self.answers / secs(USUAL) * secs(now.saturating_duration_since(since));
        1.0 - (1.0 - RARE) * (-expected).exp()
    }

    pub(crate) fn trial_due(&self, now: Timestamp) -> bool {
        !self.trial && !self.unproven() && self.out.is_some_and(|t| now >= t)
    }

    /// Held to be dead, and only a probe tells that it is back.
    pub(crate) fn unproven(&self) -> bool {
        self.died && self.probed
    }

    /// Whether a probe settles what this endpoint is, under these settings.
    pub(crate) fn assign_probed(&mut self, s: &Settings) {
        self.probed =
            s.probes && s.cache_status_reporting == CacheStatusReporting::None && self.role == Role::Parent;
    }
}

/// What is held against a parent, and whether it was asked.
#[derive(Debug, Default)]
pub(crate) struct Doubt {
    pub(crate) sum: f64,
    /// When it was asked, as long as nothing has come back.
    pub(crate) asked: Option<Timestamp>,
    /// No probe before this.
    pub(crate) next: Timestamp,
    pub(crate) pause: Duration,
}

/// How freely what is behind the parents may be asked, and the evidence that it can't keep up.
#[derive(Debug)]
pub(crate) struct Relief {
    /// The share of requests whose fills may have a parent fetch, as of `at`.
    pub(crate) open: f64,
    /// Share of late answers among the last of them, as of `at`.
    pub(crate) late: f64,
    pub(crate) at: Timestamp,
    /// When the origin itself last answered in time.
    pub(crate) well: Timestamp,
    /// The last attempt that was refused: its endpoint and its source.
    pub(crate) refused: Option<(EndpointId, EndpointId)>,
}

impl Default for Relief {
    fn default() -> Self {
        Relief { open: 1.0, late: 0.0, at: Timestamp::ZERO, well: Timestamp::ZERO, refused: None }
    }
}

/// What is held against an endpoint: that it is slow or fails, that nothing of it is heard, or that its process is gone.
/// Only the last has it come back cold: a machine that was cut off goes on where it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sign {
    Slow,
    Unreached,
    Dead,
}

impl Sign {
    /// A refused connection is told at once. One waited for until its time was over is no more than silence.
    pub(crate) fn unconnected(s: &Settings, latency: Duration) -> Sign {
        if s.connect_timeout > Duration::ZERO && latency >= s.connect_timeout {
            Sign::Unreached
        } else {
            Sign::Dead
        }
    }
}

/// An attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Try {
    pub(crate) endpoint: EndpointId,
    pub(crate) source: Option<EndpointId>,
    pub(crate) sent: Timestamp,
    pub(crate) out: bool,
    /// It was overdue for long.
    pub(crate) looked: bool,
    /// It counts as a fill in hand at its source.
    pub(crate) filling: bool,
    /// It counts as in hand at its endpoint.
    pub(crate) held: bool,
    /// It ended with an error.
    pub(crate) failed: bool,
    /// Its source was to give only what it holds.
    pub(crate) only_if_cached: bool,
}

/// A request that is not accounted for yet.
#[derive(Debug, Default)]
pub(crate) struct Open {
    pub(crate) r: Request,
    pub(crate) key: u64,
    pub(crate) write: bool,
    /// The random draw among the blocks that its level opens.
    pub(crate) draw: u64,
    /// The most attempts that it may take.
    pub(crate) most: u32,
    pub(crate) done: bool,
    pub(crate) stream: bool,
    /// A source failed: a copy past its fresh time is better than none.
    pub(crate) stale: bool,
    /// A parent had no room for its fill.
    pub(crate) refused: bool,
    /// Its last attempt's answer is held to be lost: it is sent to the same endpoint again.
    pub(crate) lost: bool,
    pub(crate) tries: Vec<Try>,
    /// First attempt that may have run: when and where.
    pub(crate) ran: Option<(Timestamp, EndpointId)>,
    pub(crate) bad: BTreeSet<EndpointId>,
}

impl Open {
    pub(crate) fn out(&self) -> usize {
        self.tries.iter().filter(|t| t.out).count()
    }
}

/// What is learnt of a class: mean work in seconds, and a high quantile of latency over scale.
#[derive(Clone, Debug)]
pub(crate) struct Learnt {
    pub(crate) work: f64,
    /// What it was learnt from; and whether from sizes that were told.
    pub(crate) samples: f64,
    pub(crate) told: bool,
    /// Mean sending time of the bytes that came. What may be sent to cold endpoints goes by `work` all the same: that
    /// holds the waits as well, so it errs on their side, while few answers miss most of a class's large objects.
    pub(crate) sent: Option<f64>,
    pub(crate) slow: f64,
}

impl Learnt {
    /// Before anything is seen a class's work is held to be what its aim leaves room for.
    pub(crate) fn new(class: &RequestClass) -> Learnt {
        Learnt { work: secs(class.latency_objective), samples: 0.0, told: false, sent: None, slow: 1.5 }
    }

    /// The same under a class whose aim is another: where sizes are not told, latencies are measured by it.
    pub(crate) fn under(&self, old: &RequestClass, new: &RequestClass) -> Learnt {
        let scale = secs(old.latency_objective).max(0.001) / secs(new.latency_objective).max(0.001);
        Learnt { slow: (self.slow * scale).clamp(0.2, 20.0), ..self.clone() }
    }

    /// What a request of the class is held to cost a cold endpoint: where sizes are not told no less than its bytes. The mean
    /// that holds the waits is the smaller one where the crowd at an endpoint is taken for larger than it is, as not all that is
    /// in hand there is sent.
    pub(crate) fn mean(&self) -> f64 {
        self.work.max(self.sent.filter(|_| !self.told).unwrap_or(0.0))
    }

    /// Learns from a size that was told.
    pub(crate) fn learn_told(&mut self, work: f64, last: f64) {
        self.told = true;
        self.learn(work, last);
    }

    /// The mean of the first samples, then of about the last so many.
    pub(crate) fn learn(&mut self, work: f64, last: f64) {
        self.samples = (self.samples + 1.0).min(last);
        self.work += (work - self.work) / self.samples;
    }

    /// The same for the bytes of an answer.
    pub(crate) fn learn_sent(&mut self, sent: f64, last: f64) {
        let before = self.sent.unwrap_or(sent);
        self.sent = Some(before + (sent - before) / self.samples.clamp(1.0, last));
    }

    /// Follows the quantile that leaves this tail: a step for each attempt answered, or moved when overdue:
    /// learnt from answers alone, moving would shorten the time after which it moves.
    pub(crate) fn pace(&mut self, above: bool, tail: f64) {
        let step = if above { 1.0 - tail } else { -tail };
        self.slow = (self.slow * (0.1 * step).exp()).clamp(0.2, 20.0);
    }
}

/// Endpoint, source of a fill, rank of the copy, and whether it is an endpoint's trial.
pub(crate) struct Plan(pub(crate) EndpointId, pub(crate) Option<EndpointId>, pub(crate) u8, pub(crate) bool);

/// Requests per object: this round's, the levels they led to, and what was asked for lately.
#[derive(Debug, Default)]
pub(crate) struct Counted {
    pub(crate) round: Timestamp,
    pub(crate) counts: BTreeMap<u64, u32>,
    pub(crate) total: u32,
    pub(crate) rate: f64,
    pub(crate) last: Timestamp,
    pub(crate) stall: Duration,
    pub(crate) levels: BTreeMap<u64, (u32, Timestamp)>,
    pub(crate) seen: [BTreeSet<u64>; 2],
    pub(crate) seen_since: Timestamp,
}

impl Counted {
    /// When the round began; the first begins now.
    pub(crate) fn start(&mut self, now: Timestamp) -> Timestamp {
        self.round = if self.round == Timestamp::ZERO { now } else { self.round };
        self.round
    }

    /// Counts a request; a full table takes no further objects.
    pub(crate) fn add(&mut self, key: u64, most: usize) {
        self.total += 1;
        if self.counts.len() < most || self.counts.contains_key(&key) {
            *self.counts.entry(key).or_default() += 1;
        }
    }

    /// Starts a new table of what was seen after that span, or when it is full.
    pub(crate) fn turn(&mut self, now: Timestamp, span: Duration, most: usize) {
        if now >= self.seen_since + span || self.seen[0].len() > most {
            self.seen_since = now;
            self.seen[1] = std::mem::take(&mut self.seen[0]);
        }
    }
}

/// The endpoints of the list, and which of them take work.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    ready: BTreeMap<Role, Vec<EndpointId>>,
    /// Dispatchers that use them beyond those that the settings name.
    pub(crate) further: u32,
    /// Dispatchers that may be at work, in all and in the own zone, where that is known better than by the settings.
    pub(crate) counted: Option<(u32, u32)>,
    /// Parts of cold budgets that are agreed with others, in place of even ones.
    pub(crate) leased: Option<Leased>,
}

impl Fleet {
    /// Takes lines of the list; tells which endpoints are new, have started anew or are back.
    pub(crate) fn apply(
        &mut self,
        s: &Settings,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
    ) -> Vec<EndpointId> {
        let mut started = Vec::new();
        if kind != ListKind::Delta {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            for (_, h) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id)) {
                h.entry.state = EndpointState::Gone;
            }
        }
        for e in entries {
            let role = Role::of(s, &e);
            let new = !self.endpoints.contains_key(&e.id);
            let h = self
                .endpoints
                .entry(e.id)
                .or_insert_with(|| Endpoint { entry: e.clone(), ..Endpoint::default() });
            let back = h.entry.state == EndpointState::Gone && e.state == EndpointState::Ready;
            if new || back || e.started > h.entry.started {
                started.push(e.id);
            }
            let (id, since, before) = (e.id, e.started, e.in_place_of.filter(|_| new || back));
            (h.entry, h.role) = (e, role);
            h.assign_probed(s);
            // Until its start was told it got what was meant for the one before it, and that counts.
            let before = before.and_then(|b| self.endpoints.get(&b)).map(|b| b.ledger.clone());
            if let (Some(ledger), Some(h)) = (before, self.endpoints.get_mut(&id)) {
                h.ledger.extend(ledger.into_iter().filter(|l| l.0 >= since));
            }
        }
        self.sort();
        started
    }

    /// An attempt is sent: it is in hand at its endpoint, and counts as work asked of both within the window.
    pub(crate) fn began(
        &mut self,
        now: Timestamp,
        window: Duration,
        (endpoint, source): (EndpointId, Option<EndpointId>),
        token: u64,
        work: f64,
    ) {
        let old = now.saturating_sub(window);
        for id in [Some(endpoint), source].into_iter().flatten() {
            let Some(h) = self.endpoints.get_mut(&id) else { continue };
            h.ledger.retain(|l| l.0 > old);
            h.ledger.push_back((now, token, work));
            h.trial |= h.out.is_some();
            if h.entry.id == endpoint {
                h.hold(now, MEMORY, true);
            }
        }
    }

    /// An attempt has ended: it is no longer in hand, and a trial is over.
    pub(crate) fn ended(&mut self, now: Timestamp, t: &Try, out: &AttemptOutcome) {
        if let Some(h) = self.endpoints.get_mut(&t.endpoint) {
            if t.held {
                h.hold(now, MEMORY, false);
            }
            h.trial = false;
        }
        if let Some(h) = t.source.and_then(|s| self.endpoints.get_mut(&s)) {
            h.trial = false;
            if t.filling {
                h.hold(now, FILL_MEMORY, false);
            }
            if !t.filling && matches!(out.note, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin)) {
                // Only its outcome tells that an attempt was a fill.
                h.spend(now, FILL_MEMORY, out.latency);
            }
            if out.note == Some(CacheStatus::Hit) {
                // A hit asked nothing of its source: the budget gets it back.
                let token = u64::from(out.request) << 16 | u64::from(out.attempt);
                h.ledger.retain(|l| l.1 != token);
            }
        }
    }

    /// Whether an endpoint has answered anybody since then.
    pub(crate) fn answered(&self, id: EndpointId, since: Timestamp) -> bool {
        self.endpoints.get(&id).is_some_and(|h| h.last_ok > since)
    }

    /// What the endpoints are under other settings.
    pub(crate) fn assign(&mut self, s: &Settings) {
        for h in self.endpoints.values_mut() {
            h.role = Role::of(s, &h.entry);
            h.assign_probed(s);
        }
        self.sort();
    }

    fn sort(&mut self) {
        self.ready.clear();
        for (id, h) in self.endpoints.iter().filter(|(_, h)| h.entry.state == EndpointState::Ready) {
            self.ready.entry(h.role).or_default().push(*id);
        }
    }

    /// Drops endpoints that are gone once there are more than so many: successors would pile up for ever.
    pub(crate) fn forget(&mut self, most: usize) {
        if self.endpoints.len() > most {
            self.endpoints.retain(|_, h| h.entry.state != EndpointState::Gone || h.inflight > 0);
        }
    }

    /// The endpoints of a role that take work.
    pub(crate) fn alike(&self, role: Role) -> impl Iterator<Item = &Endpoint> {
        self.ready.get(&role).into_iter().flatten().filter_map(|id| self.endpoints.get(id))
    }
}

/// When what was purged last.
#[derive(Debug, Default)]
pub struct PurgeHistory {
    pub(crate) at: BTreeMap<(bool, u64), Timestamp>,
    pub(crate) floor: Timestamp,
}

impl PurgeHistory {
    /// Takes a purge. Beyond so many the latest time of those dropped stands for every object: nothing is forgotten.
    pub fn add(&mut self, now: Timestamp, p: &Purge, most: usize) {
        let at = now.saturating_sub(p.since);
        let key = p.object.map_or((true, u64::from(p.group)), |o| (false, o));
        let e = self.at.entry(key).or_insert(at);
        *e = at.max(*e);
        self.trim(most);
    }

    /// The oldest copy that will do now for what was purged at that time.
    pub fn oldest_copy(now: Timestamp, purged: Timestamp) -> Duration {
        now.saturating_duration_since(purged + YOUNGER).max(MICROSECOND)
    }

    pub(crate) fn trim(&mut self, most: usize) {
        while self.at.len() > most {
            self.floor = self.floor.max(self.at.pop_first().map_or(Timestamp::ZERO, |p| p.1));
        }
    }

    /// Drops what was purged before that.
    pub fn forget(&mut self, before: Timestamp) {
        self.at.retain(|_, t| *t > before);
    }

    /// The latest purge of a request's object; [`Timestamp::ZERO`] if none is known.
    pub fn latest(&self, r: &Request) -> Timestamp {
        let object = self.at.get(&(false, r.object));
        let group = self.at.get(&(true, u64::from(r.group)));
        *object.max(group).unwrap_or(&Timestamp::ZERO).max(&self.floor)
    }
}

/// What may be used of an endpoint's cold budget here, as a part of the whole: `now` until then, `after` from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaShare {
    /// Until `until`.
    pub now: f64,
    /// By the same clock as all times that the module is given.
    pub until: Timestamp,
    /// From then on, whatever is heard.
    pub after: f64,
}

/// Parts of cold budgets: of all those that nothing else is said of, and of endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leased {
    /// Of an endpoint that all share, and of one that the own zone shares.
    pub(crate) homes: (f64, f64),
    pub(crate) parts: BTreeMap<EndpointId, QuotaShare>,
}
