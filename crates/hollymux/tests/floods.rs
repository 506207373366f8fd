//! Clients that send as fast as they can, beside usual clients that must get their replies in time.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The time in which a request of the class `docs` is answered in time: its `onTime` in [`SETTINGS`].
const ON_TIME: Duration = Duration::from_millis(250);
/// Number of messages that a flood sends with one write.
const BATCH: u64 = 200;
/// Number of requests that the usual client sends during a flood.
const USUAL_REQUESTS: u32 = 60;

/// Connections that send batches at full speed until the value is dropped.
struct Flood {
    sockets: Vec<TcpStream>,
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Flood {
    /// Starts a flood on that many connections. `message` builds the message with a number that is
    /// unique in the flood and usable as its tag.
    fn start(addr: SocketAddr, connections: usize, message: fn(u64) -> Vec<u8>) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(1));
        let sockets: Vec<TcpStream> = (0..connections).map(|_| TcpStream::connect(addr).unwrap()).collect();
        let mut threads = Vec::new();
        for socket in &sockets {
            let (mut input, mut output) = (socket.try_clone().unwrap(), socket.try_clone().unwrap());
            let (stop, next) = (stop.clone(), next.clone());
            threads.push(thread::spawn(move || {
                let mut buffer = vec![0; 1 << 16];
                while input.read(&mut buffer).is_ok_and(|length| length > 0) {}
            }));
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let first = next.fetch_add(BATCH, Ordering::Relaxed);
                    let batch: Vec<u8> = (first..first + BATCH).flat_map(message).collect();
                    if output.write_all(&batch).is_err() {
                        return;
                    }
                }
            }));
        }
        Flood { sockets, threads, stop }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for socket in &self.sockets {
            let _ended = socket.shutdown(Shutdown::Both);
        }
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
    }
}

fn ping(number: u64) -> Vec<u8> {
    resp_array(&[b"PING", number.to_string().as_bytes()])
}

/// A request without the mandatory field `budget`, of a class that does not exist.
fn unsound_request(number: u64) -> Vec<u8> {
    let fields = format!("rid={number:016x},piece=0,lot=17,obj={number:016x}");
    let class = format!("class-{number}");
    resp_array(&[b"DO", number.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), b""])
}

/// A complete request of a class that does not exist.
fn request_of_unknown_class(number: u64) -> Vec<u8> {
    let fields = format!("rid={number:016x},budget=1500,piece=0,lot=17,obj={number:016x}");
    let class = format!("class-{number}");
    resp_array(&[b"DO", number.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), b""])
}

/// Starts a router with 32 MB and three endpoints that respond at once.
fn start_router() -> (StubFeed, [StubEndpoint; 3], RouterProcess) {
    let feed = StubFeed::start();
    let endpoints = [0, 1, 2].map(|_| StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec())));
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let config = config(feed.addr).replace("\"memory_mb\":192", "\"memory_mb\":32");
    let router = RouterProcess::with_config(&config);
    wait_until("the router to know the endpoint list", || {
        Some(Client::connect(router.addr).get(1, "docs", 1, 5)).filter(|reply| reply.contains("good"))
    });
    (feed, endpoints, router)
}

/// The times that a usual client waits for its replies, in order of length. Each must be served.
fn reply_times(router: &RouterProcess) -> Vec<Duration> {
    let mut client = Client::connect(router.addr);
    let mut times = Vec::new();
    for tag in 1..=USUAL_REQUESTS {
        let asked = Instant::now();
        let response = client.get(tag, "docs", (1 << 40) + u64::from(tag), 5);
        assert_eq!(response, format!("{tag} good ver=d1 some bytes"));
        times.push(asked.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    times.sort();
    times
}

/// Checks that a usual client gets its replies in time during a flood, and that the memory of the
/// router does not grow with it.
fn check_usual_client(connections: usize, message: fn(u64) -> Vec<u8>) {
    let (_feed, _endpoints, router) = start_router();
    let flood = Flood::start(router.addr, connections, message);
    thread::sleep(Duration::from_millis(200));
    let before = router.anonymous_memory_bytes();
    let times = reply_times(&router);
    let growth = router.anonymous_memory_bytes().saturating_sub(before);
    drop(flood);
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("replies took {median:?} in the median, {longest:?} at most; the memory grew by {growth} bytes");
    assert!(longest < ON_TIME, "replies took {median:?} in the median, {longest:?} at most");
    assert!(growth < 2 << 20, "the memory grew by {growth} bytes");
}

/// Guards against a connection that is read for as long as its client sends: the replies of others
/// came after seconds or never.
#[test]
fn a_flood_of_pings_delays_no_other_client() {
    check_usual_client(1, ping);
}

/// Guards against the same with requests that are failed at once, of ever new classes.
#[test]
fn a_flood_of_unsound_requests_delays_no_other_client() {
    check_usual_client(1, unsound_request);
}

/// Guards against the same with requests that reach the router, of ever new classes.
#[test]
fn a_flood_of_requests_of_unknown_classes_delays_no_other_client() {
    check_usual_client(1, request_of_unknown_class);
}

/// Guards against a fair share for each connection that adds up to seconds over many of them.
#[test]
fn floods_on_many_connections_delay_no_other_client() {
    check_usual_client(16, ping);
}
