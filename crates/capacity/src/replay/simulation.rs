//! The state of a replay and its event loop.

use super::admission::ServiceTimes;
use super::endpoints::{Availability, EdgeCacheState, ParentCacheState, RouterState};
use super::events::{Event, EventQueue};
use super::fetch_table::FetchTable;
use super::links::LinkTable;
use super::outages::Outage;
use super::outcome::ReplayResult;
use super::request_table::RequestTable;
use super::topology::Topology;
use super::ReplayOptions;
use crate::eviction::RetentionPriority;
use crate::network::Network;
use crate::placement::{hash_order, placement_seed, WeightedEndpoint};
use crate::trace::{ChunkId, PurgeLog, Trace};
use crate::worker_pool::WorkerPool;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

/// A chunk as requested from one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RouterChunk {
    pub(super) router: u16,
    pub(super) chunk: ChunkId,
}

/// State of a replay in progress. Times are in microseconds from the start of the load.
pub(super) struct Simulation<'a> {
    pub(super) trace: &'a Trace,
    pub(super) network: &'a Network,
    pub(super) topology: Topology,
    pub(super) rng: Pcg64Mcg,
    pub(super) now_us: u64,
    pub(super) events: EventQueue,
    pub(super) requests: RequestTable,
    pub(super) links: LinkTable,
    pub(super) edge_caches: Vec<EdgeCacheState>,
    pub(super) parent_caches: Vec<ParentCacheState>,
    /// Availability of edge caches and parent caches, by endpoint number.
    pub(super) availability: Vec<Availability>,
    pub(super) routers: Vec<RouterState>,
    pub(super) origin: WorkerPool,
    pub(super) fetches: FetchTable,
    pub(super) service_times: ServiceTimes,
    pub(super) purge_log: PurgeLog,
    /// Time of the last request for a chunk at each router, in microseconds.
    pub(super) last_requested_us: HashMap<RouterChunk, u64>,
    /// Edge caches of each site with their weights, for placement.
    pub(super) weighted_edge_caches: Vec<Vec<WeightedEndpoint>>,
    /// Parent caches with their weights, for placement.
    pub(super) weighted_parents: Vec<WeightedEndpoint>,
    pub(super) outage: Option<&'a Outage>,
    pub(super) result: ReplayResult,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        trace: &'a Trace,
        network: &'a Network,
        options: &'a ReplayOptions,
    ) -> Simulation<'a> {
        let result = ReplayResult::empty(
            trace,
            network.sites.len(),
            options.counted_from_us,
            options.record_sources,
        );
        let seconds = result.seconds.len();
        let topology = Topology::new(network);
        let edge_caches = network.sites.iter().flat_map(|site| &site.edge_caches);
        let parent_caches = network.parent_caches.iter();
        let router_count = trace.router_count.max(1);
        Simulation {
            trace,
            network,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            now_us: 0,
            events: EventQueue::default(),
            requests: RequestTable::default(),
            links: LinkTable::new(network),
            edge_caches: edge_caches.map(|node| EdgeCacheState::new(node, seconds)).collect(),
            parent_caches: parent_caches.map(|node| ParentCacheState::new(node, seconds)).collect(),
            availability: vec![Availability::default(); topology.endpoint_count()],
            routers: (0..router_count).map(|_| RouterState::default()).collect(),
            origin: WorkerPool::new(network.origin.workers, network.origin.max_calls_per_s),
            fetches: FetchTable::default(),
            service_times: ServiceTimes::new(&trace.classes, network.sites.len()),
            purge_log: PurgeLog::default(),
            last_requested_us: HashMap::new(),
            weighted_edge_caches: network.sites.iter().map(|s| s.weighted_edge_caches()).collect(),
            weighted_parents: network.weighted_parents(),
            outage: options.outage.as_ref(),
            result,
            topology,
        }
    }

    /// Preloads the caches with the chunks that are requested before the counted time begins.
    pub(super) fn fill_initial_caches(&mut self) {
        let counted_from_us = self.result.counted_from_us;
        let trace = self.trace;
        let is_warm_up = |arrived_us: u64| arrived_us < counted_from_us;
        for request in trace.requests.iter().take_while(|request| is_warm_up(request.arrived_us)) {
            let chunk = trace.chunk_of(request);
            if trace.class_of(request).is_write {
                continue;
            }
            let seed = placement_seed(chunk.object, chunk.index);
            let site = usize::from(request.site);
            let position = usize::from(hash_order(&self.weighted_edge_caches[site], seed)[0]);
            let parent = usize::from(hash_order(&self.weighted_parents, seed)[0]);
            let edge_cache = self.topology.edge_cache(site, position);
            let bytes = f64::from(chunk.bytes);
            self.edge_caches[edge_cache].preload(request.chunk, bytes);
            let parent_cache = &mut self.parent_caches[parent].cache;
            if parent_cache.lookup(request.chunk, 0, RetentionPriority::Normal).is_none() {
                parent_cache.insert(request.chunk, bytes, RetentionPriority::Normal, 0);
            }
        }
    }

    /// Runs the event loop: handles all first attempts and scheduled events in order of time, until
    /// every request has ended.
    pub(super) fn run(&mut self) {
        let mut next_request = 0;
        loop {
            let arrival_us = self.trace.requests.get(next_request).map(|next| next.arrived_us);
            match (arrival_us, self.events.next_at_us()) {
                (Some(arrival_us), event_us) if event_us.is_none_or(|at| arrival_us <= at) => {
                    self.now_us = arrival_us;
                    self.purge_log.advance(&self.trace.purges, arrival_us);
                    self.open_request(next_request);
                    next_request += 1;
                }
                (_, Some(_)) => self.handle_next_event(),
                (_, None) => return,
            }
            if arrival_us.is_none() && self.requests.are_all_closed() {
                return;
            }
        }
    }

    /// Schedules an event at `at_us`, or at the current time if that has passed.
    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.events.schedule(at_us.max(self.now_us), event);
    }

    /// Returns whether the current time belongs to the counted part of the load.
    pub(super) fn is_counted(&self) -> bool {
        self.now_us >= self.result.counted_from_us
    }

    /// Returns the current second, counted from the start of the load.
    pub(super) fn second(&self) -> usize {
        (self.now_us / 1_000_000) as usize
    }

    /// Returns the oldest valid creation time of a chunk's copy, in microseconds.
    pub(super) fn valid_since_us(&self, chunk: ChunkId) -> u64 {
        let chunk = self.trace.chunk(chunk);
        let class = self.trace.class_of_chunk(chunk);
        self.purge_log.valid_since_us(self.now_us, chunk, class)
    }

    fn handle_next_event(&mut self) {
        let Some(due) = self.events.pop() else { return };
        self.now_us = due.at_us;
        match due.event {
            Event::TransferDue { link, version } => self.on_transfer_due(link, version),
            Event::FillReachedParent(request) => self.on_fill_reached_parent(request),
            Event::FetchResponded(fetch) => self.on_fetch_responded(fetch),
            Event::ResponseCompleted(request) => self.on_response_completed(request),
            Event::TimedOut(request) => self.on_timed_out(request),
            Event::AttemptDue(id) => self.on_attempt_due(id),
            Event::OutageBegins => self.on_outage_begins(),
            Event::OutageEnds => self.on_outage_ends(),
            Event::WarmUpDue { endpoint } => self.on_warm_up_due(endpoint),
        }
    }
}
