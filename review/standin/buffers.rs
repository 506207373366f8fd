//! Clients that send half a request with a body and rest, beside usual clients.

use crate::common::*;
use crate::usual::usual_client;
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
