//! What operators see of membership: changes, the status of each member, counters.

use super::record::{MemberRecord, MemberState};
use crate::counters::{DatagramCount, RejectedDatagrams};
use crate::Time;
use std::net::SocketAddr;

/// A change that operators are told of once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Another router's record was replaced.
    Updated {
        /// The router.
        address: SocketAddr,
        /// Its record until now; none if the router was unknown.
        previous: Option<MemberRecord>,
        /// Its record from now on.
        record: MemberRecord,
    },
    /// Another router was started again at its address.
    Restarted {
        /// The router.
        address: SocketAddr,
        /// Its record from now on.
        record: MemberRecord,
    },
    /// Two live routers have one name and neither replaces the other: their settings were copied.
    DuplicateName {
        /// The name.
        name: String,
        /// The router that had it first.
        first: SocketAddr,
        /// The router that came later.
        second: SocketAddr,
    },
    /// Other routers held the local one to be in this state; it has refuted that.
    Refuted(MemberState),
    /// Another start of the local address was known: the local router took this greater generation.
    GenerationRaised(u64),
    /// The local process stood still for so long: all that it knew must be confirmed again.
    ProcessPaused(Time),
    /// No other router answers the local one any more.
    Isolated,
    /// Another router answers again.
    IsolationEnded,
    /// The local view agrees with all that is received.
    Converged,
    /// The local view no longer agrees with all that is received.
    Diverged,
    /// The member table is full: this router is only counted.
    TableFull(SocketAddr),
}

/// Another router as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its address.
    pub address: SocketAddr,
    /// Its record.
    pub record: MemberRecord,
    /// For how long the record has been the same.
    pub unchanged_for: Time,
    /// How long ago it last answered the local router, if it ever did.
    pub last_ack_age: Option<Time>,
    /// Whether its view was the same as the local one when it last sent a datagram.
    pub digest_matches: bool,
}

/// Counters for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams received.
    pub received: DatagramCount,
    /// Datagrams handed out to be sent.
    pub sent: DatagramCount,
    /// Datagrams that could not be used.
    pub rejected: RejectedDatagrams,
    /// Datagrams and changes dropped because their queue was full.
    pub dropped: u64,
    /// Probes sent.
    pub probes_sent: u64,
    /// Probes that were answered neither directly nor through another router.
    pub probes_failed: u64,
    /// Suspicions that the local router raised.
    pub suspicions_raised: u64,
    /// Times that the local router refuted what was said of it.
    pub refutations: u64,
}
