//! The phases of the router process from start to stop, and what each of them allows: accepting
//! connections, serving requests, and reporting readiness. The lifecycle changes on signals, admin
//! calls and the takeover by another process. It doesn't track open requests: the owner of a
//! connection asks whether the connection may stay open without any.

use hollymux_decision::Timestamp;
use std::time::Duration;

/// How long new connections and requests are still accepted after SIGTERM, because clients go on
/// sending until they have noticed that the process stops.
pub const SHUTDOWN_LINGER: Duration = Duration::from_millis(700);
/// How long clients have to close their connections after the router has shut down its side of
/// them. If the process exits with unread bytes in a socket, the kernel resets the connection, and
/// a reply on its way is lost.
pub const CLIENT_CLOSE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long clients need to notice a standby: they poll readiness every 100 ms, and open no new
/// connections from 200 ms after they were told that the router is not ready. A client whose
/// connection is closed earlier just connects again.
const STANDBY_NOTICE_PERIOD: Duration = Duration::from_millis(400);
/// How long new requests are served in standby. Rejecting them after that closes connections that
/// are never idle. Requests accepted before keep their deadline.
const STANDBY_ACCEPT_PERIOD: Duration = Duration::from_secs(2);
/// Maximum time between the linger and SIGKILL. The process is killed when the longest deadline has
/// passed after the linger, or after this time if that is shorter.
const MAX_SHUTDOWN_GRACE: Duration = Duration::from_secs(3);
/// The time that replies need to reach their clients before SIGKILL.
const REPLY_DELIVERY_MARGIN: Duration = Duration::from_millis(200);
/// A request that has less time than this before SIGKILL is rejected. If the longest deadline is
/// shorter, that is the minimum instead.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(700);
/// How long a new connection may wait for its first request while idle connections are being
/// closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// The phase of the router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process is not ready to serve, because something that it needs is missing.
    Starting,
    /// The process serves requests.
    Ready,
    /// Clients are being moved away from the process, or have left it.
    Standby,
    /// Another process has taken over the listening socket. This one serves only its existing
    /// connections.
    Replaced,
    /// The process exits as soon as the open requests are finished.
    Stopping,
}

/// An event that can change the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Everything that the process needs to serve is present.
    Started,
    /// An operator has requested standby, so clients are to be moved away.
    Standby,
    /// An operator has ended the standby, so the process is to serve again.
    Active,
    /// Another process accepts the new connections.
    Replaced,
    /// The process that had taken over the listening socket has exited.
    SuccessorGone,
    /// The process was told to exit.
    Stop,
}

/// The lifecycle of the router process. Standby, replacement and stop are tracked separately,
/// because each may begin while another one lasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    started: bool,
    standby_since: Option<Timestamp>,
    replaced: bool,
    stopping_since: Option<Timestamp>,
}

impl Lifecycle {
    /// Applies an event. Returns false if the event is not possible: a process that is stopping
    /// can't become active again.
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

    /// The current phase. If several phases apply, the last of them in the order of [`Phase`] is
    /// returned.
    pub fn phase(&self) -> Phase {
        match self {
            Lifecycle { stopping_since: Some(_), .. } => Phase::Stopping,
            Lifecycle { replaced: true, .. } => Phase::Replaced,
            Lifecycle { standby_since: Some(_), .. } => Phase::Standby,
            Lifecycle { started: false, .. } => Phase::Starting,
            _ => Phase::Ready,
        }
    }

    /// Whether a readiness check is answered with yes.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Whether another process has taken over this one's listening socket.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Whether new connections are accepted. They are accepted in standby too: clients open
    /// connections until they have noticed the standby, and would lose the requests on connections
    /// that nobody accepts.
    pub fn accepts_connections(&self, now: Timestamp) -> bool {
        self.started && !self.replaced && !self.has_lingered(now)
    }

    /// Whether a request that arrives now is served; otherwise it is rejected at once.
    /// `longest_deadline` is the longest deadline of any class.
    pub fn serves_requests(&self, now: Timestamp, longest_deadline: Duration) -> bool {
        let in_standby_for_long =
            self.standby_since.is_some_and(|since| now >= since + STANDBY_ACCEPT_PERIOD);
        let time_needed = longest_deadline.min(MIN_REQUEST_TIME);
        let too_late_to_begin = self.ends_by(longest_deadline).is_some_and(|end| now + time_needed >= end);
        !in_standby_for_long && !too_late_to_begin
    }

    /// The time by which a request that arrives now has to end; `None` if there is no limit. The
    /// limit exists in a process that is replaced and stopping: its clients don't know that it is
    /// stopping and go on sending on their connections after [`SHUTDOWN_LINGER`], but a request
    /// that is open at SIGKILL gets no reply.
    pub fn ends_by(&self, longest_deadline: Duration) -> Option<Timestamp> {
        let stopping_since = self.stopping_since.filter(|_| self.replaced)?;
        let killed_at = stopping_since + longest_deadline.min(MAX_SHUTDOWN_GRACE) + SHUTDOWN_LINGER;
        Some(killed_at - REPLY_DELIVERY_MARGIN)
    }

    /// Whether a connection without open requests stays open. `first_request_awaited_since` is the
    /// time at which the connection was opened, if it has sent no request yet.
    pub fn keeps_idle_connection(
        &self,
        now: Timestamp,
        first_request_awaited_since: Option<Timestamp>,
    ) -> bool {
        if self.has_lingered(now) && !self.replaced {
            return false;
        }
        let standby_noticed = self.standby_since.is_some_and(|since| now >= since + STANDBY_NOTICE_PERIOD);
        // When a replaced process closes a connection, its client connects to the other process.
        let moves_to_other_process = self.replaced && self.stopping_since.is_some();
        let may_send_first_request =
            first_request_awaited_since.is_some_and(|since| now < since + FIRST_REQUEST_TIMEOUT);
        may_send_first_request || !standby_noticed && !moves_to_other_process
    }

    /// Whether the process may exit although connections without open requests are left: their
    /// clients know that it is stopping and have had time to close them. A replaced process closes
    /// its connections one by one instead.
    pub fn abandons_idle_connections(&self, now: Timestamp) -> bool {
        let close_timeout = SHUTDOWN_LINGER + CLIENT_CLOSE_TIMEOUT;
        !self.replaced && self.stopping_since.is_some_and(|since| now >= since + close_timeout)
    }

    /// The time from which connections without open requests are closed; `None` if they stay open.
    pub fn closes_idle_connections_from(&self) -> Option<Timestamp> {
        let linger = if self.replaced { Duration::ZERO } else { SHUTDOWN_LINGER };
        let by_standby = self.standby_since.map(|since| since + STANDBY_NOTICE_PERIOD);
        let by_stop = self.stopping_since.map(|since| since + linger);
        by_standby.into_iter().chain(by_stop).min()
    }

    /// Whether the process is stopping and accepts nothing new any more. It exits when no request
    /// is open.
    pub fn has_lingered(&self, now: Timestamp) -> bool {
        self.stopping_since.is_some_and(|since| now >= since + SHUTDOWN_LINGER)
    }
}
