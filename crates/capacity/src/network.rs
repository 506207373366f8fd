//! The network that a load is replayed over: the fleet file, completed from the recorded endpoint
//! list and by calibration.

use crate::error::PlanError;
use crate::fleet::{self, Fleet, WarmUp};
use crate::placement::{endpoint_hash, WeightedEndpoint};
use crate::trace::{ListedEndpoint, Trace};

/// Latencies that are calibrated from a recording, as the fleet file does not give them. In
/// microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseDelays {
    /// Time from a request to the first byte of a cache hit in an edge cache.
    pub hit_us: f64,
    /// Additional time until the first byte of a fill from a parent cache, compared with a hit.
    pub parent_us: f64,
    /// Additional time until the first byte of a fetch from the origin, compared with a fill that
    /// hits in the parent cache: network latency and the origin's service time.
    pub origin_us: f64,
    /// Time from a write request to its response.
    pub write_us: f64,
}

impl Default for ResponseDelays {
    fn default() -> Self {
        ResponseDelays {
            hit_us: 4_000.0,
            parent_us: 12_000.0,
            origin_us: 50_000.0,
            write_us: 50_000.0,
        }
    }
}

/// Processor capacity of an edge cache.
#[derive(Clone, Copy, Debug)]
pub struct Processor {
    /// Number of cores.
    pub cores: f64,
    /// Processor time per request, in microseconds.
    pub request_us: f64,
}

/// An edge cache of the replayed network.
#[derive(Clone, Debug)]
pub struct EdgeCacheNode {
    /// Name: the site's name and the position in the site from 1, such as `cairo-1`.
    pub name: String,
    /// Hash of the endpoint's unique name; its identity in hash orders.
    pub hash: u64,
    /// Capacity of its outbound link, in flows.
    pub link_flows: f64,
    /// Storage capacity, in bytes; infinite if it is neither given nor calibrated.
    pub cache_bytes: f64,
    /// Maximum number of concurrent fills; `usize::MAX` if unlimited.
    pub max_fills: usize,
    /// Processor capacity; `None` if the fleet file does not give both cores and work per request,
    /// and cores are not evaluated.
    pub processor: Option<Processor>,
}

/// A site of the replayed network.
#[derive(Clone, Debug)]
pub struct SiteNetwork {
    /// Name, as in the fleet file and the recording.
    pub name: String,
    /// Edge caches of the site, in the order of their numbers.
    pub edge_caches: Vec<EdgeCacheNode>,
    /// Capacity of the inbound link that all fills of the site share, in flows.
    pub link_in_flows: f64,
}

/// A parent cache of the replayed network.
#[derive(Clone, Debug)]
pub struct ParentCacheNode {
    /// Name, as in the fleet file.
    pub name: String,
    /// Hash of the endpoint's unique name; its identity in hash orders.
    pub hash: u64,
    /// Capacity of its outbound link, in flows.
    pub link_flows: f64,
    /// Storage capacity, in bytes; infinite if the fleet file does not give it.
    pub cache_bytes: f64,
    /// Maximum number of concurrent fetches from the origin; `usize::MAX` if unlimited.
    pub max_fetches: usize,
}

/// Limits of the origin; `None` for a limit that the fleet file does not give.
#[derive(Clone, Debug)]
pub struct OriginLimits {
    /// Maximum number of calls that the origin executes at the same time.
    pub workers: Option<usize>,
    /// Rate of calls above which the origin rejects, in calls per second.
    pub max_calls_per_s: Option<f64>,
    /// Capacity of the origin's outbound link, in flows.
    pub link_flows: Option<f64>,
    /// Service time per call, in microseconds; 0 if it is neither given nor calibrated.
    pub service_us: f64,
}

/// Retry behaviour of clients whose requests are not served.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Maximum number of retries per request.
    pub max_retries: u32,
    /// Minimum wait before a retry, in microseconds; the maximum is twice that.
    pub min_wait_us: f64,
}

/// The whole network that a load is replayed over.
#[derive(Clone, Debug)]
pub struct Network {
    /// Sites: those of the recording in the recording's order, then those without recorded load.
    pub sites: Vec<SiteNetwork>,
    /// Parent caches, in the order of the fleet file.
    pub parent_caches: Vec<ParentCacheNode>,
    /// Rate of one flow, a transfer to a client, in bytes per second.
    pub flow_bytes_per_s: f64,
    /// Maximum rate of a fill, in flows.
    pub fill_speedup: f64,
    /// Capacity of the origin: workers, call rate, outbound link and service time.
    pub origin: OriginLimits,
    /// Retry behaviour of clients whose requests are not served.
    pub retries: RetryPolicy,
    /// Warm-up of caches that return after a loss.
    pub warm_up: WarmUp,
    /// Response latencies: defaults until they are calibrated.
    pub delays: ResponseDelays,
    /// Values that were calibrated or assumed, one line each, for the printed plan.
    pub calibration_notes: Vec<String>,
}

impl Network {
    /// Builds the network of a fleet for the sites of a recording. Response delays have their
    /// defaults, and the notes say which links take their capacity from the endpoint list.
    ///
    /// # Errors
    /// The fleet lacks a site of the recording, or neither of them gives the link capacity of a
    /// site's edge caches.
    pub fn new(fleet: &Fleet, trace: &Trace) -> Result<Network, PlanError> {
        let mut calibration_notes = Vec::new();
        let mut sites = Vec::new();
        for site in sites_in_trace_order(fleet, trace)? {
            sites.push(SiteNetwork::new(site, trace, &mut calibration_notes)?);
        }
        let parent_caches = &fleet.parent_caches;
        Ok(Network {
            sites,
            parent_caches: parent_caches.iter().map(|p| ParentCacheNode::new(p, trace)).collect(),
            flow_bytes_per_s: trace.flow_bytes_per_s,
            fill_speedup: fleet.fill_speedup,
            origin: OriginLimits {
                workers: fleet.origin.workers,
                max_calls_per_s: fleet.origin.max_calls_per_s,
                link_flows: fleet.origin.link_flows,
                service_us: fleet.origin.service_ms.unwrap_or(0.0) * 1e3,
            },
            retries: RetryPolicy {
                max_retries: fleet.clients.max_retries,
                min_wait_us: fleet.clients.min_retry_wait_ms * 1e3,
            },
            warm_up: fleet.warm_up.clone(),
            delays: ResponseDelays::default(),
            calibration_notes,
        })
    }

    /// Returns the same network with `count` edge caches at a site, at least 1. Surplus edge caches
    /// are removed from the end; additional ones are copies of the last.
    pub fn with_edge_caches(&self, site: usize, count: usize) -> Network {
        let mut network = self.clone();
        let site = &mut network.sites[site];
        while site.edge_caches.len() < count {
            let Some(last) = site.edge_caches.last().cloned() else { break };
            let name = format!("{}-{}", site.name, site.edge_caches.len() + 1);
            let hash = endpoint_hash(&format!("s-{name}"));
            site.edge_caches.push(EdgeCacheNode { hash, name, ..last });
        }
        site.edge_caches.truncate(count.max(1));
        network
    }

    /// Returns the number of edge caches over all sites.
    pub fn edge_cache_count(&self) -> usize {
        self.sites.iter().map(|site| site.edge_caches.len()).sum()
    }

    /// Returns the parent caches with their weights for placement.
    pub fn weighted_parents(&self) -> Vec<WeightedEndpoint> {
        let weighted =
            |node: &ParentCacheNode| WeightedEndpoint { hash: node.hash, weight: node.link_flows };
        self.parent_caches.iter().map(weighted).collect()
    }
}

impl SiteNetwork {
    fn new(
        site: &fleet::Site,
        trace: &Trace,
        calibration_notes: &mut Vec<String>,
    ) -> Result<SiteNetwork, PlanError> {
        let listed = listed_edge_caches(site, trace);
        let mean_weight = mean_known_weight(&listed);
        if site.link_flows.is_none() {
            if mean_weight <= 0.0 {
                return Err(PlanError::UnknownLinkCapacity { site: site.name.clone() });
            }
            calibration_notes.push(format!(
                "{}: each box's link is its listed size, {mean_weight:.1} flows on average",
                site.name
            ));
        }
        let node = |index: usize| {
            let endpoint = listed.get(index).copied();
            EdgeCacheNode::new(site, index, endpoint, mean_weight)
        };
        Ok(SiteNetwork {
            name: site.name.clone(),
            edge_caches: (0..site.edge_caches).map(node).collect(),
            link_in_flows: site.link_in_flows,
        })
    }

    /// Returns the site's edge caches with their weights for placement.
    pub fn weighted_edge_caches(&self) -> Vec<WeightedEndpoint> {
        let weighted =
            |node: &EdgeCacheNode| WeightedEndpoint { hash: node.hash, weight: node.link_flows };
        self.edge_caches.iter().map(weighted).collect()
    }
}

impl EdgeCacheNode {
    /// Creates the edge cache at position `index` of its site. `listed` is its entry in the
    /// recorded endpoint list, if there is one; without it, `mean_weight` is its link capacity
    /// unless the fleet file gives one.
    fn new(
        site: &fleet::Site,
        index: usize,
        listed: Option<&ListedEndpoint>,
        mean_weight: f64,
    ) -> EdgeCacheNode {
        let name = format!("{}-{}", site.name, index + 1);
        let uid = listed.map_or_else(|| format!("s-{name}"), |endpoint| endpoint.uid.clone());
        let listed_weight = listed.map(|endpoint| endpoint.weight);
        EdgeCacheNode {
            name,
            hash: endpoint_hash(&uid),
            link_flows: site.link_flows.or(listed_weight).unwrap_or(mean_weight),
            cache_bytes: site.cache_bytes.unwrap_or(f64::INFINITY),
            max_fills: site.max_fills.unwrap_or(usize::MAX),
            processor: site
                .cores
                .zip(site.work_ms)
                .map(|(cores, work_ms)| Processor { cores, request_us: work_ms * 1e3 }),
        }
    }
}

impl ParentCacheNode {
    fn new(parent: &fleet::ParentCache, trace: &Trace) -> ParentCacheNode {
        let is_this =
            |listed: &&ListedEndpoint| listed.zone == parent.name && listed.is_parent_cache;
        let listed = trace.listed_endpoints.iter().find(is_this);
        let uid = listed.map_or_else(|| format!("s-{}", parent.name), |found| found.uid.clone());
        ParentCacheNode {
            name: parent.name.clone(),
            hash: endpoint_hash(&uid),
            link_flows: parent.link_flows,
            cache_bytes: parent.cache_bytes.unwrap_or(f64::INFINITY),
            max_fetches: parent.max_fetches.unwrap_or(usize::MAX),
        }
    }
}

/// Returns the fleet's sites: those of the recording in the recording's order, then the others.
/// Fails if the fleet lacks a site of the recording.
fn sites_in_trace_order<'a>(
    fleet: &'a Fleet,
    trace: &Trace,
) -> Result<Vec<&'a fleet::Site>, PlanError> {
    let mut ordered = Vec::new();
    for name in &trace.sites {
        let site = fleet.sites.iter().find(|site| site.name == *name);
        ordered.push(site.ok_or_else(|| PlanError::UnknownSite { site: name.clone() })?);
    }
    ordered.extend(fleet.sites.iter().filter(|site| !trace.sites.contains(&site.name)));
    Ok(ordered)
}

/// Returns the edge caches that the recording lists for a site, sorted by unique name.
fn listed_edge_caches<'a>(site: &fleet::Site, trace: &'a Trace) -> Vec<&'a ListedEndpoint> {
    let mut listed: Vec<&ListedEndpoint> = trace
        .listed_endpoints
        .iter()
        .filter(|endpoint| endpoint.zone == site.name && !endpoint.is_parent_cache)
        .collect();
    listed.sort_by(|a, b| a.uid.cmp(&b.uid));
    listed
}

/// Returns the mean of the positive weights; 0 if no endpoint has one.
fn mean_known_weight(listed: &[&ListedEndpoint]) -> f64 {
    let weights = listed.iter().map(|endpoint| endpoint.weight);
    let known: Vec<f64> = weights.filter(|weight| *weight > 0.0).collect();
    known.iter().sum::<f64>() / known.len().max(1) as f64
}
