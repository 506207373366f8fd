//! Endpoints whose responses the test sends one by one, and an endpoint that completes no
//! connection until the test opens it.

use super::{endpoint_line, read_resp_array, resp_array, TEST_TIMEOUT};
use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// Time in which an attempt that was already sent reaches the endpoint.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// An attempt received by a manual endpoint, with the connection for its response.
pub struct HeldAttempt {
    /// The index of the endpoint in [`ManualEndpoints::addrs`].
    pub endpoint: usize,
    pub rid: String,
    pub fields: String,
    output: TcpStream,
}

impl HeldAttempt {
    /// Sends a response with this status and body.
    pub fn respond(&self, status: &str, body: &[u8]) {
        let response = resp_array(&[self.rid.as_bytes(), status.as_bytes(), b"digest=d1", body]);
        (&self.output).write_all(&response).unwrap();
    }

    /// Sends only the beginning of a response: all of it up to this many bytes of its body.
    pub fn begin_response(&self, status: &str, body: &[u8], body_bytes_sent: usize) {
        let response = resp_array(&[self.rid.as_bytes(), status.as_bytes(), b"digest=d1", body]);
        let unsent = body.len() - body_bytes_sent + b"\r\n".len();
        (&self.output).write_all(&response[..response.len() - unsent]).unwrap();
    }

    /// Sends a response with this status and these fields, without a body.
    pub fn respond_with_fields(&self, status: &str, fields: &str) {
        let response = resp_array(&[self.rid.as_bytes(), status.as_bytes(), fields.as_bytes(), b""]);
        (&self.output).write_all(&response).unwrap();
    }

    /// Whether both attempts arrived on the same connection.
    pub fn shares_connection_with(&self, other: &HeldAttempt) -> bool {
        self.output.peer_addr().unwrap() == other.output.peer_addr().unwrap()
    }

    /// Closes the connection of the attempt.
    pub fn close(&self) {
        self.output.shutdown(Shutdown::Both).unwrap();
    }
}

/// Endpoints that hold every attempt until the test responds to it.
pub struct ManualEndpoints {
    pub addrs: Vec<SocketAddr>,
    attempts: Receiver<HeldAttempt>,
}

impl ManualEndpoints {
    pub fn start(count: usize) -> ManualEndpoints {
        let (sender, attempts) = channel();
        let bind_listener = |_| TcpListener::bind("127.0.0.1:0").unwrap();
        let listeners: Vec<TcpListener> = (0..count).map(bind_listener).collect();
        let addrs = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        for (endpoint, listener) in listeners.into_iter().enumerate() {
            hold_attempts(endpoint, listener, sender.clone());
        }
        ManualEndpoints { addrs, attempts }
    }

    /// The lines of the endpoint list for two edge caches and the origin.
    pub fn lines(&self) -> Vec<String> {
        let kinds = [("s-a", "std"), ("s-b", "std"), ("s-o", "origin")];
        let endpoints = kinds.iter().zip(&self.addrs);
        endpoints.map(|((uid, kind), addr)| endpoint_line(uid, *addr, kind, "ready")).collect()
    }

    /// Responds to every attempt from now on by calling `respond`, on a thread for each attempt.
    pub fn serve(self, respond: impl Fn(HeldAttempt) + Clone + Send + 'static) {
        thread::spawn(move || {
            for attempt in self.attempts {
                let respond = respond.clone();
                thread::spawn(move || respond(attempt));
            }
        });
    }

    /// Waits for the next attempt at any of the endpoints.
    pub fn next(&self) -> HeldAttempt {
        self.attempts.recv_timeout(TEST_TIMEOUT).expect("no attempt arrived at an endpoint")
    }

    /// Returns the next attempt if it arrives within [`ARRIVAL_TIME`].
    pub fn next_soon(&self) -> Option<HeldAttempt> {
        self.attempts.recv_timeout(ARRIVAL_TIME).ok()
    }

    /// Returns all attempts that were not taken yet, after waiting [`ARRIVAL_TIME`] for further
    /// ones.
    pub fn remaining(&self) -> Vec<HeldAttempt> {
        thread::sleep(ARRIVAL_TIME);
        self.attempts.try_iter().collect()
    }
}

/// Accepts connections and sends the attempts received on them to `attempts`.
fn hold_attempts(endpoint: usize, listener: TcpListener, attempts: Sender<HeldAttempt>) {
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let attempts = attempts.clone();
            thread::spawn(move || read_attempts(endpoint, &socket, &attempts));
        }
    });
}

fn read_attempts(endpoint: usize, socket: &TcpStream, attempts: &Sender<HeldAttempt>) {
    let mut input = BufReader::new(socket.try_clone().unwrap());
    while let Some(elements) = read_resp_array(&mut input) {
        if elements[0] == b"ASK" {
            let text = |index: usize| String::from_utf8(elements[index].clone()).unwrap();
            let output = socket.try_clone().unwrap();
            let _ignored = attempts.send(HeldAttempt { endpoint, rid: text(1), fields: text(2), output });
        }
    }
}

/// An endpoint that completes no TCP handshake until it is opened, since its accept queue is full.
pub struct FullBacklogEndpoint {
    pub addr: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the accept queue.
    queued: Vec<TcpStream>,
}

impl FullBacklogEndpoint {
    pub fn start() -> FullBacklogEndpoint {
        let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&fd, 0).unwrap();
        let listener = TcpListener::from(fd);
        let addr = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&addr, Duration::from_millis(200));
        let queued: Vec<TcpStream> = std::iter::from_fn(|| connect().ok()).take(8).collect();
        assert!(connect().is_err(), "the accept queue is not full");
        FullBacklogEndpoint { addr, listener, queued }
    }

    /// Accepts connections from now on. Its attempts have the endpoint index 0. Also returns the
    /// connections that filled the queue; they stay open until the caller drops them.
    pub fn open(self) -> (Receiver<HeldAttempt>, Vec<TcpStream>) {
        let (sender, attempts) = channel();
        listen(&self.listener, 128).unwrap();
        hold_attempts(0, self.listener, sender);
        (attempts, self.queued)
    }
}
