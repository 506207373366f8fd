//! What routers say of a router, and which of two such records holds.
//!
//! Records are totally ordered and the greater one holds: a join of a semilattice, so that order,
//! repetition and loss of datagrams do not matter.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest name of a router or a zone, in bytes.
pub const MAX_NAME_LEN: usize = 32;
/// No generation is greater: the next start must be able to take a greater one.
const MAX_GENERATION: u64 = 1 << 60;
/// At this incarnation a router takes the next generation instead.
pub(super) const MAX_INCARNATION: u32 = 1 << 30;
/// An encoded record with its address is never longer, as names are bounded.
const MAX_ENCODED_LEN: usize = 192;
/// Hash seed of records; part of the wire format.
const RECORD_HASH_SEED: u64 = 0;

/// Whether a router is held to be running; within an incarnation the later state holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers some router.
    Alive,
    /// It answered a probe neither directly nor through other routers.
    Suspect,
    /// It did not refute a suspicion in time: stopped, cut off or slow.
    Failed,
    /// It announced that it stops.
    Left,
}

/// What a running router is doing, as it says itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RouterPhase {
    /// It has not received an answer from the cluster yet.
    Joining,
    /// It serves.
    Ready,
    /// It serves no new clients.
    Standby,
    /// Another process has its clients' address.
    Replaced,
    /// It finishes what is in progress and stops.
    Stopping,
}

impl MemberState {
    /// The name that operators see in logs, metrics and the admin endpoint.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Failed => "lost",
            MemberState::Left => "left",
        }
    }

    /// Whether the router is taken to answer: alive or merely suspected.
    pub fn is_reachable(self) -> bool {
        self <= MemberState::Suspect
    }
}

impl RouterPhase {
    /// The name that operators see in logs, metrics and the admin endpoint.
    pub fn name(self) -> &'static str {
        match self {
            RouterPhase::Joining => "joining",
            RouterPhase::Ready => "ready",
            RouterPhase::Standby => "standby",
            RouterPhase::Replaced => "replaced",
            RouterPhase::Stopping => "stopping",
        }
    }
}

/// What is said of the router at an address. The fields stand in the order in which two records are
/// compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The number of its start: the next start at the address has a greater one.
    pub generation: u64,
    /// Raised by the router itself to replace what is said of it, within a generation.
    pub incarnation: u32,
    /// Whether it is held to be running.
    pub state: MemberState,
    /// What it is doing.
    pub phase: RouterPhase,
    /// Its name for people.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

impl MemberRecord {
    /// Whether all fields are within their bounds.
    pub fn is_valid(&self) -> bool {
        self.generation <= MAX_GENERATION
            && self.incarnation <= MAX_INCARNATION
            && !self.name.is_empty()
            && self.name.len() <= MAX_NAME_LEN
            && self.zone.len() <= MAX_NAME_LEN
    }

    /// The same record in another state.
    pub(super) fn with_state(&self, state: MemberState) -> MemberRecord {
        MemberRecord { state, ..self.clone() }
    }

    /// The same record with a suspicion taken back: a suspicion is not a fact yet.
    pub(super) fn without_suspicion(&self) -> MemberRecord {
        match self.state {
            MemberState::Suspect => self.with_state(MemberState::Alive),
            _ => self.clone(),
        }
    }

    /// A hash of the record at this address. A suspect counts as alive: views that differ in
    /// suspicions alone have converged.
    pub(super) fn digest(&self, address: SocketAddr) -> u64 {
        let state = if self.state == MemberState::Suspect { MemberState::Alive } else { self.state };
        let fields = (address, self.generation, self.incarnation, state, self.phase, &self.name, &self.zone);
        let mut buffer = [0; MAX_ENCODED_LEN];
        postcard::to_slice(&fields, &mut buffer)
            .map_or(0, |encoded| xxh3_64_with_seed(encoded, RECORD_HASH_SEED))
    }
}
