//! Endpoints whose answers a test gives one by one, and one whose machine takes no connections
//! until it is told to.

use super::{endpoint_line, read_resp_array, resp_array, TEST_TIMEOUT};
use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// An attempt that was sent by now arrives within this.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// An attempt at an endpoint, with the connection to answer it on.
pub struct HeldAttempt {
    /// The endpoint's number.
    pub endpoint: usize,
    pub rid: String,
    pub fields: String,
    out: TcpStream,
}

impl HeldAttempt {
    /// Answers with this status and body, under the attempt's id.
    pub fn respond(&self, status: &str, body: &[u8]) {
        let answer = resp_array(&[self.rid.as_bytes(), status.as_bytes(), b"digest=d1", body]);
        (&self.out).write_all(&answer).unwrap();
    }

    /// Answers with this status and these fields, and no bytes.
    pub fn respond_with_fields(&self, status: &str, fields: &str) {
        let answer = resp_array(&[self.rid.as_bytes(), status.as_bytes(), fields.as_bytes(), b""]);
        (&self.out).write_all(&answer).unwrap();
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.out.shutdown(Shutdown::Both).unwrap();
    }
}

/// Endpoints that answer nothing by themselves.
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

    /// Two edge caches and the origin, as lines of the endpoint list.
    pub fn lines(&self) -> Vec<String> {
        let kinds = [("s-a", "std"), ("s-b", "std"), ("s-o", "origin")];
        let endpoints = kinds.iter().zip(&self.addrs);
        endpoints.map(|((uid, kind), addr)| endpoint_line(uid, *addr, kind, "ready")).collect()
    }

    /// Has every attempt answered from now on, each in a thread of its own.
    pub fn serve(self, answer: impl Fn(HeldAttempt) + Clone + Send + 'static) {
        thread::spawn(move || {
            for attempt in self.attempts {
                let answer = answer.clone();
                thread::spawn(move || answer(attempt));
            }
        });
    }

    /// Waits for the next attempt at any of them.
    pub fn next(&self) -> HeldAttempt {
        self.attempts.recv_timeout(TEST_TIMEOUT).expect("an attempt at an endpoint")
    }

    /// The next attempt, if one arrives soon.
    pub fn next_soon(&self) -> Option<HeldAttempt> {
        self.attempts.recv_timeout(ARRIVAL_TIME).ok()
    }

    /// All attempts that were not taken yet, once there has been time for more to arrive.
    pub fn remaining(&self) -> Vec<HeldAttempt> {
        thread::sleep(ARRIVAL_TIME);
        self.attempts.try_iter().collect()
    }
}

/// Accepts connections and passes on the attempts that are read from them.
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
    while let Some(words) = read_resp_array(&mut input) {
        if words[0] == b"ASK" {
            let text = |word: usize| String::from_utf8(words[word].clone()).unwrap();
            let out = socket.try_clone().unwrap();
            let _unread = attempts.send(HeldAttempt { endpoint, rid: text(1), fields: text(2), out });
        }
    }
}

/// An endpoint whose machine answers no connection attempt until it is opened: its accept queue is
/// full.
pub struct FullBacklogEndpoint {
    pub addr: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the queue.
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
        assert!(connect().is_err(), "its queue is not full");
        FullBacklogEndpoint { addr, listener, queued }
    }

    /// Accepts connections from now on. The attempts are those of an endpoint with the number 0;
    /// the connections that filled the queue stay open as long as the caller keeps them.
    pub fn open(self) -> (Receiver<HeldAttempt>, Vec<TcpStream>) {
        let (sender, attempts) = channel();
        listen(&self.listener, 128).unwrap();
        hold_attempts(0, self.listener, sender);
        (attempts, self.queued)
    }
}
