//! Connections to shelfs, parents and the origin.

mod dialing;
#[cfg(test)]
mod tests;

use super::*;
use hollymux_decision::Idempotency;
use hollymux_protocol::endpoint::{self, EndpointResponse};
use hollymux_protocol::resp::{Decoder, RespError};
use hollymux_router::metrics::CountedEvent;
use hollymux_router::{AttemptFailure, AttemptRequest, AttemptResponse, ClientHandle};

/// What was not begun to be written this long after it was decided is not sent, or less where the graces for drains
/// and purges are shorter: what goes out once such a grace is over must have been decided after it was told.
pub(super) const UNSENT: Duration = Duration::from_millis(200);
/// So much of a grace is left for the way there.
const SPARE: Duration = Duration::from_millis(50);
/// Connections to one endpoint.
const LINE_MOST: usize = 32;
/// Ids given up or answered lately on a connection: the same id is not asked there again, a late answer or a
/// second copy could be taken for the new one.
const SPENT_MOST: usize = 64;
/// Idle connections are closed after this part of the other side's patience.
const IDLE_PART: f64 = 0.6;
/// Bytes that may wait to be written on one connection.
const OUT_MOST: usize = 1 << 20;

/// The connections to one endpoint.
#[derive(Default)]
pub(super) struct Line {
    keys: Vec<Key>,
    /// The least time that a connection took to come up.
    quickest: Option<Duration>,
}

/// A message on its way out.
struct Message {
    bytes: BufferChain,
    /// The attempt that it carries, if it is one.
    errand: Option<Errand>,
    begun: bool,
    decided: Timestamp,
}

/// The attempt that a message carries, and what forbids to begin it.
#[derive(Clone, Copy)]
struct Errand {
    id: AttemptId,
    /// Nothing goes out for a client that has left.
    client: ClientHandle,
    /// Nor with a source that takes no work any more.
    source: Option<EndpointId>,
    /// Nor after this.
    by: Option<Timestamp>,
}

impl Message {
    /// The attempt of which nothing has gone out yet.
    fn waiting(&self) -> Option<Errand> {
        self.errand.filter(|_| !self.begun)
    }
}

enum Sent {
    Attempt(Given),
    Probe,
}

/// An attempt that a connection carries.
struct Given {
    id: AttemptId,
    class: u16,
    /// The tag of the copy that was asked about.
    held: Option<Vec<u8>>,
    since: Timestamp,
    /// Written whole.
    whole: bool,
}

impl Sent {
    fn is(&self, attempt: AttemptId) -> bool {
        matches!(self, Sent::Attempt(given) if given.id == attempt)
    }
}

pub(super) struct ShelfConn {
    pub(super) stream: Stream,
    endpoint: EndpointId,
    addr: SocketAddr,
    decoder: Decoder,
    /// When it was begun.
    since: Timestamp,
    up: bool,
    queue: VecDeque<Message>,
    /// What is open on it, by the id on the wire.
    open: HashMap<Vec<u8>, Sent>,
    spent: VecDeque<Vec<u8>>,
    used: Timestamp,
    /// Takes nothing new.
    leaving: bool,
    /// The endpoint could not be connected to.
    refused: bool,
}

impl ShelfConn {
    fn queue(&mut self, bytes: BufferChain, errand: Option<Errand>, decided: Timestamp) {
        self.queue.push_back(Message { bytes, errand, begun: false, decided });
    }

    /// An id of which nothing more is expected.
    fn spend(&mut self, id: Vec<u8>) {
        self.spent.push_back(id);
        if self.spent.len() > SPENT_MOST {
            self.spent.pop_front();
        }
    }

    /// Takes an attempt off that was not begun; whether there was one.
    fn unqueue(&mut self, attempt: AttemptId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|m| m.waiting().is_none_or(|e| e.id != attempt));
        before != self.queue.len()
    }

    /// Whether it has been coming up for longer than that.
    fn late(&self, now: Timestamp, after: Duration) -> bool {
        !self.up && now > self.since + after
    }
}

/// Whether it is the endpoint that can't be connected to; a reset or a want of descriptors tells nothing of it.
fn refuses(e: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable, TimedOut};
    matches!(e.kind(), ConnectionRefused | HostUnreachable | NetworkUnreachable | TimedOut)
}

impl Server {
    pub(super) fn send(&mut self, order: AttemptRequest) {
        let attempt = order.attempt;
        if let Err(lost) = self.try_send(order) {
            self.inbox.push_back(Input::Failed(attempt, lost));
        }
    }

    fn try_send(&mut self, order: AttemptRequest) -> Result<(), AttemptFailure> {
        let bytes = endpoint::encode_attempt(&self.pool, &order).map_err(|_| AttemptFailure::NotSent)?;
        let rid = order.request.request_id.text.clone();
        let (endpoint, addr) = (order.target.endpoint, order.target.addr);
        let mut key = self.connection(endpoint, addr, &rid)?;
        // Its end may have come and not been read yet: what is written there may have run for all that is known.
        while self.has_ended(key) {
            key = self.connection(endpoint, addr, &rid)?;
        }
        let now = self.now;
        let Some(Role::Shelf(conn)) = self.role(key) else { return Err(AttemptFailure::NotSent) };
        let (id, class, held) = (order.attempt, order.class, order.request.if_none_match.clone());
        conn.open.insert(rid, Sent::Attempt(Given { id, class, held, since: now, whole: false }));
        let (client, source, by) = (order.client, order.target.fill.source, order.send_before);
        conn.queue(bytes, Some(Errand { id, client, source, by }), now);
        self.attempts.insert(order.attempt, key);
        self.write_shelf(key);
        Ok(())
    }

    /// How long a message may wait to be begun.
    fn patience(&self) -> Duration {
        let s = self.router.settings();
        let graces = [s.drain_grace, s.purge_slack].into_iter().filter(|g| !g.is_zero());
        graces.map(|g| g.saturating_sub(SPARE).max(SPARE / 5)).fold(UNSENT, Duration::min)
    }

    /// Closes the connection to a shelf that has rested longest: another endpoint needs its descriptor more.
    fn evict_shelf(&mut self) -> bool {
        let rests = |(key, role): (Key, &Role)| match role {
            Role::Shelf(c) if c.up && c.open.is_empty() && c.queue.is_empty() => Some((c.used, key)),
            _ => None,
        };
        let first = self.roles().filter_map(rests).min();
        first.inspect(|(_, key)| self.close(*key)).is_some()
    }

    /// The descriptors that are for connections to shelfs.
    pub(super) fn shelfs_most(&self) -> usize {
        let sockets = self.sockets();
        (sockets - sockets / 3).saturating_sub(RESERVED).min(sockets / 2)
    }

    pub(super) fn probe(&mut self, endpoint: EndpointId, addr: SocketAddr) {
        let now = self.now;
        let tag = format!("p{:x}", now.as_micros()).into_bytes();
        let probe = endpoint::encode_probe(&self.pool, &tag).ok();
        let key = self.connection(endpoint, addr, &tag).ok();
        match (probe, key.and_then(|k| self.role(k))) {
            (Some(bytes), Some(Role::Shelf(conn))) => {
                conn.open.insert(tag, Sent::Probe);
                conn.queue(bytes, None, now);
                self.write_shelf(key.unwrap_or_default());
            }
            _ => self.inbox.push_back(Input::Probed(endpoint, None)),
        }
    }

    /// Gives an attempt up. Where a further one may follow its connection ends with it: what has not reached the shelf yet, as
    /// the way there is cut, must not arrive when that one is out.
    pub(super) fn quit(&mut self, attempt: AttemptId, again: bool) {
        let Some(key) = self.attempts.remove(&attempt) else { return };
        let (pool, now) = (self.pool.clone(), self.now);
        let Some(Role::Shelf(mut conn)) = self.take(key) else { return };
        let id = conn.open.iter().find(|(_, s)| s.is(attempt)).map(|(id, _)| id.clone());
        let given = id.and_then(|id| conn.open.remove_entry(&id));
        let Some((id, Sent::Attempt(given))) = given.filter(|_| !conn.unqueue(attempt)) else {
            return self.put_back(key, Role::Shelf(conn), Fate::Keep);
        };
        let class = |g: &Given| self.router.settings().classes.get(usize::from(g.class));
        let overdue = class(&given).is_some_and(|c| now > given.since + c.latency_objective);
        // An answer that is overdue may never come, nor any other on its connection: what may be repeated is
        // repeated elsewhere, what may not can only wait.
        let once = |s: &Sent| matches!(s, Sent::Attempt(g) if class(g).is_some_and(|c| c.idempotency == Idempotency::NotIdempotent));
        // Part of it is written: the rest would have it run for one who may have left long before it is read.
        let begun = conn.queue.iter().any(|m| m.errand.is_some_and(|e| e.id == attempt));
        let ended = (overdue || begun || again) && !conn.open.values().any(once);
        conn.leaving |= overdue;
        conn.spend(id.clone());
        let fate = match endpoint::encode_cancel(&pool, &id) {
            Ok(bytes) if !ended => {
                conn.queue(bytes, None, now);
                Fate::Keep
            }
            _ => Fate::Close,
        };
        self.put_back(key, Role::Shelf(conn), fate);
        self.write_shelf(key);
    }

    pub(super) fn on_shelf(&mut self, key: Key, conn: &mut ShelfConn, flags: EventFlags) -> Fate {
        if flags.contains(EventFlags::OUT) {
            if !conn.up {
                if let Some(e) = conn.stream.socket.take_error().unwrap_or_else(Some) {
                    conn.refused = refuses(&e);
                    return Fate::Close;
                }
                conn.up = true;
                self.came_up(conn);
            }
            if self.write_out(key, conn) == Fate::Close {
                return Fate::Close;
            }
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return Fate::Keep;
        }
        let hand = |driver: &mut Server, conn: &mut ShelfConn, bytes: &[u8]| {
            let Err(e) = driver.shelf_bytes(conn, bytes) else { return Fate::Keep };
            warn!(shelf = format_args!("{:x}", conn.endpoint.0), "a shelf's answer can't be used: {e}");
            Fate::Close
        };
        self.read_from(conn, READS, |c| &mut c.stream, hand)
    }

    /// Whether a connection that rests has ended, as far as this machine knows: what has come on it is read.
    fn has_ended(&mut self, key: Key) -> bool {
        let rests = matches!(self.seen(key), Some(Role::Shelf(c)) if c.up && c.open.is_empty());
        let Some(Role::Shelf(mut conn)) = (if rests { self.take(key) } else { None }) else { return false };
        let fate = self.on_shelf(key, &mut conn, EventFlags::IN);
        self.put_back(key, Role::Shelf(conn), fate);
        fate != Fate::Keep
    }

    fn shelf_bytes(&mut self, conn: &mut ShelfConn, mut bytes: &[u8]) -> Result<(), RespError> {
        while let Some(frame) = conn.decoder.feed(&mut bytes)? {
            let EndpointResponse { id, response: said, cache_status: note } =
                endpoint::parse_response(frame)?;
            conn.used = self.now;
            match (conn.open.remove(&id), said) {
                (Some(Sent::Probe), AttemptResponse::ProbeResult(well)) => {
                    self.inbox.push_back(Input::Probed(conn.endpoint, Some(well)));
                }
                (Some(Sent::Attempt(given)), said) if given.whole && self.fits(&given, &said) => {
                    self.attempts.remove(&given.id);
                    self.inbox.push_back(Input::Responded(given.id, said, note));
                    conn.spend(id);
                }
                (Some(sent), _) => {
                    // Not an answer to what was asked, or to what was not asked yet: nothing on this connection
                    // can be believed any more.
                    conn.open.insert(id, sent);
                    return Err(RespError::Malformed);
                }
                // Given up before, answered before, or never asked.
                (None, _) => {}
            }
        }
        Ok(())
    }

    fn fits(&self, given: &Given, said: &AttemptResponse) -> bool {
        let writes = self.router.settings().classes.get(usize::from(given.class)).is_some_and(|c| c.write);
        endpoint::response_allowed(said, given.held.as_deref(), writes)
    }

    fn write_shelf(&mut self, key: Key) {
        let Some(Role::Shelf(mut conn)) = self.take(key) else { return };
        let fate = if conn.up { self.write_out(key, &mut conn) } else { Fate::Keep };
        self.put_back(key, Role::Shelf(conn), fate);
    }

    fn write_out(&mut self, key: Key, conn: &mut ShelfConn) -> Fate {
        // A part on lease may have ended while this process stood still: the clock is looked at again.
        let now = if self.leased() { self.clock.now() } else { self.now };
        while let Some(message) = conn.queue.front() {
            if let Some(errand) = message.waiting() {
                // Since it was decided its client may have left, which nobody has read yet.
                let waited = errand.id.number > 0 || now > message.decided;
                let late = now > message.decided + self.patience() || errand.by.is_some_and(|by| now > by);
                if late || waited && self.has_left(errand.client) {
                    self.unsend(conn, errand.id);
                    continue;
                }
            }
            let Some(message) = conn.queue.front_mut() else { break };
            let before = message.bytes.len();
            match conn.stream.write(&mut message.bytes, self.now) {
                Ok(true) => {
                    let attempt = message.errand.map(|e| e.id);
                    conn.queue.pop_front();
                    conn.used = self.now;
                    for sent in conn.open.values_mut() {
                        match sent {
                            Sent::Attempt(given) if Some(given.id) == attempt => {
                                given.whole = true;
                                self.router.count(given.class, CountedEvent::AttemptSent);
                            }
                            _ => {}
                        }
                    }
                }
                Ok(false) => {
                    message.begun |= message.bytes.len() < before;
                    break;
                }
                Err(_) => return Fate::Close,
            }
        }
        let more = !conn.queue.is_empty();
        self.wait_for(key, &mut conn.stream, more);
        Fate::Keep
    }

    /// Takes back an attempt of which nothing has gone out.
    fn unsend(&mut self, conn: &mut ShelfConn, attempt: AttemptId) {
        if conn.unqueue(attempt) {
            conn.open.retain(|_, s| !s.is(attempt));
            self.attempts.remove(&attempt);
            self.inbox.push_back(Input::Failed(attempt, AttemptFailure::NotSent));
        }
    }

    /// An endpoint takes nothing more, or is no longer there at all.
    pub(super) fn drop_line(&mut self, endpoint: EndpointId, fate: Fate) {
        let keys = self.shelfs.get(&endpoint).map_or(Vec::new(), |l| l.keys.clone());
        for key in keys {
            if fate == Fate::Close {
                self.close(key);
            } else if let Some(Role::Shelf(conn)) = self.role(key) {
                conn.leaving = true;
            }
        }
        if fate == Fate::Close {
            self.shelfs.remove(&endpoint);
        }
        self.unsend_all(|h, e| h == endpoint || e.source == Some(endpoint));
    }

    /// Takes back what waits for these endpoints or names these sources.
    fn unsend_all(&mut self, which: impl Fn(EndpointId, &Errand) -> bool) {
        let waits = |(key, role): (Key, &Role)| match role {
            Role::Shelf(c) => {
                let waiting = c.queue.iter().filter_map(Message::waiting).filter(|e| which(c.endpoint, e));
                Some((key, waiting.map(|e| e.id).collect::<Vec<_>>())).filter(|w| !w.1.is_empty())
            }
            _ => None,
        };
        for (key, unsent) in self.roles().filter_map(waits).collect::<Vec<_>>() {
            let Some(Role::Shelf(mut conn)) = self.take(key) else { continue };
            unsent.into_iter().for_each(|a| self.unsend(&mut conn, a));
            self.put_back(key, Role::Shelf(conn), Fate::Keep);
        }
    }

    pub(super) fn shelf_closed(&mut self, key: Key, conn: ShelfConn) {
        self.shelf_conns -= 1;
        if let Some(line) = self.shelfs.get_mut(&conn.endpoint) {
            line.keys.retain(|k| *k != key);
        }
        let mut ended: Vec<(Vec<u8>, Sent)> = conn.open.into_iter().collect();
        ended.sort_by(|a, b| a.0.cmp(&b.0));
        for (_, sent) in ended {
            self.inbox.push_back(match sent {
                Sent::Probe => Input::Probed(conn.endpoint, None),
                Sent::Attempt(given) => {
                    self.attempts.remove(&given.id);
                    let lost =
                        if given.whole { AttemptFailure::ConnectionLost } else { AttemptFailure::NotSent };
                    Input::Failed(
                        given.id,
                        if conn.refused { AttemptFailure::ConnectionRefused } else { lost },
                    )
                }
            });
        }
    }

    pub(super) fn shelf_round(&mut self, conn: &mut ShelfConn) -> Fate {
        let idle = Duration::from_micros((whole_micros(self.config.idle) as f64 * IDLE_PART) as u64);
        let unused = conn.open.is_empty() && conn.queue.is_empty();
        let stuck = conn.up && conn.stream.stuck(self.now, STUCK);
        let beyond = self.shared && self.shelf_conns > self.shelfs_most();
        let never = conn.late(self.now, dialing::NEVER);
        if unused && (conn.leaving || beyond || never || self.now > conn.used + idle) || stuck {
            Fate::Close
        } else {
            Fate::Keep
        }
    }
}
