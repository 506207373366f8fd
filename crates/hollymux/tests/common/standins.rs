//! Stand-ins on loopback: shelfs, the control feed, and a client of the platform's protocol.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing here takes nearly this long; a test that waits for it has failed.
pub const LONG: Duration = Duration::from_secs(20);

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
    Raw(Vec<u8>),
    /// Answers as words; ID stands for the request's id.
    Say(&'static [&'static str]),
    Nothing,
    Close,
}

#[derive(Clone, Debug)]
pub struct Asked {
    pub at: Instant,
    /// The connection it came on, counted from 0.
    pub conn: usize,
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
        Shelf::at("127.0.0.1:0", does)
    }

    pub fn at(addr: &str, does: Does) -> Shelf {
        let listener = TcpListener::bind(addr).unwrap();
        let addr = listener.local_addr().unwrap();
        let does = Arc::new(Mutex::new(does));
        let (asked, quits) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let shelf = Shelf { addr, does: does.clone(), asked: asked.clone(), quits: quits.clone() };
        thread::spawn(move || {
            for (conn, socket) in listener.incoming().flatten().enumerate() {
                let (does, asked, quits) = (does.clone(), asked.clone(), quits.clone());
                thread::spawn(move || serve(conn, socket, &does, &asked, &quits));
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

fn serve(
    conn: usize,
    socket: TcpStream,
    does: &Mutex<Does>,
    asked: &Mutex<Vec<Asked>>,
    quits: &Mutex<Vec<String>>,
) {
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
        asked.lock().unwrap().push(Asked { at, conn, rid, fields, body });
        let answer = match does.lock().unwrap().clone() {
            Does::Data(body) => array(&[&words[1], b"data", b"digest=d1,dated=1", &body]),
            Does::Word(word) => array(&[&words[1], word.as_bytes(), b"digest=d1", b""]),
            Does::Raw(bytes) => bytes,
            Does::Say(answers) => {
                let words = |a: &&str| a.replace("ID", &text(1)).split(' ').map(str::to_string).collect();
                let all = answers
                    .iter()
                    .map(words)
                    .map(|w: Vec<String>| array(&w.iter().map(String::as_bytes).collect::<Vec<_>>()));
                all.collect::<Vec<_>>().concat()
            }
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
    called: Vec<Instant>,
    /// Open watches and new ones say nothing.
    silent: bool,
    cut: u32,
    /// The call of that number says nothing and stays open, or breaks off within an event.
    mute: Option<usize>,
    broken: Option<usize>,
}

#[derive(Clone)]
pub struct Feed {
    pub addr: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Feed {
    pub fn start() -> Feed {
        Feed::at("127.0.0.1:0")
    }

    pub fn at(addr: &str) -> Feed {
        let listener = TcpListener::bind(addr).unwrap();
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
        let (cut, call, mute, broken) = {
            let mut told = told.lock().unwrap();
            told.calls.push(at);
            told.called.push(Instant::now());
            (told.cut, told.calls.len(), told.mute, told.broken)
        };
        // Every other call is answered in chunks, as HTTP/1.1 allows.
        let chunked = told.lock().unwrap().calls.len().is_multiple_of(2);
        let piece = |text: &str| match chunked {
            true => format!("{:x}\r\n{text}\r\n", text.len()),
            false => text.to_string(),
        };
        let how = if chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
        socket.write_all(format!("HTTP/1.1 200 OK\r\n{how}\r\n").as_bytes()).ok()?;
        socket.write_all(piece(": hello\n\n").as_bytes()).ok()?;
        let mut said = Instant::now();
        while mute == Some(call) {
            thread::sleep(Duration::from_millis(20));
        }
        loop {
            let (new, now) = {
                let told = told.lock().unwrap();
                (told.events.get(at as usize..).unwrap_or_default().to_vec(), told.cut)
            };
            if now != cut {
                return None;
            }
            if told.lock().unwrap().silent {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            for event in new {
                at += 1;
                // In two pieces, as a network may deliver it.
                let text = piece(&format!("id: {at}\ndata: {event}\n\n"));
                let (a, b) = text.split_at(text.len() / 2);
                socket.write_all(a.as_bytes()).ok()?;
                socket.flush().ok()?;
                if broken == Some(call) {
                    return None;
                }
                socket.write_all(b.as_bytes()).ok()?;
                // Told twice: the number shows that it is known.
                socket.write_all(text.as_bytes()).ok()?;
            }
            if said.elapsed() > Duration::from_secs(1) {
                said = Instant::now();
                socket.write_all(piece(": still here\n\n").as_bytes()).ok()?;
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

    /// From a call on that comes later, one that says nothing and one that breaks off within an event.
    pub fn fail(&self, mute: usize, broken: usize) {
        let mut told = self.told.lock().unwrap();
        (told.mute, told.broken) = (Some(mute), Some(broken));
    }

    /// Ends all connections.
    pub fn cut(&self) {
        self.told.lock().unwrap().cut += 1;
    }

    /// Has all watches fall silent, or speak again.
    pub fn silence(&self, on: bool) {
        self.told.lock().unwrap().silent = on;
    }

    /// When the feed was called.
    pub fn called(&self) -> Vec<Instant> {
        self.told.lock().unwrap().called.clone()
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
    started(uid, addr, model, state, 0)
}

/// The line of one that has started late, at that Unix millisecond.
pub fn started(uid: &str, addr: SocketAddr, model: &str, state: &str, boot_ms: u128) -> String {
    let az = if model == "parent" { "hub" } else { "here" };
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{addr}\",\"az\":\"{az}\",\"model\":\"{model}\",\"pod_group\":1,\
         \"state\":\"{state}\",\"capacity_hint\":4,\"boot_ms\":{boot_ms}}}"
    )
}

/// The lines of two boxes and the origin.
pub fn listed(shelfs: &[Shelf; 3]) -> Vec<String> {
    let [a, b, origin] = shelfs;
    vec![
        line("s-a", a.addr, "std", "ready"),
        line("s-b", b.addr, "std", "ready"),
        line("s-o", origin.addr, "origin", "ready"),
    ]
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

    /// One whose machine takes in little that it has not read.
    pub fn small(addr: SocketAddr) -> Client {
        let client = Client::connect(addr);
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.out, 131_072).unwrap();
        client
    }

    /// Whether the other side has closed it and nothing is left to read.
    pub fn closed(&mut self) -> bool {
        self.out.set_nonblocking(true).unwrap();
        let end = self.input.buffer().is_empty() && matches!(self.out.peek(&mut [0]), Ok(0));
        self.out.set_nonblocking(false).unwrap();
        end
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.out.write_all(bytes).unwrap();
    }

    /// Sends as much as the other side takes.
    pub fn try_send(&mut self, bytes: &[u8]) {
        let _part = self.out.write_all(bytes);
    }

    pub fn ask(&mut self, tag: u32, class: &str, rid: u64, more: &str) {
        let fields = format!("rid={rid:016x},budget=1500,piece=0,lot=17{more}");
        let tag = tag.to_string();
        self.send(&array(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), b"a body"]));
    }

    /// A request, if the connection still takes it.
    pub fn try_ask(&mut self, tag: u32, class: &str, rid: u64) -> bool {
        let fields = format!("rid={rid:016x},budget=1500,piece=0,lot=17,obj=0000000000000007");
        let words: [&[u8]; 5] =
            [b"DO", &tag.to_string().into_bytes(), class.as_bytes(), fields.as_bytes(), b""];
        self.out.write_all(&array(&words)).is_ok()
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
