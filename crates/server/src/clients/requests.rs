//! The commands of clients.

use super::connection::ClientConnection;
use super::input::HeldRequest;
use super::{BUFFER_PRESSURE_THRESHOLD, MAX_OPEN_REQUESTS};
use crate::event_loop::ConnectionToken;
use crate::Server;
use hollymux_protocol::client::{self, ClientCommand};
use hollymux_router::{ClientHandle, ClientRequest, Input, Reply};
use std::time::Duration;

/// A request that is cancelled within this time of its arrival counts as wasted.
const EARLY_CANCEL_TIME: Duration = Duration::from_millis(100);
/// Why a client connection must be closed after a command.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    /// Two responses with the same tag could not be told apart.
    #[error("the client used a tag twice")]
    TagUsedTwice,
}

impl Server {
    pub(super) fn on_command(
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
                    Ok(request) => self.on_request(connection, tag, request, body_dropped),
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
            connection.input.held_requests.push(HeldRequest { tag, request, received: self.now });
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
        if connection.input.withdraw(tag) {
            return;
        }
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
