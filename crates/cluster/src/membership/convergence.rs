//! Whether the local view can be relied on: convergence with the other routers, isolation, pauses
//! of the own process.

use super::status::MembershipChange;
use super::Membership;
use crate::{Time, MS, SEC};
use std::net::SocketAddr;

/// A view has converged when nothing differed for this long.
const CONVERGENCE_DELAY: Time = SEC;
/// After this many failed probes in a row, or twice as many as there are reachable routers if those
/// are fewer, the local router is isolated: it can't tell the state of others.
const MAX_CONSECUTIVE_FAILURES: u32 = 10;
/// With one other router nobody can tell whose silence it is; isolation needs this many members.
const MIN_MEMBERS_FOR_ISOLATION: usize = 2;
/// A timeout that is handled this much too late means that the process itself stood still.
const PAUSE_THRESHOLD: Time = 700 * MS;
/// Members, and seeds, that a process compares views with after a pause.
const MEMBERS_AFTER_PAUSE: usize = 3;
/// See [`MEMBERS_AFTER_PAUSE`].
const SEEDS_AFTER_PAUSE: usize = 2;
/// By how much a pause degrades the local health.
const PAUSE_PENALTY: u32 = 1;

/// What is known of the local view's reliability.
#[derive(Clone, Debug)]
pub(super) struct Convergence {
    /// When a received digest last differed, or the local view last changed.
    last_difference: Time,
    is_converged: bool,
    is_isolated: bool,
    /// The most routers that were possibly active in any converged view.
    largest_converged_count: u32,
}

impl Convergence {
    pub(super) fn new(now: Time) -> Convergence {
        Convergence {
            last_difference: now,
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

    pub(super) fn last_difference(&self) -> Time {
        self.last_difference
    }

    pub(super) fn note_difference(&mut self, now: Time) {
        self.last_difference = now;
    }

    /// Whether the view ever converged with this many routers.
    pub(super) fn ever_converged_with(&self, routers: u32) -> bool {
        self.largest_converged_count >= routers
    }

    /// When the view converges if nothing differs until then; none if it has converged.
    pub(super) fn due(&self) -> Option<Time> {
        (!self.is_converged).then_some(self.last_difference + CONVERGENCE_DELAY)
    }
}

impl Membership {
    /// Takes the current time. A process that stood still must not blame others for answers that it
    /// missed.
    pub(super) fn advance_clock(&mut self, now: Time) {
        let expected = self.next_timeout().max(self.now);
        let delay = now.saturating_sub(expected);
        self.now = now.max(self.now);
        if delay >= PAUSE_THRESHOLD {
            self.on_process_paused(delay);
        }
    }

    fn on_process_paused(&mut self, duration: Time) {
        self.detector.cancel_all();
        self.detector.degrade_health(PAUSE_PENALTY);
        for member in self.table.values_mut() {
            member.digest_matches = false;
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.extend(duration);
            }
        }
        self.convergence.note_difference(self.now);
        self.report(MembershipChange::ProcessPaused(duration));
        self.detector.next_probe = self.now;
        for address in self.routers_to_ask_after_pause() {
            self.compare_with(address, false);
        }
    }

    fn routers_to_ask_after_pause(&mut self) -> Vec<SocketAddr> {
        let own_address = self.options.address;
        let mut routers = self.sample_reachable(MEMBERS_AFTER_PAUSE, &[]);
        let seeds = self.options.seeds.iter().copied().filter(|seed| *seed != own_address);
        routers.extend(seeds.take(SEEDS_AFTER_PAUSE));
        routers.sort_unstable();
        routers.dedup();
        routers
    }

    /// Determines whether the local router is isolated and whether its view has converged.
    pub(super) fn update_convergence(&mut self) {
        self.update_isolation();
        let answers_received = self.detector.ack_received && !self.convergence.is_isolated;
        let is_alone = self.table.reachable() == 0;
        let is_stable = self.now >= self.convergence.last_difference + CONVERGENCE_DELAY;
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
