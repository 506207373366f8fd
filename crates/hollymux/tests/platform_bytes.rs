//! The bytes on the connections of the platform's protocols: the responses to clients, and the
//! attempts at endpoints, over a scripted exchange. Only values that differ between runs are
//! masked.

mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A reader that also appends what it reads to a log.
struct LoggingReader {
    socket: TcpStream,
    log: Arc<Mutex<Vec<u8>>>,
}

impl Read for LoggingReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let length = self.socket.read(buffer)?;
        self.log.lock().unwrap().extend_from_slice(&buffer[..length]);
        Ok(length)
    }
}

/// The response of an endpoint after the request's id: status, fields and body; `None` for no
/// response.
type StubResponse = Option<[&'static str; 3]>;

const DATA: StubResponse = Some(["data", "digest=d1,dated=1", "some bytes"]);
const UNCHANGED: StubResponse = Some(["unchanged", "digest=d1", ""]);
const ABSENT: StubResponse = Some(["absent", "", ""]);
const FAILED: StubResponse = Some(["failed", "", ""]);

/// An endpoint that logs all bytes that it receives.
struct Endpoint {
    name: &'static str,
    addr: SocketAddr,
    log: Arc<Mutex<Vec<u8>>>,
    response: Arc<Mutex<StubResponse>>,
}

impl Endpoint {
    fn start(name: &'static str) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (log, response) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(DATA)));
        let endpoint = Endpoint { name, addr, log: log.clone(), response: response.clone() };
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (log, response) = (log.clone(), response.clone());
                thread::spawn(move || serve(socket, log, &response));
            }
        });
        endpoint
    }
}

fn serve(socket: TcpStream, log: Arc<Mutex<Vec<u8>>>, response: &Mutex<StubResponse>) {
    let mut output = socket.try_clone().unwrap();
    let mut input = BufReader::new(LoggingReader { socket, log });
    while let Some(elements) = read_resp_array(&mut input) {
        let response = *response.lock().unwrap();
        let Some(rest) = response.filter(|_| elements[0] == b"ASK") else { continue };
        let rest = rest.map(str::as_bytes);
        if output.write_all(&resp_array(&[&elements[1], rest[0], rest[1], rest[2]])).is_err() {
            return;
        }
    }
}

/// Prefixes of digits that differ between runs.
const MASKED_KEYS: [&str; 3] = ["max=", "backoff=", "age="];

/// Formats RESP arrays as a line of text, with values that differ between runs masked. Fails the
/// test if the bytes are not exactly such arrays.
fn format_arrays(bytes: &[u8]) -> String {
    let (mut elements, mut encoded) = (Vec::new(), Vec::new());
    let mut input = bytes;
    while let Some(read) = read_resp_array(&mut input) {
        encoded.extend(resp_array(&read.iter().map(Vec::as_slice).collect::<Vec<_>>()));
        let masked = read.iter().map(|text| mask(&String::from_utf8_lossy(text)));
        elements.push(format!("[{}]", masked.collect::<Vec<_>>().join("|")));
    }
    assert_eq!(raw(bytes), raw(&encoded));
    elements.join(" ")
}

fn mask(text: &str) -> String {
    MASKED_KEYS.iter().fold(text.to_string(), |text, key| {
        let Some((before, after)) = text.split_once(key) else { return text };
        format!("{before}{key}N{}", after.trim_start_matches(|c: char| c.is_ascii_digit()))
    })
}

/// Formats bytes without masking anything.
fn raw(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

struct Setup {
    router: RouterProcess,
    endpoints: [Endpoint; 3],
    client: TcpStream,
    log: Arc<Mutex<Vec<u8>>>,
    input: BufReader<LoggingReader>,
    transcript: Vec<String>,
    _feed: StubFeed,
}

fn connect(addr: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(addr).unwrap();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    client
}

impl Setup {
    fn start() -> Setup {
        let feed = StubFeed::start();
        let endpoints = ["box", "parent", "origin"].map(Endpoint::start);
        let [edge_cache, parent, origin] = &endpoints;
        let lines = [("s-a", edge_cache, "std"), ("s-p", parent, "parent"), ("s-o", origin, "origin")];
        feed.publish_endpoints(
            true,
            &lines.map(|(uid, endpoint, model)| endpoint_line(uid, endpoint.addr, model, "ready")),
        );
        let router = RouterProcess::with_config(&with_admin_endpoint(&config(feed.addr)));
        wait_until("the router to know the endpoint list", || {
            admin_call(admin_address(&router), "GET /status/metrics")
                .1
                .contains("svc.registry_entries=3\n")
                .then_some(())
        });
        let client = connect(router.addr);
        let log = Arc::new(Mutex::new(Vec::new()));
        let input = BufReader::new(LoggingReader { socket: client.try_clone().unwrap(), log: log.clone() });
        Setup { router, endpoints, client, log, input, transcript: Vec::new(), _feed: feed }
    }

    fn set_endpoint_response(&self, response: StubResponse) {
        self.endpoints.iter().for_each(|endpoint| *endpoint.response.lock().unwrap() = response);
    }

    fn send_request(&mut self, tag: u32, class: &str, more_fields: &str) {
        let fields = format!("rid={:016x},budget=1500,piece=0,lot=17{more_fields}", 0xa0 + tag);
        let tag = tag.to_string();
        let request = resp_array(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), b"a body"]);
        self.client.write_all(&request).unwrap();
    }

    /// Waits for a response, and records it with everything that was sent to endpoints since the
    /// last one.
    fn read_response(&mut self, label: &str) {
        read_resp_array(&mut self.input).expect("the connection ended without a response");
        let bytes = std::mem::take(&mut *self.log.lock().unwrap());
        self.transcript.push(format!("{label}: {}", format_arrays(&bytes)));
        if !MASKED_KEYS.iter().any(|key| String::from_utf8_lossy(&bytes).contains(key)) {
            self.transcript.push(format!("  bytes {}", raw(&bytes)));
        }
        self.record_endpoint_input();
    }

    fn record_endpoint_input(&mut self) {
        for endpoint in &self.endpoints {
            let bytes = std::mem::take(&mut *endpoint.log.lock().unwrap());
            if !bytes.is_empty() {
                self.transcript.push(format!("  {} hears {}", endpoint.name, format_arrays(&bytes)));
            }
        }
    }
}

const OBJECT: &str = ",obj=0000000000000007";

#[test]
fn a_scripted_exchange() {
    let mut setup = Setup::start();
    setup.client.write_all(&resp_array(&[b"PING", b"1", b""])).unwrap();
    setup.read_response("ping");
    setup.send_request(2, "docs", OBJECT);
    setup.read_response("served");
    setup.set_endpoint_response(UNCHANGED);
    setup.send_request(3, "docs", &format!("{OBJECT},ver=d1"));
    setup.read_response("unchanged");
    setup.set_endpoint_response(DATA);
    setup.send_request(4, "cert-filing", OBJECT);
    setup.read_response("not to be repeated, served");
    setup.send_request(8, "no-such-class", OBJECT);
    setup.read_response("unknown class");
    setup.send_request(5, "docs", ",obj=seven");
    setup.read_response("unusable field");
    setup.send_request(6, "docs", "");
    setup.read_response("no object");
    setup.set_endpoint_response(FAILED);
    setup.send_request(7, "cert-filing", OBJECT);
    setup.read_response("not to be repeated, failed");
    setup.set_endpoint_response(DATA);
    setup.send_request(4, "cert-filing", OBJECT);
    assert!(read_resp_array(&mut setup.input).is_none(), "a repeated tag did not close the connection");
    insta::assert_snapshot!("conversation", setup.transcript.join("\n"));
}

#[test]
fn a_rejected_request() {
    let mut setup = Setup::start();
    setup.set_endpoint_response(ABSENT);
    setup.send_request(1, "docs", OBJECT);
    setup.read_response("refused");
    insta::assert_snapshot!("refused", setup.transcript.join("\n"));
}

#[test]
fn a_failed_request() {
    let mut setup = Setup::start();
    setup.set_endpoint_response(FAILED);
    setup.send_request(1, "docs", OBJECT);
    setup.read_response("failed");
    insta::assert_snapshot!("failed", setup.transcript.join("\n"));
}

#[test]
fn a_cancelled_request() {
    let mut setup = Setup::start();
    setup.set_endpoint_response(None);
    setup.send_request(1, "docs", OBJECT);
    let endpoint_received = |setup: &Setup, text: &[u8]| {
        let all = setup.endpoints.iter().map(|endpoint| endpoint.log.lock().unwrap().clone());
        all.into_iter().any(|log| log.windows(text.len()).any(|part| part == text))
    };
    wait_until("the attempt to arrive at an endpoint", || {
        endpoint_received(&setup, b"a body\r\n").then_some(())
    });
    setup.client.write_all(&resp_array(&[b"UNDO", b"1"])).unwrap();
    wait_until("the cancellation of the attempt", || endpoint_received(&setup, b"QUIT").then_some(()));
    thread::sleep(Duration::from_millis(50));
    setup.client.write_all(&resp_array(&[b"PING", b"2", b""])).unwrap();
    setup.read_response("cancelled, then a ping");
    insta::assert_snapshot!("cancelled", setup.transcript.join("\n"));
}

/// Records the response to each malformed frame before the end of the connection.
#[test]
fn malformed_frames() {
    let setup = Setup::start();
    let frames: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\n",
        b"*-1\r\n",
        b"*2\r\n$4\r\nPING\r\n$1\r\nx\r\n",
        b"*99999\r\n",
        b"*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$4\r\ndocs\r\n$1\r\nx\r\n$999999999\r\n",
        b"*1\r\n$3\r\nDOH\r\n",
    ];
    let response = |frame: &&[u8]| {
        let mut client = connect(setup.router.addr);
        client.write_all(frame).unwrap();
        let mut bytes = Vec::new();
        let _end_or_reset = client.read_to_end(&mut bytes);
        format!("after {} comes \"{}\" and the end", raw(frame), raw(&bytes))
    };
    insta::assert_snapshot!("malformed", frames.iter().map(response).collect::<Vec<_>>().join("\n"));
}
