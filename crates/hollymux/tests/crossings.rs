//! Two events that cross, each order forced: the process is stopped while both come, or a stand-in holds one back.
//! docs/races.md has the table of states and events that these belong to.

mod common;

use common::puppets::{Held, Puppets, Shut};
use common::*;
use std::time::{Duration, Instant};

/// Longer than a client that has left may be sent something for, and than any grace for a drain here.
const STALL: Duration = Duration::from_millis(600);
/// The log on which attempts are seen.
const LOG: [&str; 2] = ["--log", "debug"];

/// Two boxes and an origin played by hand, the list told, and a client.
fn bed() -> (Feed, Node, Client, Puppets) {
    let (feed, puppets) = (Feed::start(), Puppets::start(3));
    feed.members(true, &puppets.lines());
    let node = Node::start(&feed);
    let mut client = Client::connect(node.addr);
    listed_there(&mut client, &puppets);
    (feed, node, client, puppets)
}

/// Asks until the list is known there: then a request comes out at a shelf.
fn listed_there(client: &mut Client, puppets: &Puppets) {
    let mut tag = 1_000_000;
    until("the list", || {
        tag += 1;
        client.ask(tag, "docs", u64::from(tag), ",obj=0000000000000005");
        if let Some(held) = puppets.soon() {
            held.say("data", b"some bytes");
        }
        Some(client.answer()).filter(|a| a.contains("good"))
    });
}

fn object(n: u64) -> String {
    format!(",obj={n:016x}")
}

fn ended_well(mut node: Node) {
    node.signal("-TERM");
    let (status, said) = node.ended();
    assert!(status.success() && said.last().unwrap().ends_with("invariants broken: 0"), "{said:?}");
}

/// Guards against a further attempt for one who has gone, when the end of an attempt and his leaving are found together.
#[test]
fn who_left_during_a_stall_gets_no_further_attempt() {
    for leaves in ["closes", "cancels"] {
        let (_feed, node, client, puppets) = bed();
        let mut leaver = Client::connect(node.addr);
        leaver.ask(1, "docs", 70, &object(7));
        let held = puppets.next();
        node.freeze();
        // The shelf's word is first in every queue.
        held.say("failed", b"");
        if leaves == "cancels" {
            leaver.send(&array(&[b"UNDO", b"1"]));
        } else {
            drop(leaver);
        }
        std::thread::sleep(STALL);
        node.thaw();
        let more: Vec<String> = puppets.rest().iter().map(|h| h.fields.clone()).collect();
        assert!(more.is_empty(), "sent on for a client that {leaves}: {more:?}");
        drop(client);
        ended_well(node);
    }
}

/// Guards against what waits for a connection being sent when that comes up, though its client has gone.
#[test]
fn who_left_while_a_connection_came_up_is_not_asked_for() {
    let (feed, shut) = (Feed::start(), Shut::start());
    let origin = Shelf::start(Does::Word("full"));
    feed.members(
        true,
        &[line("s-a", shut.addr, "std", "ready"), line("s-o", origin.addr, "origin", "ready")],
    );
    let node = Node::configured(&with_door(&config(feed.addr)));
    let mut client = Client::connect(node.addr);
    // The box takes connections again while the process stands still, and the client leaves meanwhile.
    let mut tag = 9_000;
    until("a request that waits for a connection to the box", || {
        tag += 1;
        client.ask(tag, "docs", 9_000, &object(8));
        let open = || call(door(&node), "GET /status/metrics").1.contains("svc.open_requests=1");
        if open() {
            return Some(());
        }
        // Before the list was known it is refused at once.
        assert!(client.answer().contains("refused"));
        None
    });
    node.freeze();
    let (asks, _filling) = shut.open();
    drop(client);
    std::thread::sleep(Duration::from_millis(1_200));
    node.thaw();
    std::thread::sleep(STALL);
    let sent: Vec<String> = asks.try_iter().map(|h| h.rid).collect();
    assert!(!sent.iter().any(|r| r == "0000000000002328"), "sent for one who has gone: {sent:?}");
}

/// Guards against a drain that was told during a stall being learnt after the work that it forbids.
#[test]
fn a_drain_told_during_a_stall_is_learnt_before_requests() {
    let (feed, node, mut client, puppets) = bed();
    // The home of that object.
    client.ask(1, "docs", 71, &object(7));
    let held = puppets.next();
    held.say("data", b"some bytes");
    assert!(client.answer().contains("good"));
    let home = held.shelf;
    node.freeze();
    // The request is first in every queue.
    client.ask(2, "docs", 72, &object(7));
    let uid = ["s-a", "s-b"][home];
    feed.members(false, &[line(uid, puppets.addrs[home], "std", "draining")]);
    std::thread::sleep(STALL);
    node.thaw();
    let held = puppets.next();
    assert_ne!(held.shelf, home, "work for a box {STALL:?} after its drain was told");
    held.say("data", b"some bytes");
    assert!(client.answer().contains("good"));
    ended_well(node);
}

/// Guards against requests of one who has gone being handed on because much of what he sent waits in front of his end.
#[test]
fn a_flood_is_read_to_its_end_before_any_of_it_is_sent() {
    let (_feed, node, _client, puppets) = bed();
    let mut flood = Client::connect(node.addr);
    node.freeze();
    let body = vec![b'x'; 40_000];
    for tag in 1..=12u64 {
        let fields = format!("rid={:016x},budget=1500,piece=0,lot=17,obj={tag:016x}", 0x700 + tag);
        let tag = tag.to_string();
        flood.send(&array(&[b"DO", tag.as_bytes(), b"cert-filing", fields.as_bytes(), &body]));
    }
    drop(flood);
    node.thaw();
    let sent: Vec<String> = puppets.rest().iter().map(|h| h.rid.clone()).collect();
    assert!(sent.is_empty(), "sent for one who has gone: {sent:?}");
    ended_well(node);
}

/// Guards against a filing that is lost on a connection that its shelf had closed before it was written.
#[test]
fn a_filing_takes_no_connection_that_has_ended() {
    let (_feed, node, mut client, puppets) = bed();
    client.ask(1, "cert-filing", 80, &object(7));
    let held = puppets.next();
    held.say("data", b"");
    assert!(client.answer().contains("good"));
    node.freeze();
    // The filing is first in every queue.
    client.ask(2, "cert-filing", 81, &object(7));
    held.close();
    node.thaw();
    let held = puppets.next();
    assert_eq!(held.rid, format!("{:016x}", 81));
    held.say("data", b"");
    assert_eq!(client.answer(), "2 good ver=d1");
    ended_well(node);
}

/// Guards against connections that come up late taking a host for one that has started anew: it would get next to
/// nothing for as long as a start takes. What waited goes to the other box meanwhile.
#[test]
fn a_box_whose_connections_came_up_late_is_not_held_to_be_cold() {
    let (feed, shut, other) = (Feed::start(), Shut::start(), Shelf::start(Does::Data(b"bytes".to_vec())));
    feed.members(true, &[line("s-a", shut.addr, "std", "ready"), line("s-b", other.addr, "std", "ready")]);
    let node = Node::logging(&feed, &LOG);
    let mut client = Client::connect(node.addr);
    let mut tag = 0;
    let mut ask = |client: &mut Client| {
        tag += 1;
        client.get(tag, "docs", u64::from(tag), u64::from(tag))
    };
    let mut late = 0;
    until("two requests that the other box had to serve", || {
        let served = ask(&mut client).contains("good");
        late += node.said("status=Unreached");
        (served && late >= 2).then_some(())
    });
    assert_eq!(node.said("status=ConnectFailed"), 0);
    let (asks, _filling) = shut.open();
    std::thread::spawn(move || asks.iter().for_each(|held| held.say("data", b"bytes")));
    let before = other.count();
    for _ in 0..40 {
        assert!(ask(&mut client).contains("good"));
    }
    let there = 40 - (other.count() - before);
    assert!(there >= 10, "{there} of 40 requests at the box that was late");
}

/// Guards against two ends that meet: who has connected or asked while the process stood still is answered, though the
/// time in which it takes work is over when it goes on.
#[test]
fn what_came_during_a_stall_over_the_end_is_answered() {
    let (_feed, mut node, mut client, puppets) = bed();
    let mut second = Client::connect(node.addr);
    second.send(&array(&[b"PING", b"1", b""]));
    assert_eq!(second.answer(), "1 fit");
    client.ask(1, "docs", 90, &object(7));
    let held = puppets.next();
    node.signal("-TERM");
    node.says("Stopping");
    node.freeze();
    // What it still waits for comes first, so that it has nothing left to do.
    held.say("data", b"some bytes");
    second.ask(2, "docs", 91, &object(8));
    let mut late = Client::connect(node.addr);
    late.ask(1, "docs", 92, &object(9));
    std::thread::sleep(Duration::from_millis(900));
    node.thaw();
    for _ in 0..2 {
        puppets.next().say("data", b"some bytes");
    }
    let answers = [client.answer(), second.answer(), late.answer()];
    assert_eq!(answers, ["1", "2", "1"].map(|tag| format!("{tag} good ver=d1 some bytes")));
    let (status, said) = node.ended();
    assert!(status.success() && said.last().unwrap().ends_with("invariants broken: 0"), "{said:?}");
}

/// Guards against a request on a connection that the process has shut being sent on: nobody could be answered.
#[test]
fn what_comes_after_the_shutdown_is_never_sent_on() {
    let (_feed, mut node, mut client, puppets) = bed();
    node.signal("-TERM");
    until("the connection to be shut", || client.closed().then_some(()));
    client.try_ask(2, "docs", 95);
    assert!(puppets.rest().is_empty(), "sent on after the shutdown");
    assert_eq!(client.answer(), "end");
    let (status, said) = node.ended();
    assert!(status.success() && said.last().unwrap().ends_with("invariants broken: 0"), "{said:?}");
}

/// Guards against a second signal that begins the end anew, or cuts it short.
#[test]
fn a_second_sigterm_changes_nothing() {
    let (_feed, mut node, mut client, puppets) = bed();
    client.ask(1, "docs", 96, &object(7));
    let held = puppets.next();
    let start = Instant::now();
    node.signal("-TERM");
    node.says("Stopping");
    std::thread::sleep(Duration::from_millis(500));
    node.signal("-TERM");
    std::thread::sleep(Duration::from_millis(400));
    held.say("data", b"some bytes");
    assert_eq!(client.answer(), "1 good ver=d1 some bytes");
    drop(client);
    let (status, _) = node.ended();
    assert!(status.success());
    assert!(start.elapsed() < Duration::from_millis(1_150), "it began anew: {:?}", start.elapsed());
}

/// Guards against a reset that eats an answer on its way: its client sends on what nobody reads.
#[test]
fn an_answer_on_its_way_survives_what_its_client_sends_behind() {
    let (_feed, node, _client, puppets) = bed();
    // His machine takes in little that he has not read: most of it waits at the process's.
    let mut client = Client::small(node.addr);
    let body = vec![b'x'; 230_000];
    for tag in 1..=5 {
        client.ask(tag, "docs", u64::from(tag), &object(u64::from(tag)));
        puppets.next().say("data", &body);
    }
    std::thread::sleep(Duration::from_millis(200));
    // More than is read at a time, and none of it can be understood.
    client.try_send(&vec![b'!'; 300_000]);
    for tag in 1..=5 {
        let answer = client.answer();
        assert!(answer.starts_with(&format!("{tag} good")) && answer.len() > body.len(), "{answer:.40}");
    }
    assert_eq!(client.answer(), "end");
    ended_well(node);
}

/// Guards against a box that gets no connection, as those to others that rest hold all descriptors for them.
#[test]
fn connections_that_rest_make_way_for_those_to_another_box() {
    let (feed, puppets, b) = (Feed::start(), Puppets::start(1), Shelf::start(Does::Data(b"bytes".to_vec())));
    feed.members(true, &[line("s-a", puppets.addrs[0], "std", "ready")]);
    let node = Node::limited(&feed, 64);
    let mut client = Client::connect(node.addr);
    listed_there(&mut client, &puppets);
    // One connection each, to the bound for 64 descriptors, which is 19.
    for tag in 1..=24 {
        client.ask(tag, "docs", u64::from(tag), &object(u64::from(tag)));
    }
    for held in (1..=24).map(|_| puppets.next()).collect::<Vec<_>>() {
        held.say("data", b"bytes");
    }
    (1..=24).for_each(|_| assert!(client.answer().contains("good")));
    feed.members(false, &[line("s-b", b.addr, "std", "ready")]);
    std::thread::sleep(Duration::from_millis(200));
    for tag in 101..=120 {
        client.ask(tag, "docs", u64::from(tag), &object(u64::from(tag)));
        if let Some(held) = puppets.soon() {
            held.say("data", b"bytes");
        }
        assert!(client.answer().contains("good"));
    }
    assert!(b.count() > 0, "no request at the new box");
    ended_well(node);
}

/// Guards against new settings that undo a drain, read while the box empties.
#[test]
fn a_drain_holds_over_sighup() {
    let (feed, shelfs) = (Feed::start(), [(); 2].map(|()| Shelf::start(Does::Data(b"bytes".to_vec()))));
    let [a, b] = &shelfs;
    feed.members(true, &[line("s-a", a.addr, "std", "ready"), line("s-b", b.addr, "std", "ready")]);
    let node = Node::start(&feed);
    let mut client = Client::connect(node.addr);
    let mut tag = 0;
    let mut get = |client: &mut Client| {
        tag += 1;
        client.get(tag, "docs", u64::from(tag), u64::from(tag)).contains("good")
    };
    until("work at the box", || (get(&mut client) && a.count() > 0).then_some(()));
    feed.members(false, &[line("s-a", a.addr, "std", "draining")]);
    node.reread(&config(feed.addr).replace("\"sendCap\":6", "\"sendCap\":5"));
    node.says("SIGHUP: 2 classes");
    // The grace for a drain.
    std::thread::sleep(Duration::from_millis(500));
    let before = a.count();
    for _ in 0..40 {
        assert!(get(&mut client));
    }
    assert_eq!(a.count(), before, "work for a box that drains");
    ended_well(node);
}

/// Guards against an answer that is owed being lost with a message that its client does not finish.
#[test]
fn half_a_message_does_not_cost_an_answer_that_is_owed() {
    let (_feed, node, mut client, puppets) = bed();
    let fields = b"rid=0000000000000062,budget=2900,obj=0000000000000007,piece=0,lot=17";
    client.send(&array(&[b"DO", b"1", b"cert-filing", fields, b"a body"]));
    let held = puppets.next();
    client.send(b"*5\r\n$2\r\nDO\r\n$1\r\n2");
    // Past the 1.5 s for a whole message and the round that looks after it; the filing itself has 2.9 s.
    std::thread::sleep(Duration::from_millis(2_000));
    held.say("data", b"");
    assert_eq!(client.answer(), "1 good ver=d1");
    assert_eq!(client.answer(), "end");
    ended_well(node);
}

/// Guards against what answers tell of their fills going unread, where the settings say that it is told: a fill that its
/// source refused is the source's refusal, and the next attempt names another one.
#[test]
fn what_answers_tell_of_their_fills_is_read_where_it_is_told() {
    for tells in ["all", "none"] {
        let (feed, puppets) = (Feed::start(), Puppets::start(3));
        let [box_, p, q] = [0, 1, 2].map(|i| puppets.addrs[i]);
        feed.members(
            true,
            &[
                line("s-a", box_, "std", "ready"),
                line("s-p", p, "parent", "ready"),
                line("s-q", q, "parent", "ready"),
            ],
        );
        let told = config(feed.addr)
            .replace("\"tells\":\"none\"", &format!("\"tells\":\"{tells}\""))
            .replace("\"neighbours\":\"any\"", "\"neighbours\":\"none\"");
        let node = Node::configured(&told);
        let mut client = Client::connect(node.addr);
        listed_there(&mut client, &puppets);
        client.ask(1, "docs", 0x77, &object(7));
        let held = puppets.next();
        held.tell("full", "remark=PEER_MISS,first=3");
        let next = puppets.next();
        next.say("data", b"some bytes");
        assert!(client.answer().contains("good"));
        let source = |h: &Held| h.fields.split(',').find(|f| f.starts_with("parent=")).map(str::to_string);
        if tells == "all" {
            // The box is well, its source lacks it.
            assert_eq!(next.shelf, 0);
            assert!(source(&next).is_some() && source(&next) != source(&held), "{}", next.fields);
        } else {
            // The box may have had no room itself.
            assert_ne!(next.shelf, 0, "{}", next.fields);
        }
        ended_well(node);
    }
}

/// Guards against a class whose repeats hosts tell apart by a key: they must be given it as it came.
#[test]
fn an_idempotency_key_is_passed_on() {
    let (_feed, node, mut client, puppets) = bed();
    client.ask(1, "docs", 99, &format!("{},token=c74e64b32bdec13bca25988785beaa14", object(7)));
    let held = puppets.next();
    assert!(
        held.fields.split(',').any(|f| f == "replay=c74e64b32bdec13bca25988785beaa14"),
        "{}",
        held.fields
    );
    held.say("data", b"some bytes");
    assert!(client.answer().contains("good"));
    // One that could not be read as a field there.
    client.ask(2, "docs", 100, &format!("{},token=a b", object(7)));
    assert_eq!(client.answer(), "2 broken");
    ended_well(node);
}
