//! The state of a request between its admission and its final reply.

use crate::messages::{ClientHandle, Command, RequestResult, RequestSummary, ResultReason, RoutingMode};
use crate::request::{ClientRequest, RequestedObject};
use hollymux_decision::{AttemptStatus, RequestId, Timestamp};
use std::rc::Rc;

/// The client that waits for the reply, and the request that it sent.
#[derive(Clone, Debug)]
pub(super) struct WaitingClient {
    pub(super) handle: ClientHandle,
    pub(super) request: Rc<ClientRequest>,
}

/// The names of an attempt's endpoint and of its fill source. The source is `None` if there is no
/// fill or the endpoint is its own source.
#[derive(Clone, Debug)]
pub(super) struct AttemptedEndpoint {
    pub(super) uid: Rc<str>,
    pub(super) source: Option<Rc<str>>,
}

/// The parameters of a request that is to be opened.
#[derive(Debug)]
pub(super) struct NewRequest {
    pub(super) mode: RoutingMode,
    pub(super) requested: RequestedObject,
    /// The client that waits for the reply; `None` for a lookup, whose caller sends the request
    /// itself.
    pub(super) client: Option<WaitingClient>,
    pub(super) deadline: Timestamp,
}

/// The state of an open request.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) mode: RoutingMode,
    pub(super) requested: RequestedObject,
    /// The client that waits for the reply; `None` for a lookup, whose caller sends the request
    /// itself.
    pub(super) client: Option<WaitingClient>,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    /// The number of attempts started so far.
    pub(super) attempts: u16,
    /// The endpoint of the last attempt that was sent or named; `None` before the first one.
    pub(super) last_endpoint: Option<AttemptedEndpoint>,
    /// The status of the last attempt that has ended; `None` if none has.
    pub(super) last_status: Option<AttemptStatus>,
    /// The send time of the first attempt that may have run; `None` if no ended attempt may have
    /// run.
    pub(super) may_have_run_since: Option<Timestamp>,
}

impl OpenRequest {
    pub(super) fn new(now: Timestamp, new: NewRequest) -> OpenRequest {
        OpenRequest {
            mode: new.mode,
            requested: new.requested,
            client: new.client,
            arrived: now,
            deadline: new.deadline,
            attempts: 0,
            last_endpoint: None,
            last_status: None,
            may_have_run_since: None,
        }
    }

    /// Records the end of an attempt that was sent at `sent`.
    pub(super) fn record_attempt_end(&mut self, sent: Timestamp, status: AttemptStatus) {
        self.last_status = Some(status);
        if !status.never_ran() {
            self.may_have_run_since = self.may_have_run_since.or(Some(sent));
        }
    }

    /// Why the request was not served: the status of its last attempt, or
    /// [`ResultReason::NoEndpoint`] if no attempt was started.
    pub(super) fn failure_reason(&self) -> ResultReason {
        match self.last_status {
            Some(status) => ResultReason::Attempt(status),
            // The only attempt is still in flight without a response.
            None if self.attempts > 0 => ResultReason::Attempt(AttemptStatus::Timeout),
            None => ResultReason::NoEndpoint,
        }
    }

    /// Builds the summary of the request, which is closed at `now`. `bytes` is the size of the
    /// reply's body.
    pub(super) fn summary(
        &self,
        id: RequestId,
        now: Timestamp,
        result: RequestResult,
        reason: ResultReason,
        bytes: usize,
    ) -> Command {
        Command::RequestEnded(Box::new(RequestSummary {
            request: id,
            requested: self.requested.clone(),
            arrived: self.arrived,
            budget: self.deadline.saturating_duration_since(self.arrived),
            duration: now.saturating_duration_since(self.arrived),
            result,
            reason,
            bytes: bytes as u64,
            attempts: self.attempts,
            endpoint: self.last_endpoint.as_ref().map(|last| last.uid.clone()),
            source: self.last_endpoint.as_ref().and_then(|last| last.source.clone()),
        }))
    }
}
