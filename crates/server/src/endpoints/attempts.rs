//! Sending and cancelling attempts and probes on connections to endpoints, and withdrawing attempts
//! that are still queued.

use super::connection::EndpointConnection;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_decision::{EndpointId, Idempotency, Timestamp};
use hollymux_protocol::endpoint;
use hollymux_router::buffers::BufferChain;
use hollymux_router::{AttemptFailure, AttemptId, AttemptRequest, ClientHandle, Input};
use std::net::SocketAddr;

/// A message in a connection's queue.
pub(super) struct OutgoingMessage {
    /// The bytes that are not written yet.
    pub(super) bytes: BufferChain,
    /// The attempt that the message carries; `None` for a probe or a cancel.
    pub(super) attempt: Option<QueuedAttempt>,
    /// Whether part of the message has been written.
    pub(super) begun: bool,
    /// When the router issued the command to send the message.
    pub(super) decided_at: Timestamp,
}

impl OutgoingMessage {
    /// The attempt that the message carries; `None` if part of it is already written or it carries
    /// none.
    pub(super) fn unsent_attempt(&self) -> Option<QueuedAttempt> {
        self.attempt.filter(|_| !self.begun)
    }
}

/// An attempt whose message is queued, with the conditions under which it may still be sent.
#[derive(Clone, Copy)]
pub(super) struct QueuedAttempt {
    pub(super) id: AttemptId,
    /// The client that sent the request; the attempt is not sent once that client has left.
    client: ClientHandle,
    /// The endpoint named as fill source, if any; the attempt is not sent once that endpoint takes
    /// no more work.
    pub(super) source: Option<EndpointId>,
    /// Latest time at which the first byte may be written; `None` without such a limit.
    send_before: Option<Timestamp>,
}

/// A request to an endpoint that has no response yet.
pub(super) enum OutstandingRequest {
    Attempt(OutstandingAttempt),
    Probe,
}

impl OutstandingRequest {
    pub(super) fn is_attempt(&self, id: AttemptId) -> bool {
        matches!(self, OutstandingRequest::Attempt(attempt) if attempt.id == id)
    }
}

/// An attempt without a response, and what is needed to check the response.
pub(super) struct OutstandingAttempt {
    pub(super) id: AttemptId,
    /// The index of the request's class in the settings.
    pub(super) class: u16,
    /// The version tag of the copy that the client revalidates; `None` if it revalidates none.
    pub(super) revalidated_tag: Option<Vec<u8>>,
    /// When the attempt was queued on its first connection.
    queued_at: Timestamp,
    /// Whether the whole message has been written, so that the endpoint may have executed it.
    pub(super) fully_written: bool,
}

impl Server {
    /// Queues an attempt on a connection to its endpoint and writes it if possible. An attempt that
    /// can't be queued fails with the next input.
    pub(crate) fn send_attempt(&mut self, request: AttemptRequest) {
        let attempt = request.attempt;
        if let Err(failure) = self.try_send_attempt(request) {
            self.pending_inputs.push_back(Input::Failed(attempt, failure));
        }
    }

    fn try_send_attempt(&mut self, request: AttemptRequest) -> Result<(), AttemptFailure> {
        let bytes = endpoint::encode_attempt(&self.buffers, &request).map_err(|_| AttemptFailure::NotSent)?;
        let wire_id = request.request.request_id.text.clone();
        let (endpoint, address) = (request.target.endpoint, request.target.addr);
        let mut token = self.select_connection(endpoint, address, &wire_id)?;
        // The endpoint may have closed the connection without this being read yet. An attempt
        // written there would count as possibly executed.
        while self.has_ended(token) {
            token = self.select_connection(endpoint, address, &wire_id)?;
        }
        let Some(ConnectionKind::Endpoint(connection)) = self.connections.get_mut(token) else {
            return Err(AttemptFailure::NotSent);
        };
        let outstanding = OutstandingAttempt {
            id: request.attempt,
            class: request.class,
            revalidated_tag: request.request.if_none_match.clone(),
            queued_at: self.now,
            fully_written: false,
        };
        connection.outstanding.insert(wire_id, OutstandingRequest::Attempt(outstanding));
        let attempt = QueuedAttempt {
            id: request.attempt,
            client: request.client,
            source: request.target.fill.source,
            send_before: request.send_before,
        };
        connection.queue.push_back(OutgoingMessage {
            bytes,
            attempt: Some(attempt),
            begun: false,
            decided_at: self.now,
        });
        self.endpoints.attempts.insert(request.attempt, token);
        self.write_queued(token);
        Ok(())
    }

    /// Probes the health of an endpoint. A probe that can't be sent counts as a probe without a
    /// response.
    pub(crate) fn probe(&mut self, endpoint: EndpointId, address: SocketAddr) {
        if self.try_probe(endpoint, address).is_none() {
            self.pending_inputs.push_back(Input::Probed(endpoint, None));
        }
    }

    /// Queues a probe; returns `None` if there is no connection for it.
    fn try_probe(&mut self, endpoint: EndpointId, address: SocketAddr) -> Option<()> {
        let wire_id = format!("p{:x}", self.now.as_micros()).into_bytes();
        let token = self.select_connection(endpoint, address, &wire_id).ok()?;
        let probe = endpoint::encode_probe(&wire_id);
        let ConnectionKind::Endpoint(connection) = self.connections.get_mut(token)? else { return None };
        connection.outstanding.insert(wire_id, OutstandingRequest::Probe);
        connection.queue_control(&probe, &self.buffers, self.now);
        self.write_queued(token);
        Some(())
    }

    /// Whether writing of a queued attempt may begin: it has not been queued for too long, its send
    /// limit has not passed and its client is still there.
    pub(super) fn may_begin(
        &mut self,
        attempt: &QueuedAttempt,
        decided_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let waited_too_long = now > decided_at + self.max_queue_time();
        let too_late = attempt.send_before.is_some_and(|send_before| now > send_before);
        if waited_too_long || too_late {
            return false;
        }
        // The client may have left since the decision, without this being read yet. The first
        // attempt of a request is decided directly after its client's connection was read, so the
        // check is not needed.
        let client_may_have_left = attempt.id.number > 0 || now > decided_at;
        !(client_may_have_left && self.client_has_left(attempt.client))
    }

    /// Cancels an attempt. If a retry may follow (`may_retry`), its connection is closed as well:
    /// bytes held up by a network interruption must not reach the endpoint while the retry is in
    /// flight.
    pub(crate) fn cancel_attempt(&mut self, attempt: AttemptId, may_retry: bool) {
        let Some(token) = self.endpoints.attempts.remove(&attempt) else { return };
        let Some(mut connection) = self.connections.take_endpoint(token) else { return };
        let action = self.cancel_on_connection(&mut connection, attempt, may_retry);
        self.restore(token, ConnectionKind::Endpoint(connection), action.unwrap_or(ConnectionAction::Keep));
        if action.is_some() {
            self.write_queued(token);
        }
    }

    /// Removes a cancelled attempt from its connection and returns what to do with the connection;
    /// `None` if nothing of the attempt was written.
    fn cancel_on_connection(
        &mut self,
        connection: &mut EndpointConnection,
        attempt: AttemptId,
        may_retry: bool,
    ) -> Option<ConnectionAction> {
        let wire_id = connection.wire_id_of(attempt)?;
        let Some(OutstandingRequest::Attempt(cancelled)) = connection.outstanding.remove(&wire_id) else {
            return None;
        };
        if connection.remove_queued(attempt) {
            return None;
        }
        let is_overdue = self.is_overdue(&cancelled);
        // A partly written request must not be completed: the endpoint would execute it, though the
        // client may have left long before.
        let is_partly_written =
            connection.queue.iter().any(|message| message.attempt.is_some_and(|queued| queued.id == attempt));
        // After an overdue response, no other response may come on this connection either:
        // idempotent requests on it fail with the connection and are retried elsewhere. A
        // non-idempotent request can't be retried, so the connection stays open for it.
        let must_wait = connection.outstanding.values().any(|request| self.is_not_idempotent(request));
        let ends_connection = (is_overdue || is_partly_written || may_retry) && !must_wait;
        connection.draining |= is_overdue;
        connection.retire_id(wire_id.clone());
        if ends_connection {
            return Some(ConnectionAction::Close);
        }
        connection.queue_control(&endpoint::encode_cancel(&wire_id), &self.buffers, self.now);
        Some(ConnectionAction::Keep)
    }

    /// Whether an attempt has been in flight for longer than the latency objective of its class.
    fn is_overdue(&self, attempt: &OutstandingAttempt) -> bool {
        let class = self.router.settings().classes.get(usize::from(attempt.class));
        class.is_some_and(|class| self.now > attempt.queued_at + class.latency_objective)
    }

    fn is_not_idempotent(&self, request: &OutstandingRequest) -> bool {
        let OutstandingRequest::Attempt(attempt) = request else { return false };
        let class = self.router.settings().classes.get(usize::from(attempt.class));
        class.is_some_and(|class| class.idempotency == Idempotency::NotIdempotent)
    }

    /// Removes a queued attempt and fails it, unless part of it is already written.
    pub(super) fn withdraw_attempt(&mut self, connection: &mut EndpointConnection, attempt: AttemptId) {
        if connection.remove_queued(attempt) {
            self.fail_unsent_attempt(connection, attempt, AttemptFailure::NotSent);
        }
    }

    /// Fails an attempt whose message was taken out of the queue.
    pub(super) fn fail_unsent_attempt(
        &mut self,
        connection: &mut EndpointConnection,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) {
        connection.outstanding.retain(|_, request| !request.is_attempt(attempt));
        self.endpoints.attempts.remove(&attempt);
        self.pending_inputs.push_back(Input::Failed(attempt, failure));
    }

    /// Moves an outstanding attempt and its message to another connection. Does nothing if that
    /// connection is closed.
    pub(super) fn move_attempt(
        &mut self,
        from: &mut EndpointConnection,
        to: ConnectionToken,
        wire_id: Vec<u8>,
        message: OutgoingMessage,
    ) {
        let request = from.outstanding.remove(&wire_id);
        let Some(ConnectionKind::Endpoint(target)) = self.connections.get_mut(to) else { return };
        let (Some(request), Some(attempt)) = (request, message.attempt) else { return };
        target.outstanding.insert(wire_id, request);
        target.queue.push_back(message);
        self.endpoints.attempts.insert(attempt.id, to);
    }
}
