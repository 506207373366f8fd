//! What operators and the decision module see of leased quotas.

use crate::counters::{DatagramCount, RejectedDatagrams, RouterCounts};
use crate::Time;
use hollymux_decision::{EndpointId, QuotaScope, QuotaShare};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The state of one limit at the local router. Amounts are parts of [`super::WHOLE_QUOTA`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The limit's identifier: that of its endpoint.
    pub limit_id: u64,
    /// The routers that share the limit.
    pub scope: QuotaScope,
    /// What the local router may use now.
    pub usable: u32,
    /// The local router's own even share.
    pub own_share: u32,
    /// Borrowed from other routers.
    pub borrowed: u32,
    /// What other routers may use, or may have used within the last window.
    pub lent: u32,
    /// Used here within the last window.
    pub used: u32,
    /// Wanted here.
    pub demand: u32,
    /// When the next borrowed lease ends, by the local clock.
    pub next_expiry: Option<Time>,
    /// When the next lent quota is available again, by the local clock.
    pub next_reclaim: Option<Time>,
    /// The router that collects unused quota of this limit; none if it is the local one.
    pub broker: Option<SocketAddr>,
}

/// Whether the local router's own even share is in use, and by how many routers limits are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnShareStatus {
    /// The own share may be used: all other routers count this one.
    pub in_use: bool,
    /// By how many routers a limit is divided that all share, and one that a zone shares.
    pub divisors: RouterCounts,
}

/// What the decision module may use: fractions of limits.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaAllocation {
    /// The own even share of any limit that all routers share.
    pub share_of_all: f64,
    /// The own even share of any limit that the routers of the own zone share.
    pub share_of_own_zone: f64,
    /// What may be used of each limit that is in use here.
    pub endpoints: BTreeMap<EndpointId, QuotaShare>,
}

/// Counters for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounters {
    /// Datagrams received.
    pub received: DatagramCount,
    /// Datagrams handed out to be sent.
    pub sent: DatagramCount,
    /// Datagrams that could not be used.
    pub rejected: RejectedDatagrams,
    /// Messages from, or for, another process at the address, or from an unknown router.
    pub stale_messages: u64,
    /// Leases granted or renewed for other routers.
    pub leases_granted: u64,
    /// Leases accepted or renewed from other routers.
    pub leases_accepted: u64,
    /// Leases that had already expired when they arrived.
    pub leases_expired_in_transit: u64,
}
