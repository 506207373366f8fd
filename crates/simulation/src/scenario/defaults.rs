//! Default values of the fields that a scenario may omit; the comments of the fields explain them.

use super::{Origin, RequestClass};

pub(super) fn catalogue_seed() -> u64 {
    1
}

pub(super) fn warm_up_s() -> f64 {
    5.0
}

pub(super) fn flow_bytes_per_s() -> f64 {
    20_000.0
}

pub(super) fn rate_per_s() -> f64 {
    130.0
}

pub(super) fn endpoint_feed_delay_ms() -> f64 {
    1_000.0
}

pub(super) fn edge_caches() -> usize {
    4
}

pub(super) fn one() -> usize {
    1
}

pub(super) fn one_as_float() -> f64 {
    1.0
}

pub(super) fn cache_cores() -> f64 {
    5.0
}

pub(super) fn cache_link_flows() -> f64 {
    8.0
}

pub(super) fn cache_bytes() -> u64 {
    4_000_000
}

pub(super) fn parent_cache_bytes() -> u64 {
    20_000_000
}

pub(super) fn parent_max_fills() -> usize {
    64
}

pub(super) fn size_sigma() -> f64 {
    0.5
}

pub(super) fn chunk_gap_ms() -> f64 {
    600.0
}

pub(super) fn objects() -> u64 {
    400
}

pub(super) fn local_share() -> f64 {
    0.15
}

pub(super) fn single_use_share() -> f64 {
    0.03
}

pub(super) fn latency_objective_stretch() -> f64 {
    1.6
}

pub(super) fn late_weight() -> f64 {
    0.15
}

impl Default for Origin {
    fn default() -> Self {
        Origin { link_flows: 40.0, workers: 16, service_ms: 40.0, max_requests_per_s: 300.0 }
    }
}

/// A class that takes the default of every field that has one. Its latency objective and its
/// timeout are 0 and must be set by the caller.
fn class(name: &str, load_weight: f64, mean_bytes: f64, priority_weight: f64) -> RequestClass {
    RequestClass {
        name: name.to_string(),
        load_weight,
        mean_bytes,
        size_sigma: size_sigma(),
        chunks: 1,
        chunk_gap_ms: chunk_gap_ms(),
        objects: objects(),
        zipf_exponent: one_as_float(),
        local_share: local_share(),
        single_use_share: single_use_share(),
        non_idempotent: false,
        fresh_s: 0.0,
        stale_s: 0.0,
        priority_weight,
        latency_objective_ms: 0.0,
        latency_objective_stretch: latency_objective_stretch(),
        timeout_ms: 0.0,
        late_weight: late_weight(),
    }
}

/// The classes of a scenario that lists none: videos in chunks, pages, and non-idempotent filings.
pub fn default_classes() -> Vec<RequestClass> {
    let video = RequestClass {
        chunks: 12,
        objects: 120,
        latency_objective_ms: 600.0,
        timeout_ms: 5_000.0,
        ..class("training-video", 0.55, 8_000.0, 2.0)
    };
    let pages = RequestClass {
        objects: 1_000,
        fresh_s: 8.0,
        stale_s: 30.0,
        latency_objective_ms: 250.0,
        latency_objective_stretch: 2.0,
        timeout_ms: 2_500.0,
        late_weight: 0.2,
        ..class("docs-pages", 0.42, 1_400.0, 1.0)
    };
    let filing = RequestClass {
        non_idempotent: true,
        latency_objective_ms: 800.0,
        latency_objective_stretch: 0.0,
        timeout_ms: 3_000.0,
        late_weight: 0.0,
        ..class("cert-filing", 0.03, 200.0, 3.0)
    };
    vec![video, pages, filing]
}
