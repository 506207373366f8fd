//! Sans-I/O codecs for every protocol that the router speaks.
//!
//! Each module decodes received bytes into types of the router package, or encodes such types into
//! bytes to send. Connections, timeouts and retries belong to the server package. All input is
//! untrusted, so every decoder limits how many bytes it buffers.
//!
//! - [`client`] and [`endpoint`]: the platform's RESP-like protocol, framed by [`resp`].
//! - [`endpoint_feed`] and [`feed_events`]: the transport and the events of the endpoint feed.
//! - [`dns`] and [`dns_routing`]: DNS messages, and request routing by DNS names.
//! - [`admin`]: HTTP requests and responses of the admin endpoint.
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

/// Longest version tag of a cached copy and longest idempotency key, in bytes. The platform sets
/// the same limit for both.
pub(crate) const MAX_TAG_BYTES: usize = 64;
/// Number of object groups. A group number is at least 0 and less than this.
pub(crate) const GROUP_COUNT: u32 = 256;
