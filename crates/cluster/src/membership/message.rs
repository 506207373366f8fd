//! Encoding of membership datagrams: a header followed by any number of gossip updates, inside the
//! common envelope ([`crate::envelope`]).
//!
//! Fields are encoded with postcard, so their order and types are the wire format. A datagram of
//! which any part can't be decoded is rejected as a whole.

use super::digest::BUCKETS;
use super::record::MemberRecord;
use crate::envelope::{self, DatagramError, CHECKSUM_LEN, MAX_DATAGRAM_LEN};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Leading byte of membership datagrams, which identifies their kind and version.
const VERSION: u8 = 1;
/// Seed of [`suspector_id`]; part of the wire format.
const SUSPECTOR_HASH_SEED: u64 = 4;
/// Value of [`GossipUpdate::suspector`] in an update that names no suspector.
pub const NO_SUSPECTOR: u32 = 0;

/// The request or response that a datagram carries. The order of variants and fields is the wire
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Probe: requests an [`MessageBody::Ack`] with the same nonce.
    Ping {
        /// Random number that identifies the probe and can't be predicted by other hosts.
        nonce: u64,
    },
    /// Acknowledges a ping, or an indirect ping whose target has acknowledged the relayed ping.
    Ack {
        /// The nonce of the acknowledged ping or indirect ping.
        nonce: u64,
    },
    /// Indirect probe: requests the receiver to ping `target`, and to reply with an
    /// [`MessageBody::Ack`] if the target acknowledges or with a [`MessageBody::Nack`] if it does
    /// not acknowledge in time.
    IndirectPing {
        /// The nonce that the reply must carry.
        nonce: u64,
        /// The address of the router to ping.
        target: SocketAddr,
    },
    /// Reports that the target of an indirect ping has not acknowledged in time.
    Nack {
        /// The nonce of the indirect ping.
        nonce: u64,
    },
    /// Requests nothing; the datagram only carries gossip updates.
    Gossip,
    /// Anti-entropy: requests the records of all buckets whose digest differs at the receiver.
    Compare {
        /// The sender's digest of each bucket.
        digests: [u64; BUCKETS],
        /// Whether this message replies to another `Compare`. The receiver of a reply sends records
        /// but no `Compare` of its own.
        is_reply: bool,
    },
}

/// The header of every membership datagram. The order of fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageHeader {
    /// The hash of the cluster's name; a receiver in another cluster rejects the datagram.
    pub cluster: u64,
    /// The sender's advertised address, to which replies are sent.
    pub sender: SocketAddr,
    /// The sender's record of itself.
    pub record: MemberRecord,
    /// The digest of the sender's whole view.
    pub view_digest: u64,
    /// The request or response that the datagram carries.
    pub body: MessageBody,
}

/// The sender's record of one router. The order of fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// The address of the router that the record describes.
    pub member: SocketAddr,
    /// The state, phase, generation and incarnation of that router in the sender's view.
    pub record: MemberRecord,
    /// The identifier ([`suspector_id`]) of a router that suspects `member`; [`NO_SUSPECTOR`] if
    /// the record's state is not `Suspect`.
    pub suspector: u32,
}

/// A decoded datagram whose records are within their bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The datagram's header.
    pub header: MessageHeader,
    /// The gossip updates that follow the header, in the sender's order.
    pub updates: Vec<GossipUpdate>,
}

/// A datagram written by [`encode`], with the number of gossip updates that fitted into it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedMessage {
    /// The complete datagram, at most [`MAX_DATAGRAM_LEN`] bytes.
    pub payload: Vec<u8>,
    /// Number of updates, from the first one on, that the datagram contains.
    pub update_count: usize,
}

/// The identifier of a router as a suspector: a hash of its address, short to save space in
/// datagrams. Routers without room in the member table are counted by the same identifier.
pub fn suspector_id(address: SocketAddr) -> u32 {
    xxh3_64_with_seed(address.to_string().as_bytes(), SUSPECTOR_HASH_SEED) as u32
}

/// Encodes a header and as many of the updates as fit into one datagram, starting with the first.
pub fn encode<'a>(header: &MessageHeader, updates: impl Iterator<Item = &'a GossipUpdate>) -> EncodedMessage {
    let mut update_count = 0;
    let payload = envelope::seal(VERSION, |bytes| {
        bytes.extend(postcard::to_stdvec(header).unwrap_or_default());
        for update in updates {
            let Ok(encoded) = postcard::to_stdvec(update) else { break };
            if bytes.len() + encoded.len() + CHECKSUM_LEN > MAX_DATAGRAM_LEN {
                break;
            }
            bytes.extend(encoded);
            update_count += 1;
        }
    });
    EncodedMessage { payload, update_count }
}

/// Decodes a received datagram. `cluster` is the hash of the local router's cluster.
///
/// # Errors
/// [`DatagramError::UnsupportedFormat`] or [`DatagramError::ChecksumMismatch`] if the envelope is
/// invalid, [`DatagramError::OtherCluster`] if the header has another cluster hash, and
/// [`DatagramError::InvalidFields`] if a field can't be decoded or a record is out of bounds.
pub fn decode(bytes: &[u8], cluster: u64) -> Result<Message, DatagramError> {
    let contents = envelope::open(VERSION, bytes)?;
    let (header, mut rest) =
        postcard::take_from_bytes::<MessageHeader>(contents).map_err(|_| DatagramError::InvalidFields)?;
    if header.cluster != cluster {
        return Err(DatagramError::OtherCluster);
    }
    let mut updates = Vec::new();
    while !rest.is_empty() {
        let (update, remaining) =
            postcard::take_from_bytes::<GossipUpdate>(rest).map_err(|_| DatagramError::InvalidFields)?;
        rest = remaining;
        updates.push(update);
    }
    if !header.record.is_valid() || !updates.iter().all(|update| update.record.is_valid()) {
        return Err(DatagramError::InvalidFields);
    }
    Ok(Message { header, updates })
}
