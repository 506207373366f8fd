//! Simulates two edge caches, a parent cache, the origin and the endpoint feed of
//! `examples/config.json`, on loopback. Every endpoint prints the attempts that it receives. Press
//! Enter to let the first edge cache drain, and again to bring it back.

#[path = "../tests/common/stubs/mod.rs"]
mod stubs;

use std::io::BufRead;
use std::time::Duration;
use stubs::{StubBehavior, StubEndpoint, StubFeed};

const BOXES: [(&str, &str, &str, &str); 4] = [
    ("s-box1", "127.0.0.1:5061", "office", "standard-box"),
    ("s-box2", "127.0.0.1:5062", "office", "standard-box"),
    ("s-hub", "127.0.0.1:5063", "north-hub", "parent"),
    ("s-origin", "127.0.0.1:5064", "north-hub", "origin"),
];

fn endpoint_line((uid, addr, az, model): (&str, &str, &str, &str), state: &str) -> String {
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{addr}\",\"az\":\"{az}\",\"model\":\"{model}\",\"pod_group\":0,\
         \"state\":\"{state}\",\"capacity_hint\":4,\"boot_ms\":0}}"
    )
}

fn main() {
    let feed = StubFeed::at("127.0.0.1:7070");
    feed.publish_endpoints(true, &BOXES.map(|b| endpoint_line(b, "ready")));
    for (uid, addr, _, _) in BOXES {
        let endpoint = StubEndpoint::at(addr, StubBehavior::Data(format!("{uid} served this").into_bytes()));
        std::thread::spawn(move || loop {
            for asked in endpoint.take_received() {
                println!("{uid} was asked: {} {}", asked.rid, asked.fields);
            }
            std::thread::sleep(Duration::from_millis(50));
        });
    }
    println!("the control feed is at {}; Enter drains s-box1 or brings it back", feed.addr);
    let mut state = "ready";
    for _ in std::io::stdin().lock().lines() {
        state = if state == "ready" { "draining" } else { "ready" };
        feed.publish_endpoints(false, &[endpoint_line(BOXES[0], state)]);
        println!("s-box1 is {state}");
    }
    // Without a terminal it goes on until it is ended.
    loop {
        std::thread::park();
    }
}
