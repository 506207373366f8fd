//! Periodic attempts to reach failed members and seeds that are not in the member table.

use super::record::MemberState;
use super::Membership;
use crate::{Time, SEC};
use std::net::SocketAddr;

/// Number of attempts per second that all reachable routers together make for each unreachable
/// target.
const ATTEMPTS_PER_SECOND: u64 = 4;
/// Upper bound of the interval derived from [`ATTEMPTS_PER_SECOND`], which grows with the cluster.
const MAX_RECONNECT_INTERVAL: Time = 60 * SEC;
/// Maximum number of targets contacted at once while the local router has no reachable member.
const MAX_TARGETS_WHEN_ALONE: usize = 8;

/// Schedule of the attempts to contact unreachable routers again.
#[derive(Clone, Debug)]
pub(super) struct Reconnect {
    /// Instant on the local clock at which the next attempt is due.
    pub(super) next_attempt: Time,
    /// Position of the last contacted target in the sorted list of unreachable targets.
    position: usize,
}

impl Reconnect {
    pub(super) fn new(now: Time) -> Reconnect {
        Reconnect { next_attempt: now, position: 0 }
    }
}

impl Membership {
    /// Compares views with the next unreachable target, or with up to [`MAX_TARGETS_WHEN_ALONE`] of
    /// them while no member is reachable, and schedules the next attempt.
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

    /// The addresses of failed members and of seeds that are not in the member table, sorted.
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

    /// Schedules the next attempt. All reachable routers contact the same targets, so the interval
    /// is proportional to the number of reachable routers per target, within its bounds, and varies
    /// at random by up to half.
    fn schedule_reconnect(&mut self, target_count: usize) {
        let reachable = self.table.reachable() as u64 + 1;
        let shared_interval = SEC * reachable / (ATTEMPTS_PER_SECOND * (target_count as u64).max(1));
        let min_interval = self.options.timings.reconnect_interval;
        let interval = min_interval.max(shared_interval.min(MAX_RECONNECT_INTERVAL));
        let jitter = self.random_below(interval);
        self.reconnect.next_attempt = self.now + interval / 2 + jitter;
    }
}
