//! Membership datagrams: a header, then gossip updates, in the envelope of all datagrams.
//!
//! The order and the types of fields are the wire format (postcard). A datagram that can't be
//! decoded as a whole is rejected as a whole.

use super::digest::BUCKETS;
use super::record::MemberRecord;
use crate::envelope::{self, DatagramError, CHECKSUM_LEN, MAX_DATAGRAM_LEN};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Kind and version of membership datagrams.
const VERSION: u8 = 1;
/// Hash seed of suspector identifiers; part of the wire format.
const SUSPECTOR_HASH_SEED: u64 = 4;
/// The suspector of an update that is no suspicion.
pub const NO_SUSPECTOR: u32 = 0;

/// What a datagram asks for or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks for an acknowledgement with the same nonce.
    Ping {
        /// Unpredictable number of the probe.
        nonce: u64,
    },
    /// Answers a ping, directly or for another router.
    Ack {
        /// The nonce of the ping.
        nonce: u64,
    },
    /// Asks for a ping of another router, and an acknowledgement if that router answers.
    IndirectPing {
        /// The nonce of the acknowledgement.
        nonce: u64,
        /// The router to ping.
        target: SocketAddr,
    },
    /// The target of an indirect ping has not answered in time.
    Nack {
        /// The nonce of the indirect ping.
        nonce: u64,
    },
    /// Carries gossip updates only.
    Gossip,
    /// Asks for the records of those buckets in which the receiver's digests differ.
    Compare {
        /// The sender's digests by bucket.
        digests: [u64; BUCKETS],
        /// Whether this answers a comparison: the receiver does not answer with another one.
        is_reply: bool,
    },
}

/// What every membership datagram begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageHeader {
    /// The hash of the cluster's name.
    pub cluster: u64,
    /// The address of the sender that others send to.
    pub sender: SocketAddr,
    /// The sender's record.
    pub record: MemberRecord,
    /// The digest of the sender's view.
    pub view_digest: u64,
    /// What it asks for or answers.
    pub body: MessageBody,
}

/// What the sender says of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// The router.
    pub member: SocketAddr,
    /// Its record.
    pub record: MemberRecord,
    /// The identifier of a router that suspects it; [`NO_SUSPECTOR`] if the record is no suspicion.
    pub suspector: u32,
}

/// A datagram that was received and decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it begins with.
    pub header: MessageHeader,
    /// What follows.
    pub updates: Vec<GossipUpdate>,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedMessage {
    /// Its bytes.
    pub payload: Vec<u8>,
    /// How many of the updates it contains.
    pub update_count: usize,
}

/// The identifier of a router in suspicions.
pub fn suspector_id(address: SocketAddr) -> u32 {
    xxh3_64_with_seed(address.to_string().as_bytes(), SUSPECTOR_HASH_SEED) as u32
}

/// Encodes a header and, in their order, as many updates as fit.
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

/// Decodes a datagram of the cluster with this hash.
///
/// # Errors
/// Every cause of [`DatagramError`].
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
