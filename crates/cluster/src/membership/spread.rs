//! What is told to whom: news on every datagram, each so often that nearly all hear of it, and comparison of views
//! where digests differ.

use super::message::{self, Body, Head, News};
use super::record::{Digests, MemberRecord, MemberState};
use super::{Membership, OUT_MOST};
use crate::envelope::MAX_DATAGRAM_LEN;
use crate::{Time, MS, SEC};
use std::net::SocketAddr;

/// Routers that are told news in a turn.
const FANOUT: usize = 3;
/// Each news item is told this many times the logarithm to base 2 of the fleet's size.
const RETELL: u32 = 3;
/// Comparisons begun or answered in a second.
const COMPARES_PER_S: u32 = 12;
/// Comparisons that this router begins itself: no more often than this.
const REPAIR: Time = 400 * MS;

impl Membership {
    /// Sends a datagram with as much news as fits, what concerns the receiver first.
    pub(super) fn send(&mut self, to: SocketAddr, body: Body) {
        let news = self.pick(to);
        let (bytes, count) = message::write(&self.head(body), news.iter());
        let told: Vec<SocketAddr> = news.iter().take(count).map(|n| n.of).collect();
        let most = RETELL * (usize::BITS - (self.members.len() + 1).leading_zeros());
        for of in told {
            if let Some(times) = self.news.get_mut(&of) {
                *times += 1;
                if *times >= most {
                    self.news.remove(&of);
                }
            }
        }
        self.put(to, bytes);
    }

    fn head(&self, body: Body) -> Head {
        Head {
            fleet: self.fleet,
            from: self.setup.address,
            record: self.record.clone(),
            digest: self.digest(),
            body,
        }
    }

    fn put(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        debug_assert!(bytes.len() <= MAX_DATAGRAM_LEN);
        if self.out.len() >= OUT_MOST {
            self.counters.dropped += 1;
            return;
        }
        self.counters.sent.add(bytes.len());
        self.out.push_back((to, bytes));
    }

    /// News for a receiver: that he is suspected or lost, so that he can refute it at once; then what was told least.
    fn pick(&self, to: SocketAddr) -> Vec<News> {
        let mut all = Vec::new();
        let about = self
            .members
            .get(&to)
            .filter(|m| matches!(m.record.state, MemberState::Suspect | MemberState::Failed));
        if about.is_some() {
            all.extend(self.item(to));
        }
        let mut waiting: Vec<(u32, SocketAddr)> = self
            .news
            .iter()
            .filter(|(of, _)| **of != to || about.is_none())
            .map(|(of, n)| (*n, *of))
            .collect();
        waiting.sort();
        // More than this hardly ever fits.
        let items = waiting.into_iter().take(MAX_DATAGRAM_LEN / 32).flat_map(|(_, of)| self.item(of));
        all.extend(items);
        all
    }

    /// What there is to say of a router; of a suspect once for each who suspects it.
    fn item(&self, of: SocketAddr) -> Vec<News> {
        if of == self.setup.address {
            return vec![News { of, record: self.record.clone(), by: 0 }];
        }
        let Some(m) = self.members.get(&of) else { return Vec::new() };
        let news = |by| News { of, record: m.record.clone(), by };
        match &m.suspicion {
            Some(s) => s.by().map(news).collect(),
            None => vec![news(0)],
        }
    }

    /// Tells news to a few.
    pub(super) fn tell(&mut self) {
        self.next_tell = self.now + self.setup.timings.gossip_interval;
        if self.news.is_empty() {
            return;
        }
        for to in self.some(FANOUT, &[]) {
            if !self.news.is_empty() {
                self.send(to, Body::Tell);
            }
        }
    }

    // ---- comparison ----

    /// Tells somebody one's digests and is told what differs.
    pub(super) fn compare(&mut self, to: SocketAddr, answer: bool) {
        self.send(to, Body::Compare(self.digests.parts, answer));
    }

    /// Whether one more comparison may be made now: junk and replays must not have this router send views all day.
    fn may_compare(&mut self) -> bool {
        if self.now >= self.compares_since + SEC {
            (self.compares_since, self.compares) = (self.now, 0);
        }
        self.compares += 1;
        self.compares <= COMPARES_PER_S
    }

    /// A datagram told another digest. That is so for a moment after every change: only what goes on is repaired.
    pub(super) fn repair(&mut self, with: SocketAddr) {
        let changing = !self.news.is_empty() && self.now < self.repaired + 4 * REPAIR;
        if changing || self.now < self.repaired + REPAIR || !self.may_compare() {
            return;
        }
        self.repaired = self.now;
        self.compare(with, false);
    }

    /// Somebody told his digests: he is told what differs, and asked for the same once.
    pub(super) fn compared(&mut self, from: SocketAddr, theirs: &[u64; Digests::PARTS], answer: bool) {
        let own = self.digests.parts;
        if own == *theirs || !self.may_compare() {
            return;
        }
        if !answer {
            self.compare(from, true);
        }
        let differs = |of: &SocketAddr| {
            let part = Digests::part(*of);
            own[part] != theirs[part]
        };
        // A suspicion goes on as news, with who has it; here only what it is about.
        let said = |r: &MemberRecord| {
            if r.state == MemberState::Suspect {
                r.ranked(MemberState::Alive)
            } else {
                r.clone()
            }
        };
        let here = self.members.iter().filter(|(of, _)| differs(of));
        let items: Vec<News> = here.map(|(of, m)| News { of: *of, record: said(&m.record), by: 0 }).collect();
        let head = self.head(Body::Tell);
        let mut rest = &items[..];
        while !rest.is_empty() {
            let (bytes, count) = message::write(&head, rest.iter());
            if count == 0 {
                break;
            }
            rest = &rest[count..];
            self.put(from, bytes);
        }
    }
}
