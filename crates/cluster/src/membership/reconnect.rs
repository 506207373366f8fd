//! Attempts to reach failed routers, and seeds that are still unknown.

use super::record::MemberState;
use super::Membership;
use crate::{Time, SEC};
use std::net::SocketAddr;

/// All reachable routers together make so many attempts a second for one unreachable router.
const ATTEMPTS_PER_SECOND: u64 = 4;
/// The longest interval that follows from that, however large the cluster.
const MAX_RECONNECT_INTERVAL: Time = 60 * SEC;
/// Targets that a router contacts at once while it knows nobody.
const MAX_TARGETS_WHEN_ALONE: usize = 8;

/// When the next attempt is due, and which target is next.
#[derive(Clone, Debug)]
pub(super) struct Reconnect {
    pub(super) next_attempt: Time,
    position: usize,
}

impl Reconnect {
    pub(super) fn new(now: Time) -> Reconnect {
        Reconnect { next_attempt: now, position: 0 }
    }
}

impl Membership {
    /// Contacts the next failed router or unknown seed; all of them while the local router knows
    /// nobody.
    pub(super) fn reconnect(&mut self) {
        let targets = self.unreachable_targets();
        self.schedule_reconnect(targets.len());
        if targets.is_empty() || self.has_left() {
            return;
        }
        let is_alone = self.table.reachable() == 0;
        let attempts = if is_alone { targets.len().min(MAX_TARGETS_WHEN_ALONE) } else { 1 };
        for _ in 0..attempts {
            self.reconnect.position = (self.reconnect.position + 1) % targets.len();
            self.compare_with(targets[self.reconnect.position], false);
        }
    }

    fn unreachable_targets(&self) -> Vec<SocketAddr> {
        let failed = self
            .table
            .iter()
            .filter(|(_, member)| member.record.state == MemberState::Failed)
            .map(|(address, _)| address);
        let unknown_seeds = self
            .options
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.options.address && !self.table.contains(*seed));
        let mut targets: Vec<SocketAddr> = failed.chain(unknown_seeds).collect();
        targets.sort_unstable();
        targets
    }

    /// All reachable routers do the same, so the interval grows with their number; it varies at
    /// random.
    fn schedule_reconnect(&mut self, targets: usize) {
        let reachable = self.table.reachable() as u64 + 1;
        let shared_interval = SEC * reachable / (ATTEMPTS_PER_SECOND * (targets as u64).max(1));
        let min_interval = self.options.timings.reconnect_interval;
        let interval = min_interval.max(shared_interval.min(MAX_RECONNECT_INTERVAL));
        let jitter = self.random_below(interval);
        self.reconnect.next_attempt = self.now + interval / 2 + jitter;
    }
}
