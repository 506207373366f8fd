//! The state of one connection to an endpoint, and the handlers for connecting, reading, writing
//! and closing it.

use super::attempts::{OutgoingMessage, OutstandingAttempt, OutstandingRequest};
use super::dialing::CONNECT_TIMEOUT;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, MAX_READS_PER_EVENT};
use crate::housekeeping::WRITE_TIMEOUT;
use crate::sockets::Stream;
use crate::Server;
use hollymux_decision::time::whole_micros;
use hollymux_decision::{EndpointId, Timestamp};
use hollymux_protocol::endpoint::{self, EndpointResponse};
use hollymux_protocol::resp::{Decoder, RespError};
use hollymux_router::buffers::BufferPool;
use hollymux_router::metrics::CountedEvent;
use hollymux_router::{AttemptFailure, AttemptId, AttemptResponse, Input};
use rustix::event::epoll::EventFlags;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tracing::{debug, warn};

/// Number of wire ids, most recently cancelled or answered, that a connection remembers. They are
/// not reused on the connection: a late response to the first use could be taken for one to the
/// second.
const MAX_RETIRED_IDS: usize = 64;
/// An idle connection is closed after this fraction of the endpoint's own idle timeout.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Whether a connection to an endpoint is established yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectState {
    /// The connect was started at `since` and has not completed.
    Connecting { since: Timestamp },
    /// The connect has completed; the connection can be written.
    Established,
}

/// One connection to an endpoint, with the messages to write and the requests without a response.
pub(crate) struct EndpointConnection {
    pub(crate) stream: Stream,
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) decoder: Decoder,
    pub(super) state: ConnectState,
    /// Messages that are not fully written yet, in the order of writing.
    pub(super) queue: VecDeque<OutgoingMessage>,
    /// Requests that await a response, including those not written yet, by wire id: the id that the
    /// endpoint repeats in its response.
    pub(super) outstanding: HashMap<Vec<u8>, OutstandingRequest>,
    /// Wire ids that may not be reused on this connection, oldest first.
    pub(super) retired_ids: VecDeque<Vec<u8>>,
    /// When the connection was dialed or established, last wrote a whole message or received a
    /// response.
    pub(super) last_used: Timestamp,
    /// The connection accepts no further requests and is closed once it is unused.
    pub(super) draining: bool,
    /// The connect failed with an error that means that the endpoint is unreachable: see
    /// [`is_refusal`].
    connect_refused: bool,
}

impl EndpointConnection {
    /// A connection whose connect was started at `now`.
    pub(super) fn connecting(
        socket: TcpStream,
        endpoint: EndpointId,
        address: SocketAddr,
        buffers: &BufferPool,
        now: Timestamp,
    ) -> EndpointConnection {
        EndpointConnection {
            stream: Stream::connecting(socket, now),
            endpoint,
            address,
            decoder: endpoint::decoder(buffers),
            state: ConnectState::Connecting { since: now },
            queue: VecDeque::new(),
            outstanding: HashMap::new(),
            retired_ids: VecDeque::new(),
            last_used: now,
            draining: false,
            connect_refused: false,
        }
    }

    pub(super) fn is_established(&self) -> bool {
        self.state == ConnectState::Established
    }

    /// Whether no message is queued and no request awaits a response.
    pub(super) fn is_unused(&self) -> bool {
        self.outstanding.is_empty() && self.queue.is_empty()
    }

    /// Whether the connection is not established and has been connecting for longer than `limit`.
    pub(super) fn connects_longer_than(&self, now: Timestamp, limit: Duration) -> bool {
        match self.state {
            ConnectState::Connecting { since } => now > since + limit,
            ConnectState::Established => false,
        }
    }

    /// Queues a message that carries no attempt: a probe or a cancel.
    pub(super) fn queue_control(&mut self, message: &[u8], buffers: &BufferPool, now: Timestamp) {
        let mut bytes = buffers.chain();
        bytes.extend_control(message);
        self.queue.push_back(OutgoingMessage { bytes, attempt: None, begun: false, decided_at: now });
    }

    /// Records a wire id that was answered or cancelled, so that it is not reused on this
    /// connection.
    pub(super) fn retire_id(&mut self, id: Vec<u8>) {
        self.retired_ids.push_back(id);
        if self.retired_ids.len() > MAX_RETIRED_IDS {
            self.retired_ids.pop_front();
        }
    }

    /// The wire id of an attempt that is outstanding on this connection; `None` if it is not.
    pub(super) fn wire_id_of(&self, attempt: AttemptId) -> Option<Vec<u8>> {
        let found = self.outstanding.iter().find(|(_, request)| request.is_attempt(attempt));
        found.map(|(id, _)| id.clone())
    }

    /// Removes the queued message of an attempt, unless part of it is already written. Returns
    /// whether one was removed.
    pub(super) fn remove_queued(&mut self, attempt: AttemptId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|message| message.unsent_attempt().is_none_or(|queued| queued.id != attempt));
        before != self.queue.len()
    }
}

/// Whether the error of a failed connect means that the endpoint can't be reached. Other errors,
/// such as a reset or a lack of local descriptors, say nothing about the endpoint.
pub(super) fn is_refusal(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable, TimedOut};
    matches!(error.kind(), ConnectionRefused | HostUnreachable | NetworkUnreachable | TimedOut)
}

impl Server {
    /// Handles epoll events of a connection to an endpoint.
    pub(crate) fn on_endpoint_connection(
        &mut self,
        token: ConnectionToken,
        connection: &mut EndpointConnection,
        flags: EventFlags,
    ) -> ConnectionAction {
        if flags.contains(EventFlags::OUT) {
            let action = self.on_endpoint_writable(token, connection);
            if action == ConnectionAction::Close {
                return ConnectionAction::Close;
            }
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return ConnectionAction::Keep;
        }
        let on_bytes = |server: &mut Server, connection: &mut EndpointConnection, bytes: &[u8]| {
            let Err(error) = server.on_endpoint_bytes(connection, bytes) else {
                return ConnectionAction::Keep;
            };
            let endpoint = format_args!("{:x}", connection.endpoint.0);
            warn!(endpoint, %error, "invalid response from an endpoint, closing the connection");
            ConnectionAction::Close
        };
        self.read_from(connection, MAX_READS_PER_EVENT, |connection| &mut connection.stream, on_bytes)
    }

    fn on_endpoint_writable(
        &mut self,
        token: ConnectionToken,
        connection: &mut EndpointConnection,
    ) -> ConnectionAction {
        if let ConnectState::Connecting { since } = connection.state {
            if let Some(error) = connection.stream.socket.take_error().unwrap_or_else(Some) {
                connection.connect_refused = is_refusal(&error);
                return ConnectionAction::Close;
            }
            connection.state = ConnectState::Established;
            connection.last_used = self.now;
            self.note_connect_time(connection.endpoint, self.now.saturating_duration_since(since));
        }
        self.write_queue(token, connection)
    }

    /// Whether a connection without outstanding requests was closed by the endpoint. Bytes that
    /// have already arrived are read and handled first.
    pub(super) fn has_ended(&mut self, token: ConnectionToken) -> bool {
        match self.connections.get(token) {
            Some(ConnectionKind::Endpoint(connection))
                if connection.is_established() && connection.outstanding.is_empty() => {}
            _ => return false,
        }
        let Some(mut connection) = self.connections.take_endpoint(token) else {
            return false;
        };
        let action = self.on_endpoint_connection(token, &mut connection, EventFlags::IN);
        self.restore(token, ConnectionKind::Endpoint(connection), action);
        action != ConnectionAction::Keep
    }

    fn on_endpoint_bytes(
        &mut self,
        connection: &mut EndpointConnection,
        mut bytes: &[u8],
    ) -> Result<(), RespError> {
        while let Some(frame) = connection.decoder.feed(&mut bytes)? {
            let EndpointResponse { id, response, cache_status, body_dropped } =
                endpoint::parse_response(frame)?;
            connection.last_used = self.now;
            match (connection.outstanding.remove(&id), response) {
                (Some(OutstandingRequest::Probe), AttemptResponse::ProbeResult(healthy)) => {
                    self.pending_inputs.push_back(Input::Probed(connection.endpoint, Some(healthy)));
                }
                (Some(OutstandingRequest::Attempt(attempt)), response)
                    if attempt.fully_written && self.response_fits(&attempt, &response) =>
                {
                    self.endpoints.attempts.remove(&attempt.id);
                    let ended = if body_dropped {
                        debug!(request = attempt.id.request, "no buffer left for the body of a response");
                        Input::Failed(attempt.id, AttemptFailure::ResponseDropped)
                    } else {
                        Input::Responded(attempt.id, response, cache_status)
                    };
                    self.pending_inputs.push_back(ended);
                    connection.retire_id(id);
                }
                (Some(request), _) => {
                    // The response does not fit the request, or the request was not fully written
                    // yet: the connection can't be trusted any more.
                    connection.outstanding.insert(id, request);
                    return Err(RespError::Malformed);
                }
                // A response to a request that was cancelled or answered before, or that was never
                // sent.
                (None, _) => {}
            }
        }
        Ok(())
    }

    fn response_fits(&self, attempt: &OutstandingAttempt, response: &AttemptResponse) -> bool {
        let class = self.router.settings().classes.get(usize::from(attempt.class));
        let is_write = class.is_some_and(|class| class.write);
        endpoint::is_valid_response(response, attempt.revalidated_tag.as_deref(), is_write)
    }

    /// Writes the queued messages of a connection; does nothing until the connection is
    /// established.
    pub(super) fn write_queued(&mut self, token: ConnectionToken) {
        let Some(mut connection) = self.connections.take_endpoint(token) else { return };
        let action = if connection.is_established() {
            self.write_queue(token, &mut connection)
        } else {
            ConnectionAction::Keep
        };
        self.restore(token, ConnectionKind::Endpoint(connection), action);
    }

    fn write_queue(
        &mut self,
        token: ConnectionToken,
        connection: &mut EndpointConnection,
    ) -> ConnectionAction {
        // A leased quota may have expired while this process was paused, so the clock is read
        // again.
        let now = if self.uses_leased_quotas() { self.clock.now() } else { self.now };
        while let Some(message) = connection.queue.front() {
            if let Some(attempt) = message.unsent_attempt() {
                if !self.may_begin(&attempt, message.decided_at, now) {
                    self.withdraw_attempt(connection, attempt.id);
                    continue;
                }
            }
            let Some(message) = connection.queue.front_mut() else { break };
            let length_before = message.bytes.len();
            match connection.stream.write(&mut message.bytes, self.now) {
                Ok(true) => self.on_message_written(connection),
                Ok(false) => {
                    message.begun |= message.bytes.len() < length_before;
                    break;
                }
                Err(_) => return ConnectionAction::Close,
            }
        }
        let more_waits = !connection.queue.is_empty();
        self.set_write_interest(token, &mut connection.stream, more_waits);
        ConnectionAction::Keep
    }

    /// Called when the first message of the queue is fully written.
    fn on_message_written(&mut self, connection: &mut EndpointConnection) {
        let message = connection.queue.pop_front();
        connection.last_used = self.now;
        let Some(written) = message.and_then(|message| message.attempt) else { return };
        for request in connection.outstanding.values_mut() {
            let OutstandingRequest::Attempt(attempt) = request else { continue };
            if attempt.id == written.id {
                attempt.fully_written = true;
                self.router.count_event(attempt.class, CountedEvent::AttemptSent);
            }
        }
    }

    /// Called when a connection was closed: its outstanding attempts and probes fail.
    pub(crate) fn endpoint_connection_closed(
        &mut self,
        token: ConnectionToken,
        connection: EndpointConnection,
    ) {
        self.endpoints.connection_count -= 1;
        if let Some(pool) = self.endpoints.pools.get_mut(&connection.endpoint) {
            pool.tokens.retain(|other| *other != token);
        }
        let mut outstanding: Vec<(Vec<u8>, OutstandingRequest)> =
            connection.outstanding.into_iter().collect();
        // Inputs must come in the same order in every run; the order of a hash map varies.
        outstanding.sort_by(|left, right| left.0.cmp(&right.0));
        for (_, request) in outstanding {
            let input = match request {
                OutstandingRequest::Probe => Input::Probed(connection.endpoint, None),
                OutstandingRequest::Attempt(attempt) => {
                    self.endpoints.attempts.remove(&attempt.id);
                    Input::Failed(attempt.id, failure_on_close(&attempt, connection.connect_refused))
                }
            };
            self.pending_inputs.push_back(input);
        }
    }

    /// The periodic check of a connection: closes it if the endpoint has not accepted output for
    /// [`WRITE_TIMEOUT`], or if it is unused and is idle for too long, draining, never established
    /// or above the limit of descriptors.
    pub(crate) fn endpoint_housekeeping(&mut self, connection: &mut EndpointConnection) -> ConnectionAction {
        let endpoint_timeout = whole_micros(self.config.endpoint_idle_timeout) as f64;
        let idle_timeout = Duration::from_micros((endpoint_timeout * IDLE_TIMEOUT_FRACTION) as u64);
        let write_timed_out =
            connection.is_established() && connection.stream.write_timed_out(self.now, WRITE_TIMEOUT);
        let over_limit =
            self.handover.limits_shared && self.endpoints.connection_count > self.max_endpoint_connections();
        let is_dispensable = connection.draining
            || over_limit
            || connection.connects_longer_than(self.now, CONNECT_TIMEOUT)
            || self.now > connection.last_used + idle_timeout;
        if connection.is_unused() && is_dispensable || write_timed_out {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }
}

/// The failure reported for an attempt whose connection was closed before its response.
fn failure_on_close(attempt: &OutstandingAttempt, connect_refused: bool) -> AttemptFailure {
    if connect_refused {
        AttemptFailure::ConnectionRefused
    } else if attempt.fully_written {
        AttemptFailure::ConnectionLost
    } else {
        AttemptFailure::NotSent
    }
}
