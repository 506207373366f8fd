//! Routing by DNS lookups at another router: each request goes to the endpoint that a lookup names,
//! and nowhere else. The follower takes the events of the decision module and returns its actions,
//! so that the router treats both alike.
//!
//! The result of a lookup is used at once or not at all. A request that is not idempotent is looked
//! up and sent once: it fails if it may have run, and is rejected if it can't have.

use hollymux_decision::time::divide_to_micros;
use hollymux_decision::{
    Action, AttemptOutcome, AttemptStatus, CacheFill, DecisionSnapshot, EndpointId, Event, Idempotency,
    Purge, PurgeHistory, Request, RequestId, Settings, Timestamp,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The wait before a further lookup is this, times the attempts so far.
const LOOKUP_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Purges remembered.
const MAX_PURGES: usize = 20_000;

/// What a lookup came to.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResult<T> {
    /// An endpoint and how it is to fill its cache.
    Endpoint(T),
    /// No endpoint may be named now.
    Rejected,
    /// No response, or none that can be used.
    Failed,
}

/// The endpoint that a lookup named, as this router knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct HintedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it is to fill its cache.
    pub fill: CacheFill,
}

/// What a timer of the follower is for. The lowest bit of its token tells them apart, the others
/// are the request.
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
        let id = (token >> 1) as RequestId;
        if token & Timer::LOOKUP_RETRY_BIT != 0 {
            Timer::LookupRetry(id)
        } else {
            Timer::Deadline(id)
        }
    }
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The time of the next lookup.
    Waiting,
    /// The result of a lookup.
    LookingUp,
    /// The outcome of an attempt.
    InFlight,
}

#[derive(Debug)]
struct FollowedRequest {
    request: Request,
    /// Its class is not idempotent: it is sent once at most.
    send_once: bool,
    /// Lookups that ended; each but the rejected and failed ones led to an attempt.
    attempts: u32,
    progress: Progress,
    /// An attempt ended that may have run.
    may_have_run: bool,
}

impl FollowedRequest {
    /// Whether it can be rejected: if it was sent, repeating it does no harm.
    fn is_safe_to_reject(&self) -> bool {
        let may_run = self.may_have_run || self.progress == Progress::InFlight;
        !self.send_once || !may_run
    }
}

/// The requests that follow lookups.
#[derive(Debug)]
pub struct HintFollower {
    settings: Settings,
    purges: PurgeHistory,
    open: BTreeMap<RequestId, FollowedRequest>,
    /// Requests whose lookup has not been taken by the router yet.
    lookups: Vec<RequestId>,
}

impl HintFollower {
    /// A follower under these settings.
    pub fn new(settings: Settings) -> HintFollower {
        HintFollower { settings, purges: PurgeHistory::default(), open: BTreeMap::new(), lookups: Vec::new() }
    }

    /// Adds the purges that another router knew.
    pub fn restore(&mut self, now: Timestamp, snapshot: &DecisionSnapshot) {
        self.purges.restore(now, &snapshot.purges, snapshot.floor, MAX_PURGES);
    }

    /// Continues under other settings, in which the classes of open requests are the same.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// The requests that are to be looked up now, in order.
    pub fn take_lookups(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.lookups)
    }

    /// Applies one event and appends what is to be done.
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

    /// The lookup of a request has ended.
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

    fn look_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let followed = self.open.get_mut(&id);
        let Some(followed) = followed.filter(|followed| followed.progress == Progress::Waiting) else {
            return;
        };
        let has_attempts_left = followed.attempts < self.settings.max_attempts;
        let is_over = now >= followed.request.deadline;
        let was_sent_once = followed.send_once && followed.attempts > 0;
        if !has_attempts_left || is_over || was_sent_once {
            return self.give_up(now, id, actions);
        }
        followed.progress = Progress::LookingUp;
        self.lookups.push(id);
    }

    fn send(&mut self, now: Timestamp, id: RequestId, hinted: HintedEndpoint, actions: &mut Vec<Action>) {
        let Some(followed) = self.open.get_mut(&id) else { return };
        followed.progress = Progress::InFlight;
        let HintedEndpoint { endpoint, mut fill } = hinted;
        let purged = self.purges.latest(&followed.request);
        if purged > Timestamp::ZERO {
            let max_age = PurgeHistory::oldest_copy(now, purged);
            fill.max_age = Some(fill.max_age.map_or(max_age, |age| age.min(max_age)));
        }
        let timeout = followed.request.deadline.duration_since(now);
        actions.push(Action::Attempt { request: id, endpoint, timeout, fill });
    }

    /// Looks the request up again after a while, if its class allows that.
    fn retry_later(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(followed) = self.open.get(&id) else { return };
        if followed.send_once {
            return self.give_up(now, id, actions);
        }
        let wait = LOOKUP_RETRY_INTERVAL * followed.attempts;
        actions.push(Action::timer(wait, Timer::LookupRetry(id).token()));
    }

    fn on_outcome(&mut self, now: Timestamp, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(followed) = self.open.get_mut(&outcome.request) else { return };
        if followed.progress == Progress::InFlight {
            followed.progress = Progress::Waiting;
        }
        followed.may_have_run |= !outcome.status.never_ran();
        if outcome.ended || outcome.status == AttemptStatus::Ok {
            self.open.remove(&outcome.request);
        } else {
            self.retry_later(now, outcome.request, actions);
        }
    }

    fn on_purge(&mut self, now: Timestamp, purge: &Purge) {
        self.purges.forget(now.saturating_sub(self.settings.purge_life()));
        self.purges.add(now, purge, MAX_PURGES);
    }

    /// Gives a request its final answer. It is rejected if it can't have run twice by being sent
    /// again in time.
    fn give_up(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(followed) = self.open.get(&id) else { return };
        if followed.is_safe_to_reject() && now < followed.request.deadline {
            actions.push(Action::refuse(id, self.retry_after()));
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(id, actions);
    }

    /// The advice to a rejected client: half of the longest one, if any is given.
    fn retry_after(&self) -> Duration {
        if self.settings.retry_after {
            divide_to_micros(self.settings.max_retry_after, 2)
        } else {
            Duration::ZERO
        }
    }

    /// Closes a request and cancels its attempt if one is in flight.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(closed) = self.open.remove(&id) else { return };
        if closed.progress == Progress::InFlight {
            actions.push(Action::cancel(id, closed.attempts as usize - 1));
        }
    }
}
