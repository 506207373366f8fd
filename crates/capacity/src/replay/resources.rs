//! The resources that can become saturated, and how much of each a replay used.

use super::endpoints::SecondSeries;
use super::outcome::ReplayResult;
use super::simulation::Simulation;

/// A resource that can become saturated. A string is the name of the endpoint or site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// Outbound link of an edge cache.
    EdgeCacheLink(String),
    /// Processor cores of an edge cache, which execute the work of its attempts.
    EdgeCacheCores(String),
    /// Concurrent fills of an edge cache.
    EdgeCacheFills(String),
    /// Link over which all fills from outside reach the edge caches of a site.
    SiteInboundLink(String),
    /// Outbound link of a parent cache.
    ParentCacheLink(String),
    /// Concurrent fetches of a parent cache.
    ParentCacheFetches(String),
    /// Rate of calls that the origin accepts.
    OriginCalls,
    /// Outbound link of the origin.
    OriginLink,
    /// Calls that the origin can execute at the same time.
    OriginWorkers,
}

/// Usage of a resource over a replay.
#[derive(Clone, Debug)]
pub struct ResourceUsage {
    /// Resource whose usage was measured.
    pub resource: Resource,
    /// Used share of the resource in each second; 1 is its capacity or limit.
    pub by_second: Vec<f64>,
}

impl Simulation<'_> {
    /// Ends the replay and returns its result, with the usage of every resource that has a known
    /// limit.
    pub(super) fn into_result(mut self) -> ReplayResult {
        self.links.advance_all(self.trace.duration_us);
        let mut resources = self.site_resources();
        resources.extend(self.parent_cache_resources());
        resources.extend(self.origin_resources());
        let seconds = self.result.seconds.len();
        resources.iter_mut().for_each(|usage| usage.by_second.resize(seconds, 0.0));
        self.result.resources = resources;
        self.result
    }

    fn site_resources(&self) -> Vec<ResourceUsage> {
        let mut resources = Vec::new();
        for (index, site) in self.network.sites.iter().enumerate() {
            for position in 0..site.edge_caches.len() {
                resources.extend(self.edge_cache_resources(index, position));
            }
            resources.push(self.link_usage(
                Resource::SiteInboundLink(site.name.clone()),
                self.topology.inbound_link(index),
            ));
        }
        resources
    }

    fn edge_cache_resources(&self, site: usize, position: usize) -> Vec<ResourceUsage> {
        let node = &self.network.sites[site].edge_caches[position];
        let number = self.topology.edge_cache(site, position);
        let state = &self.edge_caches[number];
        let name = || node.name.clone();
        let mut resources = vec![self.link_usage(Resource::EdgeCacheLink(name()), number)];
        if let Some(processor) = node.processor {
            let requests_per_s = processor.cores * 1e6 / processor.request_us;
            let cores = Resource::EdgeCacheCores(name());
            resources.push(self.series_usage(cores, &state.attempts, requests_per_s));
        }
        if node.max_fills != usize::MAX {
            let fills = Resource::EdgeCacheFills(name());
            resources.push(self.series_usage(fills, &state.fill_peaks, node.max_fills as f64));
        }
        resources
    }

    fn parent_cache_resources(&self) -> Vec<ResourceUsage> {
        let mut resources = Vec::new();
        for (index, node) in self.network.parent_caches.iter().enumerate() {
            let link = Resource::ParentCacheLink(node.name.clone());
            resources.push(self.link_usage(link, self.topology.parent_cache(index)));
            if node.max_fetches != usize::MAX {
                let fetches = Resource::ParentCacheFetches(node.name.clone());
                let peaks = &self.parent_caches[index].fetch_peaks;
                resources.push(self.series_usage(fetches, peaks, node.max_fetches as f64));
            }
        }
        resources
    }

    fn origin_resources(&self) -> Vec<ResourceUsage> {
        let origin = &self.network.origin;
        let calls = self.origin.calls_by_second();
        let mut resources = Vec::new();
        if let Some(max_calls_per_s) = origin.max_calls_per_s {
            resources.push(self.usage(Resource::OriginCalls, calls, max_calls_per_s));
        }
        if let Some(workers) = origin.workers.filter(|_| origin.service_us > 0.0) {
            let calls_per_s = workers as f64 * 1e6 / origin.service_us;
            resources.push(self.usage(Resource::OriginWorkers, calls, calls_per_s));
        }
        if origin.link_flows.is_some() {
            resources.push(self.link_usage(Resource::OriginLink, self.topology.origin_link()));
        }
        resources
    }

    fn link_usage(&self, resource: Resource, link: usize) -> ResourceUsage {
        let by_second = self.links.utilization(link, self.result.seconds.len());
        ResourceUsage { resource, by_second }
    }

    fn series_usage(&self, resource: Resource, used: &SecondSeries, limit: f64) -> ResourceUsage {
        self.usage(resource, used.values(), limit)
    }

    fn usage(&self, resource: Resource, used: &[f64], limit: f64) -> ResourceUsage {
        let seconds = self.result.seconds.len();
        let by_second = used.iter().take(seconds).map(|value| value / limit).collect();
        ResourceUsage { resource, by_second }
    }
}
