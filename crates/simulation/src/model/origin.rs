//! Admission of requests at the origin: it rejects requests above its maximum rate, and stops for a
//! while when the rate is far above that.

use super::{ServerModel, ServerState};
use crate::{Time, SEC};
use std::collections::VecDeque;

/// Window over which the requests that reach the origin are counted.
const RATE_WINDOW: Time = SEC;
/// The origin stops when the rate of requests exceeds this multiple of its maximum rate.
const STOP_MULTIPLE: f64 = 2.5;
/// Time for which the origin rejects everything after it stopped.
const STOP_DURATION: Time = 5 * SEC;

/// The requests that reached the origin recently, and its counters.
#[derive(Debug, Default)]
pub(super) struct OriginAdmission {
    arrived: VecDeque<Time>,
    admitted: VecDeque<Time>,
    stopped_until: Time,
    /// The number of requests since the start of the run, rejected ones included.
    pub requests: u64,
    /// How often the origin stopped.
    pub falls: u64,
}

fn drop_before(times: &mut VecDeque<Time>, oldest: Time) {
    while times.front().is_some_and(|at| *at < oldest) {
        times.pop_front();
    }
}

impl OriginAdmission {
    /// Records a request that reaches the origin at `now` and returns whether it is admitted. A
    /// maximum rate of 0 admits everything.
    fn admit(&mut self, now: Time, max_per_s: f64) -> bool {
        let oldest = now.saturating_sub(RATE_WINDOW);
        drop_before(&mut self.arrived, oldest);
        self.arrived.push_back(now);
        if max_per_s > 0.0 && self.arrived.len() as f64 > STOP_MULTIPLE * max_per_s {
            self.stopped_until = now + STOP_DURATION;
            self.falls += 1;
        }
        drop_before(&mut self.admitted, oldest);
        let admits = max_per_s <= 0.0 || (self.admitted.len() as f64) < max_per_s;
        if admits {
            self.admitted.push_back(now);
        }
        admits
    }
}

impl ServerModel {
    /// Counts a request that reaches the origin and returns whether it is admitted. While the
    /// origin has stopped or is not up, everything is rejected.
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
