//! The state of one client's connection, and how it is closed.

use super::BUFFER_PRESSURE_THRESHOLD;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer};
use crate::housekeeping::WRITE_TIMEOUT;
use crate::sockets::Stream;
use crate::Server;
use hollymux_decision::Timestamp;
use hollymux_protocol::client::{self, UsedTags};
use hollymux_protocol::resp::Decoder;
use hollymux_router::buffers::{BufferChain, BufferPool};
use hollymux_router::Input;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::time::Duration;

/// A connection with nothing open is closed after this long; the clients close theirs after 4 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// A connection may take this long until its first message is complete, and each further one once
/// it has begun.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A connection is released when nothing was on it for this long: a client that sends its next
/// request as soon as it has a response would otherwise meet the close each time.
const RELEASE_PAUSE: Duration = Duration::from_millis(4);
/// A client whose connection was shut down has this long to read what is on its way and to close
/// its side.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// While buffers are scarce the write timeout is divided by this: a client that doesn't read holds
/// buffers that others need.
const PRESSURE_TIMEOUT_DIVISOR: u32 = 8;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// Its first message is not complete.
    AwaitingFirstMessage { since: Timestamp },
    /// A further message has begun to arrive.
    ReceivingMessage { since: Timestamp },
    /// The last message was complete, and none has begun since.
    BetweenMessages,
    /// It is shut down for writing once its output is written; what arrives is ignored.
    Closing { since: Timestamp },
}

/// A client's connection.
pub(crate) struct ClientConnection {
    pub(crate) stream: Stream,
    pub(super) decoder: Decoder,
    pub(super) output: BufferChain,
    /// Tags of open requests, and when each was received.
    pub(super) open_requests: BTreeMap<u64, Timestamp>,
    pub(super) tags: UsedTags,
    /// When something was last received, or a response written.
    pub(super) last_used: Timestamp,
    pub(super) state: ClientState,
    /// Requests that a well-behaved client would not have sent, since the last response.
    pub(super) wasted_requests: u32,
    /// A request was rejected because the router drains: the client knows that it is to go
    /// elsewhere.
    pub(super) rejected_while_draining: bool,
}

impl ClientConnection {
    pub(super) fn new(socket: TcpStream, buffers: &BufferPool, now: Timestamp) -> ClientConnection {
        ClientConnection {
            stream: Stream::new(socket, now),
            decoder: client::decoder(buffers),
            output: buffers.chain(),
            open_requests: BTreeMap::new(),
            tags: UsedTags::default(),
            last_used: now,
            state: ClientState::AwaitingFirstMessage { since: now },
            wasted_requests: 0,
            rejected_while_draining: false,
        }
    }

    /// Whether no request is open and no output waits.
    pub(super) fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.output.is_empty()
    }

    pub(super) fn is_closing(&self) -> bool {
        matches!(self.state, ClientState::Closing { .. })
    }

    /// Since when its first message is awaited, if it is.
    fn first_message_awaited_since(&self) -> Option<Timestamp> {
        match self.state {
            ClientState::AwaitingFirstMessage { since } => Some(since),
            _ => None,
        }
    }

    /// Since when the rest of a message, or the first one, is awaited.
    fn message_awaited_since(&self) -> Option<Timestamp> {
        match self.state {
            ClientState::AwaitingFirstMessage { since } | ClientState::ReceivingMessage { since } => {
                Some(since)
            }
            ClientState::BetweenMessages | ClientState::Closing { .. } => None,
        }
    }

    /// A message has begun to arrive, or bytes wait to be read that may be one.
    fn may_be_receiving(&self) -> bool {
        self.has_unread_bytes() || self.decoder.is_mid_frame()
    }

    /// Whether the kernel holds bytes that were not read yet.
    pub(super) fn has_unread_bytes(&self) -> bool {
        rustix::io::ioctl_fionread(&self.stream.socket).unwrap_or(0) > 0
    }

    /// Closes its side once the output is written. A close with bytes unread would reset the
    /// connection, and responses with it that a slow reader has not taken yet; so what arrives is
    /// read to the end.
    pub(super) fn shutdown_write(&mut self, now: Timestamp) {
        if !self.is_closing() {
            self.state = ClientState::Closing { since: now };
        }
        if self.output.is_empty() {
            // An error means that the connection has ended already.
            let _shutdown = rustix::net::shutdown(&self.stream.socket, rustix::net::Shutdown::Write);
        }
    }
}

impl Server {
    /// Closes a connection on which nothing is open, if the lifecycle does not let it stay.
    pub(super) fn release_if_idle(&mut self, token: ConnectionToken, connection: &mut ClientConnection) {
        if connection.is_closing() || !connection.is_idle() {
            return;
        }
        let first_awaited = connection.first_message_awaited_since();
        if self.lifecycle.keeps_idle_connection(self.now, first_awaited) {
            return;
        }
        let pause_ends = connection.last_used + RELEASE_PAUSE;
        // A client that goes on sending although it was rejected makes no pause.
        if !connection.rejected_while_draining && self.now < pause_ends {
            self.timers.set(pause_ends, Timer::ReleaseClient(token));
        } else if !connection.may_be_receiving() {
            connection.shutdown_write(self.now);
        }
    }

    /// The pause after which a connection is released may be over.
    pub(crate) fn on_release_timer(&mut self, token: ConnectionToken) {
        if let Some(mut connection) = self.connections.take_client(token) {
            self.release_if_idle(token, &mut connection);
            self.restore(token, ConnectionKind::Client(connection), ConnectionAction::Keep);
        }
    }

    /// Ends a connection whose client has broken the protocol: what is open on it is cancelled.
    /// Responses that are on their way still reach the client.
    pub(crate) fn begin_close(&mut self, token: ConnectionToken) {
        let Some(mut connection) = self.connections.take_client(token) else { return };
        connection.open_requests.clear();
        self.withdraw_all(token);
        connection.shutdown_write(self.now);
        self.restore(token, ConnectionKind::Client(connection), ConnectionAction::Keep);
    }

    /// Cancels all requests of a connection.
    pub(crate) fn withdraw_all(&mut self, token: ConnectionToken) {
        let connection = token.as_u64();
        self.withdraw_pending_request(|client| client.conn == connection);
        self.pending_inputs.push_back(Input::ClientClosed(connection));
    }

    /// Whether output waits for any client.
    pub(crate) fn any_client_has_output(&self) -> bool {
        self.connections.iter().any(|(_, connection)| match connection {
            ConnectionKind::Client(client) => !client.output.is_empty(),
            _ => false,
        })
    }

    /// The periodic check of a client's connection.
    pub(crate) fn client_housekeeping(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
    ) -> ConnectionAction {
        self.release_if_idle(token, connection);
        let write_timeout = if self.buffers.is_fuller_than(BUFFER_PRESSURE_THRESHOLD) {
            WRITE_TIMEOUT / PRESSURE_TIMEOUT_DIVISOR
        } else {
            WRITE_TIMEOUT
        };
        if connection.stream.write_timed_out(self.now, write_timeout) {
            return ConnectionAction::Close;
        }
        if let ClientState::Closing { since } = connection.state {
            let timed_out = self.now > since + CLOSE_TIMEOUT;
            return if timed_out { ConnectionAction::Close } else { ConnectionAction::Keep };
        }
        let idle_timed_out = self.now > connection.last_used + IDLE_TIMEOUT;
        let awaited_since = connection.message_awaited_since();
        let message_timed_out = awaited_since.is_some_and(|since| self.now > since + MESSAGE_TIMEOUT);
        // A client that has sent half a message may still wait for responses.
        let timed_out = connection.is_idle() && (idle_timed_out || message_timed_out);
        if timed_out && !connection.has_unread_bytes() {
            ConnectionAction::BeginClose
        } else {
            ConnectionAction::Keep
        }
    }
}
