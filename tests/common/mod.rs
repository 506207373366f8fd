//! Stand-ins on loopback: the program as a process, the control feed, shelfs, and a client of the platform.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing here takes nearly this long; a test that waits for it has failed.
pub const LONG: Duration = Duration::from_secs(20);

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

// ---- RESP ----

pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for w in words {
        out.extend(format!("${}\r\n", w.len()).bytes());
        out.extend_from_slice(w);
        out.extend(b"\r\n");
    }
    out
}

/// One array; none at the end of the stream.
pub fn read_array(from: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let number = |from: &mut dyn BufRead| -> Option<usize> {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        line.trim_end().get(1..)?.parse().ok()
    };
    let count = number(from)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut word = vec![0; number(from)? + 2];
        from.read_exact(&mut word).ok()?;
        word.truncate(word.len() - 2);
        words.push(word);
    }
    Some(words)
}

// ---- shelfs ----

/// What a stand-in shelf does with a request.
#[derive(Clone, Debug)]
pub enum Does {
    Data(Vec<u8>),
    Word(&'static str),
    Raw(&'static [u8]),
    Nothing,
    Close,
}

#[derive(Clone, Debug)]
pub struct Asked {
    pub at: Instant,
    pub rid: String,
    pub fields: String,
    pub body: Vec<u8>,
}

pub struct Shelf {
    pub addr: SocketAddr,
    pub does: Arc<Mutex<Does>>,
    pub asked: Arc<Mutex<Vec<Asked>>>,
    /// Ids that were given up.
    pub quits: Arc<Mutex<Vec<String>>>,
}

impl Shelf {
    pub fn start(does: Does) -> Shelf {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let does = Arc::new(Mutex::new(does));
        let (asked, quits) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let shelf = Shelf { addr, does: does.clone(), asked: asked.clone(), quits: quits.clone() };
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (does, asked, quits) = (does.clone(), asked.clone(), quits.clone());
                thread::spawn(move || serve(socket, &does, &asked, &quits));
            }
        });
        shelf
    }

    pub fn does(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    pub fn asked(&self) -> Vec<Asked> {
        self.asked.lock().unwrap().clone()
    }

    pub fn count(&self) -> usize {
        self.asked.lock().unwrap().len()
    }
}

fn serve(socket: TcpStream, does: &Mutex<Does>, asked: &Mutex<Vec<Asked>>, quits: &Mutex<Vec<String>>) {
    let mut out = socket.try_clone().unwrap();
    let mut input = BufReader::new(socket);
    while let Some(words) = read_array(&mut input) {
        let text = |i: usize| String::from_utf8(words[i].clone()).unwrap();
        if words[0] == b"QUIT" {
            quits.lock().unwrap().push(text(1));
            continue;
        }
        assert_eq!((words[0].as_slice(), words.len()), (&b"ASK"[..], 4), "{words:?}");
        let (at, rid, fields, body) = (Instant::now(), text(1), text(2), words[3].clone());
        asked.lock().unwrap().push(Asked { at, rid, fields, body });
        let answer = match does.lock().unwrap().clone() {
            Does::Data(body) => array(&[&words[1], b"data", b"digest=d1,dated=1", &body]),
            Does::Word(word) => array(&[&words[1], word.as_bytes(), b"digest=d1", b""]),
            Does::Raw(bytes) => bytes.to_vec(),
            Does::Nothing => continue,
            Does::Close => return,
        };
        if out.write_all(&answer).is_err() {
            return;
        }
    }
}

// ---- the control feed ----

#[derive(Default)]
struct Told {
    events: Vec<String>,
    calls: Vec<u64>,
    cut: u32,
}

#[derive(Clone)]
pub struct Feed {
    pub addr: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Feed {
    pub fn start() -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let told = Arc::new(Mutex::new(Told::default()));
        let feed = Feed { addr, told: told.clone() };
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let told = told.clone();
                thread::spawn(move || Feed::serve(socket, &told));
            }
        });
        feed
    }

    fn serve(mut socket: TcpStream, told: &Mutex<Told>) -> Option<()> {
        let mut input = BufReader::new(socket.try_clone().ok()?);
        let (mut line, mut at) = (String::new(), 0);
        while input.read_line(&mut line).ok()? > 2 {
            if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
                at = id.trim().parse().ok()?;
            }
            line.clear();
        }
        let cut = {
            let mut told = told.lock().unwrap();
            told.calls.push(at);
            told.cut
        };
        socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n").ok()?;
        let mut said = Instant::now();
        loop {
            let (new, now) = {
                let told = told.lock().unwrap();
                (told.events.get(at as usize..).unwrap_or_default().to_vec(), told.cut)
            };
            if now != cut {
                return None;
            }
            for event in new {
                at += 1;
                // In two pieces, as a network may deliver it.
                let text = format!("id: {at}\ndata: {event}\n\n");
                let (a, b) = text.split_at(text.len() / 2);
                socket.write_all(a.as_bytes()).ok()?;
                socket.flush().ok()?;
                socket.write_all(b.as_bytes()).ok()?;
            }
            if said.elapsed() > Duration::from_secs(1) {
                said = Instant::now();
                socket.write_all(b": still here\n\n").ok()?;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Tells an event, whose number it adds; the time at which it was told.
    pub fn tell(&self, event: &str) -> Instant {
        let mut told = self.told.lock().unwrap();
        let n = told.events.len() + 1;
        told.events.push(format!("{{\"n\":{n},{event}}}"));
        Instant::now()
    }

    /// Ends all connections.
    pub fn cut(&self) {
        self.told.lock().unwrap().cut += 1;
    }

    /// The numbers after which the feed was called for.
    pub fn calls(&self) -> Vec<u64> {
        self.told.lock().unwrap().calls.clone()
    }

    pub fn members(&self, all: bool, lines: &[String]) -> Instant {
        self.tell(&format!("\"members\":{{\"rev\":1,\"all\":{all},\"targets\":[{}]}}", lines.join(",")))
    }
}

pub fn line(uid: &str, addr: SocketAddr, model: &str, state: &str) -> String {
    let az = if model == "parent" { "hub" } else { "here" };
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{addr}\",\"az\":\"{az}\",\"model\":\"{model}\",\"pod_group\":1,\
         \"state\":\"{state}\",\"capacity_hint\":4,\"boot_ms\":0}}"
    )
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
    lines: Receiver<String>,
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

pub fn command(config: &std::path::Path, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollymux"));
    command.args(args).env("NODE_CONFIG", config).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

impl Node {
    pub fn start(feed: &Feed) -> Node {
        Node::spawn(feed, None)
    }

    pub fn with_dns(feed: &Feed, dns: &str) -> Node {
        Node::spawn(feed, Some(dns))
    }

    fn spawn(feed: &Feed, dns: Option<&str>) -> Node {
        let path = file("config.json", &config(feed.addr));
        let dns = dns.map(|text| file("dns.toml", text).to_str().unwrap().to_string());
        let args: Vec<&str> = dns.iter().flat_map(|d| ["--dns", d]).collect();
        let mut child = command(&path, &args).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (tx, lines) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).all(|l| tx.send(l).is_ok()));
        let (mut addr, mut answers) = (None, None);
        while addr.is_none() {
            let line = lines.recv_timeout(LONG).expect("the program says where it listens");
            let last = line.rsplit(' ').next().and_then(|a| a.parse().ok());
            if line.contains("listening on") {
                addr = last;
            } else if line.contains("DNS for") {
                answers = last;
            }
        }
        let dir = path.parent().unwrap().to_path_buf();
        Node { child, addr: addr.unwrap(), dns: answers, lines, dir }
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
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

// ---- a client of the platform ----

pub struct Client {
    out: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Client {
        let out = TcpStream::connect(addr).unwrap();
        out.set_read_timeout(Some(LONG)).unwrap();
        Client { input: BufReader::new(out.try_clone().unwrap()), out }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.out.write_all(bytes).unwrap();
    }

    pub fn ask(&mut self, tag: u32, class: &str, rid: u64, more: &str) {
        let fields = format!("rid={rid:016x},budget=1500,piece=0,lot=17{more}");
        let tag = tag.to_string();
        self.send(&array(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), b"a body"]));
    }

    /// An answer as words, or the end of the connection.
    pub fn answer(&mut self) -> String {
        let words = read_array(&mut self.input);
        words.map_or("end".into(), |w| String::from_utf8_lossy(&w.join(&b" "[..])).trim_end().to_string())
    }

    /// A request and its answer.
    pub fn get(&mut self, tag: u32, class: &str, rid: u64, object: u64) -> String {
        self.ask(tag, class, rid, &format!(",obj={object:016x}"));
        self.answer()
    }
}
