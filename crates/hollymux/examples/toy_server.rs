//! Simulates the endpoints of `examples/config.json` on loopback: two edge caches, a parent cache,
//! the origin and the endpoint feed. Prints the attempts that each endpoint receives. Press Enter
//! to drain the first edge cache, and again to make it ready.

#[path = "../tests/common/stubs/mod.rs"]
mod stubs;

use std::io::BufRead;
use std::time::Duration;
use stubs::{StubBehavior, StubEndpoint, StubFeed};

const ENDPOINTS: [(&str, &str, &str, &str); 4] = [
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
    feed.publish_endpoints(true, &ENDPOINTS.map(|endpoint| endpoint_line(endpoint, "ready")));
    for (uid, addr, _, _) in ENDPOINTS {
        let endpoint = StubEndpoint::at(addr, StubBehavior::Data(format!("{uid} served this").into_bytes()));
        std::thread::spawn(move || loop {
            for request in endpoint.take_received() {
                println!("{uid} received an attempt: {} {}", request.rid, request.fields);
            }
            std::thread::sleep(Duration::from_millis(50));
        });
    }
    println!("the endpoint feed is at {}; press Enter to drain s-box1 or make it ready again", feed.addr);
    let mut state = "ready";
    for _ in std::io::stdin().lock().lines() {
        state = if state == "ready" { "draining" } else { "ready" };
        feed.publish_endpoints(false, &[endpoint_line(ENDPOINTS[0], state)]);
        println!("s-box1 is {state}");
    }
    // After the end of standard input, the endpoints keep running until the process is ended.
    loop {
        std::thread::park();
    }
}
