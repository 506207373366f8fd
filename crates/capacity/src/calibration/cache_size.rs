//! Calibration of the capacity of edge caches: the size at which the reuse distances of a site's
//! own load give the hit ratio that the site's responses show.

use super::{latency_excluding_transfer_us, MIN_TIMED_RESPONSES};
use crate::network::Network;
use crate::placement::{hash_order, placement_seed};
use crate::reuse_distance::{hit_ratio_curve, CacheAccess, HitRatioCurve};
use crate::trace::{PurgeLog, Trace};

/// Share of its transfer time that a hit may take in addition to the maximum delay of hits. A
/// slower response was not a plain hit.
const HIT_SLOWDOWN: f64 = 0.25;
/// Number of requests up to which every chunk is followed; a longer trace is sampled.
const MAX_EXACT_REQUESTS: usize = 200_000;
/// Share of chunks that is followed if the trace is sampled.
const SAMPLE_SHARE: f64 = 0.1;
/// Difference from the maximum possible hit ratio below which caches count as large enough for
/// everything that is requested.
const UNBOUNDED_TOLERANCE: f64 = 0.02;
/// Number of bisection steps in the search for the size: enough to find it to well below a byte for
/// any cache.
const BISECTION_STEPS: usize = 40;

/// The accesses to a site's edge caches, and the hits that its responses show.
struct SiteObservation {
    /// Accesses of each edge cache, in order of time.
    accesses: Vec<Vec<CacheAccess>>,
    timed_responses: f64,
    hits: f64,
}

/// The hit ratio curve of one edge cache with its number of requests, the weight in the site's
/// mean.
struct WeightedCurve {
    requests: f64,
    curve: HitRatioCurve,
}

/// The hit ratio curves of all edge caches of a site.
struct SiteCurves {
    edge_caches: Vec<WeightedCurve>,
}

/// Calibrates the capacity of the edge caches at every site for which the fleet file does not give
/// it.
pub(super) fn calibrate(trace: &Trace, network: &mut Network) {
    for site in 0..trace.sites.len() {
        let edge_caches = &network.sites[site].edge_caches;
        if !edge_caches.iter().all(|node| node.cache_bytes.is_finite()) {
            let note = calibrate_site(trace, network, site);
            let name = &network.sites[site].name;
            network.calibration_notes.push(format!("{name}: {note}"));
        }
    }
}

/// Calibrates the capacity of a site's edge caches and returns a note for the plan. The capacity
/// stays unbounded if there are too few responses, or if the hit ratio is close to the maximum.
fn calibrate_site(trace: &Trace, network: &mut Network, site: usize) -> String {
    let observation = observe_site(trace, network, site);
    if observation.timed_responses < MIN_TIMED_RESPONSES as f64 {
        return "too few answers to fit what its boxes keep: all".into();
    }
    let hit_ratio = observation.hits / observation.timed_responses;
    let is_sampled = trace.requests.len() > MAX_EXACT_REQUESTS;
    let sample_share = if is_sampled { SAMPLE_SHARE } else { 1.0 };
    let curves = SiteCurves::new(observation.accesses, sample_share);
    if hit_ratio + UNBOUNDED_TOLERANCE >= curves.max_hit_ratio() {
        let useful_bytes = curves.largest_useful_size(0.0);
        return format!(
            "its boxes keep all that they are asked for, {useful_bytes:.0} bytes at least"
        );
    }
    let cache_bytes = curves.size_for(hit_ratio);
    for node in &mut network.sites[site].edge_caches {
        node.cache_bytes = cache_bytes;
    }
    let percentage = hit_ratio * 100.0;
    format!("each box keeps {cache_bytes:.0} bytes, as {percentage:.0}% of its answers were hits")
}

fn observe_site(trace: &Trace, network: &Network, site: usize) -> SiteObservation {
    let max_delay_us = network.delays.hit_us + network.delays.parent_us / 2.0;
    let endpoints = network.sites[site].weighted_edge_caches();
    let mut observation = SiteObservation {
        accesses: vec![Vec::new(); endpoints.len()],
        timed_responses: 0.0,
        hits: 0.0,
    };
    let mut purge_log = PurgeLog::default();
    for request in &trace.requests {
        purge_log.advance(&trace.purges, request.arrived_us);
        let chunk = trace.chunk_of(request);
        let class = trace.class_of(request);
        if usize::from(request.site) != site || class.is_write {
            continue;
        }
        if let Some(latency_us) = latency_excluding_transfer_us(trace, request) {
            let slowdown_us = HIT_SLOWDOWN * trace.transfer_time_s(chunk) * 1e6;
            observation.timed_responses += 1.0;
            if latency_us <= max_delay_us + slowdown_us {
                observation.hits += 1.0;
            }
        }
        let order = hash_order(&endpoints, placement_seed(chunk.object, chunk.index));
        observation.accesses[usize::from(order[0])].push(CacheAccess {
            at_us: request.arrived_us,
            chunk: request.chunk,
            bytes: f64::from(chunk.bytes),
            not_before_us: purge_log.valid_since_us(request.arrived_us, chunk, class),
        });
    }
    observation
}

impl SiteCurves {
    fn new(accesses: Vec<Vec<CacheAccess>>, sample_share: f64) -> SiteCurves {
        let weighted = |accesses: Vec<CacheAccess>| WeightedCurve {
            requests: accesses.len() as f64,
            curve: hit_ratio_curve(accesses.into_iter(), sample_share),
        };
        SiteCurves { edge_caches: accesses.into_iter().map(weighted).collect() }
    }

    /// Returns the site's hit ratio if each edge cache holds `cache_bytes`.
    fn hit_ratio(&self, cache_bytes: f64) -> f64 {
        self.weighted_mean(|curve| curve.hit_ratio(cache_bytes))
    }

    fn max_hit_ratio(&self) -> f64 {
        self.weighted_mean(HitRatioCurve::max_hit_ratio)
    }

    /// Returns the size in bytes above which no edge cache gains hits, and at least `min_bytes`.
    fn largest_useful_size(&self, min_bytes: f64) -> f64 {
        let useful_size =
            |weighted: &WeightedCurve| weighted.curve.min_size_for(weighted.curve.max_hit_ratio());
        self.edge_caches.iter().filter_map(useful_size).fold(min_bytes, f64::max)
    }

    /// Returns the size of each edge cache in bytes at which the site has this hit ratio, by
    /// bisection.
    fn size_for(&self, hit_ratio: f64) -> f64 {
        let (mut low, mut high) = (0.0f64, self.largest_useful_size(1.0));
        for _ in 0..BISECTION_STEPS {
            let middle = (low + high) / 2.0;
            if self.hit_ratio(middle) < hit_ratio {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }

    fn weighted_mean(&self, value: impl Fn(&HitRatioCurve) -> f64) -> f64 {
        let requests: f64 = self.edge_caches.iter().map(|weighted| weighted.requests).sum();
        let weighted_sum: f64 =
            self.edge_caches.iter().map(|entry| entry.requests * value(&entry.curve)).sum();
        weighted_sum / requests.max(1.0)
    }
}
