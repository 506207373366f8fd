//! A timer wheel with coarse ticks.

use hollymux_decision::Timestamp;
use std::time::Duration;

/// The length of a tick, in microseconds.
const TICK_MICROS: u64 = 2_000;
/// Number of slots of the wheel. A timer further ahead than one turn stays in its slot for further
/// turns.
const SLOTS: u64 = 4_096;

/// A timer in a slot, with the tick at which it expires.
#[derive(Debug)]
struct Entry<T> {
    tick: u64,
    timer: T,
}

/// Timers with a payload each. A timer can't be cancelled: its handler ignores it if it is no
/// longer needed.
#[derive(Debug)]
pub(crate) struct TimerWheel<T> {
    slots: Vec<Vec<Entry<T>>>,
    /// The first tick that has not been processed yet.
    next_tick: u64,
    /// Number of timers that are set and have not expired.
    armed: usize,
}

impl<T> TimerWheel<T> {
    /// An empty wheel that starts at `now`.
    pub(crate) fn new(now: Timestamp) -> TimerWheel<T> {
        TimerWheel {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            next_tick: now.as_micros() / TICK_MICROS,
            armed: 0,
        }
    }

    /// Sets a timer. It expires at the end of the tick that contains `at`, or in the next
    /// unprocessed tick if that is later.
    pub(crate) fn set(&mut self, at: Timestamp, timer: T) {
        let tick = at.as_micros().div_ceil(TICK_MICROS).max(self.next_tick);
        self.slots[slot_of(tick)].push(Entry { tick, timer });
        self.armed += 1;
    }

    /// Removes and returns all timers that have expired by `now`, in no particular order within a
    /// slot.
    pub(crate) fn expired(&mut self, now: Timestamp) -> Vec<T> {
        let mut expired = Vec::new();
        let last_tick = now.as_micros() / TICK_MICROS;
        // After a stall of more than one turn, one turn is enough to visit every slot.
        let one_turn_back = last_tick.saturating_sub(SLOTS - 1).min(last_tick);
        self.next_tick = self.next_tick.max(one_turn_back);
        while self.next_tick <= last_tick {
            let slot = &mut self.slots[slot_of(self.next_tick)];
            let mut index = 0;
            while index < slot.len() {
                if slot[index].tick <= last_tick {
                    expired.push(slot.swap_remove(index).timer);
                } else {
                    index += 1;
                }
            }
            self.next_tick += 1;
        }
        self.armed -= expired.len();
        expired
    }

    /// The time until the next occupied slot is due; `None` without timers. The timers of that slot
    /// may belong to a later turn.
    pub(crate) fn time_to_next(&self, now: Timestamp) -> Option<Duration> {
        let is_used = |ahead: &u64| !self.slots[slot_of(self.next_tick + ahead)].is_empty();
        let ahead = (0..SLOTS).find(is_used)?;
        debug_assert!(self.armed > 0, "a slot holds a timer, but no timer is counted as set");
        let at = Timestamp::from_micros((self.next_tick + ahead) * TICK_MICROS);
        Some(at.saturating_duration_since(now))
    }
}

/// The index of the slot that a tick falls into.
fn slot_of(tick: u64) -> usize {
    (tick % SLOTS) as usize
}
