//! Races of two events, each order forced: the process is stopped while both arrive, or a stub
//! holds one back. docs/races.md has the table of states and events that these belong to.

mod common;

use common::manual_endpoints::{FullBacklogEndpoint, HeldAttempt, ManualEndpoints};
use common::*;
use std::time::{Duration, Instant};

/// Longer than attempts may be sent for a client that has left, and than any grace for a drain
/// here.
const STALL: Duration = Duration::from_millis(600);
/// The log on which attempts are seen.
const LOG: [&str; 2] = ["--log", "debug"];

/// Two edge caches and an origin answered by the test, their list published, and a client.
fn setup() -> (StubFeed, RouterProcess, Client, ManualEndpoints) {
    let (feed, manual) = (StubFeed::start(), ManualEndpoints::start(3));
    feed.publish_endpoints(true, &manual.lines());
    let node = RouterProcess::start(&feed);
    let mut client = Client::connect(node.addr);
    listed_there(&mut client, &manual);
    (feed, node, client, manual)
}

/// Sends requests until the list is known there: then one arrives at an endpoint.
fn listed_there(client: &mut Client, manual: &ManualEndpoints) {
    let mut tag = 1_000_000;
    wait_until("the list", || {
        tag += 1;
        client.send_request(tag, "docs", u64::from(tag), ",obj=0000000000000005");
        if let Some(held) = manual.next_soon() {
            held.respond("data", b"some bytes");
        }
        Some(client.answer()).filter(|a| a.contains("good"))
    });
}

fn object(n: u64) -> String {
    format!(",obj={n:016x}")
}

fn ended_well(mut node: RouterProcess) {
    node.signal("-TERM");
    let (status, said) = node.wait_for_exit();
    assert!(status.success() && said.last().unwrap().ends_with("invariants broken: 0"), "{said:?}");
}

/// Guards against a retry for a client that has gone, when the end of an attempt and the end of its
/// connection are found together.
#[test]
fn a_client_that_left_during_a_stall_gets_no_retry() {
    for leaves in ["closes", "cancels"] {
        let (_feed, node, client, manual) = setup();
        let mut leaver = Client::connect(node.addr);
        leaver.send_request(1, "docs", 70, &object(7));
        let held = manual.next();
        node.pause();
        // The endpoint's answer is first in every queue.
        held.respond("failed", b"");
        if leaves == "cancels" {
            leaver.send(&resp_array(&[b"UNDO", b"1"]));
        } else {
            drop(leaver);
        }
        std::thread::sleep(STALL);
        node.resume();
        let more: Vec<String> = manual.remaining().iter().map(|h| h.fields.clone()).collect();
        assert!(more.is_empty(), "sent on for a client that {leaves}: {more:?}");
        drop(client);
        ended_well(node);
    }
}

/// Guards against an attempt that waits for a connection being sent once that is established,
/// though its client has gone.
#[test]
fn no_attempt_is_sent_for_a_client_that_left_while_the_connection_was_established() {
    let (feed, full_backlog) = (StubFeed::start(), FullBacklogEndpoint::start());
    let origin = StubEndpoint::start(StubBehavior::Status("full"));
    feed.publish_endpoints(
        true,
        &[
            endpoint_line("s-a", full_backlog.addr, "std", "ready"),
            endpoint_line("s-o", origin.addr, "origin", "ready"),
        ],
    );
    let node = RouterProcess::with_config(&with_admin_endpoint(&config(feed.addr)));
    let mut client = Client::connect(node.addr);
    // The edge cache takes connections again while the process is stopped, and the client leaves
    // meanwhile.
    let mut tag = 9_000;
    wait_until("a request that waits for a connection to the box", || {
        tag += 1;
        client.send_request(tag, "docs", 9_000, &object(8));
        let open =
            || admin_call(admin_address(&node), "GET /status/metrics").1.contains("svc.open_requests=1");
        if open() {
            return Some(());
        }
        // Before the list is known requests are rejected at once.
        assert!(client.answer().contains("refused"));
        None
    });
    node.pause();
    let (asks, _filling) = full_backlog.open();
    drop(client);
    std::thread::sleep(Duration::from_millis(1_200));
    node.resume();
    std::thread::sleep(STALL);
    let sent: Vec<String> = asks.try_iter().map(|h| h.rid).collect();
    assert!(!sent.iter().any(|r| r == "0000000000002328"), "sent for one who has gone: {sent:?}");
}

/// Guards against a drain that was published during a stall being processed after the requests that
/// it forbids.
#[test]
fn a_drain_published_during_a_stall_is_processed_before_requests() {
    let (feed, node, mut client, manual) = setup();
    // The home of that object.
    client.send_request(1, "docs", 71, &object(7));
    let held = manual.next();
    held.respond("data", b"some bytes");
    assert!(client.answer().contains("good"));
    let home = held.endpoint;
    node.pause();
    // The request is first in every queue.
    client.send_request(2, "docs", 72, &object(7));
    let uid = ["s-a", "s-b"][home];
    feed.publish_endpoints(false, &[endpoint_line(uid, manual.addrs[home], "std", "draining")]);
    std::thread::sleep(STALL);
    node.resume();
    let held = manual.next();
    assert_ne!(held.endpoint, home, "work for a box {STALL:?} after its drain was told");
    held.respond("data", b"some bytes");
    assert!(client.answer().contains("good"));
    ended_well(node);
}

/// Guards against requests of a client that has gone being passed on because much of what it sent
/// waits before the end of its connection.
#[test]
fn a_flood_is_read_to_its_end_before_any_of_it_is_sent() {
    let (_feed, node, _client, manual) = setup();
    let mut flood = Client::connect(node.addr);
    node.pause();
    let body = vec![b'x'; 40_000];
    for tag in 1..=12u64 {
        let fields = format!("rid={:016x},budget=1500,piece=0,lot=17,obj={tag:016x}", 0x700 + tag);
        let tag = tag.to_string();
        flood.send(&resp_array(&[b"DO", tag.as_bytes(), b"cert-filing", fields.as_bytes(), &body]));
    }
    drop(flood);
    node.resume();
    let sent: Vec<String> = manual.remaining().iter().map(|h| h.rid.clone()).collect();
    assert!(sent.is_empty(), "sent for one who has gone: {sent:?}");
    ended_well(node);
}

/// Guards against a non-idempotent request that is lost on a connection that its endpoint had
/// closed before it was written.
#[test]
fn a_non_idempotent_request_uses_no_connection_that_has_ended() {
    let (_feed, node, mut client, manual) = setup();
    client.send_request(1, "cert-filing", 80, &object(7));
    let held = manual.next();
    held.respond("data", b"");
    assert!(client.answer().contains("good"));
    node.pause();
    // The non-idempotent request is first in every queue.
    client.send_request(2, "cert-filing", 81, &object(7));
    held.close();
    node.resume();
    let held = manual.next();
    assert_eq!(held.rid, format!("{:016x}", 81));
    held.respond("data", b"");
    assert_eq!(client.answer(), "2 good ver=d1");
    ended_well(node);
}

/// Guards against late connections making an endpoint count as restarted: it would get next to
/// nothing for as long as a warm-up takes. What waited goes to the other edge cache meanwhile.
#[test]
fn an_edge_cache_whose_connections_were_late_is_not_taken_to_warm_up() {
    let (feed, full_backlog, other) = (
        StubFeed::start(),
        FullBacklogEndpoint::start(),
        StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec())),
    );
    feed.publish_endpoints(
        true,
        &[
            endpoint_line("s-a", full_backlog.addr, "std", "ready"),
            endpoint_line("s-b", other.addr, "std", "ready"),
        ],
    );
    let node = RouterProcess::with_arguments(&feed, &LOG);
    let mut client = Client::connect(node.addr);
    let mut tag = 0;
    let mut ask = |client: &mut Client| {
        tag += 1;
        client.get(tag, "docs", u64::from(tag), u64::from(tag))
    };
    let mut late = 0;
    wait_until("two requests that the other box had to serve", || {
        let served = ask(&mut client).contains("good");
        late += node.count_log_lines("status=Unreached");
        (served && late >= 2).then_some(())
    });
    assert_eq!(node.count_log_lines("status=ConnectFailed"), 0);
    let (asks, _filling) = full_backlog.open();
    std::thread::spawn(move || asks.iter().for_each(|held| held.respond("data", b"bytes")));
    let before = other.count();
    for _ in 0..40 {
        assert!(ask(&mut client).contains("good"));
    }
    let there = 40 - (other.count() - before);
    assert!(there >= 10, "{there} of 40 requests at the box that was late");
}

/// Guards against two ends that meet: a client that has connected or sent a request while the
/// process was stopped is answered, though the time in which it takes work is over when it goes on.
#[test]
fn requests_that_arrived_during_a_stall_at_shutdown_are_answered() {
    let (_feed, mut node, mut client, manual) = setup();
    let mut second = Client::connect(node.addr);
    second.send(&resp_array(&[b"PING", b"1", b""]));
    assert_eq!(second.answer(), "1 fit");
    client.send_request(1, "docs", 90, &object(7));
    let held = manual.next();
    node.signal("-TERM");
    node.wait_for_log("to=Stopping");
    node.pause();
    // What it still waits for comes first, so that it has nothing left to do.
    held.respond("data", b"some bytes");
    second.send_request(2, "docs", 91, &object(8));
    let mut late = Client::connect(node.addr);
    late.send_request(1, "docs", 92, &object(9));
    std::thread::sleep(Duration::from_millis(900));
    node.resume();
    for _ in 0..2 {
        manual.next().respond("data", b"some bytes");
    }
    let answers = [client.answer(), second.answer(), late.answer()];
    assert_eq!(answers, ["1", "2", "1"].map(|tag| format!("{tag} good ver=d1 some bytes")));
    let (status, said) = node.wait_for_exit();
    assert!(status.success() && said.last().unwrap().ends_with("invariants broken: 0"), "{said:?}");
}

/// Guards against a request on a connection that the process has shut down being passed on: no
/// client could be answered.
#[test]
fn requests_after_the_shutdown_of_a_connection_are_never_passed_on() {
    let (_feed, mut node, mut client, manual) = setup();
    node.signal("-TERM");
    wait_until("the connection to be shut", || client.is_closed().then_some(()));
    client.try_send_request(2, "docs", 95);
    assert!(manual.remaining().is_empty(), "sent on after the shutdown");
    assert_eq!(client.answer(), "end");
    let (status, said) = node.wait_for_exit();
    assert!(status.success() && said.last().unwrap().ends_with("invariants broken: 0"), "{said:?}");
}

/// Guards against a second signal that starts the shutdown anew, or cuts it short.
#[test]
fn a_second_sigterm_changes_nothing() {
    let (_feed, mut node, mut client, manual) = setup();
    client.send_request(1, "docs", 96, &object(7));
    let held = manual.next();
    let start = Instant::now();
    node.signal("-TERM");
    node.wait_for_log("to=Stopping");
    std::thread::sleep(Duration::from_millis(500));
    node.signal("-TERM");
    std::thread::sleep(Duration::from_millis(400));
    held.respond("data", b"some bytes");
    assert_eq!(client.answer(), "1 good ver=d1 some bytes");
    drop(client);
    let (status, _) = node.wait_for_exit();
    assert!(status.success());
    assert!(start.elapsed() < Duration::from_millis(1_150), "it began anew: {:?}", start.elapsed());
}

/// Guards against a reset that loses an answer in transit: its client goes on sending what nobody
/// reads.
#[test]
fn an_answer_in_transit_survives_malformed_bytes_of_its_client() {
    let (_feed, node, _client, manual) = setup();
    // The client's machine buffers little that was not read: most of it waits at the process.
    let mut client = Client::with_small_receive_buffer(node.addr);
    let body = vec![b'x'; 230_000];
    for tag in 1..=5 {
        client.send_request(tag, "docs", u64::from(tag), &object(u64::from(tag)));
        manual.next().respond("data", &body);
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

/// Guards against an edge cache that gets no connection, as idle connections to others hold all
/// descriptors.
#[test]
fn idle_connections_are_closed_for_those_to_another_edge_cache() {
    let (feed, manual, b) = (
        StubFeed::start(),
        ManualEndpoints::start(1),
        StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec())),
    );
    feed.publish_endpoints(true, &[endpoint_line("s-a", manual.addrs[0], "std", "ready")]);
    let node = RouterProcess::with_socket_limit(&feed, 64);
    let mut client = Client::connect(node.addr);
    listed_there(&mut client, &manual);
    // One connection each, to the bound for 64 descriptors, which is 19.
    for tag in 1..=24 {
        client.send_request(tag, "docs", u64::from(tag), &object(u64::from(tag)));
    }
    for held in (1..=24).map(|_| manual.next()).collect::<Vec<_>>() {
        held.respond("data", b"bytes");
    }
    (1..=24).for_each(|_| assert!(client.answer().contains("good")));
    feed.publish_endpoints(false, &[endpoint_line("s-b", b.addr, "std", "ready")]);
    std::thread::sleep(Duration::from_millis(200));
    for tag in 101..=120 {
        client.send_request(tag, "docs", u64::from(tag), &object(u64::from(tag)));
        if let Some(held) = manual.next_soon() {
            held.respond("data", b"bytes");
        }
        assert!(client.answer().contains("good"));
    }
    assert!(b.count() > 0, "no request at the new box");
    ended_well(node);
}

/// Guards against new settings that undo a drain, read while the edge cache empties.
#[test]
fn a_drain_holds_over_sighup() {
    let (feed, endpoints) =
        (StubFeed::start(), [(); 2].map(|()| StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()))));
    let [a, b] = &endpoints;
    feed.publish_endpoints(
        true,
        &[endpoint_line("s-a", a.addr, "std", "ready"), endpoint_line("s-b", b.addr, "std", "ready")],
    );
    let node = RouterProcess::start(&feed);
    let mut client = Client::connect(node.addr);
    let mut tag = 0;
    let mut get = |client: &mut Client| {
        tag += 1;
        client.get(tag, "docs", u64::from(tag), u64::from(tag)).contains("good")
    };
    wait_until("work at the box", || (get(&mut client) && a.count() > 0).then_some(()));
    feed.publish_endpoints(false, &[endpoint_line("s-a", a.addr, "std", "draining")]);
    node.reload(&config(feed.addr).replace("\"sendCap\":6", "\"sendCap\":5"));
    node.wait_for_log("SIGHUP: configuration applied classes=2");
    // The grace for a drain.
    std::thread::sleep(Duration::from_millis(500));
    let before = a.count();
    for _ in 0..40 {
        assert!(get(&mut client));
    }
    assert_eq!(a.count(), before, "work for a box that drains");
    ended_well(node);
}

/// Guards against a pending answer being lost with a message that its client does not finish.
#[test]
fn half_a_message_does_not_lose_a_pending_answer() {
    let (_feed, node, mut client, manual) = setup();
    let fields = b"rid=0000000000000062,budget=2900,obj=0000000000000007,piece=0,lot=17";
    client.send(&resp_array(&[b"DO", b"1", b"cert-filing", fields, b"a body"]));
    let held = manual.next();
    client.send(b"*5\r\n$2\r\nDO\r\n$1\r\n2");
    // Past the 1.5 s for a whole message and the housekeeping that checks it; the non-idempotent
    // request itself has 2.9 s.
    std::thread::sleep(Duration::from_millis(2_000));
    held.respond("data", b"");
    assert_eq!(client.answer(), "1 good ver=d1");
    assert_eq!(client.answer(), "end");
    ended_well(node);
}

/// Guards against the cache status of answers going unread, where the settings say that it is sent:
/// a fill that its source refused is the source's refusal, and the next attempt names another one.
#[test]
fn the_cache_status_of_answers_is_read_where_it_is_sent() {
    for tells in ["all", "none"] {
        let (feed, manual) = (StubFeed::start(), ManualEndpoints::start(3));
        let [box_, p, q] = [0, 1, 2].map(|i| manual.addrs[i]);
        feed.publish_endpoints(
            true,
            &[
                endpoint_line("s-a", box_, "std", "ready"),
                endpoint_line("s-p", p, "parent", "ready"),
                endpoint_line("s-q", q, "parent", "ready"),
            ],
        );
        let told = config(feed.addr)
            .replace("\"tells\":\"none\"", &format!("\"tells\":\"{tells}\""))
            .replace("\"neighbours\":\"any\"", "\"neighbours\":\"none\"");
        let node = RouterProcess::with_config(&told);
        let mut client = Client::connect(node.addr);
        listed_there(&mut client, &manual);
        client.send_request(1, "docs", 0x77, &object(7));
        let held = manual.next();
        held.respond_with_fields("full", "remark=PEER_MISS,first=3");
        let next = manual.next();
        next.respond("data", b"some bytes");
        assert!(client.answer().contains("good"));
        let source =
            |h: &HeldAttempt| h.fields.split(',').find(|f| f.starts_with("parent=")).map(str::to_string);
        if tells == "all" {
            // The edge cache is well, its fill source lacks the object.
            assert_eq!(next.endpoint, 0);
            assert!(source(&next).is_some() && source(&next) != source(&held), "{}", next.fields);
        } else {
            // The edge cache may have had no capacity itself.
            assert_ne!(next.endpoint, 0, "{}", next.fields);
        }
        ended_well(node);
    }
}

/// Guards against a class whose retries endpoints recognise by an idempotency key: they must get it
/// as it came.
#[test]
fn an_idempotency_key_is_passed_on() {
    let (_feed, node, mut client, manual) = setup();
    client.send_request(1, "docs", 99, &format!("{},token=c74e64b32bdec13bca25988785beaa14", object(7)));
    let held = manual.next();
    assert!(
        held.fields.split(',').any(|f| f == "replay=c74e64b32bdec13bca25988785beaa14"),
        "{}",
        held.fields
    );
    held.respond("data", b"some bytes");
    assert!(client.answer().contains("good"));
    // One that could not be read as a field there.
    client.send_request(2, "docs", 100, &format!("{},token=a b", object(7)));
    assert_eq!(client.answer(), "2 broken");
    ended_well(node);
}
