//! The old process's side of a handover: accepting a successor at the rendezvous socket, and
//! handing the listening socket, the state and the clients over to it.

use super::peer::{HandoverPeer, HandoverProgress, OutOfOrder};
use super::rendezvous_path;
use crate::cluster::ClusterIncarnation;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_protocol::handover::{HandoverMessage, HandoverReader};
use hollymux_router::handover_state::PeerProcess;
use hollymux_router::lifecycle::Event;
use rustix::event::epoll::EventFlags;
use std::io::{self, Write};
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::time::Duration;
use tracing::info;

/// A successor that has not sent `TakeOver` within this time is considered failed and disconnected.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(15);

impl Server {
    /// Opens the rendezvous socket, through which a successor connects to this process. An existing
    /// socket file at that path is replaced.
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
        // The socket is bound under a temporary name and then renamed, so that no process finds a
        // socket without a listener.
        let temporary = path.with_extension(std::process::id().to_string());
        // A process with the same id may have left the temporary file behind.
        let _stale = std::fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        listener.set_nonblocking(true)?;
        std::fs::rename(&temporary, path)?;
        self.insert(ConnectionKind::Rendezvous(listener))
    }

    /// Accepts processes that have connected to the rendezvous socket. Only one successor is served
    /// at a time; others are declined.
    pub(crate) fn on_rendezvous(&mut self, listener: &mut UnixListener) -> ConnectionAction {
        while let Ok((mut socket, _)) = listener.accept() {
            let is_set_up = socket.set_nonblocking(true).is_ok();
            if self.handover.successor.is_some()
                || !is_set_up
                || !self.lifecycle.accepts_connections(self.now)
            {
                // If this message is lost, the caller starts without inherited state as well.
                let _refused = socket.write(&HandoverMessage::Declined.encode());
                continue;
            }
            let peer = HandoverPeer::new(socket, HandoverReader::default(), self.now);
            self.handover.successor = self.insert(ConnectionKind::Successor(peer)).ok();
        }
        ConnectionAction::Keep
    }

    /// Handles epoll events of the connection to the successor.
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
            (HandoverMessage::Hello { accepts_resources, .. }, HandoverProgress::Connected) => {
                self.send_state(peer);
                if accepts_resources {
                    let message = self.begin_sharing();
                    peer.send(&message);
                }
                Ok(())
            }
            (HandoverMessage::TakeOver, HandoverProgress::StateSent | HandoverProgress::TakeOverSent) => {
                self.hand_over(peer);
                Ok(())
            }
            (HandoverMessage::PendingWrites(pending_writes), HandoverProgress::TakeOverSent) => {
                self.router.restore_pending_writes(self.now, &pending_writes, PeerProcess::Successor);
                Ok(())
            }
            _ => Err(OutOfOrder),
        }
    }

    /// Queues the listening socket and the state for the successor.
    fn send_state(&mut self, peer: &mut HandoverPeer) {
        peer.progress = HandoverProgress::StateSent;
        self.update_shared_limits();
        let mut state = self.router.handover_state();
        state.zones.clone_from(&self.config.names.zones);
        state.kinds.clone_from(&self.config.names.kinds);
        peer.sends_listener = true;
        peer.send(&HandoverMessage::State {
            state: Some(Box::new(state)),
            feed_position: Some(self.feed.last_event()),
            accepts_pending_writes: true,
        });
        info!("handing over to a successor process");
    }

    /// Leaves new clients to the successor: stops accepting, and sends the remaining pending writes
    /// and the incarnation in the cluster, followed by `Released`.
    fn hand_over(&mut self, peer: &mut HandoverPeer) {
        peer.progress = HandoverProgress::TakeOverSent;
        self.apply_lifecycle_event(Event::Replaced);
        self.leave_dns();
        let pending_writes = self.router.take_new_pending_writes(PeerProcess::Successor);
        peer.send(&HandoverMessage::PendingWrites(pending_writes));
        if let Some(ClusterIncarnation { generation, incarnation }) = self.release_cluster_socket() {
            peer.send(&HandoverMessage::ClusterIncarnation { start: generation, incarnation });
        }
        if let Some(message) = self.give_up_resources() {
            peer.send(&message);
        }
        peer.send(&HandoverMessage::Released);
    }

    /// Called when the connection to the successor is closed: this process accepts clients again,
    /// unless it is stopping.
    pub(crate) fn successor_closed(&mut self) {
        self.handover.successor = None;
        self.router.stop_reporting_pending_writes(PeerProcess::Successor);
        self.update_shared_limits();
        self.apply_lifecycle_event(Event::SuccessorGone);
        // The successor has replaced the socket file with its own, so a new one must be bound.
        if let Some(token) = self.handover.rendezvous.take() {
            self.close(token);
        }
        self.take_over_dns();
        if self.lifecycle.accepts_connections(self.now) {
            self.open_rendezvous_socket();
        }
    }

    /// The periodic check of the connection to the successor: closes it if `TakeOver` is overdue.
    pub(crate) fn successor_housekeeping(&mut self, peer: &HandoverPeer) -> ConnectionAction {
        let is_waiting = peer.progress != HandoverProgress::TakeOverSent;
        if is_waiting && self.now > peer.connected_at + TAKE_OVER_TIMEOUT {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }
}
