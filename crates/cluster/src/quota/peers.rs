//! The other routers that limits are shared with.

use super::lease::LeaseHolder;
use super::message::MessageHeader;
use crate::membership::{MemberState, Membership};
use crate::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Another router that may be active.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaPeer {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is in the local router's zone.
    pub same_zone: bool,
    /// Whether it can be reached, as far as membership can tell: saves messages, and decides
    /// nothing else.
    pub reachable: bool,
}

/// All other routers that may be active.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActivePeers {
    /// Those that are known by address.
    pub peers: Vec<QuotaPeer>,
    /// How many more there may be, for which the member table had no room.
    pub unlisted: u32,
}

impl ActivePeers {
    /// All other routers that may be active according to membership.
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

/// What another router last wanted of a limit from the local one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PeerDemand {
    pub(super) wanted: u32,
    /// What one request takes there.
    pub(super) request_size: u32,
    pub(super) received_at: Time,
}

/// What is known of another router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) same_zone: bool,
    pub(super) reachable: bool,
    /// The process that sent the last message; 0 before the first one.
    pub(super) instance_id: u64,
    /// The latest of its clock that it has sent.
    pub(super) latest_sent_at: Time,
    /// The digest of the set of routers by which it divides, and under which all that it has lent
    /// fits.
    pub(super) acknowledged_set: u64,
    /// What it wants, by limit.
    pub(super) demands: BTreeMap<u64, PeerDemand>,
    /// Its present process uses its own share.
    pub(super) uses_own_share: bool,
    /// Its present process or an earlier one used its own share.
    pub(super) ever_used_own_share: bool,
    /// It has said that a process at the local address used its own share.
    pub(super) knows_local_share: bool,
}

impl Peer {
    /// Takes a message's header.
    pub(super) fn update(&mut self, header: &MessageHeader) {
        if self.instance_id != header.sender_instance {
            self.instance_id = header.sender_instance;
            self.latest_sent_at = 0;
            self.demands.clear();
        }
        self.latest_sent_at = self.latest_sent_at.max(header.sent_at);
        self.acknowledged_set = header.acknowledged_set;
        self.uses_own_share = header.uses_own_share;
        self.ever_used_own_share |= header.uses_own_share;
        self.knows_local_share |= header.knows_receiver_share;
    }

    /// Its present process as a lender or a borrower.
    pub(super) fn holder(&self, address: SocketAddr) -> LeaseHolder {
        LeaseHolder { address, instance_id: self.instance_id }
    }
}
