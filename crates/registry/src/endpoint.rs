//! One endpoint of the registry: its status, and the transitions that health signals and time
//! cause.

use hollymux_decision::{EndpointState, Timestamp};
use std::net::SocketAddr;
use std::time::Duration;

/// Consecutive errors that eject an endpoint.
const MAX_CONSECUTIVE_ERRORS: u32 = 3;
/// The time from an ejection to readmission. It doubles with each ejection that follows soon.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Most doublings of [`BASE_EJECTION_TIME`].
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// An endpoint that stays in rotation for this long is ejected for the base time again.
const EJECTION_COUNT_RESET: Duration = Duration::from_secs(60);

/// What an endpoint is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointRole {
    /// A cache of the site itself.
    EdgeCache,
    /// A cache that edge caches fill from.
    ParentCache,
    /// The origin, where non-idempotent requests run.
    Origin,
}

/// The status of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Added, and not heard of yet.
    Joining,
    /// It takes requests, with an empty cache.
    WarmingUp {
        /// When it began to.
        since: Timestamp,
    },
    /// It takes requests.
    Ready,
    /// It takes requests, but the last signals were errors.
    Suspect {
        /// How many, without a healthy signal between.
        consecutive_errors: u32,
    },
    /// It takes no requests.
    Ejected {
        /// When it may be tried again.
        readmission_due: Timestamp,
    },
    /// It takes no new requests by an operator's command, and finishes those it has.
    Draining {
        /// When the command was executed.
        since: Timestamp,
    },
    /// It was removed or replaced.
    Removed {
        /// When.
        at: Timestamp,
    },
}

/// An endpoint as an operator adds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Its unique id, never to be used for another one.
    pub uid: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it is for.
    pub role: EndpointRole,
}

/// What an attempt or a probe says of an endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// It answered a probe well, or served a request.
    Healthy,
    /// It answered a probe with an error, or nothing came back in time.
    Unhealthy,
    /// It refused a connection: its process has ended.
    ConnectionRefused,
}

/// Whether an attempt may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// It may be repeated.
    Idempotent,
    /// It must not be repeated; what became of it is known at the endpoint alone.
    NonIdempotent,
}

/// An endpoint of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredEndpoint {
    /// As it was added.
    pub spec: EndpointSpec,
    /// Its status.
    pub status: EndpointStatus,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Those of them that are not idempotent.
    pub non_idempotent_in_flight: u32,
    /// When its cache was empty last; none: it is warm.
    warm_up_started: Option<Timestamp>,
    /// Ejections since it last stayed in rotation for long.
    ejections: u32,
    /// When it was added or returned to rotation last.
    returned: Timestamp,
}

impl RegisteredEndpoint {
    pub(crate) fn new(spec: EndpointSpec, now: Timestamp) -> RegisteredEndpoint {
        RegisteredEndpoint {
            spec,
            status: EndpointStatus::Joining,
            in_flight: 0,
            non_idempotent_in_flight: 0,
            warm_up_started: None,
            ejections: 0,
            returned: now,
        }
    }

    /// Whether new requests may go to it.
    pub fn takes_requests(&self) -> bool {
        matches!(
            self.status,
            EndpointStatus::WarmingUp { .. } | EndpointStatus::Ready | EndpointStatus::Suspect { .. }
        )
    }

    /// Whether it was removed or replaced, and is only remembered.
    pub fn is_removed(&self) -> bool {
        matches!(self.status, EndpointStatus::Removed { .. })
    }

    /// Its state in the endpoint list. One that is ejected is listed as ready, since the decision
    /// module probes it by rules of its own.
    pub fn listed_state(&self) -> EndpointState {
        match self.status {
            EndpointStatus::Draining { .. } => EndpointState::Draining,
            EndpointStatus::Removed { .. } => EndpointState::Gone,
            EndpointStatus::Joining
            | EndpointStatus::WarmingUp { .. }
            | EndpointStatus::Ready
            | EndpointStatus::Suspect { .. }
            | EndpointStatus::Ejected { .. } => EndpointState::Ready,
        }
    }

    pub(crate) fn on_signal(&mut self, now: Timestamp, signal: HealthSignal, warm_up: Duration) {
        match signal {
            HealthSignal::Healthy => self.on_healthy(now, warm_up),
            HealthSignal::Unhealthy => self.on_unhealthy(now),
            HealthSignal::ConnectionRefused => self.on_connection_refused(now),
        }
    }

    fn on_healthy(&mut self, now: Timestamp, warm_up: Duration) {
        match self.status {
            // It may have restarted while nothing was heard of it, so its cache may be empty.
            EndpointStatus::Joining | EndpointStatus::Ejected { .. } => self.begin_warm_up(now),
            EndpointStatus::Suspect { .. } => {
                self.status = match self.warm_up_started {
                    Some(since) if now < since + warm_up => EndpointStatus::WarmingUp { since },
                    _ => EndpointStatus::Ready,
                };
            }
            // Only a command ends a drain or undoes a removal.
            EndpointStatus::WarmingUp { .. }
            | EndpointStatus::Ready
            | EndpointStatus::Draining { .. }
            | EndpointStatus::Removed { .. } => {}
        }
    }

    /// Silence and errors must repeat before they eject an endpoint.
    fn on_unhealthy(&mut self, now: Timestamp) {
        match self.status {
            EndpointStatus::WarmingUp { .. } | EndpointStatus::Ready => {
                self.status = EndpointStatus::Suspect { consecutive_errors: 1 };
            }
            EndpointStatus::Suspect { consecutive_errors } => {
                let consecutive_errors = consecutive_errors + 1;
                if consecutive_errors >= MAX_CONSECUTIVE_ERRORS {
                    self.eject(now);
                } else {
                    self.status = EndpointStatus::Suspect { consecutive_errors };
                }
            }
            EndpointStatus::Ejected { .. } => self.postpone_readmission(now),
            EndpointStatus::Joining | EndpointStatus::Draining { .. } | EndpointStatus::Removed { .. } => {}
        }
    }

    /// A refused connection shows that the process has ended, so it ejects at once.
    fn on_connection_refused(&mut self, now: Timestamp) {
        match self.status {
            EndpointStatus::WarmingUp { .. } | EndpointStatus::Ready | EndpointStatus::Suspect { .. } => {
                self.eject(now)
            }
            EndpointStatus::Ejected { .. } => self.postpone_readmission(now),
            EndpointStatus::Joining | EndpointStatus::Draining { .. } | EndpointStatus::Removed { .. } => {}
        }
    }

    fn eject(&mut self, now: Timestamp) {
        self.postpone_readmission(now);
        self.ejections = self.ejections.saturating_add(1);
    }

    fn postpone_readmission(&mut self, now: Timestamp) {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let readmission_due = now + BASE_EJECTION_TIME * 2_u32.pow(doublings);
        self.status = EndpointStatus::Ejected { readmission_due };
    }

    /// Takes requests as an endpoint with an empty cache.
    pub(crate) fn begin_warm_up(&mut self, now: Timestamp) {
        self.warm_up_started = Some(now);
        self.returned = now;
        self.status = EndpointStatus::WarmingUp { since: now };
    }

    pub(crate) fn on_time(&mut self, now: Timestamp, warm_up: Duration) {
        if let EndpointStatus::WarmingUp { since } = self.status {
            if now >= since + warm_up {
                self.status = EndpointStatus::Ready;
                self.warm_up_started = None;
            }
        }
        if self.takes_requests() && now >= self.returned + EJECTION_COUNT_RESET {
            self.ejections = 0;
        }
    }

    pub(crate) fn attempt_started(&mut self, kind: AttemptKind) {
        self.in_flight = self.in_flight.saturating_add(1);
        if kind == AttemptKind::NonIdempotent {
            self.non_idempotent_in_flight = self.non_idempotent_in_flight.saturating_add(1);
        }
    }

    pub(crate) fn attempt_ended(&mut self, kind: AttemptKind) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if kind == AttemptKind::NonIdempotent {
            self.non_idempotent_in_flight = self.non_idempotent_in_flight.saturating_sub(1);
        }
    }
}
