//! What the server sets timers for, and what happens when one expires.

use super::ConnectionToken;
use crate::Server;
use hollymux_router::{Input, Wake};
use std::time::Duration;

/// A listener at which a connection could not be accepted is tried again after this long.
pub(crate) const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// A process that starts waits no longer than this for the endpoint feed: a late list is no reason
/// not to answer.
pub(crate) const INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// A timer of the server.
pub(crate) enum Timer {
    /// One that the router has set.
    Router(Wake),
    /// A connection to an endpoint should be established by now.
    DialLate(ConnectionToken),
    /// The lookup with this id has no answer yet.
    DnsRetry(u16),
    FeedReconnect,
    Housekeeping,
    ResumeListeners,
    /// Connections with nothing open are to be closed.
    Drain,
    /// The endpoint feed was waited for long enough.
    InitialListTimeout,
    /// A client's connection may be released.
    ReleaseClient(ConnectionToken),
    /// The endpoint feed may have sent everything that it had.
    FeedQuiet,
    /// The predecessor's last message is overdue.
    HandoverTimeout,
    Cluster,
    /// What is open is ended whatever it is.
    DrainTimeout,
}

impl Server {
    /// Handles a timer that has expired.
    pub(crate) fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Router(wake) => self.pending_inputs.push_back(Input::Wake(wake)),
            Timer::DialLate(token) => self.on_dial_late(token),
            Timer::DnsRetry(id) => self.send_lookup(id),
            Timer::FeedReconnect => self.open_feed(),
            Timer::Housekeeping => self.on_housekeeping_timer(),
            Timer::ResumeListeners => self.resume_listeners(),
            Timer::Drain => self.on_drain_timer(),
            Timer::InitialListTimeout => self.try_begin_serving(true),
            Timer::ReleaseClient(token) => self.on_release_timer(token),
            Timer::FeedQuiet => self.try_begin_serving(false),
            Timer::HandoverTimeout => self.begin_serving(),
            Timer::Cluster => self.on_cluster_timer(),
            Timer::DrainTimeout => self.on_drain_timeout(),
        }
        self.execute_pending();
    }
}
