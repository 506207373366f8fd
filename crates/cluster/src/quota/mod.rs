//! QuotaManager of the whole fleet that must never be exceeded, as parts on lease: what a server that has just started bears,
//! shared by all routers that send to it. It decides how much of each limit this router may use now and until when, and
//! what it gives to whom; what a limit is worth, and what is done with it, is the decision module's.
//!
//! Every limit is [`WHOLE_QUOTA`] parts that exist once. A router's *home* is its even share, by the number of routers that may
//! be at work; parts of it move by lots on lease, counted out before they are told. Homes are even
//! shares only as long as everybody divides by enough: a router that starts uses none until all others have said that
//! they count it, and that all they ever gave fits under that.
//!
//! Who has too much and who too little meet at a *broker*, by rendezvous hash over those who can be reached. A broker has
//! no authority: two of them are two markets, and what each has was counted out elsewhere.

mod ledger;
mod message;
mod options;
mod peers;
mod status;

pub use options::{LeaseTimings, QuotaOptions};
pub use peers::{ActivePeers, QuotaPeer};
pub use status::{LeaseStatus, OwnShareStatus, QuotaAllocation, QuotaCounters};

use crate::counters::RouterCounts;
use crate::envelope::{fleet_hash, MAX_DATAGRAM_LEN};
use crate::transmit::Transmit;
use crate::{Time, MS};
use hollymux_decision::{EndpointId, QuotaScope, QuotaShare, Timestamp, WarmUpDemand};
use ledger::LeaseLedger;
use message::{Head, LimitEntry, ITEMS_MOST};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Parts of a limit.
pub const WHOLE_QUOTA: u32 = 1 << 20;
/// QuotaManager that are looked after at once; routers divide any further ones evenly.
pub const MAX_LIMITS: usize = 512;
/// Datagrams that wait to be taken; what is beyond is as if the network had lost it.
const OUT_MOST: usize = 512;
/// Routers that are asked in one turn whether they count this one.
const ASKED: usize = 32;
/// Homes that were put together are taken back when each is so many requests.
const APART: u32 = 3;
/// What was wanted fades over about this long.
const FADES: Time = 5_000 * MS;
/// What somebody wanted is forgotten after so many turns.
const WANTED: Time = 3;

/// A router in one of its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeaseHolder(pub(crate) SocketAddr, pub(crate) u64);

/// What is known of another router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    here: bool,
    reachable: bool,
    /// The life that it last spoke in, and its clock then; 0: it has not spoken.
    life: u64,
    stamp: Time,
    /// The set of routers under which it says that all it has given fits.
    counts: u64,
    /// It wants so much, of those limits, in steps of so much, since when.
    wants: BTreeMap<u64, (u32, u32, Time)>,
    /// It, or an earlier life of it, used a share of its own; and it says the same of this router.
    open: bool,
    knew: bool,
    /// The life that spoke last uses a share.
    uses: bool,
}

/// A limit that is in use here.
#[derive(Clone, Debug)]
struct Limit {
    sharers: QuotaScope,
    used: u32,
    /// Wanted at most lately, as of when; it fades.
    wanted: (u32, Time),
    /// What one request takes: less is of no use.
    unit: u32,
    book: LeaseLedger,
    /// It is asked for here at present.
    asked: bool,
    /// All of the home is at the broker.
    pooled: bool,
}

impl Limit {
    /// What is wanted here. Requests come in bursts: what was wanted a moment ago will be again, and parts that go to
    /// and fro are of no use to anybody on the way.
    fn wants(&self, now: Time) -> u32 {
        let past = now.saturating_sub(self.wanted.1) as f64 / FADES as f64;
        (f64::from(self.wanted.0) * (-past).exp()) as u32
    }

    /// The same in whole requests.
    fn needs(&self, now: Time) -> u32 {
        let wants = self.wants(now).max(self.used);
        // A tenth of a request is the rest of one that was wanted long ago.
        wants.saturating_sub(self.unit / 10).div_ceil(self.unit).saturating_mul(self.unit).min(WHOLE_QUOTA)
    }
}

/// One router's parts of the fleet's limits.
#[derive(Clone, Debug)]
pub struct QuotaManager {
    setup: QuotaOptions,
    fleet: u64,
    now: Time,
    began: Time,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Routers by whose number homes are divided, in all and here; and the digest of the set.
    among: (u32, u32),
    digest: u64,
    /// When homes last became smaller, or would have become larger.
    shrunk: Time,
    /// The larger homes that wait until those who left are over.
    grows: Option<(Time, (u32, u32))>,
    /// The home of this router is in use.
    open: bool,
    stopped: bool,
    limits: BTreeMap<u64, Limit>,
    lot: u64,
    next_turn: Time,
    next_asked: usize,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    /// QuotaCounters.
    pub counters: QuotaCounters,
}

impl QuotaManager {
    /// A router that has just started: it has nothing.
    pub fn new(setup: QuotaOptions, now: Time) -> QuotaManager {
        let among = (setup.configured_routers.all.max(1), setup.configured_routers.own_zone.max(1));
        let mut limits = QuotaManager {
            fleet: fleet_hash(&setup.cluster_name),
            now,
            began: now,
            peers: BTreeMap::new(),
            among,
            digest: 0,
            shrunk: now,
            grows: None,
            open: false,
            stopped: false,
            limits: BTreeMap::new(),
            lot: 0,
            next_turn: now,
            next_asked: 0,
            out: VecDeque::new(),
            counters: QuotaCounters::default(),
            setup,
        };
        limits.digest = limits.digest_of(&BTreeSet::new());
        limits
    }

    // ---- what goes in ----

    /// Everybody else who may be at work, by the view's second set, and how many there was no room for.
    pub fn update_peers(&mut self, now: Time, active: &ActivePeers) {
        self.pass(now);
        let beyond = active.unlisted;
        let mut named = BTreeSet::new();
        let mut here = 1;
        for m in &active.peers {
            here += u32::from(m.same_zone);
            named.insert(m.address);
            let peer = self.peers.entry(m.address).or_insert(Peer {
                here: m.same_zone,
                reachable: m.reachable,
                life: 0,
                stamp: 0,
                counts: 0,
                wants: BTreeMap::new(),
                open: false,
                knew: false,
                uses: false,
            });
            (peer.here, peer.reachable) = (m.same_zone, m.reachable);
        }
        self.peers.retain(|addr, _| named.contains(addr));
        let digest = self.digest_of(&named).wrapping_add(u64::from(beyond));
        if digest != self.digest {
            self.digest = digest;
            // Whatever was given before may have been more than the new share leaves.
            self.shrunk = self.now;
        }
        let all = named.len() as u32 + 1 + beyond;
        let RouterCounts { all: of_all, own_zone: of_here } = self.setup.configured_routers;
        let among = (all.max(of_all).max(1), (here + beyond).max(of_here).max(1));
        // Larger divisors bind at once; smaller ones when those who left, and what they gave, are over.
        let bound = (self.among.0.max(among.0), self.among.1.max(among.1));
        self.among = bound;
        self.grows = match self.grows {
            _ if among == bound => None,
            Some((at, then)) if then == among => Some((at, among)),
            _ => Some((self.now + self.setup.timings.max_claim_lifetime(), among)),
        };
    }

    /// What is asked for here now, in place of what was before.
    pub fn update_demand(&mut self, now: Time, demands: &[WarmUpDemand]) {
        self.pass(now);
        self.limits.values_mut().for_each(|l| (l.asked, l.used) = (false, 0));
        let parts = |f: f64| (f.clamp(0.0, 1.0) * f64::from(WHOLE_QUOTA)).ceil() as u32;
        for d in demands.iter().take(MAX_LIMITS) {
            let l = self.limits.entry(d.endpoint.0).or_insert_with(|| Limit {
                sharers: d.sharers,
                used: 0,
                wanted: (0, now),
                unit: 1,
                book: LeaseLedger::default(),
                asked: true,
                pooled: false,
            });
            (l.sharers, l.used, l.asked) = (d.sharers, parts(d.used), true);
            l.unit = parts(d.unit).max(1);
            l.wanted = (parts(d.wanted).max(l.wants(now)), now);
        }
        let terms = self.setup.timings;
        self.limits.retain(|_, l| {
            l.book.expire(now, &terms);
            l.asked || !l.book.idle()
        });
    }

    /// A datagram of this kind came. What can't be read is counted; nothing of it is believed.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) {
        self.pass(now);
        self.counters.received.add(bytes.len());
        match message::read(bytes, self.fleet) {
            Ok((head, items)) => self.on_word(&head, &items),
            Err(e) => self.counters.rejected.count(e),
        }
    }

    /// Time has passed; to be called when [`QuotaManager::next_timeout`] says so, with [`QuotaManager::update_demand`] before it.
    pub fn handle_timeout(&mut self, now: Time) {
        self.pass(now);
        if self.stopped || self.now < self.next_turn {
            return;
        }
        self.next_turn = self.now + self.setup.timings.exchange_interval;
        self.try_open();
        self.ask_whether_counted();
        self.deal();
    }

    /// This router sends nothing from now on but what is under way: it has no share any more.
    pub fn stop(&mut self, now: Time) {
        self.pass(now);
        (self.open, self.stopped) = (false, true);
    }

    // ---- what comes out ----

    /// When [`QuotaManager::handle_timeout`] is to be called.
    pub fn next_timeout(&self) -> Time {
        self.next_turn
    }

    /// The next datagram to send.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        let (destination, payload) = self.out.pop_front()?;
        Some(Transmit { destination, payload })
    }

    /// What may be used of a limit here; the own even share if nothing was asked for yet.
    pub fn usable_share(&self, now: Time, limit: u64, sharers: QuotaScope) -> QuotaShare {
        let part = |parts: u32| f64::from(parts) / f64::from(WHOLE_QUOTA);
        let home = self.home(sharers);
        let Some(l) = self.limits.get(&limit).filter(|_| !self.stopped) else {
            return QuotaShare { now: part(home), until: Timestamp::MAX, after: part(home) };
        };
        let terms = &self.setup.timings;
        let has = part(l.book.has(now, home, terms));
        // When the first lot ends, all of them count as ended: the next word says more.
        let after = part(home.saturating_sub(l.book.lent(now, terms)));
        l.book.ends(now).map_or(QuotaShare { now: has, until: Timestamp::MAX, after: has }, |until| {
            QuotaShare { now: has, until: Timestamp::from_micros(until), after }
        })
    }

    /// Whether this router's even share is in use, and by how many the whole is divided, in all and here.
    pub fn own_share_status(&self) -> OwnShareStatus {
        OwnShareStatus {
            in_use: self.open,
            divisors: RouterCounts { all: self.among.0, own_zone: self.among.1 },
        }
    }

    /// Times.
    pub fn timings(&self) -> &LeaseTimings {
        &self.setup.timings
    }

    /// Others who have not said that they count this router.
    pub fn unacknowledged_by(&self) -> Vec<SocketAddr> {
        let not = self.peers.iter().filter(|(_, p)| p.counts != self.digest);
        not.map(|(addr, _)| *addr).collect()
    }

    /// QuotaManager that are asked for, or of which something is held or lent.
    pub fn lease_statuses(&self) -> Vec<LeaseStatus> {
        let terms = &self.setup.timings;
        let one = |(id, l): (&u64, &Limit)| LeaseStatus {
            limit_id: *id,
            scope: l.sharers,
            usable: l.book.has(self.now, self.home(l.sharers), terms),
            own_share: self.home(l.sharers),
            borrowed: l.book.held(self.now),
            lent: l.book.lent(self.now, terms),
            used: l.used,
            demand: l.wants(self.now),
            next_expiry: l.book.ends(self.now),
            next_reclaim: l.book.back(self.now, terms),
            broker: self.broker(*id, l.sharers),
        };
        self.limits.iter().map(one).collect()
    }

    /// What the decision module may use now.
    pub fn allocation(&self, now: Time) -> QuotaAllocation {
        let share = |among: u32| if self.open { 1.0 / f64::from(among) } else { 0.0 };
        let parts =
            self.limits.iter().map(|(id, l)| (EndpointId(*id), self.usable_share(now, *id, l.sharers)));
        QuotaAllocation {
            share_of_all: share(self.among.0),
            share_of_own_zone: share(self.among.1),
            endpoints: parts.collect(),
        }
    }

    /// Whether a datagram is of this kind, by its first byte.
    pub fn is_quota_datagram(bytes: &[u8]) -> bool {
        bytes.first() == Some(&message::VERSION)
    }

    // ---- the own share ----

    fn pass(&mut self, now: Time) {
        self.now = now.max(self.now);
        if let Some((_, among)) = self.grows.filter(|(at, _)| self.now >= *at) {
            (self.among, self.grows) = (among, None);
        }
    }

    fn digest_of(&self, others: &BTreeSet<SocketAddr>) -> u64 {
        let mut all: Vec<String> = others.iter().map(SocketAddr::to_string).collect();
        all.push(self.setup.address.to_string());
        all.sort();
        xxh3_64_with_seed(all.join(" ").as_bytes(), 6) | 1
    }

    /// Parts of a limit that are this router's own.
    fn home(&self, sharers: QuotaScope) -> u32 {
        match sharers {
            _ if !self.open => 0,
            QuotaScope::All => WHOLE_QUOTA / self.among.0,
            QuotaScope::Zone => WHOLE_QUOTA / self.among.1,
            QuotaScope::Elsewhere => 0,
        }
    }

    /// The set that all this router uses and has given fits under: everything older has ended.
    fn fits(&self) -> u64 {
        if self.now >= self.shrunk + self.setup.timings.max_claim_lifetime() {
            self.digest
        } else {
            0
        }
    }

    /// Begins to use the own share: what an earlier life of this address gave or used is over, and everybody else who may
    /// be at work says that he counts this one, or somebody knows that an earlier life of it was counted so.
    fn try_open(&mut self) {
        if self.open || self.now < self.began + self.setup.timings.max_claim_lifetime() {
            return;
        }
        let counted = self.peers.values().all(|p| p.counts == self.digest);
        // The word of one whose own share is in use, and who holds the same routers to be at work: he counts all whose
        // shares are in use, so that this one does as well.
        let before = self.peers.values().any(|p| p.knew && p.uses && p.counts == self.digest);
        self.open = counted || before;
    }

    /// Asks those who have not said that they count this router; and once its home is in use, those who have not said
    /// that they know that: the next life at this address needs their word.
    fn ask_whether_counted(&mut self) {
        let asked = |p: &Peer| if self.open { p.reachable && !p.knew } else { p.counts != self.digest };
        let not: Vec<SocketAddr> = self.peers.iter().filter(|(_, p)| asked(p)).map(|(a, _)| *a).collect();
        let some = not.len().min(ASKED);
        for i in 0..some {
            let to = not[(self.next_asked + i) % not.len()];
            self.say(to, Vec::new(), false);
        }
        self.next_asked = self.next_asked.wrapping_add(some);
    }

    // ---- words ----

    fn say(&mut self, to: SocketAddr, items: Vec<LimitEntry>, answer: bool) {
        let Some(peer) = self.peers.get(&to) else { return };
        let head = Head {
            fleet: self.fleet,
            from: self.setup.address,
            start: self.setup.instance_id,
            to: peer.life,
            stamp: self.now,
            echo: peer.stamp,
            counts: self.fits(),
            open: self.open,
            knew: peer.open,
            answer,
        };
        let bytes = message::write(&head, &items);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_LEN, "a word of {} bytes", bytes.len());
        if self.out.len() < OUT_MOST {
            self.counters.sent.add(bytes.len());
            self.out.push_back((to, bytes));
        }
    }

    fn on_word(&mut self, head: &Head, items: &[LimitEntry]) {
        let me = self.setup.instance_id;
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&head.from) else { return self.counters.stale_messages += 1 };
        if head.to != me && head.to != 0 || head.echo > now {
            return self.counters.stale_messages += 1;
        }
        if peer.life != head.start {
            (peer.life, peer.stamp) = (head.start, 0);
            peer.wants.clear();
        }
        peer.stamp = peer.stamp.max(head.stamp);
        peer.open |= head.open;
        peer.uses = head.open;
        peer.counts = head.counts;
        peer.knew |= head.knew;
        let from = LeaseHolder(head.from, head.start);
        for item in items {
            if head.to == me {
                self.take(from, item, head.echo);
            }
            if let Some(peer) = self.peers.get_mut(&head.from) {
                let known = peer.wants.contains_key(&item.limit);
                if !head.answer && (known || peer.wants.len() < MAX_LIMITS) {
                    peer.wants.insert(item.limit, (item.want.min(WHOLE_QUOTA), item.unit.max(1), now));
                }
            }
        }
        if !head.answer && !self.stopped {
            let reply = items.iter().filter_map(|i| self.serve(from, i)).collect();
            self.say(head.from, reply, true);
        }
    }

    /// Takes what is given, for so long from when this router's word was sent that it answers.
    fn take(&mut self, from: LeaseHolder, item: &LimitEntry, asked: Time) {
        let now = self.now;
        // What nobody asks for here would only lie about.
        let Some(l) = self.limits.get_mut(&item.limit).filter(|l| l.sharers != QuotaScope::Elsewhere) else {
            return;
        };
        for gift in &item.gifts {
            let ends = asked.saturating_add(gift.long.min(self.setup.timings.lease_duration));
            if asked == 0 || ends <= now {
                self.counters.leases_expired_in_transit += 1;
                continue;
            }
            self.counters.leases_accepted += 1;
            l.book.take(now, from, gift, ends);
        }
    }

    // ---- who gets what ----

    /// Where too much and too little of a limit meet, if not here.
    fn broker(&self, limit: u64, sharers: QuotaScope) -> Option<SocketAddr> {
        let draw = |a: &SocketAddr| (xxh3_64_with_seed(a.to_string().as_bytes(), limit), *a);
        let fits = |p: &Peer| p.reachable && (sharers != QuotaScope::Zone || p.here);
        let others = self.peers.iter().filter(|(_, p)| fits(p)).map(|(a, _)| *a);
        let best = others.chain([self.setup.address]).max_by_key(draw)?;
        Some(best).filter(|b| *b != self.setup.address)
    }

    /// Tells each broker what is wanted, and gives it what is not.
    fn deal(&mut self) {
        let mut words: BTreeMap<SocketAddr, Vec<LimitEntry>> = BTreeMap::new();
        let ids: Vec<u64> = self
            .limits
            .iter()
            .filter(|(_, l)| l.asked && l.sharers != QuotaScope::Elsewhere)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let Some(sharers) = self.limits.get(&id).map(|l| l.sharers) else { continue };
            let Some(broker) = self.broker(id, sharers) else { continue };
            let home = self.home(sharers);
            let Some(l) = self.limits.get_mut(&id) else { continue };
            // Where a home is less than a request it is of use only together with others': all of it goes to the broker,
            // which gives whole requests. Else what is needed stays, and one request for the first that comes.
            let needs = l.needs(self.now);
            // Taking a home back costs it a window, so that is done once, and late.
            l.pooled = home < l.unit || l.pooled && home < APART * l.unit;
            let (keep, want) = match !l.pooled {
                true => (needs.max(l.unit).min(home), needs.saturating_sub(home)),
                false => (0, needs),
            };
            let (mut spare, unit) = (home - keep, l.unit);
            // What is lent stays lent as long as it is not needed; more is lent when it is worth the words.
            let Some(peer) = self.peers.get(&broker) else { continue };
            let to = LeaseHolder(broker, peer.life);
            let lent = l.book.lent_to(&to, self.now);
            if spare > lent && spare - lent < home / 16 {
                spare = lent;
            }
            let mut gifts = Vec::new();
            if peer.life != 0 {
                let terms = self.setup.timings;
                gifts = l.book.give(
                    self.now,
                    to,
                    spare,
                    terms.lease_duration,
                    home,
                    l.used,
                    &terms,
                    &mut self.lot,
                );
                self.counters.leases_granted += gifts.len() as u64;
            }
            words.entry(broker).or_default().push(LimitEntry { limit: id, want, unit, gifts });
        }
        for (to, items) in words {
            for some in items.chunks(ITEMS_MOST) {
                self.say(to, some.to_vec(), false);
            }
        }
    }

    /// What one who asks gets of a limit, if it is asked for here as well.
    fn serve(&mut self, to: LeaseHolder, item: &LimitEntry) -> Option<LimitEntry> {
        let (now, terms) = (self.now, self.setup.timings);
        let sharers = self.limits.get(&item.limit)?.sharers;
        let home = self.home(sharers);
        let l = self.limits.get_mut(&item.limit)?;
        let mut asks: Vec<Ask> = Vec::new();
        for (addr, p) in &self.peers {
            let Some((want, unit, since)) = p.wants.get(&item.limit).copied() else { continue };
            let fresh =
                now < since + WANTED * terms.exchange_interval && (sharers != QuotaScope::Zone || p.here);
            let has = l.book.lent_to(&LeaseHolder(*addr, p.life), now);
            if fresh && want > 0 || has > 0 {
                let draw = xxh3_64_with_seed(addr.to_string().as_bytes(), item.limit);
                asks.push(Ask { of: *addr, want: if fresh { want } else { 0 }, unit, has, draw });
            }
        }
        // What they have stays theirs as long as they want it: parts that change hands rest for a window. Only what is
        // wanted here of the own home is asked back.
        let needs = l.needs(now);
        let most = home.saturating_sub(needs).saturating_add(l.book.held(now));
        let lent = asks.iter().fold(0u32, |sum, a| sum.saturating_add(a.has));
        let free = l.book.has(now, home, &terms).saturating_sub(needs).min(most.saturating_sub(lent));
        let target = share_out(free, most, &mut asks).get(&to.0).copied().unwrap_or(0);
        let used = l.used;
        let gifts =
            l.book.give(now, to, target, terms.broker_lease_duration, home, used, &terms, &mut self.lot);
        self.counters.leases_granted += gifts.len() as u64;
        Some(LimitEntry { limit: item.limit, want: 0, unit: l.unit, gifts })
    }
}

/// What one router wants of a limit, in steps of a request, and what it has of it from here.
#[derive(Clone, Copy, Debug)]
struct Ask {
    of: SocketAddr,
    want: u32,
    unit: u32,
    has: u32,
    draw: u64,
}

/// Shares free parts out, one request to each that wants more; what they have stays as far as they want it and `most`
/// allows all of them together.
fn share_out(free: u32, most: u32, asks: &mut [Ask]) -> BTreeMap<SocketAddr, u32> {
    asks.sort_by_key(|a| (a.has, a.draw, a.of));
    let mut given: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut room = most;
    for a in asks.iter() {
        let stays = a.has.min(a.want).min(room);
        room -= stays;
        given.insert(a.of, stays);
    }
    // A quarter of what is free for each, in whole requests, and more the next time: whoever asks first must not have all.
    let mut left = free;
    for a in asks.iter() {
        let has = given.entry(a.of).or_default();
        let more = (free / 4).min(a.want.saturating_sub(*has)).max(a.unit) / a.unit * a.unit;
        if *has < a.want && left >= more {
            (*has, left) = (*has + more, left - more);
        }
    }
    given
}
