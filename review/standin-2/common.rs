//! Stand-ins for the cases of the second review: a control feed, shelfs, clients and the platform, with
//! what was sent, answered and run written to `record.txt`. Standard library only, loopback only.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The processes that the case has started.
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static STARTED_MS: OnceLock<f64> = OnceLock::new();

/// The Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sets up the case: the record, whose path is the program's argument, a temporary folder, and a watchdog
/// that ends the case after 115 s.
pub fn begin() -> bool {
    let record = std::env::args().nth(1).and_then(|path| File::create(path).ok());
    if record.is_none() {
        eprintln!("the case could not run: its record can't be written");
        std::process::exit(2);
    }
    *RECORD.lock().unwrap() = record;
    STARTED_MS.get_or_init(unix_ms);
    let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms() as u64));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    FOLDER.get_or_init(|| folder);
    std::panic::set_hook(Box::new(|info| {
        note(&format!("the case could not run: {info}"));
        finish(2);
    }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        note("the case could not run: 115 s are over");
        finish(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note(&format!("trouble: {trouble}"));
    trouble
}

/// Sends a signal by the `kill` of the shell, which every system has.
fn send_signal(name: &str, pid: u32) -> bool {
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", &format!("kill -{name} {pid}")]).stderr(Stdio::null());
    shell.status().is_ok_and(|status| status.success())
}

/// Ends all processes that the case started and waits for their end, removes the temporary folder and exits.
pub fn finish(code: i32) -> ! {
    let children = CHILDREN.lock().map(|children| children.clone()).unwrap_or_default();
    for child in children {
        let mut child = child.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        // An error means that it has ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// Ends the case with the verdict.
pub fn verdict(broken: bool, why: &str) -> ! {
    let text = format!("verdict: {} - {why}", if broken { "rule broken" } else { "rule kept" });
    note(&text);
    println!("{text}");
    finish(if broken { 1 } else { 0 })
}

/// Writes a line to the record, with the milliseconds since the start of the case.
pub fn note(text: &str) {
    let at = unix_ms() - STARTED_MS.get().copied().unwrap_or_default();
    if let Ok(mut record) = RECORD.lock() {
        if let Some(file) = record.as_mut() {
            let _ = writeln!(file, "{at:9.1} {text}");
        }
    }
}

pub fn since_start(at_unix_ms: f64) -> f64 {
    at_unix_ms - STARTED_MS.get().copied().unwrap_or_default()
}

// ---------------------------------------------------------------- RESP

/// Takes a whole array of bulk strings from the front of `bytes`, or nothing.
fn take_array(bytes: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
    fn number(bytes: &[u8], at: &mut usize, mark: u8) -> Option<usize> {
        let end = bytes[*at..].windows(2).position(|pair| pair == b"\r\n")? + *at;
        assert_eq!(bytes[*at], mark, "a RESP array is malformed");
        let value = std::str::from_utf8(&bytes[*at + 1..end]).ok()?.parse().expect("a RESP length");
        *at = end + 2;
        Some(value)
    }
    let mut at = 0;
    if bytes.is_empty() {
        return None;
    }
    let count = number(bytes, &mut at, b'*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        if at >= bytes.len() {
            return None;
        }
        let length = number(bytes, &mut at, b'$')?;
        if bytes.len() < at + length + 2 {
            return None;
        }
        words.push(bytes[at..at + length].to_vec());
        at += length + 2;
    }
    bytes.drain(..at);
    Some(words)
}

pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).bytes());
        out.extend_from_slice(word);
        out.extend(b"\r\n");
    }
    out
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

pub fn field(fields: &str, name: &str) -> Option<String> {
    fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
}

// ---------------------------------------------------------------- control feed

/// The control feed: numbered events, and the Unix millisecond at which each counts as told.
#[derive(Clone)]
pub struct Feed {
    pub addr: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
    /// While set, open connections get neither events nor comments, and new ones no answer.
    pub silent: Arc<AtomicBool>,
    /// How long a call waits before its answer begins, in milliseconds.
    pub wait_ms: Arc<AtomicU32>,
}

impl Feed {
    pub fn start() -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the feed");
        let feed = Feed {
            addr: listener.local_addr().unwrap(),
            events: Arc::default(),
            silent: Arc::default(),
            wait_ms: Arc::default(),
        };
        let served = feed.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let feed = served.clone();
                thread::spawn(move || feed.serve(stream));
            }
        });
        feed
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut head = Vec::new();
        let mut piece = [0; 1024];
        while !head.windows(4).any(|four| four == b"\r\n\r\n") {
            let length = stream.read(&mut piece).ok().filter(|length| *length > 0)?;
            head.extend_from_slice(&piece[..length]);
        }
        let head = text(&head);
        let after = head.lines().find_map(|line| line.strip_prefix("Last-Event-ID: "));
        let mut after: u64 = after.and_then(|number| number.trim().parse().ok()).unwrap_or(0);
        note(&format!("feed: watch opened after {after}"));
        let _ = stream.set_nodelay(true);
        sleep_ms(u64::from(self.wait_ms.load(Ordering::SeqCst)));
        let mut started = false;
        let mut commented = Instant::now();
        loop {
            if self.silent.load(Ordering::SeqCst) {
                sleep_ms(5);
                continue;
            }
            if !started {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
                    .ok()?;
                started = true;
            }
            let new: Vec<(u64, String)> =
                self.events.lock().unwrap().iter().filter(|(n, _)| *n > after).cloned().collect();
            for (n, data) in new {
                stream.write_all(format!("id: {n}\ndata: {data}\n\n").as_bytes()).ok()?;
                after = n;
            }
            if commented.elapsed() > Duration::from_millis(1000) {
                commented = Instant::now();
                stream.write_all(b": still here\n\n").ok()?;
            }
            sleep_ms(2);
        }
    }

    /// Adds an event, whose text is what follows the number. Returns when it was told.
    pub fn tell(&self, event: &str) -> f64 {
        let mut events = self.events.lock().unwrap();
        let n = events.last().map_or(0, |(n, _)| *n) + 1;
        events.push((n, format!("{{\"n\":{n},{event}}}")));
        let at = unix_ms();
        note(&format!("feed: told {n}: {event}"));
        at
    }

    /// The section `known` of a configuration.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        let list: Vec<&str> = events.iter().map(|(_, data)| data.as_str()).collect();
        format!("{{\"n\":{},\"events\":[{}]}}", events.last().map_or(0, |(n, _)| *n), list.join(","))
    }
}

/// One entry of the list of shelfs.
pub fn entry(shelf: &Shelf, state: &str) -> String {
    format!(
        "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":1,\"state\":\"{state}\",\
         \"capacity_hint\":{},\"boot_ms\":{}}}",
        shelf.uid, shelf.addr, shelf.zone, shelf.model, shelf.weight, shelf.boot_ms
    )
}

pub fn members(revision: u64, all: bool, entries: &[String]) -> String {
    format!("\"members\":{{\"rev\":{revision},\"all\":{all},\"targets\":[{}]}}", entries.join(","))
}

// ---------------------------------------------------------------- shelfs

/// A request that has reached a shelf whole.
#[derive(Clone, Debug)]
pub struct Ask {
    pub uid: String,
    /// Unix milliseconds of the first and the last byte.
    pub first: f64,
    pub whole: f64,
    pub rid: String,
    pub fields: String,
    pub body_bytes: usize,
}

impl Ask {
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.fields, name)
    }
}

/// What a shelf does with a request: after `delay_ms` it answers with `word` and, for `data`, so many
/// bytes. `None` is no answer.
pub struct Answer {
    pub delay_ms: u64,
    pub word: Option<&'static str>,
    pub bytes: usize,
    /// The origin's time of the copy.
    pub dated: f64,
}

impl Answer {
    pub fn data(delay_ms: u64, bytes: usize) -> Answer {
        Answer { delay_ms, word: Some("data"), bytes, dated: unix_ms() }
    }
}

type Behaviour = Arc<dyn Fn(&Ask) -> Answer + Send + Sync>;

#[derive(Clone)]
pub struct Shelf {
    pub uid: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub model: String,
    pub weight: f64,
    pub boot_ms: u64,
}

/// All requests that reached any shelf, in the order of arrival.
pub type Asks = Arc<Mutex<Vec<Ask>>>;

impl Shelf {
    pub fn start(
        uid: &str,
        zone: &str,
        model: &str,
        weight: f64,
        asks: &Asks,
        behaviour: impl Fn(&Ask) -> Answer + Send + Sync + 'static,
    ) -> Shelf {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a shelf");
        let shelf = Shelf {
            uid: uid.into(),
            addr: listener.local_addr().unwrap(),
            zone: zone.into(),
            model: model.into(),
            weight,
            boot_ms: 0,
        };
        let behaviour: Behaviour = Arc::new(behaviour);
        let (uid, asks) = (uid.to_string(), asks.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (uid, asks, behaviour) = (uid.clone(), asks.clone(), behaviour.clone());
                thread::spawn(move || serve_shelf(&uid, stream, &asks, &behaviour));
            }
        });
        shelf
    }
}

fn serve_shelf(uid: &str, mut stream: TcpStream, asks: &Asks, behaviour: &Behaviour) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a second handle")));
    let given_up: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut bytes = Vec::new();
    let mut piece = vec![0; 65536];
    let mut first = 0.0;
    loop {
        let Some(length) = stream.read(&mut piece).ok().filter(|length| *length > 0) else { return };
        if bytes.is_empty() {
            first = unix_ms();
        }
        bytes.extend_from_slice(&piece[..length]);
        while let Some(words) = take_array(&mut bytes) {
            let id = words.get(1).map(|id| text(id)).unwrap_or_default();
            match words[0].as_slice() {
                b"ASK" => {
                    let ask = Ask {
                        uid: uid.into(),
                        first,
                        whole: unix_ms(),
                        rid: id.clone(),
                        fields: text(&words[2]),
                        body_bytes: words.get(3).map_or(0, Vec::len),
                    };
                    note(&format!("{uid}: ASK {id} {}", ask.fields));
                    asks.lock().unwrap().push(ask.clone());
                    let answer = behaviour(&ask);
                    let (writer, given_up, uid) = (writer.clone(), given_up.clone(), uid.to_string());
                    thread::spawn(move || send_answer(&uid, &id, &answer, &writer, &given_up));
                }
                b"QUIT" => given_up.lock().unwrap().push(id),
                b"NOOP" | b"INFO" => {
                    let _ = writer.lock().unwrap().write_all(&array(&[id.as_bytes(), b"well"]));
                }
                other => panic!("a shelf got {:?}", text(other)),
            }
            first = unix_ms();
        }
    }
}

fn send_answer(
    uid: &str,
    id: &str,
    answer: &Answer,
    writer: &Mutex<TcpStream>,
    given_up: &Mutex<Vec<String>>,
) {
    sleep_ms(answer.delay_ms);
    let Some(word) = answer.word else { return };
    if given_up.lock().unwrap().iter().any(|other| other == id) {
        return;
    }
    let fields = format!("digest=4be0c1927d55a6f3,dated={}", answer.dated as u64);
    let body = vec![b'b'; answer.bytes];
    let bytes = match word {
        "data" => array(&[id.as_bytes(), b"data", fields.as_bytes(), &body]),
        _ => array(&[id.as_bytes(), word.as_bytes()]),
    };
    let sent = writer.lock().unwrap().write_all(&bytes);
    note(&format!(
        "{uid}: {id} {word} {} bytes{}",
        answer.bytes,
        if sent.is_ok() { "" } else { ", broken off" }
    ));
}

/// A small site: four edge caches in the office, a parent at each hub, the origin. Edge caches and parents
/// answer after `cache_ms` with so many bytes, the origin after `origin_ms`.
pub fn small_site(asks: &Asks, cache_ms: u64, bytes: usize, origin_ms: u64) -> Vec<Shelf> {
    let cache = move |_: &Ask| Answer::data(cache_ms, bytes);
    let mut shelfs: Vec<Shelf> = (1..=4)
        .map(|n| Shelf::start(&format!("s-{n}"), "office", "standard-box", 40.0, asks, cache))
        .collect();
    shelfs.push(Shelf::start("p-1", "north-hub", "parent", 80.0, asks, cache));
    shelfs.push(Shelf::start("p-2", "south-hub", "parent", 80.0, asks, cache));
    let origin = move |_: &Ask| Answer::data(origin_ms, 2_000);
    shelfs.push(Shelf::start("o-1", "north-hub", "origin", 100.0, asks, origin));
    shelfs
}

/// The whole list, every shelf ready.
pub fn whole_list(shelfs: &[Shelf]) -> String {
    let entries: Vec<String> = shelfs.iter().map(|shelf| entry(shelf, "ready")).collect();
    members(1, true, &entries)
}

// ---------------------------------------------------------------- clients

/// What a client got for one tag.
#[derive(Clone, Debug)]
pub struct Reply {
    pub word: String,
    pub fields: String,
    pub bytes: usize,
    pub at: f64,
}

/// A client's connection to a request router.
pub struct Client {
    stream: TcpStream,
    pub replies: Arc<Mutex<HashMap<u64, Vec<Reply>>>>,
    /// Set when the connection has ended.
    pub ended: Arc<Mutex<Option<f64>>>,
    /// Set when the connection has ended in the middle of an answer.
    pub cut_off: Arc<AtomicBool>,
    next_tag: u64,
}

static NEXT_RID: AtomicU32 = AtomicU32::new(1);

pub fn new_rid() -> String {
    let number = NEXT_RID.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{:08x}", std::process::id(), number)
}

/// Reads that keep coming until they are stopped: each of `connections` clients sends one every
/// `interval_ms`, training videos and documents in turn, with up to 30 open.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    pub fn start(listen: SocketAddr, connections: u64, interval_ms: u64) -> Load {
        let stop: Arc<AtomicBool> = Arc::default();
        let threads = (0..connections)
            .map(|number| {
                let stop = stop.clone();
                thread::spawn(move || send_load(listen, number, interval_ms, &stop))
            })
            .collect();
        Load { stop, threads }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn send_load(listen: SocketAddr, number: u64, interval_ms: u64, stop: &AtomicBool) {
    let mut client = None;
    let mut tags = Vec::new();
    for turn in 0u64.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        if client.as_ref().is_none_or(|client: &Client| client.ended.lock().unwrap().is_some()) {
            client = Client::connect(listen);
            tags.clear();
        }
        if let Some(client) = &mut client {
            tags.retain(|tag| client.replies_to(*tag).is_empty());
            let (class, budget) = if turn % 2 == 0 { ("training-video", 5000) } else { ("docs-pages", 2500) };
            if tags.len() < 30 {
                tags.push(client.request(class, budget, (number * 1000 + turn * 7919) % 300, 3, b"").0);
            }
        }
        sleep_ms(interval_ms);
    }
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Option<Client> {
        Client::connect_slow(addr, None)
    }

    /// Connects; with `bytes_per_s`, at most so many are read a second.
    pub fn connect_slow(addr: SocketAddr, bytes_per_s: Option<f64>) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
        let _ = stream.set_nodelay(true);
        let client = Client {
            stream: stream.try_clone().ok()?,
            replies: Arc::default(),
            ended: Arc::default(),
            cut_off: Arc::default(),
            next_tag: 1,
        };
        let (replies, ended, cut_off) =
            (client.replies.clone(), client.ended.clone(), client.cut_off.clone());
        thread::spawn(move || read_replies(stream, bytes_per_s, &replies, &ended, &cut_off));
        Some(client)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn ping(&mut self) -> u64 {
        let tag = self.take_tag();
        self.send(&array(&[b"PING", tag.to_string().as_bytes(), b""]));
        tag
    }

    fn take_tag(&mut self) -> u64 {
        self.next_tag += 1;
        self.next_tag - 1
    }

    /// Sends a request and returns its tag and id.
    pub fn request(
        &mut self,
        class: &str,
        budget: u64,
        object: u64,
        lot: u32,
        body: &[u8],
    ) -> (u64, String, bool) {
        let (tag, rid) = (self.take_tag(), new_rid());
        let fields = format!("rid={rid},budget={budget},obj={object:016x},piece=0,lot={lot}");
        let bytes = array(&[b"DO", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body]);
        let sent = self.send(&bytes);
        note(&format!("client: DO {tag} {class} {fields}{}", if sent { "" } else { ", not sent" }));
        (tag, rid, sent)
    }

    pub fn replies_to(&self, tag: u64) -> Vec<Reply> {
        self.replies.lock().unwrap().get(&tag).cloned().unwrap_or_default()
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn read_replies(
    mut stream: TcpStream,
    bytes_per_s: Option<f64>,
    replies: &Mutex<HashMap<u64, Vec<Reply>>>,
    ended: &Mutex<Option<f64>>,
    cut_off: &AtomicBool,
) {
    let mut bytes = Vec::new();
    let mut piece = vec![0; 16384];
    loop {
        let length = match stream.read(&mut piece) {
            Ok(0) => break note("client: the connection has ended"),
            Ok(length) => length,
            Err(error) => break note(&format!("client: the connection has ended: {error}")),
        };
        bytes.extend_from_slice(&piece[..length]);
        while let Some(words) = take_array(&mut bytes) {
            let word = |index: usize| words.get(index).map(|word| text(word)).unwrap_or_default();
            let tag: u64 = word(0).parse().expect("a tag in an answer");
            let reply = Reply {
                word: word(1),
                fields: word(2),
                bytes: words.get(3).map_or(0, Vec::len),
                at: unix_ms(),
            };
            note(&format!("client: {tag} {} {} {} bytes", reply.word, reply.fields, reply.bytes));
            replies.lock().unwrap().entry(tag).or_default().push(reply);
        }
        if let Some(rate) = bytes_per_s {
            thread::sleep(Duration::from_secs_f64(length as f64 / rate));
        }
    }
    cut_off.store(!bytes.is_empty(), Ordering::SeqCst);
    *ended.lock().unwrap() = Some(unix_ms());
}

// ---------------------------------------------------------------- the platform

/// A request router, started by the line `run` of the deploy file.
pub struct Router {
    child: Arc<Mutex<Child>>,
    pid: u32,
    pub listen: SocketAddr,
    pub config_path: PathBuf,
}

/// A free address whose port lies below the range from which systems take the ports of connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..1000 {
        let number = std::process::id().wrapping_mul(37) + NEXT.fetch_add(1, Ordering::SeqCst) * 101;
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (number % 18_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port")
}

/// What of a configuration differs between cases.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub listen: SocketAddr,
    pub operator: Option<SocketAddr>,
    pub memory_mb: u64,
    pub sockets: u64,
    pub classes: String,
    pub family: String,
    pub limits: String,
    pub rules: String,
    pub group_size: u32,
}

impl Settings {
    /// The site of the example: three classes, one office with edge caches, two hubs.
    pub fn new() -> Settings {
        Settings {
            name: "n1".into(),
            listen: free_address(),
            operator: None,
            memory_mb: 192,
            sockets: 1024,
            group_size: 1,
            classes: r#"[
 {"name":"training-video","effect":"retryable","dedupScope":"all","keyTtl":5000000,"onTime":600000,"aimStretch":1.6,"hardLimit":5000000,"lateShare":0.15,"worth":2.0,"stream":false},
 {"name":"docs-pages","effect":"retryable","dedupScope":"all","keyTtl":5000000,"onTime":250000,"aimStretch":2.0,"hardLimit":2500000,"lateShare":0.2,"worth":1.0,"stream":false},
 {"name":"cert-filing","effect":"fragile","dedupScope":"all","keyTtl":5000000,"onTime":800000,"hardLimit":3000000,"lateShare":0.0,"worth":3.0,"stream":false}]"#
                .into(),
            family: r#"{"bypassAllowed":true,"classParts":[true,false,false],"classWrite":[false,false,true],"clearedWithin":6000000,"countByZone":[0,0,1],"flowKbPerS":2800.0,"maxAge":[0,8000000,0],"neighbours":"any","originFall":3000000,"originFallMultiple":2.5,"parentFallMultiple":2.0,"parentFloor":0.07,"purgeSlack":300000,"sharesFills":false,"shieldKind":1,"staleEarns":[0.7,0.5,0.7],"storeKind":2,"tells":"none","upperCold":18000000,"usableAfter":[0,30000000,0],"zoneHub":[0,1,0]}"#
                .into(),
            limits: r#"{"cancel":true,"dialTimeout":400000,"idleClose":30000000,"maxRetryAfter":1000000,"probes":true,"retryAfter":true,"secondCopies":false,"sendCap":6,"streamsPerConn":32}"#
                .into(),
            rules: r#"{"coldFrom":0.18,"drainGrace":500000,"graceToAnswer":8000,"overloadFactor":2.5,"tipAfter":1500000,"warmAfter":17000000}"#
                .into(),
        }
    }

    pub fn json(&self, feed: SocketAddr, known: &str) -> String {
        let operator = self.operator.map_or(String::new(), |at| format!("\"operator\":\"{at}\","));
        format!(
            r#"{{"name":"{}","listen":"{}",{operator}"seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"feed":"{feed}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{known},
"settings":{{"az":2,"groupSize":{},"tick":2000,"discovery":"push","weightSource":"nominal",
"failureDomains":["north-hub","south-hub","office"],"models":["standard-box","parent","origin"],
"classes":{},"familyInfo":{},"limits":{},"report":{{"fields":["active","cpu","x1","x0"],"how":"probe"}},"rules":{}}}}}"#,
            self.name,
            self.listen,
            unix_ms() as u64,
            self.memory_mb,
            self.sockets,
            self.group_size,
            self.classes,
            self.family,
            self.limits,
            self.rules
        )
    }
}

/// A path in the temporary folder of the case.
pub fn temporary(name: &str) -> PathBuf {
    FOLDER.get().expect("begin() was called").join(name)
}

/// The line `run` of the deploy file; the case is started in the repository's root.
fn run_line() -> String {
    let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("the line `run`");
    line.rsplit_once('"').expect("the end of the line `run`").0.to_string()
}

impl Router {
    /// Starts a router; `private` names its TMPDIR in the temporary folder. `arguments` of
    /// [`Router::start_with`] follow the line `run`.
    pub fn start(settings: &Settings, feed: SocketAddr, known: &str, private: &str) -> Router {
        let config_path = temporary(&format!("{}.json", settings.name));
        std::fs::write(&config_path, settings.json(feed, known)).expect("a configuration");
        Router::start_with(settings, &config_path, private, "")
    }

    pub fn start_with(settings: &Settings, config: &PathBuf, private: &str, arguments: &str) -> Router {
        let folder = temporary(private);
        std::fs::create_dir_all(&folder).expect("a private folder");
        let log =
            File::options().create(true).append(true).open(temporary(&format!("{private}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &format!("{}{arguments}", run_line())])
            .env("NODE_CONFIG", config)
            .env("TMPDIR", &folder);
        command.env("NODE_NAME", &settings.name).env("NODE_LISTEN", settings.listen.to_string());
        if let Some(address) = settings.operator {
            command.env("NODE_OPERATOR", address.to_string());
        }
        let log_2 = log.try_clone().unwrap();
        let child =
            command.stdin(Stdio::null()).stdout(log).stderr(log_2).spawn().expect("the router starts");
        let pid = child.id();
        note(&format!("router {} started as process {pid}", settings.name));
        let child = Arc::new(Mutex::new(child));
        CHILDREN.lock().unwrap().push(child.clone());
        Router { child, pid, listen: settings.listen, config_path: config.clone() }
    }

    pub fn signal(&self, name: &str) {
        assert!(send_signal(name, self.pid), "the signal {name} was sent");
        note(&format!("router process {}: SIG{name}", self.pid));
    }

    /// Waits until a PING is answered `fit`.
    pub fn wait_ready(&self) {
        wait_fit(self.listen);
        note("router: ready");
    }
}

/// Calls an operator's address; the status line of the answer, empty if there is none within a second.
pub fn call_operator(address: SocketAddr, method: &str, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return String::new();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let call = format!("{method} {path} HTTP/1.1\r\nHost: operator\r\nContent-Length: 0\r\n\r\n");
    let mut answer = String::new();
    if stream.write_all(call.as_bytes()).is_ok() {
        let _ = stream.read_to_string(&mut answer);
    }
    answer.lines().next().unwrap_or_default().to_string()
}

/// Waits until a process answers `GET /status` with yes. Returns false if it does not for `most_ms`.
pub fn wait_yes(operator: SocketAddr, most_ms: f64) -> bool {
    let started = unix_ms();
    while unix_ms() - started < most_ms {
        if call_operator(operator, "GET", "/status").starts_with("HTTP/1.1 2") {
            note("the new process says yes");
            return true;
        }
        sleep_ms(20);
    }
    note("the new process has not said yes");
    false
}

impl Router {
    /// Whether the process ends within `most_ms`.
    pub fn ends_within(&mut self, most_ms: f64) -> bool {
        let started = unix_ms();
        while unix_ms() - started < most_ms {
            if let Ok(Some(status)) = self.child.lock().unwrap().try_wait() {
                note(&format!("router process {} has ended: {status}", self.pid));
                return true;
            }
            sleep_ms(5);
        }
        false
    }
}

pub fn wait_fit(listen: SocketAddr) {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if let Some(mut client) = Client::connect(listen) {
            let tag = client.ping();
            sleep_ms(50);
            let fit = client.replies_to(tag).iter().any(|reply| reply.word == "fit");
            client.close();
            if fit {
                return;
            }
        }
        sleep_ms(20);
    }
    panic!("the router was not ready within 20 s");
}

/// Copies the log of a router to the record.
pub fn note_log(private: &str) {
    for line in std::fs::read_to_string(temporary(&format!("{private}.log"))).unwrap_or_default().lines() {
        note(&format!("log of {private}: {line}"));
    }
}
