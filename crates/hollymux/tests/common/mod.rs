//! The program as a process, and the stand-ins that it is spoken to by.
#![allow(dead_code)]

pub mod puppets;
pub mod reserved_address;
mod standins;

pub use standins::*;

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Looks again and again until something is there.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(t) = look() {
            return t;
        }
        assert!(start.elapsed() < LONG, "waited too long for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

pub fn unix_ms() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis()
}

// ---- the program ----

pub const SETTINGS: &str = r#"{"az":0,"groupSize":1,"failureDomains":["here","hub"],
 "models":["std","parent","origin"],"weightSource":"nominal","discovery":"push",
 "classes":[
  {"name":"docs","effect":"retryable","onTime":250000,"hardLimit":2500000,"worth":1.0,"aimStretch":2.0},
  {"name":"cert-filing","effect":"fragile","onTime":800000,"hardLimit":3000000,"worth":3.0}],
 "familyInfo":{"classWrite":[false,true],"maxAge":[8000000,0],"usableAfter":[30000000,0],
  "staleEarns":[0.5,0.7],"shieldKind":1,"storeKind":2,"bypassAllowed":true,"neighbours":"any","tells":"none",
  "purgeSlack":300000,"clearedWithin":6000000,"flowKbPerS":2800.0,"countByZone":[1,0]},
 "limits":{"cancel":true,"sendCap":6,"secondCopies":false,"retryAfter":true,"maxRetryAfter":1000000,
  "dialTimeout":400000,"idleClose":30000000,"streamsPerConn":32},
 "rules":{"drainGrace":500000,"graceToAnswer":8000,"coldFrom":0.18,"warmAfter":17000000,
  "overloadFactor":2.5,"tipAfter":1500000}}"#;

pub struct Node {
    pub child: Child,
    pub addr: SocketAddr,
    /// Where DNS is answered, if it is.
    pub dns: Option<SocketAddr>,
    /// Where operators are answered, if they are.
    pub door: Option<SocketAddr>,
    /// Where it hears other routers, if it does.
    pub heard: Option<SocketAddr>,
    lines: Receiver<String>,
    kept: RefCell<Vec<String>>,
    dir: PathBuf,
}

/// A file in a folder of its own.
pub fn file(name: &str, text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("hollymux-test-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join(name), text).unwrap();
    dir.join(name)
}

pub fn config(feed: SocketAddr) -> String {
    format!(
        "{{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"feed\":\"{feed}\",\
         \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\
         \"known\":{{\"n\":0,\"events\":[]}},\"settings\":{SETTINGS}}}"
    )
}

/// The same with a door for operators, at a port of the system's choice.
pub fn with_door(config: &str) -> String {
    config.replacen('{', "{\"operator\":\"127.0.0.1:0\",", 1)
}

/// Where a router's operators are answered.
pub fn door(node: &Node) -> SocketAddr {
    node.door.expect("the program says where operators are answered")
}

/// An operator's call: its status and body.
pub fn call(door: SocketAddr, what: &str) -> (u16, String) {
    let mut socket = TcpStream::connect(door).unwrap();
    socket.set_read_timeout(Some(LONG)).unwrap();
    write!(socket, "{what} HTTP/1.1\r\nHost: router\r\n\r\n").unwrap();
    let mut text = String::new();
    socket.read_to_string(&mut text).unwrap();
    let status = text.split(' ').nth(1).unwrap().parse().unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{text}");
    (status, body.to_string())
}

pub fn command(config: &std::path::Path, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollymux"));
    command.args(args).env("NODE_CONFIG", config).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

impl Node {
    pub fn start(feed: &Feed) -> Node {
        Node::spawn(&config(feed.addr), &[])
    }

    /// A router with these words on its command line.
    pub fn logging(feed: &Feed, args: &[&str]) -> Node {
        Node::spawn(&config(feed.addr), args)
    }

    /// A router that may have so many descriptors.
    pub fn limited(feed: &Feed, sockets: u32) -> Node {
        Node::spawn(&config(feed.addr).replace("\"sockets\":1024", &format!("\"sockets\":{sockets}")), &[])
    }

    /// A router with this configuration.
    pub fn configured(config: &str) -> Node {
        Node::spawn(config, &[])
    }

    /// Routers with these configurations, started all at once, in that order.
    pub fn all(configs: &[String]) -> Vec<Node> {
        let start = |config: &String| {
            let config = config.clone();
            thread::spawn(move || Node::configured(&config))
        };
        let starting: Vec<_> = configs.iter().map(start).collect();
        starting.into_iter().map(|s| s.join().unwrap()).collect()
    }

    pub fn with_dns(feed: &Feed, dns: &str) -> Node {
        Node::with_operator(feed, &format!("{{dns: {{{dns}}}}}"))
    }

    pub fn with_operator(feed: &Feed, text: &str) -> Node {
        Node::with_sections(&config(feed.addr), text)
    }

    /// A router with this configuration and these sections of an operator's file.
    pub fn with_sections(config: &str, text: &str) -> Node {
        let operator = file("operator.json5", text);
        Node::spawn(config, &["serve", "--operator", operator.to_str().unwrap()])
    }

    /// A router with a variable of its environment set.
    pub fn with_environment(config: &str, name: &str, value: &str) -> Node {
        let path = file("config.json", config);
        let mut command = command(&path, &[]);
        Node::wait(command.env_remove("TMPDIR").env(name, value), &path)
    }

    /// A router that another one can replace, or that replaces another one: they meet in that folder.
    pub fn meeting(config: &str, dir: &std::path::Path) -> Node {
        let path = file("config.json", config);
        let mut command = command(&path, &[]);
        Node::wait(command.env("TMPDIR", dir), &path)
    }

    /// The same with these sections of an operator's file.
    pub fn meeting_with(config: &str, text: &str, dir: &std::path::Path) -> Node {
        let (path, operator) = (file("config.json", config), file("operator.json5", text));
        let mut command = command(&path, &["serve", "--operator", operator.to_str().unwrap()]);
        Node::wait(command.env("TMPDIR", dir), &path)
    }

    fn spawn(config: &str, args: &[&str]) -> Node {
        let path = file("config.json", config);
        Node::wait(command(&path, args).env_remove("TMPDIR"), &path)
    }

    fn wait(command: &mut Command, path: &std::path::Path) -> Node {
        let mut child = command.spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (tx, lines) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).all(|l| tx.send(l).is_ok()));
        let (mut addr, mut answers, mut door, mut heard) = (None, None, None, None);
        let mut written = Vec::new();
        while addr.is_none() {
            let line = lines.recv_timeout(LONG).unwrap_or_else(|error| {
                let ended = child.try_wait();
                panic!(
                    "the program does not say where it listens: {error}, {ended:?}, it wrote: {written:#?}"
                )
            });
            written.push(line.clone());
            // Behind the words in text, up to the quote in JSON.
            let word = |words: &str| {
                let rest = line.split_once(words)?.1;
                rest.split([' ', '"']).next()?.parse().ok()
            };
            addr = addr.or_else(|| word("listening on "));
            door = door.or_else(|| word("operators are answered on "));
            heard = heard.or_else(|| word("other routers are heard on "));
            if line.contains("DNS for") {
                answers = word(" on ");
            }
        }
        let dir = path.parent().unwrap().to_path_buf();
        Node { child, addr: addr.unwrap(), dns: answers, door, heard, lines, kept: RefCell::default(), dir }
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
    }

    /// Puts another configuration in the place of the one it has, and tells it so.
    pub fn reread(&self, config: &str) {
        std::fs::write(self.dir.join("config.json"), config).unwrap();
        self.signal("-HUP");
    }

    /// Stops the process where it is; what comes meanwhile waits in the system.
    pub fn freeze(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = |s: String| s.rsplit_once(')').is_some_and(|s| s.1.trim_start().starts_with('T'));
        until("the process to stand still", || {
            stopped(std::fs::read_to_string(&stat).unwrap()).then_some(())
        });
    }

    /// Has it go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Waits for a line of its log that holds these words.
    pub fn says(&self, words: &str) -> String {
        until(words, || self.lines.try_iter().find(|l| l.contains(words)))
    }

    /// How many lines of its log so far hold these words, but for those that [`Node::says`] has passed.
    pub fn said(&self, words: &str) -> usize {
        let mut kept = self.kept.borrow_mut();
        kept.extend(self.lines.try_iter());
        kept.iter().filter(|l| l.contains(words)).count()
    }

    /// How it ended, and what it said meanwhile.
    pub fn ended(&mut self) -> (ExitStatus, Vec<String>) {
        let status = until("the program's end", || self.child.try_wait().unwrap());
        (status, self.lines.try_iter().collect())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        let _gone = std::fs::remove_dir_all(&self.dir);
    }
}
