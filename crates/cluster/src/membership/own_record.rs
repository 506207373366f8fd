//! The local router's own record: raising its incarnation, refuting what others say of it, taking
//! over from another process at its address.

use super::record::{MemberRecord, MemberState, MAX_INCARNATION};
use super::status::MembershipChange;
use super::{Membership, RouterPhase};
use crate::Time;

/// By how much a refutation degrades the local health: the router was slow enough to be suspected.
const REFUTATION_PENALTY: u32 = 1;

impl Membership {
    /// What the router does now.
    pub fn set_phase(&mut self, now: Time, phase: RouterPhase) {
        self.advance_clock(now);
        if self.record.phase != phase && !self.has_left() {
            self.update_own_record(|record| record.phase = phase);
        }
    }

    /// The router stops: it announces that to a few routers, which pass it on, and answers nothing
    /// from then on.
    pub fn leave(&mut self, now: Time) {
        self.advance_clock(now);
        self.update_own_record(|record| record.state = MemberState::Left);
        self.announce_leave();
    }

    /// This process continues in place of another one at the same address, which sends nothing any
    /// more: under its generation, so that no router sees one leave and another join. Datagrams
    /// that this process has not sent yet, under its own generation, are dropped. Does nothing if
    /// the identity is out of bounds.
    pub fn take_over_incarnation(&mut self, now: Time, generation: u64, incarnation: u32) {
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

    pub(super) fn has_left(&self) -> bool {
        self.record.state == MemberState::Left
    }

    /// Another router says something of the local one: what would replace its record is refuted by
    /// a greater one.
    pub(super) fn on_claim_about_self(&mut self, claim: &MemberRecord) {
        if *claim <= self.record || self.has_left() {
            return;
        }
        if claim.generation > self.record.generation {
            // An earlier start whose clock was ahead, or a second process under a copied address,
            // which nobody can reach there.
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

    /// Changes the own record under the next incarnation and has it disseminated.
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
        debug_assert!(self.record > previous, "an own record that does not supersede the one before");
        self.table.replace_own_digest(self.options.address, Some(&previous), &self.record);
        self.convergence.note_difference(self.now);
        self.gossip.enqueue(self.options.address);
    }
}
