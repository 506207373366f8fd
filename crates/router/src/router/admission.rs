//! Intake of clients' requests: the checks before a request is opened, and opening it.

use super::open_request::{NewRequest, OpenRequest, WaitingClient};
use super::{Router, MAX_OPEN_REQUESTS};
use crate::messages::{ClientHandle, Command, RequestResult, RequestSummary, ResultReason, RoutingMode};
use crate::metrics::CountedEvent;
use crate::request::{ClientRequest, Reply, RequestedObject};
use hollymux_decision::time::whole_micros;
use hollymux_decision::{Event, Idempotency, Request, RequestId, Timestamp};
use std::rc::Rc;
use std::time::Duration;

/// A request may not ask to wait for longer than this multiple of its class's deadline.
const MAX_BUDGET_MULTIPLE: u32 = 2;

impl Router {
    /// Counts a request that is rejected before it is opened, as the process is overloaded or
    /// stopping. Returns its summary if its class is known.
    pub fn reject_unopened(&mut self, now: Timestamp, request: &ClientRequest) -> Option<Command> {
        self.counters.shed += 1;
        let class = self.classes.named(&request.class)?;
        self.count(class, CountedEvent::Rejected);
        let requested = request.requested_object(class);
        let reason = ResultReason::Overloaded;
        Some(unopened_summary(now, request, requested, RequestResult::Rejected, reason))
    }

    /// Counts a request whose fields can't be parsed: it is failed.
    pub fn count_invalid_request(&mut self, class: &[u8]) {
        if let Some(class) = self.classes.named(class) {
            self.count(class, CountedEvent::Failed);
        }
    }

    /// A client sent a request: opens it, or answers it at once.
    pub(super) fn on_request(
        &mut self,
        now: Timestamp,
        client: ClientHandle,
        request: ClientRequest,
        commands: &mut Vec<Command>,
    ) {
        self.counters.received += 1;
        let Some(class) = self.classes.named(&request.class) else {
            self.counters.failed += 1;
            commands.push(Command::Reply(client, Reply::Failed));
            return;
        };
        let requested = request.requested_object(class);
        if let Err(reason) = self.admit(now, &request, &requested) {
            let reply = self.admission_reply(reason);
            self.count_reply(class, &reply);
            commands.push(unopened_summary(now, &request, requested, result_of(&reply), reason));
            commands.push(Command::Reply(client, reply));
            return;
        }
        let follows = self.hint_follower.is_some();
        let new = NewRequest {
            mode: if follows { RoutingMode::FollowHint } else { RoutingMode::Decide },
            requested,
            deadline: now + Duration::from_millis(request.budget_ms),
            client: Some(WaitingClient { handle: client, request: Rc::new(request) }),
        };
        self.open_request(now, new, commands);
    }

    /// Opens a request and routes it.
    pub(super) fn open_request(
        &mut self,
        now: Timestamp,
        new: NewRequest,
        commands: &mut Vec<Command>,
    ) -> RequestId {
        let id = self.next_request;
        self.next_request = self.next_request.wrapping_add(1).max(1);
        let mode = new.mode;
        let request = Request {
            id,
            class: new.requested.class,
            object: new.requested.object,
            part: new.requested.chunk,
            group: new.requested.group,
            deadline: new.deadline,
            ..Request::default()
        };
        if let Some(client) = &new.client {
            self.by_client.insert(client.handle, id);
            self.open_client_ids.extend(new.requested.request_id);
        }
        self.open_requests.insert(id, OpenRequest::new(now, new));
        self.decide(now, mode, Event::Request(request), commands);
        id
    }

    /// Whether requests of a class must not run twice.
    pub(super) fn is_non_idempotent(&self, class: u16) -> bool {
        self.classes.idempotency(class) == Idempotency::NotIdempotent
    }

    /// The checks in their order; the last one remembers a non-idempotent request.
    fn admit(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        requested: &RequestedObject,
    ) -> Result<(), ResultReason> {
        self.check_request_id(request)?;
        self.check_budget(request, requested.class)?;
        let write_id = requested.request_id.filter(|_| self.is_non_idempotent(requested.class));
        self.check_not_sent_before(write_id)?;
        self.reserve_room(now, write_id)
    }

    /// Endpoints know a request by its id: two open ones must not share it.
    fn check_request_id(&self, request: &ClientRequest) -> Result<(), ResultReason> {
        if self.open_client_ids.contains(&request.request_id.value) {
            return Err(ResultReason::InvalidRequest);
        }
        Ok(())
    }

    fn check_budget(&self, request: &ClientRequest, class: u16) -> Result<(), ResultReason> {
        let max_budget = self.settings.classes[usize::from(class)].deadline * MAX_BUDGET_MULTIPLE;
        let budget = Duration::from_millis(request.budget_ms);
        if !max_budget.is_zero() && budget > max_budget {
            return Err(ResultReason::InvalidRequest);
        }
        Ok(())
    }

    /// A non-idempotent request that was accepted before, or that a lookup named an endpoint for,
    /// may have run.
    fn check_not_sent_before(&self, write_id: Option<u64>) -> Result<(), ResultReason> {
        if write_id.is_some_and(|id| self.pending_writes.contains(id)) {
            return Err(ResultReason::MayHaveRun);
        }
        Ok(())
    }

    fn reserve_room(&mut self, now: Timestamp, write_id: Option<u64>) -> Result<(), ResultReason> {
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            return Err(ResultReason::TableFull);
        }
        if write_id.is_some_and(|id| !self.pending_writes.add(now, id, None)) {
            return Err(ResultReason::TableFull);
        }
        Ok(())
    }

    /// The reply to a request that was not admitted: only the lack of room passes.
    fn admission_reply(&self, reason: ResultReason) -> Reply {
        match reason {
            ResultReason::TableFull => Reply::Rejected(whole_micros(self.settings.max_retry_after) / 1_000),
            _ => Reply::Failed,
        }
    }
}

fn result_of(reply: &Reply) -> RequestResult {
    match reply {
        Reply::Served(..) => RequestResult::Served,
        Reply::NotModified(_) => RequestResult::NotModified,
        Reply::Rejected(_) => RequestResult::Rejected,
        Reply::Failed => RequestResult::Failed,
    }
}

/// The summary of a request that was answered without being opened.
fn unopened_summary(
    now: Timestamp,
    request: &ClientRequest,
    requested: RequestedObject,
    result: RequestResult,
    reason: ResultReason,
) -> Command {
    Command::RequestEnded(Box::new(RequestSummary {
        request: 0,
        requested,
        arrived: now,
        budget: Duration::from_millis(request.budget_ms),
        duration: Duration::ZERO,
        result,
        reason,
        bytes: 0,
        attempts: 0,
        endpoint: None,
        source: None,
    }))
}
