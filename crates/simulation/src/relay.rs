//! A relay for datagrams between routers on loopback. Each router advertises one of the relay's
//! addresses, and every directed link has the faults of a [`LinkFault`]. The relay recognizes the
//! sender of a datagram by its source address.

use crate::event_queue::EventQueue;
use crate::link_fault::{LinkFault, TrafficCounters};
use crate::Time;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const WAKER_TOKEN: Token = Token(usize::MAX);
/// Maximum number of delayed datagrams that the relay holds; further ones are dropped, as on a
/// network.
const MAX_DELAYED: usize = 100_000;
/// Longest wait for sockets, after which the relay checks whether it has been stopped even if it
/// was not woken.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Read buffer size, which is larger than any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Maximum number of events taken from one poll.
const MAX_EVENTS_PER_WAIT: usize = 64;

/// State shared by the relay's thread and its owner.
#[derive(Default)]
struct Shared {
    /// The address on which each router listens, by the router's index; absent until the router has
    /// started.
    destinations: BTreeMap<usize, SocketAddr>,
    /// The faults of directed links, by sender and receiver; other links have none.
    links: BTreeMap<(usize, usize), LinkFault>,
    sent: BTreeMap<usize, TrafficCounters>,
    /// The latest datagram on each directed link, by sender and receiver, for replays.
    latest: BTreeMap<(usize, usize), Vec<u8>>,
    stopped: bool,
}

/// A running relay, which stops when it is dropped.
pub struct Relay {
    /// The address that each router has to advertise, by the router's index.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay with one address per router, at free ports of the loopback interface.
    ///
    /// # Errors
    /// The operating system provides no further socket or thread.
    pub fn start(routers: usize, seed: u64) -> io::Result<Relay> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER_TOKEN)?;
        let mut sockets = Vec::new();
        for router in 0..routers {
            let mut socket = UdpSocket::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            poll.registry().register(&mut socket, Token(router), Interest::READABLE)?;
            sockets.push(socket);
        }
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let mut worker = RelayWorker {
            poll,
            sockets,
            shared: shared.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            started: Instant::now(),
            delayed: EventQueue::default(),
        };
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || worker.run())?;
        Ok(Relay { addresses, shared, waker, thread: Some(thread) })
    }

    fn with_shared<T>(&self, use_shared: impl FnOnce(&mut Shared) -> T) -> T {
        use_shared(&mut self.shared.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets the address on which a router listens. Datagrams for the router are dropped before
    /// that, and so are those that it sends.
    pub fn set_destination(&self, router: usize, address: SocketAddr) {
        self.with_shared(|shared| shared.destinations.insert(router, address));
    }

    /// Sets one fault on every link from one group of routers to another; the default fault clears
    /// them.
    pub fn set_link_fault(&self, from: &[usize], to: &[usize], fault: LinkFault) {
        self.with_shared(|shared| {
            for sender in from {
                let receivers = to.iter().filter(|receiver| *receiver != sender);
                shared.links.extend(receivers.map(|receiver| ((*sender, *receiver), fault)));
            }
        });
    }

    /// Cuts two groups of routers off from each other, in both directions.
    pub fn partition(&self, one: &[usize], other: &[usize]) {
        self.set_link_fault(one, other, LinkFault::CUT);
        self.set_link_fault(other, one, LinkFault::CUT);
    }

    /// Clears the faults of all links.
    pub fn heal(&self) {
        self.with_shared(|shared| shared.links.clear());
    }

    /// The datagrams that a router has sent so far, including those that the relay dropped.
    pub fn sent_by(&self, router: usize) -> TrafficCounters {
        self.with_shared(|shared| shared.sent.get(&router).copied().unwrap_or_default())
    }

    /// The latest datagram from one router to another, as it was sent; `None` if there was none.
    pub fn latest_datagram(&self, from: usize, to: usize) -> Option<Vec<u8>> {
        self.with_shared(|shared| shared.latest.get(&(from, to)).cloned())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.with_shared(|shared| shared.stopped = true);
        // If waking fails, the thread notices the flag within `MAX_WAIT`.
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A datagram that is held for a later delivery.
struct Delayed {
    to: usize,
    bytes: Vec<u8>,
}

/// The state of the relay's thread.
struct RelayWorker {
    poll: Poll,
    sockets: Vec<UdpSocket>,
    shared: Arc<Mutex<Shared>>,
    rng: Pcg64Mcg,
    started: Instant,
    delayed: EventQueue<Delayed>,
}

impl RelayWorker {
    /// Relays datagrams until the owner stops the relay or polling the sockets fails.
    fn run(&mut self) {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_WAIT);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let poll_result = self.poll.poll(&mut events, Some(self.wait()));
            if poll_result.is_err_and(|error| error.kind() != io::ErrorKind::Interrupted) {
                return;
            }
            if self.shared().stopped {
                return;
            }
            for event in events.iter().filter(|event| event.token() != WAKER_TOKEN) {
                self.read(event.token().0, &mut buffer);
            }
            while let Some((_, delayed)) = self.delayed.pop_due(self.now()) {
                self.forward(delayed.to, &delayed.bytes);
            }
        }
    }

    fn shared(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time since the relay started.
    fn now(&self) -> Time {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(Time::MAX)
    }

    /// The time to wait for sockets: until the next delayed datagram is due, but at most
    /// `MAX_WAIT`.
    fn wait(&self) -> Duration {
        let due = self.delayed.due().map(|due| Duration::from_micros(due.saturating_sub(self.now())));
        due.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    fn read(&mut self, to: usize, buffer: &mut [u8]) {
        while let Ok((length, from)) = self.sockets[to].recv_from(buffer) {
            self.relay(from, to, &buffer[..length]);
        }
    }

    /// Applies the faults of its link to a datagram for a router and delivers or delays it.
    fn relay(&mut self, from: SocketAddr, to: usize, bytes: &[u8]) {
        let Some(fault) = self.record_datagram(from, to, bytes) else { return };
        let mut bytes = bytes.to_vec();
        for _ in 0..fault.apply(&mut self.rng, &mut bytes) {
            let delay = fault.draw_delay(&mut self.rng);
            if delay == 0 {
                self.forward(to, &bytes);
            } else if self.delayed.len() < MAX_DELAYED {
                self.delayed.push(self.now() + delay, Delayed { to, bytes: bytes.clone() });
            }
        }
    }

    /// Counts a datagram and returns the fault of its link; `None` if its sender is no router.
    fn record_datagram(&self, from: SocketAddr, to: usize, bytes: &[u8]) -> Option<LinkFault> {
        let mut shared = self.shared();
        let sender = shared.destinations.iter().find(|(_, address)| **address == from)?;
        let sender = *sender.0;
        shared.sent.entry(sender).or_default().count(bytes.len());
        shared.latest.insert((sender, to), bytes.to_vec());
        Some(shared.links.get(&(sender, to)).copied().unwrap_or_default())
    }

    fn forward(&self, to: usize, bytes: &[u8]) {
        let destination = self.shared().destinations.get(&to).copied();
        if let Some(destination) = destination {
            // A datagram that can't be sent is lost, as on a network.
            let _ = self.sockets[to].send_to(bytes, destination);
        }
    }
}
