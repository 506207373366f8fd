//! What routers' views come to, by the size of the cluster and loss: how soon a crash, a start and
//! a heal are known, who is falsely reported lost, and what it costs. All in virtual time; only the
//! processor time is the machine's.

use crate::cluster::RouterCluster;
use crate::link_fault::LinkFault;
use crate::time::as_seconds;
use crate::{Time, SEC};
use hollymux_cluster::membership::MemberState;
use rayon::prelude::*;
use serde::Serialize;
use std::time::Instant;

/// The crashes that are played, one after another; the worst counts.
const CRASHES: usize = 3;
/// Nothing takes longer, or it counts as not known.
const MAX_WAIT: Time = 120 * SEC;
/// From convergence to what is measured first.
const SETTLING_TIME: Time = 30 * SEC;
/// Time without faults in which traffic and cost are counted.
const CALM_TIME: Time = 60 * SEC;
/// A partition in halves lasts this long.
const PARTITION_TIME: Time = 30 * SEC;
/// From a restart to the next crash.
const RESTART_GAP: Time = 10 * SEC;
/// What the views reported is counted and dropped this often: it would outgrow the cluster itself.
const COUNT_INTERVAL: Time = 60 * SEC;

/// When something was known to parts of the routers, in seconds; none: not within 120 s.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[Option<f64>; 3]")]
pub struct KnownTimes {
    /// By half of them.
    pub half: Option<f64>,
    /// By 99 in 100.
    pub most: Option<f64>,
    /// By all.
    pub all: Option<f64>,
}

impl From<KnownTimes> for [Option<f64>; 3] {
    fn from(known: KnownTimes) -> Self {
        [known.half, known.most, known.all]
    }
}

impl KnownTimes {
    const AT_ONCE: KnownTimes = KnownTimes { half: Some(0.0), most: Some(0.0), all: Some(0.0) };

    /// The later times of both.
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

/// Routers that were falsely reported lost; an array of both in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(usize, f64)")]
pub struct FalseReports {
    /// How many, each by how many others.
    pub reports: usize,
    /// Within so many minutes.
    pub minutes: f64,
}

impl From<FalseReports> for (usize, f64) {
    fn from(false_reports: FalseReports) -> Self {
        (false_reports.reports, false_reports.minutes)
    }
}

/// One row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct BenchmarkRow {
    /// Routers.
    pub routers: usize,
    /// Loss on every link.
    pub loss: f64,
    /// All started at once hold one view, in seconds.
    pub joined_s: Option<f64>,
    /// A crash is known to be one (the worst of three).
    pub crash: KnownTimes,
    /// A router that starts is known.
    pub join: KnownTimes,
    /// After a partition in halves all are known to all.
    pub heal: KnownTimes,
    /// All hold one view after that, in seconds.
    pub healed_s: Option<f64>,
    /// Routers falsely reported lost while there is no fault but loss.
    pub falsely_lost: FalseReports,
    /// Datagrams a router a second while nothing happens.
    pub datagrams_s: f64,
    /// Their bytes.
    pub bytes_s: f64,
    /// Bytes a router in the second of the heal that had the most.
    #[serde(rename = "bytes_s_most")]
    pub max_bytes_s: f64,
    /// Memory that a router's view takes, in KB.
    pub memory_kb: f64,
    /// Processor time a router a second, in microseconds, with that of the simulation.
    pub cpu_us_s: f64,
}

/// Plays every size at every loss, side by side on all cores, and gives the rows in that order.
pub fn run(routers: &[usize], loss: &[f64], seed: u64, minutes: f64) -> Vec<BenchmarkRow> {
    let cases = routers.iter().flat_map(|routers| loss.iter().map(|loss| (*routers, *loss)));
    let cases: Vec<(usize, f64)> = cases.collect();
    cases.into_par_iter().map(|(routers, loss)| Benchmark::new(routers, loss, seed).run(minutes)).collect()
}

/// One case.
struct Benchmark {
    cluster: RouterCluster,
    all: Vec<usize>,
    loss: f64,
}

/// What a cluster costs while nothing happens.
struct CalmCost {
    datagrams_s: f64,
    bytes_s: f64,
    cpu_us_s: f64,
}

/// How a cluster heals.
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

    /// Runs all parts, one after another in the same cluster.
    fn run(mut self, minutes: f64) -> BenchmarkRow {
        let joined_s = self.join_all();
        self.cluster.run(SETTLING_TIME);
        let calm_since = self.cluster.now;
        let cost = self.measure_calm();
        let falsely_lost = self.count_false_reports(calm_since, minutes);
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
            falsely_lost,
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

    fn measure_calm(&mut self) -> CalmCost {
        let before = self.cluster.sent;
        let clock = Instant::now();
        self.cluster.run(CALM_TIME);
        let per_router_second = 1.0 / self.all.len() as f64 / as_seconds(CALM_TIME);
        let sent = self.cluster.sent;
        CalmCost {
            cpu_us_s: clock.elapsed().as_micros() as f64 * per_router_second,
            datagrams_s: (sent.datagrams - before.datagrams) as f64 * per_router_second,
            bytes_s: (sent.bytes - before.bytes) as f64 * per_router_second,
        }
    }

    /// Lets so many minutes pass and counts who was reported lost since then: nobody is.
    fn count_false_reports(&mut self, since: Time, minutes: f64) -> FalseReports {
        let until = self.cluster.now + (minutes * 60e6) as Time;
        let mut reports = 0;
        loop {
            reports += self.cluster.lost_reports(since);
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

    /// How soon crashes and restarts are known.
    fn crash_and_restart(&mut self) -> (KnownTimes, KnownTimes) {
        let mut crash = KnownTimes::AT_ONCE;
        let mut join = KnownTimes::AT_ONCE;
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
        let first_of_other = *other.first().unwrap_or(&0);
        let known = self.known(|cluster| {
            let by_one = cluster.share_agreeing(one, first_of_other, MemberState::Alive);
            by_one.min(cluster.share_agreeing(other, 0, MemberState::Alive))
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

    /// How long until a router has a state in the views of others.
    fn state_known(&mut self, by: &[usize], of: usize, state: MemberState) -> KnownTimes {
        self.known(|cluster| cluster.share_agreeing(by, of, state))
    }

    /// How long until half, 99 in 100 and all of the routers know something, of which `share` gives
    /// the part.
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

/// The rows as a table in Markdown.
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
        row.falsely_lost.reports,
        row.falsely_lost.minutes,
        row.datagrams_s,
        row.bytes_s,
        row.max_bytes_s,
        row.memory_kb,
        row.cpu_us_s
    )
}
