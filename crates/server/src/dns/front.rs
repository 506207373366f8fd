//! The DNS front: answering queries over UDP and TCP.

use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, MAX_READS_PER_EVENT};
use crate::sockets::Stream;
use crate::Server;
use hollymux_decision::Timestamp;
use hollymux_protocol::dns::{self, MessageFramer, Query, Rcode, Response, Transport};
use hollymux_protocol::dns_routing::{self, NameKind};
use hollymux_router::buffers::BufferChain;
use hollymux_router::lifecycle::Phase;
use hollymux_router::{LookupResult, RequestedObject};
use rustix::event::epoll::EventFlags;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;
use tracing::{debug, info};

/// Maximum number of ports that are tried if the system assigns the port.
const MAX_BIND_ATTEMPTS: u32 = 32;
/// A TCP connection is closed after this time without a query.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of the unwritten answers on a TCP connection, in bytes. A client that doesn't read
/// them is disconnected.
const MAX_OUTPUT_BYTES: usize = 256 * 1024;

/// A TCP connection with DNS queries.
pub(crate) struct DnsConnection {
    pub(crate) stream: Stream,
    /// Splits the received bytes into messages.
    framer: MessageFramer,
    /// Answers that are not written yet.
    output: BufferChain,
    /// When the connection was accepted, or the last query was received.
    last_used: Timestamp,
}

/// The sockets on which queries arrive, both bound to the same port.
struct DnsSockets {
    udp: UdpSocket,
    tcp: TcpListener,
}

/// Binds the same port for UDP and TCP. With port 0, the port assigned for UDP may already be in
/// use for TCP; another one is tried then.
fn bind_udp_and_tcp(listen: SocketAddr) -> io::Result<DnsSockets> {
    let mut attempts_left = if listen.port() == 0 { MAX_BIND_ATTEMPTS } else { 1 };
    loop {
        let udp = UdpSocket::bind(listen)?;
        attempts_left -= 1;
        match TcpListener::bind(udp.local_addr()?) {
            Ok(tcp) => return Ok(DnsSockets { udp, tcp }),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempts_left > 0 => {}
            Err(error) => return Err(error),
        }
    }
}

impl Server {
    /// Opens the sockets that the section `dns` of the operator's file configures: for answering
    /// queries, for following another router's answers, or both. While a predecessor still answers the
    /// queries, their sockets are opened later, by [`Server::take_over_dns`].
    pub(crate) fn open_dns(&mut self) -> io::Result<()> {
        let Some(section) = self.operator.dns.clone() else { return Ok(()) };
        if let Some(server) = section.follow {
            self.open_resolver(server)?;
        }
        if self.handover.predecessor.is_some() {
            return Ok(());
        }
        self.open_dns_front()
    }

    /// Opens the sockets for queries, if they are configured and not open.
    fn open_dns_front(&mut self) -> io::Result<()> {
        let Some(section) = self.operator.dns.clone() else { return Ok(()) };
        let Some(listen) = section.listen.filter(|_| self.dns_sockets.is_empty()) else { return Ok(()) };
        let DnsSockets { udp, tcp } = bind_udp_and_tcp(listen)?;
        udp.set_nonblocking(true)?;
        tcp.set_nonblocking(true)?;
        info!(address = %udp.local_addr()?, zone = %section.zone, "DNS front listening");
        let udp = self.insert(ConnectionKind::DnsUdp(udp))?;
        self.dns_sockets.push(udp);
        let tcp = self.insert(ConnectionKind::DnsListener(tcp))?;
        self.dns_sockets.push(tcp);
        Ok(())
    }

    /// Answers queries from now on, if no other process does. Tried again by housekeeping until the
    /// other process has left the address.
    pub(crate) fn take_over_dns(&mut self) {
        let serves = matches!(self.lifecycle.phase(), Phase::Ready | Phase::Standby);
        if !serves {
            return;
        }
        if let Err(error) = self.open_dns_front() {
            debug!(%error, "DNS front can't listen yet");
        }
    }

    /// Leaves the address for queries to the successor.
    pub(crate) fn leave_dns(&mut self) {
        for token in std::mem::take(&mut self.dns_sockets) {
            self.close(token);
        }
    }

    /// Answers the queries that have arrived over UDP.
    pub(crate) fn on_dns_udp(&mut self, socket: &mut UdpSocket) -> ConnectionAction {
        let mut buffer = [0; dns::MAX_QUERY_BYTES];
        for _ in 0..MAX_READS_PER_EVENT {
            let Ok((length, client)) = socket.recv_from(&mut buffer) else { break };
            if let Some(answer) = self.answer_query(&buffer[..length], Transport::Udp) {
                // An answer that the socket does not accept is lost, as any datagram may be; the
                // client repeats its query.
                let _sent = socket.send_to(&answer, client);
            }
        }
        ConnectionAction::Keep
    }

    /// Accepts clients that have connected over TCP.
    pub(crate) fn on_dns_accept(
        &mut self,
        token: ConnectionToken,
        listener: &mut TcpListener,
    ) -> ConnectionAction {
        loop {
            if self.client_count >= self.max_client_connections() {
                self.pause_listener(token, listener);
                break;
            }
            let socket = match listener.accept() {
                Ok((socket, _)) => socket,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.pause_listener(token, listener);
                    break;
                }
            };
            // A socket that can't be registered is dropped, which closes it.
            if self.add_dns_connection(socket).is_ok() {
                self.client_count += 1;
            }
        }
        ConnectionAction::Keep
    }

    fn add_dns_connection(&mut self, socket: TcpStream) -> io::Result<ConnectionToken> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        self.insert(ConnectionKind::DnsTcp(DnsConnection {
            stream: Stream::new(socket, self.now),
            framer: MessageFramer::default(),
            output: self.buffers.chain(),
            last_used: self.now,
        }))
    }

    /// Handles epoll events of a TCP connection.
    pub(crate) fn on_dns_connection(
        &mut self,
        token: ConnectionToken,
        connection: &mut DnsConnection,
        flags: EventFlags,
    ) -> ConnectionAction {
        let mut messages = Vec::new();
        if flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            let mut buffer = [0; dns::MAX_QUERY_BYTES];
            match connection.stream.read(&mut buffer) {
                Ok(Some(0)) | Err(_) => return ConnectionAction::Close,
                Ok(Some(length)) => {
                    if !connection.framer.feed(&buffer[..length], &mut messages) {
                        return ConnectionAction::Close;
                    }
                }
                Ok(None) => {}
            }
        }
        for message in messages {
            connection.last_used = self.now;
            let Some(answer) = self.answer_query(&message, Transport::Tcp) else {
                return ConnectionAction::Close;
            };
            let length = (answer.len() as u16).to_be_bytes();
            let queued = connection.output.extend(&length).and_then(|()| connection.output.extend(&answer));
            if queued.is_err() || connection.output.len() > MAX_OUTPUT_BYTES {
                return ConnectionAction::Close;
            }
        }
        self.flush(token, &mut connection.stream, &mut connection.output)
    }

    /// The periodic check of a TCP connection: closes it if it is idle for too long, or if it has
    /// no output and the lifecycle does not keep idle connections.
    pub(crate) fn dns_housekeeping(&mut self, connection: &mut DnsConnection) -> ConnectionAction {
        let is_released =
            !self.lifecycle.keeps_idle_connection(self.now, None) && connection.output.is_empty();
        if is_released || self.now > connection.last_used + IDLE_TIMEOUT {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }

    /// The encoded answer to a query; `None` if the bytes are not a query that can be answered.
    fn answer_query(&mut self, bytes: &[u8], transport: Transport) -> Option<Vec<u8>> {
        let query = dns::parse_query(bytes)?;
        let answer = query.error.map_or_else(|| self.route_query(&query), Response::from_rcode);
        Some(dns::encode_response(&query, &answer, transport))
    }

    /// Answers a query by the kind of its name.
    fn route_query(&mut self, query: &Query) -> Response {
        let zone = &self.dns_zone;
        match dns_routing::classify_name(&query.name, zone, self.router.classes()) {
            NameKind::OutsideZone => Response::from_rcode(Rcode::Refused),
            NameKind::Nonexistent => dns_routing::negative_response(Rcode::NxDomain, zone),
            NameKind::Apex => dns_routing::apex_response(query.record_type, zone),
            NameKind::EmptyNonTerminal => dns_routing::negative_response(Rcode::NoError, zone),
            NameKind::Endpoint(uid) => match self.router.ready_address(&uid) {
                Some(address) => dns_routing::endpoint_response(query.record_type, zone, address),
                None => dns_routing::negative_response(Rcode::NxDomain, zone),
            },
            NameKind::Request(_) if !dns_routing::needs_routing_decision(query.record_type) => {
                dns_routing::negative_response(Rcode::NoError, zone)
            }
            NameKind::Request(wanted) => self.route_object(query, wanted),
        }
    }

    /// Looks up the endpoint for the requested object and returns it as the answer.
    fn route_object(&mut self, query: &Query, wanted: RequestedObject) -> Response {
        let found = self.router.lookup(self.now, wanted, &mut self.commands);
        for command in std::mem::take(&mut self.commands) {
            self.execute(command);
        }
        match found {
            LookupResult::Endpoint(hint) => {
                dns_routing::route_response(query.record_type, &self.dns_zone, &hint)
            }
            LookupResult::Rejected => Response::from_rcode(Rcode::Refused),
            LookupResult::Failed => Response::from_rcode(Rcode::ServFail),
        }
    }
}
