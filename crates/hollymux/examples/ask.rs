//! Sends one request to a router by the platform's protocol: `ask CLASS [OBJECT]`, the object in 16
//! hex digits.

#[path = "../tests/common/stubs/mod.rs"]
mod stubs;

use std::time::{SystemTime, UNIX_EPOCH};

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let Some(class) = words.first() else {
        eprintln!("usage: ask CLASS [OBJECT]");
        std::process::exit(2);
    };
    let router = "127.0.0.1:5050".parse().expect("an address");
    let rid = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |t| t.as_nanos() as u64);
    let object = words.get(1).map_or("7f3a9c21e0b4d655", String::as_str);
    let mut client = stubs::Client::connect(router);
    client.send_request(1, class, rid, &format!(",obj={object}"));
    println!("{}", client.answer());
}
