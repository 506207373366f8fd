//! Leased quotas as shown to operators and as passed to the decision module.

use super::limit::Limit;
use super::options::LeaseTimings;
use super::{QuotaManager, WHOLE_QUOTA};
use crate::counters::{DatagramCount, RejectedDatagrams, RouterCounts};
use crate::Time;
use hollymux_decision::{EndpointId, QuotaScope, QuotaShare, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The state of one limit at the local router. Amounts are in parts of [`super::WHOLE_QUOTA`];
/// instants are on the local clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The identifier of the limit, which is that of the endpoint it applies to.
    pub limit_id: u64,
    /// The set of routers that share the limit.
    pub scope: QuotaScope,
    /// Quota that the local router may use now.
    pub usable: u32,
    /// The local router's own share; 0 while it is not in use.
    pub own_share: u32,
    /// Quota borrowed from other routers.
    pub borrowed: u32,
    /// Quota that other routers may use, or may have used within the last usage window.
    pub lent: u32,
    /// Quota used by the local router within the last usage window.
    pub used: u32,
    /// Quota that the local router wants, as a decaying peak of recent demand.
    pub demand: u32,
    /// Instant at which the next borrowed lease expires; `None` if nothing is borrowed.
    pub next_expiry: Option<Time>,
    /// Instant from which the next lent quota may be used here again; `None` if nothing is lent.
    pub next_reclaim: Option<Time>,
    /// The address of the limit's broker; `None` if the local router is the broker.
    pub broker: Option<SocketAddr>,
}

/// The state of the local router's own share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnShareStatus {
    /// Whether the own share may be used, because all other routers count the local one.
    pub in_use: bool,
    /// The numbers of routers by which limits are divided: `all` for a limit that all routers
    /// share, `own_zone` for one that the routers of the local zone share.
    pub divisors: RouterCounts,
}

/// The shares of limits that the decision module may use. Every share is a fraction of its limit,
/// from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaAllocation {
    /// The own share of each limit that all routers share and that is not in `share_by_endpoint`; 0
    /// while the own share is not in use.
    pub share_of_all: f64,
    /// The own share of each limit that the routers of the local zone share and that is not in
    /// `share_by_endpoint`; 0 while the own share is not in use.
    pub share_of_own_zone: f64,
    /// The usable share of each limit that is in demand here or has leases, by the endpoint that
    /// the limit applies to.
    pub share_by_endpoint: BTreeMap<EndpointId, QuotaShare>,
}

/// Counters of quota datagrams and leases since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounters {
    /// Datagrams received, including rejected ones.
    pub received: DatagramCount,
    /// Datagrams queued for [`QuotaManager::poll_transmit`].
    pub sent: DatagramCount,
    /// Received datagrams that were rejected.
    pub rejected: RejectedDatagrams,
    /// Number of messages ignored because the sender is not a known peer, the message is for
    /// another process at the local address, or its echo is later than the local clock.
    pub stale_messages: u64,
    /// Number of leases granted to other routers or renewed for them.
    pub leases_granted: u64,
    /// Number of leases and renewals received from other routers before they expired.
    pub leases_accepted: u64,
    /// Number of leases and renewals that had expired when they were received, or that replied to
    /// no message of the local process.
    pub leases_expired_in_transit: u64,
}

/// Converts parts of [`WHOLE_QUOTA`] to a fraction of the whole limit.
fn fraction(quota: u32) -> f64 {
    f64::from(quota) / f64::from(WHOLE_QUOTA)
}

impl QuotaManager {
    /// The share of a limit that may be used at `now`, and from when on a smaller one. The own
    /// share, without an end, if the limit is not tracked here or the router has stopped.
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
            // From the expiry of the first lease, all borrowed leases count as expired, unless a
            // new share is set before.
            after: fraction(own_share.saturating_sub(limit.ledger.lent(now, timings))),
        }
    }

    /// The shares of all limits that the decision module may use at `now`.
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
            share_by_endpoint: endpoints,
        }
    }

    /// Whether the own share is in use, and the numbers of routers by which limits are divided.
    pub fn own_share_status(&self) -> OwnShareStatus {
        OwnShareStatus { in_use: self.own_share.in_use(), divisors: self.own_share.divisors() }
    }

    /// The configured lease timings.
    pub fn timings(&self) -> &LeaseTimings {
        &self.options.timings
    }

    /// The addresses of the other routers that have not acknowledged the current set of routers.
    pub fn unacknowledged_by(&self) -> Vec<SocketAddr> {
        let router_set = self.own_share.router_set();
        self.peers
            .iter()
            .filter(|(_, peer)| peer.acknowledged_set != router_set)
            .map(|(address, _)| *address)
            .collect()
    }

    /// The state of each limit that is in demand here, or of which quota is borrowed or lent, in
    /// ascending order of identifier.
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
