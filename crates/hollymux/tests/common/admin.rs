//! Calls to a router's admin endpoint.

use super::{RouterProcess, TEST_TIMEOUT};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Returns the address of a router's admin endpoint, which the router has logged at its start.
pub fn admin_address(router: &RouterProcess) -> SocketAddr {
    router.admin.expect("the router logged no address of an admin endpoint")
}

/// Sends a call such as `GET /status`, and returns the HTTP status and the body of the response.
pub fn admin_call(admin: SocketAddr, call: &str) -> (u16, String) {
    let mut socket = TcpStream::connect(admin).unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    write!(socket, "{call} HTTP/1.1\r\nHost: router\r\n\r\n").unwrap();
    let mut response = String::new();
    socket.read_to_string(&mut response).unwrap();
    let status = response.split(' ').nth(1).unwrap().parse().unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{response}");
    (status, body.to_string())
}
