//! Membership: which routers belong to the cluster, the state of each, and which of them may still
//! be active.
//!
//! The protocol is SWIM with Lifeguard's extensions. In addition every datagram carries a digest of
//! the sender's view, and routers whose digests differ repair their views by anti-entropy. The
//! module maintains the local view and decides which datagrams to send; it does not decide what
//! the view is used for.
//!
//! A router is identified by its advertised address. Only one process at a time can hold an
//! address, so a later start at an address supersedes the earlier one. What is known of a router is
//! a [`MemberRecord`]; of two records the greater one supersedes the lesser one.
//!
//! The module distinguishes two sets of routers. *Reachable* routers are alive or suspected in the
//! local view, which is accurate enough to save work but not for safety rules. *Possibly active*
//! routers are all known routers that have not announced that they left; safety rules must count
//! all of them.

mod anti_entropy;
mod convergence;
mod digest;
mod dissemination;
mod failure_detector;
mod member_table;
#[doc(hidden)]
pub mod message;
mod options;
mod own_record;
mod reconnect;
mod record;
mod status;
mod suspicion;

pub use member_table::MAX_MEMBERS;
pub use options::{MembershipOptions, MembershipTimings};
pub use record::{MemberRecord, MemberState, RouterPhase, MAX_NAME_LEN};
pub use status::{MemberStatus, MembershipChange, MembershipCounters};

use crate::envelope::cluster_hash;
use crate::transmit::{Transmit, TransmitQueue};
use crate::Time;
use anti_entropy::AntiEntropy;
use convergence::Convergence;
use dissemination::GossipQueue;
use failure_detector::FailureDetector;
use member_table::{Member, MemberTable};
use message::Message;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reconnect::Reconnect;
use std::collections::VecDeque;
use std::net::SocketAddr;
use suspicion::Suspicion;

/// Capacity of the queue of outgoing datagrams. Datagrams beyond it are dropped, which has the same
/// effect as loss in the network.
const MAX_OUTGOING: usize = 256;
/// Capacity of the queue of changes to report. When it is full, the oldest change is dropped.
const MAX_CHANGES: usize = 1_024;

/// The membership protocol of the local router, with its view of the cluster. All instants passed
/// to it and returned by it are on the caller's monotonic clock.
#[derive(Clone, Debug)]
pub struct Membership {
    options: MembershipOptions,
    /// The hash of the cluster's name.
    cluster: u64,
    rng: Pcg64Mcg,
    /// The latest instant passed by the caller.
    now: Time,
    /// The local router's record of itself, which is not in `table`.
    record: MemberRecord,
    table: MemberTable,
    gossip: GossipQueue,
    anti_entropy: AntiEntropy,
    detector: FailureDetector,
    reconnect: Reconnect,
    convergence: Convergence,
    outgoing: TransmitQueue,
    changes: VecDeque<MembershipChange>,
    /// Counters of datagrams, probes, suspicions and refutations, for the admin endpoint and
    /// metrics.
    pub counters: MembershipCounters,
}

impl Membership {
    /// Creates the membership of a router that knows no other member. Datagrams to its seeds can be
    /// polled at once.
    pub fn new(options: MembershipOptions, now: Time) -> Membership {
        let record = MemberRecord {
            generation: options.generation,
            incarnation: 0,
            state: MemberState::Alive,
            phase: RouterPhase::Joining,
            name: options.router_name.clone(),
            zone: options.zone.clone(),
        };
        let mut table = MemberTable::default();
        table.replace_own_digest(options.address, None, &record);
        let mut membership = Membership {
            cluster: cluster_hash(&options.cluster_name),
            rng: Pcg64Mcg::seed_from_u64(options.random_seed),
            now,
            record,
            table,
            gossip: GossipQueue::new(now),
            anti_entropy: AntiEntropy::new(now),
            detector: FailureDetector::new(now),
            reconnect: Reconnect::new(now),
            convergence: Convergence::new(now),
            outgoing: TransmitQueue::new(MAX_OUTGOING),
            changes: VecDeque::new(),
            counters: MembershipCounters::default(),
            options,
        };
        membership.join(now);
        membership.handle_timeout(now);
        membership
    }

    /// Starts or restarts the protocol at `now`, to be called when datagrams can be received from
    /// then on. The time that has passed before does not count as a pause of the process.
    pub fn join(&mut self, now: Time) {
        self.now = now.max(self.now);
        self.convergence.record_difference(self.now);
        self.detector.cancel_probe();
        self.gossip.next_round = self.now;
        self.reconnect.next_attempt = self.now;
        // A random offset keeps routers that start together from probing at the same times.
        let jitter = self.random_below(self.options.timings.probe_interval);
        self.detector.next_probe = self.now + jitter;
    }

    /// Handles a received membership datagram. A rejected datagram is counted and has no other
    /// effect.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) {
        self.advance_clock(now);
        self.counters.received.add(bytes.len());
        match message::decode(bytes, self.cluster) {
            Ok(message) => self.on_message(message),
            Err(cause) => self.counters.rejected.count(cause),
        }
        self.update_convergence();
    }

    /// Runs all actions that are due at `now`. To be called when [`Membership::next_timeout`] is
    /// reached; an earlier call does no harm.
    pub fn handle_timeout(&mut self, now: Time) {
        self.advance_clock(now);
        self.expire_suspicions();
        if now >= self.detector.next_probe {
            self.probe_next();
        }
        self.send_indirect_probes();
        self.send_nacks();
        if now >= self.gossip.next_round {
            self.gossip_round();
        }
        if now >= self.reconnect.next_attempt {
            self.reconnect();
        }
        self.update_convergence();
    }

    /// The instant at which [`Membership::handle_timeout`] is to be called next. It may change with
    /// every other call.
    pub fn next_timeout(&self) -> Time {
        let mut next = self.detector.next_probe.min(self.reconnect.next_attempt);
        if let Some(due) = self.indirect_probe_due() {
            next = next.min(due);
        }
        for (_, suspicion) in self.table.suspicions() {
            next = next.min(suspicion.expires_at(&self.options.timings));
        }
        if !self.gossip.is_empty() {
            next = next.min(self.gossip.next_round);
        }
        if let Some(due) = self.convergence.due().filter(|due| *due > self.now) {
            next = next.min(due);
        }
        next
    }

    /// Removes and returns the next datagram to send; `None` if there is none.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.outgoing.pop()
    }

    /// Removes and returns the oldest unreported change; `None` if there is none.
    pub fn poll_change(&mut self) -> Option<MembershipChange> {
        self.changes.pop_front()
    }

    /// Handles a decoded message: applies its records, handles its body, and starts a comparison
    /// with the sender if the digests differ.
    fn on_message(&mut self, message: Message) {
        let Message { header, updates } = message;
        if header.sender == self.options.address {
            // Either a datagram of the local router that was reflected back to it, or one from
            // another process with the same address. Only the record in the header matters, as it
            // may have to be superseded.
            self.on_claim_about_self(&header.record);
            return;
        }
        self.apply_record(header.sender, header.record, None);
        for update in updates {
            if update.member == self.options.address {
                self.on_claim_about_self(&update.record);
            } else {
                self.apply_record(update.member, update.record, Some(update.suspector));
            }
        }
        if self.has_left() {
            return;
        }
        let digest_matches = header.view_digest == self.digest();
        if !digest_matches {
            self.convergence.record_difference(self.now);
        }
        if let Some(member) = self.table.get_mut(header.sender) {
            member.digest_matches = digest_matches;
        }
        self.on_body(header.sender, header.body);
        if !digest_matches {
            self.repair_with(header.sender);
        }
    }

    /// Applies a received or locally created record of another router: a greater one than the known
    /// record replaces it and is disseminated, an equal one may confirm a suspicion, a lesser one
    /// is ignored. `suspector` identifies the router that suspects, if the record is a suspicion
    /// and names one.
    fn apply_record(&mut self, address: SocketAddr, record: MemberRecord, suspector: Option<u32>) {
        let Some(member) = self.table.get(address) else {
            return self.add_member(address, record, suspector);
        };
        if record == member.record {
            return self.confirm_suspicion(address, suspector);
        }
        if record < member.record {
            return;
        }
        let suspicion = self.suspicion_of(&record, suspector);
        let Some(previous) = self.table.replace(address, record.clone(), suspicion, self.now) else {
            return;
        };
        if previous.digest(address) != record.digest(address) {
            self.convergence.record_difference(self.now);
        }
        self.gossip.enqueue(address);
        self.report(match record.generation > previous.generation {
            true => MembershipChange::Restarted { address, record },
            false => MembershipChange::Updated { address, previous: Some(previous), record },
        });
    }

    /// A new suspicion if the record's state is `Suspect`, otherwise `None`.
    fn suspicion_of(&self, record: &MemberRecord, suspector: Option<u32>) -> Option<Suspicion> {
        (record.state == MemberState::Suspect).then(|| Suspicion::new(self.now, suspector))
    }

    /// Adds a confirmation by `suspector` to a known suspicion. The confirmation is disseminated
    /// only if it shortens the suspicion timeout.
    fn confirm_suspicion(&mut self, address: SocketAddr, suspector: Option<u32>) {
        let suspicion = self.table.get_mut(address).and_then(|member| member.suspicion.as_mut());
        let (Some(suspicion), Some(suspector)) = (suspicion, suspector) else { return };
        if suspicion.confirm(suspector) {
            self.gossip.enqueue(address);
        }
    }

    /// Adds an unknown router to the member table and the probe order. If the table is full and no
    /// member that left can be evicted, the router is only counted as possibly active.
    fn add_member(&mut self, address: SocketAddr, record: MemberRecord, suspector: Option<u32>) {
        if self.table.len() >= MAX_MEMBERS && !self.evict_member() {
            let may_be_active = record.state != MemberState::Left;
            if may_be_active && self.table.add_unlisted(message::suspector_id(address)) {
                self.report(MembershipChange::TableFull(address));
            }
            return;
        }
        self.convergence.record_difference(self.now);
        self.gossip.enqueue(address);
        if let Some(first) = self.reachable_namesake(&record) {
            let name = record.name.clone();
            self.report(MembershipChange::DuplicateName { name, first, second: address });
        }
        let change = MembershipChange::Updated { address, previous: None, record: record.clone() };
        self.report(change);
        let suspicion = self.suspicion_of(&record, suspector);
        let member =
            Member { record, suspicion, changed_at: self.now, last_ack: None, digest_matches: false };
        self.table.insert(address, member);
        let position = self.random_below(self.detector.order_len() as u64 + 1) as usize;
        self.detector.insert_into_order(position, address);
    }

    /// The address of a reachable router that has the same name as `record`: another member or the
    /// local router. `None` if there is none or `record` is not reachable itself.
    fn reachable_namesake(&self, record: &MemberRecord) -> Option<SocketAddr> {
        if !record.state.is_reachable() {
            return None;
        }
        let is_namesake = |other: &MemberRecord| other.state.is_reachable() && other.name == record.name;
        let member = self.table.iter().find(|(_, member)| is_namesake(&member.record));
        match member {
            Some((address, _)) => Some(address),
            None => is_namesake(&self.record).then_some(self.options.address),
        }
    }

    /// Evicts the member that left longest ago. Returns `false` if no member has left.
    fn evict_member(&mut self) -> bool {
        let Some(evicted) = self.table.evict_oldest_left() else { return false };
        self.detector.remove_from_order(evicted);
        self.gossip.remove(evicted);
        true
    }

    /// Queues a change for [`Membership::poll_change`].
    fn report(&mut self, change: MembershipChange) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
            self.counters.queue_overflows += 1;
        }
        self.changes.push_back(change);
    }

    /// A random number below `bound`; 0 if `bound` is 0.
    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    /// Up to `count` random reachable members in random order, without the excluded ones.
    fn sample_reachable(&mut self, count: usize, excluded: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut candidates: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|(address, member)| member.record.state.is_reachable() && !excluded.contains(address))
            .map(|(address, _)| address)
            .collect();
        let count = count.min(candidates.len());
        for position in 0..count {
            let remaining = candidates.len() - position;
            let chosen = position + self.random_below(remaining as u64) as usize;
            candidates.swap(position, chosen);
        }
        candidates.truncate(count);
        candidates
    }
}
