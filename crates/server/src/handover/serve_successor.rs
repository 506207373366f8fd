//! The old process of a handover: it waits for a successor at the rendezvous socket, and hands over
//! to it.

use super::peer::{HandoverPeer, HandoverProgress, OutOfOrder};
use super::rendezvous_path;
use crate::cluster::ClusterIncarnation;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_protocol::handover::{HandoverMessage, HandoverReader};
use hollymux_router::lifecycle::Event;
use rustix::event::epoll::EventFlags;
use std::io::{self, Write};
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::time::Duration;
use tracing::info;

/// A successor that has not taken over after this long is considered lost.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(15);

impl Server {
    /// Opens the socket at which a successor finds this process. One that exists already is
    /// replaced.
    pub(super) fn open_rendezvous_socket(&mut self) {
        if self.handover.rendezvous.is_some() {
            return;
        }
        let Some(path) = rendezvous_path(self.config.listen) else { return };
        match self.bind_rendezvous_socket(&path) {
            Ok(token) => self.handover.rendezvous = Some(token),
            Err(error) => info!(path = %path.display(), %error, "handover to a successor is not possible"),
        }
    }

    fn bind_rendezvous_socket(&mut self, path: &Path) -> io::Result<ConnectionToken> {
        // Bound under another name and renamed: nobody finds a socket at which nobody listens.
        let temporary = path.with_extension(std::process::id().to_string());
        // Left behind by a process with the same id, if it exists.
        let _stale = std::fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        listener.set_nonblocking(true)?;
        std::fs::rename(&temporary, path)?;
        self.insert(ConnectionKind::Rendezvous(listener))
    }

    /// Processes have connected to the rendezvous socket. One at a time is served.
    pub(crate) fn on_rendezvous(&mut self, listener: &mut UnixListener) -> ConnectionAction {
        while let Ok((mut socket, _)) = listener.accept() {
            let is_set_up = socket.set_nonblocking(true).is_ok();
            if self.handover.successor.is_some() || !is_set_up || !self.lifecycle.accepts(self.now) {
                // The caller starts without inherited state if this does not reach it, too.
                let _refused = socket.write(&HandoverMessage::Declined.encode());
                continue;
            }
            let peer = HandoverPeer::new(socket, HandoverReader::default(), self.now);
            self.handover.successor = self.insert(ConnectionKind::Successor(peer)).ok();
        }
        ConnectionAction::Keep
    }

    /// The successor has sent something, or its socket is writable.
    pub(crate) fn on_successor(
        &mut self,
        token: ConnectionToken,
        peer: &mut HandoverPeer,
        flags: EventFlags,
    ) -> ConnectionAction {
        self.on_handover_peer(token, peer, flags, Server::on_successor_message)
    }

    fn on_successor_message(
        &mut self,
        peer: &mut HandoverPeer,
        message: HandoverMessage,
    ) -> Result<(), OutOfOrder> {
        match (message, peer.progress) {
            (HandoverMessage::Hello(_), HandoverProgress::Connected) => {
                self.send_state(peer);
                Ok(())
            }
            (HandoverMessage::TakeOver, HandoverProgress::StateSent | HandoverProgress::TakeOverSent) => {
                self.hand_over(peer);
                Ok(())
            }
            _ => Err(OutOfOrder),
        }
    }

    fn send_state(&mut self, peer: &mut HandoverPeer) {
        peer.progress = HandoverProgress::StateSent;
        self.update_shared_limits();
        let mut state = self.router.handover_state();
        state.zones.clone_from(&self.config.names.zones);
        state.kinds.clone_from(&self.config.names.kinds);
        peer.sends_listener = true;
        peer.send(&HandoverMessage::State(Some(Box::new(state))));
        info!("handing over to a successor process");
    }

    /// The successor takes new clients from now on.
    fn hand_over(&mut self, peer: &mut HandoverPeer) {
        peer.progress = HandoverProgress::TakeOverSent;
        self.apply_lifecycle_event(Event::Replaced);
        let pending_writes = self.router.take_new_pending_writes();
        peer.send(&HandoverMessage::PendingWrites(pending_writes));
        if let Some(ClusterIncarnation { generation, incarnation }) = self.release_cluster_socket() {
            peer.send(&HandoverMessage::ClusterIncarnation { start: generation, incarnation });
        }
        peer.send(&HandoverMessage::Released);
    }

    /// Sends the successor the pending writes that are new since the last time.
    pub(crate) fn send_new_pending_writes(&mut self) {
        let Some(token) = self.handover.successor else { return };
        match self.connections.get(token) {
            Some(ConnectionKind::Successor(peer)) if peer.progress == HandoverProgress::TakeOverSent => {}
            _ => return,
        }
        let pending_writes = self.router.take_new_pending_writes();
        if pending_writes.is_empty() {
            return;
        }
        if let Some(ConnectionKind::Successor(mut peer)) = self.connections.take(token) {
            peer.send(&HandoverMessage::PendingWrites(pending_writes));
            let action = self.flush_peer(token, &mut peer);
            self.restore(token, ConnectionKind::Successor(peer), action);
        }
    }

    /// The successor is gone: this process accepts clients again, unless it is ending.
    pub(crate) fn successor_closed(&mut self) {
        self.handover.successor = None;
        self.router.stop_tracking_pending_writes();
        self.update_shared_limits();
        self.apply_lifecycle_event(Event::SuccessorGone);
        // The successor has replaced the rendezvous socket by its own.
        if let Some(token) = self.handover.rendezvous.take() {
            self.close(token);
        }
        if self.lifecycle.accepts(self.now) {
            self.open_rendezvous_socket();
        }
    }

    /// The periodic check of the successor.
    pub(crate) fn successor_housekeeping(&mut self, peer: &HandoverPeer) -> ConnectionAction {
        let is_waiting = peer.progress != HandoverProgress::TakeOverSent;
        if is_waiting && self.now > peer.connected_at + TAKE_OVER_TIMEOUT {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }
}
