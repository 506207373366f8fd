//! The start of a handover in the new process: connecting to the process that serves the address,
//! and receiving its listening socket and state. This blocks, as nothing is served yet.

use crate::sockets::SOCKET_FLAGS;
use hollymux_protocol::handover::{HandoverMessage, HandoverReader, MalformedMessage};
use hollymux_router::handover_state::HandoverState;
use rustix::fd::OwnedFd;
use rustix::net::{
    connect, recvmsg, socket_with, sockopt, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage,
    RecvFlags, SocketAddrUnix, SocketType,
};
use std::io::{self, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// The predecessor answers within this, or the new process starts without inherited state. A
/// process has 6 s until it must be ready: this, the wait for the endpoint feed and the last
/// message are well within that.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes that are received at once.
const RECEIVE_BUFFER: usize = 1 << 16;

/// Why the process that serves the address handed nothing over.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandoverError {
    #[error("can't {operation} the predecessor: {error}")]
    Io {
        operation: &'static str,
        #[source]
        error: io::Error,
    },
    #[error("the predecessor runs as user {uid}, not as this user")]
    OtherUser { uid: u32 },
    #[error("the predecessor sent no state within {STATE_TIMEOUT:?}")]
    TimedOut,
    #[error("the predecessor closed the connection")]
    Closed,
    #[error("the predecessor does not hand over at present")]
    Refused,
    #[error("malformed message from the predecessor: {0}")]
    Malformed(#[from] MalformedMessage),
    #[error("message from the predecessor out of order")]
    OutOfOrder,
    #[error("the predecessor sent no listening socket")]
    NoListener,
    #[error("the predecessor's listening socket is bound to another address")]
    OtherAddress,
}

/// Makes an error of an operation on the predecessor's socket.
fn io_error<E: Into<io::Error>>(operation: &'static str) -> impl FnOnce(E) -> HandoverError {
    move |error| HandoverError::Io { operation, error: error.into() }
}

/// What the predecessor handed over.
pub(crate) struct InheritedSockets {
    /// The clients' listener.
    pub(super) listener: TcpListener,
    /// `None` if the predecessor's version is another one.
    pub(super) state: Option<Box<HandoverState>>,
    /// The connection to the predecessor, non-blocking.
    pub(super) socket: UnixStream,
    /// What was received on it beyond the state.
    pub(super) reader: HandoverReader,
}

/// Connects to the process that serves `listen`, and receives what it hands over; `None` if there
/// is no such process.
///
/// # Errors
///
/// If there is one, and it hands nothing over.
pub(crate) fn call_predecessor(
    path: &Path,
    listen: SocketAddr,
) -> Result<Option<InheritedSockets>, HandoverError> {
    if !path.exists() {
        return Ok(None);
    }
    let Some(mut socket) = connect_rendezvous(path)? else { return Ok(None) };
    let deadline = Instant::now() + STATE_TIMEOUT;
    socket.set_nonblocking(false).map_err(io_error("set up the connection to"))?;
    socket.set_write_timeout(Some(STATE_TIMEOUT)).map_err(io_error("set up the connection to"))?;
    let hello = HandoverMessage::Hello(listen.to_string()).encode();
    socket.write_all(&hello).map_err(io_error("write to"))?;
    receive_state(socket, listen, deadline).map(Some)
}

/// A connection to the process that listens at the path; `None` if the process that made the socket
/// is gone.
fn connect_rendezvous(path: &Path) -> Result<Option<UnixStream>, HandoverError> {
    let socket = socket_with(AddressFamily::UNIX, SocketType::STREAM, SOCKET_FLAGS, None)
        .map_err(io_error("open a socket for"))?;
    let address = SocketAddrUnix::new(path).map_err(io_error("address"))?;
    match connect(&socket, &address) {
        Ok(()) => {}
        Err(rustix::io::Errno::CONNREFUSED | rustix::io::Errno::NOENT) => return Ok(None),
        Err(error) => return Err(io_error("connect to")(error)),
    }
    let credentials = sockopt::socket_peercred(&socket).map_err(io_error("identify"))?;
    if credentials.uid != rustix::process::getuid() {
        return Err(HandoverError::OtherUser { uid: credentials.uid.as_raw() });
    }
    Ok(Some(UnixStream::from(socket)))
}

/// Receives until the state is complete.
fn receive_state(
    socket: UnixStream,
    listen: SocketAddr,
    deadline: Instant,
) -> Result<InheritedSockets, HandoverError> {
    let mut reader = HandoverReader::default();
    let mut listener = None;
    let mut buffer = vec![0; RECEIVE_BUFFER];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(HandoverError::TimedOut);
        }
        socket.set_read_timeout(Some(left)).map_err(io_error("set up the connection to"))?;
        let length = match receive(&socket, &mut buffer, &mut listener) {
            Ok(0) => return Err(HandoverError::Closed),
            Ok(length) => length,
            Err(rustix::io::Errno::INTR) => continue,
            Err(rustix::io::Errno::AGAIN) => return Err(HandoverError::TimedOut),
            Err(error) => return Err(io_error("read from")(error)),
        };
        reader.feed(&buffer[..length]);
        match reader.next_message()? {
            Some(HandoverMessage::State(state)) => {
                let listener = check_listener(listener, listen)?;
                socket.set_nonblocking(true).map_err(io_error("set up the connection to"))?;
                return Ok(InheritedSockets { listener, state, socket, reader });
            }
            Some(HandoverMessage::Declined) => return Err(HandoverError::Refused),
            Some(_) => return Err(HandoverError::OutOfOrder),
            None => {}
        }
    }
}

/// Receives once, and keeps the first descriptor that comes along.
fn receive(
    socket: &UnixStream,
    buffer: &mut [u8],
    listener: &mut Option<OwnedFd>,
) -> rustix::io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut slices = [IoSliceMut::new(buffer)];
    let received = recvmsg(socket, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    if received.bytes == 0 {
        return Ok(0);
    }
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            *listener = listener.take().or(descriptors.last());
        }
    }
    Ok(received.bytes)
}

fn check_listener(descriptor: Option<OwnedFd>, listen: SocketAddr) -> Result<TcpListener, HandoverError> {
    let listener = TcpListener::from(descriptor.ok_or(HandoverError::NoListener)?);
    if listener.local_addr().ok() != Some(listen) {
        return Err(HandoverError::OtherAddress);
    }
    Ok(listener)
}
