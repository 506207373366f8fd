//! A link that transfers share evenly, each at its full pace at most.

use crate::Time;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// A transfer on a link.
pub type Leg = u64;

/// A link.
#[derive(Debug)]
pub struct Pipe {
    /// Bytes a microsecond that it carries, and that one transfer runs at.
    rate: f64,
    cap: f64,
    /// Bytes that a transfer which has been on it all the time has moved.
    moved: f64,
    at: Time,
    ends: BinaryHeap<Reverse<(u64, Leg)>>,
    off: BTreeSet<Leg>,
    active: usize,
    /// Bytes carried in all.
    pub carried: f64,
}

/// Bytes are compared in thousandths, so that the order does not hang on the last bits of a float.
const GRAIN: f64 = 1_000.0;

impl Pipe {
    /// A link of so many bytes a second, of which one transfer takes so many at most.
    pub fn new(bytes_per_s: f64, cap_per_s: f64) -> Pipe {
        let (rate, cap) = (bytes_per_s / 1e6, cap_per_s / 1e6);
        let (ends, off) = (BinaryHeap::new(), BTreeSet::new());
        Pipe { rate, cap, moved: 0.0, at: 0, ends, off, active: 0, carried: 0.0 }
    }

    fn pace(&self) -> f64 {
        self.cap.min(self.rate / self.active.max(1) as f64)
    }

    /// Carries on to that time.
    pub fn turn(&mut self, now: Time) {
        let step = now.saturating_sub(self.at) as f64 * self.pace();
        self.at = self.at.max(now);
        if self.active > 0 {
            self.moved += step;
            self.carried += step * self.active as f64;
        }
    }

    /// Gives it another rate.
    pub fn set(&mut self, now: Time, bytes_per_s: f64) {
        self.turn(now);
        self.rate = bytes_per_s / 1e6;
    }

    /// Puts a transfer on it.
    pub fn add(&mut self, now: Time, leg: Leg, bytes: f64) {
        self.turn(now);
        self.ends.push(Reverse((((self.moved + bytes) * GRAIN) as u64, leg)));
        self.active += 1;
    }

    /// Takes one off that is on it.
    pub fn drop(&mut self, now: Time, leg: Leg) {
        self.turn(now);
        if self.off.insert(leg) {
            self.active -= 1;
        }
    }

    fn skim(&mut self) {
        while let Some(Reverse((_, leg))) = self.ends.peek() {
            if !self.off.remove(leg) {
                break;
            }
            self.ends.pop();
        }
    }

    /// When the next transfer ends, if nothing changes before.
    pub fn due(&mut self) -> Option<Time> {
        self.skim();
        let Reverse((end, _)) = self.ends.peek()?;
        let left = (*end as f64 / GRAIN - self.moved).max(0.0);
        Some(self.at + (left / self.pace()).ceil() as Time)
    }

    /// Takes off one that has ended by then.
    pub fn done(&mut self, now: Time) -> Option<Leg> {
        self.turn(now);
        self.skim();
        let Reverse((end, leg)) = *self.ends.peek()?;
        if end as f64 / GRAIN > self.moved + 1.0 / GRAIN {
            return None;
        }
        self.ends.pop();
        self.active -= 1;
        Some(leg)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn transfers_share_a_link_and_none_runs_above_its_pace() {
        // 3000 bytes a second, 2000 for one: alone 1 s for 2000 bytes, two together 1500 each.
        let mut p = Pipe::new(3_000.0, 2_000.0);
        p.add(0, 1, 2_000.0);
        assert_eq!(p.due(), Some(1_000_000));
        p.add(500_000, 2, 1_500.0);
        // 1000 bytes are left of the first, at 1500 a second.
        let first = p.due().unwrap();
        assert!((1_166_000..1_168_000).contains(&first), "{first}");
        assert_eq!((p.done(first + 1), p.done(first + 1)), (Some(1), None));
        let second = p.due().unwrap();
        assert!((1_416_000..1_418_000).contains(&second), "{second}");
        p.drop(second - 100, 2);
        assert_eq!(p.due(), None);
        assert!((3_490.0..3_501.0).contains(&p.carried), "{}", p.carried);
    }
}
