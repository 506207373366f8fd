//! Logs one message for each change of the membership.

use super::MICROS_PER_MILLI;
use hollymux_cluster::membership::{MemberRecord, MemberState, MembershipChange};
use std::net::SocketAddr;
use tracing::{debug, info, warn};

/// Writes the log message that belongs to a change of the membership.
pub(super) fn log_change(change: &MembershipChange) {
    match change {
        MembershipChange::Updated { address, previous, record } => {
            log_update(*address, previous.as_ref(), record);
        }
        MembershipChange::Restarted { address, record } => {
            info!(%address, router = %record.name, "cluster: router restarted");
        }
        MembershipChange::DuplicateName { name, first, second } => {
            warn!(router = %name, %first, %second, "cluster: two routers have one name, both are counted");
        }
        MembershipChange::Refuted(state) => {
            info!(state = %state.name(), "cluster: refuted a report about this router");
        }
        MembershipChange::GenerationRaised(generation) => {
            info!(generation, "cluster: generation raised, a later one of this address was known");
        }
        MembershipChange::ProcessPaused(micros) => {
            let paused_ms = micros / MICROS_PER_MILLI;
            warn!(paused_ms, "cluster: this process was paused, its leases are requested again");
        }
        MembershipChange::Isolated => {
            warn!("cluster: no router answers this one, its view of others is out of date");
        }
        MembershipChange::IsolationEnded => info!("cluster: other routers answer again"),
        MembershipChange::Converged => info!("cluster: membership converged"),
        MembershipChange::Diverged => debug!("cluster: membership diverged"),
        MembershipChange::TableFull(address) => {
            warn!(%address, "cluster: member table full, the router is only counted");
        }
    }
}

/// Logs the difference between a router's previous record, if there was one, and its new one.
fn log_update(address: SocketAddr, previous: Option<&MemberRecord>, record: &MemberRecord) {
    let router = &record.name;
    let phase = record.phase.name();
    match (previous.map(|previous| previous.state), record.state) {
        (None, state) => {
            info!(%address, %router, state = %state.name(), %phase, "cluster: router discovered");
        }
        (Some(previous), state) if previous == state => {
            let incarnation = record.incarnation;
            debug!(%address, %router, %phase, incarnation, "cluster: router changed its phase");
        }
        (Some(_), MemberState::Alive) => {
            info!(%address, %router, "cluster: router alive, it has refuted the suspicion");
        }
        (Some(_), MemberState::Suspect) => {
            info!(%address, %router, "cluster: router suspected, a probe was not answered");
        }
        (Some(_), MemberState::Failed) => {
            warn!(%address, %router, "cluster: router failed, it may still be active");
        }
        (Some(_), MemberState::Left) => info!(%address, %router, "cluster: router left"),
    }
}
