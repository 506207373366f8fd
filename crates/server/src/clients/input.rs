//! Reading client connections. In each turn of the event loop every connection gets a share of the
//! reading, however much its client sends. Requests are held back until what is behind them has been
//! read as well, as that may be their cancel or the end of the connection, and are given to the
//! router at the end of the turn.

use super::connection::{ClientConnection, ClientState};
use super::requests::CommandError;
use super::MAX_WASTED_REQUESTS;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer};
use crate::Server;
use hollymux_decision::Timestamp;
use hollymux_protocol::client;
use hollymux_router::buffers::BUFFER_BYTES;
use hollymux_router::{ClientHandle, ClientRequest, Input};
use rustix::event::epoll::EventFlags;
use std::collections::VecDeque;
use std::time::Duration;

/// Size of a read outside of bodies, in bytes: what one read brings is handled to its end, so it must
/// not hold many more commands than [`TURN_SHARE`].
const COMMAND_READ_BYTES: usize = 2 << 10;
/// What is read of one connection in one turn: more than the requests that may be open, or 1 MB.
const TURN_SHARE: ReadLimit = ReadLimit { reads: 64, commands: 64 };
/// What is read at most to learn whether a client has left.
const LEFT_CHECK: ReadLimit = ReadLimit { reads: 256, commands: 1_024 };
/// For this long after it has used up its share, a connection is read only at the end of the turn.
const BUSY_PERIOD: Duration = Duration::from_millis(100);
/// Longest time in one turn for reading connections at its end.
const MAX_READ_ON_TIME: Duration = Duration::from_millis(4);
/// Longest time for which a request is held back because there is more to read behind it: enough to
/// read what the kernel's buffers hold of a connection.
const MAX_HOLD_TIME: Duration = Duration::from_millis(250);
/// Longest time for which a request is held back because the message behind it is incomplete.
const MAX_INCOMPLETE_HOLD_TIME: Duration = Duration::from_millis(10);
/// A connection that was read longer ago is read again before its requests are given to the router.
const MAX_READ_AGE: Duration = Duration::from_millis(5);

/// How much may be read of a connection.
#[derive(Clone, Copy)]
struct ReadLimit {
    reads: usize,
    commands: usize,
}

/// A request that was read but is not given to the router yet.
pub(super) struct HeldRequest {
    pub(super) tag: u64,
    pub(super) request: ClientRequest,
    pub(super) received: Timestamp,
}

/// How far a connection has been read.
pub(super) struct InputProgress {
    /// Whether the kernel may hold more, as reading has stopped before it had nothing left.
    has_more: bool,
    /// Until when the connection is read only at the end of a turn, by [`Server::serve_busy_clients`].
    busy_until: Timestamp,
    /// When the connection was last read.
    read_at: Timestamp,
    /// Requests that are held back, in the order of their arrival.
    pub(super) held_requests: Vec<HeldRequest>,
    /// Whether the connection is in [`Server::busy_clients`].
    is_queued: bool,
    /// Whether a timer for the held requests is set.
    hold_timer_set: bool,
}

impl InputProgress {
    pub(super) fn new(now: Timestamp) -> InputProgress {
        InputProgress {
            has_more: false,
            busy_until: now,
            read_at: now,
            held_requests: Vec::new(),
            is_queued: false,
            hold_timer_set: false,
        }
    }

    /// Removes a held request that its client has cancelled. Returns whether there was one.
    pub(super) fn withdraw(&mut self, tag: u64) -> bool {
        let before = self.held_requests.len();
        self.held_requests.retain(|held| held.tag != tag);
        before != self.held_requests.len()
    }
}

impl ClientConnection {
    /// The time until which the held requests wait for what is behind them; `None` if nothing is.
    fn held_until(&self) -> Option<Timestamp> {
        let first = self.input.held_requests.first()?;
        match self.state {
            _ if self.input.has_more => Some(first.received + MAX_HOLD_TIME),
            ClientState::ReceivingMessage { since } => Some(since + MAX_INCOMPLETE_HOLD_TIME),
            _ => None,
        }
    }

    /// Size of the next read. A body holds no commands.
    fn read_bytes(&self) -> usize {
        if self.decoder.is_in_body() {
            BUFFER_BYTES
        } else {
            COMMAND_READ_BYTES
        }
    }
}

impl Server {
    /// Handles epoll events of a client connection.
    pub(crate) fn on_client(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
        flags: EventFlags,
    ) -> ConnectionAction {
        if flags.contains(EventFlags::OUT) {
            let action = self.flush_client(token, connection);
            if action == ConnectionAction::Close {
                return ConnectionAction::Close;
            }
        }
        // Nothing is owed to a client that has closed its side, whatever it sent before.
        if flags.contains(EventFlags::RDHUP) {
            return ConnectionAction::Close;
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return ConnectionAction::Keep;
        }
        if self.now < connection.input.busy_until {
            connection.input.has_more = true;
            self.queue_client(token, connection);
            return ConnectionAction::Keep;
        }
        self.read_client(token, connection, TURN_SHARE)
    }

    /// Whether a client has cancelled a request or closed its connection. Bytes that have already
    /// arrived are read and handled first. A client that has sent too much for that counts as gone.
    pub(crate) fn client_has_left(&mut self, client: ClientHandle) -> bool {
        let token = ConnectionToken::from_u64(client.conn);
        if !self.connections.is_open(token) {
            return true;
        }
        // A handler has taken the connection out, and has just read it.
        let Some(mut connection) = self.connections.take_client(token) else { return false };
        let action = if connection.stream.peer_has_closed() {
            ConnectionAction::Close
        } else {
            self.read_client(token, &mut connection, LEFT_CHECK)
        };
        let has_left = !connection.open_requests.contains_key(&client.tag) || connection.input.has_more;
        self.restore(token, ConnectionKind::Client(connection), action);
        has_left || action != ConnectionAction::Keep
    }

    /// Reads a connection up to a limit, and writes the replies to its commands.
    fn read_client(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
        limit: ReadLimit,
    ) -> ConnectionAction {
        connection.input.read_at = self.now;
        let mut buffer = std::mem::take(&mut self.read_buffer);
        buffer.resize(BUFFER_BYTES, 0);
        let mut action = self.read_commands(token, connection, limit, &mut buffer);
        self.read_buffer = buffer;
        if action != ConnectionAction::Close && !connection.output.is_empty() {
            let written = self.flush_client(token, connection);
            if written == ConnectionAction::Close {
                action = written;
            }
        }
        // Elsewhere, a connection is released after a reply of the router, but rejections are
        // written without one. A client that keeps sending would then be released only if
        // housekeeping happened to run in a pause.
        if connection.rejected_while_draining {
            self.release_if_idle(token, connection);
        }
        if connection.input.has_more {
            connection.input.busy_until = self.now + BUSY_PERIOD;
        }
        if connection.input.has_more || !connection.input.held_requests.is_empty() {
            self.queue_client(token, connection);
        }
        action
    }

    fn read_commands(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
        limit: ReadLimit,
        buffer: &mut [u8],
    ) -> ConnectionAction {
        let mut commands = 0;
        connection.input.has_more = true;
        for _ in 0..limit.reads {
            let bytes = connection.read_bytes();
            match connection.stream.read(&mut buffer[..bytes]) {
                Ok(Some(0)) | Err(_) => return ConnectionAction::Close,
                Ok(Some(length)) => {
                    let action = self.on_client_bytes(token, connection, &buffer[..length], &mut commands);
                    if action != ConnectionAction::Keep {
                        return action;
                    }
                }
                Ok(None) => {
                    connection.input.has_more = false;
                    return ConnectionAction::Keep;
                }
            }
            if commands >= limit.commands {
                return ConnectionAction::Keep;
            }
        }
        ConnectionAction::Keep
    }

    /// Handles received bytes, and counts the commands in them.
    fn on_client_bytes(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
        mut bytes: &[u8],
        commands: &mut usize,
    ) -> ConnectionAction {
        if connection.is_closing() {
            return ConnectionAction::Keep;
        }
        connection.last_used = self.now;
        self.make_room_for_bodies();
        loop {
            let command = match connection.decoder.feed(&mut bytes) {
                Ok(None) => {
                    self.on_input_consumed(connection);
                    return ConnectionAction::Keep;
                }
                Ok(Some(frame)) => client::parse_command(frame),
                Err(error) => Err(error),
            };
            *commands += 1;
            connection.state = ClientState::BetweenMessages;
            connection.body_incomplete_since = None;
            let Ok(command) = command else { return ConnectionAction::BeginClose };
            match self.on_command(token, connection, command) {
                Ok(()) => {}
                Err(CommandError::TagUsedTwice) => return ConnectionAction::BeginClose,
            }
            if connection.wasted_requests > MAX_WASTED_REQUESTS {
                return ConnectionAction::Close;
            }
        }
    }

    /// Called when all complete messages of the received bytes are handled.
    fn on_input_consumed(&mut self, connection: &mut ClientConnection) {
        if connection.decoder.is_mid_frame() && connection.state == ClientState::BetweenMessages {
            connection.state = ClientState::ReceivingMessage { since: self.now };
        }
        if connection.decoder.holds_body() {
            connection.body_incomplete_since.get_or_insert(self.now);
        }
    }

    /// Has a connection served at the end of the turn.
    fn queue_client(&mut self, token: ConnectionToken, connection: &mut ClientConnection) {
        if !std::mem::replace(&mut connection.input.is_queued, true) {
            self.busy_clients.push_back(token);
        }
    }

    /// Serves the clients that have more to read or requests held back: reads on for a limited time,
    /// each connection in turn, and gives the router the requests behind which nothing is left.
    pub(crate) fn serve_busy_clients(&mut self) {
        let read_on_until = self.clock.now() + MAX_READ_ON_TIME;
        let mut first_in_next_turn = VecDeque::new();
        for token in std::mem::take(&mut self.busy_clients) {
            let Some(mut connection) = self.connections.take_client(token) else { continue };
            self.now = self.clock.now();
            connection.input.is_queued = false;
            let may_read_on = self.now < read_on_until;
            if connection.input.has_more && !may_read_on {
                connection.input.is_queued = true;
                first_in_next_turn.push_back(token);
            }
            let action = self.serve_busy_client(token, &mut connection, may_read_on);
            self.restore(token, ConnectionKind::Client(connection), action);
            self.execute_pending();
            self.shed_unread_replies();
        }
        first_in_next_turn.append(&mut self.busy_clients);
        self.busy_clients = first_in_next_turn;
    }

    fn serve_busy_client(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
        may_read_on: bool,
    ) -> ConnectionAction {
        let is_outdated = self.now > connection.input.read_at + MAX_READ_AGE;
        let reads_on = if connection.input.has_more { may_read_on } else { is_outdated };
        if reads_on {
            let action = self.read_client(token, connection, TURN_SHARE);
            if action != ConnectionAction::Keep {
                return action;
            }
        }
        match connection.held_until() {
            Some(until) if self.now < until => self.wait_for_more(token, connection, until),
            _ => self.release_requests(token, connection),
        }
        if connection.input.has_more {
            self.queue_client(token, connection);
        }
        ConnectionAction::Keep
    }

    /// Has the held requests of a connection checked again, at `until` if nothing arrives before.
    fn wait_for_more(&mut self, token: ConnectionToken, connection: &mut ClientConnection, until: Timestamp) {
        if !connection.input.has_more && !std::mem::replace(&mut connection.input.hold_timer_set, true) {
            self.timers.set(until, Timer::HeldRequests(token));
        }
    }

    /// Called when a message that is incomplete behind held requests has been waited for.
    pub(crate) fn on_held_requests_timer(&mut self, token: ConnectionToken) {
        let Some(mut connection) = self.connections.take_client(token) else { return };
        connection.input.hold_timer_set = false;
        self.queue_client(token, &mut connection);
        self.restore(token, ConnectionKind::Client(connection), ConnectionAction::Keep);
    }

    /// Gives the held requests of a connection to the router. The time for which they were held back
    /// counts as theirs.
    fn release_requests(&mut self, token: ConnectionToken, connection: &mut ClientConnection) {
        for HeldRequest { tag, mut request, received } in connection.input.held_requests.drain(..) {
            let held_millis = self.now.saturating_duration_since(received).as_millis() as u64;
            request.timeout_ms = request.timeout_ms.saturating_sub(held_millis).max(1);
            let client = ClientHandle { conn: token.as_u64(), tag };
            self.pending_inputs.push_back(Input::Request(client, request));
        }
    }

    /// Gives the held requests of all connections to the router.
    pub(crate) fn release_all_requests(&mut self) {
        let tokens: Vec<ConnectionToken> = self.connections.iter().map(|(token, _)| token).collect();
        for token in tokens {
            let Some(mut connection) = self.connections.take(token) else { continue };
            if let ConnectionKind::Client(client) = &mut connection {
                self.release_requests(token, client);
            }
            self.restore(token, connection, ConnectionAction::Keep);
        }
    }
}
