//! Estimate of the share of responses that are lost on their way from endpoints that are alive.

/// The share is smoothed over about this many attempts.
const SAMPLE_WINDOW: f64 = 50.0;
/// Bounds of the share of responses that may take longer than the time after which an attempt is
/// overdue. The share grows with the share of lost responses.
const MIN_TAIL: f64 = 0.05;
const MAX_TAIL: f64 = 0.4;

/// Smoothed share of attempts, 0 to 1, whose response from a live endpoint was lost.
#[derive(Debug, Default)]
pub(crate) struct LostResponses {
    pub(crate) share: f64,
}

impl LostResponses {
    /// Adds an attempt; `likelihood`, 0 to 1, says how likely its response was lost.
    pub(crate) fn record(&mut self, likelihood: f64) {
        self.share += (likelihood - self.share) / SAMPLE_WINDOW;
    }

    /// Share of responses that may take longer than the time after which an attempt is overdue:
    /// about as many as are lost, so that the response of an overdue attempt is equally likely lost
    /// or late.
    pub(crate) fn latency_tail(&self) -> f64 {
        (self.share / (1.0 - self.share)).clamp(MIN_TAIL, MAX_TAIL)
    }
}
