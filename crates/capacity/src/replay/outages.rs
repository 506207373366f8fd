//! Loss and return of endpoints. A lost endpoint returns with an empty cache and a reduced link
//! capacity that grows while it warms up.

use super::events::Event;
use super::links::TransferLeg;
use super::request_table::{OpenRequest, RequestId};
use super::simulation::Simulation;

/// Interval at which the link capacity of an endpoint that is warming up is raised, in
/// microseconds.
const WARM_UP_INTERVAL_US: u64 = 500_000;

/// An endpoint that can be lost: an edge cache or a parent cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointRef {
    /// An edge cache of a site.
    EdgeCache {
        /// Index of its site in the network.
        site: usize,
        /// Position of the edge cache in its site.
        position: usize,
    },
    /// A parent cache of the network.
    ParentCache {
        /// Index of the parent cache in the network.
        parent: usize,
    },
}

/// Endpoints that are lost at the same time and return at the same time.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Edge and parent caches that are unavailable from `from_us` to `to_us`.
    pub endpoints: Vec<EndpointRef>,
    /// Time of the loss, in microseconds from the start of the load.
    pub from_us: u64,
    /// Time of the return, in microseconds from the start of the load.
    pub to_us: u64,
}

impl Simulation<'_> {
    /// Schedules the outage of the replay's options, if there is one.
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

    /// Sets the link capacity of a returned endpoint to its current share, and schedules the next
    /// update while it is warming up.
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

    /// Returns whether the current attempt of an open request fails if an endpoint is lost.
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
