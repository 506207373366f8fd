//! Closing of requests: the final reply, cancellation, and the counters of replies.

use super::open_request::OpenRequest;
use super::Router;
use crate::hint_follower::LookupResult;
use crate::messages::{ClientHandle, Command, RequestResult, ResultReason};
use crate::metrics::CountedEvent;
use crate::request::Reply;
use hollymux_decision::{Event, Idempotency, RequestId, Timestamp};

impl Router {
    /// The client that waits for the reply to a request; `None` if the request is closed or is a
    /// lookup.
    pub fn waiting_client(&self, request: RequestId) -> Option<ClientHandle> {
        Some(self.open_requests.get(&request)?.client.as_ref()?.handle)
    }

    /// Sends the final reply of a request and closes the request. For a lookup the reply becomes
    /// the lookup's result.
    pub(super) fn reply(
        &mut self,
        now: Timestamp,
        request: RequestId,
        reply: Reply,
        commands: &mut Vec<Command>,
    ) {
        let reason = match (&reply, self.open_requests.get(&request)) {
            (Reply::Served(..) | Reply::NotModified(_), _) | (_, None) => ResultReason::Completed,
            (Reply::Rejected(_) | Reply::Failed, Some(open)) => open.failure_reason(),
        };
        self.reply_for_reason(now, request, reply, reason, commands);
    }

    /// Closes a request that was served, but whose client has too much to read already. An idempotent
    /// request may be sent again without harm, any other has run.
    pub(super) fn reject_undeliverable(
        &mut self,
        now: Timestamp,
        request: RequestId,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.open_requests.get(&request) else { return };
        let reply = match self.classes.idempotency(open.requested.class) {
            Idempotency::Idempotent => self.longest_retry_advice(),
            Idempotency::WithKey | Idempotency::NotIdempotent => Reply::Failed,
        };
        self.reply_for_reason(now, request, reply, ResultReason::Overloaded, commands);
    }

    fn reply_for_reason(
        &mut self,
        now: Timestamp,
        request: RequestId,
        reply: Reply,
        reason: ResultReason,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.open_requests.remove(&request) else {
            // A second reply is not sent: the client would take it for the reply to another
            // request.
            self.counters.invariant_violations += 1;
            debug_assert!(false, "second final reply to request {request}");
            return;
        };
        let result = RequestResult::from(&reply);
        let bytes = reply.body_bytes();
        commands.push(open.summary(request, now, result, reason, bytes));
        let Some(client) = open.client.as_ref().map(|client| client.handle) else {
            self.lookup_result = Some(lookup_result(&reply));
            self.release_timers(request, commands);
            return;
        };
        self.by_client.remove(&client);
        self.release_client_id(request, &open, result);
        self.count_reply(open.requested.class, &reply);
        commands.push(Command::Reply(client, reply));
        self.release_timers(request, commands);
    }

    /// Releases the id of a request that is being closed with this result. One that may have run and
    /// must not run again stays known, also when its client has left.
    fn release_client_id(&mut self, request: RequestId, open: &OpenRequest, result: RequestResult) {
        let Some(client_id) = open.requested.request_id else { return };
        self.open_client_ids.remove(&client_id);
        let never_ran = match self.classes.idempotency(open.requested.class) {
            Idempotency::Idempotent => return,
            Idempotency::WithKey => open.may_have_run_since.is_none() && !self.has_attempt_in_flight(request),
            Idempotency::NotIdempotent => result == RequestResult::Rejected,
        };
        // The client may send a request that never ran again with the same id.
        if never_ran {
            self.pending_writes.remove(client_id);
        }
    }

    /// Cancels the timers of a request that is closed and has no attempt in flight.
    pub(super) fn release_timers(&self, request: RequestId, commands: &mut Vec<Command>) {
        if !self.open_requests.contains_key(&request) && !self.has_attempt_in_flight(request) {
            commands.push(Command::CancelTimers(request));
        }
    }

    /// Counts a final reply in the totals and in the metrics of its class.
    pub(super) fn count_reply(&mut self, class: u16, reply: &Reply) {
        let (total, event) = match reply {
            Reply::Served(..) | Reply::NotModified(_) => (&mut self.counters.served, CountedEvent::Served),
            Reply::Rejected(_) => (&mut self.counters.rejected, CountedEvent::Rejected),
            Reply::Failed => (&mut self.counters.failed, CountedEvent::Failed),
        };
        *total += 1;
        self.count_event(class, event);
    }

    /// Handles the cancellation of a request by its client: the request is closed without a reply.
    pub(super) fn cancel_request(
        &mut self,
        now: Timestamp,
        client: ClientHandle,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.by_client.remove(&client) else { return };
        let Some(open) = self.open_requests.remove(&request) else { return };
        self.release_client_id(request, &open, RequestResult::Cancelled);
        commands.push(open.summary(request, now, RequestResult::Cancelled, open.failure_reason(), 0));
        self.decide(now, open.mode, Event::Withdrawn { request }, commands);
        self.release_timers(request, commands);
    }

    /// Handles the end of a client's connection by cancelling the requests of the connection.
    pub(super) fn on_client_closed(&mut self, now: Timestamp, connection: u64, commands: &mut Vec<Command>) {
        let first = ClientHandle { conn: connection, tag: 0 };
        let last = ClientHandle { conn: connection, tag: u64::MAX };
        let waiting: Vec<ClientHandle> = self.by_client.range(first..=last).map(|(c, _)| *c).collect();
        for client in waiting {
            self.cancel_request(now, client, commands);
        }
    }

    /// Fails the open requests of all clients, so that every client has a reply before the router
    /// shuts down.
    pub(super) fn fail_open_requests(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        for request in std::mem::take(&mut self.by_client).into_values() {
            let Some(mode) = self.open_requests.get(&request).map(|open| open.mode) else { continue };
            self.reply(now, request, Reply::Failed, commands);
            self.decide(now, mode, Event::Withdrawn { request }, commands);
        }
    }
}

/// The result of a lookup whose request was closed by this reply, without an endpoint.
fn lookup_result<T>(reply: &Reply) -> LookupResult<T> {
    match reply {
        Reply::Rejected(_) => LookupResult::Rejected,
        Reply::Served(..) | Reply::NotModified(_) | Reply::Failed => LookupResult::Failed,
    }
}
