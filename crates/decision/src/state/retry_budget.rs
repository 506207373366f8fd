//! Retry budget: a token bucket that bounds how many retries this router sends. New requests fill
//! it.

/// Capacity of the bucket, in retries. It suffices for the retries that the loss of one endpoint
/// causes at once.
const MAX_TOKENS: f64 = 40.0;
/// Retries that each new request adds. It is below 1 so that retries do not amplify themselves.
const TOKENS_PER_REQUEST: f64 = 0.5;

/// Token bucket of retries. It starts full.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// Number of retries that may be sent now.
    pub(crate) tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the tokens of a new request.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether the budget has a token for a retry.
    pub(crate) fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of a retry that is sent.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
