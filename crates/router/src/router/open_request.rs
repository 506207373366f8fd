//! A request that was accepted and has no final reply yet.

use crate::messages::{ClientHandle, Command, RequestResult, RequestSummary, ResultReason, RoutingMode};
use crate::request::{ClientRequest, RequestedObject};
use hollymux_decision::{AttemptStatus, RequestId, Timestamp};
use std::rc::Rc;

/// The client that waits for the reply, and what it sent.
#[derive(Clone, Debug)]
pub(super) struct WaitingClient {
    pub(super) handle: ClientHandle,
    pub(super) request: Rc<ClientRequest>,
}

/// The endpoint and the fill source of an attempt, by name.
#[derive(Clone, Debug)]
pub(super) struct AttemptedEndpoint {
    pub(super) uid: Rc<str>,
    pub(super) source: Option<Rc<str>>,
}

/// A request to be opened.
#[derive(Debug)]
pub(super) struct NewRequest {
    pub(super) mode: RoutingMode,
    pub(super) requested: RequestedObject,
    /// `None`: a lookup, whose caller sends the request itself.
    pub(super) client: Option<WaitingClient>,
    pub(super) deadline: Timestamp,
}

/// The state of an open request.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) mode: RoutingMode,
    pub(super) requested: RequestedObject,
    /// `None`: a lookup, whose caller sends the request itself.
    pub(super) client: Option<WaitingClient>,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    /// Attempts made so far.
    pub(super) attempts: u16,
    pub(super) last_endpoint: Option<AttemptedEndpoint>,
    /// How the last attempt that has ended did.
    pub(super) last_status: Option<AttemptStatus>,
    /// When the first attempt was sent that may have run.
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

    /// Why the request could not be served: how its last attempt ended, or that none could be made.
    pub(super) fn failure_reason(&self) -> ResultReason {
        match self.last_status {
            Some(status) => ResultReason::Attempt(status),
            // The only attempt is still in flight and has no response.
            None if self.attempts > 0 => ResultReason::Attempt(AttemptStatus::Timeout),
            None => ResultReason::NoEndpoint,
        }
    }

    /// The summary of the request, which ends now.
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
