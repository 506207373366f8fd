//! The server's timers, and the dispatch of expired ones.

use super::ConnectionToken;
use crate::Server;
use hollymux_router::{Input, Wake};
use std::time::Duration;

/// How long a listener is paused after a connection could not be accepted.
pub(crate) const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Longest time that a starting process waits for the endpoint feed before it serves: a late list
/// is no reason to leave clients without an answer.
pub(crate) const INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// What the event loop does when a timer expires.
pub(crate) enum Timer {
    /// A timer that the router has set.
    Router(Wake),
    /// Check whether a connection to an endpoint is late.
    DialLate(ConnectionToken),
    /// Send the lookup with this id again if it has no answer yet.
    DnsRetry(u16),
    /// Connect to the endpoint feed again.
    FeedReconnect,
    /// Run the periodic check of all connections.
    Housekeeping,
    /// Accept again at the paused listeners.
    ResumeListeners,
    /// Close the connections without open requests, and the client listener after the linger time.
    Drain,
    /// Begin to serve, or ask the predecessor for the clients, without waiting longer for the
    /// endpoint feed.
    InitialListTimeout,
    /// Release a client connection if it is still idle.
    ReleaseClient(ConnectionToken),
    /// Ask the predecessor for the clients, if the endpoint feed has sent nothing new for a while.
    FeedQuiet,
    /// Begin to serve although the predecessor has not sent `Released`.
    HandoverTimeout,
    /// Call the cluster membership and the leased quotas.
    Cluster,
    /// End the requests that are still open at the drain timeout.
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
        self.shed_unread_replies();
    }
}
