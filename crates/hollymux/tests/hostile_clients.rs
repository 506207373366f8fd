//! Clients that misuse the router on purpose, beside usual clients that must notice nothing of it,
//! at the smallest limits of the platform; and usual clients that use all that the protocol allows.

mod common;

use common::manual_endpoints::ManualEndpoints;
use common::*;
use std::collections::BTreeMap;

/// The smallest memory limit of the platform, in MB.
const SMALLEST_MEMORY_MB: u32 = 32;
/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 48_000;

/// A configuration with this memory limit.
fn config_with_memory(feed: &StubFeed, memory_mb: u32) -> String {
    config(feed.addr).replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"))
}

fn start_with_memory(feed: &StubFeed, memory_mb: u32) -> RouterProcess {
    RouterProcess::with_config(&config_with_memory(feed, memory_mb))
}

/// A request whose body has the largest size.
fn filing(tag: u32, rid: u64) -> Vec<u8> {
    let fields = format!("rid={rid:016x},budget=1500,piece=0,lot=17,obj={rid:016x}");
    let body = vec![b'x'; MAX_BODY_BYTES];
    resp_array(&[b"DO", tag.to_string().as_bytes(), b"cert-filing", fields.as_bytes(), &body])
}

/// Sends a ping and waits for its response: the router has read what was sent before on any
/// connection once it has answered two pings, one after the other.
fn ping(client: &mut Client, tag: u32) {
    client.send(&resp_array(&[b"PING", tag.to_string().as_bytes()]));
    assert_eq!(client.read_response(), format!("{tag} fit"));
}

/// Guards against half requests that hold the buffers for the requests and replies of other clients,
/// whose connections were closed with requests open on them.
#[test]
fn half_requests_of_other_clients_cost_no_reply() {
    let feed = StubFeed::start();
    let endpoints = [0, 1, 2].map(|_| StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec())));
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let router = start_with_memory(&feed, SMALLEST_MEMORY_MB);
    let mut usual = Client::connect(router.addr);
    wait_until("the router to know the endpoint list", || {
        Some(usual.get(1, "docs", 1, 5)).filter(|reply| !reply.contains("refused")).or_else(|| {
            usual = Client::connect(router.addr);
            None
        })
    });

    // 250 half requests of 3 buffers each, of 682 buffers.
    let rest_bytes = 100;
    let mut halves: Vec<Client> = (0..250).map(|_| Client::connect(router.addr)).collect();
    for (number, half) in halves.iter_mut().enumerate() {
        let bytes = filing(1, 10_000 + number as u64);
        half.send(&bytes[..bytes.len() - rest_bytes]);
    }
    let mut pinging = Client::connect(router.addr);
    ping(&mut pinging, 1);
    ping(&mut pinging, 2);

    for tag in 2..40 {
        assert_eq!(usual.get(tag, "docs", tag.into(), 7), format!("{tag} good ver=d1 some bytes"));
    }
    usual.send(&filing(40, 40));
    assert_eq!(usual.read_response(), "40 good ver=d1 some bytes");

    // The half request that has been incomplete longest has lost its body, so it is rejected; the
    // newest one is served.
    let rest = &filing(1, 1)[MAX_BODY_BYTES..];
    let rest = &rest[rest.len() - rest_bytes..];
    let newest = halves.last_mut().expect("a half request");
    newest.send(rest);
    assert_eq!(newest.read_response(), "1 good ver=d1 some bytes");
    let oldest = &mut halves[0];
    oldest.send(rest);
    assert_eq!(oldest.read_response(), "1 refused backoff=1000");
    ping(oldest, 2);
}

/// Guards against a response without buffers that ends the connection to its endpoint, and with it
/// the other attempts there: a write that may have run was then failed.
#[test]
fn a_response_without_buffers_costs_no_other_attempt_on_its_connection() {
    let feed = StubFeed::start();
    let endpoints = ManualEndpoints::start(24);
    let kind = |number: usize| if number < 23 { "std" } else { "origin" };
    let lines = endpoints.addrs.iter().enumerate();
    let lines = lines.map(|(n, addr)| endpoint_line(&format!("s-{n}"), *addr, kind(n), "ready"));
    feed.publish_endpoints(true, &lines.collect::<Vec<_>>());
    // No attempt becomes overdue during the test. There are 341 buffers, and descriptors for 23
    // connections to endpoints.
    let config = config_with_memory(&feed, 16)
        .replace("\"onTime\":250000", "\"onTime\":20000000")
        .replace("\"sockets\":1024", "\"sockets\":70");
    let router = RouterProcess::with_config(&config);
    let mut readers: Vec<Client> = (0..8).map(|_| Client::connect(router.addr)).collect();
    wait_until("the router to know the endpoint list", || {
        readers[0].send_request(1, "docs", 1, ",obj=0000000000000001");
        match endpoints.next_soon() {
            Some(attempt) => {
                attempt.respond("data", b"");
                Some(())
            }
            None => {
                readers[0] = Client::connect(router.addr);
                None
            }
        }
    });
    // One read stays open at each edge cache.
    let mut reads = BTreeMap::new();
    for tag in 2.. {
        let reader = &mut readers[tag as usize % 8];
        reader.send_request(tag, "docs", tag.into(), &format!(",obj={tag:016x}"));
        let attempt = endpoints.next();
        if reads.contains_key(&attempt.endpoint) {
            reader.send(&resp_array(&[b"UNDO", tag.to_string().as_bytes()]));
        }
        reads.entry(attempt.endpoint).or_insert(attempt);
        if reads.len() == 23 {
            break;
        }
    }
    let mut writer = Client::connect(router.addr);
    writer.send_request(1, "cert-filing", 1_000, ",obj=0000000000000001");
    let write = endpoints.next();
    let beside_write = reads.remove(&write.endpoint).expect("a read beside the write");
    assert!(write.shares_connection_with(&beside_write));

    // 22 incomplete responses of 15 buffers each leave too few for one more.
    let object = vec![b'x'; 240_000];
    reads.values().for_each(|read| read.begin_response("data", &object, 239_000));
    let mut pinging = Client::connect(router.addr);
    ping(&mut pinging, 1);
    ping(&mut pinging, 2);
    beside_write.respond("data", &object);
    write.respond("data", b"filed");
    assert_eq!(writer.read_response(), "1 good ver=d1 filed");
}

/// Guards against memory that grows with the number of clients that write slowly, stop within a large
/// request, or send heads of very many short fields.
#[test]
fn hundreds_of_clients_with_incomplete_requests_stay_within_the_memory_limit() {
    let feed = StubFeed::start();
    let endpoints = [0, 1, 2].map(|_| StubEndpoint::start(StubBehavior::Data(vec![b'x'; 100_000])));
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let router = start_with_memory(&feed, SMALLEST_MEMORY_MB);
    let mut usual = Client::connect(router.addr);
    wait_until("the router to know the endpoint list", || {
        Some(Client::connect(router.addr).get(1, "docs", 1, 5)).filter(|reply| reply.contains("good"))
    });
    let mut clients: Vec<Client> = (0..460).map(|_| Client::connect(router.addr)).collect();
    let short_fields = "a=1,".repeat(255);
    let long_word = "w".repeat(1_000);
    for round in 1..=6_u32 {
        for (client, number) in clients.iter_mut().zip(0_u32..) {
            match number % 4 {
                // A large request of which a sixth is written in each round.
                0 => {
                    let bytes = filing(1, 10_000 + u64::from(number));
                    let part = bytes.len() / 6;
                    client.try_send(&bytes[part * (round as usize - 1)..part * round as usize]);
                }
                // A large request that stops half way, at the first round.
                1 if round == 1 => client.try_send(&filing(1, 20_000)[..30_000]),
                // Complete requests with very many short fields, and an incomplete one.
                2 => {
                    let tags = round * 40..round * 40 + 30;
                    let request = |tag: u32| {
                        let tag = tag.to_string();
                        resp_array(&[
                            b"DO",
                            tag.as_bytes(),
                            long_word.as_bytes(),
                            short_fields.as_bytes(),
                            b"",
                        ])
                    };
                    client.try_send(&tags.flat_map(request).collect::<Vec<u8>>());
                }
                3 if round == 1 => client.try_send(&request_head(&long_word, &short_fields)),
                _ => {}
            }
        }
        let tag = round;
        assert!(usual.get(tag, "docs", 100 + u64::from(tag), 5).contains("good"), "a usual client");
    }
    let used = router.anonymous_memory_bytes();
    println!("{used} bytes of anonymous memory");
    assert!(used < 24 << 20, "{used} bytes of anonymous memory");
}

/// The beginning of a request with four words of the largest size, up to its body.
fn request_head(long_word: &str, fields: &str) -> Vec<u8> {
    let complete = resp_array(&[b"DO", b"1", long_word.as_bytes(), fields.as_bytes(), b"body"]);
    complete[..complete.len() - b"y\r\n".len()].to_vec()
}

/// Guards against timers that outlive the requests they were set for: clients that repeat what was
/// rejected took the router over its memory limit.
#[test]
fn rejected_requests_leave_nothing_behind() {
    let feed = StubFeed::start();
    let router = start_with_memory(&feed, SMALLEST_MEMORY_MB);
    let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(router.addr)).collect();
    // There is no endpoint, so all requests are rejected at once, long before their deadlines.
    let mut reject = |rounds: std::ops::Range<u32>| {
        for first_tag in rounds.map(|round| round * 32 + 1) {
            for (client, number) in clients.iter_mut().zip(0..) {
                let requests = (first_tag..first_tag + 32).flat_map(|tag| {
                    let rid = u64::from(tag) << 8 | number;
                    let fields = format!("rid={rid:016x},budget=5000,piece=0,lot=17,obj={rid:016x}");
                    resp_array(&[b"DO", tag.to_string().as_bytes(), b"docs", fields.as_bytes(), b""])
                });
                client.send(&requests.collect::<Vec<u8>>());
            }
            for client in &mut clients {
                for _ in 0..32 {
                    assert!(client.read_response().contains("refused"));
                }
            }
        }
    };
    reject(0..50);
    let before = router.anonymous_memory_bytes();
    reject(50..1_000);
    let growth = router.anonymous_memory_bytes().saturating_sub(before);
    assert!(growth < 1 << 20, "the memory grew by {growth} bytes over 121,600 requests");
}

/// Guards against a bounded memory of used tags that takes new tags for used ones: the connection was
/// shut down at its 257th gap, with requests open on it.
#[test]
fn tags_with_gaps_end_no_connection() {
    let feed = StubFeed::start();
    let endpoints = [0, 1, 2].map(|_| StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec())));
    feed.publish_endpoints(true, &endpoint_lines(&endpoints));
    let router = RouterProcess::start(&feed);
    let mut client = Client::connect(router.addr);
    wait_until("the router to know the endpoint list", || {
        Some(Client::connect(router.addr).get(1, "docs", 1, 5)).filter(|reply| !reply.contains("refused"))
    });
    endpoints.iter().for_each(|endpoint| endpoint.set_behavior(StubBehavior::NoResponse));
    let fields = "rid=0000000000000002,budget=5900,piece=0,lot=17,obj=0000000000000007";
    client.send(&resp_array(&[b"DO", b"1", b"cert-filing", fields.as_bytes(), b"a body"]));
    let is_write = |attempt: &ReceivedAttempt| attempt.rid == "0000000000000002";
    wait_until("the write to arrive at an endpoint", || {
        endpoints.iter().any(|endpoint| endpoint.received().iter().any(is_write)).then_some(())
    });
    endpoints.iter().for_each(|endpoint| endpoint.set_behavior(StubBehavior::Data(b"some bytes".to_vec())));
    // One counter for requests and pings.
    for tag in (3..1_003).step_by(2) {
        assert_eq!(client.get(tag, "docs", tag.into(), 7), format!("{tag} good ver=d1 some bytes"));
        ping(&mut client, tag + 1);
    }
    // The tag of the write, which is open, is noticed however many came after it.
    client.send_request(1, "docs", 5_000, ",obj=0000000000000007");
    assert_eq!(client.read_response(), "end");
}
