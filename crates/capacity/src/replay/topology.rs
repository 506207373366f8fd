//! The numbering of endpoints and links. Endpoints are numbered from 0: edge caches first, site by
//! site, then parent caches. The outbound link of an endpoint has the same number as the endpoint.
//! The inbound links of the sites follow, then the origin's link.

use super::outages::EndpointRef;
use crate::network::Network;

/// The first numbers of each kind of endpoint and link.
#[derive(Clone, Debug)]
pub(super) struct Topology {
    /// Number of the first edge cache of each site.
    first_edge_caches: Vec<usize>,
    edge_cache_count: usize,
    endpoint_count: usize,
    origin_link: usize,
}

impl Topology {
    pub(super) fn new(network: &Network) -> Topology {
        let mut first_edge_caches = Vec::new();
        let mut edge_cache_count = 0;
        for site in &network.sites {
            first_edge_caches.push(edge_cache_count);
            edge_cache_count += site.edge_caches.len();
        }
        let endpoint_count = edge_cache_count + network.parent_caches.len();
        let origin_link = endpoint_count + network.sites.len();
        Topology { first_edge_caches, edge_cache_count, endpoint_count, origin_link }
    }

    /// Returns the number of edge caches and parent caches.
    pub(super) fn endpoint_count(&self) -> usize {
        self.endpoint_count
    }

    /// Returns the endpoint number of an edge cache, by its site and its position there.
    pub(super) fn edge_cache(&self, site: usize, position: usize) -> usize {
        self.first_edge_caches[site] + position
    }

    /// Returns the endpoint number of a parent cache.
    pub(super) fn parent_cache(&self, parent: usize) -> usize {
        self.edge_cache_count + parent
    }

    /// Returns the number of a site's inbound link.
    pub(super) fn inbound_link(&self, site: usize) -> usize {
        self.endpoint_count + site
    }

    /// Returns the number of the origin's outbound link.
    pub(super) fn origin_link(&self) -> usize {
        self.origin_link
    }

    /// Returns the number of an endpoint, which is also that of its outbound link.
    pub(super) fn endpoint(&self, endpoint: EndpointRef) -> usize {
        match endpoint {
            EndpointRef::EdgeCache { site, position } => self.edge_cache(site, position),
            EndpointRef::ParentCache { parent } => self.parent_cache(parent),
        }
    }

    /// Returns the endpoint that has the number `endpoint`.
    pub(super) fn endpoint_ref(&self, endpoint: usize) -> EndpointRef {
        if endpoint >= self.edge_cache_count {
            return EndpointRef::ParentCache { parent: endpoint - self.edge_cache_count };
        }
        let site = self.first_edge_caches.partition_point(|first| *first <= endpoint) - 1;
        EndpointRef::EdgeCache { site, position: endpoint - self.first_edge_caches[site] }
    }
}
