//! The terms of a lease between two routers, as both keep and send them.

use crate::Time;
use std::net::SocketAddr;

/// Leases of one limit in a datagram at most.
pub const MAX_TRANSFERS_PER_LIMIT: usize = 8;

/// A router's process that lends or borrows: a later process at the address is another holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseHolder {
    /// The router's address.
    pub address: SocketAddr,
    /// The number of its process.
    pub instance_id: u64,
}

/// What a lender tells a borrower of one lease. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct LeaseTransfer {
    /// The lease's number, by the lender.
    pub lease_id: u64,
    /// What the borrower may use from now on under this lease, in parts of [`super::WHOLE_QUOTA`].
    pub quota: u32,
    /// How long the lease lasts from when the borrower sent the message that this answers.
    pub duration: Time,
}
