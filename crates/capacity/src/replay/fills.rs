//! Fills of edge caches from parent caches, and fetches of parent caches from the origin. A request
//! for a chunk that is being fetched joins the fetch. Writes are executed here as well, since they
//! are calls of the origin.

use super::events::Event;
use super::fetch_table::{FetchId, FetchState, ParentChunk};
use super::links::TransferLeg;
use super::outcome::ServedFrom;
use super::request_table::{RequestHandle, RequestId};
use super::simulation::Simulation;
use crate::eviction::RetentionPriority;

/// Whether a fetch ended with the complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchOutcome {
    Completed,
    Failed,
}

impl Simulation<'_> {
    /// Counts a fill that begins at the request's edge cache.
    pub(super) fn begin_fill(&mut self, id: RequestId) {
        let second = self.second();
        let edge_cache_index = self.edge_cache_of(id);
        let edge_cache = &mut self.edge_caches[edge_cache_index];
        edge_cache.active_fills += 1;
        edge_cache.fill_peaks.raise_to(second, edge_cache.active_fills);
    }

    /// Ends a fill that has received the complete chunk, and stores the chunk in the edge cache.
    pub(super) fn complete_fill(&mut self, id: RequestId) {
        self.end_fill(id);
        let edge_cache = self.edge_cache_of(id);
        let request = self.requests.get(id);
        let chunk = self.trace_request(id).chunk;
        let bytes = f64::from(self.chunk_of(id).bytes);
        self.edge_caches[edge_cache].cache.insert(
            chunk,
            bytes,
            request.retention,
            request.copy_created_us,
        );
    }

    /// Ends a fill, without storing the chunk.
    pub(super) fn end_fill(&mut self, id: RequestId) {
        let edge_cache = self.edge_cache_of(id);
        self.edge_caches[edge_cache].active_fills -= 1;
        self.requests.get_mut(id).is_filling = false;
    }

    /// Handles the arrival of a fill at its parent cache: starts the transfers if the parent cache
    /// has a valid copy, otherwise has the chunk fetched from the origin. If the parent cache is
    /// lost or cannot fetch, the request is attempted elsewhere.
    pub(super) fn on_fill_reached_parent(&mut self, handle: RequestHandle) {
        if !self.requests.is_current(handle) {
            return;
        }
        let id = handle.id;
        let chunk = self.trace_request(id).chunk;
        let parent = usize::from(self.requests.get(id).parent_cache);
        if !self.availability[self.topology.parent_cache(parent)].is_available {
            return self.retry_elsewhere(id);
        }
        let valid_since_us = self.valid_since_us(chunk);
        let parent_cache = &mut self.parent_caches[parent].cache;
        let copy = parent_cache.lookup(chunk, valid_since_us, RetentionPriority::Normal);
        if let Some(copy_created_us) = copy {
            let request = self.requests.get_mut(id);
            request.copy_created_us = copy_created_us;
            request.pending_steps = 0;
            return self.start_fill_transfers(id);
        }
        self.requests.get_mut(id).served_from = ServedFrom::Origin;
        let target = ParentChunk { parent: parent as u16, chunk };
        match self.join_or_begin_fetch(target, valid_since_us) {
            Some(fetch) => self.wait_for_fetch(id, fetch),
            None => self.retry_elsewhere(id),
        }
    }

    /// Returns a running fetch of the chunk or begins one. Returns `None` if the parent cache is at
    /// its limit of fetches or the origin rejects the call.
    fn join_or_begin_fetch(&mut self, target: ParentChunk, valid_since_us: u64) -> Option<FetchId> {
        let joinable = self.fetches.joinable(target, valid_since_us);
        if joinable.is_some() {
            return joinable;
        }
        let parent = usize::from(target.parent);
        let max_fetches = self.network.parent_caches[parent].max_fetches;
        if self.parent_caches[parent].active_fetches >= max_fetches {
            return None;
        }
        let service_us = self.network.origin.service_us;
        let done_us = self.origin.submit(self.now_us, service_us as u64)?;
        self.result.origin_calls += 1.0;
        let second = self.second();
        let parent_cache = &mut self.parent_caches[parent];
        parent_cache.active_fetches += 1;
        parent_cache.fetch_peaks.raise_to(second, parent_cache.active_fetches);
        let fetch = self.fetches.begin(target, valid_since_us);
        let travel_us = (self.network.delays.origin_us - service_us).max(0.0) as u64;
        self.schedule(done_us + travel_us, Event::FetchResponded(fetch));
        Some(fetch)
    }

    fn wait_for_fetch(&mut self, id: RequestId, fetch: FetchId) {
        self.requests.get_mut(id).fetch = Some(fetch);
        let handle = self.requests.handle(id);
        let joined = self.fetches.get_mut(fetch);
        joined.waiting.push(handle);
        if joined.state == FetchState::Receiving {
            self.pass_on_fetch(id);
        }
    }

    /// Starts to pass on a chunk that is still being fetched, as its bytes arrive.
    fn pass_on_fetch(&mut self, id: RequestId) {
        // The end of the fetch is one of the steps that the response waits for.
        self.requests.get_mut(id).pending_steps = 1;
        self.start_fill_transfers(id);
    }

    /// Starts the transfers of a fill when its first byte is available: it is passed on to the edge
    /// cache and to the client as it arrives.
    fn start_fill_transfers(&mut self, id: RequestId) {
        self.start_transfer(id, TransferLeg::FromParent);
        self.start_transfer(id, TransferLeg::IntoSite);
        self.start_transfer(id, TransferLeg::ToClient);
        if self.is_counted() {
            self.result.filled_bytes += f64::from(self.chunk_of(id).bytes);
        }
    }

    /// Handles the arrival of a fetch's first byte at the parent cache. The fetch fails if the
    /// parent cache is lost.
    pub(super) fn on_fetch_responded(&mut self, fetch: FetchId) {
        let parent = usize::from(self.fetches.get(fetch).target.parent);
        if !self.availability[self.topology.parent_cache(parent)].is_available {
            return self.end_fetch(fetch, FetchOutcome::Failed);
        }
        let now_us = self.now_us;
        let receiving = self.fetches.get_mut(fetch);
        receiving.state = FetchState::Receiving;
        receiving.copy_created_us = now_us;
        let waiting = receiving.waiting.clone();
        let bytes = f64::from(self.trace.chunk(receiving.target.chunk).bytes);
        self.start_origin_transfer(u64::from(fetch.0), bytes);
        for handle in waiting {
            if self.is_waiting(handle, fetch) {
                self.pass_on_fetch(handle.id);
            }
        }
    }

    /// Handles the arrival of a fetch's last byte at the parent cache.
    pub(super) fn on_origin_transfer_completed(&mut self, transfer: u64) {
        self.end_fetch(FetchId(transfer as u32), FetchOutcome::Completed);
    }

    fn is_waiting(&self, handle: RequestHandle, fetch: FetchId) -> bool {
        self.requests.is_current(handle) && self.requests.get(handle.id).fetch == Some(fetch)
    }

    fn end_fetch(&mut self, fetch: FetchId, outcome: FetchOutcome) {
        // A fetch ends only once, although both its last byte and the loss of its parent cache can
        // end it.
        if self.fetches.get(fetch).state == FetchState::Ended {
            return;
        }
        let waiting = self.fetches.end(fetch);
        let ended = self.fetches.get(fetch);
        let (chunk, copy_created_us) = (ended.target.chunk, ended.copy_created_us);
        let parent = usize::from(ended.target.parent);
        let is_available = self.availability[self.topology.parent_cache(parent)].is_available;
        let state = &mut self.parent_caches[parent];
        state.active_fetches = state.active_fetches.saturating_sub(1);
        if outcome == FetchOutcome::Completed && is_available {
            let bytes = f64::from(self.trace.chunk(chunk).bytes);
            state.cache.insert(chunk, bytes, RetentionPriority::Normal, copy_created_us);
        }
        for handle in waiting {
            if !self.is_waiting(handle, fetch) {
                continue;
            }
            let request = self.requests.get_mut(handle.id);
            request.fetch = None;
            request.copy_created_us = copy_created_us;
            match outcome {
                FetchOutcome::Completed => self.complete_step(handle.id),
                FetchOutcome::Failed => self.retry_elsewhere(handle.id),
            }
        }
    }

    /// Has the origin execute a write, which bypasses all caches. The client's attempt fails if the
    /// origin rejects the call.
    pub(super) fn execute_write(&mut self, id: RequestId) {
        let service_us = self.network.origin.service_us;
        let Some(done_us) = self.origin.submit(self.now_us, service_us as u64) else {
            return self.reject(id);
        };
        self.result.origin_calls += 1.0;
        self.requests.get_mut(id).served_from = ServedFrom::Write;
        let travel_us = (self.network.delays.write_us - service_us).max(0.0) as u64;
        self.schedule(done_us + travel_us, Event::ResponseCompleted(self.requests.handle(id)));
    }
}
