//! Streams with their write state, and functions that open sockets.

use crate::read_progress::ReadProgress;
use hollymux_decision::Timestamp;
use hollymux_router::buffers::BufferChain;
use rustix::event::epoll::EventFlags;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::{connect, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Maximum number of connections that wait in the kernel to be accepted. A connect beyond it is
/// repeated by the client's kernel after a second.
const ACCEPT_BACKLOG: i32 = 4_096;

/// A poll with this timeout does not wait.
pub(crate) const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Flags of every socket: operations don't block the event loop, and child processes don't inherit
/// it.
pub(crate) const SOCKET_FLAGS: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);

/// A non-blocking stream with the state needed for write timeouts.
pub(crate) struct Stream<S = TcpStream> {
    pub(crate) socket: S,
    /// Whether output, or the end of a connect, waits for the socket to become writable.
    pub(crate) waiting_to_write: bool,
    /// When the socket last accepted bytes, or when output began to wait for it.
    last_write: Timestamp,
    /// What is known of how far the peer has read.
    read_progress: ReadProgress,
    /// The events that epoll reports at any time; those of writing are added while output waits.
    pub(crate) interest: EventFlags,
}

impl<S> Stream<S> {
    /// A connected stream without waiting output.
    pub(crate) fn new(socket: S, now: Timestamp) -> Stream<S> {
        let read_progress = ReadProgress::new(now);
        Stream { socket, waiting_to_write: false, last_write: now, read_progress, interest: EventFlags::IN }
    }

    /// A stream that is still connecting. It becomes writable when the connect has succeeded or
    /// failed.
    pub(crate) fn connecting(socket: S, now: Timestamp) -> Stream<S> {
        Stream { waiting_to_write: true, ..Stream::new(socket, now) }
    }

    /// Whether the socket has accepted no output for longer than `timeout` although output waits.
    pub(crate) fn write_timed_out(&self, now: Timestamp, timeout: Duration) -> bool {
        self.waiting_to_write && now > self.last_write + timeout
    }
}

impl<S: Read + Write> Stream<S> {
    /// Reads once. Returns `None` if there is nothing to read now, `Some(0)` if the peer has closed
    /// its side.
    pub(crate) fn read(&mut self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        loop {
            match self.socket.read(buffer) {
                Ok(length) => return Ok(Some(length)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes as much of a chain as the socket accepts, and removes it from the chain. Returns
    /// whether the chain was written completely.
    pub(crate) fn write(&mut self, chain: &mut BufferChain, now: Timestamp) -> io::Result<bool> {
        if !self.waiting_to_write {
            self.last_write = now;
        }
        while !chain.is_empty() {
            match self.socket.write(chain.front()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(length) => {
                    chain.advance(length);
                    self.last_write = now;
                    self.read_progress.on_written(now, length);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }
}

impl Stream<TcpStream> {
    /// The time by which the peer has read everything that was written, by what is known at `now`.
    pub(crate) fn read_by(&self, now: Timestamp) -> Timestamp {
        self.read_progress.read_by(now, &self.socket)
    }

    /// Whether the peer is known to have closed its side, however much it sent before is unread.
    pub(crate) fn peer_has_closed(&self) -> bool {
        let mut descriptors = [PollFd::new(&self.socket, PollFlags::RDHUP)];
        let polled = poll(&mut descriptors, Some(&NO_WAIT));
        polled.is_ok() && descriptors[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP)
    }
}

fn address_family(address: SocketAddr) -> AddressFamily {
    match address {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    }
}

/// Starts a TCP connect. When the socket becomes writable, the connect has succeeded or failed.
pub(crate) fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = socket_with(address_family(address), SocketType::STREAM, SOCKET_FLAGS, None)?;
    sockopt::set_tcp_nodelay(&socket, true)?;
    match connect(&socket, &address) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => Ok(TcpStream::from(socket)),
        Err(error) => Err(error.into()),
    }
}

/// Opens the client listener. It does not prevent another process from listening at the same
/// address: a successor that gets no answer from this process opens a listener of its own.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket_with(address_family(address), SocketType::STREAM, SOCKET_FLAGS, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    // If SO_REUSEPORT can't be set, only a successor that gets no answer from this process can't
    // listen.
    let _reuse = sockopt::set_socket_reuseport(&socket, true);
    rustix::net::bind(&socket, &address)?;
    rustix::net::listen(&socket, ACCEPT_BACKLOG)?;
    Ok(TcpListener::from(socket))
}
