//! A stub endpoint that responds to every attempt in a set way, and records the attempts.

use super::{read_resp_array, resp_array};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// How a stub endpoint responds to an attempt.
#[derive(Clone, Debug)]
pub enum StubBehavior {
    /// Responds with these bytes as the object's data.
    Data(Vec<u8>),
    /// Responds with this status and no data.
    Status(&'static str),
    /// Sends these bytes instead of a response.
    RawBytes(Vec<u8>),
    /// Sends these responses, each with its elements separated by spaces. ID stands for the
    /// attempt's id.
    Responses(&'static [&'static str]),
    /// Sends nothing.
    NoResponse,
    /// Closes the connection.
    CloseConnection,
}

/// An attempt that a stub endpoint received.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    pub at: Instant,
    /// The index of the connection that carried the attempt, from 0.
    pub connection: usize,
    pub rid: String,
    pub fields: String,
    pub body: Vec<u8>,
}

/// The state shared by all connections of a stub endpoint.
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
            for (connection, socket) in listener.incoming().flatten().enumerate() {
                let state = state.clone();
                thread::spawn(move || state.serve(connection, socket));
            }
        });
        endpoint
    }

    /// Sets the response to all further attempts.
    pub fn set_behavior(&self, behavior: StubBehavior) {
        *self.state.behavior.lock().unwrap() = behavior;
    }

    /// All attempts received so far, without those that [`StubEndpoint::take_received`] returned.
    pub fn received(&self) -> Vec<ReceivedAttempt> {
        self.state.received.lock().unwrap().clone()
    }

    /// Returns the attempts received so far and forgets them.
    pub fn take_received(&self) -> Vec<ReceivedAttempt> {
        std::mem::take(&mut *self.state.received.lock().unwrap())
    }

    /// Number of attempts received, without those that were taken.
    pub fn count(&self) -> usize {
        self.state.received.lock().unwrap().len()
    }

    /// The ids of the attempts that the router cancelled.
    pub fn cancelled(&self) -> Vec<String> {
        self.state.cancelled.lock().unwrap().clone()
    }
}

impl State {
    /// Serves one connection until either side closes it.
    fn serve(&self, connection: usize, socket: TcpStream) {
        let mut output = socket.try_clone().unwrap();
        let mut input = BufReader::new(socket);
        while let Some(elements) = read_resp_array(&mut input) {
            let text = |index: usize| String::from_utf8(elements[index].clone()).unwrap();
            if elements[0] == b"QUIT" {
                self.cancelled.lock().unwrap().push(text(1));
                continue;
            }
            assert_eq!((elements[0].as_slice(), elements.len()), (&b"ASK"[..], 4), "{elements:?}");
            let rid = text(1);
            let attempt = ReceivedAttempt {
                at: Instant::now(),
                connection,
                rid: rid.clone(),
                fields: text(2),
                body: elements[3].clone(),
            };
            self.received.lock().unwrap().push(attempt);
            let behavior = self.behavior.lock().unwrap().clone();
            let response = match behavior {
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
                StubBehavior::NoResponse => continue,
                StubBehavior::CloseConnection => return,
            };
            if output.write_all(&response).is_err() {
                return;
            }
        }
    }
}

fn response_with_id(response: &str, rid: &str) -> Vec<u8> {
    let response = response.replace("ID", rid);
    let elements: Vec<&[u8]> = response.split(' ').map(str::as_bytes).collect();
    resp_array(&elements)
}
