//! The server's side of the lifecycle: the effects of lifecycle events, and draining at shutdown.

use crate::event_loop::Timer;
use crate::Server;
use hollymux_router::lifecycle::{Event, Phase, CLIENT_CLOSE_TIMEOUT, SHUTDOWN_LINGER};
use hollymux_router::Input;
use std::time::Duration;
use tracing::info;

/// Added to the linger time and the longest deadline of a class to give the drain timeout.
const DRAIN_MARGIN: Duration = Duration::from_millis(300);

impl Server {
    /// The longest deadline of all classes; zero without classes.
    pub(crate) fn longest_deadline(&self) -> Duration {
        let classes = &self.router.settings().classes;
        classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Applies an event to the lifecycle, announces a changed phase, and updates timers and the
    /// client listener. Returns false if the event is not possible in the current phase.
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

    /// Starts the shutdown after SIGTERM: new requests are accepted for the linger time, then the
    /// open ones are finished. Does nothing if the process is already stopping.
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

    /// Closes connections without open requests, and after the linger time the client listener too.
    pub(crate) fn on_drain_timer(&mut self) {
        if self.lifecycle.has_lingered(self.now) {
            // Who waits at a listener that was handed over is the successor's client.
            if !self.lifecycle.is_replaced() {
                self.accept_last();
            }
            self.close(self.client_listener);
        }
        self.run_housekeeping();
    }

    /// Called at the drain timeout: all open requests end, and the event loop exits.
    pub(crate) fn on_drain_timeout(&mut self) {
        self.drain_timed_out = true;
        self.release_all_requests();
        self.pending_inputs.push_back(Input::Shutdown);
    }

    /// Whether the process may exit: all requests are finished and their responses are written, and
    /// clients have closed their connections or had time to, or the drain timeout has passed.
    pub(crate) fn may_end(&self) -> bool {
        if self.drain_timed_out {
            return true;
        }
        let clients_gone = self.client_count == 0 || self.lifecycle.abandons_idle_connections(self.now);
        self.lifecycle.has_lingered(self.now)
            && clients_gone
            && self.router.is_idle()
            && !self.any_client_is_pending()
    }
}
