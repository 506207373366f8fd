//! Guards the bytes on the platform's connections: what the program answers to clients, and what it sends to endpoints,
//! over a scripted conversation. Only ids and times that differ from run to run are masked.

mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What is read goes to a log too.
struct Logged {
    socket: TcpStream,
    log: Arc<Mutex<Vec<u8>>>,
}

impl Read for Logged {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let length = self.socket.read(buffer)?;
        self.log.lock().unwrap().extend_from_slice(&buffer[..length]);
        Ok(length)
    }
}

/// What an endpoint answers behind the request's id; none: nothing.
type Answer = Option<[&'static str; 3]>;

const DATA: Answer = Some(["data", "digest=d1,dated=1", "some bytes"]);
const UNCHANGED: Answer = Some(["unchanged", "digest=d1", ""]);
const ABSENT: Answer = Some(["absent", "", ""]);
const FAILED: Answer = Some(["failed", "", ""]);

/// An endpoint that keeps all bytes that it is sent.
struct Endpoint {
    name: &'static str,
    addr: SocketAddr,
    log: Arc<Mutex<Vec<u8>>>,
    answer: Arc<Mutex<Answer>>,
}

impl Endpoint {
    fn start(name: &'static str) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (log, answer) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(DATA)));
        let endpoint = Endpoint { name, addr, log: log.clone(), answer: answer.clone() };
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (log, answer) = (log.clone(), answer.clone());
                thread::spawn(move || serve(socket, log, &answer));
            }
        });
        endpoint
    }
}

fn serve(socket: TcpStream, log: Arc<Mutex<Vec<u8>>>, answer: &Mutex<Answer>) {
    let mut out = socket.try_clone().unwrap();
    let mut input = BufReader::new(Logged { socket, log });
    while let Some(words) = read_resp_array(&mut input) {
        let answer = *answer.lock().unwrap();
        let Some(rest) = answer.filter(|_| words[0] == b"ASK") else { continue };
        let rest = rest.map(str::as_bytes);
        if out.write_all(&resp_array(&[&words[1], rest[0], rest[1], rest[2]])).is_err() {
            return;
        }
    }
}

/// Digits that differ from run to run, behind these words.
const MASKED: [&str; 3] = ["max=", "backoff=", "age="];

/// Arrays as a line of text, with what differs from run to run masked. Bytes that are not exactly such arrays, lengths
/// among them, fail the test.
fn line_of(bytes: &[u8]) -> String {
    let (mut words, mut encoded) = (Vec::new(), Vec::new());
    let mut input = bytes;
    while let Some(read) = read_resp_array(&mut input) {
        encoded.extend(resp_array(&read.iter().map(Vec::as_slice).collect::<Vec<_>>()));
        let masked = read.iter().map(|word| masked(&String::from_utf8_lossy(word)));
        words.push(format!("[{}]", masked.collect::<Vec<_>>().join("|")));
    }
    assert_eq!(raw(bytes), raw(&encoded));
    words.join(" ")
}

fn masked(word: &str) -> String {
    MASKED.iter().fold(word.to_string(), |word, key| {
        let Some((before, after)) = word.split_once(key) else { return word };
        format!("{before}{key}N{}", after.trim_start_matches(|c: char| c.is_ascii_digit()))
    })
}

/// Bytes as they are, where nothing in them differs from run to run.
fn raw(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

struct Bed {
    node: RouterProcess,
    endpoints: [Endpoint; 3],
    client: TcpStream,
    log: Arc<Mutex<Vec<u8>>>,
    input: BufReader<Logged>,
    said: Vec<String>,
    _feed: StubFeed,
}

fn connect(addr: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(addr).unwrap();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    client
}

impl Bed {
    fn start() -> Bed {
        let feed = StubFeed::start();
        let endpoints = ["box", "parent", "origin"].map(Endpoint::start);
        let [a, p, o] = &endpoints;
        let lines = [("s-a", a, "std"), ("s-p", p, "parent"), ("s-o", o, "origin")];
        feed.publish_endpoints(
            true,
            &lines.map(|(uid, e, model)| endpoint_line(uid, e.addr, model, "ready")),
        );
        let node = RouterProcess::with_config(&with_admin_endpoint(&config(feed.addr)));
        wait_until("the list", || {
            admin_call(admin_address(&node), "GET /status/metrics")
                .1
                .contains("svc.registry_entries=3\n")
                .then_some(())
        });
        let client = connect(node.addr);
        let log = Arc::new(Mutex::new(Vec::new()));
        let input = BufReader::new(Logged { socket: client.try_clone().unwrap(), log: log.clone() });
        Bed { node, endpoints, client, log, input, said: Vec::new(), _feed: feed }
    }

    fn endpoints_answer(&self, answer: Answer) {
        self.endpoints.iter().for_each(|endpoint| *endpoint.answer.lock().unwrap() = answer);
    }

    fn send_request(&mut self, tag: u32, class: &str, more: &str) {
        let fields = format!("rid={:016x},budget=1500,piece=0,lot=17{more}", 0xa0 + tag);
        let tag = tag.to_string();
        let request = resp_array(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), b"a body"]);
        self.client.write_all(&request).unwrap();
    }

    /// Waits for an answer; with it, all that was sent to endpoints since the last one is in the conversation.
    fn answered(&mut self, what: &str) {
        read_resp_array(&mut self.input).expect("an answer");
        let bytes = std::mem::take(&mut *self.log.lock().unwrap());
        self.said.push(format!("{what}: {}", line_of(&bytes)));
        if !MASKED.iter().any(|key| String::from_utf8_lossy(&bytes).contains(key)) {
            self.said.push(format!("  bytes {}", raw(&bytes)));
        }
        self.endpoints_heard();
    }

    fn endpoints_heard(&mut self) {
        for endpoint in &self.endpoints {
            let bytes = std::mem::take(&mut *endpoint.log.lock().unwrap());
            if !bytes.is_empty() {
                self.said.push(format!("  {} hears {}", endpoint.name, line_of(&bytes)));
            }
        }
    }
}

const OBJECT: &str = ",obj=0000000000000007";

#[test]
fn a_scripted_conversation() {
    let mut bed = Bed::start();
    bed.client.write_all(&resp_array(&[b"PING", b"1", b""])).unwrap();
    bed.answered("ping");
    bed.send_request(2, "docs", OBJECT);
    bed.answered("served");
    bed.endpoints_answer(UNCHANGED);
    bed.send_request(3, "docs", &format!("{OBJECT},ver=d1"));
    bed.answered("unchanged");
    bed.endpoints_answer(DATA);
    bed.send_request(4, "cert-filing", OBJECT);
    bed.answered("not to be repeated, served");
    bed.send_request(8, "no-such-class", OBJECT);
    bed.answered("unknown class");
    bed.send_request(5, "docs", ",obj=seven");
    bed.answered("unusable field");
    bed.send_request(6, "docs", "");
    bed.answered("no object");
    bed.endpoints_answer(FAILED);
    bed.send_request(7, "cert-filing", OBJECT);
    bed.answered("not to be repeated, failed");
    bed.endpoints_answer(DATA);
    bed.send_request(4, "cert-filing", OBJECT);
    assert!(read_resp_array(&mut bed.input).is_none(), "a tag that was used before ends the connection");
    insta::assert_snapshot!("conversation", bed.said.join("\n"));
}

#[test]
fn a_refused_request() {
    let mut bed = Bed::start();
    bed.endpoints_answer(ABSENT);
    bed.send_request(1, "docs", OBJECT);
    bed.answered("refused");
    insta::assert_snapshot!("refused", bed.said.join("\n"));
}

#[test]
fn a_failed_request() {
    let mut bed = Bed::start();
    bed.endpoints_answer(FAILED);
    bed.send_request(1, "docs", OBJECT);
    bed.answered("failed");
    insta::assert_snapshot!("failed", bed.said.join("\n"));
}

#[test]
fn a_cancelled_request() {
    let mut bed = Bed::start();
    bed.endpoints_answer(None);
    bed.send_request(1, "docs", OBJECT);
    let heard = |bed: &Bed, word: &[u8]| {
        let all = bed.endpoints.iter().map(|endpoint| endpoint.log.lock().unwrap().clone());
        all.into_iter().any(|log| log.windows(word.len()).any(|part| part == word))
    };
    wait_until("the attempt", || heard(&bed, b"a body\r\n").then_some(()));
    bed.client.write_all(&resp_array(&[b"UNDO", b"1"])).unwrap();
    wait_until("its end", || heard(&bed, b"QUIT").then_some(()));
    thread::sleep(Duration::from_millis(50));
    bed.client.write_all(&resp_array(&[b"PING", b"2", b""])).unwrap();
    bed.answered("cancelled, then a ping");
    insta::assert_snapshot!("cancelled", bed.said.join("\n"));
}

/// What comes for each of these before the end of the connection.
#[test]
fn malformed_frames() {
    let bed = Bed::start();
    let frames: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\n",
        b"*-1\r\n",
        b"*2\r\n$4\r\nPING\r\n$1\r\nx\r\n",
        b"*99999\r\n",
        b"*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$4\r\ndocs\r\n$1\r\nx\r\n$999999999\r\n",
        b"*1\r\n$3\r\nDOH\r\n",
    ];
    let answer = |frame: &&[u8]| {
        let mut client = connect(bed.node.addr);
        client.write_all(frame).unwrap();
        let mut bytes = Vec::new();
        let _end_or_reset = client.read_to_end(&mut bytes);
        format!("after {} comes \"{}\" and the end", raw(frame), raw(&bytes))
    };
    insta::assert_snapshot!("malformed", frames.iter().map(answer).collect::<Vec<_>>().join("\n"));
}
