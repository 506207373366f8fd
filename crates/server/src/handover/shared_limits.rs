//! How two processes of a handover share the limits of descriptors and buffers. The old process keeps
//! what it uses and tells the new one, which may use the rest. Before that, and with a process that
//! does not know of this, each may use half.

use crate::event_loop::{ConnectionAction, ConnectionKind};
use crate::server::{max_buffers, RESERVED_DESCRIPTORS};
use crate::Server;
use hollymux_protocol::handover::{HandoverMessage, ResourceUse};

/// Number of connections to endpoints that a process keeps beyond those that carry its open requests.
const SPARE_CONNECTIONS: usize = 8;
/// Divisor of the limit of buffers that gives the number of buffers that a process keeps beyond those
/// that it uses, for the responses to its open requests.
const SPARE_BUFFERS_DIVISOR: u32 = 8;

/// The limits of this process during a handover.
#[derive(Default)]
pub(crate) struct SharedLimits {
    /// What the predecessor keeps, with what a predecessor of its own keeps; `None` if it has not said
    /// so.
    predecessor_keeps: Option<ResourceUse>,
    /// What this process keeps beside its successor; `None` if the successor is not told.
    own_keeps: Option<ResourceUse>,
}

impl Server {
    /// The limits of all processes of a handover together.
    fn joint_limits(&self) -> ResourceUse {
        ResourceUse {
            descriptors: self.config.max_descriptors as u32,
            buffers: max_buffers(&self.config) as u32,
        }
    }

    /// What this process may use beside its predecessor, if it has one.
    fn limits_beside_predecessor(&self) -> ResourceUse {
        let joint = self.joint_limits();
        match (self.handover.predecessor, self.handover.shared_limits.predecessor_keeps) {
            (None, _) => joint,
            (Some(_), Some(kept)) => joint.without(kept),
            (Some(_), None) => joint.half(),
        }
    }

    /// What this process may use.
    fn own_limits(&self) -> ResourceUse {
        let limits = self.limits_beside_predecessor();
        match (self.handover.successor, self.handover.shared_limits.own_keeps) {
            (None, _) => limits,
            (Some(_), Some(kept)) => kept,
            (Some(_), None) => limits.half(),
        }
    }

    /// Applies the limits after a process of the handover has come, gone or left resources.
    pub(super) fn update_shared_limits(&mut self) {
        if self.handover.predecessor.is_none() {
            self.handover.shared_limits.predecessor_keeps = None;
        }
        if self.handover.successor.is_none() {
            self.handover.shared_limits.own_keeps = None;
        }
        let shared = self.handover.successor.is_some() || self.handover.predecessor.is_some();
        self.handover.limits_shared = shared;
        self.router.set_additional_routers(shared);
        self.buffers.set_max_buffers(self.own_limits().buffers as usize);
    }

    /// Maximum number of descriptors that this process may use.
    pub(crate) fn max_descriptors(&self) -> usize {
        self.own_limits().descriptors as usize
    }

    /// Whether this process only keeps the connections that it has, as its successor admits all others.
    pub(crate) fn keeps_only_its_connections(&self) -> bool {
        self.lifecycle.is_replaced() && self.handover.shared_limits.own_keeps.is_some()
    }

    /// Applies what the predecessor keeps.
    pub(super) fn on_predecessor_resources(&mut self, kept: ResourceUse) {
        self.handover.shared_limits.predecessor_keeps = Some(kept);
        self.update_shared_limits();
        self.resume_listeners();
    }

    /// Begins to tell the successor what this process keeps: what it uses, and at least half before it
    /// has handed its clients over. Returns the message about it.
    pub(super) fn begin_sharing(&mut self) -> HandoverMessage {
        let keeps = self.limits_beside_predecessor().half().at_least(self.resources_in_use());
        self.handover.shared_limits.own_keeps = Some(keeps);
        self.resources_message(keeps)
    }

    fn resources_in_use(&self) -> ResourceUse {
        let connections = self.client_count + self.endpoints.connection_count;
        ResourceUse {
            descriptors: (RESERVED_DESCRIPTORS + connections) as u32,
            buffers: self.buffers.in_use() as u32,
        }
    }

    /// What this process needs for its open requests, once it has handed its clients over.
    fn resources_needed(&self) -> ResourceUse {
        let spare = ResourceUse {
            descriptors: SPARE_CONNECTIONS as u32,
            buffers: self.joint_limits().buffers / SPARE_BUFFERS_DIVISOR,
        };
        self.resources_in_use().with(spare)
    }

    /// Gives up what this process no longer needs. Returns the message that tells the successor;
    /// `None` if there is nothing to tell it.
    pub(super) fn give_up_resources(&mut self) -> Option<HandoverMessage> {
        let kept = self.handover.shared_limits.own_keeps?;
        let keeps = kept.at_most(self.resources_needed());
        if !self.lifecycle.is_replaced() || keeps == kept {
            return None;
        }
        self.handover.shared_limits.own_keeps = Some(keeps);
        self.buffers.set_max_buffers(keeps.buffers as usize);
        Some(self.resources_message(keeps))
    }

    /// The message that tells the successor what this process and its predecessor keep.
    pub(super) fn resources_message(&self, keeps: ResourceUse) -> HandoverMessage {
        let predecessor_keeps = self.joint_limits().without(self.limits_beside_predecessor());
        HandoverMessage::Resources(Some(predecessor_keeps.with(keeps)))
    }

    /// Leaves the successor what this process no longer needs, and closes connections to endpoints that
    /// carry no request.
    pub(crate) fn leave_resources(&mut self) {
        let Some(token) = self.handover.successor else { return };
        // A handler that has taken the connection out tells the successor itself.
        if !matches!(self.connections.get(token), Some(ConnectionKind::Successor(_))) {
            return;
        }
        if self.keeps_only_its_connections() {
            self.close_unused_endpoint_connections(SPARE_CONNECTIONS);
        }
        let Some(message) = self.give_up_resources() else { return };
        let Some(mut connection) = self.connections.take(token) else { return };
        let mut action = ConnectionAction::Keep;
        if let ConnectionKind::Successor(peer) = &mut connection {
            peer.send(&message);
            action = self.flush_peer(token, peer);
        }
        self.restore(token, connection, action);
    }
}
