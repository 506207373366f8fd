//! The periodic check of all connections: closes those that are idle for too long, blocked or no
//! longer needed.

use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer};
use crate::Server;
use std::time::Duration;

/// Interval between two checks of all connections.
pub(crate) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// A connection is closed if its peer accepts none of the waiting output for this long.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

impl Server {
    /// Does the periodic work: opens sockets that could not be bound before, enforces limits shared
    /// during a handover, and checks all connections.
    pub(crate) fn on_housekeeping_timer(&mut self) {
        self.timers.set(self.now + HOUSEKEEPING_INTERVAL, Timer::Housekeeping);
        self.open_admin_listener();
        self.take_over_dns();
        if self.handover.predecessor.is_none() && !self.lifecycle.is_replaced() {
            self.open_cluster_socket();
        }
        self.leave_resources();
        // The two processes of a handover share the descriptor limit, so connections above it are
        // evicted.
        let shares_limits = self.handover.limits_shared;
        while shares_limits && self.client_count > self.max_client_connections() && self.evict_client() {}
        self.run_housekeeping();
        self.timers.shrink();
    }

    /// Checks all connections, and closes those whose check asks for it.
    pub(crate) fn run_housekeeping(&mut self) {
        let tokens: Vec<ConnectionToken> = self.connections.iter().map(|(token, _)| token).collect();
        for token in tokens {
            let Some(mut connection) = self.connections.take(token) else { continue };
            let action = self.check_connection(token, &mut connection);
            self.restore(token, connection, action);
        }
    }

    fn check_connection(
        &mut self,
        token: ConnectionToken,
        connection: &mut ConnectionKind,
    ) -> ConnectionAction {
        match connection {
            ConnectionKind::Client(client) => self.client_housekeeping(token, client),
            ConnectionKind::Endpoint(endpoint) => self.endpoint_housekeeping(endpoint),
            ConnectionKind::Feed(feed) => self.feed_housekeeping(feed),
            ConnectionKind::DnsTcp(dns) => self.dns_housekeeping(dns),
            ConnectionKind::Admin(admin) => self.admin_housekeeping(admin),
            ConnectionKind::Successor(peer) => self.successor_housekeeping(peer),
            ConnectionKind::Listener(_)
            | ConnectionKind::Signal { .. }
            | ConnectionKind::DnsUdp(_)
            | ConnectionKind::DnsListener(_)
            | ConnectionKind::Resolver(_)
            | ConnectionKind::AdminListener(_)
            | ConnectionKind::Rendezvous(_)
            | ConnectionKind::Predecessor(_)
            | ConnectionKind::Cluster(_) => ConnectionAction::Keep,
        }
    }
}
