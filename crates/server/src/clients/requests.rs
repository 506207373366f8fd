//! Reading the commands of clients and handing their requests to the router.

use super::connection::{ClientConnection, ClientState};
use super::{BUFFER_PRESSURE_THRESHOLD, MAX_OPEN_REQUESTS, MAX_WASTED_REQUESTS};
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_protocol::client::{self, ClientCommand};
use hollymux_router::{ClientHandle, ClientRequest, Input, Reply};
use rustix::event::epoll::EventFlags;
use std::time::Duration;

/// A request that is cancelled within this time of its arrival counts as wasted.
const EARLY_CANCEL_TIME: Duration = Duration::from_millis(100);
/// Maximum number of reads of one client connection for one event: enough for all requests that may
/// be open or wasted, at the largest size. A request is handed on only after everything behind it
/// has been read, as that may contain its cancel.
const MAX_CLIENT_READS_PER_EVENT: usize = (MAX_OPEN_REQUESTS + MAX_WASTED_REQUESTS as usize) * 3;

/// Why a client connection must be closed after a command.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// Two responses with the same tag could not be told apart.
    #[error("the client used a tag twice")]
    TagUsedTwice,
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
            let action = self.flush(token, &mut connection.stream, &mut connection.output);
            if action == ConnectionAction::Close {
                return ConnectionAction::Close;
            }
            if connection.is_closing() {
                connection.shutdown_write(self.now);
            }
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return ConnectionAction::Keep;
        }
        self.read_from(
            connection,
            MAX_CLIENT_READS_PER_EVENT,
            |connection| &mut connection.stream,
            |server, connection, bytes| server.on_client_bytes(token, connection, bytes),
        )
    }

    /// Whether a client has cancelled a request or closed its connection. Bytes that have already
    /// arrived are read and handled first.
    pub(crate) fn client_has_left(&mut self, client: ClientHandle) -> bool {
        let token = ConnectionToken::from_u64(client.conn);
        if !self.connections.is_open(token) {
            return true;
        }
        // A handler has taken the connection out, and has just read it.
        let Some(mut connection) = self.connections.take_client(token) else { return false };
        let action = self.on_client(token, &mut connection, EventFlags::IN);
        let has_left = !connection.open_requests.contains_key(&client.tag);
        self.restore(token, ConnectionKind::Client(connection), action);
        has_left || action != ConnectionAction::Keep
    }

    fn on_client_bytes(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
        mut bytes: &[u8],
    ) -> ConnectionAction {
        if connection.is_closing() {
            return ConnectionAction::Keep;
        }
        connection.last_used = self.now;
        self.make_room_for_bodies();
        loop {
            let command = match connection.decoder.feed(&mut bytes) {
                Ok(None) => {
                    self.on_input_consumed(token, connection);
                    return ConnectionAction::Keep;
                }
                Ok(Some(frame)) => client::parse_command(frame),
                Err(error) => Err(error),
            };
            connection.state = ClientState::BetweenMessages;
            connection.body_incomplete_since = None;
            let Ok(command) = command else { return ConnectionAction::BeginClose };
            match self.on_command(token, connection, command) {
                Ok(()) => {}
                Err(CommandError::TagUsedTwice) => return ConnectionAction::BeginClose,
            }
            let too_many_wasted = connection.wasted_requests > MAX_WASTED_REQUESTS;
            if too_many_wasted || self.has_too_much_output(connection) {
                return ConnectionAction::Close;
            }
            let action = self.flush(token, &mut connection.stream, &mut connection.output);
            if action == ConnectionAction::Close {
                return ConnectionAction::Close;
            }
        }
    }

    /// Called when all complete messages of the received bytes are handled.
    fn on_input_consumed(&mut self, token: ConnectionToken, connection: &mut ClientConnection) {
        if connection.decoder.is_mid_frame() && connection.state == ClientState::BetweenMessages {
            connection.state = ClientState::ReceivingMessage { since: self.now };
        }
        if connection.decoder.holds_body() {
            connection.body_incomplete_since.get_or_insert(self.now);
        }
        // Elsewhere, a connection is released after a reply of the router, but rejections are
        // written without one. A client that keeps sending would then be released only if
        // housekeeping happened to run in a pause.
        if connection.rejected_while_draining {
            self.release_if_idle(token, connection);
        }
    }

    fn on_command(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
        command: ClientCommand,
    ) -> Result<(), CommandError> {
        match command {
            ClientCommand::Ping { tag } => {
                client::encode_ping_response(&mut connection.output, tag, self.lifecycle.is_ready());
                Ok(())
            }
            ClientCommand::Request { tag, request, body_dropped } => {
                if connection.open_requests.contains_key(&tag) || !connection.tags.insert(tag) {
                    return Err(CommandError::TagUsedTwice);
                }
                match request {
                    Ok(request) => self.on_request(token, connection, tag, request, body_dropped),
                    Err(invalid) => {
                        self.router.count_invalid_request(&invalid.class);
                        client::encode_reply(&mut connection.output, tag, Reply::Failed);
                    }
                }
                Ok(())
            }
            ClientCommand::Cancel { tag } => {
                self.on_cancel(token, connection, tag);
                Ok(())
            }
        }
    }

    fn on_request(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
        tag: u64,
        request: ClientRequest,
        body_dropped: bool,
    ) {
        let too_many_open = connection.open_requests.len() >= MAX_OPEN_REQUESTS;
        let buffers_scarce = body_dropped || self.buffers.is_fuller_than(BUFFER_PRESSURE_THRESHOLD);
        let is_served = self.lifecycle.serves_requests(self.now, self.longest_deadline());
        if !too_many_open && !buffers_scarce && is_served {
            connection.open_requests.insert(tag, self.now);
            let request = self.limit_timeout(request);
            let client = ClientHandle { conn: token.as_u64(), tag };
            self.pending_inputs.push_back(Input::Request(client, request));
            return;
        }
        connection.rejected_while_draining = !is_served;
        connection.wasted_requests += u32::from(too_many_open);
        if let Some(command) = self.router.reject_unopened(self.now, &request) {
            self.execute(command);
        }
        let retry_after_millis = self.router.settings().max_retry_after.as_millis() as u64;
        client::encode_reply(&mut connection.output, tag, Reply::Rejected(retry_after_millis));
    }

    fn on_cancel(&mut self, token: ConnectionToken, connection: &mut ClientConnection, tag: u64) {
        let Some(received) = connection.open_requests.remove(&tag) else { return };
        let cancelled_early = self.now < received + EARLY_CANCEL_TIME;
        connection.wasted_requests += u32::from(cancelled_early);
        let client = ClientHandle { conn: token.as_u64(), tag };
        if !self.withdraw_pending_request(|pending| pending == client) {
            self.pending_inputs.push_back(Input::Cancel(client));
        }
    }

    /// Limits the time budget of a request to the time that this process has left before it is
    /// killed.
    fn limit_timeout(&self, mut request: ClientRequest) -> ClientRequest {
        if let Some(ends_by) = self.lifecycle.ends_by(self.longest_deadline()) {
            let left_millis = ends_by.saturating_duration_since(self.now).as_millis() as u64;
            request.timeout_ms = request.timeout_ms.min(left_millis).max(1);
        }
        request
    }

    /// Drops the wanted requests that were read but not given to the router yet, so that nothing is
    /// sent for them. Returns whether there was one.
    pub(super) fn withdraw_pending_request(&mut self, is_wanted: impl Fn(ClientHandle) -> bool) -> bool {
        let before = self.pending_inputs.len();
        let keeps = |input: &Input| !matches!(input, Input::Request(client, _) if is_wanted(*client));
        self.pending_inputs.retain(keeps);
        before != self.pending_inputs.len()
    }
}
