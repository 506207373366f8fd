//! What the router is to its clients at present: starting, ready, on standby, replaced or stopping. Signals, the
//! operators' calls and a replacement are told here, and connections, requests and readiness ask here. What is open
//! is not known to it: who has nothing open asks whether he may stay.

use hollymux_decision::Timestamp;
use std::time::Duration;

/// New connections and requests are taken for this long after SIGTERM.
pub const LINGER: Duration = Duration::from_millis(700);
/// Clients whose connections are shut at the end have so long to close theirs: a process that ends over bytes that it
/// has not read resets the connection, and an answer on its way with it.
pub const FAREWELL: Duration = Duration::from_millis(250);
/// A front that is told no sends nobody new 0.2 s later, and asks every 0.1 s: before that a connection that is
/// closed only comes back.
const NOTICE: Duration = Duration::from_millis(400);
/// On standby a connection that never pauses is closed by refusing what comes on it from then on. What was taken
/// before keeps its time.
const PATIENCE: Duration = Duration::from_secs(2);
/// SIGKILL comes this long after the linger, or the longest deadline if that is less...
const KILL_MOST: Duration = Duration::from_secs(3);
/// ...and answers need so long to be on their way before it.
const SPARE: Duration = Duration::from_millis(200);
/// With less time than this before that a request is rather refused than begun.
const WORTH: Duration = Duration::from_millis(700);
/// Whoever connects to a router on standby has so long to begin his first request.
const FIRST: Duration = Duration::from_millis(100);

/// What the router is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not everything that it needs is there.
    Starting,
    /// Serves.
    Ready,
    /// Emptied, or being emptied.
    Standby,
    /// Another process has the listening socket; this one serves who is connected.
    Replaced,
    /// Ends as soon as what is open is finished.
    Stopping,
}

/// What happens to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Everything that it needs is there.
    Began,
    /// It is to be emptied.
    Standby,
    /// It is to work again.
    Active,
    /// Another process takes new connections.
    Replaced,
    /// The other process is gone.
    Alone,
    /// It is to end.
    Stop,
}

/// The state. Standby, replacement and the end are told apart, as each may come during another.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    began: bool,
    standby: Option<Timestamp>,
    replaced: bool,
    stopping: Option<Timestamp>,
}

impl Lifecycle {
    /// Takes an event; false if it can't be followed, which only the return from an end can't.
    pub fn on(&mut self, now: Timestamp, event: Event) -> bool {
        match event {
            Event::Began => self.began = true,
            Event::Standby => self.standby = self.standby.or(Some(now)),
            Event::Active if self.stopping.is_some() => return false,
            Event::Active => self.standby = None,
            Event::Replaced => self.replaced = true,
            Event::Alone => self.replaced = false,
            Event::Stop => self.stopping = self.stopping.or(Some(now)),
        }
        true
    }

    /// What the router is; the later of two that hold at once in the order of [`Phase`].
    pub fn phase(&self) -> Phase {
        match self {
            Lifecycle { stopping: Some(_), .. } => Phase::Stopping,
            Lifecycle { replaced: true, .. } => Phase::Replaced,
            Lifecycle { standby: Some(_), .. } => Phase::Standby,
            Lifecycle { began: false, .. } => Phase::Starting,
            _ => Phase::Ready,
        }
    }

    /// Whether it says yes when asked if it is ready to serve.
    pub fn ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Whether another process has this one's addresses.
    pub fn handed_over(&self) -> bool {
        self.replaced
    }

    /// Whether new connections are taken. Standby takes them: a front sends some until it has noticed, and whom
    /// nobody takes is lost.
    pub fn accepts(&self, now: Timestamp) -> bool {
        self.began && !self.replaced && !self.lingered(now)
    }

    /// Whether a request that comes now is served; else it is refused at once. `longest` is the longest deadline of a
    /// class.
    pub fn serves(&self, now: Timestamp, longest: Duration) -> bool {
        let late = self.ends_by(longest).is_some_and(|by| now + longest.min(WORTH) >= by);
        self.standby.is_none_or(|at| now < at + PATIENCE) && !late
    }

    /// When a request that comes now has to be ended at the latest. The clients of a process that was replaced don't
    /// know that it ends and go on as long as their connections do: what came later than 0.7 s and is open when the
    /// process is killed is lost.
    pub fn ends_by(&self, longest: Duration) -> Option<Timestamp> {
        let killed = |at| at + longest.min(KILL_MOST) + LINGER;
        self.stopping.filter(|_| self.replaced).map(|at| killed(at) - SPARE)
    }

    /// Whether a connection stays on which nothing is open. `fresh` since when it has waited for its first request,
    /// if it does.
    pub fn stays(&self, now: Timestamp, fresh: Option<Timestamp>) -> bool {
        let noticed = self.standby.is_some_and(|at| now >= at + NOTICE);
        // Whoever is let go by a process that was replaced finds the other one.
        let replaced = self.replaced && self.stopping.is_some();
        let begins = fresh.is_some_and(|at| now < at + FIRST);
        let lingered = self.lingered(now) && !self.replaced;
        !lingered && (!noticed && !replaced || begins)
    }

    /// Whether it ends with connections still open on which nothing is: their clients know that it ends, and had time
    /// to close them. Those of a process that was replaced are let go one by one.
    pub fn drops(&self, now: Timestamp) -> bool {
        !self.replaced && self.stopping.is_some_and(|at| now >= at + LINGER + FAREWELL)
    }

    /// From when on connections with nothing open are closed.
    pub fn empties_at(&self) -> Option<Timestamp> {
        let standby = self.standby.map(|at| at + NOTICE);
        let stopping = self.stopping.map(|at| if self.replaced { at } else { at + LINGER });
        standby.into_iter().chain(stopping).min()
    }

    /// Whether it is to end and nothing new is taken any more: it ends when nothing is open.
    pub fn lingered(&self, now: Timestamp) -> bool {
        self.stopping.is_some_and(|at| now >= at + LINGER)
    }
}
