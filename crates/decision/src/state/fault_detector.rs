//! Evidence that a parent cache is down, where responses do not distinguish hits from fills, and
//! the probe that settles it.

use crate::time::Timestamp;
use std::time::Duration;

/// What a refusal adds and a response takes off: the logarithms of how much likelier each is at a
/// parent of which a tenth of the attempts are refused than at one of which a fiftieth are (a
/// cumulative sum test).
const REFUSAL_STEP: f64 = 1.6;
const RESPONSE_STEP: f64 = 0.085;
/// The score from which on a parent is probed: three refusals in a row.
const PROBE_SCORE: f64 = 4.0;
/// A parent is probed again no sooner than this; doubled each time that it turns out to be well, to
/// the longest.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// A probe has failed after two connect timeouts, and after two of these at the least.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The cumulative sum test of one parent cache, and its probe.
#[derive(Debug, Default)]
pub(crate) struct FaultDetector {
    /// The cumulative sum, never below zero.
    score: f64,
    /// When the probe in flight was sent.
    probe_sent_at: Option<Timestamp>,
    /// No probe because of the score before this.
    next_probe_at: Timestamp,
    /// Least time between two probes; zero: the shortest.
    probe_interval: Duration,
}

impl FaultDetector {
    /// Adds the outcome of one attempt that named the parent.
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

    /// A probe is sent because of the score: the next one keeps its distance.
    pub(crate) fn begin_spaced_probe(&mut self, now: Timestamp) {
        self.begin_probe(now);
        self.next_probe_at = now + self.probe_interval.max(MIN_PROBE_INTERVAL);
    }

    /// A probe is sent.
    pub(crate) fn begin_probe(&mut self, now: Timestamp) {
        self.probe_sent_at = Some(now);
    }

    /// Whether nothing has come back from a probe in time.
    pub(crate) fn is_probe_overdue(&self, now: Timestamp, connect_timeout: Duration) -> bool {
        let timeout = 2 * connect_timeout.max(MIN_PROBE_TIMEOUT);
        self.probe_sent_at.is_some_and(|sent_at| now >= sent_at + timeout)
    }

    /// A probe has ended; returns how long it took, none if there was none in flight.
    pub(crate) fn end_probe(&mut self, now: Timestamp, is_well: bool) -> Option<Duration> {
        let sent_at = self.probe_sent_at.take()?;
        self.score = 0.0;
        self.probe_interval = if is_well {
            (2 * self.probe_interval.max(MIN_PROBE_INTERVAL)).min(MAX_PROBE_INTERVAL)
        } else {
            Duration::ZERO
        };
        Some(now.saturating_duration_since(sent_at))
    }
}
