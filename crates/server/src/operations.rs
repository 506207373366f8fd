//! Operators' connections: the second address of the configuration.

use super::*;
use hollymux_protocol::admin::{
    encode_json_response, encode_text_response, AdminOperation, AdminRequest, AdminRequestReader,
};
use hollymux_router::metrics::Gauges;
use rustix::net::Shutdown;

/// Connections at the door at a time; the oldest that has not finished its call gives way to a new one.
pub(super) const DOOR_MOST: usize = 8;
/// So long a caller has for his call, and then for taking the answer.
const CALL: Duration = Duration::from_secs(5);

pub(super) struct DoorConn {
    pub(super) stream: Stream,
    reader: AdminRequestReader,
    out: BufferChain,
    since: Timestamp,
    answered: bool,
}

impl Server {
    /// Listens at the operators' address, if there is one. One that is not to be had yet is asked for again: that is
    /// no reason not to serve.
    pub(super) fn open_door(&mut self) {
        let Some(addr) = self.config.door.filter(|_| self.door.is_none()) else { return };
        let opened = TcpListener::bind(addr).and_then(|listener| {
            listener.set_nonblocking(true)?;
            self.place(Role::DoorListener(listener))
        });
        match opened {
            Ok(key) => {
                self.door = Some(key);
                info!("operators are answered on {}", self.door_at().unwrap_or(addr));
            }
            Err(e) => debug!("operators can't be answered on {addr} yet: {e}"),
        }
    }

    fn door_at(&self) -> Option<SocketAddr> {
        match self.seen(self.door?) {
            Some(Role::DoorListener(l)) => l.local_addr().ok(),
            _ => None,
        }
    }

    pub(super) fn on_door_accept(&mut self, listener: &mut TcpListener) -> Fate {
        for _ in 0..READS {
            let Ok((socket, _)) = listener.accept() else { break };
            let conns = |(key, role): (Key, &Role)| match role {
                Role::DoorConn(c) => Some((c.since, key)),
                _ => None,
            };
            let held: Vec<(Timestamp, Key)> = self.roles().filter_map(conns).collect();
            if held.len() >= DOOR_MOST {
                held.iter().min().into_iter().for_each(|(_, key)| self.close(*key));
            }
            let ready = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
            let conn = DoorConn {
                stream: Stream::new(socket, self.now),
                reader: AdminRequestReader::default(),
                out: self.pool.chain(),
                since: self.now,
                answered: false,
            };
            // One that can't be served is closed by being dropped.
            let _placed = ready.and_then(|()| self.place(Role::DoorConn(conn)));
        }
        Fate::Keep
    }

    pub(super) fn on_door_conn(&mut self, key: Key, conn: &mut DoorConn, flags: EventFlags) -> Fate {
        if flags.contains(EventFlags::OUT) && self.flush_door(key, conn) == Fate::Close {
            return Fate::Close;
        }
        self.read_from(conn, READS, |c| &mut c.stream, |driver, c, bytes| driver.door_bytes(key, c, bytes))
    }

    fn door_bytes(&mut self, key: Key, conn: &mut DoorConn, bytes: &[u8]) -> Fate {
        if conn.answered {
            return Fate::Keep;
        }
        let answer = match conn.reader.feed(bytes) {
            None => return Fate::Keep,
            Some(Ok(asked)) => self.called(asked),
            Some(Err(e)) => {
                encode_text_response(e.status(), e.allow(), &format!("no: {}\n", e.status()), false)
            }
        };
        conn.answered = true;
        match conn.out.extend(&answer) {
            Ok(()) => self.flush_door(key, conn),
            Err(_) => Fate::Close,
        }
    }

    fn called(&mut self, asked: AdminRequest) -> Vec<u8> {
        let done = match asked.operation {
            AdminOperation::Status => Ok(format!("{}\n", phase(self.lifecycle.phase()))),
            AdminOperation::Metrics => Ok(self.figures() + &self.fleet_figures()),
            AdminOperation::ClusterStatus => return told(self.fleet_status(), "fleet", asked),
            AdminOperation::LimitStatus => return told(self.limits_status(), "fleet.limits", asked),
            AdminOperation::Standby => self.change(Event::Standby),
            AdminOperation::Active => self.change(Event::Active),
        };
        let status = match (&done, asked.operation) {
            (Err(_), _) => 409,
            (Ok(_), AdminOperation::Status) if !self.lifecycle.ready() => 503,
            _ => 200,
        };
        encode_text_response(status, None, &done.unwrap_or_else(|text| text), asked.head_only)
    }

    fn change(&mut self, event: Event) -> Result<String, String> {
        let done = self.live(event);
        let text = format!("{}\n", phase(self.lifecycle.phase()));
        if done {
            Ok(text)
        } else {
            Err(text)
        }
    }

    fn figures(&self) -> String {
        let rotation = self.router.rotation();
        self.router.metrics.lines(Gauges {
            open_requests: self.router.owed(),
            listed_endpoints: rotation.listed,
            unavailable_endpoints: rotation.avoided,
        })
    }

    fn flush_door(&mut self, key: Key, conn: &mut DoorConn) -> Fate {
        let fate = self.flush(key, &mut conn.stream, &mut conn.out);
        if fate == Fate::Keep && conn.out.is_empty() && conn.answered {
            // Read on to the end: a close with bytes unread would reset the answer away.
            let _shut = rustix::net::shutdown(&conn.stream.socket, Shutdown::Write);
        }
        fate
    }

    pub(super) fn door_round(&mut self, conn: &DoorConn) -> Fate {
        if self.now > conn.since + CALL {
            Fate::Close
        } else {
            Fate::Keep
        }
    }
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Ready => "ready",
        Phase::Standby => "standby",
        Phase::Replaced => "replaced",
        Phase::Stopping => "stopping",
    }
}

/// What a router knows of others; 404 where that section of the operator's file is off.
fn told(status: Option<serde_json::Value>, section: &str, asked: AdminRequest) -> Vec<u8> {
    match status {
        Some(status) => encode_json_response(&status.to_string(), asked.head_only),
        None => {
            encode_text_response(404, None, &format!("no: the section {section} is off\n"), asked.head_only)
        }
    }
}
