//! A fleet's views in virtual time: routers that are started, killed, paused and restarted, and a fault on each
//! directed link between them. The same seed gives the same run, to the byte.

use crate::{Time, MS, SEC};
use hollymux_cluster::membership::{
    MemberState, Membership, MembershipChange, MembershipOptions, MembershipTimings, RouterPhase,
};
use hollymux_cluster::quota::{ActivePeers, LeaseTimings, QuotaManager, QuotaOptions};
use hollymux_cluster::{RouterCounts, Transmit};
use hollymux_decision::WarmUpDemand;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// When a run starts, in microseconds of the routers' monotonic clocks.
pub const BEGIN: Time = 1_000 * SEC;
/// A datagram takes this long, and up to this much longer.
const WAY: (Time, Time) = (300, 700);

/// What a directed link does to datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Nothing gets through.
    pub cut: bool,
    /// The part that is lost, comes twice, and comes with a bit flipped.
    pub loss: f64,
    /// See `loss`.
    pub twice: f64,
    /// See `loss`.
    pub flipped: f64,
    /// How much later each comes, and up to how much more: which also has them overtake each other.
    pub delay: (Time, Time),
}

enum Event {
    Tick(usize, u64),
    Arrive(usize, Vec<u8>),
}

/// A router's place: what runs there now, if anything does.
struct Place {
    view: Option<Membership>,
    limits: Option<QuotaManager>,
    /// What its cold servers are asked for.
    demands: Vec<WarmUpDemand>,
    /// Routers that its settings name, in all and at its office.
    configured: (u32, u32),
    paused: bool,
    waiting: VecDeque<Vec<u8>>,
    /// Ticks of an earlier life or an earlier plan are void.
    turn: u64,
    clock: i64,
    /// What people call it, and its fleet, if not what the place gives.
    name: Option<String>,
    fleet: Option<String>,
    zone: Option<String>,
}

/// Routers and the links between them.
pub struct RouterCluster {
    /// The present, as all monotonic clocks show it.
    pub now: Time,
    rng: Pcg64Mcg,
    seed: u64,
    timings: MembershipTimings,
    places: Vec<Place>,
    /// Faults by directed link; others are sound.
    pub links: BTreeMap<(usize, usize), LinkFault>,
    /// What every link does that has no fault of its own.
    pub every: LinkFault,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    held: BTreeMap<usize, Event>,
    seq: u64,
    seeds: Vec<SocketAddr>,
    /// Parts of limits are on lease, by these times, for those that start from now on.
    pub lease: Option<LeaseTimings>,
    /// Routers whose parts may have changed.
    pub touched: BTreeSet<usize>,
    /// Of all routers so far: what operators were told, by router.
    pub told: Vec<(Time, usize, MembershipChange)>,
    /// Datagrams and bytes that were sent, over all routers.
    pub sent: (u64, u64),
}

/// The address of a router.
pub fn addr(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (router >> 8) as u8, router as u8], 7_946))
}

/// The router at an address.
pub fn place_at(addr: SocketAddr) -> Option<usize> {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => Some(usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3])),
        std::net::IpAddr::V6(_) => None,
    }
}

impl RouterCluster {
    /// So many places, nobody started; the first three are everybody's seeds.
    pub fn new(routers: usize, seed: u64) -> RouterCluster {
        let place = |_| Place {
            view: None,
            limits: None,
            demands: Vec::new(),
            configured: (routers as u32, routers as u32),
            paused: false,
            waiting: VecDeque::new(),
            turn: 0,
            clock: 0,
            name: None,
            fleet: None,
            zone: None,
        };
        RouterCluster {
            now: BEGIN,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x666c_6565),
            seed,
            timings: MembershipTimings::default(),
            places: (0..routers).map(place).collect(),
            links: BTreeMap::new(),
            every: LinkFault::default(),
            events: BinaryHeap::new(),
            held: BTreeMap::new(),
            seq: 0,
            seeds: (0..routers.min(3)).map(addr).collect(),
            lease: None,
            touched: BTreeSet::new(),
            told: Vec::new(),
            sent: (0, 0),
        }
    }

    /// Other seeds, for those that start from now on.
    pub fn seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.iter().map(|s| addr(*s)).collect();
    }

    /// A router's clock of days is off by so much; only the numbers of its starts come from it.
    pub fn clock(&mut self, router: usize, off: i64) {
        self.places[router].clock = off;
    }

    /// The router of a place has this name, and belongs to this fleet, from its next start on.
    pub fn call(&mut self, router: usize, name: &str, fleet: &str) {
        let place = &mut self.places[router];
        (place.name, place.fleet) = (Some(name.to_string()), Some(fleet.to_string()));
    }

    /// The router of a place belongs to this office.
    pub fn place(&mut self, router: usize, office: &str) {
        self.places[router].zone = Some(office.to_string());
    }

    /// The settings of a place's router name so many, in all and at its office.
    pub fn configure(&mut self, router: usize, all: u32, here: u32) {
        self.places[router].configured = (all, here);
    }

    /// What a router's cold servers are asked for now.
    pub fn demand(&mut self, router: usize, demands: Vec<WarmUpDemand>) {
        self.places[router].demands = demands;
    }

    /// A router's parts of limits, if they are on lease.
    pub fn limits(&self, router: usize) -> Option<&QuotaManager> {
        self.places[router].limits.as_ref()
    }

    /// Starts a router, or starts it anew.
    pub fn start(&mut self, router: usize) {
        let unix = 1_760_000_000 * SEC as i64 + self.now as i64 + self.places[router].clock;
        let options = MembershipOptions {
            cluster_name: self.places[router].fleet.clone().unwrap_or_else(|| "lab".into()),
            router_name: self.places[router].name.clone().unwrap_or_else(|| format!("n{}", router + 1)),
            zone: self.places[router].zone.clone().unwrap_or_else(|| format!("z{}", router % 4)),
            address: addr(router),
            seeds: self.seeds.clone(),
            generation: unix.max(1) as u64,
            timings: self.timings,
            random_seed: self.seed ^ (router as u64) << 20 ^ self.now,
        };
        let (all, own_zone) = self.places[router].configured;
        let limits = self.lease.map(|timings| QuotaOptions {
            cluster_name: options.cluster_name.clone(),
            address: options.address,
            instance_id: options.generation,
            configured_routers: RouterCounts { all, own_zone },
            timings,
        });
        let place = &mut self.places[router];
        (place.paused, place.view) = (false, Some(Membership::new(options, self.now)));
        place.limits = limits.map(|options| QuotaManager::new(options, self.now));
        place.waiting.clear();
        self.after(router);
    }

    /// Kills a router: what waits for it is gone.
    pub fn kill(&mut self, router: usize) {
        let place = &mut self.places[router];
        (place.view, place.limits, place.turn) = (None, None, place.turn + 1);
        place.waiting.clear();
    }

    /// A router ends in words.
    pub fn leave(&mut self, router: usize) {
        let now = self.now;
        if let Some(view) = &mut self.places[router].view {
            view.set_phase(now, RouterPhase::Stopping);
            view.leave(now);
        }
        self.after(router);
        self.kill(router);
    }

    /// Stops a process where it is, as SIGSTOP does; its socket goes on holding what comes, up to a bound.
    pub fn pause(&mut self, router: usize) {
        self.places[router].paused = true;
    }

    /// It goes on.
    pub fn resume(&mut self, router: usize) {
        let waiting = std::mem::take(&mut self.places[router].waiting);
        self.places[router].paused = false;
        // The driver looks at its timers and its socket in one turn.
        let now = self.now;
        if let Some(view) = &mut self.places[router].view {
            view.handle_timeout(now);
        }
        waiting.iter().for_each(|bytes| self.hear(router, bytes));
        self.after(router);
    }

    /// A router reads a datagram, as its driver does.
    fn hear(&mut self, router: usize, bytes: &[u8]) {
        let now = self.now;
        let place = &mut self.places[router];
        if !QuotaManager::is_quota_datagram(bytes) {
            return place.view.iter_mut().for_each(|v| v.handle_datagram(now, bytes));
        }
        if let Some(limits) = &mut place.limits {
            limits.update_demand(now, &place.demands);
            limits.handle_datagram(now, bytes);
        }
    }

    /// A router's view, if it runs.
    pub fn view(&self, router: usize) -> Option<&Membership> {
        self.places[router].view.as_ref()
    }

    /// The routers that run and are not paused.
    pub fn up(&self) -> Vec<usize> {
        let up = |i: &usize| self.places[*i].view.is_some() && !self.places[*i].paused;
        (0..self.places.len()).filter(up).collect()
    }

    /// One fault on every link from one group to another.
    pub fn fault(&mut self, from: &[usize], to: &[usize], link: LinkFault) {
        for a in from {
            for b in to.iter().filter(|b| *b != a) {
                if link == LinkFault::default() {
                    self.links.remove(&(*a, *b));
                } else {
                    self.links.insert((*a, *b), link);
                }
            }
        }
    }

    /// Cuts two groups off from each other, both ways.
    pub fn part(&mut self, a: &[usize], b: &[usize]) {
        let cut = LinkFault { cut: true, ..LinkFault::default() };
        self.fault(a, b, cut);
        self.fault(b, a, cut);
    }

    /// All links are sound again.
    pub fn heal(&mut self) {
        self.links.clear();
    }

    /// Junk arrives at a router.
    pub fn hand(&mut self, router: usize, bytes: Vec<u8>) {
        self.at(self.now, Event::Arrive(router, bytes));
    }

    /// When something happens next.
    pub fn due(&self) -> Option<Time> {
        self.events.peek().map(|Reverse((at, ..))| *at)
    }

    /// Lets time pass.
    pub fn run(&mut self, long: Time) {
        let until = self.now + long;
        self.run_until(until, |_| false);
    }

    /// Lets time pass until something holds; how long that took, or none if it did not in time.
    pub fn until(&mut self, long: Time, holds: impl Fn(&RouterCluster) -> bool) -> Option<Time> {
        let from = self.now;
        self.run_until(from + long, holds).then(|| self.now - from)
    }

    fn run_until(&mut self, until: Time, holds: impl Fn(&RouterCluster) -> bool) -> bool {
        // What is asked of the whole fleet is looked at ten times a second.
        let mut look = self.now;
        loop {
            if self.now >= look {
                look = self.now + 100 * MS;
                if holds(self) {
                    return true;
                }
            }
            match self.events.peek() {
                Some(Reverse((at, ..))) if *at <= look.min(until) => {}
                _ if look >= until => {
                    self.now = until;
                    return false;
                }
                _ => {
                    self.now = look;
                    continue;
                }
            }
            if let Some(Reverse((at, _, id))) = self.events.pop() {
                self.now = at;
                if let Some(event) = self.held.remove(&id) {
                    self.on_event(event);
                }
            }
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.held.insert(self.seq as usize, event);
        self.events.push(Reverse((at, self.seq, self.seq as usize)));
    }

    fn on_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(router, turn) => {
                let place = &mut self.places[router];
                if place.paused || place.turn != turn {
                    return;
                }
                let Some(view) = &mut place.view else { return };
                view.handle_timeout(now);
                if let Some(limits) = place.limits.as_mut().filter(|l| now >= l.next_timeout()) {
                    limits.update_demand(now, &place.demands);
                    limits.handle_timeout(now);
                }
                self.after(router);
            }
            Event::Arrive(router, bytes) => {
                let place = &mut self.places[router];
                match &mut place.view {
                    // A socket's buffer holds some hundred datagrams.
                    Some(_) if place.paused && place.waiting.len() < 256 => place.waiting.push_back(bytes),
                    Some(_) if !place.paused => {
                        self.hear(router, &bytes);
                        self.after(router);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Takes what a view wants and plans its next tick.
    fn after(&mut self, router: usize) {
        let place = &mut self.places[router];
        let Some(view) = &mut place.view else { return };
        let mut out = Vec::new();
        while let Some(datagram) = view.poll_transmit() {
            out.push(datagram);
        }
        let mut changed = false;
        while let Some(change) = view.poll_change() {
            changed = true;
            self.told.push((self.now, router, change));
        }
        let mut due = view.next_timeout();
        if let Some(limits) = &mut place.limits {
            if changed {
                limits.update_peers(self.now, &ActivePeers::from_membership(view));
            }
            while let Some(datagram) = limits.poll_transmit() {
                out.push(datagram);
            }
            due = due.min(limits.next_timeout());
            self.touched.insert(router);
        }
        place.turn += 1;
        let (due, turn) = (due.max(self.now), place.turn);
        self.at(due, Event::Tick(router, turn));
        for Transmit { destination, payload } in out {
            self.send(router, destination, payload);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        let Some(to) = place_at(to).filter(|i| *i < self.places.len()) else { return };
        let link = self.links.get(&(from, to)).copied().unwrap_or(self.every);
        if link.cut || self.rng.random::<f64>() < link.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < link.twice);
        if self.rng.random::<f64>() < link.flipped {
            let bit = self.rng.random_range(0..bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        for _ in 0..copies {
            let way = WAY.0 + self.rng.random_range(0..=WAY.1);
            let late = link.delay.0 + self.rng.random_range(0..=link.delay.1);
            self.at(self.now + way + late, Event::Arrive(to, bytes.clone()));
        }
    }

    // ---- what is looked at ----

    /// What a router says of another.
    pub fn rank(&self, of: usize, by: usize) -> Option<MemberState> {
        Some(self.view(by)?.record_of(addr(of))?.state)
    }

    /// The part of those routers who say that of another.
    pub fn say(&self, by: &[usize], of: usize, rank: MemberState) -> f64 {
        let agree = by.iter().filter(|b| **b != of && self.rank(of, **b) == Some(rank)).count();
        agree as f64 / by.iter().filter(|b| **b != of).count().max(1) as f64
    }

    /// Whether all of those routers hold the same view, in which all of them are there.
    pub fn same(&self, who: &[usize]) -> bool {
        let mut digests = who.iter().map(|i| self.view(*i).map(Membership::digest));
        let first = digests.next().flatten();
        let there = |by: usize, of: &usize| self.rank(*of, by).is_some_and(|r| r <= MemberState::Suspect);
        let Some(one) = who.first().filter(|_| first.is_some()) else { return false };
        digests.all(|d| d == first) && who[1..].iter().all(|of| there(*one, of))
    }

    /// The least number of routers that any of those holds to be at work, perhaps.
    pub fn least_at_work(&self, who: &[usize]) -> u32 {
        who.iter().filter_map(|i| Some(self.view(*i)?.possibly_active_count(None))).min().unwrap_or(0)
    }

    /// How often a router that ran all the time was called lost, by anybody.
    pub fn called_lost(&self, since: Time) -> usize {
        let lost = |c: &&(Time, usize, MembershipChange)| {
            c.0 >= since
                && matches!(&c.2, MembershipChange::Updated { record, .. } if record.state == MemberState::Failed)
        };
        self.told.iter().filter(lost).count()
    }
}
