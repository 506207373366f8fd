//! How many retries this router may still send: a token bucket that new requests fill.

/// The most retries saved up: enough for the loss of one endpoint at once.
const MAX_TOKENS: f64 = 40.0;
/// Each new request earns this many retries, so that a storm of retries does not feed itself.
const TOKENS_PER_REQUEST: f64 = 0.5;

/// Retries saved up, in attempts.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    pub(crate) tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds what a new request earns.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether a retry may be sent.
    pub(crate) fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry off.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
