//! Tokens of the module's timers: 64 bits that hold a request's number and the purpose of the
//! timer.

use crate::interface::RequestId;
use crate::state::open_request::AttemptId;

/// The low 16 bits hold an attempt's number or a marker, the bits above them the request's number.
const ATTEMPT_BITS: u32 = 16;
const ATTEMPT_MASK: u64 = 0xffff;
/// Marker of a deadline timer.
const DEADLINE_MARKER: u64 = 0xffff;
/// Bit that marks the fill-check timer of an attempt. The numbers of attempts are below it.
const FILL_CHECK_BIT: u64 = 0x8000;
/// Token of the timer that belongs to no request.
const RESUBSCRIBE: u64 = u64::MAX;

/// What the decision module does when a timer expires; encoded in the timer's token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerToken {
    /// The module subscribes to the endpoint list again.
    Resubscribe,
    /// The request's deadline has passed.
    Deadline(RequestId),
    /// The attempt is overdue if it has no response by now.
    Overdue(AttemptId),
    /// The attempt counts as a fill at its source if it has no response by now.
    FillCheck(AttemptId),
}

/// The request that the timer with this token belongs to, if any. Once the request is answered and
/// none of its attempts is in flight, the timer has no effect any more.
pub fn request_of_timer(token: u64) -> Option<RequestId> {
    TimerToken::decode(token).request()
}

impl TimerToken {
    /// The token that an action carries.
    pub(crate) fn encode(self) -> u64 {
        let with_request = |request: RequestId, low_bits: u64| u64::from(request) << ATTEMPT_BITS | low_bits;
        match self {
            TimerToken::Resubscribe => RESUBSCRIBE,
            TimerToken::Deadline(request) => with_request(request, DEADLINE_MARKER),
            TimerToken::Overdue(id) => with_request(id.request, id.attempt as u64),
            TimerToken::FillCheck(id) => with_request(id.request, id.attempt as u64 | FILL_CHECK_BIT),
        }
    }

    /// The request that the timer belongs to, if any.
    fn request(self) -> Option<RequestId> {
        match self {
            TimerToken::Resubscribe => None,
            TimerToken::Deadline(request) => Some(request),
            TimerToken::Overdue(id) | TimerToken::FillCheck(id) => Some(id.request),
        }
    }

    /// The purpose of a token that an event returns.
    pub(crate) fn decode(token: u64) -> TimerToken {
        let request = (token >> ATTEMPT_BITS) as RequestId;
        let attempt = |number: u64| AttemptId { request, attempt: number as usize };
        match token & ATTEMPT_MASK {
            _ if token == RESUBSCRIBE => TimerToken::Resubscribe,
            DEADLINE_MARKER => TimerToken::Deadline(request),
            low_bits if low_bits >= FILL_CHECK_BIT => {
                TimerToken::FillCheck(attempt(low_bits - FILL_CHECK_BIT))
            }
            low_bits => TimerToken::Overdue(attempt(low_bits)),
        }
    }
}
