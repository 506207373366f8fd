//! Counters and counts that membership and quotas have in common.

use crate::envelope::DatagramError;

/// Routers of the whole cluster, and those of the local router's zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RouterCounts {
    /// In all zones.
    pub all: u32,
    /// In the zone of the local router.
    pub own_zone: u32,
}

/// How many datagrams there were, and how large they were in all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCount {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their payload in bytes.
    pub bytes: u64,
}

impl DatagramCount {
    /// Counts one datagram of `len` bytes.
    pub(crate) fn add(&mut self, len: usize) {
        self.datagrams += 1;
        self.bytes += len as u64;
    }
}

/// Datagrams that were dropped unread, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedDatagrams {
    /// See [`DatagramError::UnsupportedFormat`].
    pub unsupported_format: u64,
    /// See [`DatagramError::ChecksumMismatch`].
    pub checksum_mismatch: u64,
    /// See [`DatagramError::InvalidFields`].
    pub invalid_fields: u64,
    /// See [`DatagramError::OtherCluster`].
    pub other_cluster: u64,
}

impl RejectedDatagrams {
    /// Counts one datagram that was rejected for that cause.
    pub(crate) fn count(&mut self, cause: DatagramError) {
        let counter = match cause {
            DatagramError::UnsupportedFormat => &mut self.unsupported_format,
            DatagramError::ChecksumMismatch => &mut self.checksum_mismatch,
            DatagramError::InvalidFields => &mut self.invalid_fields,
            DatagramError::OtherCluster => &mut self.other_cluster,
        };
        *counter += 1;
    }

    /// The counters in the order in which operators are shown them: format, checksum, fields, other
    /// cluster.
    pub fn by_cause(&self) -> [u64; 4] {
        [self.unsupported_format, self.checksum_mismatch, self.invalid_fields, self.other_cluster]
    }

    /// Datagrams rejected for any cause.
    pub fn total(&self) -> u64 {
        self.by_cause().iter().sum()
    }
}
