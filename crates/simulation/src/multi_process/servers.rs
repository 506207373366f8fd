//! The stand-in servers' side of the endpoint protocol: routers' requests, and the model's answers.

use super::connections::{Connection, ConnectionRole};
use super::error::Operation;
use super::{Driver, MultiProcessError};
use crate::endpoint_feed::{endpoint_event, endpoint_feed_delay, endpoint_line};
use crate::load::ObjectCatalogue;
use crate::model::{Attempt, AttemptResult, ListedState, ModelEvent, Server, ServerState};
use crate::objects::{copy_digest, ChunkKey};
use crate::{Time, MS};
use hollymux_protocol::resp::{find_field, push_array_header, push_bulk_length, push_bulk_string, Frame};
use mio::net::TcpListener;

/// A router's attempt that a server is processing.
pub(super) struct AttemptInFlight {
    /// The token of the connection that the attempt arrived on.
    token: usize,
    /// The id of the attempt on the wire.
    wire_id: Vec<u8>,
}

/// The fields of a request on the wire, as text `name=value,...`.
struct RequestFields<'a>(&'a [u8]);

impl<'a> RequestFields<'a> {
    /// The text of a field; `None` if the request lacks it. A value that is not UTF-8 counts as
    /// empty.
    fn get(&self, name: &str) -> Option<&'a str> {
        find_field(self.0, name).map(|value| std::str::from_utf8(value).unwrap_or_default())
    }

    fn text(&self, name: &str) -> &'a str {
        self.get(name).unwrap_or_default()
    }

    fn has_hint(&self, name: &str) -> bool {
        self.text("hints").split('+').any(|hint| hint == name)
    }
}

fn parse_hex(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_default()
}

impl Driver {
    /// Processes a frame that a router sent to a server.
    pub(super) fn on_server_frame(&mut self, token: usize, server: usize, frame: &Frame) {
        let word = |index: usize| frame.words.get(index).map_or(&[][..], Vec::as_slice);
        let wire_id = word(1);
        match word(0) {
            b"ASK" => self.on_router_attempt(token, server, wire_id, &RequestFields(word(2))),
            b"QUIT" => {
                if let Some(id) = self.remove_open(token, wire_id) {
                    self.cancel_router_attempt(id);
                }
            }
            b"NOOP" | b"INFO" => self.answer_probe(token, server, wire_id),
            _ => self.close(token),
        }
    }

    fn answer_probe(&mut self, token: usize, server: usize, wire_id: &[u8]) {
        let health: &[u8] = if self.model.is_healthy(server) { b"well" } else { b"ill" };
        let mut out = Vec::new();
        push_array_header(&mut out, 2);
        push_bulk_string(&mut out, wire_id);
        push_bulk_string(&mut out, health);
        self.write(token, &out);
    }

    fn on_router_attempt(&mut self, token: usize, server: usize, wire_id: &[u8], fields: &RequestFields<'_>) {
        let id = self.next_attempt_id;
        self.next_attempt_id += 1;
        self.counters.attempts += 1;
        if let Some(Connection { role: ConnectionRole::Server { open, .. }, .. }) =
            self.connections.get_mut(&token)
        {
            open.insert(wire_id.to_vec(), id);
        }
        self.attempts.insert(id, AttemptInFlight { token, wire_id: wire_id.to_vec() });
        let source_uid = fields.get("parent");
        let fill_source =
            source_uid.and_then(|uid| self.model.servers.iter().position(|server| server.uid == uid));
        if source_uid.is_some() && fill_source.is_none() {
            // The attempt names a fill source that has left the endpoint list.
            return self.model.reject(id);
        }
        let attempt = self.model_attempt(wire_id, fields, fill_source);
        self.model.start_attempt(self.now, id, server, attempt);
    }

    fn model_attempt(
        &self,
        wire_id: &[u8],
        fields: &RequestFields<'_>,
        fill_source: Option<usize>,
    ) -> Attempt {
        let class_name = fields.text("profile");
        let class = self.scenario.classes.iter().position(|class| class.name == class_name);
        let class = class.unwrap_or_default();
        let key = ChunkKey {
            object: parse_hex(fields.text("thing")),
            chunk: fields.text("nth").parse().unwrap_or_default(),
        };
        let max_age_ms = fields.text("accept").parse::<Time>().ok().filter(|age| *age > 0);
        Attempt {
            class,
            key,
            group: ObjectCatalogue::group(key.object),
            bytes: self.clients.catalogue.chunk_bytes(class, key),
            rid: parse_hex(&String::from_utf8_lossy(wire_id)),
            max_age: max_age_ms.map(|age| age * MS),
            retention: fields.text("shelf").parse().unwrap_or(0),
            fill_source,
            coalesce: fields.has_hint("coalesce"),
            only_if_cached: fields.has_hint("shallow"),
        }
    }

    pub(super) fn cancel_router_attempt(&mut self, id: u64) {
        self.attempts.remove(&id);
        self.model.cancel_attempt(self.now, id);
    }

    /// Removes an attempt from those that are open on a connection, and returns its id in the
    /// model; `None` if it was not open.
    fn remove_open(&mut self, token: usize, wire_id: &[u8]) -> Option<u64> {
        match &mut self.connections.get_mut(&token)?.role {
            ConnectionRole::Server { open, .. } => open.remove(wire_id),
            _ => None,
        }
    }

    pub(super) fn on_model_event(&mut self, event: ModelEvent) -> Result<(), MultiProcessError> {
        match event {
            ModelEvent::Answered { id, result, bytes } => self.answer_router(id, result, bytes as usize),
            ModelEvent::StateChanged { server, state } => self.on_server_state(server, state)?,
            ModelEvent::EndpointChanged { server, listed, state } => {
                self.publish_endpoint(server, &listed, state);
            }
            ModelEvent::Purged(purge) => self.publish_purge(&purge),
        }
        Ok(())
    }

    fn answer_router(&mut self, id: u64, result: AttemptResult, body_bytes: usize) {
        let Some(AttemptInFlight { token, wire_id }) = self.attempts.remove(&id) else { return };
        self.remove_open(token, &wire_id);
        let (word, fields) = match result {
            AttemptResult::Served(dated) => {
                ("data", format!("digest={},dated={}", copy_digest(dated), dated / MS))
            }
            AttemptResult::Miss => ("absent", String::new()),
            AttemptResult::AtCapacity => ("full", String::new()),
            AttemptResult::Failed => ("failed", String::new()),
        };
        let mut out = Vec::new();
        push_array_header(&mut out, 4);
        push_bulk_string(&mut out, &wire_id);
        push_bulk_string(&mut out, word.as_bytes());
        push_bulk_string(&mut out, fields.as_bytes());
        push_bulk_length(&mut out, body_bytes);
        out.resize(out.len() + body_bytes, 0);
        out.extend_from_slice(b"\r\n");
        self.write(token, &out);
    }

    fn publish_endpoint(&mut self, server: usize, listed: &Server, state: ListedState) {
        let line = endpoint_line(&self.scenario, listed, self.endpoints[server], state);
        let at = self.now + endpoint_feed_delay(&self.scenario, self.now - self.start);
        self.model.endpoint_known_at(server, state, at);
        self.feed.publish(at, |number| endpoint_event(number, &line));
    }

    /// Opens, closes or silences the connections of a server when its state changes.
    fn on_server_state(&mut self, server: usize, state: ServerState) -> Result<(), MultiProcessError> {
        match state {
            ServerState::Down => {
                self.close_server_connections(server, |_| true);
                // Without a listener, new connections are refused.
                if let Some(listener) = self.server_listener(server) {
                    self.connections.remove(&listener);
                }
            }
            ServerState::Unreachable => {
                for token in self.server_connections(server, |_| true) {
                    if let Some(connection) = self.connections.get_mut(&token) {
                        connection.silent = true;
                    }
                }
            }
            ServerState::Up => {
                // Connections that were silent are reset when the server is reachable again.
                self.close_server_connections(server, |connection| connection.silent);
                if self.server_listener(server).is_none() {
                    let listener = TcpListener::bind(self.endpoints[server]);
                    let listener = listener.during("listen for a server again")?;
                    self.add_connection(ConnectionRole::ServerListener { listener, server }, None)?;
                }
            }
        }
        Ok(())
    }

    fn server_listener(&self, server: usize) -> Option<usize> {
        let listens = |connection: &Connection| match connection.role {
            ConnectionRole::ServerListener { server: of, .. } => of == server,
            _ => false,
        };
        let listener = self.connections.iter().find(|(_, connection)| listens(connection));
        listener.map(|(token, _)| *token)
    }

    fn server_connections(&self, server: usize, which: impl Fn(&Connection) -> bool) -> Vec<usize> {
        let belongs = |connection: &Connection| {
            matches!(&connection.role, ConnectionRole::Server { server: of, .. } if *of == server)
                && which(connection)
        };
        let connections = self.connections.iter().filter(|(_, connection)| belongs(connection));
        connections.map(|(token, _)| *token).collect()
    }

    fn close_server_connections(&mut self, server: usize, which: impl Fn(&Connection) -> bool) {
        self.server_connections(server, which).into_iter().for_each(|token| self.close(token));
    }
}
