//! Membership: which routers there are, in which state, and which may still be active.
//!
//! SWIM with Lifeguard's extensions, digests on every datagram, and anti-entropy where digests
//! differ. The module decides what the local router says of others and what it sends; what the
//! result is used for is the caller's matter.
//!
//! A router is identified by the address that others send to: only one process can hold it, so the
//! next start at an address supersedes the one before. All that is known of a router is a
//! [`MemberRecord`]; the greatest one holds.
//!
//! Two sets are kept apart. *Reachable* routers answer as far as the local one can tell: good
//! enough to save work by. *Possibly active* routers are all that have not announced that they
//! left: safety rules must count these.

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

/// Datagrams that wait to be sent at most; more are dropped as if the network had lost them.
const MAX_OUTGOING: usize = 256;
/// Changes that wait to be reported at most; the oldest are dropped.
const MAX_CHANGES: usize = 1_024;

/// The local router's view of the cluster.
#[derive(Clone, Debug)]
pub struct Membership {
    options: MembershipOptions,
    /// The hash of the cluster's name.
    cluster: u64,
    rng: Pcg64Mcg,
    now: Time,
    /// The local router's own record.
    record: MemberRecord,
    table: MemberTable,
    gossip: GossipQueue,
    anti_entropy: AntiEntropy,
    detector: FailureDetector,
    reconnect: Reconnect,
    convergence: Convergence,
    outgoing: TransmitQueue,
    changes: VecDeque<MembershipChange>,
    /// Counters for operators.
    pub counters: MembershipCounters,
}

impl Membership {
    /// A router that knows no other one. Its first datagrams can be polled at once.
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

    /// From now on datagrams can be received; that none came before is no pause of the process.
    pub fn join(&mut self, now: Time) {
        self.now = now.max(self.now);
        self.convergence.note_difference(self.now);
        self.detector.cancel_probe();
        self.gossip.next_round = self.now;
        self.reconnect.next_attempt = self.now;
        // Routers that start together should not probe in step.
        let jitter = self.random_below(self.options.timings.probe_interval);
        self.detector.next_probe = self.now + jitter;
    }

    /// A datagram was received. One that is rejected is counted and has no other effect.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) {
        self.advance_clock(now);
        self.counters.received.add(bytes.len());
        match message::decode(bytes, self.cluster) {
            Ok(message) => self.on_message(message),
            Err(cause) => self.counters.rejected.count(cause),
        }
        self.update_convergence();
    }

    /// Time has passed; to be called when [`Membership::next_timeout`] is due.
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

    /// When [`Membership::handle_timeout`] is to be called next.
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

    /// The next datagram to send.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.outgoing.pop()
    }

    /// The next change to report to operators.
    pub fn poll_change(&mut self) -> Option<MembershipChange> {
        self.changes.pop_front()
    }

    fn on_message(&mut self, message: Message) {
        let Message { header, updates } = message;
        if header.sender == self.options.address {
            // One of the local router's own datagrams that somebody sent back, or another process
            // under its address: only a later start there matters.
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
            self.convergence.note_difference(self.now);
        }
        if let Some(member) = self.table.get_mut(header.sender) {
            member.digest_matches = digest_matches;
        }
        self.on_body(header.sender, header.body);
        if !digest_matches {
            self.repair_with(header.sender);
        }
    }

    /// Takes a record of another router if it holds over the known one; `suspector` is who
    /// suspects, if it is a suspicion that came as gossip.
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
            self.convergence.note_difference(self.now);
        }
        self.gossip.enqueue(address);
        self.report(match record.generation > previous.generation {
            true => MembershipChange::Restarted { address, record },
            false => MembershipChange::Updated { address, previous: Some(previous), record },
        });
    }

    fn suspicion_of(&self, record: &MemberRecord, suspector: Option<u32>) -> Option<Suspicion> {
        (record.state == MemberState::Suspect).then(|| Suspicion::new(self.now, suspector))
    }

    /// Another router confirms a known suspicion, which is disseminated as long as it shortens the
    /// suspicion.
    fn confirm_suspicion(&mut self, address: SocketAddr, suspector: Option<u32>) {
        let suspicion = self.table.get_mut(address).and_then(|member| member.suspicion.as_mut());
        let (Some(suspicion), Some(suspector)) = (suspicion, suspector) else { return };
        if suspicion.confirm(suspector) {
            self.gossip.enqueue(address);
        }
    }

    /// Takes a router into the table that was unknown.
    fn add_member(&mut self, address: SocketAddr, record: MemberRecord, suspector: Option<u32>) {
        if self.table.len() >= MAX_MEMBERS && !self.evict_member() {
            let may_be_active = record.state != MemberState::Left;
            if may_be_active && self.table.add_unlisted(message::suspector_id(address)) {
                self.report(MembershipChange::TableFull(address));
            }
            return;
        }
        self.convergence.note_difference(self.now);
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

    /// Another reachable router with the name of this one, which is reachable too.
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

    /// Makes room in a full table; whether that was possible.
    fn evict_member(&mut self) -> bool {
        let Some(evicted) = self.table.evict_oldest_left() else { return false };
        self.detector.remove_from_order(evicted);
        self.gossip.remove(evicted);
        true
    }

    fn report(&mut self, change: MembershipChange) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
            self.counters.dropped += 1;
        }
        self.changes.push_back(change);
    }

    /// A random number below a bound.
    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    /// At most `count` reachable routers in random order, without the excluded ones.
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
