//! A link whose capacity is divided evenly among its transfers, up to a maximum rate of each.

use crate::Time;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// The id of a transfer, chosen by the caller and unique on its link.
pub type TransferId = u64;

/// Resolution in which the ends of transfers are compared: thousandths of a byte. The order of ends
/// must not depend on rounding in the last bits of a float.
const UNITS_PER_BYTE: f64 = 1_000.0;

/// A link with its active transfers. At any moment all of them progress at the same rate, so the
/// link keeps one count of the bytes moved per transfer. Each transfer ends when that count reaches
/// a value that is known when the transfer starts.
#[derive(Debug)]
pub struct SharedLink {
    /// The capacity of the link, in bytes per microsecond.
    capacity: f64,
    /// The maximum rate of one transfer, in bytes per microsecond.
    max_per_transfer: f64,
    /// The bytes moved by a transfer that has been active since the link was created.
    moved_per_transfer: f64,
    now: Time,
    /// The value of `moved_per_transfer`, in units of 1 / [`UNITS_PER_BYTE`] bytes, at which each
    /// transfer ends.
    ends: BinaryHeap<Reverse<(u64, TransferId)>>,
    /// Cancelled transfers whose entries are still in `ends`.
    removed: BTreeSet<TransferId>,
    active: usize,
    carried: f64,
}

impl SharedLink {
    /// Creates a link with a capacity and a maximum rate of one transfer, both in bytes per second.
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

    /// The bytes carried until the latest call of a method that takes the time.
    pub fn carried(&self) -> f64 {
        self.carried
    }

    /// The present rate of each transfer, in bytes per microsecond.
    fn rate_per_transfer(&self) -> f64 {
        self.max_per_transfer.min(self.capacity / self.active.max(1) as f64)
    }

    /// Advances the transfers to `now`. Transfers that have ended stay until
    /// [`SharedLink::pop_finished`].
    pub fn advance(&mut self, now: Time) {
        let moved = now.saturating_sub(self.now) as f64 * self.rate_per_transfer();
        self.now = self.now.max(now);
        if self.active > 0 {
            self.moved_per_transfer += moved;
            self.carried += moved * self.active as f64;
        }
    }

    /// Changes the capacity of the link from `now` on.
    pub fn set_capacity(&mut self, now: Time, bytes_per_s: f64) {
        self.advance(now);
        self.capacity = bytes_per_s / 1e6;
    }

    /// Starts a transfer at `now`.
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

    /// The time at which the next transfer ends if nothing changes before; `None` if there is no
    /// transfer.
    pub fn due(&mut self) -> Option<Time> {
        self.drop_cancelled();
        let Reverse((end, _)) = self.ends.peek()?;
        let left = (*end as f64 / UNITS_PER_BYTE - self.moved_per_transfer).max(0.0);
        Some(self.now + (left / self.rate_per_transfer()).ceil() as Time)
    }

    /// Removes and returns one transfer that has ended by `now`; `None` if there is none.
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

    /// Removes the entries of cancelled transfers at the front of `ends`.
    fn drop_cancelled(&mut self) {
        while let Some(Reverse((_, transfer))) = self.ends.peek() {
            if !self.removed.remove(transfer) {
                break;
            }
            self.ends.pop();
        }
    }
}
