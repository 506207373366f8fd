//! Words on limits between two routers: a version, a head, what is wanted and given of each limit, a checksum. Lengths
//! are bounded before anything is read; a datagram that is not understood whole is none.

use super::ledger::LeaseTransfer;
use crate::envelope::{self, DatagramError};
use crate::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The first byte of a datagram of this kind.
pub(crate) const VERSION: u8 = 0x40;
/// QuotaManager in a datagram, and gifts of one limit: more go into the next.
pub(crate) const ITEMS_MOST: usize = 7;
pub(crate) const GIFTS_MOST: usize = 8;

/// What every datagram begins with.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The fleet, by a hash of its name.
    pub(crate) fleet: u64,
    /// The sender, and its start; and the start of the one it is meant for: the next one must not believe it.
    pub(crate) from: SocketAddr,
    pub(crate) start: u64,
    pub(crate) to: u64,
    /// The sender's clock now, and the last that it heard of the receiver's clock; 0: none yet.
    pub(crate) stamp: Time,
    pub(crate) echo: Time,
    /// The set of routers, by its digest, that the sender's shares and all that it has given away fit under.
    pub(crate) counts: u64,
    /// The sender uses a share of its own.
    pub(crate) open: bool,
    /// The sender knows that the receiver, or an earlier start of it, used a share of its own.
    pub(crate) knew: bool,
    /// It answers one of the receiver's.
    pub(crate) answer: bool,
}

/// One limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct LimitEntry {
    pub(crate) limit: u64,
    /// Parts that the sender would have from the receiver in all.
    pub(crate) want: u32,
    /// What one request takes of it: less is of no use to the sender.
    pub(crate) unit: u32,
    pub(crate) gifts: Vec<LeaseTransfer>,
}

/// Writes a word.
pub(crate) fn write(head: &Head, items: &[LimitEntry]) -> Vec<u8> {
    debug_assert!(items.len() <= ITEMS_MOST && items.iter().all(|i| i.gifts.len() <= GIFTS_MOST));
    envelope::seal(VERSION, |bytes| {
        bytes.extend(postcard::to_stdvec(&(head, items)).unwrap_or_default());
    })
}

/// Reads a word of this fleet.
pub(crate) fn read(bytes: &[u8], fleet: u64) -> Result<(Head, Vec<LimitEntry>), DatagramError> {
    let text = envelope::open(VERSION, bytes)?;
    let ((head, items), rest) = postcard::take_from_bytes::<(Head, Vec<LimitEntry>)>(text)
        .map_err(|_| DatagramError::InvalidFields)?;
    let bounded = items.len() <= ITEMS_MOST && items.iter().all(|i| i.gifts.len() <= GIFTS_MOST);
    if !rest.is_empty() || !bounded {
        return Err(DatagramError::InvalidFields);
    }
    if head.fleet != fleet {
        return Err(DatagramError::OtherCluster);
    }
    Ok((head, items))
}
