//! The admin endpoint as operators use it: metrics, standby, and reloading the configuration.

mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

struct Setup {
    feed: StubFeed,
    router: RouterProcess,
    admin: SocketAddr,
    endpoints: [StubEndpoint; 3],
}

fn setup(behavior: StubBehavior) -> Setup {
    let feed = StubFeed::start();
    let endpoints = [behavior.clone(), behavior.clone(), behavior].map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let router = RouterProcess::with_config(&with_admin_endpoint(&config(feed.addr)));
    let admin = admin_address(&router);
    wait_until("the router to be ready", || (admin_call(admin, "GET /status").0 == 200).then_some(()));
    wait_until("the router to know the endpoint list", || {
        (metric(admin, "registry_entries") == 3).then_some(())
    });
    Setup { feed, router, admin, endpoints }
}

fn metric(admin: SocketAddr, name: &str) -> u64 {
    let (status, text) = admin_call(admin, "GET /status/metrics");
    assert_eq!(status, 200);
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("svc.{name}=")));
    line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

/// Guards against an admin endpoint that can only be enabled in the configuration file, and against
/// a failing start when the environment variable is empty.
#[test]
fn the_admin_address_may_be_given_by_the_environment() {
    let feed = StubFeed::start();
    let with_admin = RouterProcess::with_environment(&config(feed.addr), "NODE_OPERATOR", "127.0.0.1:0");
    wait_until("the router to be ready", || {
        (admin_call(admin_address(&with_admin), "GET /status").0 == 200).then_some(())
    });
    let without_admin = RouterProcess::with_environment(&config(feed.addr), "NODE_OPERATOR", "");
    assert_eq!(without_admin.admin, None);
    assert_eq!(admin_call(admin_address(&with_admin), "GET /status").1, "ready\n");
}

/// Guards against metrics that differ from the number of requests and attempts that clients and
/// endpoints counted.
#[test]
fn the_metrics_agree_with_the_counts_of_clients_and_endpoints() {
    let setup = setup(StubBehavior::Data(b"some bytes".to_vec()));
    let mut client = Client::connect(setup.router.addr);
    for tag in 1..=7 {
        assert!(client.get(tag, "docs", tag.into(), 7).contains("good"));
    }
    // Requests with invalid fields: of a known class, and of an unknown one.
    client.send_request(8, "docs", 8, ",obj=seven");
    assert_eq!(client.read_response(), "8 broken");
    assert_eq!(client.get(9, "no-such-class", 9, 7), "9 broken");
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("absent")));
    assert!(client.get(10, "docs", 10, 7).contains("refused"));
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("failed")));
    assert_eq!(client.get(11, "cert-filing", 11, 7), "11 broken");
    let sent: usize = setup.endpoints.iter().map(StubEndpoint::count).sum();
    let metric = |name: &str| metric(setup.admin, name);
    assert_eq!(metric("operations.docs.fulfilled"), 7);
    assert_eq!(metric("operations.docs.throttled"), 1);
    assert_eq!(metric("operations.docs.faulted"), 1);
    assert_eq!(metric("operations.cert-filing.fulfilled"), 0);
    assert_eq!(metric("operations.cert-filing.faulted"), 1);
    assert_eq!(metric("relayed"), sent as u64);
    assert_eq!(metric("open_requests"), 0);
    assert_eq!(metric("out_of_rotation"), 0);
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoResponse));
    client.send_request(12, "docs", 12, ",obj=0000000000000007");
    wait_until("the request to be open", || (metric("open_requests") == 1).then_some(()));
    setup.feed.publish_endpoints(false, &[endpoint_line("s-a", setup.endpoints[0].addr, "std", "draining")]);
    wait_until("the draining edge cache to be out of rotation", || {
        (metric("out_of_rotation") == 1).then_some(())
    });
    assert_eq!(metric("registry_entries"), 3);
}

/// Guards against closing the connection of a slow reader when its responses exceed the buffer
/// limit: the excess requests must be rejected instead. The metrics must agree with the responses
/// that the client read.
#[test]
fn a_slow_reader_gets_each_response_complete_or_its_request_rejected() {
    let feed = StubFeed::start();
    let large_data = StubBehavior::Data(vec![b'x'; 238_000]);
    let endpoints = [large_data.clone(), large_data.clone(), large_data].map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let router = RouterProcess::with_config(
        &with_admin_endpoint(&config(feed.addr)).replace("\"memory_mb\":192", "\"memory_mb\":24"),
    );
    let admin = admin_address(&router);
    wait_until("the router to know the endpoint list", || {
        (metric(admin, "registry_entries") == 3).then_some(())
    });
    let mut client = Client::with_small_receive_buffer(router.addr);
    let (mut served, mut rejected) = (0, 0);
    for round in 0..3 {
        for request in 1..=32 {
            let tag = round * 32 + request;
            assert!(client.try_send_request(tag, "docs", u64::from(tag)));
        }
        wait_until("all responses", || (metric(admin, "open_requests") == 0).then_some(()));
        std::thread::sleep(Duration::from_millis(500));
        for _ in 0..32 {
            // Read at a few megabytes per second.
            std::thread::sleep(Duration::from_millis(5));
            let response = client.read_response();
            if response.contains("refused backoff=") {
                rejected += 1;
            } else {
                assert!(response.contains("good") && response.len() > 238_000, "{:.60}", response);
                served += 1;
            }
        }
    }
    assert!(
        served > 0 && rejected > 0,
        "{served} responses served and {rejected} rejected; the test needs both"
    );
    assert_eq!(metric(admin, "operations.docs.fulfilled"), served);
    assert_eq!(metric(admin, "operations.docs.throttled"), rejected);
}

/// Guards against incomplete calls, or a flood of client requests, delaying the admin endpoint.
#[test]
fn the_admin_endpoint_answers_under_load() {
    let setup = setup(StubBehavior::NoResponse);
    let incomplete_calls: Vec<TcpStream> = (0..40)
        .map(|index| {
            let mut socket = TcpStream::connect(setup.admin).unwrap();
            socket.write_all(&b"GET /status HTT"[..index % 16]).unwrap();
            socket
        })
        .collect();
    let mut flood: Vec<Client> = (0..60).map(|_| Client::connect(setup.router.addr)).collect();
    for (index, client) in flood.iter_mut().enumerate() {
        for number in 0..20 {
            let request_id = (index as u64) << 8 | u64::from(number);
            client.send_request(number + 1, "docs", request_id, ",obj=0000000000000007");
        }
    }
    for _ in 0..20 {
        assert_eq!(admin_call(setup.admin, "GET /status").0, 200);
    }
    drop(incomplete_calls);
    assert_eq!(admin_call(setup.admin, "GET /nothing").0, 404);
    assert_eq!(admin_call(setup.admin, "GET /standby").0, 405);
    assert_eq!(admin_call(setup.admin, "GET /status").1, "ready\n");
}

/// Guards against a router in standby that reports ready, keeps its connections, or drops requests
/// that it accepted; and against one that does not take requests again after the standby.
#[test]
fn standby_drains_all_connections_and_can_be_ended() {
    let setup = setup(StubBehavior::Data(b"some bytes".to_vec()));
    let mut idle = Client::connect(setup.router.addr);
    idle.send(&resp_array(&[b"PING", b"1", b""]));
    assert_eq!(idle.read_response(), "1 fit");
    let mut with_open_request = Client::connect(setup.router.addr);
    let mut steady = Client::connect(setup.router.addr);
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoResponse));
    with_open_request.send_request(1, "docs", 1, ",obj=0000000000000009");
    wait_until("an attempt", || setup.endpoints.iter().any(|s| s.count() > 0).then_some(()));
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Data(b"some bytes".to_vec())));
    assert_eq!(admin_call(setup.admin, "PUT /standby"), (200, "standby\n".into()));
    let start = Instant::now();
    assert_eq!(admin_call(setup.admin, "GET /status"), (503, "standby\n".into()));
    assert_eq!(admin_call(setup.admin, "PUT /standby").0, 200, "a second standby call failed");
    idle.send(&resp_array(&[b"PING", b"2", b""]));
    assert_eq!(idle.read_response(), "2 unfit");
    // A client that connects soon after the call is still served.
    assert!(Client::connect(setup.router.addr).get(1, "docs", 100, 7).contains("good"));
    // A client that always has a request open is disconnected too, after one response per request.
    let (mut sent, mut received) = (0, 0);
    loop {
        if start.elapsed() < Duration::from_secs(5)
            && steady.try_send_request(sent + 1, "docs", 200 + u64::from(sent))
        {
            sent += 1;
        }
        match steady.read_response().as_str() {
            "end" => break,
            response => {
                received += 1;
                assert!(
                    response.starts_with(&format!("{received} ")),
                    "{response} is not the response to request {received}"
                );
            }
        }
    }
    assert!(received > 0 && sent - received <= 1, "{sent} requests sent, {received} responses received");
    assert!(start.elapsed() < Duration::from_secs(4), "connection still open after {:?}", start.elapsed());
    assert_eq!(idle.read_response(), "end");
    assert!(!with_open_request.read_response().contains("end"), "the open request got no response");
    assert_eq!(with_open_request.read_response(), "end");
    assert_eq!(admin_call(setup.admin, "PUT /active"), (200, "ready\n".into()));
    assert_eq!(admin_call(setup.admin, "GET /status").0, 200);
    let mut reconnected = Client::connect(setup.router.addr);
    assert!(reconnected.get(1, "docs", 300, 7).contains("good"));
    std::thread::sleep(Duration::from_millis(900));
    assert!(
        reconnected.get(2, "docs", 301, 7).contains("good"),
        "a connection was closed after the end of the standby"
    );
}

/// Guards against a connection that always has an open request and so never reaches a moment at
/// which it can be closed without loss. It must be closed within 4 s of the standby call all the
/// same, with one response to each request.
#[test]
fn standby_closes_connections_that_never_pause() {
    let setup = setup(StubBehavior::NoResponse);
    let mut busy = Client::connect(setup.router.addr);
    assert_eq!(admin_call(setup.admin, "PUT /standby").0, 200);
    let (start, mut sent) = (Instant::now(), 0);
    // Each request takes 1.5 s to fail, so some are open at any time.
    while start.elapsed() < Duration::from_millis(2_700) {
        sent += 1;
        assert!(
            busy.try_send_request(sent, "docs", 400 + u64::from(sent)),
            "the connection was closed while a request was open"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut tags = std::collections::BTreeSet::new();
    loop {
        let response = busy.read_response();
        if response == "end" {
            break;
        }
        let (tag, result) = response.split_once(' ').unwrap();
        assert!(tags.insert(tag.parse::<u32>().unwrap()), "request {tag} got two responses");
        assert!(result.starts_with("refused") || result == "broken", "{response}");
    }
    assert!(
        start.elapsed() < Duration::from_millis(3_900),
        "connection still open after {:?}",
        start.elapsed()
    );
    assert_eq!(tags.len() as u32, sent, "not every request got a response");
}

/// Guards against a SIGHUP that applies only a part of a configuration, and against changing the
/// rules of requests that are in flight.
#[test]
fn a_reload_applies_a_configuration_completely_or_not_at_all() {
    let setup = setup(StubBehavior::Data(b"some bytes".to_vec()));
    let mut client = Client::connect(setup.router.addr);
    let old_config = with_admin_endpoint(&config(setup.feed.addr));
    let maps = r#"{"name":"maps","effect":"retryable","onTime":250000,"hardLimit":2500000,"worth":1.0,"aimStretch":2.0},"#;
    let new_config = old_config.replace(r#"{"name":"docs""#, &format!(r#"{maps}{{"name":"docs""#));
    let wait_for_count =
        |name: &str, count: u64| wait_until(name, || (metric(setup.admin, name) == count).then_some(()));
    let invalid_configs = [
        String::new(),
        new_config[..new_config.len() / 2].to_string(),
        new_config.replace(r#""hardLimit":3000000"#, r#""hardLimit":0"#),
        new_config.replace(r#""sendCap":6"#, r#""sendCap":"many""#),
        new_config.replace(r#""sendCap":6,"#, ""),
        new_config.replace(r#""worth":3.0"#, r#""worth":null"#),
    ];
    for (index, text) in invalid_configs.iter().enumerate() {
        setup.router.reload(text);
        wait_for_count("cfg_invalid", index as u64 + 1);
    }
    assert_eq!(client.get(1, "maps", 1, 7), "1 broken", "a part of an invalid configuration was applied");
    assert_eq!(metric(setup.admin, "cfg_accepted"), 0);
    // While a non-idempotent request is in flight, its class becomes retryable and the class "docs"
    // is removed.
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::NoResponse));
    client.send_request(2, "cert-filing", 2, ",obj=0000000000000009");
    wait_until("the attempt to arrive at an endpoint", || {
        setup.endpoints.iter().any(|s| s.received().iter().any(|a| a.rid.ends_with('2'))).then_some(())
    });
    let changed_classes =
        new_config.replace("fragile", "retryable").replace(r#""name":"docs""#, r#""name":"pages""#);
    setup.router.reload(&changed_classes.replace(r#""sendCap":6"#, r#""sendCap":2"#));
    wait_for_count("cfg_accepted", 1);
    let attempt_count = |rid: &str| -> usize {
        setup.endpoints.iter().map(|s| s.received().iter().filter(|a| a.rid.ends_with(rid)).count()).sum()
    };
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("failed")));
    assert_eq!(client.read_response(), "2 broken", "the request did not keep its deadline");
    assert_eq!(attempt_count("0002"), 1, "the request did not keep its class's idempotency");
    // Under the new settings a request of that class is retried, with at most two attempts.
    assert!(!client.get(3, "cert-filing", 3, 9).contains("good"));
    assert_eq!(attempt_count("0003"), 2);
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Data(b"some bytes".to_vec())));
    assert!(client.get(4, "maps", 4, 7).contains("good"));
    assert!(client.get(5, "pages", 5, 7).contains("good"));
    assert_eq!(client.get(6, "docs", 6, 7), "6 broken", "the removed class is still known");
    // The old settings bring "docs" back, and requests of the other class are not retried again.
    setup.router.reload(&old_config);
    wait_for_count("cfg_accepted", 2);
    assert!(client.get(7, "docs", 7, 7).contains("good"));
    setup.endpoints.iter().for_each(|s| s.set_behavior(StubBehavior::Status("failed")));
    assert_eq!(client.get(8, "cert-filing", 8, 9), "8 broken");
    assert_eq!(attempt_count("0008"), 1);
    assert_eq!(metric(setup.admin, "operations.docs.fulfilled"), 1);
}
