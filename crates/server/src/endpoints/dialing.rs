//! Which connection carries an attempt, and connections from their dial until they are established.
//! One may be established late, or never, at an endpoint that is well: what waits for it moves to
//! another connection, and it is kept for what comes next.

use super::attempts::{OutgoingMessage, OutstandingRequest};
use super::connection::{is_refusal, EndpointConnection};
use super::MAX_CONNECTIONS_PER_ENDPOINT;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer};
use crate::sockets::dial;
use crate::Server;
use hollymux_decision::EndpointId;
use hollymux_router::{AttemptFailure, Input};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A connection is late once connecting has taken this many times what the fastest connect to its
/// endpoint took, within the bounds below. The upper bound also holds where none has been
/// established yet.
const LATE_CONNECT_FACTOR: u32 = 4;
const MIN_LATE_CONNECT: Duration = Duration::from_millis(20);
const MAX_LATE_CONNECT: Duration = Duration::from_millis(100);
/// With this many late connections to an endpoint a further one is dialed only when the newest is
/// late as well: there it is the endpoint, or the network to it.
const MAX_LATE_CONNECTIONS: usize = 3;
/// A connection that is not established after this long never will be.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Bytes that may wait to be written on one connection.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// A late connection is not looked at again sooner than this.
const MIN_DIAL_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// A connection that can carry one more attempt.
struct Candidate {
    token: ConnectionToken,
    /// What awaits a response on it.
    outstanding: usize,
}

/// Why no connection was dialed.
enum DialError {
    /// The limits allow none.
    NotAllowed,
    Failed(io::Error),
}

/// What becomes of a message on a connection that is late.
enum LateMessage {
    Kept(OutgoingMessage),
    Moved(ConnectionToken),
    Dropped,
}

impl Server {
    /// A connection that can carry one more request with this id in the protocol: one that can
    /// carry it without delay, else the one with the least outstanding.
    pub(super) fn connection(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        wire_id: &[u8],
    ) -> Result<ConnectionToken, AttemptFailure> {
        let error = match self.prompt_connection(endpoint, address, wire_id) {
            Ok(token) => return Ok(token),
            Err(error) => error,
        };
        let fallback = self
            .least_loaded(endpoint, wire_id, EndpointConnection::is_established)
            .or_else(|| self.least_loaded(endpoint, wire_id, |_| true));
        if let Some(candidate) = fallback {
            let late_at = self.now + self.late_connect_after(endpoint);
            self.timers.set(late_at, Timer::DialLate(candidate.token));
            return Ok(candidate.token);
        }
        match error {
            DialError::Failed(error) if is_refusal(&error) => Err(AttemptFailure::ConnectionRefused),
            DialError::Failed(_) | DialError::NotAllowed => Err(AttemptFailure::NotSent),
        }
    }

    /// One that can carry a request without delay: an idle one, else one that is connecting and not
    /// late, else a new one.
    fn prompt_connection(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        wire_id: &[u8],
    ) -> Result<ConnectionToken, DialError> {
        let now = self.now;
        let late_after = self.late_connect_after(endpoint);
        let is_late = |connection: &EndpointConnection| connection.connects_longer_than(now, late_after);
        let is_connecting =
            |connection: &EndpointConnection| !connection.is_established() && !is_late(connection);
        let unloaded = |candidate: &Candidate| candidate.outstanding == 0;
        let candidate = self
            .least_loaded(endpoint, wire_id, EndpointConnection::is_established)
            .filter(unloaded)
            .or_else(|| self.least_loaded(endpoint, wire_id, is_connecting).filter(unloaded));
        if let Some(candidate) = candidate {
            return Ok(candidate.token);
        }
        let late_connections = self.pooled(endpoint).filter(|(_, connection)| is_late(connection)).count();
        let any_connecting = self.pooled(endpoint).any(|(_, connection)| is_connecting(connection));
        let pool_is_full = self.endpoints.tokens(endpoint).len() >= MAX_CONNECTIONS_PER_ENDPOINT;
        if pool_is_full || any_connecting && late_connections >= MAX_LATE_CONNECTIONS {
            return Err(DialError::NotAllowed);
        }
        let all_descriptors_used = self.endpoints.connection_count >= self.max_endpoint_connections();
        if all_descriptors_used && !self.evict_endpoint_connection() {
            return Err(DialError::NotAllowed);
        }
        self.dial_endpoint(endpoint, address).map_err(DialError::Failed)
    }

    /// The connections to an endpoint, but for one that is being handled.
    fn pooled(
        &self,
        endpoint: EndpointId,
    ) -> impl Iterator<Item = (ConnectionToken, &EndpointConnection)> + '_ {
        let tokens = self.endpoints.tokens(endpoint).iter();
        tokens.filter_map(|token| match self.connections.get(*token) {
            Some(ConnectionKind::Endpoint(connection)) => Some((*token, connection)),
            _ => None,
        })
    }

    /// Of the connections to an endpoint that can carry one more request, the one with the least
    /// outstanding.
    fn least_loaded(
        &self,
        endpoint: EndpointId,
        wire_id: &[u8],
        is_suitable: impl Fn(&EndpointConnection) -> bool,
    ) -> Option<Candidate> {
        let max_outstanding = self.config.streams;
        self.pooled(endpoint)
            .filter(|(_, connection)| is_suitable(connection))
            .filter(|(_, connection)| connection.can_carry(wire_id, max_outstanding))
            .map(|(token, connection)| Candidate { token, outstanding: connection.outstanding.len() })
            .min_by_key(|candidate| candidate.outstanding)
    }

    /// A connection to an endpoint is late when connecting takes longer than this.
    fn late_connect_after(&self, endpoint: EndpointId) -> Duration {
        let fastest = self.endpoints.pools.get(&endpoint).and_then(|pool| pool.fastest_connect);
        match fastest {
            Some(fastest) => (fastest * LATE_CONNECT_FACTOR).clamp(MIN_LATE_CONNECT, MAX_LATE_CONNECT),
            None => MAX_LATE_CONNECT,
        }
    }

    fn dial_endpoint(&mut self, endpoint: EndpointId, address: SocketAddr) -> io::Result<ConnectionToken> {
        let socket = dial(address)?;
        let connection = EndpointConnection::connecting(socket, endpoint, address, &self.buffers, self.now);
        let token = self.insert(ConnectionKind::Endpoint(connection))?;
        self.endpoints.connection_count += 1;
        self.endpoints.pools.entry(endpoint).or_default().tokens.push(token);
        let late_at = self.now + self.late_connect_after(endpoint);
        self.timers.set(late_at, Timer::DialLate(token));
        Ok(token)
    }

    /// A connection was established after this long.
    pub(super) fn note_connect_time(&mut self, endpoint: EndpointId, took: Duration) {
        let pool = self.endpoints.pools.entry(endpoint).or_default();
        let fastest = pool.fastest_connect.map_or(took, |fastest| fastest.min(took));
        pool.fastest_connect = Some(fastest);
    }

    /// A connection that is not established by now is late: what waits for it moves to another
    /// connection, or has waited for long enough.
    pub(crate) fn on_dial_late(&mut self, token: ConnectionToken) {
        match self.connections.get(token) {
            Some(ConnectionKind::Endpoint(connection))
                if !connection.is_established() && !connection.queue.is_empty() => {}
            _ => return,
        }
        let Some(mut connection) = self.connections.take_endpoint(token) else { return };
        let mut kept = VecDeque::new();
        let mut moved_to = Vec::new();
        for message in std::mem::take(&mut connection.queue) {
            match self.reassign_late_message(&mut connection, message) {
                LateMessage::Kept(message) => kept.push_back(message),
                LateMessage::Moved(other) => moved_to.push(other),
                LateMessage::Dropped => {}
            }
        }
        if let Some(first) = kept.front() {
            let late_again = self.now + self.late_connect_after(connection.endpoint);
            let expires = first.decided_at + self.max_queue_time();
            let earliest = self.now + MIN_DIAL_CHECK_INTERVAL;
            self.timers.set(late_again.min(expires).max(earliest), Timer::DialLate(token));
        }
        connection.queue = kept;
        self.restore(token, ConnectionKind::Endpoint(connection), ConnectionAction::Keep);
        for other in moved_to {
            self.write_queued(other);
        }
    }

    fn reassign_late_message(
        &mut self,
        connection: &mut EndpointConnection,
        message: OutgoingMessage,
    ) -> LateMessage {
        let expired = self.now >= message.decided_at + self.max_queue_time();
        let Some(attempt) = message.unsent_attempt() else {
            if !expired {
                return LateMessage::Kept(message);
            }
            // A probe: no other connection can carry it sooner, and nobody waits for it.
            self.fail_probes(connection);
            return LateMessage::Dropped;
        };
        if expired {
            self.fail_unsent_attempt(connection, attempt.id, AttemptFailure::ConnectTimeout);
            return LateMessage::Dropped;
        }
        let Some(wire_id) = connection.wire_id_of(attempt.id) else { return LateMessage::Kept(message) };
        match self.prompt_connection(connection.endpoint, connection.address, &wire_id) {
            Ok(other) => {
                self.move_attempt(connection, other, wire_id, message);
                LateMessage::Moved(other)
            }
            Err(_) => LateMessage::Kept(message),
        }
    }

    fn fail_probes(&mut self, connection: &mut EndpointConnection) {
        let is_probe = |request: &OutstandingRequest| matches!(request, OutstandingRequest::Probe);
        let probes = connection.outstanding.extract_if(|_, request| is_probe(request)).count();
        for _ in 0..probes {
            self.pending_inputs.push_back(Input::Probed(connection.endpoint, None));
        }
    }
}

impl EndpointConnection {
    /// Whether it can carry one more request with this id in the protocol.
    fn can_carry(&self, wire_id: &[u8], max_outstanding: usize) -> bool {
        let id_is_used = self.outstanding.contains_key(wire_id)
            || self.retired_ids.iter().any(|retired| retired == wire_id);
        // One that still receives a response that nobody waits for delays what comes behind it.
        let is_blocked = self.outstanding.is_empty() && self.decoder.is_mid_frame();
        let queued_bytes: usize = self.queue.iter().map(|message| message.bytes.len()).sum();
        !self.draining
            && !id_is_used
            && !is_blocked
            && self.outstanding.len() < max_outstanding
            && queued_bytes <= MAX_QUEUED_BYTES
    }
}
