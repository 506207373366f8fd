//! Tests of the timer wheel against a list of timers.

use super::timer_wheel::{TimerId, TimerWheel};
use hollymux_decision::Timestamp;
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

const TICK_MICROS: u64 = 2_000;
/// Longer than a turn of the wheel, which takes 8.2 s.
const MAX_DELAY_MICROS: u64 = 20_000_000;

/// A wheel beside a list of the timers that are set in it.
struct Timers {
    wheel: TimerWheel<u64>,
    now: u64,
    set: BTreeMap<u64, (TimerId, u64)>,
    serial: u64,
}

impl Timers {
    fn new() -> Timers {
        let now = 1_000_000;
        let wheel = TimerWheel::new(Timestamp::from_micros(now));
        Timers { wheel, now, set: BTreeMap::new(), serial: 0 }
    }

    fn set(&mut self, delay: u64) {
        self.serial += 1;
        let at = self.now + delay;
        let id = self.wheel.set(Timestamp::from_micros(at), self.serial);
        self.set.insert(self.serial, (id, at));
    }

    fn cancel(&mut self, pick: usize) {
        let Some(serial) = self.set.keys().nth(pick % self.set.len().max(1)).copied() else { return };
        let (id, _) = self.set.remove(&serial).unwrap();
        self.wheel.cancel(id);
    }

    /// Lets time pass, and checks which timers expire: all that were due a tick ago, and none that
    /// is not due.
    fn pass(&mut self, micros: u64) {
        self.now += micros;
        for expired in self.wheel.expired(Timestamp::from_micros(self.now)) {
            let (id, at) = self.set.remove(&expired.timer).expect("cancelled or expired before");
            assert_eq!(id, expired.id);
            assert!(at <= self.now, "timer expired {} us early", at - self.now);
        }
        let overdue = self.set.values().filter(|(_, at)| at + TICK_MICROS <= self.now).count();
        assert_eq!(overdue, 0, "timers are set that were due a tick ago");
        let next_due = self.set.values().map(|(_, at)| *at).min();
        let wait = self.wheel.time_to_next(Timestamp::from_micros(self.now));
        assert_eq!(wait.is_some(), next_due.is_some());
        if let (Some(wait), Some(at)) = (wait, next_due) {
            let latest = (at - at.min(self.now)) as u128 + u128::from(2 * TICK_MICROS);
            assert!(wait.as_micros() <= latest, "the wait of {wait:?} passes a timer due at {at}");
        }
    }
}

/// Guards against timers that are lost, early, late or returned after they were cancelled, also over
/// several turns of the wheel and after stalls.
#[test]
fn timers_expire_once_and_in_time_unless_they_are_cancelled() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(44);
    let mut timers = Timers::new();
    for _ in 0..30_000 {
        let random = rng.next_u64();
        let delay = (random >> 8) % MAX_DELAY_MICROS;
        match random % 16 {
            0..7 => timers.set(delay),
            7 => timers.set(delay % 10_000),
            8..11 => timers.cancel((random >> 8) as usize),
            11 => timers.wheel.shrink(),
            12 => timers.pass(delay),
            _ => timers.pass(delay % 50_000),
        }
    }
    timers.pass(2 * MAX_DELAY_MICROS);
    assert!(timers.set.is_empty() && timers.serial > 10_000);
}
