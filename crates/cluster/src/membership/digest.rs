//! Digests of a view, as a whole and by bucket, by which two routers find out cheaply where their
//! views differ.

use super::record::MemberRecord;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of buckets: 300 routers are some 20 a bucket, which fit a datagram.
pub(super) const BUCKETS: usize = 16;
/// An encoded socket address is never longer.
const MAX_ENCODED_ADDRESS_LEN: usize = 32;
/// Hash seed that assigns addresses to buckets; part of the wire format.
const BUCKET_HASH_SEED: u64 = 1;
/// Hash seed of the whole view's digest; part of the wire format.
const VIEW_HASH_SEED: u64 = 2;

/// One digest a bucket.
pub(super) type BucketDigests = [u64; BUCKETS];

/// The digests of all records of a view, the local router's among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ViewDigests {
    buckets: BucketDigests,
}

impl ViewDigests {
    /// The bucket of an address.
    pub(super) fn bucket_of(address: SocketAddr) -> usize {
        let mut buffer = [0; MAX_ENCODED_ADDRESS_LEN];
        let encoded_len = postcard::to_slice(&address, &mut buffer).map_or(0, |encoded| encoded.len());
        (xxh3_64_with_seed(&buffer[..encoded_len], BUCKET_HASH_SEED) % BUCKETS as u64) as usize
    }

    /// Adds a record, or removes one that was added: each bucket is the exclusive or of its
    /// records.
    pub(super) fn toggle(&mut self, address: SocketAddr, record: &MemberRecord) {
        self.buckets[ViewDigests::bucket_of(address)] ^= record.digest(address);
    }

    /// The digests by bucket.
    pub(super) fn buckets(&self) -> &BucketDigests {
        &self.buckets
    }

    /// The digest of the whole view.
    pub(super) fn whole(&self) -> u64 {
        let bytes: Vec<u8> = self.buckets.iter().flat_map(|bucket| bucket.to_le_bytes()).collect();
        xxh3_64_with_seed(&bytes, VIEW_HASH_SEED)
    }
}
