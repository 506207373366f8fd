//! A pool of workers that serves calls in order of arrival, behind a limit on the rate of calls.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Length of the sliding window in which the rate limit counts calls, in microseconds.
const RATE_LIMIT_WINDOW_US: u64 = 1_000_000;

/// A first-come, first-served worker pool with a rate limit. Times are in microseconds.
#[derive(Debug)]
pub struct WorkerPool {
    worker_count: usize,
    busy_until_us: BinaryHeap<Reverse<u64>>,
    recent_calls_us: VecDeque<u64>,
    max_calls_per_s: Option<f64>,
    calls_by_second: Vec<f64>,
}

impl WorkerPool {
    /// Creates a pool of `worker_count` workers, or of unlimited size if `None`. Calls above
    /// `max_calls_per_s` are rejected; `None` is no limit.
    pub fn new(worker_count: Option<usize>, max_calls_per_s: Option<f64>) -> WorkerPool {
        WorkerPool {
            worker_count: worker_count.unwrap_or(usize::MAX),
            busy_until_us: BinaryHeap::new(),
            recent_calls_us: VecDeque::new(),
            max_calls_per_s,
            calls_by_second: Vec::new(),
        }
    }

    /// Submits a call and returns the time at which it completes, or `None` if the rate limit
    /// rejects it. Calls must be submitted in order of time.
    pub fn submit(&mut self, now_us: u64, service_time_us: u64) -> Option<u64> {
        self.count_call(now_us);
        if !self.admit(now_us) {
            return None;
        }
        while self.busy_until_us.peek().is_some_and(|Reverse(until)| *until <= now_us) {
            self.busy_until_us.pop();
        }
        let begins_us = if self.busy_until_us.len() < self.worker_count {
            now_us
        } else {
            self.busy_until_us.pop().map_or(now_us, |Reverse(until)| until)
        };
        let done_us = begins_us + service_time_us;
        self.busy_until_us.push(Reverse(done_us));
        Some(done_us)
    }

    /// Returns the number of calls in each second, including rejected ones.
    pub fn calls_by_second(&self) -> &[f64] {
        &self.calls_by_second
    }

    fn count_call(&mut self, now_us: u64) {
        let second = (now_us / 1_000_000) as usize;
        if self.calls_by_second.len() <= second {
            self.calls_by_second.resize(second + 1, 0.0);
        }
        self.calls_by_second[second] += 1.0;
    }

    /// Returns whether the rate limit admits another call, and counts the call if so.
    fn admit(&mut self, now_us: u64) -> bool {
        let expired = |call_us: &u64| *call_us + RATE_LIMIT_WINDOW_US < now_us;
        while self.recent_calls_us.front().is_some_and(expired) {
            self.recent_calls_us.pop_front();
        }
        let Some(max_calls) = self.max_calls_per_s else { return true };
        if self.recent_calls_us.len() as f64 >= max_calls {
            return false;
        }
        self.recent_calls_us.push_back(now_us);
        true
    }
}
