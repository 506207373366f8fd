//! Tests of the endpoint feed's transport: the request, the decoding of events in pieces of any
//! size, and errors.

use hollymux_protocol::endpoint_feed::{encode_request, EndpointFeedReader, FeedError};

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Decodes a response that arrives in these pieces. Returns the events before the first error, and
/// that error if there is one.
fn read(pieces: &[&str]) -> (Vec<String>, Result<(), FeedError>) {
    let mut reader = EndpointFeedReader::default();
    let mut events = Vec::new();
    let result = pieces.iter().try_for_each(|piece| reader.feed(piece.as_bytes(), &mut events));
    let to_text = |event: Vec<u8>| String::from_utf8(event).expect("event is not UTF-8");
    (events.into_iter().map(to_text).collect(), result)
}

#[test]
fn the_request_contains_the_number_of_the_last_known_event() {
    let request = String::from_utf8(encode_request("127.0.0.1:80", 7)).expect("request is not UTF-8");
    assert_eq!(
        request,
        "GET /v1/events HTTP/1.1\r\nHost: 127.0.0.1:80\r\nAccept: text/event-stream\r\n\
         Cache-Control: no-cache\r\nLast-Event-ID: 7\r\n\r\n"
    );
}

/// Guards against results that depend on how a response is split into TCP segments or chunks.
#[test]
fn events_in_a_response_of_two_pieces_are_decoded_completely() {
    let events = ": heartbeat\n\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let responses = [
        format!("{HEAD}{events}"),
        format!("{CHUNKED_HEAD}{}", chunk(events)),
        format!("{CHUNKED_HEAD}{}{}", chunk(&events[..24]), chunk(&events[24..])),
    ];
    for response in responses {
        for split in 0..=response.len() {
            let (events, result) = read(&[&response[..split], &response[split..]]);
            assert_eq!(result, Ok(()), "{response:?} split at {split}");
            assert_eq!(events, ["one", "two\nlines"], "{response:?} split at {split}");
        }
    }
}

/// Guards against the first part of an event line being lost where the line continues in the next
/// chunk: a drain or a purge was then missed silently.
#[test]
fn an_event_line_that_continues_in_the_next_chunk_is_decoded_completely() {
    let events = ": heartbeat\n\ndata: one\r\n\nid: 2\ndata: two\ndata: lines\n\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    for first in 1..events.len() - 1 {
        for second in first + 1..events.len() {
            let pieces = [&events[..first], &events[first..second], &events[second..]];
            let response = format!("{CHUNKED_HEAD}{}", pieces.map(chunk).concat());
            let (decoded, result) = read(&[&response]);
            assert_eq!(result, Ok(()), "chunks end at {first} and {second}");
            assert_eq!(decoded, ["one", "two\nlines"], "chunks end at {first} and {second}");
        }
    }
}

#[test]
fn an_invalid_response_or_the_end_of_a_response_is_an_error() {
    let cases = [
        ("HTTP/1.1 503 Service Unavailable\r\n".to_string(), FeedError::UnexpectedStatus),
        ("RTSP/1.0 200 OK\r\n".to_string(), FeedError::UnexpectedStatus),
        (format!("{CHUNKED_HEAD}0\r\n"), FeedError::Ended),
        (format!("{CHUNKED_HEAD}many\r\n"), FeedError::InvalidChunkSize),
        (format!("{CHUNKED_HEAD}400001\r\n"), FeedError::InvalidChunkSize),
        (format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000)), FeedError::TooLong),
    ];
    for (response, error) in cases {
        assert_eq!(read(&[&response]).1, Err(error), "{response:?}");
    }
}

#[test]
fn an_event_before_an_error_is_returned() {
    let response = format!("{CHUNKED_HEAD}b\r\ndata: one\n\n\r\n0\r\n");
    assert_eq!(read(&[&response]), (vec!["one".to_string()], Err(FeedError::Ended)));
}
