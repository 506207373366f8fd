//! What every datagram between routers is wrapped in: a byte that tells its kind and version before, a checksum behind.
//! Datagrams are not authenticated: the checksum finds damage, not malice.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// No datagram is longer: it fits a packet on any network in use, tunnels included.
pub const MAX_DATAGRAM_LEN: usize = 1_400;
/// Bytes of the checksum.
pub(crate) const CHECK: usize = 4;

/// Why a datagram is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Too long, too short, or of another version.
    #[error("no datagram of this version")]
    UnsupportedFormat,
    /// Its checksum does not fit.
    #[error("damaged")]
    ChecksumMismatch,
    /// It can't be read, or holds what is out of bounds.
    #[error("unusable fields")]
    InvalidFields,
    /// It belongs to another fleet.
    #[error("of another fleet")]
    OtherCluster,
}

/// A fleet's name in datagrams.
pub(crate) fn fleet_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 3)
}

fn check(bytes: &[u8]) -> [u8; CHECK] {
    (xxh3_64_with_seed(bytes, 5) as u32).to_le_bytes()
}

/// Wraps what `fill` appends.
pub(crate) fn seal(version: u8, fill: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = vec![version];
    fill(&mut bytes);
    let check = check(&bytes);
    bytes.extend(check);
    bytes
}

/// What is wrapped, if it is of that version and undamaged.
pub(crate) fn open(version: u8, bytes: &[u8]) -> Result<&[u8], DatagramError> {
    if bytes.len() > MAX_DATAGRAM_LEN || bytes.len() < 1 + CHECK || bytes[0] != version {
        return Err(DatagramError::UnsupportedFormat);
    }
    let (text, sum) = bytes.split_at(bytes.len() - CHECK);
    if sum != check(text) {
        return Err(DatagramError::ChecksumMismatch);
    }
    Ok(&text[1..])
}
