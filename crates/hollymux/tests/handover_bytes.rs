//! Guards the bytes that a process hands to the one that replaces it, in both directions: a program of any later
//! version must take over from the frames that an earlier one sent (`fixtures/handover.bin`), and must send frames of
//! the same form itself. The frames are read here by a decoder of their own, written from the format alone.

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

/// Magic bytes, version, kind, and the body's length as four bytes, big end first.
const HEAD: usize = 9;
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

/// What a process says first: the address that it wants to serve, with its length before it.
fn hello(addr: SocketAddr) -> Vec<u8> {
    let text = addr.to_string();
    frame(HELLO, &[&[text.len() as u8], text.as_bytes()].concat())
}

/// The first frame's kind and all its bytes.
fn first_frame(bytes: &[u8]) -> Option<(u8, &[u8])> {
    let head = bytes.get(..HEAD)?;
    assert_eq!(&head[..4], b"hmx\x01", "the magic bytes and the version");
    let length = u32::from_be_bytes(head[5..].try_into().unwrap()) as usize;
    Some((head[4], bytes.get(..HEAD + length)?))
}

fn frames(mut bytes: &[u8]) -> Vec<(u8, Vec<u8>)> {
    let mut all = Vec::new();
    while let Some((kind, frame)) = first_frame(bytes) {
        all.push((kind, frame.to_vec()));
        bytes = &bytes[frame.len()..];
    }
    assert!(bytes.is_empty(), "{} bytes are no frame", bytes.len());
    all
}

// ---- bodies, which are in the format of postcard ----

struct Decoder<'a> {
    bytes: &'a [u8],
}

impl Decoder<'_> {
    fn byte(&mut self) -> u8 {
        let (first, rest) = self.bytes.split_first().expect("a byte is missing");
        self.bytes = rest;
        *first
    }

    /// Seven bits a byte, the least first; the eighth says that another one follows.
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

    fn option(&mut self, one: impl FnOnce(&mut Self) -> Value) -> Value {
        if self.flag() {
            one(self)
        } else {
            Value::Null
        }
    }

    fn list(&mut self, mut one: impl FnMut(&mut Self) -> Value) -> Value {
        let length = self.number();
        (0..length).map(|_| one(self)).collect()
    }

    fn texts(&mut self) -> Value {
        self.list(|d| json!(d.text()))
    }

    /// A moment on the wall clock, in microseconds; only whether there is one stays the same from run to run.
    fn time(&mut self) -> Value {
        match self.number() {
            0 => json!(0),
            time if time > 1_700_000_000_000_000 => json!("TIME"),
            short => json!(format!("{short} us")),
        }
    }

    /// A measured figure: only that it is a finite number stays the same from run to run.
    fn measured(&mut self) -> Value {
        assert!(self.float().is_finite());
        json!("MEASURED")
    }

    fn address(&mut self) -> Value {
        assert_eq!(self.number(), 0, "an address of IP version 4");
        let octets = [self.byte(), self.byte(), self.byte(), self.byte()];
        assert_ne!(self.number(), 0, "a port");
        json!(format!("{}:PORT", Ipv4Addr::from(octets)))
    }

    fn member(&mut self) -> Value {
        json!({"uid": self.text(), "address": self.option(Decoder::address), "zone": self.number(),
               "kind": self.number(), "cell": self.number(), "weight": self.float(), "draining": self.flag(),
               "started": self.time()})
    }

    fn filing(&mut self) -> Value {
        json!({"id": format!("{:x}", self.number()), "at": self.time(), "host": self.option(|d| json!(d.number()))})
    }

    fn host(&mut self) -> Value {
        json!({"id": self.number(), "cold_since": self.option(Decoder::time),
               "blame": [self.measured(), self.measured(), self.measured()],
               "last_ok": self.time(), "answers": self.measured(), "out": self.option(Decoder::time),
               "backoff": self.time(), "died": self.flag(), "tardy": self.measured(),
               "load": [self.measured(), self.time()],
               "ledger": self.list(|d| json!([d.time(), d.measured()]))})
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
               "levels": self.list(|d| json!([d.number(), d.number(), d.time()])),
               "rate": self.measured(),
               "seen": [self.list(|d| json!(d.number())), self.list(|d| json!(d.number()))],
               "seen_since": self.time(), "purges": self.list(Decoder::purge), "floor": self.time(),
               "retries": self.measured(), "lost": self.measured()})
    }

    fn legacy(&mut self) -> Value {
        json!({"zones": self.texts(), "kinds": self.texts(), "classes": self.texts(),
               "members": self.list(Decoder::member), "filings": self.list(Decoder::filing),
               "memory": self.memory()})
    }
}

/// A frame in words, with what differs from run to run masked.
fn decoded(frame: &(u8, Vec<u8>)) -> Value {
    let mut decoder = Decoder { bytes: &frame.1[HEAD..] };
    let said = match frame.0 {
        LEGACY => json!({"legacy": decoder.option(Decoder::legacy)}),
        YOURS => json!("yours"),
        FILINGS => json!({"filings": decoder.list(Decoder::filing)}),
        FLEET => json!({"fleet": {"start": decoder.time(), "incarnation": decoder.number()}}),
        kind => panic!("an old process says {kind}"),
    };
    assert!(decoder.bytes.is_empty(), "{} bytes are left of {said}", decoder.bytes.len());
    said
}

fn decoded_lines(frames: &[(u8, Vec<u8>)]) -> String {
    let lines = frames.iter().map(|frame| serde_json::to_string_pretty(&decoded(frame)).unwrap());
    lines.collect::<Vec<_>>().join("\n")
}

// ---- what both directions need ----

struct Bed {
    feed: StubFeed,
    endpoints: [StubEndpoint; 3],
    /// Clients' address, the same for all processes.
    addr: SocketAddr,
    folder: PathBuf,
    /// Keeps `addr` from others, where no listener of the test does.
    _reserved: Option<ReservedAddress>,
}

/// Routers that know each other hand over their identity too.
const FLEET_SECTION: &str = "{fleet: {name: 'library', listen: '127.0.0.1:0', advertise: '127.0.0.1:9'}}";

impl Bed {
    fn new() -> Bed {
        // A loopback address of this process: no other test takes its ports meanwhile.
        let [.., high, low] = std::process::id().to_be_bytes();
        let reserved = ReservedAddress::at(Ipv4Addr::new(127, 77, high, low.max(1)));
        let mut bed = Bed::at(reserved.addr);
        bed._reserved = Some(reserved);
        bed
    }

    fn at(addr: SocketAddr) -> Bed {
        let feed = StubFeed::start();
        let data = StubBehavior::Data(b"some bytes".to_vec());
        let endpoints = [data.clone(), data.clone(), data].map(StubEndpoint::start);
        feed.publish_endpoints(true, &endpoint_lines(&endpoints));
        let folder = temp_file("nothing", "").parent().unwrap().to_path_buf();
        Bed { feed, endpoints, addr, folder, _reserved: None }
    }

    fn config(&self) -> String {
        let listen = format!("\"listen\":\"{}\"", self.addr);
        with_admin_endpoint(&config(self.feed.addr).replace("\"listen\":\"127.0.0.1:0\"", &listen))
    }

    fn start(&self) -> RouterProcess {
        RouterProcess::with_operator_file_and_handover_dir(&self.config(), FLEET_SECTION, &self.folder)
    }

    fn meeting(&self) -> PathBuf {
        self.folder.join(format!("hollymux-{}-{}.sock", self.addr.ip(), self.addr.port()))
    }

    /// How often a request was sent to an endpoint.
    fn runs(&self, id: &str) -> usize {
        let asked = self.endpoints.iter().flat_map(StubEndpoint::received);
        asked.filter(|request| request.rid.ends_with(id)).count()
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        let _gone = std::fs::remove_dir_all(&self.folder);
    }
}

fn metric(node: &RouterProcess, name: &str) -> Option<u64> {
    let (status, text) = admin_call(admin_address(node), "GET /status/metrics");
    assert_eq!(status, 200);
    let value = text.lines().find_map(|line| line.strip_prefix(&format!("svc.{name}=")));
    value.and_then(|value| value.parse().ok())
}

fn wait_for_metric(node: &RouterProcess, name: &str, value: u64) {
    wait_until(name, || (metric(node, name) == Some(value)).then_some(()));
}

fn wait_until_ready(node: &RouterProcess) {
    wait_until("a yes", || (admin_call(admin_address(node), "GET /status").0 == 200).then_some(()));
}

// ---- a stand-in successor of a serving program ----

/// Reads from the old process, keeping the socket that comes with the bytes.
fn receive(socket: &UnixStream, given: &mut Option<TcpListener>) -> Vec<u8> {
    let mut bytes = vec![0; 1 << 16];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(&mut bytes)];
    let received = recvmsg(socket, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC).unwrap();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            *given = given.take().or(sockets.map(TcpListener::from).last());
        }
    }
    assert!(received.bytes > 0, "the old process ended the call");
    bytes.truncate(received.bytes);
    bytes
}

/// Reads frames up to one of that kind.
fn receive_until(kind: u8, socket: &UnixStream, given: &mut Option<TcpListener>) -> Vec<(u8, Vec<u8>)> {
    let (mut bytes, mut all) = (Vec::new(), Vec::new());
    loop {
        bytes.extend(receive(socket, given));
        while let Some((kind, frame)) = first_frame(&bytes) {
            all.push((kind, frame.to_vec()));
            bytes.drain(..all.last().unwrap().1.len());
        }
        if all.last().is_some_and(|frame| frame.0 == kind) {
            assert!(bytes.is_empty());
            return all;
        }
    }
}

/// Has a program serve, and takes over from it: all frames that it sends meanwhile, with a drain, two purges, a
/// cold endpoint, and requests that may not be repeated from before, during and after.
fn captured() -> Vec<(u8, Vec<u8>)> {
    let bed = Bed::new();
    let node = bed.start();
    wait_until_ready(&node);
    wait_for_metric(&node, "registry_entries", 3);
    bed.feed.publish_endpoints(false, &[endpoint_line("s-a", bed.endpoints[0].addr, "std", "draining")]);
    let now = unix_ms();
    bed.feed.publish(&format!("\"purge\":{{\"group\":17,\"at\":{now}}}"));
    bed.feed.publish(&format!("\"purge\":{{\"key\":\"0000000000000007\",\"at\":{now}}}"));
    wait_for_metric(&node, "out_of_rotation", 1);
    let mut client = Client::connect(bed.addr);
    assert_eq!(client.get(1, "docs", 0xd1, 9), "1 good ver=d1 some bytes");
    assert_eq!(client.get(2, "cert-filing", 0xf1, 9), "2 good ver=d1 some bytes");
    // One that has started late is cold.
    let cold = StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec()));
    let late = endpoint_line_started_at("s-c", cold.addr, "std", "ready", unix_ms());
    bed.feed.publish_endpoints(false, &[late]);
    wait_for_metric(&node, "registry_entries", 4);
    let mut socket = wait_until("a meeting", || UnixStream::connect(bed.meeting()).ok());
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut given = None;
    socket.write_all(&hello(bed.addr)).unwrap();
    let mut all = receive_until(LEGACY, &socket, &mut given);
    assert_eq!(given.as_ref().unwrap().local_addr().unwrap(), bed.addr);
    assert_eq!(client.get(3, "cert-filing", 0xf2, 9), "3 good ver=d1 some bytes");
    socket.write_all(&frame(TAKE, &[])).unwrap();
    all.extend(receive_until(YOURS, &socket, &mut given));
    client.send_request(4, "cert-filing", 0xf3, ",obj=0000000000000009");
    all.extend(receive_until(FILINGS, &socket, &mut given));
    all
}

#[test]
fn a_successor_is_given_frames_of_the_same_form() {
    insta::assert_snapshot!("frames", decoded_lines(&captured()));
}

// ---- a stand-in old process of a starting program ----

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/handover.bin")
}

/// Writes the fixture anew, for a new version of the format only: the old one must stay readable beside it.
#[test]
#[ignore = "writes the fixture"]
fn write_the_fixture() {
    let bytes: Vec<u8> = captured().into_iter().flat_map(|frame| frame.1).collect();
    std::fs::write(fixture(), bytes).unwrap();
}

/// Guards against a decoder that is changed along with the format.
#[test]
fn the_frames_of_the_fixture_are_of_the_same_form() {
    let frames = frames(&std::fs::read(fixture()).unwrap());
    insta::assert_snapshot!("frames", decoded_lines(&frames));
}

/// The number of the old process's start in the fixture, by which other routers know it.
fn start_in_fixture() -> u64 {
    let frames = frames(&std::fs::read(fixture()).unwrap());
    let fleet = frames.iter().find(|frame| frame.0 == FLEET).unwrap();
    Decoder { bytes: &fleet.1[HEAD..] }.number()
}

/// Sends bytes with a socket.
fn send_with(socket: &UnixStream, bytes: &[u8], given: &TcpListener) {
    let sockets = [given.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    assert!(control.push(SendAncillaryMessage::ScmRights(&sockets)));
    let sent = sendmsg(socket, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL).unwrap();
    assert_eq!(sent, bytes.len());
}

fn expect(socket: &mut UnixStream, bytes: &[u8]) {
    let mut read = vec![0; bytes.len()];
    socket.read_exact(&mut read).unwrap();
    assert_eq!(read, bytes);
}

/// Hands over to whoever calls, with the frames of the fixture; the call stays open.
fn hand_over(meeting: &UnixListener, listener: &TcpListener) -> UnixStream {
    let (mut socket, _) = meeting.accept().unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    expect(&mut socket, &hello(listener.local_addr().unwrap()));
    let frames = frames(&std::fs::read(fixture()).unwrap());
    assert_eq!(frames[0].0, LEGACY);
    send_with(&socket, &frames[0].1, listener);
    expect(&mut socket, &frame(TAKE, &[]));
    frames[1..].iter().for_each(|frame| socket.write_all(&frame.1).unwrap());
    socket
}

/// A program that has taken over from the fixture, and the call that it did so by.
fn successor(feed_is_silent: bool) -> (Bed, RouterProcess, UnixStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let bed = Bed::at(listener.local_addr().unwrap());
    if feed_is_silent {
        bed.feed.break_connections(1, usize::MAX);
    }
    // As a serving program's is; the two processes share that state of the socket.
    listener.set_nonblocking(true).unwrap();
    let meeting = UnixListener::bind(bed.meeting()).unwrap();
    let old = thread::spawn(move || hand_over(&meeting, &listener));
    let node = bed.start();
    let socket = old.join().unwrap();
    wait_until_ready(&node);
    (bed, node, socket)
}

/// Guards against a version that can't read what an earlier one hands over. The feed is behind: it lists s-a as ready,
/// which the fixture says to be draining.
#[test]
fn a_program_takes_over_from_the_frames_of_an_earlier_one() {
    let (bed, node, _old) = successor(false);
    wait_for_metric(&node, "registry_entries", 3);
    let mut client = Client::connect(bed.addr);
    for tag in 1..40 {
        assert!(client.get(tag, "docs", 0x100 + u64::from(tag), tag.into()).contains("good"));
    }
    assert_eq!(bed.endpoints[0].count(), 0, "it drains");
    assert!(bed.endpoints[1].count() >= 39);
    for (tag, id) in [(50, 0xf1), (51, 0xf2), (52, 0xf3)] {
        assert_eq!(client.get(tag, "cert-filing", id, 9), format!("{tag} broken"), "it may have run");
    }
    assert_eq!(["00f1", "00f2", "00f3"].map(|id| bed.runs(id)), [0; 3]);
    assert_eq!(client.get(53, "cert-filing", 0xf4, 9), "53 good ver=d1 some bytes");
}

/// Guards against members and an identity in the fleet that are not read: the feed says nothing.
#[test]
fn members_and_the_identity_in_the_fleet_are_read_from_the_frames() {
    let (_bed, node, _old) = successor(true);
    assert_eq!(metric(&node, "registry_entries"), Some(4));
    assert_eq!(metric(&node, "out_of_rotation"), Some(1));
    let (status, text) = admin_call(admin_address(&node), "GET /status/fleet");
    assert_eq!(status, 200);
    let state: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(state["own"]["start"].as_u64(), Some(start_in_fixture()));
}
