//! Counter types shared by the membership and quota modules.

use crate::envelope::DatagramError;

/// A number of routers in the whole cluster and in the local router's zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RouterCounts {
    /// Number of routers in all zones.
    pub all: u32,
    /// Number of routers in the local router's zone.
    pub own_zone: u32,
}

/// Number of datagrams and their total payload size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCount {
    /// Number of datagrams counted so far.
    pub datagrams: u64,
    /// Total size of their UDP payloads in bytes.
    pub bytes: u64,
}

impl DatagramCount {
    /// Counts one datagram with a payload of `len` bytes.
    pub(crate) fn add(&mut self, len: usize) {
        self.datagrams += 1;
        self.bytes += len as u64;
    }
}

/// Number of received datagrams that were rejected without any other effect, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedDatagrams {
    /// Datagrams rejected with [`DatagramError::UnsupportedFormat`].
    pub unsupported_format: u64,
    /// Datagrams rejected with [`DatagramError::ChecksumMismatch`].
    pub checksum_mismatch: u64,
    /// Datagrams rejected with [`DatagramError::InvalidFields`].
    pub invalid_fields: u64,
    /// Datagrams rejected with [`DatagramError::OtherCluster`].
    pub other_cluster: u64,
}

impl RejectedDatagrams {
    /// Counts one datagram rejected for `cause`.
    pub(crate) fn count(&mut self, cause: DatagramError) {
        let counter = match cause {
            DatagramError::UnsupportedFormat => &mut self.unsupported_format,
            DatagramError::ChecksumMismatch => &mut self.checksum_mismatch,
            DatagramError::InvalidFields => &mut self.invalid_fields,
            DatagramError::OtherCluster => &mut self.other_cluster,
        };
        *counter += 1;
    }

    /// The counters in the order in which the admin endpoint lists them: unsupported format,
    /// checksum mismatch, invalid fields, other cluster.
    pub fn counts_by_cause(&self) -> [u64; 4] {
        [self.unsupported_format, self.checksum_mismatch, self.invalid_fields, self.other_cluster]
    }

    /// Number of datagrams rejected for any cause.
    pub fn total(&self) -> u64 {
        self.counts_by_cause().iter().sum()
    }
}
