//! Leased quotas: limits of the whole cluster that must never be exceeded, shared by all routers.
//! One such limit is the load that an endpoint bears while it warms up.
//!
//! The module decides how much of each limit the local router may use now and until when, and what
//! it lends to whom. How much a limit is, and what it is used for, is the decision module's matter.
//!
//! Every limit is [`WHOLE_QUOTA`] parts that exist once. A router's *own share* is an even one, by
//! the number of routers that may be active. Parts of it move by leases, which are subtracted at
//! the lender before they are added at the borrower; what is lost in between is void until the
//! lease expires. Each side's leases run on its own clock, with a bound on drift
//! ([`LeaseTimings`]). Unused quota and demand meet at a broker.

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

/// The parts that a limit consists of; all quotas are counted in these.
pub const WHOLE_QUOTA: u32 = 1 << 20;
/// Limits that are leased at once; routers divide any further ones evenly.
pub const MAX_LIMITS: usize = 512;
/// Datagrams that wait to be sent at most; more are dropped as if the network had lost them.
const MAX_OUTGOING: usize = 512;

/// The local router's quotas of the cluster's limits.
#[derive(Clone, Debug)]
pub struct QuotaManager {
    options: QuotaOptions,
    /// The hash of the cluster's name.
    cluster: u64,
    now: Time,
    started_at: Time,
    /// All other routers that may be active.
    peers: BTreeMap<SocketAddr, Peer>,
    own_share: OwnShare,
    stopped: bool,
    limits: BTreeMap<u64, Limit>,
    /// The number of the last lease that was granted.
    last_lease_id: u64,
    next_exchange: Time,
    outgoing: TransmitQueue,
    /// Counters for operators.
    pub counters: QuotaCounters,
}

impl QuotaManager {
    /// A router that has just started: it may use nothing.
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

    /// Takes what the decision module wants now, in place of what it wanted before.
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

    /// Whether a datagram is one of quotas, by its first byte.
    pub fn is_quota_datagram(bytes: &[u8]) -> bool {
        bytes.first() == Some(&message::VERSION)
    }

    /// A quota datagram was received. One that is rejected is counted and has no other effect.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) {
        self.advance_clock(now);
        self.counters.received.add(bytes.len());
        match message::decode(bytes, self.cluster) {
            Ok(message) => self.on_message(message),
            Err(cause) => self.counters.rejected.count(cause),
        }
    }

    /// Time has passed; to be called when [`QuotaManager::next_timeout`] is due, after
    /// [`QuotaManager::update_demand`].
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

    /// The router sends no new requests from now on: it gives its own share up.
    pub fn stop(&mut self, now: Time) {
        self.advance_clock(now);
        self.own_share.release();
        self.stopped = true;
    }

    /// When [`QuotaManager::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Time {
        self.next_exchange
    }

    /// The next datagram to send.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.outgoing.pop()
    }

    fn advance_clock(&mut self, now: Time) {
        self.now = now.max(self.now);
        self.own_share.apply_pending(self.now);
    }
}
