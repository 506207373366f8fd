//! A link whose capacity is shared evenly by its active transfers (processor sharing), each limited
//! to a maximum rate of its own.

use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashSet};

/// Remaining bytes below which a transfer counts as complete at any link rate, to absorb rounding
/// errors.
const COMPLETION_TOLERANCE_BYTES: f64 = 1e-9;
/// Remaining time within which a transfer counts as complete: event times are rounded to whole
/// microseconds.
const COMPLETION_TOLERANCE_US: f64 = 0.5;

/// The level of the link, see [`SharedLink`], at which a transfer completes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TransferEnd {
    level: f64,
    transfer: u64,
}

impl Eq for TransferEnd {}

impl PartialOrd for TransferEnd {
    fn partial_cmp(&self, other: &TransferEnd) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TransferEnd {
    fn cmp(&self, other: &TransferEnd) -> Ordering {
        self.level.total_cmp(&other.level).then(self.transfer.cmp(&other.transfer))
    }
}

/// A shared link. Times are in microseconds, sizes in bytes. Transfers are tracked by the link's
/// level: the bytes that a transfer active since the start would have moved.
#[derive(Debug)]
pub struct SharedLink {
    bytes_per_us: f64,
    max_transfer_bytes_per_us: f64,
    /// Bytes that a transfer active since the start would have moved.
    level: f64,
    now_us: f64,
    ends: BinaryHeap<Reverse<TransferEnd>>,
    aborted: HashSet<u64>,
    active_transfers: usize,
    carried_by_second: Vec<f64>,
}

impl SharedLink {
    /// Creates a link with a capacity of `bytes_per_s`, of which a single transfer uses at most
    /// `max_transfer_bytes_per_s`.
    pub fn new(bytes_per_s: f64, max_transfer_bytes_per_s: f64) -> SharedLink {
        SharedLink {
            bytes_per_us: bytes_per_s / 1e6,
            max_transfer_bytes_per_us: max_transfer_bytes_per_s / 1e6,
            level: 0.0,
            now_us: 0.0,
            ends: BinaryHeap::new(),
            aborted: HashSet::new(),
            active_transfers: 0,
            carried_by_second: Vec::new(),
        }
    }

    /// Returns the number of active transfers.
    pub fn active_transfers(&self) -> usize {
        self.active_transfers
    }

    /// Accounts for the bytes that the active transfers have moved until `now_us`, in microseconds.
    pub fn advance(&mut self, now_us: u64) {
        let now_us = now_us as f64;
        while self.now_us < now_us {
            if self.active_transfers == 0 {
                self.now_us = now_us;
                return;
            }
            // Advances in steps of at most one second, since carried bytes are counted per second.
            let second = (self.now_us / 1e6) as usize;
            let until_us = now_us.min((second as f64 + 1.0) * 1e6);
            let moved = (until_us - self.now_us) * self.transfer_rate();
            self.level += moved;
            if self.carried_by_second.len() <= second {
                self.carried_by_second.resize(second + 1, 0.0);
            }
            self.carried_by_second[second] += moved * self.active_transfers as f64;
            self.now_us = until_us;
        }
    }

    /// Changes the capacity of the link from `now_us` on.
    pub fn set_capacity(&mut self, now_us: u64, bytes_per_s: f64) {
        self.advance(now_us);
        self.bytes_per_us = bytes_per_s / 1e6;
    }

    /// Starts a transfer. Each identifier may be used only once per link.
    pub fn start(&mut self, now_us: u64, transfer: u64, bytes: f64) {
        self.advance(now_us);
        self.ends.push(Reverse(TransferEnd { level: self.level + bytes, transfer }));
        self.active_transfers += 1;
    }

    /// Aborts a transfer that has not completed.
    pub fn abort(&mut self, now_us: u64, transfer: u64) {
        self.advance(now_us);
        if self.aborted.insert(transfer) {
            self.active_transfers -= 1;
        }
    }

    /// Returns the time at which the next transfer completes if no transfer starts or ends before,
    /// or `None` if no transfer is active.
    pub fn next_completion_us(&mut self) -> Option<u64> {
        self.discard_aborted();
        let Reverse(next) = self.ends.peek()?;
        let remaining = (next.level - self.level).max(0.0);
        Some((self.now_us + remaining / self.transfer_rate()).ceil() as u64)
    }

    /// Removes one transfer that has completed by `now_us` and returns its identifier, or `None` if
    /// no other has.
    pub fn take_completed(&mut self, now_us: u64) -> Option<u64> {
        self.advance(now_us);
        self.discard_aborted();
        let Reverse(next) = *self.ends.peek()?;
        let tolerance = self.transfer_rate() * COMPLETION_TOLERANCE_US + COMPLETION_TOLERANCE_BYTES;
        if next.level - self.level > tolerance {
            return None;
        }
        self.ends.pop();
        self.active_transfers -= 1;
        Some(next.transfer)
    }

    /// Returns the share of the link's current capacity that was used in a second, counted from 0.
    pub fn utilization(&self, second: usize) -> f64 {
        let capacity = self.bytes_per_us * 1e6;
        if capacity > 0.0 {
            self.carried_by_second.get(second).copied().unwrap_or(0.0) / capacity
        } else {
            0.0
        }
    }

    /// Returns the rate of each active transfer, in bytes per microsecond.
    fn transfer_rate(&self) -> f64 {
        let even_share = self.bytes_per_us / self.active_transfers.max(1) as f64;
        self.max_transfer_bytes_per_us.min(even_share)
    }

    fn discard_aborted(&mut self) {
        while let Some(Reverse(next)) = self.ends.peek() {
            if !self.aborted.remove(&next.transfer) {
                return;
            }
            self.ends.pop();
        }
    }
}
