//! A link whose capacity its transfers share evenly, each at its own maximum rate at most.

use crate::Time;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// A transfer on a link.
pub type TransferId = u64;

/// Bytes are compared in thousandths, so that the order does not depend on the last bits of a
/// float.
const UNITS_PER_BYTE: f64 = 1_000.0;

/// A link. Every active transfer progresses at the same rate at any moment, so the link keeps one
/// count of bytes per transfer, and each transfer ends when that count reaches a value which is
/// known when it starts.
#[derive(Debug)]
pub struct SharedLink {
    /// Bytes a microsecond that the link carries.
    capacity: f64,
    /// Bytes a microsecond of one transfer at most.
    max_per_transfer: f64,
    /// Bytes that a transfer which has been on the link all the time has moved.
    moved_per_transfer: f64,
    now: Time,
    /// The value of `moved_per_transfer` in [`UNITS_PER_BYTE`] at which each transfer ends.
    ends: BinaryHeap<Reverse<(u64, TransferId)>>,
    /// Removed transfers that are still in `ends`.
    removed: BTreeSet<TransferId>,
    active: usize,
    carried: f64,
}

impl SharedLink {
    /// A link of so many bytes a second, of which one transfer takes so many at most.
    pub fn new(bytes_per_s: f64, max_per_transfer_s: f64) -> SharedLink {
        SharedLink {
            capacity: bytes_per_s / 1e6,
            max_per_transfer: max_per_transfer_s / 1e6,
            moved_per_transfer: 0.0,
            now: 0,
            ends: BinaryHeap::new(),
            removed: BTreeSet::new(),
            active: 0,
            carried: 0.0,
        }
    }

    /// Bytes carried in all, up to the latest call of any method with a time.
    pub fn carried(&self) -> f64 {
        self.carried
    }

    /// The rate of each transfer now, in bytes a microsecond.
    fn rate_per_transfer(&self) -> f64 {
        self.max_per_transfer.min(self.capacity / self.active.max(1) as f64)
    }

    /// Lets time pass up to then.
    pub fn advance(&mut self, now: Time) {
        let moved = now.saturating_sub(self.now) as f64 * self.rate_per_transfer();
        self.now = self.now.max(now);
        if self.active > 0 {
            self.moved_per_transfer += moved;
            self.carried += moved * self.active as f64;
        }
    }

    /// Changes the capacity.
    pub fn set_capacity(&mut self, now: Time, bytes_per_s: f64) {
        self.advance(now);
        self.capacity = bytes_per_s / 1e6;
    }

    /// Starts a transfer.
    pub fn start(&mut self, now: Time, transfer: TransferId, bytes: f64) {
        self.advance(now);
        let end = ((self.moved_per_transfer + bytes) * UNITS_PER_BYTE) as u64;
        self.ends.push(Reverse((end, transfer)));
        self.active += 1;
    }

    /// Cancels a transfer that has not ended.
    pub fn cancel(&mut self, now: Time, transfer: TransferId) {
        self.advance(now);
        if self.removed.insert(transfer) {
            self.active -= 1;
        }
    }

    /// When the next transfer ends, if nothing changes before.
    pub fn due(&mut self) -> Option<Time> {
        self.drop_cancelled();
        let Reverse((end, _)) = self.ends.peek()?;
        let left = (*end as f64 / UNITS_PER_BYTE - self.moved_per_transfer).max(0.0);
        Some(self.now + (left / self.rate_per_transfer()).ceil() as Time)
    }

    /// Takes one transfer that has ended by then.
    pub fn pop_finished(&mut self, now: Time) -> Option<TransferId> {
        self.advance(now);
        self.drop_cancelled();
        let Reverse((end, transfer)) = *self.ends.peek()?;
        if end as f64 / UNITS_PER_BYTE > self.moved_per_transfer + 1.0 / UNITS_PER_BYTE {
            return None;
        }
        self.ends.pop();
        self.active -= 1;
        Some(transfer)
    }

    /// Removes cancelled transfers from the front of `ends`.
    fn drop_cancelled(&mut self) {
        while let Some(Reverse((_, transfer))) = self.ends.peek() {
            if !self.removed.remove(transfer) {
                break;
            }
            self.ends.pop();
        }
    }
}
