//! The failure detector: direct probes, indirect probes through other routers, suspicions that
//! expire (SWIM), and the local health that slows a router's own probes down when it misses
//! acknowledgements itself (Lifeguard).

use super::message::{self, MessageBody};
use super::record::{MemberRecord, MemberState, RouterPhase};
use super::Membership;
use crate::{Time, SEC};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The greatest local health score: intervals and timeouts are at most this many times longer, plus
/// one.
pub(super) const MAX_LOCAL_HEALTH: u32 = 4;
/// Routers that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Indirect probes in progress for other routers at most.
const MAX_RELAYED_PROBES: usize = 64;
/// How long an indirect probe for another router may take.
const RELAYED_PROBE_TIMEOUT: Time = 2 * SEC;

/// How far a probe has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeStage {
    /// Only the target has been asked.
    Direct,
    /// Other routers have been asked to probe it.
    Indirect {
        /// Routers that were asked.
        asked: u32,
        /// Of these, those that have reported nothing, not even that the target does not answer.
        silent: u32,
    },
}

/// The probe in progress.
#[derive(Clone, Debug)]
struct Probe {
    nonce: u64,
    target: SocketAddr,
    sent_at: Time,
    stage: ProbeStage,
    acknowledged: bool,
}

/// An indirect probe for another router.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    requester_nonce: u64,
    expires_at: Time,
    nack_sent: bool,
}

/// The state of the failure detector.
#[derive(Clone, Debug)]
pub(super) struct FailureDetector {
    probe: Option<Probe>,
    /// By the nonce of the local router's own ping.
    relayed: BTreeMap<u64, RelayedProbe>,
    /// Whom to probe next, from the end; shuffled anew when all were probed.
    probe_order: Vec<SocketAddr>,
    /// Lifeguard's local health score: failed probes less acknowledged ones; 0 is healthy.
    pub(super) local_health: u32,
    pub(super) next_probe: Time,
    /// Whether any router has ever answered.
    pub(super) ack_received: bool,
    /// Probes in a row that no router answered.
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

    /// Gives the probe in progress up without blaming its target.
    pub(super) fn cancel_probe(&mut self) {
        self.probe = None;
    }

    /// Gives all probes up, those for other routers too.
    pub(super) fn cancel_all(&mut self) {
        self.cancel_probe();
        self.relayed.clear();
    }

    /// Raises the local health score, which slows probes down.
    pub(super) fn degrade_health(&mut self, by: u32) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    /// Adds a router to the probe order.
    pub(super) fn insert_into_order(&mut self, position: usize, address: SocketAddr) {
        self.probe_order.insert(position, address);
    }

    /// Removes a router from the probe order.
    pub(super) fn remove_from_order(&mut self, address: SocketAddr) {
        self.probe_order.retain(|ordered| *ordered != address);
    }

    pub(super) fn order_len(&self) -> usize {
        self.probe_order.len()
    }

    pub(super) fn order_capacity(&self) -> usize {
        self.probe_order.capacity()
    }

    fn probe_with_nonce(&mut self, nonce: u64) -> Option<&mut Probe> {
        self.probe.as_mut().filter(|probe| probe.nonce == nonce)
    }
}

impl Membership {
    /// How long an acknowledgement may take before other routers are asked.
    fn ack_timeout(&self) -> Time {
        self.options.timings.ack_timeout * Time::from(self.detector.local_health + 1)
    }

    /// When other routers are to be asked to probe the target; none if it has answered or they were
    /// asked.
    pub(super) fn indirect_probe_due(&self) -> Option<Time> {
        let probe = self.detector.probe.as_ref()?;
        let waits = probe.stage == ProbeStage::Direct && !probe.acknowledged;
        waits.then(|| probe.sent_at + self.ack_timeout())
    }

    /// Ends the last probe and starts the next one.
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

    /// Unpredictable, so that an old or a forged acknowledgement does not match.
    fn random_nonce(&mut self) -> u64 {
        self.random_below(u64::MAX)
    }

    /// The next reachable router in the probe order; when all were probed the order is shuffled
    /// anew.
    fn next_probe_target(&mut self) -> Option<SocketAddr> {
        if let Some(target) = self.pop_reachable_target() {
            return Some(target);
        }
        self.detector.probe_order = self.sample_reachable(usize::MAX, &[]);
        self.pop_reachable_target()
    }

    fn pop_reachable_target(&mut self) -> Option<SocketAddr> {
        while let Some(next) = self.detector.probe_order.pop() {
            if self.table.is_reachable(next) {
                return Some(next);
            }
        }
        None
    }

    /// Starts indirect probes of a target that has not answered in time.
    pub(super) fn send_indirect_probes(&mut self) {
        if self.indirect_probe_due().is_none_or(|due| self.now < due) {
            return;
        }
        let Some(probe) = &self.detector.probe else { return };
        let (nonce, target) = (probe.nonce, probe.target);
        let helpers = self.sample_reachable(INDIRECT_PROBES, &[target]);
        if let Some(probe) = &mut self.detector.probe {
            let asked = helpers.len() as u32;
            probe.stage = ProbeStage::Indirect { asked, silent: asked };
        }
        for helper in helpers {
            self.send(helper, MessageBody::IndirectPing { nonce, target });
        }
    }

    /// Tells those for whom the local router probes that their target has not answered in time.
    pub(super) fn send_nacks(&mut self) {
        let now = self.now;
        let ack_timeout = self.ack_timeout();
        let mut nacks = Vec::new();
        for relayed in self.detector.relayed.values_mut() {
            // What is left of the probe's time when the target's acknowledgement is overdue.
            if !relayed.nack_sent && now + RELAYED_PROBE_TIMEOUT >= relayed.expires_at + ack_timeout {
                relayed.nack_sent = true;
                nacks.push((relayed.requester, relayed.requester_nonce));
            }
        }
        for (requester, nonce) in nacks {
            self.send(requester, MessageBody::Nack { nonce });
        }
    }

    /// The target answered neither directly nor through others. Helpers that did not even report
    /// that point at the local router's own links, so its local health degrades.
    fn on_probe_failed(&mut self, probe: &Probe) {
        self.counters.probes_failed += 1;
        let health_penalty = match probe.stage {
            ProbeStage::Indirect { asked, silent } if asked > 0 => silent.min(1),
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

    /// Suspects that have not refuted their suspicion in time have failed.
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

    /// Acts on what a message asks for or answers.
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

    /// An acknowledgement of a probe of the local router, or of one that it made for another.
    fn on_ack(&mut self, sender: SocketAddr, nonce: u64) {
        if let Some(relayed) = self.detector.relayed.remove(&nonce) {
            self.on_answer(sender);
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
        self.on_answer(sender);
    }

    fn on_nack(&mut self, nonce: u64) {
        let Some(probe) = self.detector.probe_with_nonce(nonce) else { return };
        if let ProbeStage::Indirect { silent, .. } = &mut probe.stage {
            *silent = silent.saturating_sub(1);
        }
    }

    /// A router answers, so the local one is part of the cluster.
    fn on_answer(&mut self, sender: SocketAddr) {
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
