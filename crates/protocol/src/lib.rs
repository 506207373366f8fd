//! Protocols as state machines that are fed bytes and know no socket: bytes in, the core's own types out.

pub mod admin;
pub mod client;
pub mod dns;
pub mod dns_routing;
pub mod endpoint;
pub mod endpoint_feed;
pub mod feed_events;
pub mod handover;
pub mod resp;
