//! What a replay comes to: totals by second, site and class, and how the load developed.

use super::resources::ResourceUsage;
use crate::trace::{RequestClass, Trace, TraceRequest};

/// The part of the counted time that a runaway is judged by, at its beginning and its end.
const RUNAWAY_PARTS: usize = 3;
/// Parts shorter than this many seconds say nothing of a runaway.
const MIN_RUNAWAY_PART_S: usize = 3;
/// Retries per first attempt at the end above which they can run away.
const MIN_RUNAWAY_RETRIES: f64 = 0.2;
/// Retries have grown if they are this many times those at the beginning.
const RUNAWAY_RETRY_GROWTH: f64 = 1.5;
/// The load has run away if the weight in time has also fallen by this share.
const RUNAWAY_LOSS: f64 = 0.1;

/// Sums over a stretch of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Priority weight that was requested.
    pub requested_weight: f64,
    /// Priority weight that was earned, late responses at their late weight.
    pub earned_weight: f64,
    /// Priority weight that was served within its latency objective.
    pub in_time_weight: f64,
    /// First attempts of clients.
    pub first_attempts: f64,
    /// Retries of clients.
    pub retries: f64,
}

impl Totals {
    /// Adds another stretch.
    pub fn add(&mut self, other: &Totals) {
        self.requested_weight += other.requested_weight;
        self.earned_weight += other.earned_weight;
        self.in_time_weight += other.in_time_weight;
        self.first_attempts += other.first_attempts;
        self.retries += other.retries;
    }

    /// The weight served in time, as a share of that requested; 1 where nothing was requested.
    pub fn in_time_share(&self) -> f64 {
        if self.requested_weight > 0.0 {
            self.in_time_weight / self.requested_weight
        } else {
            1.0
        }
    }

    /// Retries per first attempt.
    fn retries_per_first_attempt(&self) -> f64 {
        self.retries / self.first_attempts.max(1.0)
    }
}

/// Where a first attempt was served from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServedFrom {
    /// It was not served, or not at the first attempt.
    #[default]
    Unknown,
    /// Its edge cache.
    EdgeCache,
    /// A parent cache.
    ParentCache,
    /// The origin, through a parent cache.
    Origin,
    /// The origin, which executed a write.
    Write,
}

/// The result of a replay.
#[derive(Debug, Default)]
pub struct ReplayResult {
    /// Totals by second of the first attempt's arrival, then by site.
    pub seconds: Vec<Vec<Totals>>,
    /// Totals by class, from `counted_from_us` on.
    pub classes: Vec<Totals>,
    /// From when on classes, hits and bytes are counted, in microseconds.
    pub counted_from_us: u64,
    /// Attempts that reached an edge cache.
    pub edge_attempts: f64,
    /// Attempts that an edge cache served from what it held.
    pub edge_hits: f64,
    /// Bytes served to clients.
    pub served_bytes: f64,
    /// Bytes filled into edge caches.
    pub filled_bytes: f64,
    /// Where each first attempt was served from; empty unless asked for.
    pub sources: Vec<ServedFrom>,
    /// The use of each resource that is judged.
    pub resources: Vec<ResourceUsage>,
    /// The most requests that were open at one router.
    pub max_open_requests: usize,
    /// The most bytes that one router held or waited for.
    pub max_held_bytes: f64,
    /// Calls of the origin, writes among them.
    pub origin_calls: f64,
}

impl ReplayResult {
    /// A result of nothing yet, for a load on a number of sites.
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

    /// Adds to the totals of a first attempt's second, site and class.
    pub(super) fn record(&mut self, request: &TraceRequest, class: usize, totals: &Totals) {
        let second = (request.arrived_us / 1_000_000) as usize;
        self.seconds[second][usize::from(request.site)].add(totals);
        if request.arrived_us >= self.counted_from_us {
            self.classes[class].add(totals);
        }
    }

    /// The first second that is counted.
    pub fn counted_from_second(&self) -> usize {
        (self.counted_from_us / 1_000_000) as usize
    }

    /// All sites together, over the seconds from `from` to `to`.
    pub fn totals(&self, from: usize, to: usize) -> Totals {
        let mut totals = Totals::default();
        for second in self.seconds.iter().take(to.min(self.seconds.len())).skip(from) {
            second.iter().for_each(|site| totals.add(site));
        }
        totals
    }

    /// All sites together, second by second, from `from` to `to`.
    pub fn totals_by_second(&self, from: usize, to: usize) -> Vec<Totals> {
        (from..to).map(|second| self.totals(second, second + 1)).collect()
    }

    /// One site, over all that is counted.
    pub fn site_totals(&self, site: usize) -> Totals {
        let mut totals = Totals::default();
        let counted = self.seconds.iter().skip(self.counted_from_second());
        counted.filter_map(|second| second.get(site)).for_each(|second| totals.add(second));
        totals
    }

    /// All that is counted.
    pub fn counted_totals(&self) -> Totals {
        self.totals(self.counted_from_second(), self.seconds.len())
    }

    /// The share of attempts at edge caches that were hits.
    pub fn hit_ratio(&self) -> f64 {
        if self.edge_attempts > 0.0 {
            self.edge_hits / self.edge_attempts
        } else {
            0.0
        }
    }

    /// Bytes filled for each byte served.
    pub fn fill_ratio(&self) -> f64 {
        if self.served_bytes > 0.0 {
            self.filled_bytes / self.served_bytes
        } else {
            0.0
        }
    }

    /// Whether the load runs away: retries grow through the load, and the weight in time falls.
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

/// What a response earns that is served at `served_at_us`.
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
