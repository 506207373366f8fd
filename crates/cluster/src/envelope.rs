//! The envelope of every datagram between routers: a leading byte for kind and version, a trailing
//! checksum.
//!
//! Datagrams are not authenticated: the checksum detects damage, not forgery.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest datagram in bytes: it fits a packet on any network in use, tunnels included.
pub const MAX_DATAGRAM_LEN: usize = 1_400;
/// Length of the checksum in bytes.
pub const CHECKSUM_LEN: usize = 4;
/// Length of the byte that tells kind and version.
const VERSION_LEN: usize = 1;
/// Hash seed of cluster names; part of the wire format.
const CLUSTER_HASH_SEED: u64 = 3;
/// Hash seed of checksums; part of the wire format.
const CHECKSUM_SEED: u64 = 5;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Too long, too short, or of another kind or version.
    #[error("datagram of unsupported length or version")]
    UnsupportedFormat,
    /// The checksum does not match.
    #[error("datagram with a wrong checksum")]
    ChecksumMismatch,
    /// The contents can't be decoded or exceed their bounds.
    #[error("datagram with invalid fields")]
    InvalidFields,
    /// The sender belongs to another cluster.
    #[error("datagram of another cluster")]
    OtherCluster,
}

/// The hash by which datagrams name their cluster.
pub fn cluster_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), CLUSTER_HASH_SEED)
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_LEN] {
    (xxh3_64_with_seed(bytes, CHECKSUM_SEED) as u32).to_le_bytes()
}

/// Builds a datagram of this version around the contents that `write_contents` appends.
pub fn seal(version: u8, write_contents: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = vec![version];
    write_contents(&mut bytes);
    let checksum = checksum(&bytes);
    bytes.extend(checksum);
    bytes
}

/// The contents of a datagram of this version.
///
/// # Errors
/// [`DatagramError::UnsupportedFormat`] and [`DatagramError::ChecksumMismatch`].
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
