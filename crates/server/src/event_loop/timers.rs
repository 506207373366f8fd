//! The server's timers, and the dispatch of expired ones.

use super::timer_wheel::{Expired, TimerId};
use super::ConnectionToken;
use crate::Server;
use hollymux_decision::{RequestId, Timestamp};
use hollymux_router::{Input, Wake};
use smallvec::SmallVec;
use std::collections::HashMap;
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
    /// Give the router the requests that are held back on a client connection.
    HeldRequests(ConnectionToken),
    /// Ask the predecessor for the clients, if the endpoint feed has sent nothing new for a while.
    FeedQuiet,
    /// Begin to serve although the predecessor has not sent `Released`.
    HandoverTimeout,
    /// Call the cluster membership and the leased quotas.
    Cluster,
    /// End the requests that are still open at the drain timeout.
    DrainTimeout,
}

/// The timers that are set for each request: its deadline, and two or three for an attempt.
pub(crate) type RequestTimers = HashMap<RequestId, SmallVec<[TimerId; 4]>>;

impl Server {
    /// Sets a timer for the router.
    pub(crate) fn set_router_timer(&mut self, at: Timestamp, wake: Wake) {
        let id = self.timers.set(at, Timer::Router(wake));
        if let Some(request) = wake.request() {
            self.request_timers.entry(request).or_default().push(id);
        }
    }

    /// Cancels the router's timers for a request.
    pub(crate) fn cancel_router_timers(&mut self, request: RequestId) {
        for id in self.request_timers.remove(&request).unwrap_or_default() {
            self.timers.cancel(id);
        }
    }

    /// Removes and returns the timers that have expired. They can't be cancelled any more.
    pub(super) fn take_expired_timers(&mut self) -> Vec<Timer> {
        let expired = self.timers.expired(self.now);
        let take = |Expired { id, timer }| {
            if let Timer::Router(wake) = &timer {
                self.forget_request_timer(id, wake);
            }
            timer
        };
        expired.into_iter().map(take).collect()
    }

    fn forget_request_timer(&mut self, id: TimerId, wake: &Wake) {
        let Some(request) = wake.request() else { return };
        let Some(timers) = self.request_timers.get_mut(&request) else { return };
        timers.retain(|other| *other != id);
        if timers.is_empty() {
            self.request_timers.remove(&request);
        }
    }

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
            Timer::HeldRequests(token) => self.on_held_requests_timer(token),
            Timer::FeedQuiet => self.try_begin_serving(false),
            Timer::HandoverTimeout => self.begin_serving(),
            Timer::Cluster => self.on_cluster_timer(),
            Timer::DrainTimeout => self.on_drain_timeout(),
        }
        self.execute_pending();
        self.shed_unread_replies();
    }
}
