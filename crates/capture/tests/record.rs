//! Recordings: what is written is read again, and damage costs what it touches and no more.

use hollymux_capture::*;
use hollymux_decision::{EndpointEntry, EndpointId, EndpointState, Idempotency, Settings, Timestamp};
use hollymux_router::{ListedEndpoint, RequestResult, RequestSummary, RequestedObject, ResultReason};
use proptest::prelude::*;
use std::path::PathBuf;
use std::time::Duration;

fn head(router: &str) -> Head {
    let class = hollymux_decision::RequestClass {
        latency_objective: Duration::from_millis(250),
        idempotency: Idempotency::Idempotent,
        ..Default::default()
    };
    let s =
        Settings { classes: vec![class], parent_kind: Some(1), flow_kb_per_s: 20.0, ..Default::default() };
    Head::new(router, &["cairo".into()], &["box".into(), "hub".into()], &["docs".into()], &s)
}

fn ended(n: u64, host: &str) -> RequestSummary {
    RequestSummary {
        request: n as u32,
        requested: RequestedObject {
            class: 0,
            object: n * 7,
            chunk: n as u32 % 5,
            group: 3,
            request_id: Some(n),
        },
        arrived: Timestamp::from_micros(1_000_000 + n * 1_000),
        budget: Duration::from_millis(2_500),
        duration: Duration::from_micros(40_000 + n),
        result: if n.is_multiple_of(9) { RequestResult::Rejected } else { RequestResult::Served },
        reason: if n.is_multiple_of(9) { ResultReason::NoEndpoint } else { ResultReason::Completed },
        bytes: n * 3,
        attempts: 1,
        endpoint: Some(host.into()),
        source: n.is_multiple_of(2).then(|| "s-hub".into()),
    }
}

fn member(uid: &str) -> ListedEndpoint {
    let entry = EndpointEntry {
        id: EndpointId(9),
        state: EndpointState::Draining,
        weight: 8.0,
        ..Default::default()
    };
    ListedEndpoint { entry, uid: uid.to_string(), addr: None }
}

/// A folder with a recording of so many requests, in files of so many bytes.
fn recorded(requests: u64, file_bytes: u64, files: usize) -> (tempfile::TempDir, Vec<PathBuf>) {
    let dir = tempfile::tempdir().unwrap();
    let sink = Sink::new(dir.path(), head("n/1"), file_bytes, files).unwrap();
    let mut recorder = Recorder::patient(sink).unwrap();
    recorder.members(5, &[member("s-a")]);
    (0..requests).for_each(|n| recorder.request(&ended(n, if n.is_multiple_of(3) { "s-a" } else { "s-b" })));
    recorder.purge(77, Some(4), 3);
    drop(recorder);
    let mut paths: Vec<PathBuf> = std::fs::read_dir(dir.path()).unwrap().map(|e| e.unwrap().path()).collect();
    paths.sort();
    (dir, paths)
}

#[test]
fn what_is_recorded_is_read_again() {
    let (_dir, paths) = recorded(20_000, 1 << 20, 10);
    let r = load(&paths).unwrap();
    assert!(r.loss.none() && r.rows.len() == 20_000, "{:?}, {} rows", r.loss, r.rows.len());
    let row = r.rows[12_345];
    assert_eq!((row.object, row.part, row.group, row.bytes), (12_345 * 7, 0, 3, 12_345 * 3));
    assert_eq!((row.took, row.budget, row.end), (52_345, 2_500_000, End::Served));
    assert_eq!((r.member(row.host.into()), row.source), ("s-a", u16::MAX));
    assert_eq!(r.member(r.rows[4].source.into()), "s-hub");
    assert_eq!((r.members[0].1.state, r.member(r.members[0].1.name)), (1, "s-a"));
    assert_eq!(r.purges[0].1, PurgeLine { at: 77, object: Some(4), group: 3 });
    assert_eq!((r.heads[0].office.as_str(), r.heads[0].flow_bytes_per_s), ("cairo", 20_000.0));
}

#[test]
fn files_are_ended_and_the_oldest_makes_way() {
    let (dir, paths) = recorded(60_000, 1, 3);
    // Each block is a file of its own.
    assert_eq!(paths.len(), 3, "{paths:?}");
    let r = load(&paths).unwrap();
    assert!(!r.rows.is_empty() && r.rows.len() < 60_000);
    // A later start takes the files of an earlier one into account, and nobody else's.
    std::fs::write(dir.path().join("other-1.hmxload"), b"theirs").unwrap();
    let sink = Sink::new(dir.path(), head("n/1"), 1, 3).unwrap();
    assert_eq!(sink.files(), paths);
}

#[test]
fn a_full_queue_drops_and_the_file_says_how_much() {
    let dir = tempfile::tempdir().unwrap();
    let sink = Sink::new(dir.path(), head("n1"), 1 << 20, 4).unwrap();
    let mut recorder = Recorder::start(sink, 1).unwrap();
    (0..50_000).for_each(|n| recorder.request(&ended(n, "s-a")));
    drop(recorder);
    let paths: Vec<PathBuf> = std::fs::read_dir(dir.path()).unwrap().map(|e| e.unwrap().path()).collect();
    let r = load(&paths).unwrap();
    assert!(r.loss.dropped > 0);
    assert_eq!(r.rows.len() as u64 + r.loss.dropped, 50_000);
}

#[test]
fn what_is_no_recording_is_refused_in_one_line_each() {
    let dir = tempfile::tempdir().unwrap();
    let files: [(&str, &[u8]); 4] = [
        ("empty", b""),
        ("text", b"hello, this is no recording"),
        ("newer", b"hmxload\0\x09\0"),
        ("bare", b"hmxload\0\x01\0hmxB\xff\xff\xff\xff...."),
    ];
    let paths: Vec<PathBuf> = files
        .map(|(name, bytes)| {
            std::fs::write(dir.path().join(name), bytes).unwrap();
            dir.path().join(name)
        })
        .into();
    let mut paths = paths;
    paths.push(dir.path().join("absent"));
    let wrong = load(&paths).unwrap_err();
    assert_eq!(wrong.len(), 5, "{wrong:?}");
    assert!(wrong[1].contains("no recording") && wrong[2].contains("version 9"), "{wrong:?}");
    assert!(wrong.iter().any(|w| w.contains("holds no block")), "{wrong:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever byte is spoilt, and wherever the file ends, what stands in other blocks is read and the loss is told.
    #[test]
    fn damage_costs_what_it_touches(at in 10usize..100_000, cut in 0usize..100_000, bits in 1u8..=255) {
        thread_local! {
            static WHOLE: Vec<u8> = {
                let (_dir, paths) = recorded(40_000, 1 << 30, 1);
                std::fs::read(&paths[0]).unwrap()
            };
        }
        let whole = WHOLE.with(Clone::clone);
        let (all, loss) = read(&whole).unwrap();
        prop_assert!(all.len() > 4 && loss.none());
        let mut spoilt = whole.clone();
        let at = at % spoilt.len();
        let at = at.max(10);
        spoilt[at] ^= bits;
        let (blocks, loss) = read(&spoilt).unwrap();
        prop_assert!(loss.bytes > 0);
        prop_assert_eq!(blocks.len(), all.len() - 1);
        prop_assert!(blocks.iter().all(|b| all.contains(b)));
        let end = cut % whole.len();
        let (blocks, loss) = read(&whole[..end.max(10)]).unwrap();
        prop_assert_eq!(&all[..blocks.len()], &blocks[..]);
        prop_assert!(blocks.len() < all.len() && (loss.bytes > 0 || end.max(10) < 11 || !blocks.is_empty()));
    }

    /// Bytes at random never panic and are never taken for entries.
    #[test]
    fn bytes_at_random_are_no_blocks(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut file = b"hmxload\0\x01\0".to_vec();
        file.extend_from_slice(&bytes);
        let (blocks, loss) = read(&file).unwrap();
        prop_assert!(blocks.is_empty());
        prop_assert_eq!(loss.bytes, bytes.len() as u64);
    }
}
