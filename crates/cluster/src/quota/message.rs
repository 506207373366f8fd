//! Quota datagrams: a header, then one entry for each limit, in the envelope of all datagrams.
//!
//! The order and the types of fields are the wire format (postcard). A datagram that can't be
//! decoded as a whole is rejected as a whole.

use super::lease::{LeaseTransfer, MAX_TRANSFERS_PER_LIMIT};
use crate::envelope::{self, DatagramError};
use crate::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind and version of quota datagrams.
pub(super) const VERSION: u8 = 0x40;
/// Limits in one datagram at most; more go into the next.
pub(super) const MAX_ENTRIES: usize = 7;

/// What every quota datagram begins with.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct MessageHeader {
    /// The hash of the cluster's name.
    pub(super) cluster: u64,
    /// The address of the sender that others send to.
    pub(super) sender: SocketAddr,
    /// The sender's process.
    pub(super) sender_instance: u64,
    /// The receiver's process that it is meant for: a later one must not act on it. 0 if the sender
    /// knows none.
    pub(super) receiver_instance: u64,
    /// The sender's clock now.
    pub(super) sent_at: Time,
    /// The latest that the sender knows of the receiver's clock; 0 if nothing.
    pub(super) echoed_at: Time,
    /// The digest of the set of routers by which the sender divides, and under which all that it
    /// has lent fits.
    pub(super) acknowledged_set: u64,
    /// The sender uses its own share.
    pub(super) uses_own_share: bool,
    /// The sender knows that the receiver, or an earlier process at its address, used its own
    /// share.
    pub(super) knows_receiver_share: bool,
    /// This answers a message of the receiver.
    pub(super) is_reply: bool,
}

/// What is wanted and granted of one limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct LimitEntry {
    pub(super) limit_id: u64,
    /// What the sender would have from the receiver in all, in parts of [`super::WHOLE_QUOTA`].
    pub(super) wanted: u32,
    /// What one request takes of the limit: less is of no use to the sender.
    pub(super) request_size: u32,
    /// Leases that the sender grants or renews.
    pub(super) transfers: Vec<LeaseTransfer>,
}

/// A datagram that was received and decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Message {
    pub(super) header: MessageHeader,
    pub(super) entries: Vec<LimitEntry>,
}

/// Encodes a datagram.
pub(super) fn encode(header: &MessageHeader, entries: &[LimitEntry]) -> Vec<u8> {
    debug_assert!(is_within_bounds(entries), "more entries or transfers than a receiver accepts");
    envelope::seal(VERSION, |bytes| {
        bytes.extend(postcard::to_stdvec(&(header, entries)).unwrap_or_default());
    })
}

/// Decodes a datagram of the cluster with this hash.
///
/// # Errors
/// Every cause of [`DatagramError`].
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

fn is_within_bounds(entries: &[LimitEntry]) -> bool {
    let transfers_fit = |entry: &LimitEntry| entry.transfers.len() <= MAX_TRANSFERS_PER_LIMIT;
    entries.len() <= MAX_ENTRIES && entries.iter().all(transfers_fit)
}
