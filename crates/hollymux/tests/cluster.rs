//! Clusters of router processes, with faults in the network between them and in the processes.

mod common;

use common::reserved_address::{free_udp_address, ReservedAddress};
use common::*;
use hollymux_simulation::link_fault::LinkFault;
use hollymux_simulation::relay::Relay;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CUT: LinkFault = LinkFault::CUT;

/// Routers that send their datagrams through a relay, with the same endpoints and endpoint feed.
struct Cluster {
    feed: StubFeed,
    endpoints: [StubEndpoint; 3],
    relay: Relay,
    processes: Vec<Option<RouterProcess>>,
    seeds: Vec<usize>,
    /// Further fields of the cluster section.
    more_fields: &'static str,
}

impl Cluster {
    fn new(routers: usize) -> Cluster {
        let feed = StubFeed::start();
        let behavior = StubBehavior::Data(b"some bytes".to_vec());
        let endpoints = [behavior.clone(), behavior.clone(), behavior].map(StubEndpoint::start);
        feed.publish_endpoints(true, &endpoint_lines(&endpoints));
        let relay = Relay::start(routers, 7).unwrap();
        Cluster {
            feed,
            endpoints,
            relay,
            processes: (0..routers).map(|_| None).collect(),
            seeds: vec![0, 1],
            more_fields: "",
        }
    }

    /// Starts all routers and waits until their membership has converged.
    fn all_started(routers: usize) -> Cluster {
        let mut cluster = Cluster::new(routers);
        (0..routers).for_each(|router| cluster.start(router));
        cluster.wait_for_convergence(&(0..routers).collect::<Vec<_>>());
        cluster
    }

    /// Starts five routers with leased quotas behind a relay of `places` addresses, and waits until
    /// all of them use their own quota share.
    fn with_leased_quotas(places: usize) -> Cluster {
        let mut cluster = Cluster { more_fields: ", limits: {}", ..Cluster::new(places) };
        FIVE.iter().for_each(|router| cluster.start(*router));
        cluster.wait_for_convergence(&FIVE);
        wait_until("five routers to use their own quota share", || {
            FIVE.iter().all(|router| cluster.uses_its_share(*router, 5)).then_some(())
        });
        cluster
    }

    fn section(&self, router: usize, name: &str) -> String {
        let seeds: Vec<String> =
            self.seeds.iter().map(|s| format!("'{}'", self.relay.addresses[*s])).collect();
        format!(
            "{{fleet: {{name: '{name}', listen: '127.0.0.1:0', advertise: '{}', seeds: [{}]{}}}}}",
            self.relay.addresses[router],
            seeds.join(","),
            self.more_fields
        )
    }

    fn start(&mut self, router: usize) {
        self.start_as(router, &format!("n{}", router + 1), "test");
    }

    fn start_as(&mut self, router: usize, name: &str, cluster_name: &str) {
        let config = with_admin_endpoint(&config(self.feed.addr))
            .replace("\"name\":\"n1\"", &format!("\"name\":\"{name}\""));
        let config = config.replace("\"groupSize\":1", "\"groupSize\":2").replace("[1,0]", "[2,0]");
        let process =
            RouterProcess::with_config_and_operator_file(&config, &self.section(router, cluster_name));
        let cluster_address = process.cluster.expect("the router logged no address for cluster datagrams");
        self.relay.set_destination(router, cluster_address);
        self.processes[router] = Some(process);
    }

    fn kill(&mut self, router: usize) {
        self.processes[router] = None;
    }

    fn process(&self, router: usize) -> &RouterProcess {
        self.processes[router].as_ref().expect("the router is not running")
    }

    fn status(&self, router: usize) -> Value {
        let (code, body) = admin_call(admin_address(self.process(router)), "GET /status/fleet");
        assert_eq!(code, 200, "{body}");
        serde_json::from_str(&body).unwrap()
    }

    fn limits(&self, router: usize) -> Value {
        let (code, body) = admin_call(admin_address(self.process(router)), "GET /status/fleet/limits");
        assert_eq!(code, 200, "{body}");
        serde_json::from_str(&body).unwrap()
    }

    fn uses_its_share(&self, router: usize, of: u64) -> bool {
        let limits = self.limits(router);
        limits["share_in_use"] == true && limits["divided_by"] == of
    }

    /// The state of router `of` as router `observer` reports it; `None` if it lists no such router.
    fn reported_state(&self, observer: usize, of: usize) -> Option<String> {
        let address = self.relay.addresses[of].to_string();
        let status = self.status(observer);
        let other = status["others"].as_array()?.iter().find(|o| o["address"] == address.as_str())?;
        other["state"].as_str().map(str::to_string)
    }

    fn all_report(&self, observers: &[usize], of: usize, state: &str) -> bool {
        observers
            .iter()
            .filter(|observer| **observer != of)
            .all(|observer| self.reported_state(*observer, of).as_deref() == Some(state))
    }

    /// Whether these routers have converged on one membership in which all of them are alive.
    fn has_converged(&self, routers: &[usize]) -> bool {
        let all: Vec<Value> = routers.iter().map(|router| self.status(*router)).collect();
        let digests: BTreeSet<&str> = all.iter().filter_map(|s| s["digest"].as_str()).collect();
        let settled =
            all.iter().all(|s| s["settled"] == true && s["reachable"].as_u64() >= Some(routers.len() as u64));
        digests.len() == 1 && settled && routers.iter().all(|of| self.all_report(routers, *of, "alive"))
    }

    fn wait_for_convergence(&self, routers: &[usize]) {
        wait_until(&format!("the membership of {routers:?} to converge"), || {
            self.has_converged(routers).then_some(())
        });
    }

    fn wait_for_failure(&self, observers: &[usize], of: usize) {
        wait_until(&format!("{observers:?} to report {of} as failed"), || {
            self.all_report(observers, of, "lost").then_some(())
        });
    }

    fn status_number(&self, router: usize, key: &str) -> u64 {
        self.status(router)[key].as_u64().unwrap()
    }

    /// Number of log lines of these routers that contain `text` since the routers started.
    fn count_log_lines(&self, observers: &[usize], text: &str) -> usize {
        observers.iter().map(|router| self.process(*router).count_log_lines(text)).sum()
    }
}

/// Clients that send requests to routers continuously until the load is stopped.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(u64, u64)>>,
}

impl Load {
    fn start(cluster: &Cluster, routers: &[usize]) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let start_client = |router: &usize| {
            let (stop, addr, seed) =
                (stop.clone(), cluster.process(*router).addr, (*router as u64 + 1) << 32);
            thread::spawn(move || {
                let mut client = Client::connect(addr);
                let (mut sent, mut served) = (0, 0);
                while !stop.load(Ordering::Relaxed) {
                    sent += 1;
                    served +=
                        u64::from(client.get(sent as u32, "docs", seed + sent, sent % 40).contains("good"));
                    thread::sleep(Duration::from_millis(5));
                }
                (sent, served)
            })
        };
        Load { threads: routers.iter().map(start_client).collect(), stop }
    }

    /// Stops the load, and checks that every request was served.
    fn stop_and_check(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let (sent, served) = thread.join().expect("a client got no response");
            assert!(sent > 50 && sent == served, "{served} of {sent} requests were served");
        }
    }
}

const FIVE: [usize; 5] = [0, 1, 2, 3, 4];

/// Guards against a side of a partition that stops counting the other side's routers and so uses
/// their part of a limit. A second partition, of another router, must not keep the first from
/// healing.
#[test]
fn both_sides_of_a_partition_count_all_routers_and_it_heals_while_another_router_is_cut_off() {
    let cluster = Cluster::all_started(5);
    let load = Load::start(&cluster, &FIVE);
    cluster.relay.partition(&[0, 1, 2], &[3, 4]);
    for (side, other) in [([0, 1, 2].as_slice(), [3, 4].as_slice()), (&[3, 4], &[0, 1, 2])] {
        other.iter().for_each(|of| cluster.wait_for_failure(side, *of));
        for router in side {
            assert_eq!(
                cluster.status_number(*router, "at_work_perhaps"),
                5,
                "a side of the partition no longer counts the other"
            );
            assert_eq!(cluster.status_number(*router, "limits_divided_by"), 5);
        }
    }
    cluster.relay.heal();
    cluster.relay.partition(&[1], &[0, 2, 3, 4]);
    cluster.wait_for_convergence(&[0, 2, 3, 4]);
    cluster.wait_for_failure(&[0, 2, 3, 4], 1);
    assert_eq!(cluster.status_number(0, "at_work_perhaps"), 5);
    cluster.relay.heal();
    cluster.wait_for_convergence(&FIVE);
    load.stop_and_check();
}

/// Guards against a router that declares all others failed because its own datagrams, sent or
/// received, are lost.
#[test]
fn an_isolated_router_declares_no_other_failed() {
    for inbound_only in [true, false] {
        let cluster = Cluster::all_started(5);
        if inbound_only {
            cluster.relay.set_link_fault(&[4], &FIVE, CUT);
        } else {
            cluster.relay.set_link_fault(&FIVE, &[4], CUT);
        }
        cluster.wait_for_failure(&[0, 1, 2, 3], 4);
        wait_until("the isolated router to report that no other responds", || {
            (cluster.status(4)["deaf"] == true).then_some(())
        });
        let healthy: Vec<usize> =
            (0..4).filter(|of| cluster.all_report(&[0, 1, 2, 3], *of, "alive")).collect();
        assert_eq!(healthy, [0, 1, 2, 3]);
        for n in 1..=4 {
            assert_eq!(
                cluster.count_log_lines(
                    &[0, 1, 2, 3],
                    &format!(
                        "router failed, it may still be active address={} router=n{n}",
                        cluster.relay.addresses[n - 1]
                    )
                ),
                0
            );
        }
        cluster.relay.heal();
        cluster.wait_for_convergence(&FIVE);
    }
}

/// Guards against declaring a router failed when only the direct link to it is cut: the probes must
/// go through other routers.
#[test]
fn routers_that_reach_each_other_only_indirectly_report_each_other_alive() {
    let cluster = Cluster::all_started(6);
    cluster.relay.partition(&[0, 1], &[4, 5]);
    thread::sleep(Duration::from_secs(12));
    assert_eq!(cluster.count_log_lines(&[0, 1, 2, 3, 4, 5], "router failed"), 0);
    cluster.wait_for_convergence(&[0, 1, 2, 3, 4, 5]);
}

/// Guards against late datagrams of a router's earlier process that change its membership after the
/// restart, whether or not others had suspected it before.
#[test]
fn a_restart_supersedes_the_earlier_start_and_late_datagrams_change_nothing() {
    let mut cluster = Cluster::all_started(5);
    let others = [0, 1, 3, 4];
    for suspected in [false, true] {
        // Datagrams of router 2 arrive 10 s late.
        cluster.relay.set_link_fault(&[2], &others, LinkFault { delay: 10_000_000, ..LinkFault::default() });
        if suspected {
            wait_until("a router to suspect the restarting one", || {
                others
                    .iter()
                    .any(|router| cluster.reported_state(*router, 2).as_deref() == Some("suspect"))
                    .then_some(())
            });
        }
        cluster.kill(2);
        cluster.relay.heal();
        cluster.start(2);
        cluster.wait_for_convergence(&FIVE);
        let start = cluster.status(2)["own"]["start"].as_u64();
        let before = cluster.count_log_lines(&FIVE, "router failed");
        thread::sleep(Duration::from_secs(11));
        assert_eq!(cluster.count_log_lines(&FIVE, "router failed"), before);
        assert!(cluster.has_converged(&FIVE));
        assert_eq!(cluster.status(2)["own"]["start"].as_u64(), start);
        assert_eq!(cluster.status_number(0, "at_work_perhaps"), 5);
    }
}

/// Guards against declaring a router failed after a short pause of its process, and against a
/// paused router that, when it continues, suspects the others.
#[test]
fn a_pause_of_1_s_fails_no_router_and_one_of_15_s_is_recovered_from() {
    let cluster = Cluster::all_started(5);
    let others = [0, 2, 3, 4];
    cluster.process(1).signal("-STOP");
    thread::sleep(Duration::from_secs(1));
    cluster.process(1).signal("-CONT");
    thread::sleep(Duration::from_secs(5));
    assert_eq!(cluster.count_log_lines(&FIVE, "router failed"), 0);
    let paused = Instant::now();
    cluster.process(1).signal("-STOP");
    cluster.wait_for_failure(&others, 1);
    thread::sleep(Duration::from_secs(15).saturating_sub(paused.elapsed()));
    cluster.process(1).signal("-CONT");
    cluster.wait_for_convergence(&FIVE);
    assert!(cluster.count_log_lines(&[1], "this process was paused") >= 1);
    assert_eq!(
        cluster.count_log_lines(&[1], "router suspected"),
        0,
        "the paused router suspected another one after its pause"
    );
}

/// Guards against counting two routers as one when they were given the same name, against mixing up
/// clusters, and against seeds that are down or name only the router itself.
#[test]
fn two_routers_with_one_name_are_both_counted_and_another_cluster_or_a_dead_seed_does_no_harm() {
    let mut cluster = Cluster::new(6);
    // The seeds are not running yet, so no router learns of another.
    for router in 2..5 {
        cluster.start_as(router, if router == 4 { "n3" } else { "n9" }, "test");
    }
    cluster.start_as(5, "n6", "other");
    thread::sleep(Duration::from_secs(2));
    assert!((2..6).all(|router| cluster.status_number(router, "at_work_perhaps") == 1));
    assert!(
        (2..5).all(|router| cluster.status_number(router, "limits_divided_by") == 2),
        "limits are divided by less than the configured number of routers"
    );
    // The seed list contains only the router itself. Other routers still find it.
    cluster.seeds = vec![0];
    cluster.start_as(0, "n3", "test");
    cluster.seeds = vec![0, 1];
    cluster.start(1);
    cluster.wait_for_convergence(&FIVE);
    thread::sleep(Duration::from_secs(5));
    assert!(
        FIVE.iter().all(|router| cluster.status_number(*router, "at_work_perhaps") == 5),
        "not both routers of one name are counted"
    );
    assert!(
        FIVE.iter().all(|router| cluster
            .count_log_lines(&[*router], "two routers have one name, both are counted router=n3")
            <= 1),
        "the duplicate name was logged more than once"
    );
    assert_eq!(cluster.count_log_lines(&FIVE, "router failed"), 0, "a router was declared failed");
    assert_eq!(cluster.status_number(5, "at_work_perhaps"), 1);
}

/// Guards against a router with a lossy link that makes the cluster declare healthy routers failed.
#[test]
fn a_router_that_loses_half_of_its_datagrams_has_no_healthy_one_declared_failed() {
    let cluster = Cluster::all_started(5);
    let half_lost = LinkFault { loss: 0.5, ..LinkFault::default() };
    cluster.relay.set_link_fault(&[4], &FIVE, half_lost);
    cluster.relay.set_link_fault(&FIVE, &[4], half_lost);
    thread::sleep(Duration::from_secs(20));
    for n in 0..4 {
        assert_eq!(
            cluster.count_log_lines(
                &FIVE,
                &format!("router failed, it may still be active address={} ", cluster.relay.addresses[n])
            ),
            0,
            "the healthy router n{} was declared failed",
            n + 1
        );
    }
}

/// Guards against invalid or replayed datagrams that change the membership, consume memory or stop
/// service.
#[test]
fn thousands_of_invalid_and_replayed_datagrams_stop_no_service_and_change_no_membership() {
    let cluster = Cluster::all_started(5);
    let before = cluster.status(0);
    let valid_datagram = cluster.relay.latest_datagram(1, 0).unwrap();
    let load = Load::start(&cluster, &[0]);
    let memory = || {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", cluster.process(0).child.id())).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap()
    };
    let (start, address) = (memory(), cluster.process(0).cluster.unwrap());
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..60_000u32 {
        let mut bytes = valid_datagram.clone();
        match n % 4 {
            0 => bytes = n.to_le_bytes().repeat(40),
            1 => bytes.truncate(n as usize % valid_datagram.len()),
            2 => bytes = vec![1; 3_000],
            _ => {}
        }
        socket.send_to(&bytes, address).unwrap();
        if n % 200 == 0 {
            thread::sleep(Duration::from_millis(10));
        }
    }
    load.stop_and_check();
    let after = cluster.status(0);
    let unread: u64 = after["datagrams"]["unread"].as_array().unwrap().iter().filter_map(Value::as_u64).sum();
    assert!(unread > 10_000, "only {unread} of 45000 invalid datagrams were counted as unread");
    assert_eq!(after["digest"], before["digest"]);
    assert!(memory() < start + 4_096, "memory grew from {start} KB to {} KB", memory());
    assert_eq!(cluster.count_log_lines(&FIVE, "router failed"), 0);
}

/// Guards against a handover that other routers take for a failure and a restart, or count as two
/// routers; and against losing the cluster address in a handover.
#[test]
fn a_handover_keeps_the_identity_and_the_predecessor_takes_it_back_if_its_successor_dies() {
    let mut cluster = Cluster::new(5);
    // The cluster address is handed over too, so it must be known before: use a free one chosen by
    // the system.
    let cluster_address = free_udp_address();
    let reserved = ReservedAddress::new();
    let client_address = reserved.addr;
    let dir = temp_file("nothing", "").parent().unwrap().to_path_buf();
    let section = cluster.section(4, "test").replace("127.0.0.1:0", &cluster_address.to_string());
    let listen = format!("\"listen\":\"{client_address}\"");
    let config =
        with_admin_endpoint(&config(cluster.feed.addr)).replace("\"listen\":\"127.0.0.1:0\"", &listen);
    let config = config.replace("\"name\":\"n1\"", "\"name\":\"n5\"");
    (0..4).for_each(|router| cluster.start(router));
    cluster.processes[4] = Some(RouterProcess::with_operator_file_and_handover_dir(&config, &section, &dir));
    cluster.relay.set_destination(4, cluster_address);
    cluster.wait_for_convergence(&FIVE);
    let status_of = |process: &RouterProcess| -> Value {
        serde_json::from_str(&admin_call(admin_address(process), "GET /status/fleet").1).unwrap()
    };
    let wait_until_ready = |process: &RouterProcess| {
        wait_until("the router to be ready", || {
            (admin_call(admin_address(process), "GET /status").0 == 200).then_some(())
        })
    };
    let before = cluster.status(4);
    for successor_dies in [true, false] {
        wait_until_ready(cluster.process(4));
        let successor = RouterProcess::with_operator_file_and_handover_dir(&config, &section, &dir);
        wait_until("the successor to receive at the cluster address", || {
            (status_of(&successor)["heard"] == true).then_some(())
        });
        assert_eq!(status_of(cluster.process(4))["heard"], false);
        assert_eq!(status_of(&successor)["own"]["start"], before["own"]["start"]);
        if successor_dies {
            drop(successor);
            wait_until("the predecessor to receive at the cluster address again", || {
                (status_of(cluster.process(4))["heard"] == true).then_some(())
            });
        } else {
            cluster.processes[4] = Some(successor);
        }
        cluster.wait_for_convergence(&FIVE);
        assert_eq!(cluster.status_number(0, "at_work_perhaps"), 5);
    }
    let others = [0, 1, 2, 3];
    for text in ["router failed", "router restarted", "router left", "two routers have one name"] {
        assert_eq!(cluster.count_log_lines(&others, text), 0, "{text}");
    }
    let _result = std::fs::remove_dir_all(&dir);
}

/// Guards against side effects of clustering in a router without a cluster section: it must have no
/// additional descriptor or thread, no cluster metrics and no report.
#[test]
fn without_the_section_there_is_no_membership() {
    let cluster = Cluster::all_started(2);
    let without_cluster =
        RouterProcess::with_config_and_operator_file(&with_admin_endpoint(&config(cluster.feed.addr)), "{}");
    let count = |process: &RouterProcess, what: &str| {
        std::fs::read_dir(format!("/proc/{}/{what}", process.child.id())).unwrap().count()
    };
    let udp_socket_count = |process: &RouterProcess| {
        let inodes: BTreeSet<String> = std::fs::read_to_string("/proc/net/udp")
            .unwrap()
            .lines()
            .filter_map(|line| Some(format!("socket:[{}]", line.split_whitespace().nth(9)?)))
            .collect();
        let links = std::fs::read_dir(format!("/proc/{}/fd", process.child.id())).unwrap();
        links
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .filter(|link| inodes.contains(&link.to_string_lossy().into_owned()))
            .count()
    };
    wait_until("the router without a cluster to be ready", || {
        (admin_call(admin_address(&without_cluster), "GET /status").0 == 200).then_some(())
    });
    assert_eq!((udp_socket_count(&without_cluster), udp_socket_count(cluster.process(0))), (0, 1));
    assert_eq!((count(&without_cluster, "task"), count(cluster.process(0), "task")), (1, 1));
    assert_eq!(admin_call(admin_address(&without_cluster), "GET /status/fleet").0, 404);
    assert!(!admin_call(admin_address(&without_cluster), "GET /status/metrics").1.contains("fleet"));
    assert!(admin_call(admin_address(cluster.process(0)), "GET /status/metrics")
        .1
        .contains("svc.fleet_at_work_perhaps=2"));
    let _used = &cluster.endpoints;
}

/// Guards against a new router that uses its own quota share before all possibly active routers
/// divide by the new number, and against one that never gets its share: a router that is cut off
/// can't confirm that it counts the new one.
#[test]
fn a_router_uses_its_own_share_only_when_all_others_count_it() {
    let mut cluster = Cluster::with_leased_quotas(6);
    cluster.relay.partition(&[4], &[0, 1, 2, 3, 5]);
    cluster.wait_for_failure(&[0, 1, 2, 3], 4);
    cluster.start(5);
    let assert_only_not_counted_by = |not: usize| {
        let limits = cluster.limits(5);
        assert_eq!(limits["share_in_use"], false, "{limits}");
        assert_eq!(limits["not_counted_by"], serde_json::json!([cluster.relay.addresses[not].to_string()]));
    };
    wait_until("all but the isolated router to count the new one", || {
        let limits = cluster.limits(5);
        (limits["not_counted_by"].as_array().map(Vec::len) == Some(1)).then_some(())
    });
    assert_only_not_counted_by(4);
    // The other routers have reduced their shares all the same, and the one that is cut off keeps
    // no more than its own.
    wait_until("four routers to divide by six", || {
        [0, 1, 2, 3].iter().all(|router| cluster.uses_its_share(*router, 6)).then_some(())
    });
    assert!(cluster.uses_its_share(4, 5));
    cluster.relay.heal();
    wait_until("six routers to use their own quota share", || {
        (0..6).all(|router| cluster.uses_its_share(router, 6)).then_some(())
    });
}

/// Guards against a rolling restart in which routers never get their shares back because one
/// machine is down: the routers that knew a restarted one must confirm its share.
#[test]
fn a_restarted_router_gets_its_share_back_while_another_is_down() {
    let mut cluster = Cluster::with_leased_quotas(5);
    cluster.kill(4);
    cluster.wait_for_failure(&[0, 1, 2, 3], 4);
    for router in 0..4 {
        cluster.kill(router);
        cluster.start(router);
        assert_eq!(
            cluster.limits(router)["share_in_use"],
            false,
            "the share is in use although leases granted before the restart may still be"
        );
        wait_until("the restarted router to use its quota share", || {
            cluster.uses_its_share(router, 5).then_some(())
        });
    }
    assert!((0..4).all(|router| cluster.uses_its_share(router, 5)));
}

/// Guards against routers that together overload a parent cache that is warming up. Quota is leased
/// to the busy routers while links fail, one router is killed and one is paused.
#[test]
fn seven_routers_never_overload_a_parent_cache_that_warms_up_whatever_fails() {
    for scenario in ["cold-hub", "split-limits"] {
        let path = format!("{}/../../examples/fleet/{scenario}.json5", env!("CARGO_MANIFEST_DIR"));
        let run = ["lab", "run", &path, "--json", "--log", "error"];
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_hollymux")).args(run).output().unwrap();
        let text = String::from_utf8_lossy(&output.stdout);
        let report: Value = serde_json::from_str(&text).expect("the simulation printed no JSON report");
        assert_eq!(report["broken"], serde_json::json!({}), "{scenario}: {text}");
        assert_eq!(report["fleet"]["false_lost"], 0, "{scenario}");
        let cold_parent_limit = &report["limits"]["cold hub"];
        assert!(
            cold_parent_limit["came_mean"].as_f64() > Some(0.0),
            "{scenario}: no parent cache was cold: {cold_parent_limit}"
        );
    }
}

/// Guards against leasing quotas without a section that enables it.
#[test]
fn without_the_section_no_quota_is_leased() {
    let cluster = Cluster::all_started(2);
    let (code, body) = admin_call(admin_address(cluster.process(0)), "GET /status/fleet/limits");
    assert_eq!((code, body.trim()), (404, "no: the section fleet.limits is off"));
    assert_eq!(cluster.count_log_lines(&[0, 1], "own quota share"), 0);
}
