//! The life cycle of a request: from a client's first attempt to its response, or until the client
//! gives up.

use super::events::Event;
use super::links::TransferLeg;
use super::outcome::{response_totals, Totals};
use super::request_table::{OpenRequest, RequestHandle, RequestId};
use super::simulation::Simulation;
use crate::trace::{Chunk, RequestClass, TraceRequest};
use rand::Rng;

/// Time that a router takes to detect that an endpoint is lost before it attempts another, in
/// microseconds.
const FAILURE_DETECTION_US: u64 = 30_000;

impl<'a> Simulation<'a> {
    /// Opens a request for a client's first attempt, counts it at its router and makes the attempt.
    pub(super) fn open_request(&mut self, trace_index: usize) {
        let request = self.trace.requests[trace_index];
        let id = self.requests.open(OpenRequest {
            trace_index: trace_index as u32,
            site: request.site,
            client_attempt_us: self.now_us,
            sent_us: self.now_us,
            ..OpenRequest::default()
        });
        let requested_weight = self.class_of(id).priority_weight;
        self.record(id, &Totals { requested_weight, first_attempts: 1.0, ..Totals::default() });
        let bytes = f64::from(self.chunk_of(id).bytes);
        let router = self.router_of(id);
        let state = &mut self.routers[router];
        state.open_requests += 1;
        state.held_bytes += bytes;
        self.result.max_open_requests = self.result.max_open_requests.max(state.open_requests);
        self.result.max_held_bytes = self.result.max_held_bytes.max(state.held_bytes);
        self.begin_client_attempt(id);
    }

    pub(super) fn trace_request(&self, id: RequestId) -> &'a TraceRequest {
        &self.trace.requests[self.requests.get(id).trace_index as usize]
    }

    pub(super) fn chunk_of(&self, id: RequestId) -> &'a Chunk {
        self.trace.chunk_of(self.trace_request(id))
    }

    pub(super) fn class_of(&self, id: RequestId) -> &'a RequestClass {
        self.trace.class_of(self.trace_request(id))
    }

    pub(super) fn class_index(&self, id: RequestId) -> usize {
        usize::from(self.chunk_of(id).class)
    }

    /// Returns the index of the router that received a request. Synthetic traces may name more
    /// routers than they declare, so the number wraps around.
    pub(super) fn router_of(&self, id: RequestId) -> usize {
        usize::from(self.trace_request(id).router) % self.routers.len()
    }

    /// Returns the endpoint number of the edge cache of a request's current attempt.
    pub(super) fn edge_cache_of(&self, id: RequestId) -> usize {
        let request = self.requests.get(id);
        self.topology.edge_cache(usize::from(request.site), usize::from(request.edge_cache))
    }

    /// Begins a first attempt or a retry of the client, and schedules the client's timeout.
    fn begin_client_attempt(&mut self, id: RequestId) {
        let timeout_us = u64::from(self.trace_request(id).timeout_us);
        self.requests.get_mut(id).client_attempt_us = self.now_us;
        let handle = self.requests.handle(id);
        self.schedule(self.now_us + timeout_us, Event::TimedOut(handle));
        self.route(id);
    }

    /// Makes the attempt that is due: a retry by the client, or the router's next attempt.
    pub(super) fn on_attempt_due(&mut self, id: RequestId) {
        if self.requests.get(id).attempts == 0 {
            self.begin_client_attempt(id);
        } else {
            self.route(id);
        }
    }

    /// Handles the completion of a transfer or fetch that the response waits for.
    pub(super) fn complete_step(&mut self, id: RequestId) {
        self.requests.get_mut(id).pending_steps -= 1;
        let request = *self.requests.get(id);
        let is_transferring = |leg: TransferLeg| request.active_legs[leg as usize];
        let has_arrived = !is_transferring(TransferLeg::FromParent)
            && !is_transferring(TransferLeg::IntoSite)
            && request.fetch.is_none();
        // The fill may end before the transfer to the client does, and its copy is stored even if
        // the client leaves before the transfer ends.
        if request.is_filling && has_arrived {
            self.complete_fill(id);
        }
        if request.pending_steps > 0 {
            return;
        }
        // The last byte has been sent. The delay of a hit is added here: the network latency to the
        // client and the processing of the request.
        let done_us = self.now_us + self.network.delays.hit_us as u64;
        self.schedule(done_us, Event::ResponseCompleted(self.requests.handle(id)));
    }

    /// Handles the arrival of the complete response at the client.
    pub(super) fn on_response_completed(&mut self, handle: RequestHandle) {
        if !self.requests.is_current(handle) {
            return;
        }
        let id = handle.id;
        if self.requests.get(id).is_at_edge_cache {
            self.learn_from_response(id);
            self.leave_edge_cache(id);
        }
        let request = *self.trace_request(id);
        let objective_us = self.trace.latency_objective_us(self.chunk_of(id));
        let totals = response_totals(&request, self.class_of(id), objective_us, self.now_us);
        self.record(id, &totals);
        if self.is_counted() {
            self.result.served_bytes += f64::from(self.chunk_of(id).bytes);
        }
        self.record_source(id);
        self.close_request(id);
    }

    /// Handles the expiry of the client's timeout.
    pub(super) fn on_timed_out(&mut self, handle: RequestHandle) {
        if !self.requests.is_current(handle) {
            return;
        }
        if self.requests.get(handle.id).is_at_edge_cache {
            self.learn_from_timeout(handle.id);
        }
        self.reject(handle.id);
    }

    /// Withdraws a failed attempt. The router makes another one after it has detected the failure,
    /// unless the client's timeout expires before.
    pub(super) fn retry_elsewhere(&mut self, id: RequestId) {
        let timeout_us = u64::from(self.trace_request(id).timeout_us);
        let times_out_us = self.requests.get(id).client_attempt_us + timeout_us;
        self.withdraw(id);
        if self.now_us + FAILURE_DETECTION_US >= times_out_us {
            return self.end_client_attempt(id);
        }
        self.schedule(times_out_us, Event::TimedOut(self.requests.handle(id)));
        self.schedule(self.now_us + FAILURE_DETECTION_US, Event::AttemptDue(id));
    }

    /// Ends the client's attempt unserved.
    pub(super) fn reject(&mut self, id: RequestId) {
        self.withdraw(id);
        self.end_client_attempt(id);
    }

    /// Withdraws a request from its links, its edge cache and any fetch. Events that were scheduled
    /// for it become stale.
    fn withdraw(&mut self, id: RequestId) {
        for leg in TransferLeg::ALL {
            self.abort_transfer(id, leg);
        }
        if self.requests.get(id).is_filling {
            self.end_fill(id);
        }
        self.leave_edge_cache(id);
        let request = self.requests.get_mut(id);
        request.fetch = None;
        request.pending_steps = 0;
        request.generation += 1;
    }

    /// Ends an unserved attempt of the client: the client retries after a random wait, or gives up
    /// if it has no retries left or its class is not retried.
    fn end_client_attempt(&mut self, id: RequestId) {
        let may_retry = self.class_of(id).clients_retry;
        let request = self.requests.get_mut(id);
        if u32::from(request.retries) >= self.network.retries.max_retries || !may_retry {
            return self.close_request(id);
        }
        request.retries += 1;
        request.attempts = 0;
        let wait_us = self.network.retries.min_wait_us * (1.0 + self.rng.random::<f64>());
        self.record(id, &Totals { retries: 1.0, ..Totals::default() });
        self.schedule(self.now_us + wait_us as u64, Event::AttemptDue(id));
    }

    fn record(&mut self, id: RequestId, totals: &Totals) {
        let class = self.class_index(id);
        self.result.record(self.trace_request(id), class, totals);
    }

    /// Records where a first attempt was served from, if the result records sources.
    fn record_source(&mut self, id: RequestId) {
        let request = self.requests.get(id);
        let is_first_attempt = request.retries == 0 && request.attempts == 1;
        if is_first_attempt {
            if let Some(source) = self.result.sources.get_mut(request.trace_index as usize) {
                *source = request.served_from;
            }
        }
    }

    fn close_request(&mut self, id: RequestId) {
        let bytes = f64::from(self.chunk_of(id).bytes);
        let router = self.router_of(id);
        let state = &mut self.routers[router];
        state.open_requests -= 1;
        state.held_bytes -= bytes;
        self.requests.close(id);
    }
}
