//! The other routers that limits are shared with.

use crate::membership::{MemberState, Membership};
use std::net::SocketAddr;

/// Another router that may be active.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaPeer {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is in the local router's zone.
    pub same_zone: bool,
    /// Whether it can be reached, as far as membership can tell: saves messages, and decides nothing else.
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
