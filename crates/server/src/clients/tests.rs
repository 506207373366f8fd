//! Tests of states that can't be reached from outside without filling the kernel's buffers, whose
//! size differs between machines: replies that clients don't read.

use super::connection::ClientState;
use super::ClientConnection;
use crate::config::operator_file::Operator;
use crate::config::Config;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken};
use crate::housekeeping::WRITE_TIMEOUT;
use crate::Server;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

const FILE: &str = include_str!("../../../../examples/config.json");

fn server() -> Server {
    let mut config = Config::read(FILE).unwrap();
    config.listen = "127.0.0.1:0".parse().unwrap();
    config.admin_listen = None;
    Server::new(config, PathBuf::new(), Operator::default()).unwrap()
}

/// Adds a client connection on which this many bytes of replies have not been read.
fn add_client(server: &mut Server, unread: usize) -> (ConnectionToken, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (socket, _) = listener.accept().unwrap();
    socket.set_nonblocking(true).unwrap();
    let mut connection = ClientConnection::new(socket, &server.buffers, server.now);
    connection.output.extend_control(&vec![b'x'; unread]);
    server.client_count += 1;
    (server.insert(ConnectionKind::Client(connection)).unwrap(), peer)
}

/// Guards against replies that nobody reads and that take the memory of the process, and against
/// closing clients that read theirs.
#[test]
fn the_client_with_most_unread_replies_is_closed_when_they_exceed_their_limit() {
    let mut server = server();
    let max = server.buffers.max_control_bytes();
    let clients = [max / 4, max / 2, 0, max / 2].map(|unread| add_client(&mut server, unread));
    server.shed_unread_replies();
    let open = clients.map(|(token, _peer)| server.connections.is_open(token));
    assert_eq!(open.iter().filter(|is_open| **is_open).count(), 3, "{open:?}");
    assert!(open[0] && open[2], "a client with fewer unread replies was closed: {open:?}");
    assert!(server.buffers.control_bytes() <= max);
}

/// Guards against taking a client that reads slowly for one that doesn't read: the kernel reports room
/// for output long after it has some.
#[test]
fn a_client_that_reads_a_little_is_not_closed_for_its_unread_replies() {
    let mut server = server();
    let (token, mut peer) = add_client(&mut server, 1);
    let mut connection = server.connections.take_client(token).unwrap();
    let reply = vec![b'x'; 64 << 10];
    while !connection.stream.waiting_to_write {
        connection.output.extend_control(&reply);
        assert!(
            server.flush(token, &mut connection.stream, &mut connection.output) == ConnectionAction::Keep
        );
    }
    connection.output.extend_control(&reply.repeat(100));
    let unread = |connection: &ClientConnection| connection.output.len();
    for _ in 0..3 {
        // Less than a third of what the kernel holds.
        let before = unread(&connection);
        peer.read_exact(&mut vec![0; 400_000]).unwrap();
        server.now += WRITE_TIMEOUT + Duration::from_secs(1);
        let action = server.client_housekeeping(token, &mut connection);
        assert!(action == ConnectionAction::Keep, "closed although its client reads");
        assert!(unread(&connection) < before);
    }
    // Now it reads nothing any more.
    server.now += WRITE_TIMEOUT + Duration::from_secs(1);
    assert!(server.client_housekeeping(token, &mut connection) == ConnectionAction::Close);
}

/// Guards against clients that don't read and hold their descriptors: they are idle once the slowest
/// client would have read its replies.
#[test]
fn a_client_that_reads_nothing_is_idle_after_the_time_of_the_slowest_one() {
    let mut server = server();
    let (token, _peer) = add_client(&mut server, 1);
    let mut connection = server.connections.take_client(token).unwrap();
    let reply = vec![b'x'; 64 << 10];
    while !connection.stream.waiting_to_write {
        connection.output.extend_control(&reply);
        assert!(server.flush_client(token, &mut connection) == ConnectionAction::Keep);
    }
    // All that is left is in the kernel, which can't send it.
    connection.output = server.buffers.chain();
    connection.stream.waiting_to_write = false;
    connection.state = ClientState::BetweenMessages;
    let written = server.now;
    assert!(
        connection.close_noticed_from(written + Duration::from_secs(3)) > written + Duration::from_secs(3)
    );
    server.connections.restore(token, ConnectionKind::Client(connection));
    server.now = written + Duration::from_secs(3);
    assert!(!server.evict_client(), "closed while its client may still read");
    server.now = written + Duration::from_secs(5);
    assert!(server.evict_client(), "kept for a client that does not read");
}

/// Guards against a connection that is closing and is never shut down, as housekeeping has written the
/// last of its output.
#[test]
fn a_closing_connection_is_shut_down_behind_its_output_whoever_writes_it() {
    let mut server = server();
    let (token, mut peer) = add_client(&mut server, 1_000);
    let mut connection = server.connections.take_client(token).unwrap();
    connection.stream.waiting_to_write = true;
    connection.shutdown_write(server.now);
    assert!(server.client_housekeeping(token, &mut connection) == ConnectionAction::Keep);
    let mut read = Vec::new();
    peer.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    peer.read_to_end(&mut read).expect("the end of the connection");
    assert_eq!(read.len(), 1_000);
}

/// Guards against closing clients because of messages that endpoints don't read.
#[test]
fn messages_that_endpoints_do_not_read_close_no_client() {
    let mut server = server();
    let max = server.buffers.max_control_bytes();
    let mut to_endpoint = server.buffers.chain();
    to_endpoint.extend_control(&vec![b'x'; 2 * max]);
    let (token, _peer) = add_client(&mut server, 100);
    server.shed_unread_replies();
    assert!(server.connections.is_open(token));
}
