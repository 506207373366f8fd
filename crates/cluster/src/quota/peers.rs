//! The other routers with which limits are shared, and what they have reported in their messages.

use super::lease::LeaseHolder;
use super::message::{MessageHeader, NO_ECHO};
use crate::membership::{MemberState, Membership};
use crate::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Another router that may be active.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaPeer {
    /// The advertised address of the router.
    pub address: SocketAddr,
    /// Whether the router is in the local router's zone.
    pub same_zone: bool,
    /// Whether membership considers the router reachable. This decides only which routers are sent
    /// messages and may be brokers; no safety rule depends on it.
    pub reachable: bool,
}

/// All other routers that may be active: input of [`super::QuotaManager::update_peers`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActivePeers {
    /// The routers whose addresses are known.
    pub peers: Vec<QuotaPeer>,
    /// Number of further routers, for which the member table had no room.
    pub unlisted: u32,
}

impl ActivePeers {
    /// The possibly active routers of a membership view, without the local one. While the local
    /// router is isolated, all of them count as unreachable.
    pub fn from_membership(membership: &Membership) -> ActivePeers {
        let own_zone = &membership.own_record().zone;
        let isolated = membership.is_isolated();
        let peers: Vec<QuotaPeer> = membership
            .members()
            .filter(|member| member.record.state != MemberState::Left)
            .map(|member| QuotaPeer {
                address: member.address,
                same_zone: member.record.zone == *own_zone,
                reachable: member.record.state <= MemberState::Suspect && !isolated,
            })
            .collect();
        let listed = peers.len() as u32 + 1;
        let unlisted = membership.possibly_active_count(None).saturating_sub(listed);
        ActivePeers { peers, unlisted }
    }
}

/// The latest demand of another router for one limit. Amounts are in parts of
/// [`super::WHOLE_QUOTA`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PeerDemand {
    /// Total quota that it wants to borrow from the local router.
    pub(super) wanted: u32,
    /// Quota that one of its requests uses; at least 1.
    pub(super) request_size: u32,
    /// Instant on the local clock at which the demand was received.
    pub(super) received_at: Time,
}

/// State of another router that may be active.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) same_zone: bool,
    pub(super) reachable: bool,
    /// The process that sent the last message; `UNKNOWN_INSTANCE` before the first message.
    pub(super) instance_id: u64,
    /// The latest `sent_at`, on the peer's clock, in the messages of this process; `NO_ECHO` before
    /// the first message.
    pub(super) latest_sent_at: Time,
    /// The latest [`MessageHeader::acknowledged_set`] of the peer; 0 before the first message.
    pub(super) acknowledged_set: u64,
    /// The peer's demands, by limit.
    pub(super) demands: BTreeMap<u64, PeerDemand>,
    /// Whether the peer's last message reported that its own share is in use.
    pub(super) uses_own_share: bool,
    /// Whether any process at the peer's address has reported that its own share was in use.
    pub(super) ever_used_own_share: bool,
    /// Whether the peer has reported that it knows that a process at the local address used its own
    /// share.
    pub(super) knows_local_share: bool,
}

impl Peer {
    /// Applies the header of a received message. A header from a new process resets the clock echo
    /// and the demands.
    pub(super) fn update(&mut self, header: &MessageHeader) {
        if self.instance_id != header.sender_instance {
            self.instance_id = header.sender_instance;
            self.latest_sent_at = NO_ECHO;
            self.demands.clear();
        }
        self.latest_sent_at = self.latest_sent_at.max(header.sent_at);
        self.acknowledged_set = header.acknowledged_set;
        self.uses_own_share = header.uses_own_share;
        self.ever_used_own_share |= header.uses_own_share;
        self.knows_local_share |= header.knows_receiver_share;
    }

    /// The process that sent the last message, as a lender or borrower at `address`.
    pub(super) fn holder(&self, address: SocketAddr) -> LeaseHolder {
        LeaseHolder { address, instance_id: self.instance_id }
    }
}
