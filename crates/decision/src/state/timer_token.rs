//! The tokens of the module's timers: a request's number and what the timer is for, in 64 bits.

use crate::interface::RequestId;
use crate::state::open_request::AttemptId;

/// The low bits hold an attempt's number or one of the marks below, the bits above them the
/// request.
const ATTEMPT_BITS: u32 = 16;
const ATTEMPT_MASK: u64 = 0xffff;
const DEADLINE_MARK: u64 = 0xffff;
/// Set for the second timer of an attempt; attempts have numbers below it.
const FILL_CHECK_BIT: u64 = 0x8000;
const RESUBSCRIBE: u64 = u64::MAX;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerToken {
    /// Subscribe to the endpoint list again.
    Resubscribe,
    /// The request's deadline has come.
    Deadline(RequestId),
    /// An attempt that has no response by now is overdue.
    Overdue(AttemptId),
    /// An attempt that has no response by now is probably a fill at its source.
    FillCheck(AttemptId),
}

impl TimerToken {
    /// The token as the actions carry it.
    pub(crate) fn encode(self) -> u64 {
        let with_request = |request: RequestId, low: u64| u64::from(request) << ATTEMPT_BITS | low;
        match self {
            TimerToken::Resubscribe => RESUBSCRIBE,
            TimerToken::Deadline(request) => with_request(request, DEADLINE_MARK),
            TimerToken::Overdue(id) => with_request(id.request, id.attempt as u64),
            TimerToken::FillCheck(id) => with_request(id.request, id.attempt as u64 | FILL_CHECK_BIT),
        }
    }

    /// What a token that comes back was for.
    pub(crate) fn decode(token: u64) -> TimerToken {
        let request = (token >> ATTEMPT_BITS) as RequestId;
        let attempt = |number: u64| AttemptId { request, attempt: number as usize };
        match token & ATTEMPT_MASK {
            _ if token == RESUBSCRIBE => TimerToken::Resubscribe,
            DEADLINE_MARK => TimerToken::Deadline(request),
            low if low >= FILL_CHECK_BIT => TimerToken::FillCheck(attempt(low - FILL_CHECK_BIT)),
            low => TimerToken::Overdue(attempt(low)),
        }
    }
}
