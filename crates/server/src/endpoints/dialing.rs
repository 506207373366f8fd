//! Selection of the connection that carries an attempt, and connections from the dial until they
//! are established. Even a healthy endpoint may establish a connection late or never; messages
//! queued on such a connection move to another one, and the late connection stays open for later
//! messages.

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

/// A connection is late when it has been connecting for this multiple of the fastest connect to its
/// endpoint, bounded by [`MIN_LATE_CONNECT`] and [`MAX_LATE_CONNECT`].
const LATE_CONNECT_FACTOR: u32 = 4;
/// Lower bound of the time after which a connection is late.
const MIN_LATE_CONNECT: Duration = Duration::from_millis(20);
/// Upper bound of the time after which a connection is late. It also applies while no connection to
/// the endpoint has been established yet.
const MAX_LATE_CONNECT: Duration = Duration::from_millis(100);
/// With this many late connections to an endpoint, the endpoint or the network path to it is the
/// likely cause; another one is then dialed only when every connecting one is late.
const MAX_LATE_CONNECTIONS: usize = 3;
/// A connect that lasts longer than this is considered failed. Housekeeping closes the connection
/// once it carries no request.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection with more queued bytes than this is given no further attempt.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Shortest interval between two checks of one late connection.
const MIN_DIAL_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// A connection that can carry one more request.
struct Candidate {
    token: ConnectionToken,
    /// Number of requests on the connection that await a response.
    outstanding: usize,
}

/// Why [`Server::select_undelayed_connection`] found no connection and dialed none.
enum DialError {
    /// The endpoint's pool is full, no descriptor is free, or too many connects to the endpoint are
    /// late.
    NotAllowed,
    /// The socket could not be opened, or the connect failed at once.
    Failed(io::Error),
}

/// What [`Server::reassign_late_message`] did with a message queued on a late connection.
enum LateMessage {
    /// The message stays on the late connection.
    Kept(OutgoingMessage),
    /// The message was moved to this connection.
    Moved(ConnectionToken),
    /// The message expired; its attempt or probe has failed.
    Dropped,
}

impl Server {
    /// Selects the connection for one more request with this wire id: one that carries it without
    /// delay, or else the one with the fewest outstanding requests, established connections before
    /// connecting ones. Returns `ConnectionRefused` if no connection can carry the request and a
    /// dial fails because the endpoint is unreachable, `NotSent` if none can carry it for any other
    /// reason.
    pub(super) fn select_connection(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        wire_id: &[u8],
    ) -> Result<ConnectionToken, AttemptFailure> {
        let error = match self.select_undelayed_connection(endpoint, address, wire_id) {
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

    /// Selects a connection that carries a request without delay: an established one without
    /// outstanding requests, or else a connecting one that is not late and has none, or else a
    /// newly dialed one.
    fn select_undelayed_connection(
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

    /// The connections to an endpoint, except one that a handler has taken out of the connection
    /// table.
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

    /// The connection with the fewest outstanding requests, among the suitable connections to an
    /// endpoint that can carry one more request. `None` if there is none.
    fn least_loaded(
        &self,
        endpoint: EndpointId,
        wire_id: &[u8],
        is_suitable: impl Fn(&EndpointConnection) -> bool,
    ) -> Option<Candidate> {
        let max_outstanding = self.config.max_attempts_per_connection;
        self.pooled(endpoint)
            .filter(|(_, connection)| is_suitable(connection))
            .filter(|(_, connection)| connection.can_carry(wire_id, max_outstanding))
            .map(|(token, connection)| Candidate { token, outstanding: connection.outstanding.len() })
            .min_by_key(|candidate| candidate.outstanding)
    }

    /// How long a connection to this endpoint may take to be established before it is late.
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

    /// Records how long a connect to an endpoint took; the shortest one determines when others are
    /// late.
    pub(super) fn note_connect_time(&mut self, endpoint: EndpointId, took: Duration) {
        let pool = self.endpoints.pools.entry(endpoint).or_default();
        let fastest = pool.fastest_connect.map_or(took, |fastest| fastest.min(took));
        pool.fastest_connect = Some(fastest);
    }

    /// Called when a connection is late: its queued messages move to another connection, stay if
    /// none can carry them without delay, or fail once they have waited for the maximum queue time.
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
            let next_check = self.now + self.late_connect_after(connection.endpoint);
            let expires = first.decided_at + self.max_queue_time();
            let earliest = self.now + MIN_DIAL_CHECK_INTERVAL;
            self.timers.set(next_check.min(expires).max(earliest), Timer::DialLate(token));
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
            // Only a probe has no attempt here. No client waits for it, and no other connection
            // could carry it sooner.
            self.fail_probes(connection);
            return LateMessage::Dropped;
        };
        if expired {
            self.fail_unsent_attempt(connection, attempt.id, AttemptFailure::ConnectTimeout);
            return LateMessage::Dropped;
        }
        let Some(wire_id) = connection.wire_id_of(attempt.id) else { return LateMessage::Kept(message) };
        match self.select_undelayed_connection(connection.endpoint, connection.address, &wire_id) {
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
    /// Whether the connection can carry one more request with this wire id.
    fn can_carry(&self, wire_id: &[u8], max_outstanding: usize) -> bool {
        let id_is_used = self.outstanding.contains_key(wire_id)
            || self.retired_ids.iter().any(|retired| retired == wire_id);
        // The rest of a response to a cancelled request would delay any later response on this
        // connection.
        let is_blocked = self.outstanding.is_empty() && self.decoder.is_mid_frame();
        let queued_bytes: usize = self.queue.iter().map(|message| message.bytes.len()).sum();
        !self.draining
            && !id_is_used
            && !is_blocked
            && self.outstanding.len() < max_outstanding
            && queued_bytes <= MAX_QUEUED_BYTES
    }
}
