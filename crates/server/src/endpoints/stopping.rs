//! Endpoints that take no more work, or are gone.

use super::attempts::{OutgoingMessage, QueuedAttempt};
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_decision::EndpointId;
use hollymux_router::AttemptId;

impl Server {
    /// An endpoint takes no more work: nothing that waits is sent to it or names it as source.
    pub(crate) fn stop_sending(&mut self, endpoint: EndpointId) {
        for token in self.endpoints.tokens(endpoint).to_vec() {
            if let Some(ConnectionKind::Endpoint(connection)) = self.connections.get_mut(token) {
                connection.draining = true;
            }
        }
        self.withdraw_attempts_of(endpoint);
    }

    /// An endpoint is no longer there: its connections are closed as well.
    pub(crate) fn close_connections(&mut self, endpoint: EndpointId) {
        for token in self.endpoints.tokens(endpoint).to_vec() {
            self.close(token);
        }
        self.endpoints.pools.remove(&endpoint);
        self.withdraw_attempts_of(endpoint);
    }

    /// Withdraws what waits for an endpoint or names it as source.
    fn withdraw_attempts_of(&mut self, endpoint: EndpointId) {
        for (token, attempts) in self.unsent_attempts_of(endpoint) {
            let Some(ConnectionKind::Endpoint(mut connection)) = self.connections.take(token) else {
                continue;
            };
            for attempt in attempts {
                self.withdraw_attempt(&mut connection, attempt);
            }
            self.restore(token, ConnectionKind::Endpoint(connection), ConnectionAction::Keep);
        }
    }

    fn unsent_attempts_of(&self, endpoint: EndpointId) -> Vec<(ConnectionToken, Vec<AttemptId>)> {
        let mut found = Vec::new();
        for (token, connection) in self.connections.iter() {
            let ConnectionKind::Endpoint(connection) = connection else { continue };
            let concerns =
                |attempt: &QueuedAttempt| connection.endpoint == endpoint || attempt.source == Some(endpoint);
            let unsent = connection.queue.iter().filter_map(OutgoingMessage::unsent_attempt);
            let attempts: Vec<AttemptId> = unsent.filter(concerns).map(|attempt| attempt.id).collect();
            if !attempts.is_empty() {
                found.push((token, attempts));
            }
        }
        found
    }
}
