//! The result of a replay: totals by second, site and class, and whether the load runs away.

use super::resources::ResourceUsage;
use crate::trace::{RequestClass, Trace, TraceRequest};

/// Number of equal parts of the counted time of which the first and the last are compared to detect
/// a runaway load.
const RUNAWAY_PARTS: usize = 3;
/// Minimum length of these parts, in seconds; shorter ones say nothing about a runaway load.
const MIN_RUNAWAY_PART_S: usize = 3;
/// Minimum number of retries per first attempt in the last part of a runaway load.
const MIN_RUNAWAY_RETRIES: f64 = 0.2;
/// Minimum ratio of the retries per first attempt in the last part to those in the first part of a
/// runaway load.
const RUNAWAY_RETRY_GROWTH: f64 = 1.5;
/// Minimum decrease of the share of weight served in time, from the first to the last part of a
/// runaway load.
const RUNAWAY_LOSS: f64 = 0.1;

/// Sums over a period of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Priority weight of the first attempts.
    pub requested_weight: f64,
    /// Priority weight earned; a late response earns its class's late weight.
    pub earned_weight: f64,
    /// Priority weight served within the latency objective.
    pub in_time_weight: f64,
    /// Number of first attempts by clients.
    pub first_attempts: f64,
    /// Number of retries by clients.
    pub retries: f64,
}

impl Totals {
    /// Adds the sums of another period.
    pub fn add(&mut self, other: &Totals) {
        self.requested_weight += other.requested_weight;
        self.earned_weight += other.earned_weight;
        self.in_time_weight += other.in_time_weight;
        self.first_attempts += other.first_attempts;
        self.retries += other.retries;
    }

    /// Returns the priority weight served in time as a share of the requested weight; 1 if nothing
    /// was requested.
    pub fn in_time_share(&self) -> f64 {
        if self.requested_weight > 0.0 {
            self.in_time_weight / self.requested_weight
        } else {
            1.0
        }
    }

    /// Returns the number of retries per first attempt.
    fn retries_per_first_attempt(&self) -> f64 {
        self.retries / self.first_attempts.max(1.0)
    }
}

/// The source from which a first attempt was served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServedFrom {
    /// The request was not served, or only by a retry or by another attempt of the router.
    #[default]
    Unknown,
    /// The edge cache, as a cache hit.
    EdgeCache,
    /// A parent cache, through a fill that hit there.
    ParentCache,
    /// The origin, through a parent cache that fetched the chunk.
    Origin,
    /// The origin, which executed a write.
    Write,
}

/// What a replay measured: served weight by second, site and class, and the usage of resources.
#[derive(Debug, Default)]
pub struct ReplayResult {
    /// Totals by the second of the first attempt's arrival, then by site.
    pub seconds: Vec<Vec<Totals>>,
    /// Totals by class, of first attempts that arrived from `counted_from_us` on.
    pub classes: Vec<Totals>,
    /// Time from which class totals, hits and bytes are counted, in microseconds.
    pub counted_from_us: u64,
    /// Number of attempts sent to edge caches, from `counted_from_us` on.
    pub edge_attempts: f64,
    /// Number of attempts that were hits in an edge cache, from `counted_from_us` on.
    pub edge_hits: f64,
    /// Bytes served to clients, from `counted_from_us` on.
    pub served_bytes: f64,
    /// Bytes of fills that were started for edge caches, from `counted_from_us` on.
    pub filled_bytes: f64,
    /// Source of each first attempt, by the index of the request in the trace; empty unless
    /// [`super::ReplayOptions::record_sources`] is set.
    pub sources: Vec<ServedFrom>,
    /// Usage of each resource with a known limit.
    pub resources: Vec<ResourceUsage>,
    /// Maximum number of open requests at any one router, over the whole replay.
    pub max_open_requests: usize,
    /// Maximum total size of the responses to open requests at any one router over the whole
    /// replay, in bytes.
    pub max_held_bytes: f64,
    /// Number of calls that the origin accepted over the whole replay: fetches and writes.
    pub origin_calls: f64,
}

impl ReplayResult {
    /// Creates a result with all totals zero, for a load and a number of sites.
    pub(super) fn empty(
        trace: &Trace,
        site_count: usize,
        counted_from_us: u64,
        record_sources: bool,
    ) -> ReplayResult {
        let seconds = (trace.duration_us / 1_000_000 + 1) as usize;
        let recorded_sources = if record_sources { trace.requests.len() } else { 0 };
        ReplayResult {
            seconds: vec![vec![Totals::default(); site_count]; seconds],
            classes: vec![Totals::default(); trace.classes.len()],
            counted_from_us,
            sources: vec![ServedFrom::Unknown; recorded_sources],
            ..ReplayResult::default()
        }
    }

    /// Adds to the totals of a first attempt's second and site, and to those of its class if it is
    /// counted.
    pub(super) fn record(&mut self, request: &TraceRequest, class: usize, totals: &Totals) {
        let second = (request.arrived_us / 1_000_000) as usize;
        self.seconds[second][usize::from(request.site)].add(totals);
        if request.arrived_us >= self.counted_from_us {
            self.classes[class].add(totals);
        }
    }

    /// Returns the first second that is counted.
    pub fn counted_from_second(&self) -> usize {
        (self.counted_from_us / 1_000_000) as usize
    }

    /// Returns the totals of all sites from second `from` up to but not including `to`.
    pub fn totals(&self, from: usize, to: usize) -> Totals {
        let mut totals = Totals::default();
        for second in self.seconds.iter().take(to.min(self.seconds.len())).skip(from) {
            second.iter().for_each(|site| totals.add(site));
        }
        totals
    }

    /// Returns the totals of all sites for each second from `from` up to but not including `to`.
    pub fn totals_by_second(&self, from: usize, to: usize) -> Vec<Totals> {
        (from..to).map(|second| self.totals(second, second + 1)).collect()
    }

    /// Returns the totals of one site over the counted seconds.
    pub fn site_totals(&self, site: usize) -> Totals {
        let mut totals = Totals::default();
        let counted = self.seconds.iter().skip(self.counted_from_second());
        counted.filter_map(|second| second.get(site)).for_each(|second| totals.add(second));
        totals
    }

    /// Returns the totals of all sites over the counted seconds.
    pub fn counted_totals(&self) -> Totals {
        self.totals(self.counted_from_second(), self.seconds.len())
    }

    /// Returns the share of attempts at edge caches that were hits; 0 without attempts.
    pub fn hit_ratio(&self) -> f64 {
        if self.edge_attempts > 0.0 {
            self.edge_hits / self.edge_attempts
        } else {
            0.0
        }
    }

    /// Returns the bytes filled per byte served; 0 if nothing was served.
    pub fn fill_ratio(&self) -> f64 {
        if self.served_bytes > 0.0 {
            self.filled_bytes / self.served_bytes
        } else {
            0.0
        }
    }

    /// Returns whether the load runs away: retries grow from the first to the last part of the
    /// counted time, while the share of weight served in time falls. Returns false if the counted
    /// time is too short to tell.
    pub fn runs_away(&self) -> bool {
        let from = self.counted_from_second();
        let end = self.seconds.len();
        let part_s = (end - from.min(end)) / RUNAWAY_PARTS;
        if part_s < MIN_RUNAWAY_PART_S {
            return false;
        }
        let first = self.totals(from, from + part_s);
        let last = self.totals(end - part_s, end);
        let last_retries = last.retries_per_first_attempt();
        last_retries > MIN_RUNAWAY_RETRIES
            && last_retries > RUNAWAY_RETRY_GROWTH * first.retries_per_first_attempt()
            && last.in_time_share() < first.in_time_share() - RUNAWAY_LOSS
    }
}

/// Returns the weight that a response earns if it is served at `served_at_us`.
pub(super) fn response_totals(
    request: &TraceRequest,
    class: &RequestClass,
    latency_objective_us: f64,
    served_at_us: u64,
) -> Totals {
    let is_in_time = (served_at_us - request.arrived_us) as f64 <= latency_objective_us;
    let earned_share = if is_in_time { 1.0 } else { class.late_weight };
    Totals {
        earned_weight: class.priority_weight * earned_share,
        in_time_weight: if is_in_time { class.priority_weight } else { 0.0 },
        ..Totals::default()
    }
}
