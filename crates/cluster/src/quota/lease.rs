//! Types of a lease between two routers that are used both in the ledger and in datagrams.

use crate::Time;
use std::net::SocketAddr;

/// Maximum number of leases of one limit in a datagram.
pub const MAX_TRANSFERS_PER_LIMIT: usize = 8;

/// A router process as lender or borrower. A later process at the same address is another holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseHolder {
    /// The router's advertised address.
    pub address: SocketAddr,
    /// Identifies the process among all processes that ever used the address.
    pub instance_id: u64,
}

/// Grant or renewal of one lease, as sent by the lender to the borrower. The order of fields is the
/// wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct LeaseTransfer {
    /// Identifies the lease among all leases of the lending process. A renewal has the identifier
    /// of the lease that it renews.
    pub lease_id: u64,
    /// Quota of the lease from now on, in parts of [`super::WHOLE_QUOTA`]. A renewal may reduce it.
    pub quota: u32,
    /// Duration of the lease, which starts when the borrower sent the message that this grant
    /// replies to.
    pub duration: Time,
}
