//! DNS: queries answered over UDP and TCP, and answers followed, with stubs on loopback. What
//! runs is counted at the endpoints.

mod common;

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

fn put_name(out: &mut Vec<u8>, name: &str) {
    for label in name.split('.').filter(|l| !l.is_empty()) {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.push(0);
}

/// A query with these flags; `edns`: the payload size offered.
fn query(id: u16, flags: u16, name: &str, kind: u16, edns: Option<u16>) -> Vec<u8> {
    let mut out = Vec::new();
    for field in [id, flags, 1, 0, 0, u16::from(edns.is_some())] {
        out.extend(field.to_be_bytes());
    }
    put_name(&mut out, name);
    out.extend([kind.to_be_bytes(), [0, 1]].concat());
    if let Some(size) = edns {
        out.extend([0, 0, 41]);
        out.extend([size.to_be_bytes(), [0, 0], [0, 0], [0, 0]].concat());
    }
    out
}

fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_be_bytes([b[at], b[at + 1]])
}

fn read_name(b: &[u8], at: &mut usize) -> String {
    let (mut name, mut here, mut end) = (String::new(), *at, None);
    while b[here] != 0 {
        if b[here] >= 192 {
            end = end.or(Some(here + 2));
            here = usize::from(u16_at(b, here) & 0x3fff);
            continue;
        }
        let n = usize::from(b[here]);
        write!(name, "{}.", String::from_utf8_lossy(&b[here + 1..here + 1 + n])).unwrap();
        here += n + 1;
    }
    *at = end.unwrap_or(here + 1);
    name
}

/// An answer in words: code, mark of a cut, and each record behind the letter of its section.
fn words(b: &[u8]) -> Vec<String> {
    let codes = ["NOERROR", "FORMERR", "SERVFAIL", "NXDOMAIN", "NOTIMP", "REFUSED"];
    let flags = u16_at(b, 2);
    assert!(flags & 0x8000 != 0, "not an answer");
    let mut out = vec![codes[usize::from(flags & 15)].to_string()];
    out.extend((flags & 0x200 != 0).then(|| "cut".to_string()));
    let mut at = 12;
    for _ in 0..u16_at(b, 4) {
        read_name(b, &mut at);
        at += 4;
    }
    for (i, section) in ["an", "ns", "ar"].into_iter().enumerate() {
        for _ in 0..u16_at(b, 6 + 2 * i) {
            let owner = read_name(b, &mut at);
            let (kind, class, ttl, len) =
                (u16_at(b, at), u16_at(b, at + 2), u16_at(b, at + 6), usize::from(u16_at(b, at + 8)));
            at += 10;
            let data = &b[at..at + len];
            let text = match kind {
                A => format!("A {}", data.iter().map(u8::to_string).collect::<Vec<_>>().join(".")),
                SOA => format!("SOA {}", read_name(b, &mut at.clone())),
                SRV => format!("SRV {} {}", u16_at(data, 4), read_name(b, &mut (at + 6))),
                TXT => {
                    format!("TXT {}", String::from_utf8_lossy(data).replace(|c: char| c.is_control(), "|"))
                }
                41 => format!("OPT {class} {}", u16_at(b, at - 6) >> 8),
                other => format!("type {other}"),
            };
            assert!(kind == 41 || ttl == 0, "an answer that may be kept");
            out.push(format!("{section} {owner} {text}"));
            at += len;
        }
    }
    assert_eq!(at, b.len());
    out
}

fn exchange(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    socket.send_to(bytes, to).unwrap();
    let mut buffer = [0; 4096];
    let n = socket.recv(&mut buffer).unwrap();
    assert_eq!(buffer[..2], bytes[..2], "the id is repeated");
    buffer[..n].to_vec()
}

fn framed(message: Vec<u8>) -> Vec<u8> {
    [&(message.len() as u16).to_be_bytes()[..], &message].concat()
}

fn read_framed(tcp: &mut TcpStream) -> Vec<u8> {
    let mut len = [0; 2];
    tcp.read_exact(&mut len).unwrap();
    let mut message = vec![0; usize::from(u16::from_be_bytes(len))];
    tcp.read_exact(&mut message).unwrap();
    message
}

fn ask(to: SocketAddr, name: &str, kind: u16) -> Vec<String> {
    words(&exchange(to, &query(7, 0, name, kind, None)))
}

/// The port that an SRV answer names; none if nothing is named.
fn port(answer: &[String]) -> Option<u16> {
    let srv = answer.iter().find(|l| l.starts_with("an ") && l.contains(" SRV "))?;
    srv.split(' ').nth(3)?.parse().ok()
}

/// An address at which nobody listens: a parent cache that has failed.
fn dead() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

struct Setup {
    feed: StubFeed,
    endpoints: Vec<StubEndpoint>,
    node: RouterProcess,
    dns: SocketAddr,
}

fn served(zone: &str) -> Setup {
    served_by(zone, ["s-a", "s-b"])
}

fn served_by(zone: &str, uids: [&str; 2]) -> Setup {
    let feed = StubFeed::start();
    let endpoints: Vec<StubEndpoint> =
        (0..3).map(|_| StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()))).collect();
    feed.publish_endpoints(true, &lines(&endpoints, uids));
    let node = RouterProcess::with_dns(&feed, &format!("listen: '127.0.0.1:0', zone: '{zone}'"));
    let dns = node.dns.unwrap();
    let name = DOCS.replace(ZONE, zone);
    wait_until("the list", || (ask(dns, &name, A)[0] == "NOERROR").then_some(()));
    Setup { feed, endpoints, node, dns }
}

fn lines(endpoints: &[StubEndpoint], uids: [&str; 2]) -> Vec<String> {
    let of = |i: usize, uid, model| endpoint_line(uid, endpoints[i].addr, model, "ready");
    vec![
        of(0, uids[0], "std"),
        of(1, uids[1], "std"),
        of(2, "s-o", "origin"),
        endpoint_line("s-h", dead(), "parent", "ready"),
    ]
}

#[test]
fn answers_by_the_standard() {
    let setup = served(ZONE);
    let mut said = String::new();
    let mut note = |what: &str, answer: Vec<String>| {
        let mut text =
            format!("{what}: {}\n", answer.join("; ")).replace("s-a.", "BOX.").replace("s-b.", "BOX.");
        for s in &setup.endpoints {
            text = text.replace(&s.addr.port().to_string(), "PORT");
        }
        said.push_str(&text);
    };
    let of = |name: &str, kind| ask(setup.dns, name, kind);
    note("srv", of(DOCS, SRV));
    note("any case", of(&DOCS.to_uppercase(), A));
    note("text alone", of(DOCS, TXT));
    note("filing", of(FILING, SRV));
    note("no such type", of(DOCS, AAAA));
    note("other type", of(DOCS, 15));
    note("apex", of(ZONE, SOA));
    note("between", of("docs.route.example", A));
    note("a filing without its id", of("g17.p0.7f3a9c21e0b4d655.cert-filing.route.example", A));
    note("an id where none belongs", of(&format!("r9b1f03aa5c7e2d41.{DOCS}"), A));
    note("unknown class", of("g17.p3.7f3a9c21e0b4d655.songs.route.example", A));
    note("bad group", of("g256.p3.7f3a9c21e0b4d655.docs.route.example", A));
    note("box", of("s-a.box.route.example", A));
    note("no such box", of("s-z.box.route.example", A));
    note("elsewhere", of("www.example.org", A));
    note("transfer", of(ZONE, 252));
    let raw = |bytes: &[u8]| words(&exchange(setup.dns, bytes));
    note("opcode", raw(&query(7, 0x2000, DOCS, A, None)));
    let whole = query(7, 0, DOCS, A, None);
    note("half a question", raw(&whole[..30]));
    note("trailing bytes", raw(&[&whole[..], b"x"].concat()));
    note("two questions", raw(&[&whole[..4], &[0, 2], &whole[6..]].concat()));
    note("pointer to itself", raw(&[&whole[..12], &[0xc0, 12, 0, 1, 0, 1]].concat()));
    note("edns", raw(&query(7, 0, ZONE, 15, Some(4096))));
    let mut version = query(7, 0, DOCS, A, Some(4096));
    let at = version.len() - 5;
    version[at] = 1;
    note("edns version", raw(&version));
    insta::assert_snapshot!(said);
}

/// Guards against two queries in one segment, or one in many, and against lengths that no query
/// has.
#[test]
fn queries_over_tcp_may_arrive_in_any_pieces() {
    let setup = served(ZONE);
    let mut tcp = TcpStream::connect(setup.dns).unwrap();
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let two = [framed(query(1, 0, DOCS, SRV, None)), framed(query(2, 0, ZONE, SOA, None))].concat();
    for piece in two.chunks(7) {
        tcp.write_all(piece).unwrap();
        tcp.flush().unwrap();
    }
    for id in [1, 2] {
        let answer = read_framed(&mut tcp);
        assert_eq!((u16_at(&answer, 0), words(&answer)[0].as_str()), (id, "NOERROR"));
    }
    tcp.write_all(&[0xff, 0xff, 0, 0]).unwrap();
    assert_eq!(tcp.read(&mut [0; 2]).unwrap_or(0), 0, "a length over the bound ends the connection");
}

/// Guards against panics on whatever a datagram holds: queries with bytes changed, the same in
/// every run.
#[test]
fn malformed_queries_do_not_stop_service() {
    let mut setup = served(ZONE);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut number = 0x9e37_79b9_7f4a_7c15_u64;
    for n in 0..2_000_usize {
        let mut bytes = query(n as u16, 0, FILING, SRV, Some(1232));
        for _ in 0..=n % 3 {
            number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let at = (number >> 33) as usize % bytes.len();
            bytes[at] = (number >> 20) as u8;
        }
        bytes.truncate(bytes.len() - n % 7);
        socket.send_to(&bytes, setup.dns).unwrap();
        if n % 100 == 99 {
            assert_eq!(ask(setup.dns, ZONE, SOA)[0], "NOERROR");
        }
    }
    assert!(setup.node.child.try_wait().unwrap().is_none());
}

/// Guards against datagrams larger than the client takes.
#[test]
fn an_answer_that_does_not_fit_is_shortened_then_truncated() {
    let label = "z".repeat(60);
    let zone = format!("{label}.{label}.example");
    let setup = served(&zone);
    let name = DOCS.replace(ZONE, &zone);
    let sized = |edns| exchange(setup.dns, &query(7, 0, &name, SRV, edns));
    let (plain, large) = (sized(None), sized(Some(1232)));
    assert!(
        plain.len() <= 512 && large.len() > 512 && large.len() <= 1232,
        "{} {}",
        plain.len(),
        large.len()
    );
    let marks = |b: &[u8]| (words(b).iter().any(|w| w == "cut"), port(&words(b)).is_some());
    assert_eq!((marks(&plain), marks(&large)), ((false, true), (false, true)));
    let long = format!("{label}.{label}.{}.example", "y".repeat(50));
    let setup = served_by(&long, ["a", "b"].map(|first| first.repeat(60)).each_ref().map(String::as_str));
    let name = FILING.replace(ZONE, &long);
    let cut = exchange(setup.dns, &query(7, 0, &name, SRV, None));
    assert!(cut.len() <= 512);
    assert_eq!(marks(&cut), (true, false));
}

/// Guards against an answer that names an endpoint that drains or is gone, and against a second
/// target for a non-idempotent request.
#[test]
fn a_draining_edge_cache_is_never_named_again() {
    let setup = served(ZONE);
    let first = port(&ask(setup.dns, FILING, SRV)).unwrap();
    for _ in 0..5 {
        assert_eq!(port(&ask(setup.dns, FILING, SRV)), Some(first), "one target for good");
    }
    let (at, uid) = if first == setup.endpoints[0].addr.port() { (0, "s-a") } else { (1, "s-b") };
    setup.feed.publish_endpoints(false, &[endpoint_line(uid, setup.endpoints[at].addr, "std", "draining")]);
    wait_until("the drain", || {
        (ask(setup.dns, &format!("{uid}.box.{ZONE}"), A)[0] == "NXDOMAIN").then_some(())
    });
    let other = Some(setup.endpoints[1 - at].addr.port());
    let mut named = 0;
    for n in 0..40 {
        let name = format!("g17.p{n}.7f3a9c21e0b4d655.docs.{ZONE}");
        let answer = ask(setup.dns, &name, SRV);
        // The one that is left may be full for a while: lookups are load.
        assert!(port(&answer) == other || answer == ["REFUSED"], "{answer:?}");
        named += usize::from(port(&answer) == other);
    }
    assert!(named > 0, "the one box that is left is never named");
    assert_eq!(ask(setup.dns, FILING, SRV), ["REFUSED"], "its one target takes no work");
    // A client that was given its endpoint may have sent it: it is not accepted by the platform's
    // protocol either.
    let mut client = Client::connect(setup.node.addr);
    assert_eq!(client.get(1, "cert-filing", 0x9b1f_03aa_5c7e_2d41, 9), "1 broken");
    assert!(setup.endpoints.iter().all(|s| s.count() == 0), "a lookup sends nothing");
}

/// Guards against lookups that count as nothing: many at one moment are more than two edge caches
/// can do.
#[test]
fn lookups_count_as_load() {
    let setup = served(ZONE);
    let mut tcp = TcpStream::connect(setup.dns).unwrap();
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let name = |n| format!("g1.p{n}.7f3a9c21e0b4d655.docs.{ZONE}");
    let asked: Vec<u8> = (1..=64).flat_map(|n| framed(query(n, 0, &name(n), A, None))).collect();
    assert!(asked.len() < 4096, "one read takes them all");
    tcp.write_all(&asked).unwrap();
    let codes: Vec<String> = (1..=64).map(|_| words(&read_framed(&mut tcp))[0].clone()).collect();
    let named = codes.iter().filter(|c| *c == "NOERROR").count();
    assert!((8..60).contains(&named) && codes[63] == "REFUSED", "{codes:?}");
}

/// Guards against lookups that change health: their outcome is unknown.
#[test]
fn lookups_eject_no_edge_cache() {
    let setup = served(ZONE);
    let start = Instant::now();
    let mut named = std::collections::BTreeSet::new();
    let mut n = 0;
    while start.elapsed() < Duration::from_millis(2_500) {
        n += 1;
        let answer = ask(setup.dns, &format!("g1.p{n}.7f3a9c21e0b4d655.docs.{ZONE}"), SRV);
        if start.elapsed() > Duration::from_millis(1_500) {
            named.extend(port(&answer));
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(named.len(), 2, "both boxes are still named");
}

// ---- following ----

/// What a stub DNS server answers: an edge cache by name and address, or a code.
#[derive(Clone)]
enum Names {
    Box(&'static str, SocketAddr, &'static str),
    Code(u16),
    Silence,
}

struct Server {
    addr: SocketAddr,
    names: Arc<Mutex<Names>>,
    received: Arc<Mutex<Vec<String>>>,
}

fn answering(names: Names) -> Server {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let addr = socket.local_addr().unwrap();
    let (names, received) = (Arc::new(Mutex::new(names)), Arc::new(Mutex::new(Vec::new())));
    let server = Server { addr, names: names.clone(), received: received.clone() };
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok((n, peer)) = socket.recv_from(&mut buffer) {
            let mut at = 12;
            received.lock().unwrap().push(read_name(&buffer[..n], &mut at));
            let question = &buffer[12..at + 4];
            let head = |code: u16, records: [u16; 2]| {
                let fields = [u16_at(&buffer, 0), 0x8400 | code, 1, records[0], 0, records[1]];
                [fields.map(u16::to_be_bytes).concat(), question.to_vec()].concat()
            };
            let answer = match names.lock().unwrap().clone() {
                Names::Silence => continue,
                Names::Code(code) => head(code, [0, 0]),
                Names::Box(uid, to, text) => {
                    let mut out = head(0, [1, 2]);
                    let mut target = Vec::new();
                    put_name(&mut target, &format!("{uid}.box.{ZONE}"));
                    let mut record = |owner: &[u8], kind: u16, data: &[u8]| {
                        out.extend(owner);
                        out.extend([kind, 1, 0, 0, data.len() as u16].map(u16::to_be_bytes).concat());
                        out.extend(data);
                    };
                    let srv = [&[0, 0, 0, 0], &to.port().to_be_bytes()[..], &target].concat();
                    record(&[0xc0, 12], SRV, &srv);
                    record(&target, A, &[127, 0, 0, 1]);
                    record(&[0xc0, 12], TXT, &[&[text.len() as u8], text.as_bytes()].concat());
                    out
                }
            };
            socket.send_to(&answer, peer).unwrap();
        }
    });
    server
}

/// A follower of a stub server that names the first of three endpoints.
fn following() -> (Setup, Server, Client) {
    let feed = StubFeed::start();
    let endpoints: Vec<StubEndpoint> =
        (0..3).map(|_| StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()))).collect();
    feed.publish_endpoints(true, &lines(&endpoints, ["s-a", "s-b"]));
    let server = answering(Names::Box("s-a", endpoints[0].addr, "parent=s-o"));
    let dns = server.addr;
    let node = RouterProcess::with_dns(&feed, &format!("follow: '{dns}', zone: '{ZONE}'"));
    let mut client = Client::connect(node.addr);
    let mut tag = 1_000;
    wait_until("the list", || {
        tag += 1;
        client.get(tag, "docs", tag.into(), 5).contains("good").then_some(())
    });
    (Setup { feed, endpoints, node, dns }, server, client)
}

/// Guards against attempts at a draining edge cache while an answer that names it is still given
/// out: none after 500 ms.
#[test]
fn a_delayed_dns_answer_does_not_reach_a_draining_edge_cache() {
    let (setup, server, mut client) = following();
    assert!(setup.endpoints[0].received()[0].fields.contains("parent=s-o"));
    let told = setup
        .feed
        .publish_endpoints(false, &[endpoint_line("s-a", setup.endpoints[0].addr, "std", "draining")]);
    let (mut tag, mut refused) = (0, 0);
    while told.elapsed() < Duration::from_millis(1_200) {
        tag += 1;
        let answer = client.get(tag, "docs", tag.into(), tag.into());
        refused += u32::from(answer.contains("refused"));
        assert!(answer.contains("good") || answer.contains("refused"), "{answer}");
    }
    assert!(refused > 0, "an answer that names only what drains is no answer");
    let late = told + Duration::from_millis(500);
    assert!(setup.endpoints[0].received().iter().all(|a| a.at < late), "work after the drain");
    // Nor does a non-idempotent request go there, or anywhere else.
    assert!(client.get(5_000, "cert-filing", 5_000, 9).starts_with("5000 refused"));
    *server.names.lock().unwrap() = Names::Box("s-b", setup.endpoints[1].addr, "parent=s-a");
    assert!(client.get(5_001, "docs", 5_001, 9).contains("refused"), "a source that drains is no source");
    *server.names.lock().unwrap() = Names::Box("s-b", setup.endpoints[0].addr, "parent=s-o");
    assert!(client.get(5_002, "docs", 5_002, 9).contains("refused"), "the address is another box's");
    *server.names.lock().unwrap() = Names::Box("s-b", setup.endpoints[1].addr, "parent=s-o");
    assert_eq!(client.get(5_003, "docs", 5_003, 9), "5003 good ver=d1 bytes");
    assert!(setup.endpoints[0].received().iter().all(|a| a.at < late));
}

/// Guards against an old copy by way of a lookup: the follower applies the purges that it received
/// itself.
#[test]
fn a_purge_bounds_requests_that_follow_dns() {
    let (setup, _server, mut client) = following();
    setup.feed.publish(&format!("\"purge\":{{\"group\":17,\"at\":{}}}", unix_ms()));
    let mut tag = 0;
    let bound: u64 = wait_until("the purge", || {
        tag += 1;
        assert!(client.get(tag, "docs", tag.into(), 9).contains("good"));
        let last = setup.endpoints[0].received().pop().unwrap().fields;
        last.split(',').find_map(|f| f.strip_prefix("accept="))?.parse().ok()
    });
    assert!((1..8_000).contains(&bound), "no copy older than the purge will do, not {bound} ms");
}

/// Guards against a non-idempotent request that runs twice by way of lookups, also while parent
/// cache and edge caches fail: one lookup, one run at most, and a failure where it may have run.
#[test]
fn a_non_idempotent_request_that_follows_dns_runs_once_at_most() {
    let (setup, server, mut client) = following();
    let lookups = |rid: u64| {
        let id = format!("r{rid:016x}.");
        server.received.lock().unwrap().iter().filter(|n| n.starts_with(&id)).count()
    };
    let runs = |rid: u64| {
        let id = format!("{rid:016x}");
        setup.endpoints.iter().flat_map(StubEndpoint::received).filter(|a| a.rid == id).count()
    };
    let mut tag = 0;
    for (does, word, ran) in [
        (StubBehavior::CloseConnection, "broken", 1),
        (StubBehavior::Status("failed"), "broken", 1),
        (StubBehavior::NoAnswer, "broken", 1),
        (StubBehavior::Status("full"), "refused", 1),
        (StubBehavior::Data(b"stamp".to_vec()), "good", 1),
    ] {
        setup.endpoints[0].set_behavior(does.clone());
        tag += 1;
        let answer = client.get(tag, "cert-filing", tag.into(), 9);
        assert_eq!(answer.split(' ').nth(1), Some(word), "{does:?}");
        assert_eq!((lookups(tag.into()), runs(tag.into())), (1, ran), "{does:?}");
    }
    // Rejected by the server, or never answered: it was not sent, and the client may try again.
    for names in [Names::Code(5), Names::Code(2), Names::Silence] {
        *server.names.lock().unwrap() = names;
        tag += 1;
        assert!(client.get(tag, "cert-filing", tag.into(), 9).contains("refused"));
        assert_eq!(runs(tag.into()), 0);
    }
    assert!(setup.endpoints[1].count() + setup.endpoints[2].count() == 0, "nothing went where no answer led");
}

/// The whole path: one router answers, another follows it; while edge caches drain and break under
/// non-idempotent requests, none is used 500 ms after its drain and none runs a non-idempotent
/// request that another has run.
#[test]
fn two_routers_in_a_row_keep_the_rules() {
    let first = served(ZONE);
    let text = format!("follow: '{}', zone: '{ZONE}'", first.dns);
    let second = RouterProcess::with_dns(&first.feed, &text);
    let mut client = Client::connect(second.addr);
    let mut tag = 0;
    wait_until("the list", || {
        tag += 1;
        client.get(tag, "docs", tag.into(), 5).contains("good").then_some(())
    });
    let mut drained = None;
    for n in 1..=120 {
        match n {
            // The parent cache fails: fills behind the edge cache break off, or are not begun; then
            // the edge cache itself breaks.
            15 => first.endpoints[0].set_behavior(StubBehavior::Status("failed")),
            25 => first.endpoints[0].set_behavior(StubBehavior::Status("full")),
            40 => first.endpoints[0].set_behavior(StubBehavior::CloseConnection),
            60 => first.endpoints[0].set_behavior(StubBehavior::Data(b"bytes".to_vec())),
            70 => {
                let off = endpoint_line("s-b", first.endpoints[1].addr, "std", "draining");
                drained = Some(first.feed.publish_endpoints(false, &[off]));
            }
            _ => {}
        }
        let class = if n % 3 == 0 { "cert-filing" } else { "docs" };
        let answer = client.get(tag + n, class, (10_000 + n).into(), n.into());
        assert!(!answer.contains("end"), "{answer}");
        thread::sleep(Duration::from_millis(if n > 70 { 20 } else { 2 }));
    }
    let late = drained.unwrap() + Duration::from_millis(500);
    assert!(Instant::now() > late, "it went on for longer than the grace");
    assert!(first.endpoints[1].received().iter().all(|a| a.at < late), "work after the drain");
    let filings =
        first.endpoints.iter().flat_map(StubEndpoint::received).filter(|a| a.fields.contains("cert-filing"));
    let mut ids: Vec<String> = filings.map(|a| a.rid).collect();
    let all = ids.len();
    ids.sort();
    ids.dedup();
    assert!(all > 20 && ids.len() == all, "{} filings ran {all} times", ids.len());
}
