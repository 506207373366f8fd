//! Stands in for two cache boxes, a hub, the origin and the control feed of `examples/config.json`, on loopback.
//! Every box says what it is asked. Press Enter to let the first box drain, and again to bring it back.

#[allow(dead_code)]
#[path = "../tests/common/standins.rs"]
mod standins;

use standins::{Does, Feed, Shelf};
use std::io::BufRead;
use std::time::Duration;

const BOXES: [(&str, &str, &str, &str); 4] = [
    ("s-box1", "127.0.0.1:5061", "office", "standard-box"),
    ("s-box2", "127.0.0.1:5062", "office", "standard-box"),
    ("s-hub", "127.0.0.1:5063", "north-hub", "parent"),
    ("s-origin", "127.0.0.1:5064", "north-hub", "origin"),
];

fn line((uid, addr, az, model): (&str, &str, &str, &str), state: &str) -> String {
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{addr}\",\"az\":\"{az}\",\"model\":\"{model}\",\"pod_group\":0,\
         \"state\":\"{state}\",\"capacity_hint\":4,\"boot_ms\":0}}"
    )
}

fn main() {
    let feed = Feed::at("127.0.0.1:7070");
    feed.members(true, &BOXES.map(|b| line(b, "ready")));
    for (uid, addr, _, _) in BOXES {
        let shelf = Shelf::at(addr, Does::Data(format!("{uid} served this").into_bytes()));
        std::thread::spawn(move || loop {
            for asked in shelf.asked.lock().unwrap().drain(..) {
                println!("{uid} was asked: {} {}", asked.rid, asked.fields);
            }
            std::thread::sleep(Duration::from_millis(50));
        });
    }
    println!("the control feed is at {}; Enter drains s-box1 or brings it back", feed.addr);
    let mut state = "ready";
    for _ in std::io::stdin().lock().lines() {
        state = if state == "ready" { "draining" } else { "ready" };
        feed.members(false, &[line(BOXES[0], state)]);
        println!("s-box1 is {state}");
    }
    // Without a terminal it goes on until it is ended.
    loop {
        std::thread::park();
    }
}
