//! What loopback sockets can't be brought to from outside: a request of which the system has taken a part.

use super::*;
use hollymux_core::{Ask, Target};
use hollymux_decide::{Fill, SEC};
use rustix::net::sockopt;
use std::io::Read;
use std::rc::Rc;

const FILE: &str = include_str!("../../../../examples/config.json");

/// Guards against a request whose rest is written after it was called off: its client may have left long before the shelf
/// reads on. What was never whole never ran.
#[test]
fn a_request_that_is_called_off_half_written_is_never_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Config::read(FILE).unwrap();
    config.listen = "127.0.0.1:0".parse().unwrap();
    config.door = None;
    let mut driver = Driver::new(config, PathBuf::new(), Operator::default()).unwrap();
    let (host, addr) = (HostId(77), listener.local_addr().unwrap());
    let key = driver.connection(host, addr, b"x").unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    // A machine that takes in little, at both ends.
    let Some(Role::Shelf(conn)) = driver.role(key) else { panic!("it was closed") };
    sockopt::set_socket_send_buffer_size(&conn.stream.socket, 4_096).unwrap();
    conn.up = true;
    let mut body = driver.pool.chain();
    body.extend(&vec![b'x'; 4 << 20]).unwrap();
    let word = |n: u64| (format!("{n:016x}").into_bytes(), n);
    let ask = Ask {
        rid: word(1),
        class: b"cert-filing".to_vec(),
        object: word(2),
        part: 0,
        group: 1,
        budget: 1_500,
        held: None,
        key: None,
        body,
    };
    let fill = Fill { source: None, keep: 0, max_age: None, join: false, renew: false, shallow: false };
    let (attempt, client) = (AttemptId { request: 1, number: 0 }, Client { conn: 1, tag: 1 });
    let target = Target { host, uid: "s-a".into(), addr, source: None, fill };
    driver.send(Order { attempt, target, timeout: SEC, class: 0, ask: Rc::new(ask), client, by: None });
    let Some(Role::Shelf(conn)) = driver.role(key) else { panic!("it was closed") };
    assert!(conn.queue.front().is_some_and(|m| m.begun), "all of it was taken");
    driver.quit(attempt);
    assert!(driver.role(key).is_none(), "the connection goes on");
    let mut got = Vec::new();
    let _end = peer.read_to_end(&mut got);
    assert!(got.len() < 4 << 20, "it is whole at the shelf");
}
