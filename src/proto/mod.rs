//! Protocols as state machines that are fed bytes and know no socket.

pub mod chain;
pub mod control_feed;
pub mod dns;
pub mod front;
pub mod resp;
pub mod shelf;
