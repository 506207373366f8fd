//! Common envelope of all datagrams between routers: one leading byte that identifies kind and
//! version of the datagram, then the contents, then a checksum.
//!
//! Datagrams are not authenticated: the checksum detects corruption, not forgery.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum length of a datagram in bytes, envelope included. It avoids IP fragmentation on any
/// network in use, tunnels included.
pub const MAX_DATAGRAM_LEN: usize = 1_400;
/// Length of the trailing checksum in bytes.
pub const CHECKSUM_LEN: usize = 4;
/// Length in bytes of the leading field for kind and version.
const VERSION_LEN: usize = 1;
/// Seed of [`cluster_hash`]; part of the wire format.
const CLUSTER_HASH_SEED: u64 = 3;
/// Seed of the datagram checksum; part of the wire format.
const CHECKSUM_SEED: u64 = 5;

/// The reason why a received datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is too long, too short, or of an unexpected kind or version.
    #[error("datagram of unsupported length or version")]
    UnsupportedFormat,
    /// The trailing checksum does not match the preceding bytes.
    #[error("datagram checksum mismatch")]
    ChecksumMismatch,
    /// The contents can't be decoded, or a decoded field is out of bounds.
    #[error("datagram contents can't be decoded or are out of bounds")]
    InvalidFields,
    /// The cluster hash in the datagram is not that of the local router's cluster.
    #[error("datagram from another cluster")]
    OtherCluster,
}

/// The hash of a cluster's name, which every datagram carries to identify the sender's cluster.
pub fn cluster_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), CLUSTER_HASH_SEED)
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_LEN] {
    (xxh3_64_with_seed(bytes, CHECKSUM_SEED) as u32).to_le_bytes()
}

/// Builds a datagram: the leading `version` byte, the contents that `write_contents` appends, and
/// the checksum. Does not check the datagram's length.
pub fn seal(version: u8, write_contents: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = vec![version];
    write_contents(&mut bytes);
    let checksum = checksum(&bytes);
    bytes.extend(checksum);
    bytes
}

/// Checks the envelope of a received datagram and returns its contents, without the leading byte
/// and the checksum.
///
/// # Errors
/// [`DatagramError::UnsupportedFormat`] if the length is out of bounds or the leading byte is not
/// `version`; [`DatagramError::ChecksumMismatch`] if the checksum is wrong.
pub fn open(version: u8, bytes: &[u8]) -> Result<&[u8], DatagramError> {
    let length_allowed = (VERSION_LEN + CHECKSUM_LEN..=MAX_DATAGRAM_LEN).contains(&bytes.len());
    if !length_allowed || bytes[0] != version {
        return Err(DatagramError::UnsupportedFormat);
    }
    let (covered, received_checksum) = bytes.split_at(bytes.len() - CHECKSUM_LEN);
    if received_checksum != checksum(covered) {
        return Err(DatagramError::ChecksumMismatch);
    }
    Ok(&covered[VERSION_LEN..])
}
