//! A purge, and a request for the purged object between five and seven seconds after it.

use crate::common::*;
use crate::{log, settings, Setup};
use std::io;
use std::sync::Arc;
use std::time::Duration;

const FRESH: Duration = Duration::from_secs(5);
/// Each time limit is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
const ROUNDS: u64 = 4;
const CLIENTS: u64 = 5;
/// The clients' rounds begin a second apart: one purge a second.
const STAGGER: Duration = Duration::from_secs(1);

pub fn play(setup: &Setup) -> io::Result<Verdict> {
    let world = Arc::new(World::default());
    let classes = [ClassModel {
        name: "page-file",
        service: Duration::from_millis(30),
        bytes: 8_000,
        fresh: FRESH,
        write: false,
    }];
    let feed = Feed::start();
    let shelfs = [
        Shelf::start(&world, "s-box1", "branch-1", "std-box", 20, &classes),
        Shelf::start(&world, "s-box2", "branch-1", "std-box", 20, &classes),
        Shelf::start(&world, "s-hub", "hub-west", "parent", 40, &classes),
        Shelf::start(&world, "s-archive", "hub-east", "origin", 40, &classes),
    ];
    let list: Vec<String> = shelfs.iter().map(|shelf| target(shelf, "ready")).collect();
    feed.publish(&members(true, 1, &list));
    let config = RouterConfig {
        listen: free_address(),
        operator: free_address(),
        feed: feed.address,
        memory_mb: 192,
        sockets: 1024,
        settings: settings::BRANCH.to_string(),
        known: "{\"n\":0,\"events\":[]}".to_string(),
    };
    let router = RouterProcess::start(&config, &setup.temp, "router")?;
    router.wait_ready(Duration::from_secs(10))?;
    let mut verdict = Verdict { broken: Vec::new(), checked: 0 };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (world, feed, trouble, address) = (world.clone(), feed.clone(), setup.trouble, config.listen);
            std::thread::spawn(move || client(number, address, &world, &feed, trouble))
        })
        .collect();
    for client in clients {
        let (checked, broken) = client.join().map_err(|_| io::Error::other("a client panicked"))??;
        verdict.checked += checked;
        verdict.broken.extend(broken);
    }
    log!("shelfs: {} attempts", world.asks.lock().expect("asks").len());
    router.record_log("router");
    Ok(verdict)
}

fn client(
    number: u64,
    address: std::net::SocketAddr,
    world: &World,
    feed: &Feed,
    trouble: bool,
) -> io::Result<(usize, Vec<String>)> {
    let mut broken = Vec::new();
    let mut checked = 0;
    std::thread::sleep(STAGGER * number as u32);
    for round in 0..ROUNDS {
        let object = 0x5000 + number * 16 + round;
        // Asked for, purged, asked for again soon after, and again between 5 and 7 s after the purge.
        let mut ask = |what: &str| -> io::Result<()> {
            let mut connection = Connection::open(address, &format!("client {number}"))?;
            let budget = Duration::from_millis(2_000);
            let request =
                Request { class: "page-file", object, piece: 0, lot: number as u32, budget, body: 0 };
            let rid = new_rid();
            connection.request(1, &rid, &request)?;
            let end = connection.wait(1, Duration::from_millis(2_500));
            connection.close();
            let Some(End::Answered { word, fields, .. }) = &end else { return Ok(()) };
            let tag = field(fields, "ver").unwrap_or_default();
            let Some(dated) = world.dated.lock().expect("dated").get(tag).copied() else { return Ok(()) };
            let written = connection.all()[0].1.written_millis;
            let age = written.saturating_sub(dated);
            log!("client {number}: {what} of object {object:x}: {word}, copy {age} ms old when it was asked for");
            checked += 1;
            if word == "good" && u128::from(age) > (FRESH + SLACK).as_millis() {
                let asks = world.asks.lock().expect("asks");
                let asked = asks.iter().rev().find(|ask| ask.rid == rid).map(|ask| ask.fields.clone());
                broken.push(format!(
                    "{what}: rid {rid} was served with a copy {age} ms old; fresh for {} ms, no grace; the \
                     router had asked for {}",
                    FRESH.as_millis(),
                    asked.unwrap_or_default()
                ));
            }
            Ok(())
        };
        ask("first request")?;
        std::thread::sleep(Duration::from_millis(200));
        // Request routers hear of a purge after 66 to 290 ms.
        let purged_at = unix_millis();
        std::thread::sleep(Duration::from_millis(100));
        if trouble {
            feed.publish(&format!("\"purge\":{{\"key\":\"{object:016x}\",\"at\":{purged_at}}}"));
        }
        std::thread::sleep(Duration::from_millis(50));
        ask("second request")?;
        std::thread::sleep(Duration::from_millis(5_350 + 150 * round));
        ask("third request")?;
    }
    Ok((checked, broken))
}
