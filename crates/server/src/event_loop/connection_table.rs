//! The table that owns every descriptor registered with epoll. A token names a slot and its
//! generation, so that a late event of a descriptor closed in the meantime finds no connection.

use crate::admin::AdminConnection;
use crate::clients::ClientConnection;
use crate::dns::DnsConnection;
use crate::endpoints::EndpointConnection;
use crate::feed::FeedConnection;
use crate::handover::HandoverPeer;
use rustix::fd::{AsFd, BorrowedFd};
use std::net::{TcpListener, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};

/// Identifies a connection: the slot in the low 32 bits, the slot's generation in the high 32 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionToken(u64);

impl ConnectionToken {
    fn new(generation: u32, slot: u32) -> ConnectionToken {
        ConnectionToken(u64::from(generation) << 32 | u64::from(slot))
    }

    /// The inverse of [`ConnectionToken::as_u64`].
    pub(crate) fn from_u64(number: u64) -> ConnectionToken {
        ConnectionToken(number)
    }

    /// The token as a number: the user data of epoll events, and the id by which the router knows a
    /// client connection.
    pub(crate) fn as_u64(self) -> u64 {
        self.0
    }

    fn slot(self) -> u32 {
        (self.0 & u64::from(u32::MAX)) as u32
    }

    fn generation(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// A registered descriptor with its purpose and state.
pub(crate) enum ConnectionKind {
    /// The socket on which client connections are accepted.
    Listener(TcpListener),
    /// A pipe that becomes readable when the process receives this signal.
    Signal { pipe: UnixStream, signal: i32 },
    /// A connection on which a client sends requests.
    Client(ClientConnection),
    /// A connection on which attempts are sent to an endpoint.
    Endpoint(EndpointConnection),
    /// The connection to the endpoint feed.
    Feed(FeedConnection),
    /// DNS queries over UDP.
    DnsUdp(UdpSocket),
    /// The listener for DNS queries over TCP.
    DnsListener(TcpListener),
    /// A connection with DNS queries over TCP.
    DnsTcp(DnsConnection),
    /// The socket for the lookups of a router that routes by another router's DNS answers.
    Resolver(UdpSocket),
    /// The listener of the admin endpoint.
    AdminListener(TcpListener),
    /// A connection to the admin endpoint.
    Admin(AdminConnection),
    /// The socket to which a successor process connects.
    Rendezvous(UnixListener),
    /// The connection to the process that replaces this one.
    Successor(HandoverPeer),
    /// The connection to the process that this one replaces.
    Predecessor(HandoverPeer),
    /// The socket for the datagrams of the cluster.
    Cluster(UdpSocket),
}

impl AsFd for ConnectionKind {
    fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            ConnectionKind::Listener(listener) => listener.as_fd(),
            ConnectionKind::Signal { pipe, .. } => pipe.as_fd(),
            ConnectionKind::Client(connection) => connection.stream.socket.as_fd(),
            ConnectionKind::Endpoint(connection) => connection.stream.socket.as_fd(),
            ConnectionKind::Feed(connection) => connection.stream.socket.as_fd(),
            ConnectionKind::DnsUdp(socket) => socket.as_fd(),
            ConnectionKind::DnsListener(listener) => listener.as_fd(),
            ConnectionKind::DnsTcp(connection) => connection.stream.socket.as_fd(),
            ConnectionKind::Resolver(socket) => socket.as_fd(),
            ConnectionKind::AdminListener(listener) => listener.as_fd(),
            ConnectionKind::Admin(connection) => connection.stream.socket.as_fd(),
            ConnectionKind::Rendezvous(listener) => listener.as_fd(),
            ConnectionKind::Successor(peer) => peer.stream.socket.as_fd(),
            ConnectionKind::Predecessor(peer) => peer.stream.socket.as_fd(),
            ConnectionKind::Cluster(socket) => socket.as_fd(),
        }
    }
}

/// A slot of the connection table.
struct ConnectionSlot {
    /// The number of connections that the slot has held before, wrapping around.
    generation: u32,
    /// The connection; `None` if the slot is free or reserved, or while a handler has taken it out.
    connection: Option<ConnectionKind>,
}

/// All registered connections by token.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    slots: Vec<ConnectionSlot>,
    /// The indices of free slots; the one freed last is reused first.
    free: Vec<u32>,
}

impl ConnectionTable {
    /// Reserves a slot, which is empty until it is filled by [`ConnectionTable::restore`].
    pub(crate) fn reserve(&mut self) -> ConnectionToken {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(ConnectionSlot { generation: 0, connection: None });
            (self.slots.len() - 1) as u32
        });
        ConnectionToken::new(self.slots[index as usize].generation, index)
    }

    /// Frees a reserved slot that was never filled.
    pub(crate) fn release(&mut self, token: ConnectionToken) {
        self.free.push(token.slot());
    }

    fn slot_mut(&mut self, token: ConnectionToken) -> Option<&mut ConnectionSlot> {
        let slot = self.slots.get_mut(token.slot() as usize)?;
        Some(slot).filter(|slot| slot.generation == token.generation())
    }

    /// Whether the connection of a token is open, even while a handler has taken it out.
    pub(crate) fn is_open(&self, token: ConnectionToken) -> bool {
        let slot = self.slots.get(token.slot() as usize);
        slot.is_some_and(|slot| slot.generation == token.generation())
    }

    /// The connection of a token; `None` if it is closed or taken out.
    pub(crate) fn get(&self, token: ConnectionToken) -> Option<&ConnectionKind> {
        let slot = self.slots.get(token.slot() as usize)?;
        slot.connection.as_ref().filter(|_| slot.generation == token.generation())
    }

    /// Like [`ConnectionTable::get`], with mutable access.
    pub(crate) fn get_mut(&mut self, token: ConnectionToken) -> Option<&mut ConnectionKind> {
        self.slot_mut(token)?.connection.as_mut()
    }

    /// Takes a connection out for its handler, which puts it back with
    /// [`ConnectionTable::restore`]. `None` if it is closed or already taken out.
    pub(crate) fn take(&mut self, token: ConnectionToken) -> Option<ConnectionKind> {
        self.slot_mut(token)?.connection.take()
    }

    /// Like [`ConnectionTable::take`], for the token of a client connection.
    pub(crate) fn take_client(&mut self, token: ConnectionToken) -> Option<ClientConnection> {
        match self.take(token)? {
            ConnectionKind::Client(connection) => Some(connection),
            _ => None,
        }
    }

    /// Like [`ConnectionTable::take`], for the token of a connection to an endpoint.
    pub(crate) fn take_endpoint(&mut self, token: ConnectionToken) -> Option<EndpointConnection> {
        match self.take(token)? {
            ConnectionKind::Endpoint(connection) => Some(connection),
            _ => None,
        }
    }

    /// Puts a connection into its slot. Drops the connection if its token is no longer valid.
    pub(crate) fn restore(&mut self, token: ConnectionToken, connection: ConnectionKind) {
        if let Some(slot) = self.slot_mut(token) {
            slot.connection = Some(connection);
        }
    }

    /// Removes a connection for good and invalidates its token. `None` if it is closed or taken
    /// out.
    pub(crate) fn remove(&mut self, token: ConnectionToken) -> Option<ConnectionKind> {
        let slot = self.slot_mut(token)?;
        let connection = slot.connection.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(token.slot());
        Some(connection)
    }

    /// All connections that are not taken out, in the order of their slots.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionToken, &ConnectionKind)> + '_ {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let token = ConnectionToken::new(slot.generation, index as u32);
            Some((token, slot.connection.as_ref()?))
        })
    }

    /// The connection with the lowest rank, among those for which `rank_of` returns one. Ties go to
    /// the lowest token.
    pub(crate) fn lowest_ranked<R: Ord>(
        &self,
        rank_of: impl Fn(&ConnectionKind) -> Option<R>,
    ) -> Option<ConnectionToken> {
        let ranked = self.iter().filter_map(|(token, connection)| Some((rank_of(connection)?, token)));
        ranked.min().map(|(_, token)| token)
    }
}
