//! Who answers: direct probes, probes by way of others, and suspicions that end in a loss unless they are refuted.

use super::message::Body;
use super::record::{MemberState, RouterPhase};
use super::{Membership, MembershipTimings};
use crate::{Time, SEC};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Lifeguard's bound on local health: probes are at most so many times slower and more patient, less one.
pub(super) const HEALTH_MOST: u32 = 4;
/// Others that are asked to probe who does not answer.
const ASKED: usize = 3;
/// With so many confirmations a suspicion lasts as short as it may.
const CONFIRMED: usize = 3;
/// Probes under way for others at a time, and for how long.
const RELAYS_MOST: usize = 64;
const RELAYED: Time = 2 * SEC;
/// All routers together try one that is lost so often in a second.
const RETRIES_PER_S: u64 = 4;

/// The probe of this turn.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    number: u64,
    whom: SocketAddr,
    pub(super) sent: Time,
    pub(super) asked: bool,
    pub(super) answered: bool,
    /// Others that were asked, less those who said that it does not answer them either.
    missing: u32,
    asked_any: bool,
}

/// A probe for somebody else.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    from: SocketAddr,
    number: u64,
    until: Time,
    nacked: bool,
}

/// A suspicion: since when, and who has it.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub(super) since: Time,
    by: BTreeSet<u32>,
}

impl Suspicion {
    pub(super) fn new(since: Time, by: Option<u32>) -> Suspicion {
        Suspicion { since, by: by.into_iter().collect() }
    }

    /// One more has it; whether that is news that shortens it.
    pub(super) fn confirm(&mut self, by: u32) -> bool {
        self.by.len() <= CONFIRMED && self.by.insert(by)
    }

    /// The last who confirmed it, for others.
    pub(super) fn by(&self) -> impl Iterator<Item = u32> + '_ {
        self.by.iter().copied()
    }

    /// When the suspect is lost: the sooner the more confirm it (Lifeguard's logarithm).
    pub(super) fn ends(&self, timings: &MembershipTimings) -> Time {
        let confirmed = self.by.len().saturating_sub(1).min(CONFIRMED) as f64;
        let part = (confirmed + 1.0).ln() / (CONFIRMED as f64 + 1.0).ln();
        let spread = timings.max_suspicion.saturating_sub(timings.min_suspicion) as f64;
        self.since + timings.max_suspicion - (spread * part) as Time
    }
}

impl Membership {
    /// How long an answer may take.
    pub(super) fn patience(&self) -> Time {
        self.setup.timings.ack_timeout * Time::from(self.health + 1)
    }

    /// Ends the probe of the last turn and begins the next one.
    pub(super) fn probe_next(&mut self) {
        if let Some(probe) = self.probe.take().filter(|p| !p.answered) {
            self.unanswered(&probe);
        }
        self.relays.retain(|_, r| r.until > self.now);
        self.next_probe = self.now + self.setup.timings.probe_interval * Time::from(self.health + 1);
        if self.record.state == MemberState::Left {
            return;
        }
        let Some(whom) = self.whose_turn() else { return };
        let number = self.number();
        self.counters.probes_sent += 1;
        self.probe = Some(Probe {
            number,
            whom,
            sent: self.now,
            asked: false,
            answered: false,
            missing: 0,
            asked_any: false,
        });
        self.send(whom, Body::Ping(number));
    }

    /// Numbers can't be guessed, so an old answer is none.
    fn number(&mut self) -> u64 {
        self.draw(u64::MAX)
    }

    /// The next one in a turn through all reachable routers; a new turn is shuffled.
    fn whose_turn(&mut self) -> Option<SocketAddr> {
        for fresh in [false, true] {
            if fresh {
                self.turn = self.some(usize::MAX, &[]);
            }
            while let Some(next) = self.turn.pop() {
                if self.members.get(&next).is_some_and(|m| m.record.state <= MemberState::Suspect) {
                    return Some(next);
                }
            }
        }
        None
    }

    /// Has others probe whoever has not answered in time, and tells those who asked here the same.
    pub(super) fn ask_others(&mut self) {
        let (now, patience) = (self.now, self.patience());
        let late = |p: &&mut Probe| !p.asked && !p.answered && now >= p.sent + patience;
        if let Some((number, whom)) = self.probe.as_mut().filter(late).map(|p| {
            p.asked = true;
            (p.number, p.whom)
        }) {
            let asked = self.some(ASKED, &[whom]);
            if let Some(p) = &mut self.probe {
                (p.missing, p.asked_any) = (asked.len() as u32, !asked.is_empty());
            }
            asked.into_iter().for_each(|to| self.send(to, Body::Ask(number, whom)));
        }
        let nacks = self.relays.values_mut().filter(|r| !r.nacked && now + RELAYED >= r.until + patience);
        let nacks: Vec<(SocketAddr, u64)> = nacks
            .map(|r| {
                r.nacked = true;
                (r.from, r.number)
            })
            .collect();
        nacks.into_iter().for_each(|(to, number)| self.send(to, Body::Nack(number)));
    }

    /// Neither the router nor anybody asked about it has answered. Others that did not even say no point at this
    /// router's own links, so it doubts itself first.
    fn unanswered(&mut self, probe: &Probe) {
        self.counters.probes_failed += 1;
        let doubt = if probe.asked_any { probe.missing.min(1) } else { 1 };
        self.health = (self.health + doubt).min(HEALTH_MOST);
        self.misses = self.misses.saturating_add(1);
        self.judge();
        let alive = self.members.get(&probe.whom).map(|m| m.record.clone());
        let me = super::message::by(self.setup.address);
        match alive.filter(|r| !self.deaf && r.state <= MemberState::Suspect) {
            Some(record) if record.state == MemberState::Alive => {
                self.counters.suspicions_raised += 1;
                self.learn(probe.whom, record.ranked(MemberState::Suspect), Some(me));
            }
            Some(record) => self.learn(probe.whom, record, Some(me)),
            None => {}
        }
    }

    /// Suspects that have not refuted it in time are lost.
    pub(super) fn expire(&mut self) {
        let (now, timings) = (self.now, self.setup.timings);
        let over = self.suspicions().filter(|(_, s)| now >= s.ends(&timings)).map(|(of, _)| of);
        let lost: Vec<_> =
            over.map(|of| (of, self.members[&of].record.ranked(MemberState::Failed))).collect();
        for (addr, record) in lost {
            self.learn(addr, record, None);
        }
    }

    /// What a datagram wants.
    pub(super) fn on_body(&mut self, from: SocketAddr, body: Body, agrees: bool) {
        match body {
            Body::Ping(number) => self.send(from, Body::Ack(number)),
            Body::Ask(number, whom) => {
                let known = self.members.contains_key(&whom) && self.relays.len() < RELAYS_MOST;
                if known && whom != self.setup.address {
                    let own = self.number();
                    let until = self.now + RELAYED;
                    self.relays.insert(own, Relay { from, number, until, nacked: false });
                    self.send(whom, Body::Ping(own));
                }
            }
            Body::Ack(number) => self.answered(from, number),
            Body::Nack(number) => {
                if let Some(p) = self.probe.as_mut().filter(|p| p.number == number) {
                    p.missing = p.missing.saturating_sub(1);
                }
            }
            Body::Tell => {}
            Body::Compare(theirs, answer) => self.compared(from, &theirs, answer),
        }
        if !agrees {
            self.repair(from);
        }
    }

    /// An answer: to a probe of this router, or to one that it made for another.
    fn answered(&mut self, from: SocketAddr, number: u64) {
        if let Some(relay) = self.relays.remove(&number) {
            self.hear(from);
            return self.send(relay.from, Body::Ack(relay.number));
        }
        let Some(p) = self.probe.as_mut().filter(|p| p.number == number && !p.answered) else {
            return;
        };
        let in_time = !p.asked;
        p.answered = true;
        if in_time {
            self.health = self.health.saturating_sub(1);
        }
        self.hear(from);
    }

    /// Somebody answers, so this router is part of the fleet.
    fn hear(&mut self, from: SocketAddr) {
        (self.heard, self.misses) = (true, 0);
        if let Some(m) = self.members.get_mut(&from) {
            m.answered = Some(self.now);
        }
        if self.record.phase == RouterPhase::Joining {
            self.speak(|r| r.phase = RouterPhase::Ready);
        }
    }

    /// Tries one who is lost, or a seed that nobody is known at. All reachable routers do so, and together no one that
    /// is lost is tried too often.
    pub(super) fn retry(&mut self) {
        let reachable = self.within as u64 + 1;
        let known = |s: &SocketAddr| *s == self.setup.address || self.members.contains_key(s);
        let lost =
            self.members.iter().filter(|(_, m)| m.record.state == MemberState::Failed).map(|(a, _)| *a);
        let mut tried: Vec<SocketAddr> = lost.collect();
        tried.extend(self.setup.seeds.iter().copied().filter(|s| !known(s)));
        tried.sort();
        let each = SEC * reachable / (RETRIES_PER_S * (tried.len() as u64).max(1));
        let wait = self.setup.timings.reconnect_interval.max(each.min(60 * SEC));
        self.next_retry = self.now + wait / 2 + self.draw(wait);
        if tried.is_empty() || self.record.state == MemberState::Left {
            return;
        }
        // While nobody is known every seed is asked; later one after another.
        let most = if reachable == 1 { tried.len().min(8) } else { 1 };
        for _ in 0..most {
            self.retried = (self.retried + 1) % tried.len();
            self.compare(tried[self.retried], false);
        }
    }
}
