//! Connections to endpoints (edge caches, parent caches and the origin): pooling and dialing them,
//! writing attempts and probes, and reading the responses. The router decides which endpoint an
//! attempt goes to; this module decides only which connection carries it.

mod attempts;
mod connection;
mod dialing;
mod stopping;
#[cfg(test)]
mod tests;

use crate::event_loop::{ConnectionKind, ConnectionToken};
use crate::server::RESERVED_DESCRIPTORS;
use crate::Server;
pub(crate) use connection::EndpointConnection;
use hollymux_decision::EndpointId;
use hollymux_router::AttemptId;
use std::collections::HashMap;
use std::time::Duration;

/// Longest time between the decision to send a message and its first written byte. An older message
/// is not sent. [`Server::max_queue_time`] shortens the limit where a drain or purge grace time is
/// shorter: a message sent after such a grace time must have been decided with the drain or purge
/// known.
pub(crate) const MAX_QUEUE_TIME: Duration = Duration::from_millis(200);
/// Part of a drain or purge grace time that is reserved for transmission to the endpoint.
const GRACE_TRANSIT_TIME: Duration = Duration::from_millis(50);
/// Lower bound of [`Server::max_queue_time`], however short the grace times are.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(10);
/// Maximum number of open connections to one endpoint, including those still connecting.
const MAX_CONNECTIONS_PER_ENDPOINT: usize = 32;

/// The connection pools of all endpoints, and the attempts that are open on them.
#[derive(Default)]
pub(crate) struct EndpointConnections {
    /// Pools by endpoint. An endpoint has none before its first dial and after its removal.
    pools: HashMap<EndpointId, ConnectionPool>,
    /// The connection that carries each attempt without a response.
    attempts: HashMap<AttemptId, ConnectionToken>,
    /// Number of open connections to endpoints, including those of endpoints that have been
    /// removed.
    pub(crate) connection_count: usize,
}

impl EndpointConnections {
    /// The tokens of all open connections to an endpoint; empty if it has no pool.
    fn tokens(&self, endpoint: EndpointId) -> &[ConnectionToken] {
        self.pools.get(&endpoint).map_or(&[], |pool| &pool.tokens)
    }
}

/// The open connections to one endpoint, including those still connecting.
#[derive(Default)]
struct ConnectionPool {
    tokens: Vec<ConnectionToken>,
    /// Shortest time in which a connection to this endpoint was established; `None` before the
    /// first.
    fastest_connect: Option<Duration>,
}

impl Server {
    /// Longest time that a message may be queued before its first byte is written: see
    /// [`MAX_QUEUE_TIME`].
    fn max_queue_time(&self) -> Duration {
        let settings = self.router.settings();
        let grace_times = [settings.drain_grace, settings.purge_slack];
        let configured = grace_times.into_iter().filter(|grace| !grace.is_zero());
        configured
            .map(|grace| grace.saturating_sub(GRACE_TRANSIT_TIME).max(MIN_QUEUE_TIME))
            .fold(MAX_QUEUE_TIME, Duration::min)
    }

    /// Maximum number of descriptors used for connections to endpoints: half of this process's
    /// descriptors, or two thirds of them less [`RESERVED_DESCRIPTORS`] if that is fewer. A process
    /// that was replaced uses what its clients leave.
    pub(crate) fn max_endpoint_connections(&self) -> usize {
        let descriptors = self.max_descriptors();
        if self.keeps_only_its_connections() {
            return descriptors.saturating_sub(RESERVED_DESCRIPTORS + self.client_count);
        }
        let two_thirds = descriptors - descriptors / 3;
        two_thirds.saturating_sub(RESERVED_DESCRIPTORS).min(descriptors / 2)
    }

    /// Closes the established connections without requests, but for this many.
    pub(crate) fn close_unused_endpoint_connections(&mut self, spare: usize) {
        let is_unused = |connection: &ConnectionKind| match connection {
            ConnectionKind::Endpoint(endpoint) => endpoint.is_established() && endpoint.is_unused(),
            _ => false,
        };
        let unused = self.connections.iter().filter(|(_, connection)| is_unused(connection)).count();
        for _ in spare..unused {
            self.evict_endpoint_connection();
        }
    }

    /// Closes the established connection that has been unused longest, to free a descriptor for a
    /// connection to another endpoint. Returns false if every connection is in use.
    fn evict_endpoint_connection(&mut self) -> bool {
        let victim = self.connections.lowest_ranked(|connection| match connection {
            ConnectionKind::Endpoint(endpoint) if endpoint.is_established() && endpoint.is_unused() => {
                Some(endpoint.last_used)
            }
            _ => None,
        });
        if let Some(token) = victim {
            self.close(token);
        }
        victim.is_some()
    }
}
