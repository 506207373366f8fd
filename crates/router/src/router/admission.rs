//! Admission of client requests: the checks that a request has to pass, and opening it.

use super::open_request::{NewRequest, OpenRequest, WaitingClient};
use super::{Router, MAX_OPEN_REQUESTS};
use crate::messages::{ClientHandle, Command, RequestResult, RequestSummary, ResultReason, RoutingMode};
use crate::metrics::CountedEvent;
use crate::request::{ClientRequest, Reply, RequestedObject};
use hollymux_decision::time::whole_micros;
use hollymux_decision::{Event, Idempotency, Request, RequestId, Timestamp};
use std::rc::Rc;
use std::time::Duration;

/// Maximum budget of a request as a multiple of its class's deadline. A request with a longer
/// budget is failed.
const MAX_BUDGET_MULTIPLE: u32 = 2;

impl Router {
    /// Counts a request that the caller rejects without passing it to [`Router::handle`], because
    /// the process is overloaded or stopping. Returns the request's summary, or `None` if its class
    /// is unknown.
    pub fn reject_unopened(&mut self, now: Timestamp, request: &ClientRequest) -> Option<Command> {
        self.counters.shed += 1;
        let class = self.classes.slot_of(&request.class)?;
        self.count_event(class, CountedEvent::Rejected);
        let requested = request.requested_object(class);
        let reason = ResultReason::Overloaded;
        Some(unopened_summary(now, request, requested, RequestResult::Rejected, reason))
    }

    /// Counts a request that the caller fails because its fields can't be parsed. A request of an
    /// unknown class is not counted.
    pub fn count_invalid_request(&mut self, class: &[u8]) {
        if let Some(class) = self.classes.slot_of(class) {
            self.count_event(class, CountedEvent::Failed);
        }
    }

    /// Handles a client's request: opens it if it passes the admission checks, and replies at once
    /// otherwise.
    pub(super) fn on_request(
        &mut self,
        now: Timestamp,
        client: ClientHandle,
        request: ClientRequest,
        commands: &mut Vec<Command>,
    ) {
        self.counters.received += 1;
        let Some(class) = self.classes.slot_of(&request.class) else {
            self.counters.failed += 1;
            commands.push(Command::Reply(client, Reply::Failed));
            return;
        };
        let requested = request.requested_object(class);
        if let Err(reason) = self.admit(now, &request, &requested) {
            let reply = self.admission_reply(reason);
            self.count_reply(class, &reply);
            commands.push(unopened_summary(now, &request, requested, RequestResult::from(&reply), reason));
            commands.push(Command::Reply(client, reply));
            return;
        }
        let follows = self.hint_follower.is_some();
        let new = NewRequest {
            mode: if follows { RoutingMode::FollowHint } else { RoutingMode::Decide },
            requested,
            deadline: now + Duration::from_millis(request.timeout_ms),
            client: Some(WaitingClient { handle: client, request: Rc::new(request) }),
        };
        self.open_request(now, new, commands);
    }

    /// Opens a request and passes it to the decision module or the hint follower. Returns its id.
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

    /// Runs the admission checks in order; the last one adds a request that must not run twice to
    /// the pending writes. Returns the reason if a check fails.
    fn admit(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        requested: &RequestedObject,
    ) -> Result<(), ResultReason> {
        self.check_request_id(request)?;
        self.check_budget(request, requested.class)?;
        self.check_not_sent_before(requested)?;
        self.reserve_room(now, requested)
    }

    /// Returns an error if an open request has the same id. Endpoints identify a request by its id,
    /// so two open requests must not share one.
    fn check_request_id(&self, request: &ClientRequest) -> Result<(), ResultReason> {
        if self.open_client_ids.contains(&request.request_id.value) {
            return Err(ResultReason::InvalidRequest);
        }
        Ok(())
    }

    /// Returns an error if the budget exceeds the maximum of the class. A class without a deadline
    /// has no maximum.
    fn check_budget(&self, request: &ClientRequest, class: u16) -> Result<(), ResultReason> {
        let max_budget = self.settings.classes[usize::from(class)].deadline * MAX_BUDGET_MULTIPLE;
        let budget = Duration::from_millis(request.timeout_ms);
        if !max_budget.is_zero() && budget > max_budget {
            return Err(ResultReason::InvalidRequest);
        }
        Ok(())
    }

    /// Returns an error if a request that must not run twice may have run: one with its id was
    /// accepted before, or a lookup named an endpoint for it. That holds with an idempotency key too,
    /// as it is not known where the key is remembered and for how long.
    fn check_not_sent_before(&self, requested: &RequestedObject) -> Result<(), ResultReason> {
        if self.classes.idempotency(requested.class) == Idempotency::Idempotent {
            return Ok(());
        }
        if requested.request_id.is_some_and(|id| self.pending_writes.contains(id)) {
            return Err(ResultReason::MayHaveRun);
        }
        Ok(())
    }

    /// Adds a request that must not run twice to the pending writes. Returns an error if too many
    /// requests are open, or if the table of pending writes is full and the request is non-idempotent:
    /// one with an idempotency key is recognized by endpoints as well.
    fn reserve_room(&mut self, now: Timestamp, requested: &RequestedObject) -> Result<(), ResultReason> {
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            return Err(ResultReason::TableFull);
        }
        let Some(id) = requested.request_id else { return Ok(()) };
        let idempotency = self.classes.idempotency(requested.class);
        let has_room = idempotency == Idempotency::Idempotent || self.pending_writes.add(now, id, None);
        if !has_room && idempotency == Idempotency::NotIdempotent {
            return Err(ResultReason::TableFull);
        }
        Ok(())
    }

    /// The reply to a request that was not admitted. Only a full table is a temporary condition, so
    /// the request is rejected with the longest retry advice; for any other reason it is failed.
    fn admission_reply(&self, reason: ResultReason) -> Reply {
        match reason {
            ResultReason::TableFull => self.longest_retry_advice(),
            _ => Reply::Failed,
        }
    }

    /// A rejection with the longest retry advice.
    pub(super) fn longest_retry_advice(&self) -> Reply {
        Reply::Rejected(whole_micros(self.settings.max_retry_after) / 1_000)
    }
}

/// Builds the summary of a request that was answered without being opened.
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
        budget: Duration::from_millis(request.timeout_ms),
        duration: Duration::ZERO,
        result,
        reason,
        bytes: 0,
        attempts: 0,
        endpoint: None,
        source: None,
    }))
}
