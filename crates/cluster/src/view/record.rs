//! What is said of a router, and which of two sayings holds. Records are ordered, and the greater one holds: so it
//! doesn't matter in which order they come, how often, or which ones never do.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest name of a router or an office, in bytes.
pub const NAME_MOST: usize = 32;
/// No start is later than this: the next start must have a number as well.
const START_MOST: u64 = 1 << 60;
/// Nor is an incarnation: before it comes to that a router takes a new start's number.
pub(crate) const INCARNATION_MOST: u32 = 1 << 30;

/// How a router stands, as far as others can tell; the later one holds within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rank {
    /// It answers somebody.
    Alive,
    /// A probe of it went unanswered, direct and by way of others.
    Suspect,
    /// Nobody reaches it: dead, cut off or slow.
    Lost,
    /// It said that it ends.
    Left,
}

/// What an alive router does, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
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

impl Rank {
    /// Its name, the same in log, metrics, door and docs.
    pub fn name(self) -> &'static str {
        match self {
            Rank::Alive => "alive",
            Rank::Suspect => "suspect",
            Rank::Lost => "lost",
            Rank::Left => "left",
        }
    }
}

impl Phase {
    /// Its name, the same in log, metrics, door and docs.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Joining => "joining",
            Phase::Ready => "ready",
            Phase::Standby => "standby",
            Phase::Replaced => "replaced",
            Phase::Stopping => "stopping",
        }
    }
}

/// What is said of the router at an address. The fields are in the order by which two are compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// The number of its start: the next start at the address has a greater one.
    pub start: u64,
    /// Counted by the router itself, within a start.
    pub incarnation: u32,
    /// How it stands.
    pub rank: Rank,
    /// What it does.
    pub phase: Phase,
    /// What people call it.
    pub name: String,
    /// Its office.
    pub zone: String,
}

impl Record {
    /// Whether its fields are within bounds.
    pub(crate) fn usable(&self) -> bool {
        let fits = |s: &str| s.len() <= NAME_MOST;
        self.start <= START_MOST
            && self.incarnation <= INCARNATION_MOST
            && !self.name.is_empty()
            && fits(&self.name)
            && fits(&self.zone)
    }

    /// The same router under another rank.
    pub(crate) fn ranked(&self, rank: Rank) -> Record {
        Record { rank, ..self.clone() }
    }

    /// What digests are made of. A suspicion is no fact yet and counts as alive: two views that differ in it alone
    /// are settled.
    pub(crate) fn digest(&self, addr: SocketAddr) -> u64 {
        let rank = if self.rank == Rank::Suspect { Rank::Alive } else { self.rank };
        let text = (addr, self.start, self.incarnation, rank, self.phase, &self.name, &self.zone);
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
    pub(crate) fn turn(&mut self, addr: SocketAddr, record: &Record) {
        self.parts[Digests::part(addr)] ^= record.digest(addr);
    }

    pub(crate) fn whole(&self) -> u64 {
        let text: Vec<u8> = self.parts.iter().flat_map(|p| p.to_le_bytes()).collect();
        xxh3_64_with_seed(&text, 2)
    }
}
