//! Dissemination: gossip updates are piggybacked on every datagram until each update has been sent
//! often enough to reach nearly all routers.

use super::message::{self, GossipUpdate, MessageBody, MessageHeader, NO_SUSPECTOR};
use super::record::MemberState;
use super::Membership;
use crate::envelope::MAX_DATAGRAM_LEN;
use crate::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of routers that receive updates in one gossip round.
const GOSSIP_FANOUT: usize = 3;
/// Number of transmissions of each update per bit of the cluster's size. An update is sent this
/// many times the bit length of the number of known routers, which is their base-2 logarithm
/// rounded down, plus one.
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// Assumed minimum length of an encoded update in bytes, which bounds how many updates are
/// considered for one datagram.
const MIN_UPDATE_LEN: usize = 32;
/// Number of gossip rounds, sent at once, in which a router announces that it leaves.
const LEAVE_ROUNDS: usize = 2;

/// The routers whose records are still being disseminated, and the time of the next gossip round.
#[derive(Clone, Debug)]
pub(super) struct GossipQueue {
    /// Number of times that each queued router's record has been sent since it was queued, by the
    /// router's address.
    transmissions: BTreeMap<SocketAddr, u32>,
    /// Instant on the local clock at which the next gossip round is due.
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

    /// Queues a router's record for dissemination; if it is queued already, its number of
    /// transmissions restarts at 0.
    pub(super) fn enqueue(&mut self, member: SocketAddr) {
        self.transmissions.insert(member, 0);
    }

    pub(super) fn remove(&mut self, member: SocketAddr) {
        self.transmissions.remove(&member);
    }

    /// Counts one transmission of a router's record and removes the record from the queue after
    /// `max` transmissions.
    fn record_transmission(&mut self, member: SocketAddr, max: u32) {
        let Some(count) = self.transmissions.get_mut(&member) else { return };
        *count += 1;
        if *count >= max {
            self.transmissions.remove(&member);
        }
    }

    /// The queued routers, ordered by ascending number of transmissions.
    fn least_sent_first(&self) -> Vec<SocketAddr> {
        let mut queued: Vec<(u32, SocketAddr)> =
            self.transmissions.iter().map(|(member, count)| (*count, *member)).collect();
        queued.sort_unstable();
        queued.into_iter().map(|(_, member)| member).collect()
    }
}

impl Membership {
    /// Sends a message with as many queued gossip updates as fit into the datagram.
    pub(super) fn send(&mut self, destination: SocketAddr, body: MessageBody) {
        let updates = self.select_updates(destination);
        let encoded = message::encode(&self.header(body), updates.iter());
        let max_transmissions = self.max_transmissions();
        for update in &updates[..encoded.update_count] {
            self.gossip.record_transmission(update.member, max_transmissions);
        }
        self.enqueue_datagram(destination, encoded.payload);
    }

    /// The header of a message sent now, with the local router's current record and view digest.
    pub(super) fn header(&self, body: MessageBody) -> MessageHeader {
        MessageHeader {
            cluster: self.cluster,
            sender: self.options.address,
            record: self.record.clone(),
            view_digest: self.digest(),
            body,
        }
    }

    /// Queues an encoded datagram for sending; drops and counts it if the transmit queue is full.
    pub(super) fn enqueue_datagram(&mut self, destination: SocketAddr, payload: Vec<u8>) {
        debug_assert!(
            payload.len() <= MAX_DATAGRAM_LEN,
            "membership datagram of {} bytes exceeds {MAX_DATAGRAM_LEN}",
            payload.len()
        );
        if self.outgoing.is_full() {
            self.counters.queue_overflows += 1;
            return;
        }
        self.counters.sent.add(payload.len());
        self.outgoing.push(destination, payload);
    }

    /// Number of transmissions after which an update is no longer disseminated.
    fn max_transmissions(&self) -> u32 {
        let routers = self.table.len() + 1;
        let bit_length = usize::BITS - routers.leading_zeros();
        RETRANSMIT_MULTIPLIER * bit_length
    }

    /// The candidate updates for a message to `receiver`, in order of preference. If the receiver
    /// itself is suspected or failed, its own record comes first, so that it can refute at once.
    fn select_updates(&self, receiver: SocketAddr) -> Vec<GossipUpdate> {
        let is_receiver_suspected_or_failed = self
            .table
            .get(receiver)
            .is_some_and(|member| matches!(member.record.state, MemberState::Suspect | MemberState::Failed));
        let mut updates = Vec::new();
        if is_receiver_suspected_or_failed {
            updates.extend(self.updates_about(receiver));
        }
        let queued = self
            .gossip
            .least_sent_first()
            .into_iter()
            .filter(|member| *member != receiver || !is_receiver_suspected_or_failed)
            .take(MAX_DATAGRAM_LEN / MIN_UPDATE_LEN);
        updates.extend(queued.flat_map(|member| self.updates_about(member)));
        updates
    }

    /// The updates that disseminate a router's record: one update per suspecting router for a
    /// suspect, otherwise a single one. Empty if the router is not in the member table or if no
    /// suspecting router is known.
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

    /// Runs one gossip round: sends the queued updates to [`GOSSIP_FANOUT`] random reachable
    /// routers. Sends nothing if no update is queued.
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

    /// Sends the own record, whose state is `Left`, to a few random routers, which disseminate it.
    pub(super) fn announce_leave(&mut self) {
        for _ in 0..LEAVE_ROUNDS {
            self.gossip.enqueue(self.options.address);
            self.gossip_round();
        }
    }
}
