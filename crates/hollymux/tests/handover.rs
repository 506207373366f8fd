//! One process takes over from another while clients go on.

mod common;

use common::reserved_address::ReservedAddress;
use common::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

struct Setup {
    feed: StubFeed,
    endpoints: [StubEndpoint; 3],
    /// Clients' address, the same for all processes.
    addr: SocketAddr,
    _reserved: ReservedAddress,
    /// Where the handover socket is.
    dir: PathBuf,
}

impl Setup {
    fn new(does: StubBehavior) -> Setup {
        let feed = StubFeed::start();
        let endpoints = [does.clone(), does.clone(), does].map(StubEndpoint::start);
        feed.publish_endpoints(true, &endpoint_lines(&endpoints));
        let reserved = ReservedAddress::new();
        let dir = temp_file("nothing", "").parent().unwrap().to_path_buf();
        Setup { feed, endpoints, addr: reserved.addr, _reserved: reserved, dir }
    }

    /// A process for that address, once it is ready.
    fn start(&self) -> RouterProcess {
        self.start_with(&self.feed)
    }

    fn start_with(&self, feed: &StubFeed) -> RouterProcess {
        let listen = format!("\"listen\":\"{}\"", self.addr);
        let config = config(feed.addr).replace("\"listen\":\"127.0.0.1:0\"", &listen);
        let start = Instant::now();
        let node = RouterProcess::with_handover_dir(&with_admin_endpoint(&config), &self.dir);
        wait_until("a yes", || ready(&node).then_some(()));
        assert!(start.elapsed() < Duration::from_secs(6), "ready after {:?}", start.elapsed());
        node
    }

    fn meeting(&self) -> PathBuf {
        self.dir.join(format!("hollymux-{}-{}.sock", self.addr.ip(), self.addr.port()))
    }

    fn served(&self) {
        let mut client = Client::connect(self.addr);
        assert!(client.get(1, "docs", fresh(), 7).contains("good"));
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _gone = std::fs::remove_dir_all(&self.dir);
    }
}

fn fresh() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1 << 32);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn ready(node: &RouterProcess) -> bool {
    admin_call(admin_address(node), "GET /status").0 == 200
}

/// What a client did.
#[derive(Clone, Copy, Default)]
struct Load {
    sent: u64,
    served: u64,
    /// Rejected, and sent once more after a wait.
    refused: u64,
    /// Met the end of its connection, and sent again on another one.
    again: u64,
}

/// A client that sends the next request as soon as the last is answered, from connection to
/// connection.
fn load(addr: SocketAddr, over: &AtomicBool) -> Load {
    let mut sum = Load::default();
    let mut client = Client::connect(addr);
    let mut tag = 0;
    while !over.load(Ordering::Relaxed) {
        let rid = fresh();
        sum.sent += 1;
        for _ in 0..3 {
            tag += 1;
            let answer =
                if client.try_send_request(tag, "docs", rid) { client.answer() } else { "end".into() };
            if answer.starts_with(&format!("{tag} good")) {
                sum.served += 1;
                break;
            }
            if answer.starts_with(&format!("{tag} refused backoff=")) {
                sum.refused += 1;
                thread::sleep(Duration::from_millis(100));
                if client.is_closed() {
                    client = Client::connect(addr);
                }
            } else {
                assert_eq!(answer, "end");
                sum.again += 1;
                client = Client::connect(addr);
            }
        }
    }
    sum
}

/// So many of them at once.
struct Loads {
    over: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<Load>>,
}

impl Loads {
    fn start(addr: SocketAddr, clients: usize) -> Loads {
        let over = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let over = over.clone();
            thread::spawn(move || load(addr, &over))
        };
        Loads { clients: (0..clients).map(client).collect(), over }
    }

    fn end(self) -> Vec<Load> {
        self.over.store(true, Ordering::Relaxed);
        self.clients.into_iter().map(|c| c.join().unwrap()).collect()
    }
}

/// Guards against a handover that loses, rejects or repeats anything, twice in a row, and against
/// an old process that stays.
#[test]
fn no_request_is_lost_over_two_handovers() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let mut old = setup.start();
    let loads = Loads::start(setup.addr, 6);
    let mut started = Vec::new();
    for _ in 0..2 {
        thread::sleep(Duration::from_millis(150));
        let new = setup.start();
        assert!(!ready(&old), "whom another one replaced takes nobody new");
        old.signal("-TERM");
        let (status, log) = old.wait_for_exit();
        assert!(status.success(), "{log:?}");
        assert!(log.iter().any(|l| l.contains("invariants broken: 0")), "{log:?}");
        new.wait_for_log("predecessor process has ended");
        started.push(std::mem::replace(&mut old, new));
    }
    for sum in loads.end() {
        assert_eq!(sum.sent, sum.served, "each is served");
        // One rejection by each process makes the pause in which its connection is closed.
        assert!(sum.refused <= 2 && sum.again <= 4, "{} refused, {} sent again", sum.refused, sum.again);
    }
    let mut rids: Vec<String> =
        setup.endpoints.iter().flat_map(StubEndpoint::received).map(|a| a.rid).collect();
    let all = rids.len();
    rids.sort();
    rids.dedup();
    assert!(all - rids.len() <= 24, "{} of {all} ran again", all - rids.len());
    setup.served();
}

/// How many handovers the measurement makes; each takes some 3 s.
const REPLACEMENTS: u32 = 100;

/// A measurement, not a check of its own: how many requests a handover costs. `--ignored
/// --nocapture` runs it.
#[test]
#[ignore = "takes minutes; prints figures"]
fn many_replacements() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let mut old = setup.start();
    let loads = Loads::start(setup.addr, 12);
    for _ in 0..REPLACEMENTS {
        let new = setup.start();
        old.signal("-TERM");
        assert!(old.wait_for_exit().0.success());
        old = new;
    }
    let each = loads.end();
    let sum = |of: fn(&Load) -> u64| each.iter().map(of).sum::<u64>();
    let (sent, served) = (sum(|l| l.sent), sum(|l| l.served));
    let (refused, again) = (sum(|l| l.refused), sum(|l| l.again));
    println!(
        "{REPLACEMENTS} replacements, 12 clients: {sent} asked, {served} served, {refused} refused, {again} sent again"
    );
    assert_eq!(sent, served, "each is served");
}

/// Guards against a non-idempotent request that runs again at the process that takes over, whether
/// it came before or during that.
#[test]
fn no_non_idempotent_request_runs_twice_over_a_handover() {
    let setup = Setup::new(StubBehavior::NoAnswer);
    let old = setup.start();
    let mut client = Client::connect(setup.addr);
    client.send_request(1, "cert-filing", 0xf1, ",obj=0000000000000009");
    let runs = |rid: &str| -> usize {
        setup.endpoints.iter().map(|s| s.received().iter().filter(|a| a.rid.ends_with(rid)).count()).sum()
    };
    wait_until("the first", || (runs("00f1") == 1).then_some(()));
    let _new = setup.start();
    // The old one's connection is still open: the successor is told what it accepts now.
    client.send_request(2, "cert-filing", 0xf2, ",obj=0000000000000009");
    wait_until("the second", || (runs("00f2") == 1).then_some(()));
    let mut other = Client::connect(setup.addr);
    assert_eq!(other.get(1, "cert-filing", 0xf1, 9), "1 broken");
    assert_eq!(other.get(2, "cert-filing", 0xf2, 9), "2 broken");
    assert_eq!((runs("00f1"), runs("00f2")), (1, 1));
    drop(old);
}

/// Guards against a drain that the new process does not know, as its feed is silent.
#[test]
fn a_drain_is_handed_over_though_the_feed_is_silent() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let _old = setup.start();
    setup.feed.publish_endpoints(false, &[endpoint_line("s-a", setup.endpoints[0].addr, "std", "draining")]);
    thread::sleep(Duration::from_millis(300));
    setup.feed.break_connections(setup.feed.resumed_after().len() + 1, usize::MAX);
    let before = setup.endpoints[0].count();
    let new = setup.start();
    all_go_elsewhere(&setup, before);
    drop(new);
}

/// Guards against a drain that is undone by a feed that is behind.
#[test]
fn a_drain_holds_against_a_feed_that_is_behind() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let _old = setup.start();
    setup.feed.publish_endpoints(false, &[endpoint_line("s-a", setup.endpoints[0].addr, "std", "draining")]);
    thread::sleep(Duration::from_millis(300));
    let behind = StubFeed::start();
    behind.publish_endpoints(true, &endpoint_lines(&setup.endpoints));
    let before = setup.endpoints[0].count();
    let _new = setup.start_with(&behind);
    all_go_elsewhere(&setup, before);
}

fn all_go_elsewhere(setup: &Setup, before: usize) {
    let mut client = Client::connect(setup.addr);
    for tag in 1..40 {
        assert!(client.get(tag, "docs", fresh(), tag.into()).contains("good"));
    }
    assert_eq!(setup.endpoints[0].count(), before);
    assert!(setup.endpoints[1].count() >= 39);
}

/// Guards against an old process that stops serving because the new one dies on the way, at
/// whichever step.
#[test]
fn a_successor_that_dies_leaves_the_predecessor_serving() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let old = setup.start();
    let hello = {
        let listen = setup.addr.to_string();
        let head = [b'h', b'm', b'x', 1, 1, 0, 0, 0, listen.len() as u8 + 1, listen.len() as u8];
        [&head[..], listen.as_bytes()].concat()
    };
    let take = [b'h', b'm', b'x', 1, 3, 0, 0, 0, 0];
    let steps: [&[&[u8]]; 5] = [&[], &[&hello[..6]], &[&hello], &[&hello, &take], &[b"anything else at all"]];
    for (i, said) in steps.iter().enumerate() {
        let mut dying = wait_until("a meeting", || UnixStream::connect(setup.meeting()).ok());
        dying.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        for words in *said {
            dying.write_all(words).unwrap();
            let mut bytes = [0; 4096];
            let _answer = dying.read(&mut bytes);
        }
        assert_eq!(ready(&old), i != 3, "step {i}");
        drop(dying);
        wait_until("the old one's return", || ready(&old).then_some(()));
        setup.served();
    }
    // And a real one can still take over, also when the old one is on standby.
    assert_eq!(admin_call(admin_address(&old), "PUT /standby").0, 200);
    let _new = setup.start();
    setup.served();
}

/// Guards against requests that fall between two processes, when the old one is told to end before
/// the new one has taken over: that one still waits for its feed.
#[test]
fn sigterm_during_a_handover_loses_no_client() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let mut old = setup.start();
    setup.feed.break_connections(setup.feed.resumed_after().len() + 1, usize::MAX);
    let config = config(setup.feed.addr)
        .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{}\"", setup.addr));
    let new = RouterProcess::with_handover_dir(&with_admin_endpoint(&config), &setup.dir);
    old.wait_for_log("handing over to a successor process");
    old.signal("-TERM");
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(2_500) {
        setup.served();
        thread::sleep(Duration::from_millis(10));
    }
    let (status, log) = old.wait_for_exit();
    assert!(status.success() && log.last().unwrap().ends_with("invariants broken: 0"), "{log:?}");
    wait_until("the new one's yes", || ready(&new).then_some(()));
}

/// Guards against a start that waits for what is not there: a stale socket, one that hangs, one
/// that sends invalid bytes.
#[test]
fn a_process_starts_without_an_answer_of_the_old_one() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    drop(UnixListener::bind(setup.meeting()).unwrap());
    assert!(setup.meeting().exists());
    drop(setup.start());
    for answer in [None, Some(&b"anything else at all"[..]), Some(&b"hmx\x01\x06\0\0\0\0"[..])] {
        let _gone = std::fs::remove_file(setup.meeting());
        let hangs = UnixListener::bind(setup.meeting()).unwrap();
        let (done, stop) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        hangs.set_nonblocking(true).unwrap();
        let (d, s) = (done.clone(), stop.clone());
        let thread = thread::spawn(move || {
            let mut held = Vec::new();
            while !s.load(Ordering::Relaxed) {
                if let Ok((mut socket, _)) = hangs.accept() {
                    answer.into_iter().for_each(|a| socket.write_all(a).unwrap());
                    held.push(socket);
                    d.store(true, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        let node = setup.start();
        assert!(done.load(Ordering::Relaxed), "it was called");
        setup.served();
        stop.store(true, Ordering::Relaxed);
        thread.join().unwrap();
        drop(node);
    }
}

/// Guards against requests that a replaced process accepts and is killed before it answers: its
/// clients don't know that it ends, and go on as long as their connection does.
#[test]
fn a_replaced_process_ends_in_time_though_its_clients_never_pause() {
    let setup = Setup::new(StubBehavior::NoAnswer);
    let mut old = setup.start();
    let mut busy = Client::connect(setup.addr);
    // Each takes 1.5 s to fail: there are always some open.
    assert!(busy.try_send_request(1, "docs", fresh()));
    let _new = setup.start();
    old.signal("-TERM");
    let (start, mut asked) = (Instant::now(), 1);
    while start.elapsed() < Duration::from_millis(3_000) {
        asked += 1;
        assert!(busy.try_send_request(asked, "docs", fresh()), "it is held while something is open");
        thread::sleep(Duration::from_millis(100));
    }
    let mut answers = std::collections::BTreeSet::new();
    loop {
        let answer = busy.answer();
        if answer == "end" {
            break;
        }
        assert!(answers.insert(answer.split(' ').next().unwrap().parse::<u32>().unwrap()), "{answer}: twice");
    }
    assert_eq!(answers.len() as u32, asked, "each is answered");
    drop(busy);
    let (status, log) = old.wait_for_exit();
    assert!(status.success(), "{log:?}");
    // The platform kills it 0.7 s after the longest deadline, which is 3 s here.
    assert!(start.elapsed() < Duration::from_millis(3_700), "ended after {:?}", start.elapsed());
}
