//! What is said of a router, and which of two sayings holds. Records are ordered, and the greater one holds: so it
//! doesn't matter in which order they come, how often, or which ones never do.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest name of a router or an office, in bytes.
pub const MAX_NAME_LEN: usize = 32;
/// No start is later than this: the next start must have a number as well.
const START_MOST: u64 = 1 << 60;
/// Nor is an incarnation: before it comes to that a router takes a new start's number.
pub(crate) const INCARNATION_MOST: u32 = 1 << 30;

/// How a router stands, as far as others can tell; the later one holds within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers somebody.
    Alive,
    /// A probe of it went unanswered, direct and by way of others.
    Suspect,
    /// Nobody reaches it: dead, cut off or slow.
    Failed,
    /// It said that it ends.
    Left,
}

/// What an alive router does, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RouterPhase {
    /// It has not heard from the fleet yet, or must hear from it anew.
    Joining,
    /// It serves.
    Ready,
    /// It is emptied.
    Standby,
    /// Another process has its clients' address.
    Replaced,
    /// It finishes what is open and ends.
    Stopping,
}

impl MemberState {
    /// Its name, the same in log, metrics, door and docs.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Failed => "lost",
            MemberState::Left => "left",
        }
    }
}

impl RouterPhase {
    /// Its name, the same in log, metrics, door and docs.
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

/// What is said of the router at an address. The fields are in the order by which two are compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The number of its start: the next start at the address has a greater one.
    pub generation: u64,
    /// Counted by the router itself, within a start.
    pub incarnation: u32,
    /// How it stands.
    pub state: MemberState,
    /// What it does.
    pub phase: RouterPhase,
    /// What people call it.
    pub name: String,
    /// Its office.
    pub zone: String,
}

impl MemberRecord {
    /// Whether its fields are within bounds.
    pub(crate) fn usable(&self) -> bool {
        let fits = |s: &str| s.len() <= MAX_NAME_LEN;
        self.generation <= START_MOST
            && self.incarnation <= INCARNATION_MOST
            && !self.name.is_empty()
            && fits(&self.name)
            && fits(&self.zone)
    }

    /// The same router under another rank.
    pub(crate) fn ranked(&self, state: MemberState) -> MemberRecord {
        MemberRecord { state, ..self.clone() }
    }

    /// What digests are made of. A suspicion is no fact yet and counts as alive: two views that differ in it alone
    /// are settled.
    pub(crate) fn digest(&self, addr: SocketAddr) -> u64 {
        let state = if self.state == MemberState::Suspect { MemberState::Alive } else { self.state };
        let text = (addr, self.generation, self.incarnation, state, self.phase, &self.name, &self.zone);
        // Names are bounded, so that all of it fits.
        let mut bytes = [0; 192];
        postcard::to_slice(&text, &mut bytes).map_or(0, |bytes| xxh3_64_with_seed(bytes, 0))
    }
}

/// The digests of a view, as a whole and in parts, so that two that differ find out cheaply where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Digests {
    pub(crate) parts: [u64; Digests::PARTS],
}

impl Digests {
    /// 300 routers are some 20 a part, which fit a datagram.
    pub(crate) const PARTS: usize = 16;

    pub(crate) fn part(addr: SocketAddr) -> usize {
        let mut text = [0; 32];
        let used = postcard::to_slice(&addr, &mut text).map_or(0, |t| t.len());
        (xxh3_64_with_seed(&text[..used], 1) % Digests::PARTS as u64) as usize
    }

    /// A record came or went.
    pub(crate) fn turn(&mut self, addr: SocketAddr, record: &MemberRecord) {
        self.parts[Digests::part(addr)] ^= record.digest(addr);
    }

    pub(crate) fn whole(&self) -> u64 {
        let text: Vec<u8> = self.parts.iter().flat_map(|p| p.to_le_bytes()).collect();
        xxh3_64_with_seed(&text, 2)
    }
}
