//! Parts that all cases share: the record, the router as a separate process, the endpoint feed,
//! edge caches with a simple cache model, and clients of the platform's protocol.

use std::collections::{BTreeMap, HashSet};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, unused2: u64, unused3: u64, unused4: u64) -> i32;
}

/// `PR_SET_PDEATHSIG` of prctl: the signal that a process gets when its parent ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

pub const SIGKILL: i32 = 9;

/// Ids of the processes that this program has started and not reaped.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("clock before 1970").as_millis() as u64
}

pub fn open_record(path: &Path) -> io::Result<()> {
    let file = File::create(path)?;
    let _first = RECORD.set((Mutex::new(file), Instant::now()));
    Ok(())
}

pub fn record(line: &str) {
    if let Some((file, start)) = RECORD.get() {
        let at = start.elapsed();
        let mut file = file.lock().expect("record");
        let _written = writeln!(file, "{:>8.3} {line}", at.as_secs_f64());
    }
}

#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => { $crate::common::record(&format!($($arg)*)) };
}

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: kill has no memory effects; the id is that of a child that is not reaped yet.
    unsafe { kill(pid as i32, number) };
}

/// Ends all processes that were started.
pub fn end_children() {
    if let Ok(children) = CHILDREN.lock() {
        for pid in children.iter() {
            signal(*pid, SIGKILL);
        }
    }
}

/// An address with a port that is free at the moment.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    listener.local_addr().expect("local address")
}

/// A small deployment's configuration of one router.
pub struct RouterConfig {
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    pub feed: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    /// JSON of the section `settings`.
    pub settings: String,
    /// JSON of the section `known`.
    pub known: String,
}

impl RouterConfig {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"operator\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"feed\":\"{}\",\
             \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":{},\"settings\":{}}}",
            self.listen, self.operator, self.memory_mb, self.sockets, self.feed, self.known, self.settings
        )
    }
}

/// A router process, started by the command `run` of the deploy file.
pub struct RouterProcess {
    pub child: Child,
    pub operator: SocketAddr,
    pub log: PathBuf,
}

/// The command `run` of `deploy/balancer.toml`.
fn run_command() -> io::Result<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let command = line.map(|value| value.trim().trim_matches('"').to_string());
    command.ok_or_else(|| io::Error::other("deploy/balancer.toml has no run command"))
}

impl RouterProcess {
    pub fn start(config: &RouterConfig, folder: &Path, name: &str) -> io::Result<RouterProcess> {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, config.json())?;
        let tmp = folder.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        let log = folder.join(format!("{name}.log"));
        let command = run_command()?;
        let mut shell = Command::new("/bin/sh");
        // SAFETY: prctl is a plain system call. The router ends with this program, however that ends.
        unsafe {
            shell.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = shell
            .args(["-c", &command])
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", config.listen.to_string())
            .env("NODE_OPERATOR", config.operator.to_string())
            .env("NODE_CONFIG", &path)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        CHILDREN.lock().expect("children").push(child.id());
        log!("platform: started router {name} (pid {}) with `{command}`", child.id());
        Ok(RouterProcess { child, operator: config.operator, log })
    }

    /// Waits until the admin endpoint says that the process is ready.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if matches!(http_get(self.operator, "/status"), Ok(text) if text.starts_with("HTTP/1.1 200")) {
                log!("platform: router (pid {}) is ready", self.child.id());
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the router is not ready in time"))
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Copies the process's log into the record.
    pub fn record_log(&self, name: &str) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        for line in text.lines().take(400) {
            log!("log of {name}: {line}");
        }
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        if let Ok(None) = self.child.try_wait() {
            signal(self.child.id(), SIGKILL);
        }
        let _status = self.child.wait();
        CHILDREN.lock().expect("children").retain(|pid| *pid != self.child.id());
    }
}

pub fn http_get(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: router\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Encodes a RESP array of bulk strings.
pub fn encode(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).into_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Reads a RESP array of bulk strings; `None` at the end of the stream.
pub fn read_array(reader: &mut impl BufRead) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(count) = read_length(reader, b'*')? else { return Ok(None) };
    let mut words = Vec::new();
    for _ in 0..count {
        let length = read_length(reader, b'$')?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

fn read_length(reader: &mut impl BufRead, marker: u8) -> io::Result<Option<usize>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let text = std::str::from_utf8(&line).map_err(io::Error::other)?.trim_end();
    let digits = text.strip_prefix(marker as char).ok_or(io::ErrorKind::InvalidData)?;
    digits.parse().map(Some).map_err(io::Error::other)
}

/// The value of a field in `name=value,name=value`.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, v)| v))
}

// ---------------------------------------------------------------------------------------------
// The endpoint feed.

pub struct Feed {
    pub address: SocketAddr,
    events: Mutex<Vec<String>>,
}

impl Feed {
    pub fn start() -> Arc<Feed> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the feed");
        let feed = Arc::new(Feed {
            address: listener.local_addr().expect("address"),
            events: Mutex::new(Vec::new()),
        });
        let shared = feed.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let feed = shared.clone();
                std::thread::spawn(move || {
                    let _ended = feed.serve(stream);
                });
            }
        });
        feed
    }

    /// Adds an event (JSON without `n`) and returns its number.
    pub fn publish(&self, body: &str) -> u64 {
        let mut events = self.events.lock().expect("events");
        let number = events.len() as u64 + 1;
        events.push(format!("{{\"n\":{number},{body}}}"));
        log!("feed: event {number}: {body}");
        number
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut after = 0u64;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(value) = line.strip_prefix("Last-Event-ID:") {
                after = value.trim().parse().unwrap_or(0);
            }
            if line.trim().is_empty() {
                break;
            }
        }
        log!("feed: a watch begins after event {after}");
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let mut next_comment = Instant::now();
        loop {
            let pending: Vec<String> = {
                let events = self.events.lock().expect("events");
                events.iter().skip(after as usize).cloned().collect()
            };
            for event in pending {
                after += 1;
                stream.write_all(format!("id: {after}\ndata: {event}\n\n").as_bytes())?;
            }
            if Instant::now() >= next_comment {
                stream.write_all(b": still here\n\n")?;
                next_comment += Duration::from_secs(1);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// One entry of the endpoint list, as JSON.
pub fn target(shelf: &Shelf, state: &str) -> String {
    format!(
        "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":0,\
         \"state\":\"{state}\",\"capacity_hint\":{},\"boot_ms\":0}}",
        shelf.uid, shelf.address, shelf.zone, shelf.model, shelf.weight
    )
}

pub fn members(all: bool, revision: u64, targets: &[String]) -> String {
    format!("\"members\":{{\"rev\":{revision},\"all\":{all},\"targets\":[{}]}}", targets.join(","))
}

// ---------------------------------------------------------------------------------------------
// Edge caches, parent caches and the origin.

/// What the servers share: the origin's counter of copies.
#[derive(Default)]
pub struct World {
    next_tag: AtomicU64,
}

impl World {
    /// Makes a new copy at the origin and returns its tag and date.
    fn new_copy(&self) -> (String, u64) {
        let number = self.next_tag.fetch_add(1, Ordering::Relaxed);
        (format!("{:016x}", number + 0xabc0_0000_0000), unix_millis())
    }
}

/// How long a class's work takes at a server, and how large its objects are.
#[derive(Clone)]
pub struct ClassModel {
    pub name: &'static str,
    pub service: Duration,
    pub bytes: usize,
    /// Fresh time; zero: until it is purged.
    pub fresh: Duration,
    pub write: bool,
}

pub struct Shelf {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub model: &'static str,
    pub weight: u32,
    world: Arc<World>,
    classes: Vec<ClassModel>,
    /// Tag and date of the copy of each part.
    copies: Mutex<BTreeMap<String, (String, u64)>>,
}

impl Shelf {
    pub fn start(
        world: &Arc<World>,
        uid: &str,
        zone: &'static str,
        model: &'static str,
        weight: u32,
        classes: &[ClassModel],
    ) -> Arc<Shelf> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a shelf");
        let shelf = Arc::new(Shelf {
            uid: uid.to_string(),
            address: listener.local_addr().expect("address"),
            zone,
            model,
            weight,
            world: world.clone(),
            classes: classes.to_vec(),
            copies: Mutex::default(),
        });
        let shared = shelf.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shelf = shared.clone();
                std::thread::spawn(move || {
                    let _ended = shelf.serve(stream);
                });
            }
        });
        shelf
    }

    fn serve(self: &Arc<Shelf>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let given_up: Arc<Mutex<HashSet<String>>> = Arc::default();
        let closed = Arc::new(AtomicBool::new(false));
        let mut reader = BufReader::new(stream);
        while let Ok(Some(words)) = read_array(&mut reader) {
            let text =
                |index: usize| String::from_utf8_lossy(words.get(index).map_or(&[], |w| w)).into_owned();
            match text(0).as_str() {
                "ASK" => {
                    let (id, fields) = (text(1), text(2));
                    log!("{}: ASK {id} {fields} ({} bytes)", self.uid, words.get(3).map_or(0, Vec::len));
                    let (shelf, writer) = (self.clone(), writer.clone());
                    let (given_up, closed) = (given_up.clone(), closed.clone());
                    std::thread::spawn(move || {
                        let answer = shelf.work(&id, &fields, || {
                            closed.load(Ordering::Relaxed) || given_up.lock().expect("given up").contains(&id)
                        });
                        if let Some(answer) = answer {
                            let _sent = writer.lock().expect("writer").write_all(&answer);
                        }
                    });
                }
                "QUIT" => {
                    log!("{}: QUIT {}", self.uid, text(1));
                    given_up.lock().expect("given up").insert(text(1));
                }
                "NOOP" | "INFO" => {
                    let answer = encode(&[text(1).as_bytes(), b"well"]);
                    writer.lock().expect("writer").write_all(&answer)?;
                }
                _ => break,
            }
        }
        closed.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Does the work of an attempt and returns the answer; `None` if it was given up.
    fn work(&self, id: &str, fields: &str, is_given_up: impl Fn() -> bool) -> Option<Vec<u8>> {
        let profile = field(fields, "profile").unwrap_or_default();
        let Some(class) = self.classes.iter().find(|class| class.name == profile) else {
            return Some(encode(&[id.as_bytes(), b"failed"]));
        };
        let source = field(fields, "parent");
        let part = format!("{}/{}", field(fields, "thing")?, field(fields, "nth")?);
        if class.write {
            std::thread::sleep(class.service);
            if is_given_up() {
                return None;
            }
            let word: &[u8] = if source.is_some() || self.model == "origin" { b"data" } else { b"absent" };
            return Some(encode(&[id.as_bytes(), word, b"-", b"filed"]));
        }
        let accept = field(fields, "accept").and_then(|text| text.parse::<u64>().ok()).filter(|age| *age > 0);
        let fresh = Some(class.fresh.as_millis() as u64).filter(|fresh| *fresh > 0);
        let oldest = accept.or(fresh).map_or(0, |age| unix_millis().saturating_sub(age));
        let held = self.copies.lock().expect("copies").get(&part).cloned();
        let (tag, dated) = match held.filter(|(_, dated)| *dated >= oldest) {
            Some(copy) => copy,
            None if source.is_none() && self.model != "origin" => {
                return Some(encode(&[id.as_bytes(), b"absent"]));
            }
            None => {
                // The fill: the source has no copy that will do and fetches one from the origin.
                std::thread::sleep(Duration::from_millis(30));
                if is_given_up() {
                    return None;
                }
                let copy = self.world.new_copy();
                if field(fields, "shelf").is_some() {
                    self.copies.lock().expect("copies").insert(part.clone(), copy.clone());
                }
                copy
            }
        };
        std::thread::sleep(class.service);
        if is_given_up() {
            return None;
        }
        let fields = format!("digest={tag},dated={dated}");
        log!("{}: {id} data {fields}", self.uid);
        Some(encode(&[id.as_bytes(), b"data", fields.as_bytes(), &body_of(&part, class.bytes)]))
    }
}

/// The bytes of a part, which differ from part to part.
pub fn body_of(part: &str, length: usize) -> Vec<u8> {
    part.bytes().cycle().take(length).collect()
}

// ---------------------------------------------------------------------------------------------
// Clients.

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole answer: its word, its fields and the length of its body.
    Answered { word: String, fields: String, bytes: usize, after: Duration },
    /// The connection ended without a whole answer, this long after the request was written.
    ConnectionEnded { after: Duration },
    /// More than one answer.
    Twice,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub rid: String,
    pub class: String,
    pub budget: Duration,
    pub written: Instant,
    pub others_open: usize,
    pub end: Option<End>,
}

/// One connection of a client.
pub struct Connection {
    /// `None` once it is closed.
    stream: Option<TcpStream>,
    sent: Arc<Mutex<BTreeMap<u64, Sent>>>,
    ended: Arc<AtomicBool>,
    pub name: String,
}

static NEXT_RID: AtomicU64 = AtomicU64::new(1);

pub fn new_rid() -> String {
    format!("{:016x}", NEXT_RID.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

impl Connection {
    pub fn open(address: SocketAddr, name: &str) -> io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let sent: Arc<Mutex<BTreeMap<u64, Sent>>> = Arc::default();
        let ended = Arc::new(AtomicBool::new(false));
        let (reader, shared, flag) = (stream.try_clone()?, sent.clone(), ended.clone());
        let label = name.to_string();
        std::thread::spawn(move || read_answers(reader, &shared, &flag, &label));
        Ok(Connection { stream: Some(stream), sent, ended, name: name.to_string() })
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    pub fn open_count(&self) -> usize {
        self.sent.lock().expect("sent").values().filter(|sent| sent.end.is_none()).count()
    }

    pub fn ping(&mut self, tag: u64) -> io::Result<()> {
        self.write(&encode(&[b"PING", tag.to_string().as_bytes(), b""]))
    }

    /// Sends a request. An error means that its last byte could not be written.
    pub fn request(&mut self, tag: u64, rid: &str, request: &Request) -> io::Result<()> {
        let fields = format!(
            "rid={rid},budget={},obj={:016x},piece={},lot={}",
            request.budget.as_millis(),
            request.object,
            request.piece,
            request.lot
        );
        let bytes = encode(&[
            b"DO",
            tag.to_string().as_bytes(),
            request.class.as_bytes(),
            fields.as_bytes(),
            &vec![b'x'; request.body],
        ]);
        {
            let mut sent = self.sent.lock().expect("sent");
            let others_open = sent.values().filter(|sent| sent.end.is_none()).count();
            let new = Sent {
                rid: rid.to_string(),
                class: request.class.to_string(),
                budget: request.budget,
                written: Instant::now(),
                others_open,
                end: None,
            };
            sent.insert(tag, new);
        }
        log!("{}: DO {tag} {} {fields}", self.name, request.class);
        let written = self.write(&bytes);
        if written.is_err() || self.has_ended() && self.is_open(tag) {
            // The connection had ended before the last byte was written: not taken.
            self.sent.lock().expect("sent").remove(&tag);
            log!("{}: DO {tag} could not be written", self.name);
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(())
    }

    pub fn is_open(&self, tag: u64) -> bool {
        self.sent.lock().expect("sent").get(&tag).is_some_and(|sent| sent.end.is_none())
    }

    pub fn all(&self) -> Vec<(u64, Sent)> {
        self.sent.lock().expect("sent").iter().map(|(tag, sent)| (*tag, sent.clone())).collect()
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.as_mut().ok_or(io::ErrorKind::NotConnected)?.write_all(bytes)
    }

    pub fn close(&mut self) {
        if let Some(stream) = self.stream.take() {
            let _shutdown = stream.shutdown(Shutdown::Both);
        }
    }
}

/// What a client asks for.
#[derive(Clone, Copy)]
pub struct Request {
    pub class: &'static str,
    pub object: u64,
    pub piece: u32,
    pub lot: u32,
    pub budget: Duration,
    pub body: usize,
}

fn read_answers(stream: TcpStream, sent: &Mutex<BTreeMap<u64, Sent>>, ended: &AtomicBool, name: &str) {
    let mut reader = BufReader::new(stream);
    let why = loop {
        let words = match read_array(&mut reader) {
            Ok(Some(words)) => words,
            Ok(None) => break "closed by the router".to_string(),
            Err(error) => break error.to_string(),
        };
        let text = |index: usize| String::from_utf8_lossy(words.get(index).map_or(&[], |w| w)).into_owned();
        let (word, fields) = (text(1), text(2));
        if word == "fit" || word == "unfit" {
            continue;
        }
        let bytes = words.get(3).map_or(0, Vec::len);
        log!("{name}: answer {} {word} {fields} ({bytes} bytes)", text(0));
        let mut sent = sent.lock().expect("sent");
        let Some(entry) = text(0).parse().ok().and_then(|tag: u64| sent.get_mut(&tag)) else { continue };
        let after = entry.written.elapsed();
        entry.end = match entry.end {
            None => Some(End::Answered { word, fields, bytes, after }),
            Some(_) => Some(End::Twice),
        };
    };
    ended.store(true, Ordering::Relaxed);
    let mut sent = sent.lock().expect("sent");
    let open: Vec<u64> = sent.iter().filter(|(_, sent)| sent.end.is_none()).map(|(tag, _)| *tag).collect();
    log!("{name}: connection ended ({why}), open requests: {open:?}");
    for entry in sent.values_mut().filter(|sent| sent.end.is_none()) {
        entry.end = Some(End::ConnectionEnded { after: entry.written.elapsed() });
    }
}

/// The result of a case.
pub struct Verdict {
    pub broken: Vec<String>,
    pub checked: usize,
}

/// Writes the verdict to the record and returns the exit code.
pub fn conclude(verdict: &Verdict) -> i32 {
    for line in verdict.broken.iter().take(50) {
        log!("BROKEN: {line}");
    }
    log!("verdict: {} checked, {} broke the rule", verdict.checked, verdict.broken.len());
    println!("{} checked, {} broke the rule", verdict.checked, verdict.broken.len());
    i32::from(!verdict.broken.is_empty())
}
