//! The connection between the two processes of a handover; both sides use it.

use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, MAX_READS_PER_EVENT};
use crate::sockets::Stream;
use crate::Server;
use hollymux_decision::Timestamp;
use hollymux_protocol::handover::{HandoverMessage, HandoverReader};
use hollymux_router::handover_state::PeerProcess;
use rustix::event::epoll::EventFlags;
use rustix::fd::AsFd;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::io::{self, IoSlice, Write};
use std::mem::MaybeUninit;
use std::os::unix::net::UnixStream;
use tracing::warn;

/// Maximum size of the unwritten output, in bytes. If more is queued, the other process has stopped
/// reading and the connection is closed.
const MAX_PEER_OUTPUT_BYTES: usize = 32 << 20;

/// The progress of a handover, as seen by either process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HandoverProgress {
    /// In the old process: `Hello` has not been received. In the new process: `TakeOver` has not
    /// been sent.
    Connected,
    /// The old process has received `Hello` and has queued its state. Not used in the new process.
    StateSent,
    /// The new process has sent `TakeOver`, or the old one has received it.
    TakeOverSent,
}

/// The connection to the other process of a handover.
pub(crate) struct HandoverPeer {
    pub(crate) stream: Stream<UnixStream>,
    pub(super) reader: HandoverReader,
    /// Encoded messages that are not written yet.
    pub(super) output: Vec<u8>,
    /// Whether the listening socket is to be sent with the next byte.
    pub(super) sends_listener: bool,
    pub(super) progress: HandoverProgress,
    /// When the event loop took over the connection: in the old process at its acceptance, in the
    /// new process after the state was received.
    pub(super) connected_at: Timestamp,
}

impl HandoverPeer {
    pub(super) fn new(socket: UnixStream, reader: HandoverReader, now: Timestamp) -> HandoverPeer {
        HandoverPeer {
            stream: Stream::new(socket, now),
            reader,
            output: Vec::new(),
            sends_listener: false,
            progress: HandoverProgress::Connected,
            connected_at: now,
        }
    }

    /// Queues a message; it is written by [`Server::flush_peer`].
    pub(super) fn send(&mut self, message: &HandoverMessage) {
        self.output.extend(message.encode());
    }
}

/// The error for a message that is not allowed at this point of the handover.
pub(super) struct OutOfOrder;

impl Server {
    /// Reads from the other process, passes each message to `on_message`, and writes the queued
    /// output.
    pub(super) fn on_handover_peer(
        &mut self,
        token: ConnectionToken,
        peer: &mut HandoverPeer,
        flags: EventFlags,
        on_message: fn(&mut Server, &mut HandoverPeer, HandoverMessage) -> Result<(), OutOfOrder>,
    ) -> ConnectionAction {
        if flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            let on_bytes = |server: &mut Server, peer: &mut HandoverPeer, bytes: &[u8]| {
                peer.reader.feed(bytes);
                server.on_peer_messages(peer, on_message)
            };
            let action = self.read_from(peer, MAX_READS_PER_EVENT, |peer| &mut peer.stream, on_bytes);
            if action == ConnectionAction::Close {
                return ConnectionAction::Close;
            }
        }
        self.flush_peer(token, peer)
    }

    fn on_peer_messages(
        &mut self,
        peer: &mut HandoverPeer,
        on_message: fn(&mut Server, &mut HandoverPeer, HandoverMessage) -> Result<(), OutOfOrder>,
    ) -> ConnectionAction {
        loop {
            let handled = match peer.reader.next_message() {
                Ok(None) => return ConnectionAction::Keep,
                Ok(Some(message)) => on_message(self, peer, message),
                Err(error) => {
                    warn!(%error, "malformed handover message, closing the connection");
                    return ConnectionAction::Close;
                }
            };
            if handled.is_err() {
                warn!(progress = ?peer.progress, "handover message out of order, closing the connection");
                return ConnectionAction::Close;
            }
        }
    }

    /// Writes the queued output, as far as the socket accepts it. Closes the connection on an
    /// error, or if more than [`MAX_PEER_OUTPUT_BYTES`] stays unwritten.
    pub(super) fn flush_peer(&mut self, token: ConnectionToken, peer: &mut HandoverPeer) -> ConnectionAction {
        while !peer.output.is_empty() {
            let written = if peer.sends_listener {
                self.send_listener(peer)
            } else {
                peer.stream.socket.write(&peer.output)
            };
            match written {
                Ok(0) => return ConnectionAction::Close,
                Ok(length) => {
                    peer.sends_listener = false;
                    peer.output.drain(..length);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ConnectionAction::Close,
            }
        }
        self.set_write_interest(token, &mut peer.stream, !peer.output.is_empty());
        if peer.output.len() > MAX_PEER_OUTPUT_BYTES {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }

    /// Sends the client listener's descriptor together with the first bytes of the output, and
    /// returns the number of bytes sent. Fails if the listener is closed.
    fn send_listener(&self, peer: &HandoverPeer) -> io::Result<usize> {
        let Some(ConnectionKind::Listener(listener)) = self.connections.get(self.client_listener) else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let descriptors = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        let slices = [IoSlice::new(&peer.output)];
        Ok(sendmsg(&peer.stream.socket, &slices, &mut control, SendFlags::NOSIGNAL)?)
    }

    /// Sends the other processes of a handover the requests that must not run twice and that this
    /// process has accepted since the last message about them, so that none of their clients can run
    /// them again there. Does nothing before `TakeOver`.
    pub(crate) fn send_new_pending_writes(&mut self) {
        if let Some(token) = self.handover.successor {
            self.send_pending_writes(token, PeerProcess::Successor);
        }
        if let Some(token) = self.handover.predecessor {
            self.send_pending_writes(token, PeerProcess::Predecessor);
        }
    }

    fn send_pending_writes(&mut self, token: ConnectionToken, to: PeerProcess) {
        match self.connections.get(token) {
            Some(ConnectionKind::Successor(peer) | ConnectionKind::Predecessor(peer))
                if peer.progress == HandoverProgress::TakeOverSent => {}
            _ => return,
        }
        let pending_writes = self.router.take_new_pending_writes(to);
        if pending_writes.is_empty() {
            return;
        }
        let Some(mut connection) = self.connections.take(token) else { return };
        let mut action = ConnectionAction::Keep;
        if let ConnectionKind::Successor(peer) | ConnectionKind::Predecessor(peer) = &mut connection {
            peer.send(&HandoverMessage::PendingWrites(pending_writes));
            action = self.flush_peer(token, peer);
        }
        self.restore(token, connection, action);
    }
}
