//! Tests of states that can't be reached from outside over loopback sockets: an attempt that the
//! kernel has accepted only in part, and an attempt that is cancelled during a network
//! interruption.

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

/// A server, its established connection to an endpoint, the endpoint's side of that connection, and
/// the endpoint's address.
fn connected() -> (Server, ConnectionToken, TcpStream, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Config::read(FILE).unwrap();
    config.listen = "127.0.0.1:0".parse().unwrap();
    config.admin_listen = None;
    let mut server = Server::new(config, PathBuf::new(), Operator::default()).unwrap();
    let addr = listener.local_addr().unwrap();
    let token = server.select_connection(EndpointId(77), addr, b"x").unwrap();
    let (peer, _) = listener.accept().unwrap();
    connection(&mut server, token).expect("the dialed connection is closed").state =
        ConnectState::Established;
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
        timeout_ms: 1_500,
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

/// Guards against the rest of a partly written request being sent after its cancellation: the
/// endpoint would execute it although its client may have left long before. An incomplete request
/// is never executed.
#[test]
fn a_request_cancelled_while_partly_written_is_never_completed() {
    let (mut server, token, mut peer, addr) = connected();
    // A small send buffer makes the kernel accept only part of the request.
    let socket = &connection(&mut server, token).unwrap().stream.socket;
    sockopt::set_socket_send_buffer_size(socket, 4_096).unwrap();
    send(&mut server, addr, 4 << 20);
    assert!(
        connection(&mut server, token).unwrap().queue.front().is_some_and(|m| m.begun),
        "the kernel accepted the whole request, or none of it"
    );
    server.cancel_attempt(ATTEMPT, false);
    assert!(
        connection(&mut server, token).is_none(),
        "the connection of a partly written, cancelled request is still open"
    );
    let mut got = Vec::new();
    let _end = peer.read_to_end(&mut got);
    assert!(got.len() < 4 << 20, "the endpoint received the whole cancelled request");
}

/// Guards against two attempts being executed at the same time: an attempt cancelled in favour of a
/// retry must not reach its endpoint later, when the network works again, so its connection is
/// closed. An attempt cancelled without a retry is cancelled by a message.
#[test]
fn cancelling_an_attempt_for_a_retry_closes_its_connection() {
    for may_retry in [true, false] {
        let (mut server, token, mut peer, addr) = connected();
        send(&mut server, addr, 10);
        assert!(
            connection(&mut server, token).unwrap().queue.is_empty(),
            "the request was not written completely"
        );
        server.cancel_attempt(ATTEMPT, may_retry);
        assert_eq!(connection(&mut server, token).is_none(), may_retry);
        drop(server);
        let mut got = Vec::new();
        peer.read_to_end(&mut got).unwrap();
        assert_eq!(got.windows(4).any(|w| w == b"QUIT"), !may_retry);
    }
}
