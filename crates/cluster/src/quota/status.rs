//! What operators and the decision module see of leased quotas.

use super::limit::Limit;
use super::options::LeaseTimings;
use super::{QuotaManager, WHOLE_QUOTA};
use crate::counters::{DatagramCount, RejectedDatagrams, RouterCounts};
use crate::Time;
use hollymux_decision::{EndpointId, QuotaScope, QuotaShare, Timestamp};
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

/// Parts of a limit as a fraction of it.
fn fraction(quota: u32) -> f64 {
    f64::from(quota) / f64::from(WHOLE_QUOTA)
}

impl QuotaManager {
    /// What may be used of a limit here; the own even share if it is not in use yet.
    pub fn usable_share(&self, now: Time, limit_id: u64, scope: QuotaScope) -> QuotaShare {
        let own_share = self.own_share.of(scope);
        let constant = |share: f64| QuotaShare { now: share, until: Timestamp::MAX, after: share };
        let Some(limit) = self.limits.get(&limit_id).filter(|_| !self.stopped) else {
            return constant(fraction(own_share));
        };
        let timings = &self.options.timings;
        let usable = fraction(limit.ledger.usable(now, own_share, timings));
        let Some(expires_at) = limit.ledger.next_expiry(now) else { return constant(usable) };
        QuotaShare {
            now: usable,
            until: Timestamp::from_micros(expires_at),
            // When the first lease expires all of them count as expired: the next message says
            // more.
            after: fraction(own_share.saturating_sub(limit.ledger.lent(now, timings))),
        }
    }

    /// What the decision module may use now.
    pub fn allocation(&self, now: Time) -> QuotaAllocation {
        let divisors = self.own_share.divisors();
        let even_share = |divisor: u32| match self.own_share.in_use() {
            true => 1.0 / f64::from(divisor),
            false => 0.0,
        };
        let endpoints = self
            .limits
            .iter()
            .map(|(limit_id, limit)| (EndpointId(*limit_id), self.usable_share(now, *limit_id, limit.scope)))
            .collect();
        QuotaAllocation {
            share_of_all: even_share(divisors.all),
            share_of_own_zone: even_share(divisors.own_zone),
            endpoints,
        }
    }

    /// Whether the own share is in use, and by how many routers limits are divided.
    pub fn own_share_status(&self) -> OwnShareStatus {
        OwnShareStatus { in_use: self.own_share.in_use(), divisors: self.own_share.divisors() }
    }

    /// The times that are in force.
    pub fn timings(&self) -> &LeaseTimings {
        &self.options.timings
    }

    /// Other routers that have not said that they count the local one.
    pub fn unacknowledged_by(&self) -> Vec<SocketAddr> {
        let router_set = self.own_share.router_set();
        self.peers
            .iter()
            .filter(|(_, peer)| peer.acknowledged_set != router_set)
            .map(|(address, _)| *address)
            .collect()
    }

    /// All limits that are in use here, or of which something is borrowed or lent.
    pub fn lease_statuses(&self) -> Vec<LeaseStatus> {
        self.limits.iter().map(|(limit_id, limit)| self.lease_status(*limit_id, limit)).collect()
    }

    fn lease_status(&self, limit_id: u64, limit: &Limit) -> LeaseStatus {
        let timings = &self.options.timings;
        let own_share = self.own_share.of(limit.scope);
        LeaseStatus {
            limit_id,
            scope: limit.scope,
            usable: limit.ledger.usable(self.now, own_share, timings),
            own_share,
            borrowed: limit.ledger.borrowed(self.now),
            lent: limit.ledger.lent(self.now, timings),
            used: limit.used,
            demand: limit.demand(self.now),
            next_expiry: limit.ledger.next_expiry(self.now),
            next_reclaim: limit.ledger.next_reclaim(self.now, timings),
            broker: self.broker(limit_id, limit.scope),
        }
    }
}
