//! Fault detector of one parent cache (a CUSUM test), for settings under which outcomes do not
//! distinguish hits from fills, and the state of its probe.

use crate::time::Timestamp;
use std::time::Duration;

/// Score that a refusal adds. Both steps are log-likelihood ratios of a parent that refuses 1 of 10
/// attempts against one that refuses 1 of 50.
const REFUSAL_STEP: f64 = 1.6;
/// Score that a response subtracts.
const RESPONSE_STEP: f64 = 0.085;
/// Score at which the parent is probed. Three refusals in a row reach it.
const PROBE_SCORE: f64 = 4.0;
/// Minimum interval between two probes that the score calls for. Each successful probe doubles the
/// interval up to [`MAX_PROBE_INTERVAL`]; a failed one resets it.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// A probe fails after twice the connect timeout, and after twice this if the connect timeout is
/// shorter.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// CUSUM test of one parent cache, and its probe in flight.
#[derive(Debug, Default)]
pub(crate) struct FaultDetector {
    /// Cumulative sum of the steps, never below 0. The end of a probe resets it.
    score: f64,
    /// Time at which the probe in flight was sent; `None` if there is none.
    probe_sent_at: Option<Timestamp>,
    /// Earliest time of the next probe that the score calls for.
    next_probe_at: Timestamp,
    /// Interval to the next such probe; zero stands for [`MIN_PROBE_INTERVAL`].
    probe_interval: Duration,
}

impl FaultDetector {
    /// Adds the outcome of an attempt that named the parent: refused or served.
    pub(crate) fn record(&mut self, refused: bool) {
        let step = if refused { REFUSAL_STEP } else { -RESPONSE_STEP };
        self.score = (self.score + step).max(0.0);
    }

    /// Whether the score calls for a probe, and none is in flight.
    pub(crate) fn is_probe_due(&self, now: Timestamp) -> bool {
        self.is_idle() && self.score >= PROBE_SCORE && now >= self.next_probe_at
    }

    /// Whether no probe is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.probe_sent_at.is_none()
    }

    /// Records that a probe is sent because of the score, and sets the earliest time of the next
    /// one.
    pub(crate) fn begin_spaced_probe(&mut self, now: Timestamp) {
        self.begin_probe(now);
        self.next_probe_at = now + self.probe_interval.max(MIN_PROBE_INTERVAL);
    }

    /// Records that a probe is sent.
    pub(crate) fn begin_probe(&mut self, now: Timestamp) {
        self.probe_sent_at = Some(now);
    }

    /// Whether the probe in flight has had no result for longer than its timeout.
    pub(crate) fn is_probe_overdue(&self, now: Timestamp, connect_timeout: Duration) -> bool {
        let timeout = 2 * connect_timeout.max(MIN_PROBE_TIMEOUT);
        self.probe_sent_at.is_some_and(|sent_at| now >= sent_at + timeout)
    }

    /// Ends the probe in flight and returns its duration, or `None` if there is none.
    pub(crate) fn end_probe(&mut self, now: Timestamp, is_alive: bool) -> Option<Duration> {
        let sent_at = self.probe_sent_at.take()?;
        self.score = 0.0;
        self.probe_interval = if is_alive {
            (2 * self.probe_interval.max(MIN_PROBE_INTERVAL)).min(MAX_PROBE_INTERVAL)
        } else {
            Duration::ZERO
        };
        Some(now.saturating_duration_since(sent_at))
    }
}
