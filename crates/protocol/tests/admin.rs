//! Tests of the admin endpoint's request decoder: results do not depend on how the bytes are split,
//! invalid requests are rejected with the right status, and the buffer is limited.

use hollymux_protocol::admin::{
    AdminOperation, AdminRequest, AdminRequestError, AdminRequestReader, MAX_HEADER_LINES, MAX_HEAD_BYTES,
};
use proptest::prelude::*;

/// Decodes a request that arrives in one piece.
fn read_at_once(bytes: &[u8]) -> Option<Result<AdminRequest, AdminRequestError>> {
    AdminRequestReader::default().feed(bytes)
}

/// The expected result for a valid request with a method other than `HEAD`.
fn request_for(operation: AdminOperation) -> Option<Result<AdminRequest, AdminRequestError>> {
    Some(Ok(AdminRequest { operation, head_only: false }))
}

/// Guards against results that depend on how a request is split into TCP segments.
#[test]
fn a_request_in_two_pieces_is_decoded_like_one_in_one_piece() {
    let cases: [(&str, AdminOperation); 5] = [
        ("GET /status HTTP/1.1\r\nHost: a\r\n\r\n", AdminOperation::Status),
        ("GET http://a:1/status/metrics?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", AdminOperation::Metrics),
        ("PUT /standby HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", AdminOperation::Standby),
        ("PUT /active HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nagain", AdminOperation::Active),
        ("GET /status HTTP/1.0\r\n\r\n", AdminOperation::Status),
    ];
    for (text, operation) in cases {
        assert_eq!(read_at_once(text.as_bytes()), request_for(operation), "{text}");
        for split in 1..text.len() {
            let (first, second) = text.as_bytes().split_at(split);
            let mut reader = AdminRequestReader::default();
            assert_eq!(reader.feed(first), None, "{text} split at {split}");
            assert_eq!(reader.feed(second), request_for(operation), "{text} split at {split}");
        }
    }
}

/// Guards against accepting invalid requests, and against waiting forever for the end of a request
/// whose length is unknown or exceeds the limits.
#[test]
fn an_invalid_request_is_rejected_with_its_status() {
    let long_head = format!("GET /status HTTP/1.1\r\nx: {}", "y".repeat(MAX_HEAD_BYTES));
    let many_headers = format!("GET /status HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(MAX_HEADER_LINES + 1));
    let cases = [
        ("GET / HTTP/1.1\r\n\r\n", 404),
        ("GET /status/ HTTP/1.1\r\n\r\n", 404),
        ("POST /standby HTTP/1.1\r\n\r\n", 405),
        ("GET /active HTTP/1.1\r\n\r\n", 405),
        ("PUT /status HTTP/1.1\r\n\r\n", 405),
        ("PUT /standby HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", 413),
        ("PUT /standby HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        ("PUT /standby HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        ("PUT /standby HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        ("*2\r\n$4\r\nPING\r\n$1\r\n1\r\n", 400),
        ("GET /status HTTP/3.0\r\n\r\n", 505),
        (&long_head, 431),
        (&many_headers, 431),
    ];
    for (text, status) in cases {
        let error = read_at_once(text.as_bytes()).expect("the reader waits for more bytes").expect_err(text);
        assert_eq!(error.status(), status, "{text}");
        assert_eq!(error.allow().is_some(), status == 405, "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against input that causes a panic or grows the buffer without limit.
    #[test]
    fn arbitrary_bytes_cause_no_panic_and_are_buffered_up_to_the_limit(pieces in proptest::collection::vec(
        proptest::collection::vec(any::<u8>(), 0..400), 0..60)) {
        let mut reader = AdminRequestReader::default();
        for piece in pieces {
            if reader.feed(&piece).is_some() {
                break;
            }
            prop_assert!(reader.buffered_bytes() <= MAX_HEAD_BYTES);
        }
    }
}
