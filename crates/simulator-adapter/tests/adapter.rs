//! Tests of the adapter as a process: exit status, replies and error messages.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with this standard input and returns its exit status and output.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hollymux-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    // The adapter may exit on an error before it has read all input. The write then fails, which is
    // not a failure of the test.
    let _ = child.stdin.take().map(|mut stdin| stdin.write_all(input));
    child.wait_with_output().expect("failed to wait for the adapter")
}

/// A batch frame with time 5 s.
fn frame(records: &[[u8; 48]], tail: &[u8]) -> Vec<u8> {
    let mut frame = 5_000_000u64.to_le_bytes().to_vec();
    frame.extend(((16 + records.len() * 48 + tail.len()) as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(records.concat());
    frame.extend(tail);
    frame
}

/// An event record that starts with these bytes and is padded with zeros.
fn record(leading_bytes: &[u8]) -> [u8; 48] {
    let mut record = [0; 48];
    record[..leading_bytes.len()].copy_from_slice(leading_bytes);
    record
}

/// A record that creates an instance, whose settings text is at the start of the tail.
fn create(instance: u8, settings: &str) -> [u8; 48] {
    let mut record = record(&[70, instance, 0]);
    record[15..19].copy_from_slice(&(settings.len() as u32).to_le_bytes());
    record
}

#[test]
fn the_adapter_exits_successfully_at_the_end_of_its_input() {
    let output = run(&[]);
    assert!(output.status.success() && output.stdout.is_empty() && output.stderr.is_empty());
    let output = run(&frame(&[], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [8, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn a_removed_instance_can_be_created_again_in_the_same_batch() {
    let settings = "classes.count=0\n";
    let create = create(3, settings);
    let remove = record(&[110, 3, 0]);
    let output = run(&frame(&[create, remove, create, remove], settings.as_bytes()));
    assert!(output.status.success(), "{output:?}");
    assert_eq!(output.stdout.len(), 8);
}

#[test]
fn invalid_input_ends_the_adapter_with_a_message_and_without_a_partial_reply() {
    let valid = frame(&[], &[]);
    let settings = "rules.coldFrom=7\n";
    let cases = [
        (valid[..11].to_vec(), "ends at byte 11"),
        (frame(&[record(&[200])], &[]), "unknown event code 200"),
        (frame(&[record(&[30, 9, 0])], &[]), "instance 9 does not exist: unexpected timer event"),
        (frame(&[create(1, "a")], b"a"), "setting a"),
        (frame(&[create(1, settings)], settings.as_bytes()), "setting cold_from"),
        (frame(&[create(1, settings)], &[]), "past the end"),
    ];
    for (input, message) in cases {
        let output = run(&input);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && output.stdout.is_empty(), "{message}");
        assert!(stderr.contains(message), "{stderr:?} does not contain {message:?}");
        assert!(!stderr.contains("panicked"), "{stderr}");
    }
}
