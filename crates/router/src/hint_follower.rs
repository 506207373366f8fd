//! Following DNS-based routing as a client: each request goes to the box that a lookup names, and to nothing
//! else. It takes the module's events and gives its actions, so that the core treats both alike.
//!
//! A lookup's answer is used at once or not at all. A request that may not be repeated is looked up and sent
//! once: it fails if it may have run, and is refused if it can't have.

use hollymux_decision::time::divide_to_micros;
use hollymux_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// The wait before a further lookup, times the attempts so far.
const AGAIN: Duration = Duration::from_millis(25);
/// Purges remembered.
const PURGES: usize = 20_000;
/// The bit of a timer's token that marks a further lookup rather than the deadline.
const LOOKUP: u64 = 1;

/// What a lookup came to.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResult<T> {
    /// A box, and what the fill is to be.
    Endpoint(T),
    /// Nothing may be named now.
    Rejected,
    /// No answer, or none that can be used.
    Failed,
}

#[derive(Debug)]
struct FollowedRequest {
    r: Request,
    once: bool,
    attempts: u32,
    looking: bool,
    out: bool,
    ran: bool,
}

/// The requests that are followed by lookups.
#[derive(Debug)]
pub struct HintFollower {
    settings: Settings,
    purges: PurgeHistory,
    open: BTreeMap<RequestId, FollowedRequest>,
    /// Requests to be looked up now.
    pub wanted: Vec<RequestId>,
}

impl HintFollower {
    /// A follower under these settings.
    pub fn new(settings: Settings) -> HintFollower {
        HintFollower { settings, purges: PurgeHistory::default(), open: BTreeMap::new(), wanted: Vec::new() }
    }

    /// Takes the purges that another router knew.
    pub fn restore(&mut self, now: Timestamp, memory: &DecisionSnapshot) {
        self.purges.restore(now, &memory.purges, memory.floor, PURGES);
    }

    /// Goes on under other settings, in which the classes of requests under way are the same.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, acts: &mut Vec<Action>) {
        match event {
            Event::Request(r) => {
                let id = r.id;
                let once = self.settings.class(&r).idempotency != Idempotency::Idempotent;
                acts.push(Action::timer(r.deadline.saturating_duration_since(now), u64::from(id) << 1));
                let f = FollowedRequest { r, once, attempts: 0, looking: false, out: false, ran: false };
                self.open.insert(id, f);
                self.look(now, id, acts);
            }
            Event::Timer { token } => {
                let id = (token >> 1) as RequestId;
                if token & LOOKUP != 0 {
                    self.look(now, id, acts);
                } else {
                    self.end(now, id, acts);
                }
            }
            Event::AttemptOutcome(out) => self.on_outcome(now, &out, acts),
            Event::Withdrawn { request } => self.call_off(request, acts),
            Event::Purged(p) => {
                self.purges.forget(now.saturating_sub(self.settings.purge_life()));
                self.purges.add(now, &p, PURGES);
            }
            Event::EndpointList { .. }
            | Event::EndpointListFailed
            | Event::Started { .. }
            | Event::Probed { .. } => {}
        }
    }

    fn look(&mut self, now: Timestamp, id: RequestId, acts: &mut Vec<Action>) {
        let Some(f) = self.open.get_mut(&id).filter(|f| !f.out && !f.looking) else { return };
        // What was sent and may have run is never looked up again.
        if f.attempts >= self.settings.max_attempts || now >= f.r.deadline || f.once && f.attempts > 0 {
            return self.end(now, id, acts);
        }
        f.looking = true;
        self.wanted.push(id);
    }

    /// The lookup of a request has ended.
    pub fn found(
        &mut self,
        now: Timestamp,
        id: RequestId,
        found: LookupResult<(EndpointId, CacheFill)>,
        acts: &mut Vec<Action>,
    ) {
        let Some(f) = self.open.get_mut(&id).filter(|f| f.looking) else { return };
        f.looking = false;
        if now >= f.r.deadline {
            return self.end(now, id, acts);
        }
        f.attempts += 1;
        match found {
            LookupResult::Endpoint((endpoint, mut fill)) => {
                f.out = true;
                let purged = self.purges.latest(&f.r);
                if purged > Timestamp::ZERO {
                    let bound = PurgeHistory::oldest_copy(now, purged);
                    fill.max_age = Some(fill.max_age.map_or(bound, |a| a.min(bound)));
                }
                let timeout = f.r.deadline.duration_since(now);
                acts.push(Action::Attempt { request: id, endpoint, timeout, fill });
            }
            LookupResult::Rejected => self.end(now, id, acts),
            LookupResult::Failed => self.later(now, id, acts),
        }
    }

    /// A further lookup after a while, where that is allowed.
    fn later(&mut self, now: Timestamp, id: RequestId, acts: &mut Vec<Action>) {
        match self.open.get(&id) {
            Some(f) if f.once => self.end(now, id, acts),
            Some(f) => {
                acts.push(Action::timer(AGAIN * f.attempts, u64::from(id) << 1 | LOOKUP));
            }
            None => {}
        }
    }

    fn on_outcome(&mut self, now: Timestamp, out: &AttemptOutcome, acts: &mut Vec<Action>) {
        let Some(f) = self.open.get_mut(&out.request) else { return };
        f.out = false;
        f.ran |= !out.status.never_ran();
        if out.ended || out.status == AttemptStatus::Ok {
            self.open.remove(&out.request);
        } else {
            self.later(now, out.request, acts);
        }
    }

    /// The final answer, at once: a refusal where nothing can have run that may not be repeated.
    fn end(&mut self, now: Timestamp, id: RequestId, acts: &mut Vec<Action>) {
        let Some(f) = self.open.get(&id) else { return };
        let harmless = !f.once || !(f.ran || f.out);
        if harmless && now < f.r.deadline {
            let half = divide_to_micros(self.settings.max_retry_after, 2);
            let wait = if self.settings.retry_after { half } else { Duration::ZERO };
            acts.push(Action::refuse(id, wait));
        } else {
            acts.push(Action::Fail { request: id });
        }
        self.call_off(id, acts);
    }

    /// Closes a request; an attempt that is still out is called off.
    fn call_off(&mut self, id: RequestId, acts: &mut Vec<Action>) {
        if let Some(f) = self.open.remove(&id).filter(|f| f.out) {
            acts.push(Action::cancel(id, f.attempts as usize - 1));
        }
    }
}
