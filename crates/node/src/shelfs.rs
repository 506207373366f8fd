//! Connections to shelfs, parents and the origin.

use super::*;
use hollymux_core::figures::End;
use hollymux_core::{Lost, Order, Said};
use hollymux_decide::Effect;
use hollymux_wire::resp::{Decoder, RespError};
use hollymux_wire::shelf;

/// What was not begun to be written this long after it was decided is not sent: drains leave 500 ms, purges
/// 300 ms from when they were told, and what is on its way then must have been decided before.
pub(super) const UNSENT: Time = 200 * MS;
/// Connections to one host.
const LINE_MOST: usize = 32;
/// Ids given up or answered lately on a connection: the same id is not asked there again, a late answer or a
/// second copy could be taken for the new one.
const SPENT_MOST: usize = 64;
/// Idle connections are closed after this part of the other side's patience.
const IDLE_PART: f64 = 0.6;
/// Bytes that may wait to be written on one connection.
const OUT_MOST: usize = 1 << 20;

/// The connections to one host.
#[derive(Default)]
pub(super) struct Line {
    keys: Vec<Key>,
}

/// A message on its way out.
struct Message {
    bytes: Chain,
    /// The attempt that it carries, if it is one.
    attempt: Option<AttemptId>,
    begun: bool,
    decided: Time,
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
    since: Time,
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
    host: HostId,
    decoder: Decoder,
    up: bool,
    queue: VecDeque<Message>,
    /// What is open on it, by the id on the wire.
    open: HashMap<Vec<u8>, Sent>,
    spent: VecDeque<Vec<u8>>,
    used: Time,
    /// Takes nothing new.
    leaving: bool,
    /// The host could not be connected to.
    refused: bool,
}

impl ShelfConn {
    fn queue(&mut self, bytes: Chain, attempt: Option<AttemptId>, decided: Time) {
        self.queue.push_back(Message { bytes, attempt, begun: false, decided });
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
        self.queue.retain(|m| m.begun || m.attempt != Some(attempt));
        before != self.queue.len()
    }
}

/// Whether it is the host that can't be connected to; a reset or a want of descriptors tells nothing of it.
fn refuses(e: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable, TimedOut};
    matches!(e.kind(), ConnectionRefused | HostUnreachable | NetworkUnreachable | TimedOut)
}

impl Driver {
    pub(super) fn send(&mut self, order: Order) {
        let attempt = order.attempt;
        if let Err(lost) = self.try_send(order) {
            self.inbox.push_back(Input::Lost(attempt, lost));
        }
    }

    fn try_send(&mut self, order: Order) -> Result<(), Lost> {
        let bytes = shelf::ask(&self.pool, &order).map_err(|_| Lost::Unsent)?;
        let rid = order.ask.rid.0.clone();
        let key = self.connection(order.target.host, order.target.addr, &rid)?;
        let now = self.now;
        let Some(Role::Shelf(conn)) = self.role(key) else { return Err(Lost::Unsent) };
        let (id, class, held) = (order.attempt, order.class, order.ask.held.clone());
        conn.open.insert(rid, Sent::Attempt(Given { id, class, held, since: now, whole: false }));
        conn.queue(bytes, Some(order.attempt), now);
        self.attempts.insert(order.attempt, key);
        self.write_shelf(key);
        Ok(())
    }

    /// A connection that can carry one more: an idle one, else a new one, else the one with the least open.
    fn connection(&mut self, host: HostId, addr: SocketAddr, id: &[u8]) -> Result<Key, Lost> {
        let keys = self.shelfs.get(&host).map_or(Vec::new(), |l| l.keys.clone());
        let streams = self.config.streams;
        let mut best: Option<(usize, Key)> = None;
        for &key in &keys {
            let Some(Role::Shelf(c)) = self.role(key) else { continue };
            let clear = !c.open.contains_key(id) && !c.spent.iter().any(|s| s == id);
            let waiting: usize = c.queue.iter().map(|m| m.bytes.len()).sum();
            // One that still brings what nobody waits for holds up whatever comes behind.
            let clear = clear && !(c.open.is_empty() && c.decoder.midway());
            if c.leaving || !clear || c.open.len() >= streams || waiting > OUT_MOST {
                continue;
            }
            if best.is_none_or(|b| c.open.len() < b.0) {
                best = Some((c.open.len(), key));
            }
        }
        let idle = best.filter(|b| b.0 == 0);
        let room = keys.len() < LINE_MOST && self.shelf_conns < self.shelfs_most();
        let new = (idle.is_none() && room).then(|| self.dial_shelf(host, addr));
        match (new, best) {
            (Some(Ok(key)), _) | (_, Some((_, key))) => Ok(key),
            (Some(Err(e)), None) if refuses(&e) => Err(Lost::Refused),
            _ => Err(Lost::Unsent),
        }
    }

    /// The descriptors that are for connections to shelfs.
    pub(super) fn shelfs_most(&self) -> usize {
        let sockets = self.sockets();
        (sockets - sockets / 3).saturating_sub(RESERVED).min(sockets / 2)
    }

    fn dial_shelf(&mut self, host: HostId, addr: SocketAddr) -> io::Result<Key> {
        let mut stream = Stream::new(dial(addr)?, self.now);
        stream.waiting = true;
        let conn = ShelfConn {
            stream,
            host,
            decoder: shelf::decoder(&self.pool),
            up: false,
            queue: VecDeque::new(),
            open: HashMap::new(),
            spent: VecDeque::new(),
            used: self.now,
            leaving: false,
            refused: false,
        };
        let key = self.place(Role::Shelf(conn))?;
        self.shelf_conns += 1;
        self.shelfs.entry(host).or_default().keys.push(key);
        self.wheel.set(self.now + UNSENT, Timer::Dial(key));
        Ok(key)
    }

    pub(super) fn dial_overdue(&mut self, key: Key) {
        if let Some(Role::Shelf(conn)) = self.role(key) {
            if !conn.up {
                conn.refused = true;
                self.close(key);
            }
        }
    }

    pub(super) fn probe(&mut self, host: HostId, addr: SocketAddr) {
        let tag = format!("p{:x}", self.now).into_bytes();
        let probe = shelf::probe(&self.pool, &tag).ok();
        let key = self.connection(host, addr, &tag).ok();
        match (probe, key.and_then(|k| self.role(k))) {
            (Some(bytes), Some(Role::Shelf(conn))) => {
                conn.open.insert(tag, Sent::Probe);
                let now = conn.used;
                conn.queue(bytes, None, now);
                self.write_shelf(key.unwrap_or_default());
            }
            _ => self.inbox.push_back(Input::Probed(host, None)),
        }
    }

    pub(super) fn quit(&mut self, attempt: AttemptId) {
        let Some(key) = self.attempts.remove(&attempt) else { return };
        let (pool, now) = (self.pool.clone(), self.now);
        let Some(Role::Shelf(mut conn)) = self.take(key) else { return };
        let id = conn.open.iter().find(|(_, s)| s.is(attempt)).map(|(id, _)| id.clone());
        let given = id.and_then(|id| conn.open.remove_entry(&id));
        let Some((id, Sent::Attempt(given))) = given.filter(|_| !conn.unqueue(attempt)) else {
            return self.put_back(key, Role::Shelf(conn), Fate::Keep);
        };
        let class = |g: &Given| self.router.settings().classes.get(usize::from(g.class));
        let overdue = class(&given).is_some_and(|c| now > given.since + c.aim);
        // An answer that is overdue may never come, nor any other on its connection: what may be repeated is
        // repeated elsewhere, what may not can only wait.
        let once =
            |s: &Sent| matches!(s, Sent::Attempt(g) if class(g).is_some_and(|c| c.effect == Effect::Unsafe));
        let ended = overdue && !conn.open.values().any(once);
        conn.leaving |= overdue;
        conn.spend(id.clone());
        let fate = match shelf::quit(&pool, &id) {
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
            }
            conn.up = true;
            if self.write_out(key, conn) == Fate::Close {
                return Fate::Close;
            }
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return Fate::Keep;
        }
        let hand = |driver: &mut Driver, conn: &mut ShelfConn, bytes: &[u8]| {
            let Err(e) = driver.shelf_bytes(conn, bytes) else { return Fate::Keep };
            warn!(shelf = format_args!("{:x}", conn.host.0), "a shelf's answer can't be used: {e}");
            Fate::Close
        };
        self.read_from(conn, |c| &mut c.stream, hand)
    }

    fn shelf_bytes(&mut self, conn: &mut ShelfConn, mut bytes: &[u8]) -> Result<(), RespError> {
        while let Some(frame) = conn.decoder.feed(&mut bytes)? {
            let (id, said) = shelf::said(frame)?;
            conn.used = self.now;
            match (conn.open.remove(&id), said) {
                (Some(Sent::Probe), Said::Probed(well)) => {
                    self.inbox.push_back(Input::Probed(conn.host, Some(well)));
                }
                (Some(Sent::Attempt(given)), said) if given.whole && self.fits(&given, &said) => {
                    self.attempts.remove(&given.id);
                    self.inbox.push_back(Input::Said(given.id, said));
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

    fn fits(&self, given: &Given, said: &Said) -> bool {
        let writes = self.router.settings().classes.get(usize::from(given.class)).is_some_and(|c| c.write);
        shelf::fits(said, given.held.as_deref(), writes)
    }

    fn write_shelf(&mut self, key: Key) {
        let Some(Role::Shelf(mut conn)) = self.take(key) else { return };
        let fate = if conn.up { self.write_out(key, &mut conn) } else { Fate::Keep };
        self.put_back(key, Role::Shelf(conn), fate);
    }

    fn write_out(&mut self, key: Key, conn: &mut ShelfConn) -> Fate {
        // A part on lease may have ended while this process stood still: the clock is looked at again.
        let now = if self.leased() { self.clock.now() } else { self.now };
        while let Some(message) = conn.queue.front_mut() {
            if let Some(attempt) = message.attempt.filter(|_| !message.begun) {
                if now > message.decided + UNSENT {
                    self.unsend(conn, attempt);
                    continue;
                }
            }
            let before = message.bytes.len();
            match conn.stream.write(&mut message.bytes, self.now) {
                Ok(true) => {
                    let attempt = message.attempt;
                    conn.queue.pop_front();
                    conn.used = self.now;
                    for sent in conn.open.values_mut() {
                        match sent {
                            Sent::Attempt(given) if Some(given.id) == attempt => {
                                given.whole = true;
                                self.router.count(given.class, End::Relayed);
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
            self.inbox.push_back(Input::Lost(attempt, Lost::Unsent));
        }
    }

    /// A host takes nothing more, or is no longer there at all.
    pub(super) fn drop_line(&mut self, host: HostId, fate: Fate) {
        let keys = self.shelfs.get(&host).map_or(Vec::new(), |l| l.keys.clone());
        for key in keys {
            if fate == Fate::Close {
                self.close(key);
                continue;
            }
            let Some(Role::Shelf(mut conn)) = self.take(key) else { continue };
            conn.leaving = true;
            let unsent: Vec<_> = conn.queue.iter().filter(|m| !m.begun).filter_map(|m| m.attempt).collect();
            unsent.into_iter().for_each(|a| self.unsend(&mut conn, a));
            self.put_back(key, Role::Shelf(conn), Fate::Keep);
        }
    }

    pub(super) fn shelf_closed(&mut self, key: Key, conn: ShelfConn) {
        self.shelf_conns -= 1;
        if let Some(line) = self.shelfs.get_mut(&conn.host) {
            line.keys.retain(|k| *k != key);
            if line.keys.is_empty() {
                self.shelfs.remove(&conn.host);
            }
        }
        let mut ended: Vec<(Vec<u8>, Sent)> = conn.open.into_iter().collect();
        ended.sort_by(|a, b| a.0.cmp(&b.0));
        for (_, sent) in ended {
            self.inbox.push_back(match sent {
                Sent::Probe => Input::Probed(conn.host, None),
                Sent::Attempt(given) => {
                    self.attempts.remove(&given.id);
                    let lost = if given.whole { Lost::Broken } else { Lost::Unsent };
                    Input::Lost(given.id, if conn.refused { Lost::Refused } else { lost })
                }
            });
        }
    }

    pub(super) fn shelf_round(&mut self, conn: &mut ShelfConn) -> Fate {
        let idle = (self.config.idle as f64 * IDLE_PART) as Time;
        let unused = conn.open.is_empty() && conn.queue.is_empty();
        let stuck = conn.up && conn.stream.stuck(self.now, STUCK);
        let beyond = self.shared && self.shelf_conns > self.shelfs_most();
        if conn.up && unused && (conn.leaving || beyond || self.now > conn.used + idle) || stuck {
            Fate::Close
        } else {
            Fate::Keep
        }
    }
}
