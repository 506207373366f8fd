//! Handover of state between processes: the state for a successor, and restoring the state of a
//! predecessor.

use super::Router;
use crate::handover_state::{HandoverState, PendingWrite};
use hollymux_decision::{ClassSnapshot, EndpointId, Timestamp};

impl Router {
    /// Returns the state for a successor. The caller adds the names of zones and kinds. From now on
    /// new pending writes are collected for [`Router::take_new_pending_writes`].
    pub fn handover_state(&mut self) -> HandoverState {
        HandoverState {
            classes: self.classes.names().map(str::to_string).collect(),
            endpoints: self.endpoints.records(),
            pending_writes: self.pending_writes.begin_transfer(),
            decision: self.decision.snapshot(),
            ..HandoverState::default()
        }
    }

    /// Returns the pending writes that were added since the last call, or since
    /// [`Router::handover_state`]. Empty if no state was handed over.
    pub fn take_new_pending_writes(&mut self) -> Vec<PendingWrite> {
        self.pending_writes.take_untransferred()
    }

    /// Stops collecting new pending writes, as there is no successor any more.
    pub fn stop_tracking_pending_writes(&mut self) {
        self.pending_writes.end_transfer();
    }

    /// Adds the pending writes of a predecessor. They may have run, so requests with their ids are
    /// not accepted here.
    pub fn restore_pending_writes(&mut self, now: Timestamp, pending_writes: &[PendingWrite]) {
        for write in pending_writes {
            let arrived = write.arrived.min(now);
            // A write for which the table has no room is dropped.
            let _added = self.pending_writes.add(arrived, write.request_id, write.endpoint.map(EndpointId));
        }
    }

    /// Restores the state of a predecessor. The caller must have applied the predecessor's endpoint
    /// list before.
    pub fn restore(&mut self, now: Timestamp, state: &HandoverState) {
        self.restore_pending_writes(now, &state.pending_writes);
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
