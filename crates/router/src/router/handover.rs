//! The state that a successor process is given, and continuing with the state of a predecessor.

use super::Router;
use crate::handover_state::{HandoverState, PendingWrite};
use hollymux_decision::{ClassSnapshot, EndpointId, Timestamp};

impl Router {
    /// The state for a successor, except the names of zones and kinds, which the caller adds.
    /// Pending writes that come later are given by [`Router::take_new_pending_writes`].
    pub fn handover_state(&mut self) -> HandoverState {
        HandoverState {
            classes: self.classes.names().map(str::to_string).collect(),
            endpoints: self.endpoints.records(),
            pending_writes: self.pending_writes.begin_transfer(),
            decision: self.decision.snapshot(),
            ..HandoverState::default()
        }
    }

    /// The pending writes since the last call, if a successor was given the state.
    pub fn take_new_pending_writes(&mut self) -> Vec<PendingWrite> {
        self.pending_writes.take_untransferred()
    }

    /// There is no successor any more that needs later pending writes.
    pub fn stop_tracking_pending_writes(&mut self) {
        self.pending_writes.end_transfer();
    }

    /// Adds pending writes of a predecessor: they may have run, so they are not accepted here.
    pub fn restore_pending_writes(&mut self, now: Timestamp, pending_writes: &[PendingWrite]) {
        for write in pending_writes {
            let arrived = write.arrived.min(now);
            // One that finds no room is lost, as it would be here.
            let _added = self.pending_writes.add(arrived, write.request_id, write.endpoint.map(EndpointId));
        }
    }

    /// Continues with the state of a predecessor, whose endpoint list has been applied before.
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

/// What was learnt of the class of that name. Several slots may have had the name: the newest comes
/// last.
fn class_snapshot(state: &HandoverState, name: &str) -> ClassSnapshot {
    let mut slots = state.classes.iter().zip(&state.decision.classes).rev();
    let newest = slots.find(|(slot_name, _)| *slot_name == name);
    newest.map(|(_, snapshot)| snapshot.clone()).unwrap_or_default()
}
