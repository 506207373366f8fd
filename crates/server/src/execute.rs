//! Passing inputs to the router, executing its commands, and logging and recording their outcomes.

use crate::Server;
use hollymux_decision::time::whole_micros;
use hollymux_router::{Command, FeedEvent, Input, RequestSummary};
use tracing::{debug, info};

impl Server {
    /// Passes all pending inputs to the router and executes the commands that it returns, until no
    /// input is left.
    pub(crate) fn execute_pending(&mut self) {
        while let Some(input) = self.pending_inputs.pop_front() {
            let input = self.drop_undeliverable_body(input);
            self.router.handle(self.now, input, &mut self.commands);
            for command in std::mem::take(&mut self.commands) {
                self.execute(command);
            }
        }
        self.send_new_pending_writes();
    }

    /// Executes one command of the router.
    pub(crate) fn execute(&mut self, command: Command) {
        match command {
            Command::SendAttempt(request) => self.send_attempt(request),
            Command::CancelAttempt { attempt, may_retry } => self.cancel_attempt(attempt, may_retry),
            Command::Lookup(request, wanted) => self.start_lookup(request, &wanted),
            Command::Reply(client, reply) => self.reply_to_client(client, reply),
            Command::Wake(at, wake) => self.set_router_timer(at, wake),
            Command::CancelTimers(request) => self.cancel_router_timers(request),
            Command::Probe(endpoint, address) => self.probe(endpoint, address),
            Command::CloseConnections(endpoint) => self.close_connections(endpoint),
            Command::StopSending(endpoint) => self.stop_sending(endpoint),
            Command::AttemptEnded(ended) => {
                debug!(
                    request = ended.attempt.request,
                    attempt = ended.attempt.number,
                    endpoint = &*ended.endpoint,
                    source = ended.source.as_deref(),
                    status = ?ended.status,
                    took_us = whole_micros(ended.duration),
                    "attempt ended"
                );
            }
            Command::RequestEnded(ended) => self.on_request_ended(&ended),
            Command::Log(line) => info!("{line}"),
        }
    }

    /// Records an event of the endpoint feed and queues it for the router.
    pub(crate) fn apply_feed_event(&mut self, event: FeedEvent) {
        if let Some(recorder) = &mut self.recorder {
            let now = self.now.as_micros();
            match &event {
                FeedEvent::Endpoints { endpoints, .. } => recorder.endpoint_updates(now, endpoints),
                FeedEvent::Purge { object, group, .. } => recorder.purge(now, *object, *group),
            }
        }
        self.pending_inputs.push_back(Input::Feed(event));
    }

    /// Records and logs a finished request.
    fn on_request_ended(&mut self, ended: &RequestSummary) {
        if let Some(recorder) = &mut self.recorder {
            recorder.request(ended);
        }
        let class = self.router.classes().name(ended.requested.class);
        debug!(
            request = ended.request,
            rid = format_args!("{:016x}", ended.requested.request_id.unwrap_or_default()),
            class,
            result = ?ended.result,
            reason = ?ended.reason,
            took_us = whole_micros(ended.duration),
            bytes = ended.bytes,
            attempts = ended.attempts,
            endpoint = ended.endpoint.as_deref(),
            source = ended.source.as_deref(),
            "request closed"
        );
    }
}
