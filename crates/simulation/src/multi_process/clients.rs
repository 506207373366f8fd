//! Clients' connections to the routers, and the client protocol on them.

use super::connections::{Connection, ConnectionRole};
use super::{Driver, MultiProcessError};
use crate::load::{ClientAttempt, ClientOutcome};
use crate::objects::copy_age;
use crate::MS;
use hollymux_protocol::resp::{find_field, parse_decimal, push_array_header, push_bulk_string, Frame};
use mio::net::TcpStream;
use std::collections::BTreeMap;

/// Maximum number of open attempts on one connection.
const MAX_OPEN_PER_CONNECTION: usize = 24;
/// Number of connections to one router from which on attempts share connections; more are opened
/// only when all of them are full.
const MAX_CONNECTIONS_PER_ROUTER: usize = 24;

/// A client's attempt that waits for the router's answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAttempt {
    /// The token of the connection that the attempt was sent on.
    token: usize,
    /// The tag that identifies the attempt on its connection.
    tag: u64,
}

impl Driver {
    pub(super) fn send_client_attempt(&mut self, attempt: &ClientAttempt) -> Result<(), MultiProcessError> {
        let router = self.scenario.router_index(attempt.site, attempt.router);
        let token = match self.usable_connection(router) {
            Some(token) => token,
            None => match TcpStream::connect(self.routers[router].address) {
                Ok(stream) => self.add_client_connection(router, stream)?,
                Err(_) => {
                    self.clients.on_answer(self.now, attempt.id, ClientOutcome::ConnectionLost);
                    return Ok(());
                }
            },
        };
        let mut out = Vec::new();
        if let Some(tag) = self.open_on_connection(token, attempt.id) {
            self.encode_request(&mut out, tag, attempt);
        }
        self.write(token, &out);
        Ok(())
    }

    /// Chooses the connection to a router that has the fewest open attempts; `None` if a new
    /// connection should be opened instead. Connections are only shared by attempts once their
    /// maximum number is open.
    fn usable_connection(&self, router: usize) -> Option<usize> {
        let load = |token: &usize| match self.connections.get(token).map(|connection| &connection.role) {
            Some(ConnectionRole::Client { open, .. }) => open.len(),
            _ => usize::MAX,
        };
        let connections = &self.routers[router].connections;
        let least_loaded = connections.iter().copied().min_by_key(load)?;
        let open = load(&least_loaded);
        let may_open_another = connections.len() < MAX_CONNECTIONS_PER_ROUTER;
        let usable = open == 0 || (open < MAX_OPEN_PER_CONNECTION && !may_open_another);
        usable.then_some(least_loaded)
    }

    fn add_client_connection(
        &mut self,
        router: usize,
        stream: TcpStream,
    ) -> Result<usize, MultiProcessError> {
        let role = ConnectionRole::Client { router, open: BTreeMap::new(), next_tag: 1 };
        let token = self.add_connection(role, Some(stream))?;
        self.routers[router].connections.push(token);
        Ok(token)
    }

    /// Records an attempt as open on a connection and returns its tag; `None` if the connection no
    /// longer exists.
    fn open_on_connection(&mut self, token: usize, id: u64) -> Option<u64> {
        let Connection { role, .. } = self.connections.get_mut(&token)?;
        let ConnectionRole::Client { open, next_tag, .. } = role else { return None };
        let tag = *next_tag;
        *next_tag += 1;
        open.insert(tag, id);
        self.open.insert(id, OpenAttempt { token, tag });
        Some(tag)
    }

    fn encode_request(&self, out: &mut Vec<u8>, tag: u64, attempt: &ClientAttempt) {
        let ClientAttempt { rid, timeout_ms, key, group, .. } = attempt;
        let fields = format!(
            "rid={rid:016x},budget={timeout_ms},obj={:016x},piece={},lot={group}",
            key.object, key.chunk
        );
        push_array_header(out, 5);
        push_bulk_string(out, b"DO");
        push_bulk_string(out, tag.to_string().as_bytes());
        push_bulk_string(out, self.scenario.classes[attempt.class].name.as_bytes());
        push_bulk_string(out, fields.as_bytes());
        push_bulk_string(out, b"");
    }

    /// Sends UNDO for an attempt whose client stopped waiting.
    pub(super) fn cancel_client_attempt(&mut self, id: u64) {
        let Some(OpenAttempt { token, tag }) = self.open.remove(&id) else { return };
        if let Some(Connection { role: ConnectionRole::Client { open, .. }, .. }) =
            self.connections.get_mut(&token)
        {
            open.remove(&tag);
        }
        let mut out = Vec::new();
        push_array_header(&mut out, 2);
        push_bulk_string(&mut out, b"UNDO");
        push_bulk_string(&mut out, tag.to_string().as_bytes());
        self.write(token, &out);
    }

    /// Processes a router's answer to a client.
    pub(super) fn on_client_frame(&mut self, token: usize, frame: &Frame) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let ConnectionRole::Client { open, .. } = &mut connection.role else { return };
        let word = |index: usize| frame.words.get(index).map_or(&[][..], Vec::as_slice);
        let Some(id) = parse_decimal(word(0)).and_then(|tag| open.remove(&tag)) else {
            // Either the client stopped waiting before the router read its UNDO, or this is a
            // second answer; the two can't be told apart here.
            return;
        };
        self.open.remove(&id);
        let fields = word(2);
        let outcome = match word(1) {
            b"good" => ClientOutcome::Served { age: copy_age(self.now, find_field(fields, "ver")) },
            b"refused" => {
                let retry_after_ms = find_field(fields, "backoff").and_then(parse_decimal).unwrap_or(0);
                ClientOutcome::Rejected { retry_after: retry_after_ms * MS }
            }
            _ => ClientOutcome::Failed,
        };
        self.clients.on_answer(self.now, id, outcome);
    }
}
