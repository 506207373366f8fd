//! Exchange of quota messages: sending to brokers and other peers, and handling of received
//! messages.

use super::lease::LeaseHolder;
use super::limit::Limit;
use super::message::{self, LimitEntry, Message, MessageHeader, MAX_ENTRIES, NO_ECHO, UNKNOWN_INSTANCE};
use super::peers::PeerDemand;
use super::{QuotaManager, MAX_LIMITS, WHOLE_QUOTA};
use crate::envelope::MAX_DATAGRAM_LEN;
use crate::Time;
use hollymux_decision::QuotaScope;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl QuotaManager {
    /// Sends each broker the local router's demand, and leases of the quota that is not needed
    /// here, for all limits in demand.
    pub(super) fn exchange_with_brokers(&mut self) {
        let limits: Vec<u64> = self
            .limits
            .iter()
            .filter(|(_, limit)| limit.in_demand && limit.scope != QuotaScope::OtherZone)
            .map(|(limit_id, _)| *limit_id)
            .collect();
        let mut entries_by_broker: BTreeMap<SocketAddr, Vec<LimitEntry>> = BTreeMap::new();
        for limit_id in limits {
            if let Some(offer) = self.offer_to_broker(limit_id) {
                entries_by_broker.entry(offer.broker).or_default().push(offer.entry);
            }
        }
        for (broker, entries) in entries_by_broker {
            for chunk in entries.chunks(MAX_ENTRIES) {
                self.send(broker, chunk.to_vec(), false);
            }
        }
    }

    /// Sends a message to a peer. Does nothing if the router is not a known peer; drops the message
    /// if the transmit queue is full.
    pub(super) fn send(&mut self, destination: SocketAddr, entries: Vec<LimitEntry>, is_reply: bool) {
        let Some(peer) = self.peers.get(&destination) else { return };
        let header = MessageHeader {
            cluster: self.cluster,
            sender: self.options.address,
            sender_instance: self.options.instance_id,
            receiver_instance: peer.instance_id,
            sent_at: self.now,
            echoed_at: peer.latest_sent_at,
            acknowledged_set: self.acknowledged_set(),
            uses_own_share: self.own_share.in_use(),
            knows_receiver_share: peer.ever_used_own_share,
            is_reply,
        };
        let payload = message::encode(&header, &entries);
        debug_assert!(
            payload.len() <= MAX_DATAGRAM_LEN,
            "quota datagram of {} bytes exceeds {MAX_DATAGRAM_LEN}",
            payload.len()
        );
        if self.outgoing.is_full() {
            return;
        }
        self.counters.sent.add(payload.len());
        self.outgoing.push(destination, payload);
    }

    /// Handles a received message and replies to it, unless it is a reply itself or the local
    /// router has stopped. A message from an unknown router, for another process at the local
    /// address, or with an echo from the local clock's future only counts as stale. Leases are
    /// accepted only from a message that names the local process as its receiver.
    pub(super) fn on_message(&mut self, message: Message) {
        let Message { header, entries } = message;
        let is_for_local_instance = header.receiver_instance == self.options.instance_id;
        let receiver_is_unknown = header.receiver_instance == UNKNOWN_INSTANCE;
        let Some(peer) = self.peers.get_mut(&header.sender) else {
            self.counters.stale_messages += 1;
            return;
        };
        if !is_for_local_instance && !receiver_is_unknown || header.echoed_at > self.now {
            self.counters.stale_messages += 1;
            return;
        }
        peer.update(&header);
        let sender = LeaseHolder { address: header.sender, instance_id: header.sender_instance };
        for entry in &entries {
            if is_for_local_instance {
                self.accept_transfers(sender, entry, header.echoed_at);
            }
            if !header.is_reply {
                self.record_demand(sender.address, entry);
            }
        }
        if !header.is_reply && !self.stopped {
            let replies = entries.iter().filter_map(|entry| self.grant_to(sender, entry)).collect();
            self.send(sender.address, replies, true);
        }
    }

    /// Records a peer's demand for a limit. A demand for a further limit is ignored once
    /// [`MAX_LIMITS`] limits are recorded for the peer.
    fn record_demand(&mut self, sender: SocketAddr, entry: &LimitEntry) {
        let Some(peer) = self.peers.get_mut(&sender) else { return };
        let is_known = peer.demands.contains_key(&entry.limit_id);
        if !is_known && peer.demands.len() >= MAX_LIMITS {
            return;
        }
        let demand = PeerDemand {
            wanted: entry.wanted.min(WHOLE_QUOTA),
            request_size: entry.request_size.max(1),
            received_at: self.now,
        };
        peer.demands.insert(entry.limit_id, demand);
    }

    /// Accepts the leases granted in one entry of a message. Their durations start at
    /// `requested_at`: the instant on the local clock at which the local message was sent that the
    /// lender echoes, or [`NO_ECHO`] if it echoes none. Leases that have expired by now are only
    /// counted.
    fn accept_transfers(&mut self, lender: LeaseHolder, entry: &LimitEntry, requested_at: Time) {
        let now = self.now;
        // Quota of a limit that the local router does not share could not be used here.
        let is_shared = |limit: &&mut Limit| limit.scope != QuotaScope::OtherZone;
        let Some(limit) = self.limits.get_mut(&entry.limit_id).filter(is_shared) else { return };
        for transfer in &entry.transfers {
            let duration = transfer.duration.min(self.options.timings.lease_duration);
            let expires_at = requested_at.saturating_add(duration);
            if requested_at == NO_ECHO || expires_at <= now {
                self.counters.leases_expired_in_transit += 1;
                continue;
            }
            self.counters.leases_accepted += 1;
            limit.ledger.borrow(now, lender, transfer, expires_at);
        }
    }
}
