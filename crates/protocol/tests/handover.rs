//! Tests of the handover codec: decoding in pieces of any size, compatibility between versions, and
//! limits.

use hollymux_decision::Timestamp;
use hollymux_protocol::handover::{HandoverMessage, HandoverReader, MalformedMessage, ResourceUse, VERSION};
use hollymux_router::handover_state::{EndpointRecord, HandoverState, PendingWrite};
use proptest::prelude::*;

/// Kind byte of a message with the state of the predecessor.
const STATE_KIND: u8 = 2;

/// Messages whose encodings the tests use; the second one is the state of the predecessor.
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
        HandoverMessage::Hello { address: "127.0.0.1:5050".into(), accepts_resources: false },
        HandoverMessage::State {
            state: Some(Box::new(state.clone())),
            feed_position: Some(300),
            accepts_pending_writes: false,
        },
        HandoverMessage::State {
            state: Some(Box::new(state.clone())),
            feed_position: None,
            accepts_pending_writes: false,
        },
        HandoverMessage::State {
            state: Some(Box::new(state)),
            feed_position: Some(300),
            accepts_pending_writes: true,
        },
        HandoverMessage::TakeOver,
        HandoverMessage::Released,
        HandoverMessage::PendingWrites(vec![PendingWrite {
            request_id: 4,
            arrived: Timestamp::from_micros(5),
            endpoint: None,
        }]),
        HandoverMessage::Declined,
        HandoverMessage::Hello { address: "127.0.0.1:5050".into(), accepts_resources: true },
        HandoverMessage::Resources(Some(ResourceUse { descriptors: 90, buffers: 300 })),
    ]
}

/// A frame of the current version with this body, which need not be valid for the kind.
fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).expect("body too long").to_be_bytes();
    [b"hmx".as_slice(), &[VERSION, kind], &length, body].concat()
}

#[test]
fn messages_in_pieces_of_one_byte_are_decoded_completely() {
    let bytes: Vec<u8> = all_messages().iter().flat_map(HandoverMessage::encode).collect();
    let mut reader = HandoverReader::default();
    let mut decoded = Vec::new();
    for byte in bytes {
        reader.feed(&[byte]);
        decoded.extend(reader.next_message().unwrap());
    }
    assert_eq!(decoded, all_messages());
}

/// Guards against two failures: the kind of a message from a process of another version is not
/// recognized, so that not even the listening socket can be handed over; and a frame with an
/// oversized length makes the reader buffer without limit.
#[test]
fn kinds_of_another_version_are_recognized_and_oversized_lengths_rejected() {
    for message in all_messages() {
        let mut bytes = message.encode();
        bytes[3] = VERSION + 1;
        let mut reader = HandoverReader::default();
        reader.feed(&bytes);
        let decoded = reader.next_message().unwrap().unwrap();
        let same_kind = std::mem::discriminant(&decoded) == std::mem::discriminant(&message);
        assert!(same_kind, "{message:?} was decoded as {decoded:?}");
        // The state of another version must not be decoded.
        assert!(!all_messages()[1..3].contains(&decoded));
    }
    let mut reader = HandoverReader::default();
    reader.feed(&[b'h', b'm', b'x', VERSION, STATE_KIND, 0xff, 0, 0, 0]);
    assert_eq!(reader.next_message(), Err(MalformedMessage));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against input that causes a panic: arbitrary bytes, and arbitrary bodies after a
    /// valid header.
    #[test]
    fn arbitrary_bytes_cause_no_panic(kind in 0u8..8, body in proptest::collection::vec(any::<u8>(), 0..300)) {
        for bytes in [frame(kind, &body), body] {
            let mut reader = HandoverReader::default();
            reader.feed(&bytes);
            while let Ok(Some(message)) = reader.next_message() {
                if let HandoverMessage::State { state: Some(state), .. } = message {
                    let _endpoint_list = state.full_list_event(&[], &[]);
                }
            }
        }
    }
}
