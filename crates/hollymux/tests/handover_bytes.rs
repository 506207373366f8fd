//! The bytes that a process sends to its successor, in both directions: every later version must
//! take over from the frames of an earlier one (`fixtures/handover.bin`), and must send frames of
//! the same form. The decoder here is written from the format alone, so that a change of the
//! program's decoder can't hide a change of the format.

mod common;

use common::reserved_address::ReservedAddress;
use common::*;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde_json::{json, Value};
use std::io::{IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::thread;

// ---- frames ----

/// Length of a frame's header: magic bytes, version, kind, and the body's length as four bytes in
/// big-endian order.
const HEADER_LENGTH: usize = 9;
const HELLO: u8 = 1;
const LEGACY: u8 = 2;
const TAKE: u8 = 3;
const YOURS: u8 = 4;
const FILINGS: u8 = 5;
const FLEET: u8 = 7;

fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32).to_be_bytes();
    [&b"hmx\x01"[..], &[kind], &length, body].concat()
}

/// The first frame of a successor: the address that it will serve, preceded by its length.
fn hello(addr: SocketAddr) -> Vec<u8> {
    let text = addr.to_string();
    frame(HELLO, &[&[text.len() as u8], text.as_bytes()].concat())
}

/// The request of this program for a handover, which says that it reads what the predecessor keeps of
/// the shared limits.
fn hello_of_this_program(addr: SocketAddr) -> Vec<u8> {
    let text = addr.to_string();
    frame(HELLO, &[&[text.len() as u8], text.as_bytes(), &[1]].concat())
}

/// Splits off the first frame, and returns its kind and all its bytes; `None` if it is incomplete.
fn split_first_frame(bytes: &[u8]) -> Option<(u8, &[u8])> {
    let header = bytes.get(..HEADER_LENGTH)?;
    assert_eq!(&header[..4], b"hmx\x01", "wrong magic bytes or version");
    let length = u32::from_be_bytes(header[5..].try_into().unwrap()) as usize;
    Some((header[4], bytes.get(..HEADER_LENGTH + length)?))
}

fn split_frames(mut bytes: &[u8]) -> Vec<(u8, Vec<u8>)> {
    let mut frames_received = Vec::new();
    while let Some((kind, frame)) = split_first_frame(bytes) {
        frames_received.push((kind, frame.to_vec()));
        bytes = &bytes[frame.len()..];
    }
    assert!(bytes.is_empty(), "{} bytes at the end are not a frame", bytes.len());
    frames_received
}

// ---- frame bodies, which are encoded by postcard ----

struct Decoder<'a> {
    bytes: &'a [u8],
}

impl Decoder<'_> {
    fn byte(&mut self) -> u8 {
        let (first, rest) = self.bytes.split_first().expect("a byte is missing");
        self.bytes = rest;
        *first
    }

    /// Reads a variable-length integer: seven bits per byte, least significant first; the eighth
    /// bit marks that another byte follows.
    fn number(&mut self) -> u64 {
        let (mut number, mut shift) = (0, 0);
        loop {
            let byte = self.byte();
            number |= u64::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return number;
            }
            shift += 7;
        }
    }

    fn flag(&mut self) -> bool {
        let byte = self.byte();
        assert!(byte <= 1, "{byte} is neither true nor false");
        byte == 1
    }

    fn float(&mut self) -> f64 {
        let (eight, rest) = self.bytes.split_first_chunk::<8>().expect("eight bytes are missing");
        self.bytes = rest;
        f64::from_le_bytes(*eight)
    }

    fn text(&mut self) -> String {
        let length = self.number() as usize;
        let (text, rest) = self.bytes.split_at(length);
        self.bytes = rest;
        String::from_utf8(text.to_vec()).unwrap()
    }

    fn option(&mut self, decode_element: impl FnOnce(&mut Self) -> Value) -> Value {
        if self.flag() {
            decode_element(self)
        } else {
            Value::Null
        }
    }

    fn list(&mut self, mut decode_element: impl FnMut(&mut Self) -> Value) -> Value {
        let length = self.number();
        (0..length).map(|_| decode_element(self)).collect()
    }

    fn texts(&mut self) -> Value {
        self.list(|decoder| json!(decoder.text()))
    }

    /// Reads a Unix time in microseconds. Its value differs between runs, so only its presence is
    /// shown.
    fn time(&mut self) -> Value {
        match self.number() {
            0 => json!(0),
            time if time > 1_700_000_000_000_000 => json!("TIME"),
            short => json!(format!("{short} us")),
        }
    }

    /// Reads a measured value. It differs between runs, so only its being finite is checked.
    fn measured(&mut self) -> Value {
        assert!(self.float().is_finite());
        json!("MEASURED")
    }

    fn address(&mut self) -> Value {
        assert_eq!(self.number(), 0, "not an IPv4 address");
        let octets = [self.byte(), self.byte(), self.byte(), self.byte()];
        assert_ne!(self.number(), 0, "the port is 0");
        json!(format!("{}:PORT", Ipv4Addr::from(octets)))
    }

    fn member(&mut self) -> Value {
        json!({"uid": self.text(), "address": self.option(Decoder::address), "zone": self.number(),
               "kind": self.number(), "cell": self.number(), "weight": self.float(), "draining": self.flag(),
               "started": self.time()})
    }

    fn filing(&mut self) -> Value {
        json!({"id": format!("{:x}", self.number()), "at": self.time(), "host": self.option(|decoder| json!(decoder.number()))})
    }

    fn host(&mut self) -> Value {
        json!({"id": self.number(), "cold_since": self.option(Decoder::time),
               "blame": [self.measured(), self.measured(), self.measured()],
               "last_ok": self.time(), "answers": self.measured(), "out": self.option(Decoder::time),
               "backoff": self.time(), "died": self.flag(), "tardy": self.measured(),
               "load": [self.measured(), self.time()],
               "ledger": self.list(|decoder| json!([decoder.time(), decoder.measured()]))})
    }

    fn class(&mut self) -> Value {
        json!({"work": [self.measured(), self.float()], "sent": self.option(Decoder::measured),
               "slow": self.measured()})
    }

    fn purge(&mut self) -> Value {
        json!({"group": self.flag(), "what": self.number(), "at": self.time()})
    }

    fn memory(&mut self) -> Value {
        json!({"hosts": self.list(Decoder::host), "classes": self.list(Decoder::class),
               "levels": self.list(|decoder| json!([decoder.number(), decoder.number(), decoder.time()])),
               "rate": self.measured(),
               "seen": [self.list(|decoder| json!(decoder.number())), self.list(|decoder| json!(decoder.number()))],
               "seen_since": self.time(), "purges": self.list(Decoder::purge), "floor": self.time(),
               "retries": self.measured(), "lost": self.measured()})
    }

    /// The position of the endpoint feed, which may follow the state.
    fn feed_position(&mut self) -> Option<u64> {
        (!self.bytes.is_empty()).then(|| self.number())
    }

    /// Whether the predecessor wants to be told of pending writes, which may follow the position.
    fn accepts_pending_writes(&mut self) -> bool {
        !self.bytes.is_empty() && self.number() == 1
    }

    fn legacy(&mut self) -> Value {
        json!({"zones": self.texts(), "kinds": self.texts(), "classes": self.texts(),
               "members": self.list(Decoder::member), "filings": self.list(Decoder::filing),
               "memory": self.memory()})
    }
}

/// Decodes a frame, with the values that differ between runs masked.
fn decode(frame: &(u8, Vec<u8>)) -> Value {
    let mut decoder = Decoder { bytes: &frame.1[HEADER_LENGTH..] };
    let body = match frame.0 {
        LEGACY => {
            let state = json!({"legacy": decoder.option(Decoder::legacy)});
            decoder.feed_position();
            decoder.accepts_pending_writes();
            state
        }
        YOURS => json!("yours"),
        FILINGS => json!({"filings": decoder.list(Decoder::filing)}),
        FLEET => json!({"fleet": {"start": decoder.time(), "incarnation": decoder.number()}}),
        kind => panic!("a predecessor sent a frame of kind {kind}"),
    };
    assert!(decoder.bytes.is_empty(), "{} bytes follow the body {body}", decoder.bytes.len());
    body
}

/// The position of the endpoint feed behind the state; `None` if the sender does not send it.
fn feed_position(frames: &[(u8, Vec<u8>)]) -> Option<u64> {
    let state = frames.iter().find(|frame| frame.0 == LEGACY).unwrap();
    let mut decoder = Decoder { bytes: &state.1[HEADER_LENGTH..] };
    decoder.option(Decoder::legacy);
    decoder.feed_position()
}

/// Whether the sender of the state wants to be told of pending writes.
fn accepts_pending_writes(frames: &[(u8, Vec<u8>)]) -> bool {
    let state = frames.iter().find(|frame| frame.0 == LEGACY).unwrap();
    let mut decoder = Decoder { bytes: &state.1[HEADER_LENGTH..] };
    decoder.option(Decoder::legacy);
    decoder.feed_position();
    decoder.accepts_pending_writes()
}

fn decode_to_text(frames: &[(u8, Vec<u8>)]) -> String {
    let lines = frames.iter().map(|frame| serde_json::to_string_pretty(&decode(frame)).unwrap());
    lines.collect::<Vec<_>>().join("\n")
}

// ---- setup for both directions ----

struct Setup {
    feed: StubFeed,
    endpoints: [StubEndpoint; 3],
    /// The address for clients, the same for all processes.
    addr: SocketAddr,
    dir: PathBuf,
    /// Keeps `addr` from other processes, unless a listener of the test does.
    _reserved: Option<ReservedAddress>,
}

/// An operator's file with a cluster section, so that the identity in the cluster is handed over
/// too.
const CLUSTER_SECTION: &str = "{fleet: {name: 'library', listen: '127.0.0.1:0', advertise: '127.0.0.1:9'}}";

impl Setup {
    fn new() -> Setup {
        // Use a loopback address specific to this process, so that no other test takes the port.
        let [.., high, low] = std::process::id().to_be_bytes();
        let reserved = ReservedAddress::at(Ipv4Addr::new(127, 77, high, low.max(1)));
        let mut setup = Setup::at(reserved.addr);
        setup._reserved = Some(reserved);
        setup
    }

    fn at(addr: SocketAddr) -> Setup {
        let feed = StubFeed::start();
        let data = StubBehavior::Data(b"some bytes".to_vec());
        let endpoints = [data.clone(), data.clone(), data].map(StubEndpoint::start);
        feed.publish_endpoints(true, &endpoint_lines(&endpoints));
        let dir = temp_file("nothing", "").parent().unwrap().to_path_buf();
        Setup { feed, endpoints, addr, dir, _reserved: None }
    }

    fn config(&self) -> String {
        let listen = format!("\"listen\":\"{}\"", self.addr);
        with_admin_endpoint(&config(self.feed.addr).replace("\"listen\":\"127.0.0.1:0\"", &listen))
    }

    fn start(&self) -> RouterProcess {
        RouterProcess::with_operator_file_and_handover_dir(&self.config(), CLUSTER_SECTION, &self.dir)
    }

    fn handover_socket(&self) -> PathBuf {
        self.dir.join(format!("hollymux-{}-{}.sock", self.addr.ip(), self.addr.port()))
    }

    /// Number of attempts of a request at all endpoints.
    fn attempt_count(&self, id: &str) -> usize {
        let attempts = self.endpoints.iter().flat_map(StubEndpoint::received);
        attempts.filter(|request| request.rid.ends_with(id)).count()
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _result = std::fs::remove_dir_all(&self.dir);
    }
}

fn metric(router: &RouterProcess, name: &str) -> Option<u64> {
    let (status, text) = admin_call(admin_address(router), "GET /status/metrics");
    assert_eq!(status, 200);
    let value = text.lines().find_map(|line| line.strip_prefix(&format!("svc.{name}=")));
    value.and_then(|value| value.parse().ok())
}

fn wait_for_metric(router: &RouterProcess, name: &str, value: u64) {
    wait_until(name, || (metric(router, name) == Some(value)).then_some(()));
}

fn wait_until_ready(router: &RouterProcess) {
    wait_until("the router to be ready", || {
        (admin_call(admin_address(router), "GET /status").0 == 200).then_some(())
    });
}

// ---- a successor in the test takes over from a program ----

/// Reads bytes from the predecessor, and keeps the listening socket that comes with them.
fn receive(socket: &UnixStream, listener: &mut Option<TcpListener>) -> Vec<u8> {
    let mut bytes = vec![0; 1 << 16];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(&mut bytes)];
    let received = recvmsg(socket, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC).unwrap();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            *listener = listener.take().or(sockets.map(TcpListener::from).last());
        }
    }
    assert!(received.bytes > 0, "the predecessor closed the connection");
    bytes.truncate(received.bytes);
    bytes
}

/// Reads frames up to and including the first of this kind.
fn receive_until(kind: u8, socket: &UnixStream, listener: &mut Option<TcpListener>) -> Vec<(u8, Vec<u8>)> {
    let (mut bytes, mut frames_received) = (Vec::new(), Vec::new());
    loop {
        bytes.extend(receive(socket, listener));
        while let Some((kind, frame)) = split_first_frame(&bytes) {
            frames_received.push((kind, frame.to_vec()));
            bytes.drain(..frames_received.last().unwrap().1.len());
        }
        if frames_received.last().is_some_and(|frame| frame.0 == kind) {
            assert!(bytes.is_empty());
            return frames_received;
        }
    }
}

/// Starts a program and takes over from it. Returns all frames that it sends. Its state includes a
/// drain, two purges, a cold endpoint, and non-idempotent requests from before, during and after
/// the handover.
fn take_over() -> Vec<(u8, Vec<u8>)> {
    let setup = Setup::new();
    let router = setup.start();
    wait_until_ready(&router);
    wait_for_metric(&router, "registry_entries", 3);
    setup.feed.publish_endpoints(false, &[endpoint_line("s-a", setup.endpoints[0].addr, "std", "draining")]);
    let now = unix_ms();
    setup.feed.publish(&format!("\"purge\":{{\"group\":17,\"at\":{now}}}"));
    setup.feed.publish(&format!("\"purge\":{{\"key\":\"0000000000000007\",\"at\":{now}}}"));
    wait_for_metric(&router, "out_of_rotation", 1);
    let mut client = Client::connect(setup.addr);
    assert_eq!(client.get(1, "docs", 0xd1, 9), "1 good ver=d1 some bytes");
    assert_eq!(client.get(2, "cert-filing", 0xf1, 9), "2 good ver=d1 some bytes");
    // An endpoint that started just now is cold.
    let cold = StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec()));
    let cold_line = endpoint_line_started_at("s-c", cold.addr, "std", "ready", unix_ms());
    setup.feed.publish_endpoints(false, &[cold_line]);
    wait_for_metric(&router, "registry_entries", 4);
    let mut socket = wait_until("a connection to the handover socket", || {
        UnixStream::connect(setup.handover_socket()).ok()
    });
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut listener = None;
    socket.write_all(&hello(setup.addr)).unwrap();
    let mut frames_received = receive_until(LEGACY, &socket, &mut listener);
    assert_eq!(listener.as_ref().unwrap().local_addr().unwrap(), setup.addr);
    assert_eq!(client.get(3, "cert-filing", 0xf2, 9), "3 good ver=d1 some bytes");
    socket.write_all(&frame(TAKE, &[])).unwrap();
    frames_received.extend(receive_until(YOURS, &socket, &mut listener));
    client.send_request(4, "cert-filing", 0xf3, ",obj=0000000000000009");
    frames_received.extend(receive_until(FILINGS, &socket, &mut listener));
    frames_received
}

#[test]
fn a_successor_gets_frames_of_the_same_form() {
    let frames = take_over();
    insta::assert_snapshot!("frames", decode_to_text(&frames));
    assert_eq!(feed_position(&frames), Some(5), "five events were published");
    assert!(accepts_pending_writes(&frames));
}

// ---- a predecessor in the test hands over to a program ----

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/handover.bin")
}

/// Rewrites the fixture. Only for a new version of the format, which must still read the old
/// fixture.
#[test]
#[ignore = "writes the fixture"]
fn write_the_fixture() {
    let bytes: Vec<u8> = take_over().into_iter().flat_map(|frame| frame.1).collect();
    std::fs::write(fixture(), bytes).unwrap();
}

/// Guards against changing this decoder along with the format.
#[test]
fn the_fixture_holds_frames_of_the_same_form() {
    let frames = split_frames(&std::fs::read(fixture()).unwrap());
    insta::assert_snapshot!("frames", decode_to_text(&frames));
    assert_eq!(feed_position(&frames), None, "the earlier program did not send the position");
    assert!(!accepts_pending_writes(&frames), "the earlier program does not read pending writes");
}

/// The generation of the predecessor in the fixture, by which other routers identify its process.
fn generation_in_fixture() -> u64 {
    let frames = split_frames(&std::fs::read(fixture()).unwrap());
    let cluster_frame = frames.iter().find(|frame| frame.0 == FLEET).unwrap();
    Decoder { bytes: &cluster_frame.1[HEADER_LENGTH..] }.number()
}

/// Sends bytes together with a socket.
fn send_with(socket: &UnixStream, bytes: &[u8], listener: &TcpListener) {
    let sockets = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    assert!(control.push(SendAncillaryMessage::ScmRights(&sockets)));
    let sent = sendmsg(socket, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL).unwrap();
    assert_eq!(sent, bytes.len());
}

fn expect_bytes(socket: &mut UnixStream, bytes: &[u8]) {
    let mut read = vec![0; bytes.len()];
    socket.read_exact(&mut read).unwrap();
    assert_eq!(read, bytes);
}

/// Accepts a successor and hands over to it with the frames of the fixture. The connection stays
/// open.
fn hand_over(handover_socket: &UnixListener, listener: &TcpListener) -> UnixStream {
    let (mut socket, _) = handover_socket.accept().unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    expect_bytes(&mut socket, &hello_of_this_program(listener.local_addr().unwrap()));
    let frames = split_frames(&std::fs::read(fixture()).unwrap());
    assert_eq!(frames[0].0, LEGACY);
    send_with(&socket, &frames[0].1, listener);
    expect_bytes(&mut socket, &frame(TAKE, &[]));
    frames[1..].iter().for_each(|frame| socket.write_all(&frame.1).unwrap());
    socket
}

/// Starts a program that takes over from the fixture. Also returns the connection of the handover.
fn successor(feed_is_silent: bool) -> (Setup, RouterProcess, UnixStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let setup = Setup::at(listener.local_addr().unwrap());
    if feed_is_silent {
        setup.feed.break_connections(1, usize::MAX);
    }
    // A serving program's listener is non-blocking too, and the two processes share that state.
    listener.set_nonblocking(true).unwrap();
    let handover_socket = UnixListener::bind(setup.handover_socket()).unwrap();
    let predecessor = thread::spawn(move || hand_over(&handover_socket, &listener));
    let router = setup.start();
    let socket = predecessor.join().unwrap();
    wait_until_ready(&router);
    (setup, router, socket)
}

/// Guards against a version that can't read the frames of an earlier one. The feed is outdated: it
/// lists s-a as ready, which is draining according to the fixture.
#[test]
fn a_program_takes_over_from_the_frames_of_an_earlier_one() {
    let (setup, router, _predecessor) = successor(false);
    wait_for_metric(&router, "registry_entries", 3);
    let mut client = Client::connect(setup.addr);
    for tag in 1..40 {
        assert!(client.get(tag, "docs", 0x100 + u64::from(tag), tag.into()).contains("good"));
    }
    assert_eq!(setup.endpoints[0].count(), 0, "attempts at a draining edge cache");
    assert!(setup.endpoints[1].count() >= 39);
    for (tag, id) in [(50, 0xf1), (51, 0xf2), (52, 0xf3)] {
        assert_eq!(
            client.get(tag, "cert-filing", id, 9),
            format!("{tag} broken"),
            "a request that may have been executed was accepted again"
        );
    }
    assert_eq!(["00f1", "00f2", "00f3"].map(|id| setup.attempt_count(id)), [0; 3]);
    assert_eq!(client.get(53, "cert-filing", 0xf4, 9), "53 good ver=d1 some bytes");
}

/// Guards against frames whose endpoint list and cluster identity are ignored. The feed is silent,
/// so both can only come from the frames.
#[test]
fn the_endpoint_list_and_the_cluster_identity_are_read_from_the_frames() {
    let (_setup, router, _predecessor) = successor(true);
    assert_eq!(metric(&router, "registry_entries"), Some(4));
    assert_eq!(metric(&router, "out_of_rotation"), Some(1));
    let (status, text) = admin_call(admin_address(&router), "GET /status/fleet");
    assert_eq!(status, 200);
    let state: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(state["own"]["start"].as_u64(), Some(generation_in_fixture()));
}
