//! Why a command is not executed. The texts are complete sentences for the operator's console.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::registry::{MAX_ENDPOINTS, MAX_OPEN_PURGES};

/// Why a command is not executed. The registry is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// It was based on an older revision of the registry.
    #[error("based on revision {based_on}, the registry is at {current}: {}", .changes.join("; "))]
    StaleRevision {
        /// The revision it was based on.
        based_on: u64,
        /// The registry's.
        current: u64,
        /// The changes since, as far as they are remembered.
        changes: Vec<String>,
    },
    /// A rule forbids it, whether the operator insists or not.
    #[error(transparent)]
    Forbidden(#[from] Prohibition),
    /// It would do harm, and the operator does not insist.
    #[error(transparent)]
    Harmful(#[from] Harm),
    /// There is nothing to do.
    #[error(transparent)]
    NoEffect(#[from] NoEffect),
}

/// A rule that a command would break.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Prohibition {
    /// Late responses and cached copies under a removed endpoint's id are still about.
    #[error("{uid} is or was in the registry; a new endpoint needs a new id")]
    UidInUse {
        /// The id.
        uid: String,
    },
    /// No further endpoint is kept.
    #[error("the registry holds {MAX_ENDPOINTS} endpoints, which is its limit")]
    RegistryFull,
    /// The endpoint to replace has requests of which only it knows whether they ran.
    #[error("{uid} at {addr} has {count} non-idempotent requests in flight; whether they ran is known there alone")]
    ReplacesPendingWrites {
        /// The endpoint at the address.
        uid: String,
        /// The address.
        addr: SocketAddr,
        /// How many.
        count: u32,
    },
    /// The endpoint to remove has requests of which only it knows whether they ran.
    #[error("{count} non-idempotent requests are in flight at {uid}; whether they ran is known there alone")]
    RemovesPendingWrites {
        /// The endpoint.
        uid: String,
        /// How many.
        count: u32,
    },
    /// Routers may not know yet that the endpoint is draining.
    #[error("{uid} is draining; new requests may still be on their way for {}", Readable(*.remaining))]
    DrainUnderWay {
        /// The endpoint.
        uid: String,
        /// The time left.
        remaining: Duration,
    },
    /// A purge must not be forgotten before it is complete.
    #[error("{MAX_OPEN_PURGES} purges are open, which is the limit")]
    TooManyPurges,
}

/// The harm a command would do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Harm {
    /// Another endpoint has the address, and would be removed.
    #[error("{uid} is at {addr}; it would be removed, with {in_flight} attempts in flight")]
    ReplacesEndpoint {
        /// The endpoint at the address.
        uid: String,
        /// The address.
        addr: SocketAddr,
        /// Its attempts in flight.
        in_flight: u32,
    },
    /// No other edge cache takes requests.
    #[error("{uid} is the last edge cache that takes requests{}: requests would be rejected", AlsoEjected(*.ejected))]
    LastEdgeCache {
        /// The endpoint.
        uid: String,
        /// Other edge caches that are ejected.
        ejected: usize,
    },
    /// No other parent cache takes requests.
    #[error(
        "{uid} is the only parent cache, with {in_flight} fills in flight{}: new objects could not be filled",
        AlsoEjected(*.ejected)
    )]
    OnlyParentCache {
        /// The endpoint.
        uid: String,
        /// Its fills in flight.
        in_flight: u32,
        /// Other parent caches that are ejected.
        ejected: usize,
    },
    /// No other origin takes requests.
    #[error("{uid} is the origin{}: non-idempotent requests would be rejected", AlsoEjected(*.ejected))]
    Origin {
        /// The endpoint.
        uid: String,
        /// Other origins that are ejected.
        ejected: usize,
    },
    /// The endpoint drains, but has not finished its requests.
    #[error("{uid} is draining and has {in_flight} attempts in flight; they would be retried")]
    DrainIncomplete {
        /// The endpoint.
        uid: String,
        /// Its attempts in flight.
        in_flight: u32,
    },
    /// The endpoint has not been drained.
    #[error("{uid} has not been drained and has {in_flight} attempts in flight")]
    NotDrained {
        /// The endpoint.
        uid: String,
        /// Its attempts in flight.
        in_flight: u32,
    },
    /// The purge is part of one that is still under way.
    #[error("a purge ordered {} ago covers it and is complete in {}", Readable(*.age), Readable(*.remaining))]
    CoveredByPurge {
        /// How long ago that purge was ordered.
        age: Duration,
        /// The time until it is complete.
        remaining: Duration,
    },
}

/// Why there is nothing to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoEffect {
    /// The endpoint is draining already.
    #[error("{uid} has been draining for {}", Readable(*.draining_for))]
    AlreadyDraining {
        /// The endpoint.
        uid: String,
        /// For how long.
        draining_for: Duration,
    },
    /// The endpoint is not draining.
    #[error("{uid} is not draining")]
    NotDraining {
        /// The endpoint.
        uid: String,
    },
    /// The endpoint was removed.
    #[error("{uid} was removed")]
    Removed {
        /// The endpoint.
        uid: String,
    },
    /// The registry has no such endpoint.
    #[error("{uid} is not in the registry")]
    Unknown {
        /// The endpoint.
        uid: String,
    },
}

/// A duration for people: milliseconds below 10 s, whole seconds above.
struct Readable(Duration);

impl fmt::Display for Readable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        const MAX_MILLIS: u128 = 10_000;
        let millis = self.0.as_millis();
        if millis < MAX_MILLIS {
            write!(formatter, "{millis} ms")
        } else {
            write!(formatter, "{} s", self.0.as_secs())
        }
    }
}

/// A mention of other endpoints of the role that are ejected, if there are any.
struct AlsoEjected(usize);

impl fmt::Display for AlsoEjected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            count => write!(formatter, "; {count} more are ejected"),
        }
    }
}
