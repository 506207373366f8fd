//! The program as a process, spoken to as clients, shelfs and the control feed speak on the platform.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// The feed, the program, and a client that sees two boxes and the origin listed.
fn bed(does: [Does; 3]) -> (Feed, Node, Client, [Shelf; 3]) {
    let feed = Feed::start();
    let shelfs = does.map(Shelf::start);
    feed.members(true, &listed(&shelfs));
    let node = Node::start(&feed);
    let mut client = Client::connect(node.addr);
    settled(&mut client);
    (feed, node, client, shelfs)
}

/// Asks until the list is known there; before, requests are refused.
fn settled(client: &mut Client) {
    let mut tag = 1_000_000;
    until("the list", || {
        tag += 1;
        Some(client.get(tag, "docs", u64::from(tag), 5)).filter(|a| !a.contains("refused"))
    });
}

fn data() -> Does {
    Does::Data(b"some bytes".to_vec())
}

#[test]
fn a_conversation() {
    let (_feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    let mut said = Vec::new();
    client.send(&array(&[b"PING", b"1", b""]));
    said.push(client.answer());
    said.push(client.get(2, "docs", 2, 7));
    // A readable request with an unknown class, or with fields that can't be used, gets one failed answer.
    said.push(client.get(3, "no-such-class", 3, 7));
    client.ask(4, "docs", 4, ",obj=seven");
    said.push(client.answer());
    client.ask(5, "docs", 5, "");
    said.push(client.answer());
    client.ask(8, "docs", 8, ",obj=0000000000000007,ver=d1\r\n");
    said.push(client.answer());
    shelfs.iter().for_each(|s| s.does(Does::Word("unchanged")));
    client.ask(6, "docs", 6, ",obj=0000000000000007,ver=d1");
    said.push(client.answer());
    shelfs.iter().for_each(|s| s.does(Does::Word("absent")));
    let refused = client.get(7, "docs", 7, 7);
    let (head, wait) = refused.split_once('=').unwrap();
    assert!((500..=1000).contains(&wait.parse::<u32>().unwrap()), "{refused}");
    said.push(head.to_string());
    insta::assert_snapshot!(said.join("\n"), @r"
    1 fit
    2 good ver=d1 some bytes
    3 broken
    4 broken
    5 broken
    8 broken
    6 good unchanged=1,ver=d1
    7 refused backoff
    ");
    let fields: Vec<String> = shelfs[..2].iter().flat_map(|s| s.asked()).map(|a| a.fields).collect();
    let held = fields.iter().find(|f| f.contains("got")).unwrap();
    let held: Vec<&str> = held.split(',').filter(|f| !f.starts_with("max=")).collect();
    insta::assert_snapshot!(held.join(" "), @"profile=docs thing=0000000000000007 nth=0 parent=s-o shelf=2 hints=freshen got=d1");
}

/// Guards against one client's bytes ending anything but its own connection, and against buffers for lengths
/// that nobody may send.
#[test]
fn bad_frames_end_only_their_connection() {
    let (_feed, mut node, mut client, _shelfs) = bed([data(), data(), data()]);
    let long = b"*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$4\r\ndocs\r\n$1\r\nx\r\n$999999999\r\n";
    let cases: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\n",
        b"*-1\r\n",
        b"*2\r\n$4\r\nPING\r\n$1\r\nx\r\n",
        b"*99999\r\n",
        long,
        b"*1\r\n$3\r\nDOH\r\n",
    ];
    for case in cases {
        let mut other = Client::connect(node.addr);
        other.send(case);
        assert_eq!(other.answer(), "end", "{}", String::from_utf8_lossy(case));
    }
    assert_eq!(client.get(1, "docs", 1, 7), "1 good ver=d1 some bytes");
    assert!(node.child.try_wait().unwrap().is_none());
}

/// Guards against clients that take up descriptors and send nothing, or half a message: each is closed within 3 s
/// of connecting, and whoever asks for something gets in meanwhile.
#[test]
fn who_says_nothing_makes_way_and_is_closed() {
    let feed = Feed::start();
    let shelfs = [data(), data(), data()].map(Shelf::start);
    feed.members(true, &listed(&shelfs));
    let node = Node::limited(&feed, 64);
    let start = Instant::now();
    let half = array(&[b"DO", b"1", b"docs", b"rid=1"]);
    let mut silent: Vec<Client> = (0..120).map(|_| Client::connect(node.addr)).collect();
    silent.iter_mut().step_by(2).for_each(|c| c.send(&half[..20]));
    let mut client = Client::connect(node.addr);
    settled(&mut client);
    assert!(start.elapsed() < Duration::from_millis(2_500), "served after {:?}", start.elapsed());
    for c in &mut silent {
        assert_eq!(c.answer(), "end");
    }
    assert!(start.elapsed() < Duration::from_secs(3), "the last was closed after {:?}", start.elapsed());
    assert_eq!(client.get(1, "docs", 1, 7), "1 good ver=d1 some bytes");
}

/// Guards against answering 'served' under an id or a tag that belongs to another request, and against budgets
/// that would hold a request open for an hour.
#[test]
fn ids_tags_and_budgets_that_cannot_be_are_not_served() {
    let (_feed, node, mut client, shelfs) = bed([data(), data(), data()]);
    shelfs.iter().for_each(|s| s.does(Does::Nothing));
    client.ask(1, "docs", 70, ",obj=0000000000000007");
    until("the attempt", || {
        shelfs.iter().any(|s| s.asked().iter().any(|a| a.rid.ends_with("46"))).then_some(())
    });
    let mut other = Client::connect(node.addr);
    assert_eq!(other.get(1, "docs", 70, 8), "1 broken", "the id of an open request");
    shelfs.iter().for_each(|s| s.does(data()));
    for (tag, budget) in [(2, "0"), (3, "-5"), (4, "3600000"), (5, "99999999999999999999"), (6, "many")] {
        let fields = format!("rid={tag:016x},budget={budget},piece=0,lot=17,obj=0000000000000007");
        other.send(&array(&[b"DO", (tag + 90).to_string().as_bytes(), b"docs", fields.as_bytes(), b""]));
    }
    let mut said: Vec<String> = (0..5).map(|_| other.answer()).collect();
    said.sort();
    insta::assert_snapshot!(said.join(" "), @"92 broken 93 broken 94 broken 95 broken 96 broken");
    assert_eq!(other.get(7, "docs", 7, 7), "7 good ver=d1 some bytes");
    assert_eq!(other.get(7, "docs", 8, 7), "end", "a tag that was used before");
    assert_eq!(client.answer(), "1 broken", "the first still has its own answer");
}

/// Guards against work at the shelfs for requests that are withdrawn as soon as they are sent, and against floods.
#[test]
fn floods_end_their_own_connection_and_hardly_reach_a_shelf() {
    let (_feed, node, mut client, shelfs) = bed([data(), data(), data()]);
    let count = || shelfs.iter().map(Shelf::count).sum::<usize>();
    let request = |tag: u32| {
        let fields = format!("rid={:016x},budget=1500,piece=0,lot=17,obj={tag:016x}", 5_000 + tag);
        array(&[b"DO", tag.to_string().as_bytes(), b"docs", fields.as_bytes(), b""])
    };
    let undo = |tag: u32| array(&[b"UNDO", tag.to_string().as_bytes()]);
    let withdrawn: Vec<u8> = (1..=100).flat_map(|t| [request(t), undo(t)].concat()).collect();
    let many: Vec<u8> = (1..=100).flat_map(request).collect();
    shelfs.iter().for_each(|s| s.does(Does::Nothing));
    for flood in [withdrawn, many] {
        let before = count();
        let mut other = Client::connect(node.addr);
        other.send(&flood);
        let mut last = other.answer();
        while last != "end" {
            assert!(last.contains("refused"), "{last}");
            last = other.answer();
        }
        assert!(count() - before <= 32, "{} requests reached a shelf", count() - before);
    }
    // Who withdraws now and then, among answers, is no flood.
    for tag in (1..200).step_by(2) {
        client.send(&[request(tag), undo(tag)].concat());
        shelfs.iter().for_each(|s| s.does(data()));
        assert_eq!(client.get(tag + 1, "docs", tag.into(), 7), format!("{} good ver=d1 some bytes", tag + 1));
    }
}

/// Guards against a break or garbage at one shelf reaching a client where the other shelf could serve.
#[test]
fn a_break_before_the_answer_is_tried_elsewhere() {
    let bad: [Does; 3] =
        [Does::Close, Does::Raw(b"+nonsense\r\n".to_vec()), Does::Raw(b"*4\r\n$99999999\r\n".to_vec())];
    for does in bad {
        let (_feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
        shelfs[0].does(does.clone());
        for n in 1..12 {
            assert_eq!(
                client.get(n, "docs", n.into(), n.into()),
                format!("{n} good ver=d1 some bytes"),
                "{does:?}"
            );
        }
        let bad = shelfs[0].count();
        assert!(bad > 0, "the shelf that breaks was never asked");
    }
}

/// Guards against passing on what can't be an answer to what was asked, and against using a connection on which
/// such a thing came: every request is served by the other shelf. What is not the request's is passed over.
#[test]
fn answers_that_cannot_be_are_not_passed_on() {
    let spoilt: [&'static [&'static str]; 7] = [
        &["ID data - spoilt"],
        &["ID data digest=,dated=1 spoilt"],
        &["ID data dated=1 spoilt"],
        &["ID unchanged digest=d1"],
        &["ID unchanged digest=d1,dated=1 spoilt"],
        &["ID well"],
        &["ID spoilt digest=d1"],
    ];
    for says in spoilt {
        let (_feed, _node, mut client, shelfs) = bed([Does::Say(says), data(), data()]);
        for n in 1..12 {
            assert_eq!(
                client.get(n, "docs", n.into(), n.into()),
                format!("{n} good ver=d1 some bytes"),
                "{says:?}"
            );
        }
        let asked = shelfs[0].asked();
        let mut conns: Vec<usize> = asked.iter().map(|a| a.conn).collect();
        conns.dedup();
        assert!(
            !asked.is_empty() && conns.len() == asked.len(),
            "{says:?}: a spoilt connection was used again"
        );
    }
    let more: &'static [&'static str] = &[
        "0000000000000bad data digest=d9 no",
        "ID data digest=d1 bytes",
        "ID data digest=d1 bytes",
        "7 well",
    ];
    let (_feed, _node, mut client, shelfs) = bed([Does::Say(more), Does::Say(more), data()]);
    for n in 1..40 {
        assert_eq!(client.get(n, "docs", n.into(), n.into()), format!("{n} good ver=d1 bytes"));
    }
    assert!(shelfs[0].asked().iter().all(|a| a.conn < 2), "what is not the request's spoils no connection");
    // A filing's answer has no tag; one that can't be its answer leaves open whether it ran.
    shelfs.iter().for_each(|s| s.does(Does::Say(&["ID data - done"])));
    assert_eq!(client.get(50, "cert-filing", 50, 9), "50 good  done");
    shelfs.iter().for_each(|s| s.does(Does::Say(&["ID unchanged digest=d1"])));
    assert_eq!(client.get(51, "cert-filing", 51, 9), "51 broken");
}

/// Guards against new work on a connection that owes an overdue answer: it may never bring another.
#[test]
fn a_connection_with_an_overdue_answer_is_not_used_again() {
    let (_feed, _node, mut client, shelfs) = bed([Does::Nothing, Does::Nothing, data()]);
    client.ask(1, "docs", 90, ",obj=0000000000000007");
    assert_eq!(client.answer().split(' ').next(), Some("1"));
    let silent: Vec<(usize, usize)> = (0..2)
        .flat_map(|i| {
            shelfs[i].asked().into_iter().filter(|a| a.rid.ends_with("5a")).map(move |a| (i, a.conn))
        })
        .collect();
    assert!(!silent.is_empty());
    shelfs.iter().for_each(|s| s.does(data()));
    for n in 2..40 {
        client.get(n, "docs", n.into(), n.into());
    }
    for (i, conn) in silent {
        let late = shelfs[i]
            .asked()
            .into_iter()
            .filter(|a| a.conn == conn && a.rid < format!("{:016x}", 40))
            .count();
        assert_eq!(late, 0, "work on the connection that owes an answer");
    }
}

/// Guards against work sent to a box that has gone without being told: its address is another's now.
#[test]
fn a_new_box_at_an_address_replaces_the_old_one() {
    let (feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    feed.members(false, &[line("s-new", shelfs[0].addr, "std", "ready")]);
    feed.members(false, &[line("s-new", shelfs[0].addr, "std", "gone")]);
    let mut tag = 0;
    until("the end of work there", || {
        let before = shelfs[0].count();
        for _ in 0..40 {
            tag += 1;
            assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
        }
        (before == shelfs[0].count()).then_some(())
    });
}

/// Guards against a filing that runs twice: after a whole write neither a reset, an error nor silence lets it
/// go out again, whatever the client is told; and its id is not taken a second time.
#[test]
fn a_filing_that_may_have_run_is_never_sent_again() {
    let (_feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    let mut rid = 100;
    for does in [Does::Close, Does::Word("failed"), Does::Nothing, Does::Raw(b"!\r\n".to_vec())] {
        shelfs.iter().for_each(|s| s.does(does.clone()));
        rid += 1;
        assert_eq!(client.get(rid, "cert-filing", rid.into(), 9), format!("{rid} broken"));
        assert_eq!(client.get(rid + 50, "cert-filing", rid.into(), 9), format!("{} broken", rid + 50));
        let runs = shelfs.iter().flat_map(Shelf::asked).filter(|a| a.rid == format!("{rid:016x}"));
        assert_eq!(runs.count(), 1, "{does:?}");
    }
    // What never ran is refused and may be asked for again, with the same body.
    shelfs.iter().for_each(|s| s.does(Does::Word("full")));
    assert!(client.get(200, "cert-filing", 200, 9).starts_with("200 refused"));
    shelfs.iter().for_each(|s| s.does(data()));
    assert_eq!(client.get(201, "cert-filing", 200, 9), "201 good ver=d1 some bytes");
    let all: Vec<Asked> = shelfs.iter().flat_map(Shelf::asked).collect();
    assert!(all.iter().filter(|a| a.fields.contains("cert-filing")).all(|a| a.body == b"a body"));
}

/// Guards against work to a drained box, or with a drained box as source, later than 500 ms after it was told.
#[test]
fn a_drained_box_gets_nothing_new() {
    let (feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    let told = feed.members(false, &[line("s-a", shelfs[0].addr, "std", "draining")]);
    let mut tag = 0;
    while told.elapsed() < Duration::from_millis(900) {
        tag += 1;
        assert_eq!(client.get(tag, "docs", tag.into(), tag.into()), format!("{tag} good ver=d1 some bytes"));
    }
    let late = told + Duration::from_millis(500);
    assert!(shelfs[0].asked().iter().all(|a| a.at < late), "work after the drain");
    let after: Vec<Asked> = shelfs[1].asked().into_iter().filter(|a| a.at >= late).collect();
    assert!(!after.is_empty() && after.iter().all(|a| !a.fields.contains("parent=s-a")));
}

/// Guards against the old copy after a purge, and against events lost while the feed is away.
#[test]
fn a_purge_bounds_the_age_and_the_feed_is_resumed() {
    let (feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    feed.cut();
    feed.tell(&format!("\"purge\":{{\"key\":\"0000000000000007\",\"at\":{}}}", unix_ms()));
    until("a new call", || (feed.calls().len() > 1).then_some(()));
    assert_eq!(feed.calls()[..2], [0, 1], "the second call names the last event");
    let mut tag = 0;
    let bound = until("the purge", || {
        tag += 1;
        client.get(tag, "docs", tag.into(), 7);
        let last = shelfs[..2].iter().flat_map(Shelf::asked).max_by_key(|a| a.at)?.fields;
        let accept = last.split(',').find_map(|f| f.strip_prefix("accept="))?;
        accept.parse::<u64>().ok()
    });
    assert!(bound < 8_000, "no copy older than the purge will do, not {bound} ms");
}

/// Guards against what a feed that falls silent, or breaks off within an event, would have told. Every event is told
/// twice here.
#[test]
fn a_silent_feed_and_a_broken_event_are_called_again() {
    let (feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    feed.fail(2, 3);
    feed.cut();
    let told = feed.members(false, &[line("s-a", shelfs[0].addr, "std", "gone")]);
    until("a fourth call", || (feed.calls().len() == 4).then_some(()));
    assert!(told.elapsed() < Duration::from_secs(4), "called again after {:?}", told.elapsed());
    assert_eq!(feed.calls(), [0, 1, 1, 1], "half an event is not known");
    let mut tag = 0;
    until("the event", || {
        let before = shelfs[0].count();
        for _ in 0..40 {
            tag += 1;
            assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
        }
        (before == shelfs[0].count()).then_some(())
    });
}

/// Guards against clients that connect after SIGTERM and are left waiting because accepting was paused.
#[test]
fn sigterm_with_all_descriptors_taken_still_serves_who_comes() {
    let feed = Feed::start();
    let shelfs = [data(), data(), data()].map(Shelf::start);
    feed.members(true, &listed(&shelfs));
    let mut node = Node::limited(&feed, 64);
    settled(&mut Client::connect(node.addr));
    let _silent: Vec<Client> = (0..60).map(|_| Client::connect(node.addr)).collect();
    node.signal("-TERM");
    let mut late = Client::connect(node.addr);
    assert_eq!(late.get(1, "docs", 78, 8), "1 good ver=d1 some bytes");
    let (status, said) = node.ended();
    assert!(status.success() && said.last().unwrap().ends_with("invariants broken: 0"), "{said:?}");
}

/// Guards against connections to a process that has gone: its address belongs to another box now.
#[test]
fn an_address_that_passes_on_gets_new_connections() {
    let (feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    client.get(1, "docs", 1, 7);
    let [a, b, _] = &shelfs;
    let gone = |uid, addr| line(uid, addr, "std", "gone");
    feed.members(false, &[gone("s-a", a.addr), gone("s-b", b.addr), line("s-c", a.addr, "std", "ready")]);
    let before = b.count();
    let (mut tag, mut met) = (1, 0);
    until("the new box", || {
        tag += 1;
        let count = a.count();
        assert!(client.get(tag, "docs", tag.into(), tag.into()).contains("good"));
        met += usize::from(a.count() > count);
        (met > 5).then_some(())
    });
    let served = b.count();
    assert!(client.get(900, "docs", 900, 900).contains("good"));
    assert_eq!(b.count(), served, "work to a box that has gone, after {before}");
}

/// Guards against the origin being named as its own source when nothing else is left to ask.
#[test]
fn straight_at_the_origin_no_source_is_named() {
    let (feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    let gone = |uid, shelf: &Shelf| line(uid, shelf.addr, "std", "gone");
    feed.members(false, &[gone("s-a", &shelfs[0]), gone("s-b", &shelfs[1])]);
    let mut tag = 0;
    until("the origin", || {
        tag += 1;
        client.get(tag, "cert-filing", tag.into(), 9);
        (shelfs[2].count() > 0).then_some(())
    });
    assert!(!shelfs[2].asked()[0].fields.contains("parent="), "{:?}", shelfs[2].asked()[0]);
}

/// Guards against an answer that is owed to somebody who has left, and against work for it going on.
#[test]
fn who_stops_waiting_is_not_answered_and_his_attempt_is_given_up() {
    let (_feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    shelfs.iter().for_each(|s| s.does(Does::Nothing));
    client.ask(1, "docs", 77, ",obj=0000000000000007");
    let quits = || shelfs.iter().flat_map(|s| s.quits.lock().unwrap().clone()).collect::<Vec<_>>();
    until("the attempt", || {
        shelfs.iter().any(|s| s.asked().iter().any(|a| a.rid.ends_with("4d"))).then_some(())
    });
    client.send(&array(&[b"UNDO", b"1"]));
    until("the end of the attempt", || quits().contains(&format!("{:016x}", 77)).then_some(()));
    client.send(&array(&[b"PING", b"2", b""]));
    assert_eq!(client.answer(), "2 fit");
    // And with nobody leaving, a deadline brings the one final answer in time.
    let start = Instant::now();
    assert_eq!(client.get(3, "cert-filing", 78, 7), "3 broken");
    assert!(start.elapsed() >= Duration::from_millis(1_400), "{:?}", start.elapsed());
}

/// Guards against SIGHUP ending the program, against events lost between the old feed and the new one, and
/// against a file that can't be used.
#[test]
fn sighup_moves_on_to_the_feed_of_the_new_file() {
    let (old, node, mut client, shelfs) = bed([data(), data(), data()]);
    shelfs.iter().for_each(|s| s.does(Does::Nothing));
    client.ask(1, "cert-filing", 77, ",obj=0000000000000007");
    for unusable in ["{", &config(old.addr).replace("\"sendCap\":6", "\"sendCap\":0")] {
        node.reread(unusable);
        node.says("configuration rejected, the old one stays in force");
    }
    // The new feed knows what the old one told, and more.
    let new = Feed::start();
    new.members(true, &listed(&shelfs));
    new.members(false, &[line("s-a", shelfs[0].addr, "std", "gone")]);
    for calls in 1..4 {
        node.reread(&config(new.addr));
        until("a call at once", || (new.calls().len() == calls).then_some(()));
    }
    assert_eq!(new.calls()[0], 1, "the numbers continue");
    assert_eq!(old.calls().len(), 1, "the old feed is not called again");
    shelfs.iter().for_each(|s| s.does(data()));
    assert_eq!(client.answer(), "1 broken", "the open request is still answered");
    let before = shelfs[0].count();
    for n in 2..30 {
        assert!(client.get(n, "docs", n.into(), n.into()).contains("good"));
    }
    assert_eq!(shelfs[0].count(), before, "what only the new feed tells is heeded");
}

#[test]
fn sigterm_finishes_what_is_open_and_exits_cleanly() {
    let (_feed, mut node, mut client, shelfs) = bed([data(), data(), data()]);
    shelfs.iter().for_each(|s| s.does(Does::Nothing));
    client.ask(1, "cert-filing", 77, ",obj=0000000000000007");
    until("the attempt", || {
        shelfs.iter().any(|s| s.asked().iter().any(|a| a.rid.ends_with("4d"))).then_some(())
    });
    node.signal("-TERM");
    shelfs.iter().for_each(|s| s.does(data()));
    let mut late = Client::connect(node.addr);
    assert_eq!(
        late.get(1, "docs", 78, 8),
        "1 good ver=d1 some bytes",
        "new connections are served for a while"
    );
    assert_eq!(client.answer(), "1 broken", "the open request is answered at its deadline");
    let (status, said) = node.ended();
    assert!(status.success());
    let counted = said.last().unwrap().split("requests: ").nth(1).unwrap();
    let (shelfs, rest) = counted.split_once(" attempts").unwrap();
    assert!(shelfs.contains("1 failed"), "{counted}");
    insta::assert_snapshot!(rest, @", 0 lookups; invariants broken: 0");
}

/// Guards against panics on whatever a shelf sends: answers with bytes changed, in an order that is the same in
/// every run. Each request still gets one answer that the protocol knows.
#[test]
fn broken_answers_of_shelfs_end_nothing() {
    let (_feed, mut node, mut client, shelfs) = bed([data(), data(), data()]);
    let mut number = 0x2545_f491_4f6c_dd1d_u64;
    for n in 1..300_u32 {
        let rid = format!("{n:016x}");
        let mut answer = array(&[rid.as_bytes(), b"data", b"digest=d1,dated=1", b"some bytes"]);
        for _ in 0..2 {
            number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let at = (number >> 33) as usize % answer.len();
            answer[at] = (number >> 20) as u8;
        }
        shelfs[..2].iter().for_each(|s| s.does(Does::Raw(answer.clone())));
        client.ask(n, "docs", n.into(), ",obj=0000000000000007");
        // One that hangs is given up by the client.
        client.send(&array(&[b"UNDO", n.to_string().as_bytes()]));
        client.send(&array(&[b"PING", (n + 1_000).to_string().as_bytes(), b""]));
        let mut answer = client.answer();
        while !answer.ends_with("fit") {
            assert!(["good", "refused", "broken"].contains(&answer.split(' ').nth(1).unwrap()), "{answer}");
            answer = client.answer();
        }
    }
    assert!(node.child.try_wait().unwrap().is_none());
    assert!(shelfs[..2].iter().map(Shelf::count).sum::<usize>() > 100);
}

/// Guards against panics on what the control feed sends, and against losing what comes after it.
#[test]
fn broken_events_of_the_feed_are_passed_over() {
    let (feed, _node, mut client, shelfs) = bed([data(), data(), data()]);
    for event in [
        "\"members\":7",
        "\"members\":{\"targets\":[{\"uid\":\"s-a\",\"state\":\"asleep\"}]}",
        "\"purge\":{\"at\":1}",
        "\"purge\":{\"key\":\"zz\",\"at\":1}",
        "\"purge\":{\"group\":3,\"at\":99999999999999999999}",
        "\"news\":[]",
        "}{",
    ] {
        feed.tell(event);
    }
    feed.members(false, &[line("s-a", shelfs[0].addr, "std", "gone")]);
    let mut tag = 0;
    until("the last event", || {
        let before = shelfs[0].count();
        let some = (0..10).all(|_| {
            tag += 1;
            client.get(tag, "docs", tag.into(), tag.into()).contains("good")
        });
        (some && before == shelfs[0].count()).then_some(())
    });
}

/// Guards against more descriptors than are allowed, and against connections that wait for ever, or keep the
/// driver awake, while a third of the descriptors is taken.
#[test]
fn clients_hold_a_third_of_the_descriptors_at_most() {
    let feed = Feed::start();
    let node = Node::limited(&feed, 64);
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(node.addr)).collect();
    let fds = std::path::PathBuf::from(format!("/proc/{}/fd", node.child.id()));
    for client in &mut clients {
        client.send(&array(&[b"PING", b"1", b""]));
        // An idle connection makes way for one that waits; none of those answered is taken back.
        assert_eq!(client.answer(), "1 fit");
        let open = std::fs::read_dir(&fds).unwrap().count();
        assert!(open <= 64 / 3 + 12, "{open} descriptors");
    }
}

#[test]
fn a_bad_configuration_is_one_plain_line() {
    let feed: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    let good = config(feed);
    let operator = file("operator.json5", "{dns: {zone: 'a..b', listen: '127.0.0.1:0'}}");
    let operator = operator.to_str().unwrap();
    let cases: Vec<(String, Vec<&str>, &str)> = vec![
        ("{".into(), vec![], "EOF while parsing"),
        (
            good.replace("\"retryable\"", "\"often\""),
            vec![],
            "setting classes.0.effect: can't read \"often\"",
        ),
        (good.replace("\"sendCap\":6", "\"sendCap\":0"), vec![], "max_attempts"),
        (good.replace("8c1f30d27a5be964", "seed"), vec![], "not a hex number"),
        (good.clone(), vec!["serve", "--operator", operator], "dns.zone: is no domain name"),
    ];
    for (text, args, says) in cases {
        let out = command(&file("config.json", &text), &args).output().unwrap();
        let err = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && err.contains(says) && err.lines().count() == 1, "{says}: {err}");
    }
}
