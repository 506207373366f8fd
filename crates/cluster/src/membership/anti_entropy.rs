//! Anti-entropy: two routers whose digests differ exchange the records of the differing buckets.
//! This repairs differences that remain after dissemination, for example because gossip was lost.

use super::digest::{BucketDigests, ViewDigests};
use super::message::{self, GossipUpdate, MessageBody, NO_SUSPECTOR};
use super::Membership;
use crate::{Time, MS, SEC};
use std::net::SocketAddr;

/// Maximum number of comparisons per second that are started because of a differing digest or
/// answered. Without the limit, forged or replayed datagrams could make a router send its whole
/// view again and again.
const MAX_COMPARISONS_PER_SECOND: u32 = 12;
/// Minimum interval between comparisons that the local router starts because a digest differs.
const REPAIR_INTERVAL: Time = 400 * MS;
/// Minimum interval between comparisons that the local router starts because a digest differs while
/// it disseminates updates: digests differ during dissemination in any case.
const REPAIR_INTERVAL_DURING_GOSSIP: Time = 4 * REPAIR_INTERVAL;

/// Rate limits for comparisons of views.
#[derive(Clone, Debug)]
pub(super) struct AntiEntropy {
    /// Instant on the local clock at which the current one-second counting window started.
    window_started_at: Time,
    /// Number of comparisons counted in the current window, including those over the limit.
    comparisons_in_window: u32,
    /// Instant on the local clock of the last comparison started because a digest differed; at
    /// first, when the router started.
    last_repair_at: Time,
}

impl AntiEntropy {
    pub(super) fn new(now: Time) -> AntiEntropy {
        AntiEntropy { window_started_at: now, comparisons_in_window: 0, last_repair_at: now }
    }

    /// Counts a comparison and returns whether it is within the rate limit.
    fn try_acquire(&mut self, now: Time) -> bool {
        if now >= self.window_started_at + SEC {
            self.window_started_at = now;
            self.comparisons_in_window = 0;
        }
        self.comparisons_in_window += 1;
        self.comparisons_in_window <= MAX_COMPARISONS_PER_SECOND
    }
}

impl Membership {
    /// Sends the local bucket digests to a router, which responds with its records of the buckets
    /// that differ.
    pub(super) fn compare_with(&mut self, address: SocketAddr, is_reply: bool) {
        let digests = *self.table.digests().buckets();
        self.send(address, MessageBody::Compare { digests, is_reply });
    }

    /// Starts a comparison with a router whose digest differs, subject to the rate limits. Digests
    /// differ for a short time after every change, so not every difference starts a comparison.
    pub(super) fn repair_with(&mut self, address: SocketAddr) {
        let interval = if self.gossip.is_empty() { REPAIR_INTERVAL } else { REPAIR_INTERVAL_DURING_GOSSIP };
        if self.now < self.anti_entropy.last_repair_at + interval || !self.anti_entropy.try_acquire(self.now)
        {
            return;
        }
        self.anti_entropy.last_repair_at = self.now;
        self.compare_with(address, false);
    }

    /// Responds to a comparison with the local records of all buckets that differ. If the
    /// comparison is not a reply itself, also requests the sender's records of these buckets.
    pub(super) fn on_compare(&mut self, sender: SocketAddr, remote: &BucketDigests, is_reply: bool) {
        let local = *self.table.digests().buckets();
        if local == *remote || !self.anti_entropy.try_acquire(self.now) {
            return;
        }
        if !is_reply {
            self.compare_with(sender, true);
        }
        let differs = |address: SocketAddr| {
            let bucket = ViewDigests::bucket_of(address);
            local[bucket] != remote[bucket]
        };
        // Suspicions are disseminated only as gossip, which names the routers that suspect; here a
        // suspect is sent as alive.
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

    /// Sends all of the updates, in as many datagrams as required.
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
