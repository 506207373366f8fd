//! A stub of the endpoint feed: an HTTP watch that sends events to every router that connects.

use super::StubEndpoint;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two checks for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two comments that keep a watch alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct FeedState {
    events: Vec<String>,
    /// The time at which each connection was made.
    connected_at: Vec<Instant>,
    /// The number of the event after which each connection resumed; 0 for all events.
    resumed_after: Vec<u64>,
    /// Whether all watches, open and new, send nothing.
    silent: bool,
    /// The pause after each event.
    pace: Duration,
    /// The pause between a request and the head of its response.
    head_delay: Duration,
    /// The pause between the head and the body.
    body_delay: Duration,
    /// Number of times that all connections were closed.
    closings: u32,
    /// The number of the connection, from 1, that stays open and sends nothing.
    silent_connection: Option<usize>,
    /// The number of the connection, from 1, that is closed within an event.
    broken_connection: Option<usize>,
}

#[derive(Clone)]
pub struct StubFeed {
    pub addr: SocketAddr,
    state: Arc<Mutex<FeedState>>,
}

impl StubFeed {
    pub fn start() -> StubFeed {
        StubFeed::at("127.0.0.1:0")
    }

    pub fn at(addr: &str) -> StubFeed {
        let listener = TcpListener::bind(addr).unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(FeedState::default()));
        let feed = StubFeed { addr, state: state.clone() };
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || {
                    Watch::accept(socket, &state).and_then(|mut watch| watch.serve(&state))
                });
            }
        });
        feed
    }

    /// Publishes an event under the next number, and returns the time of publication.
    pub fn publish(&self, event: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        let number = state.events.len() + 1;
        state.events.push(format!("{{\"n\":{number},{event}}}"));
        Instant::now()
    }

    /// Publishes lines of the endpoint list: a full list, or changes if `all` is false.
    pub fn publish_endpoints(&self, all: bool, lines: &[String]) -> Instant {
        let lines = lines.join(",");
        self.publish(&format!("\"members\":{{\"rev\":1,\"all\":{all},\"targets\":[{lines}]}}"))
    }

    /// Makes two later connections fail, by their numbers from 1: connection `silent` stays open
    /// and sends nothing, connection `broken` is closed within an event.
    pub fn break_connections(&self, silent: usize, broken: usize) {
        let mut state = self.state.lock().unwrap();
        state.silent_connection = Some(silent);
        state.broken_connection = Some(broken);
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        self.state.lock().unwrap().closings += 1;
    }

    /// Makes all watches send nothing, or send again.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
    }

    /// Makes the feed pause before the head of each response, and again before its body.
    pub fn set_answer_delays(&self, head: Duration, body: Duration) {
        let mut state = self.state.lock().unwrap();
        (state.head_delay, state.body_delay) = (head, body);
    }

    /// Makes all watches pause after each event from now on.
    pub fn set_pace(&self, pace: Duration) {
        self.state.lock().unwrap().pace = pace;
    }

    /// The time at which each connection was made.
    pub fn connection_times(&self) -> Vec<Instant> {
        self.state.lock().unwrap().connected_at.clone()
    }

    /// The number of the event after which each connection resumed; 0 for all events.
    pub fn resumed_after(&self) -> Vec<u64> {
        self.state.lock().unwrap().resumed_after.clone()
    }
}

/// A router's connection to the feed.
struct Watch {
    socket: TcpStream,
    /// The number of the connection, from 1.
    number: usize,
    /// Number of events that were sent on the connection or were known to the router before.
    sent_events: usize,
    /// The value of [`FeedState::closings`] when the connection was made.
    closings: u32,
    /// Whether the connection stays open and sends nothing.
    is_silent: bool,
    /// Whether the connection is closed within its first event.
    breaks_off: bool,
    last_heartbeat: Instant,
}

impl Watch {
    /// Reads the request and sends the start of the response; `None` if the connection fails.
    fn accept(socket: TcpStream, state: &Mutex<FeedState>) -> Option<Watch> {
        let resume_after = read_request(&socket)?;
        let (mut watch, head_delay, body_delay) = {
            let mut state = state.lock().unwrap();
            state.resumed_after.push(resume_after);
            state.connected_at.push(Instant::now());
            let number = state.resumed_after.len();
            let watch = Watch {
                socket,
                number,
                sent_events: resume_after as usize,
                closings: state.closings,
                is_silent: state.silent_connection == Some(number),
                breaks_off: state.broken_connection == Some(number),
                last_heartbeat: Instant::now(),
            };
            (watch, state.head_delay, state.body_delay)
        };
        thread::sleep(head_delay);
        let encoding = if watch.is_chunked() { "Transfer-Encoding: chunked\r\n" } else { "" };
        watch.write(&format!("HTTP/1.1 200 OK\r\n{encoding}\r\n"))?;
        thread::sleep(body_delay);
        watch.write(&watch.chunk(": hello\n\n"))?;
        watch.last_heartbeat = Instant::now();
        Some(watch)
    }

    /// Uses chunked transfer encoding on every other connection, since HTTP/1.1 allows both forms.
    fn is_chunked(&self) -> bool {
        self.number.is_multiple_of(2)
    }

    fn chunk(&self, text: &str) -> String {
        if self.is_chunked() {
            format!("{:x}\r\n{text}\r\n", text.len())
        } else {
            text.to_string()
        }
    }

    fn write(&mut self, text: &str) -> Option<()> {
        self.socket.write_all(text.as_bytes()).ok()
    }

    /// Sends events as they are published, until the connection is closed.
    fn serve(&mut self, state: &Mutex<FeedState>) -> Option<()> {
        if self.is_silent {
            loop {
                thread::park();
            }
        }
        loop {
            let (new_events, all_silent, pace) = {
                let state = state.lock().unwrap();
                if state.closings != self.closings {
                    return None;
                }
                let new_events = state.events.get(self.sent_events..).unwrap_or_default().to_vec();
                (new_events, state.silent, state.pace)
            };
            if !all_silent {
                for event in new_events {
                    self.send(&event)?;
                    thread::sleep(pace);
                }
                self.send_heartbeat()?;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn send(&mut self, event: &str) -> Option<()> {
        self.sent_events += 1;
        let text = self.chunk(&format!("id: {}\ndata: {event}\n\n", self.sent_events));
        // Send the event in two writes, since a network may deliver it in pieces.
        let (first, second) = text.split_at(text.len() / 2);
        self.write(first)?;
        self.socket.flush().ok()?;
        if self.breaks_off {
            return None;
        }
        self.write(second)?;
        // Send the event again. The router must ignore it, since it knows the event's number.
        self.write(&text)
    }

    fn send_heartbeat(&mut self) -> Option<()> {
        if self.last_heartbeat.elapsed() > HEARTBEAT_INTERVAL {
            self.last_heartbeat = Instant::now();
            self.write(&self.chunk(": still here\n\n"))?;
        }
        Some(())
    }
}

/// Reads the HTTP request and returns the number in `Last-Event-ID`; 0 if there is none.
fn read_request(socket: &TcpStream) -> Option<u64> {
    let mut input = BufReader::new(socket.try_clone().ok()?);
    let mut line = String::new();
    let mut resume_after = 0;
    while input.read_line(&mut line).ok()? > 2 {
        if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
            resume_after = id.trim().parse().ok()?;
        }
        line.clear();
    }
    Some(resume_after)
}

/// A line of the endpoint list for an endpoint that started long ago.
pub fn endpoint_line(uid: &str, addr: SocketAddr, model: &str, state: &str) -> String {
    endpoint_line_started_at(uid, addr, model, state, 0)
}

/// A line of the endpoint list for an endpoint that started at `boot_ms`, in Unix milliseconds.
pub fn endpoint_line_started_at(
    uid: &str,
    addr: SocketAddr,
    model: &str,
    state: &str,
    boot_ms: u128,
) -> String {
    let az = if model == "parent" { "hub" } else { "here" };
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{addr}\",\"az\":\"{az}\",\"model\":\"{model}\",\"pod_group\":1,\
         \"state\":\"{state}\",\"capacity_hint\":4,\"boot_ms\":{boot_ms}}}"
    )
}

/// The lines of the endpoint list for two edge caches and the origin.
pub fn endpoint_lines(endpoints: &[StubEndpoint; 3]) -> Vec<String> {
    let [first, second, origin] = endpoints;
    vec![
        endpoint_line("s-a", first.addr, "std", "ready"),
        endpoint_line("s-b", second.addr, "std", "ready"),
        endpoint_line("s-o", origin.addr, "origin", "ready"),
    ]
}
