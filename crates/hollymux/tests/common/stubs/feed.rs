//! The endpoint feed: a watch over HTTP that sends events to every router that connects.

use super::StubEndpoint;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// From one check for new events to the next.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// From one comment that shows that the watch lives to the next.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct FeedState {
    events: Vec<String>,
    /// Of each connection: when it was made, and the number of the event to resume after.
    connected_at: Vec<Instant>,
    resumed_after: Vec<u64>,
    /// Open watches and new ones send nothing.
    silent: bool,
    /// Counts how often all connections were closed.
    closings: u32,
    /// The connection of that number, from 1, sends nothing and stays open.
    silent_connection: Option<usize>,
    /// The connection of that number breaks off within an event.
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

    /// Publishes an event, whose number it adds; the time at which it was published.
    pub fn publish(&self, event: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        let number = state.events.len() + 1;
        state.events.push(format!("{{\"n\":{number},{event}}}"));
        Instant::now()
    }

    /// Publishes lines of the endpoint list: all of it, or changes to it.
    pub fn publish_endpoints(&self, all: bool, lines: &[String]) -> Instant {
        let lines = lines.join(",");
        self.publish(&format!("\"members\":{{\"rev\":1,\"all\":{all},\"targets\":[{lines}]}}"))
    }

    /// Of the connections that are still to come, counted from 1 with those that there were: one
    /// that sends nothing, and one that breaks off within an event.
    pub fn break_connections(&self, silent: usize, broken: usize) {
        let mut state = self.state.lock().unwrap();
        state.silent_connection = Some(silent);
        state.broken_connection = Some(broken);
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.state.lock().unwrap().closings += 1;
    }

    /// Has all watches fall silent, or send again.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
    }

    /// When each connection was made.
    pub fn connection_times(&self) -> Vec<Instant> {
        self.state.lock().unwrap().connected_at.clone()
    }

    /// Of each connection the number of the event that it resumes after.
    pub fn resumed_after(&self) -> Vec<u64> {
        self.state.lock().unwrap().resumed_after.clone()
    }
}

/// One router's connection.
struct Watch {
    socket: TcpStream,
    /// Its number, from 1.
    number: usize,
    /// Events sent, or known to the router already.
    sent_events: usize,
    /// How often all connections had been closed when it was made.
    closings: u32,
    /// It sends nothing for as long as it is open.
    is_silent: bool,
    /// It breaks off within the first event.
    breaks_off: bool,
    last_heartbeat: Instant,
}

impl Watch {
    /// Reads the request and answers it with the head of the stream; none if the connection fails.
    fn accept(socket: TcpStream, state: &Mutex<FeedState>) -> Option<Watch> {
        let resume_after = read_request(&socket)?;
        let mut watch = {
            let mut state = state.lock().unwrap();
            state.resumed_after.push(resume_after);
            state.connected_at.push(Instant::now());
            let number = state.resumed_after.len();
            Watch {
                socket,
                number,
                sent_events: resume_after as usize,
                closings: state.closings,
                is_silent: state.silent_connection == Some(number),
                breaks_off: state.broken_connection == Some(number),
                last_heartbeat: Instant::now(),
            }
        };
        let encoding = if watch.is_chunked() { "Transfer-Encoding: chunked\r\n" } else { "" };
        watch.write(&format!("HTTP/1.1 200 OK\r\n{encoding}\r\n"))?;
        watch.write(&watch.chunk(": hello\n\n"))?;
        watch.last_heartbeat = Instant::now();
        Some(watch)
    }

    /// Every other connection is answered in chunks, as HTTP/1.1 allows.
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

    /// Sends events as they are published, until the connection ends.
    fn serve(&mut self, state: &Mutex<FeedState>) -> Option<()> {
        if self.is_silent {
            loop {
                thread::park();
            }
        }
        loop {
            let (new_events, all_silent) = {
                let state = state.lock().unwrap();
                if state.closings != self.closings {
                    return None;
                }
                let new_events = state.events.get(self.sent_events..).unwrap_or_default().to_vec();
                (new_events, state.silent)
            };
            if !all_silent {
                for event in new_events {
                    self.send(&event)?;
                }
                self.send_heartbeat()?;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn send(&mut self, event: &str) -> Option<()> {
        self.sent_events += 1;
        let text = self.chunk(&format!("id: {}\ndata: {event}\n\n", self.sent_events));
        // In two pieces, as a network may deliver it.
        let (first, second) = text.split_at(text.len() / 2);
        self.write(first)?;
        self.socket.flush().ok()?;
        if self.breaks_off {
            return None;
        }
        self.write(second)?;
        // A second time: the router has to see by its number that it knows the event.
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

/// The number of the event to resume after, 0 for all.
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

/// A line of the endpoint list.
pub fn endpoint_line(uid: &str, addr: SocketAddr, model: &str, state: &str) -> String {
    endpoint_line_started_at(uid, addr, model, state, 0)
}

/// The line of an endpoint that started at that Unix millisecond.
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

/// The lines of two edge caches and the origin.
pub fn endpoint_lines(endpoints: &[StubEndpoint; 3]) -> Vec<String> {
    let [first, second, origin] = endpoints;
    vec![
        endpoint_line("s-a", first.addr, "std", "ready"),
        endpoint_line("s-b", second.addr, "std", "ready"),
        endpoint_line("s-o", origin.addr, "origin", "ready"),
    ]
}
