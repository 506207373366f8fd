//! The record that routers keep and disseminate for each member, and the order of two records of
//! the same member.
//!
//! Records are totally ordered and the greater one supersedes the lesser one (the join of a
//! semilattice), so the outcome does not depend on order, duplication or loss of datagrams.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum length in bytes of a router's name and of a zone's name.
pub const MAX_NAME_LEN: usize = 32;
/// Maximum generation accepted in a record. It is far below `u64::MAX` so that a router can always
/// choose a greater generation than one it has received.
const MAX_GENERATION: u64 = 1 << 60;
/// Maximum incarnation accepted in a record. A router whose incarnation reaches it switches to the
/// next generation and starts again at incarnation 0.
pub(super) const MAX_INCARNATION: u32 = 1 << 30;
/// Upper bound in bytes of a postcard-encoded address and record; holds because names are bounded.
const MAX_ENCODED_LEN: usize = 192;
/// Seed of [`MemberRecord::digest`]; part of the wire format.
const RECORD_HASH_SEED: u64 = 0;

/// Liveness state of a router. Between records of the same generation and incarnation, the state
/// that is listed later supersedes the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The router is considered running: no current suspicion is known.
    Alive,
    /// The router acknowledged a probe neither directly nor through other routers.
    Suspect,
    /// The router did not refute a suspicion in time: it may be stopped, partitioned or slow.
    Failed,
    /// The router announced that it leaves the cluster.
    Left,
}

/// Lifecycle phase of a running router, as announced by that router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RouterPhase {
    /// The router has not yet received an acknowledgement from another router.
    Joining,
    /// The router serves clients.
    Ready,
    /// The router is in standby: its clients are being moved to other routers, or have left.
    Standby,
    /// Another process has the listening socket; the router serves its remaining connections.
    Replaced,
    /// The router completes its open requests and then exits.
    Stopping,
}

impl MemberState {
    /// The state's name in logs, metrics and the admin endpoint; it differs from the variant's name
    /// for [`MemberState::Failed`].
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Failed => "lost",
            MemberState::Left => "left",
        }
    }

    /// Whether the router counts as reachable: it is alive or suspected.
    pub fn is_reachable(self) -> bool {
        self <= MemberState::Suspect
    }
}

impl RouterPhase {
    /// The phase's name in logs and the admin endpoint.
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

/// Everything that is known of the router at one address, except the address itself. The field
/// order is part of the wire format and defines the order of records: the greater record supersedes
/// the lesser one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identifies one start of the router: a later start at the same address has a greater
    /// generation.
    pub generation: u64,
    /// Version of the record within a generation. Only the router itself raises it, to publish a
    /// change or to refute a suspicion.
    pub incarnation: u32,
    /// Liveness state of the router.
    pub state: MemberState,
    /// Lifecycle phase that the router announced.
    pub phase: RouterPhase,
    /// The router's configured name, shown to operators: 1 to [`MAX_NAME_LEN`] bytes. It does not
    /// identify the router.
    pub name: String,
    /// The name of the router's zone: up to [`MAX_NAME_LEN`] bytes, empty if no zone is configured.
    pub zone: String,
}

impl MemberRecord {
    /// Whether generation, incarnation and both names are within their bounds. Datagrams with other
    /// records are rejected.
    pub fn is_valid(&self) -> bool {
        self.generation <= MAX_GENERATION
            && self.incarnation <= MAX_INCARNATION
            && !self.name.is_empty()
            && self.name.len() <= MAX_NAME_LEN
            && self.zone.len() <= MAX_NAME_LEN
    }

    /// Returns a copy of the record with another state.
    pub(super) fn with_state(&self, state: MemberState) -> MemberRecord {
        MemberRecord { state, ..self.clone() }
    }

    /// Returns a copy of the record in which `Suspect` is replaced by `Alive`.
    pub(super) fn without_suspicion(&self) -> MemberRecord {
        match self.state {
            MemberState::Suspect => self.with_state(MemberState::Alive),
            _ => self.clone(),
        }
    }

    /// Returns the hash of the record together with its address. The hash treats `Suspect` as
    /// `Alive`, so views that differ only in suspicions have equal digests and count as converged.
    pub(super) fn digest(&self, address: SocketAddr) -> u64 {
        let state = if self.state == MemberState::Suspect { MemberState::Alive } else { self.state };
        let fields = (address, self.generation, self.incarnation, state, self.phase, &self.name, &self.zone);
        let mut buffer = [0; MAX_ENCODED_LEN];
        postcard::to_slice(&fields, &mut buffer)
            .map_or(0, |encoded| xxh3_64_with_seed(encoded, RECORD_HASH_SEED))
    }
}
