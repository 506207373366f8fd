//! Loss and return of endpoints: they return empty, and with a share of their link that grows.

use super::events::Event;
use super::links::TransferLeg;
use super::request_table::{OpenRequest, RequestId};
use super::simulation::Simulation;

/// How often the link of an endpoint that warms up gets a larger share.
const WARM_UP_INTERVAL_US: u64 = 500_000;

/// An endpoint that can be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointRef {
    /// An edge cache.
    EdgeCache {
        /// Its site.
        site: usize,
        /// Its position in the site.
        position: usize,
    },
    /// A parent cache.
    ParentCache {
        /// Its position among the parent caches.
        parent: usize,
    },
}

/// Endpoints that are lost together for a while.
#[derive(Clone, Debug)]
pub struct Outage {
    /// The endpoints.
    pub endpoints: Vec<EndpointRef>,
    /// When they are lost, in microseconds.
    pub from_us: u64,
    /// When they return, in microseconds.
    pub to_us: u64,
}

impl Simulation<'_> {
    /// Schedules the outage, if there is one.
    pub(super) fn schedule_outage(&mut self) {
        let Some(outage) = self.outage else { return };
        self.schedule(outage.from_us, Event::OutageBegins);
        self.schedule(outage.to_us, Event::OutageEnds);
    }

    pub(super) fn on_outage_begins(&mut self) {
        let endpoints = self.outage.map_or(&[][..], |outage| &outage.endpoints);
        endpoints.iter().for_each(|endpoint| self.lose(*endpoint));
    }

    pub(super) fn on_outage_ends(&mut self) {
        let endpoints = self.outage.map_or(&[][..], |outage| &outage.endpoints);
        endpoints.iter().for_each(|endpoint| self.restore(*endpoint));
    }

    /// An endpoint that warms up gets the share of its link that it now has.
    pub(super) fn on_warm_up_due(&mut self, endpoint: usize) {
        let share = self.capacity_share(endpoint);
        let link_flows = match self.topology.endpoint_ref(endpoint) {
            EndpointRef::EdgeCache { site, position } => {
                self.network.sites[site].edge_caches[position].link_flows
            }
            EndpointRef::ParentCache { parent } => self.network.parent_caches[parent].link_flows,
        };
        self.set_link_capacity(endpoint, link_flows * self.network.flow_bytes_per_s * share);
        if share < 1.0 {
            self.schedule(self.now_us + WARM_UP_INTERVAL_US, Event::WarmUpDue { endpoint });
        }
    }

    fn lose(&mut self, endpoint: EndpointRef) {
        let number = self.topology.endpoint(endpoint);
        self.availability[number].is_available = false;
        match endpoint {
            EndpointRef::EdgeCache { .. } => self.edge_caches[number].cache.clear(),
            EndpointRef::ParentCache { parent } => self.parent_caches[parent].cache.clear(),
        }
        for id in self.requests.find(|id, request| self.depends_on(id, request, endpoint)) {
            self.retry_elsewhere(id);
        }
    }

    /// Whether an open request fails if an endpoint is lost.
    fn depends_on(&self, id: RequestId, request: &OpenRequest, endpoint: EndpointRef) -> bool {
        match endpoint {
            EndpointRef::EdgeCache { .. } => {
                let is_sending = request.active_legs[TransferLeg::ToClient as usize];
                let edge_cache = self.topology.endpoint(endpoint);
                self.edge_cache_of(id) == edge_cache && (request.is_filling || is_sending)
            }
            EndpointRef::ParentCache { parent } => {
                request.is_filling && usize::from(request.parent_cache) == parent
            }
        }
    }

    fn restore(&mut self, endpoint: EndpointRef) {
        let number = self.topology.endpoint(endpoint);
        let state = &mut self.availability[number];
        state.is_available = true;
        state.returned_us = Some(self.now_us);
        self.on_warm_up_due(number);
    }
}
