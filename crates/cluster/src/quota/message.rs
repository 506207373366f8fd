//! Encoding of quota datagrams: a header followed by one entry per limit, inside the common
//! envelope ([`crate::envelope`]).
//!
//! Fields are encoded with postcard, so their order and types are the wire format. A datagram of
//! which any part can't be decoded is rejected as a whole.

use super::lease::{LeaseTransfer, MAX_TRANSFERS_PER_LIMIT};
use crate::envelope::{self, DatagramError};
use crate::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Leading byte of quota datagrams, which identifies their kind and version.
pub(super) const VERSION: u8 = 0x40;
/// Maximum number of limits in one datagram; further ones are sent in additional datagrams.
pub(super) const MAX_ENTRIES: usize = 7;
/// Instance identifier of a router that has sent no message yet.
pub(super) const UNKNOWN_INSTANCE: u64 = 0;
/// Value of [`MessageHeader::echoed_at`] if the sender has received no message from the receiver.
pub(super) const NO_ECHO: Time = 0;

/// The header of every quota datagram. The order of fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct MessageHeader {
    /// The hash of the cluster's name; a receiver in another cluster rejects the datagram.
    pub(super) cluster: u64,
    /// The sender's advertised address, to which replies are sent.
    pub(super) sender: SocketAddr,
    /// Identifies the sending process.
    pub(super) sender_instance: u64,
    /// Identifies the process at the receiver's address that the datagram is for; any other process
    /// ignores it. [`UNKNOWN_INSTANCE`] if the sender has received no message from the receiver.
    pub(super) receiver_instance: u64,
    /// Instant on the sender's clock at which the datagram was sent.
    pub(super) sent_at: Time,
    /// The latest `sent_at`, on the receiver's clock, that the sender has received from the
    /// receiver's process; [`NO_ECHO`] if none.
    pub(super) echoed_at: Time,
    /// Digest of the set of possibly active routers by which the sender divides limits. 0 until all
    /// of the sender's usage and leases from before the set last changed have expired, because they
    /// may exceed the sender's share under the new set.
    pub(super) acknowledged_set: u64,
    /// Whether the sender's own share is in use.
    pub(super) uses_own_share: bool,
    /// Whether the sender knows that the receiver's process, or an earlier one at the receiver's
    /// address, used its own share.
    pub(super) knows_receiver_share: bool,
    /// Whether the datagram replies to one from the receiver; a reply is not replied to.
    pub(super) is_reply: bool,
}

/// The sender's demand for one limit and the leases of it that the sender grants. The order of
/// fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct LimitEntry {
    /// Identifies the limit by the endpoint that it applies to.
    pub(super) limit_id: u64,
    /// Total quota that the sender wants to borrow from the receiver, in parts of
    /// [`super::WHOLE_QUOTA`]; 0 in a reply.
    pub(super) wanted: u32,
    /// Quota that one request at the sender uses, in parts of [`super::WHOLE_QUOTA`]; the sender
    /// can't use less.
    pub(super) request_size: u32,
    /// Leases that the sender grants or renews; at most [`MAX_TRANSFERS_PER_LIMIT`].
    pub(super) transfers: Vec<LeaseTransfer>,
}

/// A decoded quota datagram, with the sender's usage and leases for each limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Message {
    pub(super) header: MessageHeader,
    pub(super) entries: Vec<LimitEntry>,
}

/// Encodes a datagram. The entries must be within the bounds that a receiver checks.
pub(super) fn encode(header: &MessageHeader, entries: &[LimitEntry]) -> Vec<u8> {
    debug_assert!(is_within_bounds(entries), "quota datagram has too many entries or transfers");
    envelope::seal(VERSION, |bytes| {
        bytes.extend(postcard::to_stdvec(&(header, entries)).unwrap_or_default());
    })
}

/// Decodes a received datagram. `cluster` is the hash of the local router's cluster.
///
/// # Errors
/// [`DatagramError::UnsupportedFormat`] or [`DatagramError::ChecksumMismatch`] if the envelope is
/// invalid, [`DatagramError::InvalidFields`] if a field can't be decoded, bytes are left over or
/// there are too many entries or transfers, and [`DatagramError::OtherCluster`] if the header has
/// another cluster hash.
pub(super) fn decode(bytes: &[u8], cluster: u64) -> Result<Message, DatagramError> {
    let contents = envelope::open(VERSION, bytes)?;
    let ((header, entries), rest) = postcard::take_from_bytes::<(MessageHeader, Vec<LimitEntry>)>(contents)
        .map_err(|_| DatagramError::InvalidFields)?;
    if !rest.is_empty() || !is_within_bounds(&entries) {
        return Err(DatagramError::InvalidFields);
    }
    if header.cluster != cluster {
        return Err(DatagramError::OtherCluster);
    }
    Ok(Message { header, entries })
}

/// Whether neither the number of entries nor that of transfers per entry exceeds its maximum.
fn is_within_bounds(entries: &[LimitEntry]) -> bool {
    let transfers_fit = |entry: &LimitEntry| entry.transfers.len() <= MAX_TRANSFERS_PER_LIMIT;
    entries.len() <= MAX_ENTRIES && entries.iter().all(transfers_fit)
}
