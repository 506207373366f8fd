//! Races of two events, with each order forced: the process is paused while both events arrive, or
//! a stub delays one of them. docs/races.md lists the states and events that the tests belong to.

mod common;

use common::manual_endpoints::{FullBacklogEndpoint, HeldAttempt, ManualEndpoints};
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Longer than the time in which attempts may be sent for a client that has left, and than the
/// grace period of a drain.
const PAUSE: Duration = Duration::from_millis(600);
/// Log options under which the end of each attempt is logged.
const DEBUG_LOG: [&str; 2] = ["--log", "debug"];

/// Starts a router with two edge caches and an origin, whose responses the test sends, and a client
/// that has got a response.
fn setup() -> (StubFeed, RouterProcess, Client, ManualEndpoints) {
    let (feed, manual) = (StubFeed::start(), ManualEndpoints::start(3));
    feed.publish_endpoints(true, &manual.lines());
    let router = RouterProcess::start(&feed);
    let mut client = Client::connect(router.addr);
    wait_for_endpoint_list(&mut client, &manual);
    (feed, router, client, manual)
}

/// Sends requests until one is served: before the router knows the endpoint list, it rejects all of
/// them.
fn wait_for_endpoint_list(client: &mut Client, manual: &ManualEndpoints) {
    let mut tag = 1_000_000;
    wait_until("the router to know the endpoint list", || {
        tag += 1;
        client.send_request(tag, "docs", u64::from(tag), ",obj=0000000000000005");
        if let Some(attempt) = manual.next_soon() {
            attempt.respond("data", b"some bytes");
        }
        Some(client.read_response()).filter(|a| a.contains("good"))
    });
}

fn object(number: u64) -> String {
    format!(",obj={number:016x}")
}

fn assert_clean_shutdown(mut router: RouterProcess) {
    router.signal("-TERM");
    let (status, log) = router.wait_for_exit();
    assert!(status.success() && log.last().unwrap().ends_with("invariants broken: 0"), "{log:?}");
}

/// Guards against retrying for a client that has left, when the end of an attempt and the end of
/// the client's connection are read together.
#[test]
fn no_retry_is_sent_for_a_client_that_left_during_a_pause() {
    for action in ["closes", "cancels"] {
        let (_feed, router, client, manual) = setup();
        let mut leaving_client = Client::connect(router.addr);
        leaving_client.send_request(1, "docs", 70, &object(7));
        let attempt = manual.next();
        router.pause();
        // The endpoint's response arrives before the client leaves.
        attempt.respond("failed", b"");
        if action == "cancels" {
            leaving_client.send(&resp_array(&[b"UNDO", b"1"]));
        } else {
            drop(leaving_client);
        }
        std::thread::sleep(PAUSE);
        router.resume();
        let retries: Vec<String> = manual.remaining().iter().map(|attempt| attempt.fields.clone()).collect();
        assert!(retries.is_empty(), "retried for a client that {action}: {retries:?}");
        drop(client);
        assert_clean_shutdown(router);
    }
}

/// Guards against sending an attempt that waited for a connection after its client has left.
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
    let router = RouterProcess::with_config(&with_admin_endpoint(&config(feed.addr)));
    let mut client = Client::connect(router.addr);
    // The edge cache accepts connections and the client leaves while the process is paused.
    let mut tag = 9_000;
    wait_until("a request that waits for a connection to the edge cache", || {
        tag += 1;
        client.send_request(tag, "docs", 9_000, &object(8));
        let open =
            || admin_call(admin_address(&router), "GET /status/metrics").1.contains("svc.open_requests=1");
        if open() {
            return Some(());
        }
        // The router rejects requests until it knows the endpoint list.
        assert!(client.read_response().contains("refused"));
        None
    });
    router.pause();
    let (attempts, _queued) = full_backlog.open();
    drop(client);
    std::thread::sleep(Duration::from_millis(1_200));
    router.resume();
    std::thread::sleep(PAUSE);
    let sent_ids: Vec<String> = attempts.try_iter().map(|attempt| attempt.rid).collect();
    assert!(
        !sent_ids.iter().any(|r| r == "0000000000002328"),
        "attempts for a client that left: {sent_ids:?}"
    );
}

/// Guards against processing a drain that was published during a pause after the requests that it
/// should affect.
#[test]
fn a_drain_published_during_a_pause_is_processed_before_requests() {
    let (feed, router, mut client, manual) = setup();
    // Find the first choice in the hash order of the object.
    client.send_request(1, "docs", 71, &object(7));
    let attempt = manual.next();
    attempt.respond("data", b"some bytes");
    assert!(client.read_response().contains("good"));
    let first_choice = attempt.endpoint;
    router.pause();
    // The request arrives before the drain.
    client.send_request(2, "docs", 72, &object(7));
    let uid = ["s-a", "s-b"][first_choice];
    feed.publish_endpoints(false, &[endpoint_line(uid, manual.addrs[first_choice], "std", "draining")]);
    std::thread::sleep(PAUSE);
    router.resume();
    let attempt = manual.next();
    assert_ne!(
        attempt.endpoint, first_choice,
        "an attempt at an edge cache {PAUSE:?} after its drain was published"
    );
    attempt.respond("data", b"some bytes");
    assert!(client.read_response().contains("good"));
    assert_clean_shutdown(router);
}

/// Pauses the router with attempts in flight for longer than their timers, publishes that an edge cache
/// is in `state` meanwhile, and checks that nothing is sent there afterwards: neither retries nor the
/// requests that arrived during the pause.
fn check_state_published_during_a_pause(state: &str, pause: Duration) {
    let (feed, router, mut client, manual) = setup();
    for tag in 1..9 {
        client.send_request(tag, "docs", 70 + u64::from(tag), &object(u64::from(tag)));
    }
    let in_flight: Vec<HeldAttempt> = (1..9).map(|_| manual.next()).collect();
    let other = 1 - in_flight[0].endpoint;
    // Connections to the other one are free for retries.
    for attempt in in_flight.iter().filter(|attempt| attempt.endpoint == other) {
        attempt.respond("data", b"some bytes");
        assert!(client.read_response().contains("good"));
    }
    router.pause();
    for tag in 9..20 {
        client.send_request(tag, "docs", 70 + u64::from(tag), &object(u64::from(tag)));
    }
    let uid = ["s-a", "s-b"][other];
    feed.publish_endpoints(false, &[endpoint_line(uid, manual.addrs[other], "std", state)]);
    std::thread::sleep(pause);
    router.resume();
    let attempts = manual.remaining();
    let to_other = attempts.iter().filter(|attempt| attempt.endpoint == other).count();
    assert!(!attempts.is_empty(), "nothing was sent after the pause");
    assert_eq!(to_other, 0, "attempts at an edge cache that was {state} {pause:?} before");
}

/// Guards against timers that are handled before what the feed has told: the end of the pause
/// interrupts the wait for events, which then reports none.
#[test]
fn nothing_is_sent_by_the_state_before_a_pause() {
    check_state_published_during_a_pause("draining", Duration::from_millis(1_200));
    check_state_published_during_a_pause("gone", Duration::from_millis(1_200));
}

/// Guards against closing the feed's connection as silent while what it has told is unread.
#[test]
fn nothing_is_sent_by_the_state_before_a_pause_longer_than_the_silence_limit() {
    check_state_published_during_a_pause("draining", Duration::from_millis(3_500));
}

/// Guards against sending attempts for a client that has left, because much of its data is read
/// before the end of its connection.
#[test]
fn a_flood_is_read_to_its_end_before_any_attempt_is_sent() {
    let (_feed, router, _client, manual) = setup();
    let mut flood = Client::connect(router.addr);
    router.pause();
    let body = vec![b'x'; 40_000];
    for tag in 1..=12u64 {
        let fields = format!("rid={:016x},budget=1500,piece=0,lot=17,obj={tag:016x}", 0x700 + tag);
        let tag = tag.to_string();
        flood.send(&resp_array(&[b"DO", tag.as_bytes(), b"cert-filing", fields.as_bytes(), &body]));
    }
    drop(flood);
    router.resume();
    let sent_ids: Vec<String> = manual.remaining().iter().map(|attempt| attempt.rid.clone()).collect();
    assert!(sent_ids.is_empty(), "attempts for a client that left: {sent_ids:?}");
    assert_clean_shutdown(router);
}

/// Guards against sending attempts for a client that has left, because it had sent more than is read
/// before its requests are passed on: the end of its connection was noticed long after.
#[test]
fn a_client_that_left_much_unread_gets_no_attempt() {
    let (_feed, router, mut client, manual) = setup();
    let mut flood = TcpStream::connect(router.addr).unwrap();
    router.pause();
    let fields = "rid=0000000000000700,budget=1500,piece=0,lot=17,obj=0000000000000007";
    flood.write_all(&resp_array(&[b"DO", b"1", b"cert-filing", fields.as_bytes(), b"a body"])).unwrap();
    // Fill what the kernel holds for a connection.
    let cancels = resp_array(&[b"UNDO", b"2"]).repeat(4_000);
    flood.set_nonblocking(true).unwrap();
    let mut unread_bytes = 0;
    wait_until("the connection to be full", || {
        let before = unread_bytes;
        while let Ok(written) = flood.write(&cancels[unread_bytes % cancels.len()..]) {
            unread_bytes += written;
        }
        std::thread::sleep(Duration::from_millis(100));
        (unread_bytes == before).then_some(())
    });
    drop(flood);
    std::thread::sleep(PAUSE);
    router.resume();
    // By its second response, the router has handled what it read of the flood.
    for tag in ["8", "9"] {
        client.send(&resp_array(&[b"PING", tag.as_bytes()]));
        assert_eq!(client.read_response(), format!("{tag} fit"));
    }
    let sent_ids: Vec<String> = manual.remaining().iter().map(|attempt| attempt.rid.clone()).collect();
    assert!(sent_ids.is_empty(), "attempts for a client that left: {sent_ids:?}");
    assert_clean_shutdown(router);
}

/// Guards against holding back the replies to commands that arrive with malformed bytes behind them.
#[test]
fn commands_before_malformed_bytes_get_their_replies() {
    let (_feed, router, _client, _manual) = setup();
    let mut client = Client::connect(router.addr);
    let ping = resp_array(&[b"PING", b"1"]);
    let unsound = resp_array(&[b"DO", b"2", b"docs", b"obj=seven", b""]);
    let sent = Instant::now();
    client.send(&[&ping[..], &unsound, b"malformed"].concat());
    assert_eq!(client.read_response(), "1 fit");
    assert_eq!(client.read_response(), "2 broken");
    assert_eq!(client.read_response(), "end");
    assert!(sent.elapsed() < Duration::from_millis(500), "closed after {:?}", sent.elapsed());
}

/// Guards against losing a non-idempotent request on a connection that its endpoint had closed
/// before the request was written.
#[test]
fn a_non_idempotent_request_uses_no_connection_that_has_ended() {
    let (_feed, router, mut client, manual) = setup();
    client.send_request(1, "cert-filing", 80, &object(7));
    let attempt = manual.next();
    attempt.respond("data", b"");
    assert!(client.read_response().contains("good"));
    router.pause();
    // The non-idempotent request arrives before the end of the connection.
    client.send_request(2, "cert-filing", 81, &object(7));
    attempt.close();
    router.resume();
    let attempt = manual.next();
    assert_eq!(attempt.rid, format!("{:016x}", 81));
    attempt.respond("data", b"");
    assert_eq!(client.read_response(), "2 good ver=d1");
    assert_clean_shutdown(router);
}

/// Guards against treating an endpoint as restarted because its connections were established late:
/// it would get almost no requests for the duration of a warm-up. Requests that waited for it go to
/// the other edge cache.
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
    let router = RouterProcess::with_arguments(&feed, &DEBUG_LOG);
    let mut client = Client::connect(router.addr);
    let mut tag = 0;
    let mut send_next = |client: &mut Client| {
        tag += 1;
        client.get(tag, "docs", u64::from(tag), u64::from(tag))
    };
    let mut unreached_count = 0;
    wait_until("two requests that the other edge cache had to serve", || {
        let served = send_next(&mut client).contains("good");
        unreached_count += router.count_log_lines("status=Unreached");
        (served && unreached_count >= 2).then_some(())
    });
    assert_eq!(router.count_log_lines("status=ConnectFailed"), 0);
    let (attempts, _queued) = full_backlog.open();
    std::thread::spawn(move || attempts.iter().for_each(|attempt| attempt.respond("data", b"bytes")));
    let before = other.count();
    for _ in 0..40 {
        assert!(send_next(&mut client).contains("good"));
    }
    let at_late = 40 - (other.count() - before);
    assert!(at_late >= 10, "only {at_late} of 40 requests reached the edge cache that was late");
}

/// Guards against losing requests at a shutdown during a pause: clients that connected or sent a
/// request while the process was paused must get responses, although the time for new requests is
/// over when it continues.
#[test]
fn requests_that_arrived_during_a_pause_at_shutdown_get_responses() {
    let (_feed, mut router, mut client, manual) = setup();
    let mut second = Client::connect(router.addr);
    second.send(&resp_array(&[b"PING", b"1", b""]));
    assert_eq!(second.read_response(), "1 fit");
    client.send_request(1, "docs", 90, &object(7));
    let attempt = manual.next();
    router.signal("-TERM");
    router.wait_for_log("to=Stopping");
    router.pause();
    // The response that the router still waits for arrives first, so that it has no open request
    // left.
    attempt.respond("data", b"some bytes");
    second.send_request(2, "docs", 91, &object(8));
    let mut new_client = Client::connect(router.addr);
    new_client.send_request(1, "docs", 92, &object(9));
    std::thread::sleep(Duration::from_millis(900));
    router.resume();
    for _ in 0..2 {
        manual.next().respond("data", b"some bytes");
    }
    let responses = [client.read_response(), second.read_response(), new_client.read_response()];
    assert_eq!(responses, ["1", "2", "1"].map(|tag| format!("{tag} good ver=d1 some bytes")));
    let (status, log) = router.wait_for_exit();
    assert!(status.success() && log.last().unwrap().ends_with("invariants broken: 0"), "{log:?}");
}

/// Guards against sending attempts for requests on a connection that the router has shut down,
/// since it could not send the responses.
#[test]
fn requests_after_the_shutdown_of_a_connection_are_never_passed_on() {
    let (_feed, mut router, mut client, manual) = setup();
    router.signal("-TERM");
    wait_until("the router to shut down the connection", || client.is_closed().then_some(()));
    client.try_send_request(2, "docs", 95);
    assert!(manual.remaining().is_empty(), "an attempt was sent after the shutdown");
    assert_eq!(client.read_response(), "end");
    let (status, log) = router.wait_for_exit();
    assert!(status.success() && log.last().unwrap().ends_with("invariants broken: 0"), "{log:?}");
}

/// Guards against a second SIGTERM that restarts or shortens the shutdown.
#[test]
fn a_second_sigterm_changes_nothing() {
    let (_feed, mut router, mut client, manual) = setup();
    client.send_request(1, "docs", 96, &object(7));
    let attempt = manual.next();
    let start = Instant::now();
    router.signal("-TERM");
    router.wait_for_log("to=Stopping");
    std::thread::sleep(Duration::from_millis(500));
    router.signal("-TERM");
    std::thread::sleep(Duration::from_millis(400));
    attempt.respond("data", b"some bytes");
    assert_eq!(client.read_response(), "1 good ver=d1 some bytes");
    drop(client);
    let (status, _) = router.wait_for_exit();
    assert!(status.success());
    assert!(
        start.elapsed() < Duration::from_millis(1_150),
        "the shutdown was restarted, it took {:?}",
        start.elapsed()
    );
}

/// Guards against a connection reset that discards responses in transit while the client sends data
/// that the router doesn't read.
#[test]
fn a_response_in_transit_survives_malformed_bytes_of_its_client() {
    let (_feed, router, _client, manual) = setup();
    // With a small receive buffer at the client, most of the responses wait at the router.
    let mut client = Client::with_small_receive_buffer(router.addr);
    let body = vec![b'x'; 230_000];
    for tag in 1..=5 {
        client.send_request(tag, "docs", u64::from(tag), &object(u64::from(tag)));
        manual.next().respond("data", &body);
    }
    std::thread::sleep(Duration::from_millis(200));
    // The data is longer than one read and is malformed.
    client.try_send(&vec![b'!'; 300_000]);
    for tag in 1..=5 {
        let response = client.read_response();
        assert!(
            response.starts_with(&format!("{tag} good")) && response.len() > body.len(),
            "{response:.40}"
        );
    }
    assert_eq!(client.read_response(), "end");
    assert_clean_shutdown(router);
}

/// Guards against an edge cache that gets no connection because idle connections to others hold all
/// descriptors.
#[test]
fn idle_connections_are_closed_for_those_to_another_edge_cache() {
    let (feed, manual, b) = (
        StubFeed::start(),
        ManualEndpoints::start(1),
        StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec())),
    );
    feed.publish_endpoints(true, &[endpoint_line("s-a", manual.addrs[0], "std", "ready")]);
    let router = RouterProcess::with_socket_limit(&feed, 64);
    let mut client = Client::connect(router.addr);
    wait_for_endpoint_list(&mut client, &manual);
    // Open one connection per request, up to the limit for 64 descriptors, which is 19.
    for tag in 1..=24 {
        client.send_request(tag, "docs", u64::from(tag), &object(u64::from(tag)));
    }
    for attempt in (1..=24).map(|_| manual.next()).collect::<Vec<_>>() {
        attempt.respond("data", b"bytes");
    }
    (1..=24).for_each(|_| assert!(client.read_response().contains("good")));
    feed.publish_endpoints(false, &[endpoint_line("s-b", b.addr, "std", "ready")]);
    std::thread::sleep(Duration::from_millis(200));
    for tag in 101..=120 {
        client.send_request(tag, "docs", u64::from(tag), &object(u64::from(tag)));
        if let Some(attempt) = manual.next_soon() {
            attempt.respond("data", b"bytes");
        }
        assert!(client.read_response().contains("good"));
    }
    assert!(b.count() > 0, "no request reached the new edge cache");
    assert_clean_shutdown(router);
}

/// Guards against new settings that undo a drain when they are applied while an edge cache drains.
#[test]
fn a_drain_holds_over_sighup() {
    let (feed, endpoints) =
        (StubFeed::start(), [(); 2].map(|()| StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()))));
    let [a, b] = &endpoints;
    feed.publish_endpoints(
        true,
        &[endpoint_line("s-a", a.addr, "std", "ready"), endpoint_line("s-b", b.addr, "std", "ready")],
    );
    let router = RouterProcess::start(&feed);
    let mut client = Client::connect(router.addr);
    let mut tag = 0;
    let mut get = |client: &mut Client| {
        tag += 1;
        client.get(tag, "docs", u64::from(tag), u64::from(tag)).contains("good")
    };
    wait_until("an attempt at the edge cache", || (get(&mut client) && a.count() > 0).then_some(()));
    feed.publish_endpoints(false, &[endpoint_line("s-a", a.addr, "std", "draining")]);
    router.reload(&config(feed.addr).replace("\"sendCap\":6", "\"sendCap\":5"));
    router.wait_for_log("SIGHUP: configuration applied classes=2");
    // Wait for the grace period of the drain.
    std::thread::sleep(Duration::from_millis(500));
    let before = a.count();
    for _ in 0..40 {
        assert!(get(&mut client));
    }
    assert_eq!(a.count(), before, "attempts at a draining edge cache");
    assert_clean_shutdown(router);
}

/// Guards against losing a pending response when the client does not complete its next message.
#[test]
fn half_a_message_does_not_lose_a_pending_response() {
    let (_feed, router, mut client, manual) = setup();
    let fields = b"rid=0000000000000062,budget=2900,obj=0000000000000007,piece=0,lot=17";
    client.send(&resp_array(&[b"DO", b"1", b"cert-filing", fields, b"a body"]));
    let attempt = manual.next();
    client.send(b"*5\r\n$2\r\nDO\r\n$1\r\n2");
    // Wait until a whole message is overdue, after 1.5 s, and housekeeping has noticed. The
    // non-idempotent request has a timeout of 2.9 s.
    std::thread::sleep(Duration::from_millis(2_000));
    attempt.respond("data", b"");
    assert_eq!(client.read_response(), "1 good ver=d1");
    assert_eq!(client.read_response(), "end");
    assert_clean_shutdown(router);
}

/// Guards against ignoring the cache status in responses where the settings say that endpoints send
/// it: a fill that the fill source rejected counts against the source, and the next attempt names
/// another one.
#[test]
fn the_cache_status_of_responses_is_read_where_it_is_sent() {
    for cache_status_setting in ["all", "none"] {
        let (feed, manual) = (StubFeed::start(), ManualEndpoints::start(3));
        let [edge_cache, parent, other_parent] = [0, 1, 2].map(|i| manual.addrs[i]);
        feed.publish_endpoints(
            true,
            &[
                endpoint_line("s-a", edge_cache, "std", "ready"),
                endpoint_line("s-p", parent, "parent", "ready"),
                endpoint_line("s-q", other_parent, "parent", "ready"),
            ],
        );
        let config_text = config(feed.addr)
            .replace("\"tells\":\"none\"", &format!("\"tells\":\"{cache_status_setting}\""))
            .replace("\"neighbours\":\"any\"", "\"neighbours\":\"none\"");
        let router = RouterProcess::with_config(&config_text);
        let mut client = Client::connect(router.addr);
        wait_for_endpoint_list(&mut client, &manual);
        client.send_request(1, "docs", 0x77, &object(7));
        let attempt = manual.next();
        attempt.respond_with_fields("full", "remark=PEER_MISS,first=3");
        let next = manual.next();
        next.respond("data", b"some bytes");
        assert!(client.read_response().contains("good"));
        let source = |attempt: &HeldAttempt| {
            attempt.fields.split(',').find(|f| f.starts_with("parent=")).map(str::to_string)
        };
        if cache_status_setting == "all" {
            // The edge cache is healthy, but its fill source lacks the object.
            assert_eq!(next.endpoint, 0);
            assert!(source(&next).is_some() && source(&next) != source(&attempt), "{}", next.fields);
        } else {
            // The edge cache itself may have been at capacity.
            assert_ne!(next.endpoint, 0, "{}", next.fields);
        }
        assert_clean_shutdown(router);
    }
}

/// Guards against dropping or changing the idempotency key by which endpoints recognize retries.
#[test]
fn an_idempotency_key_is_passed_on() {
    let (_feed, router, mut client, manual) = setup();
    client.send_request(1, "docs", 99, &format!("{},token=c74e64b32bdec13bca25988785beaa14", object(7)));
    let attempt = manual.next();
    assert!(
        attempt.fields.split(',').any(|f| f == "replay=c74e64b32bdec13bca25988785beaa14"),
        "{}",
        attempt.fields
    );
    attempt.respond("data", b"some bytes");
    assert!(client.read_response().contains("good"));
    // A key with a space could not be read as a field by the endpoint.
    client.send_request(2, "docs", 100, &format!("{},token=a b", object(7)));
    assert_eq!(client.read_response(), "2 broken");
    assert_clean_shutdown(router);
}
