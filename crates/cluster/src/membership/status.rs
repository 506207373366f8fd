//! What operators see of membership: changes, the status of each member, counters.

use super::member_table::Member;
use super::record::{MemberRecord, MemberState};
use super::Membership;
use crate::counters::{DatagramCount, RejectedDatagrams, RouterCounts};
use crate::Time;
use hollymux_decision::Settings;
use std::net::SocketAddr;

/// A change that operators are told of once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Another router's record was replaced.
    Updated {
        /// The router.
        address: SocketAddr,
        /// Its record until now; none if the router was unknown.
        previous: Option<MemberRecord>,
        /// Its record from now on.
        record: MemberRecord,
    },
    /// Another router was started again at its address.
    Restarted {
        /// The router.
        address: SocketAddr,
        /// Its record from now on.
        record: MemberRecord,
    },
    /// Two live routers have one name and neither replaces the other: their settings were copied.
    DuplicateName {
        /// The name.
        name: String,
        /// The router that had it first.
        first: SocketAddr,
        /// The router that came later.
        second: SocketAddr,
    },
    /// Other routers held the local one to be in this state; it has refuted that.
    Refuted(MemberState),
    /// Another start of the local address was known: the local router took this greater generation.
    GenerationRaised(u64),
    /// The local process stood still for so long: all that it knew must be confirmed again.
    ProcessPaused(Time),
    /// No other router answers the local one any more.
    Isolated,
    /// Another router answers again.
    IsolationEnded,
    /// The local view agrees with all that is received.
    Converged,
    /// The local view no longer agrees with all that is received.
    Diverged,
    /// The member table is full: this router is only counted.
    TableFull(SocketAddr),
}

/// Another router as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its address.
    pub address: SocketAddr,
    /// Its record.
    pub record: MemberRecord,
    /// For how long the record has been the same.
    pub unchanged_for: Time,
    /// How long ago it last answered the local router, if it ever did.
    pub last_ack_age: Option<Time>,
    /// Whether its view was the same as the local one when it last sent a datagram.
    pub digest_matches: bool,
}

/// Counters for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams received.
    pub received: DatagramCount,
    /// Datagrams handed out to be sent.
    pub sent: DatagramCount,
    /// Datagrams that could not be used.
    pub rejected: RejectedDatagrams,
    /// Datagrams and changes dropped because their queue was full.
    pub dropped: u64,
    /// Probes sent.
    pub probes_sent: u64,
    /// Probes that were answered neither directly nor through another router.
    pub probes_failed: u64,
    /// Suspicions that the local router raised.
    pub suspicions_raised: u64,
    /// Times that the local router refuted what was said of it.
    pub refutations: u64,
}

impl Membership {
    /// The local router's address.
    pub fn address(&self) -> SocketAddr {
        self.options.address
    }

    /// The local router's record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.record
    }

    /// The record of another router.
    pub fn record_of(&self, address: SocketAddr) -> Option<&MemberRecord> {
        self.table.get(address).map(|member| &member.record)
    }

    /// The status of all other routers, by address.
    pub fn members(&self) -> impl Iterator<Item = MemberStatus> + '_ {
        self.table.iter().map(|(address, member)| MemberStatus {
            address,
            record: member.record.clone(),
            unchanged_for: self.now.saturating_sub(member.changed_at),
            last_ack_age: member.last_ack.map(|at| self.now.saturating_sub(at)),
            digest_matches: member.digest_matches,
        })
    }

    /// The digest of the whole view: two routers with the same one hold the same records.
    pub fn digest(&self) -> u64 {
        self.table.digests().whole()
    }

    /// Whether the local view agrees with all that has been received lately.
    pub fn is_converged(&self) -> bool {
        self.convergence.is_converged()
    }

    /// How long ago the local view last changed or differed from a received one.
    pub fn time_since_difference(&self) -> Time {
        self.now.saturating_sub(self.convergence.last_difference())
    }

    /// Whether no other router answers: what the local one says of others is as old as that.
    pub fn is_isolated(&self) -> bool {
        self.convergence.is_isolated()
    }

    /// Lifeguard's local health score; 0 is healthy.
    pub fn local_health(&self) -> u32 {
        self.detector.local_health
    }

    /// Other routers that are reachable as far as the local one can tell: to save work by, never
    /// for a safety rule.
    pub fn reachable_count(&self) -> usize {
        if self.is_isolated() {
            0
        } else {
            self.table.reachable()
        }
    }

    /// Routers that may be active, the local one among them, of one zone or of all: every known
    /// router that neither announced that it left nor was superseded at its address. Silence proves
    /// nothing, so failed ones count.
    pub fn possibly_active_count(&self, zone: Option<&str>) -> u32 {
        let counts = |record: &MemberRecord| {
            record.state != MemberState::Left && zone.is_none_or(|zone| zone == record.zone)
        };
        let listed = self.table.iter().filter(|(_, member)| counts(&member.record)).count();
        let own = usize::from(counts(&self.record));
        (listed + self.table.unlisted() + own) as u32
    }

    /// By how many routers limits are divided under these settings: no fewer than may be active,
    /// and no fewer than configured until the view has once converged with as many as are
    /// configured in all.
    pub fn quota_divisors(&self, settings: &Settings) -> RouterCounts {
        let configured = settings.router_count;
        let own_zone = usize::from(settings.zone);
        let configured_in_zone = settings.router_count_by_zone.get(own_zone).copied().unwrap_or(0);
        let configured_are_known = self.convergence.ever_converged_with(configured);
        let at_least = |count: u32| if configured_are_known { 1 } else { count };
        RouterCounts {
            all: self.possibly_active_count(None).max(at_least(configured)),
            own_zone: self.possibly_active_count(Some(&self.record.zone)).max(at_least(configured_in_zone)),
        }
    }

    /// An estimate of the memory in use, in bytes: tables by their entries, and what waits to be
    /// sent.
    pub fn memory_bytes(&self) -> usize {
        const ADDRESS: usize = std::mem::size_of::<SocketAddr>();
        const TABLE_ENTRY: usize = ADDRESS + std::mem::size_of::<Member>();
        const GOSSIP_ENTRY: usize = ADDRESS + std::mem::size_of::<u32>();
        let names: usize = self
            .table
            .iter()
            .map(|(_, member)| member.record.name.capacity() + member.record.zone.capacity())
            .sum();
        let entries = self.table.len() * TABLE_ENTRY + self.gossip.len() * GOSSIP_ENTRY;
        // A B-tree's nodes are two thirds full on average.
        let tables = entries * 3 / 2;
        let probe_order = self.detector.order_capacity() * ADDRESS;
        let changes = self.changes.capacity() * std::mem::size_of::<MembershipChange>();
        let queued = self.outgoing.payload_bytes();
        std::mem::size_of::<Membership>() + names + tables + probe_order + changes + queued
    }
}
