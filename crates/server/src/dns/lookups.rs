//! Lookups of a router that follows another one's answers.

use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer, MAX_READS_PER_EVENT};
use crate::Server;
use hollymux_decision::{Idempotency, RequestId};
use hollymux_protocol::dns::{self, Name, Rcode};
use hollymux_protocol::dns_routing;
use hollymux_router::{Input, LookupResult, RequestedObject};
use rand_core::{RngCore, SeedableRng};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::time::Duration;

/// A query without an answer is sent again after this long.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Times that a query is sent in all.
const MAX_SENDS_PER_QUERY: u32 = 3;
/// Queries that may await an answer.
const MAX_PENDING_LOOKUPS: usize = 4_096;
/// Makes the ids of queries independent of the router's random numbers, which have the same seed
/// ("dnsq").
const SEED_SALT: u64 = 0x646e_7371;

/// A query that awaits an answer.
struct PendingLookup {
    request: RequestId,
    name: Name,
    sent: u32,
}

/// The lookups under way.
pub(crate) struct Resolver {
    rng: rand_pcg::Pcg64Mcg,
    socket: Option<ConnectionToken>,
    /// By the id of the query.
    pending: HashMap<u16, PendingLookup>,
}

impl Resolver {
    /// A resolver without a socket.
    pub(crate) fn new(seed: u64) -> Resolver {
        let rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT);
        Resolver { rng, socket: None, pending: HashMap::new() }
    }

    fn unused_id(&mut self) -> u16 {
        let mut id = self.rng.next_u64() as u16;
        while self.pending.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }
}

impl Server {
    /// Opens the socket for queries to the server that is followed.
    pub(super) fn open_resolver(&mut self, server: SocketAddr) -> io::Result<()> {
        let any_address: IpAddr = if server.is_ipv4() { [0, 0, 0, 0].into() } else { [0u16; 8].into() };
        let socket = UdpSocket::bind((any_address, 0))?;
        socket.connect(server)?;
        socket.set_nonblocking(true)?;
        self.resolver.socket = Some(self.insert(ConnectionKind::Resolver(socket))?);
        Ok(())
    }

    /// Asks the followed server where a request is to go.
    pub(crate) fn start_lookup(&mut self, request: RequestId, wanted: &RequestedObject) {
        let idempotency = self.router.classes().idempotency(wanted.class);
        let names_request = idempotency == Idempotency::NotIdempotent;
        let wanted =
            RequestedObject { request_id: wanted.request_id.filter(|_| names_request), ..wanted.clone() };
        let name = dns_routing::encode_name(&wanted, &self.dns_zone, self.router.classes());
        let Some(name) = name.filter(|_| self.resolver.pending.len() < MAX_PENDING_LOOKUPS) else {
            return self.pending_inputs.push_back(Input::LookedUp(request, LookupResult::Failed));
        };
        let id = self.resolver.unused_id();
        self.resolver.pending.insert(id, PendingLookup { request, name, sent: 0 });
        self.send_lookup(id);
    }

    /// Sends a query, again if it was sent before; after the last time the lookup has failed.
    pub(crate) fn send_lookup(&mut self, id: u16) {
        let Some(lookup) = self.resolver.pending.get_mut(&id) else { return };
        if lookup.sent >= MAX_SENDS_PER_QUERY {
            let request = lookup.request;
            self.resolver.pending.remove(&id);
            return self.pending_inputs.push_back(Input::LookedUp(request, LookupResult::Failed));
        }
        lookup.sent += 1;
        let query = dns::encode_srv_query(id, &lookup.name);
        let socket = self.resolver.socket.and_then(|token| self.connections.get(token));
        if let Some(ConnectionKind::Resolver(socket)) = socket {
            // What can't be sent now is sent again later.
            let _sent = socket.send(&query);
        }
        self.timers.set(self.now + QUERY_TIMEOUT, Timer::DnsRetry(id));
    }

    /// Answers have arrived.
    pub(crate) fn on_resolver(&mut self, socket: &mut UdpSocket) -> ConnectionAction {
        let mut buffer = [0; dns::MAX_QUERY_BYTES];
        for _ in 0..MAX_READS_PER_EVENT {
            match socket.recv(&mut buffer) {
                Ok(length) => self.on_lookup_answer(&buffer[..length]),
                // A datagram that was refused is reported here; the query is sent again.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        ConnectionAction::Keep
    }

    fn on_lookup_answer(&mut self, bytes: &[u8]) {
        let Some(id) = bytes.first_chunk::<2>().map(|id| u16::from_be_bytes(*id)) else { return };
        let Some(lookup) = self.resolver.pending.get(&id) else { return };
        let Some(response) = dns::parse_srv_response(bytes, id, &lookup.name) else { return };
        let request = lookup.request;
        self.resolver.pending.remove(&id);
        let hint = response.target.and_then(dns_routing::parse_routing_hint);
        let result = match hint {
            _ if response.rcode == Rcode::Refused as u16 => LookupResult::Rejected,
            Some(hint) if response.rcode == Rcode::NoError as u16 => LookupResult::Endpoint(hint),
            _ => LookupResult::Failed,
        };
        self.pending_inputs.push_back(Input::LookedUp(request, result));
    }
}
