//! Registering connections with epoll, and reading, writing and closing them.

use super::{ConnectionKind, ConnectionToken};
use crate::sockets::Stream;
use crate::Server;
use hollymux_router::buffers::{BufferChain, BUFFER_BYTES};
use rustix::event::epoll::{self, EventFlags};
use rustix::fd::AsFd;
use rustix::io::Errno;
use std::io::{self, Read, Write};

/// Maximum number of reads of one connection for one event, so that no connection starves the
/// others.
pub(crate) const MAX_READS_PER_EVENT: usize = 16;

/// What to do with a connection after its handler has run.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ConnectionAction {
    /// Leave the connection open.
    Keep,
    /// Close the connection at once.
    Close,
    /// Shut a client connection down for writing, and read it until the client closes its side.
    BeginClose,
}

impl Server {
    /// Reads from a connection up to `max_reads` times and passes the bytes to `on_bytes`, until
    /// nothing is left or the connection is to be closed.
    pub(crate) fn read_from<C, S: Read + Write>(
        &mut self,
        connection: &mut C,
        max_reads: usize,
        stream_of: fn(&mut C) -> &mut Stream<S>,
        mut on_bytes: impl FnMut(&mut Server, &mut C, &[u8]) -> ConnectionAction,
    ) -> ConnectionAction {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        buffer.resize(BUFFER_BYTES, 0);
        let mut action = ConnectionAction::Keep;
        for _ in 0..max_reads {
            match stream_of(connection).read(&mut buffer) {
                Ok(Some(0)) | Err(_) => action = ConnectionAction::Close,
                Ok(Some(length)) => action = on_bytes(self, connection, &buffer[..length]),
                Ok(None) => break,
            }
            if action != ConnectionAction::Keep {
                break;
            }
        }
        self.read_buffer = buffer;
        action
    }

    /// Registers a connection with epoll and adds it to the table; the connection is closed if that
    /// fails.
    pub(crate) fn insert(&mut self, mut connection: ConnectionKind) -> io::Result<ConnectionToken> {
        let token = self.connections.reserve();
        let flags = match &connection {
            // These sockets are still connecting; they become writable when the connect ends.
            ConnectionKind::Endpoint(_) | ConnectionKind::Feed(_) => EventFlags::IN | EventFlags::OUT,
            ConnectionKind::Client(client) => client.stream.interest,
            _ => EventFlags::IN,
        };
        let data = epoll::EventData::new_u64(token.as_u64());
        let mut added = epoll::add(&self.epoll, connection.as_fd(), data, flags);
        if let (Err(Errno::INVAL), ConnectionKind::Client(client)) = (added, &mut connection) {
            // Where the close of a peer's side is not reported, it is noticed at the end of the input.
            client.stream.interest = EventFlags::IN;
            added = epoll::add(&self.epoll, &client.stream.socket, data, EventFlags::IN);
        }
        if let Err(error) = added {
            self.connections.release(token);
            return Err(error.into());
        }
        self.connections.restore(token, connection);
        Ok(token)
    }

    /// Puts a connection back after its handler has run, and applies the action that the handler
    /// returned.
    pub(crate) fn restore(
        &mut self,
        token: ConnectionToken,
        connection: ConnectionKind,
        action: ConnectionAction,
    ) {
        self.connections.restore(token, connection);
        match action {
            ConnectionAction::Keep => {}
            ConnectionAction::Close => self.close(token),
            ConnectionAction::BeginClose => self.begin_close(token),
        }
    }

    /// Closes a connection and notifies the module that owns it.
    pub(crate) fn close(&mut self, token: ConnectionToken) {
        let Some(connection) = self.connections.remove(token) else { return };
        // Closing the descriptor would not remove it from epoll while another process has the same
        // socket open.
        let _removed = epoll::delete(&self.epoll, connection.as_fd());
        match connection {
            ConnectionKind::Client(_) => {
                self.client_count -= 1;
                self.withdraw_all(token);
                self.leave_resources();
            }
            ConnectionKind::Endpoint(endpoint) => self.endpoint_connection_closed(token, endpoint),
            ConnectionKind::Feed(_) => self.feed_closed(token),
            ConnectionKind::DnsTcp(_) => self.client_count -= 1,
            ConnectionKind::AdminListener(_) => self.admin_listener = None,
            ConnectionKind::Successor(_) => self.successor_closed(),
            ConnectionKind::Predecessor(_) => self.predecessor_closed(),
            ConnectionKind::Listener(_) | ConnectionKind::Signal { .. } => {}
            ConnectionKind::DnsListener(_) | ConnectionKind::DnsUdp(_) | ConnectionKind::Resolver(_) => {}
            ConnectionKind::Admin(_) | ConnectionKind::Rendezvous(_) | ConnectionKind::Cluster(_) => {}
        }
    }

    /// Writes as much of `output` as the socket accepts. Writing goes on when the socket is
    /// writable again.
    pub(crate) fn flush(
        &mut self,
        token: ConnectionToken,
        stream: &mut Stream,
        output: &mut BufferChain,
    ) -> ConnectionAction {
        match stream.write(output, self.now) {
            Ok(wrote_all) => {
                self.set_write_interest(token, stream, !wrote_all);
                ConnectionAction::Keep
            }
            Err(_) => ConnectionAction::Close,
        }
    }

    /// Sets whether epoll reports that a socket is writable.
    pub(crate) fn set_write_interest<S: AsFd>(
        &mut self,
        token: ConnectionToken,
        stream: &mut Stream<S>,
        wanted: bool,
    ) {
        if stream.waiting_to_write == wanted {
            return;
        }
        stream.waiting_to_write = wanted;
        let flags = if wanted { stream.interest | EventFlags::OUT } else { stream.interest };
        let data = epoll::EventData::new_u64(token.as_u64());
        let _modified = epoll::modify(&self.epoll, &stream.socket, data, flags);
    }

    /// Pauses a listener for [`super::timers::ACCEPT_BACKOFF`] when a connection can't be accepted:
    /// otherwise epoll would report the same event again at once.
    pub(crate) fn pause_listener(&mut self, token: ConnectionToken, listener: &std::net::TcpListener) {
        let data = epoll::EventData::new_u64(token.as_u64());
        if epoll::modify(&self.epoll, listener, data, EventFlags::empty()).is_ok() {
            self.paused_listeners.push(token);
            self.timers.set(self.now + super::timers::ACCEPT_BACKOFF, super::Timer::ResumeListeners);
        }
    }

    /// Resumes the paused listeners.
    pub(crate) fn resume_listeners(&mut self) {
        for token in std::mem::take(&mut self.paused_listeners) {
            self.update_listener_interest(token);
        }
    }

    /// Sets whether epoll reports new clients, depending on the lifecycle.
    pub(crate) fn update_client_listener(&mut self) {
        self.update_listener_interest(self.client_listener);
    }

    /// Sets whether epoll reports new connections of a listener: always for DNS, for clients only
    /// while the lifecycle accepts them.
    fn update_listener_interest(&self, token: ConnectionToken) {
        let Some(connection) = self.connections.get(token) else { return };
        let accepts = match connection {
            ConnectionKind::Listener(_) => self.lifecycle.accepts_connections(self.now),
            ConnectionKind::DnsListener(_) => true,
            _ => return,
        };
        let flags = if accepts { EventFlags::IN } else { EventFlags::empty() };
        let data = epoll::EventData::new_u64(token.as_u64());
        let _modified = epoll::modify(&self.epoll, connection.as_fd(), data, flags);
    }
}
