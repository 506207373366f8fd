//! Which endpoints a request is sent to: its edge cache, and for a miss the parent cache.

use super::events::Event;
use super::links::TransferLeg;
use super::outcome::ServedFrom;
use super::request_table::RequestId;
use super::simulation::{RouterChunk, Simulation};
use crate::eviction::RetentionPriority;
use crate::placement::{hash_order, placement_seed};
use rand::Rng;

/// Attempts of a router for one attempt of the client.
const MAX_ATTEMPTS: u8 = 6;
/// An endpoint that is not the first choice must have this much spare capacity (bounded-load
/// hashing).
const OVERFLOW_SPARE_CAPACITY: f64 = 0.8;
/// A chunk that a router was asked for within this time is retained at the higher priority.
const RECENT_REQUEST_US: u64 = 30_000_000;

/// An edge cache that was chosen for a request.
#[derive(Clone, Copy, Debug)]
struct EdgeCacheChoice {
    /// Its position in the site.
    position: usize,
    /// Its rank in the chunk's hashed order of the available edge caches.
    rank: usize,
}

impl Simulation<'_> {
    /// Makes an attempt: chooses an edge cache and sends the request there.
    pub(super) fn route(&mut self, id: RequestId) {
        let request = self.requests.get_mut(id);
        request.attempts += 1;
        if request.attempts > MAX_ATTEMPTS {
            return self.reject(id);
        }
        if self.class_of(id).is_write {
            return self.execute_write(id);
        }
        match self.choose_edge_cache(id) {
            Some(choice) => self.send_to_edge_cache(id, choice),
            None => self.reject(id),
        }
    }

    /// The first edge cache in the chunk's order that can take the request. A replicated chunk
    /// begins at a random one of its replicas.
    fn choose_edge_cache(&mut self, id: RequestId) -> Option<EdgeCacheChoice> {
        let site = usize::from(self.requests.get(id).site);
        let order = self.available_edge_caches(id);
        let replicas = self.replicas(id, order.len());
        let first_rank = if replicas > 1 { self.rng.random_range(0..replicas) } else { 0 };
        let work_s = self.service_times.get(site, self.class_index(id));
        for step in 0..order.len() {
            let rank = (first_rank + step) % order.len();
            let position = usize::from(order[rank]);
            let min_spare = if step == 0 { 0.0 } else { OVERFLOW_SPARE_CAPACITY };
            let link_flows = self.network.sites[site].edge_caches[position].link_flows;
            let edge_cache = self.topology.edge_cache(site, position);
            if self.has_spare_capacity(id, position, min_spare)
                && self.admit_work(edge_cache, link_flows, work_s)
            {
                return Some(EdgeCacheChoice { position, rank });
            }
        }
        None
    }

    /// Whether an edge cache of the request's site has that much spare capacity, and can run a
    /// fill.
    fn has_spare_capacity(&self, id: RequestId, position: usize, min_spare: f64) -> bool {
        let site = usize::from(self.requests.get(id).site);
        let node = &self.network.sites[site].edge_caches[position];
        let edge_cache = self.topology.edge_cache(site, position);
        let spare = self.spare_capacity(site, self.class_index(id), edge_cache, node.link_flows);
        let can_fill = self.edge_caches[edge_cache].active_fills < node.max_fills;
        spare >= min_spare && can_fill
    }

    /// The available edge caches of the request's site in the chunk's order, by position.
    fn available_edge_caches(&self, id: RequestId) -> Vec<u16> {
        let site = usize::from(self.requests.get(id).site);
        let is_available = |position: &u16| {
            let edge_cache = self.topology.edge_cache(site, usize::from(*position));
            self.availability[edge_cache].is_available
        };
        let order = hash_order(&self.weighted_edge_caches[site], self.placement_seed_of(id));
        order.into_iter().filter(is_available).collect()
    }

    /// How many edge caches the chunk is spread over. Only a client's attempt counts as a request,
    /// and only it goes to any replica.
    fn replicas(&mut self, id: RequestId, endpoint_count: usize) -> usize {
        if self.requests.get(id).attempts != 1 {
            return 1;
        }
        let chunk = self.trace_request(id).chunk;
        let router = self.router_of(id);
        let replication = &mut self.routers[router].replication;
        replication.record_request(self.now_us, chunk, endpoint_count)
    }

    /// Sends a request to an edge cache, which serves it from its cache or has it filled.
    fn send_to_edge_cache(&mut self, id: RequestId, choice: EdgeCacheChoice) {
        let retention = self.retention(id, choice);
        let request = self.requests.get_mut(id);
        request.edge_cache = choice.position as u16;
        request.retention = retention;
        request.is_filling = false;
        let chunk = self.trace_request(id).chunk;
        let valid_since_us = self.valid_since_us(chunk);
        let counted = f64::from(u8::from(self.is_counted()));
        let second = self.second();
        self.result.edge_attempts += counted;
        self.join_edge_cache(id);
        let edge_cache_number = self.edge_cache_of(id);
        let edge_cache = &mut self.edge_caches[edge_cache_number];
        edge_cache.attempts.increment(second);
        match edge_cache.cache.lookup(chunk, valid_since_us, retention) {
            Some(copy_created_us) => {
                self.result.edge_hits += counted;
                let request = self.requests.get_mut(id);
                request.copy_created_us = copy_created_us;
                request.served_from = ServedFrom::EdgeCache;
                request.pending_steps = 0;
                self.start_transfer(id, TransferLeg::ToClient);
            }
            None => self.fill_from_parent(id),
        }
    }

    /// The priority of the copy that a request leaves at an edge cache.
    fn retention(&mut self, id: RequestId, choice: EdgeCacheChoice) -> RetentionPriority {
        let request = self.trace_request(id);
        let key = RouterChunk { router: request.router, chunk: request.chunk };
        let last_us = self.last_requested_us.insert(key, self.now_us);
        let is_recent = last_us.is_some_and(|last| self.now_us < last + RECENT_REQUEST_US);
        if choice.rank == 0 && is_recent {
            RetentionPriority::High
        } else {
            RetentionPriority::Normal
        }
    }

    /// Has a miss filled from the first parent cache in the chunk's order that takes the work.
    fn fill_from_parent(&mut self, id: RequestId) {
        let Some(parent) = self.choose_parent(id) else { return self.reject(id) };
        let request = self.requests.get_mut(id);
        request.parent_cache = parent as u16;
        request.pending_steps = 0;
        request.is_filling = true;
        request.fetch = None;
        request.served_from = ServedFrom::ParentCache;
        self.begin_fill(id);
        let reached_us = self.now_us + (self.network.delays.parent_us / 2.0) as u64;
        self.schedule(reached_us, Event::FillReachedParent(self.requests.handle(id)));
    }

    fn choose_parent(&mut self, id: RequestId) -> Option<usize> {
        let site = usize::from(self.requests.get(id).site);
        let work_s = self.service_times.get(site, self.class_index(id));
        let order = hash_order(&self.weighted_parents, self.placement_seed_of(id));
        order.into_iter().map(usize::from).find(|parent| {
            let endpoint = self.topology.parent_cache(*parent);
            let link_flows = self.network.parent_caches[*parent].link_flows;
            self.availability[endpoint].is_available
                && self.admit_work(endpoint, link_flows, work_s)
        })
    }

    fn placement_seed_of(&self, id: RequestId) -> u64 {
        let chunk = self.chunk_of(id);
        placement_seed(chunk.object, chunk.index)
    }
}
