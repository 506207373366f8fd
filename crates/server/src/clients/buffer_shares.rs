//! Enforcing what client connections may hold of the buffers: the beginnings of requests whose rest
//! has not arrived, and replies that are not read.

use super::ClientConnection;
use crate::event_loop::{ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_router::buffers::BufferUse;
use std::cmp::Reverse;
use tracing::debug;

/// Number of buffers that one read of a client connection may fill with the body of an incomplete
/// request.
const BUFFERS_PER_READ: usize = 2;

impl Server {
    /// Makes room for what one read may bring of an incomplete request: while there is none, the
    /// body that has been incomplete longest is dropped. Its request is rejected when it is
    /// complete; other clients notice nothing.
    pub(super) fn make_room_for_bodies(&mut self) {
        while !self.buffers.has_room(BUFFERS_PER_READ, BufferUse::IncompleteRequest) {
            let Some(token) = self.longest_incomplete_body() else { return };
            let Some(ConnectionKind::Client(client)) = self.connections.get_mut(token) else { return };
            client.decoder.drop_body();
            client.body_incomplete_since = None;
            debug!("dropped the body of an incomplete request, as buffers are scarce");
        }
    }

    fn longest_incomplete_body(&self) -> Option<ConnectionToken> {
        self.connections.lowest_ranked(|connection| client_of(connection)?.body_incomplete_since)
    }

    /// Closes client connections that don't read their replies while all of them together hold more
    /// control data than the pool allows, the one with most of it first.
    pub(crate) fn shed_unread_replies(&mut self) {
        let max_bytes = self.buffers.max_control_bytes();
        // What waits for endpoints is control data too, but no fault of the clients.
        while self.buffers.control_bytes() > max_bytes && self.unread_reply_bytes() > max_bytes {
            let Some(token) = self.most_unread_replies() else { return };
            debug!("closing the client connection with most unread replies");
            self.close(token);
        }
    }

    /// Number of bytes of control data that all client connections hold.
    fn unread_reply_bytes(&self) -> usize {
        let clients = self.connections.iter().filter_map(|(_, connection)| client_of(connection));
        clients.map(|client| client.output.control_bytes()).sum()
    }

    fn most_unread_replies(&self) -> Option<ConnectionToken> {
        self.connections.lowest_ranked(|connection| {
            let unread = client_of(connection)?.output.control_bytes();
            (unread > 0).then_some(Reverse(unread))
        })
    }
}

fn client_of(connection: &ConnectionKind) -> Option<&ClientConnection> {
    match connection {
        ConnectionKind::Client(client) => Some(client),
        _ => None,
    }
}
