//! The new process of a handover, from the state that it was given to the first client that it
//! serves. A process without a predecessor begins to serve here, too.

use super::peer::{HandoverPeer, HandoverProgress, OutOfOrder};
use super::InheritedSockets;
use crate::cluster::ClusterIncarnation;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer};
use crate::Server;
use hollymux_protocol::handover::HandoverMessage;
use hollymux_router::lifecycle::{Event, Phase};
use rustix::event::epoll::EventFlags;
use std::io;
use std::net::TcpListener;
use std::time::Duration;
use tracing::info;

/// The predecessor may take this long for its last message; after that both processes accept
/// clients until it ends.
const LAST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// The endpoint feed has sent everything that it had when nothing more has come for this long.
const FEED_QUIET_TIME: Duration = Duration::from_millis(100);

impl Server {
    /// Applies what the predecessor handed over: its endpoint list at once, the rest when the
    /// endpoint feed has been heard. Returns the clients' listener.
    pub(crate) fn inherit(&mut self, inherited: InheritedSockets) -> io::Result<TcpListener> {
        let InheritedSockets { listener, state, socket, reader } = inherited;
        match &state {
            Some(state) => {
                let event = state.full_list_event(&self.config.names.zones, &self.config.names.kinds);
                self.apply_feed_event(event);
                self.execute_pending();
                info!(
                    endpoints = state.endpoints.len(),
                    pending_writes = state.pending_writes.len(),
                    "taking over from the process that serves this address"
                );
            }
            None => info!("taking over only the listening socket: the predecessor has another version"),
        }
        self.handover.inherited_state = state;
        let peer = HandoverPeer::new(socket, reader, self.now);
        self.handover.predecessor = Some(self.insert(ConnectionKind::Predecessor(peer))?);
        self.update_shared_limits();
        Ok(listener)
    }

    /// The predecessor has sent something, or its socket is writable.
    pub(crate) fn on_predecessor(
        &mut self,
        token: ConnectionToken,
        peer: &mut HandoverPeer,
        flags: EventFlags,
    ) -> ConnectionAction {
        self.on_handover_peer(token, peer, flags, Server::on_predecessor_message)
    }

    fn on_predecessor_message(
        &mut self,
        _: &mut HandoverPeer,
        message: HandoverMessage,
    ) -> Result<(), OutOfOrder> {
        match message {
            HandoverMessage::PendingWrites(pending_writes) => {
                self.router.restore_pending_writes(self.now, &pending_writes)
            }
            HandoverMessage::ClusterIncarnation { start: generation, incarnation } => {
                self.take_over_cluster_socket(&ClusterIncarnation { generation, incarnation });
            }
            HandoverMessage::Released => self.begin_serving(),
            _ => return Err(OutOfOrder),
        }
        Ok(())
    }

    /// The predecessor has ended.
    pub(crate) fn predecessor_closed(&mut self) {
        self.handover.predecessor = None;
        self.update_shared_limits();
        info!("predecessor process has ended");
        self.begin_serving();
    }

    /// Everything that is needed to serve is there, or was waited for long enough (`timed_out`). A
    /// process that replaces another one waits until the endpoint feed has sent everything that it
    /// had, and then asks for the clients.
    pub(crate) fn try_begin_serving(&mut self, timed_out: bool) {
        if self.lifecycle.phase() != Phase::Starting {
            return;
        }
        let Some(token) = self.handover.predecessor else { return self.begin_serving() };
        let quiet_at = self.feed.last_update + FEED_QUIET_TIME;
        if !timed_out && self.now < quiet_at {
            return self.timers.set(quiet_at, Timer::FeedQuiet);
        }
        let Some(ConnectionKind::Predecessor(mut peer)) = self.connections.take(token) else { return };
        if peer.progress != HandoverProgress::TakeOverSent {
            peer.progress = HandoverProgress::TakeOverSent;
            peer.send(&HandoverMessage::TakeOver);
            self.timers.set(self.now + LAST_MESSAGE_TIMEOUT, Timer::HandoverTimeout);
        }
        let action = self.flush_peer(token, &mut peer);
        self.restore(token, ConnectionKind::Predecessor(peer), action);
    }

    /// The process serves from now on.
    pub(crate) fn begin_serving(&mut self) {
        if self.lifecycle.phase() != Phase::Starting {
            return;
        }
        if let Some(state) = self.handover.inherited_state.take() {
            let drained = state.draining_event(&self.config.names.zones, &self.config.names.kinds);
            self.apply_feed_event(drained);
            self.execute_pending();
            self.router.restore(self.now, &state);
        }
        self.apply_lifecycle_event(Event::Started);
        self.open_rendezvous_socket();
    }
}
