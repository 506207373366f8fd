//! The table of all other routers, with indexes and digests that are updated with every change.

use super::digest::ViewDigests;
use super::record::{MemberRecord, MemberState};
use super::suspicion::Suspicion;
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of routers in the member table, including members that have failed or left.
pub const MAX_MEMBERS: usize = 2_000;
/// Maximum number of unlisted routers, for which the member table had no room, that are counted.
const MAX_UNLISTED: usize = MAX_MEMBERS;

/// What the local router knows of another router.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    /// Present exactly while the record's state is `Suspect`.
    pub(super) suspicion: Option<Suspicion>,
    /// Instant on the local clock at which the record last changed.
    pub(super) changed_at: Time,
    /// Instant on the local clock of the member's last acknowledgement to the local router; `None`
    /// if it has sent none since its current start.
    pub(super) last_ack: Option<Time>,
    /// Whether the view digest in the member's last datagram equalled that of the local view;
    /// `false` before the first datagram and after a pause of the local process.
    pub(super) digest_matches: bool,
}

/// All other routers by address.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
    /// Number of members in state `Alive` or `Suspect`.
    reachable: usize,
    /// Addresses of the members in state `Suspect`.
    suspects: BTreeSet<SocketAddr>,
    /// Identifiers ([`super::message::suspector_id`]) of routers for which the table had no room.
    /// They count as possibly active until the local process ends.
    unlisted: BTreeSet<u32>,
    /// Digests of all records, including the local router's own record.
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

    /// Number of members in state `Alive` or `Suspect`.
    pub(super) fn reachable(&self) -> usize {
        self.reachable
    }

    pub(super) fn is_reachable(&self, address: SocketAddr) -> bool {
        self.get(address).is_some_and(|member| member.record.state.is_reachable())
    }

    pub(super) fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// All current suspicions, with the address of the suspect.
    pub(super) fn suspicions(&self) -> impl Iterator<Item = (SocketAddr, &Suspicion)> + '_ {
        self.suspects.iter().filter_map(|suspect| {
            let suspicion = self.members.get(suspect)?.suspicion.as_ref()?;
            Some((*suspect, suspicion))
        })
    }

    pub(super) fn digests(&self) -> &ViewDigests {
        &self.digests
    }

    /// Number of routers that are counted without being in the table.
    pub(super) fn unlisted(&self) -> usize {
        self.unlisted.len()
    }

    /// Counts a router for which the table has no room. Returns `false` if the router was counted
    /// before, or if [`MAX_UNLISTED`] routers are counted already.
    pub(super) fn add_unlisted(&mut self, identifier: u32) -> bool {
        self.unlisted.len() < MAX_UNLISTED && self.unlisted.insert(identifier)
    }

    /// Replaces the local router's own record in the digests; `previous` is `None` for the first
    /// one.
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

    /// Adds a router that is not in the table yet.
    pub(super) fn insert(&mut self, address: SocketAddr, member: Member) {
        self.update_indexes(address, None, Some(&member.record));
        self.members.insert(address, member);
    }

    /// Replaces a member's record and suspicion, and returns the previous record; `None` if the
    /// router is not in the table. A greater generation also resets what was known of the earlier
    /// process: its last acknowledgement and digest comparison.
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

    /// Removes the member that left the cluster longest ago and returns its address; `None` if no
    /// member has left. Failed members are never removed, as they may still be active.
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

    /// Updates the reachable count, the suspects and the digests for a changed record. `previous`
    /// is `None` if the member was added, `record` is `None` if it was removed.
    fn update_indexes(
        &mut self,
        address: SocketAddr,
        previous: Option<&MemberRecord>,
        record: Option<&MemberRecord>,
    ) {
        let reachable = |record: Option<&MemberRecord>| {
            usize::from(record.is_some_and(|record| record.state.is_reachable()))
        };
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
