//! The program as a process, with clients, endpoints and an endpoint feed as on the platform.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// The feed, the program, and a client that sees two edge caches and the origin listed.
fn setup(does: [StubBehavior; 3]) -> (StubFeed, RouterProcess, Client, [StubEndpoint; 3]) {
    let feed = StubFeed::start();
    let endpoints = does.map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let node = RouterProcess::start(&feed);
    let mut client = Client::connect(node.addr);
    settled(&mut client);
    (feed, node, client, endpoints)
}

/// Sends requests until the list is known there; before, they are rejected.
fn settled(client: &mut Client) {
    let mut tag = 1_000_000;
    wait_until("the list", || {
        tag += 1;
        Some(client.get(tag, "docs", u64::from(tag), 5)).filter(|a| !a.contains("refused"))
    });
}

fn data() -> StubBehavior {
    StubBehavior::Data(b"some bytes".to_vec())
}

#[test]
fn requests_are_answered_under_their_tags() {
    let (_feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    let mut said = Vec::new();
    client.send(&resp_array(&[b"PING", b"1", b""]));
    said.push(client.answer());
    said.push(client.get(2, "docs", 2, 7));
    // A readable request with an unknown class, or with fields that can't be used, gets one failed
    // answer.
    said.push(client.get(3, "no-such-class", 3, 7));
    client.send_request(4, "docs", 4, ",obj=seven");
    said.push(client.answer());
    client.send_request(5, "docs", 5, "");
    said.push(client.answer());
    client.send_request(8, "docs", 8, ",obj=0000000000000007,ver=d1\r\n");
    said.push(client.answer());
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("unchanged")));
    client.send_request(6, "docs", 6, ",obj=0000000000000007,ver=d1");
    said.push(client.answer());
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("absent")));
    let refused = client.get(7, "docs", 7, 7);
    let (head, wait) = refused.split_once('=').unwrap();
    assert!((500..=1000).contains(&wait.parse::<u32>().unwrap()), "{refused}");
    said.push(head.to_string());
    insta::assert_snapshot!(said.join("\n"), @r"
    1 fit
    2 good ver=d1 some bytes
    3 broken
    4 broken
    5 broken
    8 broken
    6 good unchanged=1,ver=d1
    7 refused backoff
    ");
    let fields: Vec<String> = endpoints[..2].iter().flat_map(|s| s.received()).map(|a| a.fields).collect();
    let held = fields.iter().find(|f| f.contains("got")).unwrap();
    let held: Vec<&str> = held.split(',').filter(|f| !f.starts_with("max=")).collect();
    insta::assert_snapshot!(held.join(" "), @"profile=docs thing=0000000000000007 nth=0 parent=s-o shelf=2 hints=freshen got=d1");
}

/// Guards against one client's bytes ending anything but its own connection, and against buffers
/// for lengths that nobody may send.
#[test]
fn malformed_frames_close_only_their_connection() {
    let (_feed, mut node, mut client, _shelfs) = setup([data(), data(), data()]);
    let long = b"*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$4\r\ndocs\r\n$1\r\nx\r\n$999999999\r\n";
    let cases: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\n",
        b"*-1\r\n",
        b"*2\r\n$4\r\nPING\r\n$1\r\nx\r\n",
        b"*99999\r\n",
        long,
        b"*1\r\n$3\r\nDOH\r\n",
    ];
    for case in cases {
        let mut other = Client::connect(node.addr);
        other.send(case);
        assert_eq!(other.answer(), "end", "{}", String::from_utf8_lossy(case));
    }
    assert_eq!(client.get(1, "docs", 1, 7), "1 good ver=d1 some bytes");
    assert!(node.child.try_wait().unwrap().is_none());
}

/// Guards against clients that use descriptors and send nothing, or half a message: each is closed
/// within 3 s of connecting, and a client that sends a request gets in meanwhile.
#[test]
fn a_silent_client_is_closed_and_first_when_descriptors_are_needed() {
    let feed = StubFeed::start();
    let endpoints = [data(), data(), data()].map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let node = RouterProcess::with_socket_limit(&feed, 64);
    let start = Instant::now();
    let half = resp_array(&[b"DO", b"1", b"docs", b"rid=1"]);
    let mut silent: Vec<Client> = (0..120).map(|_| Client::connect(node.addr)).collect();
    silent.iter_mut().step_by(2).for_each(|c| c.send(&half[..20]));
    let mut client = Client::connect(node.addr);
    settled(&mut client);
    assert!(start.elapsed() < Duration::from_millis(2_500), "served after {:?}", start.elapsed());
    for c in &mut silent {
        assert_eq!(c.answer(), "end");
    }
    assert!(start.elapsed() < Duration::from_secs(3), "the last was closed after {:?}", start.elapsed());
    assert_eq!(client.get(1, "docs", 1, 7), "1 good ver=d1 some bytes");
}

/// Guards against answering 'served' under an id or a tag that belongs to another request, and
/// against timeouts that would hold a request open for an hour.
#[test]
fn invalid_ids_tags_and_timeouts_are_not_served() {
    let (_feed, node, mut client, endpoints) = setup([data(), data(), data()]);
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoAnswer));
    client.send_request(1, "docs", 70, ",obj=0000000000000007");
    wait_until("the attempt", || {
        endpoints.iter().any(|s| s.received().iter().any(|a| a.rid.ends_with("46"))).then_some(())
    });
    let mut other = Client::connect(node.addr);
    assert_eq!(other.get(1, "docs", 70, 8), "1 broken", "the id of an open request");
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    for (tag, budget) in [(2, "0"), (3, "-5"), (4, "3600000"), (5, "99999999999999999999"), (6, "many")] {
        let fields = format!("rid={tag:016x},budget={budget},piece=0,lot=17,obj=0000000000000007");
        other.send(&resp_array(&[b"DO", (tag + 90).to_string().as_bytes(), b"docs", fields.as_bytes(), b""]));
    }
    let mut said: Vec<String> = (0..5).map(|_| other.answer()).collect();
    said.sort();
    insta::assert_snapshot!(said.join(" "), @"92 broken 93 broken 94 broken 95 broken 96 broken");
    assert_eq!(other.get(7, "docs", 7, 7), "7 good ver=d1 some bytes");
    assert_eq!(other.get(7, "docs", 8, 7), "end", "a tag that was used before");
    assert_eq!(client.answer(), "1 broken", "the first still has its own answer");
}

/// Guards against attempts at the endpoints for requests that are cancelled as soon as they are
/// sent, and against floods.
#[test]
fn floods_close_their_own_connection_and_hardly_reach_an_endpoint() {
    let (_feed, node, mut client, endpoints) = setup([data(), data(), data()]);
    let count = || endpoints.iter().map(StubEndpoint::count).sum::<usize>();
    let request = |tag: u32| {
        let fields = format!("rid={:016x},budget=1500,piece=0,lot=17,obj={tag:016x}", 5_000 + tag);
        resp_array(&[b"DO", tag.to_string().as_bytes(), b"docs", fields.as_bytes(), b""])
    };
    let undo = |tag: u32| resp_array(&[b"UNDO", tag.to_string().as_bytes()]);
    let withdrawn: Vec<u8> = (1..=100).flat_map(|t| [request(t), undo(t)].concat()).collect();
    let many: Vec<u8> = (1..=100).flat_map(request).collect();
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoAnswer));
    for flood in [withdrawn, many] {
        let before = count();
        let mut other = Client::connect(node.addr);
        other.send(&flood);
        let mut last = other.answer();
        while last != "end" {
            assert!(last.contains("refused"), "{last}");
            last = other.answer();
        }
        assert!(count() - before <= 32, "{} requests reached a shelf", count() - before);
    }
    // A client that cancels now and then, among answers, is no flood.
    for tag in (1..200).step_by(2) {
        client.send(&[request(tag), undo(tag)].concat());
        endpoints.iter().for_each(|s| s.set_behavior(data()));
        assert_eq!(client.get(tag + 1, "docs", tag.into(), 7), format!("{} good ver=d1 some bytes", tag + 1));
    }
}

/// Guards against a break or garbage at one endpoint reaching a client where the other endpoint
/// could serve.
#[test]
fn a_failure_before_the_answer_is_retried_elsewhere() {
    let bad: [StubBehavior; 3] = [
        StubBehavior::CloseConnection,
        StubBehavior::RawBytes(b"+nonsense\r\n".to_vec()),
        StubBehavior::RawBytes(b"*4\r\n$99999999\r\n".to_vec()),
    ];
    for does in bad {
        let (_feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
        endpoints[0].set_behavior(does.clone());
        for n in 1..12 {
            assert_eq!(
                client.get(n, "docs", n.into(), n.into()),
                format!("{n} good ver=d1 some bytes"),
                "{does:?}"
            );
        }
        let bad = endpoints[0].count();
        assert!(bad > 0, "the shelf that breaks was never asked");
    }
}

/// Guards against passing on invalid answers, and against using a connection on which
/// one came: every request is served by the other endpoint. What belongs to no request is ignored.
#[test]
fn invalid_answers_are_not_passed_on() {
    let spoilt: [&'static [&'static str]; 7] = [
        &["ID data - spoilt"],
        &["ID data digest=,dated=1 spoilt"],
        &["ID data dated=1 spoilt"],
        &["ID unchanged digest=d1"],
        &["ID unchanged digest=d1,dated=1 spoilt"],
        &["ID well"],
        &["ID spoilt digest=d1"],
    ];
    for says in spoilt {
        let (_feed, _node, mut client, endpoints) = setup([StubBehavior::Responses(says), data(), data()]);
        for n in 1..12 {
            assert_eq!(
                client.get(n, "docs", n.into(), n.into()),
                format!("{n} good ver=d1 some bytes"),
                "{says:?}"
            );
        }
        let asked = endpoints[0].received();
        let mut conns: Vec<usize> = asked.iter().map(|a| a.conn).collect();
        conns.dedup();
        assert!(
            !asked.is_empty() && conns.len() == asked.len(),
            "{says:?}: a spoilt connection was used again"
        );
    }
    let more: &'static [&'static str] = &[
        "0000000000000bad data digest=d9 no",
        "ID data digest=d1 bytes",
        "ID data digest=d1 bytes",
        "7 well",
    ];
    let (_feed, _node, mut client, endpoints) =
        setup([StubBehavior::Responses(more), StubBehavior::Responses(more), data()]);
    for n in 1..40 {
        assert_eq!(client.get(n, "docs", n.into(), n.into()), format!("{n} good ver=d1 bytes"));
    }
    assert!(
        endpoints[0].received().iter().all(|a| a.conn < 2),
        "what is not the request's spoils no connection"
    );
    // A non-idempotent request's answer has no tag; one that can't be its answer leaves open
    // whether it ran.
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Responses(&["ID data - done"])));
    assert_eq!(client.get(50, "cert-filing", 50, 9), "50 good  done");
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Responses(&["ID unchanged digest=d1"])));
    assert_eq!(client.get(51, "cert-filing", 51, 9), "51 broken");
}

/// Guards against new attempts on a connection with an overdue answer: it may never bring another.
#[test]
fn a_connection_with_an_overdue_answer_is_not_used_again() {
    let (_feed, _node, mut client, endpoints) =
        setup([StubBehavior::NoAnswer, StubBehavior::NoAnswer, data()]);
    client.send_request(1, "docs", 90, ",obj=0000000000000007");
    assert_eq!(client.answer().split(' ').next(), Some("1"));
    let silent: Vec<(usize, usize)> = (0..2)
        .flat_map(|i| {
            endpoints[i].received().into_iter().filter(|a| a.rid.ends_with("5a")).map(move |a| (i, a.conn))
        })
        .collect();
    assert!(!silent.is_empty());
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    for n in 2..40 {
        client.get(n, "docs", n.into(), n.into());
    }
    for (i, conn) in silent {
        let late = endpoints[i]
            .received()
            .into_iter()
            .filter(|a| a.conn == conn && a.rid < format!("{:016x}", 40))
            .count();
        assert_eq!(late, 0, "work on the connection that owes an answer");
    }
}

/// Guards against attempts sent to an edge cache that has gone without notice: its address is
/// another's now.
#[test]
fn a_new_edge_cache_at_an_address_replaces_the_old_one() {
    let (feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    feed.publish_endpoints(false, &[endpoint_line("s-new", endpoints[0].addr, "std", "ready")]);
    feed.publish_endpoints(false, &[endpoint_line("s-new", endpoints[0].addr, "std", "gone")]);
    let mut tag = 0;
    wait_until("the end of work there", || {
        let before = endpoints[0].count();
        for _ in 0..40 {
            tag += 1;
            assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
        }
        (before == endpoints[0].count()).then_some(())
    });
}

/// Guards against a non-idempotent request that runs twice: after a complete write neither a reset,
/// an error nor silence lets it go out again, whatever the client is answered; and its id is not
/// accepted a second time.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_sent_again() {
    let (_feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    let mut rid = 100;
    for does in [
        StubBehavior::CloseConnection,
        StubBehavior::Status("failed"),
        StubBehavior::NoAnswer,
        StubBehavior::RawBytes(b"!\r\n".to_vec()),
    ] {
        endpoints.iter().for_each(|s| s.set_behavior(does.clone()));
        rid += 1;
        assert_eq!(client.get(rid, "cert-filing", rid.into(), 9), format!("{rid} broken"));
        assert_eq!(client.get(rid + 50, "cert-filing", rid.into(), 9), format!("{} broken", rid + 50));
        let runs =
            endpoints.iter().flat_map(StubEndpoint::received).filter(|a| a.rid == format!("{rid:016x}"));
        assert_eq!(runs.count(), 1, "{does:?}");
    }
    // What never ran is rejected and may be sent again, with the same body.
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("full")));
    assert!(client.get(200, "cert-filing", 200, 9).starts_with("200 refused"));
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    assert_eq!(client.get(201, "cert-filing", 200, 9), "201 good ver=d1 some bytes");
    let all: Vec<ReceivedAttempt> = endpoints.iter().flat_map(StubEndpoint::received).collect();
    assert!(all.iter().filter(|a| a.fields.contains("cert-filing")).all(|a| a.body == b"a body"));
}

/// Guards against attempts at a draining edge cache, or with one as fill source, later than 500 ms
/// after its drain was published.
#[test]
fn a_draining_edge_cache_gets_no_new_requests() {
    let (feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    let told = feed.publish_endpoints(false, &[endpoint_line("s-a", endpoints[0].addr, "std", "draining")]);
    let mut tag = 0;
    while told.elapsed() < Duration::from_millis(900) {
        tag += 1;
        assert_eq!(client.get(tag, "docs", tag.into(), tag.into()), format!("{tag} good ver=d1 some bytes"));
    }
    let late = told + Duration::from_millis(500);
    assert!(endpoints[0].received().iter().all(|a| a.at < late), "work after the drain");
    let after: Vec<ReceivedAttempt> = endpoints[1].received().into_iter().filter(|a| a.at >= late).collect();
    assert!(!after.is_empty() && after.iter().all(|a| !a.fields.contains("parent=s-a")));
}

/// Guards against the old copy after a purge, and against events lost while the feed is away.
#[test]
fn a_purge_bounds_the_age_of_copies_and_the_feed_is_resumed() {
    let (feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    feed.close_connections();
    feed.publish(&format!("\"purge\":{{\"key\":\"0000000000000007\",\"at\":{}}}", unix_ms()));
    wait_until("a new call", || (feed.resumed_after().len() > 1).then_some(()));
    assert_eq!(feed.resumed_after()[..2], [0, 1], "the second call names the last event");
    let mut tag = 0;
    let bound = wait_until("the purge", || {
        tag += 1;
        client.get(tag, "docs", tag.into(), 7);
        let last = endpoints[..2].iter().flat_map(StubEndpoint::received).max_by_key(|a| a.at)?.fields;
        let accept = last.split(',').find_map(|f| f.strip_prefix("accept="))?;
        accept.parse::<u64>().ok()
    });
    assert!(bound < 8_000, "no copy older than the purge will do, not {bound} ms");
}

/// Guards against what a feed that falls silent, or breaks off within an event, would have sent.
/// Every event is sent twice here.
#[test]
fn the_feed_is_reconnected_after_silence_and_after_half_an_event() {
    let (feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    feed.break_connections(2, 3);
    feed.close_connections();
    let told = feed.publish_endpoints(false, &[endpoint_line("s-a", endpoints[0].addr, "std", "gone")]);
    wait_until("a fourth call", || (feed.resumed_after().len() == 4).then_some(()));
    assert!(told.elapsed() < Duration::from_secs(4), "called again after {:?}", told.elapsed());
    assert_eq!(feed.resumed_after(), [0, 1, 1, 1], "half an event is not known");
    let mut tag = 0;
    wait_until("the event", || {
        let before = endpoints[0].count();
        for _ in 0..40 {
            tag += 1;
            assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
        }
        (before == endpoints[0].count()).then_some(())
    });
}

/// Guards against clients that connect after SIGTERM and are left waiting because accepting was
/// paused.
#[test]
fn new_clients_are_served_after_sigterm_with_all_descriptors_in_use() {
    let feed = StubFeed::start();
    let endpoints = [data(), data(), data()].map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let mut node = RouterProcess::with_socket_limit(&feed, 64);
    settled(&mut Client::connect(node.addr));
    let _silent: Vec<Client> = (0..60).map(|_| Client::connect(node.addr)).collect();
    node.signal("-TERM");
    let mut late = Client::connect(node.addr);
    assert_eq!(late.get(1, "docs", 78, 8), "1 good ver=d1 some bytes");
    let (status, said) = node.wait_for_exit();
    assert!(status.success() && said.last().unwrap().ends_with("invariants broken: 0"), "{said:?}");
}

/// Guards against connections to a process that has gone: its address belongs to another edge cache
/// now.
#[test]
fn a_reassigned_address_gets_new_connections() {
    let (feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    client.get(1, "docs", 1, 7);
    let [a, b, _] = &endpoints;
    let gone = |uid, addr| endpoint_line(uid, addr, "std", "gone");
    feed.publish_endpoints(
        false,
        &[gone("s-a", a.addr), gone("s-b", b.addr), endpoint_line("s-c", a.addr, "std", "ready")],
    );
    let before = b.count();
    let (mut tag, mut met) = (1, 0);
    wait_until("the new box", || {
        tag += 1;
        let count = a.count();
        assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
        met += usize::from(a.count() > count);
        (met > 5).then_some(())
    });
    let served = b.count();
    assert!(client.get(900, "docs", 900, 900).contains("good"));
    assert_eq!(b.count(), served, "work to a box that has gone, after {before}");
}

/// Guards against the origin being named as its own source when nothing else is left to ask.
#[test]
fn a_request_directly_to_the_origin_names_no_fill_source() {
    let (feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    let gone = |uid, endpoint: &StubEndpoint| endpoint_line(uid, endpoint.addr, "std", "gone");
    feed.publish_endpoints(false, &[gone("s-a", &endpoints[0]), gone("s-b", &endpoints[1])]);
    let mut tag = 0;
    wait_until("the origin", || {
        tag += 1;
        client.get(tag, "cert-filing", tag.into(), 9);
        (endpoints[2].count() > 0).then_some(())
    });
    assert!(!endpoints[2].received()[0].fields.contains("parent="), "{:?}", endpoints[2].received()[0]);
}

/// Guards against an answer to a client that has left, and against its attempt going on.
#[test]
fn a_cancelled_request_is_not_answered_and_its_attempt_is_cancelled() {
    let (_feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoAnswer));
    client.send_request(1, "docs", 77, ",obj=0000000000000007");
    let quits = || endpoints.iter().flat_map(|s| s.cancelled()).collect::<Vec<_>>();
    wait_until("the attempt", || {
        endpoints.iter().any(|s| s.received().iter().any(|a| a.rid.ends_with("4d"))).then_some(())
    });
    client.send(&resp_array(&[b"UNDO", b"1"]));
    wait_until("the end of the attempt", || quits().contains(&format!("{:016x}", 77)).then_some(()));
    client.send(&resp_array(&[b"PING", b"2", b""]));
    assert_eq!(client.answer(), "2 fit");
    // And with no client leaving, a deadline brings the one final answer in time.
    let start = Instant::now();
    assert_eq!(client.get(3, "cert-filing", 78, 7), "3 broken");
    assert!(start.elapsed() >= Duration::from_millis(1_400), "{:?}", start.elapsed());
}

/// Guards against SIGHUP ending the program, against events lost between the old feed and the new
/// one, and against a file that can't be used.
#[test]
fn sighup_connects_to_the_feed_of_the_new_configuration() {
    let (old, node, mut client, endpoints) = setup([data(), data(), data()]);
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoAnswer));
    client.send_request(1, "cert-filing", 77, ",obj=0000000000000007");
    for unusable in ["{", &config(old.addr).replace("\"sendCap\":6", "\"sendCap\":0")] {
        node.reload(unusable);
        node.wait_for_log("configuration rejected, the old one stays in force");
    }
    // The new feed has the events of the old one, and more.
    let new = StubFeed::start();
    new.publish_endpoints(true, &endpoint_lines(&endpoints));
    new.publish_endpoints(false, &[endpoint_line("s-a", endpoints[0].addr, "std", "gone")]);
    for calls in 1..4 {
        node.reload(&config(new.addr));
        wait_until("a call at once", || (new.resumed_after().len() == calls).then_some(()));
    }
    assert_eq!(new.resumed_after()[0], 1, "the numbers continue");
    assert_eq!(old.resumed_after().len(), 1, "the old feed is not called again");
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    assert_eq!(client.answer(), "1 broken", "the open request is still answered");
    let before = endpoints[0].count();
    for n in 2..30 {
        assert!(client.get(n, "docs", n.into(), n.into()).contains("good"));
    }
    assert_eq!(endpoints[0].count(), before, "what only the new feed tells is heeded");
}

#[test]
fn sigterm_finishes_open_requests_and_exits_cleanly() {
    let (_feed, mut node, mut client, endpoints) = setup([data(), data(), data()]);
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoAnswer));
    client.send_request(1, "cert-filing", 77, ",obj=0000000000000007");
    wait_until("the attempt", || {
        endpoints.iter().any(|s| s.received().iter().any(|a| a.rid.ends_with("4d"))).then_some(())
    });
    node.signal("-TERM");
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    let mut late = Client::connect(node.addr);
    assert_eq!(
        late.get(1, "docs", 78, 8),
        "1 good ver=d1 some bytes",
        "new connections are served for a while"
    );
    assert_eq!(client.answer(), "1 broken", "the open request is answered at its deadline");
    let (status, said) = node.wait_for_exit();
    assert!(status.success());
    let counted = said.last().unwrap().split("requests: ").nth(1).unwrap();
    let (endpoints, rest) = counted.split_once(" attempts").unwrap();
    assert!(endpoints.contains("1 failed"), "{counted}");
    insta::assert_snapshot!(rest, @", 0 lookups; invariants broken: 0");
}

/// Guards against panics on whatever an endpoint sends: answers with bytes changed, in an order
/// that is the same in every run. Each request still gets one answer that the protocol knows.
#[test]
fn broken_answers_of_endpoints_do_not_stop_service() {
    let (_feed, mut node, mut client, endpoints) = setup([data(), data(), data()]);
    let mut number = 0x2545_f491_4f6c_dd1d_u64;
    for n in 1..300_u32 {
        let rid = format!("{n:016x}");
        let mut answer = resp_array(&[rid.as_bytes(), b"data", b"digest=d1,dated=1", b"some bytes"]);
        for _ in 0..2 {
            number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let at = (number >> 33) as usize % answer.len();
            answer[at] = (number >> 20) as u8;
        }
        endpoints[..2].iter().for_each(|s| s.set_behavior(StubBehavior::RawBytes(answer.clone())));
        client.send_request(n, "docs", n.into(), ",obj=0000000000000007");
        // The client gives up if an answer hangs.
        client.send(&resp_array(&[b"UNDO", n.to_string().as_bytes()]));
        client.send(&resp_array(&[b"PING", (n + 1_000).to_string().as_bytes(), b""]));
        let mut answer = client.answer();
        while !answer.ends_with("fit") {
            assert!(["good", "refused", "broken"].contains(&answer.split(' ').nth(1).unwrap()), "{answer}");
            answer = client.answer();
        }
    }
    assert!(node.child.try_wait().unwrap().is_none());
    assert!(endpoints[..2].iter().map(StubEndpoint::count).sum::<usize>() > 100);
}

/// Guards against panics on what the endpoint feed sends, and against losing what comes after it.
#[test]
fn broken_events_of_the_feed_are_skipped() {
    let (feed, _node, mut client, endpoints) = setup([data(), data(), data()]);
    for event in [
        "\"members\":7",
        "\"members\":{\"targets\":[{\"uid\":\"s-a\",\"state\":\"asleep\"}]}",
        "\"purge\":{\"at\":1}",
        "\"purge\":{\"key\":\"zz\",\"at\":1}",
        "\"purge\":{\"group\":3,\"at\":99999999999999999999}",
        "\"news\":[]",
        "}{",
    ] {
        feed.publish(event);
    }
    feed.publish_endpoints(false, &[endpoint_line("s-a", endpoints[0].addr, "std", "gone")]);
    let mut tag = 0;
    wait_until("the last event", || {
        let before = endpoints[0].count();
        let some = (0..10).all(|_| {
            tag += 1;
            client.get(tag, "docs", tag.into(), tag.into()).contains("good")
        });
        (some && before == endpoints[0].count()).then_some(())
    });
}

/// Guards against more descriptors than are allowed, and against connections that wait for ever, or
/// keep the event loop busy, while a third of the descriptors is taken.
#[test]
fn clients_hold_a_third_of_the_descriptors_at_most() {
    let feed = StubFeed::start();
    let node = RouterProcess::with_socket_limit(&feed, 64);
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(node.addr)).collect();
    let fds = std::path::PathBuf::from(format!("/proc/{}/fd", node.child.id()));
    for client in &mut clients {
        client.send(&resp_array(&[b"PING", b"1", b""]));
        // An idle connection is closed for one that waits; none of those answered is.
        assert_eq!(client.answer(), "1 fit");
        let open = std::fs::read_dir(&fds).unwrap().count();
        assert!(open <= 64 / 3 + 12, "{open} descriptors");
    }
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let feed: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    let good = config(feed);
    let operator = temp_file("operator.json5", "{dns: {zone: 'a..b', listen: '127.0.0.1:0'}}");
    let operator = operator.to_str().unwrap();
    let cases: Vec<(String, Vec<&str>, &str)> = vec![
        ("{".into(), vec![], "EOF while parsing"),
        (
            good.replace("\"retryable\"", "\"often\""),
            vec![],
            "setting classes.0.effect: can't read \"often\"",
        ),
        (good.replace("\"sendCap\":6", "\"sendCap\":0"), vec![], "max_attempts"),
        (good.replace("8c1f30d27a5be964", "seed"), vec![], "not a hex number"),
        (good.clone(), vec!["serve", "--operator", operator], "dns.zone: is no domain name"),
    ];
    for (text, args, says) in cases {
        let out = hollymux_command(&temp_file("config.json", &text), &args).output().unwrap();
        let err = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && err.contains(says) && err.lines().count() == 1, "{says}: {err}");
    }
}
