//! An endpoint feed that is slow or crowded: routers learn what it tells as soon as it answers, and
//! don't add to the crowd.

mod common;

use common::*;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a router at a feed that tells of three endpoints, and returns it with the time that it took to
/// know them.
fn learn_list(feed: &StubFeed) -> (RouterProcess, Duration) {
    let endpoints = [0, 1, 2].map(|_| StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec())));
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let started = Instant::now();
    let router = RouterProcess::with_config(&with_admin_endpoint(&config(feed.addr)));
    let admin = admin_address(&router);
    wait_until("the router to know the endpoint list", || {
        admin_call(admin, "GET /status/metrics").1.contains("registry_entries=3").then_some(())
    });
    (router, started.elapsed())
}

/// Has a router learn the list from a feed that pauses before the head and the body of each response.
/// Returns how long it took, and the number of calls that the router made.
fn learn_late_list(head_delay: Duration, body_delay: Duration) -> (Duration, usize) {
    let feed = StubFeed::start();
    feed.set_answer_delays(head_delay, body_delay);
    let (_router, took) = learn_list(&feed);
    // The watch that has begun stays, and no other call is made.
    let calls = feed.connection_times().len();
    thread::sleep(Duration::from_millis(3_500));
    assert_eq!(feed.connection_times().len(), calls, "calls beside a watch");
    (took, calls)
}

/// Guards against a call that is given up before the feed answers it, again and again, so that nothing
/// is ever known; and against calls that crowd a slow feed.
#[test]
fn a_call_that_is_answered_late_is_heard() {
    let pause = |millis| Duration::from_millis(millis);
    let delays = [(500, 0), (0, 500), (3_500, 0), (0, 3_500), (3_000, 3_000), (6_500, 0), (0, 6_500)];
    let learning = delays
        .map(|(head, body)| (head, body, thread::spawn(move || learn_late_list(pause(head), pause(body)))));
    for (head, body, learning) in learning {
        let (took, calls) = learning.join().unwrap();
        assert!(took < pause(head + body + 500), "{head} + {body} ms: known after {took:?}");
        assert!(calls <= 2, "{head} + {body} ms: {calls} calls");
    }
}

/// Guards against a call that is waited for although nothing will come: another one beside it is
/// answered.
#[test]
fn a_call_that_is_lost_costs_no_more_than_the_silence_limit() {
    let feed = StubFeed::start();
    feed.break_connections(1, usize::MAX);
    let (_router, took) = learn_list(&feed);
    assert!(took < Duration::from_millis(4_000), "known after {took:?}");
}
