//! The clock, streams with what waits to be written on them, and how sockets are opened.

use crate::BACKLOG;
use hollymux_decision::time::whole_micros;
use hollymux_decision::Timestamp;
use hollymux_router::buffers::BufferChain;
use rustix::net::{connect, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix clock in microseconds as it stood at the start, and steady from then on: a step of the system's
/// clock must neither stop the timers nor end all waits at once.
pub(super) struct Clock {
    unix: Duration,
    since: Instant,
}

impl Clock {
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { unix, since: Instant::now() }
    }

    pub(super) fn now(&self) -> Timestamp {
        Timestamp::from_micros(whole_micros(self.unix + self.since.elapsed()))
    }
}

/// A stream with what waits to be written on it.
pub(super) struct Stream<S = TcpStream> {
    pub(super) socket: S,
    /// Waits for the socket to take more.
    pub(super) waiting: bool,
    /// When the socket took something last.
    pub(super) moved: Timestamp,
}

impl<S: Read + Write> Stream<S> {
    pub(super) fn new(socket: S, now: Timestamp) -> Stream<S> {
        Stream { socket, waiting: false, moved: now }
    }

    /// Whether it has waited for the other side to take something for that long.
    pub(super) fn stuck(&self, now: Timestamp, long: Duration) -> bool {
        self.waiting && now > self.moved + long
    }

    /// Reads once; none: nothing there now. Zero bytes: the end.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        loop {
            match self.socket.read(buffer) {
                Ok(n) => return Ok(Some(n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Writes as much of a chain as the socket takes; whether that was all.
    pub(super) fn write(&mut self, chain: &mut BufferChain, now: Timestamp) -> io::Result<bool> {
        if !self.waiting {
            self.moved = now;
        }
        while !chain.is_empty() {
            match self.socket.write(chain.front()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    chain.advance(n);
                    self.moved = now;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }
}

/// Starts a connection; it is up, or has failed, when the socket can be written.
pub(super) fn dial(addr: SocketAddr) -> io::Result<TcpStream> {
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_tcp_nodelay(&socket, true)?;
    match connect(&socket, &addr) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => Ok(TcpStream::from(socket)),
        Err(e) => Err(e.into()),
    }
}

/// A listener at the clients' address that does not keep another process from listening there as well: one that
/// replaces this one but gets no answer from it.
pub(super) fn listener(addr: SocketAddr) -> io::Result<TcpListener> {
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    // Where it can't be had, a process that gets no answer can't listen.
    let _shared = sockopt::set_socket_reuseport(&socket, true);
    rustix::net::bind(&socket, &addr)?;
    rustix::net::listen(&socket, BACKLOG)?;
    Ok(TcpListener::from(socket))
}
