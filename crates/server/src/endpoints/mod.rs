//! Connections to endpoints: edge caches, parent caches and the origin. Which endpoint an attempt
//! goes to is decided by the router; here it is given a connection, written, and its response read.

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

/// A message that was not begun to be written this long after it was decided is not sent; less
/// where the grace times for drains and purges are shorter: what goes out after such a grace time
/// must have been decided after the drain or purge was known.
pub(crate) const MAX_QUEUE_TIME: Duration = Duration::from_millis(200);
/// This much of a grace time is left for the way to the endpoint.
const GRACE_TRANSIT_TIME: Duration = Duration::from_millis(50);
/// Messages may wait this long however short a grace time is.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(10);
/// Connections to one endpoint.
const MAX_CONNECTIONS_PER_ENDPOINT: usize = 32;

/// All connections to endpoints, and what is under way on them.
#[derive(Default)]
pub(crate) struct EndpointConnections {
    pools: HashMap<EndpointId, ConnectionPool>,
    /// The connection that each open attempt is on.
    attempts: HashMap<AttemptId, ConnectionToken>,
    /// Connections in all pools, and those of endpoints that are gone.
    pub(crate) connection_count: usize,
}

impl EndpointConnections {
    /// The connections to an endpoint.
    fn tokens(&self, endpoint: EndpointId) -> &[ConnectionToken] {
        self.pools.get(&endpoint).map_or(&[], |pool| &pool.tokens)
    }
}

/// The connections to one endpoint.
#[derive(Default)]
struct ConnectionPool {
    tokens: Vec<ConnectionToken>,
    /// The least time that a connection took to be established.
    fastest_connect: Option<Duration>,
}

impl Server {
    /// How long a message may wait until it begins to be written.
    fn max_queue_time(&self) -> Duration {
        let settings = self.router.settings();
        let grace_times = [settings.drain_grace, settings.purge_slack];
        let set = grace_times.into_iter().filter(|grace| !grace.is_zero());
        set.map(|grace| grace.saturating_sub(GRACE_TRANSIT_TIME).max(MIN_QUEUE_TIME))
            .fold(MAX_QUEUE_TIME, Duration::min)
    }

    /// The number of descriptors for connections to endpoints: at most half of all, and less than
    /// two thirds without the reserved ones.
    pub(crate) fn max_endpoint_connections(&self) -> usize {
        let descriptors = self.max_descriptors();
        let two_thirds = descriptors - descriptors / 3;
        two_thirds.saturating_sub(RESERVED_DESCRIPTORS).min(descriptors / 2)
    }

    /// Closes the connection that has been unused longest, because another endpoint needs its
    /// descriptor; returns whether there was one.
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
