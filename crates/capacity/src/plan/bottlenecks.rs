//! Bottlenecks: the resources that become saturated, and the load at which each of them does.

use super::load_levels::LoadLevel;
use crate::confidence::{estimate_mean, Estimate};
use crate::fleet::Fleet;
use crate::replay::Resource;
use crate::report::Bottleneck;

/// Mean usage over its busiest window at which a resource counts as saturated.
const SATURATION_USAGE: f64 = 0.95;
/// Factor within which saturation loads cannot be told apart from the lowest one.
const SIMILAR_LOAD_FACTOR: f64 = 1.1;
/// Maximum saturation load that is reported, in multiples of the requested load.
const MAX_LOAD_MULTIPLE: f64 = 4.0;
/// File descriptors that a router uses without open requests.
const ROUTER_BASE_SOCKETS: f64 = 24.0;
/// File descriptors per open request: the client's connection and one to an edge cache.
const SOCKETS_PER_REQUEST: f64 = 2.0;
/// Memory that a router uses without open requests, in MB.
const ROUTER_BASE_MB: f64 = 5.0;

/// Usage of a resource at one load.
#[derive(Clone, Copy, Debug, Default)]
struct UsagePoint {
    load: f64,
    used: f64,
}

/// Sort key of a bottleneck: its saturation load, and its usage if loads cannot be told apart.
#[derive(Clone, Copy, Debug)]
struct BottleneckRank {
    load: f64,
    used: f64,
}

/// Returns every resource with its saturation load, sorted with the first to become saturated
/// first. `levels` begins with the requested load.
pub(super) fn find_bottlenecks(levels: &[LoadLevel], fleet: &Fleet, seed: u64) -> Vec<Bottleneck> {
    let Some(requested) = levels.first() else { return Vec::new() };
    let resources = requested.first_result().resources.iter().enumerate();
    let mut bottlenecks: Vec<Bottleneck> = resources
        .map(|(index, usage)| {
            let used = estimate_mean(&requested.resource_usage(index), seed);
            resource_bottleneck(&usage.resource, used, &usage_points(levels, index))
        })
        .collect();
    bottlenecks.extend(router_bottlenecks(requested, fleet));
    sort_by_load(&mut bottlenecks);
    bottlenecks
}

fn usage_points(levels: &[LoadLevel], resource: usize) -> Vec<UsagePoint> {
    let point =
        |level: &LoadLevel| UsagePoint { load: level.load, used: level.busiest_usage(resource) };
    levels.iter().map(point).collect()
}

fn resource_bottleneck(
    resource: &Resource,
    used: Option<Estimate>,
    points: &[UsagePoint],
) -> Bottleneck {
    Bottleneck {
        resource: resource_name(resource),
        used,
        saturates_at: saturation_load(points),
        symptom: symptom(resource).into(),
    }
}

/// Returns the load at which a resource becomes saturated: interpolated linearly between two
/// replayed loads, and extrapolated in proportion above the highest one. Returns `None` if it lies
/// beyond [`MAX_LOAD_MULTIPLE`].
fn saturation_load(points: &[UsagePoint]) -> Option<f64> {
    let mut last = UsagePoint::default();
    for point in points {
        if point.used >= SATURATION_USAGE {
            let share = if point.used > last.used {
                (SATURATION_USAGE - last.used) / (point.used - last.used)
            } else {
                1.0
            };
            return Some(last.load + (point.load - last.load) * share.clamp(0.0, 1.0));
        }
        last = *point;
    }
    let extrapolated = (last.used > 0.0).then(|| last.load * SATURATION_USAGE / last.used);
    let requested_load = points.first().map_or(1.0, |point| point.load);
    extrapolated.filter(|load| *load <= MAX_LOAD_MULTIPLE * requested_load)
}

/// Returns the bottlenecks of a router: its usage at the requested load, extrapolated in proportion
/// to the load.
fn router_bottlenecks(requested: &LoadLevel, fleet: &Fleet) -> Vec<Bottleneck> {
    let trace = requested.first_trace();
    let result = requested.first_result();
    let routers = &fleet.routers;
    let requests_per_s = trace.requests_per_s() / trace.router_count.max(1) as f64;
    let sockets = SOCKETS_PER_REQUEST * result.max_open_requests as f64 + ROUTER_BASE_SOCKETS;
    let memory_mb = result.max_held_bytes / 1e6 + ROUTER_BASE_MB;
    let bottleneck = |resource: &str, used: f64, symptom: &str| Bottleneck {
        resource: format!("a router's {resource}"),
        used: Estimate::without_interval(used),
        saturates_at: (used > 0.0)
            .then(|| requested.load / used)
            .filter(|load| *load <= MAX_LOAD_MULTIPLE * requested.load),
        symptom: symptom.into(),
    };
    vec![
        bottleneck(
            "core",
            requests_per_s * routers.cpu_ms / 1e3,
            "answers of every class begin later and later",
        ),
        bottleneck("sockets", sockets / routers.max_sockets, "clients wait to be connected"),
        bottleneck(
            "memory",
            memory_mb / routers.memory_mb,
            "requests are refused while others are served",
        ),
    ]
}

/// Sorts by saturation load. Among those that cannot be told apart from the lowest load, the
/// resource with the highest usage comes first.
fn sort_by_load(bottlenecks: &mut [Bottleneck]) {
    let load = |bottleneck: &Bottleneck| bottleneck.saturates_at.unwrap_or(f64::INFINITY);
    let first_load = bottlenecks.iter().map(load).fold(f64::INFINITY, f64::min);
    let rank = |bottleneck: &Bottleneck| {
        let load = load(bottleneck);
        let is_among_first = load <= first_load * SIMILAR_LOAD_FACTOR;
        BottleneckRank {
            load: if is_among_first { 0.0 } else { load },
            used: bottleneck.used.map_or(0.0, |used| used.value),
        }
    };
    bottlenecks.sort_by(|a, b| {
        let (rank_a, rank_b) = (rank(a), rank(b));
        let by_load = rank_a.load.total_cmp(&rank_b.load);
        let by_use = (-rank_a.used).total_cmp(&-rank_b.used);
        by_load.then(by_use).then(a.resource.cmp(&b.resource))
    });
}

/// Returns the name of a resource in the plan.
fn resource_name(resource: &Resource) -> String {
    match resource {
        Resource::EdgeCacheLink(name) => format!("{name} link out"),
        Resource::EdgeCacheCores(name) => format!("{name} cores"),
        Resource::EdgeCacheFills(name) => format!("{name} fill places"),
        Resource::SiteInboundLink(name) => format!("{name} link in"),
        Resource::ParentCacheLink(name) => format!("{name} link out"),
        Resource::ParentCacheFetches(name) => format!("{name} fetch places"),
        Resource::OriginCalls => "library calls".into(),
        Resource::OriginLink => "library link out".into(),
        Resource::OriginWorkers => "library workers".into(),
    }
}

/// Returns what users notice when a resource is saturated.
fn symptom(resource: &Resource) -> &'static str {
    match resource {
        Resource::EdgeCacheLink(_) => "videos at this office come late; some are refused",
        Resource::EdgeCacheCores(_) => "all that this box serves begins late",
        Resource::EdgeCacheFills(_) => "what was not asked for lately is turned away here",
        Resource::SiteInboundLink(_) => "what this office has not asked for lately comes late",
        Resource::ParentCacheLink(_) => "new and rare objects come late at every office",
        Resource::ParentCacheFetches(_) => "new objects are turned away at every office",
        Resource::OriginCalls => "new objects are turned away, filings are refused",
        Resource::OriginLink => "new objects come late at every office",
        Resource::OriginWorkers => "new objects and filings come late",
    }
}
