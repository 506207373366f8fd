//! Sends one request to the router at 127.0.0.1:5050 and prints the response. Usage: `ask CLASS
//! [OBJECT]`, with the object number in 16 hexadecimal digits.

#[path = "../tests/common/stubs/mod.rs"]
mod stubs;

use std::time::{SystemTime, UNIX_EPOCH};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(class) = arguments.first() else {
        eprintln!("usage: ask CLASS [OBJECT]");
        std::process::exit(2);
    };
    let router = "127.0.0.1:5050".parse().expect("the address literal is valid");
    let request_id =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since_epoch| since_epoch.as_nanos() as u64);
    let object = arguments.get(1).map_or("7f3a9c21e0b4d655", String::as_str);
    let mut client = stubs::Client::connect(router);
    client.send_request(1, class, request_id, &format!(",obj={object}"));
    println!("{}", client.read_response());
}
