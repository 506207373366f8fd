//! Attempts and probes on connections to endpoints: sending, cancelling, and withdrawing what was
//! not sent yet.

use super::connection::EndpointConnection;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_decision::{EndpointId, Idempotency, Timestamp};
use hollymux_protocol::endpoint;
use hollymux_router::buffers::BufferChain;
use hollymux_router::{AttemptFailure, AttemptId, AttemptRequest, ClientHandle, Input};
use std::net::SocketAddr;

/// A message that waits to be written.
pub(super) struct OutgoingMessage {
    pub(super) bytes: BufferChain,
    /// The attempt that it carries, if it does.
    pub(super) attempt: Option<QueuedAttempt>,
    /// Part of it was written.
    pub(super) begun: bool,
    /// When the router decided to send it.
    pub(super) decided_at: Timestamp,
}

impl OutgoingMessage {
    /// The attempt that it carries, if nothing of it was written yet.
    pub(super) fn unsent_attempt(&self) -> Option<QueuedAttempt> {
        self.attempt.filter(|_| !self.begun)
    }
}

/// The attempt that a message carries, with the conditions under which it may still be sent.
#[derive(Clone, Copy)]
pub(super) struct QueuedAttempt {
    pub(super) id: AttemptId,
    /// Nothing is sent for a client that has left.
    client: ClientHandle,
    /// Nothing is sent with a fill source that takes no more work.
    pub(super) source: Option<EndpointId>,
    /// Nothing is sent after this.
    send_before: Option<Timestamp>,
}

/// What awaits a response.
pub(super) enum OutstandingRequest {
    Attempt(OutstandingAttempt),
    Probe,
}

impl OutstandingRequest {
    pub(super) fn is_attempt(&self, id: AttemptId) -> bool {
        matches!(self, OutstandingRequest::Attempt(attempt) if attempt.id == id)
    }
}

/// An attempt that awaits a response.
pub(super) struct OutstandingAttempt {
    pub(super) id: AttemptId,
    /// The index of its class.
    pub(super) class: u16,
    /// The tag of the copy that it revalidates.
    pub(super) revalidated_tag: Option<Vec<u8>>,
    /// When it was given to the connection.
    queued_at: Timestamp,
    pub(super) fully_written: bool,
}

impl Server {
    /// Sends an attempt; one that can't be sent fails at once.
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
        let mut token = self.connection(endpoint, address, &wire_id)?;
        // Its end may have arrived and not been read yet: an attempt written there might have been
        // executed.
        while self.has_ended(token) {
            token = self.connection(endpoint, address, &wire_id)?;
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

    /// Asks an endpoint whether it is healthy.
    pub(crate) fn probe(&mut self, endpoint: EndpointId, address: SocketAddr) {
        if self.try_probe(endpoint, address).is_none() {
            self.pending_inputs.push_back(Input::Probed(endpoint, None));
        }
    }

    /// `None` if the probe can't be sent.
    fn try_probe(&mut self, endpoint: EndpointId, address: SocketAddr) -> Option<()> {
        let wire_id = format!("p{:x}", self.now.as_micros()).into_bytes();
        let bytes = endpoint::encode_probe(&self.buffers, &wire_id).ok();
        // The connection is opened even if there is no buffer for the probe: the next one finds it
        // established.
        let token = self.connection(endpoint, address, &wire_id).ok()?;
        let bytes = bytes?;
        let ConnectionKind::Endpoint(connection) = self.connections.get_mut(token)? else { return None };
        connection.outstanding.insert(wire_id, OutstandingRequest::Probe);
        connection.queue_control(bytes, self.now);
        self.write_queued(token);
        Some(())
    }

    /// Whether the first bytes of an attempt may be written now.
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
        // Since it was decided its client may have left, which was not read yet. The first attempt
        // of a request was decided just after its client's connection had been read.
        let client_may_have_left = attempt.id.number > 0 || now > decided_at;
        !(client_may_have_left && self.client_has_left(attempt.client))
    }

    /// Cancels an attempt. If a retry may follow (`may_retry`) its connection ends with it: what
    /// has not reached the endpoint yet, because the network is interrupted, must not arrive while
    /// the retry is under way.
    pub(crate) fn cancel_attempt(&mut self, attempt: AttemptId, may_retry: bool) {
        let Some(token) = self.endpoints.attempts.remove(&attempt) else { return };
        let Some(mut connection) = self.connections.take_endpoint(token) else { return };
        let action = self.cancel_on_connection(&mut connection, attempt, may_retry);
        self.restore(token, ConnectionKind::Endpoint(connection), action.unwrap_or(ConnectionAction::Keep));
        if action.is_some() {
            self.write_queued(token);
        }
    }

    /// What is done with the connection of an attempt that is cancelled; `None` if nothing of it
    /// was written.
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
        // Part of it is written: the rest would have it executed for a client that may have left
        // long before.
        let is_half_written =
            connection.queue.iter().any(|message| message.attempt.is_some_and(|queued| queued.id == attempt));
        // An overdue response may never come, nor any other on its connection: what may be retried
        // is retried elsewhere, what may not can only wait.
        let must_wait = connection.outstanding.values().any(|request| self.is_not_idempotent(request));
        let ends_connection = (is_overdue || is_half_written || may_retry) && !must_wait;
        connection.draining |= is_overdue;
        connection.retire_id(wire_id.clone());
        match endpoint::encode_cancel(&self.buffers, &wire_id) {
            Ok(bytes) if !ends_connection => {
                connection.queue_control(bytes, self.now);
                Some(ConnectionAction::Keep)
            }
            _ => Some(ConnectionAction::Close),
        }
    }

    fn is_overdue(&self, attempt: &OutstandingAttempt) -> bool {
        let class = self.router.settings().classes.get(usize::from(attempt.class));
        class.is_some_and(|class| self.now > attempt.queued_at + class.latency_objective)
    }

    fn is_not_idempotent(&self, request: &OutstandingRequest) -> bool {
        let OutstandingRequest::Attempt(attempt) = request else { return false };
        let class = self.router.settings().classes.get(usize::from(attempt.class));
        class.is_some_and(|class| class.idempotency == Idempotency::NotIdempotent)
    }

    /// Withdraws an attempt of which nothing was written.
    pub(super) fn withdraw_attempt(&mut self, connection: &mut EndpointConnection, attempt: AttemptId) {
        if connection.remove_queued(attempt) {
            self.fail_unsent_attempt(connection, attempt, AttemptFailure::NotSent);
        }
    }

    /// Reports the failure of an attempt whose message was taken out of the queue.
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

    /// Moves an attempt and its message to another connection.
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
