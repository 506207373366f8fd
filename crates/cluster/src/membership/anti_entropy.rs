//! Anti-entropy: routers whose digests differ exchange the records of the buckets that differ,
//! which repairs what dissemination has missed.

use super::digest::{BucketDigests, ViewDigests};
use super::message::{self, GossipUpdate, MessageBody, NO_SUSPECTOR};
use super::Membership;
use crate::{Time, MS, SEC};
use std::net::SocketAddr;

/// Comparisons started or answered in a second: junk and replayed datagrams must not have a router
/// send whole views.
const MAX_COMPARISONS_PER_SECOND: u32 = 12;
/// The shortest time between comparisons that the local router starts because a digest differs.
const REPAIR_INTERVAL: Time = 400 * MS;
/// While updates are disseminated digests differ anyway, and comparisons start more rarely.
const REPAIR_INTERVAL_DURING_GOSSIP: Time = 4 * REPAIR_INTERVAL;

/// Limits how often views are compared.
#[derive(Clone, Debug)]
pub(super) struct AntiEntropy {
    /// The second in which comparisons are counted, and how many there were in it.
    second_began: Time,
    comparisons_in_second: u32,
    last_repair: Time,
}

impl AntiEntropy {
    pub(super) fn new(now: Time) -> AntiEntropy {
        AntiEntropy { second_began: now, comparisons_in_second: 0, last_repair: now }
    }

    /// Counts a comparison; whether it is within the rate limit.
    fn try_acquire(&mut self, now: Time) -> bool {
        if now >= self.second_began + SEC {
            self.second_began = now;
            self.comparisons_in_second = 0;
        }
        self.comparisons_in_second += 1;
        self.comparisons_in_second <= MAX_COMPARISONS_PER_SECOND
    }
}

impl Membership {
    /// Sends the local digests to a router, which answers with what differs.
    pub(super) fn compare_with(&mut self, address: SocketAddr, is_reply: bool) {
        let digests = *self.table.digests().buckets();
        self.send(address, MessageBody::Compare { digests, is_reply });
    }

    /// Starts a comparison with a router whose digest differs. Digests differ for a moment after
    /// every change: only what stays different is repaired.
    pub(super) fn repair_with(&mut self, address: SocketAddr) {
        let interval = if self.gossip.is_empty() { REPAIR_INTERVAL } else { REPAIR_INTERVAL_DURING_GOSSIP };
        if self.now < self.anti_entropy.last_repair + interval || !self.anti_entropy.try_acquire(self.now) {
            return;
        }
        self.anti_entropy.last_repair = self.now;
        self.compare_with(address, false);
    }

    /// Answers a comparison with the records that differ, and asks for the sender's once.
    pub(super) fn on_compare(&mut self, sender: SocketAddr, theirs: &BucketDigests, is_reply: bool) {
        let own = *self.table.digests().buckets();
        if own == *theirs || !self.anti_entropy.try_acquire(self.now) {
            return;
        }
        if !is_reply {
            self.compare_with(sender, true);
        }
        let differs = |address: SocketAddr| {
            let bucket = ViewDigests::bucket_of(address);
            own[bucket] != theirs[bucket]
        };
        // Suspicions travel as gossip, with the routers that have them.
        let updates: Vec<GossipUpdate> = self
            .table
            .iter()
            .filter(|(address, _)| differs(*address))
            .map(|(address, member)| GossipUpdate {
                member: address,
                record: member.record.without_suspicion(),
                suspector: NO_SUSPECTOR,
            })
            .collect();
        self.send_records(sender, &updates);
    }

    /// Sends all of these updates in as many datagrams as that takes.
    fn send_records(&mut self, destination: SocketAddr, updates: &[GossipUpdate]) {
        let header = self.header(MessageBody::Gossip);
        let mut remaining = updates;
        while !remaining.is_empty() {
            let encoded = message::encode(&header, remaining.iter());
            if encoded.update_count == 0 {
                break;
            }
            remaining = &remaining[encoded.update_count..];
            self.enqueue_datagram(destination, encoded.payload);
        }
    }
}
