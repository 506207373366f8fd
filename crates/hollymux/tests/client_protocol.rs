//! The platform's protocol: the program as a process, with clients, endpoints and an endpoint feed.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// Starts a feed, a router, and a client that has waited until two edge caches and the origin are
/// listed.
fn setup(behaviors: [StubBehavior; 3]) -> (StubFeed, RouterProcess, Client, [StubEndpoint; 3]) {
    let feed = StubFeed::start();
    let endpoints = behaviors.map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let router = RouterProcess::start(&feed);
    let mut client = Client::connect(router.addr);
    wait_for_endpoint_list(&mut client);
    (feed, router, client, endpoints)
}

/// Sends requests until one is not rejected: before the router knows the endpoint list, it rejects
/// all of them.
fn wait_for_endpoint_list(client: &mut Client) {
    let mut tag = 1_000_000;
    wait_until("the router to know the endpoint list", || {
        tag += 1;
        Some(client.get(tag, "docs", u64::from(tag), 5)).filter(|a| !a.contains("refused"))
    });
}

fn data() -> StubBehavior {
    StubBehavior::Data(b"some bytes".to_vec())
}

/// Guards against responses under a wrong tag, and against requests that get no response because
/// their class or fields are invalid.
#[test]
fn each_response_carries_the_tag_of_its_request() {
    let (_feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
    let mut responses = Vec::new();
    client.send(&resp_array(&[b"PING", b"1", b""]));
    responses.push(client.read_response());
    responses.push(client.get(2, "docs", 2, 7));
    // A well-formed request with an unknown class or with invalid fields gets one failure response.
    responses.push(client.get(3, "no-such-class", 3, 7));
    client.send_request(4, "docs", 4, ",obj=seven");
    responses.push(client.read_response());
    client.send_request(5, "docs", 5, "");
    responses.push(client.read_response());
    client.send_request(8, "docs", 8, ",obj=0000000000000007,ver=d1\r\n");
    responses.push(client.read_response());
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("unchanged")));
    client.send_request(6, "docs", 6, ",obj=0000000000000007,ver=d1");
    responses.push(client.read_response());
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("absent")));
    let rejected = client.get(7, "docs", 7, 7);
    let (head, wait) = rejected.split_once('=').unwrap();
    assert!((500..=1000).contains(&wait.parse::<u32>().unwrap()), "{rejected}");
    responses.push(head.to_string());
    insta::assert_snapshot!(responses.join("\n"), @r"
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
    let with_version = fields.iter().find(|f| f.contains("got")).unwrap();
    let with_version: Vec<&str> = with_version.split(',').filter(|f| !f.starts_with("max=")).collect();
    insta::assert_snapshot!(with_version.join(" "), @"profile=docs thing=0000000000000007 nth=0 parent=s-o shelf=2 hints=freshen got=d1");
}

/// Guards against malformed bytes of one client affecting other connections, and against allocating
/// buffers for lengths above the limit.
#[test]
fn malformed_frames_close_only_their_connection() {
    let (_feed, mut router, mut client, _endpoints) = setup([data(), data(), data()]);
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
        let mut other = Client::connect(router.addr);
        other.send(case);
        assert_eq!(other.read_response(), "end", "{}", String::from_utf8_lossy(case));
    }
    assert_eq!(client.get(1, "docs", 1, 7), "1 good ver=d1 some bytes");
    assert!(router.child.try_wait().unwrap().is_none());
}

/// Guards against clients that hold descriptors while they send nothing or half a message. Each
/// must be closed within 3 s of connecting, and a client that sends a request must get in
/// meanwhile.
#[test]
fn silent_clients_are_closed_first_when_descriptors_are_needed() {
    let feed = StubFeed::start();
    let endpoints = [data(), data(), data()].map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let router = RouterProcess::with_socket_limit(&feed, 64);
    let start = Instant::now();
    let half = resp_array(&[b"DO", b"1", b"docs", b"rid=1"]);
    let mut silent: Vec<Client> = (0..120).map(|_| Client::connect(router.addr)).collect();
    silent.iter_mut().step_by(2).for_each(|silent_client| silent_client.send(&half[..20]));
    let mut client = Client::connect(router.addr);
    wait_for_endpoint_list(&mut client);
    assert!(
        start.elapsed() < Duration::from_millis(2_500),
        "the first request was served after {:?}",
        start.elapsed()
    );
    for silent_client in &mut silent {
        assert_eq!(silent_client.read_response(), "end");
    }
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "the last silent client was closed after {:?}",
        start.elapsed()
    );
    assert_eq!(client.get(1, "docs", 1, 7), "1 good ver=d1 some bytes");
}

/// Guards against serving a request under an id or a tag of another request, and against timeouts
/// that would keep a request open for an hour.
#[test]
fn invalid_ids_tags_and_timeouts_are_not_served() {
    let (_feed, router, mut client, endpoints) = setup([data(), data(), data()]);
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoResponse));
    client.send_request(1, "docs", 70, ",obj=0000000000000007");
    wait_until("the attempt to arrive at an endpoint", || {
        endpoints.iter().any(|s| s.received().iter().any(|a| a.rid.ends_with("46"))).then_some(())
    });
    let mut other = Client::connect(router.addr);
    assert_eq!(
        other.get(1, "docs", 70, 8),
        "1 broken",
        "a second request with the id of an open one was accepted"
    );
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    for (tag, budget) in [(2, "0"), (3, "-5"), (4, "3600000"), (5, "99999999999999999999"), (6, "many")] {
        let fields = format!("rid={tag:016x},budget={budget},piece=0,lot=17,obj=0000000000000007");
        other.send(&resp_array(&[b"DO", (tag + 90).to_string().as_bytes(), b"docs", fields.as_bytes(), b""]));
    }
    let mut responses: Vec<String> = (0..5).map(|_| other.read_response()).collect();
    responses.sort();
    insta::assert_snapshot!(responses.join(" "), @"92 broken 93 broken 94 broken 95 broken 96 broken");
    assert_eq!(other.get(7, "docs", 7, 7), "7 good ver=d1 some bytes");
    assert_eq!(other.get(7, "docs", 8, 7), "end", "a tag was accepted a second time");
    assert_eq!(client.read_response(), "1 broken", "the first request got no response of its own");
}

/// Guards against sending attempts for requests that are cancelled at once, and against floods of
/// requests reaching the endpoints.
#[test]
fn a_flood_closes_its_own_connection_and_few_of_its_requests_reach_an_endpoint() {
    let (_feed, router, mut client, endpoints) = setup([data(), data(), data()]);
    let count = || endpoints.iter().map(StubEndpoint::count).sum::<usize>();
    let request = |tag: u32| {
        let fields = format!("rid={:016x},budget=1500,piece=0,lot=17,obj={tag:016x}", 5_000 + tag);
        resp_array(&[b"DO", tag.to_string().as_bytes(), b"docs", fields.as_bytes(), b""])
    };
    let cancel = |tag: u32| resp_array(&[b"UNDO", tag.to_string().as_bytes()]);
    let cancelled_requests: Vec<u8> = (1..=100).flat_map(|t| [request(t), cancel(t)].concat()).collect();
    let requests_only: Vec<u8> = (1..=100).flat_map(request).collect();
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoResponse));
    for flood in [cancelled_requests, requests_only] {
        let count_before = count();
        let mut other = Client::connect(router.addr);
        other.send(&flood);
        let mut last = other.read_response();
        while last != "end" {
            assert!(last.contains("refused"), "{last}");
            last = other.read_response();
        }
        assert!(count() - count_before <= 32, "{} attempts reached an endpoint", count() - count_before);
    }
    // A client that cancels some requests, and gets responses to others, is not a flood.
    for tag in (1..200).step_by(2) {
        client.send(&[request(tag), cancel(tag)].concat());
        endpoints.iter().for_each(|s| s.set_behavior(data()));
        assert_eq!(client.get(tag + 1, "docs", tag.into(), 7), format!("{} good ver=d1 some bytes", tag + 1));
    }
}

/// Guards against passing a failed connection or malformed response of one endpoint on to the
/// client while the other endpoint can serve the request.
#[test]
fn a_failure_before_the_response_is_retried_at_another_endpoint() {
    let failures: [StubBehavior; 3] = [
        StubBehavior::CloseConnection,
        StubBehavior::RawBytes(b"+nonsense\r\n".to_vec()),
        StubBehavior::RawBytes(b"*4\r\n$99999999\r\n".to_vec()),
    ];
    for behavior in failures {
        let (_feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
        endpoints[0].set_behavior(behavior.clone());
        for tag in 1..12 {
            assert_eq!(
                client.get(tag, "docs", tag.into(), tag.into()),
                format!("{tag} good ver=d1 some bytes"),
                "{behavior:?}"
            );
        }
        let failed_attempts = endpoints[0].count();
        assert!(failed_attempts > 0, "no attempt was sent to the failing endpoint");
    }
}

/// Guards against passing on invalid responses, and against reusing a connection that carried one:
/// every request must be served by the other endpoint. Responses that belong to no request are
/// ignored.
#[test]
fn invalid_responses_are_not_passed_on() {
    let invalid_responses: [&'static [&'static str]; 7] = [
        &["ID data - spoilt"],
        &["ID data digest=,dated=1 spoilt"],
        &["ID data dated=1 spoilt"],
        &["ID unchanged digest=d1"],
        &["ID unchanged digest=d1,dated=1 spoilt"],
        &["ID well"],
        &["ID spoilt digest=d1"],
    ];
    for responses in invalid_responses {
        let (_feed, _router, mut client, endpoints) =
            setup([StubBehavior::Responses(responses), data(), data()]);
        for tag in 1..12 {
            assert_eq!(
                client.get(tag, "docs", tag.into(), tag.into()),
                format!("{tag} good ver=d1 some bytes"),
                "{responses:?}"
            );
        }
        let received = endpoints[0].received();
        let mut connections: Vec<usize> = received.iter().map(|a| a.connection).collect();
        connections.dedup();
        assert!(
            !received.is_empty() && connections.len() == received.len(),
            "{responses:?}: a connection with an invalid response was used again"
        );
    }
    let unrelated: &'static [&'static str] = &[
        "0000000000000bad data digest=d9 no",
        "ID data digest=d1 bytes",
        "ID data digest=d1 bytes",
        "7 well",
    ];
    let (_feed, _router, mut client, endpoints) =
        setup([StubBehavior::Responses(unrelated), StubBehavior::Responses(unrelated), data()]);
    for tag in 1..40 {
        assert_eq!(client.get(tag, "docs", tag.into(), tag.into()), format!("{tag} good ver=d1 bytes"));
    }
    assert!(
        endpoints[0].received().iter().all(|a| a.connection < 2),
        "a connection was closed because of a response that belongs to no request"
    );
    // The response to a non-idempotent request has no version tag. After an invalid response it is
    // unknown whether the request was executed.
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Responses(&["ID data - done"])));
    assert_eq!(client.get(50, "cert-filing", 50, 9), "50 good  done");
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Responses(&["ID unchanged digest=d1"])));
    assert_eq!(client.get(51, "cert-filing", 51, 9), "51 broken");
}

/// Guards against sending attempts on a connection whose response is overdue: the endpoint may
/// never respond on it again.
#[test]
fn a_connection_with_an_overdue_response_is_not_used_again() {
    let (_feed, _router, mut client, endpoints) =
        setup([StubBehavior::NoResponse, StubBehavior::NoResponse, data()]);
    client.send_request(1, "docs", 90, ",obj=0000000000000007");
    assert_eq!(client.read_response().split(' ').next(), Some("1"));
    let overdue: Vec<(usize, usize)> = (0..2)
        .flat_map(|index| {
            endpoints[index]
                .received()
                .into_iter()
                .filter(|a| a.rid.ends_with("5a"))
                .map(move |a| (index, a.connection))
        })
        .collect();
    assert!(!overdue.is_empty());
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    for tag in 2..40 {
        client.get(tag, "docs", tag.into(), tag.into());
    }
    for (index, connection) in overdue {
        let later_attempts = endpoints[index]
            .received()
            .into_iter()
            .filter(|a| a.connection == connection && a.rid < format!("{:016x}", 40))
            .count();
        assert_eq!(later_attempts, 0, "attempts on a connection with an overdue response");
    }
}

/// Guards against attempts at a removed edge cache whose removal was never announced: another
/// endpoint is listed at its address.
#[test]
fn a_new_edge_cache_at_an_address_replaces_the_old_one() {
    let (feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
    feed.publish_endpoints(false, &[endpoint_line("s-new", endpoints[0].addr, "std", "ready")]);
    feed.publish_endpoints(false, &[endpoint_line("s-new", endpoints[0].addr, "std", "gone")]);
    let mut tag = 0;
    wait_until("the end of attempts at the old edge cache", || {
        let count_before = endpoints[0].count();
        for _ in 0..40 {
            tag += 1;
            assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
        }
        (count_before == endpoints[0].count()).then_some(())
    });
}

/// Guards against executing a non-idempotent request twice. Once it was written completely, neither
/// a connection reset nor an error nor a timeout may cause another attempt, and its id must not be
/// accepted again.
#[test]
fn a_non_idempotent_request_that_may_have_been_executed_is_never_sent_again() {
    let (_feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
    let mut rid = 100;
    for behavior in [
        StubBehavior::CloseConnection,
        StubBehavior::Status("failed"),
        StubBehavior::NoResponse,
        StubBehavior::RawBytes(b"!\r\n".to_vec()),
    ] {
        endpoints.iter().for_each(|s| s.set_behavior(behavior.clone()));
        rid += 1;
        assert_eq!(client.get(rid, "cert-filing", rid.into(), 9), format!("{rid} broken"));
        assert_eq!(client.get(rid + 50, "cert-filing", rid.into(), 9), format!("{} broken", rid + 50));
        let runs =
            endpoints.iter().flat_map(StubEndpoint::received).filter(|a| a.rid == format!("{rid:016x}"));
        assert_eq!(runs.count(), 1, "{behavior:?}");
    }
    // A request that was not executed is rejected and may be sent again under its id, with the same
    // body.
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("full")));
    assert!(client.get(200, "cert-filing", 200, 9).starts_with("200 refused"));
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    assert_eq!(client.get(201, "cert-filing", 200, 9), "201 good ver=d1 some bytes");
    let all: Vec<ReceivedAttempt> = endpoints.iter().flat_map(StubEndpoint::received).collect();
    assert!(all.iter().filter(|a| a.fields.contains("cert-filing")).all(|a| a.body == b"a body"));
}

/// Guards against attempts at a draining edge cache, or with it as fill source, later than 500 ms
/// after the drain was published.
#[test]
fn a_draining_edge_cache_gets_no_new_requests() {
    let (feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
    let published_at =
        feed.publish_endpoints(false, &[endpoint_line("s-a", endpoints[0].addr, "std", "draining")]);
    let mut tag = 0;
    while published_at.elapsed() < Duration::from_millis(900) {
        tag += 1;
        assert_eq!(client.get(tag, "docs", tag.into(), tag.into()), format!("{tag} good ver=d1 some bytes"));
    }
    let deadline = published_at + Duration::from_millis(500);
    assert!(
        endpoints[0].received().iter().all(|a| a.at < deadline),
        "attempts at the edge cache after its drain"
    );
    let after: Vec<ReceivedAttempt> =
        endpoints[1].received().into_iter().filter(|a| a.at >= deadline).collect();
    assert!(!after.is_empty() && after.iter().all(|a| !a.fields.contains("parent=s-a")));
}

/// Guards against serving copies older than a purge, and against losing events published while the
/// connection to the feed is closed.
#[test]
fn a_purge_bounds_the_age_of_copies_and_the_feed_is_resumed() {
    let (feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
    feed.close_connections();
    feed.publish(&format!("\"purge\":{{\"key\":\"0000000000000007\",\"at\":{}}}", unix_ms()));
    wait_until("a new connection to the feed", || (feed.resumed_after().len() > 1).then_some(()));
    assert_eq!(
        feed.resumed_after()[..2],
        [0, 1],
        "the second connection did not resume after the last event"
    );
    let mut tag = 0;
    let max_age_ms = wait_until("the purge", || {
        tag += 1;
        client.get(tag, "docs", tag.into(), 7);
        let last = endpoints[..2].iter().flat_map(StubEndpoint::received).max_by_key(|a| a.at)?.fields;
        let accept = last.split(',').find_map(|f| f.strip_prefix("accept="))?;
        accept.parse::<u64>().ok()
    });
    assert!(max_age_ms < 8_000, "copies older than the purge are accepted: {max_age_ms} ms");
}

/// Guards against losing events when a feed falls silent or closes the connection within an event.
/// The stub feed sends every event twice.
#[test]
fn the_feed_is_reconnected_after_silence_and_after_half_an_event() {
    let (feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
    feed.break_connections(2, 3);
    feed.close_connections();
    let published_at =
        feed.publish_endpoints(false, &[endpoint_line("s-a", endpoints[0].addr, "std", "gone")]);
    wait_until("a fourth connection to the feed", || (feed.resumed_after().len() == 4).then_some(()));
    assert!(
        published_at.elapsed() < Duration::from_secs(4),
        "reconnected after {:?}",
        published_at.elapsed()
    );
    assert_eq!(feed.resumed_after(), [0, 1, 1, 1], "an incomplete event was counted as received");
    let mut tag = 0;
    wait_until("the edge cache to get no more attempts", || {
        let count_before = endpoints[0].count();
        for _ in 0..40 {
            tag += 1;
            assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
        }
        (count_before == endpoints[0].count()).then_some(())
    });
}

/// Guards against clients that connect after SIGTERM and never get a response, because the router
/// had stopped accepting for lack of descriptors.
#[test]
fn new_clients_are_served_after_sigterm_with_all_descriptors_in_use() {
    let feed = StubFeed::start();
    let endpoints = [data(), data(), data()].map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let mut router = RouterProcess::with_socket_limit(&feed, 64);
    wait_for_endpoint_list(&mut Client::connect(router.addr));
    let _silent: Vec<Client> = (0..60).map(|_| Client::connect(router.addr)).collect();
    router.signal("-TERM");
    let mut new_client = Client::connect(router.addr);
    assert_eq!(new_client.get(1, "docs", 78, 8), "1 good ver=d1 some bytes");
    let (status, log) = router.wait_for_exit();
    assert!(status.success() && log.last().unwrap().ends_with("invariants broken: 0"), "{log:?}");
}

/// Guards against sending attempts on old connections after the address was reassigned to another
/// edge cache.
#[test]
fn a_reassigned_address_gets_new_connections() {
    let (feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
    client.get(1, "docs", 1, 7);
    let [first, second, _] = &endpoints;
    let gone = |uid, addr| endpoint_line(uid, addr, "std", "gone");
    feed.publish_endpoints(
        false,
        &[
            gone("s-a", first.addr),
            gone("s-b", second.addr),
            endpoint_line("s-c", first.addr, "std", "ready"),
        ],
    );
    let count_before = second.count();
    let (mut tag, mut new_attempts) = (1, 0);
    wait_until("attempts at the new edge cache", || {
        tag += 1;
        let count = first.count();
        assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
        new_attempts += usize::from(first.count() > count);
        (new_attempts > 5).then_some(())
    });
    let count_at_old = second.count();
    assert!(client.get(900, "docs", 900, 900).contains("good"));
    assert_eq!(
        second.count(),
        count_at_old,
        "attempts at a removed edge cache, {count_before} before its removal"
    );
}

/// Guards against naming the origin as its own fill source when no other endpoint is left.
#[test]
fn a_request_directly_to_the_origin_names_no_fill_source() {
    let (feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
    let gone = |uid, endpoint: &StubEndpoint| endpoint_line(uid, endpoint.addr, "std", "gone");
    feed.publish_endpoints(false, &[gone("s-a", &endpoints[0]), gone("s-b", &endpoints[1])]);
    let mut tag = 0;
    wait_until("an attempt at the origin", || {
        tag += 1;
        client.get(tag, "cert-filing", tag.into(), 9);
        (endpoints[2].count() > 0).then_some(())
    });
    assert!(!endpoints[2].received()[0].fields.contains("parent="), "{:?}", endpoints[2].received()[0]);
}

/// Guards against responding to a cancelled request, and against leaving its attempt in flight.
#[test]
fn a_cancelled_request_gets_no_response_and_its_attempt_is_cancelled() {
    let (_feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoResponse));
    client.send_request(1, "docs", 77, ",obj=0000000000000007");
    let cancelled_attempts = || endpoints.iter().flat_map(|s| s.cancelled()).collect::<Vec<_>>();
    wait_until("the attempt to arrive at an endpoint", || {
        endpoints.iter().any(|s| s.received().iter().any(|a| a.rid.ends_with("4d"))).then_some(())
    });
    client.send(&resp_array(&[b"UNDO", b"1"]));
    wait_until("the cancellation of the attempt", || {
        cancelled_attempts().contains(&format!("{:016x}", 77)).then_some(())
    });
    client.send(&resp_array(&[b"PING", b"2", b""]));
    assert_eq!(client.read_response(), "2 fit");
    // Without a cancellation, the request fails at its deadline with one final response.
    let start = Instant::now();
    assert_eq!(client.get(3, "cert-filing", 78, 7), "3 broken");
    assert!(start.elapsed() >= Duration::from_millis(1_400), "{:?}", start.elapsed());
}

/// Guards against SIGHUP ending the program, against losing events in the change from one feed to
/// another, and against applying an invalid configuration.
#[test]
fn sighup_connects_to_the_feed_of_the_new_configuration() {
    let (old_feed, router, mut client, endpoints) = setup([data(), data(), data()]);
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoResponse));
    client.send_request(1, "cert-filing", 77, ",obj=0000000000000007");
    for unusable in ["{", &config(old_feed.addr).replace("\"sendCap\":6", "\"sendCap\":0")] {
        router.reload(unusable);
        router.wait_for_log("configuration rejected, the old one stays in force");
    }
    // The new feed has all events of the old one and one more.
    let new_feed = StubFeed::start();
    new_feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    new_feed.publish_endpoints(false, &[endpoint_line("s-a", endpoints[0].addr, "std", "gone")]);
    for connections in 1..4 {
        router.reload(&config(new_feed.addr));
        wait_until("an immediate connection to the new feed", || {
            (new_feed.resumed_after().len() == connections).then_some(())
        });
    }
    assert_eq!(new_feed.resumed_after()[0], 1, "the new feed was not resumed after the last event");
    assert_eq!(old_feed.resumed_after().len(), 1, "the router connected to the old feed again");
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    assert_eq!(client.read_response(), "1 broken", "the open request got no response after the reload");
    let count_before = endpoints[0].count();
    for tag in 2..30 {
        assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
    }
    assert_eq!(endpoints[0].count(), count_before, "an event that only the new feed has was ignored");
}

/// Guards against a SIGTERM that drops an open request or refuses new clients at once, and against
/// an exit with a violated invariant.
#[test]
fn sigterm_finishes_open_requests_and_exits_cleanly() {
    let (_feed, mut router, mut client, endpoints) = setup([data(), data(), data()]);
    endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoResponse));
    client.send_request(1, "cert-filing", 77, ",obj=0000000000000007");
    wait_until("the attempt to arrive at an endpoint", || {
        endpoints.iter().any(|s| s.received().iter().any(|a| a.rid.ends_with("4d"))).then_some(())
    });
    router.signal("-TERM");
    endpoints.iter().for_each(|s| s.set_behavior(data()));
    let mut new_client = Client::connect(router.addr);
    assert_eq!(
        new_client.get(1, "docs", 78, 8),
        "1 good ver=d1 some bytes",
        "a new connection was not served right after SIGTERM"
    );
    assert_eq!(client.read_response(), "1 broken", "the open request got no response at its deadline");
    let (status, log) = router.wait_for_exit();
    assert!(status.success());
    let summary = log.last().unwrap().split("requests: ").nth(1).unwrap();
    let (endpoints, rest) = summary.split_once(" attempts").unwrap();
    assert!(endpoints.contains("1 failed"), "{summary}");
    insta::assert_snapshot!(rest, @", 0 lookups; invariants broken: 0");
}

/// Guards against panics on malformed responses of endpoints: bytes are replaced in an order that
/// is the same in every run. Each request must still get one valid response.
#[test]
fn malformed_responses_of_endpoints_do_not_stop_service() {
    let (_feed, mut router, mut client, endpoints) = setup([data(), data(), data()]);
    let mut random = 0x2545_f491_4f6c_dd1d_u64;
    for tag in 1..300_u32 {
        let rid = format!("{tag:016x}");
        let mut response = resp_array(&[rid.as_bytes(), b"data", b"digest=d1,dated=1", b"some bytes"]);
        for _ in 0..2 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let at = (random >> 33) as usize % response.len();
            response[at] = (random >> 20) as u8;
        }
        endpoints[..2].iter().for_each(|s| s.set_behavior(StubBehavior::RawBytes(response.clone())));
        client.send_request(tag, "docs", tag.into(), ",obj=0000000000000007");
        // Cancel, so that a hanging response doesn't block the test.
        client.send(&resp_array(&[b"UNDO", tag.to_string().as_bytes()]));
        client.send(&resp_array(&[b"PING", (tag + 1_000).to_string().as_bytes(), b""]));
        let mut response = client.read_response();
        while !response.ends_with("fit") {
            assert!(
                ["good", "refused", "broken"].contains(&response.split(' ').nth(1).unwrap()),
                "{response}"
            );
            response = client.read_response();
        }
    }
    assert!(router.child.try_wait().unwrap().is_none());
    assert!(endpoints[..2].iter().map(StubEndpoint::count).sum::<usize>() > 100);
}

/// Guards against panics on malformed events of the endpoint feed, and against losing the events
/// after them.
#[test]
fn malformed_events_of_the_feed_are_skipped() {
    let (feed, _router, mut client, endpoints) = setup([data(), data(), data()]);
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
    wait_until("the last event to be applied", || {
        let count_before = endpoints[0].count();
        let all_served = (0..10).all(|_| {
            tag += 1;
            client.get(tag, "docs", tag.into(), tag.into()).contains("good")
        });
        (all_served && count_before == endpoints[0].count()).then_some(())
    });
}

/// Guards against exceeding the descriptor limit, and against connections that wait forever or keep
/// the event loop busy while clients hold their third of the descriptors.
#[test]
fn clients_hold_at_most_a_third_of_the_descriptors() {
    let feed = StubFeed::start();
    let router = RouterProcess::with_socket_limit(&feed, 64);
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(router.addr)).collect();
    let fds = std::path::PathBuf::from(format!("/proc/{}/fd", router.child.id()));
    for client in &mut clients {
        client.send(&resp_array(&[b"PING", b"1", b""]));
        // Idle connections are closed in favour of waiting ones, but none of those that got
        // responses.
        assert_eq!(client.read_response(), "1 fit");
        let open = std::fs::read_dir(&fds).unwrap().count();
        assert!(open <= 64 / 3 + 12, "{open} descriptors are open");
    }
}

/// Guards against a start with an invalid configuration, and against an error that doesn't name the
/// mistake in one line.
#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let feed: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    let valid = config(feed);
    let operator = temp_file("operator.json5", "{dns: {zone: 'a..b', listen: '127.0.0.1:0'}}");
    let operator = operator.to_str().unwrap();
    let cases: Vec<(String, Vec<&str>, &str)> = vec![
        ("{".into(), vec![], "EOF while parsing"),
        (
            valid.replace("\"retryable\"", "\"often\""),
            vec![],
            "setting classes.0.effect: can't read \"often\"",
        ),
        (valid.replace("\"sendCap\":6", "\"sendCap\":0"), vec![], "max_attempts"),
        (valid.replace("8c1f30d27a5be964", "seed"), vec![], "not a hex number"),
        (valid.clone(), vec!["serve", "--operator", operator], "dns.zone: is no domain name"),
    ];
    for (text, args, message) in cases {
        let out = hollymux_command(&temp_file("config.json", &text), &args).output().unwrap();
        let err = String::from_utf8(out.stderr).unwrap();
        assert!(
            !out.status.success() && err.contains(message) && err.lines().count() == 1,
            "{message}: {err}"
        );
    }
}
