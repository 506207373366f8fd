//! A relay for routers' datagrams on loopback: each router advertises one of its addresses, and every directed link has
//! the faults of [`LinkFault`]. Which router sent a datagram is told by the address that it came from.

use crate::cluster::LinkFault;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const WAKE: Token = Token(usize::MAX);
/// Delayed datagrams that are held; more are lost, as on a network.
const HELD_MOST: usize = 100_000;

#[derive(Default)]
struct Shared {
    /// Where each router really listens, once that is known.
    behind: BTreeMap<usize, SocketAddr>,
    links: BTreeMap<(usize, usize), LinkFault>,
    /// Datagrams and bytes each router sent.
    sent: BTreeMap<usize, (u64, u64)>,
    /// What was sent last, for replays.
    last: BTreeMap<(usize, usize), Vec<u8>>,
    over: bool,
}

/// The relay; it ends when it is dropped.
pub struct Relay {
    /// What each router is to advertise.
    pub addrs: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// One address for each of so many routers, at ports of the system's choice.
    ///
    /// # Errors
    /// No socket is to be had.
    pub fn start(routers: usize, seed: u64) -> io::Result<Relay> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        let mut sockets = Vec::new();
        for i in 0..routers {
            let mut socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            poll.registry().register(&mut socket, Token(i), Interest::READABLE)?;
            sockets.push(socket);
        }
        let addrs = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let mut running = Running {
            poll,
            sockets,
            shared: shared.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            late: BinaryHeap::new(),
            count: 0,
        };
        let thread = std::thread::spawn(move || running.run());
        Ok(Relay { addrs, shared, waker, thread: Some(thread) })
    }

    fn shared<T>(&self, with: impl FnOnce(&mut Shared) -> T) -> T {
        with(&mut self.shared.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// That router listens there.
    pub fn behind(&self, router: usize, addr: SocketAddr) {
        self.shared(|s| s.behind.insert(router, addr));
    }

    /// One fault on every link from one group to another; the default mends them.
    pub fn fault(&self, from: &[usize], to: &[usize], link: LinkFault) {
        self.shared(|s| {
            for a in from {
                s.links.extend(to.iter().filter(|b| *b != a).map(|b| ((*a, *b), link)));
            }
        });
    }

    /// Cuts two groups off from each other, both ways.
    pub fn part(&self, a: &[usize], b: &[usize]) {
        let cut = LinkFault { cut: true, ..LinkFault::default() };
        self.fault(a, b, cut);
        self.fault(b, a, cut);
    }

    /// All links are sound again.
    pub fn heal(&self) {
        self.shared(|s| s.links.clear());
    }

    /// Datagrams and bytes that a router has sent so far.
    pub fn sent(&self, router: usize) -> (u64, u64) {
        self.shared(|s| s.sent.get(&router).copied().unwrap_or_default())
    }

    /// The last datagram from one router to another.
    pub fn last(&self, from: usize, to: usize) -> Option<Vec<u8>> {
        self.shared(|s| s.last.get(&(from, to)).cloned())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared(|s| s.over = true);
        // A thread that can't be woken looks by itself within its wait.
        let _woken = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ended = thread.join();
        }
    }
}

/// A datagram that is on its way until then, by number, and whom it is for.
type Late = (Instant, u64, usize, Vec<u8>);

struct Running {
    poll: Poll,
    sockets: Vec<UdpSocket>,
    shared: Arc<Mutex<Shared>>,
    rng: Pcg64Mcg,
    late: BinaryHeap<Reverse<Late>>,
    count: u64,
}

impl Running {
    fn run(&mut self) {
        let mut events = Events::with_capacity(64);
        let mut bytes = vec![0; 65_536];
        loop {
            let wait = self.late.peek().map(|Reverse(l)| l.0.saturating_duration_since(Instant::now()));
            let wait = wait.unwrap_or(Duration::from_millis(100)).min(Duration::from_millis(100));
            if self.poll.poll(&mut events, Some(wait)).is_err_and(|e| e.kind() != io::ErrorKind::Interrupted)
            {
                return;
            }
            if self.shared.lock().unwrap_or_else(PoisonError::into_inner).over {
                return;
            }
            let ready: Vec<usize> =
                events.iter().filter(|e| e.token() != WAKE).map(|e| e.token().0).collect();
            for to in ready {
                while let Ok((n, from)) = self.sockets[to].recv_from(&mut bytes) {
                    self.relay(from, to, &bytes[..n]);
                }
            }
            while self.late.peek().is_some_and(|Reverse(l)| l.0 <= Instant::now()) {
                if let Some(Reverse((_, _, to, bytes))) = self.late.pop() {
                    self.pass_on(to, &bytes);
                }
            }
        }
    }

    fn relay(&mut self, from: SocketAddr, to: usize, bytes: &[u8]) {
        let link = {
            let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(from) = shared.behind.iter().find(|(_, a)| **a == from).map(|(i, _)| *i) else { return };
            let sent = shared.sent.entry(from).or_default();
            *sent = (sent.0 + 1, sent.1 + bytes.len() as u64);
            shared.last.insert((from, to), bytes.to_vec());
            shared.links.get(&(from, to)).copied().unwrap_or_default()
        };
        if link.cut || self.rng.random::<f64>() < link.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < link.twice);
        let mut bytes = bytes.to_vec();
        if !bytes.is_empty() && self.rng.random::<f64>() < link.flipped {
            let bit = self.rng.random_range(0..bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        for _ in 0..copies {
            let late = link.delay.0 + self.rng.random_range(0..=link.delay.1);
            if late == 0 {
                self.pass_on(to, &bytes);
            } else if self.late.len() < HELD_MOST {
                self.count += 1;
                let at = Instant::now() + Duration::from_micros(late);
                self.late.push(Reverse((at, self.count, to, bytes.clone())));
            }
        }
    }

    fn pass_on(&self, to: usize, bytes: &[u8]) {
        let behind = self.shared.lock().unwrap_or_else(PoisonError::into_inner).behind.get(&to).copied();
        // What can't be sent is lost, as on a network.
        let _sent = behind.map(|at| self.sockets[to].send_to(bytes, at));
    }
}
