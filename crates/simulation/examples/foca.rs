//! `foca`, the library that was weighed against an own membership protocol (docs/cluster.md), on the
//! same links in virtual time: the figures of `hollymux simulate cluster` for it, by its own settings
//! for a site and by those of `hollymux_cluster::membership::MembershipTimings`.
//!
//!     cargo run --release -p hollymux-simulation --example foca -- 100 0.01 60

use foca::{
    Config, Foca, Identity, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, Timer,
};
use hollymux_simulation::event_queue::EventQueue;
use hollymux_simulation::link_fault::TrafficCounters;
use hollymux_simulation::time::as_seconds;
use hollymux_simulation::{Time, MS, SEC};
use rand::{Rng, SeedableRng};
use rand_pcg10::rand_core::SeedableRng as _;
use serde::{Deserialize, Serialize};
use std::num::{NonZeroU32, NonZeroUsize};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

/// When a run starts.
const CLOCK_START: Time = 1_000 * SEC;
/// The delay of a datagram.
const NETWORK_DELAY: RangeInclusive<Time> = 300..=1_000;
/// A condition is evaluated this often.
const CONDITION_INTERVAL: Time = 100 * MS;
/// So many routers are everybody's seeds.
const SEEDS: usize = 3;
/// Nothing but a heal takes longer.
const MAX_WAIT: Time = 120 * SEC;
/// A heal takes at most so long.
const MAX_HEAL: Time = 300 * SEC;
/// Time in which traffic and cost are counted.
const CALM_TIME: Time = 60 * SEC;

/// A router: its index and the time of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RouterId {
    index: u16,
    start: u64,
}

impl Identity for RouterId {
    type Addr = u16;

    fn renew(&self) -> Option<RouterId> {
        Some(RouterId { start: self.start + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.index
    }

    fn win_addr_conflict(&self, other: &RouterId) -> bool {
        self.start > other.start
    }
}

type Core = Foca<RouterId, PostcardCodec, rand_pcg10::Pcg64Mcg, NoCustomBroadcast>;

enum TimedEvent {
    /// A timer of a router's start of that number.
    Timer {
        router: usize,
        starts: u32,
        timer: Timer<RouterId>,
    },
    Datagram {
        router: usize,
        bytes: Vec<u8>,
    },
}

/// What a core wants after an input.
#[derive(Default)]
struct Outputs {
    datagrams: Vec<(RouterId, Vec<u8>)>,
    timers: Vec<(Timer<RouterId>, Duration)>,
    /// Routers that it reported down.
    down: usize,
}

impl Runtime<RouterId> for &mut Outputs {
    fn notify(&mut self, notification: Notification<'_, RouterId>) {
        self.down += usize::from(matches!(notification, Notification::MemberDown(_)));
    }

    fn send_to(&mut self, to: RouterId, data: &[u8]) {
        self.datagrams.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer<RouterId>, after: Duration) {
        self.timers.push((timer, after));
    }
}

struct Cluster {
    now: Time,
    rng: rand_pcg::Pcg64Mcg,
    config: Config,
    loss: f64,
    /// Routers below this index are cut off from the others.
    partitioned_at: Option<usize>,
    /// None where no router runs.
    cores: Vec<Option<Core>>,
    /// How often each router was started or killed: timers of an earlier start are void.
    starts: Vec<u32>,
    timed_events: EventQueue<TimedEvent>,
    sent: TrafficCounters,
    reported_down: usize,
    errors: usize,
}

impl Cluster {
    fn new(routers: usize, loss: f64, config: Config) -> Cluster {
        Cluster {
            now: CLOCK_START,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(1),
            config,
            loss,
            partitioned_at: None,
            cores: (0..routers).map(|_| None).collect(),
            starts: vec![0; routers],
            timed_events: EventQueue::default(),
            sent: TrafficCounters::default(),
            reported_down: 0,
            errors: 0,
        }
    }

    fn start(&mut self, router: usize) {
        self.starts[router] += 1;
        let rng = rand_pcg10::Pcg64Mcg::seed_from_u64(router as u64 ^ self.now << 10);
        let id = RouterId { index: router as u16, start: self.now };
        let mut core = Foca::new(id, self.config.clone(), rng, PostcardCodec);
        let mut outputs = Outputs::default();
        for seed in (0..SEEDS).filter(|seed| *seed != router) {
            // The start of a seed isn't known: an announcement goes by address.
            let _ = core.announce(RouterId { index: seed as u16, start: 0 }, &mut outputs);
        }
        self.cores[router] = Some(core);
        self.apply(router, outputs);
    }

    fn kill(&mut self, router: usize) {
        self.cores[router] = None;
        self.starts[router] += 1;
    }

    fn apply(&mut self, router: usize, outputs: Outputs) {
        self.reported_down += outputs.down;
        for (timer, after) in outputs.timers {
            let starts = self.starts[router];
            let event = TimedEvent::Timer { router, starts, timer };
            self.timed_events.push(self.now + after.as_micros() as u64, event);
        }
        for (to, bytes) in outputs.datagrams {
            self.send(router, usize::from(to.index), bytes);
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.sent.count(bytes.len());
        let cut = self.partitioned_at.is_some_and(|first| (from < first) != (to < first));
        if !cut && self.rng.random::<f64>() >= self.loss {
            let delay = self.rng.random_range(NETWORK_DELAY);
            self.timed_events.push(self.now + delay, TimedEvent::Datagram { router: to, bytes });
        }
    }

    /// Lets time pass.
    fn run(&mut self, duration: Time) {
        self.run_until(duration, |_| false);
    }

    /// Lets time pass until a condition holds; how many seconds that took, or none if it did not in time.
    fn run_until(&mut self, timeout: Time, condition: impl Fn(&Cluster) -> bool) -> Option<f64> {
        let from = self.now;
        let mut next_check = self.now;
        while self.now < from + timeout {
            if self.now >= next_check {
                next_check = self.now + CONDITION_INTERVAL;
                if condition(self) {
                    return Some(as_seconds(self.now - from));
                }
            }
            match self.timed_events.pop_due(next_check) {
                Some((at, event)) => {
                    self.now = at;
                    self.on_timed_event(event);
                }
                None => self.now = next_check,
            }
        }
        None
    }

    fn on_timed_event(&mut self, event: TimedEvent) {
        let mut outputs = Outputs::default();
        let (router, result) = match event {
            TimedEvent::Timer { router, starts, .. } if starts != self.starts[router] => return,
            TimedEvent::Timer { router, timer, .. } => {
                let Some(core) = &mut self.cores[router] else { return };
                (router, core.handle_timer(timer, &mut outputs))
            }
            TimedEvent::Datagram { router, bytes } => {
                let Some(core) = &mut self.cores[router] else { return };
                (router, core.handle_data(&bytes, &mut outputs))
            }
        };
        self.errors += usize::from(result.is_err());
        self.apply(router, outputs);
    }

    /// The part of the other routers that hold one to be there.
    fn share_seeing(&self, of: usize) -> f64 {
        let others = || {
            let others = (0..self.cores.len()).filter(|other| *other != of);
            others.filter_map(|other| self.cores[other].as_ref())
        };
        let sees = |core: &&Core| core.iter_members().any(|member| usize::from(member.id().index) == of);
        others().filter(sees).count() as f64 / others().count().max(1) as f64
    }

    /// Whether every router holds all others to be there.
    fn is_complete(&self) -> bool {
        self.cores.iter().flatten().all(|core| core.num_members() + 1 == self.cores.len())
    }
}

/// What is measured.
struct Case {
    routers: usize,
    loss: f64,
    minutes: f64,
}

impl Case {
    /// Measures one configuration and prints its figures.
    fn run(&self, name: &str, config: Config) {
        let Case { routers, loss, minutes } = *self;
        let mut cluster = Cluster::new(routers, loss, config);
        (0..routers).for_each(|router| cluster.start(router));
        let joined = cluster.run_until(MAX_WAIT, Cluster::is_complete);
        cluster.run(30 * SEC);
        let before = cluster.sent;
        let clock = Instant::now();
        cluster.run(CALM_TIME);
        let per_router_second = 1.0 / routers as f64 / 60.0;
        let bytes = (cluster.sent.bytes - before.bytes) as f64 * per_router_second;
        let datagrams = (cluster.sent.datagrams - before.datagrams) as f64 * per_router_second;
        let cpu = clock.elapsed().as_micros() as f64 * per_router_second;
        cluster.reported_down = 0;
        cluster.run((minutes * 60e6) as Time);
        let falsely = cluster.reported_down;
        let crashed = routers - 1;
        cluster.kill(crashed);
        let crash = cluster.run_until(MAX_WAIT, |cluster| cluster.share_seeing(crashed) <= 0.01);
        cluster.start(crashed);
        let start = cluster.run_until(MAX_WAIT, |cluster| cluster.share_seeing(crashed) >= 0.99);
        cluster.run(10 * SEC);
        cluster.partitioned_at = Some(routers / 2);
        cluster.run(30 * SEC);
        cluster.partitioned_at = None;
        let healed = cluster.run_until(MAX_HEAL, Cluster::is_complete);
        println!(
            "{routers} routers, loss {loss}, {name}: joined {joined:?} crash {crash:?} start {start:?} \
             healed {healed:?} falsely down {falsely} in {minutes} min, {datagrams:.1} datagrams/s \
             {bytes:.0} bytes/s {cpu:.0} us/s, errors {}, in all {} bytes",
            cluster.errors, cluster.sent.bytes
        );
    }
}

/// The library's settings for a site, with the times of hollymux's own protocol.
fn own_timings(site: &Config, down_ms: u64) -> Config {
    Config {
        probe_period: Duration::from_millis(500),
        probe_rtt: Duration::from_millis(150),
        suspect_to_down_after: Duration::from_millis(down_ms),
        remove_down_after: Some(Duration::from_secs(86_400)),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: Duration::from_secs(1),
            num_members: NonZeroUsize::MIN,
        }),
        ..site.clone()
    }
}

fn main() {
    let numbers: Vec<f64> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let [routers, loss, minutes] = numbers[..] else {
        return eprintln!("routers, loss and minutes are wanted");
    };
    let Some(size) = NonZeroU32::new(routers as u32) else { return eprintln!("a router is wanted") };
    let case = Case { routers: routers as usize, loss, minutes };
    let site = Config::new_lan(size);
    case.run("its own for a LAN", site.clone());
    case.run("down 1.5 s", own_timings(&site, 1_500));
    case.run("down 4.5 s", own_timings(&site, 4_500));
}
