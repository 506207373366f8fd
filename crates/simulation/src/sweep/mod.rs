//! A sweep over outages in virtual time: it runs every combination of the outages, durations,
//! loads, numbers of routers and other parameters in a file. The runs are spread over all processor
//! cores; the same file gives the same figures.

mod table;

pub use table::table;

use crate::report::{Report, SecondWeights, COLD_EDGE_CACHE, COLD_PARENT_CACHE};
use crate::scenario::{Fault, FaultKind, Scenario, Site, MAX_ROUTERS_PER_SITE, ORIGIN_NAME};
use crate::virtual_time::{self, VirtualTimeError};
use hollymux_config_file::{Check, Faults};
use rayon::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest number of combinations; more are assumed to be a mistake in the file.
const MAX_SCENARIOS: usize = 20_000;
/// Service counts as recovered when the share of the weight that is earned reaches this part of the
/// share earned before the outage.
const RECOVERED_SHARE: f64 = 0.95;
/// Number of seconds over which that share must be reached.
const RECOVERY_WINDOW_S: usize = 2;
/// Number of seconds before the outage that provide the baseline for recovery.
const BASELINE_S: usize = 5;
/// Duration of a rolling replacement, in seconds.
const REPLACEMENT_S: f64 = 7.0;
/// A rolling replacement takes `REPLACED` of every this many edge caches.
const REPLACED_OF: usize = 5;
/// Number of edge caches replaced out of every `REPLACED_OF`.
const REPLACED: usize = 3;

/// The dimensions of the sweep; every combination of their values is run once.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The base scenario of all runs. It must contain no faults.
    #[serde(rename = "day")]
    pub scenario: Scenario,
    /// When the outage begins, in seconds since the start of the run.
    pub at_s: f64,
    /// The sets of servers that fail; one set per run.
    #[serde(rename = "lost")]
    pub outages: Vec<Outage>,
    /// The durations of the outage, in seconds.
    #[serde(rename = "for_s")]
    pub durations_s: Vec<f64>,
    /// The loads, as multiples of the base scenario's `rate_per_s`.
    pub loads: Vec<f64>,
    /// The numbers of routers in all. They are spread over the sites in proportion to their edge
    /// caches, at least one each; with fewer routers than sites, the last sites are left out.
    pub routers: Vec<usize>,
    /// The skews of the load between routers, as in the scenario's `uneven`. Default: 1.
    #[serde(rename = "uneven", default = "default_skews")]
    pub router_skews: Vec<f64>,
    /// The times until a change of the endpoint list reaches the routers, in milliseconds. Default:
    /// 1000.
    #[serde(rename = "news_ms", default = "default_feed_delays_ms")]
    pub feed_delays_ms: Vec<f64>,
    /// The seeds of random numbers with which each combination is run. Default: 1.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<u64>,
}

/// The servers that fail in an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
pub enum Outage {
    /// The first parent cache crashes.
    #[default]
    #[serde(rename = "hub")]
    ParentCache,
    /// All parent caches crash.
    #[serde(rename = "hubs")]
    AllParentCaches,
    /// The first edge cache of the first site crashes.
    #[serde(rename = "box")]
    EdgeCache,
    /// Half of the first site's edge caches crash, rounded up.
    #[serde(rename = "half_office")]
    HalfSite,
    /// All edge caches of the first site crash.
    #[serde(rename = "office")]
    Site,
    /// The origin crashes, so that misses can't be filled from it.
    #[serde(rename = "library")]
    Origin,
    /// Three of every five edge caches are replaced one after another within 7 s, whatever the
    /// duration.
    #[serde(rename = "replaced")]
    RollingReplacement,
}

fn default_skews() -> Vec<f64> {
    vec![1.0]
}

fn default_feed_delays_ms() -> Vec<f64> {
    vec![1_000.0]
}

fn default_seeds() -> Vec<u64> {
    vec![1]
}

impl Check for Sweep {
    fn check(&self, faults: &mut Faults) {
        self.scenario.check(faults);
        let scenarios = self.scenario_count();
        let count_fits = (1..=MAX_SCENARIOS).contains(&scenarios);
        faults.require(count_fits, "lost", "every list must have entries, 20000 days in all at most");
        let at_fits = self.at_s > self.scenario.warm_up_s && self.at_s < self.scenario.seconds;
        faults.require(at_fits, "at_s", "must lie between the day's warm_s and seconds");
        let max_routers = MAX_ROUTERS_PER_SITE * self.scenario.sites.len();
        let routers = self.routers.iter().all(|count| (1..=max_routers).contains(count));
        faults.require(routers, "routers", "must lie between 1 and 50 for each office");
        let durations = self.durations_s.iter().all(|seconds| *seconds > 0.0);
        faults.require(durations, "for_s", "must be above 0");
        let loads = self.loads.iter().all(|load| *load > 0.0 && *load <= 100.0);
        faults.require(loads, "loads", "must lie between 0 and 100");
        let skews = self.router_skews.iter().all(|skew| (1.0..=100.0).contains(skew));
        faults.require(skews, "uneven", "must lie between 1 and 100");
        let delays = self.feed_delays_ms.iter().all(|delay| (0.0..=60_000.0).contains(delay));
        faults.require(delays, "news_ms", "must lie between 0 and 60000");
        faults.require(self.scenario.faults.is_empty(), "day.faults", "the outage is the only one");
    }
}

/// The parameters and the results of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SweepRow {
    /// The set of servers that failed in the run.
    #[serde(rename = "lost")]
    pub outage: Outage,
    /// The duration of the outage, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// The load, as a multiple of the base scenario's.
    pub load: f64,
    /// The number of routers in all.
    pub routers: usize,
    /// The skew of the load between routers; 1 is even.
    #[serde(rename = "uneven")]
    pub router_skew: f64,
    /// The time until a change of the endpoint list reached the routers, in milliseconds.
    #[serde(rename = "news_ms")]
    pub feed_delay_ms: f64,
    /// The seed of the random numbers in the run.
    pub seed: u64,
    /// The number of violations by rule; empty if every rule held.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<String, u64>,
    /// The number of servers that were overloaded while they warmed up, mainly by load that was
    /// sent before all routers knew of their start.
    #[serde(rename = "fell_untold")]
    pub overloads_before_known: u64,
    /// The weight earned over the weight offered, from 0 to 1.
    #[serde(rename = "served_worth")]
    pub earned_share: f64,
    /// The seconds from the end of the outage until 95% of the earlier share of the weight is
    /// earned again; `None` if that does not happen before the end of the run.
    #[serde(rename = "back_s")]
    pub recovery_s: Option<f64>,
    /// The peak use of the quotas of an edge cache and of a parent cache that warm up, within a
    /// window and by the routers' own accounts, as a share of the quota.
    #[serde(rename = "cold_worst")]
    pub quota_peaks: [f64; 2],
    /// The mean use of the same quotas while demand was at least the whole quota; `None` if it
    /// never was.
    #[serde(rename = "cold_used")]
    pub quota_means: [Option<f64>; 2],
    /// Requests that reached the origin, per second.
    #[serde(rename = "library_per_s")]
    pub origin_requests_per_s: f64,
    /// Attempts that reached servers, per request of a client.
    pub attempts: f64,
}

impl Sweep {
    /// The number of combinations, saturating at `usize::MAX`.
    fn scenario_count(&self) -> usize {
        let lengths = [
            self.outages.len(),
            self.durations_s.len(),
            self.loads.len(),
            self.routers.len(),
            self.router_skews.len(),
            self.feed_delays_ms.len(),
            self.seeds.len(),
        ];
        lengths.into_iter().try_fold(1usize, usize::checked_mul).unwrap_or(usize::MAX)
    }

    /// The scenarios in the order of the lists, each with a row that holds its parameters and no
    /// results yet.
    fn scenarios(&self) -> Vec<(SweepRow, Scenario)> {
        let rows = vec![SweepRow::default()];
        let rows = combine(rows, &self.outages, |row, outage| row.outage = outage);
        let rows = combine(rows, &self.durations_s, |row, seconds| row.duration_s = seconds);
        let rows = combine(rows, &self.loads, |row, load| row.load = load);
        let rows = combine(rows, &self.routers, |row, routers| row.routers = routers);
        let rows = combine(rows, &self.router_skews, |row, skew| row.router_skew = skew);
        let rows = combine(rows, &self.feed_delays_ms, |row, delay| row.feed_delay_ms = delay);
        let rows = combine(rows, &self.seeds, |row, seed| row.seed = seed);
        let with_scenario = |row: SweepRow| {
            let scenario = self.scenario_of(&row);
            (row, scenario)
        };
        rows.into_iter().map(with_scenario).collect()
    }

    fn scenario_of(&self, row: &SweepRow) -> Scenario {
        let mut scenario = self.scenario.clone();
        scenario.rate_per_s *= row.load;
        scenario.router_skew = row.router_skew;
        scenario.endpoint_feed_delay_ms = row.feed_delay_ms;
        spread_routers(&mut scenario.sites, row.routers);
        scenario.faults = self.faults(&scenario, row);
        scenario
    }

    fn faults(&self, scenario: &Scenario, row: &SweepRow) -> Vec<Fault> {
        let lost = lost_servers(scenario, row.outage);
        let step_s = REPLACEMENT_S / lost.len() as f64;
        let fault = |(index, server): (usize, String)| match row.outage {
            Outage::RollingReplacement => Fault {
                at_s: self.at_s + index as f64 * step_s,
                for_s: None,
                kind: FaultKind::Replace { server },
            },
            _ => Fault { at_s: self.at_s, for_s: Some(row.duration_s), kind: FaultKind::Crash { server } },
        };
        lost.into_iter().enumerate().map(fault).collect()
    }
}

/// Repeats each row once for each value, with the value set.
fn combine<T: Copy>(rows: Vec<SweepRow>, values: &[T], set: impl Fn(&mut SweepRow, T)) -> Vec<SweepRow> {
    let mut combined = Vec::with_capacity(rows.len() * values.len());
    for row in &rows {
        for value in values {
            let mut row = row.clone();
            set(&mut row, *value);
            combined.push(row);
        }
    }
    combined
}

/// Gives each site a router and spreads the rest in proportion to the edge caches. If there are
/// fewer routers than sites, the last sites are removed.
fn spread_routers(sites: &mut Vec<Site>, routers: usize) {
    sites.iter_mut().for_each(|site| site.routers = 1);
    for _ in sites.len()..routers {
        let routers_per_cache = |site: &&mut Site| (site.routers * 1_000) / site.edge_caches;
        let not_full = sites.iter_mut().filter(|site| site.routers < MAX_ROUTERS_PER_SITE);
        if let Some(site) = not_full.min_by_key(routers_per_cache) {
            site.routers += 1;
        }
    }
    sites.truncate(routers);
}

/// The names of the servers that an outage affects.
fn lost_servers(scenario: &Scenario, outage: Outage) -> Vec<String> {
    let parents = scenario.parent_caches.iter().map(|parent| parent.name.clone());
    let first_site: Vec<String> = scenario.edge_cache_names(0).collect();
    match outage {
        Outage::ParentCache => parents.take(1).collect(),
        Outage::AllParentCaches => parents.collect(),
        Outage::EdgeCache => first_site[..1].to_vec(),
        Outage::HalfSite => first_site[..first_site.len().div_ceil(2)].to_vec(),
        Outage::Site => first_site,
        Outage::Origin => vec![ORIGIN_NAME.into()],
        Outage::RollingReplacement => {
            let all = (0..scenario.sites.len()).flat_map(|site| scenario.edge_cache_names(site));
            let replaced = all.enumerate().filter(|(index, _)| index % REPLACED_OF < REPLACED);
            replaced.map(|(_, name)| name).collect()
        }
    }
}

/// Runs all scenarios of a sweep and returns their rows in order.
///
/// # Errors
/// A router rejects its configuration or its settings.
pub fn run(sweep: &Sweep) -> Result<Vec<SweepRow>, VirtualTimeError> {
    let scenarios = sweep.scenarios().into_par_iter();
    scenarios.map(|(row, scenario)| play_row(sweep.at_s, row, &scenario)).collect()
}

fn play_row(at_s: f64, row: SweepRow, scenario: &Scenario) -> Result<SweepRow, VirtualTimeError> {
    let run = virtual_time::run(scenario, row.seed, &mut |_, _| {})?;
    let report = Report::new(scenario, &run);
    let duration_s = match row.outage {
        Outage::RollingReplacement => REPLACEMENT_S,
        _ => row.duration_s,
    };
    let quotas = [COLD_EDGE_CACHE, COLD_PARENT_CACHE].map(|tier| report.warm_up_quotas.get(tier).copied());
    Ok(SweepRow {
        recovery_s: recovery_seconds(&report.seconds, at_s, at_s + duration_s),
        quota_peaks: quotas.map(|quota| quota.map_or(0.0, |quota| quota.used_peak)),
        quota_means: quotas.map(|quota| quota.and_then(|quota| quota.used_mean)),
        earned_share: report.earned_share,
        origin_requests_per_s: report.origin_requests_per_s,
        attempts: report.attempts,
        violations: report.violations,
        overloads_before_known: report.overloads_before_known,
        ..row
    })
}

/// The seconds from the end of an outage until the share of the weight that is earned has
/// recovered; `None` if it does not.
fn recovery_seconds(seconds: &[SecondWeights], begin_s: f64, end_s: f64) -> Option<f64> {
    let begin = (begin_s as usize).min(seconds.len());
    let before = earned_share(&seconds[begin.saturating_sub(BASELINE_S)..begin]);
    let first = end_s.ceil() as usize;
    let last = (seconds.len() + 1).saturating_sub(RECOVERY_WINDOW_S);
    let recovered = |second: &usize| {
        earned_share(&seconds[*second..second + RECOVERY_WINDOW_S]) >= RECOVERED_SHARE * before
    };
    (first..last).find(recovered).map(|second| second as f64 - end_s)
}

/// The weight earned over the weight offered; 1 if nothing was offered.
fn earned_share(seconds: &[SecondWeights]) -> f64 {
    let earned: f64 = seconds.iter().fold(0.0, |sum, second| sum + second.earned);
    let offered: f64 = seconds.iter().fold(0.0, |sum, second| sum + second.offered);
    if offered > 0.0 {
        earned / offered
    } else {
        1.0
    }
}
