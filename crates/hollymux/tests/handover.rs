//! Handover from one router process to another while clients send requests.

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
    /// The address for clients, the same for all processes.
    addr: SocketAddr,
    _reserved: ReservedAddress,
    /// The directory of the handover socket.
    dir: PathBuf,
}

impl Setup {
    fn new(behavior: StubBehavior) -> Setup {
        let feed = StubFeed::start();
        let endpoints = [behavior.clone(), behavior.clone(), behavior].map(StubEndpoint::start);
        feed.publish_endpoints(true, &endpoint_lines(&endpoints));
        let reserved = ReservedAddress::new();
        let dir = temp_file("nothing", "").parent().unwrap().to_path_buf();
        Setup { feed, endpoints, addr: reserved.addr, _reserved: reserved, dir }
    }

    /// Starts a process at the common address and waits until it is ready.
    fn start(&self) -> RouterProcess {
        self.start_with(&self.feed)
    }

    fn start_with(&self, feed: &StubFeed) -> RouterProcess {
        self.start_with_config(&config(feed.addr))
    }

    fn start_with_config(&self, config: &str) -> RouterProcess {
        let listen = format!("\"listen\":\"{}\"", self.addr);
        let config = config.replace("\"listen\":\"127.0.0.1:0\"", &listen);
        let start = Instant::now();
        let router = RouterProcess::with_handover_dir(&with_admin_endpoint(&config), &self.dir);
        wait_until("the router to be ready", || is_ready(&router).then_some(()));
        assert!(start.elapsed() < Duration::from_secs(6), "ready after {:?}", start.elapsed());
        router
    }

    fn handover_socket(&self) -> PathBuf {
        self.dir.join(format!("hollymux-{}-{}.sock", self.addr.ip(), self.addr.port()))
    }

    fn assert_serves(&self) {
        let mut client = Client::connect(self.addr);
        assert!(client.get(1, "docs", next_request_id(), 7).contains("good"));
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _result = std::fs::remove_dir_all(&self.dir);
    }
}

fn next_request_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1 << 32);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn is_ready(router: &RouterProcess) -> bool {
    admin_call(admin_address(router), "GET /status").0 == 200
}

/// Counts of what happened to the requests of one client.
#[derive(Clone, Copy, Default)]
struct ClientCounts {
    sent: u64,
    served: u64,
    /// Responses that rejected a request, which was then sent again after a pause.
    rejected: u64,
    /// Attempts that met the end of the connection and were sent again on a new one.
    resent: u64,
}

/// Runs a client that sends a request as soon as the last one got a response, reconnecting when
/// necessary, until `stop` is set.
fn run_client(addr: SocketAddr, stop: &AtomicBool) -> ClientCounts {
    let mut counts = ClientCounts::default();
    let mut client = Client::connect(addr);
    let mut tag = 0;
    while !stop.load(Ordering::Relaxed) {
        let rid = next_request_id();
        counts.sent += 1;
        for _ in 0..3 {
            tag += 1;
            let response =
                if client.try_send_request(tag, "docs", rid) { client.read_response() } else { "end".into() };
            if response.starts_with(&format!("{tag} good")) {
                counts.served += 1;
                break;
            }
            if response.starts_with(&format!("{tag} refused backoff=")) {
                counts.rejected += 1;
                thread::sleep(Duration::from_millis(100));
                if client.is_closed() {
                    client = Client::connect(addr);
                }
            } else {
                assert_eq!(response, "end");
                counts.resent += 1;
                client = Client::connect(addr);
            }
        }
    }
    counts
}

/// Clients that run at the same time, each on its own thread.
struct ClientLoad {
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<ClientCounts>>,
}

impl ClientLoad {
    fn start(addr: SocketAddr, clients: usize) -> ClientLoad {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let stop = stop.clone();
            thread::spawn(move || run_client(addr, &stop))
        };
        ClientLoad { clients: (0..clients).map(client).collect(), stop }
    }

    fn end(self) -> Vec<ClientCounts> {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().map(|c| c.join().unwrap()).collect()
    }
}

/// Guards against handovers, twice in a row, that lose, fail or repeat requests, and against an old
/// process that does not exit.
#[test]
fn no_request_is_lost_over_two_handovers() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let mut old = setup.start();
    let loads = ClientLoad::start(setup.addr, 6);
    let mut started = Vec::new();
    for _ in 0..2 {
        thread::sleep(Duration::from_millis(150));
        let new = setup.start();
        assert!(!is_ready(&old), "a replaced process reports ready");
        old.signal("-TERM");
        let (status, log) = old.wait_for_exit();
        assert!(status.success(), "{log:?}");
        assert!(log.iter().any(|l| l.contains("invariants broken: 0")), "{log:?}");
        new.wait_for_log("predecessor process has ended");
        started.push(std::mem::replace(&mut old, new));
    }
    for counts in loads.end() {
        assert_eq!(counts.sent, counts.served, "not every request was served");
        // A process rejects at most one request of each client, to get a pause in which it can
        // close the connection.
        assert!(
            counts.rejected <= 2 && counts.resent <= 4,
            "{} requests rejected, {} sent again",
            counts.rejected,
            counts.resent
        );
    }
    let mut rids: Vec<String> =
        setup.endpoints.iter().flat_map(StubEndpoint::received).map(|a| a.rid).collect();
    let total = rids.len();
    rids.sort();
    rids.dedup();
    assert!(total - rids.len() <= 24, "{} of {total} attempts repeated a request", total - rids.len());
    setup.assert_serves();
}

/// Number of handovers in the measurement; each takes about 3 s.
const HANDOVERS: u32 = 100;

/// Measures how many requests a handover rejects or makes clients repeat. Run it with `--ignored
/// --nocapture`.
#[test]
#[ignore = "a measurement that takes minutes"]
fn measure_many_handovers() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let mut old = setup.start();
    let loads = ClientLoad::start(setup.addr, 12);
    for _ in 0..HANDOVERS {
        let new = setup.start();
        old.signal("-TERM");
        assert!(old.wait_for_exit().0.success());
        old = new;
    }
    let all_counts = loads.end();
    let total = |of: fn(&ClientCounts) -> u64| all_counts.iter().map(of).sum::<u64>();
    let (sent, served) = (total(|counts| counts.sent), total(|counts| counts.served));
    let (rejected, resent) = (total(|counts| counts.rejected), total(|counts| counts.resent));
    println!(
        "{HANDOVERS} handovers, 12 clients: {sent} sent, {served} served, {rejected} rejected, {resent} sent again"
    );
    assert_eq!(sent, served, "not every request was served");
}

/// Guards against executing a non-idempotent request again at the successor, whether it arrived
/// before or during the handover.
#[test]
fn no_non_idempotent_request_is_sent_twice_over_a_handover() {
    let setup = Setup::new(StubBehavior::NoResponse);
    let old = setup.start();
    let mut client = Client::connect(setup.addr);
    client.send_request(1, "cert-filing", 0xf1, ",obj=0000000000000009");
    let attempt_count = |rid: &str| -> usize {
        setup
            .endpoints
            .iter()
            .map(|thread_stop| thread_stop.received().iter().filter(|a| a.rid.ends_with(rid)).count())
            .sum()
    };
    wait_until("the attempt of the first request", || (attempt_count("00f1") == 1).then_some(()));
    let _new = setup.start();
    // The connection to the old process is still open. That process sends the successor the ids of
    // further non-idempotent requests.
    client.send_request(2, "cert-filing", 0xf2, ",obj=0000000000000009");
    wait_until("the attempt of the second request", || (attempt_count("00f2") == 1).then_some(()));
    let mut new_client = Client::connect(setup.addr);
    assert_eq!(new_client.get(1, "cert-filing", 0xf1, 9), "1 broken");
    assert_eq!(new_client.get(2, "cert-filing", 0xf2, 9), "2 broken");
    assert_eq!((attempt_count("00f1"), attempt_count("00f2")), (1, 1));
    drop(old);
}

/// Guards against an id that runs again at the process that is being replaced, where an earlier
/// connection of its client still ends, after it ran at the new process.
#[test]
fn no_non_idempotent_request_is_sent_twice_at_the_old_process() {
    let setup = Setup::new(StubBehavior::NoResponse);
    let old = setup.start();
    let mut old_client = Client::connect(setup.addr);
    old_client.send(&resp_array(&[b"PING", b"1"]));
    assert_eq!(old_client.read_response(), "1 fit");
    let _new = setup.start();
    let attempt_count = || -> usize {
        let received = |endpoint: &StubEndpoint| {
            endpoint.received().iter().filter(|attempt| attempt.rid.ends_with("00f3")).count()
        };
        setup.endpoints.iter().map(received).sum()
    };
    let mut new_client = Client::connect(setup.addr);
    new_client.send_request(1, "cert-filing", 0xf3, ",obj=0000000000000009");
    wait_until("the attempt of the new process", || (attempt_count() == 1).then_some(()));
    drop(new_client);
    assert_eq!(old_client.get(2, "cert-filing", 0xf3, 9), "2 broken");
    assert_eq!(attempt_count(), 1);
    // The old process stays the one that is replaced: the message does not end the handover.
    assert_eq!(admin_call(admin_address(&old), "GET /status").1, "replaced\n");
}

/// Guards against a successor that admits half as many clients as there may be while its predecessor
/// lives: the others waited unread.
#[test]
fn a_successor_admits_all_clients_that_its_predecessor_leaves_room_for() {
    const DESCRIPTORS: usize = 256;
    let setup = Setup::new(StubBehavior::NoResponse);
    let roomy = |line: String| line.replace("\"capacity_hint\":4", "\"capacity_hint\":400");
    let lines: Vec<String> = endpoint_lines(&setup.endpoints).into_iter().map(roomy).collect();
    setup.feed.publish_endpoints(true, &lines);
    let config = config(setup.feed.addr).replace("\"sockets\":1024", &format!("\"sockets\":{DESCRIPTORS}"));
    let old = setup.start_with_config(&config);
    let connect = || {
        let mut client = Client::connect(setup.addr);
        client.send_request(1, "docs", next_request_id(), ",obj=0000000000000009");
        client
    };
    let mut old_clients: Vec<Client> = (0..20).map(|_| connect()).collect();
    wait_until("the requests at the old process", || {
        let metrics = admin_call(admin_address(&old), "GET /status/metrics").1;
        metrics.contains("open_requests=20").then_some(())
    });
    let new = setup.start_with_config(&config);
    // A third of the descriptors is for clients. All of these have a request open and stay.
    let connected = Instant::now();
    let mut new_clients: Vec<Client> = (0..DESCRIPTORS / 3 - 20).map(|_| connect()).collect();
    for client in &mut new_clients {
        client.send(&resp_array(&[b"PING", b"2"]));
        assert_eq!(client.read_response(), "2 fit");
    }
    assert!(connected.elapsed() < Duration::from_secs(1), "read after {:?}", connected.elapsed());
    let used = old.descriptor_count() + new.descriptor_count();
    assert!(used <= DESCRIPTORS, "{used} descriptors in both processes");
    for client in old_clients.iter_mut().chain(&mut new_clients) {
        assert!(client.read_response().starts_with("1 "), "a request without a reply");
    }
}

/// Guards against a successor that doesn't know of a drain, because its feed is silent.
#[test]
fn a_drain_is_handed_over_while_the_feed_is_silent() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let _old = setup.start();
    setup.feed.publish_endpoints(false, &[endpoint_line("s-a", setup.endpoints[0].addr, "std", "draining")]);
    thread::sleep(Duration::from_millis(300));
    setup.feed.break_connections(setup.feed.resumed_after().len() + 1, usize::MAX);
    let before = setup.endpoints[0].count();
    let new = setup.start();
    assert_drained_edge_cache_gets_no_attempts(&setup, before);
    drop(new);
}

/// Guards against a feed with outdated events undoing a drain at the successor.
#[test]
fn an_outdated_feed_does_not_undo_a_drain() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let _old = setup.start();
    setup.feed.publish_endpoints(false, &[endpoint_line("s-a", setup.endpoints[0].addr, "std", "draining")]);
    thread::sleep(Duration::from_millis(300));
    let outdated_feed = StubFeed::start();
    outdated_feed.publish_endpoints(true, &endpoint_lines(&setup.endpoints));
    let before = setup.endpoints[0].count();
    let _new = setup.start_with(&outdated_feed);
    assert_drained_edge_cache_gets_no_attempts(&setup, before);
}

fn assert_drained_edge_cache_gets_no_attempts(setup: &Setup, before: usize) {
    let mut client = Client::connect(setup.addr);
    for tag in 1..40 {
        assert!(client.get(tag, "docs", next_request_id(), tag.into()).contains("good"));
    }
    assert_eq!(setup.endpoints[0].count(), before);
    assert!(setup.endpoints[1].count() >= 39);
}

/// Guards against a predecessor that stops serving because its successor dies, at any step of the
/// handover.
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
    for (step, messages) in steps.iter().enumerate() {
        let mut dying_successor = wait_until("a connection to the handover socket", || {
            UnixStream::connect(setup.handover_socket()).ok()
        });
        dying_successor.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        for message in *messages {
            dying_successor.write_all(message).unwrap();
            let mut bytes = [0; 4096];
            let _response = dying_successor.read(&mut bytes);
        }
        assert_eq!(is_ready(&old), step != 3, "step {step}");
        drop(dying_successor);
        wait_until("the old process to be ready again", || is_ready(&old).then_some(()));
        setup.assert_serves();
    }
    // Afterwards a handover still succeeds, also if the old process is on standby.
    assert_eq!(admin_call(admin_address(&old), "PUT /standby").0, 200);
    let _new = setup.start();
    setup.assert_serves();
}

/// Guards against losing requests when the old process gets SIGTERM before the new one has taken
/// over, while the new one still waits for its feed.
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
        setup.assert_serves();
        thread::sleep(Duration::from_millis(10));
    }
    let (status, log) = old.wait_for_exit();
    assert!(status.success() && log.last().unwrap().ends_with("invariants broken: 0"), "{log:?}");
    wait_until("the new process to be ready", || is_ready(&new).then_some(()));
}

/// Guards against a start that waits for a predecessor that doesn't respond: a stale socket file, a
/// socket that never answers, and one that sends invalid bytes.
#[test]
fn a_process_starts_without_a_response_of_its_predecessor() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    drop(UnixListener::bind(setup.handover_socket()).unwrap());
    assert!(setup.handover_socket().exists());
    drop(setup.start());
    for response in [None, Some(&b"anything else at all"[..]), Some(&b"hmx\x01\x06\0\0\0\0"[..])] {
        let _result = std::fs::remove_file(setup.handover_socket());
        let listener = UnixListener::bind(setup.handover_socket()).unwrap();
        let (called, stop) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        listener.set_nonblocking(true).unwrap();
        let (thread_called, thread_stop) = (called.clone(), stop.clone());
        let thread = thread::spawn(move || {
            let mut held = Vec::new();
            while !thread_stop.load(Ordering::Relaxed) {
                if let Ok((mut socket, _)) = listener.accept() {
                    response.into_iter().for_each(|a| socket.write_all(a).unwrap());
                    held.push(socket);
                    thread_called.store(true, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        let router = setup.start();
        assert!(called.load(Ordering::Relaxed), "the new process did not connect to the handover socket");
        setup.assert_serves();
        stop.store(true, Ordering::Relaxed);
        thread.join().unwrap();
        drop(router);
    }
}

/// Guards against requests that a replaced process accepts but doesn't finish before it is killed:
/// its clients don't know that it is ending, and keep sending while their connection is open.
#[test]
fn a_replaced_process_exits_in_time_while_its_clients_never_pause() {
    let setup = Setup::new(StubBehavior::NoResponse);
    let mut old = setup.start();
    let mut busy = Client::connect(setup.addr);
    // Each request takes 1.5 s to fail, so some are open at any time.
    assert!(busy.try_send_request(1, "docs", next_request_id()));
    let _new = setup.start();
    old.signal("-TERM");
    let (start, mut sent_count) = (Instant::now(), 1);
    while start.elapsed() < Duration::from_millis(3_000) {
        sent_count += 1;
        assert!(
            busy.try_send_request(sent_count, "docs", next_request_id()),
            "the connection was closed while a request was open"
        );
        thread::sleep(Duration::from_millis(100));
    }
    let mut tags = std::collections::BTreeSet::new();
    loop {
        let response = busy.read_response();
        if response == "end" {
            break;
        }
        assert!(
            tags.insert(response.split(' ').next().unwrap().parse::<u32>().unwrap()),
            "a request got two responses: {response}"
        );
    }
    assert_eq!(tags.len() as u32, sent_count, "not every request got a response");
    drop(busy);
    let (status, log) = old.wait_for_exit();
    assert!(status.success(), "{log:?}");
    // The platform kills the process 0.7 s after the longest deadline of a class, which is 3 s
    // here.
    assert!(start.elapsed() < Duration::from_millis(3_700), "ended after {:?}", start.elapsed());
}

/// Guards against a feed that is slow to tell a new process its history, and undoes what the old one
/// has handed over: a drain, and the removal of an endpoint. Over several replacements in a row, one
/// of them during the replay, and a new configuration.
#[test]
fn no_older_event_undoes_a_drain_or_a_removal_that_was_handed_over() {
    let setup = Setup::new(StubBehavior::Data(b"some bytes".to_vec()));
    let [draining, removed] = [0, 1].map(|_| StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec())));
    let publish = |name: &str, addr: SocketAddr, state: &str| {
        setup.feed.publish_endpoints(false, &[endpoint_line(name, addr, "std", state)]);
    };
    publish("s-gone", removed.addr, "ready");
    publish("s-late", draining.addr, "ready");
    let first = setup.start();
    publish("s-late", draining.addr, "draining");
    publish("s-gone", removed.addr, "gone");
    let entries = || admin_call(admin_address(&first), "GET /status/metrics").1;
    wait_until("the drain and the removal to be known", || {
        let metrics = entries();
        let is_known = |line: &str| metrics.lines().any(|other| other == line);
        (is_known("svc.registry_entries=4") && is_known("svc.out_of_rotation=1")).then_some(())
    });
    draining.take_received();
    removed.take_received();

    setup.feed.set_pace(Duration::from_millis(400));
    let serve = |requests: u32| {
        let mut client = Client::connect(setup.addr);
        for tag in 1..=requests {
            let reply = client.get(tag, "docs", next_request_id(), u64::from(tag));
            assert_eq!(reply, format!("{tag} good ver=d1 some bytes"));
            thread::sleep(Duration::from_millis(20));
        }
    };
    let second = setup.start();
    first.signal("-TERM");
    serve(30);
    second.signal("-HUP");
    let third = setup.start();
    second.signal("-TERM");
    serve(120);
    assert!(is_ready(&third));
    assert_eq!((draining.count(), removed.count()), (0, 0), "attempts at endpoints that get no work");
    assert!(setup.endpoints.iter().map(StubEndpoint::count).sum::<usize>() >= 150);
}

/// Guards against a replaced process that takes a connection for idle while its client still has
/// replies to read, and throws away what the client asks for meanwhile.
#[test]
fn a_replaced_process_ends_no_connection_whose_client_still_reads() {
    let setup = Setup::new(StubBehavior::Data(vec![b'x'; 238_000]));
    let old = setup.start();
    setup.assert_serves();
    let mut client = Client::with_small_receive_buffer(setup.addr);
    for tag in 1..=3 {
        client.send_request(tag, "docs", next_request_id(), &format!(",obj={tag:016x}"));
    }
    wait_until("all requests to be replied to", || {
        let metrics = admin_call(admin_address(&old), "GET /status/metrics").1;
        metrics.contains("open_requests=0").then_some(())
    });
    let _new = setup.start();
    old.signal("-TERM");
    thread::sleep(Duration::from_millis(300));
    client.send_request(4, "docs", next_request_id(), ",obj=0000000000000004");
    let mut responses: Vec<String> = (0..4).map(|_| client.read_response()).collect();
    responses.sort();
    for (response, tag) in responses.iter().zip(1..) {
        assert!(response.starts_with(&format!("{tag} good")), "{response:.60}");
    }
    assert_eq!(client.read_response(), "end");
}
