//! Who there is, what he is, and who may still be at work: SWIM with Lifeguard's additions (both published), digests on
//! every datagram, and repair of what differs. It decides what is said of other routers and what is sent; it does not
//! decide what any of that is used for.
//!
//! A router is the address that others send to: only one process can hold it, so the next start at an address
//! supersedes the one before. All that is known of one is a [`Record`]; the greatest one holds.

mod message;
mod probe;
mod record;
mod spread;

pub use record::{Phase, Rank, Record, NAME_MOST};

use crate::envelope::fleet_hash;
use crate::{Time, MS, SEC};
use hollymux_decision::Settings;
use message::{Head, News};
use probe::{Probe, Relay, Suspicion};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use record::{Digests, INCARNATION_MOST};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Routers remembered, lost ones and those that left among them.
pub const MEMBERS_MOST: usize = 2_000;
/// Datagrams and changes that wait to be taken; what is beyond is as if the network had lost it.
const OUT_MOST: usize = 256;
const CHANGES_MOST: usize = 1_024;
/// Views that agree for so long with all that is heard are settled.
const SETTLES: Time = SEC;
/// With so many probes in a row unanswered, twice as many as there are others if those are fewer, a router knows nothing
/// of the others, and says nothing of them.
const DEAF: u32 = 10;
/// Asked for its timers so much later than it wanted, the process itself stood still.
const STALL: Time = 700 * MS;

/// Times that trade speed for datagrams. Every one has its reason in `docs/cluster.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// From one probe to the next.
    pub probe: Time,
    /// An answer that takes longer is asked for by way of others.
    pub answer: Time,
    /// From one telling of news to the next, while there are any.
    pub tell: Time,
    /// A suspicion that enough others confirm lasts so long before the suspect is lost...
    pub suspect_least: Time,
    /// ...and one that nobody confirms so long.
    pub suspect_most: Time,
    /// Lost routers and seeds are tried again no more often than this.
    pub retry: Time,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            probe: 500 * MS,
            answer: 150 * MS,
            tell: 200 * MS,
            suspect_least: 1_500 * MS,
            suspect_most: 4_500 * MS,
            retry: SEC,
        }
    }
}

/// What a view is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The fleet's name: datagrams of others are dropped.
    pub fleet: String,
    /// What people call this router.
    pub name: String,
    /// Its office.
    pub zone: String,
    /// The address that others send to.
    pub addr: SocketAddr,
    /// Whom to ask at the start, and again while nobody of them is known.
    pub seeds: Vec<SocketAddr>,
    /// The number of this start; a greater one is taken if others know one.
    pub start: u64,
    /// Times.
    pub times: Times,
    /// For random numbers.
    pub seed: u64,
}

/// Something that operators are told once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// What is said of a router is something else now; none: it was not known.
    Router(SocketAddr, Option<Record>, Record),
    /// It started anew at its address.
    Restarted(SocketAddr, Record),
    /// Two live routers have one name, which is no replacement: their settings were copied.
    NameTwice(String, SocketAddr, SocketAddr),
    /// Others held this router to be so; it has refuted that.
    Refuted(Rank),
    /// Another start of this address was known: this one took a greater number.
    Superseded(u64),
    /// The own process stood still for so long: what it held must be heard anew.
    Stalled(Time),
    /// Nobody answers any more, or somebody does again.
    Deaf(bool),
    /// The view agrees with all that is heard, or no longer.
    Settled(bool),
    /// The table is full: this router is only counted.
    Full(SocketAddr),
}

/// What is known of another router.
#[derive(Clone, Debug)]
struct Member {
    record: Record,
    suspicion: Option<Suspicion>,
    /// When what is said of it changed last.
    since: Time,
    /// When it answered last, and whether its view agreed then.
    answered: Option<Time>,
    agrees: bool,
}

/// A router as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Its address.
    pub addr: SocketAddr,
    /// What is said of it.
    pub record: Record,
    /// For how long that has been so.
    pub age: Time,
    /// How long ago it answered this router, if it ever did.
    pub answered: Option<Time>,
    /// Whether its view was the same as here then.
    pub agrees: bool,
}

/// Counts for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams read, and bytes.
    pub received: (u64, u64),
    /// Datagrams made, and bytes.
    pub sent: (u64, u64),
    /// Datagrams that are none: form, damage, fields, another fleet's.
    pub unread: [u64; 4],
    /// Datagrams and changes dropped because too many waited.
    pub dropped: u64,
    /// Probes, those without an answer, and suspicions begun here.
    pub probes: (u64, u64, u64),
    /// Times this router refuted what was said of it.
    pub refuted: u64,
}

/// One router's view of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    setup: Setup,
    fleet: u64,
    rng: Pcg64Mcg,
    now: Time,
    record: Record,
    members: BTreeMap<SocketAddr, Member>,
    /// Of them: how many are alive or suspect, and who is suspect.
    within: usize,
    suspects: BTreeSet<SocketAddr>,
    /// Routers that there was no room to remember: they count as at work for ever.
    beyond: BTreeSet<u32>,
    digests: Digests,
    /// What is still to be told, and how often it was.
    news: BTreeMap<SocketAddr, u32>,
    /// Whom to probe next, shuffled anew when all were.
    turn: Vec<SocketAddr>,
    probe: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    /// Lifeguard's local health: probes that failed less those that did not. 0 is well.
    health: u32,
    next_probe: Time,
    next_tell: Time,
    next_retry: Time,
    retried: usize,
    /// Whether anybody has answered since the start, and the probes in a row that nobody has.
    heard: bool,
    misses: u32,
    deaf: bool,
    /// When a datagram last told another digest, or the own one changed.
    differed: Time,
    settled: bool,
    complete: u32,
    /// The second in which comparisons are counted, and how many there were.
    compares_since: Time,
    compares: u32,
    /// When this router last asked for what differs.
    repaired: Time,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    changes: VecDeque<Change>,
    /// Counts.
    pub counts: Counts,
}

impl Membership {
    /// A view that knows nobody. What it wants to send first is there at once.
    pub fn new(setup: Setup, now: Time) -> Membership {
        let record = Record {
            start: setup.start,
            incarnation: 0,
            rank: Rank::Alive,
            phase: Phase::Joining,
            name: setup.name.clone(),
            zone: setup.zone.clone(),
        };
        let mut digests = Digests::default();
        digests.turn(setup.addr, &record);
        let mut view = Membership {
            fleet: fleet_hash(&setup.fleet),
            rng: Pcg64Mcg::seed_from_u64(setup.seed),
            now,
            record,
            members: BTreeMap::new(),
            within: 0,
            suspects: BTreeSet::new(),
            beyond: BTreeSet::new(),
            digests,
            news: BTreeMap::new(),
            turn: Vec::new(),
            probe: None,
            relays: BTreeMap::new(),
            health: 0,
            next_probe: now,
            next_tell: now,
            next_retry: now,
            retried: 0,
            heard: false,
            misses: 0,
            deaf: false,
            differed: now,
            settled: false,
            complete: 0,
            compares_since: now,
            compares: 0,
            repaired: now,
            out: VecDeque::new(),
            changes: VecDeque::new(),
            counts: Counts::default(),
            setup,
        };
        view.begin(now);
        view.tick(now);
        view
    }

    // ---- what goes in ----

    /// A datagram came. What can't be read is counted; nothing of it is believed.
    pub fn datagram(&mut self, now: Time, bytes: &[u8]) {
        self.pass(now);
        self.counts.received.0 += 1;
        self.counts.received.1 += bytes.len() as u64;
        match message::read(bytes, self.fleet) {
            Ok((head, news)) => self.on_message(head, news),
            Err(e) => self.counts.unread[e as usize] += 1,
        }
        self.judge();
    }

    /// Time has passed; to be called when [`Membership::due`] says so.
    pub fn tick(&mut self, now: Time) {
        self.pass(now);
        self.expire();
        if now >= self.next_probe {
            self.probe_next();
        }
        self.ask_others();
        if now >= self.next_tell {
            self.tell();
        }
        if now >= self.next_retry {
            self.retry();
        }
        self.judge();
    }

    /// What this router does now.
    pub fn phase(&mut self, now: Time, phase: Phase) {
        self.pass(now);
        if self.record.phase != phase && self.record.rank != Rank::Left {
            self.speak(|r| r.phase = phase);
        }
    }

    /// This process goes on in the place of another one at the same address, which says nothing any more: under its
    /// start, so that nobody sees it go or come. What this one would have said under its own start is not sent.
    pub fn succeed(&mut self, now: Time, start: u64, incarnation: u32) {
        self.begin(now);
        let old = self.record.clone();
        let record = Record { start, incarnation: incarnation.saturating_add(1), ..old.clone() };
        if !record.usable() {
            return;
        }
        self.out.clear();
        self.record = record;
        self.digests.turn(self.setup.addr, &old);
        self.digests.turn(self.setup.addr, &self.record);
        self.news.insert(self.setup.addr, 0);
    }

    /// From now on others are heard: that they were not before is no stall of this process.
    pub fn begin(&mut self, now: Time) {
        self.now = now.max(self.now);
        (self.differed, self.probe) = (self.now, None);
        (self.next_tell, self.next_retry) = (self.now, self.now);
        // Not all routers of a fleet that starts at once probe in step.
        self.next_probe = self.now + self.draw(self.setup.times.probe);
    }

    /// This router ends: it says so to a few, who tell the others. Nothing is answered from then on.
    pub fn leave(&mut self, now: Time) {
        self.pass(now);
        self.speak(|r| r.rank = Rank::Left);
        for _ in 0..2 {
            self.news.insert(self.setup.addr, 0);
            self.tell();
        }
    }

    // ---- what comes out ----

    /// When [`Membership::tick`] is to be called.
    pub fn due(&self) -> Time {
        let asked = self.probe.iter().filter(|p| !p.asked && !p.answered).map(|p| p.sent + self.patience());
        let ends = self.suspicions().map(|(_, s)| s.ends(&self.setup.times));
        let tells = (!self.news.is_empty()).then_some(self.next_tell);
        let settles = (!self.settled).then_some(self.differed + SETTLES);
        let next = [self.next_probe, self.next_retry].into_iter().chain(asked).chain(ends).chain(tells);
        next.chain(settles.filter(|t| *t > self.now)).min().unwrap_or(self.next_probe)
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// The next thing that operators are to be told.
    pub fn change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// The digest of the whole view: two routers with the same one hold the same.
    pub fn digest(&self) -> u64 {
        self.digests.whole()
    }

    /// The own record.
    pub fn own(&self) -> (SocketAddr, &Record) {
        (self.setup.addr, &self.record)
    }

    /// What is said of another router.
    pub fn record(&self, of: SocketAddr) -> Option<&Record> {
        self.members.get(&of).map(|m| &m.record)
    }

    /// All others, by address.
    pub fn others(&self) -> impl Iterator<Item = Seen> + '_ {
        self.members.iter().map(|(addr, m)| Seen {
            addr: *addr,
            record: m.record.clone(),
            age: self.now.saturating_sub(m.since),
            answered: m.answered.map(|t| self.now.saturating_sub(t)),
            agrees: m.agrees,
        })
    }

    /// Whether the view agrees with all that is heard, and for how long, or since when not.
    pub fn settled(&self) -> (bool, Time) {
        (self.settled, self.now.saturating_sub(self.differed))
    }

    /// Whether nobody answers: what is said of others here is as old as that.
    pub fn deaf(&self) -> bool {
        self.deaf
    }

    /// About the memory that all this takes, in bytes: its tables by their entries, and what waits to be sent.
    pub fn memory(&self) -> usize {
        let text = |r: &Record| r.name.capacity() + r.zone.capacity();
        let members: usize = self.members.values().map(|m| text(&m.record)).sum();
        let entry = std::mem::size_of::<SocketAddr>();
        // A B-tree's nodes are two thirds full on average.
        let tables =
            self.members.len() * (entry + std::mem::size_of::<Member>()) + self.news.len() * (entry + 4);
        let waits: usize = self.out.iter().map(|(_, bytes)| bytes.capacity()).sum();
        let changes = self.changes.capacity() * std::mem::size_of::<Change>();
        std::mem::size_of::<Membership>()
            + members
            + tables * 3 / 2
            + self.turn.capacity() * entry
            + waits
            + changes
    }

    /// Lifeguard's local health; 0 is well.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Others that are reachable as far as this router can tell: to save work by, never to guard a rule.
    pub fn reachable(&self) -> usize {
        if self.deaf {
            0
        } else {
            self.within
        }
    }

    /// Routers that may be at work, this one among them, of an office or of all: everybody known who has not left in
    /// words and was not superseded at his own address. Silence proves nothing, so a lost one is still counted.
    pub fn at_work(&self, zone: Option<&str>) -> u32 {
        let here = |r: &Record| r.rank != Rank::Left && zone.is_none_or(|z| z == r.zone);
        let known = self.members.values().filter(|m| here(&m.record)).count();
        (known + self.beyond.len() + usize::from(here(&self.record))) as u32
    }

    /// By how many routers limits are divided, of an office or of all, where so many are configured there: no fewer than
    /// may be at work, and no fewer than configured until the view was once settled with as many as configured in all.
    fn sharing(&self, zone: Option<&str>, configured: u32, in_all: u32) -> u32 {
        let floor = if self.complete >= in_all { 1 } else { configured };
        self.at_work(zone).max(floor)
    }

    /// The same under a router's settings: of all, and of its own office.
    pub fn shared_by(&self, settings: &Settings) -> (u32, u32) {
        let all = settings.router_count;
        let here = settings.router_count_by_zone.get(usize::from(settings.zone)).copied().unwrap_or(0);
        (self.sharing(None, all, all), self.sharing(Some(&self.record.zone), here, all))
    }

    // ---- records ----

    /// Takes the time; a process that stood still holds nobody else to blame for the answers it missed.
    fn pass(&mut self, now: Time) {
        let stalled = now.saturating_sub(self.due().max(self.now));
        self.now = now.max(self.now);
        if stalled < STALL {
            return;
        }
        self.probe = None;
        self.relays.clear();
        self.health = (self.health + 1).min(probe::HEALTH_MOST);
        for m in self.members.values_mut() {
            m.agrees = false;
            if let Some(s) = &mut m.suspicion {
                s.since += stalled;
            }
        }
        self.differed = self.now;
        self.changed(Change::Stalled(stalled));
        self.next_probe = self.now;
        let mut asked = self.some(3, &[]);
        asked.extend(self.setup.seeds.iter().copied().filter(|s| *s != self.setup.addr).take(2));
        asked.sort();
        asked.dedup();
        asked.into_iter().for_each(|to| self.compare(to, false));
    }

    fn on_message(&mut self, head: Head, news: Vec<News>) {
        if head.from == self.setup.addr {
            // A datagram of its own that somebody sent back, or another process under its address: only a later
            // start there says something.
            return self.claimed(&head.record);
        }
        self.learn(head.from, head.record, None);
        for n in news {
            match n.of == self.setup.addr {
                true => self.claimed(&n.record),
                false => self.learn(n.of, n.record, Some(n.by)),
            }
        }
        if self.record.rank == Rank::Left {
            return;
        }
        let agrees = head.digest == self.digest();
        if !agrees {
            self.differed = self.now;
        }
        if let Some(m) = self.members.get_mut(&head.from) {
            m.agrees = agrees;
        }
        self.on_body(head.from, head.body, agrees);
    }

    /// Takes what is said of another router; `by` tells who suspects it.
    fn learn(&mut self, of: SocketAddr, record: Record, by: Option<u32>) {
        let Some(m) = self.members.get_mut(&of) else { return self.meet(of, record, by) };
        if record == m.record {
            if let (Some(s), Some(by), Rank::Suspect) = (&mut m.suspicion, by, record.rank) {
                // Confirmations are news until there are enough of them.
                if s.confirm(by) {
                    self.news.insert(of, 0);
                }
            }
            return;
        }
        if record < m.record {
            return;
        }
        let old = std::mem::replace(&mut m.record, record.clone());
        m.suspicion = (record.rank == Rank::Suspect).then(|| Suspicion::new(self.now, by));
        m.since = self.now;
        let restarted = record.start > old.start;
        if restarted {
            (m.answered, m.agrees) = (None, false);
        }
        self.count(of, Some(&old), Some(&record));
        if old.digest(of) != record.digest(of) {
            self.differed = self.now;
        }
        self.news.insert(of, 0);
        let told =
            if restarted { Change::Restarted(of, record) } else { Change::Router(of, Some(old), record) };
        self.changed(told);
    }

    /// Somebody who was not known.
    fn meet(&mut self, of: SocketAddr, record: Record, by: Option<u32>) {
        if self.members.len() >= MEMBERS_MOST && !self.forget() {
            if self.beyond.len() < MEMBERS_MOST
                && record.rank != Rank::Left
                && self.beyond.insert(message::by(of))
            {
                self.changed(Change::Full(of));
            }
            return;
        }
        let suspicion = (record.rank == Rank::Suspect).then(|| Suspicion::new(self.now, by));
        self.count(of, None, Some(&record));
        self.differed = self.now;
        self.news.insert(of, 0);
        let live = |r: &Record| r.rank <= Rank::Suspect && r.name == record.name;
        let twin = self.members.iter().find(|(_, m)| live(&m.record)).map(|(a, _)| *a);
        let twin = twin.or(live(&self.record).then_some(self.setup.addr)).filter(|_| live(&record));
        if let Some(twin) = twin {
            self.changed(Change::NameTwice(record.name.clone(), twin, of));
        }
        self.changed(Change::Router(of, None, record.clone()));
        let member = Member { record, suspicion, since: self.now, answered: None, agrees: false };
        self.members.insert(of, member);
        let at = self.draw(self.turn.len() as u64 + 1) as usize;
        self.turn.insert(at, of);
    }

    /// Makes room: whoever left longest ago is not needed. A lost one is never forgotten.
    fn forget(&mut self) -> bool {
        let left = self.members.iter().filter(|(_, m)| m.record.rank == Rank::Left);
        let Some(oldest) = left.min_by_key(|(a, m)| (m.since, **a)).map(|(a, _)| *a) else { return false };
        if let Some(m) = self.members.remove(&oldest) {
            self.count(oldest, Some(&m.record), None);
        }
        self.turn.retain(|a| *a != oldest);
        self.news.remove(&oldest);
        true
    }

    /// A record took the place of another one: what is counted over all of them.
    fn count(&mut self, of: SocketAddr, old: Option<&Record>, new: Option<&Record>) {
        let within = |r: Option<&Record>| usize::from(r.is_some_and(|r| r.rank <= Rank::Suspect));
        self.within = self.within + within(new) - within(old);
        if new.is_some_and(|r| r.rank == Rank::Suspect) {
            self.suspects.insert(of);
        } else {
            self.suspects.remove(&of);
        }
        old.into_iter().chain(new).for_each(|r| self.digests.turn(of, r));
    }

    /// Suspicions, by suspect.
    fn suspicions(&self) -> impl Iterator<Item = (SocketAddr, &Suspicion)> + '_ {
        self.suspects.iter().filter_map(|of| Some((*of, self.members.get(of)?.suspicion.as_ref()?)))
    }

    /// Something is said of this router itself.
    fn claimed(&mut self, said: &Record) {
        if *said <= self.record || self.record.rank == Rank::Left {
            return;
        }
        let start = self.record.start;
        if said.start > start {
            // A start before this one, under a clock that was ahead; or a copy of this router, which is not heard at
            // this address.
            let next = said.start + 1;
            self.speak(|r| (r.start, r.incarnation) = (next, 0));
            self.changed(Change::Superseded(next));
            return;
        }
        let (rank, incarnation) = (said.rank, said.incarnation);
        self.counts.refuted += 1;
        self.health = (self.health + 1).min(probe::HEALTH_MOST);
        self.speak(|r| r.incarnation = incarnation);
        if rank != Rank::Alive {
            self.changed(Change::Refuted(rank));
        }
    }

    /// Changes the own record and tells everybody.
    fn speak(&mut self, change: impl FnOnce(&mut Record)) {
        let old = self.record.clone();
        change(&mut self.record);
        if self.record.start == old.start {
            self.record.incarnation += 1;
        }
        if self.record.incarnation >= INCARNATION_MOST {
            (self.record.start, self.record.incarnation) = (self.record.start + 1, 0);
        }
        debug_assert!(self.record > old, "an own record that does not supersede the one before");
        self.digests.turn(self.setup.addr, &old);
        self.digests.turn(self.setup.addr, &self.record);
        self.differed = self.now;
        self.news.insert(self.setup.addr, 0);
    }

    fn changed(&mut self, change: Change) {
        if self.changes.len() >= CHANGES_MOST {
            self.changes.pop_front();
            self.counts.dropped += 1;
        }
        self.changes.push_back(change);
    }

    /// Looks whether the view is settled and whether anybody answers.
    fn judge(&mut self) {
        // With one other nobody can tell whose silence it is.
        let most = DEAF.min(2 * self.within.max(2) as u32);
        let deaf = self.members.len() >= 2 && self.heard && self.misses >= most;
        if deaf != self.deaf {
            self.deaf = deaf;
            self.changed(Change::Deaf(deaf));
        }
        let heard = self.within == 0 || self.heard && !self.deaf;
        let settled = heard && self.suspects.is_empty() && self.now >= self.differed + SETTLES;
        if settled != self.settled {
            self.settled = settled;
            self.changed(Change::Settled(settled));
        }
        if settled {
            self.complete = self.complete.max(self.at_work(None));
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    /// Some reachable routers, drawn at random, but not those.
    fn some(&mut self, most: usize, not: &[SocketAddr]) -> Vec<SocketAddr> {
        let fit = |(a, m): &(&SocketAddr, &Member)| m.record.rank <= Rank::Suspect && !not.contains(a);
        let mut all: Vec<SocketAddr> = self.members.iter().filter(fit).map(|(a, _)| *a).collect();
        let most = most.min(all.len());
        for i in 0..most {
            let j = i + self.draw((all.len() - i) as u64) as usize;
            all.swap(i, j);
        }
        all.truncate(most);
        all
    }
}
