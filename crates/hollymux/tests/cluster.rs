//! Several processes of the program that know each other, with faults between them and in them.

mod common;

use common::reserved_address::ReservedAddress;
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

/// Routers behind a relay, each with the same endpoints and endpoint feed.
struct Cluster {
    feed: StubFeed,
    endpoints: [StubEndpoint; 3],
    relay: Relay,
    nodes: Vec<Option<RouterProcess>>,
    seeds: Vec<usize>,
    /// More of the section.
    more: &'static str,
}

impl Cluster {
    fn new(routers: usize) -> Cluster {
        let feed = StubFeed::start();
        let does = StubBehavior::Data(b"some bytes".to_vec());
        let endpoints = [does.clone(), does.clone(), does].map(StubEndpoint::start);
        feed.publish_endpoints(true, &endpoint_lines(&endpoints));
        let relay = Relay::start(routers, 7).unwrap();
        Cluster {
            feed,
            endpoints,
            relay,
            nodes: (0..routers).map(|_| None).collect(),
            seeds: vec![0, 1],
            more: "",
        }
    }

    /// All are started, and agree.
    fn all_started(routers: usize) -> Cluster {
        let mut cluster = Cluster::new(routers);
        (0..routers).for_each(|r| cluster.start(r));
        cluster.settles(&(0..routers).collect::<Vec<_>>());
        cluster
    }

    /// Five routers of so many places whose shares of warm-up budgets are in use.
    fn on_lease(places: usize) -> Cluster {
        let mut cluster = Cluster { more: ", limits: {}", ..Cluster::new(places) };
        FIVE.iter().for_each(|r| cluster.start(*r));
        cluster.settles(&FIVE);
        wait_until("five shares in use", || FIVE.iter().all(|r| cluster.uses_its_share(*r, 5)).then_some(()));
        cluster
    }

    fn section(&self, router: usize, name: &str) -> String {
        let seeds: Vec<String> =
            self.seeds.iter().map(|s| format!("'{}'", self.relay.addresses[*s])).collect();
        format!(
            "{{fleet: {{name: '{name}', listen: '127.0.0.1:0', advertise: '{}', seeds: [{}]{}}}}}",
            self.relay.addresses[router],
            seeds.join(","),
            self.more
        )
    }

    fn start(&mut self, router: usize) {
        self.start_as(router, &format!("n{}", router + 1), "test");
    }

    fn start_as(&mut self, router: usize, name: &str, cluster_name: &str) {
        let config = with_admin_endpoint(&config(self.feed.addr))
            .replace("\"name\":\"n1\"", &format!("\"name\":\"{name}\""));
        let config = config.replace("\"groupSize\":1", "\"groupSize\":2").replace("[1,0]", "[2,0]");
        let node = RouterProcess::with_config_and_operator_file(&config, &self.section(router, cluster_name));
        let heard = node.cluster.expect("the program says where it hears others");
        self.relay.set_destination(router, heard);
        self.nodes[router] = Some(node);
    }

    fn kill(&mut self, router: usize) {
        self.nodes[router] = None;
    }

    fn node(&self, router: usize) -> &RouterProcess {
        self.nodes[router].as_ref().expect("it runs")
    }

    fn status(&self, router: usize) -> Value {
        let (code, body) = admin_call(admin_address(self.node(router)), "GET /status/fleet");
        assert_eq!(code, 200, "{body}");
        serde_json::from_str(&body).unwrap()
    }

    fn limits(&self, router: usize) -> Value {
        let (code, body) = admin_call(admin_address(self.node(router)), "GET /status/fleet/limits");
        assert_eq!(code, 200, "{body}");
        serde_json::from_str(&body).unwrap()
    }

    fn uses_its_share(&self, router: usize, of: u64) -> bool {
        let l = self.limits(router);
        l["share_in_use"] == true && l["divided_by"] == of
    }

    /// What a router reports of another.
    fn wait_for_log(&self, by: usize, of: usize) -> Option<String> {
        let at = self.relay.addresses[of].to_string();
        let status = self.status(by);
        let other = status["others"].as_array()?.iter().find(|o| o["address"] == at.as_str())?;
        other["state"].as_str().map(str::to_string)
    }

    fn all_say(&self, by: &[usize], of: usize, state: &str) -> bool {
        by.iter().filter(|b| **b != of).all(|b| self.wait_for_log(*b, of).as_deref() == Some(state))
    }

    /// Those routers have converged on one membership, in which all of them are alive.
    fn same(&self, who: &[usize]) -> bool {
        let all: Vec<Value> = who.iter().map(|r| self.status(*r)).collect();
        let digests: BTreeSet<&str> = all.iter().filter_map(|s| s["digest"].as_str()).collect();
        let settled =
            all.iter().all(|s| s["settled"] == true && s["reachable"].as_u64() >= Some(who.len() as u64));
        digests.len() == 1 && settled && who.iter().all(|of| self.all_say(who, *of, "alive"))
    }

    fn settles(&self, who: &[usize]) {
        wait_until(&format!("{who:?} to hold one view"), || self.same(who).then_some(()));
    }

    fn lost(&self, by: &[usize], of: usize) {
        wait_until(&format!("{of} to be lost to {by:?}"), || self.all_say(by, of, "lost").then_some(()));
    }

    fn number(&self, router: usize, key: &str) -> u64 {
        self.status(router)[key].as_u64().unwrap()
    }

    /// How often the logs of those routers contain that since their starts.
    fn count_log_lines(&self, by: &[usize], words: &str) -> usize {
        by.iter().map(|r| self.node(*r).count_log_lines(words)).sum()
    }
}

/// Clients that send requests to these routers all the time, until they are told to stop; each
/// request must have its answer.
struct Load {
    over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(u64, u64)>>,
}

impl Load {
    fn at(cluster: &Cluster, routers: &[usize]) -> Load {
        let over = Arc::new(AtomicBool::new(false));
        let one = |r: &usize| {
            let (over, addr, seed) = (over.clone(), cluster.node(*r).addr, (*r as u64 + 1) << 32);
            thread::spawn(move || {
                let mut client = Client::connect(addr);
                let (mut asked, mut good) = (0, 0);
                while !over.load(Ordering::Relaxed) {
                    asked += 1;
                    good += u64::from(
                        client.get(asked as u32, "docs", seed + asked, asked % 40).contains("good"),
                    );
                    thread::sleep(Duration::from_millis(5));
                }
                (asked, good)
            })
        };
        Load { threads: routers.iter().map(one).collect(), over }
    }

    /// Every request was served.
    fn ends(self) {
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let (asked, good) = thread.join().expect("every request is answered");
            assert!(asked > 50 && asked == good, "{good} of {asked} were served");
        }
    }
}

const FIVE: [usize; 5] = [0, 1, 2, 3, 4];

#[test]
fn both_sides_of_a_partition_count_all_and_it_heals_while_a_third_side_is_cut_off() {
    let cluster = Cluster::all_started(5);
    let load = Load::at(&cluster, &FIVE);
    cluster.relay.partition(&[0, 1, 2], &[3, 4]);
    for (side, other) in [([0, 1, 2].as_slice(), [3, 4].as_slice()), (&[3, 4], &[0, 1, 2])] {
        other.iter().for_each(|of| cluster.lost(side, *of));
        for r in side {
            assert_eq!(cluster.number(*r, "at_work_perhaps"), 5, "no side may take the other's part");
            assert_eq!(cluster.number(*r, "limits_divided_by"), 5);
        }
    }
    cluster.relay.heal();
    cluster.relay.partition(&[1], &[0, 2, 3, 4]);
    cluster.settles(&[0, 2, 3, 4]);
    cluster.lost(&[0, 2, 3, 4], 1);
    assert_eq!(cluster.number(0, "at_work_perhaps"), 5);
    cluster.relay.heal();
    cluster.settles(&FIVE);
    load.ends();
}

#[test]
fn an_isolated_router_declares_no_other_failed() {
    for hears in [true, false] {
        let cluster = Cluster::all_started(5);
        if hears {
            cluster.relay.set_link_fault(&[4], &FIVE, CUT);
        } else {
            cluster.relay.set_link_fault(&FIVE, &[4], CUT);
        }
        cluster.lost(&[0, 1, 2, 3], 4);
        wait_until("the one to know that nobody answers it", || {
            (cluster.status(4)["deaf"] == true).then_some(())
        });
        let healthy: Vec<usize> = (0..4).filter(|of| cluster.all_say(&[0, 1, 2, 3], *of, "alive")).collect();
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
        cluster.settles(&FIVE);
    }
}

#[test]
fn routers_that_reach_each_other_only_indirectly_hold_each_other_alive() {
    let cluster = Cluster::all_started(6);
    cluster.relay.partition(&[0, 1], &[4, 5]);
    thread::sleep(Duration::from_secs(12));
    assert_eq!(cluster.count_log_lines(&[0, 1, 2, 3, 4, 5], "router failed"), 0);
    cluster.settles(&[0, 1, 2, 3, 4, 5]);
}

#[test]
fn a_restart_supersedes_the_earlier_start_and_late_datagrams_change_nothing() {
    let mut cluster = Cluster::all_started(5);
    let rest = [0, 1, 3, 4];
    for suspected in [false, true] {
        // What it sends arrives 10 s late.
        cluster.relay.set_link_fault(&[2], &rest, LinkFault { delay: 10_000_000, ..LinkFault::default() });
        if suspected {
            wait_until("a suspicion", || {
                rest.iter().any(|r| cluster.wait_for_log(*r, 2).as_deref() == Some("suspect")).then_some(())
            });
        }
        cluster.kill(2);
        cluster.relay.heal();
        cluster.start(2);
        cluster.settles(&FIVE);
        let start = cluster.status(2)["own"]["start"].as_u64();
        let before = cluster.count_log_lines(&FIVE, "router failed");
        thread::sleep(Duration::from_secs(11));
        assert_eq!(cluster.count_log_lines(&FIVE, "router failed"), before);
        assert!(cluster.same(&FIVE));
        assert_eq!(cluster.status(2)["own"]["start"].as_u64(), start);
        assert_eq!(cluster.number(0, "at_work_perhaps"), 5);
    }
}

#[test]
fn a_pause_of_1_s_fails_no_router_and_one_of_15_s_heals_soon() {
    let cluster = Cluster::all_started(5);
    let rest = [0, 2, 3, 4];
    cluster.node(1).signal("-STOP");
    thread::sleep(Duration::from_secs(1));
    cluster.node(1).signal("-CONT");
    thread::sleep(Duration::from_secs(5));
    assert_eq!(cluster.count_log_lines(&FIVE, "router failed"), 0);
    let paused = Instant::now();
    cluster.node(1).signal("-STOP");
    cluster.lost(&rest, 1);
    thread::sleep(Duration::from_secs(15).saturating_sub(paused.elapsed()));
    cluster.node(1).signal("-CONT");
    cluster.settles(&FIVE);
    assert!(cluster.count_log_lines(&[1], "this process was paused") >= 1);
    assert_eq!(cluster.count_log_lines(&[1], "router suspected"), 0, "it blames nobody for its own pause");
}

#[test]
fn two_routers_with_one_name_are_counted_and_another_cluster_or_a_dead_seed_does_no_harm() {
    let mut cluster = Cluster::new(6);
    // The seeds are down at first: no router knows another.
    for r in 2..5 {
        cluster.start_as(r, if r == 4 { "n3" } else { "n9" }, "test");
    }
    cluster.start_as(5, "n6", "other");
    thread::sleep(Duration::from_secs(2));
    assert!((2..6).all(|r| cluster.number(r, "at_work_perhaps") == 1));
    assert!(
        (2..5).all(|r| cluster.number(r, "limits_divided_by") == 2),
        "the configured number is the floor"
    );
    // A list of seeds that names only the router itself: it is found all the same.
    cluster.seeds = vec![0];
    cluster.start_as(0, "n3", "test");
    cluster.seeds = vec![0, 1];
    cluster.start(1);
    cluster.settles(&FIVE);
    thread::sleep(Duration::from_secs(5));
    assert!(FIVE.iter().all(|r| cluster.number(*r, "at_work_perhaps") == 5), "both of one name are counted");
    assert!(
        FIVE.iter()
            .all(|r| cluster.count_log_lines(&[*r], "two routers have one name, both are counted router=n3")
                <= 1),
        "it is said once"
    );
    assert_eq!(cluster.count_log_lines(&FIVE, "router failed"), 0, "and they don't flap");
    assert_eq!(cluster.number(5, "at_work_perhaps"), 1);
}

#[test]
fn a_router_that_loses_half_of_its_datagrams_has_no_healthy_one_declared_failed() {
    let cluster = Cluster::all_started(5);
    let half = LinkFault { loss: 0.5, ..LinkFault::default() };
    cluster.relay.set_link_fault(&[4], &FIVE, half);
    cluster.relay.set_link_fault(&FIVE, &[4], half);
    thread::sleep(Duration::from_secs(20));
    for n in 0..4 {
        assert_eq!(
            cluster.count_log_lines(
                &FIVE,
                &format!("router failed, it may still be active address={} ", cluster.relay.addresses[n])
            ),
            0,
            "n{} is condemned",
            n + 1
        );
    }
}

#[test]
fn thousands_of_invalid_and_replayed_datagrams_stop_no_service_and_change_no_membership() {
    let cluster = Cluster::all_started(5);
    let before = cluster.status(0);
    let real = cluster.relay.latest_datagram(1, 0).unwrap();
    let load = Load::at(&cluster, &[0]);
    let memory = || {
        let text = std::fs::read_to_string(format!("/proc/{}/status", cluster.node(0).child.id())).unwrap();
        let line = text.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap()
    };
    let (start, at) = (memory(), cluster.node(0).cluster.unwrap());
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..60_000u32 {
        let mut bytes = real.clone();
        match n % 4 {
            0 => bytes = n.to_le_bytes().repeat(40),
            1 => bytes.truncate(n as usize % real.len()),
            2 => bytes = vec![1; 3_000],
            _ => {}
        }
        socket.send_to(&bytes, at).unwrap();
        if n % 200 == 0 {
            thread::sleep(Duration::from_millis(10));
        }
    }
    load.ends();
    let after = cluster.status(0);
    let unread: u64 = after["datagrams"]["unread"].as_array().unwrap().iter().filter_map(Value::as_u64).sum();
    assert!(unread > 10_000, "{unread} of 45000 are counted as junk");
    assert_eq!(after["digest"], before["digest"]);
    assert!(memory() < start + 4_096, "{start} KB before, {} KB now", memory());
    assert_eq!(cluster.count_log_lines(&FIVE, "router failed"), 0);
}

/// Guards against a handover that others see as an end and a start, or count twice; and against one
/// after which no datagram is received at the address.
#[test]
fn a_handover_keeps_the_identity_and_a_successor_that_dies_gives_it_back() {
    let mut cluster = Cluster::new(5);
    // The address for datagrams of others is handed over too, so it is one of the system's choice
    // that is free again.
    let free = || UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let heard = free();
    let reserved = ReservedAddress::new();
    let clients = reserved.addr;
    let dir = temp_file("nothing", "").parent().unwrap().to_path_buf();
    let section = cluster.section(4, "test").replace("127.0.0.1:0", &heard.to_string());
    let listen = format!("\"listen\":\"{clients}\"");
    let config =
        with_admin_endpoint(&config(cluster.feed.addr)).replace("\"listen\":\"127.0.0.1:0\"", &listen);
    let config = config.replace("\"name\":\"n1\"", "\"name\":\"n5\"");
    (0..4).for_each(|r| cluster.start(r));
    cluster.nodes[4] = Some(RouterProcess::with_operator_file_and_handover_dir(&config, &section, &dir));
    cluster.relay.set_destination(4, heard);
    cluster.settles(&FIVE);
    let own = |node: &RouterProcess| -> Value {
        serde_json::from_str(&admin_call(admin_address(node), "GET /status/fleet").1).unwrap()
    };
    let ready = |node: &RouterProcess| {
        wait_until("a yes", || (admin_call(admin_address(node), "GET /status").0 == 200).then_some(()))
    };
    let before = cluster.status(4);
    for dies in [true, false] {
        ready(cluster.node(4));
        let heir = RouterProcess::with_operator_file_and_handover_dir(&config, &section, &dir);
        wait_until("the heir to have the address", || (own(&heir)["heard"] == true).then_some(()));
        assert_eq!(own(cluster.node(4))["heard"], false);
        assert_eq!(own(&heir)["own"]["start"], before["own"]["start"]);
        if dies {
            drop(heir);
            wait_until("the address to be taken back", || {
                (own(cluster.node(4))["heard"] == true).then_some(())
            });
        } else {
            cluster.nodes[4] = Some(heir);
        }
        cluster.settles(&FIVE);
        assert_eq!(cluster.number(0, "at_work_perhaps"), 5);
    }
    let rest = [0, 1, 2, 3];
    for words in ["router failed", "router restarted", "router left", "two routers have one name"] {
        assert_eq!(cluster.count_log_lines(&rest, words), 0, "{words}");
    }
    let _gone = std::fs::remove_dir_all(&dir);
}

/// Guards against anything of it in a router that has no section for it: the same descriptors and
/// threads as before, no metric, no report.
#[test]
fn without_the_section_there_is_no_membership() {
    let cluster = Cluster::all_started(2);
    let alone =
        RouterProcess::with_config_and_operator_file(&with_admin_endpoint(&config(cluster.feed.addr)), "{}");
    let count = |node: &RouterProcess, what: &str| {
        std::fs::read_dir(format!("/proc/{}/{what}", node.child.id())).unwrap().count()
    };
    let udp = |node: &RouterProcess| {
        let inodes: BTreeSet<String> = std::fs::read_to_string("/proc/net/udp")
            .unwrap()
            .lines()
            .filter_map(|l| Some(format!("socket:[{}]", l.split_whitespace().nth(9)?)))
            .collect();
        let links = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap();
        links
            .filter_map(|e| std::fs::read_link(e.ok()?.path()).ok())
            .filter(|l| inodes.contains(&l.to_string_lossy().into_owned()))
            .count()
    };
    wait_until("its start", || (admin_call(admin_address(&alone), "GET /status").0 == 200).then_some(()));
    assert_eq!((udp(&alone), udp(cluster.node(0))), (0, 1));
    assert_eq!((count(&alone, "task"), count(cluster.node(0), "task")), (1, 1));
    assert_eq!(admin_call(admin_address(&alone), "GET /status/fleet").0, 404);
    assert!(!admin_call(admin_address(&alone), "GET /status/metrics").1.contains("fleet"));
    assert!(admin_call(admin_address(cluster.node(0)), "GET /status/metrics")
        .1
        .contains("svc.fleet_at_work_perhaps=2"));
    let _used = &cluster.endpoints;
}

/// Guards against a newcomer that uses a share before all possibly active routers divide by one
/// more, and against one that never gets it back: a router that is cut off can't say that it counts
/// the newcomer.
#[test]
fn an_own_share_is_used_only_when_all_others_count_it() {
    let mut cluster = Cluster::on_lease(6);
    cluster.relay.partition(&[4], &[0, 1, 2, 3, 5]);
    cluster.lost(&[0, 1, 2, 3], 4);
    cluster.start(5);
    let counted = |not: usize| {
        let l = cluster.limits(5);
        assert_eq!(l["share_in_use"], false, "{l}");
        assert_eq!(l["not_counted_by"], serde_json::json!([cluster.relay.addresses[not].to_string()]));
    };
    wait_until("all but the one who is cut off to count the newcomer", || {
        let l = cluster.limits(5);
        (l["not_counted_by"].as_array().map(Vec::len) == Some(1)).then_some(())
    });
    counted(4);
    // The others have shrunk their shares all the same, and the one that is cut off has kept no
    // more than its own.
    wait_until("room for six", || [0, 1, 2, 3].iter().all(|r| cluster.uses_its_share(*r, 6)).then_some(()));
    assert!(cluster.uses_its_share(4, 5));
    cluster.relay.heal();
    wait_until("six shares in use", || (0..6).all(|r| cluster.uses_its_share(r, 6)).then_some(()));
}

/// Guards against routers that are restarted one by one, as in a deploy, while one machine is dead:
/// each must have its share back by the evidence of those that knew it.
#[test]
fn a_restarted_router_gets_its_share_back_though_another_is_dead() {
    let mut cluster = Cluster::on_lease(5);
    cluster.kill(4);
    cluster.lost(&[0, 1, 2, 3], 4);
    for r in 0..4 {
        cluster.kill(r);
        cluster.start(r);
        assert_eq!(cluster.limits(r)["share_in_use"], false, "what the earlier life gave may still be used");
        wait_until("the share to be back", || cluster.uses_its_share(r, 5).then_some(()));
    }
    assert!((0..4).all(|r| cluster.uses_its_share(r, 5)));
}

/// Guards against routers that together send a parent cache that warms up more than it bears:
/// shares move to the busy ones while links between routers fail, one is killed and one is stopped.
#[test]
fn seven_routers_never_overload_a_parent_cache_that_warms_up_whatever_fails_between_them() {
    for day in ["cold-hub", "split-limits"] {
        let path = format!("{}/../../examples/fleet/{day}.json5", env!("CARGO_MANIFEST_DIR"));
        let run = ["lab", "run", &path, "--json", "--log", "error"];
        let played = std::process::Command::new(env!("CARGO_BIN_EXE_hollymux")).args(run).output().unwrap();
        let text = String::from_utf8_lossy(&played.stdout);
        let report: Value = serde_json::from_str(&text).expect("a report");
        assert_eq!(report["broken"], serde_json::json!({}), "{day}: {text}");
        assert_eq!(report["fleet"]["false_lost"], 0, "{day}");
        let hub = &report["limits"]["cold hub"];
        assert!(hub["came_mean"].as_f64() > Some(0.0), "{day}: no hub was cold: {hub}");
    }
}

/// Guards against leases that nobody enabled.
#[test]
fn without_the_section_no_quota_is_on_lease() {
    let cluster = Cluster::all_started(2);
    let (code, body) = admin_call(admin_address(cluster.node(0)), "GET /status/fleet/limits");
    assert_eq!((code, body.trim()), (404, "no: the section fleet.limits is off"));
    assert_eq!(cluster.count_log_lines(&[0, 1], "own quota share"), 0);
}
