//! Dissemination: gossip updates ride on every datagram until each has been sent often enough to
//! reach nearly all.

use super::message::{self, GossipUpdate, MessageBody, MessageHeader, NO_SUSPECTOR};
use super::record::MemberState;
use super::Membership;
use crate::envelope::MAX_DATAGRAM_LEN;
use crate::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Routers that updates are sent to in one round of gossip.
const GOSSIP_FANOUT: usize = 3;
/// An update is sent this many times the base-2 logarithm of the cluster's size.
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// No update is shorter than this in bytes, which bounds how many can fit a datagram.
const MIN_UPDATE_LEN: usize = 32;
/// Rounds of gossip in which a router announces that it leaves.
const LEAVE_ROUNDS: usize = 2;

/// The routers whose records are still to be disseminated.
#[derive(Clone, Debug)]
pub(super) struct GossipQueue {
    /// How often each was sent.
    transmissions: BTreeMap<SocketAddr, u32>,
    /// When the next round of gossip is due.
    pub(super) next_round: Time,
}

impl GossipQueue {
    pub(super) fn new(now: Time) -> GossipQueue {
        GossipQueue { transmissions: BTreeMap::new(), next_round: now }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.transmissions.len()
    }

    /// Has a router's record disseminated from the beginning.
    pub(super) fn enqueue(&mut self, member: SocketAddr) {
        self.transmissions.insert(member, 0);
    }

    pub(super) fn remove(&mut self, member: SocketAddr) {
        self.transmissions.remove(&member);
    }

    /// Counts one transmission; after `max` of them there is nothing more to disseminate.
    fn record_transmission(&mut self, member: SocketAddr, max: u32) {
        let Some(count) = self.transmissions.get_mut(&member) else { return };
        *count += 1;
        if *count >= max {
            self.transmissions.remove(&member);
        }
    }

    /// Routers in the order in which their records are sent: the least sent first.
    fn least_sent_first(&self) -> Vec<SocketAddr> {
        let mut queued: Vec<(u32, SocketAddr)> =
            self.transmissions.iter().map(|(member, count)| (*count, *member)).collect();
        queued.sort_unstable();
        queued.into_iter().map(|(_, member)| member).collect()
    }
}

impl Membership {
    /// Sends a message with as many gossip updates as fit.
    pub(super) fn send(&mut self, destination: SocketAddr, body: MessageBody) {
        let updates = self.select_updates(destination);
        let encoded = message::encode(&self.header(body), updates.iter());
        let max_transmissions = self.max_transmissions();
        for update in &updates[..encoded.update_count] {
            self.gossip.record_transmission(update.member, max_transmissions);
        }
        self.enqueue_datagram(destination, encoded.payload);
    }

    /// The header of a message that is sent now.
    pub(super) fn header(&self, body: MessageBody) -> MessageHeader {
        MessageHeader {
            cluster: self.cluster,
            sender: self.options.address,
            record: self.record.clone(),
            view_digest: self.digest(),
            body,
        }
    }

    pub(super) fn enqueue_datagram(&mut self, destination: SocketAddr, payload: Vec<u8>) {
        debug_assert!(payload.len() <= MAX_DATAGRAM_LEN, "a datagram of {} bytes", payload.len());
        if self.outgoing.is_full() {
            self.counters.dropped += 1;
            return;
        }
        self.counters.sent.add(payload.len());
        self.outgoing.push(destination, payload);
    }

    fn max_transmissions(&self) -> u32 {
        let routers = self.table.len() + 1;
        let log2_rounded_up = usize::BITS - routers.leading_zeros();
        RETRANSMIT_MULTIPLIER * log2_rounded_up
    }

    /// The updates for a receiver. If it is suspected or failed itself, that comes first, so that
    /// it can refute at once.
    fn select_updates(&self, receiver: SocketAddr) -> Vec<GossipUpdate> {
        let receiver_is_accused = self
            .table
            .get(receiver)
            .is_some_and(|member| matches!(member.record.state, MemberState::Suspect | MemberState::Failed));
        let mut updates = Vec::new();
        if receiver_is_accused {
            updates.extend(self.updates_about(receiver));
        }
        let queued = self
            .gossip
            .least_sent_first()
            .into_iter()
            .filter(|member| *member != receiver || !receiver_is_accused)
            .take(MAX_DATAGRAM_LEN / MIN_UPDATE_LEN);
        updates.extend(queued.flat_map(|member| self.updates_about(member)));
        updates
    }

    /// What there is to say of a router: for a suspect, one update for each router that suspects
    /// it.
    fn updates_about(&self, address: SocketAddr) -> Vec<GossipUpdate> {
        if address == self.options.address {
            let record = self.record.clone();
            return vec![GossipUpdate { member: address, record, suspector: NO_SUSPECTOR }];
        }
        let Some(member) = self.table.get(address) else { return Vec::new() };
        let update = |suspector| GossipUpdate { member: address, record: member.record.clone(), suspector };
        match &member.suspicion {
            Some(suspicion) => suspicion.suspectors().map(update).collect(),
            None => vec![update(NO_SUSPECTOR)],
        }
    }

    /// One round of gossip: sends updates to a few routers, if there are any.
    pub(super) fn gossip_round(&mut self) {
        self.gossip.next_round = self.now + self.options.timings.gossip_interval;
        if self.gossip.is_empty() {
            return;
        }
        for destination in self.sample_reachable(GOSSIP_FANOUT, &[]) {
            if !self.gossip.is_empty() {
                self.send(destination, MessageBody::Gossip);
            }
        }
    }

    /// Sends the own record, which says that the router leaves, to a few routers, which pass it on.
    pub(super) fn announce_leave(&mut self) {
        for _ in 0..LEAVE_ROUNDS {
            self.gossip.enqueue(self.options.address);
            self.gossip_round();
        }
    }
}
