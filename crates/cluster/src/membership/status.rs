//! Membership as shown to operators and to other modules: reported changes, the status of each
//! member, counters, and the numbers of reachable and possibly active routers.

use super::member_table::Member;
use super::record::{MemberRecord, MemberState};
use super::Membership;
use crate::counters::{DatagramCount, RejectedDatagrams, RouterCounts};
use crate::Time;
use hollymux_decision::Settings;
use std::net::SocketAddr;

/// A change that is reported once, through [`Membership::poll_change`], to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Another router was discovered, or its record was replaced by one of the same generation.
    Updated {
        /// The address of the other router.
        address: SocketAddr,
        /// The record before the change; `None` if the router was unknown.
        previous: Option<MemberRecord>,
        /// The record after the change.
        record: MemberRecord,
    },
    /// Another router was started again at its address, so its record has a greater generation.
    Restarted {
        /// The address of the other router.
        address: SocketAddr,
        /// The record of the new start.
        record: MemberRecord,
    },
    /// Two reachable routers at different addresses have the same name, usually because
    /// configuration was copied. Both stay members.
    DuplicateName {
        /// The name that both routers have.
        name: String,
        /// The address of the router that was known first.
        first: SocketAddr,
        /// The address of the router that was discovered later.
        second: SocketAddr,
    },
    /// The local router has refuted a record from another router that gave it this state.
    Refuted(MemberState),
    /// Another router knew a later generation of the local address; the local router has switched
    /// to this still greater generation.
    GenerationRaised(u64),
    /// The local process was paused for about this duration, so its view may be out of date.
    ProcessPaused(Time),
    /// No other router acknowledges the local router's probes any more.
    Isolated,
    /// Another router acknowledges the local router's probes again.
    IsolationEnded,
    /// The local view has converged with the views received from other routers.
    Converged,
    /// The local view is no longer converged.
    Diverged,
    /// The member table is full: the router at this address is only counted as possibly active.
    TableFull(SocketAddr),
}

/// The status of another router, as shown by the admin endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The address at which the router receives cluster datagrams. It identifies the member.
    pub address: SocketAddr,
    /// What the local view holds of the router: name, state, phase, generation and incarnation. It
    /// may lag behind the router's own record.
    pub record: MemberRecord,
    /// Duration since the record last changed.
    pub time_since_change: Time,
    /// Duration since the router last acknowledged a probe of the local router; `None` if it has
    /// not done so since its current start.
    pub last_ack_age: Option<Time>,
    /// Whether the router's view equalled the local one when its last datagram was received;
    /// `false` before the first datagram.
    pub digest_matches: bool,
}

/// Counters of the membership protocol since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams received, including rejected ones.
    pub received: DatagramCount,
    /// Datagrams queued for [`Membership::poll_transmit`].
    pub sent: DatagramCount,
    /// Received datagrams that were rejected.
    pub rejected: RejectedDatagrams,
    /// Number of datagrams and changes dropped because their queue was full.
    pub queue_overflows: u64,
    /// Number of probes sent, without those on behalf of other routers.
    pub probes_sent: u64,
    /// Number of probes that were acknowledged neither directly nor indirectly.
    pub probes_failed: u64,
    /// Number of suspicions raised by the local router.
    pub suspicions_raised: u64,
    /// Number of times that the local router refuted a record of itself from another router.
    pub refutations: u64,
}

impl Membership {
    /// The local router's advertised address.
    pub fn address(&self) -> SocketAddr {
        self.options.address
    }

    /// The local router's record of itself.
    pub fn own_record(&self) -> &MemberRecord {
        &self.record
    }

    /// The record of another router; `None` if it is not in the member table.
    pub fn record_of(&self, address: SocketAddr) -> Option<&MemberRecord> {
        self.table.get(address).map(|member| &member.record)
    }

    /// The status of all other routers in the member table, in ascending order of address.
    pub fn members(&self) -> impl Iterator<Item = MemberStatus> + '_ {
        self.table.iter().map(|(address, member)| MemberStatus {
            address,
            record: member.record.clone(),
            time_since_change: self.now.saturating_sub(member.changed_at),
            last_ack_age: member.last_ack.map(|at| self.now.saturating_sub(at)),
            digest_matches: member.digest_matches,
        })
    }

    /// The digest of the whole view. Two routers with equal digests have the same records, apart
    /// from suspicions.
    pub fn digest(&self) -> u64 {
        self.table.digests().whole()
    }

    /// Whether the local view has converged: it has not differed from any received view recently,
    /// no member is suspected, and another router answers or none is reachable.
    pub fn is_converged(&self) -> bool {
        self.convergence.is_converged()
    }

    /// Duration since the local view last changed or differed from a received one, or since the
    /// process was last paused.
    pub fn time_since_difference(&self) -> Time {
        self.now.saturating_sub(self.convergence.last_difference_at())
    }

    /// Whether the local router is isolated: no other router acknowledges its probes any more, so
    /// its view of other routers is out of date.
    pub fn is_isolated(&self) -> bool {
        self.convergence.is_isolated()
    }

    /// Lifeguard's local health score, from 0 (healthy) to 4 (slowest probes).
    pub fn local_health(&self) -> u32 {
        self.detector.local_health
    }

    /// Number of other routers that are alive or suspected in the local view; 0 while the local
    /// router is isolated. Suitable for saving work, but not for safety rules, which need
    /// [`Membership::possibly_active_count`].
    pub fn reachable_count(&self) -> usize {
        if self.is_isolated() {
            0
        } else {
            self.table.reachable()
        }
    }

    /// Number of possibly active routers, including the local one, in the named zone or, with
    /// `None`, in all zones: all known routers that have not announced that they left. Failed
    /// routers count, because an unreachable router may still be running. Routers for which the
    /// member table had no room count in every zone. Successive starts at one address count once.
    pub fn possibly_active_count(&self, zone: Option<&str>) -> u32 {
        let counts = |record: &MemberRecord| {
            record.state != MemberState::Left && zone.is_none_or(|zone| zone == record.zone)
        };
        let listed = self.table.iter().filter(|(_, member)| counts(&member.record)).count();
        let own = usize::from(counts(&self.record));
        (listed + self.table.unlisted() + own) as u32
    }

    /// The numbers of routers by which limits of the cluster and of a zone are divided under these
    /// settings. They are at least the numbers of possibly active routers. Until the view has once
    /// converged with as many routers as are configured in all, they are also at least the
    /// configured numbers.
    pub fn quota_divisors(&self, settings: &Settings) -> RouterCounts {
        let configured = settings.router_count;
        let own_zone = usize::from(settings.zone);
        let configured_in_zone = settings.router_count_by_zone.get(own_zone).copied().unwrap_or(0);
        let configured_are_known = self.convergence.ever_converged_with(configured);
        let minimum = |count: u32| if configured_are_known { 1 } else { count };
        RouterCounts {
            all: self.possibly_active_count(None).max(minimum(configured)),
            own_zone: self.possibly_active_count(Some(&self.record.zone)).max(minimum(configured_in_zone)),
        }
    }

    /// An estimate of the memory in use, in bytes: the member table, names, queues of changes and
    /// of datagrams.
    pub fn memory_bytes(&self) -> usize {
        const ADDRESS_BYTES: usize = std::mem::size_of::<SocketAddr>();
        const TABLE_ENTRY_BYTES: usize = ADDRESS_BYTES + std::mem::size_of::<Member>();
        const GOSSIP_ENTRY_BYTES: usize = ADDRESS_BYTES + std::mem::size_of::<u32>();
        let names: usize = self
            .table
            .iter()
            .map(|(_, member)| member.record.name.capacity() + member.record.zone.capacity())
            .sum();
        let entries = self.table.len() * TABLE_ENTRY_BYTES + self.gossip.len() * GOSSIP_ENTRY_BYTES;
        // The nodes of a B-tree are two thirds full on average.
        let tables = entries * 3 / 2;
        let probe_order = self.detector.order_capacity() * ADDRESS_BYTES;
        let changes = self.changes.capacity() * std::mem::size_of::<MembershipChange>();
        let queued = self.outgoing.payload_bytes();
        std::mem::size_of::<Membership>() + names + tables + probe_order + changes + queued
    }
}
