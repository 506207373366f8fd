//! The endpoint feeds of the routers: server-sent events in the order in which they were published.

use super::connections::ConnectionRole;
use super::Driver;
use crate::event_queue::EventQueue;
use crate::{Time, SEC};
use std::net::SocketAddr;

/// Interval of the comments that keep the feeds' connections alive.
const HEARTBEAT_INTERVAL: Time = SEC;
/// Number of the first event, the initial endpoint list, which the routers' configuration contains.
const INITIAL_EVENT: usize = 1;

/// The state of the endpoint feed; all routers receive the same events.
pub(super) struct EndpointFeed {
    /// The address of each router's feed, by the router's index.
    pub addresses: Vec<SocketAddr>,
    /// The token of each router's feed connection; `None` while it has none.
    connections: Vec<Option<usize>>,
    /// The text of all published events except the initial one, oldest first.
    events: Vec<String>,
    /// The times at which events become due; the value is the number of events due by then.
    due: EventQueue<usize>,
    /// The number of events that were sent.
    sent: usize,
    heartbeat_sent: Time,
}

impl EndpointFeed {
    pub fn new(routers: usize) -> EndpointFeed {
        EndpointFeed {
            addresses: Vec::new(),
            connections: vec![None; routers],
            events: Vec::new(),
            due: EventQueue::default(),
            sent: 0,
            heartbeat_sent: 0,
        }
    }

    pub fn due(&self) -> Option<Time> {
        self.due.due()
    }

    /// Publishes an event, made from its number, that is sent at the given time.
    pub fn publish(&mut self, at: Time, event: impl FnOnce(u64) -> String) {
        let number = (self.events.len() + 1 + INITIAL_EVENT) as u64;
        self.events.push(format!("id: {number}\ndata: {}\n\n", event(number)));
        self.due.push(at, self.events.len());
    }

    /// Records that a router's feed connection was closed.
    pub fn on_closed(&mut self, router: usize, token: usize) {
        if self.connections[router] == Some(token) {
            self.connections[router] = None;
        }
    }

    /// Returns the text of the events that are due. Events keep their order: an event that becomes
    /// due also releases all events before it.
    fn take_due(&mut self, now: Time) -> String {
        let from = self.sent;
        while let Some((_, count)) = self.due.pop_due(now) {
            self.sent = self.sent.max(count);
        }
        self.events[from..self.sent].concat()
    }
}

impl Driver {
    /// Collects the head of a router's request for its feed, and answers the request once the head
    /// is complete.
    pub(super) fn on_feed_bytes(&mut self, token: usize, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let ConnectionRole::Feed { router, opened, head } = &mut connection.role else { return };
        head.extend_from_slice(bytes);
        if !*opened && head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            *opened = true;
            let router = *router;
            let head = String::from_utf8_lossy(head).to_string();
            self.open_feed(token, router, &head);
        }
    }

    /// Answers a router's request for its feed with the events that it has not received yet.
    fn open_feed(&mut self, token: usize, router: usize, head: &str) {
        let last_event = head.lines().find_map(|line| line.strip_prefix("Last-Event-ID: "));
        let last_event = last_event.and_then(|id| id.trim().parse::<usize>().ok());
        let seen = last_event.unwrap_or(INITIAL_EVENT).saturating_sub(INITIAL_EVENT);
        let mut answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".to_vec();
        for event in self.feed.events[..self.feed.sent].iter().skip(seen) {
            answer.extend_from_slice(event.as_bytes());
        }
        self.feed.connections[router] = Some(token);
        self.write(token, &answer);
    }

    /// Sends the events that are due, and heartbeats.
    pub(super) fn send_feed(&mut self) {
        let text = self.feed.take_due(self.now);
        if !text.is_empty() {
            self.write_to_feeds(&text);
        }
        if self.now > self.feed.heartbeat_sent + HEARTBEAT_INTERVAL {
            self.feed.heartbeat_sent = self.now;
            self.write_to_feeds(": still here\n\n");
        }
    }

    fn write_to_feeds(&mut self, text: &str) {
        for token in self.feed.connections.clone().into_iter().flatten() {
            self.write(token, text.as_bytes());
        }
    }
}
