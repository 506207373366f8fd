//! Several routers as processes, none of which knows the others, before one origin that rejects the
//! requests of parent caches.

mod common;

use common::*;

/// Of the attempts at the edge caches that name a parent cache, how many there are, and how many
/// were to be given only what it holds.
fn shallow(endpoints: &[StubEndpoint]) -> (usize, usize) {
    let asked = endpoints.iter().flat_map(|s| s.received()).filter(|a| a.fields.contains("parent=s-h"));
    let (spared, whole): (Vec<ReceivedAttempt>, Vec<ReceivedAttempt>) =
        asked.partition(|a| a.fields.contains("hints=shallow"));
    (spared.len() + whole.len(), spared.len())
}

/// Guards against three hundred routers that each go on sending requests: all of them together keep
/// the origin down. Each has to detect it by its own answers, and all have to recover when it is
/// healthy.
#[test]
fn routers_that_do_not_know_each_other_all_protect_the_origin_and_recover() {
    let feed = StubFeed::start();
    let boxes = [(); 2].map(|()| StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec())));
    let (hubs, library) = (
        [(); 3].map(|()| StubEndpoint::start(StubBehavior::Status("full"))),
        StubEndpoint::start(StubBehavior::Status("full")),
    );
    let mut lines = vec![endpoint_line("s-o", library.addr, "origin", "ready")];
    for (name, endpoint) in ["s-a", "s-b"].iter().zip(&boxes) {
        lines.push(endpoint_line(name, endpoint.addr, "std", "ready"));
    }
    for (name, endpoint) in ["s-h1", "s-h2", "s-h3"].iter().zip(&hubs) {
        lines.push(endpoint_line(name, endpoint.addr, "parent", "ready"));
    }
    feed.publish_endpoints(true, &lines);
    let nodes: Vec<RouterProcess> = (0..3).map(|_| RouterProcess::start(&feed)).collect();
    let mut clients: Vec<Client> = nodes.iter().map(|n| Client::connect(n.addr)).collect();
    for client in &mut clients {
        client.send_request(1, "docs", 5_000_000, ",obj=0000000000000005");
        client.answer();
    }
    // A request for an object of its own to each router.
    let (mut tag, mut rid) = (1, 0);
    let mut round = |clients: &mut [Client]| {
        tag += 1;
        clients.iter_mut().for_each(|c| {
            rid += 1;
            c.get(tag, "docs", rid, 1_000 + rid);
        });
    };
    wait_until("the list at all routers", || {
        round(&mut clients);
        Some(()).filter(|()| boxes.iter().map(StubEndpoint::count).sum::<usize>() > 30)
    });
    (0..30).for_each(|_| round(&mut clients));
    assert_eq!(shallow(&boxes).1, 0, "nothing was refused yet");
    // The origin rejects requests: every miss is rejected, by whichever parent cache.
    boxes.iter().for_each(|b| b.set_behavior(StubBehavior::Status("full")));
    (0..30).for_each(|_| round(&mut clients));
    boxes.iter().for_each(|b| drop(b.take_received()));
    boxes.iter().for_each(|b| b.set_behavior(StubBehavior::Data(b"some bytes".to_vec())));
    (0..10).for_each(|_| round(&mut clients));
    let (named, spared) = shallow(&boxes);
    assert!(spared * 10 >= named * 7, "{spared} of {named} fills spared the library");
    // It is healthy again, and every router detects that by the requests that it still sends.
    wait_until("all fills whole again", || {
        boxes.iter().for_each(|b| drop(b.take_received()));
        (0..10).for_each(|_| round(&mut clients));
        std::thread::sleep(std::time::Duration::from_millis(300));
        Some(shallow(&boxes)).filter(|(named, spared)| *named > 0 && *spared == 0)
    });
}
