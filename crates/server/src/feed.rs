//! The connection to the endpoint feed: a watch that is opened again, from the last event known,
//! whenever it ends.

use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer, MAX_READS_PER_EVENT};
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

/// A heartbeat arrives every second; a connection that is silent for this long is dead. Each
/// connection adds a random part of `SILENCE_JITTER`, so that a feed that fails is not called by
/// all routers at the same moment.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
const SILENCE_JITTER: Duration = Duration::from_millis(600);
/// The first delay before the feed is called again. It doubles up to the longest one; a random half
/// to all of it is waited.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What is known of the endpoint feed.
pub(crate) struct EndpointFeed {
    /// The number of the last event that was applied.
    last_event: u64,
    connection: Option<ConnectionToken>,
    retry_delay: Duration,
    /// When events last came; zero before the first bytes.
    pub(crate) last_update: Timestamp,
}

impl EndpointFeed {
    /// A feed of which events up to this number are known.
    pub(crate) fn new(last_event: u64) -> EndpointFeed {
        EndpointFeed {
            last_event,
            connection: None,
            retry_delay: Duration::ZERO,
            last_update: Timestamp::ZERO,
        }
    }
}

/// A connection to the endpoint feed.
pub(crate) struct FeedConnection {
    pub(crate) stream: Stream,
    reader: EndpointFeedReader,
    output: BufferChain,
    last_received: Timestamp,
    /// The silence after which this connection is dead.
    silence_timeout: Duration,
}

impl Server {
    /// Calls the feed for what comes after the last event known, unless a connection is open.
    pub(crate) fn open_feed(&mut self) {
        if self.feed.connection.is_some() {
            return;
        }
        match self.connect_feed() {
            Ok(token) => self.feed.connection = Some(token),
            Err(_) => self.feed_closed(),
        }
    }

    fn connect_feed(&mut self) -> io::Result<ConnectionToken> {
        let request = encode_request(&self.config.feed.to_string(), self.feed.last_event);
        let mut output = self.buffers.chain();
        output.extend(&request).map_err(|_| io::ErrorKind::OutOfMemory)?;
        let socket = dial(self.config.feed)?;
        let jitter = Duration::from_micros(self.rng.next_u64() % whole_micros(SILENCE_JITTER));
        self.insert(ConnectionKind::Feed(FeedConnection {
            stream: Stream::connecting(socket, self.now),
            reader: EndpointFeedReader::default(),
            output,
            last_received: self.now,
            silence_timeout: SILENCE_TIMEOUT + jitter,
        }))
    }

    /// Closes the connection that is open, if there is one, and calls the feed at once whatever the
    /// delay was.
    pub(crate) fn reconnect_feed(&mut self) {
        if let Some(token) = self.feed.connection {
            self.close(token);
        }
        self.feed.retry_delay = Duration::ZERO;
        self.open_feed();
    }

    /// The connection has ended, or could not be opened: it is opened again after a delay.
    pub(crate) fn feed_closed(&mut self) {
        self.feed.connection = None;
        self.feed.retry_delay = (self.feed.retry_delay * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let half_micros = whole_micros(self.feed.retry_delay) / 2;
        let delay = Duration::from_micros(half_micros + self.rng.next_u64() % half_micros);
        self.timers.set(self.now + delay, Timer::FeedReconnect);
    }

    /// The connection is readable or writable.
    pub(crate) fn on_feed(&mut self, feed: &mut FeedConnection, flags: EventFlags) -> ConnectionAction {
        if flags.contains(EventFlags::OUT) {
            if let Some(token) = self.feed.connection {
                let action = self.flush(token, &mut feed.stream, &mut feed.output);
                if action == ConnectionAction::Close {
                    return ConnectionAction::Close;
                }
            }
        }
        self.read_from(feed, MAX_READS_PER_EVENT, |feed| &mut feed.stream, Server::on_feed_bytes)
    }

    fn on_feed_bytes(&mut self, feed: &mut FeedConnection, bytes: &[u8]) -> ConnectionAction {
        feed.last_received = self.now;
        let mut events = Vec::new();
        let read = feed.reader.feed(bytes, &mut events);
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
            // Sent again on a new connection.
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

    /// The periodic check of the connection.
    pub(crate) fn feed_housekeeping(&mut self, feed: &mut FeedConnection) -> ConnectionAction {
        if self.now > feed.last_received + feed.silence_timeout {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }
}
