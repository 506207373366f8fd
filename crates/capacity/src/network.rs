//! The network that a load is replayed over: what the fleet file gives, completed from the recorded
//! endpoint list and by calibration.

use crate::error::PlanError;
use crate::fleet::{self, Fleet, WarmUp};
use crate::placement::{endpoint_hash, WeightedEndpoint};
use crate::trace::{ListedEndpoint, Trace};

/// Latencies that a recording shows and no operator writes down, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseDelays {
    /// From a request to the first byte of a hit in an edge cache.
    pub hit_us: f64,
    /// What a fill from a parent cache takes more than a hit, until its first byte.
    pub parent_us: f64,
    /// What a fetch from the origin takes more than that: the way to it and its work.
    pub origin_us: f64,
    /// A write, from the request to its response.
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

/// An edge cache's processor.
#[derive(Clone, Copy, Debug)]
pub struct Processor {
    /// Its cores.
    pub cores: f64,
    /// The work of one request, in microseconds.
    pub request_us: f64,
}

/// An edge cache.
#[derive(Clone, Debug)]
pub struct EdgeCacheNode {
    /// Its name.
    pub name: String,
    /// Its identity in hashed orders.
    pub hash: u64,
    /// Its outbound link, in flows.
    pub link_flows: f64,
    /// Its capacity, in bytes; infinite where it is neither given nor calibrated.
    pub cache_bytes: f64,
    /// How many fills it runs at most; `usize::MAX` without a limit.
    pub max_fills: usize,
    /// Its processor, if it is judged.
    pub processor: Option<Processor>,
}

/// A site.
#[derive(Clone, Debug)]
pub struct SiteNetwork {
    /// Its name.
    pub name: String,
    /// Its edge caches.
    pub edge_caches: Vec<EdgeCacheNode>,
    /// The inbound link that its fills share, in flows.
    pub link_in_flows: f64,
}

/// A parent cache.
#[derive(Clone, Debug)]
pub struct ParentCacheNode {
    /// Its name.
    pub name: String,
    /// Its identity in hashed orders.
    pub hash: u64,
    /// Its outbound link, in flows.
    pub link_flows: f64,
    /// Its capacity, in bytes.
    pub cache_bytes: f64,
    /// How many fetches it runs at most; `usize::MAX` without a limit.
    pub max_fetches: usize,
}

/// The origin's limits, where they are known.
#[derive(Clone, Debug)]
pub struct OriginLimits {
    /// How many calls it works on at a time.
    pub workers: Option<usize>,
    /// Calls per second above which it rejects.
    pub max_calls_per_s: Option<f64>,
    /// Its outbound link, in flows.
    pub link_flows: Option<f64>,
    /// Its service time for one call, in microseconds; 0 if unknown.
    pub service_us: f64,
}

/// How clients retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// How many times a client retries.
    pub max_retries: u32,
    /// The shortest wait before a retry, in microseconds; the longest is twice that.
    pub min_wait_us: f64,
}

/// The whole network.
#[derive(Clone, Debug)]
pub struct Network {
    /// The sites: those of the recording in its order, then those without load.
    pub sites: Vec<SiteNetwork>,
    /// The parent caches.
    pub parent_caches: Vec<ParentCacheNode>,
    /// The rate of a flow, in bytes per second.
    pub flow_bytes_per_s: f64,
    /// The rate of a fill, in flows.
    pub fill_speedup: f64,
    /// The origin.
    pub origin: OriginLimits,
    /// Clients' retries.
    pub retries: RetryPolicy,
    /// How caches warm up after a loss.
    pub warm_up: WarmUp,
    /// Latencies.
    pub delays: ResponseDelays,
    /// What was calibrated or assumed, as lines for the plan.
    pub calibration_notes: Vec<String>,
}

impl Network {
    /// The network of a fleet, for a recording's sites.
    ///
    /// # Errors
    /// The fleet lacks a site of the recording, or a link's capacity is known from neither.
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

    /// The same network with `count` edge caches at a site: the last ones are removed, or ones like
    /// the last are added.
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

    /// How many edge caches there are in all.
    pub fn edge_cache_count(&self) -> usize {
        self.sites.iter().map(|site| site.edge_caches.len()).sum()
    }

    /// The parent caches, for placement.
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

    /// The edge caches, for placement.
    pub fn weighted_edge_caches(&self) -> Vec<WeightedEndpoint> {
        let weighted =
            |node: &EdgeCacheNode| WeightedEndpoint { hash: node.hash, weight: node.link_flows };
        self.edge_caches.iter().map(weighted).collect()
    }
}

impl EdgeCacheNode {
    /// The edge cache at a position in its site, as `listed` if the recording lists it.
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

/// The fleet's sites: those of the recording in its order, then the others.
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

/// The edge caches that the recording lists for a site, by unique name.
fn listed_edge_caches<'a>(site: &fleet::Site, trace: &'a Trace) -> Vec<&'a ListedEndpoint> {
    let mut listed: Vec<&ListedEndpoint> = trace
        .listed_endpoints
        .iter()
        .filter(|endpoint| endpoint.zone == site.name && !endpoint.is_parent_cache)
        .collect();
    listed.sort_by(|a, b| a.uid.cmp(&b.uid));
    listed
}

/// The mean weight of the endpoints that have one; 0 if none has.
fn mean_known_weight(listed: &[&ListedEndpoint]) -> f64 {
    let weights = listed.iter().map(|endpoint| endpoint.weight);
    let known: Vec<f64> = weights.filter(|weight| *weight > 0.0).collect();
    known.iter().sum::<f64>() / known.len().max(1) as f64
}
