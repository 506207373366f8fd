//! The table that owns every descriptor registered with epoll. A token names a slot and its
//! generation, so that an event of a descriptor that was closed meanwhile finds nothing.

use crate::admin::AdminConnection;
use crate::clients::ClientConnection;
use crate::dns::DnsConnection;
use crate::endpoints::EndpointConnection;
use crate::feed::FeedConnection;
use crate::handover::HandoverPeer;
use rustix::fd::{AsFd, BorrowedFd};
use std::net::{TcpListener, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};

/// Names a connection: the slot in the low half, the slot's generation in the high half.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionToken(u64);

impl ConnectionToken {
    fn new(generation: u32, slot: u32) -> ConnectionToken {
        ConnectionToken(u64::from(generation) << 32 | u64::from(slot))
    }

    /// The token that `as_u64` made this number from.
    pub(crate) fn from_u64(number: u64) -> ConnectionToken {
        ConnectionToken(number)
    }

    /// The token as epoll's user data, and as the router's number of a client's connection.
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

/// What a registered descriptor is for, with its state.
pub(crate) enum ConnectionKind {
    /// Accepts clients.
    Listener(TcpListener),
    /// Wakes the event loop for a signal of that number.
    Signal {
        pipe: UnixStream,
        signal: i32,
    },
    Client(ClientConnection),
    Endpoint(EndpointConnection),
    Feed(FeedConnection),
    DnsUdp(UdpSocket),
    DnsListener(TcpListener),
    DnsTcp(DnsConnection),
    /// Lookups of a router that follows another one's DNS answers.
    Resolver(UdpSocket),
    AdminListener(TcpListener),
    Admin(AdminConnection),
    /// Where a successor process connects.
    Rendezvous(UnixListener),
    /// The process that replaces this one.
    Successor(HandoverPeer),
    /// The process that this one replaces.
    Predecessor(HandoverPeer),
    /// Datagrams of other routers.
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

/// A place in the table.
struct ConnectionSlot {
    generation: u32,
    /// Empty if the slot is free, or while a handler works on the connection.
    connection: Option<ConnectionKind>,
}

/// All connections by token.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    slots: Vec<ConnectionSlot>,
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

    /// Gives back a reserved slot that was never filled.
    pub(crate) fn release(&mut self, token: ConnectionToken) {
        self.free.push(token.slot());
    }

    fn slot_mut(&mut self, token: ConnectionToken) -> Option<&mut ConnectionSlot> {
        let slot = self.slots.get_mut(token.slot() as usize)?;
        Some(slot).filter(|slot| slot.generation == token.generation())
    }

    /// Whether the token's slot belongs to it, also while a handler has taken the connection out.
    pub(crate) fn is_open(&self, token: ConnectionToken) -> bool {
        let slot = self.slots.get(token.slot() as usize);
        slot.is_some_and(|slot| slot.generation == token.generation())
    }

    /// The connection of a token, unless it was closed or is taken out.
    pub(crate) fn get(&self, token: ConnectionToken) -> Option<&ConnectionKind> {
        let slot = self.slots.get(token.slot() as usize)?;
        slot.connection.as_ref().filter(|_| slot.generation == token.generation())
    }

    /// As [`ConnectionTable::get`], to be changed.
    pub(crate) fn get_mut(&mut self, token: ConnectionToken) -> Option<&mut ConnectionKind> {
        self.slot_mut(token)?.connection.as_mut()
    }

    /// Takes a connection out while a handler works on it; it goes back by
    /// [`ConnectionTable::restore`].
    pub(crate) fn take(&mut self, token: ConnectionToken) -> Option<ConnectionKind> {
        self.slot_mut(token)?.connection.take()
    }

    /// As [`ConnectionTable::take`], for the token of a client's connection.
    pub(crate) fn take_client(&mut self, token: ConnectionToken) -> Option<ClientConnection> {
        match self.take(token)? {
            ConnectionKind::Client(connection) => Some(connection),
            _ => None,
        }
    }

    /// As [`ConnectionTable::take`], for the token of a connection to an endpoint.
    pub(crate) fn take_endpoint(&mut self, token: ConnectionToken) -> Option<EndpointConnection> {
        match self.take(token)? {
            ConnectionKind::Endpoint(connection) => Some(connection),
            _ => None,
        }
    }

    /// Puts a connection into its slot. One whose slot was given away meanwhile is dropped.
    pub(crate) fn restore(&mut self, token: ConnectionToken, connection: ConnectionKind) {
        if let Some(slot) = self.slot_mut(token) {
            slot.connection = Some(connection);
        }
    }

    /// Takes a connection out for good: its token is not valid any more.
    pub(crate) fn remove(&mut self, token: ConnectionToken) -> Option<ConnectionKind> {
        let slot = self.slot_mut(token)?;
        let connection = slot.connection.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(token.slot());
        Some(connection)
    }

    /// All connections that are in their slots, by slot.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionToken, &ConnectionKind)> + '_ {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let token = ConnectionToken::new(slot.generation, index as u32);
            Some((token, slot.connection.as_ref()?))
        })
    }

    /// The connection with the lowest rank, of those that `rank_of` gives one; of equal ranks the
    /// lowest token.
    pub(crate) fn lowest_ranked<R: Ord>(
        &self,
        rank_of: impl Fn(&ConnectionKind) -> Option<R>,
    ) -> Option<ConnectionToken> {
        let ranked = self.iter().filter_map(|(token, connection)| Some((rank_of(connection)?, token)));
        ranked.min().map(|(_, token)| token)
    }
}
