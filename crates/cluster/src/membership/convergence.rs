//! Reliability of the local view: detection of convergence with the other routers, of isolation of
//! the local router, and of pauses of the local process.

use super::status::MembershipChange;
use super::Membership;
use crate::{Time, MS, SEC};
use std::net::SocketAddr;

/// The view counts as converged after this duration without a change and without a received digest
/// that differs.
const CONVERGENCE_DELAY: Time = SEC;
/// Number of consecutive failed probes after which the local router counts as isolated and no
/// longer suspects others. In small clusters the threshold is twice the number of reachable
/// routers, if that is less.
const MAX_CONSECUTIVE_FAILURES: u32 = 10;
/// Minimum number of other members for isolation to be detected. With a single other member a
/// failed probe does not show which of the two routers is at fault.
const MIN_MEMBERS_FOR_ISOLATION: usize = 2;
/// A timeout handled later than due by at least this duration counts as a pause of the local
/// process.
const PAUSE_THRESHOLD: Time = 700 * MS;
/// Number of random reachable members with which the router compares views after a pause.
const MEMBERS_AFTER_PAUSE: usize = 3;
/// Number of seeds with which the router compares views after a pause, in addition to
/// [`MEMBERS_AFTER_PAUSE`].
const SEEDS_AFTER_PAUSE: usize = 2;
/// Increase of the local health score on each pause.
const PAUSE_PENALTY: u32 = 1;

/// Convergence and isolation of the local view.
#[derive(Clone, Debug)]
pub(super) struct Convergence {
    /// Instant on the local clock at which a received digest last differed or the local view last
    /// changed; also set on joining and after a pause.
    last_difference_at: Time,
    is_converged: bool,
    is_isolated: bool,
    /// Largest number of possibly active routers, including the local one, in any view that has
    /// converged; 0 before the first convergence.
    largest_converged_count: u32,
}

impl Convergence {
    pub(super) fn new(now: Time) -> Convergence {
        Convergence {
            last_difference_at: now,
            is_converged: false,
            is_isolated: false,
            largest_converged_count: 0,
        }
    }

    pub(super) fn is_converged(&self) -> bool {
        self.is_converged
    }

    pub(super) fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Instant on the local clock at which the local view last changed or differed.
    pub(super) fn last_difference_at(&self) -> Time {
        self.last_difference_at
    }

    /// Restarts the convergence delay: the local view has changed or differs from a received one.
    pub(super) fn record_difference(&mut self, now: Time) {
        self.last_difference_at = now;
    }

    /// Whether the view has ever converged with at least `routers` possibly active routers,
    /// including the local one.
    pub(super) fn ever_converged_with(&self, routers: u32) -> bool {
        self.largest_converged_count >= routers
    }

    /// Instant on the local clock at which the view converges unless another difference appears;
    /// `None` if it has converged.
    pub(super) fn due(&self) -> Option<Time> {
        (!self.is_converged).then_some(self.last_difference_at + CONVERGENCE_DELAY)
    }
}

impl Membership {
    /// Advances the local clock to `now`, which never goes back. If the last timeout is overdue by
    /// [`PAUSE_THRESHOLD`], the process was paused and must not suspect other routers because of
    /// acknowledgements it could not receive.
    pub(super) fn advance_clock(&mut self, now: Time) {
        let expected = self.next_timeout().max(self.now);
        let delay = now.saturating_sub(expected);
        self.now = now.max(self.now);
        if delay >= PAUSE_THRESHOLD {
            self.on_process_paused(delay);
        }
    }

    /// Cancels all probes, extends all suspicions by the length of the pause, and compares views
    /// with a few routers.
    fn on_process_paused(&mut self, duration: Time) {
        self.detector.cancel_all();
        self.detector.degrade_health(PAUSE_PENALTY);
        for member in self.table.values_mut() {
            member.digest_matches = false;
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.extend(duration);
            }
        }
        self.convergence.record_difference(self.now);
        self.report(MembershipChange::ProcessPaused(duration));
        self.detector.next_probe = self.now;
        for address in self.comparison_targets_after_pause() {
            self.compare_with(address, false);
        }
    }

    /// The addresses of the members and seeds to compare views with after a pause.
    fn comparison_targets_after_pause(&mut self) -> Vec<SocketAddr> {
        let own_address = self.options.address;
        let mut routers = self.sample_reachable(MEMBERS_AFTER_PAUSE, &[]);
        let seeds = self.options.seeds.iter().copied().filter(|seed| *seed != own_address);
        routers.extend(seeds.take(SEEDS_AFTER_PAUSE));
        routers.sort_unstable();
        routers.dedup();
        routers
    }

    /// Re-evaluates whether the local router is isolated and whether its view has converged, and
    /// reports changes of both.
    pub(super) fn update_convergence(&mut self) {
        self.update_isolation();
        let answers_received = self.detector.ack_received && !self.convergence.is_isolated;
        let is_alone = self.table.reachable() == 0;
        let is_stable = self.now >= self.convergence.last_difference_at + CONVERGENCE_DELAY;
        let is_converged = (is_alone || answers_received) && !self.table.has_suspects() && is_stable;
        if is_converged != self.convergence.is_converged {
            self.convergence.is_converged = is_converged;
            self.report(match is_converged {
                true => MembershipChange::Converged,
                false => MembershipChange::Diverged,
            });
        }
        if is_converged {
            let active = self.possibly_active_count(None);
            self.convergence.largest_converged_count = self.convergence.largest_converged_count.max(active);
        }
    }

    /// Re-evaluates isolation. A router that has never received an acknowledgement does not count
    /// as isolated.
    fn update_isolation(&mut self) {
        let reachable = self.table.reachable().max(MIN_MEMBERS_FOR_ISOLATION) as u32;
        let threshold = MAX_CONSECUTIVE_FAILURES.min(2 * reachable);
        let is_isolated = self.table.len() >= MIN_MEMBERS_FOR_ISOLATION
            && self.detector.ack_received
            && self.detector.consecutive_failures >= threshold;
        if is_isolated == self.convergence.is_isolated {
            return;
        }
        self.convergence.is_isolated = is_isolated;
        self.report(match is_isolated {
            true => MembershipChange::Isolated,
            false => MembershipChange::IsolationEnded,
        });
    }
}
