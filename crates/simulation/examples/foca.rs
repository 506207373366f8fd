//! The figures of `hollymux simulate cluster` for `foca`, a membership library that was considered
//! instead of an own protocol (docs/cluster.md). It runs on the same links in virtual time, once
//! with its own settings for a LAN and twice with the timings of
//! `hollymux_cluster::membership::MembershipTimings`.
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

/// Start of a run, in microseconds of its clock.
const CLOCK_START: Time = 1_000 * SEC;
/// Range of a datagram's delay, in microseconds.
const NETWORK_DELAY: RangeInclusive<Time> = 300..=1_000;
/// Interval at which a condition over the whole cluster is evaluated.
const CONDITION_INTERVAL: Time = 100 * MS;
/// Number of routers that serve as seeds.
const SEEDS: usize = 3;
/// Longest wait for anything except the end of a partition to be known.
const MAX_WAIT: Time = 120 * SEC;
/// Longest wait until the cluster has healed after a partition.
const MAX_HEAL: Time = 300 * SEC;
/// Time without faults over which traffic and cost are measured.
const IDLE_TIME: Time = 60 * SEC;

/// The identity of a router: its index and the time of its start.
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
    /// A timer that a router set after the given number of starts and kills.
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

/// The outputs of a core after one input.
#[derive(Default)]
struct Outputs {
    datagrams: Vec<(RouterId, Vec<u8>)>,
    timers: Vec<(Timer<RouterId>, Duration)>,
    /// The number of routers that the core reported down.
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
    /// The partition of the cluster: routers below this index are cut off from the others. `None`
    /// without a partition.
    partitioned_at: Option<usize>,
    /// The core of each router; `None` while the router does not run.
    cores: Vec<Option<Core>>,
    /// The number of times that each router was started or killed; timers from before the latest
    /// start are void.
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
            // The start time of a seed is unknown, and an announcement only uses the index.
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

    /// Lets virtual time advance by a duration.
    fn run(&mut self, duration: Time) {
        self.run_until(duration, |_| false);
    }

    /// Lets virtual time advance until a condition holds and returns how many seconds that took;
    /// `None` if the timeout came first.
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

    /// The share of the other running routers that list a router as a member.
    fn share_seeing(&self, of: usize) -> f64 {
        let others = || {
            let others = (0..self.cores.len()).filter(|other| *other != of);
            others.filter_map(|other| self.cores[other].as_ref())
        };
        let sees = |core: &&Core| core.iter_members().any(|member| usize::from(member.id().index) == of);
        others().filter(sees).count() as f64 / others().count().max(1) as f64
    }

    /// Whether every running router lists all others as members.
    fn is_complete(&self) -> bool {
        self.cores.iter().flatten().all(|core| core.num_members() + 1 == self.cores.len())
    }
}

/// The parameters of a measurement: cluster size, datagram loss, and the time in which false
/// reports are counted.
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
        let joined_s = cluster.run_until(MAX_WAIT, Cluster::is_complete);
        cluster.run(30 * SEC);
        let before = cluster.sent;
        let clock = Instant::now();
        cluster.run(IDLE_TIME);
        let per_router_second = 1.0 / routers as f64 / 60.0;
        let bytes = (cluster.sent.bytes - before.bytes) as f64 * per_router_second;
        let datagrams = (cluster.sent.datagrams - before.datagrams) as f64 * per_router_second;
        let cpu = clock.elapsed().as_micros() as f64 * per_router_second;
        cluster.reported_down = 0;
        cluster.run((minutes * 60e6) as Time);
        let false_reports = cluster.reported_down;
        let crashed = routers - 1;
        cluster.kill(crashed);
        let crash_s = cluster.run_until(MAX_WAIT, |cluster| cluster.share_seeing(crashed) <= 0.01);
        cluster.start(crashed);
        let start_s = cluster.run_until(MAX_WAIT, |cluster| cluster.share_seeing(crashed) >= 0.99);
        cluster.run(10 * SEC);
        cluster.partitioned_at = Some(routers / 2);
        cluster.run(30 * SEC);
        cluster.partitioned_at = None;
        let healed_s = cluster.run_until(MAX_HEAL, Cluster::is_complete);
        println!(
            "{routers} routers, loss {loss}, {name}: joined {joined_s:?} crash {crash_s:?} start {start_s:?} \
             healed {healed_s:?} falsely down {false_reports} in {minutes} min, {datagrams:.1} datagrams/s \
             {bytes:.0} bytes/s {cpu:.0} us/s, errors {}, in all {} bytes",
            cluster.errors, cluster.sent.bytes
        );
    }
}

/// The library's settings for a LAN, changed to the timings of hollymux's own protocol and to the
/// given time from suspicion to failure.
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
        return eprintln!("usage: foca ROUTERS LOSS MINUTES, all of them numbers");
    };
    let Some(size) = NonZeroU32::new(routers as u32) else {
        return eprintln!("the number of routers must be at least 1");
    };
    let case = Case { routers: routers as usize, loss, minutes };
    let site = Config::new_lan(size);
    case.run("its own for a LAN", site.clone());
    case.run("down 1.5 s", own_timings(&site, 1_500));
    case.run("down 4.5 s", own_timings(&site, 4_500));
}
