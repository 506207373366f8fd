//! Maintenance of the local router's own record: publication of phase changes, refutation of
//! suspicions, takeover from a predecessor process, and leaving the cluster.

use super::record::{MemberRecord, MemberState, MAX_INCARNATION};
use super::status::MembershipChange;
use super::{Membership, RouterPhase};
use crate::Time;

/// Increase of the local health score on each refutation, because the router was slow enough to be
/// suspected.
const REFUTATION_PENALTY: u32 = 1;

impl Membership {
    /// Announces the router's lifecycle phase to the cluster. Does nothing if the phase is
    /// unchanged or the router has left.
    pub fn set_phase(&mut self, now: Time, phase: RouterPhase) {
        self.advance_clock(now);
        if self.record.phase != phase && !self.has_left() {
            self.update_own_record(|record| record.phase = phase);
        }
    }

    /// Leaves the cluster: announces the state `Left` to a few routers, which disseminate it. From
    /// then on the router sends no probes and answers no messages.
    pub fn leave(&mut self, now: Time) {
        self.advance_clock(now);
        self.update_own_record(|record| record.state = MemberState::Left);
        self.announce_leave();
    }

    /// Takes over the identity of a predecessor process at the same address that no longer sends
    /// datagrams. This process continues with the predecessor's `generation` and the incarnation
    /// after the predecessor's, so other routers see no router leave or join. Datagrams that are
    /// queued under this process's previous generation are dropped. If generation or incarnation is
    /// out of bounds, only joins the cluster ([`Membership::join`]) and keeps its own identity.
    pub fn take_over_identity(&mut self, now: Time, generation: u64, incarnation: u32) {
        self.join(now);
        let record =
            MemberRecord { generation, incarnation: incarnation.saturating_add(1), ..self.record.clone() };
        if !record.is_valid() {
            return;
        }
        self.outgoing.clear();
        self.table.replace_own_digest(self.options.address, Some(&self.record), &record);
        self.record = record;
        self.gossip.enqueue(self.options.address);
    }

    /// Whether the local router has announced that it leaves.
    pub(super) fn has_left(&self) -> bool {
        self.record.state == MemberState::Left
    }

    /// Handles a record of the local router that was received from another router. A record that
    /// would supersede the own one is refuted by publishing a greater record.
    pub(super) fn on_claim_about_self(&mut self, claim: &MemberRecord) {
        if *claim <= self.record || self.has_left() {
            return;
        }
        if claim.generation > self.record.generation {
            // Either an earlier start of this router whose clock was ahead, or a second process
            // that was configured with this address and can't be reached at it.
            let generation = claim.generation + 1;
            self.update_own_record(|record| {
                record.generation = generation;
                record.incarnation = 0;
            });
            self.report(MembershipChange::GenerationRaised(generation));
            return;
        }
        self.counters.refutations += 1;
        self.detector.degrade_health(REFUTATION_PENALTY);
        self.update_own_record(|record| record.incarnation = claim.incarnation);
        if claim.state != MemberState::Alive {
            self.report(MembershipChange::Refuted(claim.state));
        }
    }

    /// Applies a change to the own record, raises its incarnation and queues it for dissemination.
    pub(super) fn update_own_record(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let previous = self.record.clone();
        change(&mut self.record);
        if self.record.generation == previous.generation {
            self.record.incarnation += 1;
        }
        if self.record.incarnation >= MAX_INCARNATION {
            self.record.generation += 1;
            self.record.incarnation = 0;
        }
        debug_assert!(self.record > previous, "an updated own record must be greater than the previous one");
        self.table.replace_own_digest(self.options.address, Some(&previous), &self.record);
        self.convergence.record_difference(self.now);
        self.gossip.enqueue(self.options.address);
    }
}
