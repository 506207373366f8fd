//! The connections to the endpoint feed. A call asks for a watch that begins after the last applied
//! event. Once the feed answers it, that connection is the watch, and another call is made when it ends.
//! A call that is not answered for a while may be on its way through a crowded feed, or lost: a second
//! one is made beside it.

use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer};
use crate::sockets::{dial, Stream};
use crate::Server;
use hollymux_decision::time::whole_micros;
use hollymux_decision::Timestamp;
use hollymux_protocol::endpoint_feed::{encode_request, EndpointFeedReader};
use hollymux_router::buffers::BufferChain;
use rand_core::RngCore;
use rustix::event::epoll::EventFlags;
use std::io;
use std::time::Duration;
use tracing::warn;

/// A watch that is silent for this long is considered dead; the feed sends a heartbeat every second. A
/// call without an answer is joined by another one after this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Upper bound of the random time that each connection adds to [`SILENCE_TIMEOUT`], so that not all
/// routers call a failed feed at the same moment.
const SILENCE_JITTER: Duration = Duration::from_millis(600);
/// Maximum number of calls at a time.
const MAX_CALLS: usize = 2;
/// Longest wait for the answer to a call. What the feed has to tell counts as told after 7 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(6_800);
/// First delay before the feed is connected again. The delay doubles after each failure; the time
/// actually waited is between half of it and all of it, at random.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Upper bound of the delay before the feed is connected again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of reads of the feed for one event: all that the kernel's buffers hold of it, so that
/// everything that the feed has told is known before requests are sent.
const MAX_FEED_READS: usize = 2_048;

/// The state of the endpoint feed across its connections.
pub(crate) struct EndpointFeed {
    /// The number of the last applied event; the next connection asks for the events after it.
    last_event: u64,
    /// The open connections: the watch, or calls without an answer, the oldest first. Empty while the
    /// feed is to be called again.
    connections: Vec<ConnectionToken>,
    /// The delay before the last reconnect; zero after a successful read.
    retry_delay: Duration,
    /// When the last event arrived, or the first bytes if there was none; zero before the first
    /// bytes.
    pub(crate) last_update: Timestamp,
}

impl EndpointFeed {
    /// A feed without a connection, whose events up to `last_event` are known.
    pub(crate) fn new(last_event: u64) -> EndpointFeed {
        EndpointFeed {
            last_event,
            connections: Vec::new(),
            retry_delay: Duration::ZERO,
            last_update: Timestamp::ZERO,
        }
    }

    /// The number of the last applied event.
    pub(crate) fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Continues after this event, whose effects and those of all events before it are known. The
    /// next connection asks for the events after it.
    pub(crate) fn resume_after(&mut self, event: u64) {
        self.last_event = event;
    }
}

/// A connection to the endpoint feed, established or not.
pub(crate) struct FeedConnection {
    pub(crate) stream: Stream,
    reader: EndpointFeedReader,
    /// The part of the request that is not written yet.
    output: BufferChain,
    /// When the connection was dialed.
    called_at: Timestamp,
    /// When bytes of the answer were last received; `None` before the first. The head of the response
    /// is no answer yet.
    last_received: Option<Timestamp>,
    /// The time without received bytes after which the connection is dead, or another call is made,
    /// jitter included.
    silence_timeout: Duration,
}

impl Server {
    /// Calls the feed for the events after the last applied one, unless a connection is open.
    pub(crate) fn open_feed(&mut self) {
        if self.feed.connections.is_empty() {
            self.call_feed();
        }
    }

    fn call_feed(&mut self) {
        match self.connect_feed() {
            Ok(token) => self.feed.connections.push(token),
            Err(_) => self.retry_feed(),
        }
    }

    fn connect_feed(&mut self) -> io::Result<ConnectionToken> {
        let request = encode_request(&self.config.feed.to_string(), self.feed.last_event);
        let mut output = self.buffers.chain();
        output.extend_control(&request);
        let socket = dial(self.config.feed)?;
        let jitter = Duration::from_micros(self.rng.next_u64() % whole_micros(SILENCE_JITTER));
        self.insert(ConnectionKind::Feed(FeedConnection {
            stream: Stream::connecting(socket, self.now),
            reader: EndpointFeedReader::default(),
            output,
            called_at: self.now,
            last_received: None,
            silence_timeout: SILENCE_TIMEOUT + jitter,
        }))
    }

    /// Closes the open connections, if there are any, and calls again without a delay.
    pub(crate) fn reconnect_feed(&mut self) {
        for token in std::mem::take(&mut self.feed.connections) {
            self.close(token);
        }
        self.feed.retry_delay = Duration::ZERO;
        self.open_feed();
    }

    /// Called when a connection has ended.
    pub(crate) fn feed_closed(&mut self, token: ConnectionToken) {
        let before = self.feed.connections.len();
        self.feed.connections.retain(|other| *other != token);
        if self.feed.connections.len() < before {
            self.retry_feed();
        }
    }

    /// Sets a timer to call again, unless a connection is open.
    fn retry_feed(&mut self) {
        if !self.feed.connections.is_empty() {
            return;
        }
        self.feed.retry_delay = (self.feed.retry_delay * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let half_micros = whole_micros(self.feed.retry_delay) / 2;
        let delay = Duration::from_micros(half_micros + self.rng.next_u64() % half_micros);
        self.timers.set(self.now + delay, Timer::FeedReconnect);
    }

    /// Handles epoll events of a connection to the feed.
    pub(crate) fn on_feed(
        &mut self,
        token: ConnectionToken,
        feed: &mut FeedConnection,
        flags: EventFlags,
    ) -> ConnectionAction {
        if flags.contains(EventFlags::OUT) {
            let action = self.flush(token, &mut feed.stream, &mut feed.output);
            if action == ConnectionAction::Close {
                return ConnectionAction::Close;
            }
        }
        self.read_from(
            feed,
            MAX_FEED_READS,
            |feed| &mut feed.stream,
            |server, feed, bytes| server.on_feed_bytes(token, feed, bytes),
        )
    }

    /// Makes a connection the watch: the calls beside it are not needed any more.
    fn begin_watch(&mut self, token: ConnectionToken) {
        let calls = std::mem::replace(&mut self.feed.connections, vec![token]);
        for call in calls.into_iter().filter(|call| *call != token) {
            self.close(call);
        }
    }

    fn on_feed_bytes(
        &mut self,
        token: ConnectionToken,
        feed: &mut FeedConnection,
        bytes: &[u8],
    ) -> ConnectionAction {
        let mut events = Vec::new();
        let read = feed.reader.feed(bytes, &mut events);
        if feed.reader.has_begun_body() && feed.last_received.replace(self.now).is_none() {
            self.begin_watch(token);
        }
        if !events.is_empty() || self.feed.last_update == Timestamp::ZERO {
            self.feed.last_update = self.now;
        }
        for event in events {
            self.on_watch_event(&event);
        }
        match read {
            Ok(()) => {
                self.feed.retry_delay = Duration::ZERO;
                self.try_begin_serving(false);
                ConnectionAction::Keep
            }
            Err(error) => {
                warn!(%error, "invalid response from the endpoint feed, closing the connection");
                ConnectionAction::Close
            }
        }
    }

    fn on_watch_event(&mut self, text: &[u8]) {
        match self.config.names.parse_event(text) {
            // The feed has sent this event again on a new connection.
            Ok(message) if message.number <= self.feed.last_event => {}
            Ok(message) => {
                self.feed.last_event = message.number;
                if let Some(event) = message.event {
                    self.apply_feed_event(event);
                }
            }
            Err(error) => warn!(%error, "invalid event from the endpoint feed, event ignored"),
        }
    }

    /// The periodic check of a connection to the feed: closes a watch that is silent for too long, and a
    /// call that is not answered; before that, makes another call beside it.
    pub(crate) fn feed_housekeeping(&mut self, feed: &FeedConnection) -> ConnectionAction {
        let silent_since = feed.last_received.unwrap_or(feed.called_at);
        let is_silent = self.now > silent_since + feed.silence_timeout;
        let is_over = match feed.last_received {
            Some(_) => is_silent,
            None => self.now > feed.called_at + ANSWER_TIMEOUT,
        };
        if is_over {
            return ConnectionAction::Close;
        }
        if is_silent && self.feed.connections.len() < MAX_CALLS {
            self.call_feed();
        }
        ConnectionAction::Keep
    }
}
