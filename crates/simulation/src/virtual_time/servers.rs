//! The connection between the routers and the model of the servers: attempts, answers and events of
//! the endpoint feed.

use super::{server_address, server_at, Simulation, TimedEvent, MESSAGE_DELAY, START};
use crate::endpoint_feed::PURGE_FEED_DELAY;
use crate::endpoint_feed::{endpoint_event, endpoint_feed_delay, endpoint_line, purge_event};
use crate::model::{Attempt, AttemptResult, ListedState, ModelEvent, Server, ServerState};
use crate::objects::{copy_digest, ChunkKey};
use crate::Time;
use hollymux_decision::time::whole_micros;
use hollymux_router::{AttemptFailure, AttemptId, AttemptRequest, AttemptResponse, Input};

/// Bytes that are appended to a body at a time.
const BODY_BLOCK: [u8; 4_096] = [0; 4_096];

/// A router's attempt that a server is processing.
pub(super) struct AttemptInFlight {
    pub router: usize,
    pub attempt: AttemptId,
    pub server: usize,
    /// Whether the request is non-idempotent, so that its answer carries no version tag.
    non_idempotent: bool,
}

impl Simulation<'_> {
    /// Delivers an attempt to a server. It fails if the server is down and gets no answer if the
    /// server is unreachable.
    pub(super) fn on_attempt_arrives(&mut self, router: usize, request: &AttemptRequest) {
        let server = server_at(request.target.addr);
        match self.model.servers[server].state {
            ServerState::Up => {}
            ServerState::Down => {
                let failure = AttemptFailure::ConnectionRefused;
                return self.fail_attempt(router, request.attempt, failure);
            }
            ServerState::Unreachable => return,
        }
        let id = self.next_attempt_id;
        self.next_attempt_id += 1;
        self.counters.attempts += 1;
        let class = usize::from(request.class);
        let attempt = request.attempt;
        let non_idempotent = self.scenario.classes[class].non_idempotent;
        self.attempts.insert(id, AttemptInFlight { router, attempt, server, non_idempotent });
        self.attempt_ids.insert((router, attempt), id);
        let source_uid = request.target.source.as_ref();
        let fill_source =
            source_uid.and_then(|uid| self.model.servers.iter().position(|server| server.uid == **uid));
        if source_uid.is_some() && fill_source.is_none() {
            // The attempt names a fill source that has left the endpoint list.
            return self.model.reject(id);
        }
        let attempt = self.model_attempt(request, fill_source);
        self.model.start_attempt(self.now, id, server, attempt);
    }

    fn model_attempt(&self, request: &AttemptRequest, fill_source: Option<usize>) -> Attempt {
        let class = usize::from(request.class);
        let key = ChunkKey { object: request.request.object.value, chunk: request.request.chunk };
        let fill = &request.target.fill;
        Attempt {
            class,
            key,
            group: request.request.group,
            bytes: self.clients.catalogue.chunk_bytes(class, key),
            rid: request.request.request_id.value,
            max_age: fill.max_age.map(whole_micros),
            retention: fill.retention,
            fill_source,
            coalesce: fill.coalesce,
            only_if_cached: fill.only_if_cached,
        }
    }

    /// Schedules the moment at which a router notices that an attempt failed.
    fn fail_attempt(&mut self, router: usize, attempt: AttemptId, failure: AttemptFailure) {
        let event = TimedEvent::AttemptFails { router, attempt, failure };
        self.schedule(self.now + MESSAGE_DELAY, event);
    }

    /// Delivers the answer to an attempt to its router. Does nothing if the attempt has been
    /// cancelled.
    pub(super) fn on_answer_arrives(&mut self, id: u64, result: AttemptResult, bytes: u64) {
        let Some(in_flight) = self.attempts.remove(&id) else { return };
        self.attempt_ids.remove(&(in_flight.router, in_flight.attempt));
        let response = self.response(result, bytes, in_flight.non_idempotent);
        self.deliver_input(in_flight.router, Input::Responded(in_flight.attempt, response, None));
    }

    /// Converts the model's result of an attempt to the response that a router reads.
    fn response(&self, result: AttemptResult, bytes: u64, non_idempotent: bool) -> AttemptResponse {
        let dated = match result {
            AttemptResult::Served(dated) => dated,
            AttemptResult::Miss => return AttemptResponse::Absent,
            AttemptResult::AtCapacity => return AttemptResponse::AtCapacity,
            AttemptResult::Failed => return AttemptResponse::Failed,
        };
        let mut body = self.pool.chain();
        let mut left = bytes as usize;
        while left > 0 {
            let length = left.min(BODY_BLOCK.len());
            // A body that the buffer pool can't hold is truncated, as in a driver that runs out of
            // memory.
            if body.extend(&BODY_BLOCK[..length]).is_err() {
                break;
            }
            left -= length;
        }
        let digest = (!non_idempotent).then(|| copy_digest(dated).into_bytes());
        AttemptResponse::Data(digest, body)
    }

    pub(super) fn on_model_event(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Answered { id, result, bytes } => {
                let event = TimedEvent::AnswerArrives { id, result, bytes };
                self.schedule(self.now + MESSAGE_DELAY, event);
            }
            ModelEvent::StateChanged { server, state: ServerState::Down } => self.on_server_down(server),
            ModelEvent::StateChanged { .. } => {}
            ModelEvent::EndpointChanged { server, listed, state } => {
                self.publish_endpoint(server, &listed, state);
            }
            ModelEvent::Purged(purge) => {
                self.feed_events += 1;
                let text = purge_event(self.feed_events, &purge);
                self.publish(self.now + PURGE_FEED_DELAY, &text);
            }
        }
    }

    /// Fails the attempts at a server that goes down.
    fn on_server_down(&mut self, server: usize) {
        let at_server = self.attempts.iter().filter(|(_, attempt)| attempt.server == server);
        let lost: Vec<u64> = at_server.map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(in_flight) = self.attempts.remove(&id) {
                self.attempt_ids.remove(&(in_flight.router, in_flight.attempt));
                self.fail_attempt(in_flight.router, in_flight.attempt, AttemptFailure::ConnectionLost);
            }
        }
    }

    fn publish_endpoint(&mut self, server: usize, listed: &Server, state: ListedState) {
        let line = endpoint_line(&self.scenario, listed, server_address(server), state);
        self.feed_events += 1;
        let text = endpoint_event(self.feed_events, &line);
        let at = self.now + endpoint_feed_delay(&self.scenario, self.now - START);
        self.model.endpoint_known_at(server, state, at);
        self.publish(at, &text);
    }

    /// Schedules the delivery of an event of the endpoint feed to all routers.
    fn publish(&mut self, at: Time, text: &str) {
        for router in 0..self.routers.len() {
            self.schedule(at, TimedEvent::FeedEvent { router, text: text.to_string() });
        }
    }
}
