//! Shelfs that a test plays by hand, and one whose machine does not take connections until it is told to.

use super::standins::{array, line, read_array, LONG};
use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// A request at a shelf, with the connection to answer it on.
pub struct Held {
    /// Which shelf it came to.
    pub shelf: usize,
    pub rid: String,
    pub fields: String,
    out: TcpStream,
}

impl Held {
    /// An answer of that word under the request's id.
    pub fn say(&self, word: &str, body: &[u8]) {
        (&self.out).write_all(&array(&[self.rid.as_bytes(), word.as_bytes(), b"digest=d1", body])).unwrap();
    }

    /// An answer with no bytes, and these fields.
    pub fn tell(&self, word: &str, fields: &str) {
        (&self.out)
            .write_all(&array(&[self.rid.as_bytes(), word.as_bytes(), fields.as_bytes(), b""]))
            .unwrap();
    }

    /// The shelf closes the connection.
    pub fn close(&self) {
        self.out.shutdown(std::net::Shutdown::Both).unwrap();
    }
}

/// Shelfs that answer nothing by themselves.
pub struct Puppets {
    pub addrs: Vec<SocketAddr>,
    asks: Receiver<Held>,
}

impl Puppets {
    pub fn start(count: usize) -> Puppets {
        let (tx, asks) = channel();
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let addrs = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        for (shelf, listener) in listeners.into_iter().enumerate() {
            hand(shelf, listener, tx.clone());
        }
        Puppets { addrs, asks }
    }

    /// Two boxes and the origin, as lines of the list.
    pub fn lines(&self) -> Vec<String> {
        let kinds = [("s-a", "std"), ("s-b", "std"), ("s-o", "origin")];
        kinds.iter().zip(&self.addrs).map(|((uid, kind), addr)| line(uid, *addr, kind, "ready")).collect()
    }

    /// Has every request answered from now on, each in a thread of its own.
    pub fn serve(self, answer: impl Fn(Held) + Clone + Send + 'static) {
        thread::spawn(move || {
            for held in self.asks {
                let answer = answer.clone();
                thread::spawn(move || answer(held));
            }
        });
    }

    /// The next request at any of them.
    pub fn next(&self) -> Held {
        self.asks.recv_timeout(LONG).expect("a request at a shelf")
    }

    /// The next request, if one comes soon.
    pub fn soon(&self) -> Option<Held> {
        self.asks.recv_timeout(std::time::Duration::from_millis(300)).ok()
    }

    /// Those that have come and were not taken, once there has been time for more.
    pub fn rest(&self) -> Vec<Held> {
        thread::sleep(std::time::Duration::from_millis(300));
        self.asks.try_iter().collect()
    }
}

fn hand(shelf: usize, listener: TcpListener, asks: Sender<Held>) {
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let asks = asks.clone();
            thread::spawn(move || {
                let mut input = BufReader::new(socket.try_clone().unwrap());
                while let Some(words) = read_array(&mut input) {
                    if words[0] == b"ASK" {
                        let text = |i: usize| String::from_utf8(words[i].clone()).unwrap();
                        let out = socket.try_clone().unwrap();
                        let _unread = asks.send(Held { shelf, rid: text(1), fields: text(2), out });
                    }
                }
            });
        }
    });
}

/// A shelf whose machine answers no attempt to connect until it is opened: its queue is full.
pub struct Shut {
    pub addr: SocketAddr,
    listener: TcpListener,
    _filling: Vec<TcpStream>,
}

impl Shut {
    pub fn start() -> Shut {
        let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&fd, 0).unwrap();
        let listener = TcpListener::from(fd);
        let addr = listener.local_addr().unwrap();
        let long = std::time::Duration::from_millis(200);
        let filling: Vec<TcpStream> =
            std::iter::from_fn(|| TcpStream::connect_timeout(&addr, long).ok()).take(8).collect();
        assert!(TcpStream::connect_timeout(&addr, long).is_err(), "its queue is not full");
        Shut { addr, listener, _filling: filling }
    }

    /// Takes whoever connects from now on; what is asked is told as requests at shelf 0.
    pub fn open(self) -> (Receiver<Held>, Vec<TcpStream>) {
        let (tx, asks) = channel();
        rustix::net::listen(&self.listener, 128).unwrap();
        hand(0, self.listener, tx);
        (asks, self._filling)
    }
}
