//! Accepting client connections, and evicting idle ones when descriptors are scarce.

use super::connection::{ClientConnection, ClientState};
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::server::RESERVED_DESCRIPTORS;
use crate::Server;
use hollymux_decision::Timestamp;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Maximum number of connections accepted for one event of a listener.
const MAX_ACCEPTS_PER_EVENT: usize = 16;
/// Shortest time that a connection must have been idle, or waiting for the rest of a message,
/// before it may be evicted. A request in transit during the close is sent again by the client on a
/// new connection.
const EVICTION_GRACE: Duration = Duration::from_millis(50);

/// The order in which connections are evicted: by variant, then longest-standing first. Each
/// variant holds the time since which the connection has been in that state.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    Closing(Timestamp),
    AwaitingMessage(Timestamp),
    Idle(Timestamp),
}

impl Server {
    /// Accepts clients that wait at the client listener.
    pub(crate) fn on_accept(
        &mut self,
        token: ConnectionToken,
        listener: &mut TcpListener,
    ) -> ConnectionAction {
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            if !self.lifecycle.accepts_connections(self.now) {
                break;
            }
            // Without a free descriptor, the client stays in the listener's backlog.
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

    /// Accepts the clients that have connected so far, before the listener is closed: closing it
    /// would reset their connections and lose requests in transit.
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

    /// Whether a descriptor is free for one more connection, whatever the split between clients and
    /// endpoints.
    fn has_free_descriptor(&self) -> bool {
        let used = self.client_count + self.endpoints.connection_count + RESERVED_DESCRIPTORS;
        used < self.max_descriptors()
    }

    /// Accepts one connection. Returns false if none is waiting or accepting failed; after a
    /// failure the listener is paused.
    fn accept(&mut self, token: ConnectionToken, listener: &mut TcpListener) -> bool {
        loop {
            match listener.accept() {
                Ok((socket, _)) => {
                    // A socket that can't be registered is dropped, which closes it.
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

    /// Maximum number of descriptors for client connections: those left by the endpoints and the
    /// reserved ones, and at least a third of all. Well-behaved clients need at most a third; the
    /// rest is room for clients that only occupy descriptors. A process that was replaced admits none
    /// beyond those that it has.
    pub(crate) fn max_client_connections(&self) -> usize {
        if self.keeps_only_its_connections() {
            return self.client_count;
        }
        let descriptors = self.max_descriptors();
        let left = descriptors - self.max_endpoint_connections();
        left.saturating_sub(RESERVED_DESCRIPTORS).max(descriptors / 3)
    }

    /// Closes one client connection to free its descriptor. Returns false if none may be evicted. A
    /// connection that is already being closed goes first, then the one whose message has been
    /// incomplete longest, then the one idle longest. A connection with unread bytes is kept: they
    /// may be a request, and closing the socket with unread bytes resets the connection.
    pub(crate) fn evict_client(&mut self) -> bool {
        let latest = self.now.saturating_sub(EVICTION_GRACE);
        let victim = self.connections.lowest_ranked(|connection| match connection {
            ConnectionKind::Client(client) => eviction_rank(client, self.now, latest),
            _ => None,
        });
        if let Some(token) = victim {
            self.close(token);
        }
        victim.is_some()
    }
}

/// The eviction rank of a connection; `None` if it may not be evicted. `latest` is the time since
/// which a connection must have been idle or waiting for a message.
fn eviction_rank(client: &ClientConnection, now: Timestamp, latest: Timestamp) -> Option<EvictionRank> {
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
    rank.filter(|_| now >= client.close_noticed_from(now) && !client.has_unread_bytes())
}
