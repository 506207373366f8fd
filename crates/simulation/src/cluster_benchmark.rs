//! Benchmark of the routers' membership views by cluster size and datagram loss: how soon a crash,
//! a start and the end of a partition are known, how many routers are falsely reported failed, and
//! what the protocol costs. Everything runs in virtual time, so only the processor time depends on
//! the machine.

use crate::cluster::RouterCluster;
use crate::link_fault::LinkFault;
use crate::time::as_seconds;
use crate::{Time, SEC};
use hollymux_cluster::membership::MemberState;
use rayon::prelude::*;
use serde::Serialize;
use std::time::Instant;

/// Number of crashes in one benchmark; the slowest of them is reported.
const CRASHES: usize = 3;
/// Longest time that the benchmark waits for routers to learn something; after that it counts as
/// unknown.
const MAX_WAIT: Time = 120 * SEC;
/// Time between the first convergence and the first measurement.
const SETTLING_TIME: Time = 30 * SEC;
/// Time without faults over which traffic and cost are measured.
const IDLE_TIME: Time = 60 * SEC;
/// Duration of the partition of the cluster into two halves.
const PARTITION_TIME: Time = 30 * SEC;
/// Time between the restart of a crashed router and the next crash.
const RESTART_GAP: Time = 10 * SEC;
/// Interval at which the reported changes are counted and dropped, as they would otherwise need
/// more memory than the cluster itself.
const COUNT_INTERVAL: Time = 60 * SEC;

/// The seconds until shares of the routers knew something; `None` if it took longer than 120 s.
/// Serialized as an array in the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[Option<f64>; 3]")]
pub struct KnownTimes {
    /// The time until half of the routers knew.
    pub half: Option<f64>,
    /// The time until 99% of the routers knew.
    pub most: Option<f64>,
    /// The time until all routers knew.
    pub all: Option<f64>,
}

impl From<KnownTimes> for [Option<f64>; 3] {
    fn from(known: KnownTimes) -> Self {
        [known.half, known.most, known.all]
    }
}

impl KnownTimes {
    const ZERO: KnownTimes = KnownTimes { half: Some(0.0), most: Some(0.0), all: Some(0.0) };

    /// The later of the two times for each share; `None` if either of them is.
    fn worst(self, other: KnownTimes) -> KnownTimes {
        let later = |one: Option<f64>, other: Option<f64>| Some(one?.max(other?));
        KnownTimes {
            half: later(self.half, other.half),
            most: later(self.most, other.most),
            all: later(self.all, other.all),
        }
    }

    fn text(self) -> String {
        <[Option<f64>; 3]>::from(self).map(seconds_text).join(" / ")
    }
}

/// Routers that were falsely reported failed, serialized as an array of both numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(usize, f64)")]
pub struct FalseReports {
    /// The number of reports, counted once per reporting router.
    pub reports: usize,
    /// The length of the observation, in minutes.
    pub minutes: f64,
}

impl From<FalseReports> for (usize, f64) {
    fn from(false_reports: FalseReports) -> Self {
        (false_reports.reports, false_reports.minutes)
    }
}

/// The figures of one cluster size at one loss; a row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct BenchmarkRow {
    /// The number of routers that form the cluster.
    pub routers: usize,
    /// The share of datagrams lost on every link, from 0 to 1.
    pub loss: f64,
    /// The seconds until all routers, started at the same time, hold the same view; `None` after
    /// 120 s.
    pub joined_s: Option<f64>,
    /// The time until a crashed router is known to have failed; the worst of three crashes.
    pub crash: KnownTimes,
    /// The time until a restarted router is known to be alive; the worst of three restarts.
    pub join: KnownTimes,
    /// The time after a partition into halves until each half knows that a router of the other one
    /// is alive.
    pub heal: KnownTimes,
    /// The seconds after the same partition until all routers hold the same view; `None` after 120
    /// s.
    pub healed_s: Option<f64>,
    /// Routers falsely reported failed while the only fault is datagram loss.
    #[serde(rename = "falsely_lost")]
    pub false_failures: FalseReports,
    /// Datagrams that a router sends per second while nothing happens.
    pub datagrams_s: f64,
    /// Bytes that a router sends per second while nothing happens.
    pub bytes_s: f64,
    /// Bytes per router in the busiest second after the partition.
    #[serde(rename = "bytes_s_most")]
    pub max_bytes_s: f64,
    /// The memory of a router's membership view, in units of 1000 bytes.
    pub memory_kb: f64,
    /// Processor time per router and simulated second, in microseconds, including that of the
    /// simulation.
    pub cpu_us_s: f64,
}

/// Runs the benchmark for every combination of cluster size and loss, in parallel on all cores, and
/// returns the rows in that order.
pub fn run(routers: &[usize], loss: &[f64], seed: u64, minutes: f64) -> Vec<BenchmarkRow> {
    let cases = routers.iter().flat_map(|routers| loss.iter().map(|loss| (*routers, *loss)));
    let cases: Vec<(usize, f64)> = cases.collect();
    cases.into_par_iter().map(|(routers, loss)| Benchmark::new(routers, loss, seed).run(minutes)).collect()
}

/// The benchmark of one cluster size at one loss.
struct Benchmark {
    cluster: RouterCluster,
    all: Vec<usize>,
    loss: f64,
}

/// The cost of a cluster in which nothing happens.
struct IdleCost {
    datagrams_s: f64,
    bytes_s: f64,
    cpu_us_s: f64,
}

/// The recovery of a cluster from a partition.
struct Healing {
    known: KnownTimes,
    healed_s: Option<f64>,
    max_bytes_s: f64,
}

impl Benchmark {
    fn new(routers: usize, loss: f64, seed: u64) -> Benchmark {
        let mut cluster = RouterCluster::new(routers, seed);
        cluster.default_link = LinkFault { loss, ..LinkFault::default() };
        Benchmark { cluster, all: (0..routers).collect(), loss }
    }

    /// Runs all measurements one after another on the same cluster.
    fn run(mut self, minutes: f64) -> BenchmarkRow {
        let joined_s = self.join_all();
        self.cluster.run(SETTLING_TIME);
        let idle_since = self.cluster.now;
        let cost = self.measure_idle_cost();
        let false_failures = self.count_false_reports(idle_since, minutes);
        let memory_kb = self.memory_kb();
        let (crash, join) = self.crash_and_restart();
        let healing = self.partition_and_heal();
        BenchmarkRow {
            routers: self.all.len(),
            loss: self.loss,
            joined_s,
            crash,
            join,
            heal: healing.known,
            healed_s: healing.healed_s,
            false_failures,
            datagrams_s: cost.datagrams_s,
            bytes_s: cost.bytes_s,
            max_bytes_s: healing.max_bytes_s,
            memory_kb,
            cpu_us_s: cost.cpu_us_s,
        }
    }

    fn join_all(&mut self) -> Option<f64> {
        self.all.iter().for_each(|router| self.cluster.start(*router));
        let joined = self.cluster.run_until(MAX_WAIT, |cluster| cluster.converged(&self.all));
        joined.map(as_seconds)
    }

    fn measure_idle_cost(&mut self) -> IdleCost {
        let before = self.cluster.sent;
        let clock = Instant::now();
        self.cluster.run(IDLE_TIME);
        let per_router_second = 1.0 / self.all.len() as f64 / as_seconds(IDLE_TIME);
        let sent = self.cluster.sent;
        IdleCost {
            cpu_us_s: clock.elapsed().as_micros() as f64 * per_router_second,
            datagrams_s: (sent.datagrams - before.datagrams) as f64 * per_router_second,
            bytes_s: (sent.bytes - before.bytes) as f64 * per_router_second,
        }
    }

    /// Waits for so many minutes and counts the reports of failed routers since `since`; all of
    /// them are false, because no router fails.
    fn count_false_reports(&mut self, since: Time, minutes: f64) -> FalseReports {
        let until = self.cluster.now + (minutes * 60e6) as Time;
        let mut reports = 0;
        loop {
            reports += self.cluster.failure_reports(since);
            self.cluster.changes.clear();
            if self.cluster.now >= until {
                break;
            }
            self.cluster.run((until - self.cluster.now).min(COUNT_INTERVAL));
        }
        FalseReports { reports, minutes: (self.cluster.now - since) as f64 / 60e6 }
    }

    fn memory_kb(&self) -> f64 {
        let views = self.all.iter().filter_map(|router| self.cluster.view(*router));
        let bytes = views.map(|view| view.memory_bytes() as f64).sum::<f64>();
        bytes / self.all.len() as f64 / 1e3
    }

    /// Measures how soon crashes and restarts are known to the other routers.
    fn crash_and_restart(&mut self) -> (KnownTimes, KnownTimes) {
        let mut crash = KnownTimes::ZERO;
        let mut join = KnownTimes::ZERO;
        let routers = self.all.len();
        for number in 0..CRASHES {
            let crashed = routers - 1 - number * routers / 7 % routers;
            let rest: Vec<usize> = self.all.iter().copied().filter(|router| *router != crashed).collect();
            self.cluster.kill(crashed);
            crash = crash.worst(self.state_known(&rest, crashed, MemberState::Failed));
            self.cluster.start(crashed);
            join = join.worst(self.state_known(&rest, crashed, MemberState::Alive));
            self.cluster.run(RESTART_GAP);
            self.cluster.changes.clear();
        }
        (crash, join)
    }

    fn partition_and_heal(&mut self) -> Healing {
        let all = self.all.clone();
        let (one, other) = all.split_at(all.len() / 2);
        self.cluster.partition(one, other);
        self.cluster.run(PARTITION_TIME);
        self.cluster.heal();
        let from = self.cluster.now;
        let mut sent = self.cluster.sent.bytes;
        let router_of_other = *other.first().unwrap_or(&0);
        let known = self.known(|cluster| {
            let share_of_one = cluster.share_agreeing(one, router_of_other, MemberState::Alive);
            share_of_one.min(cluster.share_agreeing(other, 0, MemberState::Alive))
        });
        let mut healed_s = None;
        let mut max_bytes_s = 0.0f64;
        while healed_s.is_none() && self.cluster.now < from + MAX_WAIT {
            let healed = self.cluster.run_until(SEC, |cluster| cluster.converged(&all));
            healed_s = healed.map(|_| as_seconds(self.cluster.now - from));
            let bytes = self.cluster.sent.bytes - sent;
            max_bytes_s = max_bytes_s.max(bytes as f64 / all.len() as f64);
            sent = self.cluster.sent.bytes;
        }
        Healing { known, healed_s, max_bytes_s }
    }

    /// The time until the routers in `by` see the router `of` in a state.
    fn state_known(&mut self, by: &[usize], of: usize, state: MemberState) -> KnownTimes {
        self.known(|cluster| cluster.share_agreeing(by, of, state))
    }

    /// The time until half, 99% and all of the routers know something; `share` returns the share of
    /// them that knows it.
    fn known(&mut self, share: impl Fn(&RouterCluster) -> f64) -> KnownTimes {
        let from = self.cluster.now;
        let [half, most, all] = [0.5, 0.99, 1.0].map(|part| {
            let left = (from + MAX_WAIT).saturating_sub(self.cluster.now);
            self.cluster.run_until(left, |cluster| share(cluster) >= part)?;
            Some(as_seconds(self.cluster.now - from))
        });
        KnownTimes { half, most, all }
    }
}

fn seconds_text(seconds: Option<f64>) -> String {
    seconds.map_or("-".to_string(), |seconds| format!("{seconds:.1}"))
}

const TABLE_HEADER: &str =
    "| routers | loss | all joined, s | crash known, s | start known, s | heal known, s \
    | healed, s | falsely lost | datagrams/s | bytes/s | at most | KB | CPU us/s |\n\
    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// Renders the rows as a Markdown table.
pub fn table(rows: &[BenchmarkRow]) -> String {
    TABLE_HEADER.to_string() + &rows.iter().map(table_line).collect::<String>()
}

fn table_line(row: &BenchmarkRow) -> String {
    format!(
        "| {} | {:.0}% | {} | {} | {} | {} | {} | {} in {:.0} min | {:.1} | {:.0} | {:.0} | {:.0} \
         | {:.0} |\n",
        row.routers,
        row.loss * 100.0,
        seconds_text(row.joined_s),
        row.crash.text(),
        row.join.text(),
        row.heal.text(),
        seconds_text(row.healed_s),
        row.false_failures.reports,
        row.false_failures.minutes,
        row.datagrams_s,
        row.bytes_s,
        row.max_bytes_s,
        row.memory_kb,
        row.cpu_us_s
    )
}
