//! The lookups of a router that follows another router's DNS answers instead of deciding itself.

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

/// A query is sent again after this time without an answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of times that a query is sent.
const MAX_SENDS_PER_QUERY: u32 = 3;
/// Maximum number of queries without an answer; further lookups fail.
const MAX_PENDING_LOOKUPS: usize = 4_096;
/// Combined with the router's seed, so that query ids are independent of the router's other random
/// numbers. The bytes are ASCII "dnsq".
const SEED_SALT: u64 = 0x646e_7371;

/// A query without an answer.
struct PendingLookup {
    request: RequestId,
    name: Name,
    /// Number of times that the query was sent.
    sent: u32,
}

/// The state of all lookups in progress.
pub(crate) struct Resolver {
    rng: rand_pcg::Pcg64Mcg,
    /// The UDP socket connected to the followed server; `None` if no server is followed.
    socket: Option<ConnectionToken>,
    /// Queries without an answer, by query id.
    pending: HashMap<u16, PendingLookup>,
}

impl Resolver {
    /// A resolver without a socket; `seed` is the router's seed.
    pub(crate) fn new(seed: u64) -> Resolver {
        let rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT);
        Resolver { rng, socket: None, pending: HashMap::new() }
    }

    /// A random query id that no pending query has.
    fn unused_id(&mut self) -> u16 {
        let mut id = self.rng.next_u64() as u16;
        while self.pending.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }
}

impl Server {
    /// Opens the socket for queries to the followed server.
    pub(super) fn open_resolver(&mut self, server: SocketAddr) -> io::Result<()> {
        let any_address: IpAddr = if server.is_ipv4() { [0, 0, 0, 0].into() } else { [0u16; 8].into() };
        let socket = UdpSocket::bind((any_address, 0))?;
        socket.connect(server)?;
        socket.set_nonblocking(true)?;
        self.resolver.socket = Some(self.insert(ConnectionKind::Resolver(socket))?);
        Ok(())
    }

    /// Looks up at the followed server where a request is to go. The lookup fails at once if too
    /// many are pending or the request can't be expressed as a name.
    pub(crate) fn start_lookup(&mut self, request: RequestId, wanted: &RequestedObject) {
        let idempotency = self.router.classes().idempotency(wanted.class);
        let includes_request_id = idempotency == Idempotency::NotIdempotent;
        let wanted = RequestedObject {
            request_id: wanted.request_id.filter(|_| includes_request_id),
            ..wanted.clone()
        };
        let name = dns_routing::encode_name(&wanted, &self.dns_zone, self.router.classes());
        let Some(name) = name.filter(|_| self.resolver.pending.len() < MAX_PENDING_LOOKUPS) else {
            return self.pending_inputs.push_back(Input::LookedUp(request, LookupResult::Failed));
        };
        let id = self.resolver.unused_id();
        self.resolver.pending.insert(id, PendingLookup { request, name, sent: 0 });
        self.send_lookup(id);
    }

    /// Sends a pending query, for the first time or again. Fails the lookup if the query was
    /// already sent the maximum number of times. Does nothing if the query was answered.
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
            // A query that can't be sent now is sent again after the timeout.
            let _sent = socket.send(&query);
        }
        self.timers.set(self.now + QUERY_TIMEOUT, Timer::DnsRetry(id));
    }

    /// Handles the answers that have arrived from the followed server.
    pub(crate) fn on_resolver(&mut self, socket: &mut UdpSocket) -> ConnectionAction {
        let mut buffer = [0; dns::MAX_QUERY_BYTES];
        for _ in 0..MAX_READS_PER_EVENT {
            match socket.recv(&mut buffer) {
                Ok(length) => self.on_lookup_answer(&buffer[..length]),
                // The error reports that the server refused an earlier query; that query is sent
                // again.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        ConnectionAction::Keep
    }

    /// Completes the lookup that an answer belongs to. Ignores answers that match no pending query.
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
