//! Codecs of every protocol the router speaks, as state machines that take bytes and know no
//! socket.
//!
//! Each module turns received bytes into types of the router package, or such types into bytes to
//! send. None of them holds a connection, a clock or a retry: that is the server package's part.
//! All input is untrusted, so every decoder has a bound on what it keeps.
//!
//! - [`client`] and [`endpoint`]: the platform's protocol on RESP ([`resp`]).
//! - [`endpoint_feed`] and [`feed_events`]: the watch of the endpoint list.
//! - [`dns`] and [`dns_routing`]: DNS messages, and request routing by DNS names.
//! - [`admin`]: the admin endpoint's HTTP.
//! - [`handover`]: messages between a process and its successor.

pub mod admin;
pub mod client;
pub mod dns;
pub mod dns_routing;
pub mod endpoint;
pub mod endpoint_feed;
pub mod feed_events;
pub mod handover;
pub mod resp;

/// Longest version tag of a cached copy, and longest idempotency key, in bytes: the platform's
/// limit for both.
pub(crate) const MAX_TAG_BYTES: usize = 64;
/// Groups of objects are numbered below this.
pub(crate) const GROUP_COUNT: u32 = 256;
