//! The table of all other routers, with the sets and digests that are kept in step with it.

use super::digest::ViewDigests;
use super::record::{MemberRecord, MemberState};
use super::suspicion::Suspicion;
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Routers that are remembered at most, failed ones and those that left among them.
pub const MAX_MEMBERS: usize = 2_000;
/// Routers without room in the table that are counted at most.
const MAX_UNLISTED: usize = MAX_MEMBERS;

/// Another router.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    pub(super) suspicion: Option<Suspicion>,
    /// When the record last changed.
    pub(super) changed_at: Time,
    /// When it last answered the local router.
    pub(super) last_ack: Option<Time>,
    /// Whether its last datagram had the digest of the local view.
    pub(super) digest_matches: bool,
}

/// All other routers by address.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
    /// How many members are alive or suspect.
    reachable: usize,
    suspects: BTreeSet<SocketAddr>,
    /// Identifiers of routers that there was no room for: they count as possibly active for ever.
    unlisted: BTreeSet<u32>,
    /// Of all records, the local router's among them.
    digests: ViewDigests,
}

impl MemberTable {
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn contains(&self, address: SocketAddr) -> bool {
        self.members.contains_key(&address)
    }

    pub(super) fn get(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address)
    }

    pub(super) fn get_mut(&mut self, address: SocketAddr) -> Option<&mut Member> {
        self.members.get_mut(&address)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (SocketAddr, &Member)> + '_ {
        self.members.iter().map(|(address, member)| (*address, member))
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Member> + '_ {
        self.members.values_mut()
    }

    /// How many members are alive or suspect.
    pub(super) fn reachable(&self) -> usize {
        self.reachable
    }

    pub(super) fn is_reachable(&self, address: SocketAddr) -> bool {
        self.get(address).is_some_and(|member| member.record.state.is_reachable())
    }

    pub(super) fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// The suspicions, by suspect.
    pub(super) fn suspicions(&self) -> impl Iterator<Item = (SocketAddr, &Suspicion)> + '_ {
        self.suspects.iter().filter_map(|suspect| {
            let suspicion = self.members.get(suspect)?.suspicion.as_ref()?;
            Some((*suspect, suspicion))
        })
    }

    pub(super) fn digests(&self) -> &ViewDigests {
        &self.digests
    }

    /// How many routers there was no room for.
    pub(super) fn unlisted(&self) -> usize {
        self.unlisted.len()
    }

    /// Counts a router that there is no room for; whether it is new.
    pub(super) fn add_unlisted(&mut self, identifier: u32) -> bool {
        self.unlisted.len() < MAX_UNLISTED && self.unlisted.insert(identifier)
    }

    /// Takes the local router's record into the digests, in place of `previous`.
    pub(super) fn replace_own_digest(
        &mut self,
        address: SocketAddr,
        previous: Option<&MemberRecord>,
        record: &MemberRecord,
    ) {
        for changed in previous.into_iter().chain([record]) {
            self.digests.toggle(address, changed);
        }
    }

    /// Adds a router that is not in the table.
    pub(super) fn insert(&mut self, address: SocketAddr, member: Member) {
        self.update_indexes(address, None, Some(&member.record));
        self.members.insert(address, member);
    }

    /// Replaces a member's record and suspicion; returns the record until now.
    pub(super) fn replace(
        &mut self,
        address: SocketAddr,
        record: MemberRecord,
        suspicion: Option<Suspicion>,
        now: Time,
    ) -> Option<MemberRecord> {
        let member = self.members.get_mut(&address)?;
        let previous = std::mem::replace(&mut member.record, record.clone());
        member.suspicion = suspicion;
        member.changed_at = now;
        if record.generation > previous.generation {
            member.last_ack = None;
            member.digest_matches = false;
        }
        self.update_indexes(address, Some(&previous), Some(&record));
        Some(previous)
    }

    /// Makes room if the table is full: forgets the member that left longest ago and returns its
    /// address. A failed member is never forgotten, as it may be active.
    pub(super) fn evict_oldest_left(&mut self) -> Option<SocketAddr> {
        let (oldest, _) = self
            .iter()
            .filter(|(_, member)| member.record.state == MemberState::Left)
            .min_by_key(|(address, member)| (member.changed_at, *address))?;
        if let Some(member) = self.members.remove(&oldest) {
            self.update_indexes(oldest, Some(&member.record), None);
        }
        Some(oldest)
    }

    fn update_indexes(
        &mut self,
        address: SocketAddr,
        previous: Option<&MemberRecord>,
        record: Option<&MemberRecord>,
    ) {
        let reachable =
            |record: Option<&MemberRecord>| usize::from(record.is_some_and(|r| r.state.is_reachable()));
        self.reachable = self.reachable + reachable(record) - reachable(previous);
        if record.is_some_and(|record| record.state == MemberState::Suspect) {
            self.suspects.insert(address);
        } else {
            self.suspects.remove(&address);
        }
        for changed in previous.into_iter().chain(record) {
            self.digests.toggle(address, changed);
        }
    }
}
