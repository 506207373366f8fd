//! One limit at one router: the parts that are its own, those it holds from others for a time, and those it has given
//! away for a time. It decides what may be given and until when; it does not decide to whom.
//!
//! Whatever is given is counted out here first, under a number of its own, until its taker can no longer use it by any
//! clock. What is lost on the way is void until then; what comes twice is the same lot.

use super::message::GIFTS_MOST;
use super::{LeaseHolder, LeaseTimings, WHOLE_QUOTA};
use crate::Time;
use std::collections::BTreeMap;

/// Lots that are held, and given, of one limit at most; what is beyond is refused, and stays void until it ends.
const LOTS_MOST: usize = 256;
/// Nothing smaller is given: it would cost more words than it serves requests.
const LEAST: u32 = WHOLE_QUOTA / 4_096;

/// Parts from another router, for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    parts: u32,
    /// By the own clock, from when the giver was last asked.
    ends: Time,
}

/// Parts that another router has, for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LentQuota {
    to: LeaseHolder,
    parts: u32,
    /// Until then the taker may use it, by whichever clock; a window later it is here again.
    until: Time,
}

/// What is told to a taker: the lot, what it holds from now on, and for how long from when he asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub(crate) struct LeaseTransfer {
    pub(crate) lot: u64,
    pub(crate) parts: u32,
    pub(crate) long: Time,
}

/// The account of one limit at one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaseLedger {
    held: BTreeMap<(LeaseHolder, u64), Held>,
    lent: BTreeMap<u64, LentQuota>,
    /// What a lot held beyond what it was renewed with: as good as lent until it ends.
    fading: Vec<(u32, Time)>,
}

impl LeaseLedger {
    /// Forgets what has ended.
    pub(crate) fn expire(&mut self, now: Time, terms: &LeaseTimings) {
        self.held.retain(|_, h| h.ends > now);
        self.lent.retain(|_, l| l.until + terms.expiry_delay() > now);
        self.fading.retain(|f| f.1 + terms.expiry_delay() > now);
    }

    /// Whether nothing is held or lent.
    pub(crate) fn idle(&self) -> bool {
        self.held.is_empty() && self.lent.is_empty() && self.fading.is_empty()
    }

    /// Parts held from others at that time, by what is known now.
    pub(crate) fn held(&self, at: Time) -> u32 {
        self.held.values().filter(|h| h.ends > at).fold(0, |sum, h| sum.saturating_add(h.parts))
    }

    /// Parts that others may use, or have used within the window before that time.
    pub(crate) fn lent(&self, at: Time, terms: &LeaseTimings) -> u32 {
        self.out().filter(|l| l.1 + terms.expiry_delay() > at).fold(0, |sum, l| sum.saturating_add(l.0))
    }

    /// All that was given: how many parts, and until when they may be used.
    fn out(&self) -> impl Iterator<Item = (u32, Time)> + '_ {
        self.lent.values().map(|l| (l.parts, l.until)).chain(self.fading.iter().copied())
    }

    /// Parts that one other router may use now.
    pub(crate) fn lent_to(&self, to: &LeaseHolder, now: Time) -> u32 {
        let live = self.lent.values().filter(|l| l.to == *to && l.until > now);
        live.fold(0, |sum, l| sum.saturating_add(l.parts))
    }

    /// Parts that may be used here at that time.
    pub(crate) fn has(&self, at: Time, home: u32, terms: &LeaseTimings) -> u32 {
        home.saturating_add(self.held(at)).saturating_sub(self.lent(at, terms))
    }

    /// When the next lot that is held ends.
    pub(crate) fn ends(&self, now: Time) -> Option<Time> {
        self.held.values().map(|h| h.ends).filter(|e| *e > now).min()
    }

    /// When the next lot that was given is back.
    pub(crate) fn back(&self, now: Time, terms: &LeaseTimings) -> Option<Time> {
        self.out().map(|l| l.1 + terms.expiry_delay()).filter(|b| *b > now).min()
    }

    /// Takes a lot. `ends` is counted from when its giver was asked, by the own clock, so it is over here before it is
    /// over there. The same lot again is longer, never more.
    pub(crate) fn take(&mut self, now: Time, from: LeaseHolder, gift: &LeaseTransfer, ends: Time) {
        let room = self.held.len() < LOTS_MOST || self.held.contains_key(&(from, gift.lot));
        if ends <= now || gift.parts == 0 || gift.parts > WHOLE_QUOTA || !room {
            return;
        }
        let held = self.held.entry((from, gift.lot)).or_insert(Held { parts: gift.parts, ends });
        (held.parts, held.ends) = (held.parts.min(gift.parts), held.ends.max(ends));
    }

    /// Gives one router so many parts in all, as far as there are, for so long from when it asked: first what it has
    /// already, for longer, then more. `used` is what was used here within the last window; `next` numbers lots.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn give(
        &mut self,
        now: Time,
        to: LeaseHolder,
        target: u32,
        long: Time,
        home: u32,
        used: u32,
        terms: &LeaseTimings,
        next: &mut u64,
    ) -> Vec<LeaseTransfer> {
        self.expire(now, terms);
        let until = now + terms.with_drift_margin(long);
        let mut gifts = Vec::new();
        let mut total = 0;
        let mut live: Vec<u64> =
            self.lent.iter().filter(|(_, l)| l.to == to && l.until > now).map(|(lot, _)| *lot).collect();
        // As many lots as a word holds, and more is wanted: the smallest one ends, to make room for a larger one.
        let size = |lot: &u64| self.lent.get(lot).map_or(0, |l| l.parts);
        let more = target.saturating_sub(live.iter().map(size).sum());
        if live.len() >= GIFTS_MOST && more >= LEAST.max(target / 16) {
            let least = live.iter().copied().min_by_key(size);
            live.retain(|lot| Some(*lot) != least);
        }
        for lot in live {
            let Some(old) = self.lent.remove(&lot) else { continue };
            let parts = old.parts.min(target - total).min(self.free_until(now, until, home));
            if parts < LEAST || gifts.len() >= GIFTS_MOST {
                // It ends when it ends.
                self.lent.insert(lot, old);
                continue;
            }
            if parts < old.parts {
                self.fading.push((old.parts - parts, old.until));
            }
            self.lent.insert(lot, LentQuota { to, parts, until: until.max(old.until) });
            gifts.push(LeaseTransfer { lot, parts, long });
            total += parts;
        }
        let unused = self.has(now, home, terms).saturating_sub(used);
        let parts = (target - total).min(unused).min(self.free_until(now, until, home));
        // Many small lots would each want to be told again in every word.
        let worth_it = parts >= LEAST.max(target / 16) && gifts.len() < GIFTS_MOST;
        if worth_it && self.lent.len() + self.fading.len() < LOTS_MOST {
            *next += 1;
            self.lent.insert(*next, LentQuota { to, parts, until });
            gifts.push(LeaseTransfer { lot: *next, parts, long });
        }
        gifts
    }

    /// The least that there is and that nobody has been given, at any time from now to then: what is held ends.
    fn free_until(&self, now: Time, then: Time, home: u32) -> u32 {
        let ends = self.held.values().map(|h| h.ends).filter(|e| *e > now && *e < then);
        let free = |at: Time| {
            let out = self.out().filter(|l| l.1 > at).fold(0u32, |sum, l| sum.saturating_add(l.0));
            home.saturating_add(self.held(at)).saturating_sub(out)
        };
        ends.chain([now]).map(free).min().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{MS, SEC};
    use std::net::SocketAddr;

    fn holder(n: u8) -> LeaseHolder {
        LeaseHolder(SocketAddr::from(([10, 0, 0, n], 7_946)), u64::from(n))
    }

    /// Guards against a lease that ends later by the taker's slow clock than by the giver's fast one.
    #[test]
    fn a_part_is_back_a_window_after_the_slowest_clock_has_ended_it() {
        let terms = LeaseTimings::default();
        let (mut giver, mut taker) = (LeaseLedger::default(), LeaseLedger::default());
        let gifts =
            giver.give(0, holder(2), WHOLE_QUOTA / 2, terms.lease_duration, WHOLE_QUOTA, 0, &terms, &mut 0);
        assert_eq!(gifts.len(), 1);
        taker.take(0, holder(1), &gifts[0], terms.lease_duration);
        let drift = terms.max_clock_drift_per_mille as f64 / 1_000.0;
        let by = |t: u64, rate: f64| (t as f64 * (1.0 + rate)) as Time;
        let last = (0..9_000).rfind(|t| taker.has(by(t * MS, -drift), 0, &terms) > 0).unwrap();
        let back =
            (0..9_000).find(|t| giver.has(by(t * MS, drift), WHOLE_QUOTA, &terms) == WHOLE_QUOTA).unwrap();
        assert!(
            back * MS >= last * MS + terms.usage_window,
            "back after {back} ms, last used after {last} ms"
        );
        assert!(back * MS <= terms.max_claim_lifetime() + 100 * MS, "back after {back} ms only");
    }

    /// Guards against a broker that passes on for longer what it has for a while.
    #[test]
    fn what_is_passed_on_ends_before_what_was_passed() {
        let terms = LeaseTimings::default();
        let mut broker = LeaseLedger::default();
        broker.take(0, holder(1), &LeaseTransfer { lot: 1, parts: WHOLE_QUOTA / 2, long: SEC }, SEC);
        assert!(broker.give(0, holder(3), WHOLE_QUOTA, SEC, 0, 0, &terms, &mut 0).is_empty());
        let gifts = broker.give(0, holder(3), WHOLE_QUOTA, 900 * MS, 0, 0, &terms, &mut 0);
        assert_eq!(gifts.iter().map(|g| g.parts).sum::<u32>(), WHOLE_QUOTA / 2);
        // Later in the lease the same lot can't be renewed for as long.
        assert!(broker.give(500 * MS, holder(3), WHOLE_QUOTA, 900 * MS, 0, 0, &terms, &mut 1).is_empty());
        assert_eq!(broker.lent(500 * MS, &terms), WHOLE_QUOTA / 2);
    }

    /// Guards against a lot that is counted twice, or that grows or lives on by an older word.
    #[test]
    fn a_lot_that_comes_twice_or_late_is_the_same_lot_or_none() {
        let mut book = LeaseLedger::default();
        let gift = |parts| LeaseTransfer { lot: 9, parts, long: SEC };
        book.take(0, holder(1), &gift(1_000), SEC);
        book.take(10, holder(1), &gift(1_000), SEC);
        assert_eq!(book.held(20), 1_000);
        book.take(20, holder(1), &gift(400), 2 * SEC);
        book.take(30, holder(1), &gift(1_000), SEC);
        assert_eq!((book.held(40), book.held(2 * SEC)), (400, 0));
        book.take(3 * SEC, holder(1), &gift(400), 2 * SEC);
        assert_eq!(book.held(3 * SEC), 0);
    }

    /// Guards against tables that grow with what others send.
    #[test]
    fn lots_are_bounded() {
        let mut book = LeaseLedger::default();
        for lot in 0..10_000 {
            book.take(0, holder(1), &LeaseTransfer { lot, parts: 1, long: SEC }, SEC);
        }
        assert_eq!(book.held(1), LOTS_MOST as u32);
        book.take(0, holder(1), &LeaseTransfer { lot: 1, parts: WHOLE_QUOTA + 1, long: SEC }, SEC);
        assert_eq!(book.held(1), LOTS_MOST as u32);
    }
}
