//! Timers as coarse ticks on a wheel.

use hollymux_decision::Timestamp;
use std::time::Duration;

/// The length of a tick in microseconds.
const TICK: u64 = 2_000;
/// Slots of the wheel; what is due later stays in its slot for further turns.
const SLOTS: u64 = 4_096;

/// Timers, each with what it is for. None can be recalled: what is no longer wanted is passed over when due.
#[derive(Debug)]
pub struct Wheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    /// The first tick that was not turned to yet.
    next: u64,
    armed: usize,
}

impl<T> Wheel<T> {
    /// An empty wheel at that time.
    pub fn new(now: Timestamp) -> Wheel<T> {
        Wheel { slots: (0..SLOTS).map(|_| Vec::new()).collect(), next: now.as_micros() / TICK, armed: 0 }
    }

    /// Sets a timer; it is due at the end of the tick that its time lies in.
    pub fn set(&mut self, at: Timestamp, what: T) {
        let tick = at.as_micros().div_ceil(TICK).max(self.next);
        self.slots[(tick % SLOTS) as usize].push((tick, what));
        self.armed += 1;
    }

    /// Takes all timers that are due.
    pub fn due(&mut self, now: Timestamp) -> Vec<T> {
        let mut due = Vec::new();
        let last = now.as_micros() / TICK;
        // After a long stall one whole turn passes every slot.
        self.next = self.next.max(last.saturating_sub(SLOTS - 1).min(last));
        while self.next <= last {
            let slot = &mut self.slots[(self.next % SLOTS) as usize];
            let mut i = 0;
            while i < slot.len() {
                if slot[i].0 <= last {
                    due.push(slot.swap_remove(i).1);
                } else {
                    i += 1;
                }
            }
            self.next += 1;
        }
        self.armed -= due.len();
        due
    }

    /// How long from now until a timer may be due; none if there is none.
    pub fn wait(&self, now: Timestamp) -> Option<Duration> {
        let ahead = (0..SLOTS).find(|i| !self.slots[((self.next + i) % SLOTS) as usize].is_empty())?;
        debug_assert!(self.armed > 0, "a timer that was not counted");
        Some(Timestamp::from_micros((self.next + ahead) * TICK).saturating_duration_since(now))
    }
}
