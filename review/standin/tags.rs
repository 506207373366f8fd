//! A client that numbers everything it sends on a connection with one counter, its PINGs included.

use crate::common::*;
use crate::{log, settings, Setup};
use std::io;
use std::time::Duration;

const REQUESTS: u64 = 600;
/// How much later than the client's budget an answer may come: half a second.
const LATE: Duration = Duration::from_millis(500);
/// A request that crosses the close of a resting connection within this time is sent again once.
const CROSSING: Duration = Duration::from_millis(50);

pub fn play(setup: &Setup) -> io::Result<Verdict> {
    let world = std::sync::Arc::new(World::default());
    let classes = [
        ClassModel {
            name: "docs-pages",
            service: Duration::from_millis(40),
            bytes: 8_000,
            fresh: Duration::from_secs(8),
            write: false,
        },
        ClassModel {
            name: "cert-filing",
            service: Duration::from_millis(150),
            bytes: 0,
            fresh: Duration::ZERO,
            write: true,
        },
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
        memory_mb: 192,
        sockets: 1024,
        settings: settings::LIBRARY.to_string(),
        known: "{\"n\":0,\"events\":[]}".to_string(),
    };
    let router = RouterProcess::start(&config, &setup.temp, "router")?;
    router.wait_ready(Duration::from_secs(10))?;

    let mut connections = vec![Connection::open(config.listen, "client, connection 1")?];
    let mut pings = Connection::open(config.listen, "pings")?;
    let mut next_tag = 1;
    for number in 0..REQUESTS {
        if connections.last().is_none_or(Connection::has_ended) {
            let name = format!("client, connection {}", connections.len() + 1);
            connections.push(Connection::open(config.listen, &name)?);
            next_tag = 1;
        }
        let connection = connections.last_mut().expect("a connection");
        let is_filing = number % 10 == 9;
        let request = Request {
            class: if is_filing { "cert-filing" } else { "docs-pages" },
            object: 1_000 + number % 40,
            piece: 0,
            lot: (number % 7) as u32,
            budget: Duration::from_millis(2_000),
            body: if is_filing { 2_000 } else { 0 },
        };
        let _not_taken = connection.request(next_tag, &new_rid(), &request);
        next_tag += 1;
        // A PING every tenth of a second or so, on the connection of the requests with the next
        // number; without the disruption on a connection of its own.
        if setup.trouble {
            if connection.ping(next_tag).is_ok() {
                next_tag += 1;
            }
        } else {
            pings.ping(number + 1)?;
        }
        std::thread::sleep(Duration::from_millis(30));
    }
    std::thread::sleep(Duration::from_millis(2_000) + LATE);

    let mut verdict = Verdict { broken: Vec::new(), checked: 0 };
    for connection in &connections {
        for (tag, sent) in connection.all() {
            verdict.checked += 1;
            let problem = match &sent.end {
                Some(End::Answered { after, .. }) if *after <= sent.budget + LATE => continue,
                // It crossed the end of a resting connection: its client may send it again.
                Some(End::ConnectionEnded { after }) if sent.others_open == 0 && *after <= CROSSING => {
                    continue
                }
                other => format!("{other:?}"),
            };
            let Sent { rid, class, others_open, .. } = sent;
            verdict.broken.push(format!(
                "{}: request {tag} ({class}, rid {rid}, {others_open} others open) got no final answer: {problem}",
                connection.name
            ));
        }
    }
    log!("client: {} connections used", connections.len());
    router.record_log("router");
    Ok(verdict)
}
