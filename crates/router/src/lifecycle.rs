//! The phases of the router process, from start to stop, and what is allowed in each: connections,
//! requests, readiness. Signals, admin calls and the takeover by another process are its events. It
//! doesn't know which requests are open: the owner of a connection asks whether a connection
//! without any may stay open.

use hollymux_decision::Timestamp;
use std::time::Duration;

/// New connections and requests are still accepted for this long after SIGTERM, as clients go on
/// sending until they have noticed.
pub const SHUTDOWN_LINGER: Duration = Duration::from_millis(700);
/// How long clients have to close their connections after the router has shut down its side of
/// them. A process that exits with unread bytes in a socket resets the connection, and a reply on
/// its way is lost with it.
pub const CLIENT_CLOSE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long clients need to notice a standby: they poll readiness every 100 ms and open no new
/// connection 200 ms after a "no". A connection that is closed before that is only opened again.
const STANDBY_NOTICE_PERIOD: Duration = Duration::from_millis(400);
/// After this long in standby new requests are rejected, which closes connections that are never
/// idle. Requests accepted before keep their deadline.
const STANDBY_ACCEPT_PERIOD: Duration = Duration::from_secs(2);
/// SIGKILL follows the linger after the longest deadline, or after this if that is less.
const MAX_SHUTDOWN_GRACE: Duration = Duration::from_secs(3);
/// Time that replies need to reach their clients before SIGKILL.
const REPLY_DELIVERY_MARGIN: Duration = Duration::from_millis(200);
/// With less time left than this a request is rejected rather than begun.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(700);
/// How long a new connection may take to send its first request while connections are being closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// The phase of the router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Something that it needs in order to serve is missing.
    Starting,
    /// It serves.
    Ready,
    /// Clients are being moved away from it, or have left.
    Standby,
    /// Another process has the listening socket; this one serves the connections that it has.
    Replaced,
    /// It exits as soon as the open requests are finished.
    Stopping,
}

/// What can change the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Everything that it needs in order to serve is there.
    Started,
    /// Clients are to be moved away.
    Standby,
    /// It is to serve again after a standby.
    Active,
    /// Another process accepts the new connections.
    Replaced,
    /// The other process has exited.
    SuccessorGone,
    /// It is to exit.
    Stop,
}

/// The lifecycle of the router process. Standby, replacement and stop are kept apart, as each may
/// begin while another one lasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    started: bool,
    standby_since: Option<Timestamp>,
    replaced: bool,
    stopping_since: Option<Timestamp>,
}

impl Lifecycle {
    /// Applies an event. Returns whether it was accepted: a process that is stopping can't become
    /// active again.
    pub fn apply(&mut self, now: Timestamp, event: Event) -> bool {
        match event {
            Event::Started => self.started = true,
            Event::Standby => self.standby_since = self.standby_since.or(Some(now)),
            Event::Active if self.stopping_since.is_some() => return false,
            Event::Active => self.standby_since = None,
            Event::Replaced => self.replaced = true,
            Event::SuccessorGone => self.replaced = false,
            Event::Stop => self.stopping_since = self.stopping_since.or(Some(now)),
        }
        true
    }

    /// The phase. Where several hold at once, it is the last of them in the order of [`Phase`].
    pub fn phase(&self) -> Phase {
        match self {
            Lifecycle { stopping_since: Some(_), .. } => Phase::Stopping,
            Lifecycle { replaced: true, .. } => Phase::Replaced,
            Lifecycle { standby_since: Some(_), .. } => Phase::Standby,
            Lifecycle { started: false, .. } => Phase::Starting,
            _ => Phase::Ready,
        }
    }

    /// The answer to a readiness check.
    pub fn ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Whether another process has this one's listening socket.
    pub fn handed_over(&self) -> bool {
        self.replaced
    }

    /// Whether new connections are accepted. They are in standby too: clients open some until they
    /// have noticed, and a connection that nobody accepts loses its requests.
    pub fn accepts(&self, now: Timestamp) -> bool {
        self.started && !self.replaced && !self.has_lingered(now)
    }

    /// Whether a request that arrives now is served; otherwise it is rejected at once. `longest` is
    /// the longest deadline of any class.
    pub fn serves(&self, now: Timestamp, longest: Duration) -> bool {
        let in_standby_for_long =
            self.standby_since.is_some_and(|since| now >= since + STANDBY_ACCEPT_PERIOD);
        let time_needed = longest.min(MIN_REQUEST_TIME);
        let too_late_to_begin = self.ends_by(longest).is_some_and(|end| now + time_needed >= end);
        !in_standby_for_long && !too_late_to_begin
    }

    /// The latest end of a request that arrives now, if there is a limit. Clients of a replaced
    /// process don't know that it is stopping and go on sending on their connections after
    /// [`SHUTDOWN_LINGER`]: a request that is open when the process is killed gets no reply.
    pub fn ends_by(&self, longest: Duration) -> Option<Timestamp> {
        let stopping_since = self.stopping_since.filter(|_| self.replaced)?;
        let killed_at = stopping_since + longest.min(MAX_SHUTDOWN_GRACE) + SHUTDOWN_LINGER;
        Some(killed_at - REPLY_DELIVERY_MARGIN)
    }

    /// Whether a connection without open requests stays open. `fresh` is the time since which it
    /// has waited for its first request, if none has come yet.
    pub fn keeps_idle_connection(&self, now: Timestamp, fresh: Option<Timestamp>) -> bool {
        if self.has_lingered(now) && !self.replaced {
            return false;
        }
        let standby_noticed = self.standby_since.is_some_and(|since| now >= since + STANDBY_NOTICE_PERIOD);
        // A client whose connection is closed by a replaced process connects to the other process.
        let moves_to_other_process = self.replaced && self.stopping_since.is_some();
        let may_send_first_request = fresh.is_some_and(|since| now < since + FIRST_REQUEST_TIMEOUT);
        may_send_first_request || !standby_noticed && !moves_to_other_process
    }

    /// Whether the process exits although connections without open requests are left: their clients
    /// know that it stops and had time to close them. Connections of a replaced process are closed
    /// one by one instead.
    pub fn abandons_idle_connections(&self, now: Timestamp) -> bool {
        let close_timeout = SHUTDOWN_LINGER + CLIENT_CLOSE_TIMEOUT;
        !self.replaced && self.stopping_since.is_some_and(|since| now >= since + close_timeout)
    }

    /// The time from which connections without open requests are closed.
    pub fn closes_idle_connections_from(&self) -> Option<Timestamp> {
        let linger = if self.replaced { Duration::ZERO } else { SHUTDOWN_LINGER };
        let by_standby = self.standby_since.map(|since| since + STANDBY_NOTICE_PERIOD);
        let by_stop = self.stopping_since.map(|since| since + linger);
        by_standby.into_iter().chain(by_stop).min()
    }

    /// Whether the process is stopping and accepts nothing new any more: it exits when no request
    /// is open.
    pub fn has_lingered(&self, now: Timestamp) -> bool {
        self.stopping_since.is_some_and(|since| now >= since + SHUTDOWN_LINGER)
    }
}
