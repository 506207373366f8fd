//! The state of one client connection, and how it is closed.

use super::input::InputProgress;
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
use rustix::event::epoll::EventFlags;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::time::Duration;

/// A connection without open requests is closed after this time. It is longer than the 4 s after
/// which clients close their idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time from the accept until the first message is complete, and from the first byte to the
/// last of each further message.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A connection is released only after it has been idle for this long. Otherwise the close would
/// regularly cross the next request of a client that sends it as soon as it has a response.
const RELEASE_PAUSE: Duration = Duration::from_millis(4);
/// A connection may be closed this long before its client has read everything: a client sends a
/// request again that crosses the close by 50 ms at most.
const CLOSE_CROSSING_TIME: Duration = Duration::from_millis(25);
/// Longest time that a client has to read the remaining responses and close its side, after the
/// router has shut down its own side.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Divisor of the write timeout while buffers are scarce: a client that doesn't read holds buffers
/// that others need.
const PRESSURE_TIMEOUT_DIVISOR: u32 = 8;

/// What a client connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// The first message is not complete; the connection was accepted at `since`.
    AwaitingFirstMessage { since: Timestamp },
    /// A further message has been incomplete since `since`.
    ReceivingMessage { since: Timestamp },
    /// The last message was complete, and no byte of another one has arrived.
    BetweenMessages,
    /// The router has been closing the connection since `since`: it is shut down for writing once
    /// its output is written, and whatever arrives is ignored.
    Closing { since: Timestamp },
}

/// A client connection with its open requests and its unwritten output.
pub(crate) struct ClientConnection {
    pub(crate) stream: Stream,
    pub(super) decoder: Decoder,
    /// Responses that are not written yet.
    pub(super) output: BufferChain,
    /// The time at which each open request was received, by the request's tag.
    pub(super) open_requests: BTreeMap<u64, Timestamp>,
    /// The tags that the client has used on this connection, as far as they are remembered; using one
    /// twice is an error.
    pub(super) tags: UsedTags,
    /// When bytes were last received or a response was last queued; initially the time of the
    /// accept.
    pub(super) last_used: Timestamp,
    pub(super) state: ClientState,
    /// The time since which the decoder has held the beginning of a request's body; `None` if it
    /// holds none.
    pub(super) body_incomplete_since: Option<Timestamp>,
    /// Number of wasted requests since the last response: see [`super::MAX_WASTED_REQUESTS`].
    pub(super) wasted_requests: u32,
    /// Whether the router has rejected a request because it is draining, so that the client knows
    /// that it must use another router.
    pub(super) rejected_while_draining: bool,
    /// Whether a timer for the connection's release is set.
    release_timer_set: bool,
    pub(super) input: InputProgress,
}

impl ClientConnection {
    pub(super) fn new(socket: TcpStream, buffers: &BufferPool, now: Timestamp) -> ClientConnection {
        let mut stream = Stream::new(socket, now);
        stream.interest |= EventFlags::RDHUP;
        ClientConnection {
            stream,
            decoder: client::decoder(buffers),
            output: buffers.chain(),
            open_requests: BTreeMap::new(),
            tags: UsedTags::default(),
            last_used: now,
            state: ClientState::AwaitingFirstMessage { since: now },
            body_incomplete_since: None,
            wasted_requests: 0,
            rejected_while_draining: false,
            release_timer_set: false,
            input: InputProgress::new(now),
        }
    }

    /// Whether no request is open and no output is unwritten.
    pub(super) fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.output.is_empty()
    }

    /// The time from which a client notices at once that its connection was closed; before that it
    /// still has responses to read, and would lose the requests that it sends meanwhile.
    pub(super) fn close_noticed_from(&self, now: Timestamp) -> Timestamp {
        self.stream.read_by(now) - CLOSE_CROSSING_TIME
    }

    pub(super) fn is_closing(&self) -> bool {
        matches!(self.state, ClientState::Closing { .. })
    }

    /// The time since which the first message has been incomplete; `None` once it is complete or
    /// the connection is closing.
    fn first_message_awaited_since(&self) -> Option<Timestamp> {
        match self.state {
            ClientState::AwaitingFirstMessage { since } => Some(since),
            _ => None,
        }
    }

    /// The time since which a message has been incomplete, the first one included; `None` between
    /// messages and while the connection is closing.
    fn message_awaited_since(&self) -> Option<Timestamp> {
        match self.state {
            ClientState::AwaitingFirstMessage { since } | ClientState::ReceivingMessage { since } => {
                Some(since)
            }
            ClientState::BetweenMessages | ClientState::Closing { .. } => None,
        }
    }

    /// Whether part of a message has arrived, or the kernel holds unread bytes that may be one.
    fn may_be_receiving(&self) -> bool {
        self.has_unread_bytes() || self.decoder.is_mid_frame()
    }

    /// Whether the kernel holds unread bytes for this connection.
    pub(super) fn has_unread_bytes(&self) -> bool {
        rustix::io::ioctl_fionread(&self.stream.socket).unwrap_or(0) > 0
    }

    /// Shuts the connection down for writing once its output is written; until then it only marks
    /// it as closing. Reads go on: closing the socket with unread bytes would reset the connection
    /// and lose responses that a slow reader has not taken yet.
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
    /// Closes a connection without open requests if the lifecycle does not let it stay open. Sets a
    /// timer instead if the connection has not been idle for [`RELEASE_PAUSE`] yet, or the client may
    /// not have read its responses.
    pub(super) fn release_if_idle(&mut self, token: ConnectionToken, connection: &mut ClientConnection) {
        if connection.is_closing() || !connection.is_idle() {
            return;
        }
        let first_awaited = connection.first_message_awaited_since();
        if self.lifecycle.keeps_idle_connection(self.now, first_awaited) {
            return;
        }
        let close_noticed_from = connection.close_noticed_from(self.now);
        let pause_ends = connection.last_used + RELEASE_PAUSE;
        // A client that keeps sending after a rejection never pauses, so the pause is not awaited.
        let release_at = if connection.rejected_while_draining {
            close_noticed_from
        } else {
            close_noticed_from.max(pause_ends)
        };
        if self.now < release_at {
            if !std::mem::replace(&mut connection.release_timer_set, true) {
                self.timers.set(release_at, Timer::ReleaseClient(token));
            }
        } else if !connection.may_be_receiving() {
            connection.shutdown_write(self.now);
        }
    }

    /// Called when the pause before a connection's release may be over.
    pub(crate) fn on_release_timer(&mut self, token: ConnectionToken) {
        if let Some(mut connection) = self.connections.take_client(token) {
            connection.release_timer_set = false;
            self.release_if_idle(token, &mut connection);
            self.restore(token, ConnectionKind::Client(connection), ConnectionAction::Keep);
        }
    }

    /// Closes a connection whose client has violated the protocol or timed out: its open requests
    /// are cancelled. Responses in transit still reach the client.
    pub(crate) fn begin_close(&mut self, token: ConnectionToken) {
        let Some(mut connection) = self.connections.take_client(token) else { return };
        connection.open_requests.clear();
        connection.input.held_requests.clear();
        self.withdraw_all(token);
        connection.shutdown_write(self.now);
        self.restore(token, ConnectionKind::Client(connection), ConnectionAction::Keep);
    }

    /// Cancels all open requests of a client connection.
    pub(crate) fn withdraw_all(&mut self, token: ConnectionToken) {
        let connection = token.as_u64();
        self.withdraw_pending_request(|client| client.conn == connection);
        self.pending_inputs.push_back(Input::ClientClosed(connection));
    }

    /// Whether any client connection has unwritten output, or requests that the router has not got.
    pub(crate) fn any_client_is_pending(&self) -> bool {
        self.connections.iter().any(|(_, connection)| match connection {
            ConnectionKind::Client(client) => {
                !client.output.is_empty() || !client.input.held_requests.is_empty()
            }
            _ => false,
        })
    }

    /// The periodic check of a client connection: releases it if it is idle and the lifecycle
    /// requires it, and closes it after a write, message, idle or close timeout.
    pub(crate) fn client_housekeeping(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
    ) -> ConnectionAction {
        self.release_if_idle(token, connection);
        // The kernel reports room only when a third of its buffer is free, which takes a slow reader
        // longer than the timeout; it takes bytes before that.
        if connection.stream.waiting_to_write {
            let action = self.flush_client(token, connection);
            if action == ConnectionAction::Close {
                return ConnectionAction::Close;
            }
        }
        let write_timeout = if self.buffers.is_fuller_than(BUFFER_PRESSURE_THRESHOLD) {
            WRITE_TIMEOUT / PRESSURE_TIMEOUT_DIVISOR
        } else {
            WRITE_TIMEOUT
        };
        if connection.stream.write_timed_out(self.now, write_timeout) {
            return ConnectionAction::Close;
        }
        if let ClientState::Closing { since } = connection.state {
            let end_read_at = connection.close_noticed_from(self.now).min(since + WRITE_TIMEOUT);
            let timed_out = self.now > since + CLOSE_TIMEOUT && self.now >= end_read_at;
            return if timed_out { ConnectionAction::Close } else { ConnectionAction::Keep };
        }
        let idle_timed_out = self.now > connection.last_used + IDLE_TIMEOUT;
        let awaited_since = connection.message_awaited_since();
        let message_timed_out = awaited_since.is_some_and(|since| self.now > since + MESSAGE_TIMEOUT);
        // A client that has sent part of a message may still be waiting for responses to earlier
        // requests.
        let timed_out = connection.is_idle() && (idle_timed_out || message_timed_out);
        let notices_close = self.now >= connection.close_noticed_from(self.now);
        if timed_out && notices_close && !connection.has_unread_bytes() {
            ConnectionAction::BeginClose
        } else {
            ConnectionAction::Keep
        }
    }
}
