//! DNS-based request routing over UDP and TCP: queries answered by a router, and a router that
//! follows the answers of a DNS server. Endpoints, feed and servers are stubs on loopback, and the
//! stub endpoints count the attempts.

mod common;

use common::reserved_address::ReservedAddress;
use common::*;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONE: &str = "route.example";
const DOCS: &str = "g17.p3.7f3a9c21e0b4d655.docs.route.example";
const FILING: &str = "r9b1f03aa5c7e2d41.g17.p0.7f3a9c21e0b4d655.cert-filing.route.example";
const A: u16 = 1;
const SOA: u16 = 6;
const TXT: u16 = 16;
const AAAA: u16 = 28;
const SRV: u16 = 33;

fn encode_name(output: &mut Vec<u8>, name: &str) {
    for label in name.split('.').filter(|l| !l.is_empty()) {
        output.push(label.len() as u8);
        output.extend(label.bytes());
    }
    output.push(0);
}

/// Encodes a query. `edns` is the UDP payload size of its OPT record; `None` adds no such record.
fn query(id: u16, flags: u16, name: &str, kind: u16, edns: Option<u16>) -> Vec<u8> {
    let mut output = Vec::new();
    for field in [id, flags, 1, 0, 0, u16::from(edns.is_some())] {
        output.extend(field.to_be_bytes());
    }
    encode_name(&mut output, name);
    output.extend([kind.to_be_bytes(), [0, 1]].concat());
    if let Some(size) = edns {
        output.extend([0, 0, 41]);
        output.extend([size.to_be_bytes(), [0, 0], [0, 0], [0, 0]].concat());
    }
    output
}

fn u16_at(message: &[u8], position: usize) -> u16 {
    u16::from_be_bytes([message[position], message[position + 1]])
}

fn read_name(message: &[u8], position: &mut usize) -> String {
    let (mut name, mut offset, mut end_of_name) = (String::new(), *position, None);
    while message[offset] != 0 {
        if message[offset] >= 192 {
            end_of_name = end_of_name.or(Some(offset + 2));
            offset = usize::from(u16_at(message, offset) & 0x3fff);
            continue;
        }
        let length = usize::from(message[offset]);
        write!(name, "{}.", String::from_utf8_lossy(&message[offset + 1..offset + 1 + length])).unwrap();
        offset += length + 1;
    }
    *position = end_of_name.unwrap_or(offset + 1);
    name
}

/// Decodes a response to text: the response code, "cut" if it is truncated, and its records, each
/// preceded by its section.
fn decode(message: &[u8]) -> Vec<String> {
    let codes = ["NOERROR", "FORMERR", "SERVFAIL", "NXDOMAIN", "NOTIMP", "REFUSED"];
    let flags = u16_at(message, 2);
    assert!(flags & 0x8000 != 0, "the message is not a response");
    let mut lines = vec![codes[usize::from(flags & 15)].to_string()];
    lines.extend((flags & 0x200 != 0).then(|| "cut".to_string()));
    let mut position = 12;
    for _ in 0..u16_at(message, 4) {
        read_name(message, &mut position);
        position += 4;
    }
    for (section_index, section) in ["an", "ns", "ar"].into_iter().enumerate() {
        for _ in 0..u16_at(message, 6 + 2 * section_index) {
            let owner = read_name(message, &mut position);
            let (kind, class, ttl, length) = (
                u16_at(message, position),
                u16_at(message, position + 2),
                u16_at(message, position + 6),
                usize::from(u16_at(message, position + 8)),
            );
            position += 10;
            let data = &message[position..position + length];
            let text = match kind {
                A => format!("A {}", data.iter().map(u8::to_string).collect::<Vec<_>>().join(".")),
                SOA => format!("SOA {}", read_name(message, &mut position.clone())),
                SRV => format!("SRV {} {}", u16_at(data, 4), read_name(message, &mut (position + 6))),
                TXT => {
                    format!("TXT {}", String::from_utf8_lossy(data).replace(|c: char| c.is_control(), "|"))
                }
                41 => format!("OPT {class} {}", u16_at(message, position - 6) >> 8),
                other => format!("type {other}"),
            };
            assert!(kind == 41 || ttl == 0, "the record may be cached");
            lines.push(format!("{section} {owner} {text}"));
            position += length;
        }
    }
    assert_eq!(position, message.len());
    lines
}

fn exchange(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    socket.send_to(bytes, to).unwrap();
    let mut buffer = [0; 4096];
    let length = socket.recv(&mut buffer).unwrap();
    assert_eq!(buffer[..2], bytes[..2], "the response has another id");
    buffer[..length].to_vec()
}

fn with_length(message: Vec<u8>) -> Vec<u8> {
    [&(message.len() as u16).to_be_bytes()[..], &message].concat()
}

fn read_framed(tcp: &mut TcpStream) -> Vec<u8> {
    let mut len = [0; 2];
    tcp.read_exact(&mut len).unwrap();
    let mut message = vec![0; usize::from(u16::from_be_bytes(len))];
    tcp.read_exact(&mut message).unwrap();
    message
}

fn lookup(to: SocketAddr, name: &str, kind: u16) -> Vec<String> {
    decode(&exchange(to, &query(7, 0, name, kind, None)))
}

/// The port in the SRV record of a response; `None` if the response has no SRV record.
fn port(response: &[String]) -> Option<u16> {
    let srv = response.iter().find(|l| l.starts_with("an ") && l.contains(" SRV "))?;
    srv.split(' ').nth(3)?.parse().ok()
}

/// An address at which nothing listens, for a failed parent cache.
fn closed_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

struct Setup {
    feed: StubFeed,
    endpoints: Vec<StubEndpoint>,
    router: RouterProcess,
    dns: SocketAddr,
}

fn start_router(zone: &str) -> Setup {
    start_router_with_uids(zone, ["s-a", "s-b"])
}

fn start_router_with_uids(zone: &str, uids: [&str; 2]) -> Setup {
    let feed = StubFeed::start();
    let endpoints: Vec<StubEndpoint> =
        (0..3).map(|_| StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()))).collect();
    feed.publish_endpoints(true, &lines(&endpoints, uids));
    let router = RouterProcess::with_dns(&feed, &format!("listen: '127.0.0.1:0', zone: '{zone}'"));
    let dns = router.dns.unwrap();
    let name = DOCS.replace(ZONE, zone);
    wait_until("the router to know the endpoint list", || {
        (lookup(dns, &name, A)[0] == "NOERROR").then_some(())
    });
    Setup { feed, endpoints, router, dns }
}

fn lines(endpoints: &[StubEndpoint], uids: [&str; 2]) -> Vec<String> {
    let of = |i: usize, uid, model| endpoint_line(uid, endpoints[i].addr, model, "ready");
    vec![
        of(0, uids[0], "std"),
        of(1, uids[1], "std"),
        of(2, "s-o", "origin"),
        endpoint_line("s-h", closed_address(), "parent", "ready"),
    ]
}

/// Guards the responses to queries of every kind: names in and outside of the zone, record types,
/// unknown endpoints and classes, malformed messages and EDNS.
#[test]
fn answers_by_the_standard() {
    let setup = start_router(ZONE);
    let mut transcript = String::new();
    let mut record = |label: &str, response: Vec<String>| {
        let mut text =
            format!("{label}: {}\n", response.join("; ")).replace("s-a.", "BOX.").replace("s-b.", "BOX.");
        for s in &setup.endpoints {
            text = text.replace(&s.addr.port().to_string(), "PORT");
        }
        transcript.push_str(&text);
    };
    let answer_to = |name: &str, kind| lookup(setup.dns, name, kind);
    record("srv", answer_to(DOCS, SRV));
    record("any case", answer_to(&DOCS.to_uppercase(), A));
    record("text alone", answer_to(DOCS, TXT));
    record("filing", answer_to(FILING, SRV));
    record("no such type", answer_to(DOCS, AAAA));
    record("other type", answer_to(DOCS, 15));
    record("apex", answer_to(ZONE, SOA));
    record("between", answer_to("docs.route.example", A));
    record("a filing without its id", answer_to("g17.p0.7f3a9c21e0b4d655.cert-filing.route.example", A));
    record("an id where none belongs", answer_to(&format!("r9b1f03aa5c7e2d41.{DOCS}"), A));
    record("unknown class", answer_to("g17.p3.7f3a9c21e0b4d655.songs.route.example", A));
    record("bad group", answer_to("g256.p3.7f3a9c21e0b4d655.docs.route.example", A));
    record("box", answer_to("s-a.box.route.example", A));
    record("no such box", answer_to("s-z.box.route.example", A));
    record("elsewhere", answer_to("www.example.org", A));
    record("transfer", answer_to(ZONE, 252));
    let answer_to_bytes = |bytes: &[u8]| decode(&exchange(setup.dns, bytes));
    record("opcode", answer_to_bytes(&query(7, 0x2000, DOCS, A, None)));
    let complete = query(7, 0, DOCS, A, None);
    record("half a question", answer_to_bytes(&complete[..30]));
    record("trailing bytes", answer_to_bytes(&[&complete[..], b"x"].concat()));
    record("two questions", answer_to_bytes(&[&complete[..4], &[0, 2], &complete[6..]].concat()));
    record("pointer to itself", answer_to_bytes(&[&complete[..12], &[0xc0, 12, 0, 1, 0, 1]].concat()));
    record("edns", answer_to_bytes(&query(7, 0, ZONE, 15, Some(4096))));
    let mut version = query(7, 0, DOCS, A, Some(4096));
    let position = version.len() - 5;
    version[position] = 1;
    record("edns version", answer_to_bytes(&version));
    insta::assert_snapshot!(transcript);
}

/// Guards against mishandling two queries in one TCP segment, one query in several, and a length
/// that no query may have.
#[test]
fn queries_over_tcp_may_arrive_in_any_segments() {
    let setup = start_router(ZONE);
    let mut tcp = TcpStream::connect(setup.dns).unwrap();
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let two = [with_length(query(1, 0, DOCS, SRV, None)), with_length(query(2, 0, ZONE, SOA, None))].concat();
    for piece in two.chunks(7) {
        tcp.write_all(piece).unwrap();
        tcp.flush().unwrap();
    }
    for id in [1, 2] {
        let response = read_framed(&mut tcp);
        assert_eq!((u16_at(&response, 0), decode(&response)[0].as_str()), (id, "NOERROR"));
    }
    tcp.write_all(&[0xff, 0xff, 0, 0]).unwrap();
    assert_eq!(
        tcp.read(&mut [0; 2]).unwrap_or(0),
        0,
        "the connection was not closed after a length above the limit"
    );
}

/// Guards against panics on malformed datagrams: queries with bytes replaced, the same in every
/// run.
#[test]
fn malformed_queries_do_not_stop_service() {
    let mut setup = start_router(ZONE);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    for count in 0..2_000_usize {
        let mut bytes = query(count as u16, 0, FILING, SRV, Some(1232));
        for _ in 0..=count % 3 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let position = (random >> 33) as usize % bytes.len();
            bytes[position] = (random >> 20) as u8;
        }
        bytes.truncate(bytes.len() - count % 7);
        socket.send_to(&bytes, setup.dns).unwrap();
        if count % 100 == 99 {
            assert_eq!(lookup(setup.dns, ZONE, SOA)[0], "NOERROR");
        }
    }
    assert!(setup.router.child.try_wait().unwrap().is_none());
}

/// Guards against datagrams that are larger than the client accepts.
#[test]
fn a_response_that_does_not_fit_is_shortened_then_truncated() {
    let label = "z".repeat(60);
    let zone = format!("{label}.{label}.example");
    let setup = start_router(&zone);
    let name = DOCS.replace(ZONE, &zone);
    let sized = |edns| exchange(setup.dns, &query(7, 0, &name, SRV, edns));
    let (without_edns, with_edns) = (sized(None), sized(Some(1232)));
    assert!(
        without_edns.len() <= 512 && with_edns.len() > 512 && with_edns.len() <= 1232,
        "{} {}",
        without_edns.len(),
        with_edns.len()
    );
    let summary =
        |message: &[u8]| (decode(message).iter().any(|w| w == "cut"), port(&decode(message)).is_some());
    assert_eq!((summary(&without_edns), summary(&with_edns)), ((false, true), (false, true)));
    let long = format!("{label}.{label}.{}.example", "y".repeat(50));
    let setup = start_router_with_uids(
        &long,
        ["a", "b"].map(|first| first.repeat(60)).each_ref().map(String::as_str),
    );
    let name = FILING.replace(ZONE, &long);
    let truncated = exchange(setup.dns, &query(7, 0, &name, SRV, None));
    assert!(truncated.len() <= 512);
    assert_eq!(summary(&truncated), (true, false));
}

/// Guards against responses that name an endpoint that is draining or gone, and against a second
/// target for a non-idempotent request.
#[test]
fn a_draining_edge_cache_is_never_named_again() {
    let setup = start_router(ZONE);
    let first = port(&lookup(setup.dns, FILING, SRV)).unwrap();
    for _ in 0..5 {
        assert_eq!(port(&lookup(setup.dns, FILING, SRV)), Some(first), "the request got a second target");
    }
    let (position, uid) = if first == setup.endpoints[0].addr.port() { (0, "s-a") } else { (1, "s-b") };
    setup
        .feed
        .publish_endpoints(false, &[endpoint_line(uid, setup.endpoints[position].addr, "std", "draining")]);
    wait_until("the drain to be applied", || {
        (lookup(setup.dns, &format!("{uid}.box.{ZONE}"), A)[0] == "NXDOMAIN").then_some(())
    });
    let remaining = Some(setup.endpoints[1 - position].addr.port());
    let mut routed = 0;
    for chunk in 0..40 {
        let name = format!("g17.p{chunk}.7f3a9c21e0b4d655.docs.{ZONE}");
        let response = lookup(setup.dns, &name, SRV);
        // The other edge cache may be at capacity for a while, since lookups count as load.
        assert!(port(&response) == remaining || response == ["REFUSED"], "{response:?}");
        routed += usize::from(port(&response) == remaining);
    }
    assert!(routed > 0, "the remaining edge cache was never named");
    assert_eq!(
        lookup(setup.dns, FILING, SRV),
        ["REFUSED"],
        "the lookup was not rejected although its target is draining"
    );
    // A client that got an endpoint from a lookup may have sent the request there, so the router
    // must not accept it by the platform's protocol either.
    let mut client = Client::connect(setup.router.addr);
    assert_eq!(client.get(1, "cert-filing", 0x9b1f_03aa_5c7e_2d41, 9), "1 broken");
    assert!(setup.endpoints.iter().all(|s| s.count() == 0), "a lookup caused an attempt");
}

/// Guards against lookups that don't count as load: many at one moment exceed the capacity of two
/// edge caches.
#[test]
fn lookups_count_as_load() {
    let setup = start_router(ZONE);
    let mut tcp = TcpStream::connect(setup.dns).unwrap();
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let name = |chunk| format!("g1.p{chunk}.7f3a9c21e0b4d655.docs.{ZONE}");
    let queries: Vec<u8> =
        (1..=64).flat_map(|chunk| with_length(query(chunk, 0, &name(chunk), A, None))).collect();
    assert!(queries.len() < 4096, "the queries don't fit into one read of the router");
    tcp.write_all(&queries).unwrap();
    let codes: Vec<String> = (1..=64).map(|_| decode(&read_framed(&mut tcp))[0].clone()).collect();
    let routed = codes.iter().filter(|c| *c == "NOERROR").count();
    assert!((8..60).contains(&routed) && codes[63] == "REFUSED", "{codes:?}");
}

/// Guards against lookups that change the health of an endpoint, since their outcome is unknown.
#[test]
fn lookups_eject_no_edge_cache() {
    let setup = start_router(ZONE);
    let start = Instant::now();
    let mut routed = std::collections::BTreeSet::new();
    let mut chunk = 0;
    while start.elapsed() < Duration::from_millis(2_500) {
        chunk += 1;
        let response = lookup(setup.dns, &format!("g1.p{chunk}.7f3a9c21e0b4d655.docs.{ZONE}"), SRV);
        if start.elapsed() > Duration::from_millis(1_500) {
            routed.extend(port(&response));
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(routed.len(), 2, "an edge cache is no longer named");
}

// ---- following the answers of a DNS server ----

/// How a stub DNS server responds: with an edge cache as uid, address and TXT record, with a
/// response code, or not at all.
#[derive(Clone)]
enum ServerBehavior {
    EdgeCache(&'static str, SocketAddr, &'static str),
    Code(u16),
    Silence,
}

struct StubServer {
    addr: SocketAddr,
    behavior: Arc<Mutex<ServerBehavior>>,
    received: Arc<Mutex<Vec<String>>>,
}

fn start_server(behavior: ServerBehavior) -> StubServer {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let addr = socket.local_addr().unwrap();
    let (behavior, received) = (Arc::new(Mutex::new(behavior)), Arc::new(Mutex::new(Vec::new())));
    let server = StubServer { addr, behavior: behavior.clone(), received: received.clone() };
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok((length, peer)) = socket.recv_from(&mut buffer) {
            let mut position = 12;
            received.lock().unwrap().push(read_name(&buffer[..length], &mut position));
            let question = &buffer[12..position + 4];
            let head = |code: u16, records: [u16; 2]| {
                let fields = [u16_at(&buffer, 0), 0x8400 | code, 1, records[0], 0, records[1]];
                [fields.map(u16::to_be_bytes).concat(), question.to_vec()].concat()
            };
            let response = match behavior.lock().unwrap().clone() {
                ServerBehavior::Silence => continue,
                ServerBehavior::Code(code) => head(code, [0, 0]),
                ServerBehavior::EdgeCache(uid, to, text) => {
                    let mut output = head(0, [1, 2]);
                    let mut target = Vec::new();
                    encode_name(&mut target, &format!("{uid}.box.{ZONE}"));
                    let mut record = |owner: &[u8], kind: u16, data: &[u8]| {
                        output.extend(owner);
                        output.extend([kind, 1, 0, 0, data.len() as u16].map(u16::to_be_bytes).concat());
                        output.extend(data);
                    };
                    let srv = [&[0, 0, 0, 0], &to.port().to_be_bytes()[..], &target].concat();
                    record(&[0xc0, 12], SRV, &srv);
                    record(&target, A, &[127, 0, 0, 1]);
                    record(&[0xc0, 12], TXT, &[&[text.len() as u8], text.as_bytes()].concat());
                    output
                }
            };
            socket.send_to(&response, peer).unwrap();
        }
    });
    server
}

/// Starts a router that follows a stub DNS server, which names the first of three endpoints.
/// Returns the setup, the server and a client of the router.
fn start_following_router() -> (Setup, StubServer, Client) {
    let feed = StubFeed::start();
    let endpoints: Vec<StubEndpoint> =
        (0..3).map(|_| StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()))).collect();
    feed.publish_endpoints(true, &lines(&endpoints, ["s-a", "s-b"]));
    let server = start_server(ServerBehavior::EdgeCache("s-a", endpoints[0].addr, "parent=s-o"));
    let dns = server.addr;
    let router = RouterProcess::with_dns(&feed, &format!("follow: '{dns}', zone: '{ZONE}'"));
    let mut client = Client::connect(router.addr);
    let mut tag = 1_000;
    wait_until("the router to know the endpoint list", || {
        tag += 1;
        client.get(tag, "docs", tag.into(), 5).contains("good").then_some(())
    });
    (Setup { feed, endpoints, router, dns }, server, client)
}

/// Guards against attempts at a draining edge cache while a DNS server still names it: there must
/// be none from 500 ms after the drain on.
#[test]
fn an_outdated_dns_response_causes_no_attempt_at_a_draining_edge_cache() {
    let (setup, server, mut client) = start_following_router();
    assert!(setup.endpoints[0].received()[0].fields.contains("parent=s-o"));
    let drained_at = setup
        .feed
        .publish_endpoints(false, &[endpoint_line("s-a", setup.endpoints[0].addr, "std", "draining")]);
    let (mut tag, mut rejected) = (0, 0);
    while drained_at.elapsed() < Duration::from_millis(1_200) {
        tag += 1;
        let response = client.get(tag, "docs", tag.into(), tag.into());
        rejected += u32::from(response.contains("refused"));
        assert!(response.contains("good") || response.contains("refused"), "{response}");
    }
    assert!(rejected > 0, "no request was rejected while only a draining edge cache was named");
    let deadline = drained_at + Duration::from_millis(500);
    assert!(
        setup.endpoints[0].received().iter().all(|a| a.at < deadline),
        "attempts at the edge cache after its drain"
    );
    // A non-idempotent request isn't sent there either, nor to any other endpoint.
    assert!(client.get(5_000, "cert-filing", 5_000, 9).starts_with("5000 refused"));
    *server.behavior.lock().unwrap() =
        ServerBehavior::EdgeCache("s-b", setup.endpoints[1].addr, "parent=s-a");
    assert!(client.get(5_001, "docs", 5_001, 9).contains("refused"), "a draining fill source was used");
    *server.behavior.lock().unwrap() =
        ServerBehavior::EdgeCache("s-b", setup.endpoints[0].addr, "parent=s-o");
    assert!(
        client.get(5_002, "docs", 5_002, 9).contains("refused"),
        "an address that belongs to another edge cache was used"
    );
    *server.behavior.lock().unwrap() =
        ServerBehavior::EdgeCache("s-b", setup.endpoints[1].addr, "parent=s-o");
    assert_eq!(client.get(5_003, "docs", 5_003, 9), "5003 good ver=d1 bytes");
    assert!(setup.endpoints[0].received().iter().all(|a| a.at < deadline));
}

/// Guards against serving copies older than a purge when the endpoint comes from a lookup: the
/// following router must apply the purges that it received itself.
#[test]
fn a_purge_bounds_requests_that_follow_dns() {
    let (setup, _server, mut client) = start_following_router();
    setup.feed.publish(&format!("\"purge\":{{\"group\":17,\"at\":{}}}", unix_ms()));
    let mut tag = 0;
    let max_age_ms: u64 = wait_until("the purge", || {
        tag += 1;
        assert!(client.get(tag, "docs", tag.into(), 9).contains("good"));
        let last = setup.endpoints[0].received().pop().unwrap().fields;
        last.split(',').find_map(|f| f.strip_prefix("accept="))?.parse().ok()
    });
    assert!((1..8_000).contains(&max_age_ms), "copies older than the purge are accepted: {max_age_ms} ms");
}

/// Guards against executing a non-idempotent request twice by way of lookups, also while its
/// endpoint fails: one lookup, at most one attempt, and a failure if the request may have been
/// executed.
#[test]
fn a_non_idempotent_request_that_follows_dns_is_sent_at_most_once() {
    let (setup, server, mut client) = start_following_router();
    let lookups = |rid: u64| {
        let id = format!("r{rid:016x}.");
        server.received.lock().unwrap().iter().filter(|n| n.starts_with(&id)).count()
    };
    let runs = |rid: u64| {
        let id = format!("{rid:016x}");
        setup.endpoints.iter().flat_map(StubEndpoint::received).filter(|a| a.rid == id).count()
    };
    let mut tag = 0;
    for (behavior, status, attempts) in [
        (StubBehavior::CloseConnection, "broken", 1),
        (StubBehavior::Status("failed"), "broken", 1),
        (StubBehavior::NoResponse, "broken", 1),
        (StubBehavior::Status("full"), "refused", 1),
        (StubBehavior::Data(b"stamp".to_vec()), "good", 1),
    ] {
        setup.endpoints[0].set_behavior(behavior.clone());
        tag += 1;
        let response = client.get(tag, "cert-filing", tag.into(), 9);
        assert_eq!(response.split(' ').nth(1), Some(status), "{behavior:?}");
        assert_eq!((lookups(tag.into()), runs(tag.into())), (1, attempts), "{behavior:?}");
    }
    // If the DNS server rejects the lookup or doesn't respond, the request was not sent and may be
    // retried.
    for behavior in [ServerBehavior::Code(5), ServerBehavior::Code(2), ServerBehavior::Silence] {
        *server.behavior.lock().unwrap() = behavior;
        tag += 1;
        assert!(client.get(tag, "cert-filing", tag.into(), 9).contains("refused"));
        assert_eq!(runs(tag.into()), 0);
    }
    assert!(
        setup.endpoints[1].count() + setup.endpoints[2].count() == 0,
        "attempts at an endpoint that no DNS response named"
    );
}

/// Two routers in a row, where the second follows the DNS responses of the first. Guards against
/// attempts later than 500 ms after a drain, and against executing a non-idempotent request twice,
/// while edge caches drain and fail.
#[test]
fn a_router_that_follows_another_respects_drains_and_idempotency() {
    let first = start_router(ZONE);
    let text = format!("follow: '{}', zone: '{ZONE}'", first.dns);
    let second = RouterProcess::with_dns(&first.feed, &text);
    let mut client = Client::connect(second.addr);
    let mut tag = 0;
    wait_until("the router to know the endpoint list", || {
        tag += 1;
        client.get(tag, "docs", tag.into(), 5).contains("good").then_some(())
    });
    let mut drained = None;
    for number in 1..=120 {
        match number {
            // First fills fail because the parent cache failed, then the edge cache closes its
            // connections.
            15 => first.endpoints[0].set_behavior(StubBehavior::Status("failed")),
            25 => first.endpoints[0].set_behavior(StubBehavior::Status("full")),
            40 => first.endpoints[0].set_behavior(StubBehavior::CloseConnection),
            60 => first.endpoints[0].set_behavior(StubBehavior::Data(b"bytes".to_vec())),
            70 => {
                let draining_line = endpoint_line("s-b", first.endpoints[1].addr, "std", "draining");
                drained = Some(first.feed.publish_endpoints(false, &[draining_line]));
            }
            _ => {}
        }
        let class = if number % 3 == 0 { "cert-filing" } else { "docs" };
        let response = client.get(tag + number, class, (10_000 + number).into(), number.into());
        assert!(!response.contains("end"), "{response}");
        thread::sleep(Duration::from_millis(if number > 70 { 20 } else { 2 }));
    }
    let deadline = drained.unwrap() + Duration::from_millis(500);
    assert!(Instant::now() > deadline, "the load ended within the grace period of the drain");
    assert!(
        first.endpoints[1].received().iter().all(|a| a.at < deadline),
        "attempts at the edge cache after its drain"
    );
    let non_idempotent =
        first.endpoints.iter().flat_map(StubEndpoint::received).filter(|a| a.fields.contains("cert-filing"));
    let mut ids: Vec<String> = non_idempotent.map(|a| a.rid).collect();
    let attempt_count = ids.len();
    ids.sort();
    ids.dedup();
    assert!(
        attempt_count > 20 && ids.len() == attempt_count,
        "{} non-idempotent requests were sent {attempt_count} times",
        ids.len()
    );
}

/// Guards against a new process that exits, as its predecessor still owns the address for queries, so
/// that nobody answers them once the predecessor has ended.
#[test]
fn a_process_with_a_dns_front_is_replaced() {
    let feed = StubFeed::start();
    let endpoints: Vec<StubEndpoint> =
        (0..3).map(|_| StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()))).collect();
    feed.publish_endpoints(true, &lines(&endpoints, ["s-a", "s-b"]));
    let reserved = ReservedAddress::new();
    let listen = format!("\"listen\":\"{}\"", reserved.addr);
    let config = with_admin_endpoint(&config(feed.addr).replace("\"listen\":\"127.0.0.1:0\"", &listen));
    let dir = temp_file("nothing", "").parent().unwrap().to_path_buf();
    let start = |dns: &str| {
        let section = format!("{{dns: {{listen: '{dns}', zone: '{ZONE}'}}}}");
        let router = RouterProcess::with_operator_file_and_handover_dir(&config, &section, &dir);
        wait_until("the router to be ready", || {
            (admin_call(admin_address(&router), "GET /status").0 == 200).then_some(())
        });
        router
    };
    let mut old = start("127.0.0.1:0");
    let dns = old.dns.unwrap();
    // A client repeats a query that gets no answer.
    let answer = || {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        wait_until("an answer", || {
            socket.send_to(&query(7, 0, DOCS, A, None), dns).unwrap();
            let mut buffer = [0; 4096];
            let length = socket.recv(&mut buffer).ok()?;
            Some(decode(&buffer[..length])).filter(|answer| answer[0] == "NOERROR")
        })
    };
    answer();
    let mut new = start(&dns.to_string());
    let asked = Instant::now();
    answer();
    assert!(asked.elapsed() < Duration::from_secs(1), "answered after {:?}", asked.elapsed());
    old.signal("-TERM");
    assert!(old.wait_for_exit().0.success());
    answer();
    assert!(new.child.try_wait().unwrap().is_none(), "the new process has exited");
    assert!(TcpStream::connect(dns).is_ok());
    let _removed = std::fs::remove_dir_all(&dir);
}
