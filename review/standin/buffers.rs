//! Clients that send half a request with a body and rest, beside usual clients.

use crate::common::*;
use crate::{log, settings, Setup};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Clients hold at most a third of the 1,024 descriptors: 341.
const BAD_CLIENTS: usize = 280;
const USUAL_CLIENTS: usize = 12;
/// Body of a write; the page allows 48,000 bytes.
const BODY: usize = 48_000;
const BEFORE: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(3);
const LATE: Duration = Duration::from_millis(500);
/// A request that crosses the close of a resting connection within this time is sent again once.
const CROSSING: Duration = Duration::from_millis(50);

pub fn play(setup: &Setup) -> io::Result<Verdict> {
    let world = Arc::new(World::default());
    let class = |name, service, bytes, fresh, write| ClassModel {
        name,
        service: Duration::from_millis(service),
        bytes,
        fresh: Duration::from_secs(fresh),
        write,
    };
    let classes = [
        class("training-video", 300, 60_000, 0, false),
        class("docs-pages", 40, 8_000, 8, false),
        class("cert-filing", 200, 0, 0, true),
    ];
    let feed = Feed::start();
    let shelfs = [
        Shelf::start(&world, "s-box1", "office", "standard-box", 20, &classes),
        Shelf::start(&world, "s-box2", "office", "standard-box", 20, &classes),
        Shelf::start(&world, "s-hub", "north-hub", "parent", 40, &classes),
        Shelf::start(&world, "s-origin", "north-hub", "origin", 40, &classes),
    ];
    let list: Vec<String> = shelfs.iter().map(|shelf| target(shelf, "ready")).collect();
    feed.publish(&members(true, 1, &list));
    let config = RouterConfig {
        listen: free_address(),
        operator: free_address(),
        feed: feed.address,
        memory_mb: 32,
        sockets: 1024,
        settings: settings::LIBRARY.to_string(),
        known: "{\"n\":0,\"events\":[]}".to_string(),
    };
    let mut router = RouterProcess::start(&config, &setup.temp, "router")?;
    router.wait_ready(Duration::from_secs(10))?;

    let stop = Arc::new(AtomicBool::new(false));
    let address = config.listen;
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let stop = stop.clone();
            std::thread::spawn(move || usual_client(number, address, &stop))
        })
        .collect();
    std::thread::sleep(BEFORE);
    let bad_stop = Arc::new(AtomicBool::new(false));
    let half_requests = Arc::new(AtomicUsize::new(0));
    let mut bad = Vec::new();
    if setup.trouble {
        log!("bad clients: {BAD_CLIENTS} connect and send half a request each");
        for _ in 0..BAD_CLIENTS {
            let (stop, count) = (bad_stop.clone(), half_requests.clone());
            bad.push(std::thread::spawn(move || bad_client(address, &stop, &count)));
        }
    }
    std::thread::sleep(TROUBLE);
    bad_stop.store(true, Ordering::Relaxed);
    for client in bad {
        let _joined = client.join();
    }
    log!("bad clients: gone; {} half requests sent", half_requests.load(Ordering::Relaxed));
    std::thread::sleep(AFTER);
    stop.store(true, Ordering::Relaxed);
    let mut verdict = Verdict { broken: Vec::new(), checked: 0 };
    let mut established = 0;
    for client in usual {
        let (checked, broken) = client.join().map_err(|_| io::Error::other("a client panicked"))?;
        verdict.checked += checked;
        established += broken.iter().filter(|line| !line.contains(": request 1 ")).count();
        verdict.broken.extend(broken);
    }
    // Lost requests on connections that had carried others before are listed first.
    verdict.broken.sort_by_key(|line| line.contains(": request 1 "));
    log!("{established} of the lost requests were not the first ones on their connection");
    if router.has_exited() {
        verdict.broken.push("the router has exited".to_string());
    }
    router.record_log("router");
    Ok(verdict)
}

/// Sends half a request, rests until the router ends the connection or 2 s have passed, closes, and
/// does the same again.
fn bad_client(address: SocketAddr, stop: &AtomicBool, count: &AtomicUsize) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        let fields = format!("rid={},budget=2000,obj=00000000000000aa,piece=0,lot=1", new_rid());
        let head = format!(
            "*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$11\r\ncert-filing\r\n${}\r\n{fields}\r\n${BODY}\r\n",
            fields.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(vec![b'x'; BODY - 100]);
        if stream.write_all(&bytes).is_ok() {
            count.fetch_add(1, Ordering::Relaxed);
        }
        let _timeout = stream.set_read_timeout(Some(Duration::from_millis(100)));
        let end = Instant::now() + Duration::from_secs(2);
        let mut buffer = [0; 256];
        while Instant::now() < end && !stop.load(Ordering::Relaxed) {
            match stream.read(&mut buffer) {
                Ok(_) => break,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    }
}

/// A usual client: one connection, up to four requests open on it, a request every 80 ms or so.
fn usual_client(number: usize, address: SocketAddr, stop: &AtomicBool) -> (usize, Vec<String>) {
    let mut broken = Vec::new();
    let mut checked = 0;
    let mut connections: Vec<Connection> = Vec::new();
    let mut tag = 1;
    let mut round = number as u64;
    // Requests that crossed a close, to be sent once more.
    let mut again: Vec<(String, Request)> = Vec::new();
    let mut requests: Vec<(usize, u64, Request, bool)> = Vec::new();
    let mut settled = 0;
    let started = Instant::now();
    loop {
        let stopping = stop.load(Ordering::Relaxed);
        if connections.last().is_none_or(Connection::has_ended) {
            match Connection::open(address, &format!("client {number}, connection {}", connections.len() + 1))
            {
                Ok(connection) => connections.push(connection),
                Err(_) => {
                    std::thread::sleep(Duration::from_millis(20));
                    continue;
                }
            }
            tag = 1;
        }
        let current = connections.len() - 1;
        let connection = &mut connections[current];
        let next = again.pop().map(|(rid, request)| (rid, request, true));
        let next = next.or_else(|| {
            if stopping || connection.open_count() >= 4 {
                return None;
            }
            round += 1;
            let (class, budget, body) = match round % 10 {
                0 => ("cert-filing", 2_500, 3_000),
                1..=4 => ("training-video", 4_000, 0),
                _ => ("docs-pages", 2_000, 0),
            };
            let budget = Duration::from_millis(budget);
            let request = Request { class, object: 100 + round % 50, piece: 0, lot: 3, budget, body };
            Some((new_rid(), request, false))
        });
        if let Some((rid, request, is_repeat)) = next {
            match connection.request(tag, &rid, &request) {
                Ok(()) => requests.push((current, tag, request, is_repeat)),
                // Not written whole: the client sends it on a new connection.
                Err(_) => again.push((rid, request)),
            }
            tag += 1;
        }
        std::thread::sleep(Duration::from_millis(80));
        // Requests whose connection ended: those that crossed the close of a connection with
        // nothing else open are sent once more.
        while settled < requests.len() {
            let (index, tag, request, is_repeat) = &requests[settled];
            let sent = connections[*index].all().into_iter().find(|(other, _)| other == tag);
            let Some((_, sent)) = sent else { break };
            match &sent.end {
                None if sent.written.elapsed() < sent.budget + LATE => break,
                None => {
                    checked += 1;
                    broken.push(describe(&connections[*index], *tag, &sent, "no answer in time"));
                }
                Some(End::Answered { .. }) => checked += 1,
                Some(End::ConnectionEnded { after }) => {
                    let may_cross = sent.others_open == 0 && *after <= CROSSING;
                    if may_cross && !*is_repeat {
                        again.push((sent.rid.clone(), *request));
                    } else {
                        checked += 1;
                        let why =
                            format!("connection ended {after:?} after it was written, repeat: {is_repeat}");
                        broken.push(describe(&connections[*index], *tag, &sent, &why));
                    }
                }
                Some(End::Twice) => {
                    checked += 1;
                    broken.push(describe(&connections[*index], *tag, &sent, "two answers"));
                }
            }
            settled += 1;
        }
        let idle = settled == requests.len() && again.is_empty();
        if stopping && idle || started.elapsed() > Duration::from_secs(60) {
            return (checked, broken);
        }
    }
}

fn describe(connection: &Connection, tag: u64, sent: &Sent, why: &str) -> String {
    format!(
        "{}: request {tag} ({}, rid {}, {} others open): {why}",
        connection.name, sent.class, sent.rid, sent.others_open
    )
}
