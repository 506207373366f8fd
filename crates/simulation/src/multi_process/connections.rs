//! The driver's sockets: listeners, routers' connections to servers and feeds, and clients'
//! connections to routers.

use super::error::Operation;
use super::{Driver, MultiProcessError};
use crate::load::{ClientOutcome, MAX_CHUNK_BYTES};
use crate::model::ServerState;
use hollymux_protocol::resp::{Decoder, Frame};
use hollymux_router::buffers::BufferUse;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Read, Write};

/// Index of the body among the elements of a frame; the decoders accept no elements after it.
const BODY_INDEX: usize = 3;
/// Size of the buffer for one read, in bytes.
const READ_BUFFER_BYTES: usize = 65_536;

/// The purpose of a socket, with its state.
pub(super) enum ConnectionRole {
    /// Accepts routers' connections to a server.
    ServerListener { listener: TcpListener, server: usize },
    /// Accepts a router's connections to its endpoint feed.
    FeedListener { listener: TcpListener, router: usize },
    /// A router's connection to a server. `open` maps the wire ids of the attempts on it to their
    /// ids in the model.
    Server { server: usize, open: HashMap<Vec<u8>, u64> },
    /// A router's connection to its endpoint feed. `head` is the part of the request's head that
    /// has arrived.
    Feed { router: usize, opened: bool, head: Vec<u8> },
    /// A client's connection to a router. `open` maps the tags of the attempts on it to the ids of
    /// the clients' requests.
    Client { router: usize, open: BTreeMap<u64, u64>, next_tag: u64 },
}

/// A socket with its role, the received bytes that are not parsed yet, and the bytes to write.
pub(super) struct Connection {
    pub role: ConnectionRole,
    /// The stream; `None` for listeners, which are in the role.
    stream: Option<TcpStream>,
    decoder: Decoder,
    out: Vec<u8>,
    /// The number of bytes of `out` that have been written.
    written: usize,
    /// Whether the connection belongs to an unreachable server: it stays open, but nothing is read
    /// or written.
    pub silent: bool,
}

/// What a non-blocking read returned: bytes, nothing at present, or the end of the connection.
enum ReadResult {
    Bytes(usize),
    Nothing,
    Closed,
}

impl Connection {
    fn read(&mut self, buffer: &mut [u8]) -> ReadResult {
        let Some(stream) = &mut self.stream else { return ReadResult::Closed };
        loop {
            match stream.read(buffer) {
                Ok(length) if length > 0 => return ReadResult::Bytes(length),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadResult::Nothing,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return ReadResult::Closed,
            }
        }
    }

    /// Writes as much of the output as the socket accepts, and returns whether the connection is
    /// still usable.
    fn write_out(&mut self) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        while self.written < self.out.len() {
            match stream.write(&self.out[self.written..]) {
                Ok(length) if length > 0 => self.written += length,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return false,
            }
        }
        self.out.clear();
        self.written = 0;
        true
    }

    /// Decodes bytes into frames, and returns whether the bytes after the last frame violate the
    /// protocol.
    fn decode(&mut self, mut bytes: &[u8]) -> (Vec<Frame>, bool) {
        let mut frames = Vec::new();
        loop {
            match self.decoder.feed(&mut bytes) {
                Ok(Some(frame)) if !frame.body_dropped => frames.push(frame),
                Ok(None) => return (frames, false),
                Ok(Some(_)) | Err(_) => return (frames, true),
            }
        }
    }
}

fn accept_all(listener: &TcpListener) -> Vec<TcpStream> {
    std::iter::from_fn(|| listener.accept().ok().map(|(stream, _)| stream)).collect()
}

impl Driver {
    /// Registers a socket for polling under a new token.
    pub(super) fn add_connection(
        &mut self,
        mut role: ConnectionRole,
        mut stream: Option<TcpStream>,
    ) -> Result<usize, MultiProcessError> {
        let token = self.next_token;
        self.next_token += 1;
        let registry = self.poll.registry();
        let registered = match (&mut role, &mut stream) {
            (
                ConnectionRole::ServerListener { listener, .. }
                | ConnectionRole::FeedListener { listener, .. },
                _,
            ) => registry.register(listener, Token(token), Interest::READABLE),
            (_, Some(stream)) => {
                // Without TCP_NODELAY the connection still works, but with longer delays.
                let _ = stream.set_nodelay(true);
                registry.register(stream, Token(token), Interest::READABLE | Interest::WRITABLE)
            }
            (_, None) => Ok(()),
        };
        registered.during("register a socket")?;
        let decoder = Decoder::new(&self.pool, BufferUse::Message, BODY_INDEX, MAX_CHUNK_BYTES as usize);
        let connection = Connection { role, stream, decoder, out: Vec::new(), written: 0, silent: false };
        self.connections.insert(token, connection);
        Ok(token)
    }

    pub(super) fn on_socket_event(&mut self, token: usize, readable: bool) -> Result<(), MultiProcessError> {
        let Some(connection) = self.connections.get(&token) else { return Ok(()) };
        match &connection.role {
            ConnectionRole::ServerListener { listener, server } => {
                let (streams, server) = (accept_all(listener), *server);
                return self.accept_at_server(server, streams);
            }
            ConnectionRole::FeedListener { listener, router } => {
                let (streams, router) = (accept_all(listener), *router);
                return self.accept_feeds(router, streams);
            }
            _ => {}
        }
        if connection.silent {
            return Ok(());
        }
        if readable {
            self.read(token);
        }
        self.flush(token);
        Ok(())
    }

    fn accept_at_server(&mut self, server: usize, streams: Vec<TcpStream>) -> Result<(), MultiProcessError> {
        for stream in streams {
            let role = ConnectionRole::Server { server, open: HashMap::new() };
            let token = self.add_connection(role, Some(stream))?;
            if let Some(connection) = self.connections.get_mut(&token) {
                connection.silent = self.model.servers[server].state == ServerState::Unreachable;
            }
        }
        Ok(())
    }

    fn accept_feeds(&mut self, router: usize, streams: Vec<TcpStream>) -> Result<(), MultiProcessError> {
        for stream in streams {
            let role = ConnectionRole::Feed { router, opened: false, head: Vec::new() };
            self.add_connection(role, Some(stream))?;
        }
        Ok(())
    }

    fn read(&mut self, token: usize) {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let Some(connection) = self.connections.get_mut(&token) else { return };
            let bytes = match connection.read(&mut buffer) {
                ReadResult::Bytes(length) => &buffer[..length],
                ReadResult::Nothing => return,
                ReadResult::Closed => return self.close(token),
            };
            if matches!(connection.role, ConnectionRole::Feed { .. }) {
                self.on_feed_bytes(token, bytes);
                continue;
            }
            let (frames, broken) = connection.decode(bytes);
            frames.into_iter().for_each(|frame| self.on_frame(token, &frame));
            if broken {
                return self.close(token);
            }
        }
    }

    fn on_frame(&mut self, token: usize, frame: &Frame) {
        let Some(connection) = self.connections.get(&token) else { return };
        match connection.role {
            ConnectionRole::Server { server, .. } => self.on_server_frame(token, server, frame),
            ConnectionRole::Client { .. } => self.on_client_frame(token, frame),
            _ => {}
        }
    }

    pub(super) fn write(&mut self, token: usize, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.out.extend_from_slice(bytes);
        }
        self.flush(token);
    }

    fn flush(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if !connection.silent && !connection.write_out() {
            self.close(token);
        }
    }

    /// Closes a connection; the attempts that are open on it are lost.
    pub(super) fn close(&mut self, token: usize) {
        let Some(connection) = self.connections.remove(&token) else { return };
        match connection.role {
            ConnectionRole::Server { open, .. } => {
                let mut attempts: Vec<u64> = open.into_values().collect();
                attempts.sort_unstable();
                attempts.into_iter().for_each(|id| self.cancel_router_attempt(id));
            }
            ConnectionRole::Client { router, open, .. } => {
                self.routers[router].connections.retain(|other| *other != token);
                for id in open.into_values() {
                    self.open.remove(&id);
                    self.clients.on_answer(self.now, id, ClientOutcome::ConnectionLost);
                }
            }
            ConnectionRole::Feed { router, .. } => self.feed.on_closed(router, token),
            ConnectionRole::ServerListener { .. } | ConnectionRole::FeedListener { .. } => {}
        }
    }
}
