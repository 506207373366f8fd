//! Clients that send many requests at once and the same again as soon as they are answered.

use crate::common::*;
use crate::usual::usual_client;
use crate::{log, settings, Setup};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 32;
/// With the usual clients 312, fewer than a third of the 1,024 descriptors (341).
const BAD_CLIENTS: u64 = 300;
const USUAL_CLIENTS: usize = 12;
/// Requests that may be open on one connection.
const AT_ONCE: usize = 32;
const BEFORE: Duration = Duration::from_secs(5);
const TROUBLE: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Counts {
    refused: AtomicU64,
    served: AtomicU64,
    other: AtomicU64,
    ended: AtomicU64,
}

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
        memory_mb: MEMORY_MB,
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
    watch_memory(&mut router, BEFORE, None);
    let counts = Arc::new(Counts::default());
    if setup.trouble {
        log!("bad clients: {BAD_CLIENTS} connect and send {AT_ONCE} requests at once, again and again");
        for number in 0..BAD_CLIENTS {
            let (stop, counts) = (stop.clone(), counts.clone());
            std::thread::spawn(move || bad_client(number, address, &stop, &counts));
        }
    }
    let over = watch_memory(&mut router, TROUBLE, Some(&counts));
    stop.store(true, Ordering::Relaxed);
    let mut verdict = Verdict { broken: Vec::new(), checked: 0 };
    verdict.broken.extend(over);
    let mut lost = Vec::new();
    for client in usual {
        let (checked, broken) = client.join().map_err(|_| io::Error::other("a client panicked"))?;
        verdict.checked += checked;
        lost.extend(broken);
    }
    log!("usual clients: {} requests ended, {} of them lost", verdict.checked, lost.len());
    for line in lost.iter().take(20) {
        log!("lost: {line}");
    }
    if verdict.broken.is_empty() && router.has_exited() {
        verdict.broken.push("the router has exited".to_string());
    }
    router.record_log("router");
    Ok(verdict)
}

/// Looks at the router's memory ten times a second, and ends the router, as the platform does, when
/// it has more than its limit. Only anonymous memory is counted, not that of mapped files.
fn watch_memory(router: &mut RouterProcess, time: Duration, counts: Option<&Counts>) -> Option<String> {
    let end = Instant::now() + time;
    let mut next_line = Instant::now();
    while Instant::now() < end {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes: u64 = line.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0);
        if Instant::now() >= next_line {
            next_line += Duration::from_secs(1);
            let of =
                |count: fn(&Counts) -> &AtomicU64| counts.map_or(0, |all| count(all).load(Ordering::Relaxed));
            log!(
                "platform: the router has {kilobytes} kB; bad clients: {} refused, {} served, {} other answers, \
                 {} connections ended",
                of(|counts| &counts.refused),
                of(|counts| &counts.served),
                of(|counts| &counts.other),
                of(|counts| &counts.ended)
            );
        }
        if kilobytes > u64::from(MEMORY_MB) * 1024 {
            log!("platform: SIGKILL to the router, which has {kilobytes} kB");
            signal(router.child.id(), SIGKILL);
            return Some(format!(
                "the router had {kilobytes} kB of {MEMORY_MB} MB and was killed for memory"
            ));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    None
}

/// Sends requests at once, reads all answers and does the same again.
fn bad_client(number: u64, address: SocketAddr, stop: &AtomicBool, counts: &Counts) {
    let mut random = number * 7_919 + 1;
    while !stop.load(Ordering::Relaxed) {
        if let Ok(stream) = TcpStream::connect(address) {
            let _ended = flood(stream, &mut random, stop, counts);
            counts.ended.fetch_add(1, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn flood(mut stream: TcpStream, random: &mut u64, stop: &AtomicBool, counts: &Counts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut tag = 0u64;
    while !stop.load(Ordering::Relaxed) {
        let mut bytes = Vec::new();
        for _ in 0..AT_ONCE {
            tag += 1;
            *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            // Objects that nobody knows, and the whole time of the class.
            let fields = format!("rid={:016x},budget=5000,obj={:016x},piece=0,lot=3", *random, *random >> 40);
            let tag = tag.to_string();
            bytes.extend(encode(&[b"DO", tag.as_bytes(), b"training-video", fields.as_bytes(), b""]));
        }
        stream.write_all(&bytes)?;
        for _ in 0..AT_ONCE {
            let words = read_array(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let count = match words.get(1).map(Vec::as_slice) {
                Some(b"refused") => &counts.refused,
                Some(b"good") => &counts.served,
                _ => &counts.other,
            };
            count.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}
