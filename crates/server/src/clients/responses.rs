//! Encoding the router's replies and writing them to clients.

use super::connection::ClientConnection;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_protocol::client;
use hollymux_router::{ClientHandle, Input, Reply};

/// Largest fraction of all buffers that the unwritten output of one connection may fill.
const MAX_OUTPUT_SHARE: f64 = 0.25;

impl Server {
    /// Whether the unwritten output of a connection exceeds its share of the buffers.
    pub(super) fn has_too_much_output(&self, connection: &ClientConnection) -> bool {
        connection.output.len() as f64 > self.buffers.limit_bytes() as f64 * MAX_OUTPUT_SHARE
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
        let action = if self.has_too_much_output(&connection) {
            ConnectionAction::Close
        } else {
            self.flush(token, &mut connection.stream, &mut connection.output)
        };
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
