//! Handover of state between processes: the state for a successor, and restoring the state of a
//! predecessor.

use super::Router;
use crate::handover_state::{HandoverState, PeerProcess, PendingWrite};
use hollymux_decision::{ClassSnapshot, Timestamp};

impl Router {
    /// Returns the state for a successor. The caller adds the names of zones and kinds. From now on
    /// new pending writes are collected for the successor.
    pub fn handover_state(&mut self) -> HandoverState {
        self.report_pending_writes(PeerProcess::Successor);
        HandoverState {
            classes: self.classes.names().map(str::to_string).collect(),
            endpoints: self.endpoints.records(),
            pending_writes: self.pending_writes.entries(),
            decision: self.decision.snapshot(),
            ..HandoverState::default()
        }
    }

    /// Collects new pending writes from now on for another process of a handover.
    pub fn report_pending_writes(&mut self, to: PeerProcess) {
        self.pending_writes.begin_reporting(to);
    }

    /// Returns the pending writes that were added since the last call for this process, or since they
    /// have been collected for it; empty if they are not.
    pub fn take_new_pending_writes(&mut self, to: PeerProcess) -> Vec<PendingWrite> {
        self.pending_writes.take_unreported(to)
    }

    /// Stops collecting new pending writes for a process that has gone.
    pub fn stop_reporting_pending_writes(&mut self, to: PeerProcess) {
        self.pending_writes.end_reporting(to);
    }

    /// Adds the pending writes that another process has reported. They may have run, so requests with
    /// their ids are not accepted here.
    pub fn restore_pending_writes(&mut self, now: Timestamp, writes: &[PendingWrite], from: PeerProcess) {
        self.pending_writes.add_reported(now, writes, from);
    }

    /// Restores the state of a predecessor. The caller must have applied the predecessor's endpoint
    /// list before.
    pub fn restore(&mut self, now: Timestamp, state: &HandoverState) {
        self.restore_pending_writes(now, &state.pending_writes, PeerProcess::Predecessor);
        let mut snapshot = state.decision.clone();
        snapshot.classes = self.classes.names().map(|name| class_snapshot(state, name)).collect();
        self.decision.restore(now, &snapshot);
        if let Some(follower) = &mut self.hint_follower {
            follower.restore(now, &snapshot);
        }
    }
}

/// What the predecessor learnt about the class of a name; empty if it had no such class. If several
/// of its slots have the name, the last one is taken as the newest.
fn class_snapshot(state: &HandoverState, name: &str) -> ClassSnapshot {
    let mut slots = state.classes.iter().zip(&state.decision.classes).rev();
    let newest = slots.find(|(slot_name, _)| *slot_name == name);
    newest.map(|(_, snapshot)| snapshot.clone()).unwrap_or_default()
}
