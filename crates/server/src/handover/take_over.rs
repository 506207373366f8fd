//! The new process's side of a handover, from applying the inherited state until clients are
//! served. A process without a predecessor also begins to serve here.

use super::peer::{HandoverPeer, HandoverProgress, OutOfOrder};
use super::InheritedSockets;
use crate::cluster::ClusterIncarnation;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer};
use crate::Server;
use hollymux_protocol::handover::HandoverMessage;
use hollymux_router::handover_state::{HandoverState, PeerProcess};
use hollymux_router::lifecycle::{Event, Phase};
use rustix::event::epoll::EventFlags;
use std::io;
use std::net::TcpListener;
use std::time::Duration;
use tracing::info;

/// Longest wait for the predecessor's `Released`. After it, both processes accept clients until the
/// predecessor exits.
const LAST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// The endpoint feed is considered to have sent its whole backlog when nothing new has arrived for
/// this long.
const FEED_QUIET_TIME: Duration = Duration::from_millis(100);

impl Server {
    /// Applies the state received from the predecessor: its endpoint list at once, the rest in
    /// [`Server::begin_serving`], after the endpoint feed has caught up. The feed continues where
    /// the predecessor's stood, so that no older event undoes what was handed over. Returns the
    /// client listener.
    pub(crate) fn inherit(&mut self, inherited: InheritedSockets) -> io::Result<TcpListener> {
        let InheritedSockets { listener, state, feed_position, accepts_pending_writes, socket, reader } =
            inherited;
        if accepts_pending_writes {
            self.router.report_pending_writes(PeerProcess::Predecessor);
        }
        match &state {
            Some(state) => {
                self.inherit_endpoint_list(state, feed_position);
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

    /// Applies the predecessor's endpoint list, which includes the events of the feed up to
    /// `feed_position`, unless the configuration of this process knows later events.
    fn inherit_endpoint_list(&mut self, state: &HandoverState, feed_position: Option<u64>) {
        self.handover.list_may_be_undone = feed_position.is_none();
        if feed_position.is_some_and(|position| position < self.feed.last_event()) {
            return;
        }
        let event = state.full_list_event(&self.config.names.zones, &self.config.names.kinds);
        self.apply_feed_event(event);
        self.execute_pending();
        if let Some(position) = feed_position {
            self.feed.resume_after(position);
        }
    }

    /// Handles epoll events of the connection to the predecessor.
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
                self.router.restore_pending_writes(self.now, &pending_writes, PeerProcess::Predecessor);
            }
            HandoverMessage::ClusterIncarnation { start: generation, incarnation } => {
                self.take_over_cluster_socket(&ClusterIncarnation { generation, incarnation });
            }
            HandoverMessage::Resources(kept) => {
                if let Some(kept) = kept {
                    self.on_predecessor_resources(kept);
                }
            }
            HandoverMessage::Released => self.begin_serving(),
            _ => return Err(OutOfOrder),
        }
        Ok(())
    }

    /// Called when the connection to the predecessor is closed: this process serves alone.
    pub(crate) fn predecessor_closed(&mut self) {
        self.handover.predecessor = None;
        self.router.stop_reporting_pending_writes(PeerProcess::Predecessor);
        self.update_shared_limits();
        info!("predecessor process has ended");
        self.begin_serving();
    }

    /// Begins to serve, unless there is a predecessor. With one, sends it `TakeOver` as soon as the
    /// endpoint feed has sent nothing new for [`FEED_QUIET_TIME`], or at once if the wait for the
    /// feed has timed out (`timed_out`).
    pub(crate) fn try_begin_serving(&mut self, timed_out: bool) {
        if self.lifecycle.phase() != Phase::Starting {
            return;
        }
        let Some(token) = self.handover.predecessor else { return self.begin_serving() };
        let quiet_at = self.feed.last_update + FEED_QUIET_TIME;
        if !timed_out && self.now < quiet_at {
            self.timers.set(quiet_at, Timer::FeedQuiet);
            return;
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

    /// Restores the inherited state, if there is any, and starts to accept clients and successors.
    /// Does nothing if this process serves already.
    pub(crate) fn begin_serving(&mut self) {
        if self.lifecycle.phase() != Phase::Starting {
            return;
        }
        if let Some(state) = self.handover.inherited_state.take() {
            if self.handover.list_may_be_undone {
                let draining_event = state.draining_event(&self.config.names.zones, &self.config.names.kinds);
                self.apply_feed_event(draining_event);
                self.execute_pending();
            }
            self.router.restore(self.now, &state);
        }
        self.apply_lifecycle_event(Event::Started);
        self.take_over_dns();
        self.open_rendezvous_socket();
    }
}
