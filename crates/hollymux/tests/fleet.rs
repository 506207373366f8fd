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

/// Routers behind a relay, each with the same shelfs and control feed.
struct Fleet {
    feed: Feed,
    shelfs: [Shelf; 3],
    relay: Relay,
    nodes: Vec<Option<Node>>,
    seeds: Vec<usize>,
    /// More of the section.
    more: &'static str,
}

impl Fleet {
    fn new(routers: usize) -> Fleet {
        let feed = Feed::start();
        let does = Does::Data(b"some bytes".to_vec());
        let shelfs = [does.clone(), does.clone(), does].map(Shelf::start);
        feed.members(true, &listed(&shelfs));
        let relay = Relay::start(routers, 7).unwrap();
        Fleet {
            feed,
            shelfs,
            relay,
            nodes: (0..routers).map(|_| None).collect(),
            seeds: vec![0, 1],
            more: "",
        }
    }

    /// All are started, and agree.
    fn started(routers: usize) -> Fleet {
        let mut fleet = Fleet::new(routers);
        (0..routers).for_each(|r| fleet.start(r));
        fleet.settles(&(0..routers).collect::<Vec<_>>());
        fleet
    }

    /// Five routers of so many places whose shares of what cold servers bear are in use.
    fn on_lease(places: usize) -> Fleet {
        let mut fleet = Fleet { more: ", limits: {}", ..Fleet::new(places) };
        FIVE.iter().for_each(|r| fleet.start(*r));
        fleet.settles(&FIVE);
        until("five shares in use", || FIVE.iter().all(|r| fleet.uses_its_share(*r, 5)).then_some(()));
        fleet
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

    fn start_as(&mut self, router: usize, name: &str, fleet: &str) {
        let config =
            with_door(&config(self.feed.addr)).replace("\"name\":\"n1\"", &format!("\"name\":\"{name}\""));
        let config = config.replace("\"groupSize\":1", "\"groupSize\":2").replace("[1,0]", "[2,0]");
        let node = Node::with_sections(&config, &self.section(router, fleet));
        let heard = node.heard.expect("the program says where it hears others");
        self.relay.set_destination(router, heard);
        self.nodes[router] = Some(node);
    }

    fn kill(&mut self, router: usize) {
        self.nodes[router] = None;
    }

    fn node(&self, router: usize) -> &Node {
        self.nodes[router].as_ref().expect("it runs")
    }

    fn status(&self, router: usize) -> Value {
        let (code, body) = call(door(self.node(router)), "GET /status/fleet");
        assert_eq!(code, 200, "{body}");
        serde_json::from_str(&body).unwrap()
    }

    fn limits(&self, router: usize) -> Value {
        let (code, body) = call(door(self.node(router)), "GET /status/fleet/limits");
        assert_eq!(code, 200, "{body}");
        serde_json::from_str(&body).unwrap()
    }

    fn uses_its_share(&self, router: usize, of: u64) -> bool {
        let l = self.limits(router);
        l["share_in_use"] == true && l["divided_by"] == of
    }

    /// What a router says of another.
    fn says(&self, by: usize, of: usize) -> Option<String> {
        let at = self.relay.addresses[of].to_string();
        let status = self.status(by);
        let other = status["others"].as_array()?.iter().find(|o| o["address"] == at.as_str())?;
        other["state"].as_str().map(str::to_string)
    }

    fn all_say(&self, by: &[usize], of: usize, state: &str) -> bool {
        by.iter().filter(|b| **b != of).all(|b| self.says(*b, of).as_deref() == Some(state))
    }

    /// Those routers hold one settled view, in which all of them are alive.
    fn same(&self, who: &[usize]) -> bool {
        let all: Vec<Value> = who.iter().map(|r| self.status(*r)).collect();
        let digests: BTreeSet<&str> = all.iter().filter_map(|s| s["digest"].as_str()).collect();
        let settled =
            all.iter().all(|s| s["settled"] == true && s["reachable"].as_u64() >= Some(who.len() as u64));
        digests.len() == 1 && settled && who.iter().all(|of| self.all_say(who, *of, "alive"))
    }

    fn settles(&self, who: &[usize]) {
        until(&format!("{who:?} to hold one view"), || self.same(who).then_some(()));
    }

    fn lost(&self, by: &[usize], of: usize) {
        until(&format!("{of} to be lost to {by:?}"), || self.all_say(by, of, "lost").then_some(()));
    }

    fn number(&self, router: usize, key: &str) -> u64 {
        self.status(router)[key].as_u64().unwrap()
    }

    /// How often the logs of those routers have said that since their starts.
    fn said(&self, by: &[usize], words: &str) -> usize {
        by.iter().map(|r| self.node(*r).said(words)).sum()
    }
}

/// Clients that ask these routers all the time, until they are told to stop; each request must have its answer.
struct Load {
    over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(u64, u64)>>,
}

impl Load {
    fn at(fleet: &Fleet, routers: &[usize]) -> Load {
        let over = Arc::new(AtomicBool::new(false));
        let one = |r: &usize| {
            let (over, addr, seed) = (over.clone(), fleet.node(*r).addr, (*r as u64 + 1) << 32);
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

    /// All that was asked was served.
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
fn a_partition_counts_all_on_both_sides_and_heals_while_a_third_side_falls_off() {
    let f = Fleet::started(5);
    let load = Load::at(&f, &FIVE);
    f.relay.partition(&[0, 1, 2], &[3, 4]);
    for (side, other) in [([0, 1, 2].as_slice(), [3, 4].as_slice()), (&[3, 4], &[0, 1, 2])] {
        other.iter().for_each(|of| f.lost(side, *of));
        for r in side {
            assert_eq!(f.number(*r, "at_work_perhaps"), 5, "no side may take the other's part");
            assert_eq!(f.number(*r, "limits_divided_by"), 5);
        }
    }
    f.relay.heal();
    f.relay.partition(&[1], &[0, 2, 3, 4]);
    f.settles(&[0, 2, 3, 4]);
    f.lost(&[0, 2, 3, 4], 1);
    assert_eq!(f.number(0, "at_work_perhaps"), 5);
    f.relay.heal();
    f.settles(&FIVE);
    load.ends();
}

#[test]
fn one_who_is_heard_by_none_or_hears_none_condemns_nobody() {
    for hears in [true, false] {
        let f = Fleet::started(5);
        if hears {
            f.relay.set_link_fault(&[4], &FIVE, CUT);
        } else {
            f.relay.set_link_fault(&FIVE, &[4], CUT);
        }
        f.lost(&[0, 1, 2, 3], 4);
        until("the one to know that nobody answers it", || (f.status(4)["deaf"] == true).then_some(()));
        let healthy: Vec<usize> = (0..4).filter(|of| f.all_say(&[0, 1, 2, 3], *of, "alive")).collect();
        assert_eq!(healthy, [0, 1, 2, 3]);
        for n in 1..=4 {
            assert_eq!(f.said(&[0, 1, 2, 3], &format!("n{n} at {} is lost", f.relay.addresses[n - 1])), 0);
        }
        f.relay.heal();
        f.settles(&FIVE);
    }
}

#[test]
fn ends_of_a_chain_that_cant_reach_each_other_hold_each_other_alive() {
    let f = Fleet::started(6);
    f.relay.partition(&[0, 1], &[4, 5]);
    thread::sleep(Duration::from_secs(12));
    assert_eq!(f.said(&[0, 1, 2, 3, 4, 5], "is lost"), 0);
    f.settles(&[0, 1, 2, 3, 4, 5]);
}

#[test]
fn a_next_start_supersedes_unnoticed_or_suspected_and_late_datagrams_change_nothing() {
    let mut f = Fleet::started(5);
    let rest = [0, 1, 3, 4];
    for suspected in [false, true] {
        // What it sends arrives 10 s late.
        f.relay.set_link_fault(&[2], &rest, LinkFault { delay: 10_000_000, ..LinkFault::default() });
        if suspected {
            until("a suspicion", || {
                rest.iter().any(|r| f.says(*r, 2).as_deref() == Some("suspect")).then_some(())
            });
        }
        f.kill(2);
        f.relay.heal();
        f.start(2);
        f.settles(&FIVE);
        let start = f.status(2)["own"]["start"].as_u64();
        let before = f.said(&FIVE, "is lost");
        thread::sleep(Duration::from_secs(11));
        assert_eq!(f.said(&FIVE, "is lost"), before);
        assert!(f.same(&FIVE));
        assert_eq!(f.status(2)["own"]["start"].as_u64(), start);
        assert_eq!(f.number(0, "at_work_perhaps"), 5);
    }
}

#[test]
fn a_pause_of_a_second_loses_nobody_and_one_of_fifteen_is_over_soon() {
    let f = Fleet::started(5);
    let rest = [0, 2, 3, 4];
    f.node(1).signal("-STOP");
    thread::sleep(Duration::from_secs(1));
    f.node(1).signal("-CONT");
    thread::sleep(Duration::from_secs(5));
    assert_eq!(f.said(&FIVE, "is lost"), 0);
    let paused = Instant::now();
    f.node(1).signal("-STOP");
    f.lost(&rest, 1);
    thread::sleep(Duration::from_secs(15).saturating_sub(paused.elapsed()));
    f.node(1).signal("-CONT");
    f.settles(&FIVE);
    assert!(f.said(&[1], "this process stood still") >= 1);
    assert_eq!(f.said(&[1], "is suspect"), 0, "it blames nobody for its own pause");
}

#[test]
fn two_under_one_name_are_counted_and_another_fleet_and_a_lone_seed_are_no_harm() {
    let mut f = Fleet::new(6);
    // The seeds are down at first: nobody knows anybody.
    for r in 2..5 {
        f.start_as(r, if r == 4 { "n3" } else { "n9" }, "test");
    }
    f.start_as(5, "n6", "other");
    thread::sleep(Duration::from_secs(2));
    assert!((2..6).all(|r| f.number(r, "at_work_perhaps") == 1));
    assert!((2..5).all(|r| f.number(r, "limits_divided_by") == 2), "the configured number is the floor");
    // A list of seeds that names only the router itself: it is found all the same.
    f.seeds = vec![0];
    f.start_as(0, "n3", "test");
    f.seeds = vec![0, 1];
    f.start(1);
    f.settles(&FIVE);
    thread::sleep(Duration::from_secs(5));
    assert!(FIVE.iter().all(|r| f.number(*r, "at_work_perhaps") == 5), "both of one name are counted");
    assert!(FIVE.iter().all(|r| f.said(&[*r], "are both called n3") <= 1), "it is said once");
    assert_eq!(f.said(&FIVE, "is lost"), 0, "and they don't flap");
    assert_eq!(f.number(5, "at_work_perhaps"), 1);
}

#[test]
fn one_who_loses_half_of_its_datagrams_gets_no_healthy_one_condemned() {
    let f = Fleet::started(5);
    let half = LinkFault { loss: 0.5, ..LinkFault::default() };
    f.relay.set_link_fault(&[4], &FIVE, half);
    f.relay.set_link_fault(&FIVE, &[4], half);
    thread::sleep(Duration::from_secs(20));
    for n in 0..4 {
        assert_eq!(
            f.said(&FIVE, &format!("at {} is lost", f.relay.addresses[n])),
            0,
            "n{} is condemned",
            n + 1
        );
    }
}

#[test]
fn junk_and_replays_by_the_thousand_stop_no_service_and_change_no_view() {
    let f = Fleet::started(5);
    let before = f.status(0);
    let real = f.relay.latest_datagram(1, 0).unwrap();
    let load = Load::at(&f, &[0]);
    let memory = || {
        let text = std::fs::read_to_string(format!("/proc/{}/status", f.node(0).child.id())).unwrap();
        let line = text.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap()
    };
    let (start, at) = (memory(), f.node(0).heard.unwrap());
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
    let after = f.status(0);
    let unread: u64 = after["datagrams"]["unread"].as_array().unwrap().iter().filter_map(Value::as_u64).sum();
    assert!(unread > 10_000, "{unread} of 45000 are counted as junk");
    assert_eq!(after["digest"], before["digest"]);
    assert!(memory() < start + 4_096, "{start} KB before, {} KB now", memory());
    assert_eq!(f.said(&FIVE, "is lost"), 0);
}

/// Guards against a replacement that others see as an end and a start, or count twice; and against one after which
/// nobody is heard at the address.
#[test]
fn a_replacement_keeps_its_identity_and_an_heir_that_dies_gives_it_back() {
    let mut f = Fleet::new(5);
    // The address that others are heard at goes over too, so it is one of the system's choice that is free again.
    let free = || UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let heard = free();
    let reserved = ReservedAddress::new();
    let clients = reserved.addr;
    let dir = file("nothing", "").parent().unwrap().to_path_buf();
    let section = f.section(4, "test").replace("127.0.0.1:0", &heard.to_string());
    let listen = format!("\"listen\":\"{clients}\"");
    let config = with_door(&config(f.feed.addr)).replace("\"listen\":\"127.0.0.1:0\"", &listen);
    let config = config.replace("\"name\":\"n1\"", "\"name\":\"n5\"");
    (0..4).for_each(|r| f.start(r));
    f.nodes[4] = Some(Node::meeting_with(&config, &section, &dir));
    f.relay.set_destination(4, heard);
    f.settles(&FIVE);
    let own =
        |node: &Node| -> Value { serde_json::from_str(&call(door(node), "GET /status/fleet").1).unwrap() };
    let ready = |node: &Node| until("a yes", || (call(door(node), "GET /status").0 == 200).then_some(()));
    let before = f.status(4);
    for dies in [true, false] {
        ready(f.node(4));
        let heir = Node::meeting_with(&config, &section, &dir);
        until("the heir to have the address", || (own(&heir)["heard"] == true).then_some(()));
        assert_eq!(own(f.node(4))["heard"], false);
        assert_eq!(own(&heir)["own"]["start"], before["own"]["start"]);
        if dies {
            drop(heir);
            until("the address to be taken back", || (own(f.node(4))["heard"] == true).then_some(()));
        } else {
            f.nodes[4] = Some(heir);
        }
        f.settles(&FIVE);
        assert_eq!(f.number(0, "at_work_perhaps"), 5);
    }
    let rest = [0, 1, 2, 3];
    for words in ["is lost", "started anew", "has left", "both called"] {
        assert_eq!(f.said(&rest, words), 0, "{words}");
    }
    let _gone = std::fs::remove_dir_all(&dir);
}

/// Guards against anything of it in a router that has no section for it: the same descriptors and threads as before,
/// no number, no page.
#[test]
fn without_the_section_there_is_nothing_of_it() {
    let f = Fleet::started(2);
    let alone = Node::with_sections(&with_door(&config(f.feed.addr)), "{}");
    let count = |node: &Node, what: &str| {
        std::fs::read_dir(format!("/proc/{}/{what}", node.child.id())).unwrap().count()
    };
    let udp = |node: &Node| {
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
    until("its start", || (call(door(&alone), "GET /status").0 == 200).then_some(()));
    assert_eq!((udp(&alone), udp(f.node(0))), (0, 1));
    assert_eq!((count(&alone, "task"), count(f.node(0), "task")), (1, 1));
    assert_eq!(call(door(&alone), "GET /status/fleet").0, 404);
    assert!(!call(door(&alone), "GET /status/metrics").1.contains("fleet"));
    assert!(call(door(f.node(0)), "GET /status/metrics").1.contains("svc.fleet_at_work_perhaps=2"));
    let _used = &f.shelfs;
}

/// Guards against a newcomer that uses a share before everybody who may be at work divides by one more, and against one
/// that never gets it back: a router that is cut off can't say that it counts the newcomer.
#[test]
fn a_share_is_used_only_when_all_others_count_it() {
    let mut f = Fleet::on_lease(6);
    f.relay.partition(&[4], &[0, 1, 2, 3, 5]);
    f.lost(&[0, 1, 2, 3], 4);
    f.start(5);
    let counted = |not: usize| {
        let l = f.limits(5);
        assert_eq!(l["share_in_use"], false, "{l}");
        assert_eq!(l["not_counted_by"], serde_json::json!([f.relay.addresses[not].to_string()]));
    };
    until("all but the one who is cut off to count the newcomer", || {
        let l = f.limits(5);
        (l["not_counted_by"].as_array().map(Vec::len) == Some(1)).then_some(())
    });
    counted(4);
    // The others have made room all the same, and the one who is cut off has kept no more than its own.
    until("room for six", || [0, 1, 2, 3].iter().all(|r| f.uses_its_share(*r, 6)).then_some(()));
    assert!(f.uses_its_share(4, 5));
    f.relay.heal();
    until("six shares in use", || (0..6).all(|r| f.uses_its_share(r, 6)).then_some(()));
}

/// Guards against routers that are restarted one by one, as in a deploy, while one machine is dead: each must have its
/// share back on the word of those that knew it.
#[test]
fn a_restarted_router_has_its_share_back_though_another_is_dead() {
    let mut f = Fleet::on_lease(5);
    f.kill(4);
    f.lost(&[0, 1, 2, 3], 4);
    for r in 0..4 {
        f.kill(r);
        f.start(r);
        assert_eq!(f.limits(r)["share_in_use"], false, "what the earlier life gave may still be used");
        until("the share to be back", || f.uses_its_share(r, 5).then_some(()));
    }
    assert!((0..4).all(|r| f.uses_its_share(r, 5)));
}

/// Guards against routers that together send a hub that came back cold more than it bears: shares move to the busy ones
/// while links between routers fail, one is killed and one stands still.
#[test]
fn seven_routers_never_push_over_a_cold_hub_whatever_fails_between_them() {
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

/// Guards against limits on lease that nobody switched on.
#[test]
fn without_the_section_nothing_is_on_lease() {
    let f = Fleet::started(2);
    let (code, body) = call(door(f.node(0)), "GET /status/fleet/limits");
    assert_eq!((code, body.trim()), (404, "no: the section fleet.limits is off"));
    assert_eq!(f.said(&[0, 1], "limits: "), 0);
}
