//! Attempts at servers: admission, processing, lookup and answer.

use super::fills::FillRequest;
use super::links::{LinkId, Transfer, TransferOwner};
use super::{Attempt, AttemptResult, ModelEvent, RecentObject, ServerKind};
use super::{ServerModel, ServerState, TimedEvent};
use crate::objects::Purge;
use crate::time::from_seconds;
use crate::{Time, MS};
use rand::Rng;

/// Mean processing time of a request at a cache, in microseconds, without the transfer of the
/// answer.
const WORK_PER_REQUEST: f64 = 1_500.0;
/// Relative increase of the origin's processing time for each queued request per worker.
const SLOWDOWN_PER_QUEUED_REQUEST: f64 = 0.25;
/// Queued requests per worker above which the origin's processing time does not increase further.
const MAX_QUEUED_PER_WORKER: f64 = 4.0;
/// Time for which attempts may still reach a draining server after all routers know that it drains:
/// they were sent before.
const DRAIN_GRACE: Time = 550 * MS;
/// Time after which a purge must be respected once all routers know of it: 300 ms, and 50 ms for
/// the way from the router to the server.
const PURGE_GRACE: Time = 350 * MS;
/// Number of recently requested objects that are candidates for purges.
const MAX_RECENT_OBJECTS: usize = 64;
/// Retention priority of the copies that a parent cache fills.
pub(super) const PARENT_RETENTION: u8 = 1;

/// An item of work for one of a server's workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkItem {
    /// Processing a request, named by its id, and looking up its copy.
    Lookup(u64),
    /// Serving a fill, named by its id, at the origin.
    ServeFill(u64),
    /// Executing a non-idempotent request, named by its id, at the origin.
    Execute(u64),
}

/// An attempt that a server has accepted and not answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    id: u64,
    pub server: usize,
    attempt: Attempt,
    /// The date of the copy in the answer.
    pub dated: Time,
    /// The number of steps that must end before the request is answered: its transfer and, if the
    /// answer is passed on from a fill, that fill.
    steps_left: usize,
    transfer: Option<Transfer>,
    pub fill: Option<u64>,
    arrived: Time,
}

impl ServerModel {
    /// Delivers an attempt to a server. Its result is reported as [`ModelEvent::Answered`] with
    /// this id; if the server is not up, no result is reported.
    pub fn start_attempt(&mut self, now: Time, id: u64, server: usize, attempt: Attempt) {
        self.advance(now);
        self.check_drains(server, &attempt);
        self.add_warm_up_load(server, attempt.class);
        // The server has stopped if this very attempt overloaded it.
        if self.servers[server].state != ServerState::Up {
            return;
        }
        let runtime = &mut self.runtimes[server];
        if runtime.requests >= runtime.max_requests {
            runtime.rejected += 1;
            return self.reject(id);
        }
        runtime.requests += 1;
        self.record_recent_object(&attempt);
        let request = PendingRequest {
            id,
            server,
            attempt,
            dated: 0,
            steps_left: 0,
            transfer: None,
            fill: None,
            arrived: now,
        };
        self.requests.insert(id, request);
        self.enqueue_work(server, WorkItem::Lookup(id));
    }

    /// Reports an attempt as rejected that no server has accepted.
    pub fn reject(&mut self, id: u64) {
        self.events.push(ModelEvent::Answered { id, result: AttemptResult::AtCapacity, bytes: 0 });
    }

    /// Checks that the attempt neither reaches nor is filled from a server of which all routers
    /// know that it drains.
    fn check_drains(&mut self, server: usize, attempt: &Attempt) {
        let drains = |server: &usize| {
            self.draining.get(server).is_some_and(|known_at| self.now > *known_at + DRAIN_GRACE)
        };
        if drains(&server) || attempt.fill_source.as_ref().is_some_and(drains) {
            self.violate("drain");
        }
    }

    fn record_recent_object(&mut self, attempt: &Attempt) {
        self.recent_objects.push_back(RecentObject { object: attempt.key.object, group: attempt.group });
        if self.recent_objects.len() > MAX_RECENT_OBJECTS {
            self.recent_objects.pop_front();
        }
    }

    /// The answer to a health probe: whether the server is up and can hold another request.
    pub fn is_healthy(&self, server: usize) -> bool {
        let runtime = &self.runtimes[server];
        self.servers[server].state == ServerState::Up && runtime.requests < runtime.max_requests
    }

    /// Cancels an attempt for a router that no longer waits for it. Has no effect if the attempt
    /// has ended.
    pub fn cancel_attempt(&mut self, now: Time, id: u64) {
        self.advance(now);
        if let Some(request) = self.requests.remove(&id) {
            self.runtimes[request.server].requests -= 1;
            self.release(request);
        }
    }

    /// Cancels a request's transfer, and also its fill if nothing else waits for that.
    pub(super) fn release(&mut self, request: PendingRequest) {
        if let Some(transfer) = request.transfer {
            self.cancel_transfer(transfer);
        }
        let Some(fill_id) = request.fill else { return };
        let Some(fill) = self.fills.get_mut(&fill_id) else { return };
        fill.waiting_requests.retain(|id| *id != request.id);
        if fill.waiting_requests.is_empty() && fill.dependent_fills.is_empty() {
            self.end_fill(fill_id, false);
        }
    }

    pub(super) fn answer(&mut self, id: u64, result: AttemptResult) {
        let Some(request) = self.requests.remove(&id) else { return };
        let runtime = &mut self.runtimes[request.server];
        runtime.requests -= 1;
        runtime.rejected += u64::from(result == AttemptResult::AtCapacity);
        let mut bytes = 0;
        if let AttemptResult::Served(dated) = result {
            bytes = request.attempt.bytes;
            self.check_purges(&request, dated);
        }
        self.events.push(ModelEvent::Answered { id, result, bytes });
        self.release(request);
    }

    /// Checks that no copy of this date is served if all routers knew of its purge before the
    /// attempt arrived.
    fn check_purges(&mut self, request: &PendingRequest, dated: Time) {
        let attempt = &request.attempt;
        let violated = |purge: &Purge| {
            let known_in_time =
                request.arrived > purge.at + PURGE_GRACE + crate::endpoint_feed::PURGE_FEED_DELAY;
            purge.covers(attempt.key.object, attempt.group, dated) && known_in_time
        };
        let cached = !self.scenario.classes[attempt.class].non_idempotent;
        if cached && self.purges.iter().any(violated) {
            self.violate("purge");
        }
    }

    // ---- work ----

    pub(super) fn enqueue_work(&mut self, server: usize, work: WorkItem) {
        let runtime = &mut self.runtimes[server];
        if runtime.busy_workers < runtime.workers {
            runtime.busy_workers += 1;
            self.start_work(server, work);
        } else {
            runtime.queue.push_back(work);
        }
    }

    fn start_work(&mut self, server: usize, work: WorkItem) {
        let mean = match work {
            WorkItem::Lookup(_) => WORK_PER_REQUEST,
            WorkItem::ServeFill(_) | WorkItem::Execute(_) => self.origin_work(server),
        };
        let duration = mean * (0.5 + self.rng.random::<f64>());
        let runtime = &mut self.runtimes[server];
        runtime.work_done += duration;
        let incarnation = runtime.incarnation;
        self.schedule(self.now + duration as Time, TimedEvent::WorkDone { server, work, incarnation });
    }

    /// The origin's mean processing time of a request, in microseconds, which grows with its queue.
    fn origin_work(&self, origin: usize) -> f64 {
        let runtime = &self.runtimes[origin];
        let queued_per_worker = runtime.queue.len() as f64 / runtime.workers as f64;
        let slowdown = 1.0 + SLOWDOWN_PER_QUEUED_REQUEST * queued_per_worker.min(MAX_QUEUED_PER_WORKER);
        self.scenario.origin.service_ms * 1e3 * slowdown
    }

    pub(super) fn on_work_done(&mut self, server: usize, work: WorkItem) {
        match self.runtimes[server].queue.pop_front() {
            Some(next) => self.start_work(server, next),
            None => self.runtimes[server].busy_workers -= 1,
        }
        match work {
            WorkItem::Lookup(id) => self.look_up(id),
            WorkItem::ServeFill(id) => self.start_fill_transfer(id, self.now, None),
            WorkItem::Execute(id) => self.answer(id, AttemptResult::Served(self.now)),
        }
    }

    // ---- lookup ----

    /// Looks up the copy for a request that a worker has processed, and answers or fills it.
    fn look_up(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let (server, attempt) = (request.server, request.attempt.clone());
        if self.scenario.classes[attempt.class].non_idempotent {
            return self.forward_non_idempotent(id, server, &attempt);
        }
        if server == self.origin() {
            return match self.origin_admits() {
                true => self.send_copy(id, self.now),
                false => self.answer(id, AttemptResult::AtCapacity),
            };
        }
        let oldest = self.oldest_acceptable(&attempt);
        if let Some(dated) = self.runtimes[server].cache.find(attempt.key, oldest, attempt.retention) {
            return self.send_copy(id, dated);
        }
        let Some(source) = self.fill_source(server, &attempt) else {
            return self.answer(id, AttemptResult::Miss);
        };
        match self.join_or_start_fill(server, source, &attempt, oldest) {
            Some(fill) => self.wait_for_fill(id, fill),
            None => self.answer(id, AttemptResult::AtCapacity),
        }
    }

    /// The oldest copy that may be served, by the time at which the origin sent it; 0 if any copy
    /// may.
    fn oldest_acceptable(&self, attempt: &Attempt) -> Time {
        let fresh = from_seconds(self.scenario.classes[attempt.class].fresh_s);
        let max_age = attempt.max_age.or((fresh > 0).then_some(fresh));
        max_age.map_or(0, |age| self.now.saturating_sub(age))
    }

    /// The server from which a missing copy is filled; `None` if the attempt allows no fill.
    fn fill_source(&self, server: usize, attempt: &Attempt) -> Option<usize> {
        let default = self.is_parent_cache(server).then(|| self.origin());
        attempt.fill_source.or(default).filter(|source| *source != server)
    }

    /// Returns the id of the fill to wait for; `None` if the server can't start another fill. An
    /// edge cache joins a running fill only if the attempt allows it, a parent cache always.
    fn join_or_start_fill(
        &mut self,
        server: usize,
        source: usize,
        attempt: &Attempt,
        oldest: Time,
    ) -> Option<u64> {
        let is_parent = self.is_parent_cache(server);
        let running = self.running_fill(server, attempt.key, oldest);
        if let Some(running) = running.filter(|_| attempt.coalesce || is_parent) {
            return Some(running);
        }
        self.start_fill(FillRequest {
            to: server,
            from: source,
            key: attempt.key,
            group: attempt.group,
            class: attempt.class,
            bytes: attempt.bytes,
            oldest,
            retention: if is_parent { PARENT_RETENTION } else { attempt.retention },
            only_if_cached: attempt.only_if_cached,
        })
    }

    fn wait_for_fill(&mut self, id: u64, fill_id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.fill = Some(fill_id);
        }
        let Some(fill) = self.fills.get_mut(&fill_id) else { return };
        fill.waiting_requests.push(id);
        if fill.transfer_started {
            self.pass_on_fill(id);
        }
    }

    /// Has the origin execute a non-idempotent request, which reaches it directly or through a
    /// parent cache.
    fn forward_non_idempotent(&mut self, id: u64, server: usize, attempt: &Attempt) {
        let reaches_origin = |server: usize| !matches!(self.servers[server].kind, ServerKind::EdgeCache(_));
        let origin = self.origin();
        if server != origin && !attempt.fill_source.is_some_and(reaches_origin) {
            return self.answer(id, AttemptResult::Miss);
        }
        if !self.origin_admits() {
            return self.answer(id, AttemptResult::AtCapacity);
        }
        // From here on the request is executed, even if nothing waits for its answer any more.
        if !self.executed.insert(attempt.rid) {
            self.violate("filing run twice");
        }
        self.enqueue_work(origin, WorkItem::Execute(id));
    }

    // ---- answer ----

    /// Starts the transfer of a copy that the server has.
    fn send_copy(&mut self, id: u64, dated: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.dated = dated;
        request.steps_left = 1;
        let (server, bytes) = (request.server, request.attempt.bytes);
        let transfer = self.start_transfer(LinkId::ServerOut(server), bytes, TransferOwner::Request(id));
        if let Some(request) = self.requests.get_mut(&id) {
            request.transfer = Some(transfer);
        }
    }

    /// Starts the transfer of a copy that is still being filled.
    pub(super) fn pass_on_fill(&mut self, id: u64) {
        self.send_copy(id, 0);
        if let Some(request) = self.requests.get_mut(&id) {
            request.steps_left = 2;
        }
    }

    /// Records the end of a request's transfer.
    pub(super) fn on_answer_sent(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.transfer = None;
        }
        self.on_request_step(id);
    }

    /// Records the end of a request's transfer or of the fill that it depends on, and answers the
    /// request after the last of them.
    pub(super) fn on_request_step(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.steps_left -= 1;
        if request.steps_left == 0 {
            let dated = request.dated;
            self.answer(id, AttemptResult::Served(dated));
        }
    }
}
