//! States that can't be reached from outside over loopback sockets: an attempt of which the kernel
//! has accepted a part, and one that is cancelled while the network is interrupted.

use super::connection::{ConnectState, EndpointConnection};
use crate::config::operator_file::Operator;
use crate::config::Config;
use crate::event_loop::{ConnectionKind, ConnectionToken};
use crate::Server;
use hollymux_decision::{CacheFill, EndpointId};
use hollymux_router::{AttemptId, AttemptRequest, ClientHandle, ClientRequest, ReceivedNumber, Target};
use rustix::net::sockopt;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

const FILE: &str = include_str!("../../../../examples/config.json");
const ATTEMPT: AttemptId = AttemptId { request: 1, number: 0 };

/// A server with a connection to an endpoint, and the endpoint's side of it.
fn connected() -> (Server, ConnectionToken, TcpStream, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Config::read(FILE).unwrap();
    config.listen = "127.0.0.1:0".parse().unwrap();
    config.door = None;
    let mut server = Server::new(config, PathBuf::new(), Operator::default()).unwrap();
    let addr = listener.local_addr().unwrap();
    let token = server.connection(EndpointId(77), addr, b"x").unwrap();
    let (peer, _) = listener.accept().unwrap();
    connection(&mut server, token).expect("a connection").state = ConnectState::Established;
    (server, token, peer, addr)
}

fn connection(server: &mut Server, token: ConnectionToken) -> Option<&mut EndpointConnection> {
    match server.connections.get_mut(token) {
        Some(ConnectionKind::Endpoint(connection)) => Some(connection),
        _ => None,
    }
}

fn send(server: &mut Server, addr: SocketAddr, body: usize) {
    let mut chain = server.buffers.chain();
    chain.extend(&vec![b'x'; body]).unwrap();
    let number = |value: u64| ReceivedNumber { text: format!("{value:016x}").into_bytes(), value };
    let request = ClientRequest {
        request_id: number(1),
        class: b"cert-filing".to_vec(),
        object: number(2),
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
    server.send_attempt(AttemptRequest {
        attempt: ATTEMPT,
        target,
        timeout: Duration::from_secs(1),
        class: 0,
        request: Rc::new(request),
        client,
        send_before: None,
    });
}

/// Guards against a request whose rest is written after it was cancelled: its client may have left
/// long before the endpoint reads on. What never was complete was never executed.
#[test]
fn a_request_that_is_cancelled_half_written_never_becomes_complete() {
    let (mut server, token, mut peer, addr) = connected();
    // A kernel that accepts little at a time.
    let here = &connection(&mut server, token).unwrap().stream.socket;
    sockopt::set_socket_send_buffer_size(here, 4_096).unwrap();
    send(&mut server, addr, 4 << 20);
    assert!(
        connection(&mut server, token).unwrap().queue.front().is_some_and(|m| m.begun),
        "all of it was taken"
    );
    server.cancel_attempt(ATTEMPT, false);
    assert!(connection(&mut server, token).is_none(), "the connection stays open");
    let mut got = Vec::new();
    let _end = peer.read_to_end(&mut got);
    assert!(got.len() < 4 << 20, "it is complete at the endpoint");
}

/// Guards against two attempts executed at once: one that was cancelled in favour of a retry must
/// not reach its endpoint later, when the network works again. One without a retry is cancelled by
/// a message.
#[test]
fn an_attempt_that_is_cancelled_for_a_retry_ends_with_its_connection() {
    for may_retry in [true, false] {
        let (mut server, token, mut peer, addr) = connected();
        send(&mut server, addr, 10);
        assert!(connection(&mut server, token).unwrap().queue.is_empty(), "it was not written whole");
        server.cancel_attempt(ATTEMPT, may_retry);
        assert_eq!(connection(&mut server, token).is_none(), may_retry);
        drop(server);
        let mut got = Vec::new();
        peer.read_to_end(&mut got).unwrap();
        assert_eq!(got.windows(4).any(|w| w == b"QUIT"), !may_retry);
    }
}
