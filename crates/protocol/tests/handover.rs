//! Handover messages: decoded alike in any pieces, across versions, and within bounds.

use hollymux_decision::Timestamp;
use hollymux_protocol::handover::{HandoverMessage, HandoverReader, MalformedMessage, VERSION};
use hollymux_router::handover_state::{EndpointRecord, HandoverState, PendingWrite};
use proptest::prelude::*;

/// The kind of a message with the state of the predecessor.
const STATE_KIND: u8 = 2;

fn all_messages() -> Vec<HandoverMessage> {
    let endpoint = EndpointRecord {
        uid: "s-a".into(),
        addr: "127.0.0.1:5".parse().ok(),
        zone: 1,
        kind: 0,
        cell: 2,
        weight: 4.0,
        draining: true,
        started: Timestamp::from_micros(7),
    };
    let state = HandoverState {
        endpoints: vec![endpoint],
        pending_writes: vec![PendingWrite {
            request_id: 1,
            arrived: Timestamp::from_micros(2),
            endpoint: Some(3),
        }],
        ..HandoverState::default()
    };
    vec![
        HandoverMessage::Hello("127.0.0.1:5050".into()),
        HandoverMessage::State(Some(Box::new(state))),
        HandoverMessage::TakeOver,
        HandoverMessage::Released,
        HandoverMessage::PendingWrites(vec![PendingWrite {
            request_id: 4,
            arrived: Timestamp::from_micros(5),
            endpoint: None,
        }]),
        HandoverMessage::Declined,
    ]
}

/// A frame with a body of any bytes, whatever the kind.
fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).expect("the body is short").to_be_bytes();
    [b"hmx".as_slice(), &[VERSION, kind], &length, body].concat()
}

#[test]
fn messages_are_decoded_alike_in_pieces_of_one_byte() {
    let bytes: Vec<u8> = all_messages().iter().flat_map(HandoverMessage::encode).collect();
    let mut reader = HandoverReader::default();
    let mut read = Vec::new();
    for byte in bytes {
        reader.feed(&[byte]);
        read.extend(reader.next_message().unwrap());
    }
    assert_eq!(read, all_messages());
}

/// Guards against a process of another version that is not understood at all, and against lengths
/// that nobody could send.
#[test]
fn other_versions_agree_on_the_socket_and_lengths_are_bounded() {
    for message in all_messages() {
        let mut bytes = message.encode();
        bytes[3] = VERSION + 1;
        let mut reader = HandoverReader::default();
        reader.feed(&bytes);
        let read = reader.next_message().unwrap().unwrap();
        let same_kind = std::mem::discriminant(&read) == std::mem::discriminant(&message);
        assert!(same_kind, "{message:?} is read as {read:?}");
        assert_ne!(read, all_messages()[1]);
    }
    let mut reader = HandoverReader::default();
    reader.feed(&[b'h', b'm', b'x', VERSION, STATE_KIND, 0xff, 0, 0, 0]);
    assert_eq!(reader.next_message(), Err(MalformedMessage));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against bytes that panic the reader: any, and any after a valid header.
    #[test]
    fn any_bytes_are_read_without_panic(kind in 0u8..8, body in proptest::collection::vec(any::<u8>(), 0..300)) {
        for bytes in [frame(kind, &body), body] {
            let mut reader = HandoverReader::default();
            reader.feed(&bytes);
            while let Ok(Some(message)) = reader.next_message() {
                if let HandoverMessage::State(Some(state)) = message {
                    let _endpoint_list = state.full_list_event(&[], &[]);
                }
            }
        }
    }
}
