//! The admin endpoint, as operators use it: metrics, standby, new settings.

mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

struct Setup {
    feed: StubFeed,
    node: RouterProcess,
    door: SocketAddr,
    endpoints: [StubEndpoint; 3],
}

fn setup(does: StubBehavior) -> Setup {
    let feed = StubFeed::start();
    let endpoints = [does.clone(), does.clone(), does].map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let node = RouterProcess::with_config(&with_admin_endpoint(&config(feed.addr)));
    let door = admin_address(&node);
    wait_until("a yes", || (admin_call(door, "GET /status").0 == 200).then_some(()));
    wait_until("the list", || (figure(door, "registry_entries") == 3).then_some(()));
    Setup { feed, node, door, endpoints }
}

fn figure(door: SocketAddr, name: &str) -> u64 {
    let (status, text) = admin_call(door, "GET /status/metrics");
    assert_eq!(status, 200);
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("svc.{name}=")));
    line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

/// Guards against an admin endpoint that only the file can enable, and against a start that fails
/// without one.
#[test]
fn the_admin_address_may_be_given_by_the_environment() {
    let feed = StubFeed::start();
    let named = RouterProcess::with_environment(&config(feed.addr), "NODE_OPERATOR", "127.0.0.1:0");
    wait_until("a yes", || (admin_call(admin_address(&named), "GET /status").0 == 200).then_some(()));
    let none = RouterProcess::with_environment(&config(feed.addr), "NODE_OPERATOR", "");
    assert_eq!(none.admin, None);
    assert_eq!(admin_call(admin_address(&named), "GET /status").1, "ready\n");
}

/// Guards against metrics that differ from what clients and endpoints counted.
#[test]
fn the_metrics_are_what_peers_counted() {
    let setup = setup(StubBehavior::Data(b"some bytes".to_vec()));
    let mut client = Client::connect(setup.node.addr);
    for tag in 1..=7 {
        assert!(client.get(tag, "docs", tag.into(), 7).contains("good"));
    }
    // Fields that can't be used, of a class that is known and of one that is not.
    client.send_request(8, "docs", 8, ",obj=seven");
    assert_eq!(client.answer(), "8 broken");
    assert_eq!(client.get(9, "no-such-class", 9, 7), "9 broken");
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("absent")));
    assert!(client.get(10, "docs", 10, 7).contains("refused"));
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("failed")));
    assert_eq!(client.get(11, "cert-filing", 11, 7), "11 broken");
    let asked: usize = setup.endpoints.iter().map(StubEndpoint::count).sum();
    let figure = |name: &str| figure(setup.door, name);
    assert_eq!(figure("operations.docs.fulfilled"), 7);
    assert_eq!(figure("operations.docs.throttled"), 1);
    assert_eq!(figure("operations.docs.faulted"), 1);
    assert_eq!(figure("operations.cert-filing.fulfilled"), 0);
    assert_eq!(figure("operations.cert-filing.faulted"), 1);
    assert_eq!(figure("relayed"), asked as u64);
    assert_eq!(figure("open_requests"), 0);
    assert_eq!(figure("out_of_rotation"), 0);
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoAnswer));
    client.send_request(12, "docs", 12, ",obj=0000000000000007");
    wait_until("an open request", || (figure("open_requests") == 1).then_some(()));
    setup.feed.publish_endpoints(false, &[endpoint_line("s-a", setup.endpoints[0].addr, "std", "draining")]);
    wait_until("a box that is avoided", || (figure("out_of_rotation") == 1).then_some(()));
    assert_eq!(figure("registry_entries"), 3);
}

/// Guards against a slow reader whose connection is closed because of more answers than may be
/// buffered for it, and against metrics that differ from what it was answered.
#[test]
fn a_slow_reader_gets_every_answer_complete_or_rejected() {
    let feed = StubFeed::start();
    let big = StubBehavior::Data(vec![b'x'; 238_000]);
    let endpoints = [big.clone(), big.clone(), big].map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let node = RouterProcess::with_config(
        &with_admin_endpoint(&config(feed.addr)).replace("\"memory_mb\":192", "\"memory_mb\":24"),
    );
    let door = admin_address(&node);
    wait_until("the list", || (figure(door, "registry_entries") == 3).then_some(()));
    let mut client = Client::with_small_receive_buffer(node.addr);
    let (mut good, mut refused) = (0, 0);
    for round in 0..3 {
        (1..=32).for_each(|n| {
            assert!(client.try_send_request(round * 32 + n, "docs", u64::from(round * 32 + n)))
        });
        wait_until("all answers", || (figure(door, "open_requests") == 0).then_some(()));
        std::thread::sleep(Duration::from_millis(500));
        for _ in 0..32 {
            // At some megabytes a second.
            std::thread::sleep(Duration::from_millis(5));
            let answer = client.answer();
            if answer.contains("refused backoff=") {
                refused += 1;
            } else {
                assert!(answer.contains("good") && answer.len() > 238_000, "{:.60}", answer);
                good += 1;
            }
        }
    }
    assert!(good > 0 && refused > 0, "{good} and {refused}: nothing was too much");
    assert_eq!(figure(door, "operations.docs.fulfilled"), good);
    assert_eq!(figure(door, "operations.docs.throttled"), refused);
}

/// Guards against calls that are never complete, or a flood of clients, delaying a call.
#[test]
fn the_admin_endpoint_answers_under_load() {
    let setup = setup(StubBehavior::NoAnswer);
    let silent: Vec<TcpStream> = (0..40)
        .map(|i| {
            let mut socket = TcpStream::connect(setup.door).unwrap();
            socket.write_all(&b"GET /status HTT"[..i % 16]).unwrap();
            socket
        })
        .collect();
    let mut flood: Vec<Client> = (0..60).map(|_| Client::connect(setup.node.addr)).collect();
    for (i, client) in flood.iter_mut().enumerate() {
        (0..20).for_each(|n| {
            client.send_request(n + 1, "docs", (i as u64) << 8 | u64::from(n), ",obj=0000000000000007")
        });
    }
    for _ in 0..20 {
        assert_eq!(admin_call(setup.door, "GET /status").0, 200);
    }
    drop(silent);
    assert_eq!(admin_call(setup.door, "GET /nothing").0, 404);
    assert_eq!(admin_call(setup.door, "GET /standby").0, 405);
    assert_eq!(admin_call(setup.door, "GET /status").1, "ready\n");
}

/// Guards against a router that reports ready while it drains, keeps connections, or loses what it
/// has accepted; and against one that doesn't come back.
#[test]
fn standby_drains_all_connections_and_can_be_undone() {
    let setup = setup(StubBehavior::Data(b"some bytes".to_vec()));
    let mut idle = Client::connect(setup.node.addr);
    idle.send(&resp_array(&[b"PING", b"1", b""]));
    assert_eq!(idle.answer(), "1 fit");
    let mut waits = Client::connect(setup.node.addr);
    let mut steady = Client::connect(setup.node.addr);
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoAnswer));
    waits.send_request(1, "docs", 1, ",obj=0000000000000009");
    wait_until("the attempt", || setup.endpoints.iter().any(|s| s.count() > 0).then_some(()));
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Data(b"some bytes".to_vec())));
    assert_eq!(admin_call(setup.door, "PUT /standby"), (200, "standby\n".into()));
    let start = Instant::now();
    assert_eq!(admin_call(setup.door, "GET /status"), (503, "standby\n".into()));
    assert_eq!(admin_call(setup.door, "PUT /standby").0, 200, "in force already");
    idle.send(&resp_array(&[b"PING", b"2", b""]));
    assert_eq!(idle.answer(), "2 unfit");
    // A client that comes before the front has noticed is served.
    assert!(Client::connect(setup.node.addr).get(1, "docs", 100, 7).contains("good"));
    // One that always has a request open is closed all the same, with one answer to each request.
    let (mut asked, mut answered) = (0, 0);
    loop {
        if start.elapsed() < Duration::from_secs(5)
            && steady.try_send_request(asked + 1, "docs", 200 + u64::from(asked))
        {
            asked += 1;
        }
        match steady.answer().as_str() {
            "end" => break,
            answer => {
                answered += 1;
                assert!(answer.starts_with(&format!("{answered} ")), "{answer} is not the next");
            }
        }
    }
    assert!(answered > 0 && asked - answered <= 1, "{asked} asked, {answered} answered");
    assert!(start.elapsed() < Duration::from_secs(4), "held for {:?}", start.elapsed());
    assert_eq!(idle.answer(), "end");
    assert!(!waits.answer().contains("end"), "what was open is finished");
    assert_eq!(waits.answer(), "end");
    assert_eq!(admin_call(setup.door, "PUT /active"), (200, "ready\n".into()));
    assert_eq!(admin_call(setup.door, "GET /status").0, 200);
    let mut back = Client::connect(setup.node.addr);
    assert!(back.get(1, "docs", 300, 7).contains("good"));
    std::thread::sleep(Duration::from_millis(900));
    assert!(back.get(2, "docs", 301, 7).contains("good"), "nobody is let go any more");
}

/// Guards against a connection on which something is open at all times: it has no moment at which
/// it could be closed without a loss, and must have gone 4 s after the call all the same, each
/// request answered once.
#[test]
fn standby_closes_connections_that_never_pause() {
    let setup = setup(StubBehavior::NoAnswer);
    let mut busy = Client::connect(setup.node.addr);
    assert_eq!(admin_call(setup.door, "PUT /standby").0, 200);
    let (start, mut asked) = (Instant::now(), 0);
    // Each takes 1.5 s to fail: there are always some open.
    while start.elapsed() < Duration::from_millis(2_700) {
        asked += 1;
        assert!(
            busy.try_send_request(asked, "docs", 400 + u64::from(asked)),
            "it is held while something is open"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut answers = std::collections::BTreeSet::new();
    loop {
        let answer = busy.answer();
        if answer == "end" {
            break;
        }
        let (tag, word) = answer.split_once(' ').unwrap();
        assert!(answers.insert(tag.parse::<u32>().unwrap()), "{tag} is answered twice");
        assert!(word.starts_with("refused") || word == "broken", "{answer}");
    }
    assert!(start.elapsed() < Duration::from_millis(3_900), "held for {:?}", start.elapsed());
    assert_eq!(answers.len() as u32, asked, "each is answered");
}

/// Guards against a SIGHUP that applies half a file, and against requests whose class changes under
/// them.
#[test]
fn new_settings_apply_whole_or_not_at_all() {
    let setup = setup(StubBehavior::Data(b"some bytes".to_vec()));
    let mut client = Client::connect(setup.node.addr);
    let old = with_admin_endpoint(&config(setup.feed.addr));
    let maps = r#"{"name":"maps","effect":"retryable","onTime":250000,"hardLimit":2500000,"worth":1.0,"aimStretch":2.0},"#;
    let new = old.replace(r#"{"name":"docs""#, &format!(r#"{maps}{{"name":"docs""#));
    let rounds = |name: &str, n: u64| wait_until(name, || (figure(setup.door, name) == n).then_some(()));
    let bad = [
        String::new(),
        new[..new.len() / 2].to_string(),
        new.replace(r#""hardLimit":3000000"#, r#""hardLimit":0"#),
        new.replace(r#""sendCap":6"#, r#""sendCap":"many""#),
        new.replace(r#""sendCap":6,"#, ""),
        new.replace(r#""worth":3.0"#, r#""worth":null"#),
    ];
    for (i, text) in bad.iter().enumerate() {
        setup.node.reload(text);
        rounds("cfg_invalid", i as u64 + 1);
    }
    assert_eq!(client.get(1, "maps", 1, 7), "1 broken", "nothing of it applies");
    assert_eq!(figure(setup.door, "cfg_accepted"), 0);
    // A non-idempotent request is under way while its class becomes one that may be repeated, and
    // docs is removed.
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoAnswer));
    client.send_request(2, "cert-filing", 2, ",obj=0000000000000009");
    wait_until("the attempt", || {
        setup.endpoints.iter().any(|s| s.received().iter().any(|a| a.rid.ends_with('2'))).then_some(())
    });
    let other = new.replace("fragile", "retryable").replace(r#""name":"docs""#, r#""name":"pages""#);
    setup.node.reload(&other.replace(r#""sendCap":6"#, r#""sendCap":2"#));
    rounds("cfg_accepted", 1);
    let runs = |rid: &str| -> usize {
        setup.endpoints.iter().map(|s| s.received().iter().filter(|a| a.rid.ends_with(rid)).count()).sum()
    };
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("failed")));
    assert_eq!(client.answer(), "2 broken", "it keeps its deadline");
    assert_eq!(runs("0002"), 1, "and its effect");
    // Under the new settings a non-idempotent request may be repeated, twice at most.
    assert!(!client.get(3, "cert-filing", 3, 9).contains("good"));
    assert_eq!(runs("0003"), 2);
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Data(b"some bytes".to_vec())));
    assert!(client.get(4, "maps", 4, 7).contains("good"));
    assert!(client.get(5, "pages", 5, 7).contains("good"));
    assert_eq!(client.get(6, "docs", 6, 7), "6 broken", "it has vanished");
    // It comes back, and non-idempotent requests may not be repeated again.
    setup.node.reload(&old);
    rounds("cfg_accepted", 2);
    assert!(client.get(7, "docs", 7, 7).contains("good"));
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("failed")));
    assert_eq!(client.get(8, "cert-filing", 8, 9), "8 broken");
    assert_eq!(runs("0008"), 1);
    assert_eq!(figure(setup.door, "operations.docs.fulfilled"), 1);
}
