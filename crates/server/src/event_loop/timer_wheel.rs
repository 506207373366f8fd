//! A timer wheel with coarse ticks, whose timers can be cancelled.

use hollymux_decision::Timestamp;
use slab::Slab;
use std::time::Duration;

/// The length of a tick, in microseconds.
const TICK_MICROS: u64 = 2_000;
/// Number of slots of the wheel. A timer further ahead than one turn stays in its slot for further
/// turns.
const SLOTS: u64 = 4_096;
/// Room for this many timers is kept when fewer are set.
const MIN_CAPACITY: usize = 1_024;
/// Room for timers is released when less than this fraction of it, as a divisor, is in use.
const SHRINK_DIVISOR: usize = 4;

/// Identifies a timer until it expires or is cancelled; after that, the id may be that of another
/// timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimerId(usize);

/// A timer that has expired.
#[derive(Debug)]
pub(crate) struct Expired<T> {
    /// The id that the timer had.
    pub(crate) id: TimerId,
    pub(crate) timer: T,
}

/// A timer in the circular list of its slot.
#[derive(Debug)]
struct Entry<T> {
    /// The tick at which the timer expires.
    tick: u64,
    timer: T,
    previous: usize,
    next: usize,
}

/// Timers with a payload each. Each slot is a doubly linked list, so that setting and cancelling a
/// timer take constant time, and the memory in use follows the number of timers that are set.
#[derive(Debug)]
pub(crate) struct TimerWheel<T> {
    entries: Slab<Entry<T>>,
    /// The entry of each slot that was set first; `None` if the slot is empty.
    slots: Vec<Option<usize>>,
    /// The first tick that has not been processed yet.
    next_tick: u64,
}

impl<T> TimerWheel<T> {
    /// An empty wheel that starts at `now`.
    pub(crate) fn new(now: Timestamp) -> TimerWheel<T> {
        TimerWheel {
            entries: Slab::with_capacity(MIN_CAPACITY),
            slots: vec![None; SLOTS as usize],
            next_tick: now.as_micros() / TICK_MICROS,
        }
    }

    /// Sets a timer. It expires at the end of the tick that contains `at`, or in the next
    /// unprocessed tick if that is later.
    pub(crate) fn set(&mut self, at: Timestamp, timer: T) -> TimerId {
        let tick = at.as_micros().div_ceil(TICK_MICROS).max(self.next_tick);
        let own = self.entries.vacant_key();
        let (previous, next) = match self.slots[slot_of(tick)] {
            Some(first) => (self.entries[first].previous, first),
            None => (own, own),
        };
        self.entries.insert(Entry { tick, timer, previous, next });
        self.entries[previous].next = own;
        self.entries[next].previous = own;
        self.slots[slot_of(tick)].get_or_insert(own);
        TimerId(own)
    }

    /// Cancels a timer that has neither expired nor been cancelled.
    pub(crate) fn cancel(&mut self, id: TimerId) {
        self.remove(id.0);
    }

    fn remove(&mut self, index: usize) -> T {
        let Entry { tick, timer, previous, next } = self.entries.remove(index);
        let slot = &mut self.slots[slot_of(tick)];
        if next == index {
            *slot = None;
            return timer;
        }
        if *slot == Some(index) {
            *slot = Some(next);
        }
        self.entries[previous].next = next;
        self.entries[next].previous = previous;
        timer
    }

    /// Removes and returns all timers that have expired by `now`, those of a slot in the order in
    /// which they were set.
    pub(crate) fn expired(&mut self, now: Timestamp) -> Vec<Expired<T>> {
        let mut expired = Vec::new();
        let last_tick = now.as_micros() / TICK_MICROS;
        // After a stall of more than one turn, one turn is enough to visit every slot.
        let one_turn_back = last_tick.saturating_sub(SLOTS - 1).min(last_tick);
        self.next_tick = self.next_tick.max(one_turn_back);
        while self.next_tick <= last_tick {
            self.expire_slot(slot_of(self.next_tick), last_tick, &mut expired);
            self.next_tick += 1;
        }
        expired
    }

    fn expire_slot(&mut self, slot: usize, last_tick: u64, expired: &mut Vec<Expired<T>>) {
        let Some(first) = self.slots[slot] else { return };
        let last = self.entries[first].previous;
        let mut index = first;
        loop {
            let Entry { tick, next, .. } = self.entries[index];
            if tick <= last_tick {
                expired.push(Expired { id: TimerId(index), timer: self.remove(index) });
            }
            if index == last {
                return;
            }
            index = next;
        }
    }

    /// The time until the next occupied slot is due; `None` without timers. The timers of that slot
    /// may belong to a later turn.
    pub(crate) fn time_to_next(&self, now: Timestamp) -> Option<Duration> {
        if self.entries.is_empty() {
            return None;
        }
        let is_used = |ahead: &u64| self.slots[slot_of(self.next_tick + ahead)].is_some();
        let ahead = (0..SLOTS).find(is_used)?;
        let at = Timestamp::from_micros((self.next_tick + ahead) * TICK_MICROS);
        Some(at.saturating_duration_since(now))
    }

    /// Releases memory that was used for more timers than are set now.
    pub(crate) fn shrink(&mut self) {
        if self.entries.capacity() > MIN_CAPACITY.max(self.entries.len() * SHRINK_DIVISOR) {
            self.entries.shrink_to_fit();
        }
    }
}

/// The index of the slot that a tick falls into.
fn slot_of(tick: u64) -> usize {
    (tick % SLOTS) as usize
}
