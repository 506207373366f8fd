//! `foca`, the library that was weighed against an own core (docs/cluster.md), on the same links in
//! virtual time: the figures of `hollymux lab fleet` for it, by its own settings for a site and by
//! those of `hollymux_cluster::membership::MembershipTimings`.
//!
//!     cargo run --release -p hollymux-simulation --example foca -- 100 0.01 60

use foca::{
    Config, Foca, Identity, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, Timer,
};
use rand::{Rng, SeedableRng};
use rand_pcg10::rand_core::SeedableRng as _;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    place: u16,
    start: u64,
}

impl Identity for Id {
    type Addr = u16;

    fn renew(&self) -> Option<Id> {
        Some(Id { start: self.start + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.place
    }

    fn win_addr_conflict(&self, other: &Id) -> bool {
        self.start > other.start
    }
}

type Core = Foca<Id, PostcardCodec, rand_pcg10::Pcg64Mcg, NoCustomBroadcast>;

enum Event {
    Timer(usize, u32, Timer<Id>),
    Arrive(usize, Vec<u8>),
}

#[derive(Default)]
struct Out {
    sent: Vec<(Id, Vec<u8>)>,
    timers: Vec<(Timer<Id>, Duration)>,
    down: usize,
}

impl Runtime<Id> for &mut Out {
    fn notify(&mut self, told: Notification<'_, Id>) {
        self.down += usize::from(matches!(told, Notification::MemberDown(_)));
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.sent.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((event, after));
    }
}

struct Fleet {
    now: u64,
    rng: rand_pcg::Pcg64Mcg,
    config: Config,
    loss: f64,
    cut: Option<usize>,
    cores: Vec<Option<Core>>,
    lives: Vec<u32>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    held: BTreeMap<u64, Event>,
    seq: u64,
    bytes: u64,
    datagrams: u64,
    down: usize,
    errors: usize,
}

impl Fleet {
    fn at(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.held.insert(self.seq, event);
        self.queue.push(Reverse((at, self.seq)));
    }

    fn start(&mut self, place: usize) {
        self.lives[place] += 1;
        let rng = rand_pcg10::Pcg64Mcg::seed_from_u64(place as u64 ^ self.now << 10);
        let me = Id { place: place as u16, start: self.now };
        let mut core = Foca::new(me, self.config.clone(), rng, PostcardCodec);
        let mut out = Out::default();
        for seed in (0..3).filter(|s| *s != place) {
            // The start of a seed isn't known: an announcement goes by address.
            let _ = core.announce(Id { place: seed as u16, start: 0 }, &mut out);
        }
        self.cores[place] = Some(core);
        self.take(place, out);
    }

    fn take(&mut self, place: usize, out: Out) {
        self.down += out.down;
        for (event, after) in out.timers {
            self.at(self.now + after.as_micros() as u64, Event::Timer(place, self.lives[place], event));
        }
        for (to, bytes) in out.sent {
            (self.datagrams, self.bytes) = (self.datagrams + 1, self.bytes + bytes.len() as u64);
            let to = usize::from(to.place);
            let cut = self.cut.is_some_and(|at| (place < at) != (to < at));
            if !cut && self.rng.random::<f64>() >= self.loss {
                let way = self.rng.random_range(300..=1_000);
                self.at(self.now + way, Event::Arrive(to, bytes));
            }
        }
    }

    /// Lets time pass, in microseconds, until something holds.
    fn until(&mut self, long: u64, holds: impl Fn(&Fleet) -> bool) -> Option<f64> {
        let (from, end) = (self.now, self.now + long);
        let mut look = self.now;
        while self.now < end {
            if self.now >= look {
                look = self.now + 100_000;
                if holds(self) {
                    return Some((self.now - from) as f64 / 1e6);
                }
            }
            match self.queue.peek() {
                Some(Reverse((at, _))) if *at <= look => {}
                _ => {
                    self.now = look;
                    continue;
                }
            }
            let Some(Reverse((at, id))) = self.queue.pop() else { break };
            self.now = at;
            let mut out = Out::default();
            let (place, done) = match self.held.remove(&id) {
                Some(Event::Timer(p, life, timer)) if life == self.lives[p] => match &mut self.cores[p] {
                    Some(core) => (p, core.handle_timer(timer, &mut out).is_ok()),
                    None => continue,
                },
                Some(Event::Arrive(p, bytes)) => match &mut self.cores[p] {
                    Some(core) => (p, core.handle_data(&bytes, &mut out).is_ok()),
                    None => continue,
                },
                _ => continue,
            };
            self.errors += usize::from(!done);
            self.take(place, out);
        }
        None
    }

    /// By how many of the others a place is held to be there.
    fn seen(&self, of: usize) -> f64 {
        let others = || (0..self.cores.len()).filter(|p| *p != of).filter_map(|p| self.cores[p].as_ref());
        let sees = |c: &&Core| c.iter_members().any(|m| usize::from(m.id().place) == of);
        others().filter(sees).count() as f64 / others().count().max(1) as f64
    }

    /// Whether everybody has so many others.
    fn whole(&self) -> bool {
        self.cores.iter().flatten().all(|c| c.num_members() + 1 == self.cores.len())
    }
}

fn main() {
    let given: Vec<f64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let [n, loss, minutes] = given[..] else { return eprintln!("routers, loss and minutes are wanted") };
    let n = n as usize;
    let size = NonZeroU32::new(n as u32).expect("routers");
    let lan = Config::new_lan(size);
    let ours = |down_ms| Config {
        probe_period: Duration::from_millis(500),
        probe_rtt: Duration::from_millis(150),
        suspect_to_down_after: Duration::from_millis(down_ms),
        remove_down_after: Some(Duration::from_secs(86_400)),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: Duration::from_secs(1),
            num_members: NonZeroUsize::MIN,
        }),
        ..lan.clone()
    };
    for (name, config) in
        [("its own for a LAN", lan.clone()), ("down 1.5 s", ours(1_500)), ("down 4.5 s", ours(4_500))]
    {
        let mut f = Fleet {
            now: 1_000_000_000,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(1),
            config,
            loss,
            cut: None,
            cores: (0..n).map(|_| None).collect(),
            lives: vec![0; n],
            queue: BinaryHeap::new(),
            held: BTreeMap::new(),
            seq: 0,
            bytes: 0,
            datagrams: 0,
            down: 0,
            errors: 0,
        };
        (0..n).for_each(|p| f.start(p));
        let joined = f.until(120_000_000, Fleet::whole);
        f.until(30_000_000, |_| false);
        let (bytes, datagrams, clock) = (f.bytes, f.datagrams, Instant::now());
        f.until(60_000_000, |_| false);
        let per = 1.0 / n as f64 / 60.0;
        let (bytes, datagrams) = ((f.bytes - bytes) as f64 * per, (f.datagrams - datagrams) as f64 * per);
        let cpu = clock.elapsed().as_micros() as f64 * per;
        f.down = 0;
        f.until((minutes * 60e6) as u64, |_| false);
        let falsely = f.down;
        let who = n - 1;
        (f.cores[who], f.lives[who]) = (None, f.lives[who] + 1);
        let crash = f.until(120_000_000, |f| f.seen(who) <= 0.01);
        f.start(who);
        let start = f.until(120_000_000, |f| f.seen(who) >= 0.99);
        f.until(10_000_000, |_| false);
        f.cut = Some(n / 2);
        f.until(30_000_000, |_| false);
        f.cut = None;
        let healed = f.until(300_000_000, Fleet::whole);
        println!(
            "{n} routers, loss {loss}, {name}: joined {joined:?} crash {crash:?} start {start:?} healed {healed:?} \
             falsely down {falsely} in {minutes} min, {datagrams:.1} datagrams/s {bytes:.0} bytes/s {cpu:.0} us/s, \
             errors {}, in all {} bytes",
            f.errors, f.bytes
        );
    }
}
