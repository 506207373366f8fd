//! Routing by DNS lookups at another router: each request is sent to the endpoint that a lookup
//! names, and to no other. The hint follower takes the events of the decision module and returns
//! the same actions, so the router treats both alike.
//!
//! The result of a lookup is used at once or discarded. A request whose class is not
//! [`Idempotency::Idempotent`] is looked up and sent once only. If it is not served, it is rejected
//! while it can't have run, and failed otherwise.

use hollymux_decision::time::divide_to_micros;
use hollymux_decision::{
    Action, AttemptOutcome, AttemptStatus, CacheFill, DecisionSnapshot, EndpointId, Event, Idempotency,
    Purge, PurgeHistory, Request, RequestId, Settings, Timestamp,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Wait before the next lookup of a request, multiplied by the number of its lookups that have
/// ended.
const LOOKUP_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of purges remembered. Beyond it the oldest entries are dropped, and every object
/// counts as purged at the latest time among those dropped.
const MAX_PURGES: usize = 20_000;

/// How a lookup of a request's endpoint at another router ended.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResult<T> {
    /// An endpoint was named, with the fill that it is to use.
    Endpoint(T),
    /// No endpoint may be named at the moment.
    Rejected,
    /// The lookup failed: there is no response, or none that can be used.
    Failed,
}

/// The endpoint that a lookup named, resolved in this router's endpoint table.
#[derive(Clone, Debug, PartialEq)]
pub struct HintedEndpoint {
    /// The id of the endpoint, which was ready when the result arrived.
    pub endpoint: EndpointId,
    /// How the endpoint fills a miss, and how it keeps the copy.
    pub fill: CacheFill,
}

/// The request that the hint follower's timer with this token belongs to.
pub(crate) fn request_of_timer(token: u64) -> RequestId {
    (token >> 1) as RequestId
}

/// The purpose of a timer of the hint follower. The lowest bit of a token distinguishes the
/// variants, the other bits hold the request id.
enum Timer {
    Deadline(RequestId),
    LookupRetry(RequestId),
}

impl Timer {
    const LOOKUP_RETRY_BIT: u64 = 1;

    fn token(&self) -> u64 {
        match self {
            Timer::Deadline(id) => u64::from(*id) << 1,
            Timer::LookupRetry(id) => u64::from(*id) << 1 | Timer::LOOKUP_RETRY_BIT,
        }
    }

    fn from_token(token: u64) -> Timer {
        let id = request_of_timer(token);
        if token & Timer::LOOKUP_RETRY_BIT != 0 {
            Timer::LookupRetry(id)
        } else {
            Timer::Deadline(id)
        }
    }
}

/// What a request is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The request waits for the time of its next lookup.
    Waiting,
    /// The request waits for the result of a lookup.
    LookingUp,
    /// The request waits for the outcome of an attempt.
    InFlight,
}

/// An open request that is routed by lookups.
#[derive(Debug)]
struct FollowedRequest {
    request: Request,
    /// Whether the request may be sent only once, because its class is not
    /// [`Idempotency::Idempotent`].
    send_once: bool,
    /// The number of lookups that have ended. Each lookup that was neither rejected nor failed led
    /// to an attempt.
    attempts: u32,
    progress: Progress,
    /// Whether an attempt has ended that may have run.
    may_have_run: bool,
}

impl FollowedRequest {
    /// Whether the request may be rejected: the client may send it again without harm, because it
    /// may run more than once or can't have run.
    fn is_safe_to_reject(&self) -> bool {
        let may_run = self.may_have_run || self.progress == Progress::InFlight;
        !self.send_once || !may_run
    }
}

/// Routes requests by lookups at another router. It tracks their progress, and the purges that
/// bound the age of the copies that they may get.
#[derive(Debug)]
pub struct HintFollower {
    settings: Settings,
    purges: PurgeHistory,
    open: BTreeMap<RequestId, FollowedRequest>,
    /// Requests that are to be looked up and were not yet returned by
    /// [`HintFollower::take_lookups`].
    lookups: Vec<RequestId>,
}

impl HintFollower {
    /// Creates a hint follower without open requests.
    pub fn new(settings: Settings) -> HintFollower {
        HintFollower { settings, purges: PurgeHistory::default(), open: BTreeMap::new(), lookups: Vec::new() }
    }

    /// Adds the purges that a predecessor process knew.
    pub fn restore(&mut self, now: Timestamp, snapshot: &DecisionSnapshot) {
        self.purges.restore(now, &snapshot.purges, snapshot.floor, MAX_PURGES);
    }

    /// Applies new settings. The classes of open requests must be unchanged in them.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Returns the requests that are to be looked up now, in the order in which they were queued.
    pub fn take_lookups(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.lookups)
    }

    /// Applies one event and appends the resulting actions. Events of the endpoint list, of probes
    /// and of streamed responses are ignored.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.on_request(now, request, actions),
            Event::Timer { token } => match Timer::from_token(token) {
                Timer::LookupRetry(id) => self.look_up(now, id, actions),
                Timer::Deadline(id) => self.give_up(now, id, actions),
            },
            Event::AttemptOutcome(outcome) => self.on_outcome(now, &outcome, actions),
            Event::Withdrawn { request } => self.close(request, actions),
            Event::Purged(purge) => self.on_purge(now, &purge),
            Event::EndpointList { .. }
            | Event::EndpointListFailed
            | Event::Started { .. }
            | Event::Probed { .. } => {}
        }
    }

    /// Handles the result of a request's lookup. It is ignored if the request is closed or is not
    /// being looked up.
    pub fn on_lookup_result(
        &mut self,
        now: Timestamp,
        id: RequestId,
        result: LookupResult<HintedEndpoint>,
        actions: &mut Vec<Action>,
    ) {
        let followed = self.open.get_mut(&id);
        let Some(followed) = followed.filter(|followed| followed.progress == Progress::LookingUp) else {
            return;
        };
        followed.progress = Progress::Waiting;
        if now >= followed.request.deadline {
            return self.give_up(now, id, actions);
        }
        followed.attempts += 1;
        match result {
            LookupResult::Endpoint(hinted) => self.send(now, id, hinted, actions),
            LookupResult::Rejected => self.give_up(now, id, actions),
            LookupResult::Failed => self.retry_later(now, id, actions),
        }
    }

    fn on_request(&mut self, now: Timestamp, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let time_left = request.deadline.saturating_duration_since(now);
        actions.push(Action::timer(time_left, Timer::Deadline(id).token()));
        let followed = FollowedRequest {
            send_once: self.settings.class(&request).idempotency != Idempotency::Idempotent,
            request,
            attempts: 0,
            progress: Progress::Waiting,
            may_have_run: false,
        };
        self.open.insert(id, followed);
        self.look_up(now, id, actions);
    }

    /// Queues a lookup of the request, or gives the request up if it may have no further one.
    fn look_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let followed = self.open.get_mut(&id);
        let Some(followed) = followed.filter(|followed| followed.progress == Progress::Waiting) else {
            return;
        };
        let has_attempts_left = followed.attempts < self.settings.max_attempts;
        let deadline_passed = now >= followed.request.deadline;
        let was_looked_up_once = followed.send_once && followed.attempts > 0;
        if !has_attempts_left || deadline_passed || was_looked_up_once {
            return self.give_up(now, id, actions);
        }
        followed.progress = Progress::LookingUp;
        self.lookups.push(id);
    }

    /// Sends the request to the endpoint that its lookup named. The age of the copy it may get is
    /// limited by the latest purge of its object.
    fn send(&mut self, now: Timestamp, id: RequestId, hinted: HintedEndpoint, actions: &mut Vec<Action>) {
        let Some(followed) = self.open.get_mut(&id) else { return };
        followed.progress = Progress::InFlight;
        let HintedEndpoint { endpoint, mut fill } = hinted;
        let purged = self.purges.latest(&followed.request);
        if purged > Timestamp::ZERO {
            let purge_bound = PurgeHistory::oldest_copy(now, purged);
            // Without a bound in the hint, the endpoint applies the fresh time of the class.
            let fresh = self.settings.classes[usize::from(followed.request.class)].fresh;
            let hinted_bound = fill.max_age.or(Some(fresh).filter(|fresh| !fresh.is_zero()));
            if hinted_bound.is_none_or(|age| purge_bound < age) {
                fill.max_age = Some(purge_bound);
            }
        }
        let timeout = followed.request.deadline.duration_since(now);
        actions.push(Action::Attempt { request: id, endpoint, timeout, fill });
    }

    /// Schedules another lookup of the request, or gives the request up if it may be sent only
    /// once.
    fn retry_later(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(followed) = self.open.get(&id) else { return };
        if followed.send_once {
            return self.give_up(now, id, actions);
        }
        let wait = LOOKUP_RETRY_INTERVAL * followed.attempts;
        actions.push(Action::timer(wait, Timer::LookupRetry(id).token()));
    }

    /// Handles the outcome of an attempt. The request is closed if it has its final answer, and is
    /// looked up again or given up otherwise.
    fn on_outcome(&mut self, now: Timestamp, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(followed) = self.open.get_mut(&outcome.request) else { return };
        if followed.progress == Progress::InFlight {
            followed.progress = Progress::Waiting;
        }
        followed.may_have_run |= !outcome.status.never_ran();
        if outcome.request_finished || outcome.status == AttemptStatus::Ok {
            self.open.remove(&outcome.request);
        } else {
            self.retry_later(now, outcome.request, actions);
        }
    }

    fn on_purge(&mut self, now: Timestamp, purge: &Purge) {
        self.purges.forget(now.saturating_sub(self.settings.purge_life()));
        self.purges.add(now, purge, MAX_PURGES);
    }

    /// Gives a request its final answer without a response. It is rejected if its deadline has not
    /// passed and sending it again does no harm; otherwise it is failed.
    fn give_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(followed) = self.open.get(&id) else { return };
        if followed.is_safe_to_reject() && now < followed.request.deadline {
            actions.push(Action::reject(id, self.retry_after()));
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(id, actions);
    }

    /// The retry advice for a rejected client: half of the longest delay that clients honour, or
    /// zero if the settings allow no advice.
    fn retry_after(&self) -> Duration {
        if self.settings.retry_after {
            divide_to_micros(self.settings.max_retry_after, 2)
        } else {
            Duration::ZERO
        }
    }

    /// Closes a request, and cancels its attempt if one is in flight.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(closed) = self.open.remove(&id) else { return };
        if closed.progress == Progress::InFlight {
            actions.push(Action::cancel(id, closed.attempts as usize - 1));
        }
    }
}
