//! The program as operators meet it: the door, the numbers, standby, new settings.

mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

struct Bed {
    feed: Feed,
    node: Node,
    door: SocketAddr,
    shelfs: [Shelf; 3],
}

fn bed(does: Does) -> Bed {
    let feed = Feed::start();
    let shelfs = [does.clone(), does.clone(), does].map(Shelf::start);
    feed.members(true, &listed(&shelfs));
    let node = Node::configured(&with_door(&config(feed.addr)));
    let door = door(&node);
    until("a yes", || (call(door, "GET /status").0 == 200).then_some(()));
    until("the list", || (figure(door, "registry_entries") == 3).then_some(()));
    Bed { feed, node, door, shelfs }
}

fn figure(door: SocketAddr, name: &str) -> u64 {
    let (status, text) = call(door, "GET /status/metrics");
    assert_eq!(status, 200);
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("svc.{name}=")));
    line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

/// Guards against a door that only the file can open, and against a start that fails for want of one.
#[test]
fn the_door_may_be_named_by_the_environment() {
    let feed = Feed::start();
    let named = Node::with_environment(&config(feed.addr), "NODE_OPERATOR", "127.0.0.1:0");
    until("a yes", || (call(door(&named), "GET /status").0 == 200).then_some(()));
    let none = Node::with_environment(&config(feed.addr), "NODE_OPERATOR", "");
    assert_eq!(none.door, None);
    assert_eq!(call(door(&named), "GET /status").1, "ready\n");
}

/// Guards against numbers that are not what clients and shelfs saw.
#[test]
fn the_numbers_are_what_peers_counted() {
    let bed = bed(Does::Data(b"some bytes".to_vec()));
    let mut client = Client::connect(bed.node.addr);
    for tag in 1..=7 {
        assert!(client.get(tag, "docs", tag.into(), 7).contains("good"));
    }
    // Fields that can't be used, of a class that is known and of one that is not.
    client.ask(8, "docs", 8, ",obj=seven");
    assert_eq!(client.answer(), "8 broken");
    assert_eq!(client.get(9, "no-such-class", 9, 7), "9 broken");
    bed.shelfs.iter().for_each(|s| s.does(Does::Word("absent")));
    assert!(client.get(10, "docs", 10, 7).contains("refused"));
    bed.shelfs.iter().for_each(|s| s.does(Does::Word("failed")));
    assert_eq!(client.get(11, "cert-filing", 11, 7), "11 broken");
    let asked: usize = bed.shelfs.iter().map(Shelf::count).sum();
    let figure = |name: &str| figure(bed.door, name);
    assert_eq!(figure("operations.docs.fulfilled"), 7);
    assert_eq!(figure("operations.docs.throttled"), 1);
    assert_eq!(figure("operations.docs.faulted"), 1);
    assert_eq!(figure("operations.cert-filing.fulfilled"), 0);
    assert_eq!(figure("operations.cert-filing.faulted"), 1);
    assert_eq!(figure("relayed"), asked as u64);
    assert_eq!(figure("open_requests"), 0);
    assert_eq!(figure("out_of_rotation"), 0);
    bed.shelfs.iter().for_each(|s| s.does(Does::Nothing));
    client.ask(12, "docs", 12, ",obj=0000000000000007");
    until("an open request", || (figure("open_requests") == 1).then_some(()));
    bed.feed.members(false, &[line("s-a", bed.shelfs[0].addr, "std", "draining")]);
    until("a box that is avoided", || (figure("out_of_rotation") == 1).then_some(()));
    assert_eq!(figure("registry_entries"), 3);
}

/// Guards against a slow reader whose connection is closed over more answers than may be held for him, and against
/// numbers that say otherwise than he was told.
#[test]
fn a_slow_reader_gets_every_answer_whole_or_refused() {
    let feed = Feed::start();
    let big = Does::Data(vec![b'x'; 238_000]);
    let shelfs = [big.clone(), big.clone(), big].map(Shelf::start);
    feed.members(true, &listed(&shelfs));
    let node =
        Node::configured(&with_door(&config(feed.addr)).replace("\"memory_mb\":192", "\"memory_mb\":24"));
    let door = door(&node);
    until("the list", || (figure(door, "registry_entries") == 3).then_some(()));
    let mut client = Client::small(node.addr);
    let (mut good, mut refused) = (0, 0);
    for round in 0..3 {
        (1..=32).for_each(|n| assert!(client.try_ask(round * 32 + n, "docs", u64::from(round * 32 + n))));
        until("all answers", || (figure(door, "open_requests") == 0).then_some(()));
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

/// Guards against callers who never finish, or a flood of clients, keeping an honest call waiting.
#[test]
fn the_door_answers_whoever_else_is_there() {
    let bed = bed(Does::Nothing);
    let silent: Vec<TcpStream> = (0..40)
        .map(|i| {
            let mut socket = TcpStream::connect(bed.door).unwrap();
            socket.write_all(&b"GET /status HTT"[..i % 16]).unwrap();
            socket
        })
        .collect();
    let mut flood: Vec<Client> = (0..60).map(|_| Client::connect(bed.node.addr)).collect();
    for (i, client) in flood.iter_mut().enumerate() {
        (0..20)
            .for_each(|n| client.ask(n + 1, "docs", (i as u64) << 8 | u64::from(n), ",obj=0000000000000007"));
    }
    for _ in 0..20 {
        assert_eq!(call(bed.door, "GET /status").0, 200);
    }
    drop(silent);
    assert_eq!(call(bed.door, "GET /nothing").0, 404);
    assert_eq!(call(bed.door, "GET /standby").0, 405);
    assert_eq!(call(bed.door, "GET /status").1, "ready\n");
}

/// Guards against a router that says yes while it is emptied, holds connections, or loses what it has taken; and
/// against one that doesn't come back.
#[test]
fn standby_lets_everybody_go_and_comes_back() {
    let bed = bed(Does::Data(b"some bytes".to_vec()));
    let mut idle = Client::connect(bed.node.addr);
    idle.send(&array(&[b"PING", b"1", b""]));
    assert_eq!(idle.answer(), "1 fit");
    let mut waits = Client::connect(bed.node.addr);
    let mut steady = Client::connect(bed.node.addr);
    bed.shelfs.iter().for_each(|s| s.does(Does::Nothing));
    waits.ask(1, "docs", 1, ",obj=0000000000000009");
    until("the attempt", || bed.shelfs.iter().any(|s| s.count() > 0).then_some(()));
    bed.shelfs.iter().for_each(|s| s.does(Does::Data(b"some bytes".to_vec())));
    assert_eq!(call(bed.door, "PUT /standby"), (200, "standby\n".into()));
    let start = Instant::now();
    assert_eq!(call(bed.door, "GET /status"), (503, "standby\n".into()));
    assert_eq!(call(bed.door, "PUT /standby").0, 200, "in force already");
    idle.send(&array(&[b"PING", b"2", b""]));
    assert_eq!(idle.answer(), "2 unfit");
    // Who comes before it is noticed is served.
    assert!(Client::connect(bed.node.addr).get(1, "docs", 100, 7).contains("good"));
    // One that always has something open is let go all the same, with one answer to each request.
    let (mut asked, mut answered) = (0, 0);
    loop {
        if start.elapsed() < Duration::from_secs(5)
            && steady.try_ask(asked + 1, "docs", 200 + u64::from(asked))
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
    assert_eq!(call(bed.door, "PUT /active"), (200, "ready\n".into()));
    assert_eq!(call(bed.door, "GET /status").0, 200);
    let mut back = Client::connect(bed.node.addr);
    assert!(back.get(1, "docs", 300, 7).contains("good"));
    std::thread::sleep(Duration::from_millis(900));
    assert!(back.get(2, "docs", 301, 7).contains("good"), "nobody is let go any more");
}

/// Guards against a connection on which something is open at all times: it has no moment at which it could be closed
/// without a loss, and must have gone 4 s after the call all the same, each request answered once.
#[test]
fn standby_ends_connections_that_never_pause() {
    let bed = bed(Does::Nothing);
    let mut busy = Client::connect(bed.node.addr);
    assert_eq!(call(bed.door, "PUT /standby").0, 200);
    let (start, mut asked) = (Instant::now(), 0);
    // Each takes 1.5 s to fail: there are always some open.
    while start.elapsed() < Duration::from_millis(2_700) {
        asked += 1;
        assert!(busy.try_ask(asked, "docs", 400 + u64::from(asked)), "it is held while something is open");
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

/// Guards against a SIGHUP that applies half a file, and against requests whose class changes under them.
#[test]
fn new_settings_apply_whole_or_not_at_all() {
    let bed = bed(Does::Data(b"some bytes".to_vec()));
    let mut client = Client::connect(bed.node.addr);
    let old = with_door(&config(bed.feed.addr));
    let maps = r#"{"name":"maps","effect":"retryable","onTime":250000,"hardLimit":2500000,"worth":1.0,"aimStretch":2.0},"#;
    let new = old.replace(r#"{"name":"docs""#, &format!(r#"{maps}{{"name":"docs""#));
    let rounds = |name: &str, n: u64| until(name, || (figure(bed.door, name) == n).then_some(()));
    let bad = [
        String::new(),
        new[..new.len() / 2].to_string(),
        new.replace(r#""hardLimit":3000000"#, r#""hardLimit":0"#),
        new.replace(r#""sendCap":6"#, r#""sendCap":"many""#),
        new.replace(r#""sendCap":6,"#, ""),
        new.replace(r#""worth":3.0"#, r#""worth":null"#),
    ];
    for (i, text) in bad.iter().enumerate() {
        bed.node.reread(text);
        rounds("cfg_invalid", i as u64 + 1);
    }
    assert_eq!(client.get(1, "maps", 1, 7), "1 broken", "nothing of it applies");
    assert_eq!(figure(bed.door, "cfg_accepted"), 0);
    // A filing is under way while its class becomes one that may be repeated, and docs vanish.
    bed.shelfs.iter().for_each(|s| s.does(Does::Nothing));
    client.ask(2, "cert-filing", 2, ",obj=0000000000000009");
    until("the attempt", || {
        bed.shelfs.iter().any(|s| s.asked().iter().any(|a| a.rid.ends_with('2'))).then_some(())
    });
    let other = new.replace("fragile", "retryable").replace(r#""name":"docs""#, r#""name":"pages""#);
    bed.node.reread(&other.replace(r#""sendCap":6"#, r#""sendCap":2"#));
    rounds("cfg_accepted", 1);
    let runs = |rid: &str| -> usize {
        bed.shelfs.iter().map(|s| s.asked().iter().filter(|a| a.rid.ends_with(rid)).count()).sum()
    };
    bed.shelfs.iter().for_each(|s| s.does(Does::Word("failed")));
    assert_eq!(client.answer(), "2 broken", "it keeps its deadline");
    assert_eq!(runs("0002"), 1, "and its effect");
    // Under the new settings a filing may be repeated, twice at most.
    assert!(!client.get(3, "cert-filing", 3, 9).contains("good"));
    assert_eq!(runs("0003"), 2);
    bed.shelfs.iter().for_each(|s| s.does(Does::Data(b"some bytes".to_vec())));
    assert!(client.get(4, "maps", 4, 7).contains("good"));
    assert!(client.get(5, "pages", 5, 7).contains("good"));
    assert_eq!(client.get(6, "docs", 6, 7), "6 broken", "it has vanished");
    // It comes back, and filings may not be repeated again.
    bed.node.reread(&old);
    rounds("cfg_accepted", 2);
    assert!(client.get(7, "docs", 7, 7).contains("good"));
    bed.shelfs.iter().for_each(|s| s.does(Does::Word("failed")));
    assert_eq!(client.get(8, "cert-filing", 8, 9), "8 broken");
    assert_eq!(runs("0008"), 1);
    assert_eq!(figure(bed.door, "operations.docs.fulfilled"), 1);
}
