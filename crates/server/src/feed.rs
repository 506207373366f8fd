//! The connection to the endpoint feed: a watch that is resumed after the last applied event
//! whenever its connection ends.

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

/// A feed connection that is silent for this long is considered dead; the feed sends a heartbeat
/// every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Upper bound of the random time that each connection adds to [`SILENCE_TIMEOUT`], so that not all
/// routers reconnect to a failed feed at the same moment.
const SILENCE_JITTER: Duration = Duration::from_millis(600);
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
    /// The open connection; `None` while the feed is to be connected again.
    connection: Option<ConnectionToken>,
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
            connection: None,
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
    /// When bytes were last received; initially when the connection was dialed.
    last_received: Timestamp,
    /// The time without received bytes after which the connection is dead, jitter included.
    silence_timeout: Duration,
}

impl Server {
    /// Connects to the feed and requests the events after the last applied one, unless a connection
    /// is open.
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

    /// Closes the open connection, if there is one, and connects again without a delay.
    pub(crate) fn reconnect_feed(&mut self) {
        if let Some(token) = self.feed.connection {
            self.close(token);
        }
        self.feed.retry_delay = Duration::ZERO;
        self.open_feed();
    }

    /// Called when the connection has ended or could not be opened: sets a timer to connect again.
    pub(crate) fn feed_closed(&mut self) {
        self.feed.connection = None;
        self.feed.retry_delay = (self.feed.retry_delay * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let half_micros = whole_micros(self.feed.retry_delay) / 2;
        let delay = Duration::from_micros(half_micros + self.rng.next_u64() % half_micros);
        self.timers.set(self.now + delay, Timer::FeedReconnect);
    }

    /// Handles epoll events of the feed connection.
    pub(crate) fn on_feed(&mut self, feed: &mut FeedConnection, flags: EventFlags) -> ConnectionAction {
        if flags.contains(EventFlags::OUT) {
            if let Some(token) = self.feed.connection {
                let action = self.flush(token, &mut feed.stream, &mut feed.output);
                if action == ConnectionAction::Close {
                    return ConnectionAction::Close;
                }
            }
        }
        self.read_from(feed, MAX_FEED_READS, |feed| &mut feed.stream, Server::on_feed_bytes)
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

    /// The periodic check of the feed connection: closes it if it is silent for too long.
    pub(crate) fn feed_housekeeping(&mut self, feed: &mut FeedConnection) -> ConnectionAction {
        if self.now > feed.last_received + feed.silence_timeout {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }
}
