//! Calls of a router's admin endpoint.

use super::{RouterProcess, TEST_TIMEOUT};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// The address of a router's admin endpoint.
pub fn admin_address(router: &RouterProcess) -> SocketAddr {
    router.admin.expect("the program says where operators are answered")
}

/// A call such as `GET /status`: the HTTP status and the body of its answer.
pub fn admin_call(admin: SocketAddr, call: &str) -> (u16, String) {
    let mut socket = TcpStream::connect(admin).unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    write!(socket, "{call} HTTP/1.1\r\nHost: router\r\n\r\n").unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    let status = answer.split(' ').nth(1).unwrap().parse().unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{answer}");
    (status, body.to_string())
}
