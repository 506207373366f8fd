//! Clients' connections.

use super::*;
use crate::proto::front::{self, Call, Reply};
use crate::proto::resp::Decoder;
use crate::router::Client;
use std::collections::BTreeSet;

/// Requests that may be open on one connection.
const OPEN_MOST: usize = 32;
/// Bytes that may wait to be written on one connection.
const OUT_MOST: usize = 8 << 20;
/// A connection with nothing open is closed after this long, also in the middle of a message.
const IDLE: Time = 30_000 * MS;
/// From this part of the pool in use on, new requests are refused.
const CROWDED: f64 = 0.8;

pub(super) struct ClientConn {
    pub(super) stream: Stream,
    decoder: Decoder,
    out: Chain,
    /// Tags whose answer is owed.
    owed: BTreeSet<u64>,
    used: Time,
}

impl Driver {
    pub(super) fn on_accept(&mut self, key: Key, listener: &mut TcpListener) -> Fate {
        for _ in 0..READS {
            // A third of the descriptors is for clients; the others wait in the backlog.
            if self.clients >= self.config.sockets / 3 && !self.evict() {
                self.pause(key, listener);
                break;
            }
            match listener.accept() {
                Ok((socket, _)) => {
                    let ready = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
                    let conn = ClientConn {
                        stream: Stream::new(socket, self.now),
                        decoder: front::decoder(&self.pool),
                        out: self.pool.chain(),
                        owed: BTreeSet::new(),
                        used: self.now,
                    };
                    if ready.and_then(|()| self.place(Role::Client(conn))).is_ok() {
                        self.clients += 1;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.pause(key, listener);
                    break;
                }
            }
        }
        Fate::Keep
    }

    /// Closes the connection that has been idle longest, for at least a second.
    fn evict(&mut self) -> bool {
        let idle = |(i, p): (usize, &Place)| match &p.role {
            Some(Role::Client(c)) if c.owed.is_empty() && c.out.is_empty() && !c.decoder.midway() => {
                Some((c.used, u64::from(p.turn) << 32 | i as u64))
            }
            _ => None,
        };
        let longest = self.places.iter().enumerate().filter_map(idle).min();
        match longest.filter(|l| l.0 + 1_000 * MS < self.now) {
            Some((_, key)) => {
                self.close(key);
                true
            }
            None => false,
        }
    }

    pub(super) fn on_client(&mut self, key: Key, conn: &mut ClientConn, flags: EventFlags) -> Fate {
        if flags.contains(EventFlags::OUT) && self.flush(key, conn) == Fate::Close {
            return Fate::Close;
        }
        if !flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            return Fate::Keep;
        }
        self.read_from(conn, |c| &mut c.stream, |driver, c, bytes| driver.client_bytes(key, c, bytes))
    }

    fn client_bytes(&mut self, key: Key, conn: &mut ClientConn, mut bytes: &[u8]) -> Fate {
        conn.used = self.now;
        loop {
            let call = match conn.decoder.feed(&mut bytes) {
                Ok(None) => return Fate::Keep,
                Ok(Some(frame)) => front::call(frame),
                Err(e) => Err(e),
            };
            let said = match call {
                Ok(Call::Ping(tag)) => front::fit(&self.pool, tag).map(|c| conn.out.append(c)),
                // A tag that is open can't be told from the first one: the client is out of step.
                Ok(Call::Do(tag, _)) if conn.owed.contains(&tag) => return Fate::Close,
                Ok(Call::Do(tag, None)) => self.say(conn, tag, Reply::Failed),
                Ok(Call::Do(tag, Some(ask))) => {
                    if conn.owed.len() >= OPEN_MOST || self.pool.fuller_than(CROWDED) {
                        let wait = self.config.settings.max_retry_after / MS;
                        self.say(conn, tag, Reply::Refused(wait))
                    } else {
                        conn.owed.insert(tag);
                        self.inbox.push_back(Input::Ask(Client { conn: key, tag }, ask));
                        Ok(())
                    }
                }
                Ok(Call::Undo(tag)) => {
                    if conn.owed.remove(&tag) {
                        self.inbox.push_back(Input::Undo(Client { conn: key, tag }));
                    }
                    Ok(())
                }
                Err(_) => return Fate::Close,
            };
            if said.is_err() || self.flush(key, conn) == Fate::Close || conn.out.len() > OUT_MOST {
                return Fate::Close;
            }
        }
    }

    fn say(
        &mut self,
        conn: &mut ClientConn,
        tag: u64,
        reply: Reply,
    ) -> Result<(), crate::proto::chain::Exhausted> {
        conn.out.append(front::reply(&self.pool, tag, reply)?);
        Ok(())
    }

    /// Puts a final answer on its connection, if that is still there.
    pub(super) fn answer(&mut self, client: Client, reply: Reply) {
        let Some(Role::Client(mut conn)) = self.take(client.conn) else { return };
        if !conn.owed.remove(&client.tag) {
            // It would be a second answer.
            self.router.counters.broken += 1;
            debug_assert!(false, "an answer that is not owed");
            return self.put_back(client.conn, Role::Client(conn), Fate::Keep);
        }
        conn.used = self.now;
        let said = self.say(&mut conn, client.tag, reply);
        let full = conn.out.len() > OUT_MOST;
        let fate = if said.is_err() || full { Fate::Close } else { self.flush(client.conn, &mut conn) };
        self.put_back(client.conn, Role::Client(conn), fate);
    }

    fn flush(&mut self, key: Key, conn: &mut ClientConn) -> Fate {
        match conn.stream.write(&mut conn.out, self.now) {
            Ok(all) => {
                self.wait_for(key, &mut conn.stream, !all);
                Fate::Keep
            }
            Err(_) => Fate::Close,
        }
    }

    pub(super) fn any_client_owed(&self) -> bool {
        self.places.iter().any(|p| matches!(&p.role, Some(Role::Client(c)) if !c.out.is_empty()))
    }

    pub(super) fn client_round(&mut self, conn: &mut ClientConn) -> Fate {
        // Who doesn't read holds buffers that others need.
        let patience = if self.pool.fuller_than(CROWDED) { STUCK / 8 } else { STUCK };
        let stuck = conn.stream.stuck(self.now, patience);
        let leaving = self.stopping.is_some_and(|at| self.now >= at + LINGER);
        let done = conn.owed.is_empty() && conn.out.is_empty();
        let idle = done && self.now > conn.used + IDLE;
        if stuck || idle || leaving && done {
            Fate::Close
        } else {
            Fate::Keep
        }
    }
}
