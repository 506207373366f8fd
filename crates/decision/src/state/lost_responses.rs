//! How many responses get lost on their way from endpoints that are alive.

/// The share is smoothed over about so many attempts.
const SAMPLE_WINDOW: f64 = 50.0;
/// An attempt is overdue when this part of those answered take longer; more where responses get
/// lost.
const MIN_TAIL: f64 = 0.05;
const MAX_TAIL: f64 = 0.4;

/// Share of attempts without a response from an endpoint that is alive, smoothed.
#[derive(Debug, Default)]
pub(crate) struct LostResponses {
    pub(crate) share: f64,
}

impl LostResponses {
    /// Adds an attempt whose response was lost with this likelihood.
    pub(crate) fn record(&mut self, likelihood: f64) {
        self.share += (likelihood - self.share) / SAMPLE_WINDOW;
    }

    /// The part of responses that may take longer than the time allowed: as many as are lost, so
    /// that an overdue attempt is as likely lost as late.
    pub(crate) fn latency_tail(&self) -> f64 {
        (self.share / (1.0 - self.share)).clamp(MIN_TAIL, MAX_TAIL)
    }
}
