//! Clients that read slowly, as the platform allows: they get a reply to every request.

mod common;

use common::*;
use std::thread;
use std::time::{Duration, Instant};

/// The size of a large object, in bytes; the platform allows 240,000.
const LARGE_OBJECT_BYTES: usize = 238_000;

/// Waits until the router knows the three endpoints that `feed` publishes.
fn wait_for_endpoints(router: &RouterProcess) {
    let admin = admin_address(router);
    wait_until("the router to know the endpoint list", || {
        admin_call(admin, "GET /status/metrics").1.contains("registry_entries=3").then_some(())
    });
}

/// Waits until no request is open at the router: all replies are passed to the connections.
fn wait_for_replies(router: &RouterProcess) {
    let admin = admin_address(router);
    wait_until("all requests to be replied to", || {
        admin_call(admin, "GET /status/metrics").1.contains("open_requests=0").then_some(())
    });
}

/// Guards against a drain that takes a connection for idle while its client still has replies to
/// read: the client can't see the end, and what it asked for meanwhile was thrown away.
#[test]
fn a_drain_ends_no_connection_whose_client_still_reads() {
    let feed = StubFeed::start();
    let large = StubBehavior::Data(vec![b'x'; LARGE_OBJECT_BYTES]);
    let endpoints = [large.clone(), large.clone(), large].map(StubEndpoint::start);
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let router = RouterProcess::with_config(&with_admin_endpoint(&config(feed.addr)));
    wait_for_endpoints(&router);
    let mut client = Client::with_small_receive_buffer(router.addr);
    for tag in 1..=3 {
        client.send_request(tag, "docs", tag.into(), &format!(",obj={tag:016x}"));
    }
    wait_for_replies(&router);
    assert_eq!(admin_call(admin_address(&router), "PUT /standby").0, 200);
    let standby = Instant::now();
    // Clients know of the standby after 0.4 s; this one has read nothing yet.
    thread::sleep(Duration::from_millis(600));
    endpoints.iter().for_each(|endpoint| endpoint.set_behavior(StubBehavior::Data(b"late".to_vec())));
    client.send_request(4, "docs", 4, ",obj=0000000000000004");
    let mut responses: Vec<String> = (0..4).map(|_| client.read_response()).collect();
    responses.sort();
    for (response, tag) in responses.iter().zip(1..) {
        assert!(response.starts_with(&format!("{tag} good ver=d1 ")), "{response:.60}");
    }
    assert_eq!(client.read_response(), "end");
    assert!(standby.elapsed() < Duration::from_secs(4), "open until {:?} after", standby.elapsed());
}

/// Guards against closing the connection of a client that reads slowly, with requests open on it,
/// because its replies take too much of the buffers.
#[test]
fn a_slow_reader_at_the_smallest_memory_limit_gets_a_reply_to_every_request() {
    let feed = StubFeed::start();
    let large = StubBehavior::Data(vec![b'x'; LARGE_OBJECT_BYTES]);
    let endpoints = [large.clone(), large.clone(), large].map(StubEndpoint::start);
    let roomy = |line: String| line.replace("\"capacity_hint\":4", "\"capacity_hint\":400");
    let lines: Vec<String> = endpoint_lines(&endpoints).into_iter().map(roomy).collect();
    feed.publish_endpoints(true, &lines);
    let config = config(feed.addr).replace("\"memory_mb\":192", "\"memory_mb\":32");
    let router = RouterProcess::with_config(&with_admin_endpoint(&config));
    wait_for_endpoints(&router);
    // Two clients have as many requests open as they may, and read nothing until all have ended.
    let mut clients = [0, 1].map(|_| Client::with_small_receive_buffer(router.addr));
    for (client, first_rid) in clients.iter_mut().zip([100, 200]) {
        for tag in 1..=32 {
            let class = if tag == 32 { "cert-filing" } else { "docs" };
            client.send_request(tag, class, first_rid + u64::from(tag), &format!(",obj={tag:016x}"));
        }
    }
    wait_for_replies(&router);
    let (mut served, mut rejected) = (0, 0);
    for client in &mut clients {
        let mut tags: Vec<u32> = (1..=32).collect();
        for _ in 0..32 {
            let response = client.read_response();
            let (tag, reply) = response.split_once(' ').expect("a reply");
            let tag: u32 = tag.parse().expect("a tag");
            tags.retain(|open| *open != tag);
            if reply.starts_with("good") {
                assert!(response.len() > LARGE_OBJECT_BYTES, "an incomplete reply");
                served += 1;
            } else {
                assert!(
                    reply.starts_with("refused backoff=") || (tag, reply) == (32, "broken"),
                    "{response}"
                );
                rejected += 1;
            }
        }
        assert_eq!(tags, [0; 0], "requests without a reply");
    }
    assert!(served >= 32, "{served} requests served, {rejected} rejected");
}
