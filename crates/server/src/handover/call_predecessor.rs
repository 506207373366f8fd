//! The start of a handover in the new process: connecting to the process that serves the address,
//! and receiving its listening socket and state. These calls block, as this process serves nothing
//! yet.

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

/// Longest wait for the predecessor's state; after it, the new process starts without inherited
/// state. A process must be ready within 6 s, and this wait, the one for the endpoint feed and the
/// one for the last message together are well below that.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size of the receive buffer, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 1 << 16;

/// Why nothing was taken over from the process that serves the address.
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
    #[error("the predecessor closed the connection without sending its state")]
    Closed,
    #[error("the predecessor declined the handover")]
    Declined,
    #[error("malformed message from the predecessor: {0}")]
    Malformed(#[from] MalformedMessage),
    #[error("the predecessor sent a message that is not allowed before its state")]
    OutOfOrder,
    #[error("the predecessor sent no listening socket")]
    NoListener,
    #[error("the predecessor's listening socket is bound to another address")]
    OtherAddress,
}

/// Returns a function that wraps an error of this operation on the predecessor's socket.
fn io_error<E: Into<io::Error>>(operation: &'static str) -> impl FnOnce(E) -> HandoverError {
    move |error| HandoverError::Io { operation, error: error.into() }
}

/// The sockets and the state received from the predecessor.
pub(crate) struct InheritedSockets {
    /// The socket on which the predecessor accepted clients; it stays open across the handover.
    pub(super) listener: TcpListener,
    /// The predecessor's state; `None` if the predecessor has another version.
    pub(super) state: Option<Box<HandoverState>>,
    /// The number of the last event of the endpoint feed that the state includes, if the
    /// predecessor sends it.
    pub(super) feed_position: Option<u64>,
    /// Whether the predecessor wants to be told of the pending writes of this process.
    pub(super) accepts_pending_writes: bool,
    /// The connection to the predecessor, non-blocking.
    pub(super) socket: UnixStream,
    /// The reader for that connection, with the bytes received after the state.
    pub(super) reader: HandoverReader,
}

/// Connects to the process that serves `listen`, and receives its listening socket and state.
/// Returns `None` if no process serves that address.
///
/// # Errors
///
/// If a process serves the address, but its listening socket can't be taken over.
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
    let hello = HandoverMessage::Hello { address: listen.to_string(), accepts_resources: true }.encode();
    socket.write_all(&hello).map_err(io_error("write to"))?;
    receive_state(socket, listen, deadline).map(Some)
}

/// Connects to the process that listens at this path. Returns `None` if the process that created
/// the socket has exited.
fn connect_rendezvous(path: &Path) -> Result<Option<UnixStream>, HandoverError> {
    let socket = socket_with(AddressFamily::UNIX, SocketType::STREAM, SOCKET_FLAGS, None)
        .map_err(io_error("open a socket for"))?;
    let address = SocketAddrUnix::new(path).map_err(io_error("build the socket address of"))?;
    match connect(&socket, &address) {
        Ok(()) => {}
        Err(rustix::io::Errno::CONNREFUSED | rustix::io::Errno::NOENT) => return Ok(None),
        Err(error) => return Err(io_error("connect to")(error)),
    }
    let credentials = sockopt::socket_peercred(&socket).map_err(io_error("read the credentials of"))?;
    if credentials.uid != rustix::process::getuid() {
        return Err(HandoverError::OtherUser { uid: credentials.uid.as_raw() });
    }
    Ok(Some(UnixStream::from(socket)))
}

/// Receives until the state is complete, or `deadline` has passed.
fn receive_state(
    socket: UnixStream,
    listen: SocketAddr,
    deadline: Instant,
) -> Result<InheritedSockets, HandoverError> {
    let mut reader = HandoverReader::default();
    let mut listener = None;
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
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
            Some(HandoverMessage::State { state, feed_position, accepts_pending_writes }) => {
                let listener = check_listener(listener, listen)?;
                socket.set_nonblocking(true).map_err(io_error("set up the connection to"))?;
                return Ok(InheritedSockets {
                    listener,
                    state,
                    feed_position,
                    accepts_pending_writes,
                    socket,
                    reader,
                });
            }
            Some(HandoverMessage::Declined) => return Err(HandoverError::Declined),
            Some(_) => return Err(HandoverError::OutOfOrder),
            None => {}
        }
    }
}

/// Receives once, and stores the first descriptor that is received in `listener`.
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

/// Turns the received descriptor into a listener. Fails if none was received, or if it is bound to
/// another address than `listen`.
fn check_listener(descriptor: Option<OwnedFd>, listen: SocketAddr) -> Result<TcpListener, HandoverError> {
    let listener = TcpListener::from(descriptor.ok_or(HandoverError::NoListener)?);
    if listener.local_addr().ok() != Some(listen) {
        return Err(HandoverError::OtherAddress);
    }
    Ok(listener)
}
