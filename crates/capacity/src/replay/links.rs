//! The links of a replay with the transfers on them, and the scheduling of each link's next
//! completed transfer.

use super::events::Event;
use super::request_table::{RequestHandle, RequestId};
use super::simulation::Simulation;
use super::topology::Topology;
use crate::network::Network;
use crate::shared_link::SharedLink;

/// Capacity of the origin's link if it is not given, in flows: more than any load uses.
const UNLIMITED_LINK_FLOWS: f64 = 1e9;
/// Number of bits of a transfer's identifier that hold the leg.
const LEG_BITS: u32 = 2;
/// Number of bits of a transfer's identifier that hold the request's generation.
const GENERATION_BITS: u32 = 30;

/// A link that a response crosses. The transfers of a fill cross all three at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransferLeg {
    /// The edge cache's outbound link, to the client.
    ToClient,
    /// The parent cache's outbound link, used by fills.
    FromParent,
    /// The site's inbound link, used by fills.
    IntoSite,
}

impl TransferLeg {
    pub(super) const ALL: [TransferLeg; 3] =
        [TransferLeg::ToClient, TransferLeg::FromParent, TransferLeg::IntoSite];

    fn from_bits(bits: u64) -> TransferLeg {
        match bits {
            0 => TransferLeg::ToClient,
            1 => TransferLeg::FromParent,
            _ => TransferLeg::IntoSite,
        }
    }
}

/// Returns the identifier of a transfer on its link. It is not reused, since the request's
/// generation changes when the request withdraws or ends.
fn transfer_id(request: RequestHandle, leg: TransferLeg) -> u64 {
    let generation = u64::from(request.generation) & ((1 << GENERATION_BITS) - 1);
    u64::from(request.id.0) << (GENERATION_BITS + LEG_BITS) | generation << LEG_BITS | leg as u64
}

/// All links by their number in the topology, with the version of each link's schedule.
#[derive(Debug)]
pub(super) struct LinkTable {
    links: Vec<SharedLink>,
    versions: Vec<u32>,
}

impl LinkTable {
    /// Creates the links of a network, in the order of the topology's numbers.
    pub(super) fn new(network: &Network) -> LinkTable {
        let flow = network.flow_bytes_per_s;
        let fill_rate = flow * network.fill_speedup;
        let edge_caches = network.sites.iter().flat_map(|site| &site.edge_caches);
        let mut links: Vec<SharedLink> =
            edge_caches.map(|node| SharedLink::new(node.link_flows * flow, flow)).collect();
        let parents = network.parent_caches.iter().map(|parent| parent.link_flows);
        let inbound = network.sites.iter().map(|site| site.link_in_flows);
        let origin = network.origin.link_flows.unwrap_or(UNLIMITED_LINK_FLOWS);
        let fill_links = parents.chain(inbound).chain([origin]);
        links.extend(fill_links.map(|flows| SharedLink::new(flows * flow, fill_rate)));
        LinkTable { versions: vec![0; links.len()], links }
    }

    /// Accounts for the bytes that the transfers on all links have moved until `now_us`.
    pub(super) fn advance_all(&mut self, now_us: u64) {
        self.links.iter_mut().for_each(|link| link.advance(now_us));
    }

    /// Returns the used share of a link's capacity in each second.
    pub(super) fn utilization(&self, link: usize, seconds: usize) -> Vec<f64> {
        (0..seconds).map(|second| self.links[link].utilization(second)).collect()
    }
}

impl Simulation<'_> {
    /// Starts the transfer of a request's chunk over the link of one leg.
    pub(super) fn start_transfer(&mut self, id: RequestId, leg: TransferLeg) {
        let bytes = f64::from(self.chunk_of(id).bytes);
        let link = self.leg_link(id, leg);
        let transfer = transfer_id(self.requests.handle(id), leg);
        let request = self.requests.get_mut(id);
        request.active_legs[leg as usize] = true;
        request.pending_steps += 1;
        self.links.links[link].start(self.now_us, transfer, bytes);
        self.reschedule_link(link);
    }

    /// Starts the transfer of a fetch over the origin's link.
    pub(super) fn start_origin_transfer(&mut self, transfer: u64, bytes: f64) {
        let link = self.topology.origin_link();
        self.links.links[link].start(self.now_us, transfer, bytes);
        self.reschedule_link(link);
    }

    /// Aborts the transfer of a request on one leg, if it is active.
    pub(super) fn abort_transfer(&mut self, id: RequestId, leg: TransferLeg) {
        if !self.requests.get(id).active_legs[leg as usize] {
            return;
        }
        let link = self.leg_link(id, leg);
        let transfer = transfer_id(self.requests.handle(id), leg);
        self.requests.get_mut(id).active_legs[leg as usize] = false;
        self.links.links[link].abort(self.now_us, transfer);
        self.reschedule_link(link);
    }

    /// Changes a link's capacity from the current time on.
    pub(super) fn set_link_capacity(&mut self, link: usize, bytes_per_s: f64) {
        self.links.links[link].set_capacity(self.now_us, bytes_per_s);
        self.reschedule_link(link);
    }

    /// Handles the completion of transfers on a link. Does nothing if `version` is stale, as the
    /// link has been rescheduled since.
    pub(super) fn on_transfer_due(&mut self, link: usize, version: u32) {
        if self.links.versions[link] != version {
            return;
        }
        while let Some(transfer) = self.links.links[link].take_completed(self.now_us) {
            if link == self.topology.origin_link() {
                self.on_origin_transfer_completed(transfer);
            } else {
                let id = RequestId((transfer >> (GENERATION_BITS + LEG_BITS)) as u32);
                let leg = TransferLeg::from_bits(transfer & ((1 << LEG_BITS) - 1));
                self.requests.get_mut(id).active_legs[leg as usize] = false;
                self.complete_step(id);
            }
        }
        self.reschedule_link(link);
    }

    /// Schedules the completion of a link's next transfer. An event that was scheduled for the link
    /// before becomes stale.
    fn reschedule_link(&mut self, link: usize) {
        self.links.versions[link] = self.links.versions[link].wrapping_add(1);
        let version = self.links.versions[link];
        if let Some(at_us) = self.links.links[link].next_completion_us() {
            self.schedule(at_us, Event::TransferDue { link, version });
        }
    }

    fn leg_link(&self, id: RequestId, leg: TransferLeg) -> usize {
        let request = self.requests.get(id);
        let topology: &Topology = &self.topology;
        match leg {
            TransferLeg::ToClient => self.edge_cache_of(id),
            TransferLeg::FromParent => topology.parent_cache(usize::from(request.parent_cache)),
            TransferLeg::IntoSite => topology.inbound_link(usize::from(request.site)),
        }
    }
}
