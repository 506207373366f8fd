//! The sockets of the DNS front: queries over UDP and TCP, and the lookups of a follower.

use super::*;
use hollymux_decision::{Idempotency, RequestId};
use hollymux_protocol::dns::{self, MessageFramer, Name, Query, Rcode, Response, Transport};
use hollymux_protocol::dns_routing::{self, NameKind};
use hollymux_router::{LookupResult, RequestedObject};
use rand_core::RngCore;
use std::net::IpAddr;

/// A query that is not answered is sent again after this long, so many times in all.
const ASK_AGAIN: Duration = Duration::from_millis(150);
const ASKS: u32 = 3;
/// Ports that are tried where any will do.
const BINDS: u32 = 32;
/// Queries of a follower that wait for an answer.
const ASKED_MOST: usize = 4_096;
/// A connection without a query for this long is closed.
const IDLE: Duration = Duration::from_secs(4);
/// Answers may wait on a connection up to this; a client that doesn't read them is closed.
const OUT_MOST: usize = 256 * 1024;

pub(super) struct DnsConn {
    pub(super) stream: Stream,
    framer: MessageFramer,
    out: BufferChain,
    used: Timestamp,
}

struct Asked {
    request: RequestId,
    name: Name,
    times: u32,
}

/// The lookups that a follower has under way.
pub(super) struct Resolver {
    rng: rand_pcg::Pcg64Mcg,
    key: Option<Key>,
    asked: HashMap<u16, Asked>,
}

impl Resolver {
    pub(super) fn new(seed: u64) -> Resolver {
        let rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed ^ 0x646e_7371);
        Resolver { rng, key: None, asked: HashMap::new() }
    }
}

/// One port for both. With port 0 the one that UDP is given may be taken for TCP: then another is tried.
fn bind_both(listen: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut left = if listen.port() == 0 { BINDS } else { 1 };
    loop {
        let udp = UdpSocket::bind(listen)?;
        left -= 1;
        match TcpListener::bind(udp.local_addr()?) {
            Ok(tcp) => return Ok((udp, tcp)),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && left > 0 => {}
            Err(e) => return Err(e),
        }
    }
}

impl Server {
    pub(super) fn open_dns(&mut self) -> io::Result<()> {
        let Some(front) = self.operator.dns.clone() else { return Ok(()) };
        if let Some(listen) = front.listen {
            let (udp, tcp) = bind_both(listen)?;
            udp.set_nonblocking(true)?;
            tcp.set_nonblocking(true)?;
            info!("DNS for {} on {}", front.zone, udp.local_addr()?);
            self.place(Role::DnsUdp(udp))?;
            self.place(Role::DnsListener(tcp))?;
        }
        if let Some(server) = front.follow {
            let own: IpAddr = if server.is_ipv4() { [0, 0, 0, 0].into() } else { [0u16; 8].into() };
            let udp = UdpSocket::bind((own, 0))?;
            udp.connect(server)?;
            udp.set_nonblocking(true)?;
            self.resolver.key = Some(self.place(Role::Resolver(udp))?);
        }
        Ok(())
    }

    pub(super) fn on_dns_udp(&mut self, socket: &mut UdpSocket) -> Fate {
        let mut buffer = [0; dns::MAX_QUERY_BYTES];
        for _ in 0..READS {
            let Ok((n, peer)) = socket.recv_from(&mut buffer) else { break };
            if let Some(answer) = self.resolve(&buffer[..n], Transport::Udp) {
                // What the socket doesn't take now is lost, as any datagram may be.
                let _sent = socket.send_to(&answer, peer);
            }
        }
        Fate::Keep
    }

    pub(super) fn on_dns_accept(&mut self, key: Key, listener: &mut TcpListener) -> Fate {
        loop {
            if self.clients >= self.clients_most() {
                self.pause(key, listener);
                break;
            }
            let socket = match listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.pause(key, listener);
                    break;
                }
            };
            let (framer, out) = (MessageFramer::default(), self.pool.chain());
            let ready = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
            let conn = DnsConn { stream: Stream::new(socket, self.now), framer, out, used: self.now };
            if ready.and_then(|()| self.place(Role::DnsConn(conn))).is_ok() {
                self.clients += 1;
            }
        }
        Fate::Keep
    }

    pub(super) fn on_dns_conn(&mut self, key: Key, conn: &mut DnsConn, flags: EventFlags) -> Fate {
        let mut messages = Vec::new();
        if flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            let mut buffer = [0; dns::MAX_QUERY_BYTES];
            match conn.stream.read(&mut buffer) {
                Ok(Some(0)) | Err(_) => return Fate::Close,
                Ok(Some(n)) if !conn.framer.feed(&buffer[..n], &mut messages) => return Fate::Close,
                Ok(_) => {}
            }
        }
        for message in messages {
            conn.used = self.now;
            let Some(answer) = self.resolve(&message, Transport::Tcp) else { return Fate::Close };
            let len = (answer.len() as u16).to_be_bytes();
            let put = conn.out.extend(&len).and_then(|()| conn.out.extend(&answer));
            if put.is_err() || conn.out.len() > OUT_MOST {
                return Fate::Close;
            }
        }
        self.flush(key, &mut conn.stream, &mut conn.out)
    }

    pub(super) fn dns_round(&mut self, conn: &mut DnsConn) -> Fate {
        let leaving = !self.lifecycle.stays(self.now, None) && conn.out.is_empty();
        if leaving || self.now > conn.used + IDLE {
            Fate::Close
        } else {
            Fate::Keep
        }
    }

    /// The answer to a query; none if it gets none.
    fn resolve(&mut self, bytes: &[u8], transport: Transport) -> Option<Vec<u8>> {
        let query = dns::parse_query(bytes)?;
        let answer = query.error.map_or_else(|| self.decide(&query), Response::from_rcode);
        Some(dns::encode_response(&query, &answer, transport))
    }

    fn decide(&mut self, query: &Query) -> Response {
        let zone = &self.zone;
        let wanted = match dns_routing::classify_name(&query.name, zone, self.router.classes()) {
            NameKind::OutsideZone => return Response::from_rcode(Rcode::Refused),
            NameKind::NotFound => return dns_routing::negative_response(Rcode::NxDomain, zone),
            NameKind::Apex => return dns_routing::apex_response(query.record_type, zone),
            NameKind::EmptyNonTerminal => return dns_routing::negative_response(Rcode::NoError, zone),
            NameKind::Endpoint(uid) => {
                return match self.router.ready_address(&uid) {
                    Some(addr) => dns_routing::endpoint_response(query.record_type, zone, addr),
                    None => dns_routing::negative_response(Rcode::NxDomain, zone),
                };
            }
            NameKind::Request(wanted) => wanted,
        };
        if !dns_routing::is_routable_type(query.record_type) {
            return dns_routing::negative_response(Rcode::NoError, zone);
        }
        let found = self.router.lookup(self.now, wanted, &mut self.commands);
        for command in std::mem::take(&mut self.commands) {
            self.carry_out(command);
        }
        match found {
            LookupResult::Endpoint(target) => {
                dns_routing::route_response(query.record_type, &self.zone, &target)
            }
            LookupResult::Rejected => Response::from_rcode(Rcode::Refused),
            LookupResult::Failed => Response::from_rcode(Rcode::ServFail),
        }
    }

    // ---- following ----

    /// Asks where a request is to go.
    pub(super) fn look(&mut self, request: RequestId, wanted: &RequestedObject) {
        let once = self.router.classes().idempotency(wanted.class) == Idempotency::NotIdempotent;
        let wanted = RequestedObject { request_id: wanted.request_id.filter(|_| once), ..wanted.clone() };
        let name = dns_routing::encode_name(&wanted, &self.zone, self.router.classes());
        let Some(name) = name.filter(|_| self.resolver.asked.len() < ASKED_MOST) else {
            return self.inbox.push_back(Input::LookedUp(request, LookupResult::Failed));
        };
        let mut id = self.resolver.rng.next_u64() as u16;
        while self.resolver.asked.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.resolver.asked.insert(id, Asked { request, name, times: 0 });
        self.resolve_overdue(id);
    }

    /// Sends a query, again if it was sent before, and gives it up after the last time.
    pub(super) fn resolve_overdue(&mut self, id: u16) {
        let Some(asked) = self.resolver.asked.get_mut(&id) else { return };
        if asked.times >= ASKS {
            let request = asked.request;
            self.resolver.asked.remove(&id);
            return self.inbox.push_back(Input::LookedUp(request, LookupResult::Failed));
        }
        asked.times += 1;
        let bytes = dns::encode_srv_query(id, &asked.name);
        if let Some(Role::Resolver(socket)) = self.resolver.key.and_then(|k| self.role(k)) {
            // What can't be sent now is sent again later.
            let _sent = socket.send(&bytes);
        }
        self.wheel.set(self.now + ASK_AGAIN, Timer::Resolve(id));
    }

    pub(super) fn on_resolver(&mut self, socket: &mut UdpSocket) -> Fate {
        let mut buffer = [0; dns::MAX_QUERY_BYTES];
        for _ in 0..READS {
            let n = match socket.recv(&mut buffer) {
                Ok(n) => n,
                // A refused datagram is told here; the query is sent again.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(_) => break,
            };
            let Some(id) = buffer[..n].first_chunk::<2>().map(|b| u16::from_be_bytes(*b)) else { continue };
            let Some(asked) = self.resolver.asked.get(&id) else { continue };
            let response = dns::parse_srv_response(&buffer[..n], id, &asked.name);
            let Some(dns::SrvResponse { rcode: code, target: pointed }) = response else { continue };
            let request = asked.request;
            self.resolver.asked.remove(&id);
            let hint = pointed.and_then(dns_routing::parse_routing_hint);
            let found = match (code == Rcode::Refused as u16, hint) {
                (true, _) => LookupResult::Rejected,
                (false, Some(hint)) if code == Rcode::NoError as u16 => LookupResult::Endpoint(hint),
                _ => LookupResult::Failed,
            };
            self.inbox.push_back(Input::LookedUp(request, found));
        }
        Fate::Keep
    }
}
