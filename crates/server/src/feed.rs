//! The connection to the control feed.

use super::*;
use hollymux_protocol::endpoint_feed::{encode_request, EndpointFeedReader};
use hollymux_protocol::feed_events::FeedMessage;
use rand_core::RngCore;

/// A comment arrives every second; silence for this long means that the connection is dead. Each call adds a part of its
/// own, drawn at random, as does each wait: what falls silent for all routers at once is not called by all at once.
const SILENCE: Duration = Duration::from_millis(2_200);
const SPREAD: Duration = Duration::from_millis(600);
/// The first wait before the feed is called again; it doubles up to the longest, and half to all of it is waited.
const AGAIN: Duration = Duration::from_millis(20);
const AGAIN_MOST: Duration = Duration::from_millis(500);

pub(super) struct Feed {
    pub(super) stream: Stream,
    reader: EndpointFeedReader,
    out: BufferChain,
    heard: Timestamp,
    /// The silence that is borne.
    patience: Duration,
}

impl Server {
    /// Calls the feed for what comes after the last event known.
    pub(super) fn open_feed(&mut self) {
        if self.feed_key.is_some() {
            return;
        }
        let call = encode_request(&self.config.feed.to_string(), self.feed_at);
        let mut out = self.pool.chain();
        let opened = out.extend(&call).map_err(|_| io::ErrorKind::OutOfMemory.into());
        let opened = opened.and_then(|()| dial(self.config.feed)).and_then(|socket| {
            let mut stream = Stream::new(socket, self.now);
            stream.waiting = true;
            let patience = SILENCE + Duration::from_micros(self.rng.next_u64() % whole_micros(SPREAD));
            self.place(Role::Feed(Feed {
                stream,
                reader: EndpointFeedReader::default(),
                out,
                heard: self.now,
                patience,
            }))
        });
        match opened {
            Ok(key) => self.feed_key = Some(key),
            Err(_) => self.feed_closed(),
        }
    }

    /// Drops the call that is open, if there is one, and calls at once, whatever the wait had come to.
    pub(super) fn call_feed_anew(&mut self) {
        if let Some(key) = self.feed_key {
            self.close(key);
        }
        self.feed_wait = Duration::ZERO;
        self.open_feed();
    }

    pub(super) fn feed_closed(&mut self) {
        self.feed_key = None;
        self.feed_wait = (self.feed_wait * 2).clamp(AGAIN, AGAIN_MOST);
        let half = whole_micros(self.feed_wait) / 2;
        let wait = Duration::from_micros(half + self.rng.next_u64() % half);
        self.wheel.set(self.now + wait, Timer::Feed);
    }

    pub(super) fn on_feed(&mut self, feed: &mut Feed, flags: EventFlags) -> Fate {
        if flags.contains(EventFlags::OUT) {
            let key = self.feed_key.unwrap_or_default();
            if self.flush(key, &mut feed.stream, &mut feed.out) == Fate::Close {
                return Fate::Close;
            }
        }
        self.read_from(feed, READS, |f| &mut f.stream, Server::feed_bytes)
    }

    fn feed_bytes(&mut self, feed: &mut Feed, bytes: &[u8]) -> Fate {
        feed.heard = self.now;
        let mut events = Vec::new();
        let read = feed.reader.feed(bytes, &mut events);
        if !events.is_empty() || self.feed_told == Timestamp::ZERO {
            self.feed_told = self.now;
        }
        for event in events {
            match self.config.names.parse_event(&event) {
                // Told again after a new call: known already.
                Ok(FeedMessage { number, .. }) if number <= self.feed_at => {}
                Ok(FeedMessage { number, event }) => {
                    self.feed_at = number;
                    event.into_iter().for_each(|t| self.tell(t));
                }
                Err(e) => warn!("control feed: {e}"),
            }
        }
        match read {
            Ok(()) => {
                self.feed_wait = Duration::ZERO;
                self.begin(false);
                Fate::Keep
            }
            Err(e) => {
                warn!("{e}");
                Fate::Close
            }
        }
    }

    pub(super) fn feed_round(&mut self, feed: &mut Feed) -> Fate {
        if self.now > feed.heard + feed.patience {
            Fate::Close
        } else {
            Fate::Keep
        }
    }
}
