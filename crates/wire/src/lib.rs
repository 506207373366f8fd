//! Protocols as state machines that are fed bytes and know no socket: bytes in, the core's own types out.

pub mod control_feed;
pub mod dns;
pub mod events;
pub mod front;
pub mod handover;
pub mod operations;
pub mod resp;
pub mod routing;
pub mod shelf;
