//! Tests of the encoding of membership datagrams: encoded messages are decoded unchanged, and
//! invalid datagrams are rejected.

use hollymux_cluster::envelope::{self, cluster_hash, CHECKSUM_LEN};
use hollymux_cluster::membership::message::{
    decode, encode, GossipUpdate, MessageBody, MessageHeader, NO_SUSPECTOR,
};
use hollymux_cluster::membership::{MemberRecord, MemberState, RouterPhase, MAX_NAME_LEN};
use hollymux_cluster::{DatagramError, MAX_DATAGRAM_LEN};
use proptest::prelude::*;
use std::net::SocketAddr;

/// Leading byte of membership datagrams, which identifies their kind and version.
const VERSION: u8 = 1;
const SUSPECTOR: u32 = 5;

fn address(router: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, router], 7_946))
}

fn record(generation: u64, name: &str) -> MemberRecord {
    MemberRecord {
        generation,
        incarnation: 3,
        state: MemberState::Suspect,
        phase: RouterPhase::Ready,
        name: name.into(),
        zone: "cairo".into(),
    }
}

fn header(body: MessageBody) -> MessageHeader {
    MessageHeader {
        cluster: cluster_hash("f"),
        sender: address(1),
        record: record(7, "n1"),
        view_digest: 9,
        body,
    }
}

/// A datagram with these contents inside a valid envelope.
fn sealed(contents: &[u8]) -> Vec<u8> {
    envelope::seal(VERSION, |bytes| bytes.extend_from_slice(contents))
}

/// More updates than fit into one datagram; all of them are suspicions.
fn updates() -> Vec<GossipUpdate> {
    (0..200)
        .map(|router| GossipUpdate {
            member: address(router),
            record: record(u64::from(router) << 40, "a-router"),
            suspector: SUSPECTOR,
        })
        .collect()
}

/// Guards against a datagram that exceeds the maximum length, and against updates that are
/// truncated at its end.
#[test]
fn updates_that_fit_into_a_datagram_are_decoded_unchanged() {
    let updates = updates();
    let ping = header(MessageBody::Ping { nonce: u64::MAX });
    let encoded = encode(&ping, updates.iter());
    let len = encoded.payload.len();
    assert!(
        len <= MAX_DATAGRAM_LEN && encoded.update_count > 20,
        "{} updates in {len} bytes",
        encoded.update_count
    );
    let message = decode(&encoded.payload, cluster_hash("f")).unwrap();
    assert_eq!((message.header, &message.updates[..]), (ping, &updates[..encoded.update_count]));
}

/// Guards against invalid datagrams that are accepted, or counted under a wrong cause.
#[test]
fn foreign_truncated_or_out_of_bounds_datagrams_are_rejected_with_their_cause() {
    let encoded = encode(&header(MessageBody::Ping { nonce: u64::MAX }), updates().iter());
    let bytes = encoded.payload;
    assert_eq!(decode(&bytes, cluster_hash("g")).unwrap_err(), DatagramError::OtherCluster);
    assert_eq!(decode(&bytes[1..], cluster_hash("f")).unwrap_err(), DatagramError::UnsupportedFormat);
    let truncated = &bytes[..bytes.len() - 1];
    assert_eq!(decode(truncated, cluster_hash("f")).unwrap_err(), DatagramError::ChecksumMismatch);
    let long_name = GossipUpdate {
        member: address(1),
        record: record(1, &"n".repeat(MAX_NAME_LEN + 1)),
        suspector: NO_SUSPECTOR,
    };
    let encoded = encode(&header(MessageBody::Gossip), [long_name].iter());
    assert_eq!(decode(&encoded.payload, cluster_hash("f")).unwrap_err(), DatagramError::InvalidFields);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against panics of the decoder and records out of bounds. The inputs are random bytes
    /// with and without a valid envelope, and an encoded message with one bit flipped or truncated,
    /// in an envelope with a matching checksum.
    #[test]
    fn decoder_neither_panics_nor_accepts_fields_out_of_bounds(
        random_bytes in proptest::collection::vec(any::<u8>(), 0..1_500),
        position in 0usize..120, bit in 0u32..8, truncated_len in 0usize..120,
    ) {
        let target = SocketAddr::from(([10, 0, 0, 9], 1));
        let valid = encode(&header(MessageBody::IndirectPing { nonce: 1, target }), std::iter::empty());
        let mut contents = valid.payload[1..valid.payload.len() - CHECKSUM_LEN].to_vec();
        let position = position % contents.len();
        contents[position] ^= 1 << bit;
        let truncated = &contents[..truncated_len.min(contents.len())];
        for bytes in [random_bytes.clone(), sealed(&random_bytes), sealed(&contents), sealed(truncated)] {
            if let Ok(message) = decode(&bytes, cluster_hash("f")) {
                prop_assert!(message.header.record.is_valid());
                prop_assert!(message.updates.iter().all(|update| update.record.is_valid()));
                prop_assert!(bytes.len() <= MAX_DATAGRAM_LEN);
            }
        }
    }
}
