//! The server's side of the lifecycle: what follows from its events, and how the process drains and
//! ends.

use crate::event_loop::Timer;
use crate::Server;
use hollymux_router::lifecycle::{Event, Phase, CLIENT_CLOSE_TIMEOUT, SHUTDOWN_LINGER};
use hollymux_router::Input;
use std::time::Duration;
use tracing::info;

/// What is open when the process drains has as long as the longest deadline of a class, and this.
const DRAIN_MARGIN: Duration = Duration::from_millis(300);

impl Server {
    /// The longest deadline of a class.
    pub(crate) fn longest_deadline(&self) -> Duration {
        let classes = &self.router.settings().classes;
        classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Gives an event to the lifecycle and does what follows from it; returns false if the event is
    /// not possible.
    pub(crate) fn apply_lifecycle_event(&mut self, event: Event) -> bool {
        let before = self.lifecycle.phase();
        let accepted = self.lifecycle.apply(self.now, event);
        let after = self.lifecycle.phase();
        if let Some(at) = self.lifecycle.closes_idle_connections_from() {
            self.timers.set(at, Timer::Drain);
        }
        if before != after {
            info!(from = ?before, to = ?after, "lifecycle phase changed");
            self.announce_phase();
        }
        self.update_client_listener();
        accepted
    }

    /// SIGTERM: new requests are accepted for the linger time, then what is open is finished.
    pub(crate) fn begin_shutdown(&mut self) {
        if self.lifecycle.phase() == Phase::Stopping {
            return;
        }
        self.apply_lifecycle_event(Event::Stop);
        let drain_timeout = self.longest_deadline() + SHUTDOWN_LINGER + DRAIN_MARGIN;
        self.timers.set(self.now + drain_timeout, Timer::DrainTimeout);
        self.timers.set(self.now + SHUTDOWN_LINGER, Timer::Drain);
        self.timers.set(self.now + SHUTDOWN_LINGER + CLIENT_CLOSE_TIMEOUT, Timer::Drain);
        info!("SIGTERM: draining open requests");
    }

    /// Connections with nothing open are closed; after the linger time the listener is, too.
    pub(crate) fn on_drain_timer(&mut self) {
        if self.lifecycle.has_lingered(self.now) {
            self.accept_last();
            self.close(self.client_listener);
        }
        self.run_housekeeping();
    }

    /// The time to drain is over.
    pub(crate) fn on_drain_timeout(&mut self) {
        self.drain_timed_out = true;
        self.pending_inputs.push_back(Input::Shutdown);
    }

    /// Whether the process has nothing left to do.
    pub(crate) fn may_end(&self) -> bool {
        if self.drain_timed_out {
            return true;
        }
        let clients_gone = self.client_count == 0 || self.lifecycle.abandons_idle_connections(self.now);
        self.lifecycle.has_lingered(self.now)
            && clients_gone
            && self.router.is_idle()
            && !self.any_client_has_output()
    }
}
