//! An endpoint that answers every attempt in the same way, and remembers what it received.

use super::{read_resp_array, resp_array};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// How a stub endpoint answers an attempt.
#[derive(Clone, Debug)]
pub enum StubBehavior {
    /// With these bytes.
    Data(Vec<u8>),
    /// With this status and no bytes.
    Status(&'static str),
    /// With these bytes in the place of a message.
    RawBytes(Vec<u8>),
    /// With these messages, their words separated by spaces; ID stands for the attempt's id.
    Responses(&'static [&'static str]),
    /// Not at all.
    NoAnswer,
    /// By closing the connection.
    CloseConnection,
}

/// An attempt that a stub endpoint received.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    pub at: Instant,
    /// The connection it came on, counted from 0.
    pub conn: usize,
    pub rid: String,
    pub fields: String,
    pub body: Vec<u8>,
}

/// What the connections of a stub endpoint share.
struct State {
    behavior: Mutex<StubBehavior>,
    received: Mutex<Vec<ReceivedAttempt>>,
    cancelled: Mutex<Vec<String>>,
}

pub struct StubEndpoint {
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl StubEndpoint {
    pub fn start(behavior: StubBehavior) -> StubEndpoint {
        StubEndpoint::at("127.0.0.1:0", behavior)
    }

    pub fn at(addr: &str, behavior: StubBehavior) -> StubEndpoint {
        let listener = TcpListener::bind(addr).unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(State {
            behavior: Mutex::new(behavior),
            received: Mutex::default(),
            cancelled: Mutex::default(),
        });
        let endpoint = StubEndpoint { addr, state: state.clone() };
        thread::spawn(move || {
            for (conn, socket) in listener.incoming().flatten().enumerate() {
                let state = state.clone();
                thread::spawn(move || state.serve(conn, socket));
            }
        });
        endpoint
    }

    /// From the next attempt on it answers like this.
    pub fn set_behavior(&self, behavior: StubBehavior) {
        *self.state.behavior.lock().unwrap() = behavior;
    }

    /// All attempts received so far, or since they were taken last.
    pub fn received(&self) -> Vec<ReceivedAttempt> {
        self.state.received.lock().unwrap().clone()
    }

    /// The same, and forgets them.
    pub fn take_received(&self) -> Vec<ReceivedAttempt> {
        std::mem::take(&mut *self.state.received.lock().unwrap())
    }

    /// How many attempts it received.
    pub fn count(&self) -> usize {
        self.state.received.lock().unwrap().len()
    }

    /// Ids of the attempts that the router cancelled.
    pub fn cancelled(&self) -> Vec<String> {
        self.state.cancelled.lock().unwrap().clone()
    }
}

impl State {
    /// Serves one connection until either side closes it.
    fn serve(&self, conn: usize, socket: TcpStream) {
        let mut out = socket.try_clone().unwrap();
        let mut input = BufReader::new(socket);
        while let Some(words) = read_resp_array(&mut input) {
            let text = |word: usize| String::from_utf8(words[word].clone()).unwrap();
            if words[0] == b"QUIT" {
                self.cancelled.lock().unwrap().push(text(1));
                continue;
            }
            assert_eq!((words[0].as_slice(), words.len()), (&b"ASK"[..], 4), "{words:?}");
            let rid = text(1);
            let attempt = ReceivedAttempt {
                at: Instant::now(),
                conn,
                rid: rid.clone(),
                fields: text(2),
                body: words[3].clone(),
            };
            self.received.lock().unwrap().push(attempt);
            let behavior = self.behavior.lock().unwrap().clone();
            let answer = match behavior {
                StubBehavior::Data(body) => {
                    resp_array(&[rid.as_bytes(), b"data", b"digest=d1,dated=1", &body])
                }
                StubBehavior::Status(status) => {
                    resp_array(&[rid.as_bytes(), status.as_bytes(), b"digest=d1", b""])
                }
                StubBehavior::RawBytes(bytes) => bytes,
                StubBehavior::Responses(responses) => {
                    responses.iter().flat_map(|response| response_with_id(response, &rid)).collect()
                }
                StubBehavior::NoAnswer => continue,
                StubBehavior::CloseConnection => return,
            };
            if out.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

fn response_with_id(response: &str, rid: &str) -> Vec<u8> {
    let response = response.replace("ID", rid);
    let words: Vec<&[u8]> = response.split(' ').map(str::as_bytes).collect();
    resp_array(&words)
}
