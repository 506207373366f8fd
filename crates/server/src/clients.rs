//! Clients' connections.

use super::*;
use hollymux_protocol::client::{self, ClientCommand, UsedTags};
use hollymux_protocol::resp::Decoder;
use hollymux_router::buffers::Exhausted;
use hollymux_router::{ClientHandle, ClientRequest, Reply};
use std::collections::BTreeMap;

/// Requests that may be open on one connection.
const OPEN_MOST: usize = 32;
/// A connection with nothing open is closed after this long; the platform's clients close theirs after 4 s.
const IDLE: Duration = Duration::from_secs(8);
/// So long a connection may take until its first message is whole, and each further one once it has begun.
const WHOLE: Duration = Duration::from_millis(1_500);
/// When room is wanted, the connection whose message has been awaited longest is the first to go, then the one
/// idle longest; each has this long first. What crosses such a close is sent again on a new connection.
const GRACE: Duration = Duration::from_millis(50);
/// A connection is let go when nothing was on it for this long: whoever asks for the next thing as soon as he has the
/// last would meet the close each time.
const REST: Duration = Duration::from_millis(4);
/// A client that was told of a close has so long to take what is on its way and to close as well.
const LEAVE: Duration = Duration::from_secs(1);
/// Who withdraws a request sooner than this after it was taken never wanted it.
const HASTE: Duration = Duration::from_millis(100);
/// So many requests withdrawn in haste or beyond those that may be open, with no answer between, end the
/// connection: clients of the platform withdraw now and then as well.
const WASTE_MOST: u32 = 48;
/// Reads of one client's connection in a row: all that it may have open and be wasted, of the largest size. What waits
/// behind a request may say that nobody wants it any more, so it is read before the request is handed on.
const READS: usize = (OPEN_MOST + WASTE_MOST as usize) * 3;
/// Connections taken in a row.
const ACCEPTS: usize = 16;
/// From this part of the pool in use on, new requests are refused.
const CROWDED: f64 = 0.8;
/// One connection's answers may fill this part of the pool while they wait to be written.
const OUT_PART: f64 = 0.25;

pub(super) struct ClientConn {
    pub(super) stream: Stream,
    decoder: Decoder,
    out: BufferChain,
    /// Tags whose answer is owed, and since when.
    owed: BTreeMap<u64, Timestamp>,
    tags: UsedTags,
    used: Timestamp,
    /// Since when a message is waited for: the first one, or the rest of one that has begun.
    awaited: Option<Timestamp>,
    /// Requests that a client of the platform would not have sent.
    waste: u32,
    /// Since when its first message is waited for.
    first: Option<Timestamp>,
    /// A request was refused since the router empties: its client knows that he is to stay away.
    sent_away: bool,
    /// Since when it is being closed: no more is written on it, and what comes is not read.
    closing: Option<Timestamp>,
}

impl ClientConn {
    fn resting(&self) -> bool {
        self.owed.is_empty() && self.out.is_empty()
    }

    /// A message has begun to come, or bytes wait to be read that may be one.
    fn coming(&self) -> bool {
        self.unread() || self.decoder.is_mid_frame()
    }

    /// Bytes have come that were not read yet.
    fn unread(&self) -> bool {
        rustix::io::ioctl_fionread(&self.stream.socket).unwrap_or(0) > 0
    }
}

impl Server {
    pub(super) fn on_accept(&mut self, key: Key, listener: &mut TcpListener) -> Fate {
        for _ in 0..ACCEPTS {
            if !self.lifecycle.accepts(self.now) {
                break;
            }
            // Whom there is no room for waits in the backlog.
            if self.clients >= self.clients_most() && !self.evict() {
                self.pause(key, listener);
                break;
            }
            if !self.accept(key, listener) {
                break;
            }
        }
        Fate::Keep
    }

    /// Takes whoever has connected by now, before the listener is closed: what waits there would be reset, and its
    /// requests with it.
    pub(super) fn accept_last(&mut self) {
        if let Some(Role::Listener(mut listener)) = self.take(self.listener) {
            while self.clients + self.shelf_conns + RESERVED < self.sockets() {
                if !self.accept(self.listener, &mut listener) {
                    break;
                }
            }
            self.put_back(self.listener, Role::Listener(listener), Fate::Keep);
        }
    }

    /// Takes one connection; whether there may be another one.
    fn accept(&mut self, key: Key, listener: &mut TcpListener) -> bool {
        loop {
            match listener.accept() {
                Ok((socket, _)) => {
                    let ready = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
                    let conn = ClientConn {
                        stream: Stream::new(socket, self.now),
                        decoder: client::decoder(&self.pool),
                        out: self.pool.chain(),
                        owed: BTreeMap::new(),
                        tags: UsedTags::default(),
                        used: self.now,
                        awaited: Some(self.now),
                        waste: 0,
                        first: Some(self.now),
                        sent_away: false,
                        closing: None,
                    };
                    if ready.and_then(|()| self.place(Role::Client(conn))).is_ok() {
                        self.clients += 1;
                    }
                    return true;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                Err(_) => {
                    self.pause(key, listener);
                    return false;
                }
            }
        }
    }

    /// The descriptors that are for clients: the platform's hold a third of all at most, so what is above that is
    /// for those that only take them up.
    pub(super) fn clients_most(&self) -> usize {
        let sockets = self.sockets();
        (sockets - self.shelfs_most()).saturating_sub(RESERVED).max(sockets / 3)
    }

    /// Makes room: closes a connection that was shut, else the one whose message has been awaited longest, else the one
    /// idle longest. One with bytes to read stays: they may be a request, and a close over them resets the connection.
    pub(super) fn evict(&mut self) -> bool {
        let before = self.now.saturating_sub(GRACE);
        let victim = |(key, role): (Key, &Role)| match role {
            Role::Client(c) if c.resting() => {
                let rank = match (c.closing, c.awaited) {
                    (Some(at), _) => (0, at),
                    (None, Some(at)) if at < before => (1, at),
                    (None, None) if c.used < before => (2, c.used),
                    _ => return None,
                };
                (rank.0 == 0 || !c.unread()).then_some((rank, key))
            }
            _ => None,
        };
        let first = self.roles().filter_map(victim).min();
        first.inspect(|(_, key)| self.close(*key)).is_some()
    }

    pub(super) fn on_client(&mut self, key: Key, conn: &mut ClientConn, flags: EventFlags) -> Fate {
        if flags.contains(EventFlags::OUT) {
            if self.flush(key, &mut conn.stream, &mut conn.out) == Fate::Close {
                return Fate::Close;
            }
            if conn.closing.is_some() {
                self.shut(conn);
            }
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return Fate::Keep;
        }
        self.read_from(conn, READS, |c| &mut c.stream, |driver, c, bytes| driver.client_bytes(key, c, bytes))
    }

    /// Whether a client has stopped waiting for a request, as far as this machine knows: what has come from him is read.
    pub(super) fn has_left(&mut self, client: ClientHandle) -> bool {
        // Nobody there: it was closed. A connection that is being served has been read.
        let Some(place) = self.at(client.conn) else { return true };
        let Some(Role::Client(mut conn)) = place.role.take() else { return false };
        let fate = self.on_client(client.conn, &mut conn, EventFlags::IN);
        let left = !conn.owed.contains_key(&client.tag);
        self.put_back(client.conn, Role::Client(conn), fate);
        left || fate != Fate::Keep
    }

    fn client_bytes(&mut self, key: Key, conn: &mut ClientConn, mut bytes: &[u8]) -> Fate {
        if conn.closing.is_some() {
            return Fate::Keep;
        }
        conn.used = self.now;
        loop {
            let call = match conn.decoder.feed(&mut bytes) {
                Ok(None) => {
                    if conn.decoder.is_mid_frame() {
                        conn.awaited = conn.awaited.or(Some(self.now));
                    }
                    // Refusals don't come by way of answers: whoever asks on and on would be met by a round's chance.
                    if conn.sent_away {
                        self.let_go(key, conn);
                    }
                    return Fate::Keep;
                }
                Ok(Some(frame)) => client::parse_command(frame),
                Err(e) => Err(e),
            };
            (conn.awaited, conn.first) = (None, None);
            let said = match call {
                Ok(ClientCommand::Ping { tag }) => {
                    client::encode_ping_response(&self.pool, tag, self.lifecycle.ready())
                        .map(|c| conn.out.append(c))
                }
                // A tag used twice: its answers could not be told apart, the client is out of step.
                Ok(ClientCommand::Request { tag, .. }) if !conn.tags.insert(tag) => return Fate::QuotaShare,
                Ok(ClientCommand::Request { tag, request: Err(invalid) }) => {
                    self.router.spoilt(&invalid.class);
                    self.say(conn, tag, Reply::Failed)
                }
                Ok(ClientCommand::Request { tag, request: Ok(ask) }) => {
                    let open = conn.owed.len() >= OPEN_MOST;
                    let serves = self.lifecycle.serves(self.now, self.longest());
                    if open || self.pool.fuller_than(CROWDED) || !serves {
                        conn.sent_away = !serves;
                        conn.waste += u32::from(open);
                        let ended = self.router.reject_unopened(self.now, &ask);
                        ended.into_iter().for_each(|e| self.carry_out(e));
                        let wait = self.router.settings().max_retry_after.as_millis() as u64;
                        self.say(conn, tag, Reply::Rejected(wait))
                    } else {
                        conn.owed.insert(tag, self.now);
                        let ask = self.in_time(ask);
                        self.inbox.push_back(Input::Request(ClientHandle { conn: key, tag }, ask));
                        Ok(())
                    }
                }
                Ok(ClientCommand::Cancel { tag }) => {
                    if let Some(since) = conn.owed.remove(&tag) {
                        conn.waste += u32::from(self.now < since + HASTE);
                        let client = ClientHandle { conn: key, tag };
                        if !self.unask(|c| c == client) {
                            self.inbox.push_back(Input::Cancel(client));
                        }
                    }
                    Ok(())
                }
                Err(_) => return Fate::QuotaShare,
            };
            let kept = said.is_ok() && conn.waste <= WASTE_MOST && !self.overfull(conn);
            if !kept || self.flush(key, &mut conn.stream, &mut conn.out) == Fate::Close {
                return Fate::Close;
            }
        }
    }

    /// A request with no more time than this process has.
    fn in_time(&self, mut ask: ClientRequest) -> ClientRequest {
        if let Some(by) = self.lifecycle.ends_by(self.longest()) {
            ask.budget_ms =
                ask.budget_ms.min(by.saturating_duration_since(self.now).as_millis() as u64).max(1);
        }
        ask
    }

    /// Takes back requests that were read but not handed on yet, so that nothing is sent for them; whether there
    /// was one.
    pub(super) fn unask(&mut self, whose: impl Fn(ClientHandle) -> bool) -> bool {
        let before = self.inbox.len();
        self.inbox.retain(|i| !matches!(i, Input::Request(client, _) if whose(*client)));
        before != self.inbox.len()
    }

    /// Whether more waits to be written than one connection's share of the buffers.
    fn overfull(&self, conn: &ClientConn) -> bool {
        conn.out.len() as f64 > self.pool.bytes() as f64 * OUT_PART
    }

    fn say(&mut self, conn: &mut ClientConn, tag: u64, reply: Reply) -> Result<(), Exhausted> {
        conn.out.append(client::encode_reply(&self.pool, tag, reply)?);
        Ok(())
    }

    /// Puts a final answer on its connection, if that is still there.
    pub(super) fn answer(&mut self, client: ClientHandle, reply: Reply) {
        let Some(Role::Client(mut conn)) = self.take(client.conn) else { return };
        if conn.owed.remove(&client.tag).is_none() {
            // The client has stopped waiting, and the core hears of it next; else it would be a second answer.
            if !self.inbox.iter().any(|i| matches!(i, Input::Cancel(c) if *c == client)) {
                self.router.counters.invariant_violations += 1;
                debug_assert!(false, "an answer that is not owed");
            }
            return self.put_back(client.conn, Role::Client(conn), Fate::Keep);
        }
        (conn.used, conn.waste) = (self.now, 0);
        let said = self.say(&mut conn, client.tag, reply);
        let full = self.overfull(&conn);
        let fate = if said.is_err() || full {
            Fate::Close
        } else {
            self.flush(client.conn, &mut conn.stream, &mut conn.out)
        };
        self.let_go(client.conn, &mut conn);
        self.put_back(client.conn, Role::Client(conn), fate);
    }

    /// Closes a connection on which nothing is open, if it may not stay. It is shut for writing only and read to its
    /// end: a close with bytes unread would reset answers away that a slow reader has not taken yet.
    fn let_go(&mut self, key: Key, conn: &mut ClientConn) {
        let goes = conn.closing.is_none() && conn.resting() && !self.lifecycle.stays(self.now, conn.first);
        // Whoever goes on asking although he was refused has no pause.
        if goes && !conn.sent_away && self.now < conn.used + REST {
            self.wheel.set(conn.used + REST, Timer::Go(key));
        } else if goes && !conn.coming() {
            self.shut(conn);
        }
    }

    /// Shuts a connection for writing, once what waits is written; it is read to its end, and what comes is passed over.
    fn shut(&mut self, conn: &mut ClientConn) {
        conn.closing = conn.closing.or(Some(self.now));
        if conn.out.is_empty() {
            let _shut = rustix::net::shutdown(&conn.stream.socket, rustix::net::Shutdown::Write);
        }
    }

    /// Ends a connection whose client is out of step: what is open on it is withdrawn. Answers that are on their way
    /// reach him, as bytes that he still sends are read and passed over.
    pub(super) fn part(&mut self, key: Key) {
        let Some(Role::Client(mut conn)) = self.take(key) else { return };
        conn.owed.clear();
        self.withdraw_all(key);
        self.shut(&mut conn);
        self.put_back(key, Role::Client(conn), Fate::Keep);
    }

    /// Takes back all that a client has asked for.
    pub(super) fn withdraw_all(&mut self, key: Key) {
        self.unask(|c| c.conn == key);
        self.inbox.push_back(Input::ClientClosed(key));
    }

    pub(super) fn any_client_owed(&self) -> bool {
        self.roles().any(|(_, role)| matches!(role, Role::Client(c) if !c.out.is_empty()))
    }

    /// The pause is over, if it was one.
    pub(super) fn go(&mut self, key: Key) {
        if let Some(Role::Client(mut conn)) = self.take(key) {
            self.let_go(key, &mut conn);
            self.put_back(key, Role::Client(conn), Fate::Keep);
        }
    }

    pub(super) fn client_round(&mut self, key: Key, conn: &mut ClientConn) -> Fate {
        self.let_go(key, conn);
        // Who doesn't read holds buffers that others need.
        let patience = if self.pool.fuller_than(CROWDED) { STUCK / 8 } else { STUCK };
        let stuck = conn.stream.stuck(self.now, patience);
        let left = conn.closing.is_some_and(|at| self.now > at + LEAVE);
        let idle = self.now > conn.used + IDLE;
        // Who has half a message on its way may still wait for answers.
        let partial = conn.awaited.is_some_and(|at| self.now > at + WHOLE);
        if stuck || left {
            Fate::Close
        } else if conn.closing.is_none() && conn.resting() && (idle || partial) && !conn.unread() {
            Fate::QuotaShare
        } else {
            Fate::Keep
        }
    }
}
