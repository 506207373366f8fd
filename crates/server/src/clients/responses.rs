//! Encoding the router's replies and writing them to clients.

use super::connection::ClientConnection;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_decision::RequestId;
use hollymux_protocol::client;
use hollymux_router::{AttemptResponse, ClientHandle, Input, Reply};

impl Server {
    /// Drops the body of a response if its client has too much to read already. The request is then
    /// closed without the body; its connection and the other requests on it stay as they are.
    pub(crate) fn drop_undeliverable_body(&self, input: Input) -> Input {
        match input {
            Input::Responded(attempt, AttemptResponse::Data(_, body), cache_status)
                if !self.is_deliverable(attempt.request, body.len()) =>
            {
                let bytes = body.len();
                Input::Responded(attempt, AttemptResponse::Undeliverable { bytes }, cache_status)
            }
            input => input,
        }
    }

    /// Whether the client of a request may get a body of this size. One that has read all of its
    /// earlier replies may.
    fn is_deliverable(&self, request: RequestId, body_bytes: usize) -> bool {
        let Some(client) = self.router.waiting_client(request) else { return true };
        match self.connections.get(ConnectionToken::from_u64(client.conn)) {
            Some(ConnectionKind::Client(connection)) => {
                let unread = connection.output.len();
                unread == 0 || self.buffers.may_hold_unread(unread + body_bytes)
            }
            _ => true,
        }
    }

    /// Writes as much of a connection's output as the kernel accepts. Behind the last of it, a connection
    /// that is closing is shut down.
    pub(super) fn flush_client(
        &mut self,
        token: ConnectionToken,
        connection: &mut ClientConnection,
    ) -> ConnectionAction {
        let action = self.flush(token, &mut connection.stream, &mut connection.output);
        if action == ConnectionAction::Keep && connection.is_closing() {
            connection.shutdown_write(self.now);
        }
        action
    }

    /// Writes a final reply to its client. Drops it if the connection is closed.
    pub(crate) fn reply_to_client(&mut self, client: ClientHandle, reply: Reply) {
        let token = ConnectionToken::from_u64(client.conn);
        let Some(mut connection) = self.connections.take_client(token) else { return };
        if connection.open_requests.remove(&client.tag).is_none() {
            self.check_cancel_pending(client);
            return self.restore(token, ConnectionKind::Client(connection), ConnectionAction::Keep);
        }
        connection.last_used = self.now;
        connection.wasted_requests = 0;
        client::encode_reply(&mut connection.output, client.tag, reply);
        let action = self.flush_client(token, &mut connection);
        self.release_if_idle(token, &mut connection);
        self.restore(token, ConnectionKind::Client(connection), action);
    }

    /// Counts an invariant violation for a reply to a request that is not open, unless the client's
    /// cancel is still on its way to the router: without a cancel it would be a second reply.
    fn check_cancel_pending(&mut self, client: ClientHandle) {
        let is_cancel = |input: &Input| matches!(input, Input::Cancel(cancelled) if *cancelled == client);
        if !self.pending_inputs.iter().any(is_cancel) {
            self.router.counters.invariant_violations += 1;
            debug_assert!(false, "the router replied to a request that is not open and was not cancelled");
        }
    }
}
