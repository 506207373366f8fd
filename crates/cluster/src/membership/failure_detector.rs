//! SWIM failure detector: direct probes, indirect probes through other routers, and suspicions that
//! expire. Lifeguard's local health score slows down the probes of a router that misses
//! acknowledgements, as the fault may be its own.

use super::message::{self, MessageBody};
use super::record::{MemberRecord, MemberState, RouterPhase};
use super::Membership;
use crate::{Time, SEC};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum local health score. Probe interval and acknowledgement timeout are multiplied by the
/// score plus one, so by at most 5.
pub(super) const MAX_LOCAL_HEALTH: u32 = 4;
/// Number of routers that are requested to probe a target indirectly.
const INDIRECT_PROBES: usize = 3;
/// Maximum number of indirect probes in progress on behalf of other routers; further requests are
/// ignored.
const MAX_RELAYED_PROBES: usize = 64;
/// Time after which an indirect probe on behalf of another router is abandoned.
const RELAYED_PROBE_TIMEOUT: Time = 2 * SEC;

/// How far a probe without a response has progressed: from a direct ping to indirect pings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeStage {
    /// Only a direct ping has been sent to the target.
    Direct,
    /// Indirect pings have been sent to other routers as well.
    Indirect {
        /// Number of routers to which an indirect ping was sent.
        requested: u32,
        /// Number of these routers that have not sent a nack.
        without_nack: u32,
    },
}

/// The local router's own probe in progress.
#[derive(Clone, Debug)]
struct Probe {
    nonce: u64,
    target: SocketAddr,
    /// Instant on the local clock at which the direct ping was sent.
    sent_at: Time,
    stage: ProbeStage,
    /// Whether a direct or indirect acknowledgement has been received.
    acknowledged: bool,
}

/// An indirect probe in progress on behalf of another router.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    /// The nonce that an ack or nack to the requester must carry.
    requester_nonce: u64,
    /// Instant on the local clock at which the probe is abandoned.
    expires_at: Time,
    nack_sent: bool,
}

/// The state of the failure detector.
#[derive(Clone, Debug)]
pub(super) struct FailureDetector {
    /// The current probe; `None` if there was no target, or after it was cancelled.
    probe: Option<Probe>,
    /// Probes on behalf of other routers, by the nonce of the ping that the local router sent.
    relayed: BTreeMap<u64, RelayedProbe>,
    /// Addresses still to be probed in this pass; the last one is probed next. Refilled in random
    /// order when it is empty.
    probe_order: Vec<SocketAddr>,
    /// Lifeguard's local health score from 0 (healthy) to [`MAX_LOCAL_HEALTH`]: raised by failed
    /// probes, refutations and pauses, lowered by directly acknowledged probes.
    pub(super) local_health: u32,
    /// Instant on the local clock at which the next probe is due.
    pub(super) next_probe: Time,
    /// Whether any router has ever sent an acknowledgement.
    pub(super) ack_received: bool,
    /// Number of consecutive probes that failed; reset by any acknowledgement.
    pub(super) consecutive_failures: u32,
}

impl FailureDetector {
    pub(super) fn new(now: Time) -> FailureDetector {
        FailureDetector {
            probe: None,
            relayed: BTreeMap::new(),
            probe_order: Vec::new(),
            local_health: 0,
            next_probe: now,
            ack_received: false,
            consecutive_failures: 0,
        }
    }

    /// Cancels the current probe without suspecting its target.
    pub(super) fn cancel_probe(&mut self) {
        self.probe = None;
    }

    /// Cancels the current probe and all probes on behalf of other routers.
    pub(super) fn cancel_all(&mut self) {
        self.cancel_probe();
        self.relayed.clear();
    }

    /// Raises the local health score by up to `by`, which slows down probes.
    pub(super) fn degrade_health(&mut self, by: u32) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    /// Inserts a router at `position`, at most [`FailureDetector::order_len`], of the probe order.
    pub(super) fn insert_into_order(&mut self, position: usize, address: SocketAddr) {
        self.probe_order.insert(position, address);
    }

    /// Removes a router from the probe order, if it is in it.
    pub(super) fn remove_from_order(&mut self, address: SocketAddr) {
        self.probe_order.retain(|ordered| *ordered != address);
    }

    pub(super) fn order_len(&self) -> usize {
        self.probe_order.len()
    }

    pub(super) fn order_capacity(&self) -> usize {
        self.probe_order.capacity()
    }

    /// The current probe, if it has this nonce.
    fn probe_with_nonce(&mut self, nonce: u64) -> Option<&mut Probe> {
        self.probe.as_mut().filter(|probe| probe.nonce == nonce)
    }
}

impl Membership {
    /// Time to wait for an acknowledgement before indirect probes are requested, by the current
    /// local health.
    fn ack_timeout(&self) -> Time {
        self.options.timings.ack_timeout * Time::from(self.detector.local_health + 1)
    }

    /// Instant on the local clock at which indirect probes of the current target are due. `None` if
    /// there is no current probe, it has been acknowledged, or they have been requested already.
    pub(super) fn indirect_probe_due(&self) -> Option<Time> {
        let probe = self.detector.probe.as_ref()?;
        let awaits_ack = probe.stage == ProbeStage::Direct && !probe.acknowledged;
        awaits_ack.then(|| probe.sent_at + self.ack_timeout())
    }

    /// Ends the current probe, which has failed if it is not acknowledged, and starts the next one.
    pub(super) fn probe_next(&mut self) {
        if let Some(probe) = self.detector.probe.take().filter(|probe| !probe.acknowledged) {
            self.on_probe_failed(&probe);
        }
        let now = self.now;
        self.detector.relayed.retain(|_, relayed| relayed.expires_at > now);
        let slowdown = Time::from(self.detector.local_health + 1);
        self.detector.next_probe = now + self.options.timings.probe_interval * slowdown;
        if self.has_left() {
            return;
        }
        let Some(target) = self.next_probe_target() else { return };
        let nonce = self.random_nonce();
        self.counters.probes_sent += 1;
        self.detector.probe =
            Some(Probe { nonce, target, sent_at: now, stage: ProbeStage::Direct, acknowledged: false });
        self.send(target, MessageBody::Ping { nonce });
    }

    /// A random nonce for a ping. It is not predictable, so that an old or a forged acknowledgement
    /// does not match.
    fn random_nonce(&mut self) -> u64 {
        self.random_below(u64::MAX)
    }

    /// Removes and returns the next reachable router of the probe order, which is refilled with all
    /// reachable routers in random order when it is exhausted. `None` if no router is reachable.
    fn next_probe_target(&mut self) -> Option<SocketAddr> {
        if let Some(target) = self.pop_reachable_target() {
            return Some(target);
        }
        self.detector.probe_order = self.sample_reachable(usize::MAX, &[]);
        self.pop_reachable_target()
    }

    /// Removes routers from the probe order up to the next one that is reachable, and returns that
    /// one; `None` if there is none.
    fn pop_reachable_target(&mut self) -> Option<SocketAddr> {
        while let Some(next) = self.detector.probe_order.pop() {
            if self.table.is_reachable(next) {
                return Some(next);
            }
        }
        None
    }

    /// Requests indirect probes of the current target if its acknowledgement is overdue.
    pub(super) fn send_indirect_probes(&mut self) {
        if self.indirect_probe_due().is_none_or(|due| self.now < due) {
            return;
        }
        let Some(probe) = &self.detector.probe else { return };
        let (nonce, target) = (probe.nonce, probe.target);
        let relays = self.sample_reachable(INDIRECT_PROBES, &[target]);
        if let Some(probe) = &mut self.detector.probe {
            let requested = relays.len() as u32;
            probe.stage = ProbeStage::Indirect { requested, without_nack: requested };
        }
        for relay in relays {
            self.send(relay, MessageBody::IndirectPing { nonce, target });
        }
    }

    /// Sends a nack to the requester of each relayed probe whose target has not acknowledged within
    /// the acknowledgement timeout.
    pub(super) fn send_nacks(&mut self) {
        let now = self.now;
        let ack_timeout = self.ack_timeout();
        let mut nacks = Vec::new();
        for relayed in self.detector.relayed.values_mut() {
            // The probe was sent `RELAYED_PROBE_TIMEOUT` before `expires_at`.
            if !relayed.nack_sent && now + RELAYED_PROBE_TIMEOUT >= relayed.expires_at + ack_timeout {
                relayed.nack_sent = true;
                nacks.push((relayed.requester, relayed.requester_nonce));
            }
        }
        for (requester, nonce) in nacks {
            self.send(requester, MessageBody::Nack { nonce });
        }
    }

    /// Handles a probe that was acknowledged neither directly nor indirectly: suspects its target
    /// unless the local router is isolated. Indirect probes for which neither ack nor nack arrived
    /// suggest that the local router's own links are at fault, so its local health degrades.
    fn on_probe_failed(&mut self, probe: &Probe) {
        self.counters.probes_failed += 1;
        let health_penalty = match probe.stage {
            ProbeStage::Indirect { requested, without_nack } if requested > 0 => without_nack.min(1),
            _ => 1,
        };
        self.detector.degrade_health(health_penalty);
        self.detector.consecutive_failures = self.detector.consecutive_failures.saturating_add(1);
        self.update_convergence();
        if self.convergence.is_isolated() {
            return;
        }
        let Some(member) = self.table.get(probe.target) else { return };
        let record = member.record.clone();
        if !record.state.is_reachable() {
            return;
        }
        if record.state == MemberState::Alive {
            self.counters.suspicions_raised += 1;
        }
        let suspector = message::suspector_id(self.options.address);
        self.apply_record(probe.target, record.with_state(MemberState::Suspect), Some(suspector));
    }

    /// Declares all suspects failed whose suspicion timeout has expired.
    pub(super) fn expire_suspicions(&mut self) {
        let expired: Vec<(SocketAddr, MemberRecord)> = self
            .table
            .suspicions()
            .filter(|(_, suspicion)| self.now >= suspicion.expires_at(&self.options.timings))
            .filter_map(|(address, _)| {
                let member = self.table.get(address)?;
                Some((address, member.record.with_state(MemberState::Failed)))
            })
            .collect();
        for (address, record) in expired {
            self.apply_record(address, record, None);
        }
    }

    /// Handles the body of a received message.
    pub(super) fn on_body(&mut self, sender: SocketAddr, body: MessageBody) {
        match body {
            MessageBody::Ping { nonce } => self.send(sender, MessageBody::Ack { nonce }),
            MessageBody::IndirectPing { nonce, target } => self.on_indirect_ping(sender, nonce, target),
            MessageBody::Ack { nonce } => self.on_ack(sender, nonce),
            MessageBody::Nack { nonce } => self.on_nack(nonce),
            MessageBody::Gossip => {}
            MessageBody::Compare { digests, is_reply } => self.on_compare(sender, &digests, is_reply),
        }
    }

    /// Pings `target` on behalf of `requester`. Ignored if the target is unknown or the local
    /// router itself, or if too many relayed probes are in progress.
    fn on_indirect_ping(&mut self, requester: SocketAddr, requester_nonce: u64, target: SocketAddr) {
        let has_room = self.detector.relayed.len() < MAX_RELAYED_PROBES;
        if !self.table.contains(target) || !has_room || target == self.options.address {
            return;
        }
        let nonce = self.random_nonce();
        let expires_at = self.now + RELAYED_PROBE_TIMEOUT;
        let relayed = RelayedProbe { requester, requester_nonce, expires_at, nack_sent: false };
        self.detector.relayed.insert(nonce, relayed);
        self.send(target, MessageBody::Ping { nonce });
    }

    /// Handles an acknowledgement of a relayed probe, which is passed on to its requester, or of
    /// the local router's own probe. Ignored if its nonce belongs to neither.
    fn on_ack(&mut self, sender: SocketAddr, nonce: u64) {
        if let Some(relayed) = self.detector.relayed.remove(&nonce) {
            self.on_ack_from(sender);
            self.send(relayed.requester, MessageBody::Ack { nonce: relayed.requester_nonce });
            return;
        }
        let Some(probe) = self.detector.probe_with_nonce(nonce) else { return };
        if probe.acknowledged {
            return;
        }
        probe.acknowledged = true;
        if probe.stage == ProbeStage::Direct {
            self.detector.local_health = self.detector.local_health.saturating_sub(1);
        }
        self.on_ack_from(sender);
    }

    /// Counts a nack for the current probe; ignored if its nonce is not that of the probe.
    fn on_nack(&mut self, nonce: u64) {
        let Some(probe) = self.detector.probe_with_nonce(nonce) else { return };
        if let ProbeStage::Indirect { without_nack, .. } = &mut probe.stage {
            *without_nack = without_nack.saturating_sub(1);
        }
    }

    /// Records that a router has sent a valid acknowledgement. The first one ends the local
    /// router's joining phase.
    fn on_ack_from(&mut self, sender: SocketAddr) {
        self.detector.ack_received = true;
        self.detector.consecutive_failures = 0;
        if let Some(member) = self.table.get_mut(sender) {
            member.last_ack = Some(self.now);
        }
        if self.record.phase == RouterPhase::Joining {
            self.update_own_record(|record| record.phase = RouterPhase::Ready);
        }
    }
}
