//! Choice of the endpoints that a request is sent to: its edge cache and, for a miss, the parent
//! cache that fills it.

use super::events::Event;
use super::links::TransferLeg;
use super::outcome::ServedFrom;
use super::request_table::RequestId;
use super::simulation::{RouterChunk, Simulation};
use crate::eviction::RetentionPriority;
use crate::placement::{hash_order, placement_seed};
use rand::Rng;

/// Maximum number of attempts by a router for one attempt of the client.
const MAX_ATTEMPTS: u8 = 6;
/// Spare capacity required of an edge cache that is not the first choice (bounded-load hashing).
const OVERFLOW_SPARE_CAPACITY: f64 = 0.8;
/// Time after a request during which another request for the same chunk at the same router raises
/// its retention priority, in microseconds.
const RECENT_REQUEST_US: u64 = 30_000_000;

/// An edge cache chosen for a request.
#[derive(Clone, Copy, Debug)]
struct EdgeCacheChoice {
    /// Position of the edge cache in its site.
    position: usize,
    /// Rank of the edge cache among the available ones in the chunk's hash order, from 0.
    rank: usize,
}

impl Simulation<'_> {
    /// Makes an attempt of the router: sends a read to an edge cache, and a write to the origin.
    /// Rejects the request if no edge cache admits it or the attempts are used up.
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

    /// Returns the first edge cache in the chunk's hash order that admits the request, or `None` if
    /// none does. The search for a replicated chunk begins at one of its replicas chosen at random.
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

    /// Returns whether an edge cache of the request's site has at least `min_spare` spare capacity
    /// and can run another fill.
    fn has_spare_capacity(&self, id: RequestId, position: usize, min_spare: f64) -> bool {
        let site = usize::from(self.requests.get(id).site);
        let node = &self.network.sites[site].edge_caches[position];
        let edge_cache = self.topology.edge_cache(site, position);
        let spare = self.spare_capacity(site, self.class_index(id), edge_cache, node.link_flows);
        let can_fill = self.edge_caches[edge_cache].active_fills < node.max_fills;
        spare >= min_spare && can_fill
    }

    /// Returns the positions of the available edge caches of the request's site, in the chunk's
    /// hash order.
    fn available_edge_caches(&self, id: RequestId) -> Vec<u16> {
        let site = usize::from(self.requests.get(id).site);
        let is_available = |position: &u16| {
            let edge_cache = self.topology.edge_cache(site, usize::from(*position));
            self.availability[edge_cache].is_available
        };
        let order = hash_order(&self.weighted_edge_caches[site], self.placement_seed_of(id));
        order.into_iter().filter(is_available).collect()
    }

    /// Returns the number of edge caches that the chunk is replicated on. Only the first attempt
    /// for each attempt of the client counts as a request and is spread over the replicas; later
    /// ones start at the first choice.
    fn replicas(&mut self, id: RequestId, endpoint_count: usize) -> usize {
        if self.requests.get(id).attempts != 1 {
            return 1;
        }
        let chunk = self.trace_request(id).chunk;
        let router = self.router_of(id);
        let replication = &mut self.routers[router].replication;
        replication.record_request(self.now_us, chunk, endpoint_count)
    }

    /// Sends a request to an edge cache, which serves it as a hit or has it filled.
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
        let edge_cache_index = self.edge_cache_of(id);
        let edge_cache = &mut self.edge_caches[edge_cache_index];
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

    /// Returns the retention priority of the copy that a request leaves at an edge cache: high if
    /// the chunk was requested recently and the edge cache is its first choice.
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

    /// Starts the fill of a miss from the first parent cache in the chunk's hash order that admits
    /// the work, or rejects the request if none does.
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
