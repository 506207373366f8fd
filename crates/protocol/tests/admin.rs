//! Requests to the admin endpoint: read alike in any pieces, rejected with the right status, and
//! bounded.

use hollymux_protocol::admin::{
    AdminOperation, AdminRequest, AdminRequestError, AdminRequestReader, MAX_HEADER_LINES, MAX_HEAD_BYTES,
};
use proptest::prelude::*;

fn read_at_once(bytes: &[u8]) -> Option<Result<AdminRequest, AdminRequestError>> {
    AdminRequestReader::default().feed(bytes)
}

fn request_for(operation: AdminOperation) -> Option<Result<AdminRequest, AdminRequestError>> {
    Some(Ok(AdminRequest { operation, head_only: false }))
}

/// Guards against a request that is read otherwise because it came in pieces.
#[test]
fn a_request_is_read_alike_in_any_two_pieces() {
    let cases: [(&str, AdminOperation); 5] = [
        ("GET /status HTTP/1.1\r\nHost: a\r\n\r\n", AdminOperation::Status),
        ("GET http://a:1/status/metrics?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", AdminOperation::Metrics),
        ("PUT /standby HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", AdminOperation::Standby),
        ("PUT /active HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nagain", AdminOperation::Active),
        ("GET /status HTTP/1.0\r\n\r\n", AdminOperation::Status),
    ];
    for (text, operation) in cases {
        assert_eq!(read_at_once(text.as_bytes()), request_for(operation), "{text}");
        for at in 1..text.len() {
            let mut reader = AdminRequestReader::default();
            assert_eq!(reader.feed(&text.as_bytes()[..at]), None, "{text} at {at}");
            assert_eq!(reader.feed(&text.as_bytes()[at..]), request_for(operation), "{text} at {at}");
        }
    }
}

/// Guards against accepting what is no request, and against requests that never end.
#[test]
fn an_invalid_request_is_rejected_with_its_status() {
    let long = format!("GET /status HTTP/1.1\r\nx: {}", "y".repeat(MAX_HEAD_BYTES));
    let many = format!("GET /status HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(MAX_HEADER_LINES + 1));
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
        (&long, 431),
        (&many, 431),
    ];
    for (text, status) in cases {
        let error = read_at_once(text.as_bytes()).expect("the request is complete").expect_err(text);
        assert_eq!(error.status(), status, "{text}");
        assert_eq!(error.allow().is_some(), status == 405, "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against bytes that panic the reader or fill it.
    #[test]
    fn any_bytes_are_read_within_bounds(pieces in proptest::collection::vec(
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
