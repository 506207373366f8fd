//! Leased quotas: limits that routers share and that all of them together must never exceed, such
//! as the warm-up budget of an endpoint.
//!
//! The module decides how much of each limit the local router may use and until when, and how much
//! it lends to which router. The decision module determines the absolute size of a limit and what
//! it is used for.
//!
//! Every limit is divided into [`WHOLE_QUOTA`] parts, each of which only one router may use at a
//! time. A router's *own share* is an even share: the whole divided by the number of possibly
//! active routers. Routers lend parts of their quota to each other by leases. A lease is subtracted
//! at the lender before it is added at the borrower; if the message between them is lost, no router
//! can use its quota until the lease expires. Lender and borrower each count the duration on their
//! own clock, with a margin for clock drift ([`LeaseTimings`]). For each limit, a broker borrows
//! unused quota and lends it to routers that need more.

mod broker;
mod exchange;
#[doc(hidden)]
pub mod lease;
#[doc(hidden)]
pub mod ledger;
mod limit;
mod message;
mod options;
mod own_share;
mod peers;
mod status;

pub use options::{LeaseTimings, QuotaOptions};
pub use peers::{ActivePeers, QuotaPeer};
pub use status::{LeaseStatus, OwnShareStatus, QuotaAllocation, QuotaCounters};

use crate::envelope::cluster_hash;
use crate::transmit::{Transmit, TransmitQueue};
use crate::Time;
use hollymux_decision::WarmUpDemand;
use limit::Limit;
use own_share::OwnShare;
use peers::Peer;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of parts that make up a whole limit; all amounts of quota are in these parts.
pub const WHOLE_QUOTA: u32 = 1 << 20;
/// Maximum number of limits in demand for which quota is leased. Further limits are divided evenly.
pub const MAX_LIMITS: usize = 512;
/// Capacity of the queue of outgoing datagrams. Datagrams beyond it are dropped, which has the same
/// effect as loss in the network.
const MAX_OUTGOING: usize = 512;

/// The local router's quotas of all limits that it shares with other routers. All instants passed
/// to it and returned by it are on the caller's monotonic clock.
#[derive(Clone, Debug)]
pub struct QuotaManager {
    options: QuotaOptions,
    /// The hash of the cluster's name.
    cluster: u64,
    /// The latest instant passed by the caller.
    now: Time,
    /// Instant at which this process started to take part in leasing.
    started_at: Time,
    /// All other routers that may be active and whose addresses are known.
    peers: BTreeMap<SocketAddr, Peer>,
    own_share: OwnShare,
    /// Whether [`QuotaManager::stop`] was called.
    stopped: bool,
    /// The tracked limits, by identifier.
    limits: BTreeMap<u64, Limit>,
    /// The identifier of the last lease granted, of any limit; 0 before the first one.
    last_lease_id: u64,
    /// Instant at which the next exchange with brokers is due.
    next_exchange: Time,
    outgoing: TransmitQueue,
    /// Counters of datagrams and leases, for the admin endpoint and metrics.
    pub counters: QuotaCounters,
}

impl QuotaManager {
    /// Creates the quotas of a router that has just started. It may use nothing until its own share
    /// is acknowledged by the other routers or it has borrowed quota.
    pub fn new(options: QuotaOptions, now: Time) -> QuotaManager {
        QuotaManager {
            cluster: cluster_hash(&options.cluster_name),
            now,
            started_at: now,
            peers: BTreeMap::new(),
            own_share: OwnShare::new(now, options.address, options.configured_routers),
            stopped: false,
            limits: BTreeMap::new(),
            last_lease_id: 0,
            next_exchange: now,
            outgoing: TransmitQueue::new(MAX_OUTGOING),
            counters: QuotaCounters::default(),
            options,
        }
    }

    /// Replaces the decision module's demands. Demands beyond the first [`MAX_LIMITS`] are ignored.
    pub fn update_demand(&mut self, now: Time, demands: &[WarmUpDemand]) {
        self.advance_clock(now);
        self.limits.values_mut().for_each(Limit::clear_demand);
        for demand in demands.iter().take(MAX_LIMITS) {
            let limit =
                self.limits.entry(demand.endpoint.0).or_insert_with(|| Limit::new(now, demand.sharers));
            limit.update_demand(now, demand);
        }
        let timings = self.options.timings;
        self.limits.retain(|_, limit| {
            limit.ledger.expire(now, &timings);
            !limit.is_idle()
        });
    }

    /// Whether a datagram is a quota datagram, judging by its leading byte.
    pub fn is_quota_datagram(bytes: &[u8]) -> bool {
        bytes.first() == Some(&message::VERSION)
    }

    /// Handles a received quota datagram. A rejected datagram is counted and has no other effect.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) {
        self.advance_clock(now);
        self.counters.received.add(bytes.len());
        match message::decode(bytes, self.cluster) {
            Ok(message) => self.on_message(message),
            Err(cause) => self.counters.rejected.count(cause),
        }
    }

    /// Runs the exchange with brokers and other peers if it is due at `now`. To be called when
    /// [`QuotaManager::next_timeout`] is reached, after [`QuotaManager::update_demand`].
    pub fn handle_timeout(&mut self, now: Time) {
        self.advance_clock(now);
        if self.stopped || self.now < self.next_exchange {
            return;
        }
        self.next_exchange = self.now + self.options.timings.exchange_interval;
        self.try_activate_own_share();
        self.request_acknowledgements();
        self.exchange_with_brokers();
    }

    /// Stops the use of quota: the own share is given up, and from now on no leases are requested,
    /// granted or renewed. To be called when the router sends no new requests to endpoints.
    pub fn stop(&mut self, now: Time) {
        self.advance_clock(now);
        self.own_share.release();
        self.stopped = true;
    }

    /// The instant at which [`QuotaManager::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Time {
        self.next_exchange
    }

    /// Removes and returns the next datagram to send; `None` if there is none.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.outgoing.pop()
    }

    /// Advances the local clock to `now`, which never goes back, and applies divisors that are due.
    fn advance_clock(&mut self, now: Time) {
        self.now = now.max(self.now);
        self.own_share.apply_pending(self.now);
    }
}
