//! Many processes at once, none of which knows the others: what each does alone adds up.

mod common;

use common::manual_endpoints::{HeldAttempt, ManualEndpoints};
use common::reserved_address::ReservedAddress;
use common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ROUTERS: usize = 24;

/// Configurations of so many routers, each with a seed of its own.
fn configs(feeds: &[StubFeed], count: usize) -> Vec<String> {
    let one = |i: usize| {
        config(feeds[i % feeds.len()].addr)
            .replace(
                "8c1f30d27a5be964",
                &format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(i as u64 + 1)),
            )
            .replace("\"groupSize\":1", &format!("\"groupSize\":{count}"))
            .replace("\"countByZone\":[1,0]", &format!("\"countByZone\":[{count},0]"))
    };
    (0..count).map(one).collect()
}

/// Guards against an edge cache that warms up and fails under the sum of what all routers send it:
/// none of them knows the others, their traffic is uneven, and they learn of its start at different
/// times.
#[test]
fn all_routers_together_stay_within_the_warm_up_budget_of_an_edge_cache() {
    // An answer takes 0.2 s to send at the rate that the configuration gives.
    const BYTES: usize = 62_000;
    const WORK: f64 = BYTES as f64 / 310_000.0;
    let feeds = [StubFeed::start(), StubFeed::start(), StubFeed::start()];
    let [a, b, cold] = [(); 3].map(|()| StubEndpoint::start(StubBehavior::Data(vec![b'x'; BYTES])));
    let lines = [endpoint_line("s-a", a.addr, "std", "ready"), endpoint_line("s-b", b.addr, "std", "ready")];
    for feed in &feeds {
        feed.publish_endpoints(true, &lines);
    }
    let nodes = RouterProcess::start_all(&configs(&feeds, ROUTERS));
    let rids = AtomicU64::new(1);
    let over = Instant::now() + Duration::from_secs(10);
    let load = |i: usize, addr: SocketAddr| {
        let mut client = Client::connect(addr);
        // From 5 to 51 requests a second.
        let gap = Duration::from_millis(1_000 / (5 + 2 * i as u64));
        let mut tag = 0;
        while Instant::now() < over {
            tag += 1;
            let rid = rids.fetch_add(1, Ordering::Relaxed);
            client.get(tag, "docs", rid, rid);
            thread::sleep(gap);
        }
    };
    let boot = thread::scope(|scope| {
        for (i, node) in nodes.iter().enumerate() {
            let (load, addr) = (&load, node.addr);
            scope.spawn(move || load(i, addr));
        }
        // What a request takes is known by then.
        thread::sleep(Duration::from_secs(2));
        let boot = (Instant::now(), unix_ms());
        for feed in &feeds {
            feed.publish_endpoints(
                false,
                &[endpoint_line_started_at("s-c", cold.addr, "std", "ready", boot.1)],
            );
            thread::sleep(Duration::from_millis(400));
        }
        boot.0
    });
    // SETTINGS: from 0.18 of 4 transfers to all of them in 17 s; it falls at 2.5 times that for 1.5
    // s.
    let window = Duration::from_millis(1_500);
    let at: Vec<Instant> = cold.received().iter().map(|asked| asked.at).collect();
    let warm = a.count() + b.count();
    assert!(at.len() >= 3 && warm > 1_000, "{} at the cold box, {warm} at the others", at.len());
    for from in &at {
        let count = at.iter().filter(|t| *t >= from && **t < *from + window).count() as f64;
        let age = from.duration_since(boot).as_secs_f64();
        let able = 4.0 * (0.18 + 0.82 * age / 17.0);
        let most = 2.5 * able * window.as_secs_f64() / WORK;
        let chance = 2.0 * most.sqrt() + 2.0;
        assert!(count <= most + chance, "{count} in a window from {age:.2} s on, where {most:.1} are borne");
    }
}

/// Guards against restarted processes that wait for a feed that says nothing: clients come back
/// within 10 s.
#[test]
fn restarted_processes_are_ready_though_the_feed_is_silent() {
    let feeds = [StubFeed::start()];
    let configs = configs(&feeds, 20);
    let reserved: Vec<ReservedAddress> = configs.iter().map(|_| ReservedAddress::new()).collect();
    let at = |(config, reserved): (&String, &ReservedAddress)| {
        config.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{}\"", reserved.addr))
    };
    let configs: Vec<String> = configs.iter().zip(&reserved).map(at).collect();
    let mut nodes = RouterProcess::start_all(&configs);
    // The front asks on a connection that it keeps.
    let held: Vec<Client> = nodes.iter().map(|n| Client::connect(n.addr)).collect();
    nodes.iter().for_each(|n| n.signal("-KILL"));
    nodes.iter_mut().for_each(|n| drop(n.wait_for_exit()));
    feeds[0].set_silent(true);
    let start = Instant::now();
    let again = RouterProcess::start_all(&configs);
    let fit = |node: &RouterProcess| {
        let mut client = Client::connect(node.addr);
        client.send(&resp_array(&[b"PING", b"1", b""]));
        let answer = client.answer();
        (answer == "1 fit").then(|| start.elapsed())
    };
    let ready: Vec<Option<Duration>> = again.iter().map(fit).collect();
    let in_time = ready.iter().flatten().filter(|t| **t < Duration::from_secs(10)).count();
    assert!(in_time * 10 >= again.len() * 9, "ready after {ready:?}");
    drop(held);
}

/// Guards against all routers connecting to the feed at the same time, when all their watches have
/// fallen silent at once.
#[test]
fn silent_watches_are_reconnected_at_different_times() {
    let feeds = [StubFeed::start()];
    let nodes = RouterProcess::start_all(&configs(&feeds, 12));
    let calls = |more: usize| {
        wait_until("calls", || {
            (feeds[0].connection_times().len() >= more).then(|| feeds[0].connection_times())
        })
    };
    calls(12);
    // At the same time to begin with: all connect again at once, and receive nothing from then on.
    feeds[0].close_connections();
    let before = calls(24);
    feeds[0].set_silent(true);
    let after = calls(36);
    let (first, last) = (after[24], after[35]);
    let heard = before[23];
    assert!(first > heard + Duration::from_millis(1_500), "called anew after {:?}", first - heard);
    assert!(last < heard + Duration::from_millis(5_000), "called anew after {:?}", last - heard);
    assert!(last - first > Duration::from_millis(400), "all within {:?}", last - first);
    drop(nodes);
}

/// Guards against retry for clients that left while their routers were stopped, at several routers
/// at once: what each sends on is counted over all of them.
#[test]
fn nothing_is_sent_for_clients_that_left_during_a_stall_of_all_routers() {
    let (feeds, manual) = ([StubFeed::start()], ManualEndpoints::start(3));
    feeds[0].publish_endpoints(true, &manual.lines());
    let nodes = RouterProcess::start_all(&configs(&feeds, 6));
    let mut held = Vec::new();
    let leavers: Vec<Client> = nodes
        .iter()
        .enumerate()
        .flat_map(|(n, node)| (0..4).map(move |k| (node.addr, 1 + 4 * n as u64 + k)))
        .map(|(addr, n)| {
            let mut client = Client::connect(addr);
            // Until the list is known there requests are rejected.
            held.push(wait_until("a request at a shelf", || {
                client.send_request(
                    n as u32 + held.len() as u32 * 1_000,
                    "docs",
                    unix_ms() as u64 * 100 + n,
                    &format!(",obj={n:016x}"),
                );
                manual.next_soon()
            }));
            client
        })
        .collect();
    nodes.iter().for_each(RouterProcess::pause);
    held.iter().for_each(|h| h.respond("failed", b""));
    drop(leavers);
    thread::sleep(Duration::from_millis(600));
    nodes.iter().for_each(RouterProcess::resume);
    let more: Vec<String> = manual.remaining().into_iter().map(|h| h.rid).collect();
    assert!(more.is_empty(), "{} of {} sent on: {more:?}", more.len(), held.len());
}

/// Guards against large objects being given up for small ones: of a class's largest tenth two
/// thirds as many are answered as of the class on a quiet day, and half as many while one of three
/// edge caches is silent.
#[test]
fn the_largest_objects_keep_their_share() {
    const RATE: f64 = 310_000.0;
    let (feeds, manual) = ([StubFeed::start()], ManualEndpoints::start(3));
    let kinds = ["s-a", "s-b", "s-c"].iter().zip(&manual.addrs);
    let lines: Vec<String> = kinds.map(|(uid, addr)| endpoint_line(uid, *addr, "std", "ready")).collect();
    feeds[0].publish_endpoints(true, &lines);
    let silent = Arc::new(AtomicBool::new(false));
    let quiet = silent.clone();
    manual.serve(move |held: HeldAttempt| {
        if held.endpoint == 0 && quiet.load(Ordering::Relaxed) {
            return;
        }
        // One in ten takes 0.7 s to send, the others 0.03 s.
        let bytes = if held.rid.ends_with('0') { 220_000 } else { 9_000 };
        thread::sleep(Duration::from_secs_f64(bytes as f64 / RATE));
        held.respond("data", &vec![b'x'; bytes]);
    });
    let nodes = RouterProcess::start_all(&configs(&feeds, 4));
    let rids = AtomicU64::new(1);
    // Requests and answers, of all and of the largest.
    let play = |long: Duration| {
        let [asked, served, large, large_served] = [(); 4].map(|()| AtomicU64::new(0));
        let over = Instant::now() + long;
        let client = |addr: SocketAddr| {
            let mut client = Client::connect(addr);
            let mut tag = 0;
            while Instant::now() < over {
                tag += 1;
                // In decimal: one id in ten ends with 0.
                let n = rids.fetch_add(1, Ordering::Relaxed);
                let rid = u64::from_str_radix(&n.to_string(), 16).unwrap();
                let good = u64::from(client.get(tag, "docs", rid, rid).contains("good"));
                asked.fetch_add(1, Ordering::Relaxed);
                served.fetch_add(good, Ordering::Relaxed);
                if n.is_multiple_of(10) {
                    large.fetch_add(1, Ordering::Relaxed);
                    large_served.fetch_add(good, Ordering::Relaxed);
                }
            }
        };
        thread::scope(|scope| {
            for node in nodes.iter().flat_map(|n| [n, n, n]) {
                let (client, addr) = (&client, node.addr);
                scope.spawn(move || client(addr));
            }
        });
        let counts = [asked, served, large, large_served].map(|c| c.into_inner() as f64);
        (counts[1] / counts[0], counts[3] / counts[2].max(1.0), counts)
    };
    let (all, large, counts) = play(Duration::from_secs(4));
    assert!(counts[2] >= 20.0 && all > 0.9 && large * 3.0 >= all * 2.0, "quiet: {counts:?}");
    silent.store(true, Ordering::Relaxed);
    let (all, large, counts) = play(Duration::from_secs(5));
    assert!(counts[2] >= 20.0 && all > 0.5 && large * 2.0 >= all, "one box silent: {counts:?}");
}

/// Guards against idle clients that hold every descriptor while discovery is down: checks,
/// connections to edge caches, the feed and a process that replaces this one get theirs.
#[test]
fn idle_clients_leave_descriptors_for_everything_else() {
    let feed = StubFeed::start();
    let [a, b] = [(); 2].map(|()| StubEndpoint::start(StubBehavior::Data(b"some bytes".to_vec())));
    feed.publish_endpoints(
        true,
        &[endpoint_line("s-a", a.addr, "std", "ready"), endpoint_line("s-b", b.addr, "std", "ready")],
    );
    let reserved = ReservedAddress::new();
    let addr = reserved.addr;
    let dir = temp_file("nothing", "").parent().unwrap().to_path_buf();
    let config = with_admin_endpoint(&config(feed.addr))
        .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{addr}\""))
        .replace("\"sockets\":1024", "\"sockets\":256");
    let old = RouterProcess::with_handover_dir(&config, &dir);
    let mut tag = 0;
    let mut get = |object: u64| {
        tag += 1;
        Client::connect(addr).get(1, "docs", 0xd00 + tag, object)
    };
    wait_until("the list", || Some(()).filter(|()| get(1).contains("good")));
    feed.set_silent(true);
    let idle: Vec<Client> = (0..400).map(|_| Client::connect(addr)).collect();
    let open =
        |node: &RouterProcess| std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count();
    wait_until("the descriptors to be taken", || (open(&old) > 100).then_some(()));
    let mut front = Client::connect(addr);
    front.send(&resp_array(&[b"PING", b"1", b""]));
    assert_eq!(front.answer(), "1 fit");
    // To both edge caches, on connections of their own.
    let before = (a.count(), b.count());
    wait_until("both boxes", || {
        assert!(get(a.count() as u64 + 7).contains("good"));
        (a.count() > before.0 && b.count() > before.1).then_some(())
    });
    // The feed is connected again, and what it sends is received.
    feed.set_silent(false);
    feed.publish_endpoints(false, &[endpoint_line("s-a", a.addr, "std", "draining")]);
    thread::sleep(Duration::from_millis(3_500));
    let before = a.count();
    for object in 0..20 {
        assert!(get(object).contains("good"));
    }
    assert_eq!(a.count(), before, "the drain was not heard");
    let start = Instant::now();
    let new = RouterProcess::with_handover_dir(&config, &dir);
    wait_until("the new process's yes", || {
        (admin_call(admin_address(&new), "GET /status").0 == 200).then_some(())
    });
    assert!(start.elapsed() < Duration::from_secs(6));
    wait_until("both within one's descriptors", || (open(&old) + open(&new) <= 256).then_some(()));
    assert!(get(3).contains("good"));
    drop((idle, old, new));
}
