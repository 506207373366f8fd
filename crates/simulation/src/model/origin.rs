//! Admission at the origin: it rejects requests above a rate, and stops for a while when far too
//! many come.

use super::{ServerModel, ServerState};
use crate::{Time, SEC};
use std::collections::VecDeque;

/// The window over which requests of the origin are counted.
const RATE_WINDOW: Time = SEC;
/// The origin stops when more than this many times its maximum rate is requested...
const FALL_MULTIPLE: f64 = 2.5;
/// ...for this long.
const FALL_DURATION: Time = 5 * SEC;

/// Requests of the origin within the window.
#[derive(Debug, Default)]
pub(super) struct OriginAdmission {
    arrived: VecDeque<Time>,
    admitted: VecDeque<Time>,
    stopped_until: Time,
    /// Requests in all.
    pub requests: u64,
    /// How often it stopped.
    pub falls: u64,
}

fn forget_before(times: &mut VecDeque<Time>, oldest: Time) {
    while times.front().is_some_and(|at| *at < oldest) {
        times.pop_front();
    }
}

impl OriginAdmission {
    /// Whether a request is admitted under that maximum rate; 0: there is none.
    fn admit(&mut self, now: Time, max_per_s: f64) -> bool {
        let oldest = now.saturating_sub(RATE_WINDOW);
        forget_before(&mut self.arrived, oldest);
        self.arrived.push_back(now);
        if max_per_s > 0.0 && self.arrived.len() as f64 > FALL_MULTIPLE * max_per_s {
            self.stopped_until = now + FALL_DURATION;
            self.falls += 1;
        }
        forget_before(&mut self.admitted, oldest);
        let admits = max_per_s <= 0.0 || (self.admitted.len() as f64) < max_per_s;
        if admits {
            self.admitted.push_back(now);
        }
        admits
    }
}

impl ServerModel {
    /// Counts a request that reaches the origin, and tells whether it is admitted.
    pub(super) fn origin_admits(&mut self) -> bool {
        let origin = self.origin();
        let admission = &mut self.origin_admission;
        admission.requests += 1;
        if self.now < admission.stopped_until || self.servers[origin].state != ServerState::Up {
            return false;
        }
        let admits = admission.admit(self.now, self.scenario.origin.max_requests_per_s);
        self.runtimes[origin].rejected += u64::from(!admits);
        admits
    }
}
