//! Origin protection of several independent router processes in front of one origin that rejects
//! the requests of parent caches.

mod common;

use common::*;

/// Of the attempts at edge caches that name a parent cache, returns the number of all, and the
/// number of those with the hint `shallow`, for which the parent cache must not fill from the
/// origin.
fn count_shallow(endpoints: &[StubEndpoint]) -> (usize, usize) {
    let attempts = endpoints.iter().flat_map(|s| s.received()).filter(|a| a.fields.contains("parent=s-h"));
    let (shallow, filling): (Vec<ReceivedAttempt>, Vec<ReceivedAttempt>) =
        attempts.partition(|a| a.fields.contains("hints=shallow"));
    (shallow.len() + filling.len(), shallow.len())
}

/// Guards against many independent routers that together keep an overloaded origin down by sending
/// on requests. Each must detect the overload from its own responses, and all must recover when the
/// origin is healthy again.
#[test]
fn routers_that_do_not_know_each_other_all_protect_the_origin_and_recover() {
    let feed = StubFeed::start();
    let edge_caches = [(); 2].map(|()| StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec())));
    let (parent_caches, origin) = (
        [(); 3].map(|()| StubEndpoint::start(StubBehavior::Status("full"))),
        StubEndpoint::start(StubBehavior::Status("full")),
    );
    let mut lines = vec![endpoint_line("s-o", origin.addr, "origin", "ready")];
    for (name, endpoint) in ["s-a", "s-b"].iter().zip(&edge_caches) {
        lines.push(endpoint_line(name, endpoint.addr, "std", "ready"));
    }
    for (name, endpoint) in ["s-h1", "s-h2", "s-h3"].iter().zip(&parent_caches) {
        lines.push(endpoint_line(name, endpoint.addr, "parent", "ready"));
    }
    feed.publish_endpoints(true, &lines);
    let routers: Vec<RouterProcess> = (0..3).map(|_| RouterProcess::start(&feed)).collect();
    let mut clients: Vec<Client> = routers.iter().map(|n| Client::connect(n.addr)).collect();
    for client in &mut clients {
        client.send_request(1, "docs", 5_000_000, ",obj=0000000000000005");
        client.read_response();
    }
    // Sends each router a request for an object that was not requested before.
    let (mut tag, mut rid) = (1, 0);
    let mut send_to_all = |clients: &mut [Client]| {
        tag += 1;
        clients.iter_mut().for_each(|c| {
            rid += 1;
            c.get(tag, "docs", rid, 1_000 + rid);
        });
    };
    wait_until("all routers to know the endpoint list", || {
        send_to_all(&mut clients);
        Some(()).filter(|()| edge_caches.iter().map(StubEndpoint::count).sum::<usize>() > 30)
    });
    (0..30).for_each(|_| send_to_all(&mut clients));
    assert_eq!(count_shallow(&edge_caches).1, 0, "a router protects the origin before any rejection");
    // The origin is overloaded: every miss is rejected, whichever parent cache would fill it.
    edge_caches.iter().for_each(|b| b.set_behavior(StubBehavior::Status("full")));
    (0..30).for_each(|_| send_to_all(&mut clients));
    edge_caches.iter().for_each(|b| drop(b.take_received()));
    edge_caches.iter().for_each(|b| b.set_behavior(StubBehavior::Data(b"some bytes".to_vec())));
    (0..10).for_each(|_| send_to_all(&mut clients));
    let (total, shallow_count) = count_shallow(&edge_caches);
    assert!(shallow_count * 10 >= total * 7, "only {shallow_count} of {total} fills spared the origin");
    // The origin is healthy again. Each router detects that by the attempts that it still sends
    // without the hint.
    wait_until("all fills to reach the origin again", || {
        edge_caches.iter().for_each(|b| drop(b.take_received()));
        (0..10).for_each(|_| send_to_all(&mut clients));
        std::thread::sleep(std::time::Duration::from_millis(300));
        Some(count_shallow(&edge_caches)).filter(|(total, shallow_count)| *total > 0 && *shallow_count == 0)
    });
}
