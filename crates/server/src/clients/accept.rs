//! Accepting clients, and closing an idle connection where descriptors are scarce.

use super::connection::{ClientConnection, ClientState};
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::server::RESERVED_DESCRIPTORS;
use crate::Server;
use hollymux_decision::Timestamp;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Connections accepted in a row.
const MAX_ACCEPTS_PER_EVENT: usize = 16;
/// A connection may be evicted only after it has been idle, or a message has been awaited, for this
/// long. A request that crosses the close is sent again by the client on a new connection.
const EVICTION_GRACE: Duration = Duration::from_millis(50);

/// The order in which connections are evicted, each variant with since when.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    Closing(Timestamp),
    AwaitingMessage(Timestamp),
    Idle(Timestamp),
}

impl Server {
    /// Clients wait to be accepted.
    pub(crate) fn on_accept(
        &mut self,
        token: ConnectionToken,
        listener: &mut TcpListener,
    ) -> ConnectionAction {
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            if !self.lifecycle.accepts(self.now) {
                break;
            }
            // A client without a free descriptor waits in the backlog.
            if self.client_count >= self.max_client_connections() && !self.evict_client() {
                self.pause_listener(token, listener);
                break;
            }
            if !self.accept(token, listener) {
                break;
            }
        }
        ConnectionAction::Keep
    }

    /// Accepts the clients that have connected by now, before the listener is closed: the close
    /// would reset their connections, and with them requests that are on their way.
    pub(crate) fn accept_last(&mut self) {
        let token = self.client_listener;
        let Some(ConnectionKind::Listener(mut listener)) = self.connections.take(token) else { return };
        while self.has_free_descriptor() {
            if !self.accept(token, &mut listener) {
                break;
            }
        }
        self.restore(token, ConnectionKind::Listener(listener), ConnectionAction::Keep);
    }

    fn has_free_descriptor(&self) -> bool {
        let used = self.client_count + self.endpoints.connection_count + RESERVED_DESCRIPTORS;
        used < self.max_descriptors()
    }

    /// Accepts one connection; returns whether there may be another one.
    fn accept(&mut self, token: ConnectionToken, listener: &mut TcpListener) -> bool {
        loop {
            match listener.accept() {
                Ok((socket, _)) => {
                    // One that can't be served is closed by being dropped.
                    if self.add_client(socket).is_ok() {
                        self.client_count += 1;
                    }
                    return true;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Err(_) => {
                    self.pause_listener(token, listener);
                    return false;
                }
            }
        }
    }

    fn add_client(&mut self, socket: TcpStream) -> io::Result<ConnectionToken> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let connection = ClientConnection::new(socket, &self.buffers, self.now);
        self.insert(ConnectionKind::Client(connection))
    }

    /// The number of descriptors for clients. The known clients hold a third of all at most; what
    /// is above that is for those that only occupy descriptors.
    pub(crate) fn max_client_connections(&self) -> usize {
        let descriptors = self.max_descriptors();
        let left = descriptors - self.max_endpoint_connections();
        left.saturating_sub(RESERVED_DESCRIPTORS).max(descriptors / 3)
    }

    /// Closes one connection to free its descriptor; returns whether there was one. A connection
    /// that is closing anyway goes first, then the one whose message has been awaited longest, then
    /// the one idle longest. One with unread bytes stays: they may be a request, and a close over
    /// them resets the connection.
    pub(crate) fn evict_client(&mut self) -> bool {
        let latest = self.now.saturating_sub(EVICTION_GRACE);
        let victim = self.connections.lowest_ranked(|connection| match connection {
            ConnectionKind::Client(client) => eviction_rank(client, latest),
            _ => None,
        });
        if let Some(token) = victim {
            self.close(token);
        }
        victim.is_some()
    }
}

/// How soon a connection is evicted; `None` if it may not be.
fn eviction_rank(client: &ClientConnection, latest: Timestamp) -> Option<EvictionRank> {
    if !client.is_idle() {
        return None;
    }
    let rank = match client.state {
        ClientState::Closing { since } => return Some(EvictionRank::Closing(since)),
        ClientState::AwaitingFirstMessage { since } | ClientState::ReceivingMessage { since } => {
            (since < latest).then_some(EvictionRank::AwaitingMessage(since))
        }
        ClientState::BetweenMessages => {
            (client.last_used < latest).then_some(EvictionRank::Idle(client.last_used))
        }
    };
    rank.filter(|_| !client.has_unread_bytes())
}
