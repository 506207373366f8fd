//! The adapter as a process: a clean end, and a plain message with a failing exit for bad input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hollymux-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // A process that has already given up closes its end; that is no failure of the test.
    let _ = child.stdin.take().map(|mut s| s.write_all(input));
    child.wait_with_output().expect("the adapter ends")
}

fn frame(records: &[[u8; 48]], tail: &[u8]) -> Vec<u8> {
    let mut b = 5_000_000u64.to_le_bytes().to_vec();
    b.extend(((16 + records.len() * 48 + tail.len()) as u32).to_le_bytes());
    b.extend((records.len() as u32).to_le_bytes());
    b.extend(records.concat());
    b.extend(tail);
    b
}

fn record(lead: &[u8]) -> [u8; 48] {
    let mut r = [0; 48];
    r[..lead.len()].copy_from_slice(lead);
    r
}

/// A `create` for an instance, its settings at the start of the tail.
fn create(inst: u8, text: &str) -> [u8; 48] {
    let mut r = record(&[70, inst, 0]);
    r[15..19].copy_from_slice(&(text.len() as u32).to_le_bytes());
    r
}

#[test]
fn end_of_input_is_a_clean_exit() {
    let out = run(&[]);
    assert!(out.status.success() && out.stdout.is_empty() && out.stderr.is_empty());
    let out = run(&frame(&[], &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [8, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn a_killed_instance_may_be_created_again_in_the_same_batch() {
    let text = "classes.count=0\n";
    let start = create(3, text);
    let kill = record(&[110, 3, 0]);
    let out = run(&frame(&[start, kill, start, kill], text.as_bytes()));
    assert!(out.status.success(), "{out:?}");
    assert_eq!(out.stdout.len(), 8);
}

#[test]
fn bad_input_ends_with_a_message_and_no_partial_reply() {
    let good = frame(&[], &[]);
    let text = "rules.coldFrom=7\n";
    let cases = [
        (good[..11].to_vec(), "ends at byte 11"),
        (frame(&[record(&[200])], &[]), "unknown event code 200"),
        (frame(&[record(&[30, 9, 0])], &[]), "instance 9: a timer before its start"),
        (frame(&[create(1, "a")], b"a"), "setting a"),
        (frame(&[create(1, text)], text.as_bytes()), "setting cold_from"),
        (frame(&[create(1, text)], &[]), "past the end"),
    ];
    for (input, message) in cases {
        let out = run(&input);
        let err = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && out.stdout.is_empty(), "{message}");
        assert!(err.contains(message), "{err} should say {message}");
        assert!(!err.contains("panicked"), "{err}");
    }
}
