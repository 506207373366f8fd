//! What loopback sockets can't be brought to from outside: a request of which the system has taken a part, and one that is
//! given up on a way that is cut.

use super::*;
use hollymux_decision::CacheFill;
use hollymux_router::{ClientRequest, Target};
use rustix::net::sockopt;
use std::io::Read;
use std::net::TcpStream;
use std::rc::Rc;

const FILE: &str = include_str!("../../../../examples/config.json");
const ATTEMPT: AttemptId = AttemptId { request: 1, number: 0 };

/// A driver with a connection to a shelf, and the shelf's end of it.
fn connected() -> (Server, Key, TcpStream, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Config::read(FILE).unwrap();
    config.listen = "127.0.0.1:0".parse().unwrap();
    config.door = None;
    let mut driver = Server::new(config, PathBuf::new(), Operator::default()).unwrap();
    let addr = listener.local_addr().unwrap();
    let key = driver.connection(EndpointId(77), addr, b"x").unwrap();
    let (peer, _) = listener.accept().unwrap();
    conn(&mut driver, key).expect("a connection").up = true;
    (driver, key, peer, addr)
}

fn conn(driver: &mut Server, key: Key) -> Option<&mut ShelfConn> {
    match driver.role(key) {
        Some(Role::Shelf(conn)) => Some(conn),
        _ => None,
    }
}

fn send(driver: &mut Server, addr: SocketAddr, body: usize) {
    let mut chain = driver.pool.chain();
    chain.extend(&vec![b'x'; body]).unwrap();
    let word =
        |value: u64| hollymux_router::ReceivedNumber { text: format!("{value:016x}").into_bytes(), value };
    let ask = ClientRequest {
        request_id: word(1),
        class: b"cert-filing".to_vec(),
        object: word(2),
        chunk: 0,
        group: 1,
        budget_ms: 1_500,
        if_none_match: None,
        idempotency_key: None,
        body: chain,
    };
    let fill = CacheFill {
        source: None,
        retention: 0,
        max_age: None,
        coalesce: false,
        stale_while_revalidate: false,
        only_if_cached: false,
    };
    let target = Target { endpoint: EndpointId(77), uid: "s-a".into(), addr, source: None, fill };
    let client = ClientHandle { conn: 1, tag: 1 };
    driver.send(AttemptRequest {
        attempt: ATTEMPT,
        target,
        timeout: Duration::from_secs(1),
        class: 0,
        request: Rc::new(ask),
        client,
        send_before: None,
    });
}

/// Guards against a request whose rest is written after it was called off: its client may have left long before the shelf
/// reads on. What was never whole never ran.
#[test]
fn a_request_that_is_called_off_half_written_is_never_whole() {
    let (mut driver, key, mut peer, addr) = connected();
    // A machine that takes in little.
    let here = &conn(&mut driver, key).unwrap().stream.socket;
    sockopt::set_socket_send_buffer_size(here, 4_096).unwrap();
    send(&mut driver, addr, 4 << 20);
    assert!(conn(&mut driver, key).unwrap().queue.front().is_some_and(|m| m.begun), "all of it was taken");
    driver.quit(ATTEMPT, false);
    assert!(conn(&mut driver, key).is_none(), "the connection goes on");
    let mut got = Vec::new();
    let _end = peer.read_to_end(&mut got);
    assert!(got.len() < 4 << 20, "it is whole at the shelf");
}

/// Guards against two attempts at work at once: what was given up in favour of a further one must not reach its shelf
/// later, when a way that was cut is open again. One that nothing follows is called off in words.
#[test]
fn what_is_given_up_for_a_further_attempt_ends_with_its_connection() {
    for again in [true, false] {
        let (mut driver, key, mut peer, addr) = connected();
        send(&mut driver, addr, 10);
        assert!(conn(&mut driver, key).unwrap().queue.is_empty(), "it was not written whole");
        driver.quit(ATTEMPT, again);
        assert_eq!(conn(&mut driver, key).is_none(), again);
        drop(driver);
        let mut got = Vec::new();
        peer.read_to_end(&mut got).unwrap();
        assert_eq!(got.windows(4).any(|w| w == b"QUIT"), !again);
    }
}
