//! One endpoint of the registry: its status, and the status transitions caused by health signals
//! and by the passing of time.

use hollymux_decision::{EndpointState, Timestamp};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of consecutive unhealthy signals that ejects an endpoint.
const MAX_CONSECUTIVE_ERRORS: u32 = 3;
/// Time from an ejection until readmission is due. It doubles with every ejection until the
/// endpoint has stayed in rotation for [`EJECTION_COUNT_RESET`].
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Upper bound on the doublings of [`BASE_EJECTION_TIME`].
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Time in rotation after which an endpoint's ejection count returns to zero, so that its next
/// ejection lasts for the base time.
const EJECTION_COUNT_RESET: Duration = Duration::from_secs(60);

/// The part that an endpoint has in the site. The order of the variants is the sort order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointRole {
    /// A cache of the site itself, which serves client requests.
    EdgeCache,
    /// A cache from which edge caches fill their misses.
    ParentCache,
    /// The origin, which executes non-idempotent requests.
    Origin,
}

/// The status of an endpoint, which decides whether it gets new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint was added, and no healthy signal has been received from it.
    Joining,
    /// The endpoint takes requests, but its cache is assumed to be mostly empty.
    WarmingUp {
        /// When the endpoint started to warm up.
        since: Timestamp,
    },
    /// The endpoint takes requests and its cache is warm.
    Ready,
    /// The endpoint takes requests, but its last health signals were unhealthy.
    Suspect {
        /// Unhealthy signals since the last healthy one; less than the number that ejects.
        consecutive_errors: u32,
    },
    /// The endpoint failed and takes no requests until a healthy signal readmits it.
    Ejected {
        /// When the endpoint may be tried again. A healthy signal readmits it at any time.
        readmission_due: Timestamp,
    },
    /// An operator's command drains the endpoint: it takes no new requests, and finishes those in
    /// flight.
    Draining {
        /// When the drain command was executed.
        since: Timestamp,
    },
    /// The endpoint was removed or replaced. It is kept so that its id isn't used again.
    Removed {
        /// When the endpoint was removed or replaced.
        at: Timestamp,
    },
}

/// The properties of an endpoint that an operator gives when adding it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// The endpoint's unique id. It must not be the id of a present or a remembered removed
    /// endpoint.
    pub uid: String,
    /// The address and port on which the endpoint listens.
    pub addr: SocketAddr,
    /// The endpoint's part in the site.
    pub role: EndpointRole,
}

/// What the result of an attempt or a probe says about an endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The endpoint answered a probe successfully, or served a request.
    Healthy,
    /// The endpoint answered a probe with an error, or did not answer in time.
    Unhealthy,
    /// The endpoint's address refused a connection, which means that the process has ended.
    ConnectionRefused,
}

/// Whether an attempt may be retried at another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The request may be executed more than once, so the attempt may be retried.
    Idempotent,
    /// The request must not be executed twice. Only the endpoint of the attempt knows whether it
    /// was executed.
    NonIdempotent,
}

/// The registry's record of one endpoint: the operator's specification, the status, the counts of
/// attempts in flight, and the times and the ejection count on which status transitions depend.
///
/// Only the registry changes the record: the status on an operator's command, a health signal or
/// the passing of time, and the counts of attempts when an attempt starts or ends. The
/// specification never changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredEndpoint {
    /// The properties that the operator gave when adding the endpoint.
    pub spec: EndpointSpec,
    /// The endpoint's current status.
    pub status: EndpointStatus,
    /// Number of attempts in flight at the endpoint, idempotent ones included.
    pub in_flight: u32,
    /// Number of non-idempotent attempts in flight, which are also counted in `in_flight`.
    pub non_idempotent_in_flight: u32,
    /// When the endpoint last started to warm up; `None` before its first warm-up and after a
    /// completed one.
    warm_up_started: Option<Timestamp>,
    /// Ejections since the endpoint last stayed in rotation for [`EJECTION_COUNT_RESET`].
    ejections: u32,
    /// When the endpoint was added or last returned to rotation.
    in_rotation_since: Timestamp,
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
            in_rotation_since: now,
        }
    }

    /// Whether the router may send new requests to the endpoint.
    pub fn takes_requests(&self) -> bool {
        matches!(
            self.status,
            EndpointStatus::WarmingUp { .. } | EndpointStatus::Ready | EndpointStatus::Suspect { .. }
        )
    }

    /// Whether the endpoint was removed or replaced and is kept only so that its id isn't used
    /// again.
    pub fn is_removed(&self) -> bool {
        matches!(self.status, EndpointStatus::Removed { .. })
    }

    /// The endpoint's state in the endpoint list for the decision module. An ejected endpoint is
    /// listed as ready, since the decision module sends recovery probes by its own rules.
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
            // The endpoint may have restarted while no signals came from it, so its cache may be
            // empty.
            EndpointStatus::Joining | EndpointStatus::Ejected { .. } => self.begin_warm_up(now),
            EndpointStatus::Suspect { .. } => {
                self.status = match self.warm_up_started {
                    Some(since) if now < since + warm_up => EndpointStatus::WarmingUp { since },
                    _ => EndpointStatus::Ready,
                };
            }
            // Only a command ends a drain, and nothing brings a removed endpoint back.
            EndpointStatus::WarmingUp { .. }
            | EndpointStatus::Ready
            | EndpointStatus::Draining { .. }
            | EndpointStatus::Removed { .. } => {}
        }
    }

    /// Errors and timeouts must be consecutive before they eject an endpoint.
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

    /// A refused connection ejects the endpoint at once, since it shows that the process has ended.
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

    /// Puts the endpoint into rotation, with a cache that is assumed to be empty.
    pub(crate) fn begin_warm_up(&mut self, now: Timestamp) {
        self.warm_up_started = Some(now);
        self.in_rotation_since = now;
        self.status = EndpointStatus::WarmingUp { since: now };
    }

    pub(crate) fn on_time(&mut self, now: Timestamp, warm_up: Duration) {
        if let EndpointStatus::WarmingUp { since } = self.status {
            if now >= since + warm_up {
                self.status = EndpointStatus::Ready;
                self.warm_up_started = None;
            }
        }
        if self.takes_requests() && now >= self.in_rotation_since + EJECTION_COUNT_RESET {
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
