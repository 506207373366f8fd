//! The process is replaced while the feed is slow to tell the new process what it told the old one.

use crate::common::*;
use crate::{log, settings, Setup};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What happens between the start of the router and its replacement: a purge a second, a new cache
/// after this many of them, and its drain at the end.
const PURGES_BEFORE: u64 = 12;
const PURGES_AFTER: u64 = 20;
/// Time before each event that the slow feed tells; the whole takes 8.5 s.
const PACE: Duration = Duration::from_millis(250);
/// New work ends within 500 ms, and each time limit is 50 ms longer.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// What the feed has to tell counts as told this long after the new process is ready.
const TOLD_AFTER_READY: Duration = Duration::from_secs(2);
const WATCHED: Duration = Duration::from_secs(12);

pub fn play(setup: &Setup) -> io::Result<Verdict> {
    let world = Arc::new(World::default());
    let classes = [ClassModel {
        name: "docs-pages",
        service: Duration::from_millis(30),
        bytes: 8_000,
        fresh: Duration::from_secs(8),
        write: false,
    }];
    let feed = Feed::start();
    let start = |uid: &str, zone, model, weight| Shelf::start(&world, uid, zone, model, weight, &classes);
    let shelfs = [
        start("s-box1", "office", "standard-box", 20),
        start("s-box2", "office", "standard-box", 20),
        start("s-hub", "north-hub", "parent", 40),
        start("s-origin", "north-hub", "origin", 40),
    ];
    let box3 = start("s-box3", "office", "standard-box", 20);
    let list: Vec<String> = shelfs.iter().map(|shelf| target(shelf, "ready")).collect();
    let list = members(true, 1, &list);
    feed.publish(&list);
    let config = RouterConfig {
        listen: free_address(),
        operator: free_address(),
        feed: feed.address,
        memory_mb: 192,
        sockets: 1024,
        settings: settings::LIBRARY.to_string(),
        known: format!("{{\"n\":1,\"events\":[{{\"n\":1,{list}}}]}}"),
    };
    let old = RouterProcess::start(&config, &setup.temp, "old")?;
    old.wait_ready(Duration::from_secs(10))?;
    let stop = Arc::new(AtomicBool::new(false));
    let client = {
        let (stop, address) = (stop.clone(), config.listen);
        std::thread::spawn(move || client(address, &stop))
    };
    purges(&feed, 0, PURGES_BEFORE);
    feed.publish(&members(false, 2, &[target(&box3, "ready")]));
    purges(&feed, PURGES_BEFORE, PURGES_AFTER);
    feed.publish(&members(false, 3, &[target(&box3, "draining")]));
    let told = Instant::now();
    std::thread::sleep(Duration::from_secs(2));

    if setup.trouble {
        feed.set_mode(FeedMode::Paced(PACE));
    }
    let successor = RouterConfig { operator: free_address(), ..config };
    let mut new = RouterProcess::start(&successor, &setup.temp, "new")?;
    new.wait_ready(Duration::from_secs(6))?;
    let ready = Instant::now();
    log!("platform: SIGTERM to the old process");
    signal(old.child.id(), SIGTERM);
    std::thread::sleep(WATCHED);
    stop.store(true, Ordering::Relaxed);
    let answered = client.join().map_err(|_| io::Error::other("the client panicked"))?;
    log!("client: {answered} requests answered");

    let from = (told + DRAIN_GRACE).max(ready + TOLD_AFTER_READY + DRAIN_GRACE);
    let mut verdict = Verdict { broken: Vec::new(), checked: 0 };
    for ask in world.asks.lock().expect("asks").iter().filter(|ask| ask.at > from) {
        verdict.checked += 1;
        let is_source = field(&ask.fields, "parent") == Some("s-box3");
        if ask.uid == "s-box3" || is_source {
            verdict.broken.push(format!(
                "{} got {} ({}) {:?} after the drain of s-box3 was told and {:?} after the new process was ready",
                ask.uid,
                ask.rid,
                ask.fields,
                ask.at - told,
                ask.at - ready
            ));
        }
    }
    if new.has_exited() {
        verdict.broken.push("the new process has exited".to_string());
    }
    old.record_log("the old process");
    new.record_log("the new process");
    Ok(verdict)
}

/// A purge each second, of objects that nobody asks for.
fn purges(feed: &Feed, first: u64, count: u64) {
    for number in first..first + count {
        let at = unix_millis();
        feed.publish(&format!("\"purge\":{{\"key\":\"{:016x}\",\"at\":{at}}}", 0xfff_0000 + number));
        std::thread::sleep(Duration::from_millis(950));
    }
}

/// A client that asks for 30 pages a second and connects anew for every tenth. Returns the number of
/// answers.
fn client(address: SocketAddr, stop: &AtomicBool) -> usize {
    let mut answered = 0;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut connection) = Connection::open(address, "client") else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        for tag in 1..=10 {
            number += 1;
            let budget = Duration::from_millis(2_000);
            let object = 0x700 + number % 60;
            let request = Request { class: "docs-pages", object, piece: 0, lot: 9, budget, body: 0 };
            if connection.request(tag, &new_rid(), &request).is_err() {
                break;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
        connection.wait(10, Duration::from_millis(500));
        answered += connection
            .all()
            .iter()
            .filter(|(_, sent)| matches!(sent.end, Some(End::Answered { .. })))
            .count();
        connection.close();
    }
    answered
}
