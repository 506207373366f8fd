//! Writing and reading of recordings: entries are read as they were written, and damage to a file
//! loses only the blocks that it touches.

use hollymux_capture::{
    load, read_blocks, PurgeEntry, RecordedRequest, RecordedResult, Recorder, RecordingHeader,
    RecordingWriter,
};
use hollymux_decision::{EndpointEntry, EndpointId, EndpointState, Idempotency, Settings, Timestamp};
use hollymux_router::{ListedEndpoint, RequestResult, RequestSummary, RequestedObject, ResultReason};
use proptest::prelude::*;
use std::path::PathBuf;
use std::time::Duration;

/// Bytes of a file before its first block: the magic bytes and the version.
const FILE_HEADER_BYTES: usize = 10;

fn header(router: &str) -> RecordingHeader {
    let class = hollymux_decision::RequestClass {
        latency_objective: Duration::from_millis(250),
        idempotency: Idempotency::Idempotent,
        ..Default::default()
    };
    let settings =
        Settings { classes: vec![class], parent_kind: Some(1), flow_kb_per_s: 20.0, ..Default::default() };
    RecordingHeader::new(
        router,
        &["cairo".into()],
        &["box".into(), "hub".into()],
        &["docs".into()],
        &settings,
    )
}

fn request_summary(number: u64, endpoint: &str) -> RequestSummary {
    RequestSummary {
        request: number as u32,
        requested: RequestedObject {
            class: 0,
            object: number * 7,
            chunk: number as u32 % 5,
            group: 3,
            request_id: Some(number),
        },
        arrived: Timestamp::from_micros(1_000_000 + number * 1_000),
        budget: Duration::from_millis(2_500),
        duration: Duration::from_micros(40_000 + number),
        result: if number.is_multiple_of(9) { RequestResult::Rejected } else { RequestResult::Served },
        reason: if number.is_multiple_of(9) { ResultReason::NoEndpoint } else { ResultReason::Completed },
        bytes: number * 3,
        attempts: 1,
        endpoint: Some(endpoint.into()),
        source: number.is_multiple_of(2).then(|| "s-hub".into()),
    }
}

fn draining_endpoint(uid: &str) -> ListedEndpoint {
    let entry = EndpointEntry {
        id: EndpointId(9),
        state: EndpointState::Draining,
        weight: 8.0,
        ..Default::default()
    };
    ListedEndpoint { entry, uid: uid.to_string(), addr: None }
}

/// Writes a recording of `requests` requests, an endpoint update and a purge to a new directory.
/// Returns the directory and the sorted paths of its files.
fn record(requests: u64, file_bytes: u64, files: usize) -> (tempfile::TempDir, Vec<PathBuf>) {
    let dir = tempfile::tempdir().unwrap();
    let writer = RecordingWriter::new(dir.path(), header("n/1"), file_bytes, files).unwrap();
    let mut recorder = Recorder::start_blocking(writer).unwrap();
    recorder.endpoint_updates(5, &[draining_endpoint("s-a")]);
    for number in 0..requests {
        let endpoint = if number.is_multiple_of(3) { "s-a" } else { "s-b" };
        recorder.request(&request_summary(number, endpoint));
    }
    recorder.purge(77, Some(4), 3);
    drop(recorder);
    let mut paths: Vec<PathBuf> =
        std::fs::read_dir(dir.path()).unwrap().map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    (dir, paths)
}

#[test]
fn recorded_entries_are_read_again() {
    let (_dir, paths) = record(20_000, 1 << 20, 10);
    let recording = load(&paths).unwrap();
    assert!(
        recording.loss.is_empty() && recording.requests.len() == 20_000,
        "{:?}, {} requests",
        recording.loss,
        recording.requests.len()
    );
    let request = recording.requests[12_345];
    assert_eq!((request.object, request.chunk, request.group, request.bytes), (12_345 * 7, 0, 3, 12_345 * 3));
    assert_eq!(
        (request.duration, request.timeout, request.result),
        (52_345, 2_500_000, RecordedResult::Served)
    );
    assert_eq!(
        (recording.endpoint_name(request.endpoint.into()), request.source),
        ("s-a", RecordedRequest::NO_NAME)
    );
    assert_eq!(recording.endpoint_name(recording.requests[4].source.into()), "s-hub");
    assert_eq!(
        (
            recording.endpoint_updates[0].entry.state,
            recording.endpoint_name(recording.endpoint_updates[0].entry.name)
        ),
        (1, "s-a")
    );
    assert_eq!(recording.purges[0].entry, PurgeEntry { at: 77, object: Some(4), group: 3 });
    assert_eq!(
        (recording.headers[0].zone.as_str(), recording.headers[0].transfer_bytes_per_s),
        ("cairo", 20_000.0)
    );
}

/// Guards against recordings that fill the disk, and against removing files of other routers.
#[test]
fn files_are_bounded_and_the_oldest_is_removed() {
    let (dir, paths) = record(60_000, 1, 3);
    // With a limit of one byte, each block gets a file of its own.
    assert_eq!(paths.len(), 3, "{paths:?}");
    let recording = load(&paths).unwrap();
    assert!(!recording.requests.is_empty() && recording.requests.len() < 60_000);
    // A new writer counts the files of an earlier run of its router, and no files of other routers.
    std::fs::write(dir.path().join("other-1.hmxload"), b"another router's file").unwrap();
    let writer = RecordingWriter::new(dir.path(), header("n/1"), 1, 3).unwrap();
    assert_eq!(writer.files(), paths);
}

/// Guards against a recorder that blocks the caller when the disk is slow, or loses entries without
/// counting them.
#[test]
fn a_full_queue_drops_entries_and_the_file_counts_them() {
    let dir = tempfile::tempdir().unwrap();
    let writer = RecordingWriter::new(dir.path(), header("n1"), 1 << 20, 4).unwrap();
    let mut recorder = Recorder::start(writer, 1).unwrap();
    for number in 0..50_000 {
        recorder.request(&request_summary(number, "s-a"));
    }
    drop(recorder);
    let paths: Vec<PathBuf> =
        std::fs::read_dir(dir.path()).unwrap().map(|entry| entry.unwrap().path()).collect();
    let recording = load(&paths).unwrap();
    assert!(recording.loss.dropped > 0);
    assert_eq!(recording.requests.len() as u64 + recording.loss.dropped, 50_000);
}

#[test]
fn each_unreadable_file_is_reported_as_one_error() {
    let dir = tempfile::tempdir().unwrap();
    let files: [(&str, &[u8]); 4] = [
        ("empty", b""),
        ("text", b"hello, this is no recording"),
        ("newer version", b"hmxload\0\x09\0"),
        ("bad block", b"hmxload\0\x01\0hmxB\xff\xff\xff\xff...."),
    ];
    let mut paths: Vec<PathBuf> = files
        .map(|(name, bytes)| {
            std::fs::write(dir.path().join(name), bytes).unwrap();
            dir.path().join(name)
        })
        .into();
    paths.push(dir.path().join("absent"));
    let errors = load(&paths).unwrap_err();
    assert_eq!(errors.len(), 5, "{errors:?}");
    assert!(
        errors[1].contains("is not a traffic recording") && errors[2].contains("version 9"),
        "{errors:?}"
    );
    assert!(errors.iter().any(|error| error.contains("contains no readable block")), "{errors:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A damaged byte loses only its block, a file cut short keeps the blocks before the cut, and the
    /// lost bytes are reported.
    #[test]
    fn damage_loses_only_the_blocks_it_touches(
        damaged_at in FILE_HEADER_BYTES..100_000,
        cut_at in 0usize..100_000,
        flipped_bits in 1u8..=255,
    ) {
        thread_local! {
            static INTACT_FILE: Vec<u8> = {
                let (_dir, paths) = record(40_000, 1 << 30, 1);
                std::fs::read(&paths[0]).unwrap()
            };
        }
        let intact_bytes = INTACT_FILE.with(Clone::clone);
        let intact = read_blocks(&intact_bytes).unwrap();
        let all_blocks = intact.blocks;
        prop_assert!(all_blocks.len() > 4 && intact.loss.is_empty());
        let mut damaged_bytes = intact_bytes.clone();
        let damaged_at = (damaged_at % damaged_bytes.len()).max(FILE_HEADER_BYTES);
        damaged_bytes[damaged_at] ^= flipped_bits;
        let damaged = read_blocks(&damaged_bytes).unwrap();
        prop_assert!(damaged.loss.bytes > 0);
        prop_assert_eq!(damaged.blocks.len(), all_blocks.len() - 1);
        prop_assert!(damaged.blocks.iter().all(|block| all_blocks.contains(block)));
        let end = (cut_at % intact_bytes.len()).max(FILE_HEADER_BYTES);
        let cut_off = read_blocks(&intact_bytes[..end]).unwrap();
        let read_count = cut_off.blocks.len();
        prop_assert_eq!(&all_blocks[..read_count], &cut_off.blocks[..]);
        prop_assert!(read_count < all_blocks.len());
        prop_assert!(cut_off.loss.bytes > 0 || end < FILE_HEADER_BYTES + 1 || read_count > 0);
    }

    /// Random bytes after the file header don't make the reader panic, and are not decoded as
    /// blocks.
    #[test]
    fn random_bytes_are_no_blocks(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut file = b"hmxload\0\x01\0".to_vec();
        file.extend_from_slice(&bytes);
        let read = read_blocks(&file).unwrap();
        prop_assert!(read.blocks.is_empty());
        prop_assert_eq!(read.loss.bytes, bytes.len() as u64);
    }
}
