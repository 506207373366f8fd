//! Digests of the membership view, for the whole view and per bucket of addresses. Routers compare
//! them to find out which parts of their views differ without exchanging all records.

use super::record::MemberRecord;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of buckets. With 300 routers a bucket has about 20 records, which fit into one datagram.
pub(super) const BUCKETS: usize = 16;
/// Upper bound in bytes of a postcard-encoded socket address.
const MAX_ENCODED_ADDRESS_LEN: usize = 32;
/// Seed of the hash that assigns addresses to buckets; part of the wire format.
const BUCKET_HASH_SEED: u64 = 1;
/// Seed of the digest of the whole view; part of the wire format.
const VIEW_HASH_SEED: u64 = 2;

/// The digest of each bucket, indexed by bucket number; 0 for a bucket without records.
pub(super) type BucketDigests = [u64; BUCKETS];

/// The digests of all records in the local view, including the local router's own record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ViewDigests {
    buckets: BucketDigests,
}

impl ViewDigests {
    /// Returns the bucket number of an address, which is the same at every router.
    pub(super) fn bucket_of(address: SocketAddr) -> usize {
        let mut buffer = [0; MAX_ENCODED_ADDRESS_LEN];
        let encoded_len = postcard::to_slice(&address, &mut buffer).map_or(0, |encoded| encoded.len());
        (xxh3_64_with_seed(&buffer[..encoded_len], BUCKET_HASH_SEED) % BUCKETS as u64) as usize
    }

    /// Adds a record to its bucket's digest, or removes it if it was added before: a bucket's
    /// digest is the XOR of the digests of its records.
    pub(super) fn toggle(&mut self, address: SocketAddr, record: &MemberRecord) {
        self.buckets[ViewDigests::bucket_of(address)] ^= record.digest(address);
    }

    /// The digests of all buckets.
    pub(super) fn buckets(&self) -> &BucketDigests {
        &self.buckets
    }

    /// Computes the digest of the whole view from the digests of its buckets.
    pub(super) fn whole(&self) -> u64 {
        let bytes: Vec<u8> = self.buckets.iter().flat_map(|bucket| bucket.to_le_bytes()).collect();
        xxh3_64_with_seed(&bytes, VIEW_HASH_SEED)
    }
}
