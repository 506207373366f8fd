//! Who there is, what he is, and who may still be at work: SWIM with Lifeguard's additions (both published), digests on
//! every datagram, and repair of what differs. It decides what is said of other routers and what is sent; it does not
//! decide what any of that is used for.
//!
//! A router is the address that others send to: only one process can hold it, so the next start at an address
//! supersedes the one before. All that is known of one is a [`MemberRecord`]; the greatest one holds.

mod message;
mod options;
mod probe;
mod record;
mod spread;
mod status;

pub use options::{MembershipOptions, MembershipTimings};
pub use record::{MemberRecord, MemberState, RouterPhase, MAX_NAME_LEN};
pub use status::{MemberStatus, MembershipChange, MembershipCounters};

use crate::counters::RouterCounts;
use crate::envelope::fleet_hash;
use crate::transmit::Transmit;
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
pub const MAX_MEMBERS: usize = 2_000;
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

/// What is known of another router.
#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    suspicion: Option<Suspicion>,
    /// When what is said of it changed last.
    since: Time,
    /// When it answered last, and whether its view agreed then.
    answered: Option<Time>,
    agrees: bool,
}

/// One router's view of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    setup: MembershipOptions,
    fleet: u64,
    rng: Pcg64Mcg,
    now: Time,
    record: MemberRecord,
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
    changes: VecDeque<MembershipChange>,
    /// MembershipCounters.
    pub counters: MembershipCounters,
}

impl Membership {
    /// A view that knows nobody. What it wants to send first is there at once.
    pub fn new(setup: MembershipOptions, now: Time) -> Membership {
        let record = MemberRecord {
            generation: setup.generation,
            incarnation: 0,
            state: MemberState::Alive,
            phase: RouterPhase::Joining,
            name: setup.router_name.clone(),
            zone: setup.zone.clone(),
        };
        let mut digests = Digests::default();
        digests.turn(setup.address, &record);
        let mut view = Membership {
            fleet: fleet_hash(&setup.cluster_name),
            rng: Pcg64Mcg::seed_from_u64(setup.random_seed),
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
            counters: MembershipCounters::default(),
            setup,
        };
        view.join(now);
        view.handle_timeout(now);
        view
    }

    // ---- what goes in ----

    /// A datagram came. What can't be read is counted; nothing of it is believed.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) {
        self.pass(now);
        self.counters.received.add(bytes.len());
        match message::read(bytes, self.fleet) {
            Ok((head, news)) => self.on_message(head, news),
            Err(e) => self.counters.rejected.count(e),
        }
        self.judge();
    }

    /// Time has passed; to be called when [`Membership::next_timeout`] says so.
    pub fn handle_timeout(&mut self, now: Time) {
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
    pub fn set_phase(&mut self, now: Time, phase: RouterPhase) {
        self.pass(now);
        if self.record.phase != phase && self.record.state != MemberState::Left {
            self.speak(|r| r.phase = phase);
        }
    }

    /// This process goes on in the place of another one at the same address, which says nothing any more: under its
    /// start, so that nobody sees it go or come. What this one would have said under its own start is not sent.
    pub fn take_over_incarnation(&mut self, now: Time, generation: u64, incarnation: u32) {
        self.join(now);
        let old = self.record.clone();
        let record = MemberRecord { generation, incarnation: incarnation.saturating_add(1), ..old.clone() };
        if !record.usable() {
            return;
        }
        self.out.clear();
        self.record = record;
        self.digests.turn(self.setup.address, &old);
        self.digests.turn(self.setup.address, &self.record);
        self.news.insert(self.setup.address, 0);
    }

    /// From now on others are heard: that they were not before is no stall of this process.
    pub fn join(&mut self, now: Time) {
        self.now = now.max(self.now);
        (self.differed, self.probe) = (self.now, None);
        (self.next_tell, self.next_retry) = (self.now, self.now);
        // Not all routers of a fleet that starts at once probe in step.
        self.next_probe = self.now + self.draw(self.setup.timings.probe_interval);
    }

    /// This router ends: it says so to a few, who tell the others. Nothing is answered from then on.
    pub fn leave(&mut self, now: Time) {
        self.pass(now);
        self.speak(|r| r.state = MemberState::Left);
        for _ in 0..2 {
            self.news.insert(self.setup.address, 0);
            self.tell();
        }
    }

    // ---- what comes out ----

    /// When [`Membership::handle_timeout`] is to be called.
    pub fn next_timeout(&self) -> Time {
        let asked = self.probe.iter().filter(|p| !p.asked && !p.answered).map(|p| p.sent + self.patience());
        let ends = self.suspicions().map(|(_, s)| s.ends(&self.setup.timings));
        let tells = (!self.news.is_empty()).then_some(self.next_tell);
        let settles = (!self.settled).then_some(self.differed + SETTLES);
        let next = [self.next_probe, self.next_retry].into_iter().chain(asked).chain(ends).chain(tells);
        next.chain(settles.filter(|t| *t > self.now)).min().unwrap_or(self.next_probe)
    }

    /// The next datagram to send.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        let (destination, payload) = self.out.pop_front()?;
        Some(Transmit { destination, payload })
    }

    /// The next thing that operators are to be told.
    pub fn poll_change(&mut self) -> Option<MembershipChange> {
        self.changes.pop_front()
    }

    /// The digest of the whole view: two routers with the same one hold the same.
    pub fn digest(&self) -> u64 {
        self.digests.whole()
    }

    /// The local router's address.
    pub fn address(&self) -> SocketAddr {
        self.setup.address
    }

    /// The local router's record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.record
    }

    /// What is said of another router.
    pub fn record_of(&self, of: SocketAddr) -> Option<&MemberRecord> {
        self.members.get(&of).map(|m| &m.record)
    }

    /// All others, by address.
    pub fn members(&self) -> impl Iterator<Item = MemberStatus> + '_ {
        self.members.iter().map(|(addr, m)| MemberStatus {
            address: *addr,
            record: m.record.clone(),
            unchanged_for: self.now.saturating_sub(m.since),
            last_ack_age: m.answered.map(|t| self.now.saturating_sub(t)),
            digest_matches: m.agrees,
        })
    }

    /// Whether the local view agrees with all that has been received lately.
    pub fn is_converged(&self) -> bool {
        self.settled
    }

    /// How long ago the local view last changed or differed from a received one.
    pub fn time_since_difference(&self) -> Time {
        self.now.saturating_sub(self.differed)
    }

    /// Whether nobody answers: what is said of others here is as old as that.
    pub fn is_isolated(&self) -> bool {
        self.deaf
    }

    /// About the memory that all this takes, in bytes: its tables by their entries, and what waits to be sent.
    pub fn memory_bytes(&self) -> usize {
        let text = |r: &MemberRecord| r.name.capacity() + r.zone.capacity();
        let members: usize = self.members.values().map(|m| text(&m.record)).sum();
        let entry = std::mem::size_of::<SocketAddr>();
        // A B-tree's nodes are two thirds full on average.
        let tables =
            self.members.len() * (entry + std::mem::size_of::<Member>()) + self.news.len() * (entry + 4);
        let waits: usize = self.out.iter().map(|(_, bytes)| bytes.capacity()).sum();
        let changes = self.changes.capacity() * std::mem::size_of::<MembershipChange>();
        std::mem::size_of::<Membership>()
            + members
            + tables * 3 / 2
            + self.turn.capacity() * entry
            + waits
            + changes
    }

    /// Lifeguard's local health; 0 is well.
    pub fn local_health(&self) -> u32 {
        self.health
    }

    /// Others that are reachable as far as this router can tell: to save work by, never to guard a rule.
    pub fn reachable_count(&self) -> usize {
        if self.deaf {
            0
        } else {
            self.within
        }
    }

    /// Routers that may be at work, this one among them, of an office or of all: everybody known who has not left in
    /// words and was not superseded at his own address. Silence proves nothing, so a lost one is still counted.
    pub fn possibly_active_count(&self, zone: Option<&str>) -> u32 {
        let here = |r: &MemberRecord| r.state != MemberState::Left && zone.is_none_or(|z| z == r.zone);
        let known = self.members.values().filter(|m| here(&m.record)).count();
        (known + self.beyond.len() + usize::from(here(&self.record))) as u32
    }

    /// By how many routers limits are divided, of an office or of all, where so many are configured there: no fewer than
    /// may be at work, and no fewer than configured until the view was once settled with as many as configured in all.
    fn sharing(&self, zone: Option<&str>, configured: u32, in_all: u32) -> u32 {
        let floor = if self.complete >= in_all { 1 } else { configured };
        self.possibly_active_count(zone).max(floor)
    }

    /// The same under a router's settings: of all, and of its own office.
    pub fn quota_divisors(&self, settings: &Settings) -> RouterCounts {
        let all = settings.router_count;
        let here = settings.router_count_by_zone.get(usize::from(settings.zone)).copied().unwrap_or(0);
        RouterCounts {
            all: self.sharing(None, all, all),
            own_zone: self.sharing(Some(&self.record.zone), here, all),
        }
    }

    // ---- records ----

    /// Takes the time; a process that stood still holds nobody else to blame for the answers it missed.
    fn pass(&mut self, now: Time) {
        let stalled = now.saturating_sub(self.next_timeout().max(self.now));
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
        self.changed(MembershipChange::ProcessPaused(stalled));
        self.next_probe = self.now;
        let mut asked = self.some(3, &[]);
        asked.extend(self.setup.seeds.iter().copied().filter(|s| *s != self.setup.address).take(2));
        asked.sort();
        asked.dedup();
        asked.into_iter().for_each(|to| self.compare(to, false));
    }

    fn on_message(&mut self, head: Head, news: Vec<News>) {
        if head.from == self.setup.address {
            // A datagram of its own that somebody sent back, or another process under its address: only a later
            // start there says something.
            return self.claimed(&head.record);
        }
        self.learn(head.from, head.record, None);
        for n in news {
            match n.of == self.setup.address {
                true => self.claimed(&n.record),
                false => self.learn(n.of, n.record, Some(n.by)),
            }
        }
        if self.record.state == MemberState::Left {
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
    fn learn(&mut self, of: SocketAddr, record: MemberRecord, by: Option<u32>) {
        let Some(m) = self.members.get_mut(&of) else { return self.meet(of, record, by) };
        if record == m.record {
            if let (Some(s), Some(by), MemberState::Suspect) = (&mut m.suspicion, by, record.state) {
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
        m.suspicion = (record.state == MemberState::Suspect).then(|| Suspicion::new(self.now, by));
        m.since = self.now;
        let restarted = record.generation > old.generation;
        if restarted {
            (m.answered, m.agrees) = (None, false);
        }
        self.count(of, Some(&old), Some(&record));
        if old.digest(of) != record.digest(of) {
            self.differed = self.now;
        }
        self.news.insert(of, 0);
        let told = if restarted {
            MembershipChange::Restarted { address: of, record }
        } else {
            MembershipChange::Updated { address: of, previous: Some(old), record }
        };
        self.changed(told);
    }

    /// Somebody who was not known.
    fn meet(&mut self, of: SocketAddr, record: MemberRecord, by: Option<u32>) {
        if self.members.len() >= MAX_MEMBERS && !self.forget() {
            if self.beyond.len() < MAX_MEMBERS
                && record.state != MemberState::Left
                && self.beyond.insert(message::by(of))
            {
                self.changed(MembershipChange::TableFull(of));
            }
            return;
        }
        let suspicion = (record.state == MemberState::Suspect).then(|| Suspicion::new(self.now, by));
        self.count(of, None, Some(&record));
        self.differed = self.now;
        self.news.insert(of, 0);
        let live = |r: &MemberRecord| r.state <= MemberState::Suspect && r.name == record.name;
        let twin = self.members.iter().find(|(_, m)| live(&m.record)).map(|(a, _)| *a);
        let twin = twin.or(live(&self.record).then_some(self.setup.address)).filter(|_| live(&record));
        if let Some(twin) = twin {
            self.changed(MembershipChange::DuplicateName {
                name: record.name.clone(),
                first: twin,
                second: of,
            });
        }
        self.changed(MembershipChange::Updated { address: of, previous: None, record: record.clone() });
        let member = Member { record, suspicion, since: self.now, answered: None, agrees: false };
        self.members.insert(of, member);
        let at = self.draw(self.turn.len() as u64 + 1) as usize;
        self.turn.insert(at, of);
    }

    /// Makes room: whoever left longest ago is not needed. A lost one is never forgotten.
    fn forget(&mut self) -> bool {
        let left = self.members.iter().filter(|(_, m)| m.record.state == MemberState::Left);
        let Some(oldest) = left.min_by_key(|(a, m)| (m.since, **a)).map(|(a, _)| *a) else { return false };
        if let Some(m) = self.members.remove(&oldest) {
            self.count(oldest, Some(&m.record), None);
        }
        self.turn.retain(|a| *a != oldest);
        self.news.remove(&oldest);
        true
    }

    /// A record took the place of another one: what is counted over all of them.
    fn count(&mut self, of: SocketAddr, old: Option<&MemberRecord>, new: Option<&MemberRecord>) {
        let within =
            |r: Option<&MemberRecord>| usize::from(r.is_some_and(|r| r.state <= MemberState::Suspect));
        self.within = self.within + within(new) - within(old);
        if new.is_some_and(|r| r.state == MemberState::Suspect) {
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
    fn claimed(&mut self, said: &MemberRecord) {
        if *said <= self.record || self.record.state == MemberState::Left {
            return;
        }
        let start = self.record.generation;
        if said.generation > start {
            // A start before this one, under a clock that was ahead; or a copy of this router, which is not heard at
            // this address.
            let next = said.generation + 1;
            self.speak(|r| (r.generation, r.incarnation) = (next, 0));
            self.changed(MembershipChange::GenerationRaised(next));
            return;
        }
        let (state, incarnation) = (said.state, said.incarnation);
        self.counters.refutations += 1;
        self.health = (self.health + 1).min(probe::HEALTH_MOST);
        self.speak(|r| r.incarnation = incarnation);
        if state != MemberState::Alive {
            self.changed(MembershipChange::Refuted(state));
        }
    }

    /// Changes the own record and tells everybody.
    fn speak(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let old = self.record.clone();
        change(&mut self.record);
        if self.record.generation == old.generation {
            self.record.incarnation += 1;
        }
        if self.record.incarnation >= INCARNATION_MOST {
            (self.record.generation, self.record.incarnation) = (self.record.generation + 1, 0);
        }
        debug_assert!(self.record > old, "an own record that does not supersede the one before");
        self.digests.turn(self.setup.address, &old);
        self.digests.turn(self.setup.address, &self.record);
        self.differed = self.now;
        self.news.insert(self.setup.address, 0);
    }

    fn changed(&mut self, change: MembershipChange) {
        if self.changes.len() >= CHANGES_MOST {
            self.changes.pop_front();
            self.counters.dropped += 1;
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
            self.changed(match deaf {
                true => MembershipChange::Isolated,
                false => MembershipChange::IsolationEnded,
            });
        }
        let heard = self.within == 0 || self.heard && !self.deaf;
        let settled = heard && self.suspects.is_empty() && self.now >= self.differed + SETTLES;
        if settled != self.settled {
            self.settled = settled;
            self.changed(match settled {
                true => MembershipChange::Converged,
                false => MembershipChange::Diverged,
            });
        }
        if settled {
            self.complete = self.complete.max(self.possibly_active_count(None));
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    /// Some reachable routers, drawn at random, but not those.
    fn some(&mut self, most: usize, not: &[SocketAddr]) -> Vec<SocketAddr> {
        let fit =
            |(a, m): &(&SocketAddr, &Member)| m.record.state <= MemberState::Suspect && !not.contains(a);
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
