//! The reasons why the registry does not execute a command. The messages are written for the
//! operator's console.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::registry::{MAX_ENDPOINTS, MAX_OPEN_PURGES};

/// Why a command is not executed. The registry is left unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command was based on an older revision of the registry.
    #[error("command based on revision {based_on}, but the registry is at revision {current}: {}", .changes.join("; "))]
    StaleRevision {
        /// The registry's revision that the caller had read before it gave the command.
        based_on: u64,
        /// The current revision of the registry.
        current: u64,
        /// Descriptions of the commands executed since `based_on`, oldest first. Older ones may be
        /// missing, since the registry remembers only a limited number.
        changes: Vec<String>,
    },
    /// A rule forbids the command, whether the operator insists or not.
    #[error(transparent)]
    Forbidden(#[from] Prohibition),
    /// The command would do harm, and the operator did not insist on it.
    #[error(transparent)]
    Harmful(#[from] Harm),
    /// The command would change nothing.
    #[error(transparent)]
    NoEffect(#[from] NoEffect),
}

/// A rule that the command would break. It holds even if the operator insists.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Prohibition {
    /// The id belongs to a present or a removed endpoint. Late responses and cached copies may
    /// still carry the id of a removed endpoint.
    #[error("{uid} is or was in the registry; a new endpoint needs a new id")]
    UidInUse {
        /// The id that was given for the new endpoint.
        uid: String,
    },
    /// The registry already holds [`MAX_ENDPOINTS`] endpoints, removed ones included.
    #[error("the registry holds {MAX_ENDPOINTS} endpoints, which is its limit")]
    RegistryFull,
    /// The endpoint at the new endpoint's address has non-idempotent requests in flight, and only
    /// that endpoint knows whether they were executed.
    #[error("{uid} at {addr} has {count} non-idempotent requests in flight; only it knows whether they were executed")]
    ReplacesPendingWrites {
        /// The id of the endpoint at the address.
        uid: String,
        /// The address that both endpoints would have.
        addr: SocketAddr,
        /// Number of non-idempotent requests in flight.
        count: u32,
    },
    /// The endpoint to remove has non-idempotent requests in flight, and only that endpoint knows
    /// whether they were executed.
    #[error(
        "{count} non-idempotent requests are in flight at {uid}; only it knows whether they were executed"
    )]
    RemovesPendingWrites {
        /// The id of the endpoint to remove.
        uid: String,
        /// Number of non-idempotent requests in flight.
        count: u32,
    },
    /// The drain started so recently that some routers may not know of it yet.
    #[error("{uid} is draining; routers may still send it new requests for {}", Readable(*.remaining))]
    DrainUnderWay {
        /// The id of the draining endpoint.
        uid: String,
        /// Time until every router knows of the drain.
        remaining: Duration,
    },
    /// [`MAX_OPEN_PURGES`] purges are open, and none of them may be forgotten before it is
    /// complete.
    #[error("{MAX_OPEN_PURGES} purges are open, which is the limit")]
    TooManyPurges,
}

/// The harm that a command would do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Harm {
    /// Another endpoint is registered at the new endpoint's address and would be removed.
    #[error("{uid} is at {addr}; it would be removed, with {in_flight} attempts in flight")]
    ReplacesEndpoint {
        /// The id of the endpoint at the address.
        uid: String,
        /// The address that both endpoints would have.
        addr: SocketAddr,
        /// Attempts in flight at the endpoint that would be removed.
        in_flight: u32,
    },
    /// No other edge cache takes requests.
    #[error("{uid} is the last edge cache that takes requests{}: requests would be rejected", AlsoEjected(*.ejected))]
    LastEdgeCache {
        /// The id of the edge cache that the command would take out of use.
        uid: String,
        /// Number of other edge caches that are ejected and may recover.
        ejected: usize,
    },
    /// No other parent cache takes requests.
    #[error(
        "{uid} is the only parent cache, with {in_flight} fills in flight{}: new objects could not be filled",
        AlsoEjected(*.ejected)
    )]
    OnlyParentCache {
        /// The id of the parent cache that the command would take out of use.
        uid: String,
        /// Fills in flight at the parent cache.
        in_flight: u32,
        /// Number of other parent caches that are ejected and may recover.
        ejected: usize,
    },
    /// No other origin takes requests.
    #[error("{uid} is the origin{}: non-idempotent requests would be rejected", AlsoEjected(*.ejected))]
    Origin {
        /// The id of the origin that the command would take out of use.
        uid: String,
        /// Number of other origins that are ejected and may recover.
        ejected: usize,
    },
    /// The endpoint to remove is draining and still has attempts in flight.
    #[error("{uid} is draining and has {in_flight} attempts in flight; they would be retried")]
    DrainIncomplete {
        /// The id of the draining endpoint.
        uid: String,
        /// Attempts in flight at the endpoint.
        in_flight: u32,
    },
    /// The endpoint to remove has not been drained.
    #[error("{uid} has not been drained and has {in_flight} attempts in flight")]
    NotDrained {
        /// The id of the endpoint to remove.
        uid: String,
        /// Attempts in flight at the endpoint.
        in_flight: u32,
    },
    /// An open purge covers the target of this one.
    #[error("a purge ordered {} ago covers this target and will be complete in {}", Readable(*.age), Readable(*.remaining))]
    CoveredByPurge {
        /// Time since the covering purge was ordered.
        age: Duration,
        /// Time until the covering purge is complete.
        remaining: Duration,
    },
}

/// Why a command would change nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoEffect {
    /// The endpoint to drain is draining already.
    #[error("{uid} has been draining for {}", Readable(*.draining_for))]
    AlreadyDraining {
        /// The id of the draining endpoint.
        uid: String,
        /// Time since the drain command was executed.
        draining_for: Duration,
    },
    /// The endpoint of an undrain command is not draining.
    #[error("{uid} is not draining")]
    NotDraining {
        /// The id that the undrain command names.
        uid: String,
    },
    /// The endpoint of the command was removed or replaced.
    #[error("{uid} was removed")]
    Removed {
        /// The id of the removed endpoint.
        uid: String,
    },
    /// The registry has no endpoint of this id.
    #[error("{uid} is not in the registry")]
    Unknown {
        /// The id that was given in the command.
        uid: String,
    },
}

/// Formats a duration for an operator: milliseconds below 10 s, whole seconds from there.
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

/// Formats the number of ejected endpoints of the same role as a clause; nothing if it is zero.
struct AlsoEjected(usize);

impl fmt::Display for AlsoEjected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            count => write!(formatter, "; {count} more are ejected"),
        }
    }
}
