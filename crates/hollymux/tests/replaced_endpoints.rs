//! Endpoints whose process ends while another one comes up at its address.

mod common;

use common::manual_endpoints::ManualEndpoints;
use common::*;

/// A configuration in which endpoints of one cell recognize repeats of `cert-filing` for 2.5 s.
fn config_with_key(feed: &StubFeed) -> String {
    config(feed.addr)
        .replace("\"effect\":\"fragile\"", "\"effect\":\"dedup\",\"dedupScope\":\"cell\",\"keyTtl\":2500000")
}

/// Guards against a request with an idempotency key that runs again at the process that came up at
/// the address of the one that ran it: the new process knows no keys of the old one.
#[test]
fn a_key_is_not_sent_again_to_a_process_that_replaced_the_one_that_may_have_run_it() {
    let (feed, manual) = (StubFeed::start(), ManualEndpoints::start(3));
    // Each edge cache is in a cell of its own.
    let lines = manual.lines().into_iter().zip(1..);
    let lines = lines.map(|(line, cell)| line.replace("\"pod_group\":1", &format!("\"pod_group\":{cell}")));
    feed.publish_endpoints(true, &lines.collect::<Vec<_>>());
    let router = RouterProcess::with_config(&config_with_key(&feed));
    let mut client = Client::connect(router.addr);
    let mut tag = 0;
    wait_until("the router to know the endpoint list", || {
        tag += 1;
        client.send_request(tag, "docs", tag.into(), ",obj=0000000000000007");
        match manual.next_soon() {
            Some(attempt) => attempt.respond("data", b"some bytes"),
            None => return None,
        }
        client.read_response().contains("good").then_some(())
    });
    client.send_request(900, "cert-filing", 900, ",obj=0000000000000007");
    let attempt = manual.next();
    assert_eq!(attempt.rid, format!("{:016x}", 900));
    // The process ends, and another one accepts connections at its address.
    attempt.close();
    let again: Vec<usize> = manual.remaining().iter().map(|attempt| attempt.endpoint).collect();
    assert!(again.is_empty(), "sent again to endpoints {again:?}, after endpoint {}", attempt.endpoint);
    assert_eq!(client.read_response(), "900 broken");
}
