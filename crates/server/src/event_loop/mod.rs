//! The event loop: waits for epoll events and timers, calls the handler of each, and then executes
//! the commands that the router has issued. It contains no protocol and no routing decision.

mod connection_table;
mod io;
#[cfg(test)]
mod tests;
mod timer_wheel;
mod timers;

use crate::sockets::NO_WAIT;
use crate::Server;
pub(crate) use connection_table::{ConnectionKind, ConnectionTable, ConnectionToken};
pub(crate) use io::{ConnectionAction, MAX_READS_PER_EVENT};
use rustix::event::epoll::{self, EventFlags};
use rustix::event::Timespec;
use std::time::Duration;
pub(crate) use timer_wheel::TimerWheel;
pub(crate) use timers::{RequestTimers, Timer, INITIAL_LIST_TIMEOUT};

/// If the events of a turn took longer than this to handle, what has arrived meanwhile is handled as
/// well before timers expire: the process may have been stalled.
const MAX_TURN_TIME: Duration = Duration::from_millis(20);

/// The order in which the events of one wait are handled. After a stall, many events are ready at
/// once, and everything that has arrived is known before anything is done because time has passed.
/// Endpoint states come first, so that nothing more is sent to a draining endpoint, with what the
/// other process of a handover reports; then admin calls, whose callers wait for at most one second;
/// then clients, who may have left; and only then responses of endpoints, which cause attempts to be
/// sent. Timers follow the events, and the requests that were read follow the timers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventPriority {
    Feed,
    HandoverPeer,
    Admin,
    Client,
    Other,
    Cluster,
}

impl Server {
    /// Serves until SIGTERM has been received and all open requests are finished, or the drain
    /// timeout has passed.
    ///
    /// # Errors
    ///
    /// If waiting for events fails.
    pub fn run(&mut self) -> std::io::Result<()> {
        // Room for an event of every descriptor, so that one wait reports all that has arrived.
        let mut events = Vec::with_capacity(self.config.max_descriptors);
        let mut timers_put_off = false;
        loop {
            self.now = self.clock.now();
            let may_end = self.may_end();
            events.clear();
            self.wait_for_events(&mut events, self.wait_timeout(may_end))?;
            // An event that arrived while the process prepared to exit may be a request.
            if may_end && (self.drain_timed_out || events.is_empty()) {
                break;
            }
            let waited_until = self.clock.now();
            self.handle_events(&mut events);
            self.now = self.clock.now();
            timers_put_off = !timers_put_off && self.now > waited_until + MAX_TURN_TIME;
            if !timers_put_off {
                self.handle_timers();
                self.serve_busy_clients();
            }
        }
        self.leave_cluster();
        Ok(())
    }

    fn handle_events(&mut self, events: &mut [epoll::Event]) {
        events.sort_by_key(|event| self.priority(ConnectionToken::from_u64(event.data.u64())));
        for event in events {
            self.now = self.clock.now();
            self.on_event(ConnectionToken::from_u64(event.data.u64()), event.flags);
        }
    }

    fn handle_timers(&mut self) {
        for timer in self.take_expired_timers() {
            self.on_timer(timer);
        }
    }

    fn wait_timeout(&self, may_end: bool) -> Duration {
        if may_end || !self.busy_clients.is_empty() {
            return Duration::ZERO;
        }
        self.timers.time_to_next(self.now).unwrap_or(crate::housekeeping::HOUSEKEEPING_INTERVAL)
    }

    /// Waits for events. A wait that a signal interrupts has reported nothing, so what has arrived by
    /// then is asked for again.
    fn wait_for_events(&self, events: &mut Vec<epoll::Event>, timeout: Duration) -> std::io::Result<()> {
        let mut timeout = Timespec {
            tv_sec: i64::try_from(timeout.as_secs()).unwrap_or(1),
            tv_nsec: timeout.subsec_nanos() as _,
        };
        loop {
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), Some(&timeout)) {
                Ok(_) => return Ok(()),
                Err(rustix::io::Errno::INTR) => timeout = NO_WAIT,
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn priority(&self, token: ConnectionToken) -> EventPriority {
        match self.connections.get(token) {
            Some(ConnectionKind::Feed(_)) => EventPriority::Feed,
            Some(ConnectionKind::Successor(_) | ConnectionKind::Predecessor(_)) => {
                EventPriority::HandoverPeer
            }
            Some(ConnectionKind::AdminListener(_) | ConnectionKind::Admin(_)) => EventPriority::Admin,
            Some(ConnectionKind::Client(_)) => EventPriority::Client,
            Some(ConnectionKind::Cluster(_)) => EventPriority::Cluster,
            _ => EventPriority::Other,
        }
    }

    fn on_event(&mut self, token: ConnectionToken, flags: EventFlags) {
        let Some(mut connection) = self.connections.take(token) else { return };
        let action = match &mut connection {
            ConnectionKind::Listener(listener) => self.on_accept(token, listener),
            ConnectionKind::Signal { pipe, signal } => self.on_signal(pipe, *signal),
            ConnectionKind::Client(client) => self.on_client(token, client, flags),
            ConnectionKind::Endpoint(endpoint) => self.on_endpoint_connection(token, endpoint, flags),
            ConnectionKind::Feed(feed) => self.on_feed(token, feed, flags),
            ConnectionKind::DnsUdp(socket) => self.on_dns_udp(socket),
            ConnectionKind::DnsListener(listener) => self.on_dns_accept(token, listener),
            ConnectionKind::DnsTcp(dns) => self.on_dns_connection(token, dns, flags),
            ConnectionKind::Resolver(socket) => self.on_resolver(socket),
            ConnectionKind::AdminListener(listener) => self.on_admin_accept(listener),
            ConnectionKind::Admin(admin) => self.on_admin_connection(token, admin, flags),
            ConnectionKind::Rendezvous(listener) => self.on_rendezvous(listener),
            ConnectionKind::Successor(peer) => self.on_successor(token, peer, flags),
            ConnectionKind::Predecessor(peer) => self.on_predecessor(token, peer, flags),
            ConnectionKind::Cluster(socket) => self.on_cluster_datagrams(socket),
        };
        self.restore(token, connection, action);
        self.execute_pending();
        self.shed_unread_replies();
    }
}
