//! What happens to connections and queued attempts when an endpoint drains or is removed.

use super::attempts::{OutgoingMessage, QueuedAttempt};
use super::EndpointConnection;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_decision::EndpointId;
use hollymux_router::AttemptId;

impl Server {
    /// Called when an endpoint drains: its connections accept no further requests, and queued
    /// attempts that go to it or name it as fill source are withdrawn.
    pub(crate) fn stop_sending(&mut self, endpoint: EndpointId) {
        for token in self.endpoints.tokens(endpoint).to_vec() {
            if let Some(ConnectionKind::Endpoint(connection)) = self.connections.get_mut(token) {
                connection.draining = true;
            }
        }
        self.withdraw_attempts_of(endpoint);
    }

    /// Called when an endpoint is removed: closes its connections and withdraws the queued attempts
    /// that name it as fill source.
    pub(crate) fn close_connections(&mut self, endpoint: EndpointId) {
        for token in self.endpoints.tokens(endpoint).to_vec() {
            self.close(token);
        }
        self.endpoints.pools.remove(&endpoint);
        self.withdraw_attempts_of(endpoint);
    }

    /// Withdraws the queued attempts that go to an endpoint or name it as fill source.
    fn withdraw_attempts_of(&mut self, endpoint: EndpointId) {
        for token in self.endpoint_tokens() {
            let Some(mut connection) = self.connections.take_endpoint(token) else {
                continue;
            };
            for attempt in connection.unsent_attempts_of(endpoint) {
                self.withdraw_attempt(&mut connection, attempt);
            }
            self.restore(token, ConnectionKind::Endpoint(connection), ConnectionAction::Keep);
        }
    }

    fn endpoint_tokens(&self) -> Vec<ConnectionToken> {
        let is_endpoint = |connection: &ConnectionKind| matches!(connection, ConnectionKind::Endpoint(_));
        let endpoints = self.connections.iter().filter(|(_, connection)| is_endpoint(connection));
        endpoints.map(|(token, _)| token).collect()
    }
}

impl EndpointConnection {
    /// The queued attempts, not partly written, that go to an endpoint or name it as fill source.
    fn unsent_attempts_of(&self, endpoint: EndpointId) -> Vec<AttemptId> {
        let concerns =
            |attempt: &QueuedAttempt| self.endpoint == endpoint || attempt.source == Some(endpoint);
        let unsent = self.queue.iter().filter_map(OutgoingMessage::unsent_attempt);
        unsent.filter(concerns).map(|attempt| attempt.id).collect()
    }
}
